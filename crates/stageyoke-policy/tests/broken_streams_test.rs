//! Limits of what is remembered of attempts at streams.

use std::time::Duration;

use proptest::prelude::*;
use stageyoke_policy::broken_streams::{
    BrokenStreams, MAX_ATTEMPTS, MAX_STREAM_BYTES, StreamAttempt,
};

const TTL: Duration = Duration::from_secs(20);

fn attempt(number: u128, bytes: usize, ended: bool) -> StreamAttempt<Vec<u8>> {
    StreamAttempt {
        stream: 1,
        attempt: number,
        sequence: number as u32,
        ended,
        events: vec![b'x'; bytes],
    }
}

#[test]
fn an_attempt_is_known_with_its_end_until_it_expires() {
    let mut streams = BrokenStreams::new(1_000_000);
    let start = Duration::ZERO;
    assert!(streams.record(7, attempt(1, 0, false), TTL, start));
    let later = start + TTL / 2;
    assert!(streams.record(7, attempt(1, 10, true), TTL, later));
    assert!(
        streams.record(7, attempt(1, 0, false), TTL, later),
        "a late copy"
    );
    let known: Vec<_> = streams.attempts(7, start + TTL).collect();
    assert_eq!(known, [&attempt(1, 10, true)]);
    assert_eq!(streams.attempts(7, later + TTL).count(), 0);
    assert_eq!(streams.attempts(8, later).count(), 0);
}

#[test]
fn a_stream_that_is_too_large_is_unknown() {
    let mut streams = BrokenStreams::new(10 * MAX_STREAM_BYTES);
    let too_large = attempt(1, MAX_STREAM_BYTES + 1, true);
    assert!(!streams.record(7, too_large, TTL, Duration::ZERO));
}

proptest! {
    /// Guards against memory that grows with callers that resume again and again.
    #[test]
    fn memory_and_attempts_are_bounded(
        records in proptest::collection::vec((0_u128..4, 0_u128..40, 0_usize..3_000, any::<bool>()), 1..200)
    ) {
        let most = 20_000;
        let mut streams = BrokenStreams::new(most);
        for (second, (request, number, bytes, ended)) in records.into_iter().enumerate() {
            let now = Duration::from_secs(second as u64);
            prop_assert!(streams.record(request, attempt(number, bytes, ended), TTL, now));
            prop_assert!(streams.bytes() <= most);
            prop_assert!(streams.attempts(request, now).count() <= MAX_ATTEMPTS);
            prop_assert!(streams.attempts(request, now).any(|known| known.attempt == number));
        }
    }
}
