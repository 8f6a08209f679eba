//! Turns that are sent to a replica before their reservation is stored, with real stores whose
//! disks are slow.

#[allow(dead_code)]
#[path = "support/streams.rs"]
mod streams;
mod support;

use std::time::Duration;

use streams::{Replica, STREAM, System};
use tokio::task::LocalSet;

/// Limits how long a failing test can hang.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Headers of a turn that takes more than half of its program's budget.
const LARGE_TURN: &str = "program: program\r\nbudget: 100\r\ntokens: 10,60\r\n";

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a turn that is cut because a sibling reserved tokens after it, while both
/// reservations were written to slow disks: then none of the two was served.
#[tokio::test]
async fn a_granted_turn_is_not_cut_for_a_reservation_that_came_later() {
    let tasks = LocalSet::new();
    let test = tasks.run_until(async {
        let replica = Replica::start(STREAM, STREAM).await;
        let system = System::start(3, 1, vec![("v1", replica)]).await;
        system.form_group();
        let front = system.start_front().await;
        // Stores announce their version with the first reply.
        let earlier = "program: another\r\nbudget: 100\r\ntokens: 10,60\r\n";
        let answer = front.send_to("/plain/a", "earlier", earlier).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        wait_until(|| system.stores_with_unstored_records(1) == 0).await;
        system.set_disks_report(false);
        let first = front.send_to("/plain/a", "first", LARGE_TURN);
        let second = async {
            let replica = &system.replicas[0].1;
            wait_until(|| replica.has_received("first")).await;
            let second = front.send_to("/plain/a", "second", LARGE_TURN);
            let release = async {
                wait_until(|| system.stores_with_unstored_records(2) == 3).await;
                system.set_disks_report(true);
            };
            tokio::join!(second, release).0
        };
        let (first, second) = tokio::join!(first, second);
        let is_whole =
            |answer: &str| answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
        assert!(is_whole(&first), "the stream was cut: {first}");
        // It fits if the first one has been settled with fewer tokens by then.
        let is_rejected = second.starts_with("HTTP/1.1 402");
        assert!(is_rejected || is_whole(&second), "{second}");
        let has_run = system.replicas[0].1.has_received("second");
        assert_eq!(has_run, !is_rejected);
    });
    let result = tokio::time::timeout(TEST_TIMEOUT, test).await;
    result.expect("both turns end");
}

/// Guards against a turn that waits for stores although no ledger could leave it its tokens.
#[tokio::test]
async fn a_turn_beyond_its_whole_budget_is_rejected_without_a_reservation() {
    let tasks = LocalSet::new();
    let test = tasks.run_until(async {
        let replica = Replica::start(STREAM, STREAM).await;
        let system = System::start(3, 1, vec![("v1", replica)]).await;
        let front = system.start_front().await;
        let headers = "program: program\r\nbudget: 50\r\ntokens: 10,60\r\n";
        let answer = front.send_to("/plain/a", "large", headers).await;
        assert!(answer.starts_with("HTTP/1.1 402"), "{answer}");
        assert!(!system.replicas[0].1.has_received("large"));
    });
    let result = tokio::time::timeout(TEST_TIMEOUT, test).await;
    result.expect("the turn ends");
}
