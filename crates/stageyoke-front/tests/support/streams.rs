//! Fronts in process with real stores and scripted replicas, for tests of streams that are
//! continued by their callers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    Change, HttpLimits, Interpreter, Item, KeyValueError, KeyValueService, Member, MemberState,
    Members, Mirror, RangePage, ReplicaRecord, ReplicaStart, ReplicaState, Route, RouteKind,
    RouteTable, ServiceSpec, StoreGroups, Target, Tolerance, Transaction, TransactionOutcome,
    Update, WatchOutcome, Write,
};
use stageyoke_front::{FrontListeners, FrontSettings};
use stageyoke_store::StoreLimits;
use stageyoke_store::journal::AppendResult;
use stageyoke_store::local_store::LocalStore;
use stageyoke_store::segment::DataFolder;
use stageyoke_types::{List, Text};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::support::names;

const SERVICE: &str = "service";
const ROUTES_KEY: &str = "routes";
const STORES_KEY: &str = "members";
/// Limits how long a failing test can hang.
const READ_TIMEOUT: Duration = Duration::from_secs(25);

/// Complete stream of one event.
pub const STREAM: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
/// Stream that breaks off after its first event.
pub const BROKEN_STREAM: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\nCLOSE";
/// Stream that breaks off before its first event.
pub const LOST_STREAM: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nCLOSE";
/// Head of a stream.
pub const HEAD: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Start of a stream, up to and including its first event.
pub const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n";
/// Path of turns that are kept for `SHORT_RETENTION_SECONDS`.
pub const SHORT_TURNS: &str = "/turns/short/";
/// Path of turns that are kept for `LONG_RETENTION_SECONDS`.
pub const LONG_TURNS: &str = "/turns/long/";
/// Path of turns that are kept and may be resumed. A replica sends `TURN_EVENTS` events, and breaks
/// the stream off after the event that the header `BREAK_AFTER` names, within the next one if there
/// is a header `BREAK_INSIDE`.
pub const RESUMABLE_TURNS: &str = "/turns/resumable/";
/// Number of events of a turn of `RESUMABLE_TURNS`.
pub const TURN_EVENTS: usize = 5;
/// Header that names the last event before a break.
pub const BREAK_AFTER: &str = "break-after";
/// Header of a break within an event.
pub const BREAK_INSIDE: &str = "break-inside";
/// Timeout of turns, which allows for slow syncs.
pub const TURN_TIMEOUT: Duration = Duration::from_secs(20);
/// Retention of turns of `SHORT_TURNS`.
pub const SHORT_RETENTION_SECONDS: u64 = 10;
/// Retention of turns of `LONG_TURNS`.
pub const LONG_RETENTION_SECONDS: u64 = 1_000;
/// Rejection of a request that has not run.
pub const NOT_RUN: &str = "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

/// Fake key-value service.
#[derive(Clone, Default)]
pub struct Directory {
    items: Rc<RefCell<BTreeMap<String, Item>>>,
    revision: Rc<Cell<u64>>,
    written: Rc<Notify>,
}

impl Directory {
    /// Writes an item; an empty value deletes it.
    pub fn write(&self, key: &str, value: &str) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let item = Item {
            key: key.to_owned(),
            value: Bytes::from(value.to_owned()),
            revision,
        };
        self.items.borrow_mut().insert(key.to_owned(), item);
        self.written.notify_waiters();
    }
}

impl KeyValueService for Directory {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        Ok(self.items.borrow().get(key).cloned())
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<RangePage, KeyValueError> {
        let items = self.items.borrow();
        let written = items.values().filter(|item| !item.value.is_empty());
        Ok(RangePage {
            items: written.cloned().collect(),
            more: false,
            revision: self.revision.get(),
        })
    }

    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, KeyValueError> {
        let written = self.written.notified();
        if self.revision.get() <= after && !wait.is_zero() {
            let _ = tokio::time::timeout(wait, written).await;
        }
        let items = self.items.borrow();
        let mut newer: Vec<&Item> = items
            .values()
            .filter(|item| item.revision > after)
            .collect();
        newer.sort_by_key(|item| item.revision);
        let changes = newer.into_iter().map(|item| match item.value.is_empty() {
            true => Change::Removed {
                key: item.key.clone(),
                revision: item.revision,
            },
            false => Change::Written(item.clone()),
        });
        Ok(WatchOutcome::Changes {
            changes: changes.collect(),
            revision: self.revision.get(),
        })
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Err(KeyValueError::Refused)
    }
}

struct TestInterpreter;

impl Interpreter for TestInterpreter {
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update {
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
        match (key, text) {
            (ROUTES_KEY, Some(_)) => Update::Routes(route_table()),
            (STORES_KEY, Some(addresses)) => Update::Stores(store_groups(addresses)),
            (ROUTES_KEY | STORES_KEY, None) => Update::Ignored,
            (id, value) => Update::Replica {
                id: Text::from(id),
                record: value.map(replica_record),
            },
        }
    }

    fn prefix(&self) -> &str {
        ""
    }

    fn routes_key(&self) -> &str {
        ROUTES_KEY
    }

    fn stores_key(&self) -> &str {
        STORES_KEY
    }

    fn registration(&self, _: &Member) -> Write {
        unreachable!("no store registers in these tests")
    }

    fn retirement_report(&self, _: &str, _: bool) -> Write {
        unreachable!("no store is retired in these tests")
    }
}

/// Parses a replica's address and version.
fn replica_record(text: &str) -> ReplicaRecord {
    let (address, version) = text.split_once(' ').expect("address and version");
    ReplicaRecord {
        service: Text::from(SERVICE),
        address: Text::from(address),
        zone: Text::from("zone"),
        slots: 4,
        state: ReplicaState::Ready,
        software_version: Text::from(version),
        start: ReplicaStart::default(),
        cold_left: Duration::ZERO,
    }
}

/// Separates the addresses of groups.
const GROUP_SEPARATOR: &str = " | ";

/// Builds groups of the stores at these addresses.
pub fn store_groups(addresses: &str) -> StoreGroups {
    let mut number = 0;
    let groups = addresses.split(GROUP_SEPARATOR.trim()).map(|addresses| {
        let members = Members::default();
        addresses
            .split_whitespace()
            .fold(members, |members, address| {
                let node = Text::from(format!("store-{number}"));
                number += 1;
                members.with_member(Member {
                    node,
                    address: Text::from(address),
                    zone: Text::from("zone"),
                    state: MemberState::Active,
                    disk: 0,
                })
            })
    });
    let groups: List<Members> = groups.collect();
    StoreGroups {
        version: number,
        groups,
    }
}

/// Returns a route of streams that may be resumed.
fn stream_route() -> Route {
    Route {
        name: Text::from("stream"),
        host: Text::from("host"),
        path_prefix: Text::from("/stream/"),
        kind: RouteKind::Stream,
        timeout: Duration::from_millis(5_000),
        latency_objective: Duration::from_millis(100),
        priority: 1,
        targets: vec![Target {
            service: Text::from(SERVICE),
            weight: 1,
        }],
        max_attempts: 3,
        stores_history: false,
        retention: Duration::ZERO,
        resumable: true,
        allows_anonymous: false,
        affinity: false,
        homes: None,
    }
}

/// Returns a route of streams that nothing is recorded of.
fn plain_route() -> Route {
    Route {
        name: Text::from("plain"),
        path_prefix: Text::from("/plain/"),
        resumable: false,
        ..stream_route()
    }
}

/// Returns a route whose turns are kept for a time that its path tells in seconds.
fn turn_route(path: &str, seconds: u64) -> Route {
    Route {
        name: Text::from(path),
        path_prefix: Text::from(path),
        stores_history: true,
        retention: Duration::from_secs(seconds),
        resumable: false,
        timeout: TURN_TIMEOUT,
        ..stream_route()
    }
}

/// Returns a table with a resumable route, `/stream/`, one that is not, `/plain/`, and those that
/// keep turns.
fn route_table() -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![
            stream_route(),
            plain_route(),
            turn_route(SHORT_TURNS, SHORT_RETENTION_SECONDS),
            turn_route(LONG_TURNS, LONG_RETENTION_SECONDS),
            Route {
                resumable: true,
                ..turn_route(RESUMABLE_TURNS, LONG_RETENTION_SECONDS)
            },
        ],
        services: vec![ServiceSpec {
            name: Text::from(SERVICE),
            max_connections: 10,
            engine: None,
            cold_start: None,
        }],
        limits: HttpLimits {
            header_bytes: 16_384,
            body_bytes: 1_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: None,
    }
}

/// Real store on the loopback interface.
pub struct Store {
    address: SocketAddr,
    local_store: Rc<LocalStore>,
    /// Whether the disk reports its writes.
    disk_reports: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    folder: TempDir,
}

impl Store {
    async fn start(number: usize) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        Self::start_in(number, folder, true).await
    }

    async fn start_in(number: usize, folder: TempDir, first_start: bool) -> Self {
        let data = DataFolder::open(folder.path()).expect("open");
        let recovered = data.recover(rand::random(), first_start).expect("recover");
        let node = Text::from(format!("store-{number}"));
        // Each batch of records has a segment of its own, so that it expires by itself.
        let limits = StoreLimits::default().with_segment_bytes(1);
        let (local_store, results) =
            LocalStore::open(node, data, recovered, limits).expect("threads");
        let local_store = Rc::new(local_store);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let collector = local_store.clone();
        let serving = stageyoke_store::server::serve(local_store.clone(), listener);
        let (disk_reports, reporting) = watch::channel(true);
        let (reports, reported) = unbounded_channel();
        let tasks = vec![
            tokio::task::spawn_local(serving),
            tokio::task::spawn_local(delay_reports(results, reports, reporting)),
            tokio::task::spawn_local(
                async move { collector.process_journal_results(reported).await },
            ),
        ];
        Self {
            address,
            local_store,
            disk_reports,
            tasks,
            folder,
        }
    }
}

/// Passes on what a disk reports while `reporting` is set.
async fn delay_reports(
    mut results: UnboundedReceiver<Vec<AppendResult>>,
    reports: UnboundedSender<Vec<AppendResult>>,
    mut reporting: watch::Receiver<bool>,
) {
    while let Some(batch) = results.recv().await {
        let _ = reporting.wait_for(|reports| *reports).await;
        let _ = reports.send(batch);
    }
}

/// Path of requests under which a replica of `Replica::start_ending` ends.
pub const DEADLY_PATH: &str = "/stream/deadly";

/// How a replica responds to requests.
#[derive(Clone, Copy)]
struct Script {
    new: &'static str,
    continued: &'static str,
    /// Time from a request to its response.
    service_time: Duration,
    /// What the caller gets before the process ends under a deadly request; `None` if the
    /// process never ends by itself.
    last_words: Option<&'static str>,
}

/// Replica with one scripted response to new streams and one to continued streams. `ID` is
/// replaced by the request's identifier; a trailing `CLOSE` closes the connection.
pub struct Replica {
    address: SocketAddr,
    /// Identifiers of the received requests.
    pub received: Rc<RefCell<Vec<String>>>,
    /// Bodies of the received requests, by their identifiers.
    bodies: Bodies,
    process: Rc<Process>,
}

type Bodies = Rc<RefCell<BTreeMap<String, String>>>;

/// Tasks of a replica, which end together.
#[derive(Default)]
struct Process {
    tasks: RefCell<Vec<JoinHandle<()>>>,
    ended: Cell<bool>,
}

impl Process {
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let task = tokio::task::spawn_local(task);
        self.tasks.borrow_mut().push(task);
    }

    fn end(&self) {
        self.ended.set(true);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

impl Replica {
    /// Starts a replica with these responses to new and to continued streams.
    pub async fn start(new: &'static str, continued: &'static str) -> Self {
        let script = Script {
            new,
            continued,
            service_time: Duration::ZERO,
            last_words: None,
        };
        Self::run(script).await
    }

    /// Starts a replica that streams one event after `service_time` and whose process, with its
    /// listener and all its connections, ends under a request for `DEADLY_PATH`.
    pub async fn start_ending(last_words: &'static str, service_time: Duration) -> Self {
        let script = Script {
            new: STREAM,
            continued: STREAM,
            service_time,
            last_words: Some(last_words),
        };
        Self::run(script).await
    }

    /// Starts a replica that responds after `service_time`.
    pub async fn start_slow(response: &'static str, service_time: Duration) -> Self {
        let script = Script {
            new: response,
            continued: response,
            service_time,
            last_words: None,
        };
        Self::run(script).await
    }

    /// Returns the body of a request that the replica has received.
    pub fn body_of(&self, id: &str) -> Option<String> {
        self.bodies.borrow().get(id).cloned()
    }

    async fn run(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let received: Rc<RefCell<Vec<String>>> = Rc::default();
        let bodies = Bodies::default();
        let process: Rc<Process> = Rc::default();
        let (recorded, running) = (received.clone(), process.clone());
        let recorded_bodies = bodies.clone();
        process.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (recorded, responder) = (recorded.clone(), running.clone());
                let bodies = recorded_bodies.clone();
                running.spawn(respond(stream, script, recorded, bodies, responder));
            }
        });
        Self {
            address,
            received,
            bodies,
            process,
        }
    }

    /// Returns whether the replica has received a request with this identifier.
    pub fn has_received(&self, id: &str) -> bool {
        self.received.borrow().iter().any(|received| received == id)
    }

    /// Ends the process with its listener and all its connections.
    pub fn end(&self) {
        self.process.end();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.process.ended.get()
    }
}

async fn respond(
    mut stream: TcpStream,
    script: Script,
    received: Rc<RefCell<Vec<String>>>,
    bodies: Bodies,
    process: Rc<Process>,
) {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(body) = whole_body(&text) {
            bytes.clear();
            let id = header_value(&text, "id").unwrap_or_default();
            received.borrow_mut().push(id.clone());
            bodies.borrow_mut().insert(id.clone(), body.to_owned());
            let path = text.split(' ').nth(1).unwrap_or_default();
            if let Some(last_words) = script.last_words.filter(|_| path == DEADLY_PATH) {
                let _ = stream
                    .write_all(last_words.replace("ID", &id).as_bytes())
                    .await;
                process.end();
                return;
            }
            tokio::time::sleep(script.service_time).await;
            if path == RESUMABLE_TURNS {
                let response = turn_response(&text);
                let _ = stream.write_all(response.as_bytes()).await;
                return;
            }
            let response = match header_value(&text, "last-event-id") {
                Some(_) => script.continued,
                None => script.new,
            };
            let response = response.replace("ID", &id);
            let closes = response.ends_with("CLOSE");
            let response = response.trim_end_matches("CLOSE");
            if stream.write_all(response.as_bytes()).await.is_err() || closes {
                return;
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns the response to a turn of `RESUMABLE_TURNS`, which ends with its connection.
fn turn_response(request: &str) -> String {
    let number = |name| header_value(request, name).map(|value| value.parse().expect("a number"));
    let id = header_value(request, "id").expect("an identifier");
    let mut response = HEAD.replace("ID", &id);
    let first = number("last-event-id").map_or(1, |last: usize| last + 1);
    let break_after: Option<usize> = number(BREAK_AFTER);
    let last = break_after.unwrap_or(TURN_EVENTS);
    for event in first..=last {
        response.push_str(&chunk(&format!("id: {event}\ndata: {id} says {event}\n\n")));
    }
    if header_value(request, BREAK_INSIDE).is_some() {
        response.push_str(&chunk(&format!("id: {}\ndata: {id} sa", last + 1)));
    }
    if break_after.is_none() {
        response.push_str("0\r\n\r\n");
    }
    response
}

fn chunk(content: &str) -> String {
    format!("{:x}\r\n{content}\r\n", content.len())
}

/// Returns the body of a request once all of it has arrived.
fn whole_body(request: &str) -> Option<&str> {
    let (head, body) = request.split_once("\r\n\r\n")?;
    let length =
        header_value(head, "content-length").map_or(0, |length| length.parse().expect("a length"));
    (body.len() >= length).then_some(body)
}

/// Returns the value of a header of a message.
pub fn header_value(message: &str, name: &str) -> Option<String> {
    let mut lines = message.lines().map(|line| line.split_once(": "));
    let found = lines.find_map(|line| line.filter(|(found, _)| found.eq_ignore_ascii_case(name)));
    found.map(|(_, value)| value.to_owned())
}

/// Stores, replicas and the directory that lists them.
pub struct System {
    /// Key-value service.
    pub directory: Directory,
    /// Replicas with their versions.
    pub replicas: Vec<(&'static str, Replica)>,
    stores: Vec<Store>,
    lost_stores: usize,
}

impl System {
    /// Starts a system whose store group tolerates the loss of `lost_stores`.
    pub async fn start(
        stores: usize,
        lost_stores: usize,
        replicas: Vec<(&'static str, Replica)>,
    ) -> Self {
        let mut system = Self {
            directory: Directory::default(),
            replicas,
            stores: Vec::new(),
            lost_stores,
        };
        for number in 0..stores {
            system.stores.push(Store::start(number).await);
        }
        system.directory.write(ROUTES_KEY, "1");
        system.set_stores(&system.store_addresses().join(" "));
        for (number, (version, replica)) in system.replicas.iter().enumerate() {
            let value = format!("{} {version}", replica.address);
            system.directory.write(&format!("replica-{number}"), &value);
        }
        system
    }

    /// Returns the addresses of all stores.
    pub fn store_addresses(&self) -> Vec<String> {
        let addresses = self.stores.iter().map(|store| store.address.to_string());
        addresses.collect()
    }

    /// Lists the stores at these addresses.
    pub fn set_stores(&self, addresses: &str) {
        self.directory.write(STORES_KEY, addresses);
    }

    /// Lists a replica with another version, under the same identifier and address.
    pub fn set_version(&self, number: usize, version: &str) {
        let value = format!("{} {version}", self.replicas[number].1.address);
        self.directory.write(&format!("replica-{number}"), &value);
    }

    /// Forms a group of all stores, which accept records from then on.
    pub fn form_group(&self) {
        self.form_groups(self.stores.len());
    }

    /// Forms groups of `size` stores each, and lists them.
    pub fn form_groups(&self, size: usize) -> Rc<StoreGroups> {
        let addresses = self.store_addresses();
        let groups = addresses.chunks(size).map(|group| group.join(" "));
        let groups: Vec<String> = groups.collect();
        let listed = groups.join(GROUP_SEPARATOR);
        self.set_stores(&listed);
        let groups = Rc::new(store_groups(&listed));
        for store in &self.stores {
            store.local_store.set_stores(groups.clone());
        }
        groups
    }

    /// Lets all stores expire what they need not retain in this many seconds.
    pub async fn expire_in(&self, seconds: u64) {
        for store in &self.stores {
            let now = store.local_store.clock_seconds();
            store.local_store.expire_segments_at(now + seconds).await;
        }
    }

    /// Returns the body that replicas have received with a request.
    pub fn body_of(&self, id: &str) -> Option<String> {
        let mut replicas = self.replicas.iter();
        replicas.find_map(|(_, replica)| replica.body_of(id))
    }

    /// Lets the disks of all stores report their writes, or not until they may again.
    pub fn set_disks_report(&self, reporting: bool) {
        for store in &self.stores {
            let _ = store.disk_reports.send(reporting);
        }
    }

    /// Returns the number of stores that have received records which are not stored yet.
    pub fn stores_with_unstored_records(&self, records: usize) -> usize {
        let stores = self.stores.iter();
        let waiting = stores.filter(|store| store.local_store.in_flight_records() >= records);
        waiting.count()
    }

    /// Removes a replica from the list.
    pub fn remove(&self, number: usize) {
        self.directory.write(&format!("replica-{number}"), "");
    }

    /// Lets all stores observe which versions are listed, as their processes do.
    pub fn observe_versions(&self) {
        let items = self.directory.items.borrow();
        let listed = items
            .iter()
            .filter(|(key, item)| key.starts_with("replica-") && !item.value.is_empty());
        let versions = listed.map(|(_, item)| {
            let record = replica_record(std::str::from_utf8(&item.value).expect("text"));
            (record.service, record.software_version)
        });
        let versions = versions.collect();
        for store in &self.stores {
            store.local_store.observe_versions(&versions);
        }
    }

    /// Restarts all stores on their disks, at other addresses.
    pub async fn restart_stores(&mut self) {
        // What is being saved is saved by a thread of its own.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut restarted = Vec::new();
        for (number, store) in self.stores.drain(..).enumerate() {
            store.tasks.iter().for_each(JoinHandle::abort);
            restarted.push(Store::start_in(number, store.folder, false).await);
        }
        self.stores = restarted;
        self.set_stores(&self.store_addresses().join(" "));
    }

    /// Replaces all stores by ones with empty disks.
    pub async fn replace_stores(&mut self) {
        for number in 0..self.stores.len() {
            self.stop_store(number);
            let folder = tempfile::tempdir().expect("folder");
            self.stores[number] = Store::start_in(number, folder, false).await;
        }
        self.set_stores(&self.store_addresses().join(" "));
    }

    /// Stops a store for good.
    pub fn stop_store(&mut self, number: usize) {
        for task in &self.stores[number].tasks {
            task.abort();
        }
    }

    /// Returns the number of replicas whose process has ended.
    pub fn ended_replicas(&self) -> usize {
        let replicas = self.replicas.iter();
        replicas.filter(|(_, replica)| replica.has_ended()).count()
    }

    /// Returns the versions of the replicas that have received a request.
    pub fn versions_of(&self, id: &str) -> Vec<&'static str> {
        let replicas = self.replicas.iter();
        let received = replicas.filter(|(_, replica)| replica.has_received(id));
        received.map(|(version, _)| *version).collect()
    }

    /// Starts a front and waits until it is ready.
    pub async fn start_front(&self) -> Front {
        let mirror = Mirror::new(self.directory.clone(), TestInterpreter);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listeners = FrontListeners::open(any, any).await.expect("listeners");
        let address = listeners.callers.local_addr().expect("address");
        let readiness = listeners.readiness.local_addr().expect("address");
        let settings = FrontSettings {
            node: Text::from("front"),
            zone: Text::from("zone"),
            seeds: Vec::new(),
            tolerance: Tolerance::of_machines(self.lost_stores),
            grace: Duration::from_secs(8),
            change_bound: Duration::from_secs(2),
            key_age_limit: None,
            cold_tolerance: None,
            memory_bytes: 10_000_000,
            max_descriptors: None,
            admission_control: false,
            heterogeneous_engines: false,
        };
        let stop = std::future::pending();
        let running = stageyoke_front::run(settings, listeners, names(), mirror, stop);
        let task = tokio::task::spawn_local(async move {
            let _ = running.await;
        });
        let front = Front { address, task };
        let probe = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        while !exchange(readiness, probe).await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        front
    }
}

/// Front in process.
pub struct Front {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Front {
    /// Starts a new stream with this identifier and returns the response.
    pub async fn begin(&self, id: &str) -> String {
        self.send(id, "").await
    }

    /// Continues a stream after its first event and returns the response.
    pub async fn resume(&self, id: &str, began_as: &str) -> String {
        let headers = format!("resumes: {began_as}\r\nlast-event-id: 1\r\n");
        self.send(id, &headers).await
    }

    /// Sends a request with further headers and returns the response.
    pub async fn send(&self, id: &str, headers: &str) -> String {
        self.send_to("/stream/a", id, headers).await
    }

    /// Sends a request to a path with further headers and returns the response.
    pub async fn send_to(&self, path: &str, id: &str, headers: &str) -> String {
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\ndeadline: 3000\r\n{headers}\
             connection: close\r\n\r\n"
        );
        exchange(self.address, &request).await
    }

    /// Sends a turn of a program that goes on from an earlier one, or from none if that is empty.
    pub async fn send_turn(&self, path: &str, id: &str, program: &str, previous: &str) -> String {
        let input = input_of(id);
        self.send_turn_with(path, id, program, previous, &input, "")
            .await
    }

    /// Sends a turn like `send_turn`, with this input and further headers.
    pub async fn send_turn_with(
        &self,
        path: &str,
        id: &str,
        program: &str,
        previous: &str,
        body: &str,
        headers: &str,
    ) -> String {
        let previous = match previous {
            "" => String::new(),
            previous => format!("previous: {previous}\r\n"),
        };
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\ndeadline: {}\r\n\
             program: {program}\r\n{previous}{headers}content-length: {}\r\n\
             connection: close\r\n\r\n{body}",
            TURN_TIMEOUT.as_millis(),
            body.len()
        );
        exchange(self.address, &request).await
    }

    /// Stops the front at once.
    pub fn stop(&self) {
        self.task.abort();
    }
}

/// Returns the input of a turn.
pub fn input_of(id: &str) -> String {
    format!("input of {id}\n")
}

/// Sends a request on a new connection and reads until the connection closes.
async fn exchange(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let _ = stream.write_all(request.as_bytes()).await;
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(READ_TIMEOUT, reading).await;
    String::from_utf8_lossy(&bytes).into_owned()
}
