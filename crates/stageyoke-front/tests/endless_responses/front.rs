//! Front in process that routes to replicas of two services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    HttpLimits, Interpreter, Member, Mirror, ReplicaRecord, ReplicaStart, ReplicaState, Route,
    RouteKind, RouteTable, ServiceSpec, Target, Update, Write,
};
use stageyoke_front::{FrontListeners, FrontSettings};
use stageyoke_types::Text;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::replica::Replica;
use crate::streams::Directory;
use crate::support::names;

/// Service whose replicas are in trouble, and the other one.
pub const TROUBLED: &str = "troubled";
pub const SOUND: &str = "sound";
const ROUTES_KEY: &str = "routes";
const STORES_KEY: &str = "members";
/// Limits how long a failing test can hang.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

struct TestInterpreter;

impl Interpreter for TestInterpreter {
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update {
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
        match (key, text) {
            (ROUTES_KEY, Some(_)) => Update::Routes(route_table()),
            (ROUTES_KEY | STORES_KEY, _) => Update::Ignored,
            (id, text) => Update::Replica {
                id: Text::from(id),
                record: text.and_then(replica_record),
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

/// Parses a replica's service and address.
fn replica_record(text: &str) -> Option<ReplicaRecord> {
    let (service, address) = text.split_once(' ')?;
    Some(ReplicaRecord {
        service: Text::from(service),
        address: Text::from(address),
        zone: Text::from("zone"),
        slots: 4,
        state: ReplicaState::Ready,
        software_version: Text::from("1"),
        start: ReplicaStart::default(),
        cold_left: Duration::ZERO,
    })
}

/// Returns a table with routes to the troubled service, `/safe/` and `/once/`, and one to the
/// sound service, `/sound/`.
fn route_table() -> RouteTable {
    let route = |name: &str, kind, service: &str| Route {
        name: Text::from(name),
        host: Text::from("host"),
        path_prefix: Text::from(format!("/{name}/")),
        kind,
        timeout: Duration::from_secs(3),
        latency_objective: Duration::from_millis(100),
        priority: 1,
        targets: vec![Target {
            service: Text::from(service),
            weight: 1,
        }],
        max_attempts: 3,
        stores_history: false,
        retention: Duration::ZERO,
        resumable: false,
        allows_anonymous: false,
        affinity: false,
        homes: None,
    };
    let service = |name: &str| ServiceSpec {
        name: Text::from(name),
        max_connections: 10,
        engine: None,
        cold_start: None,
    };
    RouteTable {
        version: 1,
        routes: vec![
            route("safe", RouteKind::Repeatable, TROUBLED),
            route("once", RouteKind::Once, TROUBLED),
            route("sound", RouteKind::Once, SOUND),
        ],
        services: vec![service(TROUBLED), service(SOUND)],
        limits: HttpLimits {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: None,
    }
}

/// Response as a caller got it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub took: Duration,
}

/// Front in process.
#[derive(Clone, Copy)]
pub struct Front {
    address: SocketAddr,
}

impl Front {
    /// Starts a front whose machine has this memory, and waits until it is ready.
    pub async fn start(memory_bytes: u64, replicas: &[(&str, &Replica)]) -> Self {
        let directory = Directory::default();
        directory.write(ROUTES_KEY, "1");
        for (number, (service, replica)) in replicas.iter().enumerate() {
            let value = format!("{service} {}", replica.address);
            directory.write(&format!("replica-{number}"), &value);
        }
        let mirror = Mirror::new(directory, TestInterpreter);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listeners = FrontListeners::open(any, any).await.expect("listeners");
        let address = listeners.callers.local_addr().expect("address");
        let readiness = listeners.readiness.local_addr().expect("address");
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
            admission_control: false,
            heterogeneous_engines: false,
        };
        let stop = std::future::pending();
        let running = stageyoke_front::run(settings, listeners, names(), mirror, stop);
        tokio::task::spawn_local(async move {
            let _ = running.await;
        });
        let probe = b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        while exchange(readiness, probe).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { address }
    }

    /// Sends a request without a body.
    pub async fn get(&self, path: &str) -> Answer {
        self.send(path, 2_500, 0).await
    }

    /// Sends a request with a deadline and a body of this size.
    pub async fn send(&self, path: &str, deadline_ms: u64, body_bytes: usize) -> Answer {
        let mut request = format!(
            "POST {path} HTTP/1.1\r\nhost: host\r\nid: r-1\r\ndeadline: {deadline_ms}\r\n\
             content-length: {body_bytes}\r\nconnection: close\r\n\r\n"
        )
        .into_bytes();
        request.resize(request.len() + body_bytes, b'b');
        exchange(self.address, &request).await
    }
}

/// Sends a request on a new connection and reads until the connection closes.
async fn exchange(address: SocketAddr, request: &[u8]) -> Answer {
    let started = Instant::now();
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let _ = stream.write_all(request).await;
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(READ_TIMEOUT, reading).await;
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let body = end.map(|end| bytes.split_off(end + 4)).unwrap_or_default();
    let head = String::from_utf8_lossy(&bytes);
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Answer {
        status: status.unwrap_or(0),
        body,
        took: started.elapsed(),
    }
}
