//! Latency of engines relative to the median, pooled over all fronts. Engines differ in speed
//! by their hardware, and a single front uses each of them too rarely to measure it.
//!
//! Without it, fronts send slow engines as many turns as fast ones during a burst, and those
//! turns end late.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_directory::GroupNumber;
use stageyoke_types::List;
use tokio::time::Instant;

use crate::extension::Deviation;
use crate::message::LatencyEntry;
use crate::replica_latency::{LOG_RATIO_SCALE, LatencyStats, UnreportedLatencies};

/// Minimum interval between two reports of deviations to a front; a report takes a few
/// hundred bytes.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which reported deviations are used; two reports may be lost.
const DEVIATION_TTL: Duration = Duration::from_millis(2500);
/// Range to which a turn's ratio is clamped, to limit the effect of outliers such as a stream
/// that arrives in one piece.
const RATIO_RANGE: (f64, f64) = (0.25, 8.0);

/// Engine latencies that a front reports and receives.
#[derive(Debug, Default)]
pub struct EngineTracker {
    reports_enabled: Cell<bool>,
    unreported: UnreportedLatencies,
    received: RefCell<HashMap<u32, (f64, Instant)>>,
}

impl EngineTracker {
    /// Starts to report engine latencies to stores.
    pub fn enable_reports(&self) {
        self.reports_enabled.set(true);
    }

    /// Records the ratio of a turn's duration at an engine to the expected one.
    pub fn record_ratio(&self, replica: u32, ratio: f64) {
        let (lowest, highest) = RATIO_RANGE;
        self.unreported
            .record(replica, ratio.clamp(lowest, highest));
    }

    /// Returns the latencies that a group has not received yet, and clears them; `None` while
    /// reports are disabled.
    pub fn take_unreported(&self, group: GroupNumber) -> Option<List<LatencyEntry>> {
        self.reports_enabled
            .get()
            .then(|| self.unreported.take(group))
    }

    /// Applies a store's report on deviations.
    pub fn apply_report(&self, deviations: &[Deviation]) {
        let now = Instant::now();
        let mut received = self.received.borrow_mut();
        received.retain(|_, (_, at)| now.duration_since(*at) < DEVIATION_TTL);
        for deviation in deviations {
            let slowdown = (f64::from(deviation.log_ratio) / LOG_RATIO_SCALE).exp();
            received.insert(deviation.replica, (slowdown, now));
        }
    }

    /// Slowdown of an engine relative to the median; `None` if unknown.
    pub fn slowdown(&self, replica: u32) -> Option<f64> {
        let received = self.received.borrow();
        let (slowdown, at) = received.get(&replica)?;
        (at.elapsed() < DEVIATION_TTL).then_some(*slowdown)
    }
}

/// Engine latencies that a store has collected from fronts.
#[derive(Debug)]
pub struct EngineReports {
    latencies: RefCell<LatencyStats>,
    reported_at: RefCell<HashMap<u32, Instant>>,
}

impl Default for EngineReports {
    fn default() -> Self {
        Self {
            latencies: RefCell::new(LatencyStats::for_engines()),
            reported_at: RefCell::default(),
        }
    }
}

impl EngineReports {
    /// Adds the latencies that a front reports.
    pub fn add(&self, latencies: &[LatencyEntry]) {
        self.latencies.borrow_mut().add(latencies);
    }

    /// Deviations of engines from the median, to report to a front; `None` if the front
    /// received a report within the report interval.
    pub fn deviations_for(&self, front: u32) -> Option<List<Deviation>> {
        let now = Instant::now();
        let mut reported_at = self.reported_at.borrow_mut();
        reported_at.retain(|_, at| now.duration_since(*at) < REPORT_INTERVAL);
        if reported_at.contains_key(&front) {
            return None;
        }
        reported_at.insert(front, now);
        Some(self.latencies.borrow().deviations())
    }
}
