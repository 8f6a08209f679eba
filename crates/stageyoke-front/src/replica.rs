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

use crate::engine_rates::{EngineRates, Slowness, TurnTiming};
use crate::fleet::Wanted;
use crate::health::{self, Evidence, Health};
use crate::placement::{Candidate, hash_text};
use crate::prompt::{HeldParts, Prompt};
use crate::rest::RestLimit;
use crate::upstream::{Connection, Pool};

/// What replicas share.
pub struct Shared {
    /// Counts what is under way.
    pub load: Rc<LoadTracker>,
    /// How long connections may rest.
    pub rest_limit: Rc<Cell<RestLimit>>,
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
    pub pool: Pool,
    hash: u64,
    load: Rc<LoadTracker>,
    rest_limit: Rc<Cell<RestLimit>>,
    held_parts: RefCell<HeldParts>,
    rates: Rc<Cell<EngineRates>>,
    slowness: Cell<Slowness>,
    health: Cell<Health>,
    suspended: Cell<bool>,
    gone: Cell<bool>,
    lapsed_until: Cell<Option<Instant>>,
    /// The newest that was said of its start: orders are counted up in it.
    start: Cell<ReplicaStart>,
    cell: Cell<Option<GroupNumber>>,
}

impl Replica {
    /// A replica that nothing was seen of yet.
    pub fn new(id: Text, record: ReplicaRecord, shared: Shared) -> Self {
        Self {
            hash: incarnation_hash(&id, &record),
            start: Cell::new(record.start),
            load: shared.load,
            rest_limit: shared.rest_limit,
            rates: shared.rates,
            slowness: Cell::default(),
            held_parts: RefCell::default(),
            id,
            record,
            pool: Pool::default(),
            health: Cell::default(),
            suspended: Cell::new(false),
            gone: Cell::new(false),
            lapsed_until: Cell::new(None),
            cell: Cell::new(None),
        }
    }

    /// Whether it takes new work, by the list.
    pub fn taking_work(&self) -> bool {
        let lapsed = self.lapsed_until.get();
        !self.gone.get() && lapsed.is_none_or(|until| Instant::now() < until)
    }

    /// Until when it takes work though its entry has left the list.
    pub fn lapsed_until(&self) -> Option<Instant> {
        self.lapsed_until.get()
    }

    /// It is listed so. False where that is another incarnation, of which nothing is
    /// known: it shares no more than the identifier.
    pub fn continues_in(&self, listed: &ReplicaRecord) -> bool {
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
    pub fn begin(self: &Rc<Self>, ranked: Option<ServiceRank>) -> InFlight {
        self.load.start_request(self.short_hash());
        if let Some(ranked) = ranked {
            self.load.ranks.start_turn(ranked);
        }
        InFlight {
            replica: self.clone(),
            ranked,
        }
    }

    /// It is given this prompt to read; returns the tokens that it was believed
    /// not to hold.
    pub fn reads(&self, prompt: &Prompt, capacity_tokens: u64) -> u32 {
        let mut held_parts = self.held_parts.borrow_mut();
        let missing = prompt.tokens().saturating_sub(held_parts.held(prompt));
        held_parts.read(prompt, capacity_tokens);
        missing
    }

    /// Requests under way there, as far as known.
    pub fn under_way(&self) -> u32 {
        self.load.in_flight(self.short_hash())
    }

    /// The store group whose programs it serves first.
    pub fn set_cell(&self, cell: Option<GroupNumber>) {
        self.cell.set(cell);
    }

    /// Order among its service's replicas that is the same on all fronts.
    pub fn rank(&self) -> u64 {
        mix(self.hash)
    }

    /// Requests under way there as a program of this group sees them: where the
    /// group's own programs are served first its stores count them.
    fn in_flight(&self, group: Option<GroupNumber>) -> u32 {
        let replica = self.short_hash();
        let counted = match (group, self.cell.get()) {
            (Some(group), Some(cell)) if group == cell => self.load.placed_turns(group, replica),
            _ => None,
        };
        match counted {
            Some(counted) => counted.max(self.load.local_in_flight(replica)),
            None => self.under_way(),
        }
    }

    /// Its deviation from the rates of its service's engines: by what all fronts see of
    /// it, or else this one alone.
    pub fn slowness(&self) -> f64 {
        let told = self.load.engines.slowdown(self.short_hash());
        told.unwrap_or_else(|| self.slowness.get().factor(Instant::now()))
    }

    /// Takes the times of a turn that it ran to the end.
    pub fn note_turn(&self, timing: &TurnTiming) {
        let now = Instant::now();
        let mut rates = self.rates.get();
        let mut slowness = self.slowness.get();
        let current = rates.current();
        if let Some(ratio) = timing.ratio(&current) {
            self.load.engines.record_ratio(self.short_hash(), ratio);
        }
        slowness.note(timing, &current, now);
        rates.note(timing, slowness.factor(now), now);
        self.slowness.set(slowness);
        self.rates.set(rates);
    }

    /// An answer took so many times as long as such answers do; others are told.
    pub fn note_pace(&self, ratio: f64) {
        self.load.record_latency_ratio(self.short_hash(), ratio);
    }

    /// Takes what a request showed of it, and tells other fronts of a failure.
    pub fn note(&self, evidence: Evidence) {
        let now = Instant::now();
        let mut health = self.health.get();
        health.note(evidence, now);
        self.health.set(health);
        if matches!(evidence, Evidence::Lost | Evidence::Reset) {
            // A replica that went down took its kept connections with it: the
            // next request shall find that out before it is sent.
            self.pool.clear();
        }
        self.load
            .suspect(self.short_hash(), health.cautious_for(now));
        self.report(evidence, health.failure(now));
    }

    fn report(&self, evidence: Evidence, failure: f64) {
        let suspended = failure > health::SUSPENSION;
        let resumed = evidence == Evidence::Sound && failure <= health::CAUTION;
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
        observe::event(event, &detail);
    }

    /// The longest rest after which a connection still takes a request.
    pub fn rest_limit(&self, repeatable: bool) -> Option<Duration> {
        match repeatable {
            true => None,
            false => self.rest_limit.get().limit(Instant::now()),
        }
    }

    /// A connection that had rested so long ended at once under a request. A
    /// new one shows whether the replica is down or only forgot the other.
    pub async fn look_after_reset(&self, rested: Duration) {
        let Ok(connection) = Connection::open(&self.record.address).await else {
            self.note(Evidence::Unreachable);
            return;
        };
        let mut limit = self.rest_limit.get();
        limit.forgot(rested, Instant::now());
        self.rest_limit.set(limit);
        self.note(Evidence::Sound);
        self.pool.give(connection);
    }

    /// It answered as another incarnation: its record is out of date.
    pub fn mark_gone(&self) {
        self.gone.set(true);
        self.pool.clear();
    }

    /// Its incarnation's hash, as fronts and stores tell it.
    pub fn short_hash(&self) -> u32 {
        mix(self.hash) as u32
    }

    /// Likelihood that it fails the next request, with what others report.
    pub fn failure(&self, now: Instant) -> f64 {
        let reports = self.load.suspecting_fronts(self.short_hash());
        health::combined(self.health.get().failure(now), reports)
    }

    /// What a choice needs to know of it.
    pub fn candidate(&self, wanted: &Wanted<'_>) -> Candidate {
        Candidate {
            hash: self.hash,
            local: self.record.zone.as_str() == wanted.zone,
            in_flight: self.in_flight(wanted.group),
            in_cell: wanted.group.is_some() && self.cell.get() == wanted.group,
            slowness: self.slowness() * self.load.slowdown(self.short_hash()),
            failure: self.failure(Instant::now()),
            held_tokens: self.held_parts.borrow().held(wanted.prompt),
            slots: self.record.slots,
            connected: self.pool.has_free(),
            usable: self.taking_work() && !wanted.excluded.contains(&self.id),
        }
    }
}

/// A request under way at a replica.
pub struct InFlight {
    replica: Rc<Replica>,
    ranked: Option<ServiceRank>,
}

impl Drop for InFlight {
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
