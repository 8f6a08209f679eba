//! All replicas by service, and the choice among those of one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaState};
use stageyoke_observe as observe;
use stageyoke_store::LoadTracker;
use stageyoke_types::{Event, Text};
use tokio::time::Instant;

use crate::engine_rates::{CurrentRates, EngineRates};
use crate::health;
use crate::idle_limit::IdleLimit;
use crate::placement::Candidate;
use crate::prompt_cache::Prompt;
use crate::replica::{Replica, SharedState};
use crate::replica_log;

/// A service's replicas have lapsed only if more than one in this many are missing
/// together: where most are left, doing without the others for the two seconds in
/// which they may come back costs less than offering work to one that has ended.
const LAPSE_DIVISOR: usize = 4;

/// Replicas that a store group's programs have at least for themselves, where a
/// service's replicas are divided among the groups: with fewer a burst of one
/// group's programs fills them while others' are free.
const MIN_CELL_REPLICAS: usize = 6;

/// Services whose rates are remembered though they have no replica now: names
/// change with each configuration, and a process lives long.
const MAX_SERVICE_RATES: usize = 64;

/// Replicas by service.
pub struct ReplicaRegistry {
    load: Rc<LoadTracker>,
    idle_limit: Rc<Cell<IdleLimit>>,
    groups: Cell<usize>,
    replicas: RefCell<HashMap<Text, Rc<Replica>>>,
    services: RefCell<HashMap<Text, Vec<Rc<Replica>>>>,
    rates: RefCell<HashMap<Text, Rc<Cell<EngineRates>>>>,
}

impl ReplicaRegistry {
    /// No replicas yet; what is under way is counted on this board.
    pub fn new(load: Rc<LoadTracker>) -> Self {
        Self {
            load,
            idle_limit: Rc::default(),
            groups: Cell::new(0),
            replicas: RefCell::default(),
            services: RefCell::default(),
            rates: RefCell::default(),
        }
    }

    /// Follows the replica list. Replicas that it misses get nothing more, but where
    /// their entries may have run out as the key-value service was away: then they are
    /// used until `back_until`, by which they are listed again or have ended.
    pub fn apply_list(&self, records: &BTreeMap<Text, ReplicaRecord>, back_until: Option<Instant>) {
        let dropped = self.remove_missing(records, back_until);
        let added = self.add_new(records);
        let now = self.replicas.borrow().len();
        replica_log::log_replica_changes(&added, &dropped, now);
        self.group_by_service();
    }

    /// Drops replicas that are to get nothing more.
    fn remove_missing(
        &self,
        records: &BTreeMap<Text, ReplicaRecord>,
        back_until: Option<Instant>,
    ) -> Vec<Text> {
        let mut replicas = self.replicas.borrow_mut();
        let back_until = back_until.filter(|until| *until > Instant::now());
        if let Some(until) = back_until {
            mark_lapsed(&replicas, records, until);
        }
        let mut dropped = Vec::new();
        replicas.retain(|id, replica| {
            let stays = match records.get(id) {
                Some(record) => is_same_incarnation(replica, record) && ready(record),
                None => replica.lapsed_until().is_some() && replica.accepts_requests(),
            };
            if !stays {
                replica.mark_removed();
                dropped.push(id.clone());
            }
            stays
        });
        dropped
    }

    /// Takes up replicas that are new.
    fn add_new(&self, records: &BTreeMap<Text, ReplicaRecord>) -> Vec<Text> {
        let mut added = Vec::new();
        let mut replicas = self.replicas.borrow_mut();
        for (id, record) in records.iter().filter(|(_, record)| ready(record)) {
            replicas.entry(id.clone()).or_insert_with(|| {
                added.push(id.clone());
                let shared = self.shared(&record.service);
                Rc::new(Replica::new(id.clone(), record.clone(), shared))
            });
        }
        added
    }

    fn group_by_service(&self) {
        let mut services: HashMap<Text, Vec<Rc<Replica>>> = HashMap::new();
        for replica in self.replicas.borrow().values() {
            let list = services.entry(replica.record.service.clone()).or_default();
            list.push(replica.clone());
        }
        for replicas in services.values_mut() {
            self.assign_cells(replicas);
        }
        let mut rates = self.rates.borrow_mut();
        if rates.len() > MAX_SERVICE_RATES {
            rates.retain(|service, _| services.contains_key(service));
        }
        drop(rates);
        *self.services.borrow_mut() = services;
    }

    /// Whether replicas are kept whose lapse is over: the list is to be followed again.
    pub fn has_expired_lapses(&self) -> bool {
        let now = Instant::now();
        let replicas = self.replicas.borrow();
        let mut lapsed = replicas
            .values()
            .filter_map(|replica| replica.lapsed_until());
        lapsed.any(|until| until <= now)
    }

    /// Divides a service's replicas among the store groups, by an order that all
    /// fronts share: one that comes or goes moves few others.
    fn assign_cells(&self, replicas: &mut [Rc<Replica>]) {
        let groups = self.groups.get();
        let count = replicas.len();
        replicas.sort_by_key(|replica| replica.cell_order());
        let divided = groups > 0 && count >= groups * MIN_CELL_REPLICAS;
        for (position, replica) in replicas.iter().enumerate() {
            let number = u32::try_from(position * groups / count).unwrap_or_default();
            replica.set_cell(divided.then_some(GroupNumber(number)));
        }
    }

    /// So many store groups there are.
    pub fn set_store_groups(&self, groups: usize) {
        self.groups.set(groups);
    }

    fn shared(&self, service: &Text) -> SharedState {
        let mut rates = self.rates.borrow_mut();
        SharedState {
            load: self.load.clone(),
            idle_limit: self.idle_limit.clone(),
            rates: rates.entry(service.clone()).or_default().clone(),
        }
    }

    /// What is known of the rates of a service's engines.
    pub fn rates(&self, service: &str) -> CurrentRates {
        let rates = self.rates.borrow();
        let rates = rates.get(service).map(|rates| rates.get());
        rates.unwrap_or_default().current()
    }

    /// What is under way at all replicas, as this front and others count it.
    pub fn load(&self) -> &LoadTracker {
        &self.load
    }

    /// Requests that a service's replicas work on at once.
    pub fn total_slots(&self, service: &str) -> u32 {
        let services = self.services.borrow();
        let replicas = services.get(service).into_iter().flatten();
        let accepts_requests = replicas.filter(|replica| replica.accepts_requests());
        accepts_requests.map(|replica| replica.record.slots).sum()
    }

    /// Chooses a replica of a service with `choose` for a request that may run
    /// more than once or not. Failing replicas only where there is no other.
    pub fn choose(
        &self,
        query: &ReplicaQuery<'_>,
        choose: impl Fn(&[Candidate]) -> Option<usize>,
    ) -> Option<Rc<Replica>> {
        let services = self.services.borrow();
        let replicas = services.get(query.service)?;
        let mut candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| replica.candidate(query))
            .collect();
        let limits = [
            health::accepted_failure(query.repeatable),
            health::SUSPENSION_THRESHOLD,
        ];
        let limit = limits.into_iter().find(|limit| {
            let mut candidates = candidates.iter();
            candidates
                .any(|candidate| candidate.eligible && candidate.failure_probability <= *limit)
        });
        if let Some(limit) = limit {
            for candidate in &mut candidates {
                candidate.eligible &= candidate.failure_probability <= limit;
            }
        }
        choose(&candidates).map(|index| replicas[index].clone())
    }
}

/// Whether a replica is listed as the incarnation that it is here; says if not.
fn is_same_incarnation(replica: &Replica, listed: &ReplicaRecord) -> bool {
    let is_same_incarnation = replica.confirm_listing(listed);
    if !is_same_incarnation {
        replica_log::log_replica_restart(&replica.id, &replica.record, listed);
    }
    is_same_incarnation
}

fn ready(record: &ReplicaRecord) -> bool {
    record.state == ReplicaState::Ready
}

/// Lets missing replicas of services of which many are missing at once take work until
/// then.
fn mark_lapsed(
    replicas: &HashMap<Text, Rc<Replica>>,
    records: &BTreeMap<Text, ReplicaRecord>,
    until: Instant,
) {
    let lapsed = lapsed_services(replicas, records);
    for (service, counts) in &lapsed {
        let used_for = until.saturating_duration_since(Instant::now()).as_millis();
        let ServiceReplicas { missing, all } = counts;
        let detail = format!("service={service} left={missing} of={all} used_for={used_for}");
        observe::record_event(Event::ReplicasLapsed, &detail);
    }
    for (id, replica) in replicas {
        if !records.contains_key(id) && lapsed.contains_key(&replica.record.service) {
            replica.lapse(until);
        }
    }
}

/// Replicas of one service.
#[derive(Default)]
struct ServiceReplicas {
    missing: usize,
    all: usize,
}

/// Services of which too many replicas are missing at once.
fn lapsed_services(
    replicas: &HashMap<Text, Rc<Replica>>,
    records: &BTreeMap<Text, ReplicaRecord>,
) -> HashMap<Text, ServiceReplicas> {
    let mut services: HashMap<Text, ServiceReplicas> = HashMap::new();
    let listed = replicas.iter();
    let listed = listed.filter(|(_, replica)| replica.lapsed_until().is_none());
    for (id, replica) in listed {
        let counts = services.entry(replica.record.service.clone()).or_default();
        counts.missing += usize::from(!records.contains_key(id));
        counts.all += 1;
    }
    services.retain(|_, counts| counts.missing * LAPSE_DIVISOR > counts.all);
    services
}

/// What a request asks of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Zone of the front.
    pub zone: &'a str,
    /// Replicas that were tried already.
    pub excluded: &'a [Text],
    /// Prompt of the request.
    pub prompt: &'a Prompt,
    /// The store group of its program; none where it has no program.
    pub group: Option<GroupNumber>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}
