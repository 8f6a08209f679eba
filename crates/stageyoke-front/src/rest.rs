//! How long a kept connection may have rested before a request that may run
//! only once is sent on it. Pure: time is given.
//!
//! Replicas, or what stands between, may silently forget resting connections
//! earlier than they announce. The next request on such a connection is reset,
//! and whether it ran cannot be told.

use std::time::Duration;

use tokio::time::Instant;

/// Forgotten connections after which a limit is set: one may be a restart.
const TO_LIMIT: u32 = 2;
/// A limit is forgotten this long after the last forgotten connection.
const LIFE: Duration = Duration::from_secs(6);
/// Part of the shortest fatal rest that is still used.
const SAFE_PART: f64 = 0.5;
/// A connection that rested less was not forgotten for its rest.
pub const LEAST_REST: Duration = Duration::from_millis(40);

/// What this front has learned of resting connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestLimit {
    forgotten: u32,
    shortest: Duration,
    until: Option<Instant>,
}

impl RestLimit {
    /// A connection that had rested so long was reset, by a replica that took a
    /// new one at once.
    pub fn forgot(&mut self, rested: Duration, now: Instant) {
        if rested < LEAST_REST {
            return;
        }
        if self.holds(now) {
            self.forgotten += 1;
            self.shortest = self.shortest.min(rested);
        } else {
            self.forgotten = 1;
            self.shortest = rested;
        }
        self.until = Some(now + LIFE);
    }

    /// The longest rest of a connection that may still be used; `None` while
    /// what replicas announce can be trusted.
    pub fn limit(&self, now: Instant) -> Option<Duration> {
        let known = self.holds(now) && self.forgotten >= TO_LIMIT;
        known.then(|| self.shortest.mul_f64(SAFE_PART))
    }

    fn holds(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}
