//! A front in process, against replicas that answer as scripted, on loopback.

mod support;

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
use stageyoke_store::message::{
    Numbered, OtherFrontsReport, QuotaReceipt, QuotaReply, Record, Reply, Request as StoreRequest,
};
use stageyoke_types::{List, Text};
use support::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// Memory of the front's machine: its requests may hold a third of it.
const MEMORY_BYTES: u64 = 2_000;
/// Word of a table whose replicas are engines.
const ENGINES: &str = "engines";
/// Only reached where a test fails.
const PATIENCE: Duration = Duration::from_secs(20);
const SIGNED: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 4\r\n\r\nbody";
const NOT_RUN: &str = "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

/// What the key-value service holds; `routes` names a table of `table`.
#[derive(Clone)]
struct Directory {
    replicas: Vec<SocketAddr>,
    store: Option<SocketAddr>,
    reachable: Rc<RefCell<bool>>,
    routes: Rc<RefCell<Versioned>>,
    written: Rc<Notify>,
}

struct Versioned {
    revision: u64,
    text: String,
}

impl Directory {
    fn routes(&self) -> Item {
        let routes = self.routes.borrow();
        Item {
            revision: routes.revision,
            ..item("routes", &format!("{} {}", routes.revision, routes.text))
        }
    }
}

impl KeyValueService for Directory {
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

fn one_store(address: &str) -> StoreGroups {
    StoreGroups::single(Members::default().with_member(Member {
        node: Text::from("store"),
        address: Text::from(address),
        zone: Text::from("zone"),
        state: MemberState::Active,
        disk: 0,
    }))
}

/// A store that grants every request, and hears which are given back.
struct Granting {
    address: SocketAddr,
    granted: Rc<Cell<u64>>,
    returned: Rc<RefCell<Vec<u64>>>,
}

impl Granting {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let granted: Rc<Cell<u64>> = Rc::default();
        let returned: Rc<RefCell<Vec<u64>>> = Rc::default();
        let counts = (granted.clone(), returned.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(grant_all(stream, counts.0.clone(), counts.1.clone()));
            }
        });
        Self {
            address,
            granted,
            returned,
        }
    }
}

async fn grant_all(stream: TcpStream, granted: Rc<Cell<u64>>, returned: Rc<RefCell<Vec<u64>>>) {
    let (mut reader, mut writer) = stream.into_split();
    while let Ok(asked) = frame::read::<Numbered<StoreRequest>>(&mut reader).await {
        let content = match asked.content {
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
                returned.borrow_mut().push(receipt.slot);
                Reply::Pong
            }
            _ => Reply::Pong,
        };
        let number = asked.number;
        let bytes = frame::encode(&Numbered { number, content });
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// A store that tells of a full fleet: so many turns under way at its one service, and
/// one program that has begun. One of version 1 tells neither.
struct Telling {
    address: SocketAddr,
    reserved: Rc<RefCell<Vec<String>>>,
}

/// The program that has begun, as the store knows.
const BEGUN: &str = "begun";

impl Telling {
    async fn start(under_way: u16, first_version: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let reserved: Rc<RefCell<Vec<String>>> = Rc::default();
        let heard = reserved.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let telling = tell_all(stream, under_way, first_version, heard.clone());
                tokio::task::spawn_local(telling);
            }
        });
        Self { address, reserved }
    }
}

async fn tell_all(
    stream: TcpStream,
    under_way: u16,
    first_version: bool,
    reserved: Rc<RefCell<Vec<String>>>,
) {
    let (mut reader, mut writer) = stream.into_split();
    while let Ok(asked) = frame::read_with_fields::<StoreRequest>(&mut reader).await {
        let content = match asked.message.content {
            StoreRequest::Append { record, .. } => {
                if let Record::Reserve { program, .. } = record {
                    reserved.borrow_mut().push(program.to_string());
                }
                Reply::Stored {
                    complete: true,
                    ledger: List::default(),
                    other_fronts: OtherFrontsReport::default(),
                    directory: Default::default(),
                }
            }
            _ => Reply::Pong,
        };
        let load = RankLoad {
            service: service_hash(&Text::from("service")),
            rank: 0,
            in_flight: under_way,
        };
        let extensions = match first_version {
            true => ExtensionFields::default(),
            false => ExtensionFields {
                rank_loads: Some(List(vec![load])),
                started: asked
                    .extension_fields
                    .program
                    .map(|name| name.as_str() == BEGUN),
                ..ExtensionFields::greeting()
            },
        };
        let number = asked.message.number;
        let bytes = frame::encode_with_fields(&Numbered { number, content }, &extensions);
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

struct Words;

impl Interpreter for Words {
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update {
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
        match (key, text) {
            ("routes", Some(text)) => Update::Routes(table(text)),
            ("members", Some(address)) if !address.is_empty() => Update::Stores(one_store(address)),
            ("members", _) => Update::Ignored,
            (id, Some(address)) => Update::Replica {
                id: Text::from(id),
                record: Some(ReplicaRecord {
                    service: Text::from("service"),
                    address: Text::from(address),
                    zone: Text::from("zone"),
                    slots: 4,
                    state: ReplicaState::Ready,
                    start: ReplicaStart::default(),
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

/// A table by its version and the keys of its tenants, `key=tenant` or
/// `key=tenant/limit` (requests a second); without any it has no tenants. `ENGINES` among
/// them makes the replicas engines.
fn table(text: &str) -> RouteTable {
    let (version, keys) = text.split_once(' ').expect("version and keys");
    let mut tenants = Tenants::default();
    let engine = keys.contains(ENGINES).then_some(EngineShape {
        slots: 4,
        cache_tokens: 10_000,
        tokens_per_event: 1,
    });
    for pair in keys.split_whitespace().filter(|word| *word != ENGINES) {
        let (key, holder) = pair.split_once('=').expect("key and tenant");
        let (name, limit) = holder.split_once('/').unwrap_or((holder, ""));
        let limit = limit.parse().ok().map(|per_second| RateLimit {
            per_second,
            burst: per_second,
        });
        let tenant = Tenant {
            name: Text::from(name),
            priority: None,
            rate_limit: limit,
        };
        tenants.add(tenant, [KeyDigest::of(key.as_bytes())]);
    }
    let route = |name: &str, kind| Route {
        name: Text::from(name),
        host: Text::from("host"),
        path_prefix: Text::from(format!("/{name}/")),
        kind,
        timeout: Duration::from_millis(1500),
        latency_objective: Duration::from_millis(100),
        priority: 1,
        targets: vec![Target {
            service: Text::from("service"),
            weight: 1,
        }],
        max_attempts: 3,
        stores_history: false,
        retention: Duration::ZERO,
        resumable: false,
        allows_anonymous: name == "open",
        affinity: false,
    };
    RouteTable {
        version: version.parse().expect("version"),
        routes: vec![
            route("open", RouteKind::Once),
            route("safe", RouteKind::Repeatable),
            route("once", RouteKind::Once),
            route("stream", RouteKind::Stream),
        ],
        services: vec![ServiceSpec {
            name: Text::from("service"),
            max_connections: 10,
            engine,
        }],
        limits: HttpLimits {
            header_bytes: 16_384,
            body_bytes: 1_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: (!tenants.is_empty()).then_some(tenants),
    }
}

/// A replica that answers its requests with these texts, one after the other,
/// the last again and again; `ID` stands for the request's identifier, and
/// `CLOSE` at the end closes the connection.
#[derive(Clone)]
struct Replica {
    address: SocketAddr,
    heard: Rc<RefCell<Vec<String>>>,
}

impl Replica {
    async fn start(answers: &[&str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let heard = Rc::new(RefCell::new(Vec::new()));
        let texts: Vec<String> = answers.iter().map(|text| (*text).to_owned()).collect();
        let hearing = heard.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (texts, hearing) = (texts.clone(), hearing.clone());
                tokio::task::spawn_local(answer_all(stream, texts, hearing));
            }
        });
        Self { address, heard }
    }

    fn count(&self) -> usize {
        self.heard.borrow().len()
    }
}

async fn answer_all(mut stream: TcpStream, texts: Vec<String>, heard: Rc<RefCell<Vec<String>>>) {
    while let Some(request) = read_message(&mut stream).await {
        let number = heard.borrow().len();
        heard.borrow_mut().push(request.clone());
        let text = &texts[number.min(texts.len() - 1)];
        let text = text.replace("ID", &field(&request, "id").unwrap_or_default());
        let closes = text.ends_with("CLOSE");
        let text = text.trim_end_matches("CLOSE");
        if stream.write_all(text.as_bytes()).await.is_err() || closes {
            return;
        }
    }
}

fn field(message: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}: ");
    let line = message.lines().find(|line| line.starts_with(&prefix))?;
    Some(line[prefix.len()..].to_owned())
}

async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = field(head, "content-length").and_then(|length| length.parse().ok());
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

struct Bench {
    front: SocketAddr,
    ready: SocketAddr,
    reachable: Rc<RefCell<bool>>,
    directory: Directory,
}

impl Bench {
    /// Puts another table into the key-value service.
    fn configure(&self, text: &str) {
        self.write_silently(text);
        self.directory.written.notify_waiters();
    }

    /// The same, and no watch tells of it.
    fn write_silently(&self, text: &str) {
        let mut routes = self.directory.routes.borrow_mut();
        routes.revision += 1;
        routes.text = text.to_owned();
    }
}

async fn start(replicas: &[&Replica]) -> Bench {
    start_with(replicas, "").await
}

/// Starts a front with the tenants of a table.
async fn start_with(replicas: &[&Replica], routes: &str) -> Bench {
    start_beside(replicas, routes, None).await
}

/// The same beside a store.
async fn start_beside(replicas: &[&Replica], routes: &str, store: Option<SocketAddr>) -> Bench {
    start_controlled(replicas, routes, store, false).await
}

/// The same with or without programs turned away for want of room.
async fn start_controlled(
    replicas: &[&Replica],
    routes: &str,
    store: Option<SocketAddr>,
    admission_control: bool,
) -> Bench {
    let reachable = Rc::new(RefCell::new(true));
    let directory = Directory {
        replicas: replicas.iter().map(|replica| replica.address).collect(),
        store,
        reachable: reachable.clone(),
        routes: Rc::new(RefCell::new(Versioned {
            revision: 1,
            text: routes.to_owned(),
        })),
        written: Rc::default(),
    };
    let kept = directory.clone();
    let mirror = Mirror::new(directory, Words);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listeners = FrontListeners::open(any, any).await.expect("listeners");
    let front = listeners.callers.local_addr().expect("address");
    let ready = listeners.readiness.local_addr().expect("address");
    let settings = FrontSettings {
        node: Text::from("front"),
        zone: Text::from("zone"),
        seeds: Vec::new(),
        tolerance: Default::default(),
        grace: Duration::from_secs(8),
        change_bound: Duration::from_secs(2),
        key_age_limit: None,
        memory_bytes: MEMORY_BYTES,
        admission_control,
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
    let bench = Bench {
        front,
        ready,
        reachable,
        directory: kept,
    };
    while !ask(
        bench.ready,
        "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    )
    .await
    .starts_with("HTTP/1.1 200")
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    bench
}

/// Sends one request on a new connection and reads until it closes.
async fn ask(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let _ = stream.write_all(request.as_bytes()).await;
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(PATIENCE, reading).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: host:80\r\nid: r-1\r\ndeadline: 1400\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

async fn local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

#[tokio::test]
async fn a_plain_answer_passes_with_its_signature_and_the_request_unchanged() {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start(&[&replica]).await;
        let answer = ask(bench.front, &request("POST", "/once/a?b=c", "hello")).await;
        assert!(
            answer.starts_with("HTTP/1.1 200") && answer.ends_with("body"),
            "{answer}"
        );
        assert!(answer.contains("signed: s"));
        let heard = replica.heard.borrow()[0].clone();
        assert!(heard.starts_with("POST /once/a?b=c HTTP/1.1"), "{heard}");
        assert!(heard.ends_with("hello"));
        assert_eq!(field(&heard, "instance").as_deref(), Some("replica-0"));
        let left: u64 = field(&heard, "deadline")
            .expect("deadline")
            .parse()
            .expect("number");
        assert!(left <= 1400);
    })
    .await;
}

/// A replica refuses a request that names a copy which it does not hold: one
/// caller's header must not decide what only the front may say.
#[tokio::test]
async fn what_only_the_front_may_say_is_taken_from_a_callers_request() {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start(&[&replica]).await;
        let forged = request("POST", "/once/a", "order").replacen(
            "id: r-1",
            "Copy-From: 10.0.0.1:80/x\r\nurgency: 0\r\nUrgency: 1\r\nkept: yes\r\nid: r-1",
            1,
        );
        let answer = ask(bench.front, &forged).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let heard = replica.heard.borrow()[0].to_lowercase();
        assert!(!heard.contains("copy-from"), "{heard}");
        assert!(!heard.contains("urgency"), "{heard}");
        assert!(heard.contains("kept: yes"), "others pass: {heard}");
    })
    .await;
}

#[tokio::test]
async fn what_may_run_once_is_never_sent_again_after_a_lost_answer() {
    local(async {
        let replicas = [
            Replica::start(&["CLOSE"]).await,
            Replica::start(&["CLOSE"]).await,
        ];
        let bench = start(&[&replicas[0], &replicas[1]]).await;
        let answer = ask(bench.front, &request("POST", "/once/a", "order")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert_eq!(replicas[0].count() + replicas[1].count(), 1);
        let answer = ask(bench.front, &request("GET", "/safe/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(
            replicas[0].count() + replicas[1].count() > 2,
            "a safe one is tried again"
        );
    })
    .await;
}

#[tokio::test]
async fn a_promise_not_to_run_allows_another_replica_and_else_a_refusal() {
    local(async {
        let full = Replica::start(&[NOT_RUN]).await;
        let free = Replica::start(&[SIGNED]).await;
        let bench = start(&[&full, &free]).await;
        for _ in 0..6 {
            let answer = ask(bench.front, &request("POST", "/once/a", "order")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert_eq!(free.count(), 6);
        let bench = start(&[&full]).await;
        let answer = ask(bench.front, &request("POST", "/once/a", "order")).await;
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after: "),
            "{answer}"
        );
        assert!(
            !answer.contains("signed"),
            "a refusal of its own bears no signature"
        );
    })
    .await;
}

#[tokio::test]
async fn answers_of_others_unsigned_and_cut_ones_never_pass_as_successes() {
    let foreign = "HTTP/1.1 200 OK\r\nid: other\r\nsigned: s\r\nContent-Length: 4\r\n\r\nbody";
    let unsigned = "HTTP/1.1 200 OK\r\nid: ID\r\nContent-Length: 4\r\n\r\nbody";
    let cut = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 9\r\n\r\nbodyCLOSE";
    let noise = "no answer at allCLOSE";
    for wrong in [foreign, unsigned, cut, noise] {
        local(async {
            let replica = Replica::start(&[wrong]).await;
            let bench = start(&[&replica]).await;
            let answer = ask(bench.front, &request("POST", "/once/a", "order")).await;
            assert!(answer.starts_with("HTTP/1.1 502"), "{wrong}: {answer}");
            assert_eq!(replica.count(), 1);
        })
        .await;
    }
}

#[tokio::test]
async fn bytes_after_a_whole_answer_belong_to_no_request() {
    let surplus =
        format!("{SIGNED}HTTP/1.1 200 OK\r\nid: r-1\r\nsigned: s\r\nContent-Length: 3\r\n\r\nbad");
    local(async {
        let replica = Replica::start(&[&surplus]).await;
        let bench = start(&[&replica]).await;
        for _ in 0..3 {
            let answer = ask(bench.front, &request("GET", "/safe/a", "")).await;
            assert!(answer.ends_with("body"), "{answer}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_stream_that_breaks_off_never_looks_complete() {
    let head = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("{head}d\r\nid: 1\ndata: a\r\n3\r\n\n\nx\r\n0\r\n\r\n");
    let broken = format!("{head}d\r\nid: 1\ndata: a\r\n3\r\n\n\nx\r\nCLOSE");
    local(async {
        let replica = Replica::start(&[&whole, &broken]).await;
        let bench = start(&[&replica]).await;
        let answer = ask(bench.front, &request("POST", "/stream/a", "")).await;
        assert!(
            answer.ends_with("0\r\n\r\n") && answer.contains("data: a"),
            "{answer}"
        );
        let answer = ask(bench.front, &request("POST", "/stream/a", "")).await;
        assert!(
            answer.contains("data: a"),
            "the whole event passes: {answer}"
        );
        assert!(!answer.contains('x'), "the rest does not: {answer}");
        assert!(!answer.contains("0\r\n\r\n"), "nor does an end: {answer}");
    })
    .await;
}

#[tokio::test]
async fn an_unknown_route_is_404_only_once_the_service_has_confirmed_it() {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start(&[&replica]).await;
        let answer = ask(bench.front, &request("GET", "/other/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        *bench.reachable.borrow_mut() = false;
        let answer = ask(bench.front, &request("GET", "/other/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(replica.count(), 0);
    })
    .await;
}

fn with_fields(method: &str, path: &str, fields: &str) -> String {
    request(method, path, "").replacen("id: r-1", &format!("{fields}id: r-1"), 1)
}

/// The key stays here, the tenant is told, whatever the caller says of it.
#[tokio::test]
async fn a_key_is_exchanged_for_its_tenants_name() {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start_with(&[&replica], "k-1=ann k-2=bob").await;
        let fields = "tenant: ann\r\nTenant: eve\r\nAuthorization: bearer  k-2\r\n";
        let answer = ask(bench.front, &with_fields("POST", "/once/a", fields)).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let heard = replica.heard.borrow()[0].to_lowercase();
        let told: Vec<&str> = heard
            .lines()
            .filter(|line| line.starts_with("tenant:"))
            .collect();
        assert_eq!(told, ["tenant: bob"]);
        assert!(
            !heard.contains("k-2") && !heard.contains("authorization"),
            "{heard}"
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
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start_with(&[&replica], "k-1=ann k-2=bob").await;
        for (path, status) in [("/once/a", once), ("/safe/a", safe), ("/open/a", open)] {
            let answer = ask(bench.front, &with_fields("POST", path, fields)).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{path}: {answer}"
            );
            assert!(!answer.contains("k-"), "no key is told: {answer}");
        }
        let expected = [once, safe, open]
            .iter()
            .filter(|status| **status == "200")
            .count();
        assert_eq!(replica.count(), expected);
    })
    .await;
}

/// A key may stand in a newer configuration than this front has heard of; that it
/// doesn't is only known from the service, and "unknown" must not be guessed.
#[tokio::test]
async fn an_unknown_key_is_refused_only_once_the_service_has_confirmed_it() {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start_with(&[&replica], "k-1=ann").await;
        let asked = with_fields("POST", "/once/a", "Authorization: Bearer k-2\r\n");
        *bench.reachable.borrow_mut() = false;
        let answer = ask(bench.front, &asked).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        *bench.reachable.borrow_mut() = true;
        assert!(ask(bench.front, &asked).await.starts_with("HTTP/1.1 401"));
        bench.write_silently("k-1=ann k-2=bob");
        let answer = loop {
            let answer = ask(bench.front, &asked).await;
            if !answer.starts_with("HTTP/1.1 401") {
                break answer;
            }
        };
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    })
    .await;
}

/// A key that is taken away ends on connections that are open already.
#[tokio::test]
async fn a_removed_key_ends_on_an_open_connection() {
    let test = async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start_with(&[&replica], "k-1=ann k-2=bob").await;
        let kept = with_fields("POST", "/once/a", "Authorization: Bearer k-2\r\n")
            .replace("connection: close\r\n", "");
        let mut caller = TcpStream::connect(bench.front).await.expect("connection");
        let mut removed = false;
        loop {
            caller.write_all(kept.as_bytes()).await.expect("request");
            let answer = read_message(&mut caller).await.expect("an answer");
            match (answer.starts_with("HTTP/1.1 200"), removed) {
                (true, false) => {
                    bench.configure("k-1=ann");
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
    let in_time = local(tokio::time::timeout(PATIENCE, test)).await;
    in_time.expect("in time");
}

/// No store answers: the front grants a small share of the limit by itself, and
/// what it refuses was not run.
#[tokio::test]
async fn a_front_that_reaches_no_owner_grants_its_share_only() {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start_with(&[&replica], "k-1=ann/2 k-2=bob").await;
        let mut statuses = Vec::new();
        for key in ["k-1", "k-1", "k-2", "k-2"] {
            let fields = format!("Authorization: Bearer {key}\r\n");
            let answer = ask(bench.front, &with_fields("POST", "/once/a", &fields)).await;
            let refused = answer.starts_with("HTTP/1.1 429");
            assert_eq!(refused, answer.contains("retry-after: "), "{answer}");
            statuses.push(answer[9..12].to_owned());
        }
        assert_eq!(statuses, ["200", "429", "200", "200"]);
        assert_eq!(replica.count(), 3);
    })
    .await;
}

/// A request whose leave was granted ran nowhere: it is given back, so that its tenant
/// may make another one. One that ran, or may have, is not.
#[tokio::test]
async fn leave_is_given_back_for_what_has_not_run_and_for_nothing_else() {
    let test = async {
        let replica = Replica::start(&[NOT_RUN, SIGNED, "CLOSE"]).await;
        let store = Granting::start().await;
        let bench = start_beside(&[&replica], "k-1=ann/2", Some(store.address)).await;
        let asked = with_fields("POST", "/once/a", "Authorization: Bearer k-1\r\n");
        for status in ["503", "200", "502"] {
            let answer = ask(bench.front, &asked).await;
            assert_eq!(&answer[9..12], status, "{answer}");
        }
        while store.returned.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(store.granted.get(), 3);
        assert_eq!(*store.returned.borrow(), [1]);
    };
    let in_time = local(tokio::time::timeout(PATIENCE, test)).await;
    in_time.expect("in time");
}

/// A replica runs a request and its answer is lost: what may be repeated is tried at
/// another one in time; what may not is not.
#[tokio::test]
async fn an_answer_that_does_not_come_is_asked_for_elsewhere_where_that_may_be() {
    let test = async {
        // Each answers once. The second request goes to the one that has a connection.
        let replicas = [
            Replica::start(&[SIGNED, ""]).await,
            Replica::start(&[SIGNED, ""]).await,
        ];
        let bench = start(&[&replicas[0], &replicas[1]]).await;
        for _ in 0..2 {
            let began = tokio::time::Instant::now();
            let answer = ask(bench.front, &request("GET", "/safe/a", "")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert!(
                began.elapsed() < Duration::from_millis(700),
                "{:?}",
                began.elapsed()
            );
        }
        assert_eq!(replicas[0].count() + replicas[1].count(), 3);
        let lone = Replica::start(&[""]).await;
        let bench = start(&[&lone]).await;
        let answer = ask(bench.front, &request("POST", "/once/a", "order")).await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        assert_eq!(lone.count(), 1);
        // Nobody else is there to ask: the answer may still come.
        let began = tokio::time::Instant::now();
        let answer = ask(bench.front, &request("GET", "/safe/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        assert!(began.elapsed() > Duration::from_millis(1200));
    };
    let in_time = local(tokio::time::timeout(PATIENCE, test)).await;
    in_time.expect("in time");
}

fn ended(outcome: &str) -> u64 {
    let requests = &stageyoke_observe::metrics().requests;
    requests.with_label_values(&["once", outcome]).get()
}

/// Its end is told though nothing of the request goes on.
#[tokio::test]
async fn a_caller_that_leaves_before_the_answer_leaves_a_line() {
    let test = async {
        let silent = "";
        let replica = Replica::start(&[silent]).await;
        let bench = start(&[&replica]).await;
        let before = ended("caller_left");
        let mut caller = TcpStream::connect(bench.front).await.expect("connection");
        let asked = request("POST", "/once/a", "order");
        caller.write_all(asked.as_bytes()).await.expect("request");
        while replica.count() == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        drop(caller);
        while ended("caller_left") == before {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let in_time = local(tokio::time::timeout(Duration::from_secs(1), test)).await;
    in_time.expect("told before the request's own deadline");
}

/// A refusal by idle replicas is told apart from a want of room, and counts against
/// none of them.
#[tokio::test]
async fn what_several_idle_replicas_refuse_has_a_cause_of_its_own() {
    local(async {
        let first = Replica::start(&[NOT_RUN, NOT_RUN, SIGNED]).await;
        let second = Replica::start(&[NOT_RUN, NOT_RUN, SIGNED]).await;
        let bench = start(&[&first, &second]).await;
        let before = ended("refused_while_idle");
        let asked = request("POST", "/once/a", "order");
        for _ in 0..2 {
            assert!(ask(bench.front, &asked).await.starts_with("HTTP/1.1 503"));
        }
        assert_eq!(ended("refused_while_idle"), before + 2);
        assert!(ask(bench.front, &asked).await.starts_with("HTTP/1.1 200"));
        let single = Replica::start(&[NOT_RUN]).await;
        let bench = start(&[&single]).await;
        let before = ended("no_replica");
        assert!(ask(bench.front, &asked).await.starts_with("HTTP/1.1 503"));
        assert_eq!(ended("no_replica"), before + 1);
    })
    .await;
}

#[tokio::test]
async fn bad_requests_get_their_own_answers() {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start(&[&replica]).await;
        let nameless = "GET /safe/a HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n";
        assert!(ask(bench.front, nameless).await.starts_with("HTTP/1.1 400"));
        let large = request("POST", "/once/a", &"x".repeat(2_000));
        assert!(ask(bench.front, &large).await.starts_with("HTTP/1.1 413"));
        assert_eq!(replica.count(), 0);
    })
    .await;
}

/// Requests hold a part of the front's memory, from the moment at which their
/// length is told until they are answered; what finds none left is refused
/// without having run, and finds it again later.
#[tokio::test]
async fn a_request_for_which_there_is_no_memory_is_refused_and_may_come_back() {
    let test = async {
        let replica = Replica::start(&[SIGNED]).await;
        let bench = start(&[&replica]).await;
        let whole = request("POST", "/once/a", &"x".repeat(600));
        let mut slow = TcpStream::connect(bench.front).await.expect("connection");
        let begun = &whole.as_bytes()[..whole.len() - 300];
        slow.write_all(begun).await.expect("half of the body");
        let refused = loop {
            // Until the front has read the head of the first.
            let answer = ask(bench.front, &whole).await;
            if !answer.starts_with("HTTP/1.1 200") {
                break answer;
            }
        };
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.to_lowercase().contains("retry-after"), "{refused}");
        let ran = replica.count();
        assert!(
            ask(bench.front, &request("GET", "/safe/a", ""))
                .await
                .starts_with("HTTP/1.1 200")
        );
        drop(slow);
        while !ask(bench.front, &whole).await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(replica.count(), ran + 2, "what was refused was not run");
    };
    let in_time = local(tokio::time::timeout(PATIENCE, test)).await;
    in_time.expect("in time");
}

fn turn_of(program: &str) -> String {
    let turn = request("POST", "/stream/a", "");
    let headers = format!("program: {program}\r\nbudget: 100\r\ntokens: 10,5\r\n");
    turn.replace("connection: close", &format!("{headers}connection: close"))
}

/// In a burst all programs began, and waited at engines until their callers had gone. A
/// new one is turned away before anything is reserved for it, and those that have begun
/// go on, also one that this front has not met.
#[rstest]
#[case::while_engines_are_full(true, 400, false, false)]
#[case::not_while_a_place_is_free(true, 3, false, true)]
#[case::not_beside_a_store_that_tells_nothing(true, 400, true, true)]
#[case::not_where_the_operator_does_not_say_so(false, 400, false, true)]
#[tokio::test]
async fn a_program_begins_only_where_there_is_room(
    #[case] admission_control: bool,
    #[case] under_way: u16,
    #[case] first_version: bool,
    #[case] begins: bool,
) {
    local(async {
        let replica = Replica::start(&[SIGNED]).await;
        let store = Telling::start(under_way, first_version).await;
        let routes = ENGINES;
        let bench =
            start_controlled(&[&replica], routes, Some(store.address), admission_control).await;
        // What others have under way comes with the first reservation.
        let first = ask(bench.front, &turn_of("first")).await;
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        let second = ask(bench.front, &turn_of("second")).await;
        assert_eq!(second.starts_with("HTTP/1.1 200"), begins, "{second}");
        if !begins {
            assert!(second.starts_with("HTTP/1.1 503"), "{second}");
            assert!(second.to_lowercase().contains("retry-after"), "{second}");
        }
        for program in ["first", BEGUN] {
            let next = ask(bench.front, &turn_of(program)).await;
            assert!(next.starts_with("HTTP/1.1 200"), "{program}: {next}");
        }
        let reserved = store.reserved.borrow();
        let reserves = |program: &str| reserved.iter().any(|reserved| reserved == program);
        assert_eq!(reserves("second"), begins, "{reserved:?}");
        assert_eq!(replica.count(), 3 + usize::from(begins));
    })
    .await;
}

/// What a front remembers of programs has a bound; the oldest go first.
#[test]
fn programs_that_have_begun_are_remembered_within_a_bound() {
    let begun = StartedPrograms::default();
    for program in 0..10_000 {
        begun.record(&program.to_string());
        begun.record("0");
    }
    assert_eq!(begun.len(), 4096);
    assert!(begun.has_started("9999") && !begun.has_started("1"));
}
