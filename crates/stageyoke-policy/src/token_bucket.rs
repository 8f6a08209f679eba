//! Token bucket rate limiter.

use std::time::Duration;

/// Request rate and burst size that a limiter allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Additional requests that may arrive at once.
    pub burst: f64,
}

impl RateLimit {
    /// Multiplies rate and burst by `factor`. The burst stays at least one request, since
    /// a smaller bucket would never grant one.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            per_second: self.per_second * factor,
            burst: (self.burst * factor).max(1.0),
        }
    }

    /// Bucket size in tokens: at least one, so that a limit without a burst still grants
    /// single requests.
    fn capacity(self) -> f64 {
        self.burst.max(1.0)
    }
}

/// Token bucket that refills at the limit's rate. Over any span of time it grants at most
/// the tokens refilled in that span and one burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`, clamped to its capacity.
    pub fn new(limit: RateLimit, tokens: f64, now: Duration) -> Self {
        Self {
            limit,
            tokens: tokens.clamp(0.0, limit.capacity()),
            refilled_at: now,
        }
    }

    /// Limit at which the bucket refills.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Replaces the limit; tokens above the new capacity are dropped.
    pub fn set_limit(&mut self, limit: RateLimit, now: Duration) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.capacity());
    }

    /// Number of tokens available at `now`.
    pub fn available(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes one token; returns false if less than one is available.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let granted = self.available(now) >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill = elapsed.as_secs_f64() * self.limit.per_second;
        self.tokens = (self.tokens + refill).min(self.limit.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }
}
