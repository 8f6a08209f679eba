//! Warnings about tenants without keys, with a shared key or without a rate limit.

use std::time::Duration;

use stageyoke_directory::{HttpLimits, KeyDigest, RateLimit, RouteTable, Tenant, Tenants};
use stageyoke_front::tenant_warnings::TenantWarnings;
use stageyoke_types::{Event, Text};

/// Builds a route table from each tenant's name, keys and requests per second (zero: no
/// limit).
fn table(version: u64, entries: &[(&str, &[&str], u32)]) -> RouteTable {
    let mut tenants = Tenants::default();
    for (name, keys, per_second) in entries {
        let limit = (*per_second > 0).then(|| RateLimit {
            per_second: f64::from(*per_second),
            burst: 0.0,
        });
        let tenant = Tenant {
            name: Text::from(*name),
            priority: None,
            rate_limit: limit,
            homes: None,
        };
        let digests = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        tenants.add(tenant, digests);
    }
    RouteTable {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: HttpLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        tenants: Some(tenants),
    }
}

#[test]
fn a_valid_configuration_gives_no_warnings() {
    let warnings = TenantWarnings::default();
    let found = warnings.update(&table(1, &[("ann", &["k-1"], 10), ("bob", &["k-2"], 20)]));
    assert_eq!(found, []);
}

#[test]
fn shared_keys_missing_keys_and_missing_limits_give_warnings() {
    let warnings = TenantWarnings::default();
    let entries: &[(&str, &[&str], u32)] = &[
        ("ann", &["k-1"], 0),
        ("bob", &["k-1", "k-2"], 20),
        ("eve", &[], 20),
    ];
    let found = warnings.update(&table(7, entries));
    let contested = "version=7 count=1 tenants=bob".to_owned();
    let missing = "version=7 without_keys_count=1 without_keys_tenants=eve \
                   without_limit_count=1 without_limit_tenants=ann"
        .to_owned();
    let expected = [
        (Event::KeyContested, contested),
        (Event::TenantsUnusual, missing),
    ];
    assert_eq!(found, expected);
    let keys_shown = found.iter().any(|(_, detail)| detail.contains("k-"));
    assert!(!keys_shown, "warnings must not reveal keys");
}

/// Frequent configuration changes must not repeat the same warning.
#[test]
fn a_warning_repeats_only_when_its_content_changes() {
    let warnings = TenantWarnings::default();
    let without_keys = |version| table(version, &[("ann", &[], 10)]);
    assert_eq!(warnings.update(&without_keys(1)).len(), 1);
    assert_eq!(warnings.update(&without_keys(2)), []);
    assert_eq!(warnings.update(&table(3, &[("ann", &["k-1"], 10)])), []);
    assert_eq!(warnings.update(&without_keys(4)).len(), 1);
}

/// A warning lists only a few tenants and their total number.
#[test]
fn the_length_of_a_warning_is_bounded() {
    let names: Vec<String> = (0..1000).map(|number| format!("tenant-{number}")).collect();
    let entries: Vec<(&str, &[&str], u32)> = names
        .iter()
        .map(|name| (name.as_str(), &[][..], 0))
        .collect();
    let found = TenantWarnings::default().update(&table(1, &entries));
    assert!(found[0].1.contains("without_keys_count=1000"));
    assert!(found[0].1.len() < 400, "{}", found[0].1);
}
