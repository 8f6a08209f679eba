//! Operator configuration with tenants, their API keys and rate limits.

use serde_json::{Value, json};

use super::programs::TENANTS;
use super::{configuration, program_routes};

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

/// Rate limit of each tenant of the open-loop load, far above what it sends, in requests per
/// second.
const PROGRAM_TENANT_RATE: f64 = 2000.0;

/// API key of a tenant of the open-loop load.
pub fn tenant_key(tenant: usize) -> String {
    format!("tenant-key-{tenant}")
}

/// Builds a version of the configuration for the open-loop load: two kinds of program, three
/// kinds of tool and many tenants, besides those that the probes use.
pub fn configuration_for_programs(version: u64) -> Value {
    let mut configuration = configuration_with_tenants(version);
    if let Some(tenants) = configuration["Tenants"].as_array_mut() {
        tenants.extend((0..TENANTS).map(|tenant| {
            json!({"Name": format!("tenant-{tenant}"), "ApiKeys": [tenant_key(tenant)],
                   "RatePerS": PROGRAM_TENANT_RATE, "Burst": PROGRAM_TENANT_RATE})
        }));
    }
    if let Some(routes) = configuration["Routes"].as_array_mut() {
        routes.extend(program_routes());
    }
    let engine = &mut configuration["Services"][0]["Engine"];
    engine["Slots"] = json!(8);
    engine["KvCapacityTokens"] = json!(43_874);
    configuration
}
