//! A rolling change from one build to another: machines are moved one after the other,
//! and one of them goes back on the way.

use std::collections::VecDeque;
use std::path::PathBuf;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;

/// One store in so many is replaced by an empty one when it is moved; the others keep
/// their disks.
const ONE_REPLACED_IN: u32 = 3;

/// One machine that is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Move {
    /// Its number among the processes.
    number: usize,
    /// Whether it goes back to the build that ran first.
    back: bool,
}

/// The moves that are still to come.
#[derive(Clone, Debug)]
pub struct Upgrade {
    first: PathBuf,
    next: PathBuf,
    moves: VecDeque<Move>,
}

impl Upgrade {
    /// Moves so many processes from the first program to the next, in an order that is
    /// drawn; the first that is moved goes back half way, and on again at the end.
    pub fn plan(first: PathBuf, next: PathBuf, processes: usize, random: &mut ChaCha8Rng) -> Self {
        let mut order: Vec<usize> = (0..processes).collect();
        order.shuffle(random);
        let forward = |number: &usize| Move {
            number: *number,
            back: false,
        };
        let mut moves: VecDeque<Move> = order.iter().map(forward).collect();
        if let Some(first) = moves.front().copied() {
            let back = Move {
                back: true,
                ..first
            };
            moves.insert(moves.len() / 2, back);
            moves.push_back(first);
        }
        Self { first, next, moves }
    }

    /// Whether all machines have been moved.
    pub fn is_complete(&self) -> bool {
        self.moves.is_empty()
    }
}

impl Deployment {
    /// Moves the next machine; tells which, and where to.
    pub async fn upgrade_next_machine(
        &mut self,
        upgrade: &mut Upgrade,
        random: &mut ChaCha8Rng,
    ) -> Option<String> {
        let Move { number, back } = upgrade.moves.pop_front()?;
        let program = match back {
            true => &upgrade.first,
            false => &upgrade.next,
        };
        let node = self.processes[number].node.clone();
        let way = if back { "back" } else { "on" };
        self.set_program(number, program.clone());
        if number < self.size.fronts {
            self.promises.disturbances.record_start();
            self.restart(number, Signal::SIGTERM).await;
            self.promises.disturbances.record_end();
            return Some(format!("{node} moves {way}"));
        }
        let replaced = random.random_range(0..ONE_REPLACED_IN) == 0;
        match replaced {
            true => self.replace_with_empty_store(number).await,
            false => self.restart(number, Signal::SIGTERM).await,
        }
        tokio::time::sleep(self.catch_up).await;
        let disk = if replaced {
            "an empty disk"
        } else {
            "its disk"
        };
        Some(format!("{node} moves {way} with {disk}"))
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
