//! Requests in flight at replicas and replicas that fail, as seen by all fronts. Reports
//! travel with the records that fronts send to stores and are hints: placement uses them, but
//! no guarantee depends on them.

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

/// Maximum number of replicas in one report.
pub const MAX_LOAD_ENTRIES: usize = 64;
/// Maximum number of suspected replicas in one report.
pub const MAX_SUSPECTED_REPLICAS: usize = 32;
/// Time for which reported load is used.
pub const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);
/// Time for which reported suspicions are used. Longer than for load: a front that sends few
/// records receives few reports, and faults outlast load peaks.
pub const SUSPICION_TTL: Duration = Duration::from_millis(1200);

/// Time for which a store's count of its group's placed turns is used; long enough for a
/// turn's retries.
const PLACEMENT_TTL: Duration = Duration::from_millis(300);
/// Maximum number of turns in flight that a store counts, about 50 bytes each.
const MAX_PLACED_TURNS: usize = 20_000;
/// Interval between two removals of expired turns.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// A front's own load and the load that stores report for all other fronts.
#[derive(Debug)]
pub struct LoadTracker {
    front: u32,
    local: RefCell<HashMap<u32, u16>>,
    suspects: RefCell<HashMap<u32, Instant>>,
    other_fronts: RefCell<OtherFrontsLoad>,
    placements: RefCell<HashMap<GroupNumber, GroupPlacements>>,
    unreported_latencies: UnreportedLatencies,
    received_slowdowns: ReceivedSlowdowns,
    /// Turns in flight at engines by rank.
    pub ranks: RankTracker,
    /// Latencies of engines.
    pub engines: EngineTracker,
}

/// Turns of a group in flight by replica, as reported by one of its stores.
#[derive(Debug)]
struct GroupPlacements {
    counts: HashMap<u32, u16>,
    received_at: Instant,
}

/// Load and suspicions of all other fronts, as reported by a store.
#[derive(Debug, Default)]
struct OtherFrontsLoad {
    in_flight: HashMap<u32, u16>,
    suspecting: HashMap<u32, u16>,
    received_at: Option<Instant>,
}

impl OtherFrontsLoad {
    fn is_fresh(&self, ttl: Duration) -> bool {
        self.received_at.is_some_and(|at| at.elapsed() < ttl)
    }
}

impl LoadTracker {
    /// Creates an empty tracker for the front with this number.
    pub fn new(front: u32) -> Self {
        Self {
            front,
            local: RefCell::default(),
            suspects: RefCell::default(),
            other_fronts: RefCell::default(),
            placements: RefCell::default(),
            unreported_latencies: UnreportedLatencies::default(),
            received_slowdowns: ReceivedSlowdowns::default(),
            ranks: RankTracker::default(),
            engines: EngineTracker::default(),
        }
    }

    /// Number that identifies the front in its reports.
    pub fn front(&self) -> u32 {
        self.front
    }

    /// Records the ratio of a plain service's response time to the baseline latency.
    pub fn record_latency_ratio(&self, replica: u32, ratio: f64) {
        self.unreported_latencies.record(replica, ratio);
    }

    /// Slowdown of a replica of a plain service, as seen by all fronts; 1 if unknown.
    pub fn slowdown(&self, replica: u32) -> f64 {
        self.received_slowdowns.slowdown(replica)
    }

    /// Counts a request as started at a replica.
    pub fn start_request(&self, replica: u32) {
        *self.local.borrow_mut().entry(replica).or_default() += 1;
    }

    /// Counts a request as ended at a replica.
    pub fn end_request(&self, replica: u32) {
        decrement(&mut self.local.borrow_mut(), replica);
    }

    /// Reports a replica as failing for this duration. A duration of zero withdraws the
    /// suspicion.
    pub fn suspect(&self, replica: u32, duration: Duration) {
        let mut suspects = self.suspects.borrow_mut();
        if duration.is_zero() {
            suspects.remove(&replica);
        } else {
            suspects.insert(replica, Instant::now() + duration);
        }
    }

    /// Builds this front's next report for a group.
    pub fn report(&self, group: GroupNumber) -> LoadReport {
        let mut entries: Vec<LoadEntry> = self
            .local
            .borrow()
            .iter()
            .map(|(replica, in_flight)| LoadEntry {
                replica: *replica,
                in_flight: *in_flight,
            })
            .collect();
        truncate_to_busiest(&mut entries);
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
            latencies: self.unreported_latencies.take(group),
        }
    }

    /// Applies a report from a store of this group on all other fronts.
    pub fn apply_report(&self, group: GroupNumber, other_fronts: OtherFrontsReport) {
        self.received_slowdowns
            .apply_report(&other_fronts.slow_replicas);
        let counts = other_fronts.placed_turns.iter();
        let counts = counts.map(|entry| (entry.replica, entry.in_flight));
        let placed = GroupPlacements {
            counts: counts.collect(),
            received_at: Instant::now(),
        };
        self.placements.borrow_mut().insert(group, placed);
        let load = |entry: LoadEntry| (entry.replica, entry.in_flight);
        let suspicion = |entry: Suspicion| (entry.replica, entry.fronts);
        *self.other_fronts.borrow_mut() = OtherFrontsLoad {
            in_flight: other_fronts.entries.into_iter().map(load).collect(),
            suspecting: other_fronts.suspects.into_iter().map(suspicion).collect(),
            received_at: Some(Instant::now()),
        };
    }

    /// Number of other fronts that currently suspect a replica, as far as reported.
    pub fn suspecting_fronts(&self, replica: u32) -> u16 {
        let other_fronts = self.other_fronts.borrow();
        match other_fronts.is_fresh(SUSPICION_TTL) {
            true => other_fronts
                .suspecting
                .get(&replica)
                .copied()
                .unwrap_or_default(),
            false => 0,
        }
    }

    /// Turns of a group in flight at a replica; `None` without a recent report from one of
    /// the group's stores.
    pub fn placed_turns(&self, group: GroupNumber, replica: u32) -> Option<u32> {
        let placed = self.placements.borrow();
        let received = placed.get(&group)?;
        let is_fresh = received.received_at.elapsed() < PLACEMENT_TTL;
        is_fresh.then(|| u32::from(received.counts.get(&replica).copied().unwrap_or_default()))
    }

    /// Requests of this front in flight at a replica.
    pub fn local_in_flight(&self, replica: u32) -> u32 {
        u32::from(
            self.local
                .borrow()
                .get(&replica)
                .copied()
                .unwrap_or_default(),
        )
    }

    /// Requests of all fronts in flight at a replica, as far as reported.
    pub fn in_flight(&self, replica: u32) -> u32 {
        let local = self
            .local
            .borrow()
            .get(&replica)
            .copied()
            .unwrap_or_default();
        let other_fronts = self.other_fronts.borrow();
        let other_fronts = match other_fronts.is_fresh(LOAD_REPORT_TTL) {
            true => other_fronts
                .in_flight
                .get(&replica)
                .copied()
                .unwrap_or_default(),
            false => 0,
        };
        u32::from(local) + u32::from(other_fronts)
    }
}

/// Decrements a count and removes it from the map at zero.
pub(crate) fn decrement<K: Eq + Hash>(counts: &mut HashMap<K, u16>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

/// Load reports that a store has received from fronts.
#[derive(Debug, Default)]
pub struct LoadReports {
    /// Turns in flight at engines by rank.
    pub ranks: RankReports,
    /// Latencies of engines.
    pub engines: EngineReports,
    fronts: RefCell<HashMap<u32, (LoadReport, Instant)>>,
    latencies: RefCell<LatencyStats>,
}

impl LoadReports {
    /// Replaces a front's previous report.
    pub fn update(&self, report: LoadReport) {
        self.latencies.borrow_mut().add(&report.latencies);
        let received = (report, Instant::now());
        self.fronts.borrow_mut().insert(received.0.front, received);
    }

    /// Number of fronts that have reported recently.
    pub fn reporting_fronts(&self) -> usize {
        self.fronts.borrow().len()
    }

    /// Merges the reports of all fronts except this one. Limited to the busiest replicas and
    /// those that most fronts suspect.
    pub fn report_excluding(&self, front: u32) -> OtherFrontsReport {
        let mut fronts = self.fronts.borrow_mut();
        fronts.retain(|_, (_, received)| received.elapsed() < SUSPICION_TTL);
        let mut in_flight: HashMap<u32, u16> = HashMap::new();
        let mut suspecting: HashMap<u32, u16> = HashMap::new();
        let other_fronts = fronts.iter().filter(|(other, _)| **other != front);
        for (report, received) in other_fronts.map(|(_, reported)| reported) {
            for replica in report.suspects.iter() {
                *suspecting.entry(*replica).or_default() += 1;
            }
            if received.elapsed() >= LOAD_REPORT_TTL {
                continue;
            }
            for entry in report.entries.iter() {
                let sum = in_flight.entry(entry.replica).or_default();
                *sum = sum.saturating_add(entry.in_flight);
            }
        }
        let mut entries: Vec<LoadEntry> = in_flight
            .into_iter()
            .map(|(replica, in_flight)| LoadEntry { replica, in_flight })
            .collect();
        truncate_to_busiest(&mut entries);
        OtherFrontsReport {
            entries: List(entries),
            suspects: most_suspected(suspecting),
            placed_turns: List::default(),
            slow_replicas: self.latencies.borrow_mut().slow_replicas(),
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

/// Keeps reports small when there are thousands of replicas.
fn truncate_to_busiest(entries: &mut Vec<LoadEntry>) {
    if entries.len() > MAX_LOAD_ENTRIES {
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.in_flight));
        entries.truncate(MAX_LOAD_ENTRIES);
    }
}

/// A turn in flight at a replica.
#[derive(Clone, Copy, Debug)]
struct RunningTurn {
    replica: u32,
    expires_at: Instant,
}

/// A store's count of its group's turns in flight, from the reservation, which names the
/// replica, to the end of the turn.
#[derive(Debug, Default)]
pub struct PlacedTurns {
    turns: HashMap<u64, RunningTurn>,
    counts: HashMap<u32, u16>,
    last_sweep_at: Option<Instant>,
}

impl PlacedTurns {
    /// Counts a turn as in flight at a replica. Replaces the turn's previous placement, if
    /// any.
    pub fn start(&mut self, turn: u64, placement: Placement) {
        self.end(turn);
        if self.turns.len() >= MAX_PLACED_TURNS {
            return;
        }
        let duration = Duration::from_millis(u64::from(placement.max_duration_milliseconds));
        let running = RunningTurn {
            replica: placement.replica,
            expires_at: Instant::now() + duration,
        };
        self.turns.insert(turn, running);
        *self.counts.entry(placement.replica).or_default() += 1;
    }

    /// Counts a turn as ended.
    pub fn end(&mut self, turn: u64) {
        if let Some(running) = self.turns.remove(&turn) {
            self.decrement(running.replica);
        }
    }

    fn decrement(&mut self, replica: u32) {
        if let Some(count) = self.counts.get_mut(&replica) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&replica);
            }
        }
    }

    /// Turns in flight by replica, except this turn.
    pub fn counts_excluding(&mut self, turn: u64) -> List<LoadEntry> {
        self.remove_expired();
        let excluded = self.turns.get(&turn).map(|running| running.replica);
        let entries = self.counts.iter().map(|(replica, count)| LoadEntry {
            replica: *replica,
            in_flight: count - u16::from(excluded == Some(*replica)),
        });
        entries.filter(|entry| entry.in_flight > 0).collect()
    }

    /// Number of counted turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns true if no turn is counted.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Removes expired turns, whose fronts never reported an end.
    fn remove_expired(&mut self) {
        let now = Instant::now();
        if self
            .last_sweep_at
            .is_some_and(|at| now < at + SWEEP_INTERVAL)
        {
            return;
        }
        self.last_sweep_at = Some(now);
        let expired = self
            .turns
            .iter()
            .filter(|(_, running)| running.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(turn, _)| *turn).collect();
        for turn in expired {
            self.end(turn);
        }
    }
}
