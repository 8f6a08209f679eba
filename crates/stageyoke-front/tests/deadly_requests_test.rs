//! A request under which replicas end is not sent on without limit, however its caller repeats
//! it, and no other request is rejected for it.

#[allow(dead_code)]
#[path = "support/streams.rs"]
mod streams;
mod support;

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::Method;
use hyper::http::uri::PathAndQuery;
use rstest::rstest;
use stageyoke_front::request::{RequestParameters, ScopedIdentifiers};
use stageyoke_front::request_identity::{IdentityParts, RequestIdentity};
use stageyoke_store::unblock::clear_request;
use streams::{BROKEN_STREAM, DEADLY_PATH, FIRST_EVENT, Front, HEAD, Replica, System};
use support::names;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

const REPLICAS: usize = 12;
/// Requests that a replica runs at once.
const SLOTS: usize = 4;
/// Number of times and pause with which callers repeat what was not answered whole.
const MAX_CALLER_ATTEMPTS: usize = 20;
const CALLER_PAUSE: Duration = Duration::from_millis(20);
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
#[case::before_the_first_event(HEAD, "")]
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

/// Sends a request until it is answered whole, as callers do; fails if it is blocked.
async fn send_until_served(front: Rc<[Front]>, number: usize) {
    for attempt in 0..MAX_CALLER_ATTEMPTS {
        let id = format!("other-{number}-{attempt}");
        let front = &front[(number + attempt) % front.len()];
        let path = format!("/stream/other-{number}");
        let answer = front.send_to(&path, &id, "").await;
        assert!(!answer.starts_with("HTTP/1.1 400"), "{id}: {answer}");
        if answer.contains("data: a") && answer.ends_with("0\r\n\r\n") {
            return;
        }
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    panic!("request {number} was not served in {MAX_CALLER_ATTEMPTS} attempts");
}

/// Each end loses the other requests of the replica's batch too.
#[rstest]
#[case::before_the_head("")]
#[case::after_the_first_event(FIRST_EVENT)]
#[tokio::test]
async fn no_other_request_is_blocked_beside_a_deadly_one(#[case] last_words: &'static str) {
    run_local(async {
        let system = start_system(last_words, Duration::from_millis(60)).await;
        let fronts: Rc<[Front]> = Rc::new([system.start_front().await, system.start_front().await]);
        let mut others = Vec::new();
        for number in 0..REPLICAS * SLOTS {
            let serving = send_until_served(fronts.clone(), number);
            others.push(tokio::task::spawn_local(serving));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        for attempt in 0..REPEATS {
            let id = format!("attempt-{attempt}");
            let front = &fronts[attempt % fronts.len()];
            front.send_to(DEADLY_PATH, &id, "").await;
        }
        for other in others {
            other.await.expect("served");
        }
        let first_attempts = (0..REPLICAS * SLOTS).map(|number| format!("other-{number}-0"));
        let repeated = first_attempts.filter(|id| system.versions_of(id).len() > 1);
        assert!(repeated.count() > 0, "no other request lost a replica");
        assert!(system.ended_replicas() <= MAX_ENDS);
    })
    .await;
}

/// What ends is a rack, whatever its replicas ran.
#[tokio::test]
async fn no_request_is_blocked_where_three_racks_are_lost_in_a_row() {
    run_local(async {
        let system = start_system("", Duration::from_millis(300)).await;
        let fronts: Rc<[Front]> = Rc::new([system.start_front().await, system.start_front().await]);
        let mut requests = Vec::new();
        for number in 0..24 {
            let serving = send_until_served(fronts.clone(), number);
            requests.push(tokio::task::spawn_local(serving));
        }
        for rack in system.replicas[..9].chunks(3) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            for (_, replica) in rack {
                replica.end();
            }
        }
        for request in requests {
            request.await.expect("served");
        }
        let first_attempts = (0..24).map(|number| format!("other-{number}-0"));
        let repeated = first_attempts.filter(|id| system.versions_of(id).len() > 1);
        assert!(repeated.count() > 0, "no request lost a replica");
    })
    .await;
}

/// Nothing else runs on the replicas of the racks.
#[tokio::test]
async fn the_only_request_is_not_blocked_where_three_racks_are_lost_in_a_row() {
    run_local(async {
        let system = start_system("", Duration::from_millis(400)).await;
        let fronts: Rc<[Front]> = Rc::new([system.start_front().await]);
        let serving = tokio::task::spawn_local(send_until_served(fronts, 0));
        let id = |replica: &Replica| replica.received.borrow().last().cloned();
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            let running = system.replicas.iter().map(|(_, replica)| replica);
            let (busy, idle): (Vec<&Replica>, Vec<&Replica>) = running
                .filter(|replica| !replica.has_ended())
                .partition(|replica| id(replica).is_some());
            assert_eq!(busy.len(), 1);
            for replica in busy.into_iter().chain(idle.into_iter().take(2)) {
                replica.end();
            }
        }
        serving.await.expect("served");
    })
    .await;
}

/// The caller repeats the request at another front, and as many stores as may be lost are gone.
#[tokio::test]
async fn a_block_outlives_the_first_front_and_a_store() {
    run_local(async {
        let mut system = start_system(FIRST_EVENT, Duration::ZERO).await;
        let first = system.start_front().await;
        let second = system.start_front().await;
        for attempt in 0..MAX_ENDS {
            first
                .send_to(DEADLY_PATH, &format!("first-{attempt}"), "")
                .await;
        }
        assert_eq!(system.ended_replicas(), MAX_ENDS);
        first.stop();
        system.stop_store(0);
        for attempt in 0..REPEATS {
            let id = format!("second-{attempt}");
            let answer = second.send_to(DEADLY_PATH, &id, "").await;
            assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
            assert!(system.versions_of(&id).is_empty());
        }
        let third = system.start_front().await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let answer = third.send_to(DEADLY_PATH, "third", "").await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    })
    .await;
}

/// Each attempt is sent before any of them is known to end a replica.
#[tokio::test]
async fn attempts_at_the_same_time_end_no_more_replicas_than_attempts() {
    run_local(async {
        let system = start_system("", Duration::ZERO).await;
        let fronts = [system.start_front().await, system.start_front().await];
        let (first, second) = tokio::join!(
            fronts[0].send_to(DEADLY_PATH, "first", ""),
            fronts[1].send_to(DEADLY_PATH, "second", "")
        );
        let ended = system.ended_replicas();
        assert!(ended <= MAX_ENDS + 1, "ended: {ended}\n{first}\n{second}");
        for attempt in 0..REPEATS {
            let id = format!("attempt-{attempt}");
            fronts[attempt % 2].send_to(DEADLY_PATH, &id, "").await;
        }
        assert!(system.ended_replicas() <= ended.max(MAX_ENDS));
    })
    .await;
}

/// A reset or a drain ends the connection, not the replica.
#[tokio::test]
async fn lost_connections_of_running_replicas_block_nothing() {
    run_local(async {
        let mut replicas = Vec::new();
        for _ in 0..4 {
            replicas.push(("v1", Replica::start(BROKEN_STREAM, BROKEN_STREAM).await));
        }
        let system = System::start(3, 1, replicas).await;
        let front = system.start_front().await;
        for attempt in 0..REPEATS {
            let answer = front.begin(&format!("attempt-{attempt}")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    })
    .await;
}

/// Only a restricted request waits for stores.
#[tokio::test]
async fn other_requests_do_not_wait_for_silent_stores() {
    run_local(async {
        let silent = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = silent.local_addr().expect("address").to_string();
        let mut replicas = Vec::new();
        for _ in 0..REPLICAS {
            replicas.push(("v1", Replica::start_ending("", Duration::ZERO).await));
        }
        let system = System::start(0, 0, replicas).await;
        system.set_stores(&address);
        let front = system.start_front().await;
        for attempt in 0..REPEATS {
            front
                .send_to(DEADLY_PATH, &format!("attempt-{attempt}"), "")
                .await;
            let started_at = Instant::now();
            let answer = front
                .send_to("/plain/a", &format!("other-{attempt}"), "")
                .await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert!(started_at.elapsed() < Duration::from_millis(50));
        }
        assert!(system.ended_replicas() <= MAX_ENDS);
    })
    .await;
}

/// The program sends its turn anew under another identifier, and other programs go on.
#[tokio::test]
async fn a_turn_sent_anew_is_the_same_request_and_another_programs_turn_is_not() {
    run_local(async {
        let system = start_system(FIRST_EVENT, Duration::ZERO).await;
        let fronts = [system.start_front().await, system.start_front().await];
        for attempt in 0..REPEATS {
            let id = format!("attempt-{attempt}");
            let headers = format!(
                "program: p\r\nprevious: t\r\nfinish: {}\r\n",
                9_000 - attempt
            );
            fronts[attempt % 2]
                .send_to(DEADLY_PATH, &id, &headers)
                .await;
        }
        assert_eq!(system.ended_replicas(), MAX_ENDS);
        let headers = "program: q\r\nprevious: t\r\n";
        let answer = fronts[0].send_to(DEADLY_PATH, "other", headers).await;
        assert!(!answer.starts_with("HTTP/1.1 400"), "{answer}");
    })
    .await;
}

/// The operator has mended what ended the replicas.
#[tokio::test]
async fn a_lifted_request_is_sent_again() {
    run_local(async {
        let system = start_system("", Duration::ZERO).await;
        let front = system.start_front().await;
        let answer = front.send_to(DEADLY_PATH, "first", "").await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        for store in system.store_addresses() {
            assert!(clear_request(&store, identity(DEADLY_PATH).0).await);
        }
        front.send_to(DEADLY_PATH, "second", "").await;
        assert!(system.ended_replicas() > MAX_ENDS);
    })
    .await;
}

/// Returns the identity of a request to a path without a program.
fn identity(path: &'static str) -> RequestIdentity {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("host"));
    let parameters = RequestParameters::read(
        &HeaderMap::from_iter([(names().request_id, HeaderValue::from_static("id"))]),
        &names(),
        Instant::now(),
    );
    let parts = IdentityParts {
        tenant: "",
        identifiers: &ScopedIdentifiers::of(&parameters.expect("identifier"), None),
        method: &Method::GET,
        path: &PathAndQuery::from_static(path),
        headers: &headers,
        input: &[],
    };
    RequestIdentity::of(&parts, &names())
}
