//! A program's budget holds while its turns run, however long that takes.

#[allow(dead_code)]
#[path = "support/streams.rs"]
mod streams;
mod support;

use std::rc::Rc;
use std::time::Duration;

use streams::{
    Replica, SHORT_RETENTION_SECONDS, SHORT_TURNS, STREAM, System, TURN_TIMEOUT, input_of,
};
use tokio::task::LocalSet;

/// Time for which a replica runs each turn.
const SERVICE_TIME: Duration = Duration::from_secs(3);
/// Budget of a program, and tokens of each of its turns, of which one fits.
const HEADERS: &str = "budget: 100\r\ntokens: 10,80\r\n";

/// Waits until a replica runs a turn and all stores have its reservation on disk.
async fn wait_until_it_runs(system: &System, turn: &str) {
    while system.body_of(turn).is_none() || system.stores_with_unstored_records(1) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a budget that is given again while turns run which have spent it.
#[tokio::test]
async fn a_budget_is_remembered_while_a_turn_runs_for_longer_than_its_retention() {
    let test = async {
        let replica = Replica::start_slow(STREAM, SERVICE_TIME).await;
        let system = System::start(3, 1, vec![("v1", replica)]).await;
        system.form_group();
        let front = Rc::new(system.start_front().await);
        let begin = |turn: &'static str, program: &'static str| {
            let front = front.clone();
            tokio::task::spawn_local(async move {
                let input = input_of(turn);
                let answer = front.send_turn_with(SHORT_TURNS, turn, program, "", &input, HEADERS);
                answer.await
            })
        };
        let running = begin("first", "program");
        wait_until_it_runs(&system, "first").await;
        // Segments expire once there are newer ones, so another program's turn runs too.
        let newer = begin("newer", "other");
        wait_until_it_runs(&system, "newer").await;
        let latest_end_seconds = TURN_TIMEOUT.as_secs() - 2;
        system
            .expire_in(latest_end_seconds + SHORT_RETENTION_SECONDS)
            .await;
        let other_front = system.start_front().await;
        let input = input_of("second");
        let second =
            other_front.send_turn_with(SHORT_TURNS, "second", "program", "", &input, HEADERS);
        let second = second.await;
        assert!(second.starts_with("HTTP/1.1 402"), "{second}");
        assert!(system.versions_of("second").is_empty());
        assert!(!running.is_finished(), "the turn was to run meanwhile");
        for turn in [running, newer] {
            let answer = turn.await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    };
    LocalSet::new().run_until(test).await;
}
