//! How likely a replica is to fail the next request, judged by the outcomes
//! that this front saw and by what other fronts report. Pure: time is given.
//!
//! A replica that is down refuses at once and therefore looks idle; without a
//! judgement it would draw ever more work.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest outcome in the estimate: one failure among successes
/// stays below `CAUTION`. Half of the replicas may lose one answer in twenty,
/// and the others could not carry all the work.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Weight of a connection that was reset sooner than the work takes: nothing
/// runs there, so a single one is beyond `CAUTION`.
const RESET_WEIGHT: f64 = 0.5;
/// Time in which an estimate halves by itself, so that a replica is tried again.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_millis(1500);
/// Beyond this estimate a replica gets no request that may run only once.
pub const CAUTION_THRESHOLD: f64 = 0.3;
/// Beyond this estimate a replica gets no request at all.
pub const SUSPENSION_THRESHOLD: f64 = 0.6;
/// What each other front that has lost trust in a replica adds: the word of one
/// alone excludes nothing, as single answers get lost at sound replicas too.
const PEER_REPORT_WEIGHT: f64 = 0.25;

/// What one request showed of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It answered as it should.
    Sound,
    /// It answered, but not as it should.
    Failed,
    /// Its connection ended before its answer did.
    Lost,
    /// Its connection ended at once.
    Reset,
    /// It can't be connected to.
    Unreachable,
}

/// One front's own estimate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    estimate: f64,
    at: Option<Instant>,
}

impl Health {
    /// Takes the outcome of a request.
    pub fn record(&mut self, evidence: Evidence, now: Instant) {
        let before = self.failure_probability(now);
        let worse_by = |weight: f64| before + weight * (1.0 - before);
        self.estimate = match evidence {
            Evidence::Sound => before * (1.0 - OUTCOME_WEIGHT),
            Evidence::Failed | Evidence::Lost => worse_by(OUTCOME_WEIGHT),
            Evidence::Reset => worse_by(RESET_WEIGHT),
            Evidence::Unreachable => 1.0,
        };
        self.at = Some(now);
    }

    /// Likelihood that the next request fails, 0 to 1.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        self.estimate * (-passed / ESTIMATE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// How long the estimate stays beyond `CAUTION` without another outcome.
    pub fn time_above_caution(&self, now: Instant) -> Duration {
        let failure = self.failure_probability(now);
        if failure <= CAUTION_THRESHOLD {
            return Duration::ZERO;
        }
        ESTIMATE_HALF_LIFE.mul_f64((failure / CAUTION_THRESHOLD).log2())
    }
}

/// The estimate of one front together with the reports of others.
pub fn combine_estimates(own: f64, reports: u16) -> f64 {
    own.max((PEER_REPORT_WEIGHT * f64::from(reports)).min(1.0))
}

/// The estimate up to which a replica is offered a request.
pub fn accepted_failure(repeatable: bool) -> f64 {
    match repeatable {
        true => SUSPENSION_THRESHOLD,
        false => CAUTION_THRESHOLD,
    }
}
