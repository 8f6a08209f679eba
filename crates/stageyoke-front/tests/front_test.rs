//! Runs a front in process against scripted replicas on the loopback interface.

#[path = "front/endless_streams.rs"]
mod endless_streams;
#[path = "front/misbehaving_callers.rs"]
mod misbehaving_callers;
#[path = "front/slow_readers.rs"]
mod slow_readers;
#[path = "front/stream_starts.rs"]
mod stream_starts;
mod support;
#[path = "front/surplus_responses.rs"]
mod surplus_responses;
#[path = "front/unframed_connections.rs"]
mod unframed_connections;
#[path = "front/unframed_responses.rs"]
mod unframed_responses;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use stageyoke_directory::{
    Change, EngineShape, HttpLimits, Interpreter, Item, KeyDigest, KeyValueError, KeyValueService,
    Member, MemberState, Members, Mirror, RangePage, RateLimit, ReplicaRecord, ReplicaStart,
    ReplicaState, Route, RouteKind, RouteTable, ServiceSpec, StoreGroups, Target, Tenant, Tenants,
    Transaction, TransactionOutcome, Update, WatchOutcome, Write,
};
use stageyoke_front::admission::{StartedPrograms, service_hash};
use stageyoke_front::{FrontListeners, FrontSettings};
use stageyoke_store::extension::{ExtensionFields, RankLoad};
use stageyoke_store::frame;
use stageyoke_store::keys::TurnKey;
use stageyoke_store::message::{
    LedgerEntry, Numbered, OtherFrontsReport, QuotaReceipt, QuotaReply, Record, Reply,
    Request as StoreRequest, TurnRecord,
};
use stageyoke_types::{List, Text};
use support::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// Memory of the front's machine, on which one request with a large body may run at a time.
const MEMORY_BYTES: u64 = 4_000_000;
/// Size of such a body.
const LARGE_BODY_BYTES: usize = 550_000;
/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 600_000;
/// Memory of a machine that can buffer large responses.
const LARGE_MEMORY_BYTES: u64 = 64_000_000;
/// Marks a route table whose replicas are engines.
const ENGINES: &str = "engines";
/// Retention of the route whose turns are stored, and of the others.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);
const STREAM_RETENTION: Duration = Duration::from_millis(59_500);
/// Limits how long a failing test can hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const SIGNED_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 4\r\n\r\nbody";
/// Head of a response that ends with its connection.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\n\r\n";
const NOT_RUN_RESPONSE: &str =
    "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

/// Fake key-value service; `routes` holds the text that `parse_route_table` parses.
#[derive(Clone)]
struct FakeKeyValueService {
    replicas: Vec<SocketAddr>,
    store: Option<SocketAddr>,
    reachable: Rc<RefCell<bool>>,
    routes: Rc<RefCell<VersionedRoutes>>,
    written: Rc<Notify>,
}

struct VersionedRoutes {
    revision: u64,
    text: String,
}

impl FakeKeyValueService {
    fn routes(&self) -> Item {
        let routes = self.routes.borrow();
        Item {
            revision: routes.revision,
            ..item("routes", &format!("{} {}", routes.revision, routes.text))
        }
    }
}

impl KeyValueService for FakeKeyValueService {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        if !*self.reachable.borrow() {
            return Err(KeyValueError::NoAnswer);
        }
        Ok(Some(match key {
            "routes" => self.routes(),
            other => item(other, ""),
        }))
    }
    async fn range(&self, _: &str, _: Option<&str>) -> Result<RangePage, KeyValueError> {
        let mut items = vec![self.routes()];
        for (number, address) in self.replicas.iter().enumerate() {
            items.push(item(&format!("replica-{number}"), &address.to_string()));
        }
        if let Some(store) = self.store {
            items.push(item("members", &store.to_string()));
        }
        Ok(RangePage {
            items,
            more: false,
            revision: self.routes.borrow().revision,
        })
    }
    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, KeyValueError> {
        if !*self.reachable.borrow() {
            return Err(KeyValueError::NoAnswer);
        }
        let written = self.written.notified();
        if self.routes.borrow().revision <= after && !wait.is_zero() {
            written.await;
        }
        let routes = self.routes();
        let revision = routes.revision;
        let changes = match revision > after {
            true => vec![Change::Written(routes)],
            false => Vec::new(),
        };
        Ok(WatchOutcome::Changes { changes, revision })
    }
    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Err(KeyValueError::Refused)
    }
}

fn item(key: &str, value: &str) -> Item {
    Item {
        key: key.to_owned(),
        value: Bytes::from(value.to_owned()),
        revision: 1,
    }
}

fn single_store_group(address: &str) -> StoreGroups {
    StoreGroups::single(Members::default().with_member(Member {
        node: Text::from("store"),
        address: Text::from(address),
        zone: Text::from("zone"),
        state: MemberState::Active,
        disk: 0,
    }))
}

/// Store that grants every quota request and records the refunds.
struct GrantingStore {
    address: SocketAddr,
    granted: Rc<Cell<u64>>,
    refunded: Rc<RefCell<Vec<u64>>>,
}

impl GrantingStore {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let granted: Rc<Cell<u64>> = Rc::default();
        let refunded: Rc<RefCell<Vec<u64>>> = Rc::default();
        let counts = (granted.clone(), refunded.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_grants(stream, counts.0.clone(), counts.1.clone()));
            }
        });
        Self {
            address,
            granted,
            refunded,
        }
    }
}

async fn serve_grants(stream: TcpStream, granted: Rc<Cell<u64>>, refunded: Rc<RefCell<Vec<u64>>>) {
    let (mut reader, mut writer) = stream.into_split();
    while let Ok(request) = frame::read::<Numbered<StoreRequest>>(&mut reader).await {
        let content = match request.content {
            StoreRequest::Quota(_) => {
                granted.set(granted.get() + 1);
                let receipt = QuotaReceipt {
                    slot: granted.get(),
                    ..QuotaReceipt::default()
                };
                Reply::Quota(QuotaReply {
                    decided: true,
                    granted: true,
                    receipt,
                    ..QuotaReply::default()
                })
            }
            StoreRequest::QuotaRefund { receipt, .. } => {
                refunded.borrow_mut().push(receipt.slot);
                Reply::Pong
            }
            _ => Reply::Pong,
        };
        let number = request.number;
        let bytes = frame::encode(&Numbered { number, content });
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Store that reports a number of turns in flight at the service and one started
/// program. A store of version 1 reports neither.
struct ReportingStore {
    address: SocketAddr,
    received: ReceivedRecords,
}

/// Records that a store has received.
#[derive(Clone, Default)]
struct ReceivedRecords {
    /// Programs of the reservations.
    reserved: Rc<RefCell<Vec<String>>>,
    /// Retentions that came with reservations and settlements, in seconds.
    ledger_retentions: Rc<RefCell<Vec<Option<u32>>>>,
    /// Stored turns.
    turns: Rc<RefCell<Vec<TurnRecord>>>,
    /// Number of turns reported as ended without a record.
    ended_turns: Rc<Cell<usize>>,
}

impl ReceivedRecords {
    fn add(&self, record: Record, ledger_retention: Option<u32>) {
        if matches!(record, Record::Reserve { .. } | Record::Settle { .. }) {
            self.ledger_retentions.borrow_mut().push(ledger_retention);
        }
        match record {
            Record::Reserve { program, .. } => self.reserved.borrow_mut().push(program.to_string()),
            Record::Turn(turn) => self.turns.borrow_mut().push(turn),
            _ => {}
        }
    }
}

/// Program that the store reports as started.
const STARTED_PROGRAM: &str = "begun";

impl ReportingStore {
    async fn start(in_flight: u16, first_version: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let received = ReceivedRecords::default();
        let records = received.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serve_reports(stream, in_flight, first_version, records.clone());
                tokio::task::spawn_local(serving);
            }
        });
        Self { address, received }
    }
}

async fn serve_reports(
    stream: TcpStream,
    in_flight: u16,
    first_version: bool,
    received: ReceivedRecords,
) {
    let (mut reader, mut writer) = stream.into_split();
    while let Ok(request) = frame::read_with_fields::<StoreRequest>(&mut reader).await {
        let content = match request.message.content {
            StoreRequest::Append { record, .. } => {
                received.add(record, request.extension_fields.ledger_retention_seconds);
                Reply::Stored {
                    complete: true,
                    ledger: List::default(),
                    other_fronts: OtherFrontsReport::default(),
                    directory: Default::default(),
                }
            }
            StoreRequest::TurnEnded { .. } => {
                received.ended_turns.set(received.ended_turns.get() + 1);
                Reply::Pong
            }
            _ => Reply::Pong,
        };
        let load = RankLoad {
            service: service_hash(&Text::from("service")),
            rank: 0,
            in_flight,
        };
        let extensions = match first_version {
            true => ExtensionFields::default(),
            false => ExtensionFields {
                rank_loads: Some(List(vec![load])),
                started: request
                    .extension_fields
                    .program
                    .map(|name| name.as_str() == STARTED_PROGRAM),
                ..ExtensionFields::greeting()
            },
        };
        let number = request.message.number;
        let bytes = frame::encode_with_fields(&Numbered { number, content }, &extensions);
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

struct TestInterpreter;

impl Interpreter for TestInterpreter {
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update {
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
        match (key, text) {
            ("routes", Some(text)) => Update::Routes(parse_route_table(text)),
            ("members", Some(address)) if !address.is_empty() => {
                Update::Stores(single_store_group(address))
            }
            ("members", _) => Update::Ignored,
            (id, Some(address)) => Update::Replica {
                id: Text::from(id),
                record: Some(ReplicaRecord {
                    service: Text::from("service"),
                    address: Text::from(address),
                    zone: Text::from("zone"),
                    slots: 4,
                    state: ReplicaState::Ready,
                    software_version: Text::from("1"),
                    start: ReplicaStart::default(),
                    cold_left: Duration::ZERO,
                }),
            },
            _ => Update::Ignored,
        }
    }
    fn prefix(&self) -> &str {
        ""
    }
    fn routes_key(&self) -> &str {
        "routes"
    }
    fn stores_key(&self) -> &str {
        "members"
    }
    fn registration(&self, store: &Member) -> Write {
        Write {
            key: store.node.to_string(),
            value: Bytes::new(),
        }
    }
    fn retirement_report(&self, node: &str, _: bool) -> Write {
        Write {
            key: node.to_owned(),
            value: Bytes::new(),
        }
    }
}

/// Parses a route table from its version and tenant keys, each `key=tenant` or
/// `key=tenant/limit` (requests per second). The word `ENGINES` makes the replicas engines.
fn parse_route_table(text: &str) -> RouteTable {
    let (version, keys) = text.split_once(' ').expect("version and keys");
    let mut tenants = Tenants::default();
    let engine = keys.contains(ENGINES).then_some(EngineShape {
        slots: 4,
        cache_tokens: 10_000,
        tokens_per_event: 1,
    });
    for pair in keys.split_whitespace().filter(|word| *word != ENGINES) {
        let (key, tenant_and_limit) = pair.split_once('=').expect("key and tenant");
        let (name, limit) = tenant_and_limit
            .split_once('/')
            .unwrap_or((tenant_and_limit, ""));
        let limit = limit.parse().ok().map(|per_second| RateLimit {
            per_second,
            burst: per_second,
        });
        let tenant = Tenant {
            name: Text::from(name),
            priority: None,
            rate_limit: limit,
            homes: None,
        };
        tenants.add(tenant, [KeyDigest::of(key.as_bytes())]);
    }
    let route = |name: &str, kind| Route {
        name: Text::from(name),
        host: Text::from("host"),
        path_prefix: Text::from(format!("/{name}/")),
        kind,
        timeout: match name {
            "patient" | "feed" => Duration::from_secs(6),
            _ => Duration::from_millis(1500),
        },
        latency_objective: Duration::from_millis(100),
        priority: 1,
        targets: vec![Target {
            service: Text::from("service"),
            weight: 1,
        }],
        max_attempts: 3,
        stores_history: name == "history",
        retention: match name {
            "history" => HISTORY_RETENTION,
            _ => STREAM_RETENTION,
        },
        resumable: name == "resumable",
        allows_anonymous: name == "open",
        affinity: false,
        homes: None,
    };
    RouteTable {
        version: version.parse().expect("version"),
        routes: vec![
            route("open", RouteKind::Once),
            route("safe", RouteKind::Repeatable),
            route("once", RouteKind::Once),
            route("idle", RouteKind::Once),
            route("patient", RouteKind::Once),
            route("feed", RouteKind::Stream),
            route("stream", RouteKind::Stream),
            route("resumable", RouteKind::Stream),
            route("history", RouteKind::Stream),
        ],
        services: vec![ServiceSpec {
            name: Text::from("service"),
            max_connections: 10,
            engine,
            cold_start: None,
        }],
        limits: HttpLimits {
            header_bytes: 16_384,
            body_bytes: MAX_BODY_BYTES,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: (!tenants.is_empty()).then_some(tenants),
    }
}

/// Store with a slow disk: it has received reservations, and stores them once it is released.
struct SlowStore {
    address: SocketAddr,
    released: Rc<Notify>,
}

impl SlowStore {
    /// Starts a store; once released, it reports `other_tokens` of another turn.
    async fn start(other_tokens: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let released: Rc<Notify> = Rc::default();
        let signal = released.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_slowly(stream, signal.clone(), other_tokens));
            }
        });
        Self { address, released }
    }
}

async fn serve_slowly(stream: TcpStream, released: Rc<Notify>, other_tokens: u32) {
    let (mut reader, writer) = stream.into_split();
    let writer = Rc::new(tokio::sync::Mutex::new(writer));
    let received: Rc<RefCell<Vec<LedgerEntry>>> = Rc::default();
    while let Ok(request) = frame::read_with_fields::<StoreRequest>(&mut reader).await {
        let number = request.message.number;
        let mut extensions = ExtensionFields::greeting();
        let content = match request.message.content {
            StoreRequest::Append { record, .. } => {
                if let Record::Reserve { turn, .. } = record {
                    received.borrow_mut().push(LedgerEntry {
                        turn: TurnKey::of(&turn).0,
                        amount: 5,
                        settled: false,
                    });
                }
                let other = LedgerEntry {
                    turn: 0,
                    amount: other_tokens,
                    settled: true,
                };
                let stored = Reply::Stored {
                    complete: true,
                    ledger: List(vec![other]),
                    other_fronts: OtherFrontsReport::default(),
                    directory: Default::default(),
                };
                let (released, writer) = (released.clone(), writer.clone());
                tokio::task::spawn_local(async move {
                    released.notified().await;
                    let reply = Numbered {
                        number,
                        content: stored,
                    };
                    let bytes = frame::encode_with_fields(&reply, &ExtensionFields::greeting());
                    let _ = writer.lock().await.write_all(&bytes).await;
                });
                continue;
            }
            _ => Reply::Pong,
        };
        if request.extension_fields.ledger_query.is_some() {
            extensions.unsynced_ledger = Some(List(received.borrow().clone()));
        }
        let bytes = frame::encode_with_fields(&Numbered { number, content }, &extensions);
        if writer.lock().await.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Replica that sends scripted responses in order and then repeats the last one. `ID`
/// is replaced by the request's identifier; a trailing `CLOSE` closes the connection.
struct Replica {
    address: SocketAddr,
    received: Rc<RefCell<Vec<String>>>,
    open_connections: Rc<Cell<usize>>,
}

impl Replica {
    async fn start(answers: &[&str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let received = Rc::new(RefCell::new(Vec::new()));
        let responses: Vec<String> = answers.iter().map(|text| (*text).to_owned()).collect();
        let open_connections: Rc<Cell<usize>> = Rc::default();
        let (recorded, open) = (received.clone(), open_connections.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serve_responses(stream, responses.clone(), recorded.clone());
                let open = open.clone();
                tokio::task::spawn_local(async move {
                    open.set(open.get() + 1);
                    serving.await;
                    open.set(open.get() - 1);
                });
            }
        });
        Self {
            address,
            received,
            open_connections,
        }
    }

    fn count(&self) -> usize {
        self.received.borrow().len()
    }
}

async fn serve_responses(
    mut stream: TcpStream,
    responses: Vec<String>,
    received: Rc<RefCell<Vec<String>>>,
) {
    while let Some(request) = read_message(&mut stream).await {
        let number = received.borrow().len();
        received.borrow_mut().push(request.clone());
        let text = &responses[number.min(responses.len() - 1)];
        let text = text.replace("ID", &header_value(&request, "id").unwrap_or_default());
        let closes = text.ends_with("CLOSE");
        let text = text.trim_end_matches("CLOSE");
        if stream.write_all(text.as_bytes()).await.is_err() || closes {
            return;
        }
    }
}

fn header_value(message: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}: ");
    let line = message.lines().find(|line| line.starts_with(&prefix))?;
    Some(line[prefix.len()..].to_owned())
}

async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length =
                header_value(head, "content-length").and_then(|length| length.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

struct TestFront {
    address: SocketAddr,
    readiness_address: SocketAddr,
    reachable: Rc<RefCell<bool>>,
    directory: FakeKeyValueService,
}

impl TestFront {
    /// Writes a new route table to the key-value service and wakes the watches.
    fn configure(&self, text: &str) {
        self.write_without_notification(text);
        self.directory.written.notify_waiters();
    }

    /// Writes a new route table without waking the watches.
    fn write_without_notification(&self, text: &str) {
        let mut routes = self.directory.routes.borrow_mut();
        routes.revision += 1;
        routes.text = text.to_owned();
    }
}

async fn start(replicas: &[&Replica]) -> TestFront {
    start_with_routes(replicas, "").await
}

/// Starts a front with a route table that lists tenants.
async fn start_with_routes(replicas: &[&Replica], routes: &str) -> TestFront {
    start_with_store(replicas, routes, None).await
}

/// Starts a front that uses a store, if one is given.
async fn start_with_store(
    replicas: &[&Replica],
    routes: &str,
    store: Option<SocketAddr>,
) -> TestFront {
    start_with_admission_control(replicas, routes, store, false).await
}

/// Starts a front with admission control of programs on or off.
async fn start_with_admission_control(
    replicas: &[&Replica],
    routes: &str,
    store: Option<SocketAddr>,
    admission_control: bool,
) -> TestFront {
    start_with_settings(replicas, routes, store, admission_control, MEMORY_BYTES).await
}

/// Starts a front on a machine with this memory.
async fn start_with_memory(
    replicas: &[&Replica],
    routes: &str,
    store: Option<SocketAddr>,
    memory_bytes: u64,
) -> TestFront {
    start_with_settings(replicas, routes, store, false, memory_bytes).await
}

async fn start_with_settings(
    replicas: &[&Replica],
    routes: &str,
    store: Option<SocketAddr>,
    admission_control: bool,
    memory_bytes: u64,
) -> TestFront {
    let options = FrontOptions {
        store,
        admission_control,
        memory_bytes,
    };
    let stop = std::future::pending();
    let (test_front, _) = start_until(replicas, routes, options, stop).await;
    test_front
}

/// Settings of a front that differ between tests.
#[derive(Default)]
struct FrontOptions {
    store: Option<SocketAddr>,
    admission_control: bool,
    memory_bytes: u64,
}

/// Starts a front that stops when `stop` resolves; returns its task too.
async fn start_until(
    replicas: &[&Replica],
    routes: &str,
    options: FrontOptions,
    stop: impl Future<Output = ()> + 'static,
) -> (TestFront, tokio::task::JoinHandle<std::io::Result<()>>) {
    let FrontOptions {
        store,
        admission_control,
        memory_bytes,
    } = options;
    let reachable = Rc::new(RefCell::new(true));
    let directory = FakeKeyValueService {
        replicas: replicas.iter().map(|replica| replica.address).collect(),
        store,
        reachable: reachable.clone(),
        routes: Rc::new(RefCell::new(VersionedRoutes {
            revision: 1,
            text: routes.to_owned(),
        })),
        written: Rc::default(),
    };
    let directory_handle = directory.clone();
    let mirror = Mirror::new(directory, TestInterpreter);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listeners = FrontListeners::open(any, any).await.expect("listeners");
    let address = listeners.callers.local_addr().expect("address");
    let readiness_address = listeners.readiness.local_addr().expect("address");
    let settings = FrontSettings {
        node: Text::from("front"),
        zone: Text::from("zone"),
        seeds: Vec::new(),
        tolerance: Default::default(),
        grace: Duration::from_secs(8),
        change_bound: Duration::from_secs(2),
        key_age_limit: None,
        cold_tolerance: None,
        memory_bytes,
        max_descriptors: None,
        admission_control,
        heterogeneous_engines: false,
    };
    let serving = tokio::task::spawn_local(stageyoke_front::run(
        settings,
        listeners,
        names(),
        mirror,
        stop,
    ));
    let test_front = TestFront {
        address,
        readiness_address,
        reachable,
        directory: directory_handle,
    };
    while !send_request(
        test_front.readiness_address,
        "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    )
    .await
    .starts_with("HTTP/1.1 200")
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (test_front, serving)
}

/// Sends a request on a new connection and reads until the connection closes.
async fn send_request(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let _ = stream.write_all(request.as_bytes()).await;
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request several times at once, so that each of two replicas gets some.
async fn send_at_once(address: SocketAddr, text: &str, count: usize) -> Vec<String> {
    let sending = (0..count).map(|_| {
        let text = text.to_owned();
        tokio::task::spawn_local(async move { send_request(address, &text).await })
    });
    let sending: Vec<_> = sending.collect();
    let mut answers = Vec::new();
    for answer in sending {
        answers.push(answer.await.expect("answer"));
    }
    answers
}

fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: host:80\r\nid: r-1\r\ndeadline: 1400\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

#[tokio::test]
async fn a_signed_answer_and_its_request_are_forwarded_unchanged() {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let answer =
            send_request(test_front.address, &request("POST", "/once/a?b=c", "hello")).await;
        assert!(
            answer.starts_with("HTTP/1.1 200") && answer.ends_with("body"),
            "{answer}"
        );
        assert!(answer.contains("signed: s"));
        let received = replica.received.borrow()[0].clone();
        assert!(
            received.starts_with("POST /once/a?b=c HTTP/1.1"),
            "{received}"
        );
        assert!(received.ends_with("hello"));
        assert_eq!(
            header_value(&received, "instance").as_deref(),
            Some("replica-0")
        );
        let remaining_milliseconds: u64 = header_value(&received, "deadline")
            .expect("deadline")
            .parse()
            .expect("number");
        assert!(remaining_milliseconds <= 1400);
    })
    .await;
}

/// A caller must not be able to set headers that only the front may send, such as the
/// urgency of a request.
#[tokio::test]
async fn reserved_headers_are_removed_from_a_callers_request() {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let forged = request("POST", "/once/a", "order").replacen(
            "id: r-1",
            "Copy-From: 10.0.0.1:80/x\r\nurgency: 0\r\nUrgency: 1\r\nkept: yes\r\nid: r-1",
            1,
        );
        let answer = send_request(test_front.address, &forged).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let received = replica.received.borrow()[0].to_lowercase();
        assert!(!received.contains("copy-from"), "{received}");
        assert!(!received.contains("urgency"), "{received}");
        assert!(
            received.contains("kept: yes"),
            "other headers must pass: {received}"
        );
    })
    .await;
}

#[tokio::test]
async fn a_non_repeatable_request_is_not_retried_after_a_lost_answer() {
    run_local(async {
        let replicas = [
            Replica::start(&["CLOSE"]).await,
            Replica::start(&["CLOSE"]).await,
        ];
        let test_front = start(&[&replicas[0], &replicas[1]]).await;
        let answer = send_request(test_front.address, &request("POST", "/once/a", "order")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert_eq!(replicas[0].count() + replicas[1].count(), 1);
        let answer = send_request(test_front.address, &request("GET", "/safe/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(
            replicas[0].count() + replicas[1].count() > 2,
            "a repeatable request must be retried"
        );
    })
    .await;
}

#[tokio::test]
async fn a_request_that_was_not_run_is_retried_elsewhere_or_rejected() {
    run_local(async {
        let full = Replica::start(&[NOT_RUN_RESPONSE]).await;
        let free = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&full, &free]).await;
        for _ in 0..6 {
            let answer =
                send_request(test_front.address, &request("POST", "/once/a", "order")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert_eq!(free.count(), 6);
        let test_front = start(&[&full]).await;
        let answer = send_request(test_front.address, &request("POST", "/once/a", "order")).await;
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after: "),
            "{answer}"
        );
        assert!(
            !answer.contains("signed"),
            "the front's own rejection must not be signed"
        );
    })
    .await;
}

#[tokio::test]
async fn mismatched_unsigned_truncated_and_malformed_answers_become_502() {
    let mismatched = "HTTP/1.1 200 OK\r\nid: other\r\nsigned: s\r\nContent-Length: 4\r\n\r\nbody";
    let unsigned = "HTTP/1.1 200 OK\r\nid: ID\r\nContent-Length: 4\r\n\r\nbody";
    let cut = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 9\r\n\r\nbodyCLOSE";
    let malformed = "no answer at allCLOSE";
    for response in [mismatched, unsigned, cut, malformed] {
        run_local(async {
            let replica = Replica::start(&[response]).await;
            let test_front = start(&[&replica]).await;
            let answer =
                send_request(test_front.address, &request("POST", "/once/a", "order")).await;
            assert!(answer.starts_with("HTTP/1.1 502"), "{response}: {answer}");
            assert_eq!(replica.count(), 1);
        })
        .await;
    }
}

#[tokio::test]
async fn bytes_after_a_complete_answer_are_discarded() {
    let response_with_extra = format!(
        "{SIGNED_RESPONSE}HTTP/1.1 200 OK\r\nid: r-1\r\nsigned: s\r\nContent-Length: 3\r\n\r\nbad"
    );
    run_local(async {
        let replica = Replica::start(&[&response_with_extra]).await;
        let test_front = start(&[&replica]).await;
        for _ in 0..3 {
            let answer = send_request(test_front.address, &request("GET", "/safe/a", "")).await;
            assert!(answer.ends_with("body"), "{answer}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_truncated_stream_never_looks_complete() {
    let head = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("{head}d\r\nid: 1\ndata: a\r\n2\r\n\n\n\r\n0\r\n\r\n");
    let truncated = format!("{head}d\r\nid: 1\ndata: a\r\n3\r\n\n\nx\r\nCLOSE");
    let inside_event = format!("{head}d\r\nid: 1\ndata: a\r\n3\r\n\n\nx\r\n0\r\n\r\n");
    run_local(async {
        let replica = Replica::start(&[&whole, &truncated, &inside_event]).await;
        let test_front = start(&[&replica]).await;
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert!(
            answer.ends_with("0\r\n\r\n") && answer.contains("data: a"),
            "{answer}"
        );
        for case in ["truncated", "ends inside an event"] {
            let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
            assert!(
                answer.contains("data: a"),
                "{case}: the complete event must pass: {answer}"
            );
            assert!(
                !answer.contains('x'),
                "{case}: the partial event must not pass: {answer}"
            );
            assert!(
                !answer.contains("0\r\n\r\n"),
                "{case}: the final chunk must not be sent: {answer}"
            );
        }
    })
    .await;
}

/// Guards against a final chunk, and a stored turn, for a stream whose replica crashed while it
/// was sending an event.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_never_framed_as_complete() {
    run_local(async {
        let broken_off = format!("{UNFRAMED_HEAD}id: 1\ndata: a\n\nid: 2\ndata: partCLOSE");
        let replica = Replica::start(&[&broken_off]).await;
        let store = ReportingStore::start(0, false).await;
        let test_front = start_with_store(&[&replica], "", Some(store.address)).await;
        let answer = send_request(test_front.address, &request("POST", "/history/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("data: a"), "whole events pass: {answer}");
        assert!(!answer.contains("0\r\n\r\n"), "final chunk: {answer}");
        assert!(store.received.turns.borrow().is_empty(), "stored turn");
    })
    .await;
}

#[tokio::test]
async fn an_unknown_route_is_404_only_once_the_service_has_confirmed_it() {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let answer = send_request(test_front.address, &request("GET", "/other/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        *test_front.reachable.borrow_mut() = false;
        let answer = send_request(test_front.address, &request("GET", "/other/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(replica.count(), 0);
    })
    .await;
}

fn request_with_headers(method: &str, path: &str, fields: &str) -> String {
    request(method, path, "").replacen("id: r-1", &format!("{fields}id: r-1"), 1)
}

/// The replica receives the tenant of the key, never the key or a tenant that the caller
/// claims.
#[tokio::test]
async fn a_key_is_replaced_by_its_tenants_name() {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start_with_routes(&[&replica], "k-1=ann k-2=bob").await;
        let fields = "tenant: ann\r\nTenant: eve\r\nAuthorization: bearer  k-2\r\n";
        let answer = send_request(
            test_front.address,
            &request_with_headers("POST", "/once/a", fields),
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let received = replica.received.borrow()[0].to_lowercase();
        let tenants: Vec<&str> = received
            .lines()
            .filter(|line| line.starts_with("tenant:"))
            .collect();
        assert_eq!(tenants, ["tenant: bob"]);
        assert!(
            !received.contains("k-2") && !received.contains("authorization"),
            "{received}"
        );
    })
    .await;
}

#[rstest::rstest]
#[case("", "401", "401", "200")]
#[case("Authorization: Bearer k-9\r\n", "401", "401", "200")]
#[case("Authorization: Bearer\r\n", "401", "401", "200")]
#[case("Authorization: Basic k-1\r\n", "401", "401", "200")]
#[case(
    "Authorization: Bearer k-1\r\nAuthorization: Bearer k-2\r\n",
    "401",
    "401",
    "200"
)]
#[case("Authorization: Bearer k-1\r\n", "200", "200", "200")]
#[tokio::test]
async fn without_a_known_key_only_open_routes_are_served(
    #[case] fields: &str,
    #[case] once: &str,
    #[case] safe: &str,
    #[case] open: &str,
) {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start_with_routes(&[&replica], "k-1=ann k-2=bob").await;
        for (path, status) in [("/once/a", once), ("/safe/a", safe), ("/open/a", open)] {
            let answer = send_request(
                test_front.address,
                &request_with_headers("POST", path, fields),
            )
            .await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{path}: {answer}"
            );
            assert!(
                !answer.contains("k-"),
                "the answer must not reveal a key: {answer}"
            );
        }
        let expected = [once, safe, open]
            .iter()
            .filter(|status| **status == "200")
            .count();
        assert_eq!(replica.count(), expected);
    })
    .await;
}

/// A newer configuration may contain the key, so the front must not answer 401 before the
/// key-value service confirms that its own configuration is current.
#[tokio::test]
async fn an_unknown_key_is_rejected_only_once_the_service_has_confirmed_it() {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start_with_routes(&[&replica], "k-1=ann").await;
        let request_text = request_with_headers("POST", "/once/a", "Authorization: Bearer k-2\r\n");
        *test_front.reachable.borrow_mut() = false;
        let answer = send_request(test_front.address, &request_text).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        *test_front.reachable.borrow_mut() = true;
        assert!(
            send_request(test_front.address, &request_text)
                .await
                .starts_with("HTTP/1.1 401")
        );
        test_front.write_without_notification("k-1=ann k-2=bob");
        let answer = loop {
            let answer = send_request(test_front.address, &request_text).await;
            if !answer.starts_with("HTTP/1.1 401") {
                break answer;
            }
        };
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    })
    .await;
}

/// A removed key must also be rejected on connections opened before its removal.
#[tokio::test]
async fn a_removed_key_is_rejected_on_an_open_connection() {
    let test = async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start_with_routes(&[&replica], "k-1=ann k-2=bob").await;
        let request = request_with_headers("POST", "/once/a", "Authorization: Bearer k-2\r\n")
            .replace("connection: close\r\n", "");
        let mut caller = TcpStream::connect(test_front.address)
            .await
            .expect("connection");
        let mut removed = false;
        loop {
            caller.write_all(request.as_bytes()).await.expect("request");
            let answer = read_message(&mut caller).await.expect("an answer");
            match (answer.starts_with("HTTP/1.1 200"), removed) {
                (true, false) => {
                    test_front.configure("k-1=ann");
                    removed = true;
                }
                (true, true) => {}
                (false, _) => {
                    assert!(removed && answer.starts_with("HTTP/1.1 401"), "{answer}");
                    return;
                }
            }
        }
    };
    let result = run_local(tokio::time::timeout(TEST_TIMEOUT, test)).await;
    result.expect("the test must end in time");
}

/// Without a reachable quota owner the front grants only its share of the rate limit and
/// forwards no rejected request.
#[tokio::test]
async fn a_front_without_a_reachable_quota_owner_grants_only_its_share() {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start_with_routes(&[&replica], "k-1=ann/2 k-2=bob").await;
        let mut statuses = Vec::new();
        for key in ["k-1", "k-1", "k-2", "k-2"] {
            let fields = format!("Authorization: Bearer {key}\r\n");
            let answer = send_request(
                test_front.address,
                &request_with_headers("POST", "/once/a", &fields),
            )
            .await;
            let refused = answer.starts_with("HTTP/1.1 429");
            assert_eq!(refused, answer.contains("retry-after: "), "{answer}");
            statuses.push(answer[9..12].to_owned());
        }
        assert_eq!(statuses, ["200", "429", "200", "200"]);
        assert_eq!(replica.count(), 3);
    })
    .await;
}

/// Quota is refunded for a request that no replica ran, and not for one that ran or may
/// have run.
#[tokio::test]
async fn quota_is_refunded_only_for_requests_that_did_not_run() {
    let test = async {
        let replica = Replica::start(&[NOT_RUN_RESPONSE, SIGNED_RESPONSE, "CLOSE"]).await;
        let store = GrantingStore::start().await;
        let test_front = start_with_store(&[&replica], "k-1=ann/2", Some(store.address)).await;
        let request_text = request_with_headers("POST", "/once/a", "Authorization: Bearer k-1\r\n");
        for status in ["503", "200", "502"] {
            let answer = send_request(test_front.address, &request_text).await;
            assert_eq!(&answer[9..12], status, "{answer}");
        }
        while store.refunded.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(store.granted.get(), 3);
        assert_eq!(*store.refunded.borrow(), [1]);
    };
    let result = run_local(tokio::time::timeout(TEST_TIMEOUT, test)).await;
    result.expect("the test must end in time");
}

/// After a lost answer a repeatable request must be retried at another replica before
/// its deadline; any other request must not be retried.
#[tokio::test]
async fn only_a_repeatable_request_is_retried_when_no_answer_comes() {
    let test = async {
        // Each replica answers once. The second request reuses the idle connection.
        let replicas = [
            Replica::start(&[SIGNED_RESPONSE, ""]).await,
            Replica::start(&[SIGNED_RESPONSE, ""]).await,
        ];
        let test_front = start(&[&replicas[0], &replicas[1]]).await;
        for _ in 0..2 {
            let started_at = tokio::time::Instant::now();
            let answer = send_request(test_front.address, &request("GET", "/safe/a", "")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert!(
                started_at.elapsed() < Duration::from_millis(700),
                "{:?}",
                started_at.elapsed()
            );
        }
        assert_eq!(replicas[0].count() + replicas[1].count(), 3);
        let single = Replica::start(&[""]).await;
        let test_front = start(&[&single]).await;
        let answer = send_request(test_front.address, &request("POST", "/once/a", "order")).await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        assert_eq!(single.count(), 1);
        // Without another replica the front waits, as the answer may still arrive.
        let started_at = tokio::time::Instant::now();
        let answer = send_request(test_front.address, &request("GET", "/safe/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        assert!(started_at.elapsed() > Duration::from_millis(1200));
    };
    let result = run_local(tokio::time::timeout(TEST_TIMEOUT, test)).await;
    result.expect("the test must end in time");
}

/// Requests of a route that ended with an outcome. The count is one for the process, so a test
/// that compares it exactly needs a route of its own.
fn ended_requests(route: &str, outcome: &str) -> u64 {
    let requests = &stageyoke_observe::metrics().requests;
    requests.with_label_values(&[route, outcome]).get()
}

/// A request whose caller disconnects must still be logged and counted.
#[tokio::test]
async fn a_request_whose_caller_disconnects_is_counted() {
    let test = async {
        let silent = "";
        let replica = Replica::start(&[silent]).await;
        let test_front = start(&[&replica]).await;
        let before = ended_requests("once", "caller_left");
        let mut caller = TcpStream::connect(test_front.address)
            .await
            .expect("connection");
        let request_text = request("POST", "/once/a", "order");
        caller
            .write_all(request_text.as_bytes())
            .await
            .expect("request");
        while replica.count() == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        drop(caller);
        while ended_requests("once", "caller_left") == before {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = run_local(tokio::time::timeout(Duration::from_secs(1), test)).await;
    result.expect("counted before the request's deadline");
}

/// Rejections by idle replicas are counted apart from overload and must not lower the
/// health estimate of any replica.
#[tokio::test]
async fn rejection_by_several_idle_replicas_has_its_own_outcome() {
    run_local(async {
        let first = Replica::start(&[NOT_RUN_RESPONSE, NOT_RUN_RESPONSE, SIGNED_RESPONSE]).await;
        let second = Replica::start(&[NOT_RUN_RESPONSE, NOT_RUN_RESPONSE, SIGNED_RESPONSE]).await;
        let test_front = start(&[&first, &second]).await;
        let before = ended_requests("idle", "refused_while_idle");
        let request_text = request("POST", "/idle/a", "order");
        for _ in 0..2 {
            assert!(
                send_request(test_front.address, &request_text)
                    .await
                    .starts_with("HTTP/1.1 503")
            );
        }
        assert_eq!(ended_requests("idle", "refused_while_idle"), before + 2);
        assert!(
            send_request(test_front.address, &request_text)
                .await
                .starts_with("HTTP/1.1 200")
        );
        let single = Replica::start(&[NOT_RUN_RESPONSE]).await;
        let test_front = start(&[&single]).await;
        let before = ended_requests("idle", "no_replica");
        assert!(
            send_request(test_front.address, &request_text)
                .await
                .starts_with("HTTP/1.1 503")
        );
        assert_eq!(ended_requests("idle", "no_replica"), before + 1);
    })
    .await;
}

#[tokio::test]
async fn invalid_requests_are_answered_with_400_or_413() {
    run_local(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let without_id = "GET /safe/a HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n";
        assert!(
            send_request(test_front.address, without_id)
                .await
                .starts_with("HTTP/1.1 400")
        );
        let large = request("POST", "/once/a", &"x".repeat(MAX_BODY_BYTES + 1));
        assert!(
            send_request(test_front.address, &large)
                .await
                .starts_with("HTTP/1.1 413")
        );
        assert_eq!(replica.count(), 0);
    })
    .await;
}

/// A request that exceeds the memory limit must be rejected without running, and the
/// memory must be released when the other request ends.
#[tokio::test]
async fn a_request_over_the_memory_limit_is_rejected_until_memory_is_released() {
    let test = async {
        let replica = Replica::start(&["", SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let whole = request("POST", "/once/a", &"x".repeat(LARGE_BODY_BYTES));
        let mut unanswered = TcpStream::connect(test_front.address)
            .await
            .expect("connection");
        unanswered.write_all(whole.as_bytes()).await.expect("sent");
        while replica.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let refused = send_request(test_front.address, &whole).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.to_lowercase().contains("retry-after"), "{refused}");
        let run_count = replica.count();
        assert!(
            send_request(test_front.address, &request("GET", "/safe/a", ""))
                .await
                .starts_with("HTTP/1.1 200")
        );
        drop(unanswered);
        while !send_request(test_front.address, &whole)
            .await
            .starts_with("HTTP/1.1 200")
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(
            replica.count(),
            run_count + 2,
            "a rejected request must not run"
        );
    };
    let result = run_local(tokio::time::timeout(TEST_TIMEOUT, test)).await;
    result.expect("the test must end in time");
}

fn turn_request(program: &str) -> String {
    let turn = request("POST", "/stream/a", "");
    let headers = format!("program: {program}\r\nbudget: 100\r\ntokens: 10,5\r\n");
    turn.replace("connection: close", &format!("{headers}connection: close"))
}

/// While engines are full, a new program must be rejected before anything is reserved for
/// it. Started programs go on, also those that started at another front.
#[rstest]
#[case::while_engines_are_full(true, 400, false, false)]
#[case::not_while_a_slot_is_free(true, 3, false, true)]
#[case::not_with_a_store_that_reports_nothing(true, 400, true, true)]
#[case::not_without_admission_control(false, 400, false, true)]
#[tokio::test]
async fn a_new_program_is_admitted_only_while_engines_have_free_slots(
    #[case] admission_control: bool,
    #[case] in_flight: u16,
    #[case] first_version: bool,
    #[case] admitted: bool,
) {
    let stream = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n\
                  f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
    run_local(async {
        let replica = Replica::start(&[stream]).await;
        let store = ReportingStore::start(in_flight, first_version).await;
        let routes = ENGINES;
        let test_front = start_with_admission_control(
            &[&replica],
            routes,
            Some(store.address),
            admission_control,
        )
        .await;
        // The first reservation's reply reports the turns in flight at other fronts.
        let first = send_request(test_front.address, &turn_request("first")).await;
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        let second = send_request(test_front.address, &turn_request("second")).await;
        assert_eq!(second.starts_with("HTTP/1.1 200"), admitted, "{second}");
        if !admitted {
            assert!(second.starts_with("HTTP/1.1 503"), "{second}");
            assert!(second.to_lowercase().contains("retry-after"), "{second}");
        }
        for program in ["first", STARTED_PROGRAM] {
            let next = send_request(test_front.address, &turn_request(program)).await;
            assert!(next.starts_with("HTTP/1.1 200"), "{program}: {next}");
        }
        let reserved = store.received.reserved.borrow();
        let reserves = |program: &str| reserved.iter().any(|reserved| reserved == program);
        assert_eq!(reserves("second"), admitted, "{reserved:?}");
        assert_eq!(replica.count(), 3 + usize::from(admitted));
    })
    .await;
}

/// Guards against a program that gets its spent budget again because another route's turns are
/// stored for a shorter time. The first message of a connection counts too, which is sent before
/// the store's version is known.
#[tokio::test]
async fn records_of_a_turn_carry_the_retention_of_its_own_route() {
    let stream = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n\
                  f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
    let test = async {
        let replica = Replica::start(&[stream]).await;
        let store = ReportingStore::start(0, false).await;
        let test_front = start_with_store(&[&replica], ENGINES, Some(store.address)).await;
        let answer = send_request(test_front.address, &turn_request("program")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let retentions = &store.received.ledger_retentions;
        while retentions.borrow().len() < 2 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        // The reservation's counts from the end of the turn, which has one second.
        assert_eq!(*retentions.borrow(), [Some(61), Some(60)]);
    };
    let result = run_local(tokio::time::timeout(TEST_TIMEOUT, test)).await;
    result.expect("the turn is reserved and settled");
}

/// On slow disks a turn runs while its reservation is written, but none of its output may be
/// forwarded before that is stored, nor at all if the stored ledger leaves no tokens.
#[rstest]
#[case::the_budget_suffices(0, true)]
#[case::another_turn_used_the_budget(96, false)]
#[tokio::test]
async fn output_is_withheld_until_the_reservation_is_stored(
    #[case] other_tokens: u32,
    #[case] is_forwarded: bool,
) {
    let stream = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n\
                  f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
    run_local(async {
        let replica = Replica::start(&[stream]).await;
        let store = SlowStore::start(other_tokens).await;
        let test_front = start_with_store(&[&replica], ENGINES, Some(store.address)).await;
        // The store announces its version with its first reply.
        store.released.notify_one();
        send_request(test_front.address, &turn_request("earlier")).await;
        let earlier_runs = replica.count();
        let mut caller = TcpStream::connect(test_front.address).await.expect("open");
        let turn = turn_request("program");
        caller.write_all(turn.as_bytes()).await.expect("send");
        let mut received = String::new();
        let early = caller.read_to_string(&mut received);
        let early = tokio::time::timeout(Duration::from_millis(300), early);
        assert!(early.await.is_err(), "the stream ended: {received}");
        assert_eq!(replica.count(), earlier_runs + 1, "the turn runs meanwhile");
        let mut rest = Vec::new();
        store.released.notify_waiters();
        let _ = tokio::time::timeout(TEST_TIMEOUT, caller.read_to_end(&mut rest)).await;
        let rest = String::from_utf8_lossy(&rest);
        assert!(!received.contains("data: a"), "too early: {received}");
        assert_eq!(rest.contains("data: a"), is_forwarded, "{received}{rest}");
        assert_eq!(
            rest.ends_with("0\r\n\r\n"),
            is_forwarded,
            "{received}{rest}"
        );
    })
    .await;
}

/// Guards against responses that are cut without a count that operators can watch.
#[tokio::test]
async fn a_cut_response_is_counted_by_its_outcome() {
    let cut = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n\
               f\r\nid: 1\ndata: a\n\n\r\nCLOSE";
    run_local(async {
        let replica = Replica::start(&[cut]).await;
        let test_front = start(&[&replica]).await;
        let cuts = &stageyoke_observe::metrics().cut_responses;
        let broken_off = cuts.with_label_values(&["replica_broke_off"]);
        let before = broken_off.get();
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(broken_off.get() > before);
    })
    .await;
}

/// The set of started programs is bounded and evicts the oldest first.
#[test]
fn the_set_of_started_programs_is_bounded() {
    let started_programs = StartedPrograms::default();
    for program in 0..10_000 {
        started_programs.record(&program.to_string());
        started_programs.record("0");
    }
    assert_eq!(started_programs.len(), 4096);
    assert!(started_programs.has_started("9999") && !started_programs.has_started("1"));
}
