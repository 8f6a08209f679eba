//! Stand-ins for the operator's platform: key-value service, replicas and callers,
//! following the platform's published protocols.

pub mod answers;
pub mod caller;
pub mod cold_phase;
pub mod endless;
pub mod entry;
pub mod key_value;
pub mod programs;
pub mod replica;
pub mod resumable;
pub mod tenants;

/// Header names, key-value keys and variables of the platform.
pub mod names {
    /// Header with the identifier of one attempt.
    pub const REQUEST_ID: &str = "request-id";
    /// Header with the time that the caller waits, in milliseconds.
    pub const DEADLINE_MS: &str = "deadline-ms";
    /// Header with the signature of the replica that answered.
    pub const SIGNATURE: &str = "response-stamp";
    /// Header with the replica incarnation that a request is addressed to.
    pub const EXPECTED_INSTANCE: &str = "expect-instance";
    /// Header that marks answers to requests that were not executed.
    pub const NOT_EXECUTED: &str = "not-executed";
    /// Header with the prompt tokens and the maximum number of generated tokens.
    pub const TOKEN_COUNTS: &str = "token-count";
    /// Header with the program of a request.
    pub const PROGRAM_ID: &str = "program-id";
    /// Header with the token budget of the program.
    pub const TOKEN_BUDGET: &str = "token-budget";
    /// Header with the stored turn that a request continues.
    pub const PREVIOUS_TURN: &str = "previous-turn";
    /// Header with the attempt that brought the first event of a stream that is taken up.
    pub const RESUMES: &str = "resumes";
    /// Header with the last event that the client has of such a stream.
    pub const LAST_EVENT_ID: &str = "last-event-id";
    /// Header with the delay before a rejected request may be retried, in seconds.
    pub const RETRY_AFTER: &str = "retry-after";
    /// Key-value key of the operator's configuration.
    pub const CONFIG_KEY: &str = "op/config";
    /// Key prefix of the replicas' entries.
    pub const SERVERS_PREFIX: &str = "servers/";
    /// Key prefix of the operator's orders to retire a store.
    pub const RETIRE_PREFIX: &str = "op/retire/";
    /// Key prefix of the operator's orders to send nothing to the replicas of a zone.
    pub const EVACUATE_PREFIX: &str = "op/evacuate/";
    /// Key prefix of the stores' answers to retirement orders.
    pub const RETIRE_STATUS_PREFIX: &str = "status/retire/";
    /// Contract with which new programs are rejected while engines are overloaded.
    pub const OVERLOAD_CONTRACT: &str = "pressure";
    /// Contract of deployments whose engines differ in speed.
    pub const POOL_CONTRACT: &str = "pool";
    /// Environment variable with the path of a process's settings file.
    pub const SETTINGS_VARIABLE: &str = "STAGEYOKE_BOOT";
}

/// Tokens in one event of a model replica's stream.
pub const TOKENS_PER_EVENT: u32 = 9;
/// Requests per second that a cold model replica bears.
pub const COLD_REQUESTS_PER_SECOND: f64 = 20.0;
/// Factor on that rate up to which a cold replica may get requests.
pub const COLD_FACTOR: f64 = 1.5;
/// Requests per second beyond that.
pub const COLD_SLACK: f64 = 5.0;
/// Time for which a model replica is cold after a start.
pub const COLD_TIME: std::time::Duration = std::time::Duration::from_millis(4500);
/// Retention time of a stored turn after its answer, in seconds.
pub const RETENTION_SECONDS: u64 = 60;
/// Host name of all routes.
pub const HOST: &str = "lab.example";
/// Path of the route whose turns are stored.
pub const STORED_TURN_PATH: &str = "/kept/turn";
/// Path of the route whose streams may be resumed.
pub const RESUMABLE_PATH: &str = "/resumable/turn";
/// Path of the tool whose calls may be retried.
pub const IDEMPOTENT_TOOL_PATH: &str = "/safe/read";
/// Path of the tool whose calls must run at most once.
pub const NON_IDEMPOTENT_TOOL_PATH: &str = "/once/write";

/// Path of the stored turns of advisories in the open-loop load.
pub const ADVISORY_PATH: &str = "/advisory/turn";
/// Path of the turns of queries, whose transcript the caller sends.
pub const QUERY_PATH: &str = "/query/turn";
/// Paths of the tools.
pub const READ_PATH: &str = "/station/read";
/// Path of bulletins.
pub const BULLETIN_PATH: &str = "/bulletin/pull";
/// Path of map tiles.
pub const TILE_PATH: &str = "/tile/draw";

/// Path of a route that exists only in this version of the configuration.
pub fn version_path(version: u64) -> String {
    format!("/version-{version}/read")
}

/// Builds a version of the operator's configuration.
pub fn configuration(version: u64) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str, is_stored: bool| {
        serde_json::json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 4000, "SloMs": 200, "Priority": 1, "Service": service,
            "MaxAttempts": if kind == "safe" { 3 } else { 1 },
            "RetainContext": is_stored, "RetentionS": RETENTION_SECONDS as f64,
            "CanResume": name == "resumable",
        })
    };
    serde_json::json!({
        "Version": version,
        "Routes": [
            route("kept", "stream", "models", true),
            route("resumable", "stream", "models", false),
            route("safe", "safe", "tools", false),
            route("once", "unsafe", "tools", false),
            route(&format!("version-{version}"), "safe", "tools", false),
        ],
        "Services": [
            {"Name": "models", "HealthPath": "/health", "MaxConns": 160,
             "ColdS": COLD_TIME.as_secs_f64(), "ColdPerS": COLD_REQUESTS_PER_SECOND,
             "Engine": {"Slots": 12, "KvCapacityTokens": 100_000, "EventTokens": TOKENS_PER_EVENT}},
            {"Name": "tools", "HealthPath": "/health", "MaxConns": 110},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4_194_304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    })
}

/// Routes of the open-loop load.
fn program_routes() -> Vec<serde_json::Value> {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, priority: u8| {
        serde_json::json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": timeout_ms, "SloMs": 200, "Priority": priority, "Service": service,
            "MaxAttempts": if kind == "safe" { 3 } else { 1 },
            "RetainContext": name == "advisory", "RetentionS": RETENTION_SECONDS as f64,
            "CanResume": false,
        })
    };
    vec![
        route("advisory", "stream", "models", 4000, 1),
        route("query", "stream", "models", 4000, 0),
        route("station", "safe", "tools", 1200, 2),
        route("bulletin", "unsafe", "tools", 3000, 2),
        route("tile", "unsafe", "tools", 2000, 2),
    ]
}

/// Increases the size of a configuration with routes that match no request.
pub fn add_routes(configuration: &mut serde_json::Value, count: usize) {
    let Some(routes) = configuration["Routes"].as_array_mut() else {
        return;
    };
    let template = routes.last().cloned().unwrap_or_default();
    for number in 0..count {
        let mut route = template.clone();
        route["Name"] = format!("added-{number}").into();
        route["PathPrefix"] = format!("/added-{number}/").into();
        routes.push(route);
    }
}

/// Status in the answer to a retirement order once the store has left.
pub const RETIREMENT_COMPLETED: &str = "completed";

/// Encodes the operator's order to retire a store within a time limit.
pub fn retirement_order(time_limit: std::time::Duration) -> Vec<u8> {
    let order = serde_json::json!({"WithinS": time_limit.as_secs_f64()});
    order.to_string().into_bytes()
}
