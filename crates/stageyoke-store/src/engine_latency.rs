//! How long engines take against the middle of all, by what all fronts see: some are
//! faster than others by their build, and a front alone meets each too seldom to know.
//!
//! Load that it answers: a burst in which fronts that know nothing of speeds give slow
//! engines as much as fast ones, and those turns end late.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_directory::GroupNumber;
use stageyoke_types::List;
use tokio::time::Instant;

use crate::extension::Deviation;
use crate::message::LatencyEntry;
use crate::replica_latency::{HUNDREDTHS, LatencyStats, UnreportedLatencies};

/// A store tells a front of deviations so often at most: the list is some hundred bytes.
const TELL_PAUSE: Duration = Duration::from_millis(1000);
/// What was heard of deviations counts for this long: two tellings may be lost.
const HEARD_LIFE: Duration = Duration::from_millis(2500);
/// Bounds of one turn's ratio: a single outlier, as where a stream came in one piece,
/// shall not rule.
const RATIO_RANGE: (f64, f64) = (0.25, 8.0);

/// What a front tells and has heard of engines.
#[derive(Debug, Default)]
pub struct EngineTracker {
    tells: Cell<bool>,
    untold: UnreportedLatencies,
    heard: RefCell<HashMap<u32, (f64, Instant)>>,
}

impl EngineTracker {
    /// From now on other fronts are told how long engines take.
    pub fn enable_reports(&self) {
        self.tells.set(true);
    }

    /// A turn at an engine took so many times as long as turns do.
    pub fn record_ratio(&self, replica: u32, ratio: f64) {
        let (least, most) = RATIO_RANGE;
        self.untold.record(replica, ratio.clamp(least, most));
    }

    /// What a group has not been told yet; none where nothing is told to others.
    pub fn take_unreported(&self, group: GroupNumber) -> Option<List<LatencyEntry>> {
        self.tells.get().then(|| self.untold.take(group))
    }

    /// A store has told of these.
    pub fn apply_report(&self, deviations: &[Deviation]) {
        let now = Instant::now();
        let mut heard = self.heard.borrow_mut();
        heard.retain(|_, (_, at)| now.duration_since(*at) < HEARD_LIFE);
        for deviation in deviations {
            let times = (f64::from(deviation.log_ratio) / HUNDREDTHS).exp();
            heard.insert(deviation.replica, (times, now));
        }
    }

    /// How many times as long as the middle an engine takes; none where it is not known.
    pub fn slowdown(&self, replica: u32) -> Option<f64> {
        let heard = self.heard.borrow();
        let (times, at) = heard.get(&replica)?;
        (at.elapsed() < HEARD_LIFE).then_some(*times)
    }
}

/// A store's collection of what fronts tell of engines.
#[derive(Debug)]
pub struct EngineReports {
    paces: RefCell<LatencyStats>,
    told: RefCell<HashMap<u32, Instant>>,
}

impl Default for EngineReports {
    fn default() -> Self {
        Self {
            paces: RefCell::new(LatencyStats::for_engines()),
            told: RefCell::default(),
        }
    }
}

impl EngineReports {
    /// Takes what a front tells.
    pub fn add(&self, paces: &[LatencyEntry]) {
        self.paces.borrow_mut().add(paces);
    }

    /// How far engines lie from the middle; none where this front was told just now.
    pub fn deviations_for(&self, front: u32) -> Option<List<Deviation>> {
        let now = Instant::now();
        let mut told = self.told.borrow_mut();
        told.retain(|_, at| now.duration_since(*at) < TELL_PAUSE);
        if told.contains_key(&front) {
            return None;
        }
        told.insert(front, now);
        Some(self.paces.borrow().deviations())
    }
}
