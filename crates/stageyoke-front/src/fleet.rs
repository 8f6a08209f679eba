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
use crate::list_report;
use crate::placement::Candidate;
use crate::prompt::Prompt;
use crate::replica::{Replica, Shared};
use crate::rest::RestLimit;

/// A service's replicas have lapsed only if more than one in this many are missing
/// together: where most are left, doing without the others for the two seconds in
/// which they may come back costs less than offering work to one that has ended.
const LAPSE_SHARE: usize = 4;

/// Replicas that a store group's programs have at least for themselves, where a
/// service's replicas are divided among the groups: with fewer a burst of one
/// group's programs fills them while others' are free.
const LEAST_CELL: usize = 6;

/// Services whose rates are remembered though they have no replica now: names
/// change with each configuration, and a process lives long.
const MOST_RATES: usize = 64;

/// Replicas by service.
pub struct Fleet {
    load: Rc<LoadTracker>,
    rest_limit: Rc<Cell<RestLimit>>,
    groups: Cell<usize>,
    replicas: RefCell<HashMap<Text, Rc<Replica>>>,
    services: RefCell<HashMap<Text, Vec<Rc<Replica>>>>,
    rates: RefCell<HashMap<Text, Rc<Cell<EngineRates>>>>,
}

impl Fleet {
    /// No replicas yet; what is under way is counted on this board.
    pub fn new(load: Rc<LoadTracker>) -> Self {
        Self {
            load,
            rest_limit: Rc::default(),
            groups: Cell::new(0),
            replicas: RefCell::default(),
            services: RefCell::default(),
            rates: RefCell::default(),
        }
    }

    /// Follows the replica list. Replicas that it misses get nothing more, but where
    /// their entries may have run out as the key-value service was away: then they are
    /// used until `back_until`, by which they are listed again or have ended.
    pub fn follow(&self, records: &BTreeMap<Text, ReplicaRecord>, back_until: Option<Instant>) {
        let dropped = self.drop_missing(records, back_until);
        let added = self.take_up(records);
        let now = self.replicas.borrow().len();
        list_report::replicas_changed(&added, &dropped, now);
        self.sort_by_service();
    }

    /// Drops replicas that are to get nothing more.
    fn drop_missing(
        &self,
        records: &BTreeMap<Text, ReplicaRecord>,
        back_until: Option<Instant>,
    ) -> Vec<Text> {
        let mut replicas = self.replicas.borrow_mut();
        let back_until = back_until.filter(|until| *until > Instant::now());
        if let Some(until) = back_until {
            lapse_together(&replicas, records, until);
        }
        let mut dropped = Vec::new();
        replicas.retain(|id, replica| {
            let stays = match records.get(id) {
                Some(record) => continues(replica, record) && ready(record),
                None => replica.lapsed_until().is_some() && replica.taking_work(),
            };
            if !stays {
                replica.mark_gone();
                dropped.push(id.clone());
            }
            stays
        });
        dropped
    }

    /// Takes up replicas that are new.
    fn take_up(&self, records: &BTreeMap<Text, ReplicaRecord>) -> Vec<Text> {
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

    fn sort_by_service(&self) {
        let mut services: HashMap<Text, Vec<Rc<Replica>>> = HashMap::new();
        for replica in self.replicas.borrow().values() {
            let list = services.entry(replica.record.service.clone()).or_default();
            list.push(replica.clone());
        }
        for replicas in services.values_mut() {
            self.divide(replicas);
        }
        let mut rates = self.rates.borrow_mut();
        if rates.len() > MOST_RATES {
            rates.retain(|service, _| services.contains_key(service));
        }
        drop(rates);
        *self.services.borrow_mut() = services;
    }

    /// Whether replicas are kept whose lapse is over: the list is to be followed again.
    pub fn has_lapses_over(&self) -> bool {
        let now = Instant::now();
        let replicas = self.replicas.borrow();
        let mut lapsed = replicas
            .values()
            .filter_map(|replica| replica.lapsed_until());
        lapsed.any(|until| until <= now)
    }

    /// Divides a service's replicas among the store groups, by an order that all
    /// fronts share: one that comes or goes moves few others.
    fn divide(&self, replicas: &mut [Rc<Replica>]) {
        let groups = self.groups.get();
        let count = replicas.len();
        replicas.sort_by_key(|replica| replica.rank());
        let divided = groups > 0 && count >= groups * LEAST_CELL;
        for (position, replica) in replicas.iter().enumerate() {
            let number = u32::try_from(position * groups / count).unwrap_or_default();
            replica.set_cell(divided.then_some(GroupNumber(number)));
        }
    }

    /// So many store groups there are.
    pub fn set_groups(&self, groups: usize) {
        self.groups.set(groups);
    }

    fn shared(&self, service: &Text) -> Shared {
        let mut rates = self.rates.borrow_mut();
        Shared {
            load: self.load.clone(),
            rest_limit: self.rest_limit.clone(),
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
    pub fn places(&self, service: &str) -> u32 {
        let services = self.services.borrow();
        let replicas = services.get(service).into_iter().flatten();
        let taking_work = replicas.filter(|replica| replica.taking_work());
        taking_work.map(|replica| replica.record.slots).sum()
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
        let limits = [
            health::accepted_failure(wanted.repeatable),
            health::SUSPENSION,
        ];
        let limit = limits.into_iter().find(|limit| {
            let mut candidates = candidates.iter();
            candidates.any(|candidate| candidate.usable && candidate.failure <= *limit)
        });
        if let Some(limit) = limit {
            for candidate in &mut candidates {
                candidate.usable &= candidate.failure <= limit;
            }
        }
        choose(&candidates).map(|index| replicas[index].clone())
    }
}

/// Whether a replica is listed as the incarnation that it is here; says if not.
fn continues(replica: &Replica, listed: &ReplicaRecord) -> bool {
    let continues = replica.continues_in(listed);
    if !continues {
        list_report::restarted(&replica.id, &replica.record, listed);
    }
    continues
}

fn ready(record: &ReplicaRecord) -> bool {
    record.state == ReplicaState::Ready
}

/// Lets missing replicas of services of which many are missing at once take work until
/// then.
fn lapse_together(
    replicas: &HashMap<Text, Rc<Replica>>,
    records: &BTreeMap<Text, ReplicaRecord>,
    until: Instant,
) {
    let lapsed = lapsed_services(replicas, records);
    for (service, shares) in &lapsed {
        let used_for = until.saturating_duration_since(Instant::now()).as_millis();
        let Shares { missing, all } = shares;
        let detail = format!("service={service} left={missing} of={all} used_for={used_for}");
        observe::event(Event::ReplicasLapsed, &detail);
    }
    for (id, replica) in replicas {
        if !records.contains_key(id) && lapsed.contains_key(&replica.record.service) {
            replica.lapse(until);
        }
    }
}

/// Replicas of one service.
#[derive(Default)]
struct Shares {
    missing: usize,
    all: usize,
}

/// Services of which too many replicas are missing at once.
fn lapsed_services(
    replicas: &HashMap<Text, Rc<Replica>>,
    records: &BTreeMap<Text, ReplicaRecord>,
) -> HashMap<Text, Shares> {
    let mut services: HashMap<Text, Shares> = HashMap::new();
    let listed = replicas.iter();
    let listed = listed.filter(|(_, replica)| replica.lapsed_until().is_none());
    for (id, replica) in listed {
        let shares = services.entry(replica.record.service.clone()).or_default();
        shares.missing += usize::from(!records.contains_key(id));
        shares.all += 1;
    }
    services.retain(|_, shares| shares.missing * LAPSE_SHARE > shares.all);
    services
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
    /// The store group of its program; none where it has no program.
    pub group: Option<GroupNumber>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}
