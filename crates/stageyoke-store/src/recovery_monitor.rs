//! Logs what a store's membership step waits for, and measures how long its group takes to
//! recover from a loss.

use std::cell::Cell;
use std::time::Duration;

use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::time::Instant;

use crate::membership::MembershipStep;
use crate::wait_reason::{MemberCounts, WaitReason};

/// Delay before a wait reason is logged: a change that succeeds passes through several
/// reasons within a second.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// A wait reason and the member list it refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingWait {
    waiting: WaitReason,
    members_version: u64,
}

/// Wait reason of a store, and the time since which its group is degraded.
#[derive(Debug, Default)]
pub struct RecoveryMonitor {
    current: Cell<Option<(PendingWait, Instant)>>,
    reported: Cell<Option<PendingWait>>,
    degraded_since: Cell<Option<Instant>>,
}

impl RecoveryMonitor {
    /// Records the step that was decided on this version of the member list. Logs its wait
    /// reason once it has lasted for the report delay.
    pub fn observe_step(
        &self,
        step: &MembershipStep,
        members_version: u64,
        counts: impl FnOnce() -> MemberCounts,
    ) {
        let waiting = match step {
            MembershipStep::Wait(waiting) => *waiting,
            // This store makes the step itself.
            MembershipStep::Change(_) | MembershipStep::StartLeaving(_) => WaitReason::FirstMember,
        };
        self.update_metrics(waiting);
        let wait = PendingWait {
            waiting,
            members_version,
        };
        let current = self.current.get().filter(|(current, _)| *current == wait);
        let (_, since) = current.unwrap_or((wait, Instant::now()));
        self.current.set(Some((wait, since)));
        let is_reported = match self.reported.get() {
            Some(reported) => reported == wait,
            None => waiting == WaitReason::Nothing,
        };
        if is_reported || since.elapsed() < REPORT_DELAY {
            return;
        }
        self.reported.set(Some(wait));
        let detail = format!("waits_for={waiting} version={members_version} {}", counts());
        observe::record_event(Event::ListWaits, &detail);
    }

    /// Updates the group's health metric and, once the list is settled and all members are
    /// live, the recovery time.
    fn update_metrics(&self, waiting: WaitReason) {
        let metrics = observe::metrics();
        let is_healthy = matches!(waiting, WaitReason::Nothing | WaitReason::Room);
        metrics.group_healthy.set(i64::from(is_healthy));
        match (is_healthy, self.degraded_since.get()) {
            (true, Some(since)) => {
                let seconds = since.elapsed().as_secs_f64();
                metrics.recovery_seconds.observe(seconds);
                self.degraded_since.set(None);
            }
            (false, None) => self.degraded_since.set(Some(Instant::now())),
            (true, None) | (false, Some(_)) => {}
        }
    }
}
