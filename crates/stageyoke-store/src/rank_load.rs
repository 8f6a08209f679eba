//! Turns under way at engines by service and rank, as all fronts together have them: the
//! view by which each front decides whether a program begins.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use stageyoke_types::List;
use tokio::time::Instant;

use crate::extension::RankLoad;
use crate::load::{LOAD_REPORT_TTL, count_down};

/// Services and ranks of turns in one report.
pub const MAX_RANK_LOADS: usize = 32;

/// A service's engines and a rank of turns there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceRank {
    /// Hash of the service's name.
    pub service: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

impl ServiceRank {
    fn of(load: &RankLoad) -> Self {
        Self {
            service: load.service,
            rank: load.rank,
        }
    }
}

/// Turns by service and rank.
#[derive(Debug, Default)]
struct RankCounts(HashMap<ServiceRank, u16>);

impl RankCounts {
    fn add(&mut self, load: &RankLoad) {
        let sum = self.0.entry(ServiceRank::of(load)).or_default();
        *sum = sum.saturating_add(load.in_flight);
    }

    /// The highest counts, as they are told.
    fn listed(&self) -> List<RankLoad> {
        let listed = self.0.iter().map(|(ranked, under_way)| RankLoad {
            service: ranked.service,
            rank: ranked.rank,
            in_flight: *under_way,
        });
        let mut listed: Vec<RankLoad> = listed.collect();
        listed.sort_by_key(|load| std::cmp::Reverse(load.in_flight));
        listed.truncate(MAX_RANK_LOADS);
        List(listed)
    }
}

/// What other fronts have under way, as a store told it.
#[derive(Debug)]
struct Heard {
    counts: RankCounts,
    at: Instant,
}

/// A front's own turns and what it last heard of all others'.
#[derive(Debug, Default)]
pub struct RankTracker {
    tells: Cell<bool>,
    own: RefCell<RankCounts>,
    others: RefCell<Option<Heard>>,
}

impl RankTracker {
    /// From now on other fronts are told, and tell this one.
    pub fn enable_reports(&self) {
        self.tells.set(true);
    }

    /// Counts a turn of this rank as begun at an engine of a service.
    pub fn start_turn(&self, ranked: ServiceRank) {
        let mut own = self.own.borrow_mut();
        let count = own.0.entry(ranked).or_default();
        *count = count.saturating_add(1);
    }

    /// Counts it as ended.
    pub fn end_turn(&self, ranked: ServiceRank) {
        count_down(&mut self.own.borrow_mut().0, ranked);
    }

    /// The front's own turns, for its stores; none where nothing is told to others.
    pub fn report(&self) -> Option<List<RankLoad>> {
        self.tells.get().then(|| self.own.borrow().listed())
    }

    /// Takes the turns that all other fronts have under way.
    pub fn apply_report(&self, others: &List<RankLoad>) {
        let mut counts = RankCounts::default();
        others.iter().for_each(|load| counts.add(load));
        let at = Instant::now();
        self.others.replace(Some(Heard { counts, at }));
    }

    /// Turns under way at a service's engines of this rank or a more urgent one; `None`
    /// where what other fronts have is not known or was told too long ago.
    pub fn in_flight_at_or_above(&self, ranked: ServiceRank) -> Option<u32> {
        let others = self.others.borrow();
        let heard = others.as_ref()?;
        if heard.at.elapsed() >= LOAD_REPORT_TTL {
            return None;
        }
        let own = self.own.borrow();
        let all = own.0.iter().chain(heard.counts.0.iter());
        let counted =
            all.filter(|(other, _)| other.service == ranked.service && other.rank <= ranked.rank);
        Some(counted.map(|(_, count)| u32::from(*count)).sum())
    }
}

/// A front's turns as it told them last.
#[derive(Debug)]
struct Told {
    loads: List<RankLoad>,
    at: Instant,
}

/// A store's collection of what fronts have under way.
#[derive(Debug, Default)]
pub struct RankReports {
    fronts: RefCell<HashMap<u32, Told>>,
}

impl RankReports {
    /// Takes a front's turns in place of its former ones.
    pub fn update(&self, front: u32, loads: List<RankLoad>) {
        let at = Instant::now();
        self.fronts.borrow_mut().insert(front, Told { loads, at });
    }

    /// Turns of all fronts but one.
    pub fn report_excluding(&self, front: u32) -> List<RankLoad> {
        let mut fronts = self.fronts.borrow_mut();
        fronts.retain(|_, told| told.at.elapsed() < LOAD_REPORT_TTL);
        let others = fronts.iter().filter(|(other, _)| **other != front);
        let mut counts = RankCounts::default();
        others
            .flat_map(|(_, told)| told.loads.iter())
            .for_each(|load| counts.add(load));
        counts.listed()
    }
}
