//! Tracks disturbances of a run. Time bounds are checked only while no fault affects the
//! processes or the key-value service, and not until they have recovered.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time after the last disturbance from which bounds apply again.
pub const RECOVERY_DELAY: Duration = Duration::from_millis(3000);
/// Maximum time for a change to take effect, as set in the settings of the processes.
pub const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(2000);

#[derive(Debug, Default)]
struct TrackerState {
    in_progress: u32,
    last_end: Option<Instant>,
}

/// Counts the disturbances that are in progress and notes when the last one ended.
#[derive(Debug, Default)]
pub struct DisturbanceTracker(Mutex<TrackerState>);

impl DisturbanceTracker {
    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a disturbance; disturbances may overlap.
    pub fn record_start(&self) {
        self.state().in_progress += 1;
    }

    /// Records the end of a disturbance.
    pub fn record_end(&self) {
        let mut state = self.state();
        state.in_progress = state.in_progress.saturating_sub(1);
        state.last_end = Some(Instant::now());
    }

    /// Returns whether no disturbance is in progress and the last one ended at least
    /// [`RECOVERY_DELAY`] ago.
    pub fn bounds_apply(&self) -> bool {
        let state = self.state();
        let last_end = state.last_end;
        state.in_progress == 0 && last_end.is_none_or(|end| end.elapsed() >= RECOVERY_DELAY)
    }
}
