//! Estimates the demand of programs from those that have finished.

use std::time::Duration;

/// Time constant of the exponential decay, in seconds; spans several program lifetimes.
const DECAY_SECONDS: f64 = 10.0;
/// Lower and upper bound of the estimated program lifetime, in seconds.
const LIFETIME_RANGE_SECONDS: (f64, f64) = (1.0, 8.0);

/// Expected demand of one program.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Request rate while the program runs, in requests per second.
    pub(super) per_second: f64,
    /// Expected lifetime, in seconds.
    pub(super) lifetime_seconds: f64,
}

/// Exponentially decaying averages over the programs of all tenants.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandEstimator {
    /// Programs that finished without a rejected request, and their requests. Programs that
    /// were cut short are left out, since they would make the estimate too low.
    finished_programs: f64,
    finished_requests: f64,
    /// Sum of the times between consecutive requests of a program, and their number.
    gap_seconds: f64,
    gaps: f64,
    updated_at: Duration,
}

impl DemandEstimator {
    /// Reduces the weight of earlier samples by the time since the last call.
    pub(super) fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let weight = (-elapsed / DECAY_SECONDS).exp();
        self.finished_programs *= weight;
        self.finished_requests *= weight;
        self.gap_seconds *= weight;
        self.gaps *= weight;
        self.updated_at = self.updated_at.max(now);
    }

    /// Adds the time between two consecutive requests of a program.
    pub(super) fn record_gap(&mut self, gap: Duration) {
        self.gap_seconds += gap.as_secs_f64();
        self.gaps += 1.0;
    }

    /// Adds a program that finished by itself after this number of requests.
    pub(super) fn record_finished_program(&mut self, requests: u32) {
        self.finished_programs += 1.0;
        self.finished_requests += f64::from(requests);
    }

    /// Expected demand of one more program; `None` until programs have been observed.
    pub(super) fn estimate(&self) -> Option<Demand> {
        let gap = self.gap_seconds / self.gaps;
        let requests = self.finished_requests / self.finished_programs;
        let known = gap.is_finite() && gap > 0.0 && requests.is_finite();
        known.then(|| Demand {
            per_second: 1.0 / gap,
            lifetime_seconds: (gap * requests)
                .clamp(LIFETIME_RANGE_SECONDS.0, LIFETIME_RANGE_SECONDS.1),
        })
    }
}
