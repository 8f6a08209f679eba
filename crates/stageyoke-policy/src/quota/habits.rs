//! What programs ask for, learnt from those that have ended.

use std::time::Duration;

/// Seconds over which the habits of programs are averaged: several lifetimes.
const AVERAGED_OVER: f64 = 10.0;
/// Bounds on the learnt lifetime of programs, in seconds.
const LIFETIME: (f64, f64) = (1.0, 8.0);

/// What a program is expected to ask for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Requests a second.
    pub(super) per_second: f64,
    /// How long, in seconds.
    pub(super) seconds: f64,
}

/// What programs ask for, over all tenants: sums that forget.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Habits {
    /// Programs that have ended by themselves, and their requests. Those that were
    /// cut don't count: from their shorter lives it would seem that more fit.
    ended: f64,
    requests: f64,
    /// Seconds from a program's request to its next, summed, and their number.
    gap_seconds: f64,
    gaps: f64,
    at: Duration,
}

impl Habits {
    /// What was seen counts less with time.
    pub(super) fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / AVERAGED_OVER).exp();
        self.ended *= kept;
        self.requests *= kept;
        self.gap_seconds *= kept;
        self.gaps *= kept;
        self.at = self.at.max(now);
    }

    /// A program made its next request after this time.
    pub(super) fn note_gap(&mut self, gap: Duration) {
        self.gap_seconds += gap.as_secs_f64();
        self.gaps += 1.0;
    }

    /// A program has ended by itself after so many requests.
    pub(super) fn note_end(&mut self, requests: u32) {
        self.ended += 1.0;
        self.requests += f64::from(requests);
    }

    /// What one more program is expected to ask for; none before any was seen.
    pub(super) fn of_one(&self) -> Option<Demand> {
        let gap = self.gap_seconds / self.gaps;
        let requests = self.requests / self.ended;
        let known = gap.is_finite() && gap > 0.0 && requests.is_finite();
        known.then(|| Demand {
            per_second: 1.0 / gap,
            seconds: (gap * requests).clamp(LIFETIME.0, LIFETIME.1),
        })
    }
}
