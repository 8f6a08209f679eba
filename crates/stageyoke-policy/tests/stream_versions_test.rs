//! What a store remembers of the versions that began streams.

use std::time::Duration;

use rstest::rstest;
use stageyoke_policy::stream_versions::{MAX_STREAMS, MAX_TTL, MAX_VERSION_BYTES, StreamVersions};

const TTL: Duration = Duration::from_secs(10);
const START: Duration = Duration::from_secs(100);

#[test]
fn a_recorded_version_is_known_until_it_expires() {
    let mut versions = StreamVersions::default();
    assert_eq!(versions.version(1, START), None);
    assert!(versions.record(1, "v1", TTL, START));
    assert_eq!(versions.version(1, START), Some("v1"));
    assert_eq!(versions.version(2, START), None);
    let last = START + TTL - Duration::from_millis(1);
    assert_eq!(versions.version(1, last), Some("v1"));
    assert_eq!(versions.version(1, START + TTL), None);
}

/// A version is never guessed, even if the first one is recorded again.
#[test]
fn a_stream_that_two_versions_claim_to_have_begun_is_unknown() {
    let mut versions = StreamVersions::default();
    versions.record(1, "v1", TTL, START);
    assert!(versions.record(1, "v1", TTL, START), "the same version");
    assert!(!versions.record(1, "v2", TTL, START));
    assert_eq!(versions.version(1, START), None);
    assert!(!versions.record(1, "v1", TTL, START));
    assert_eq!(versions.version(1, START), None);
    let later = START + TTL;
    assert!(versions.record(1, "v2", TTL, later), "after the expiry");
    assert_eq!(versions.version(1, later), Some("v2"));
}

#[test]
fn memory_is_bounded_and_the_oldest_stream_is_dropped_first() {
    let mut versions = StreamVersions::default();
    let count = MAX_STREAMS as u128 + 10;
    for stream in 0..count {
        versions.record(stream, "v1", TTL, START);
        versions.record(0, "v1", TTL, START);
    }
    assert_eq!(versions.stream_count(), MAX_STREAMS);
    assert_eq!(versions.version(5, START), None);
    assert_eq!(versions.version(count - 1, START), Some("v1"));
}

#[test]
fn expired_streams_release_their_memory() {
    let mut versions = StreamVersions::default();
    for stream in 0..100 {
        versions.record(stream, "v1", TTL, START);
    }
    versions.record(100, "v1", TTL, START + TTL);
    assert_eq!(versions.stream_count(), 1);
}

#[rstest]
#[case::empty(0, false)]
#[case::longest(MAX_VERSION_BYTES, true)]
#[case::too_long(MAX_VERSION_BYTES + 1, false)]
fn a_version_of_an_invalid_length_is_not_recorded(#[case] length: usize, #[case] known: bool) {
    let mut versions = StreamVersions::default();
    let version = "v".repeat(length);
    assert_eq!(versions.record(1, &version, TTL, START), known);
    assert_eq!(versions.version(1, START).is_some(), known);
    assert_eq!(versions.stream_count(), usize::from(known));
}

#[test]
fn a_stream_is_not_remembered_for_longer_than_the_maximum() {
    let mut versions = StreamVersions::default();
    versions.record(1, "v1", Duration::MAX, START);
    assert_eq!(versions.version(1, START + MAX_TTL), None);
}
