//! How long a store remembers which versions of a service were listed.

use std::collections::BTreeSet;

use nanoserde::{DeBin, SerBin};
use stageyoke_store::service_versions::ServiceVersions;
use stageyoke_types::Text;

const SERVICE: &str = "service";
/// Time in seconds for which a stream may be continued at most.
const LONGEST_STREAM: u64 = 90;

fn listed(versions: &[&str]) -> BTreeSet<(Text, Text)> {
    let pairs = versions.iter();
    pairs
        .map(|version| (Text::from(SERVICE), Text::from(*version)))
        .collect()
}

fn known(versions: &ServiceVersions, now: u64) -> Vec<String> {
    let of_service = versions.of_service(SERVICE, now);
    of_service.iter().map(ToString::to_string).collect()
}

#[test]
fn a_version_is_known_as_long_as_its_streams_may_go_on() {
    let mut versions = ServiceVersions::start(true, 0);
    assert!(versions.observe(&listed(&["v1"]), 0));
    assert!(!versions.observe(&listed(&["v1"]), 50));
    assert!(versions.observe(&listed(&["v2"]), 100));
    assert_eq!(known(&versions, 100 + LONGEST_STREAM), ["v1", "v2"]);
    versions.observe(&listed(&["v2"]), 1_000);
    assert_eq!(known(&versions, 1_000), ["v2"]);
}

/// A store that has just got an empty disk has not seen which versions left before.
#[test]
fn nothing_is_certain_until_the_observation_is_long_enough() {
    let mut versions = ServiceVersions::start(false, 100);
    versions.observe(&listed(&["v1"]), 100);
    assert!(known(&versions, 100 + LONGEST_STREAM).is_empty());
    assert_eq!(known(&versions, 1_000), ["v1"]);
}

/// Guards against a version that leaves while no store runs.
#[test]
fn a_version_that_left_during_a_restart_counts_from_the_restart() {
    let mut versions = ServiceVersions::start(true, 0);
    versions.observe(&listed(&["v1"]), 0);
    let saved = versions.serialize_bin();
    let saved = ServiceVersions::deserialize_bin(&saved).expect("readable");
    let mut resumed = saved.resume(500);
    assert!(resumed.observe(&listed(&["v2"]), 500));
    assert_eq!(known(&resumed, 500 + LONGEST_STREAM), ["v1", "v2"]);
}

/// Guards against memory that grows with each release.
#[test]
fn departed_versions_are_bounded_and_never_too_few() {
    let mut versions = ServiceVersions::start(true, 0);
    for number in 0..200 {
        versions.observe(&listed(&[&format!("v{number}")]), 10);
    }
    let known = known(&versions, 10);
    assert!((2..=20).contains(&known.len()), "{known:?}");
}
