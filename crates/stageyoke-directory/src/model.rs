//! Model of the configuration: routes, services, replicas and retirements.

use std::time::Duration;

use stageyoke_types::Text;

use crate::regions::HomeRegions;
use crate::tenants::Tenants;

/// Whether and how requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Streams events; repeatable only if the stream can be resumed.
    Stream,
}

/// A destination of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the destination service.
    pub service: Text,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A route, selected by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Text,
    /// Host without port.
    pub host: Text,
    /// Path prefix; the longest match wins.
    pub path_prefix: Text,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time that a request may take.
    pub timeout: Duration,
    /// Latency objective; for streams, of the first byte.
    pub latency_objective: Duration,
    /// Priority of the route's requests; zero is the highest.
    pub priority: u8,
    /// Destinations; at least one.
    pub targets: Vec<Target>,
    /// Maximum number of replicas that one request may run on.
    pub max_attempts: u32,
    /// Whether the history of the route's turns is stored.
    pub stores_history: bool,
    /// How long a turn is stored after its end.
    pub retention: Duration,
    /// Whether a broken stream may continue on another replica.
    pub resumable: bool,
    /// Whether requests need no key even if the configuration has tenants.
    pub allows_anonymous: bool,
    /// Whether a replica serves an object faster after it has recently served that object.
    pub affinity: bool,
    /// Regions in which the route's requests may be served and stored; `None` for all.
    pub homes: Option<HomeRegions>,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// Capacity of a model engine's replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShape {
    /// Requests that one replica runs concurrently.
    pub slots: u32,
    /// Tokens of prompts and answers that fit into one replica's cache.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// How a service's replicas behave for some time after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a replica is cold after a start.
    pub duration: Duration,
    /// Requests per second that a cold replica bears.
    pub requests_per_second: f64,
}

impl ColdStart {
    /// Creates the limit from times and rates of the configuration, in seconds; `None` if the
    /// rate is not limited.
    pub fn new(seconds: f64, requests_per_second: f64) -> Option<Self> {
        (requests_per_second > 0.0).then(|| Self {
            duration: cold_time(seconds),
            requests_per_second,
        })
    }
}

/// Maximum time for which a replica may declare itself cold.
const MAX_COLD_SECONDS: f64 = 60.0;

/// Converts a time that another writer may have chosen at will, in seconds.
pub fn cold_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_COLD_SECONDS))
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Text,
    /// Connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// Engine capacity, if the replicas are model engines.
    pub engine: Option<EngineShape>,
    /// Limit on cold replicas; `None` if they bear the usual load.
    pub cold_start: Option<ColdStart>,
}

/// Limits on callers' HTTP requests and connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub header_timeout: Duration,
    /// Idle timeout of a caller's connection.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration; increases with each one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers' requests.
    pub limits: HttpLimits,
    /// Tenants with their keys; `None` if callers need no key.
    pub tenants: Option<Tenants>,
}

impl RouteTable {
    /// Returns the route for a request: same host, longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.as_str().eq_ignore_ascii_case(host)
                    && path.starts_with(route.path_prefix.as_str())
            })
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }
}

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// Identifies one start of a replica among several under the same identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStart {
    /// Start time in Unix milliseconds, by the replica's clock; `None` from a replica
    /// of an older version.
    pub started_at_ms: Option<u64>,
    /// Number of orders that the replica has received since its start.
    pub orders_received: Option<u64>,
}

impl ReplicaStart {
    /// Returns whether `later` describes the same start. Start times are not ordered,
    /// since the clock may jump either way; orders are counted from zero after each
    /// start.
    pub fn is_continued_by(self, later: Self) -> bool {
        self.started_at_ms == later.started_at_ms
            && (self.orders_received.is_none() || self.orders_received <= later.orders_received)
    }
}

/// A replica's entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Service that the replica belongs to.
    pub service: Text,
    /// Listen address as `IP:PORT`.
    pub address: Text,
    /// Zone of the replica.
    pub zone: Text,
    /// Requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica accepts new requests.
    pub state: ReplicaState,
    /// Version of the replica's software. Versions are not ordered.
    pub software_version: Text,
    /// Start that wrote this entry.
    pub start: ReplicaStart,
    /// Time for which the replica stays cold, counted from when it wrote the entry; zero if
    /// it is warm.
    pub cold_left: Duration,
}

impl ReplicaRecord {
    /// Returns whether `later` is an entry of the same incarnation, so that what is
    /// known about this one still holds.
    pub fn is_continued_by(&self, later: &Self) -> bool {
        let same_listing = self.service == later.service
            && self.address == later.address
            && self.zone == later.zone
            && self.slots == later.slots
            && self.software_version == later.software_version;
        same_listing && self.start.is_continued_by(later.start)
    }
}

/// An operator's order to empty a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// Time within which the store must be empty.
    pub complete_within: Duration,
}
