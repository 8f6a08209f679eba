//! Which software version began a stream, as the stores of a group remember it for all fronts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, StoreGroups, Tolerance};
use stageyoke_store::extension::ExtensionFields;
use stageyoke_store::frame;
use stageyoke_store::local_store::LocalStore;
use stageyoke_store::message::{Numbered, Reply, Request};
use stageyoke_store::segment::DataFolder;
use stageyoke_store::server;
use stageyoke_store::{GroupClients, StoreLimits, StreamOfRequest};
use stageyoke_types::Text;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

const TTL: Duration = Duration::from_secs(30);
const TIMEOUT: Duration = Duration::from_secs(5);
const STREAM: &str = "tenant\nrequest";
/// Identity of the request that began it.
const IDENTITY: u128 = 1 << 90;

fn stream() -> StreamOfRequest<'static> {
    StreamOfRequest {
        request: STREAM,
        identity: IDENTITY,
    }
}

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

struct Store {
    address: SocketAddr,
    _folder: TempDir,
}

impl Store {
    async fn start(number: usize) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let data = DataFolder::open(folder.path()).expect("open");
        let recovered = data.recover(number as u64 + 1, true).expect("recover");
        let node = Text::from(format!("store-{number}"));
        let (local_store, results) =
            LocalStore::open(node, data, recovered, StoreLimits::default()).expect("threads");
        let local_store = Rc::new(local_store);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let serving = server::serve(local_store.clone(), listener);
        let collecting = async move { local_store.process_journal_results(results).await };
        tokio::task::spawn_local(serving);
        tokio::task::spawn_local(collecting);
        Self {
            address,
            _folder: folder,
        }
    }
}

async fn start_stores(count: usize) -> Vec<Store> {
    let mut stores = Vec::new();
    for number in 0..count {
        stores.push(Store::start(number).await);
    }
    stores
}

/// Returns a front's client of one group of these stores, which tolerates one loss.
fn front(addresses: &[SocketAddr]) -> GroupClients {
    let addresses = addresses.iter().enumerate();
    let members = addresses.fold(Members::default(), |members, (number, address)| {
        members.with_member(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from(address.to_string()),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: 0,
        })
    });
    let clients = GroupClients::new(Text::from("zone"), Tolerance::of_machines(1));
    clients.update_stores(&Rc::new(StoreGroups::single(members)));
    clients
}

fn addresses(stores: &[Store]) -> Vec<SocketAddr> {
    stores.iter().map(|store| store.address).collect()
}

/// Returns the address of a port at which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    listener.local_addr().expect("address")
}

async fn record(front: &GroupClients, version: &str) -> bool {
    let version = Text::from(version);
    front
        .record_stream_version(stream(), &version, TTL, TIMEOUT)
        .await
}

/// The first front and any one store may be lost once a version has been acknowledged.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[tokio::test]
async fn an_acknowledged_version_outlives_the_front_and_a_store(#[case] lost: usize) {
    run_local(async {
        let stores = start_stores(3).await;
        let first = front(&addresses(&stores));
        assert!(record(&first, "v1").await);
        drop(first);
        let mut remaining = addresses(&stores);
        remaining[lost] = closed_address().await;
        let second = front(&remaining);
        let version = second.stream_version(stream(), TIMEOUT).await;
        assert_eq!(version.as_deref(), Some("v1"));
        let version = second.version_of_request(IDENTITY, TIMEOUT).await;
        assert_eq!(version.as_deref(), Some("v1"));
    })
    .await;
}

#[tokio::test]
async fn a_version_that_too_few_stores_know_is_not_acknowledged() {
    run_local(async {
        let stores = start_stores(1).await;
        let closed = closed_address().await;
        let front = front(&[stores[0].address, closed, closed]);
        assert!(!record(&front, "v1").await);
    })
    .await;
}

#[tokio::test]
async fn an_unknown_stream_is_reported_without_waiting_for_the_time_limit() {
    run_local(async {
        let stores = start_stores(3).await;
        let front = front(&addresses(&stores));
        let started_at = Instant::now();
        assert_eq!(front.stream_version(stream(), TIMEOUT).await, None);
        assert!(started_at.elapsed() < TIMEOUT / 5);
    })
    .await;
}

#[tokio::test]
async fn a_stream_that_two_versions_claim_to_have_begun_is_unknown_to_fronts() {
    run_local(async {
        let stores = start_stores(3).await;
        let front = front(&addresses(&stores));
        assert!(record(&front, "v1").await);
        assert!(!record(&front, "v2").await);
        assert_eq!(front.stream_version(stream(), TIMEOUT).await, None);
    })
    .await;
}

/// Store of the last build, which skips the fields behind a ping.
async fn start_last_build(sends_version: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(answer_pings(stream, sends_version));
        }
    });
    address
}

async fn answer_pings(stream: TcpStream, sends_version: bool) {
    let (mut reader, mut writer) = stream.into_split();
    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
        let pong = Numbered {
            number: request.number,
            content: Reply::Pong,
        };
        let fields = match sends_version {
            true => ExtensionFields::greeting(),
            false => ExtensionFields::default(),
        };
        let bytes = frame::encode_with_fields(&pong, &fields);
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// During an upgrade, the stores that remember versions answer for the others; without them
/// the version is unknown at once.
#[rstest]
#[case::last_build(true)]
#[case::version_one(false)]
#[tokio::test]
async fn stores_of_older_builds_neither_acknowledge_nor_delay(#[case] sends_version: bool) {
    run_local(async {
        let old = start_last_build(sends_version).await;
        let only_old = front(&[old, old, old]);
        let started_at = Instant::now();
        assert!(!record(&only_old, "v1").await);
        assert_eq!(only_old.stream_version(stream(), TIMEOUT).await, None);
        assert!(started_at.elapsed() < TIMEOUT / 5);
        let stores = start_stores(2).await;
        let mixed = front(&[old, stores[0].address, stores[1].address]);
        assert!(record(&mixed, "v1").await);
        let version = mixed.stream_version(stream(), TIMEOUT).await;
        assert_eq!(version.as_deref(), Some("v1"));
    })
    .await;
}
