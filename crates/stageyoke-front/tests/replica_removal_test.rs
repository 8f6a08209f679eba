//! A front must stop placing requests on a replica within the change bound after it learns
//! that the replica was removed. A disconnection of the front itself must not count as a
//! service outage, which would let the front go on using the removed entry as lapsed.

#[path = "support/list.rs"]
mod list;
mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use list::TestInterpreter;
use stageyoke_directory::{
    Change, Item, KeyValueError, KeyValueService, Mirror, RangePage, Transaction,
    TransactionOutcome, WatchOutcome,
};
use stageyoke_front::{FrontListeners, FrontSettings};
use stageyoke_types::Text;
use support::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Time within which a change of the replica list must take effect.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Longer than the call timeout, so that the front detects that it is disconnected.
const DISCONNECTION_DURATION: Duration = Duration::from_millis(2_500);
/// Requests sent before the front received the change may arrive this much later.
const DELIVERY_DELAY: Duration = Duration::from_millis(100);
/// Limits how long a failing test can hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Fake key-value service with three replica entries, one of which can be removed.
#[derive(Default)]
struct FakeService {
    replicas: Vec<SocketAddr>,
    disconnected: Cell<bool>,
    removed_replica: Cell<Option<usize>>,
    reported_at: Cell<Option<Instant>>,
}

const INITIAL_REVISION: u64 = 1;
const REMOVAL_REVISION: u64 = 2;

impl FakeService {
    fn revision(&self) -> u64 {
        match self.removed_replica.get() {
            Some(_) => REMOVAL_REVISION,
            None => INITIAL_REVISION,
        }
    }

    async fn wait_for_connection(&self) -> Result<(), KeyValueError> {
        match self.disconnected.get() {
            true => std::future::pending().await,
            false => Ok(()),
        }
    }
}

#[derive(Clone)]
struct Link(Rc<FakeService>);

impl KeyValueService for Link {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        self.0.wait_for_connection().await?;
        Ok((key == "routes").then(|| item("routes", "")))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<RangePage, KeyValueError> {
        self.0.wait_for_connection().await?;
        let mut items = vec![item("routes", "")];
        for (number, address) in self.0.replicas.iter().enumerate() {
            items.push(item(&key_of(number), &address.to_string()));
        }
        Ok(RangePage {
            items,
            more: false,
            revision: INITIAL_REVISION,
        })
    }

    async fn watch(&self, _: &str, after: u64, _: Duration) -> Result<WatchOutcome, KeyValueError> {
        self.0.wait_for_connection().await?;
        let mut changes = Vec::new();
        if let Some(number) = self.0.removed_replica.get()
            && after < REMOVAL_REVISION
        {
            changes.push(Change::Removed {
                key: key_of(number),
                revision: REMOVAL_REVISION,
            });
            self.0.reported_at.set(Some(Instant::now()));
        }
        let revision = self.0.revision();
        Ok(WatchOutcome::Changes { changes, revision })
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Err(KeyValueError::Refused)
    }
}

fn key_of(replica: usize) -> String {
    format!("replica-{replica}")
}

fn item(key: &str, value: &str) -> Item {
    Item {
        key: key.to_owned(),
        value: Bytes::from(value.to_owned()),
        revision: INITIAL_REVISION,
    }
}

/// Replica that answers every request and records when each arrived.
struct Replica {
    address: SocketAddr,
    request_times: Rc<RefCell<Vec<Instant>>>,
}

impl Replica {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let request_times: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let recorded = request_times.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_responses(stream, recorded.clone()));
            }
        });
        Self {
            address,
            request_times,
        }
    }

    fn has_received_requests(&self) -> bool {
        !self.request_times.borrow().is_empty()
    }

    fn count_requests_after(&self, moment: Instant) -> usize {
        let request_times = self.request_times.borrow();
        request_times.iter().filter(|at| **at > moment).count()
    }
}

async fn serve_responses(mut stream: TcpStream, request_times: Rc<RefCell<Vec<Instant>>>) {
    while let Some(head) = read_head(&mut stream).await {
        request_times.borrow_mut().push(Instant::now());
        let identifier = head.lines().find_map(|line| line.strip_prefix("id: "));
        let identifier = identifier.unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nid: {identifier}\r\nsigned: s\r\nContent-Length: 4\r\n\r\nbody"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte).await {
            Ok(1) => bytes.push(byte[0]),
            Ok(_) | Err(_) => return None,
        }
    }
    String::from_utf8(bytes).ok()
}

/// Front with three replicas and a fake key-value service.
struct Harness {
    service: Rc<FakeService>,
    replicas: Vec<Replica>,
    front: SocketAddr,
    next_request: Cell<u32>,
}

impl Harness {
    async fn start() -> Self {
        let replicas = vec![
            Replica::start().await,
            Replica::start().await,
            Replica::start().await,
        ];
        let service = Rc::new(FakeService {
            replicas: replicas.iter().map(|replica| replica.address).collect(),
            ..FakeService::default()
        });
        let mirror =
            Mirror::new(Link(service.clone()), TestInterpreter).with_change_bound(CHANGE_BOUND);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listeners = FrontListeners::open(any, any).await.expect("listeners");
        let front = listeners.callers.local_addr().expect("address");
        let settings = FrontSettings {
            node: Text::from("front"),
            zone: Text::from("zone"),
            seeds: Vec::new(),
            tolerance: Default::default(),
            grace: Duration::from_secs(8),
            change_bound: CHANGE_BOUND,
            key_age_limit: None,
            cold_tolerance: None,
            memory_bytes: 100_000_000,
            max_descriptors: None,
            admission_control: false,
            heterogeneous_engines: false,
        };
        let stop = std::future::pending();
        tokio::task::spawn_local(stageyoke_front::run(
            settings,
            listeners,
            names(),
            mirror,
            stop,
        ));
        Self {
            service,
            replicas,
            front,
            next_request: Cell::new(0),
        }
    }

    /// Sends a request on a new connection; returns whether the answer was 200.
    async fn request(&self) -> bool {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        let exchange = async {
            let mut stream = TcpStream::connect(self.front).await.ok()?;
            let request = format!(
                "GET /safe/x HTTP/1.1\r\nHost: host\r\nid: r{number}\r\ndeadline: 1000\r\n\
                 Connection: close\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            Some(answer.starts_with("HTTP/1.1 200"))
        };
        let outcome = tokio::time::timeout(TEST_TIMEOUT, exchange).await;
        outcome.expect("an answer").unwrap_or(false)
    }

    async fn request_until(&self, is_done: impl Fn() -> bool) {
        let started_at = Instant::now();
        while !is_done() {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the awaited condition was not reached"
            );
            self.request().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn request_for(&self, span: Duration) {
        let until = Instant::now() + span;
        self.request_until(|| Instant::now() >= until).await;
    }

    fn has_any_replica_received_requests(&self) -> bool {
        self.replicas.iter().any(Replica::has_received_requests)
    }

    /// Removes the replica that received the front's requests so far.
    fn remove_used_replica(&self) {
        let preferred = self
            .replicas
            .iter()
            .position(Replica::has_received_requests);
        self.service.removed_replica.set(preferred);
    }

    /// Counts the requests that reach the removed replica after the front received the change.
    async fn count_requests_after_report(&self) -> usize {
        self.request_until(|| self.service.reported_at.get().is_some())
            .await;
        let reported_at = self.service.reported_at.get().expect("the change was sent");
        self.request_for(CHANGE_BOUND).await;
        let removed = self
            .service
            .removed_replica
            .get()
            .expect("a replica was removed");
        self.replicas[removed].count_requests_after(reported_at + DELIVERY_DELAY)
    }
}

async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// A disconnection of the front must not be taken for a service outage.
#[tokio::test]
async fn a_reconnected_front_drops_a_removed_replica() {
    run_local(async {
        let harness = Harness::start().await;
        harness
            .request_until(|| harness.has_any_replica_received_requests())
            .await;
        harness.service.disconnected.set(true);
        harness.request_for(DISCONNECTION_DURATION / 2).await;
        harness.remove_used_replica();
        harness.request_for(DISCONNECTION_DURATION / 2).await;
        harness.service.disconnected.set(false);
        assert_eq!(harness.count_requests_after_report().await, 0);
    })
    .await;
}

/// An entry removed while the service answers must not be treated as lapsed.
#[tokio::test]
async fn a_replica_removed_while_the_service_answers_receives_no_requests() {
    run_local(async {
        let harness = Harness::start().await;
        harness
            .request_until(|| harness.has_any_replica_received_requests())
            .await;
        harness.remove_used_replica();
        assert_eq!(harness.count_requests_after_report().await, 0);
    })
    .await;
}
