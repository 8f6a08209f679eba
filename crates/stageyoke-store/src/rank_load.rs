//! Turns in flight at engines by service and rank, summed over all fronts. Admission of new
//! programs is based on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use stageyoke_types::List;
use tokio::time::Instant;

use crate::extension::RankLoad;
use crate::load::{LOAD_REPORT_TTL, decrement};

/// Maximum number of service and rank pairs in one report.
pub const MAX_RANK_LOADS: usize = 32;

/// A service and a rank of its turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceRank {
    /// Hash of the service's name.
    pub service: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

impl ServiceRank {
    fn from_load(load: &RankLoad) -> Self {
        Self {
            service: load.service,
            rank: load.rank,
        }
    }
}

/// Number of turns by service and rank.
#[derive(Debug, Default)]
struct RankCounts(HashMap<ServiceRank, u16>);

impl RankCounts {
    fn add(&mut self, load: &RankLoad) {
        let sum = self.0.entry(ServiceRank::from_load(load)).or_default();
        *sum = sum.saturating_add(load.in_flight);
    }

    /// The highest counts, in the form of a report.
    fn to_report(&self) -> List<RankLoad> {
        let loads = self.0.iter().map(|(service_rank, in_flight)| RankLoad {
            service: service_rank.service,
            rank: service_rank.rank,
            in_flight: *in_flight,
        });
        let mut loads: Vec<RankLoad> = loads.collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.in_flight));
        loads.truncate(MAX_RANK_LOADS);
        List(loads)
    }
}

/// Counts of all other fronts, as reported by a store.
#[derive(Debug)]
struct ReceivedCounts {
    counts: RankCounts,
    received_at: Instant,
}

/// A front's own turns and the turns that stores report for all other fronts.
#[derive(Debug, Default)]
pub struct RankTracker {
    reports_enabled: Cell<bool>,
    local: RefCell<RankCounts>,
    other_fronts: RefCell<Option<ReceivedCounts>>,
}

impl RankTracker {
    /// Starts to exchange reports with other fronts.
    pub fn enable_reports(&self) {
        self.reports_enabled.set(true);
    }

    /// Counts a turn of this rank as started at one of the service's engines.
    pub fn start_turn(&self, service_rank: ServiceRank) {
        let mut local = self.local.borrow_mut();
        let count = local.0.entry(service_rank).or_default();
        *count = count.saturating_add(1);
    }

    /// Counts a turn of this rank as ended.
    pub fn end_turn(&self, service_rank: ServiceRank) {
        decrement(&mut self.local.borrow_mut().0, service_rank);
    }

    /// This front's turns, to report to stores; `None` while reports are disabled.
    pub fn report(&self) -> Option<List<RankLoad>> {
        self.reports_enabled
            .get()
            .then(|| self.local.borrow().to_report())
    }

    /// Applies a report on the turns of all other fronts.
    pub fn apply_report(&self, other_fronts: &List<RankLoad>) {
        let mut counts = RankCounts::default();
        other_fronts.iter().for_each(|load| counts.add(load));
        let received_at = Instant::now();
        self.other_fronts.replace(Some(ReceivedCounts {
            counts,
            received_at,
        }));
    }

    /// Turns in flight at a service's engines with this rank or a more urgent one; `None`
    /// without a recent report on the other fronts.
    pub fn in_flight_at_or_above(&self, service_rank: ServiceRank) -> Option<u32> {
        let other_fronts = self.other_fronts.borrow();
        let received = other_fronts.as_ref()?;
        if received.received_at.elapsed() >= LOAD_REPORT_TTL {
            return None;
        }
        let local = self.local.borrow();
        let all = local.0.iter().chain(received.counts.0.iter());
        let counted = all.filter(|(other, _)| {
            other.service == service_rank.service && other.rank <= service_rank.rank
        });
        Some(counted.map(|(_, count)| u32::from(*count)).sum())
    }
}

/// Latest report of a front.
#[derive(Debug)]
struct FrontReport {
    loads: List<RankLoad>,
    received_at: Instant,
}

/// Reports that a store has received from fronts.
#[derive(Debug, Default)]
pub struct RankReports {
    fronts: RefCell<HashMap<u32, FrontReport>>,
}

impl RankReports {
    /// Replaces a front's previous report.
    pub fn update(&self, front: u32, loads: List<RankLoad>) {
        let received_at = Instant::now();
        self.fronts
            .borrow_mut()
            .insert(front, FrontReport { loads, received_at });
    }

    /// Sums the turns of all fronts except this one.
    pub fn report_excluding(&self, front: u32) -> List<RankLoad> {
        let mut fronts = self.fronts.borrow_mut();
        fronts.retain(|_, report| report.received_at.elapsed() < LOAD_REPORT_TTL);
        let other_fronts = fronts.iter().filter(|(other, _)| **other != front);
        let mut counts = RankCounts::default();
        other_fronts
            .flat_map(|(_, report)| report.loads.iter())
            .for_each(|load| counts.add(load));
        counts.to_report()
    }
}
