//! Limits how long a connection may have been idle before it carries a request that may run
//! only once. Pure: callers pass the current time.
//!
//! Replicas, or network devices in between, may silently drop idle connections earlier than
//! announced. The next request on such a connection is reset, with an unknown outcome.

use std::time::Duration;

use tokio::time::Instant;

/// Number of resets after which a limit applies; a single one may be a restart.
const MIN_RESETS: u32 = 2;
/// Time after the last reset at which the limit expires.
const LIMIT_LIFETIME: Duration = Duration::from_secs(6);
/// Fraction of the shortest fatal idle time that is still considered safe.
const SAFE_FRACTION: f64 = 0.5;
/// Idle time below which a reset is not attributed to idleness.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(40);

/// Idle limit learned from reset connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    resets: u32,
    shortest_idle: Duration,
    until: Option<Instant>,
}

impl IdleLimit {
    /// Records that a connection was reset after the given idle time, by a replica that
    /// accepted a new connection at once.
    pub fn record_reset(&mut self, idle_time: Duration, now: Instant) {
        if idle_time < MIN_IDLE_TIME {
            return;
        }
        if self.is_active(now) {
            self.resets += 1;
            self.shortest_idle = self.shortest_idle.min(idle_time);
        } else {
            self.resets = 1;
            self.shortest_idle = idle_time;
        }
        self.until = Some(now + LIMIT_LIFETIME);
    }

    /// Returns the maximum idle time of a connection that may be reused, or `None` while
    /// announced keep-alive timeouts are trusted.
    pub fn max_idle(&self, now: Instant) -> Option<Duration> {
        let applies = self.is_active(now) && self.resets >= MIN_RESETS;
        applies.then(|| self.shortest_idle.mul_f64(SAFE_FRACTION))
    }

    fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}
