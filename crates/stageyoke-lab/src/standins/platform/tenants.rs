//! Tenants of the operator's configuration, with their keys and limits.

use serde_json::{Value, json};

use super::configuration;

/// Key of the callers of programs, who have no limit.
pub const CALLERS_KEY: &str = "callers-key";
/// Key of a tenant that stays far under its limit.
pub const STEADY_KEY: &str = "steady-key";
/// Key of a tenant that asks for more than its limit.
pub const HOT_KEY: &str = "hot-key";
/// Requests a second, and at once, of the steady tenant: some for each front of the
/// largest runs also where no store counts for it.
const STEADY_LIMIT: f64 = 400.0;
/// Requests a second of the hot tenant.
pub const HOT_RATE: f64 = 5.0;
/// Requests of the hot tenant beyond that.
pub const HOT_BURST: f64 = 5.0;

/// Key that only this version of the configuration has.
pub fn guest_key(version: u64) -> String {
    format!("guest-key-{version}")
}

/// The operator's configuration with tenants.
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
