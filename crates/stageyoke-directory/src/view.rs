//! The current view, built from items of the key-value service.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use stageyoke_types::Text;

use crate::groups::StoreGroups;
use crate::members::Member;
use crate::model::{ReplicaRecord, Retirement, RouteTable};

/// What one item means to the product.
#[derive(Clone, Debug)]
pub enum Update {
    /// The newest configuration.
    Routes(RouteTable),
    /// A replica's record, or its end.
    Replica {
        /// Incarnation.
        id: Text,
        /// `None`: it is gone.
        record: Option<ReplicaRecord>,
    },
    /// An entry that names no replica to use, whatever it named before.
    Unusable {
        /// Its identifier.
        id: Text,
        /// Why.
        reason: String,
    },
    /// The store groups.
    Stores(StoreGroups),
    /// A store has registered for the groups that are to be formed.
    Registered(Member),
    /// An order to empty a store, or its withdrawal.
    Retire {
        /// Machine name.
        node: Text,
        /// `None`: withdrawn.
        order: Option<Retirement>,
    },
    /// Of no meaning here.
    Ignored,
    /// An item that cannot be read, with the reason.
    Unreadable(String),
}

/// Reads items and spells keys; supplied by the adapter.
pub trait Interpreter {
    /// What a key's value (or its absence) means.
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update;
    /// Prefix under which everything of interest lies.
    fn prefix(&self) -> &str;
    /// Key of the configuration.
    fn routes_key(&self) -> &str;
    /// Key of the store groups.
    fn stores_key(&self) -> &str;
    /// The write by which a store registers.
    fn registration(&self, store: &Member) -> crate::key_value::Write;
    /// The write that reports the state of a store's retirement.
    fn retirement_report(&self, node: &str, completed: bool) -> crate::key_value::Write;
}

/// Everything known, replaced piecewise; readers hold cheap references.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; versions only rise.
    pub routes: Option<Rc<RouteTable>>,
    /// Replicas by incarnation.
    pub replicas: BTreeMap<Text, ReplicaRecord>,
    /// The store groups.
    pub stores: Rc<StoreGroups>,
    /// Revision of the store groups' key; zero while absent.
    pub stores_revision: u64,
    /// Stores that have registered, by machine name. Each writes a key of its own:
    /// stores that start together would undo one another's changes of a common one.
    pub registered: BTreeMap<Text, Member>,
    /// Stores that are to be emptied.
    pub retirements: BTreeMap<Text, Retirement>,
}

/// What changed in the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// Another configuration is in force.
    pub routes: bool,
    /// The replica list changed.
    pub replicas: bool,
    /// The store groups or a retirement changed.
    pub stores: bool,
}

impl View {
    /// Applies one update.
    pub fn apply(&mut self, update: Update, revision: u64, changed: &mut Changed) {
        match update {
            Update::Routes(table) => self.apply_routes(table, changed),
            Update::Replica { id, record } => self.apply_replica(id, record, changed),
            Update::Unusable { id, .. } => self.apply_replica(id, None, changed),
            Update::Stores(stores) => self.apply_stores(stores, revision, changed),
            Update::Registered(store) => self.apply_registration(store, changed),
            Update::Retire { node, order } => self.apply_retirement(node, order, changed),
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

    /// Drops replicas and retirements that a complete read did not show.
    pub fn retain_listed(
        &mut self,
        seen_replicas: &std::collections::BTreeSet<Text>,
        seen_retirements: &std::collections::BTreeSet<Text>,
        changed: &mut Changed,
    ) {
        let before = (self.replicas.len(), self.retirements.len());
        self.replicas.retain(|id, _| seen_replicas.contains(id));
        self.retirements
            .retain(|node, _| seen_retirements.contains(node));
        changed.replicas |= before.0 != self.replicas.len();
        changed.stores |= before.1 != self.retirements.len();
    }
}
