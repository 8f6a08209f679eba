//! Replays requests of many fronts to cold replicas.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_policy::cold_start::{ColdTolerance, PERMIT_TTL, PermitDecision, PermitLedger};

const SECOND: Duration = Duration::from_secs(1);
const REPLICA: u64 = 7;
const STATED_RATE: f64 = 32.0;
const TOLERANCE: ColdTolerance = ColdTolerance {
    factor: 1.5,
    slack: 5.0,
};
/// Most requests that the cold replica may receive within any second.
const MAX_PER_SECOND: usize = 53;

/// Returns the largest number of times within any span of a second.
fn most_within_a_second(mut times: Vec<Duration>) -> usize {
    times.sort_unstable();
    let within = |start: &Duration| {
        let span = times
            .iter()
            .filter(|time| (*start..*start + SECOND).contains(time));
        span.count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

/// Asks one ledger at each of the times, in milliseconds, and uses each permit as late as the
/// given part of its time allows. Returns when the requests were sent.
fn sent_requests(asked: &[(u64, f64)]) -> Vec<Duration> {
    let mut ledger = PermitLedger::default();
    let permits = TOLERANCE.permits(STATED_RATE);
    let mut asked = asked.to_vec();
    asked.sort_by_key(|(at, _)| *at);
    let granted = asked.into_iter().filter_map(|(at, delay)| {
        let now = Duration::from_millis(at);
        let decision = ledger.acquire(REPLICA, permits, now);
        (decision == PermitDecision::Granted).then(|| now + PERMIT_TTL.mul_f64(delay))
    });
    granted.collect()
}

proptest! {
    #[test]
    fn two_owners_never_exceed_the_bound_however_late_permits_are_used(
        first in prop::collection::vec((2_000..6_000_u64, 0.0..=1.0), 0..400),
        second in prop::collection::vec((2_000..6_000_u64, 0.0..=1.0), 0..400),
    ) {
        let mut sent = sent_requests(&first);
        sent.extend(sent_requests(&second));
        prop_assert!(most_within_a_second(sent) <= MAX_PER_SECOND);
    }
}

/// Without permits, fronts that each send a small share exceed the bound together.
#[rstest]
#[case::few_fronts(78)]
#[case::many_fronts(1_000)]
fn a_returning_zone_is_not_flooded_by_many_fronts(#[case] fronts: u64) {
    let asked: Vec<(u64, f64)> = (0..fronts).map(|front| (2_000 + front % 50, 0.5)).collect();
    let sent = sent_requests(&asked);
    assert!(asked.len() > MAX_PER_SECOND);
    assert_eq!(sent.len(), TOLERANCE.permits(STATED_RATE) as usize);
}

#[test]
fn permits_become_available_again_after_the_stated_wait() {
    let mut ledger = PermitLedger::default();
    let start = SECOND * 2;
    assert_eq!(ledger.acquire(REPLICA, 1, start), PermitDecision::Granted);
    let PermitDecision::Denied(wait) = ledger.acquire(REPLICA, 1, start) else {
        panic!("the only permit was granted");
    };
    let later = start + wait;
    assert_eq!(ledger.acquire(REPLICA, 1, later), PermitDecision::Granted);
    assert_eq!(
        ledger.acquire(REPLICA + 1, 1, start),
        PermitDecision::Granted,
        "each replica has permits of its own"
    );
}

#[test]
fn a_store_that_has_just_started_grants_nothing() {
    let mut ledger = PermitLedger::default();
    let PermitDecision::Denied(wait) = ledger.acquire(REPLICA, 26, SECOND) else {
        panic!("an earlier process may have granted permits");
    };
    assert_eq!(
        ledger.acquire(REPLICA, 26, SECOND + wait),
        PermitDecision::Granted
    );
}

#[test]
fn a_rate_of_zero_grants_nothing() {
    let mut ledger = PermitLedger::default();
    let decision = ledger.acquire(REPLICA, 0, SECOND * 2);
    assert!(matches!(decision, PermitDecision::Denied(wait) if wait >= SECOND));
}

#[test]
fn the_number_of_counted_replicas_is_bounded() {
    let mut ledger = PermitLedger::default();
    for replica in 0..30_000 {
        ledger.acquire(replica, 1, SECOND * 2);
    }
    assert_eq!(ledger.replica_count(), 20_000);
    assert_eq!(
        ledger.acquire(29_999, 1, SECOND * 9),
        PermitDecision::Granted,
        "unused entries are dropped"
    );
}
