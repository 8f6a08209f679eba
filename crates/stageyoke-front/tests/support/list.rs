//! One service behind one route, for tests of the replica list.

use std::time::Duration;

use stageyoke_directory::{
    Limits, ReplicaRecord, ReplicaStart, ReplicaState, Route, RouteKind, RouteTable, ServiceSpec,
    Target,
};
use stageyoke_types::Text;

/// Name of the service.
pub const SERVICE: &str = "service";

/// A ready replica of the service at this address.
pub fn record(address: &str) -> ReplicaRecord {
    ReplicaRecord {
        service: Text::from(SERVICE),
        address: Text::from(address),
        zone: Text::from("zone"),
        slots: 4,
        state: ReplicaState::Ready,
        start: ReplicaStart::default(),
    }
}

/// Requests to `/safe/` go to the service, and may be repeated.
pub fn table() -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![Route {
            name: Text::from("safe"),
            host: Text::from("host"),
            path_prefix: Text::from("/safe/"),
            kind: RouteKind::Repeatable,
            timeout: Duration::from_millis(1500),
            objective: Duration::from_millis(100),
            priority: 1,
            targets: vec![Target {
                service: Text::from(SERVICE),
                weight: 1,
            }],
            max_attempts: 3,
            keeps_history: false,
            retention: Duration::ZERO,
            resumable: false,
            keyless: false,
            affinity: false,
        }],
        services: vec![ServiceSpec {
            name: Text::from(SERVICE),
            max_connections: 10,
            engine: None,
        }],
        limits: Limits {
            header_bytes: 16_384,
            body_bytes: 1_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: None,
    }
}
