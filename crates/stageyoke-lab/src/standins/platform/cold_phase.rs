//! Cold phase of a stand-in for a replica: requests beyond its rate are reported.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::{COLD_FACTOR, COLD_REQUESTS_PER_SECOND, COLD_SLACK};
use crate::soak::disturbances::MAX_PROPAGATION_DELAY;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    /// Start and end of the phase.
    phase: Option<(Instant, Instant)>,
    /// Arrivals within the last second.
    arrivals: VecDeque<Instant>,
}

/// Cold phase of one replica.
#[derive(Debug, Default)]
pub struct ColdPhase(Mutex<State>);

impl ColdPhase {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a cold phase.
    pub fn start(&self, duration: Duration) {
        let now = Instant::now();
        self.state().phase = Some((now, now + duration));
    }

    /// Returns for how much longer the replica is cold.
    pub fn remaining(&self) -> Duration {
        let phase = self.state().phase;
        phase.map_or(Duration::ZERO, |(_, end)| {
            end.saturating_duration_since(Instant::now())
        })
    }

    /// Counts a request. Returns the number of requests within the last second if it exceeds
    /// what the cold replica may get. Fronts learn of the phase after its start.
    pub fn count_request(&self) -> Option<usize> {
        let mut state = self.state();
        let now = Instant::now();
        state.arrivals.push_back(now);
        while state.arrivals.front().is_some_and(|at| *at + SECOND < now) {
            state.arrivals.pop_front();
        }
        let (start, end) = state.phase?;
        let counted_from = start + MAX_PROPAGATION_DELAY + SECOND;
        let limit = COLD_REQUESTS_PER_SECOND * COLD_FACTOR + COLD_SLACK;
        let count = state.arrivals.len();
        ((counted_from..end).contains(&now) && count as f64 > limit).then_some(count)
    }
}
