//! Limits the bytes of log output per second with a token bucket. Does no I/O and reads
//! no clock.

use std::time::Duration;

/// Sustained log output limit, in bytes per second.
pub const BYTES_PER_SECOND: u64 = 256 * 1024;
/// Capacity of the token bucket, in bytes.
pub const BURST_BYTES: u64 = 512 * 1024;
/// Share of the bucket that ordinary lines may not use.
const RESERVED_FOR_IMPORTANT_BYTES: u64 = BURST_BYTES / 2;

/// Decides which lines are suppressed first when the limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// The summary of a successful request.
    Ordinary,
    /// A failure or a state change.
    Important,
}

/// Token bucket over the bytes of log lines.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    available_bytes: u64,
    refilled_at: Duration,
    suppressed: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        Self {
            available_bytes: BURST_BYTES,
            refilled_at: Duration::ZERO,
            suppressed: 0,
        }
    }
}

impl LogRateLimiter {
    /// Returns whether a line of `bytes` may be written at `now`, a monotonic clock
    /// reading. Counts the line as suppressed if not.
    pub fn allow(&mut self, now: Duration, bytes: u64, importance: Importance) -> bool {
        self.refill(now);
        let reserve = match importance {
            Importance::Ordinary => RESERVED_FOR_IMPORTANT_BYTES,
            Importance::Important => 0,
        };
        if self.available_bytes < bytes + reserve {
            self.suppressed += 1;
            return false;
        }
        self.available_bytes -= bytes;
        true
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let refilled_bytes = elapsed.as_micros() as u64 * BYTES_PER_SECOND / 1_000_000;
        if refilled_bytes > 0 {
            self.available_bytes = (self.available_bytes + refilled_bytes).min(BURST_BYTES);
            self.refilled_at = now;
        }
    }
}
