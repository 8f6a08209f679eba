//! Routes, services and replicas, as the product understands them.

use std::time::Duration;

use stageyoke_types::Text;

use crate::tenants::Tenants;

/// Whether and how a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream of events; repeatable only where it can be resumed.
    Stream,
}

/// One destination of a route with its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: Text,
    /// Share relative to the route's other targets.
    pub weight: u32,
}

/// One route: a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Text,
    /// Host, without port.
    pub host: Text,
    /// Prefix of the path; the longest that fits wins.
    pub path_prefix: Text,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// Latency objective, to the first byte of streams.
    pub latency_objective: Duration,
    /// Rank; zero is the highest.
    pub priority: u8,
    /// Destinations; one or more.
    pub targets: Vec<Target>,
    /// Largest number of replicas that one request may run on.
    pub max_attempts: u32,
    /// Whether the history of the route's turns is kept.
    pub stores_history: bool,
    /// How long a turn is kept after its end.
    pub retention: Duration,
    /// Whether a broken stream may continue at another replica.
    pub resumable: bool,
    /// Whether requests need no key even where the configuration has tenants.
    pub allows_anonymous: bool,
    /// Whether a replica serves an object faster that it has seen lately.
    pub affinity: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// The shape of a model engine behind a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShape {
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Tokens of prompts and answers that one replica holds.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// One service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Text,
    /// Connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// Present where replicas are model engines.
    pub engine: Option<EngineShape>,
}

/// What a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may rest.
    pub idle_timeout: Duration,
}

/// One complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Rises with each configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Limits towards callers.
    pub limits: HttpLimits,
    /// Who may call; none where callers need no key.
    pub tenants: Option<Tenants>,
}

impl RouteTable {
    /// The route of a request: same host, longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.as_str().eq_ignore_ascii_case(host)
                    && path.starts_with(route.path_prefix.as_str())
            })
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }
}

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Takes work.
    Ready,
    /// Finishes what it has; gets nothing new.
    Draining,
}

/// What tells one start of a replica from another under the same identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStart {
    /// When it started, in Unix milliseconds by its own clock; none from a replica of
    /// an older version.
    pub started_at_ms: Option<u64>,
    /// Orders that it has taken since.
    pub orders_received: Option<u64>,
}

impl ReplicaStart {
    /// Whether something said later is of the same start. The clock may have jumped
    /// either way in between; orders are counted anew from each start.
    pub fn is_continued_by(self, later: Self) -> bool {
        self.started_at_ms == later.started_at_ms
            && (self.orders_received.is_none() || self.orders_received <= later.orders_received)
    }
}

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Service that it belongs to.
    pub service: Text,
    /// `IP:PORT`.
    pub address: Text,
    /// Zone that it is in.
    pub zone: Text,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ReplicaState,
    /// Which of its starts says so.
    pub start: ReplicaStart,
}

impl ReplicaRecord {
    /// Whether a later record is of the same incarnation: what was believed of this
    /// one holds for it.
    pub fn is_continued_by(&self, later: &Self) -> bool {
        let same_place = self.service == later.service
            && self.address == later.address
            && self.zone == later.zone
            && self.slots == later.slots;
        same_place && self.start.is_continued_by(later.start)
    }
}

/// The operator's order to empty a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// Time within which it must be done.
    pub complete_within: Duration,
}
