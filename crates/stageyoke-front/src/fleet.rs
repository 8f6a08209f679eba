//! All replicas, with what this front has seen of each.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{ReplicaRecord, ReplicaState};
use stageyoke_store::LoadBoard;
use stageyoke_types::{Event, Text};
use tokio::time::Instant;

use crate::health::{self, Evidence, Health};
use crate::placement::{Candidate, hash_text, mix};
use crate::prompt::{HeldParts, Prompt};
use crate::rest::RestLimit;
use crate::upstream::{Connection, Pool};
use stageyoke_observe as observe;

/// One incarnation of a replica.
pub struct Replica {
    /// Incarnation.
    pub id: Text,
    /// Its record when it was first seen.
    pub record: ReplicaRecord,
    /// Kept connections.
    pub pool: Pool,
    hash: u64,
    load: Rc<LoadBoard>,
    rest_limit: Rc<Cell<RestLimit>>,
    held_parts: RefCell<HeldParts>,
    health: Cell<Health>,
    suspended: Cell<bool>,
    gone: Cell<bool>,
    lapsed_until: Cell<Option<Instant>>,
}

/// A service's replicas have lapsed, rather than left, if more than one in this
/// many leave the list together without having said that they drain: entries go
/// while the key-value service is down, and come back after it.
const LAPSE_SHARE: usize = 4;

impl Replica {
    fn new(id: Text, record: ReplicaRecord, fleet: &Fleet) -> Self {
        Self {
            hash: hash_text(&id),
            load: fleet.load.clone(),
            rest_limit: fleet.rest_limit.clone(),
            held_parts: RefCell::default(),
            id,
            record,
            pool: Pool::default(),
            health: Cell::default(),
            suspended: Cell::new(false),
            gone: Cell::new(false),
            lapsed_until: Cell::new(None),
        }
    }

    /// Whether it takes new work, by the list.
    pub fn taking_work(&self) -> bool {
        let lapsed = self.lapsed_until.get();
        !self.gone.get() && lapsed.is_none_or(|until| Instant::now() < until)
    }

    /// It is not listed; it takes work until then, unless that was set before.
    fn lapse(&self, until: Instant) {
        if self.lapsed_until.get().is_none() {
            self.lapsed_until.set(Some(until));
        }
    }

    /// Counts a request as under way until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> InFlight {
        self.load.begin(self.short_hash());
        InFlight(self.clone())
    }

    /// It is given this prompt to read.
    pub fn reads(&self, prompt: &Prompt, capacity_tokens: u64) {
        self.held_parts.borrow_mut().read(prompt, capacity_tokens);
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
        let reports = self.load.suspected_by(self.short_hash());
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

    fn short_hash(&self) -> u32 {
        mix(self.hash) as u32
    }

    /// Likelihood that it fails the next request, with what others report.
    fn failure(&self, now: Instant) -> f64 {
        let reports = self.load.suspected_by(self.short_hash());
        health::combined(self.health.get().failure(now), reports)
    }

    fn candidate(&self, wanted: &Wanted<'_>) -> Candidate {
        Candidate {
            hash: self.hash,
            local: self.record.zone.as_str() == wanted.zone,
            in_flight: self.load.under_way(self.short_hash()),
            held_tokens: self.held_parts.borrow().held(wanted.prompt),
            slots: self.record.slots,
            connected: self.pool.has_free(),
            usable: self.taking_work() && !wanted.excluded.contains(&self.id),
        }
    }
}

/// A request under way at a replica.
pub struct InFlight(Rc<Replica>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.load.end(self.0.short_hash());
    }
}

/// Replicas by service.
pub struct Fleet {
    load: Rc<LoadBoard>,
    rest_limit: Rc<Cell<RestLimit>>,
    lapse_grace: Duration,
    replicas: RefCell<HashMap<Text, Rc<Replica>>>,
    services: RefCell<HashMap<Text, Vec<Rc<Replica>>>>,
}

impl Fleet {
    /// No replicas yet; what is under way is counted on this board.
    pub fn new(load: Rc<LoadBoard>) -> Self {
        Self {
            load,
            rest_limit: Rc::default(),
            lapse_grace: Duration::ZERO,
            replicas: RefCell::default(),
            services: RefCell::default(),
        }
    }

    /// The same fleet, using lapsed replicas for so long. It must end before
    /// replicas that have left may get nothing more.
    pub fn with_lapse_grace(self, lapse_grace: Duration) -> Self {
        Self {
            lapse_grace,
            ..self
        }
    }

    /// Follows the replica list.
    pub fn follow(&self, records: &BTreeMap<Text, ReplicaRecord>) {
        let ready = |record: &ReplicaRecord| record.state == ReplicaState::Ready;
        let mut replicas = self.replicas.borrow_mut();
        let lapsed = lapsed_services(&replicas, records);
        let until = Instant::now() + self.lapse_grace;
        replicas.retain(|id, replica| {
            let stays = match records.get(id) {
                Some(record) => {
                    replica.lapsed_until.set(None);
                    ready(record)
                }
                None => {
                    if lapsed.contains(&replica.record.service) {
                        replica.lapse(until);
                    }
                    replica.lapsed_until.get().is_some() && replica.taking_work()
                }
            };
            if !stays {
                replica.mark_gone();
            }
            stays
        });
        for (id, record) in records.iter().filter(|(_, record)| ready(record)) {
            replicas
                .entry(id.clone())
                .or_insert_with(|| Rc::new(Replica::new(id.clone(), record.clone(), self)));
        }
        let mut services: HashMap<Text, Vec<Rc<Replica>>> = HashMap::new();
        for replica in replicas.values() {
            let list = services.entry(replica.record.service.clone()).or_default();
            list.push(replica.clone());
        }
        *self.services.borrow_mut() = services;
    }

    /// Chooses a replica of a service with `choose` for a request that may run
    /// more than once or not. Failing replicas only where there is no other.
    pub fn choose(
        &self,
        wanted: &Wanted<'_>,
        choose: impl Fn(&[Candidate]) -> Option<usize>,
    ) -> Option<Rc<Replica>> {
        let services = self.services.borrow();
        let replicas = services.get(wanted.service)?;
        let mut candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| replica.candidate(wanted))
            .collect();
        let now = Instant::now();
        let failures: Vec<f64> = replicas
            .iter()
            .map(|replica| replica.failure(now))
            .collect();
        let limits = [
            health::accepted_failure(wanted.repeatable),
            health::SUSPENSION,
        ];
        let limit = limits.into_iter().find(|limit| {
            let mut usable = candidates.iter().zip(&failures);
            usable.any(|(candidate, failure)| candidate.usable && failure <= limit)
        });
        if let Some(limit) = limit {
            for (candidate, failure) in candidates.iter_mut().zip(&failures) {
                candidate.usable &= *failure <= limit;
            }
        }
        choose(&candidates).map(|index| replicas[index].clone())
    }
}

/// Services of which too many replicas have left the list at once.
fn lapsed_services(
    replicas: &HashMap<Text, Rc<Replica>>,
    records: &BTreeMap<Text, ReplicaRecord>,
) -> HashSet<Text> {
    let mut counts: HashMap<&Text, (usize, usize)> = HashMap::new();
    let listed = replicas
        .iter()
        .filter(|(_, replica)| replica.lapsed_until.get().is_none());
    for (id, replica) in listed {
        let (left, all) = counts.entry(&replica.record.service).or_default();
        *left += usize::from(!records.contains_key(id));
        *all += 1;
    }
    counts.retain(|_, (left, all)| *left * LAPSE_SHARE > *all);
    for (service, (left, all)) in &counts {
        let detail = format!("service={service} left={left} of={all}");
        observe::event(Event::ReplicasLapsed, &detail);
    }
    counts.into_keys().cloned().collect()
}

/// What a request asks of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a str,
    /// Zone of the front.
    pub zone: &'a str,
    /// Replicas that were tried already.
    pub excluded: &'a [Text],
    /// Prompt of the request.
    pub prompt: &'a Prompt,
    /// Whether it may run more than once.
    pub repeatable: bool,
}
