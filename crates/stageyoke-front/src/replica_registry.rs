//! Registry of all replicas by service, and the choice among the replicas of one service.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaState, RequestHomes};
use stageyoke_observe as observe;
use stageyoke_store::LoadTracker;
use stageyoke_types::{Event, Text};
use tokio::time::Instant;

use crate::connection_drain::DrainLimit;
use crate::engine_rates::{CurrentRates, EngineRates};
use crate::health;
use crate::idle_limit::IdleLimit;
use crate::placement::{self, Candidate};
use crate::prompt_cache::Prompt;
use crate::replica::{Replica, SharedState};
use crate::replica_log;
use crate::restrictions::Shortage;
use crate::service_pool::ServicePool;
use crate::stream_version::DepartedVersions;

/// A service's missing replicas count as lapsed only if more than one in this many is
/// missing. Otherwise the remaining ones can carry the load, and skipping the missing ones
/// costs less than sending requests to processes that may have ended.
const LAPSE_DIVISOR: usize = 4;

/// Number of services above which the rates of services without replicas are dropped.
/// Service names change with the configuration, and a process runs for a long time.
const MAX_SERVICE_RATES: usize = 64;

/// Replicas by service, as listed in the directory.
pub struct ReplicaRegistry {
    load: Rc<LoadTracker>,
    region_by_zone: BTreeMap<String, String>,
    idle_limit: Rc<Cell<IdleLimit>>,
    drain_limit: DrainLimit,
    store_groups: Cell<usize>,
    evacuated_zones: RefCell<BTreeSet<Text>>,
    has_lapses: Cell<bool>,
    replicas: RefCell<HashMap<Text, Rc<Replica>>>,
    services: RefCell<HashMap<Text, ServicePool>>,
    rates: RefCell<HashMap<Text, Rc<Cell<EngineRates>>>>,
    departed_versions: DepartedVersions,
    /// When the list was applied first.
    following_since: Cell<Option<Instant>>,
}

impl ReplicaRegistry {
    /// Creates an empty registry that counts requests in flight on the given load board. A
    /// zone without a region is a region of its own.
    pub fn new(load: Rc<LoadTracker>, region_by_zone: BTreeMap<String, String>) -> Self {
        Self {
            load,
            region_by_zone,
            idle_limit: Rc::default(),
            drain_limit: DrainLimit::default(),
            store_groups: Cell::new(0),
            evacuated_zones: RefCell::default(),
            has_lapses: Cell::new(false),
            replicas: RefCell::default(),
            services: RefCell::default(),
            rates: RefCell::default(),
            departed_versions: DepartedVersions::default(),
            following_since: Cell::new(None),
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
        let ready = records.iter().filter(|(_, record)| is_ready(record));
        let added = self.add_new(ready);
        self.finish_update(added, removed);
    }

    /// Applies the changes of the replica list since the last call, for which the work does
    /// not depend on the length of the list. `changed` contains at least the identifiers of
    /// all changed entries. Entries that may have expired during an outage are judged by the
    /// whole list.
    pub fn apply_changes(
        &self,
        records: &BTreeMap<Text, ReplicaRecord>,
        changed: &BTreeSet<Text>,
        lapse_deadline: Option<Instant>,
    ) {
        if lapse_deadline.is_some() || self.has_lapses.get() {
            return self.apply_list(records, lapse_deadline);
        }
        let mut removed = Vec::new();
        let mut replicas = self.replicas.borrow_mut();
        for id in changed {
            let Some(replica) = replicas.get(id) else {
                continue;
            };
            if !is_retained(replica, records.get(id)) {
                replica.mark_removed();
                removed.push(replica.clone());
                replicas.remove(id);
            }
        }
        drop(replicas);
        let listed = changed.iter().filter_map(|id| records.get_key_value(id));
        let added = self.add_new(listed.filter(|(_, record)| is_ready(record)));
        self.finish_update(added, removed);
    }

    /// Removes replicas that must not get new requests and returns them.
    fn remove_missing(
        &self,
        records: &BTreeMap<Text, ReplicaRecord>,
        lapse_deadline: Option<Instant>,
    ) -> Vec<Rc<Replica>> {
        let mut replicas = self.replicas.borrow_mut();
        let lapse_deadline = lapse_deadline.filter(|until| *until > Instant::now());
        if let Some(until) = lapse_deadline {
            mark_lapsed(&replicas, records, until);
        }
        let mut removed = Vec::new();
        let mut has_lapses = false;
        replicas.retain(|id, replica| {
            let retained = is_retained(replica, records.get(id));
            has_lapses |= retained && replica.lapsed_until().is_some();
            if !retained {
                replica.mark_removed();
                removed.push(replica.clone());
            }
            retained
        });
        self.has_lapses.set(has_lapses);
        removed
    }

    /// Adds replicas that are not registered yet and returns them.
    fn add_new<'a>(
        &self,
        ready: impl Iterator<Item = (&'a Text, &'a ReplicaRecord)>,
    ) -> Vec<Rc<Replica>> {
        let mut added = Vec::new();
        let mut replicas = self.replicas.borrow_mut();
        let evacuated_zones = self.evacuated_zones.borrow();
        for (id, record) in ready {
            if replicas.contains_key(id) {
                continue;
            }
            let shared_state = self.shared_state(record);
            let replica = Rc::new(Replica::new(id.clone(), record.clone(), shared_state));
            replica.set_evacuated(evacuated_zones.contains(&record.zone), Duration::ZERO);
            replicas.insert(id.clone(), replica.clone());
            added.push(replica);
        }
        added
    }

    /// Logs the changed replicas and updates the pools of their services.
    fn finish_update(&self, added: Vec<Rc<Replica>>, removed: Vec<Rc<Replica>>) {
        if self.following_since.get().is_none() {
            self.following_since.set(Some(Instant::now()));
        }
        let now = self.replicas.borrow().len();
        replica_log::log_replica_changes(&added, &removed, now);
        self.departed_versions.record(&removed);
        let mut changes: HashMap<Text, Vec<Rc<Replica>>> = HashMap::new();
        for replica in removed {
            changes.entry(replica.record.service.clone()).or_default();
        }
        for replica in added {
            let service = replica.record.service.clone();
            changes.entry(service).or_default().push(replica);
        }
        let mut services = self.services.borrow_mut();
        for (service, added) in changes {
            let pool = services.entry(service).or_default();
            pool.update(added, self.store_groups.get());
        }
        services.retain(|_, pool| !pool.all().is_empty());
        let mut rates = self.rates.borrow_mut();
        if rates.len() > MAX_SERVICE_RATES {
            rates.retain(|service, _| services.contains_key(service));
        }
    }

    /// Returns whether any lapsed replica has passed its deadline, so that the list must be
    /// applied again.
    pub fn has_expired_lapses(&self) -> bool {
        if !self.has_lapses.get() {
            return false;
        }
        let now = Instant::now();
        let replicas = self.replicas.borrow();
        let mut lapsed = replicas
            .values()
            .filter_map(|replica| replica.lapsed_until());
        lapsed.any(|until| until <= now)
    }

    /// Sets the number of store groups, by which large services are divided into cells.
    pub fn set_store_groups(&self, groups: usize) {
        if self.store_groups.replace(groups) != groups {
            for pool in self.services.borrow_mut().values_mut() {
                pool.assign_cells(groups);
            }
        }
    }

    /// Applies the evacuated zones. `cold_time` returns for how long the replicas of a service
    /// count as cold when their zone returns.
    pub fn apply_evacuations(&self, zones: &BTreeSet<Text>, cold_time: impl Fn(&Text) -> Duration) {
        if *self.evacuated_zones.borrow() == *zones {
            return;
        }
        for replica in self.replicas.borrow().values() {
            let record = &replica.record;
            replica.set_evacuated(zones.contains(&record.zone), cold_time(&record.service));
        }
        self.evacuated_zones.replace(zones.clone());
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
        let pool = services.get(query.service);
        for replica in pool.into_iter().flat_map(ServicePool::all) {
            let restriction = replica.restriction(query)?;
            shortage = Some(shortage.map_or(restriction, |known: Shortage| known.or(restriction)));
        }
        shortage.or(Some(Shortage::NoReplica))
    }

    /// Returns some other replicas of the same service and zone, at most `count`.
    pub fn neighbours(&self, replica: &Replica, count: usize) -> Vec<Rc<Replica>> {
        let services = self.services.borrow();
        let pool = services.get(&replica.record.service);
        let all = pool.into_iter().flat_map(ServicePool::all);
        let neighbours =
            all.filter(|other| other.id != replica.id && other.record.zone == replica.record.zone);
        neighbours.cloned().choose_multiple(&mut rand::rng(), count)
    }

    /// Returns the software version of all replicas of a service, if it is the same, also of
    /// those that have left recently.
    pub fn only_version(&self, service: &str) -> Option<Text> {
        let services = self.services.borrow();
        let replicas = services.get(service)?.all();
        let version = &replicas.first()?.record.software_version;
        let is_same = |replica: &Rc<Replica>| replica.record.software_version == *version;
        let is_only =
            replicas.iter().all(is_same) && !self.departed_versions.has_other(service, version);
        is_only.then(|| version.clone())
    }

    /// Returns whether the list has been followed for this time, so that every version which has left
    /// since then is known.
    pub fn has_followed_list_for(&self, time: Duration) -> bool {
        let since = self.following_since.get();
        since.is_some_and(|since| since.elapsed() >= time)
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
            drain_limit: self.drain_limit.clone(),
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
        let replicas = services.get(service).into_iter().flat_map(ServicePool::all);
        let accepting = replicas.filter(|replica| replica.accepts_requests());
        accepting.map(|replica| replica.record.slots).sum()
    }

    /// Chooses a replica of the service with `choose`. Candidates with a high failure
    /// probability are excluded unless no others are eligible. If none of the considered
    /// replicas has a free slot, all replicas are candidates.
    pub fn choose(
        &self,
        query: &ReplicaQuery<'_>,
        choose: impl Fn(&[Candidate]) -> Option<usize>,
    ) -> Option<Rc<Replica>> {
        let services = self.services.borrow();
        let pool = services.get(query.service)?;
        let considered = pool.considered(query);
        let candidates = eligible_candidates(&considered, query);
        let has_room =
            |candidate: &Candidate| candidate.eligible && candidate.in_flight < candidate.slots;
        let chosen = match !pool.is_large() || candidates.iter().any(has_room) {
            true => choose(&candidates).map(|index| considered[index].clone()),
            false => {
                let candidates = eligible_candidates(pool.all(), query);
                choose(&candidates).map(|index| pool.all()[index].clone())
            }
        }?;
        pool.record_use(&chosen);
        Some(chosen)
    }
}

/// Returns the candidates for a request, without those that are likely to fail it and without
/// cold ones as far as others are eligible.
fn eligible_candidates(replicas: &[Rc<Replica>], query: &ReplicaQuery<'_>) -> Vec<Candidate> {
    let candidates = replicas.iter().map(|replica| replica.candidate(query));
    let mut candidates: Vec<Candidate> = candidates.collect();
    let limits = [
        health::max_accepted_failure(query.repeatable),
        health::SUSPENSION_THRESHOLD,
    ];
    let limit = limits.into_iter().find(|limit| {
        let mut candidates = candidates.iter();
        candidates.any(|candidate| candidate.eligible && candidate.failure_probability <= *limit)
    });
    if let Some(limit) = limit {
        for candidate in &mut candidates {
            candidate.eligible &= candidate.failure_probability <= limit;
        }
    }
    placement::prefer_warm(&mut candidates);
    candidates
}

/// Returns whether a registered replica may still get requests, given its entry in the list.
fn is_retained(replica: &Replica, listed: Option<&ReplicaRecord>) -> bool {
    match listed {
        Some(record) => is_same_incarnation(replica, record) && is_ready(record),
        None => replica.lapsed_until().is_some() && replica.is_listed(),
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
    /// Hash that selects the considered replicas of a large service; equal for all turns of a
    /// program.
    pub affinity: u64,
    /// Home regions that bind the request.
    pub homes: RequestHomes<'a>,
    /// Software version that began the stream which the request continues; `None` for any.
    pub software_version: Option<&'a str>,
}
