//! All replicas, with what this front has seen of each.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{ReplicaRecord, ReplicaState};
use stageyoke_store::LoadBoard;
use stageyoke_types::{Event, Text};
use tokio::time::Instant;

use crate::placement::{Candidate, hash_text, mix};
use crate::prompt::{HeldParts, Prompt};
use crate::upstream::Pool;
use stageyoke_observe as observe;

/// Failures in a row after which a replica is left alone for a while.
const FAILURES_TO_SUSPEND: u32 = 3;
const SUSPENSION: Duration = Duration::from_millis(1000);

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
    held_parts: RefCell<HeldParts>,
    failures: Cell<u32>,
    suspended_until: Cell<Option<Instant>>,
    gone: Cell<bool>,
}

impl Replica {
    fn new(id: Text, record: ReplicaRecord, load: Rc<LoadBoard>) -> Self {
        Self {
            hash: hash_text(&id),
            load,
            held_parts: RefCell::default(),
            id,
            record,
            pool: Pool::default(),
            failures: Cell::new(0),
            suspended_until: Cell::new(None),
            gone: Cell::new(false),
        }
    }

    /// Whether it takes new work, by the list.
    pub fn taking_work(&self) -> bool {
        !self.gone.get()
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

    /// A request was answered by it.
    pub fn succeeded(&self) {
        self.failures.set(0);
    }

    /// A request failed there; several in a row suspend it.
    pub fn failed(&self, could_not_connect: bool) {
        self.failures.set(self.failures.get() + 1);
        if could_not_connect || self.failures.get() >= FAILURES_TO_SUSPEND {
            self.suspended_until.set(Some(Instant::now() + SUSPENSION));
            let detail = format!("replica={} failures={}", self.id, self.failures.get());
            observe::event(Event::ReplicaSuspended, &detail);
        }
    }

    /// It answered as another incarnation: its record is out of date.
    pub fn mark_gone(&self) {
        self.gone.set(true);
        self.pool.clear();
    }

    fn short_hash(&self) -> u32 {
        mix(self.hash) as u32
    }

    fn suspended(&self) -> bool {
        self.suspended_until
            .get()
            .is_some_and(|until| until > Instant::now())
    }

    fn candidate(&self, zone: &str, excluded: &[Text], prompt: &Prompt) -> Candidate {
        Candidate {
            hash: self.hash,
            local: self.record.zone.as_str() == zone,
            in_flight: self.load.under_way(self.short_hash()),
            held_tokens: self.held_parts.borrow().held(prompt),
            slots: self.record.slots,
            connected: self.pool.has_free(),
            usable: self.taking_work() && !excluded.contains(&self.id),
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
    replicas: RefCell<HashMap<Text, Rc<Replica>>>,
    services: RefCell<HashMap<Text, Vec<Rc<Replica>>>>,
}

impl Fleet {
    /// No replicas yet; what is under way is counted on this board.
    pub fn new(load: Rc<LoadBoard>) -> Self {
        Self {
            load,
            replicas: RefCell::default(),
            services: RefCell::default(),
        }
    }

    /// Follows the replica list.
    pub fn follow(&self, records: &BTreeMap<Text, ReplicaRecord>) {
        let ready = |record: &ReplicaRecord| record.state == ReplicaState::Ready;
        let mut replicas = self.replicas.borrow_mut();
        replicas.retain(|id, replica| {
            let stays = records.get(id).is_some_and(ready);
            if !stays {
                replica.mark_gone();
            }
            stays
        });
        for (id, record) in records.iter().filter(|(_, record)| ready(record)) {
            replicas.entry(id.clone()).or_insert_with(|| {
                let load = self.load.clone();
                Rc::new(Replica::new(id.clone(), record.clone(), load))
            });
        }
        let mut services: HashMap<Text, Vec<Rc<Replica>>> = HashMap::new();
        for replica in replicas.values() {
            let list = services.entry(replica.record.service.clone()).or_default();
            list.push(replica.clone());
        }
        *self.services.borrow_mut() = services;
    }

    /// Chooses a replica of a service with `choose`; suspended ones only where
    /// there is no other.
    pub fn choose(
        &self,
        service: &str,
        zone: &str,
        excluded: &[Text],
        prompt: &Prompt,
        choose: impl Fn(&[Candidate]) -> Option<usize>,
    ) -> Option<Rc<Replica>> {
        let services = self.services.borrow();
        let replicas = services.get(service)?;
        let mut candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| replica.candidate(zone, excluded, prompt))
            .collect();
        let sound: Vec<bool> = replicas
            .iter()
            .map(|replica| !replica.suspended())
            .collect();
        let any_sound = candidates
            .iter()
            .zip(&sound)
            .any(|(candidate, sound)| candidate.usable && *sound);
        if any_sound {
            for (candidate, sound) in candidates.iter_mut().zip(&sound) {
                candidate.usable &= *sound;
            }
        }
        choose(&candidates).map(|index| replicas[index].clone())
    }
}
