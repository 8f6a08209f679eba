//! State of one replica as observed by this front.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaStart};
use stageyoke_observe as observe;
use stageyoke_store::LoadTracker;
use stageyoke_store::rank_load::ServiceRank;
use stageyoke_types::hash::mix;
use stageyoke_types::{Event, Text};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::connection_drain::DrainLimit;
use crate::connection_pool::{Connection, ConnectionPool};
use crate::engine_rates::{EngineRates, Slowdown, TurnTiming};
use crate::health::{self, Evidence, Health};
use crate::idle_limit::IdleLimit;
use crate::placement::{Candidate, hash_text};
use crate::prompt_cache::{Prompt, PromptCache};
use crate::replica_registry::ReplicaQuery;
use crate::restrictions::{ColdPhase, Shortage};

/// Time for which a replica gets no requests after another one has answered at its address.
const MISADDRESSED_PAUSE: Duration = Duration::from_secs(2);
/// Time limit for finding out whether a replica has ended.
const END_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of connecting to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeResult {
    Connected,
    /// Nothing listens at the address.
    Refused,
    NoAnswer,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    started_at: Instant,
    result: ProbeResult,
}

/// State shared between replicas.
pub struct SharedState {
    /// Counts of requests in flight and reports from other fronts.
    pub load: Rc<LoadTracker>,
    /// Idle limit learned from reset connections, for all replicas.
    pub idle_limit: Rc<Cell<IdleLimit>>,
    /// Limit of the rejections that are read at the same time, for all replicas.
    pub drain_limit: DrainLimit,
    /// Rates of the service's engines.
    pub rates: Rc<Cell<EngineRates>>,
    /// Region of the replica's zone.
    pub region: Text,
}

/// One incarnation of a replica.
pub struct Replica {
    /// Identifier, which a later incarnation may reuse.
    pub id: Text,
    /// Directory record from when the replica was first listed.
    pub record: ReplicaRecord,
    /// Idle connections to the replica.
    pub pool: ConnectionPool,
    /// Limit of the rejections that are read at the same time, for all replicas.
    pub drain_limit: DrainLimit,
    hash: u64,
    region: Text,
    evacuated: Cell<bool>,
    cold_phase: Cell<ColdPhase>,
    load: Rc<LoadTracker>,
    idle_limit: Rc<Cell<IdleLimit>>,
    prompt_cache: RefCell<PromptCache>,
    rates: Rc<Cell<EngineRates>>,
    slowdown: Cell<Slowdown>,
    health: Cell<Health>,
    suspended: Cell<bool>,
    removed: Cell<bool>,
    /// Number of the last selection that contains this replica.
    last_selection: Cell<u64>,
    lapsed_until: Cell<Option<Instant>>,
    /// End of the pause after another replica has answered at its address.
    misaddressed_until: Cell<Option<Instant>>,
    /// Newest start reported by the directory; its count of orders increases over time.
    start: Cell<ReplicaStart>,
    cell: Cell<Option<GroupNumber>>,
    last_probe: Mutex<Option<Probe>>,
    end_noticed: Cell<bool>,
}

impl Replica {
    /// Creates a replica without any observations.
    pub fn new(id: Text, record: ReplicaRecord, shared: SharedState) -> Self {
        Self {
            hash: incarnation_hash(&id, &record),
            start: Cell::new(record.start),
            region: shared.region,
            evacuated: Cell::new(false),
            cold_phase: Cell::new(initial_cold_phase(&record)),
            load: shared.load,
            idle_limit: shared.idle_limit,
            drain_limit: shared.drain_limit,
            rates: shared.rates,
            slowdown: Cell::default(),
            prompt_cache: RefCell::default(),
            id,
            record,
            pool: ConnectionPool::default(),
            health: Cell::default(),
            suspended: Cell::new(false),
            removed: Cell::new(false),
            last_selection: Cell::new(0),
            lapsed_until: Cell::new(None),
            misaddressed_until: Cell::new(None),
            cell: Cell::new(None),
            last_probe: Mutex::default(),
            end_noticed: Cell::new(false),
        }
    }

    /// Returns whether the replica may get new requests, by the directory.
    pub fn accepts_requests(&self) -> bool {
        self.is_listed() && !self.is_misaddressed() && !self.evacuated.get()
    }

    /// Returns whether the replica has been removed from the list.
    pub fn is_removed(&self) -> bool {
        self.removed.get()
    }

    /// Adds the replica to a selection; returns false if it is already part of it. Numbers of
    /// selections must not be reused.
    pub fn select(&self, selection: u64) -> bool {
        self.last_selection.replace(selection) != selection
    }

    /// Returns whether the replica may get new requests by its entry in the list.
    pub fn is_listed(&self) -> bool {
        let deadline = self.lapsed_until.get();
        !self.removed.get() && deadline.is_none_or(|until| Instant::now() < until)
    }

    /// Excludes the replica from new requests for a while, as another one has answered at its
    /// address. Its entry in the list decides afterwards.
    pub fn pause_misaddressed(&self) {
        let until = Instant::now() + MISADDRESSED_PAUSE;
        self.misaddressed_until.set(Some(until));
        self.pool.clear();
    }

    fn is_misaddressed(&self) -> bool {
        let until = self.misaddressed_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Sets whether the replica's zone is evacuated. A replica without requests may have
    /// turned cold, so it counts as cold for `cold_time` after the zone returns.
    pub fn set_evacuated(&self, evacuated: bool, cold_time: Duration) {
        if self.evacuated.replace(evacuated) && !evacuated {
            let mut cold_phase = self.cold_phase.get();
            cold_phase.extend(cold_time, Instant::now());
            self.cold_phase.set(cold_phase);
        }
    }

    /// Returns whether the replica is cold.
    pub fn is_cold(&self) -> bool {
        self.cold_phase.get().is_cold(Instant::now())
    }

    /// Sends the cold replica no request for this long.
    pub fn defer(&self, wait: Duration) {
        let mut cold_phase = self.cold_phase.get();
        cold_phase.defer(wait, Instant::now());
        self.cold_phase.set(cold_phase);
    }

    /// Returns the hash of this incarnation, by which stores count its permits.
    pub fn incarnation_hash(&self) -> u64 {
        self.hash
    }

    /// Returns why the replica may not get a request with this query; `None` if it may.
    pub fn restriction(&self, query: &ReplicaQuery<'_>) -> Option<Shortage> {
        if !self.is_listed() || self.is_misaddressed() {
            return Some(Shortage::NoReplica);
        }
        let version = self.record.software_version.as_str();
        if query
            .software_version
            .is_some_and(|required| required != version)
        {
            return Some(Shortage::OtherVersion);
        }
        if !query.homes.allow(&self.region) {
            return Some(Shortage::OutsideHomes);
        }
        if self.evacuated.get() {
            return Some(Shortage::Evacuated);
        }
        let deferred = self.cold_phase.get().deferred_for(Instant::now());
        (!deferred.is_zero()).then_some(Shortage::Cold(deferred))
    }

    /// Returns until when the replica may get requests although its entry is missing.
    pub fn lapsed_until(&self) -> Option<Instant> {
        self.lapsed_until.get()
    }

    /// Confirms that the replica is listed with this record and ends its lapse. Returns
    /// false if the record belongs to another incarnation, which shares only the
    /// identifier.
    pub fn confirm_listing(&self, listed: &ReplicaRecord) -> bool {
        if !self.record.is_continued_by(listed) || !self.start.get().is_continued_by(listed.start) {
            return false;
        }
        self.start.set(listed.start);
        let mut cold_phase = self.cold_phase.get();
        cold_phase.apply_entry(listed.cold_left, Instant::now());
        self.cold_phase.set(cold_phase);
        self.lapsed_until.set(None);
        true
    }

    /// Allows requests until the given time although the entry is missing. An earlier
    /// deadline stays in force.
    pub fn lapse(&self, until: Instant) {
        if self.lapsed_until.get().is_none() {
            self.lapsed_until.set(Some(until));
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(self: &Rc<Self>, ranked: Option<ServiceRank>) -> InFlightGuard {
        self.load.start_request(self.short_hash());
        if let Some(ranked) = ranked {
            self.load.ranks.start_turn(ranked);
        }
        InFlightGuard {
            replica: self.clone(),
            ranked,
        }
    }

    /// Records that the replica reads this prompt, and returns how many of its tokens were
    /// not expected to be cached.
    pub fn record_prompt(&self, prompt: &Prompt, capacity_tokens: u64) -> u32 {
        let mut prompt_cache = self.prompt_cache.borrow_mut();
        let uncached = prompt
            .tokens()
            .saturating_sub(prompt_cache.cached_tokens(prompt));
        prompt_cache.record_prompt(prompt, capacity_tokens);
        uncached
    }

    /// Returns the number of requests in flight, counting this front's own and reported
    /// ones.
    pub fn requests_in_flight(&self) -> u32 {
        self.load.in_flight(self.short_hash())
    }

    /// Sets the store group whose programs this replica serves first.
    pub fn set_cell(&self, cell: Option<GroupNumber>) {
        self.cell.set(cell);
    }

    /// Returns the sort key that divides a service's replicas into cells, the same on all
    /// fronts.
    pub fn cell_order(&self) -> u64 {
        mix(self.hash)
    }

    /// Returns the requests in flight as seen by a program of this group. Within the
    /// group's own cell, the count of its stores applies, but at least this front's own
    /// count.
    fn in_flight_for(&self, group: Option<GroupNumber>) -> u32 {
        let replica = self.short_hash();
        let group_count = match (group, self.cell.get()) {
            (Some(group), Some(cell)) if group == cell => self.load.placed_turns(group, replica),
            _ => None,
        };
        match group_count {
            Some(group_count) => group_count.max(self.load.local_in_flight(replica)),
            None => self.requests_in_flight(),
        }
    }

    /// Returns the latency relative to the service's other engines, as measured by all
    /// fronts or, without their reports, by this front alone.
    pub fn slowdown(&self) -> f64 {
        let reported = self.load.engines.slowdown(self.short_hash());
        reported.unwrap_or_else(|| self.slowdown.get().factor(Instant::now()))
    }

    /// Updates the learned rates with the timing of a completed turn.
    pub fn record_turn(&self, timing: &TurnTiming) {
        let now = Instant::now();
        let mut rates = self.rates.get();
        let mut slowdown = self.slowdown.get();
        let current = rates.current();
        if let Some(ratio) = timing.slowdown(&current) {
            self.load.engines.record_ratio(self.short_hash(), ratio);
        }
        slowdown.record(timing, &current, now);
        rates.record(timing, slowdown.factor(now), now);
        self.slowdown.set(slowdown);
        self.rates.set(rates);
    }

    /// Records the latency of a response relative to the route's baseline, for other fronts
    /// too.
    pub fn record_latency(&self, slowdown: f64) {
        self.load.record_latency_ratio(self.short_hash(), slowdown);
    }

    /// Records the outcome of a request and reports a suspicion to other fronts.
    pub fn record(&self, evidence: Evidence) {
        let now = Instant::now();
        let mut health = self.health.get();
        health.record(evidence, now);
        self.health.set(health);
        if matches!(evidence, Evidence::Lost | Evidence::Reset) {
            // A failed replica breaks its idle connections too. The next request must not
            // be sent on one.
            self.pool.clear();
        }
        self.load
            .suspect(self.short_hash(), health.time_above_caution(now));
        self.log_transition(evidence, health.failure_probability(now));
    }

    fn log_transition(&self, evidence: Evidence, failure: f64) {
        let suspended = failure > health::SUSPENSION_THRESHOLD;
        let resumed = evidence == Evidence::Sound && failure <= health::CAUTION_THRESHOLD;
        let event = match (self.suspended.get(), suspended, resumed) {
            (false, true, _) => Event::ReplicaSuspended,
            (true, _, true) => Event::ReplicaResumed,
            _ => return,
        };
        self.suspended.set(suspended);
        let reports = self.load.suspecting_fronts(self.short_hash());
        let detail = format!(
            "replica={} evidence={evidence:?} failure={failure:.2} reports={reports}",
            self.id
        );
        observe::record_event(event, &detail);
    }

    /// Returns the maximum idle time of a connection that may carry the request; `None` if
    /// unlimited.
    pub fn idle_limit(&self, repeatable: bool) -> Option<Duration> {
        match repeatable {
            true => None,
            false => self.idle_limit.get().max_idle(Instant::now()),
        }
    }

    /// Probes the replica after a connection that had been idle was reset at `lost_at`. This
    /// shows whether the replica is down or only dropped the idle connection.
    pub async fn probe_after_reset(&self, idle_time: Duration, lost_at: Instant) {
        if self.probe(lost_at).await != ProbeResult::Connected {
            self.record(Evidence::Unreachable);
            return;
        }
        let mut limit = self.idle_limit.get();
        limit.record_reset(idle_time, Instant::now());
        self.idle_limit.set(limit);
        self.record(Evidence::Sound);
    }

    /// Returns whether the process has ended, after a connection to it was lost at `lost_at`:
    /// then nothing listens at its address. A replica that has left the list ends as planned,
    /// and one that does not answer may still run.
    pub async fn has_ended(&self, lost_at: Instant) -> bool {
        if self.removed.get() {
            return false;
        }
        let probing = tokio::time::timeout(END_PROBE_TIMEOUT, self.probe(lost_at));
        let ended = matches!(probing.await, Ok(ProbeResult::Refused));
        if ended {
            self.record(Evidence::Unreachable);
        }
        ended
    }

    /// Notes that the process has ended. Returns whether that is new to this front.
    pub fn notice_end(&self) -> bool {
        !self.end_noticed.replace(true)
    }

    /// Connects to the replica. Requests that are lost together share one probe.
    async fn probe(&self, lost_at: Instant) -> ProbeResult {
        let mut last_probe = self.last_probe.lock().await;
        if let Some(probe) = last_probe.filter(|probe| probe.started_at >= lost_at) {
            return probe.result;
        }
        let started_at = Instant::now();
        let result = match Connection::open(&self.record.address).await {
            Ok(connection) => {
                self.pool.release(connection);
                ProbeResult::Connected
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
            Err(_) => ProbeResult::NoAnswer,
        };
        *last_probe = Some(Probe { started_at, result });
        result
    }

    /// Excludes the replica from new requests, as its record is out of date.
    pub fn mark_removed(&self) {
        self.removed.set(true);
        self.pool.clear();
    }

    /// Returns the hash of this incarnation that is used in reports between fronts and
    /// stores.
    pub fn short_hash(&self) -> u32 {
        mix(self.hash) as u32
    }

    /// Returns the probability that the next request fails, including reports from other
    /// fronts.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        let reports = self.load.suspecting_fronts(self.short_hash());
        health::combine_estimates(self.health.get().failure_probability(now), reports)
    }

    /// Describes the replica for the choice of a placement.
    pub fn candidate(&self, query: &ReplicaQuery<'_>) -> Candidate {
        Candidate {
            hash: self.hash,
            same_zone: self.record.zone.as_str() == query.zone,
            in_flight: self.in_flight_for(query.group),
            in_cell: query.group.is_some() && self.cell.get() == query.group,
            slowdown: self.slowdown() * self.load.slowdown(self.short_hash()),
            failure_probability: self.failure_probability(Instant::now()),
            cached_tokens: self.prompt_cache.borrow().cached_tokens(query.prompt),
            slots: self.record.slots,
            has_idle_connection: self.pool.has_idle(),
            cold: self.is_cold(),
            eligible: self.restriction(query).is_none() && !query.excluded.contains(&self.id),
        }
    }
}

/// Counts a request at a replica as in flight until dropped.
pub struct InFlightGuard {
    replica: Rc<Replica>,
    ranked: Option<ServiceRank>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let load = &self.replica.load;
        load.end_request(self.replica.short_hash());
        if let Some(ranked) = self.ranked {
            load.ranks.end_turn(ranked);
        }
    }
}

fn initial_cold_phase(record: &ReplicaRecord) -> ColdPhase {
    let mut cold_phase = ColdPhase::default();
    cold_phase.apply_entry(record.cold_left, Instant::now());
    cold_phase
}

/// Hashes a replica's incarnation, with the same result on all fronts. Including the start
/// keeps reports about one incarnation from applying to the next.
fn incarnation_hash(id: &str, record: &ReplicaRecord) -> u64 {
    let born = record.start.started_at_ms.unwrap_or_default();
    mix(hash_text(id) ^ mix(hash_text(&record.address) ^ born))
}
