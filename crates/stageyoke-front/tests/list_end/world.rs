//! Fronts and stores that follow the service, and replicas that leave it, in virtual
//! time.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    DirectoryRelay, DirectorySource, Freshness, Mirror, RelayFuture, RelayReply, RelayRequirements,
    RelayedChanges, RelayedItems, RelayedRoutes,
};
use stageyoke_front::placement::Candidate;
use stageyoke_front::prompt_cache::Prompt;
use stageyoke_front::replica_registry::{ReplicaQuery, ReplicaRegistry};
use stageyoke_store::LoadTracker;
use stageyoke_types::Text;
use tokio::time::Instant;

use crate::list::Words;
use crate::service::{Link, Service};

/// What a deployment's settings say of time.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time in which a change of the list must be in force.
    pub bound: Duration,
    /// Pause between two heartbeats of a replica.
    pub heartbeat: Duration,
    /// Time from which a process that returned is bound again.
    pub in_touch_after: Duration,
}

/// The tightest deployments'.
pub const TIGHT: Times = Times {
    bound: Duration::from_secs(2),
    heartbeat: Duration::from_millis(700),
    in_touch_after: Duration::from_secs(3),
};
/// The widest deployments'.
pub const WIDE: Times = Times {
    bound: Duration::from_secs(4),
    heartbeat: Duration::from_millis(1_200),
    in_touch_after: Duration::from_secs(5),
};
/// Pause between two rounds in which the stores of a group hear one another.
const ROUND_PAUSE: Duration = Duration::from_millis(1_000);
const WAY: Duration = Duration::from_millis(1);

type Follower = Mirror<Link, Words>;

/// A front's ways to the stores, which it asks one after the other.
struct Ways {
    stores: Vec<Rc<Follower>>,
    cut: Rc<Cell<bool>>,
    freshness: Rc<Freshness>,
}

impl Ways {
    async fn ask<T>(
        &self,
        acceptable: RelayRequirements,
        told: impl Fn(&Follower) -> Option<T>,
        age: impl Fn(&T) -> Duration,
    ) -> Option<RelayReply<T>> {
        let share = acceptable.answer_timeout / self.stores.len() as u32;
        for store in &self.stores {
            let sent = Instant::now();
            let lost = self.cut.get();
            tokio::time::sleep(WAY).await;
            if lost || self.cut.get() {
                tokio::time::sleep_until(sent + share).await;
                continue;
            }
            if let Some(answered_at) = store.freshness().confirmed_at() {
                self.freshness.apply_peer_contact(answered_at);
            }
            if let Some(told) = told(store).filter(|told| age(told) < acceptable.max_age) {
                return Some(RelayReply {
                    payload: told,
                    sent_at: sent,
                });
            }
        }
        None
    }
}

impl DirectoryRelay for Ways {
    fn has_sources(&self) -> bool {
        !self.stores.is_empty()
    }

    fn fetch_changes(
        &self,
        after: u64,
        acceptable: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges> {
        let told = move |store: &Follower| store.relay_changes(after);
        Box::pin(self.ask(acceptable, told, |told| told.age))
    }

    fn fetch_routes(&self, _: Duration) -> RelayFuture<'_, RelayedRoutes> {
        Box::pin(async { None })
    }

    fn fetch_items(&self, acceptable: RelayRequirements) -> RelayFuture<'_, RelayedItems> {
        let told = |store: &Follower| store.relay_items();
        Box::pin(self.ask(acceptable, told, |told| told.age))
    }
}

/// One front.
pub struct Front {
    /// Whether it is cut off, from the service and from all stores.
    pub cut: Rc<Cell<bool>>,
    mirror: Rc<Follower>,
    stores: Vec<Rc<Follower>>,
    fleet: Rc<ReplicaRegistry>,
}

impl Front {
    fn start(times: Times, service: &Rc<Service>, stores: Vec<Rc<Follower>>) -> Self {
        let cut: Rc<Cell<bool>> = Rc::default();
        let link = Link {
            service: service.clone(),
            cut: cut.clone(),
        };
        let mirror = Mirror::new(link, Words).with_change_bound(times.bound);
        let mirror = mirror.with_heartbeat_interval(times.heartbeat);
        let ways = Ways {
            stores: stores.clone(),
            cut: cut.clone(),
            freshness: mirror.freshness().clone(),
        };
        let mirror = Rc::new(mirror.with_relay(Rc::new(ways)));
        let fleet = Rc::new(ReplicaRegistry::new(Rc::new(LoadTracker::new(1))));
        let (following, followed) = (fleet.clone(), mirror.clone());
        tokio::task::spawn_local(async move {
            let report = |_| {
                let view = followed.view();
                following.apply_list(&view.replicas, followed.lapsed_entry_deadline());
            };
            followed.run(report).await;
        });
        Self {
            cut,
            mirror,
            stores,
            fleet,
        }
    }

    /// A request acts on the list, as far as the list's age lets it. What stores
    /// answer to it tells how far their copies go.
    pub async fn act(&self) {
        self.mirror.freshness().ensure_fresh().await;
        if self.cut.get() {
            return;
        }
        for store in &self.stores {
            let mark = store.freshness().mark();
            self.mirror
                .freshness()
                .apply_peer_mark(mark, Instant::now() - WAY);
        }
    }

    /// The age of its list.
    pub fn list_age(&self) -> Option<Duration> {
        self.mirror.freshness().age()
    }

    /// Replicas that a request may go to now.
    pub fn offered(&self) -> BTreeSet<String> {
        let mut offered = BTreeSet::new();
        let mut excluded: Vec<Text> = Vec::new();
        loop {
            let wanted = ReplicaQuery {
                group: None,
                service: crate::list::SERVICE,
                zone: "zone",
                excluded: &excluded,
                prompt: &Prompt::default(),
                repeatable: true,
            };
            let choose = |candidates: &[Candidate]| {
                candidates.iter().position(|candidate| candidate.eligible)
            };
            let Some(replica) = self.fleet.choose(&wanted, choose) else {
                return offered;
            };
            offered.insert(replica.id.to_string());
            excluded.push(replica.id.clone());
        }
    }
}

/// A service of replicas, two stores and two fronts.
pub struct World {
    /// The service.
    pub service: Rc<Service>,
    /// Whether a store is cut off from the service.
    pub store_cuts: Vec<Rc<Cell<bool>>>,
    /// The fronts.
    pub fronts: Vec<Rc<Front>>,
}

impl World {
    /// Starts everything with these replicas listed, and waits until it is calm.
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
            let store = Mirror::with_item_cache(link, Words).with_change_bound(times.bound);
            let store = Rc::new(store.with_heartbeat_interval(times.heartbeat));
            let following = store.clone();
            tokio::task::spawn_local(async move { following.run(|_| {}).await });
            stores.push(store);
            store_cuts.push(cut);
        }
        tokio::task::spawn_local(exchange(stores.clone()));
        let mut turned = stores.clone();
        turned.reverse();
        let fronts = [stores, turned]
            .map(|stores| Rc::new(Front::start(times, &service, stores)))
            .into();
        tokio::time::sleep(times.bound).await;
        Self {
            service,
            store_cuts,
            fronts,
        }
    }
}

/// A replica's key.
pub fn key_of(replica: usize) -> String {
    format!("replica-{replica}")
}

/// A replica's address.
pub fn address_of(replica: usize) -> String {
    format!("127.0.0.1:{}", replica + 1)
}

/// Stores of a group hear one another, and how far the other's copy goes.
async fn exchange(stores: Vec<Rc<Follower>>) {
    loop {
        tokio::time::sleep(ROUND_PAUSE).await;
        for (number, store) in stores.iter().enumerate() {
            for (_, other) in stores
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != number)
            {
                let mark = other.freshness().mark();
                store
                    .freshness()
                    .apply_peer_mark(mark, Instant::now() - WAY);
            }
        }
    }
}
