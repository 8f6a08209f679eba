//! Current view of the directory, built from the items of the key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::Bytes;
use stageyoke_types::Text;

use crate::groups::StoreGroups;
use crate::members::Member;
use crate::model::{ReplicaRecord, Retirement, RouteTable};

/// A parsed item of the key-value service.
#[derive(Clone, Debug)]
pub enum Update {
    /// The newest configuration.
    Routes(RouteTable),
    /// A replica's entry was written or removed.
    Replica {
        /// Identifier of the replica's incarnation.
        id: Text,
        /// `None` if the entry was removed.
        record: Option<ReplicaRecord>,
    },
    /// An entry that is invalid for use; a replica that it described before is dropped.
    Unusable {
        /// Identifier of the entry.
        id: Text,
        /// Why the entry is unusable.
        reason: String,
    },
    /// The store groups.
    Stores(StoreGroups),
    /// A store registered for the groups that are yet to be formed.
    Registered(Member),
    /// An order to empty a store was given or withdrawn.
    Retire {
        /// Name of the store's machine.
        node: Text,
        /// `None` if the order was withdrawn.
        order: Option<Retirement>,
    },
    /// An order to send nothing to the replicas of a zone was given or withdrawn.
    Evacuate {
        /// Name of the zone.
        zone: Text,
        /// Whether the order is in force.
        in_force: bool,
    },
    /// An item that is irrelevant here.
    Ignored,
    /// An item that could not be parsed, with the reason.
    Unreadable(String),
}

/// Parses items and builds keys and values; supplied by the platform's adapter.
pub trait Interpreter {
    /// Parses the value of a key; `None` if the key was removed.
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update;
    /// Returns the prefix of all relevant keys.
    fn prefix(&self) -> &str;
    /// Returns the key of the configuration.
    fn routes_key(&self) -> &str;
    /// Returns the key of the store groups.
    fn stores_key(&self) -> &str;
    /// Returns the write by which a store registers.
    fn registration(&self, store: &Member) -> crate::key_value::Write;
    /// Returns the write that reports the state of a store's retirement.
    fn retirement_report(&self, node: &str, completed: bool) -> crate::key_value::Write;
}

/// Everything known about the deployment. Parts are replaced as a whole, and readers
/// hold shared references to them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration in force; its version never decreases.
    pub routes: Option<Rc<RouteTable>>,
    /// Replicas by the identifier of their incarnation.
    pub replicas: BTreeMap<Text, ReplicaRecord>,
    /// The store groups.
    pub stores: Rc<StoreGroups>,
    /// Revision of the store groups' key; zero if the key is absent.
    pub stores_revision: u64,
    /// Registered stores by machine name. Each store writes its own key, since stores
    /// that start together would overwrite each other's changes to a shared one.
    pub registered: BTreeMap<Text, Member>,
    /// Stores with an order to be emptied, by machine name.
    pub retirements: BTreeMap<Text, Retirement>,
    /// Zones whose replicas must get no requests.
    pub evacuated_zones: BTreeSet<Text>,
}

/// Keys that a complete read returned, of the kinds that may be removed.
#[derive(Clone, Debug, Default)]
pub struct ListedKeys {
    /// Identifiers of replicas.
    pub replicas: BTreeSet<Text>,
    /// Stores with an order to be emptied.
    pub retirements: BTreeSet<Text>,
    /// Evacuated zones.
    pub evacuated_zones: BTreeSet<Text>,
}

impl ListedKeys {
    /// Notes the key of an update.
    pub fn insert(&mut self, update: &Update) {
        match update {
            Update::Replica { id, .. } => drop(self.replicas.insert(id.clone())),
            Update::Retire { node, .. } => drop(self.retirements.insert(node.clone())),
            Update::Evacuate { zone, .. } => drop(self.evacuated_zones.insert(zone.clone())),
            _ => {}
        }
    }
}

/// Parts of the view that changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// A new configuration is in force.
    pub routes: bool,
    /// The replica list changed.
    pub replicas: bool,
    /// The store groups or a retirement changed.
    pub stores: bool,
    /// The evacuated zones changed.
    pub evacuations: bool,
}

impl View {
    /// Applies one update and notes the changed parts in `changed`.
    pub fn apply(&mut self, update: Update, revision: u64, changed: &mut Changed) {
        match update {
            Update::Routes(table) => self.apply_routes(table, changed),
            Update::Replica { id, record } => self.apply_replica(id, record, changed),
            Update::Unusable { id, .. } => self.apply_replica(id, None, changed),
            Update::Stores(stores) => self.apply_stores(stores, revision, changed),
            Update::Registered(store) => self.apply_registration(store, changed),
            Update::Retire { node, order } => self.apply_retirement(node, order, changed),
            Update::Evacuate { zone, in_force } => self.apply_evacuation(zone, in_force, changed),
            Update::Ignored | Update::Unreadable(_) => {}
        }
    }

    fn apply_routes(&mut self, table: RouteTable, changed: &mut Changed) {
        let current = self.routes.as_ref().map_or(0, |routes| routes.version);
        if self.routes.is_none() || table.version > current {
            self.routes = Some(Rc::new(table));
            changed.routes = true;
        }
    }

    fn apply_replica(&mut self, id: Text, record: Option<ReplicaRecord>, changed: &mut Changed) {
        let before = match &record {
            Some(record) => self.replicas.insert(id, record.clone()),
            None => self.replicas.remove(&id),
        };
        changed.replicas |= before != record;
    }

    fn apply_stores(&mut self, stores: StoreGroups, revision: u64, changed: &mut Changed) {
        if revision < self.stores_revision || stores.version < self.stores.version {
            return;
        }
        self.stores_revision = revision;
        if *self.stores != stores {
            self.stores = Rc::new(stores);
            changed.stores = true;
        }
    }

    fn apply_registration(&mut self, store: Member, changed: &mut Changed) {
        let before = self.registered.insert(store.node.clone(), store.clone());
        changed.stores |= before != Some(store);
    }

    fn apply_retirement(&mut self, node: Text, order: Option<Retirement>, changed: &mut Changed) {
        let before = match &order {
            Some(order) => self.retirements.insert(node, order.clone()),
            None => self.retirements.remove(&node),
        };
        changed.stores |= before != order;
    }

    fn apply_evacuation(&mut self, zone: Text, in_force: bool, changed: &mut Changed) {
        changed.evacuations |= match in_force {
            true => self.evacuated_zones.insert(zone),
            false => self.evacuated_zones.remove(&zone),
        };
    }

    /// Drops replicas and orders that were absent in a complete read.
    pub fn retain_listed(&mut self, listed: &ListedKeys, changed: &mut Changed) {
        let before = (
            self.replicas.len(),
            self.retirements.len(),
            self.evacuated_zones.len(),
        );
        self.replicas.retain(|id, _| listed.replicas.contains(id));
        self.retirements
            .retain(|node, _| listed.retirements.contains(node));
        self.evacuated_zones
            .retain(|zone| listed.evacuated_zones.contains(zone));
        changed.replicas |= before.0 != self.replicas.len();
        changed.stores |= before.1 != self.retirements.len();
        changed.evacuations |= before.2 != self.evacuated_zones.len();
    }
}
