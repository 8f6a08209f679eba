//! Route table with one service, and an interpreter of its directory items, for tests of
//! the replica list.

use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    HttpLimits, Interpreter, Member, ReplicaRecord, ReplicaStart, ReplicaState, Route, RouteKind,
    RouteTable, ServiceSpec, Target, Update, Write,
};
use stageyoke_types::Text;

/// Name of the service.
pub const SERVICE: &str = "service";

/// Returns the record of a ready replica at the address.
fn replica_record(address: &str) -> ReplicaRecord {
    ReplicaRecord {
        service: Text::from(SERVICE),
        address: Text::from(address),
        zone: Text::from("zone"),
        slots: 4,
        state: ReplicaState::Ready,
        software_version: Text::from("1"),
        start: ReplicaStart::default(),
        cold_left: Duration::ZERO,
    }
}

/// Returns a route table with one repeatable route, `/safe/`, to the service.
fn route_table() -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![Route {
            name: Text::from("safe"),
            host: Text::from("host"),
            path_prefix: Text::from("/safe/"),
            kind: RouteKind::Repeatable,
            timeout: Duration::from_millis(1500),
            latency_objective: Duration::from_millis(100),
            priority: 1,
            targets: vec![Target {
                service: Text::from(SERVICE),
                weight: 1,
            }],
            max_attempts: 3,
            stores_history: false,
            retention: Duration::ZERO,
            resumable: false,
            allows_anonymous: false,
            affinity: false,
            homes: None,
        }],
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

/// Interprets `routes`, and takes any other key as a replica whose value is its address.
pub struct TestInterpreter;

impl Interpreter for TestInterpreter {
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update {
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
        match (key, text) {
            ("routes", Some(_)) => Update::Routes(route_table()),
            ("routes", None) => Update::Ignored,
            (id, address) => Update::Replica {
                id: Text::from(id),
                record: address.map(replica_record),
            },
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
    fn registration(&self, _: &Member) -> Write {
        unreachable!("no store registers in these tests")
    }
    fn retirement_report(&self, _: &str, _: bool) -> Write {
        unreachable!("no store is retired in these tests")
    }
}
