//! A token bucket.

use std::time::Duration;

/// How many requests may be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

impl RateLimit {
    /// A part of this limit. Its burst is one request at least, without which
    /// nothing would ever be granted.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            per_second: self.per_second * factor,
            burst: (self.burst * factor).max(1.0),
        }
    }

    /// Room of a bucket: a limit without a burst still grants one at a time.
    fn room(self) -> f64 {
        self.burst.max(1.0)
    }
}

/// Requests that a limit leaves now. Within any time it grants no more than the
/// limit's rate over that time and one burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    level: f64,
    at: Duration,
}

impl TokenBucket {
    /// A bucket that holds so many requests, or its whole room if that is less.
    pub fn new(limit: RateLimit, level: f64, now: Duration) -> Self {
        Self {
            limit,
            level: level.clamp(0.0, limit.room()),
            at: now,
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Another limit is in force from now on.
    pub fn set_limit(&mut self, limit: RateLimit, now: Duration) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.room());
    }

    /// Requests that it holds.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes one request, if it holds one.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let granted = self.level(now) >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        let gained = passed.as_secs_f64() * self.limit.per_second;
        self.level = (self.level + gained).min(self.limit.room());
        self.at = self.at.max(now);
    }
}
