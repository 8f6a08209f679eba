//! A front whose directory is relayed by a store must not call the service, and its
//! copy must not get older than one from the service would.

#[path = "support/service.rs"]
mod service;
mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use service::{Service, ServiceClient};
use stageyoke_directory::relay::RecentChanges;
use stageyoke_directory::{
    Change, DirectoryRelay, DirectorySource, Item, KnownItem, Mirror, RelayFuture, RelayReply,
    RelayRequirements, RelayedChanges, RelayedItems, RelayedRoutes,
};
use support::TestInterpreter;
use tokio::time::Instant;

const CHANGE_BOUND: Duration = Duration::from_secs(2);
const ONE_WAY_DELAY: Duration = Duration::from_millis(3);

type TestMirror = Mirror<ServiceClient, TestInterpreter>;

/// Relay connection to a store.
struct StoreConnection {
    store: Rc<TestMirror>,
    silent: Rc<Cell<bool>>,
    link: Rc<Link>,
}

/// Link that transfers replies to the front.
#[derive(Default)]
struct Link {
    /// Transfer time of a reply with a configuration.
    transfer_time: Cell<Duration>,
    /// Number of configurations transferred.
    transfer_count: Cell<u32>,
    received_bytes: Cell<u64>,
}

impl Link {
    /// Transfers a configuration; data arrives continuously.
    async fn transfer_configuration(&self) {
        self.transfer_count.set(self.transfer_count.get() + 1);
        let end = Instant::now() + self.transfer_time.get();
        while Instant::now() < end {
            self.received_bytes.set(self.received_bytes.get() + 1);
            tokio::time::sleep(ONE_WAY_DELAY).await;
        }
    }
}

impl StoreConnection {
    /// Hangs until the caller's timeout while the connection is silent.
    async fn answer<T>(
        &self,
        answer_timeout: Duration,
        relay: impl FnOnce(&TestMirror) -> Option<T>,
    ) -> Option<RelayReply<T>> {
        let sent_at = Instant::now();
        if self.silent.get() {
            tokio::time::sleep(answer_timeout).await;
            return None;
        }
        tokio::time::sleep(ONE_WAY_DELAY).await;
        let payload = relay(&self.store)?;
        tokio::time::sleep(ONE_WAY_DELAY).await;
        Some(RelayReply { payload, sent_at })
    }
}

impl DirectoryRelay for StoreConnection {
    fn has_sources(&self) -> bool {
        true
    }

    fn fetch_changes(
        &self,
        after: u64,
        known: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges> {
        Box::pin(async move {
            let relay = move |store: &TestMirror| store.relay_changes(after);
            let mut reply = self.answer(requirements.answer_timeout, relay).await?;
            let known_revision = known.map(|known| known.revision);
            if let Some(changes) = &mut reply.payload.changes {
                changes.retain(|change| Some(change.revision()) != known_revision);
                if !changes.is_empty() {
                    self.link.transfer_configuration().await;
                }
            }
            Some(reply)
        })
    }

    fn received_bytes(&self) -> u64 {
        self.link.received_bytes.get()
    }

    fn fetch_routes(
        &self,
        known: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedRoutes> {
        let answer_timeout = requirements.answer_timeout;
        Box::pin(async move {
            let sent_at = Instant::now();
            if self.silent.get() {
                tokio::time::sleep(answer_timeout).await;
                return None;
            }
            let pending = self.store.relay_routes();
            let mut payload = tokio::time::timeout(answer_timeout, pending).await.ok()??;
            match known.is_some_and(|known| known.revision == payload.item.revision) {
                true => payload.item.value = Bytes::new(),
                false => self.link.transfer_configuration().await,
            }
            Some(RelayReply { payload, sent_at })
        })
    }

    fn fetch_items(&self, requirements: RelayRequirements) -> RelayFuture<'_, RelayedItems> {
        Box::pin(self.answer(requirements.answer_timeout, |store| store.relay_items()))
    }
}

/// A front and a store, each with its own connection to the service.
struct FrontAndStore {
    front: Rc<TestMirror>,
    front_service: Rc<Service>,
    store_service: Rc<Service>,
    connection_silent: Rc<Cell<bool>>,
    link: Rc<Link>,
}

fn service() -> Rc<Service> {
    let service = Rc::new(Service::default());
    service.version.set(1);
    service
}

impl FrontAndStore {
    async fn start() -> Self {
        let (front_service, store_service) = (service(), service());
        let store = Mirror::with_item_cache(ServiceClient(store_service.clone()), TestInterpreter)
            .with_change_bound(CHANGE_BOUND);
        let store = Rc::new(store);
        let following = store.clone();
        tokio::task::spawn_local(async move { following.run(|_| {}).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
        let connection_silent = Rc::new(Cell::new(false));
        let silent = connection_silent.clone();
        let front = Mirror::new(ServiceClient(front_service.clone()), TestInterpreter)
            .with_change_bound(CHANGE_BOUND);
        let link = Rc::<Link>::default();
        let connection = StoreConnection {
            store,
            silent,
            link: link.clone(),
        };
        let front = Rc::new(front.with_relay(Rc::new(connection)));
        let following = front.clone();
        tokio::task::spawn_local(async move { following.run(|_| {}).await });
        Self {
            front,
            front_service,
            store_service,
            connection_silent,
            link,
        }
    }

    fn set_version(&self, version: u64) {
        self.front_service.version.set(version);
        self.store_service.version.set(version);
    }

    /// Sends requests at a steady rate; none may use a directory older than the bound.
    async fn use_for(&self, span: Duration) {
        let end = Instant::now() + span;
        let freshness = self.front.freshness();
        while Instant::now() < end {
            freshness.ensure_fresh().await;
            let age = freshness.age().unwrap_or_default();
            assert!(age <= CHANGE_BOUND.mul_f64(0.9), "{age:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn version(&self) -> u64 {
        let view = self.front.view();
        view.routes.as_ref().map_or(0, |routes| routes.version)
    }
}

async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_front_with_a_relay_does_not_call_the_service() {
    run_local(async {
        let pair = FrontAndStore::start().await;
        for version in 2..12 {
            pair.use_for(Duration::from_millis(1_730)).await;
            pair.set_version(version);
            pair.use_for(CHANGE_BOUND).await;
            assert_eq!(pair.version(), version);
        }
        assert_eq!(pair.front_service.call_count.get(), 0);
    })
    .await;
}

/// A front without requests must receive the configuration too, since it is not ready
/// without it.
#[tokio::test(start_paused = true)]
async fn an_idle_front_receives_relayed_changes() {
    run_local(async {
        let pair = FrontAndStore::start().await;
        for version in 2..5 {
            pair.set_version(version);
            tokio::time::sleep(CHANGE_BOUND * 2).await;
            assert_eq!(pair.version(), version);
        }
        pair.connection_silent.set(true);
        tokio::time::sleep(CHANGE_BOUND * 10).await;
        assert_eq!(
            pair.front_service.call_count.get(),
            0,
            "the directory is unused"
        );
    })
    .await;
}

/// If the store or the connection to it is cut off, relayed copies get stale or stop,
/// and the front must call the service itself.
#[rstest]
#[case::store_cut_off_from_the_service(true, false)]
#[case::store_unreachable(false, true)]
#[tokio::test(start_paused = true)]
async fn a_front_falls_back_to_the_service_when_relayed_copies_are_stale(
    #[case] store_cut_off: bool,
    #[case] connection_silent: bool,
) {
    run_local(async {
        let pair = FrontAndStore::start().await;
        pair.use_for(Duration::from_millis(900)).await;
        pair.store_service.silent.set(store_cut_off);
        pair.connection_silent.set(connection_silent);
        pair.use_for(CHANGE_BOUND * 2).await;
        pair.set_version(2);
        pair.use_for(CHANGE_BOUND).await;
        assert_eq!(pair.version(), 2);
        assert!(pair.front_service.call_count.get() > 0);
    })
    .await;
}

/// Routes are confirmed by a store's read, or by the front's own if the store cannot
/// read; never by a read that started too long ago.
#[rstest]
#[case::all_connected(false, false)]
#[case::store_cut_off_from_the_service(true, false)]
#[case::store_unreachable(false, true)]
#[tokio::test(start_paused = true)]
async fn routes_are_confirmed_by_the_store_or_by_the_front(
    #[case] store_cut_off: bool,
    #[case] connection_silent: bool,
) {
    run_local(async {
        let pair = FrontAndStore::start().await;
        pair.use_for(Duration::from_millis(300)).await;
        pair.store_service.silent.set(store_cut_off);
        pair.connection_silent.set(connection_silent);
        for version in 2..6 {
            pair.set_version(version);
            tokio::time::sleep(CHANGE_BOUND.mul_f64(0.3)).await;
            pair.front.confirm_routes().await.expect("confirmed");
            assert_eq!(pair.version(), version);
        }
        let own_reads = pair.front_service.call_count.get();
        assert_eq!(
            own_reads == 0,
            !store_cut_off && !connection_silent,
            "{own_reads}"
        );
    })
    .await;
}

/// A slow transfer of the configuration must neither make the directory older than its
/// bound nor count as an outage.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_slow_transfer_keeps_the_directory_fresh(
    #[values(100, 200, 300, 400, 500)] transfer_milliseconds: u64,
) {
    run_local(async {
        let pair = FrontAndStore::start().await;
        pair.use_for(Duration::from_millis(300)).await;
        let transfer_time = Duration::from_millis(transfer_milliseconds);
        pair.link.transfer_time.set(transfer_time);
        for version in 2..8 {
            pair.set_version(version);
            pair.use_for(CHANGE_BOUND.mul_f64(0.6) + transfer_time * 2)
                .await;
            assert_eq!(pair.version(), version);
            assert!(!pair.front.freshness().is_service_unreachable());
        }
        assert_eq!(pair.front_service.call_count.get(), 0);
    })
    .await;
}

/// A store that sends slowly must not make the directory stale while the service answers.
#[tokio::test(start_paused = true)]
async fn a_slow_store_does_not_make_the_directory_stale() {
    run_local(async {
        let pair = FrontAndStore::start().await;
        pair.use_for(Duration::from_millis(300)).await;
        pair.link.transfer_time.set(CHANGE_BOUND.mul_f64(0.9));
        pair.set_version(2);
        pair.use_for(CHANGE_BOUND * 2).await;
        assert_eq!(pair.version(), 2);
    })
    .await;
}

/// A store that sends slowly must not be given up because the service does not answer.
#[tokio::test(start_paused = true)]
async fn a_slow_store_is_waited_for_while_the_service_is_silent() {
    run_local(async {
        let pair = FrontAndStore::start().await;
        pair.use_for(Duration::from_millis(300)).await;
        pair.link.transfer_time.set(CHANGE_BOUND.mul_f64(0.9));
        pair.set_version(2);
        pair.front_service.silent.set(true);
        tokio::time::sleep(CHANGE_BOUND * 2).await;
        assert_eq!(pair.version(), 2);
        assert_eq!(pair.link.transfer_count.get(), 1, "begun anew");
    })
    .await;
}

/// Confirming routes must not transfer a configuration that the front already has or is
/// receiving.
#[tokio::test(start_paused = true)]
async fn a_known_configuration_is_not_transferred_again() {
    run_local(async {
        let pair = FrontAndStore::start().await;
        pair.use_for(Duration::from_millis(300)).await;
        pair.link.transfer_time.set(Duration::from_millis(400));
        for version in 2..6 {
            let before = pair.link.transfer_count.get();
            pair.set_version(version);
            let end = Instant::now() + CHANGE_BOUND;
            while Instant::now() < end {
                pair.front.confirm_routes().await.expect("confirmed");
                pair.use_for(Duration::from_millis(50)).await;
            }
            assert_eq!(pair.version(), version);
            assert_eq!(pair.link.transfer_count.get(), before + 1);
        }
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

/// Cached changes are limited in size; a peer that has missed more reads everything.
#[test]
fn recent_changes_stay_within_their_size_limit() {
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
