//! Stand-ins for the operator's platform: its key-value service, its replicas
//! and its callers, as its pages describe them.

pub mod caller;
pub mod replica;
pub mod store;
pub mod tenants;

/// Header names of the platform.
pub mod names {
    /// Identifier of one try.
    pub const REQUEST_ID: &str = "request-id";
    /// Milliseconds that the caller waits.
    pub const DEADLINE_MS: &str = "deadline-ms";
    /// Signature of a replica's answer.
    pub const SIGNATURE: &str = "response-stamp";
    /// Incarnation that a request is meant for.
    pub const EXPECTED_INSTANCE: &str = "expect-instance";
    /// Marks answers to requests that were not run.
    pub const NOT_EXECUTED: &str = "not-executed";
    /// Prompt tokens and most tokens to generate.
    pub const TOKEN_COUNTS: &str = "token-count";
    /// Program of a request.
    pub const PROGRAM_ID: &str = "program-id";
    /// Tokens of the whole program.
    pub const TOKEN_BUDGET: &str = "token-budget";
    /// Turn that a request goes on from.
    pub const PREVIOUS_TURN: &str = "previous-turn";
    /// When a refused request may come back, in seconds.
    pub const RETRY_AFTER: &str = "retry-after";
    /// Key of the operator's configuration.
    pub const CONFIG_KEY: &str = "op/config";
    /// Prefix of the replicas' entries.
    pub const SERVERS_PREFIX: &str = "servers/";
    /// Prefix of the operator's orders to empty a store.
    pub const RETIRE_PREFIX: &str = "op/retire/";
    /// Prefix of the answers to these orders.
    pub const RETIRE_STATUS_PREFIX: &str = "status/retire/";
    /// Variable that names a process's settings file.
    pub const SETTINGS_VARIABLE: &str = "STAGEYOKE_BOOT";
}

/// Tokens in one event of the model replicas.
pub const TOKENS_PER_EVENT: u32 = 9;
/// How long a turn is kept after its answer, in seconds.
pub const RETENTION_SECONDS: u64 = 60;
/// Host of all routes.
pub const HOST: &str = "lab.example";
/// Path of the turns whose history is kept.
pub const STORED_TURN_PATH: &str = "/kept/turn";
/// Path of the tool that may be repeated.
pub const IDEMPOTENT_TOOL_PATH: &str = "/safe/read";
/// Path of the tool that may not.
pub const NON_IDEMPOTENT_TOOL_PATH: &str = "/once/write";

/// Path of a route that only this version of the configuration has.
pub fn version_path(version: u64) -> String {
    format!("/version-{version}/read")
}

/// The operator's configuration.
pub fn configuration(version: u64) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str, kept: bool| {
        serde_json::json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 4000, "SloMs": 200, "Priority": 1, "Service": service,
            "MaxAttempts": if kind == "safe" { 3 } else { 1 },
            "RetainContext": kept, "RetentionS": RETENTION_SECONDS as f64, "CanResume": false,
        })
    };
    serde_json::json!({
        "Version": version,
        "Routes": [
            route("kept", "stream", "models", true),
            route("safe", "safe", "tools", false),
            route("once", "unsafe", "tools", false),
            route(&format!("version-{version}"), "safe", "tools", false),
        ],
        "Services": [
            {"Name": "models", "HealthPath": "/health", "MaxConns": 160,
             "Engine": {"Slots": 12, "KvCapacityTokens": 100_000, "EventTokens": TOKENS_PER_EVENT}},
            {"Name": "tools", "HealthPath": "/health", "MaxConns": 110},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4_194_304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    })
}

/// What the answer to an order to empty a store says once the store has left.
pub const RETIREMENT_COMPLETED: &str = "completed";

/// The operator's order to empty a store within a time.
pub fn retirement_order(within: std::time::Duration) -> Vec<u8> {
    let order = serde_json::json!({"WithinS": within.as_secs_f64()});
    order.to_string().into_bytes()
}
