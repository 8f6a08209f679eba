//! Keeps a condition that lasts from writing a line for each request.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Time between two lines on one condition: soon enough to see when it begins and
/// ends, and few beside the lines of requests.
const PAUSE: Duration = Duration::from_millis(1000);

/// When the last line on a condition was written.
#[derive(Debug, Default)]
pub(crate) struct LinePause {
    written_at: Cell<Option<Instant>>,
}

impl LinePause {
    /// Whether a line may be written now; if so, it counts as written.
    pub(crate) fn take(&self) -> bool {
        let now = Instant::now();
        let written_at = self.written_at.get();
        let due = written_at.is_none_or(|at| at + PAUSE <= now);
        if due {
            self.written_at.set(Some(now));
        }
        due
    }
}
