//! Simulated fronts and stores that follow the key-value service, in virtual time.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    DirectoryRelay, DirectorySource, Freshness, KnownItem, Mirror, RelayFuture, RelayReply,
    RelayRequirements, RelayedChanges, RelayedItems, RelayedRoutes, RequestHomes,
};
use stageyoke_front::placement::Candidate;
use stageyoke_front::prompt_cache::Prompt;
use stageyoke_front::replica_registry::{ReplicaQuery, ReplicaRegistry};
use stageyoke_store::LoadTracker;
use stageyoke_types::Text;
use tokio::time::Instant;

use crate::list::TestInterpreter;
use crate::service::{Link, Service};

/// Time settings of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time within which a change of the replica list must take effect.
    pub change_bound: Duration,
    /// Interval between heartbeats of a replica.
    pub heartbeat_interval: Duration,
    /// Time after its reconnection from which a process must meet the bound again.
    pub reconnect_grace: Duration,
}

/// Shortest times that deployments use.
pub const SHORT_TIMES: Times = Times {
    change_bound: Duration::from_secs(2),
    heartbeat_interval: Duration::from_millis(700),
    reconnect_grace: Duration::from_secs(3),
};
/// Longest times that deployments use.
pub const LONG_TIMES: Times = Times {
    change_bound: Duration::from_secs(4),
    heartbeat_interval: Duration::from_millis(1_200),
    reconnect_grace: Duration::from_secs(5),
};
/// Interval at which the stores of a group exchange freshness marks.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

type Follower = Mirror<Link, TestInterpreter>;

/// A front's connections to the stores, which are queried in turn.
struct StoreConnections {
    stores: Vec<Rc<Follower>>,
    cut: Rc<Cell<bool>>,
    freshness: Rc<Freshness>,
}

impl StoreConnections {
    async fn query<T>(
        &self,
        requirements: RelayRequirements,
        relayed: impl Fn(&Follower) -> Option<T>,
        age: impl Fn(&T) -> Duration,
    ) -> Option<RelayReply<T>> {
        let store_timeout = requirements.answer_timeout / self.stores.len() as u32;
        for store in &self.stores {
            let sent_at = Instant::now();
            let was_cut = self.cut.get();
            tokio::time::sleep(ONE_WAY_DELAY).await;
            if was_cut || self.cut.get() {
                tokio::time::sleep_until(sent_at + store_timeout).await;
                continue;
            }
            if let Some(answered_at) = store.freshness().confirmed_at() {
                self.freshness.apply_peer_contact(answered_at);
            }
            if let Some(relayed) =
                relayed(store).filter(|relayed| age(relayed) < requirements.max_age)
            {
                return Some(RelayReply {
                    payload: relayed,
                    sent_at,
                });
            }
        }
        None
    }
}

impl DirectoryRelay for StoreConnections {
    fn has_sources(&self) -> bool {
        !self.stores.is_empty()
    }

    fn fetch_changes(
        &self,
        after: u64,
        _: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges> {
        let relayed = move |store: &Follower| store.relay_changes(after);
        Box::pin(self.query(requirements, relayed, |relayed| relayed.age))
    }

    fn fetch_routes(
        &self,
        _: Option<KnownItem>,
        _: RelayRequirements,
    ) -> RelayFuture<'_, RelayedRoutes> {
        Box::pin(async { None })
    }

    fn fetch_items(&self, requirements: RelayRequirements) -> RelayFuture<'_, RelayedItems> {
        let relayed = |store: &Follower| store.relay_items();
        Box::pin(self.query(requirements, relayed, |relayed| relayed.age))
    }
}

/// Simulated front with its mirror of the directory and its replica registry.
pub struct Front {
    /// Whether the front is cut off from the service and from all stores.
    pub cut: Rc<Cell<bool>>,
    mirror: Rc<Follower>,
    stores: Vec<Rc<Follower>>,
    registry: Rc<ReplicaRegistry>,
}

impl Front {
    fn start(times: Times, service: &Rc<Service>, stores: Vec<Rc<Follower>>) -> Self {
        let cut: Rc<Cell<bool>> = Rc::default();
        let link = Link {
            service: service.clone(),
            cut: cut.clone(),
        };
        let mirror = Mirror::new(link, TestInterpreter).with_change_bound(times.change_bound);
        let mirror = mirror.with_heartbeat_interval(times.heartbeat_interval);
        let connections = StoreConnections {
            stores: stores.clone(),
            cut: cut.clone(),
            freshness: mirror.freshness().clone(),
        };
        let mirror = Rc::new(mirror.with_relay(Rc::new(connections)));
        let registry = Rc::new(ReplicaRegistry::new(
            Rc::new(LoadTracker::new(1)),
            BTreeMap::new(),
        ));
        let (updated_registry, source_mirror) = (registry.clone(), mirror.clone());
        tokio::task::spawn_local(async move {
            let report = |_| {
                let view = source_mirror.view();
                let changed = source_mirror.take_changed_replicas();
                let lapse_deadline = source_mirror.lapsed_entry_deadline();
                updated_registry.apply_changes(&view.replicas, &changed, lapse_deadline);
            };
            source_mirror.run(report).await;
        });
        Self {
            cut,
            mirror,
            stores,
            registry,
        }
    }

    /// Refreshes the list as a request does, and applies the freshness marks that the
    /// stores' replies carry.
    pub async fn refresh(&self) {
        self.mirror.freshness().ensure_fresh().await;
        if self.cut.get() {
            return;
        }
        for store in &self.stores {
            let mark = store.freshness().mark();
            self.mirror
                .freshness()
                .apply_peer_mark(mark, Instant::now() - ONE_WAY_DELAY);
        }
    }

    /// Returns the age of the front's replica list.
    pub fn list_age(&self) -> Option<Duration> {
        self.mirror.freshness().age()
    }

    /// Returns the keys of the replicas that a request may be placed on.
    pub fn usable_replicas(&self) -> BTreeSet<String> {
        let mut usable_replicas = BTreeSet::new();
        let mut excluded: Vec<Text> = Vec::new();
        loop {
            let query = ReplicaQuery {
                group: None,
                service: crate::list::SERVICE,
                zone: "zone",
                excluded: &excluded,
                prompt: &Prompt::default(),
                repeatable: true,
                affinity: 0,
                homes: RequestHomes::default(),
                software_version: None,
            };
            let choose = |candidates: &[Candidate]| {
                candidates.iter().position(|candidate| candidate.eligible)
            };
            let Some(replica) = self.registry.choose(&query, choose) else {
                return usable_replicas;
            };
            usable_replicas.insert(replica.id.to_string());
            excluded.push(replica.id.clone());
        }
    }
}

/// Key-value service with replica entries, two stores and two fronts.
pub struct Cluster {
    /// Key-value service that all stores and fronts follow.
    pub service: Rc<Service>,
    /// For each store, whether it is cut off from the service.
    pub store_cuts: Vec<Rc<Cell<bool>>>,
    /// Fronts under test, which query the stores in opposite orders.
    pub fronts: Vec<Rc<Front>>,
}

impl Cluster {
    /// Starts the cluster with the given number of replicas and waits until all are in sync.
    pub async fn start(times: Times, replicas: usize) -> Self {
        let service = Rc::new(Service::default());
        service.write("routes", Some("1"));
        for number in 0..replicas {
            service.write(&key_of(number), Some(&address_of(number)));
        }
        let mut stores = Vec::new();
        let mut store_cuts = Vec::new();
        for _ in 0..2 {
            let cut: Rc<Cell<bool>> = Rc::default();
            let link = Link {
                service: service.clone(),
                cut: cut.clone(),
            };
            let store = Mirror::with_item_cache(link, TestInterpreter)
                .with_change_bound(times.change_bound);
            let store = Rc::new(store.with_heartbeat_interval(times.heartbeat_interval));
            let follower = store.clone();
            tokio::task::spawn_local(async move { follower.run(|_| {}).await });
            stores.push(store);
            store_cuts.push(cut);
        }
        tokio::task::spawn_local(exchange_marks(stores.clone()));
        let mut reversed = stores.clone();
        reversed.reverse();
        let fronts = [stores, reversed]
            .map(|stores| Rc::new(Front::start(times, &service, stores)))
            .into();
        tokio::time::sleep(times.change_bound).await;
        Self {
            service,
            store_cuts,
            fronts,
        }
    }
}

/// Returns the key of a replica's entry.
pub fn key_of(replica: usize) -> String {
    format!("replica-{replica}")
}

/// Returns the address of a replica.
pub fn address_of(replica: usize) -> String {
    format!("127.0.0.1:{}", replica + 1)
}

/// Exchanges freshness marks between the stores of a group.
async fn exchange_marks(stores: Vec<Rc<Follower>>) {
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        for (number, store) in stores.iter().enumerate() {
            for (_, peer) in stores
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != number)
            {
                let mark = peer.freshness().mark();
                store
                    .freshness()
                    .apply_peer_mark(mark, Instant::now() - ONE_WAY_DELAY);
            }
        }
    }
}
