//! How long a kept connection may have rested before a request that may run
//! only once is sent on it. Pure: time is given.
//!
//! Replicas, or what stands between, may silently forget resting connections
//! earlier than they announce. The next request on such a connection is reset,
//! and whether it ran cannot be told.

use std::time::Duration;

use tokio::time::Instant;

/// Forgotten connections after which a limit is set: one may be a restart.
const RESETS_TO_LIMIT: u32 = 2;
/// A limit is forgotten this long after the last forgotten connection.
const LIMIT_LIFETIME: Duration = Duration::from_secs(6);
/// Part of the shortest fatal rest that is still used.
const SAFE_FRACTION: f64 = 0.5;
/// A connection that rested less was not forgotten for its rest.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(40);

/// What this front has learned of resting connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    resets: u32,
    shortest_idle: Duration,
    until: Option<Instant>,
}

impl IdleLimit {
    /// A connection that had rested so long was reset, by a replica that took a
    /// new one at once.
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

    /// The longest rest of a connection that may still be used; `None` while
    /// what replicas announce can be trusted.
    pub fn max_idle(&self, now: Instant) -> Option<Duration> {
        let known = self.is_active(now) && self.resets >= RESETS_TO_LIMIT;
        known.then(|| self.shortest_idle.mul_f64(SAFE_FRACTION))
    }

    fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}
