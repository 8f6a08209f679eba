//! Interpreter shared by the mirror tests.

use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    HttpLimits, Interpreter, Member, ReplicaRecord, ReplicaStart, ReplicaState, RouteTable, Update,
    Write,
};
use stageyoke_types::Text;

/// Value on which the interpreter panics.
pub const FAULTY: &str = "faulty";

/// Parses `replica/ID` and `routes/all`, whose value is the version.
pub struct TestInterpreter;

impl Interpreter for TestInterpreter {
    fn interpret(&self, key: &str, value: Option<&Bytes>) -> Update {
        let text = value.and_then(|value| std::str::from_utf8(value).ok());
        assert_ne!(text, Some(FAULTY), "an interpreter with a fault");
        match (key.split_once('/'), text) {
            (Some(("replica", id)), text) => Update::Replica {
                id: Text::from(id),
                record: text.map(record),
            },
            (Some(("routes", _)), Some(version)) => match version.parse() {
                Ok(version) => Update::Routes(table(version)),
                Err(_) => Update::Unreadable("version".to_owned()),
            },
            _ => Update::Ignored,
        }
    }
    fn prefix(&self) -> &str {
        ""
    }
    fn routes_key(&self) -> &str {
        "routes/all"
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

fn record(service: &str) -> ReplicaRecord {
    ReplicaRecord {
        service: Text::from(service),
        address: Text::from("127.0.0.1:1"),
        zone: Text::from("zone"),
        slots: 1,
        state: ReplicaState::Ready,
        software_version: Text::from("1"),
        start: ReplicaStart::default(),
        cold_left: Duration::ZERO,
    }
}

fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: HttpLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        tenants: None,
    }
}
