//! When bounds hold: they are promised of processes in touch, and these are not
//! while something strikes them or the key-value service, nor for a while after.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time after the last disturbance from which bounds hold again.
pub const IN_TOUCH_AFTER: Duration = Duration::from_millis(3000);
/// Time in which a change must be in force: the bound of the processes' settings.
pub const CHANGE_BOUND: Duration = Duration::from_millis(2000);

#[derive(Debug, Default)]
struct Disturbances {
    under_way: u32,
    last_end: Option<Instant>,
}

/// Disturbances of one run.
#[derive(Debug, Default)]
pub struct Calm(Mutex<Disturbances>);

impl Calm {
    fn disturbances(&self) -> MutexGuard<'_, Disturbances> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something begins to strike.
    pub fn disturb(&self) {
        self.disturbances().under_way += 1;
    }

    /// It has ended.
    pub fn settle(&self) {
        let mut disturbances = self.disturbances();
        disturbances.under_way = disturbances.under_way.saturating_sub(1);
        disturbances.last_end = Some(Instant::now());
    }

    /// Whether bounds hold now.
    pub fn holds(&self) -> bool {
        let disturbances = self.disturbances();
        let rested = disturbances.last_end;
        disturbances.under_way == 0 && rested.is_none_or(|end| end.elapsed() >= IN_TOUCH_AFTER)
    }
}
