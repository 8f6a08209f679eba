//! What an operator is told of tenants that can't call, share a key or are not limited.

use std::time::Duration;

use stageyoke_directory::{HttpLimits, KeyDigest, RateLimit, RouteTable, Tenant, Tenants};
use stageyoke_front::tenant_warnings::TenantWarnings;
use stageyoke_types::{Event, Text};

/// A table of tenants: name, keys, requests a second (nought: no limit).
fn table(version: u64, listed: &[(&str, &[&str], u32)]) -> RouteTable {
    let mut tenants = Tenants::default();
    for (name, keys, per_second) in listed {
        let limit = (*per_second > 0).then(|| RateLimit {
            per_second: f64::from(*per_second),
            burst: 0.0,
        });
        let tenant = Tenant {
            name: Text::from(*name),
            priority: None,
            rate_limit: limit,
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
fn what_is_in_order_is_not_told() {
    let report = TenantWarnings::default();
    let found = report.update(&table(1, &[("ann", &["k-1"], 10), ("bob", &["k-2"], 20)]));
    assert_eq!(found, []);
}

#[test]
fn shared_keys_missing_keys_and_missing_limits_are_told() {
    let report = TenantWarnings::default();
    let listed: &[(&str, &[&str], u32)] = &[
        ("ann", &["k-1"], 0),
        ("bob", &["k-1", "k-2"], 20),
        ("eve", &[], 20),
    ];
    let found = report.update(&table(7, listed));
    let contested = "version=7 count=1 tenants=bob".to_owned();
    let unusual = "version=7 without_keys_count=1 without_keys_tenants=eve \
                   without_limit_count=1 without_limit_tenants=ann"
        .to_owned();
    let expected = [
        (Event::KeyContested, contested),
        (Event::TenantsUnusual, unusual),
    ];
    assert_eq!(found, expected);
    let keys_shown = found.iter().any(|(_, detail)| detail.contains("k-"));
    assert!(!keys_shown, "no key is told");
}

/// Configurations come by the thousand a day: a line for each would say nothing new.
#[test]
fn it_is_told_again_only_when_it_changes() {
    let report = TenantWarnings::default();
    let without = |version| table(version, &[("ann", &[], 10)]);
    assert_eq!(report.update(&without(1)).len(), 1);
    assert_eq!(report.update(&without(2)), []);
    assert_eq!(report.update(&table(3, &[("ann", &["k-1"], 10)])), []);
    assert_eq!(report.update(&without(4)).len(), 1);
}

/// A line names eight tenants of a thousand, and their number.
#[test]
fn a_line_is_bounded() {
    let names: Vec<String> = (0..1000).map(|number| format!("tenant-{number}")).collect();
    let listed: Vec<(&str, &[&str], u32)> = names
        .iter()
        .map(|name| (name.as_str(), &[][..], 0))
        .collect();
    let found = TenantWarnings::default().update(&table(1, &listed));
    assert!(found[0].1.contains("without_keys_count=1000"));
    assert!(found[0].1.len() < 400, "{}", found[0].1);
}
