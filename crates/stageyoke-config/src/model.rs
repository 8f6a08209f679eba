//! The validated configuration. A value of these types has passed every check:
//! references resolve, names are unique, numbers are within their bounds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stageyoke_core::coordinator::QueueOrder;
use stageyoke_core::gateway::PlacementPolicy;
use stageyoke_core::program::Limits;

/// Limits towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request body, bytes.
    pub body_bytes: u64,
    /// Longest request header, bytes.
    pub header_bytes: u64,
    /// Longest message, bytes.
    pub message_bytes: u64,
    /// Longest time to send a request, s.
    pub request_seconds: u64,
    /// Longest time to leave a stream unread, s.
    pub stall_seconds: u64,
}

/// Order of service and placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Order of service.
    pub queue: QueueOrder,
    /// Choice of an engine.
    pub placement: PlacementPolicy,
    /// Waiting time worth one class, s.
    pub ageing_seconds: u64,
    /// Calls that may wait for one engine.
    pub queue_limit: u64,
}

/// Who may call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Hashes of its keys.
    pub key_hashes: Vec<String>,
    /// Program kinds it may use; empty for all.
    pub programs: Vec<String>,
    /// Requests it may have under way at one node.
    pub streams: u64,
    /// Weight among tenants.
    pub weight: u64,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Longest prompt and answer, tokens.
    pub context_tokens: u64,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Name.
    pub name: String,
    /// Model it serves.
    pub model: String,
    /// Address.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Calls it is given at once.
    pub slots: u64,
    /// Size of its cache in tokens, if known.
    pub cache_tokens: u64,
    /// It gets no new work.
    pub leaving: bool,
}

/// A kind of agent program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramKind {
    /// Name.
    pub name: String,
    /// Name of its class.
    pub class: String,
    /// Urgency of its class, 0 the most urgent.
    pub priority: u8,
    /// Model.
    pub model: String,
    /// May unkeyed calls run again?
    pub repeatable: bool,
    /// Tool services.
    pub tools: Vec<String>,
    /// Budgets and times.
    pub limits: Limits,
    /// Time within which a call is answered, s.
    pub deadline_seconds: u64,
    /// Default of most tokens generated.
    pub max_tokens: u32,
}

/// A tool service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tool {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Time after which a call counts as hung, s.
    pub deadline_seconds: u64,
}

/// Application replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Addresses.
    pub addresses: Vec<SocketAddr>,
}

/// A path passed through to application replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Path prefix.
    pub prefix: String,
    /// Pool.
    pub pool: String,
    /// Pool that served it before.
    pub legacy_pool: Option<String>,
    /// Share of the legacy pool, of 100; 0 once signed off.
    pub legacy_percent: u64,
    /// The cut-over is signed off.
    pub signed_off: bool,
    /// Time within which a replica must begin to answer, s.
    pub deadline_seconds: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Name of the deployment.
    pub name: String,
    /// Limits towards callers.
    pub limits: CallerLimits,
    /// Policies.
    pub policy: Policy,
    /// Classes: urgency by name.
    pub classes: BTreeMap<String, u8>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Models.
    pub models: Vec<Model>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Program kinds.
    pub programs: Vec<ProgramKind>,
    /// Tool services.
    pub tools: Vec<Tool>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Routes, longest prefix first.
    pub routes: Vec<Route>,
}

/// Prefix of a key hash.
pub const KEY_HASH_PREFIX: &str = "b3:";

/// The hash under which a tenant's key stands in the configuration.
pub fn hash_key(key: &str) -> String {
    format!("{KEY_HASH_PREFIX}{}", blake3::hash(key.as_bytes()).to_hex())
}

impl Configuration {
    /// The tenant that holds a key.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Tenant> {
        let hash = hash_key(key);
        self.tenants
            .iter()
            .find(|tenant| tenant.key_hashes.contains(&hash))
    }

    /// A program kind that a tenant may use.
    pub fn program_for(&self, tenant: &Tenant, name: &str) -> Option<&ProgramKind> {
        let allowed =
            tenant.programs.is_empty() || tenant.programs.iter().any(|known| known == name);
        let mut kinds = self.programs.iter().filter(|_| allowed);
        kinds.find(|kind| kind.name == name)
    }

    /// The route of a path.
    pub fn route_for_path(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| {
            let rest = path.strip_prefix(route.prefix.trim_end_matches('/'));
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
        })
    }

    /// A pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
