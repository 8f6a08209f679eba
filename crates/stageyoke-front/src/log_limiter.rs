//! Keeps a condition that lasts from writing a line for each request.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Time between two lines on one condition: soon enough to see when it begins and
/// ends, and few beside the lines of requests.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// When the last line on a condition was written.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    written_at: Cell<Option<Instant>>,
}

impl LogRateLimiter {
    /// Whether a line may be written now; if so, it counts as written.
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
