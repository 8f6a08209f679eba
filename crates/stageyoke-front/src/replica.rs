//! One replica, with what this front has seen of it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaStart};
use stageyoke_observe as observe;
use stageyoke_store::LoadTracker;
use stageyoke_store::rank_load::ServiceRank;
use stageyoke_types::hash::mix;
use stageyoke_types::{Event, Text};
use tokio::time::Instant;

use crate::connection_pool::{Connection, ConnectionPool};
use crate::engine_rates::{EngineRates, Slowdown, TurnTiming};
use crate::health::{self, Evidence, Health};
use crate::idle_limit::IdleLimit;
use crate::placement::{Candidate, hash_text};
use crate::prompt_cache::{Prompt, PromptCache};
use crate::replica_registry::ReplicaQuery;

/// What replicas share.
pub struct SharedState {
    /// Counts what is under way.
    pub load: Rc<LoadTracker>,
    /// How long connections may rest.
    pub idle_limit: Rc<Cell<IdleLimit>>,
    /// Rates of the service's engines.
    pub rates: Rc<Cell<EngineRates>>,
}

/// One incarnation of a replica.
pub struct Replica {
    /// Its identifier, which a later incarnation may have again.
    pub id: Text,
    /// Its record when it was first seen.
    pub record: ReplicaRecord,
    /// Kept connections.
    pub pool: ConnectionPool,
    hash: u64,
    load: Rc<LoadTracker>,
    idle_limit: Rc<Cell<IdleLimit>>,
    prompt_cache: RefCell<PromptCache>,
    rates: Rc<Cell<EngineRates>>,
    slowdown: Cell<Slowdown>,
    health: Cell<Health>,
    suspended: Cell<bool>,
    removed: Cell<bool>,
    lapsed_until: Cell<Option<Instant>>,
    /// The newest that was said of its start: orders are counted up in it.
    start: Cell<ReplicaStart>,
    cell: Cell<Option<GroupNumber>>,
}

impl Replica {
    /// A replica that nothing was seen of yet.
    pub fn new(id: Text, record: ReplicaRecord, shared: SharedState) -> Self {
        Self {
            hash: incarnation_hash(&id, &record),
            start: Cell::new(record.start),
            load: shared.load,
            idle_limit: shared.idle_limit,
            rates: shared.rates,
            slowdown: Cell::default(),
            prompt_cache: RefCell::default(),
            id,
            record,
            pool: ConnectionPool::default(),
            health: Cell::default(),
            suspended: Cell::new(false),
            removed: Cell::new(false),
            lapsed_until: Cell::new(None),
            cell: Cell::new(None),
        }
    }

    /// Whether it takes new work, by the list.
    pub fn accepts_requests(&self) -> bool {
        let lapsed = self.lapsed_until.get();
        !self.removed.get() && lapsed.is_none_or(|until| Instant::now() < until)
    }

    /// Until when it takes work though its entry has left the list.
    pub fn lapsed_until(&self) -> Option<Instant> {
        self.lapsed_until.get()
    }

    /// It is listed so. False where that is another incarnation, of which nothing is
    /// known: it shares no more than the identifier.
    pub fn confirm_listing(&self, listed: &ReplicaRecord) -> bool {
        if !self.record.is_continued_by(listed) || !self.start.get().is_continued_by(listed.start) {
            return false;
        }
        self.start.set(listed.start);
        self.lapsed_until.set(None);
        true
    }

    /// It is not listed; it takes work until then, unless that was set before.
    pub fn lapse(&self, until: Instant) {
        if self.lapsed_until.get().is_none() {
            self.lapsed_until.set(Some(until));
        }
    }

    /// Counts a request as under way until the guard is dropped.
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

    /// It is given this prompt to read; returns the tokens that it was believed
    /// not to hold.
    pub fn record_prompt(&self, prompt: &Prompt, capacity_tokens: u64) -> u32 {
        let mut prompt_cache = self.prompt_cache.borrow_mut();
        let missing = prompt
            .tokens()
            .saturating_sub(prompt_cache.cached_tokens(prompt));
        prompt_cache.record_prompt(prompt, capacity_tokens);
        missing
    }

    /// Requests under way there, as far as known.
    pub fn requests_in_flight(&self) -> u32 {
        self.load.in_flight(self.short_hash())
    }

    /// The store group whose programs it serves first.
    pub fn set_cell(&self, cell: Option<GroupNumber>) {
        self.cell.set(cell);
    }

    /// Order among its service's replicas that is the same on all fronts.
    pub fn cell_order(&self) -> u64 {
        mix(self.hash)
    }

    /// Requests under way there as a program of this group sees them: where the
    /// group's own programs are served first its stores count them.
    fn in_flight_for(&self, group: Option<GroupNumber>) -> u32 {
        let replica = self.short_hash();
        let counted = match (group, self.cell.get()) {
            (Some(group), Some(cell)) if group == cell => self.load.placed_turns(group, replica),
            _ => None,
        };
        match counted {
            Some(counted) => counted.max(self.load.local_in_flight(replica)),
            None => self.requests_in_flight(),
        }
    }

    /// Its deviation from the rates of its service's engines: by what all fronts see of
    /// it, or else this one alone.
    pub fn slowdown(&self) -> f64 {
        let reported = self.load.engines.slowdown(self.short_hash());
        reported.unwrap_or_else(|| self.slowdown.get().factor(Instant::now()))
    }

    /// Takes the times of a turn that it ran to the end.
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

    /// An answer took so many times as long as such answers do; others are told.
    pub fn record_latency(&self, ratio: f64) {
        self.load.record_latency_ratio(self.short_hash(), ratio);
    }

    /// Takes what a request showed of it, and tells other fronts of a failure.
    pub fn record(&self, evidence: Evidence) {
        let now = Instant::now();
        let mut health = self.health.get();
        health.record(evidence, now);
        self.health.set(health);
        if matches!(evidence, Evidence::Lost | Evidence::Reset) {
            // A replica that went down took its kept connections with it: the
            // next request shall find that out before it is sent.
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

    /// The longest rest after which a connection still takes a request.
    pub fn idle_limit(&self, repeatable: bool) -> Option<Duration> {
        match repeatable {
            true => None,
            false => self.idle_limit.get().max_idle(Instant::now()),
        }
    }

    /// A connection that had rested so long ended at once under a request. A
    /// new one shows whether the replica is down or only forgot the other.
    pub async fn probe_after_reset(&self, idle_time: Duration) {
        let Ok(connection) = Connection::open(&self.record.address).await else {
            self.record(Evidence::Unreachable);
            return;
        };
        let mut limit = self.idle_limit.get();
        limit.record_reset(idle_time, Instant::now());
        self.idle_limit.set(limit);
        self.record(Evidence::Sound);
        self.pool.release(connection);
    }

    /// It answered as another incarnation: its record is out of date.
    pub fn mark_removed(&self) {
        self.removed.set(true);
        self.pool.clear();
    }

    /// Its incarnation's hash, as fronts and stores tell it.
    pub fn short_hash(&self) -> u32 {
        mix(self.hash) as u32
    }

    /// Likelihood that it fails the next request, with what others report.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        let reports = self.load.suspecting_fronts(self.short_hash());
        health::combine_estimates(self.health.get().failure_probability(now), reports)
    }

    /// What a choice needs to know of it.
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
            eligible: self.accepts_requests() && !query.excluded.contains(&self.id),
        }
    }
}

/// A request under way at a replica.
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

/// A number that is the same on all fronts, and another one for each incarnation: what
/// fronts and stores tell one another of one is not believed of the next.
fn incarnation_hash(id: &str, record: &ReplicaRecord) -> u64 {
    let born = record.start.started_at_ms.unwrap_or_default();
    mix(hash_text(id) ^ mix(hash_text(&record.address) ^ born))
}
