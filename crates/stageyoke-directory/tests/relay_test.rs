//! A front's directory by way of a store's: it costs the service nothing, and is
//! never older than the front's own would be.

#[path = "support/service.rs"]
mod service;
mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use service::{Link, Service};
use stageyoke_directory::relay::RecentChanges;
use stageyoke_directory::{
    Change, DirectoryRelay, DirectorySource, Item, Mirror, RelayFuture, RelayReply,
    RelayRequirements, RelayedChanges, RelayedItems, RelayedRoutes,
};
use support::Words;
use tokio::time::Instant;

const BOUND: Duration = Duration::from_secs(2);
const WAY: Duration = Duration::from_millis(3);

type TestMirror = Mirror<Link, Words>;

/// The way to a store.
struct Way {
    store: Rc<TestMirror>,
    silent: Rc<Cell<bool>>,
}

impl Way {
    /// Nobody answers while the way is silent; the caller's time runs out.
    async fn answer<T>(
        &self,
        within: Duration,
        told: impl FnOnce(&TestMirror) -> Option<T>,
    ) -> Option<RelayReply<T>> {
        let sent = Instant::now();
        if self.silent.get() {
            tokio::time::sleep(within).await;
            return None;
        }
        tokio::time::sleep(WAY).await;
        let told = told(&self.store)?;
        tokio::time::sleep(WAY).await;
        Some(RelayReply {
            payload: told,
            sent_at: sent,
        })
    }
}

impl DirectoryRelay for Way {
    fn has_sources(&self) -> bool {
        true
    }

    fn fetch_changes(
        &self,
        after: u64,
        acceptable: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges> {
        Box::pin(self.answer(acceptable.answer_timeout, move |store| {
            store.relay_changes(after)
        }))
    }

    fn fetch_routes(&self, within: Duration) -> RelayFuture<'_, RelayedRoutes> {
        Box::pin(async move {
            let sent = Instant::now();
            if self.silent.get() {
                tokio::time::sleep(within).await;
                return None;
            }
            let reading = self.store.relay_routes();
            let told = tokio::time::timeout(within, reading).await.ok()??;
            Some(RelayReply {
                payload: told,
                sent_at: sent,
            })
        })
    }

    fn fetch_items(&self, acceptable: RelayRequirements) -> RelayFuture<'_, RelayedItems> {
        Box::pin(self.answer(acceptable.answer_timeout, |store| store.relay_items()))
    }
}

/// A front and a store, each with a link of its own to the service.
struct Pair {
    front: Rc<TestMirror>,
    front_service: Rc<Service>,
    store_service: Rc<Service>,
    way_silent: Rc<Cell<bool>>,
}

fn service() -> Rc<Service> {
    let service = Rc::new(Service::default());
    service.version.set(1);
    service
}

impl Pair {
    async fn start() -> Self {
        let (front_service, store_service) = (service(), service());
        let store =
            Mirror::with_item_cache(Link(store_service.clone()), Words).with_change_bound(BOUND);
        let store = Rc::new(store);
        let following = store.clone();
        tokio::task::spawn_local(async move { following.run(|_| {}).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
        let way_silent = Rc::new(Cell::new(false));
        let silent = way_silent.clone();
        let front = Mirror::new(Link(front_service.clone()), Words).with_change_bound(BOUND);
        let front = Rc::new(front.with_relay(Rc::new(Way { store, silent })));
        let following = front.clone();
        tokio::task::spawn_local(async move { following.run(|_| {}).await });
        Self {
            front,
            front_service,
            store_service,
            way_silent,
        }
    }

    fn set_version(&self, version: u64) {
        self.front_service.version.set(version);
        self.store_service.version.set(version);
    }

    /// Requests at a steady pace; none acts on a directory beyond the bound.
    async fn use_for(&self, span: Duration) {
        let until = Instant::now() + span;
        let freshness = self.front.freshness();
        while Instant::now() < until {
            freshness.ensure_fresh().await;
            let age = freshness.age().unwrap_or_default();
            assert!(age <= BOUND.mul_f64(0.9), "{age:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn version(&self) -> u64 {
        let view = self.front.view();
        view.routes.as_ref().map_or(0, |routes| routes.version)
    }
}

async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_front_that_is_told_asks_the_service_nothing() {
    local(async {
        let pair = Pair::start().await;
        for version in 2..12 {
            pair.use_for(Duration::from_millis(1_730)).await;
            pair.set_version(version);
            pair.use_for(BOUND).await;
            assert_eq!(pair.version(), version);
        }
        assert_eq!(pair.front_service.asked.get(), 0);
    })
    .await;
}

/// A front that nobody asks yet learns the configuration all the same: it is not
/// ready before. On the quiet day of fbhs-warn two of eight fronts never were.
#[tokio::test(start_paused = true)]
async fn an_idle_front_is_told_too() {
    local(async {
        let pair = Pair::start().await;
        for version in 2..5 {
            pair.set_version(version);
            tokio::time::sleep(BOUND * 2).await;
            assert_eq!(pair.version(), version);
        }
        pair.way_silent.set(true);
        tokio::time::sleep(BOUND * 10).await;
        assert_eq!(pair.front_service.asked.get(), 0, "nobody acts on it");
    })
    .await;
}

/// The service is silent towards the store, or the way to the store is: what the
/// front is told gets old or does not come, and it asks the service itself.
#[rstest]
#[case::the_store_hears_nothing(true, false)]
#[case::the_store_is_silent(false, true)]
#[tokio::test(start_paused = true)]
async fn a_front_that_is_told_too_little_asks_itself(
    #[case] store_deaf: bool,
    #[case] way_silent: bool,
) {
    local(async {
        let pair = Pair::start().await;
        pair.use_for(Duration::from_millis(900)).await;
        pair.store_service.silent.set(store_deaf);
        pair.way_silent.set(way_silent);
        pair.use_for(BOUND * 2).await;
        pair.set_version(2);
        pair.use_for(BOUND).await;
        assert_eq!(pair.version(), 2);
        assert!(pair.front_service.asked.get() > 0);
    })
    .await;
}

/// An unknown route is confirmed by a store's read, and by the front's own where
/// the store can't; never by one that began too long before.
#[rstest]
#[case::by_the_store(false, false)]
#[case::the_store_hears_nothing(true, false)]
#[case::the_store_is_silent(false, true)]
#[tokio::test(start_paused = true)]
async fn routes_are_confirmed_by_whoever_can(#[case] store_deaf: bool, #[case] way_silent: bool) {
    local(async {
        let pair = Pair::start().await;
        pair.use_for(Duration::from_millis(300)).await;
        pair.store_service.silent.set(store_deaf);
        pair.way_silent.set(way_silent);
        for version in 2..6 {
            pair.set_version(version);
            tokio::time::sleep(BOUND.mul_f64(0.3)).await;
            pair.front.confirm_routes().await.expect("confirmed");
            assert_eq!(pair.version(), version);
        }
        let own_reads = pair.front_service.asked.get();
        assert_eq!(own_reads == 0, !store_deaf && !way_silent, "{own_reads}");
    })
    .await;
}

fn change(revision: u64) -> Change {
    Change::Written(Item {
        key: "routes/all".to_owned(),
        value: Bytes::from(vec![0; 100_000]),
        revision,
    })
}

/// Kept changes have a bound; who has missed more reads everything.
#[test]
fn recent_changes_stay_within_their_bytes() {
    let mut recent = RecentChanges::default();
    recent.reset(3);
    assert!(recent.changes_after(2).is_none());
    for revision in 4..60 {
        recent.push(change(revision));
        assert!(recent.bytes() <= 1024 * 1024);
    }
    assert!(recent.changes_after(10).is_none());
    assert_eq!(
        recent.changes_after(55).map(|changes| changes.len()),
        Some(4)
    );
    assert_eq!(
        recent.changes_after(59).map(|changes| changes.len()),
        Some(0)
    );
}
