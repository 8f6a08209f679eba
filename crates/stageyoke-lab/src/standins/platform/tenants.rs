//! Operator configuration with tenants, their API keys and rate limits.

use serde_json::{Value, json};

use super::configuration;

/// API key of the callers that run programs, without a rate limit.
pub const CALLERS_KEY: &str = "callers-key";
/// API key of a tenant that stays far below its rate limit.
pub const STEADY_KEY: &str = "steady-key";
/// API key of a tenant that exceeds its rate limit.
pub const HOT_KEY: &str = "hot-key";
/// Rate (requests per second) and burst of the steady tenant. High enough that each
/// front of the largest runs has a share when no store can count the tenant's requests.
const STEADY_LIMIT: f64 = 400.0;
/// Rate limit of the hot tenant, in requests per second.
pub const HOT_RATE: f64 = 5.0;
/// Burst of the hot tenant, in requests.
pub const HOT_BURST: f64 = 5.0;

/// API key that exists only in this version of the configuration.
pub fn guest_key(version: u64) -> String {
    format!("guest-key-{version}")
}

/// Builds a version of the operator's configuration with tenants.
pub fn configuration_with_tenants(version: u64) -> Value {
    let tenant = |name: &str, key: &str, rate: f64, burst: f64| json!({"Name": name, "ApiKeys": [key], "RatePerS": rate, "Burst": burst});
    let mut configuration = configuration(version);
    configuration["Tenants"] = json!([
        tenant("callers", CALLERS_KEY, 0.0, 0.0),
        tenant("steady", STEADY_KEY, STEADY_LIMIT, STEADY_LIMIT),
        tenant("hot", HOT_KEY, HOT_RATE, HOT_BURST),
        tenant("guest", &guest_key(version), 0.0, 0.0),
    ]);
    configuration
}
