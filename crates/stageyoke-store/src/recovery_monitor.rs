//! Tells what a store waits for in the list of its group, and measures how long the
//! group took to be whole again.

use std::cell::Cell;
use std::time::Duration;

use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::time::Instant;

use crate::membership::MembershipStep;
use crate::wait_reason::{MemberCounts, WaitReason};

/// What is waited for is told once it has been the same for so long: a change that
/// goes well passes through several within a second.
const TELL_AFTER: Duration = Duration::from_secs(1);

/// What is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Wait {
    waiting: WaitReason,
    members_version: u64,
}

/// What a store waits for, and since when its group is not whole.
#[derive(Debug, Default)]
pub struct RecoveryMonitor {
    current: Cell<Option<(Wait, Instant)>>,
    told: Cell<Option<Wait>>,
    hurt_since: Cell<Option<Instant>>,
}

impl RecoveryMonitor {
    /// Takes the step that was decided by the list of this version.
    pub fn observe_step(
        &self,
        step: &MembershipStep,
        members_version: u64,
        counts: impl FnOnce() -> MemberCounts,
    ) {
        let waiting = match step {
            MembershipStep::Wait(waiting) => *waiting,
            // It makes the step itself.
            MembershipStep::Change(_) | MembershipStep::StartLeaving(_) => WaitReason::FirstMember,
        };
        self.measure(waiting);
        let wait = Wait {
            waiting,
            members_version,
        };
        let current = self.current.get().filter(|(current, _)| *current == wait);
        let (_, since) = current.unwrap_or((wait, Instant::now()));
        self.current.set(Some((wait, since)));
        let is_told = match self.told.get() {
            Some(told) => told == wait,
            None => waiting == WaitReason::Nothing,
        };
        if is_told || since.elapsed() < TELL_AFTER {
            return;
        }
        self.told.set(Some(wait));
        let detail = format!("waits_for={waiting} version={members_version} {}", counts());
        observe::record_event(Event::ListWaits, &detail);
    }

    /// Measures from the moment at which something is missing to the one at which the
    /// list is settled and all its members are there.
    fn measure(&self, waiting: WaitReason) {
        let metrics = observe::metrics();
        let whole = matches!(waiting, WaitReason::Nothing | WaitReason::Room);
        metrics.group_healthy.set(i64::from(whole));
        match (whole, self.hurt_since.get()) {
            (true, Some(since)) => {
                let seconds = since.elapsed().as_secs_f64();
                metrics.recovery_seconds.observe(seconds);
                self.hurt_since.set(None);
            }
            (false, None) => self.hurt_since.set(Some(Instant::now())),
            (true, None) | (false, Some(_)) => {}
        }
    }
}
