//! Each check of the soak bites.

use hyper::body::Bytes;
use rstest::rstest;
use stageyoke_lab::soak::promises::{ExpectedRequest, Promises};

fn sent(repeatable: bool) -> Promises {
    let promises = Promises::default();
    let body = Bytes::from_static(b"body");
    promises.record_request("one", ExpectedRequest { body, repeatable });
    promises
}

#[test]
fn an_honest_run_has_no_breach() {
    let promises = sent(false);
    promises.record_run("one", &Bytes::from_static(b"body"));
    promises.record_answer(true);
    let (breaches, counts) = promises.evaluate();
    assert!(breaches.is_empty());
    assert_eq!((counts.runs, counts.answered, counts.continued), (1, 1, 1));
}

#[rstest]
#[case::once(false, 1)]
#[case::repeatable(true, 0)]
fn a_second_run_is_a_breach_unless_it_may_be(#[case] repeatable: bool, #[case] expected: usize) {
    let promises = sent(repeatable);
    for _ in 0..2 {
        promises.record_run("one", &Bytes::from_static(b"body"));
    }
    assert_eq!(promises.evaluate().0.len(), expected);
}

#[test]
fn another_body_and_an_unknown_request_are_breaches() {
    let promises = sent(false);
    promises.record_run("one", &Bytes::from_static(b"other"));
    promises.record_run("two", &Bytes::from_static(b"body"));
    assert_eq!(promises.evaluate().0.len(), 2);
}

#[rstest]
#[case::before(true)]
#[case::after(false)]
fn a_refusal_of_what_ran_is_a_breach(#[case] refused_first: bool) {
    let promises = sent(false);
    if refused_first {
        promises.record_refusal("one", 503);
    }
    promises.record_run("one", &Bytes::from_static(b"body"));
    if !refused_first {
        promises.record_refusal("one", 503);
    }
    assert_eq!(promises.evaluate().0.len(), 1);
}
