//! Registry of all replicas by service, and the choice among the replicas of one service.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaState, RequestHomes};
use stageyoke_observe as observe;
use stageyoke_store::LoadTracker;
use stageyoke_types::{Event, Text};
use tokio::time::Instant;

use crate::engine_rates::{CurrentRates, EngineRates};
use crate::health;
use crate::idle_limit::IdleLimit;
use crate::placement::{self, Candidate};
use crate::prompt_cache::Prompt;
use crate::replica::{Replica, SharedState};
use crate::replica_log;
use crate::restrictions::Shortage;

/// A service's missing replicas count as lapsed only if more than one in this many is
/// missing. Otherwise the remaining ones can carry the load, and skipping the missing ones
/// costs less than sending requests to processes that may have ended.
const LAPSE_DIVISOR: usize = 4;

/// Minimum number of replicas per store group for a service to be divided into cells. In
/// smaller cells, a burst of one group's programs would fill its replicas while others are
/// idle.
const MIN_CELL_REPLICAS: usize = 6;

/// Number of services above which the rates of services without replicas are dropped.
/// Service names change with the configuration, and a process runs for a long time.
const MAX_SERVICE_RATES: usize = 64;

/// Replicas by service, as listed in the directory.
pub struct ReplicaRegistry {
    load: Rc<LoadTracker>,
    region_by_zone: BTreeMap<String, String>,
    idle_limit: Rc<Cell<IdleLimit>>,
    store_groups: Cell<usize>,
    replicas: RefCell<HashMap<Text, Rc<Replica>>>,
    services: RefCell<HashMap<Text, Vec<Rc<Replica>>>>,
    rates: RefCell<HashMap<Text, Rc<Cell<EngineRates>>>>,
}

impl ReplicaRegistry {
    /// Creates an empty registry that counts requests in flight on the given load board. A
    /// zone without a region is a region of its own.
    pub fn new(load: Rc<LoadTracker>, region_by_zone: BTreeMap<String, String>) -> Self {
        Self {
            load,
            region_by_zone,
            idle_limit: Rc::default(),
            store_groups: Cell::new(0),
            replicas: RefCell::default(),
            services: RefCell::default(),
            rates: RefCell::default(),
        }
    }

    /// Applies the replica list. A missing replica gets no new requests, unless its entry
    /// may have expired during a service outage: such a replica is used until
    /// `lapse_deadline`, by which time it is listed again or has ended.
    pub fn apply_list(
        &self,
        records: &BTreeMap<Text, ReplicaRecord>,
        lapse_deadline: Option<Instant>,
    ) {
        let removed = self.remove_missing(records, lapse_deadline);
        let added = self.add_new(records);
        let now = self.replicas.borrow().len();
        replica_log::log_replica_changes(&added, &removed, now);
        self.group_by_service();
    }

    /// Removes replicas that must not get new requests and returns their identifiers.
    fn remove_missing(
        &self,
        records: &BTreeMap<Text, ReplicaRecord>,
        lapse_deadline: Option<Instant>,
    ) -> Vec<Text> {
        let mut replicas = self.replicas.borrow_mut();
        let lapse_deadline = lapse_deadline.filter(|until| *until > Instant::now());
        if let Some(until) = lapse_deadline {
            mark_lapsed(&replicas, records, until);
        }
        let mut removed = Vec::new();
        replicas.retain(|id, replica| {
            let retained = match records.get(id) {
                Some(record) => is_same_incarnation(replica, record) && is_ready(record),
                None => replica.lapsed_until().is_some() && replica.accepts_requests(),
            };
            if !retained {
                replica.mark_removed();
                removed.push(id.clone());
            }
            retained
        });
        removed
    }

    /// Adds newly listed replicas that are ready and returns their identifiers.
    fn add_new(&self, records: &BTreeMap<Text, ReplicaRecord>) -> Vec<Text> {
        let mut added = Vec::new();
        let mut replicas = self.replicas.borrow_mut();
        for (id, record) in records.iter().filter(|(_, record)| is_ready(record)) {
            replicas.entry(id.clone()).or_insert_with(|| {
                added.push(id.clone());
                let shared_state = self.shared_state(record);
                Rc::new(Replica::new(id.clone(), record.clone(), shared_state))
            });
        }
        added
    }

    fn group_by_service(&self) {
        let mut services: HashMap<Text, Vec<Rc<Replica>>> = HashMap::new();
        for replica in self.replicas.borrow().values() {
            let members = services.entry(replica.record.service.clone()).or_default();
            members.push(replica.clone());
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

    /// Returns whether any lapsed replica has passed its deadline, so that the list must be
    /// applied again.
    pub fn has_expired_lapses(&self) -> bool {
        let now = Instant::now();
        let replicas = self.replicas.borrow();
        let mut lapsed = replicas
            .values()
            .filter_map(|replica| replica.lapsed_until());
        lapsed.any(|until| until <= now)
    }

    /// Divides a service's replicas among the store groups. All fronts use the same order,
    /// and adding or removing a replica moves few others to another group.
    fn assign_cells(&self, replicas: &mut [Rc<Replica>]) {
        let groups = self.store_groups.get();
        let count = replicas.len();
        replicas.sort_by_key(|replica| replica.cell_order());
        let has_cells = groups > 0 && count >= groups * MIN_CELL_REPLICAS;
        for (position, replica) in replicas.iter().enumerate() {
            let number = u32::try_from(position * groups / count).unwrap_or_default();
            replica.set_cell(has_cells.then_some(GroupNumber(number)));
        }
    }

    /// Sets the number of store groups, which takes effect when the list is next applied.
    pub fn set_store_groups(&self, groups: usize) {
        self.store_groups.set(groups);
    }

    /// Applies the evacuated zones. `cold_time` returns for how long the replicas of a service
    /// count as cold when their zone returns.
    pub fn apply_evacuations(&self, zones: &BTreeSet<Text>, cold_time: impl Fn(&Text) -> Duration) {
        for replica in self.replicas.borrow().values() {
            let record = &replica.record;
            replica.set_evacuated(zones.contains(&record.zone), cold_time(&record.service));
        }
    }

    /// Returns the zones of all replicas.
    pub fn zones(&self) -> BTreeSet<Text> {
        let replicas = self.replicas.borrow();
        let zones = replicas.values().map(|replica| replica.record.zone.clone());
        zones.collect()
    }

    /// Returns why no replica of the service may get a request; `None` if one may.
    pub fn shortage(&self, query: &ReplicaQuery<'_>) -> Option<Shortage> {
        let services = self.services.borrow();
        let mut shortage = None;
        for replica in services.get(query.service).into_iter().flatten() {
            let restriction = replica.restriction(query)?;
            shortage = Some(shortage.map_or(restriction, |known: Shortage| known.or(restriction)));
        }
        shortage.or(Some(Shortage::NoReplica))
    }

    fn shared_state(&self, record: &ReplicaRecord) -> SharedState {
        let zone = record.zone.as_str();
        let region = self.region_by_zone.get(zone);
        let service = &record.service;
        let mut rates = self.rates.borrow_mut();
        SharedState {
            region: region.map_or_else(|| record.zone.clone(), |name| Text::from(name.as_str())),
            load: self.load.clone(),
            idle_limit: self.idle_limit.clone(),
            rates: rates.entry(service.clone()).or_default().clone(),
        }
    }

    /// Returns the learned rates of a service's engines.
    pub fn rates(&self, service: &str) -> CurrentRates {
        let rates = self.rates.borrow();
        let rates = rates.get(service).map(|rates| rates.get());
        rates.unwrap_or_default().current()
    }

    /// Returns the load board, which combines this front's counts with those reported by
    /// other fronts.
    pub fn load(&self) -> &LoadTracker {
        &self.load
    }

    /// Returns the total number of slots of a service's replicas that accept requests.
    pub fn total_slots(&self, service: &str) -> u32 {
        let services = self.services.borrow();
        let replicas = services.get(service).into_iter().flatten();
        let accepting = replicas.filter(|replica| replica.accepts_requests());
        accepting.map(|replica| replica.record.slots).sum()
    }

    /// Chooses a replica of the service with `choose`. Candidates with a high failure
    /// probability are excluded unless no others are eligible.
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
            health::max_accepted_failure(query.repeatable),
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
        placement::prefer_warm(&mut candidates);
        choose(&candidates).map(|index| replicas[index].clone())
    }
}

/// Returns whether the listed record is the same incarnation as the registered replica, and
/// logs a restart if not.
fn is_same_incarnation(replica: &Replica, listed: &ReplicaRecord) -> bool {
    let matches_listing = replica.confirm_listing(listed);
    if !matches_listing {
        replica_log::log_replica_restart(&replica.id, &replica.record, listed);
    }
    matches_listing
}

fn is_ready(record: &ReplicaRecord) -> bool {
    record.state == ReplicaState::Ready
}

/// Marks missing replicas as lapsed until the deadline, for services that miss many at
/// once.
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

/// Counts of one service's replicas.
#[derive(Default)]
struct ServiceReplicas {
    missing: usize,
    all: usize,
}

/// Returns the services that miss too many replicas at once.
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

/// Criteria for choosing a replica for a request.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaQuery<'a> {
    /// Name of the requested service.
    pub service: &'a str,
    /// Zone of the front.
    pub zone: &'a str,
    /// Replicas that were already tried.
    pub excluded: &'a [Text],
    /// Prompt of the request.
    pub prompt: &'a Prompt,
    /// Store group of the request's program; `None` without a program.
    pub group: Option<GroupNumber>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Home regions that bind the request.
    pub homes: RequestHomes<'a>,
}
