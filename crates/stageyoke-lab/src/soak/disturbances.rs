//! When bounds hold: they are promised of processes in touch, and these are not
//! while something strikes them or the key-value service, nor for a while after.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time after the last disturbance from which bounds hold again.
pub const RECOVERY_DELAY: Duration = Duration::from_millis(3000);
/// Time in which a change must be in force: the bound of the processes' settings.
pub const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(2000);

#[derive(Debug, Default)]
struct TrackerState {
    under_way: u32,
    last_end: Option<Instant>,
}

/// Disturbances of one run.
#[derive(Debug, Default)]
pub struct DisturbanceTracker(Mutex<TrackerState>);

impl DisturbanceTracker {
    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something begins to inject_fault.
    pub fn record_start(&self) {
        self.state().under_way += 1;
    }

    /// It has ended.
    pub fn record_end(&self) {
        let mut disturbances = self.state();
        disturbances.under_way = disturbances.under_way.saturating_sub(1);
        disturbances.last_end = Some(Instant::now());
    }

    /// Whether bounds hold now.
    pub fn bounds_apply(&self) -> bool {
        let disturbances = self.state();
        let rested = disturbances.last_end;
        disturbances.under_way == 0 && rested.is_none_or(|end| end.elapsed() >= RECOVERY_DELAY)
    }
}
