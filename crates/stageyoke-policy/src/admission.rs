//! Admission control: which programs may start while a service's engines are overloaded.
//!
//! If every program started during an overload, turns would wait in the engines' queues
//! until their callers time out, and the retries would prolong the overload. So programs
//! that have started continue, and a new one is admitted only if engines have capacity for
//! it. Engines serve urgent turns first, so only turns that are at least as urgent as
//! the new program count against it. All fronts use the same load counts and the same order
//! of programs, so that a program which one front rejects isn't admitted by another front
//! ahead of earlier ones.

use std::time::Duration;

/// Range of utilization above 1 over which the admitted share falls from 1 to 0. In a
/// narrower range, fronts with delayed load counts would alternate between admitting all
/// programs and none.
const SHEDDING_RANGE: f64 = 0.25;

/// Retry delay for the first program in the order; a usual turn ends within it and frees a
/// slot.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Additional retry delay for the last program in the order, which spreads the retries.
const RETRY_DELAY_SPREAD: Duration = Duration::from_millis(600);

/// Load on a service's engines, as counted by all fronts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Turns that the engines can run at the same time.
    pub slots: u32,
    /// Turns in flight, running or queued, that are at least as urgent as the program to be
    /// admitted.
    pub competing_turns: u32,
}

/// Result of an admission check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The program may start.
    Admitted,
    /// The engines are overloaded; the caller may retry after this delay.
    Rejected(Duration),
}

impl EngineLoad {
    /// Share of new programs to admit, from 0 to 1; it is 1 while a slot is free.
    pub fn admitted_share(&self) -> f64 {
        if self.slots == 0 {
            return 1.0;
        }
        let utilization = f64::from(self.competing_turns) / f64::from(self.slots);
        ((1.0 + SHEDDING_RANGE - utilization) / SHEDDING_RANGE).clamp(0.0, 1.0)
    }

    /// Decides whether a program may start. `order` is the program's position among all
    /// programs, from 0 (admitted first) to 1. It must not depend on the arrival time, so
    /// that a rejected program keeps its position when it retries.
    pub fn decide(&self, order: f64) -> AdmissionDecision {
        match order < self.admitted_share() {
            true => AdmissionDecision::Admitted,
            false => {
                AdmissionDecision::Rejected(MIN_RETRY_DELAY + RETRY_DELAY_SPREAD.mul_f64(order))
            }
        }
    }
}
