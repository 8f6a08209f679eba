//! What fronts have under way at replicas, and which replicas failed them. It
//! travels with the records that fronts send to stores anyway, and is a hint:
//! placement uses it, nothing that must hold depends on it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use stageyoke_directory::GroupNumber;
use stageyoke_types::List;
use tokio::time::Instant;

use crate::engine_latency::{EngineReports, EngineTracker};
use crate::message::{LoadEntry, LoadReport, OtherFrontsReport, Placement, Suspicion};
use crate::rank_load::{RankReports, RankTracker};
use crate::replica_latency::{LatencyStats, ReceivedSlowdowns, UnreportedLatencies};

/// Replicas in one report.
pub const MAX_LOAD_ENTRIES: usize = 64;
/// Suspected replicas in one report.
pub const MAX_SUSPECTED_REPLICAS: usize = 32;
/// A report counts for this long.
pub const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);
/// What was heard of failing replicas counts for this long: a front that sends
/// few records hears seldom, and a fault lasts longer than a moment's load.
pub const SUSPICION_TTL: Duration = Duration::from_millis(1200);

/// What a group's store told of the group's turns counts for this long: a turn's
/// next tries go by it too.
const PLACED_LIFE: Duration = Duration::from_millis(300);
/// Turns under way that a store counts at most, some 50 bytes each.
const MOST_PLACED: usize = 20_000;
/// Time between two looks for turns that have lasted too long.
const SWEEP_PAUSE: Duration = Duration::from_millis(200);

/// A front's own counts and what it last heard of all others.
#[derive(Debug)]
pub struct LoadTracker {
    front: u32,
    own: RefCell<HashMap<u32, u16>>,
    suspects: RefCell<HashMap<u32, Instant>>,
    others: RefCell<Heard>,
    placed: RefCell<HashMap<GroupNumber, Placed>>,
    untold_paces: UnreportedLatencies,
    heard_paces: ReceivedSlowdowns,
    /// Turns at engines by rank.
    pub ranks: RankTracker,
    /// How long engines take.
    pub engines: EngineTracker,
}

/// A group's turns under way by replica, as one of its stores told.
#[derive(Debug)]
struct Placed {
    counts: HashMap<u32, u16>,
    at: Instant,
}

#[derive(Debug, Default)]
struct Heard {
    under_way: HashMap<u32, u16>,
    suspecting: HashMap<u32, u16>,
    at: Option<Instant>,
}

impl Heard {
    fn counts(&self, life: Duration) -> bool {
        self.at.is_some_and(|at| at.elapsed() < life)
    }
}

impl LoadTracker {
    /// An empty board of the front with this number.
    pub fn new(front: u32) -> Self {
        Self {
            front,
            own: RefCell::default(),
            suspects: RefCell::default(),
            others: RefCell::default(),
            placed: RefCell::default(),
            untold_paces: UnreportedLatencies::default(),
            heard_paces: ReceivedSlowdowns::default(),
            ranks: RankTracker::default(),
            engines: EngineTracker::default(),
        }
    }

    /// The front's number in its reports.
    pub fn front(&self) -> u32 {
        self.front
    }

    /// A plain answer of a replica took so many times as long as such answers do.
    pub fn record_latency_ratio(&self, replica: u32, ratio: f64) {
        self.untold_paces.record(replica, ratio);
    }

    /// How many times as long as others a replica takes, by what all fronts see.
    pub fn slowdown(&self, replica: u32) -> f64 {
        self.heard_paces.slowdown(replica)
    }

    /// Counts a request as begun at a replica.
    pub fn start_request(&self, replica: u32) {
        *self.own.borrow_mut().entry(replica).or_default() += 1;
    }

    /// Counts a request as ended at a replica.
    pub fn end_request(&self, replica: u32) {
        count_down(&mut self.own.borrow_mut(), replica);
    }

    /// Reports a replica as failing for so long; not at all after no time.
    pub fn suspect(&self, replica: u32, lasting: Duration) {
        let mut suspects = self.suspects.borrow_mut();
        if lasting.is_zero() {
            suspects.remove(&replica);
        } else {
            suspects.insert(replica, Instant::now() + lasting);
        }
    }

    /// What this front tells a group.
    pub fn report(&self, group: GroupNumber) -> LoadReport {
        let mut entries: Vec<LoadEntry> = self
            .own
            .borrow()
            .iter()
            .map(|(replica, under_way)| LoadEntry {
                replica: *replica,
                in_flight: *under_way,
            })
            .collect();
        keep_busiest(&mut entries);
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|_, until| *until > Instant::now());
        LoadReport {
            front: self.front,
            entries: List(entries),
            suspects: suspects
                .keys()
                .copied()
                .take(MAX_SUSPECTED_REPLICAS)
                .collect(),
            latencies: self.untold_paces.take(group),
        }
    }

    /// Takes what a store of this group knows of all other fronts.
    pub fn apply_report(&self, group: GroupNumber, others: OtherFrontsReport) {
        self.heard_paces.apply_report(&others.slow_replicas);
        let counts = others.placed_turns.iter();
        let counts = counts.map(|entry| (entry.replica, entry.in_flight));
        let placed = Placed {
            counts: counts.collect(),
            at: Instant::now(),
        };
        self.placed.borrow_mut().insert(group, placed);
        let load = |entry: LoadEntry| (entry.replica, entry.in_flight);
        let suspicion = |entry: Suspicion| (entry.replica, entry.fronts);
        *self.others.borrow_mut() = Heard {
            under_way: others.entries.into_iter().map(load).collect(),
            suspecting: others.suspects.into_iter().map(suspicion).collect(),
            at: Some(Instant::now()),
        };
    }

    /// Other fronts that a replica failed of late, as far as known.
    pub fn suspecting_fronts(&self, replica: u32) -> u16 {
        let others = self.others.borrow();
        match others.counts(SUSPICION_TTL) {
            true => others.suspecting.get(&replica).copied().unwrap_or_default(),
            false => 0,
        }
    }

    /// Turns of a group under way at a replica, if one of the group's stores has
    /// told of them just now.
    pub fn placed_turns(&self, group: GroupNumber, replica: u32) -> Option<u32> {
        let placed = self.placed.borrow();
        let heard = placed.get(&group)?;
        let counts = heard.at.elapsed() < PLACED_LIFE;
        counts.then(|| u32::from(heard.counts.get(&replica).copied().unwrap_or_default()))
    }

    /// Requests of this front under way at a replica.
    pub fn local_in_flight(&self, replica: u32) -> u32 {
        u32::from(self.own.borrow().get(&replica).copied().unwrap_or_default())
    }

    /// Requests under way at a replica, as far as known.
    pub fn in_flight(&self, replica: u32) -> u32 {
        let own = self.own.borrow().get(&replica).copied().unwrap_or_default();
        let others = self.others.borrow();
        let others = match others.counts(LOAD_REPORT_TTL) {
            true => others.under_way.get(&replica).copied().unwrap_or_default(),
            false => 0,
        };
        u32::from(own) + u32::from(others)
    }
}

/// Counts one less; what is not there any more leaves the map.
pub(crate) fn count_down<K: Eq + Hash>(counts: &mut HashMap<K, u16>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

/// A store's collection of reports.
#[derive(Debug, Default)]
pub struct LoadReports {
    /// Turns at engines by rank.
    pub ranks: RankReports,
    /// How long engines take.
    pub engines: EngineReports,
    fronts: RefCell<HashMap<u32, (LoadReport, Instant)>>,
    paces: RefCell<LatencyStats>,
}

impl LoadReports {
    /// Takes a front's report in place of its former one.
    pub fn update(&self, report: LoadReport) {
        self.paces.borrow_mut().add(&report.latencies);
        let heard = (report, Instant::now());
        self.fronts.borrow_mut().insert(heard.0.front, heard);
    }

    /// Fronts that have reported of late.
    pub fn reporting_fronts(&self) -> usize {
        self.fronts.borrow().len()
    }

    /// What all fronts but one have seen, for the busiest replicas and those
    /// that most fronts report as failing.
    pub fn report_excluding(&self, front: u32) -> OtherFrontsReport {
        let mut fronts = self.fronts.borrow_mut();
        fronts.retain(|_, (_, heard)| heard.elapsed() < SUSPICION_TTL);
        let mut under_way: HashMap<u32, u16> = HashMap::new();
        let mut suspecting: HashMap<u32, u16> = HashMap::new();
        let others = fronts.iter().filter(|(other, _)| **other != front);
        for (report, heard) in others.map(|(_, reported)| reported) {
            for replica in report.suspects.iter() {
                *suspecting.entry(*replica).or_default() += 1;
            }
            if heard.elapsed() >= LOAD_REPORT_TTL {
                continue;
            }
            for entry in report.entries.iter() {
                let sum = under_way.entry(entry.replica).or_default();
                *sum = sum.saturating_add(entry.in_flight);
            }
        }
        let mut entries: Vec<LoadEntry> = under_way
            .into_iter()
            .map(|(replica, under_way)| LoadEntry {
                replica,
                in_flight: under_way,
            })
            .collect();
        keep_busiest(&mut entries);
        OtherFrontsReport {
            entries: List(entries),
            suspects: most_suspected(suspecting),
            placed_turns: List::default(),
            slow_replicas: self.paces.borrow_mut().slow_replicas(),
        }
    }
}

fn most_suspected(suspecting: HashMap<u32, u16>) -> List<Suspicion> {
    let mut suspects: Vec<Suspicion> = suspecting
        .into_iter()
        .map(|(replica, fronts)| Suspicion { replica, fronts })
        .collect();
    suspects.sort_by_key(|suspicion| std::cmp::Reverse(suspicion.fronts));
    suspects.truncate(MAX_SUSPECTED_REPLICAS);
    List(suspects)
}

/// Messages stay small with thousands of replicas: only the busiest matter.
fn keep_busiest(entries: &mut Vec<LoadEntry>) {
    if entries.len() > MAX_LOAD_ENTRIES {
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.in_flight));
        entries.truncate(MAX_LOAD_ENTRIES);
    }
}

/// A turn that runs at a replica.
#[derive(Clone, Copy, Debug)]
struct RunningTurn {
    replica: u32,
    until: Instant,
}

/// A store's count of its group's turns under way: from their reservations, which
/// name the replica, to their ends.
#[derive(Debug, Default)]
pub struct PlacedTurns {
    turns: HashMap<u64, RunningTurn>,
    counts: HashMap<u32, u16>,
    swept_at: Option<Instant>,
}

impl PlacedTurns {
    /// A turn is to run there; it may have been counted elsewhere before.
    pub fn start(&mut self, turn: u64, placement: Placement) {
        self.end(turn);
        if self.turns.len() >= MOST_PLACED {
            return;
        }
        let lasting = Duration::from_millis(u64::from(placement.max_duration_milliseconds));
        let running = RunningTurn {
            replica: placement.replica,
            until: Instant::now() + lasting,
        };
        self.turns.insert(turn, running);
        *self.counts.entry(placement.replica).or_default() += 1;
    }

    /// A turn is over.
    pub fn end(&mut self, turn: u64) {
        if let Some(running) = self.turns.remove(&turn) {
            self.count_down(running.replica);
        }
    }

    fn count_down(&mut self, replica: u32) {
        if let Some(count) = self.counts.get_mut(&replica) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&replica);
            }
        }
    }

    /// Turns that run now, without this one, by replica.
    pub fn counts_excluding(&mut self, turn: u64) -> List<LoadEntry> {
        self.sweep();
        let own = self.turns.get(&turn).map(|running| running.replica);
        let entries = self.counts.iter().map(|(replica, count)| LoadEntry {
            replica: *replica,
            in_flight: count - u16::from(own == Some(*replica)),
        });
        entries.filter(|entry| entry.in_flight > 0).collect()
    }

    /// Turns that are counted.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Forgets turns whose front has gone without a word.
    fn sweep(&mut self) {
        let now = Instant::now();
        if self.swept_at.is_some_and(|at| now < at + SWEEP_PAUSE) {
            return;
        }
        self.swept_at = Some(now);
        let over = self
            .turns
            .iter()
            .filter(|(_, running)| running.until <= now);
        let over: Vec<u64> = over.map(|(turn, _)| *turn).collect();
        for turn in over {
            self.end(turn);
        }
    }
}
