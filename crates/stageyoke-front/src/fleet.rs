//! All replicas by service, and the choice among those of one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaState};
use stageyoke_observe as observe;
use stageyoke_store::LoadBoard;
use stageyoke_types::{Event, Text};
use tokio::time::Instant;

use crate::engine_rates::{CurrentRates, EngineRates};
use crate::health;
use crate::list_report;
use crate::placement::Candidate;
use crate::prompt::Prompt;
use crate::replica::{Replica, Shared};
use crate::rest::RestLimit;

/// A service's replicas have lapsed, rather than left, if more than one in this
/// many leave the list together without having said that they drain: entries go
/// while the key-value service is down, and come back after it.
const LAPSE_SHARE: usize = 4;

/// Part of the bound on changes for which replicas that lapsed are used.
const LAPSE_GRACE_PART: f64 = 0.5;
/// Part of the bound after which a replica that left just after the list was
/// last current gets nothing more; the rest is for requests on their way.
const LAPSE_LAST_PART: f64 = 0.9;

/// Replicas that a store group's programs have at least for themselves, where a
/// service's replicas are divided among the groups: with fewer a burst of one
/// group's programs fills them while others' are free.
const LEAST_CELL: usize = 6;

/// Services whose rates are remembered though they have no replica now: names
/// change with each configuration, and a process lives long.
const MOST_RATES: usize = 64;

/// Replicas by service.
pub struct Fleet {
    load: Rc<LoadBoard>,
    rest_limit: Rc<Cell<RestLimit>>,
    change_bound: Duration,
    groups: Cell<usize>,
    replicas: RefCell<HashMap<Text, Rc<Replica>>>,
    services: RefCell<HashMap<Text, Vec<Rc<Replica>>>>,
    rates: RefCell<HashMap<Text, Rc<Cell<EngineRates>>>>,
}

impl Fleet {
    /// No replicas yet; what is under way is counted on this board.
    pub fn new(load: Rc<LoadBoard>) -> Self {
        Self {
            load,
            rest_limit: Rc::default(),
            change_bound: Duration::ZERO,
            groups: Cell::new(0),
            replicas: RefCell::default(),
            services: RefCell::default(),
            rates: RefCell::default(),
        }
    }

    /// The same fleet where replicas that have left may get nothing more after
    /// `change_bound`.
    pub fn bounded(self, change_bound: Duration) -> Self {
        Self {
            change_bound,
            ..self
        }
    }

    /// How long lapsed replicas are used, if the list was known to be current
    /// `unseen` ago. They may have left at any time since: what is left of the
    /// bound limits it, unless the service was away for longer than that. Then
    /// its outage is why they lapsed, and they come back.
    fn lapse_grace(&self, unseen: Duration) -> Duration {
        let grace = self.change_bound.mul_f64(LAPSE_GRACE_PART);
        if unseen >= self.change_bound {
            return grace;
        }
        let last = self.change_bound.mul_f64(LAPSE_LAST_PART);
        grace.min(last.saturating_sub(unseen))
    }

    /// Follows the replica list, which was known to be current `unseen` ago.
    pub fn follow(&self, records: &BTreeMap<Text, ReplicaRecord>, unseen: Duration) {
        let ready = |record: &ReplicaRecord| record.state == ReplicaState::Ready;
        let mut replicas = self.replicas.borrow_mut();
        let lapsed = lapsed_services(&replicas, records);
        let until = Instant::now() + self.lapse_grace(unseen);
        let (mut added, mut dropped) = (Vec::new(), Vec::new());
        replicas.retain(|id, replica| {
            let stays = match records.get(id) {
                Some(record) => {
                    replica.restore();
                    ready(record)
                }
                None => {
                    if lapsed.contains(&replica.record.service) {
                        replica.lapse(until);
                    }
                    replica.lapsed() && replica.taking_work()
                }
            };
            if !stays {
                replica.mark_gone();
                dropped.push(id.clone());
            }
            stays
        });
        for (id, record) in records.iter().filter(|(_, record)| ready(record)) {
            replicas.entry(id.clone()).or_insert_with(|| {
                added.push(id.clone());
                let shared = self.shared(&record.service);
                Rc::new(Replica::new(id.clone(), record.clone(), shared))
            });
        }
        list_report::replicas_changed(&added, &dropped, replicas.len());
        let mut services: HashMap<Text, Vec<Rc<Replica>>> = HashMap::new();
        for replica in replicas.values() {
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

/// Services of which too many replicas have left the list at once.
fn lapsed_services(
    replicas: &HashMap<Text, Rc<Replica>>,
    records: &BTreeMap<Text, ReplicaRecord>,
) -> HashSet<Text> {
    let mut counts: HashMap<&Text, (usize, usize)> = HashMap::new();
    let listed = replicas.iter().filter(|(_, replica)| !replica.lapsed());
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
    /// The store group of its program; none where it has no program.
    pub group: Option<GroupNumber>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}
