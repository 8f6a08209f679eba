//! Checks that violated promises are recorded as breaches.

use hyper::body::Bytes;
use rstest::rstest;
use stageyoke_lab::soak::promises::{ExpectedRequest, Promises};

fn with_request(repeatable: bool) -> Promises {
    let promises = Promises::default();
    let body = Bytes::from_static(b"body");
    promises.record_request("one", ExpectedRequest { body, repeatable });
    promises
}

#[test]
fn a_correct_run_has_no_breach() {
    let promises = with_request(false);
    promises.record_run("one", &Bytes::from_static(b"body"));
    promises.record_answer(true);
    let (breaches, counts) = promises.evaluate();
    assert!(breaches.is_empty());
    assert_eq!((counts.runs, counts.answered, counts.continued), (1, 1, 1));
}

#[rstest]
#[case::once(false, 1)]
#[case::repeatable(true, 0)]
fn a_second_run_is_a_breach_unless_the_request_is_repeatable(
    #[case] repeatable: bool,
    #[case] expected: usize,
) {
    let promises = with_request(repeatable);
    for _ in 0..2 {
        promises.record_run("one", &Bytes::from_static(b"body"));
    }
    assert_eq!(promises.evaluate().0.len(), expected);
}

#[test]
fn a_wrong_body_and_an_unknown_request_are_breaches() {
    let promises = with_request(false);
    promises.record_run("one", &Bytes::from_static(b"other"));
    promises.record_run("two", &Bytes::from_static(b"body"));
    assert_eq!(promises.evaluate().0.len(), 2);
}

#[rstest]
#[case::before(true)]
#[case::after(false)]
fn refusing_a_request_that_runs_is_a_breach(#[case] refused_first: bool) {
    let promises = with_request(false);
    if refused_first {
        promises.record_refusal("one", 503);
    }
    promises.record_run("one", &Bytes::from_static(b"body"));
    if !refused_first {
        promises.record_refusal("one", 503);
    }
    assert_eq!(promises.evaluate().0.len(), 1);
}
