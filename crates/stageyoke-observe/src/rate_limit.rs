//! How many lines and bytes a process may write. Pure.

use std::time::Duration;

/// Bytes a second that a process may write in the long run.
pub const BYTES_PER_SECOND: u64 = 256 * 1024;
/// Bytes that it may write at once.
pub const BURST_BYTES: u64 = 512 * 1024;
/// Ordinary lines leave this part of the burst to the others.
const KEPT_FOR_FAILURES: u64 = BURST_BYTES / 2;

/// Whether a line is one of many alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// The ordinary end of a request: left out first.
    Ordinary,
    /// A failure, or a change of what the process believes.
    Important,
}

/// A bucket of bytes that fills with time.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    left: u64,
    filled_at: Duration,
    left_out: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        Self {
            left: BURST_BYTES,
            filled_at: Duration::ZERO,
            left_out: 0,
        }
    }
}

impl LogRateLimiter {
    /// Whether a line of this size may be written now; `now` is a reading of a
    /// steady clock. A line that may not is counted.
    pub fn allow(&mut self, now: Duration, bytes: u64, importance: Importance) -> bool {
        self.fill(now);
        let reserve = match importance {
            Importance::Ordinary => KEPT_FOR_FAILURES,
            Importance::Important => 0,
        };
        if self.left < bytes + reserve {
            self.left_out += 1;
            return false;
        }
        self.left -= bytes;
        true
    }

    /// Lines left out since this was last asked.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at);
        let gained = passed.as_micros() as u64 * BYTES_PER_SECOND / 1_000_000;
        if gained > 0 {
            self.left = (self.left + gained).min(BURST_BYTES);
            self.filled_at = now;
        }
    }
}
