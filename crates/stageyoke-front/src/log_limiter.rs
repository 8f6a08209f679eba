//! Rate limit for log lines about a persistent condition.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Interval between two lines about one condition.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// Time of the last line about a condition.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    written_at: Cell<Option<Instant>>,
}

impl LogRateLimiter {
    /// Returns whether a line may be written now, and counts it as written if so.
    pub(crate) fn try_acquire(&self) -> bool {
        let now = Instant::now();
        let written_at = self.written_at.get();
        let due = written_at.is_none_or(|at| at + LOG_INTERVAL <= now);
        if due {
            self.written_at.set(Some(now));
        }
        due
    }
}
