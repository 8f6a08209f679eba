//! Limits the requests that all fronts together send to a replica that has just started.
//!
//! A cold replica fails above a rate that many fronts reach together although each sends it
//! only a few requests. So each request to it needs a permit from one store, which all fronts
//! choose alike by hash. This costs one exchange a request and nothing while replicas are warm,
//! whatever the number of fronts. A share of the rate for each front would round to nothing
//! with many fronts, and would need their number.

use std::collections::HashMap;
use std::time::Duration;

use crate::sliding_window::SlidingWindow;

/// Time from the request for a permit within which the permitted request must be sent.
pub const PERMIT_TTL: Duration = Duration::from_millis(250);
/// Time over which permits are counted: those used within any second were granted within it.
const WINDOW: Duration = Duration::from_secs(1).saturating_add(PERMIT_TTL);
/// Number of stores that may grant permits for a replica at the same time: fronts may use two
/// versions of the store groups.
const MAX_CONCURRENT_OWNERS: f64 = 2.0;
/// Maximum number of replicas whose permits one store counts, at some 250 bytes each.
const MAX_REPLICAS: usize = 20_000;

/// Tolerated excess over the rate that a service states for its cold replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the stated rate.
    pub factor: f64,
    /// Requests per second beyond that.
    pub slack: f64,
}

impl ColdTolerance {
    /// Creates the tolerance; negative values count as zero.
    pub fn new(factor: f64, slack: f64) -> Self {
        Self {
            factor: factor.max(0.0),
            slack: slack.max(0.0),
        }
    }

    /// Returns the number of permits that one store may grant in a window for a replica that
    /// states this rate, in requests per second.
    pub fn permits(&self, stated_rate: f64) -> u32 {
        let max_per_second = stated_rate * self.factor + self.slack;
        (max_per_second / MAX_CONCURRENT_OWNERS).max(0.0) as u32
    }
}

/// Decision on a request to a cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be sent within [`PERMIT_TTL`].
    Granted,
    /// No further request may be sent for this long.
    Denied(Duration),
}

/// Permits that one store has granted.
#[derive(Debug, Default)]
pub struct PermitLedger {
    windows: HashMap<u64, SlidingWindow>,
}

impl PermitLedger {
    /// Grants a request to a replica unless `permits` were granted in the current window.
    /// `now` is the time since the start of the process. In the first window nothing is
    /// granted: what an earlier process granted is unknown.
    pub fn acquire(&mut self, replica: u64, permits: u32, now: Duration) -> PermitDecision {
        if now < WINDOW {
            return PermitDecision::Denied(WINDOW - now);
        }
        if self.windows.len() >= MAX_REPLICAS && !self.windows.contains_key(&replica) {
            self.windows.retain(|_, window| window.count(now) > 0);
            if self.windows.len() >= MAX_REPLICAS {
                return PermitDecision::Denied(WINDOW);
            }
        }
        let window = self
            .windows
            .entry(replica)
            .or_insert_with(|| SlidingWindow::new(WINDOW, now));
        if window.count(now) < permits {
            window.record(now);
            return PermitDecision::Granted;
        }
        let wait = window.time_until_at_most(permits.saturating_sub(1), now);
        PermitDecision::Denied(if permits == 0 { WINDOW } else { wait })
    }

    /// Returns the number of replicas whose permits are counted.
    pub fn replica_count(&self) -> usize {
        self.windows.len()
    }
}
