//! A request under which replicas end is not sent on without limit, however its caller repeats
//! it, and no other request is rejected for it.

#[path = "support/streams.rs"]
mod streams;
mod support;

use std::time::Duration;

use rstest::rstest;
use streams::{DEADLY_PATH, FIRST_EVENT, Replica, System};
use tokio::task::LocalSet;

const REPLICAS: usize = 12;
/// Number of replicas that may end under one request.
const MAX_ENDS: usize = 3;
const REPEATS: usize = 6;

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

/// Starts three stores, one of which may be lost, and replicas that end under a deadly request.
async fn start_system(last_words: &'static str, service_time: Duration) -> System {
    let mut replicas = Vec::new();
    for _ in 0..REPLICAS {
        replicas.push(("v1", Replica::start_ending(last_words, service_time).await));
    }
    System::start(3, 1, replicas).await
}

/// Each attempt has an identifier of its own and may reach another front.
#[rstest]
#[case::before_the_head("", "")]
#[case::after_the_first_event(FIRST_EVENT, "")]
#[case::resumed(FIRST_EVENT, "last-event-id: 1\r\n")]
#[tokio::test]
async fn repeats_of_a_request_end_no_more_replicas_than_the_limit(
    #[case] last_words: &'static str,
    #[case] repeat_headers: &str,
) {
    run_local(async {
        let system = start_system(last_words, Duration::ZERO).await;
        let fronts = [system.start_front().await, system.start_front().await];
        let mut ended = Vec::new();
        let mut answers = Vec::new();
        for attempt in 0..REPEATS {
            let headers = match (attempt, repeat_headers) {
                (0, _) | (_, "") => String::new(),
                (_, headers) => format!("resumes: attempt-0\r\n{headers}"),
            };
            let id = format!("attempt-{attempt}");
            let front = &fronts[attempt % fronts.len()];
            answers.push(front.send_to(DEADLY_PATH, &id, &headers).await);
            ended.push(system.ended_replicas());
        }
        assert!(system.ended_replicas() <= MAX_ENDS, "ended: {ended:?}");
        let last = answers.last().expect("an answer");
        assert!(last.starts_with("HTTP/1.1 400"), "{last}");
        let answer = fronts[0].begin("other").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    })
    .await;
}
