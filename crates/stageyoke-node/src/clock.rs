//! The node's clock: milliseconds that never run backwards, close to the wall
//! clock at the start of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use stageyoke_types::Time;

/// A monotonic clock that starts at the wall clock's reading.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    base: Time,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            base: since_epoch.map_or(0, |duration| duration.as_millis() as Time),
        }
    }

    /// Milliseconds since 1970, as of the start plus the time since.
    pub fn now(&self) -> Time {
        self.base + self.started.elapsed().as_millis() as Time
    }
}
