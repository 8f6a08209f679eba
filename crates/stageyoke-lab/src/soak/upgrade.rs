//! A rolling upgrade from one build to another: machines are upgraded one after the other,
//! and one of them is rolled back in between.

use std::collections::VecDeque;
use std::path::PathBuf;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;

/// One in this many stores, on average, is replaced by an empty one when it is upgraded; the
/// others keep their data.
const ONE_REPLACED_IN: u32 = 3;

/// A change of the build that one machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Step {
    /// Index of the process.
    number: usize,
    /// Whether the machine is rolled back to the first build.
    rollback: bool,
}

/// The remaining steps of a rolling upgrade.
#[derive(Clone, Debug)]
pub struct Upgrade {
    first: PathBuf,
    next: PathBuf,
    steps: VecDeque<Step>,
}

impl Upgrade {
    /// Plans the upgrade of all processes in a random order. The first machine is rolled
    /// back half way, and upgraded again at the end.
    pub fn plan(first: PathBuf, next: PathBuf, processes: usize, random: &mut ChaCha8Rng) -> Self {
        let mut order: Vec<usize> = (0..processes).collect();
        order.shuffle(random);
        let forward = |number: &usize| Step {
            number: *number,
            rollback: false,
        };
        let mut steps: VecDeque<Step> = order.iter().map(forward).collect();
        if let Some(first) = steps.front().copied() {
            let rollback = Step {
                rollback: true,
                ..first
            };
            steps.insert(steps.len() / 2, rollback);
            steps.push_back(first);
        }
        Self { first, next, steps }
    }

    /// Returns whether no step is left.
    pub fn is_complete(&self) -> bool {
        self.steps.is_empty()
    }
}

impl Deployment {
    /// Executes the next step and returns a description of it.
    pub async fn upgrade_next_machine(
        &mut self,
        upgrade: &mut Upgrade,
        random: &mut ChaCha8Rng,
    ) -> Option<String> {
        let Step { number, rollback } = upgrade.steps.pop_front()?;
        let program = match rollback {
            true => &upgrade.first,
            false => &upgrade.next,
        };
        let node = self.processes[number].node.clone();
        let action = if rollback { "rolled back" } else { "upgraded" };
        self.set_program(number, program.clone());
        if number < self.size.fronts {
            self.promises.disturbances.record_start();
            self.restart(number, Signal::SIGTERM).await;
            self.promises.disturbances.record_end();
            return Some(format!("{node} {action}"));
        }
        let replaced = random.random_range(0..ONE_REPLACED_IN) == 0;
        match replaced {
            true => self.replace_with_empty_store(number).await,
            false => self.restart(number, Signal::SIGTERM).await,
        }
        tokio::time::sleep(self.shape.catch_up).await;
        let disk = if replaced {
            "an empty disk"
        } else {
            "its disk"
        };
        Some(format!("{node} {action} with {disk}"))
    }

    async fn replace_with_empty_store(&mut self, number: usize) {
        self.processes[number].signal(Signal::SIGTERM);
        self.processes[number].wait_for_exit().await;
        if let Err(error) = self.replace_store(number).await {
            let breach = format!("a store's successor did not start: {error}");
            self.promises.report_breach(breach);
        }
    }
}
