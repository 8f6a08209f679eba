//! Baseline latency of plain services by route, against which the latency of a replica is
//! judged. Routes of one service differ in their work.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_types::Text;

/// Quantile of the latencies that serves as baseline. It is well below the median, since
/// most replicas may be slow at once.
const BASELINE_QUANTILE: f64 = 0.25;
/// Step by which one response moves the baseline's logarithm. About fifty responses halve
/// or double it.
const LOGARITHM_STEP: f64 = 0.05;
/// Maximum number of routes; names change with the configuration.
const MAX_ROUTES: usize = 256;
/// Multiple of the baseline after which a response is overdue. The slowest healthy
/// responses take about ten times the baseline.
const TIMEOUT_FACTOR: f64 = 12.0;
/// Lower bound of the response timeout, long enough for pauses of processes and
/// connections.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Lower bound of a measured latency.
const MIN_LATENCY: Duration = Duration::from_micros(200);

/// Baseline latencies by route.
#[derive(Debug, Default)]
pub struct BaselineLatencies {
    logarithms: RefCell<HashMap<Text, f64>>,
}

impl BaselineLatencies {
    /// Returns how long a request on this route waits for its response before it is retried
    /// at another replica, or `None` before the first response. Without a retry, a single
    /// lost response would fail the caller's whole program: when 16 of 27 replicas lost one
    /// response in twenty for 4.6 s, 13 programs in 1,000 failed, and 1 in 1,000 with retries.
    pub fn response_timeout(&self, route: &Text) -> Option<Duration> {
        let logarithms = self.logarithms.borrow();
        let baseline = Duration::from_secs_f64(logarithms.get(route)?.exp());
        Some(baseline.mul_f64(TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT))
    }

    /// Adds the latency of a response and returns its ratio to the previous baseline.
    pub fn record_slowdown(&self, route: &Text, latency: Duration) -> f64 {
        let logarithm = latency.max(MIN_LATENCY).as_secs_f64().ln();
        let mut logarithms = self.logarithms.borrow_mut();
        if logarithms.len() >= MAX_ROUTES && !logarithms.contains_key(route) {
            logarithms.clear();
        }
        let baseline = logarithms.entry(route.clone()).or_insert(logarithm);
        let slowdown = (logarithm - *baseline).exp();
        *baseline += match logarithm > *baseline {
            true => LOGARITHM_STEP * BASELINE_QUANTILE,
            false => -LOGARITHM_STEP * (1.0 - BASELINE_QUANTILE),
        };
        slowdown
    }
}
