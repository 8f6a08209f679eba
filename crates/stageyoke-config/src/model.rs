//! The validated configuration. A value of these types has passed every check:
//! references resolve, names are unique, numbers are within their bounds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stageyoke_core::coordinator::QueueOrder;
use stageyoke_core::gateway::PlacementPolicy;
use stageyoke_core::program::Limits;

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum size of the request headers in bytes.
    pub header_bytes: u64,
    /// Maximum size of a single message of a call in bytes.
    pub message_bytes: u64,
    /// Timeout for receiving a whole request, in seconds.
    pub request_seconds: u64,
    /// Time after which a stream that the caller does not read is closed, in seconds.
    pub stall_seconds: u64,
}

/// Scheduling of calls: the order of a queue and the choice of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Order in which queued calls get an engine's slots.
    pub queue: QueueOrder,
    /// How the engine of a call is chosen.
    pub placement: PlacementPolicy,
    /// Queueing time after which a call counts as one class more urgent, in seconds.
    pub ageing_seconds: u64,
    /// Maximum number of calls queued for one engine.
    pub queue_limit: u64,
}

/// A caller account with its keys and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Hashes of its keys, as [`hash_key`] returns them.
    pub key_hashes: Vec<String>,
    /// Names of the program kinds it may use; empty for all.
    pub programs: Vec<String>,
    /// Maximum number of its requests in flight at one node.
    pub streams: u64,
    /// Share relative to other tenants of the same class.
    pub weight: u64,
}

/// A language model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Unique name.
    pub name: String,
    /// Context window: maximum length of prompt and answer together, in tokens.
    pub context_tokens: u64,
}

/// A replica of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Unique name.
    pub name: String,
    /// Name of the model it serves.
    pub model: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone it runs in.
    pub zone: String,
    /// Maximum number of calls it runs at the same time.
    pub slots: u64,
    /// Size of its prefix cache in tokens; 0 if unknown.
    pub cache_tokens: u64,
    /// True if the engine is being drained and gets no new calls.
    pub leaving: bool,
}

/// A kind of agent program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramKind {
    /// Unique name.
    pub name: String,
    /// Name of its priority class.
    pub class: String,
    /// Priority of its class; 0 is the most urgent.
    pub priority: u8,
    /// Name of the model that serves its calls.
    pub model: String,
    /// True if a call without an idempotency key may be retried after it may have run.
    pub repeatable: bool,
    /// Names of the tool services that its programs call.
    pub tools: Vec<String>,
    /// Budgets, timeouts and limits on sub-agents.
    pub limits: Limits,
    /// Deadline of a call in seconds.
    pub deadline_seconds: u64,
    /// Limit on generated tokens for calls that set none.
    pub max_tokens: u32,
}

/// A tool service that programs call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tool {
    /// Unique name.
    pub name: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// Time after which a tool call counts as hung, in seconds.
    pub deadline_seconds: u64,
}

/// A pool of application replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// Address of each replica.
    pub addresses: Vec<SocketAddr>,
}

/// A path prefix whose requests are proxied to application replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Path prefix, starting with a slash.
    pub prefix: String,
    /// Name of the pool that serves the requests.
    pub pool: String,
    /// Name of the pool that served the requests before the cut-over.
    pub legacy_pool: Option<String>,
    /// Percentage of requests sent to the legacy pool; 0 once signed off.
    pub legacy_percent: u64,
    /// True once the cut-over is signed off and the legacy pool gets no requests.
    pub signed_off: bool,
    /// Time within which a replica must start to answer, in seconds.
    pub deadline_seconds: u64,
}

/// The validated contents of a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Name of the deployment.
    pub name: String,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Queueing and placement of calls.
    pub policy: Policy,
    /// Priority of each class by its name; 0 is the most urgent.
    pub classes: BTreeMap<String, u8>,
    /// Callers' accounts.
    pub tenants: Vec<Tenant>,
    /// Models that engines serve.
    pub models: Vec<Model>,
    /// Replicas of model engines.
    pub engines: Vec<Engine>,
    /// Kinds of agent programs.
    pub programs: Vec<ProgramKind>,
    /// Tool services that programs call.
    pub tools: Vec<Tool>,
    /// Pools of application replicas.
    pub pools: Vec<Pool>,
    /// Routes, longest prefix first.
    pub routes: Vec<Route>,
}

/// Prefix of a key hash; it names the hash function, BLAKE3.
pub const KEY_HASH_PREFIX: &str = "b3:";

/// Returns the hash by which the configuration refers to a tenant's key.
pub fn hash_key(key: &str) -> String {
    format!("{KEY_HASH_PREFIX}{}", blake3::hash(key.as_bytes()).to_hex())
}

impl Configuration {
    /// Returns the tenant that owns a key, given in clear text.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Tenant> {
        let hash = hash_key(key);
        self.tenants
            .iter()
            .find(|tenant| tenant.key_hashes.contains(&hash))
    }

    /// Returns the program kind of this name if the tenant may use it.
    pub fn program_for(&self, tenant: &Tenant, name: &str) -> Option<&ProgramKind> {
        let allowed =
            tenant.programs.is_empty() || tenant.programs.iter().any(|permitted| permitted == name);
        let mut kinds = self.programs.iter().filter(|_| allowed);
        kinds.find(|kind| kind.name == name)
    }

    /// Returns the route with the longest prefix of whole segments of the path.
    pub fn route_for_path(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| {
            let suffix = path.strip_prefix(route.prefix.trim_end_matches('/'));
            suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with(['/', '?']))
        })
    }

    /// Returns the pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
