//! Replicas that send bytes without end occupy the front neither for long nor with much memory.

#[path = "endless_responses/front.rs"]
mod front;
#[path = "endless_responses/replica.rs"]
mod replica;
#[allow(dead_code)]
#[path = "support/streams.rs"]
mod streams;
mod support;

use std::time::Duration;

use front::{Answer, Front, SOUND, TROUBLED};
use replica::{Replica, SHORT_PATH, Script};
use rstest::rstest;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Memory of the front's machine, of which 35 percent are for requests.
const MEMORY_BYTES: u64 = 200_000_000;
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that a replica can send before it sees that its connection is closed: what the front
/// reads at a time, and the buffers of both sockets.
const BUFFERED_BYTES: usize = 4 * 1024 * 1024;
/// Time within which bytes that are no response are given up.
const GIVE_UP_TIME: Duration = Duration::from_secs(1);
/// Time within which another caller is served meanwhile.
const OTHER_CALLER_TIME: Duration = Duration::from_millis(500);
/// Short response whose connection stays open.
const SHORT: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 4\r\n\r\nbody";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKED_ERROR: &str = "HTTP/1.1 500 Error\r\nid: ID\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKED_REJECTION: &str =
    "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
const LONG_REJECTION: &str =
    "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 9999999999\r\n\r\n";
const UNFRAMED_REJECTION: &str = "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\n\r\n";

/// Returns a chunk of 1 KiB.
fn chunk() -> String {
    format!("400\r\n{}\r\n", "x".repeat(1024))
}

async fn run_local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

/// Returns how many responses were given up for a cause.
fn given_up(cause: &str) -> u64 {
    let counter = &stageyoke_observe::metrics().oversized_responses;
    counter.with_label_values(&[cause]).get()
}

/// Returns how many requests of a route ended with an outcome.
fn ended(route: &str, outcome: &str) -> u64 {
    let requests = &stageyoke_observe::metrics().requests;
    requests.with_label_values(&[route, outcome]).get()
}

/// Sends a request to a troubled replica while another caller polls the sound service.
async fn send_beside_another_caller(front: Front, path: &str) -> Answer {
    let mut troubled = std::pin::pin!(front.get(path));
    loop {
        let other = front.get("/sound/a");
        let answer = tokio::select! {
            answer = &mut troubled => return answer,
            answer = other => answer,
        };
        assert_eq!(answer.status, 200);
        assert!(answer.took < OTHER_CALLER_TIME, "{:?}", answer.took);
        tokio::select! {
            answer = &mut troubled => return answer,
            () = tokio::time::sleep(Duration::from_millis(5)) => {}
        }
    }
}

/// Starts a front with a troubled and a sound replica.
async fn start(script: Script) -> (Front, Replica) {
    let troubled = Replica::start(script).await;
    let sound = Replica::start(Script::short(SHORT)).await;
    let front = Front::start(MEMORY_BYTES, &[(TROUBLED, &troubled), (SOUND, &sound)]).await;
    (front, troubled)
}

/// Guards against a body that is read for as long as it comes.
#[rstest]
#[case::chunked(CHUNKED, &chunk(), 502)]
#[case::unframed(UNFRAMED, "x", 502)]
#[case::error(CHUNKED_ERROR, &chunk(), 502)]
#[case::rejection(CHUNKED_REJECTION, &chunk(), 503)]
#[case::unframed_rejection(UNFRAMED_REJECTION, "x", 503)]
#[case::rejection_with_a_length(LONG_REJECTION, "x", 503)]
#[case::chunk_extension(
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n5;",
    "x",
    502
)]
#[case::extensions_of_many_chunks(CHUNKED, "1;x=012345678901234567890123456789\r\nx\r\n", 502)]
#[case::trailer_value(
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: ",
    "x",
    502
)]
#[case::trailer_fields(
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n",
    502
)]
#[case::trailers_of_a_rejection(
    "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n",
    503
)]
#[tokio::test]
async fn an_endless_body_is_given_up(
    #[case] prefix: &str,
    #[case] unit: &str,
    #[case] status: u16,
) {
    run_local(async {
        let (front, troubled) = start(Script::endless(prefix, unit)).await;
        let answer = send_beside_another_caller(front, "/once/a").await;
        assert_eq!(answer.status, status);
        assert!(!answer.body.is_empty());
        assert!(answer.took < 2 * GIVE_UP_TIME, "{:?}", answer.took);
        troubled.wait_until_closed().await;
        let limit = match status {
            502 => MAX_RESPONSE_BYTES + BUFFERED_BYTES,
            _ => BUFFERED_BYTES,
        };
        let sent = troubled.observed.sent_bytes.get();
        assert!(sent < limit, "{sent} bytes sent");
    })
    .await;
}

/// Guards against bytes before a response that are read until the deadline, and against a
/// malformed response that counts as the end of the replica's process.
#[rstest]
#[case::informational_heads("", "HTTP/1.1 100 Continue\r\n\r\n", "oversized_head")]
#[case::early_hints("", "HTTP/1.1 103 Early\r\nlink: a\r\n\r\n", "oversized_head")]
#[case::header_value("HTTP/1.1 200 OK\r\nid: ID\r\na: ", "x", "oversized_head")]
#[case::reason("HTTP/1.1 200 ", "x", "oversized_head")]
#[case::header_fields("HTTP/1.1 200 OK\r\nid: ID\r\n", "a: b\r\n", "oversized_head")]
#[case::blank_lines("", "\r\n", "oversized_head")]
#[case::no_http("", "x", "outcome_unknown")]
#[tokio::test]
async fn an_endless_head_is_given_up_at_once(
    #[case] prefix: &str,
    #[case] unit: &str,
    #[case] outcome: &str,
) {
    run_local(async {
        let before = ended("once", outcome);
        let (front, troubled) = start(Script::endless(prefix, unit)).await;
        let answer = send_beside_another_caller(front, "/once/a").await;
        assert_eq!(answer.status, 502);
        assert!(!answer.body.is_empty());
        assert!(answer.took < GIVE_UP_TIME, "{:?}", answer.took);
        troubled.wait_until_closed().await;
        let sent = troubled.observed.sent_bytes.get();
        assert!(sent < BUFFERED_BYTES, "{sent} bytes sent");
        assert!(ended("once", outcome) > before);
        // One malformed response alone excludes no replica.
        assert_eq!(front.get(SHORT_PATH).await.status, 200);
    })
    .await;
}

/// Guards against bytes that nobody asked for, after a response or before a request.
#[rstest]
#[case::after_a_response(Script::endless(SHORT, "x"), 200)]
#[case::before_a_request(
    Script { unsolicited: true, ..Script::endless("", "HTTP/1.1 100 Continue\r\n\r\n") },
    502
)]
#[tokio::test]
async fn an_idle_connection_with_endless_bytes_is_closed(
    #[case] script: Script,
    #[case] status: u16,
) {
    run_local(async {
        let (front, troubled) = start(script).await;
        for _ in 0..2 {
            let answer = send_beside_another_caller(front, "/once/a").await;
            assert_eq!(answer.status, status);
            assert!(answer.took < GIVE_UP_TIME, "{:?}", answer.took);
            troubled.wait_until_closed().await;
        }
        let sent = troubled.observed.sent_bytes.get();
        assert!(sent < 2 * BUFFERED_BYTES, "{sent} bytes sent");
    })
    .await;
}

/// Guards against reading 16 MiB of a response whose length says that it is too large.
#[tokio::test]
async fn a_response_with_a_length_beyond_the_limit_is_given_up_unread() {
    run_local(async {
        let before = (
            given_up("oversized_response"),
            ended("once", "oversized_response"),
        );
        let head = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 16777217\r\n\r\n";
        let (front, troubled) = start(Script::endless(head, "x")).await;
        let answer = front.get("/once/a").await;
        assert_eq!(answer.status, 502);
        troubled.wait_until_closed().await;
        let sent = troubled.observed.sent_bytes.get();
        assert!(sent < BUFFERED_BYTES, "{sent} bytes sent");
        assert!(given_up("oversized_response") > before.0);
        assert!(ended("once", "oversized_response") > before.1);
    })
    .await;
}

/// A replica that sends too much may be the only one in trouble.
#[rstest]
#[case::body(CHUNKED, &chunk())]
#[case::informational_heads("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[tokio::test]
async fn a_repeatable_request_goes_on_to_another_replica(#[case] prefix: &str, #[case] unit: &str) {
    run_local(async {
        let endless = Replica::start(Script::endless(prefix, unit)).await;
        // A replica without an idle connection is not preferred to the other.
        let closing = SHORT.replace("Content-Length", "Connection: close\r\nContent-Length");
        let sound = Replica::start(Script::short(&closing)).await;
        let replicas = [(TROUBLED, &endless), (TROUBLED, &sound)];
        let front = Front::start(MEMORY_BYTES, &replicas).await;
        let started = Instant::now();
        while endless.requests() == 0 {
            let answer = front.get("/safe/a").await;
            assert_eq!((answer.status, answer.body.as_slice()), (200, &b"body"[..]));
            assert!(started.elapsed() < Duration::from_secs(5));
        }
        endless.wait_until_closed().await;
    })
    .await;
}

/// Guards against the memory of responses that is accounted for only once they are whole: then
/// several together exceed the budget.
#[tokio::test]
async fn responses_beyond_the_memory_budget_are_given_up_while_they_grow() {
    const BUDGET_BYTES: usize = 4_000_000;
    const CALLERS: usize = 5;
    run_local(async {
        let before = given_up("no_memory_for_response");
        let replicas = [
            Replica::start(Script::endless(CHUNKED, &chunk())).await,
            Replica::start(Script::endless(CHUNKED, &chunk())).await,
        ];
        let listed = [(TROUBLED, &replicas[0]), (TROUBLED, &replicas[1])];
        let memory_bytes = (BUDGET_BYTES as f64 / 0.35) as u64;
        let front = Front::start(memory_bytes, &listed).await;
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| tokio::task::spawn_local(async move { front.get("/safe/a").await }))
            .collect();
        for caller in callers {
            let answer = caller.await.expect("caller");
            assert_eq!(answer.status, 502);
            assert!(answer.took < 2 * GIVE_UP_TIME, "{:?}", answer.took);
        }
        let mut sent = 0;
        let mut requests = 0;
        for replica in &replicas {
            replica.wait_until_closed().await;
            sent += replica.observed.sent_bytes.get();
            requests += replica.requests();
        }
        assert!(
            sent < 2 * BUDGET_BYTES + CALLERS * BUFFERED_BYTES / 2,
            "{sent} bytes sent"
        );
        assert_eq!(requests, CALLERS, "no further replica may run it");
        assert_eq!(given_up("no_memory_for_response") - before, CALLERS as u64);
        // The replicas are not to blame.
        assert_eq!(front.get(SHORT_PATH).await.status, 200);
    })
    .await;
}

/// Guards against callers whose requests are accepted although a response that is being read
/// holds the memory, and against memory that is not released.
#[rstest]
#[case::stated_length(
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 900000\r\n\r\n",
    0
)]
#[case::as_it_arrives(UNFRAMED, 900_000)]
#[tokio::test]
async fn the_memory_of_an_unfinished_response_counts(#[case] head: &str, #[case] arrived: usize) {
    const MEMORY_BYTES: u64 = 4_000_000;
    run_local(async {
        let script = Script::short(&format!("{head}{}", "x".repeat(arrived)));
        let troubled = Replica::start(script).await;
        let sound = Replica::start(Script::short(SHORT)).await;
        let replicas = [(TROUBLED, &troubled), (SOUND, &sound)];
        let front = Front::start(MEMORY_BYTES, &replicas).await;
        let first = tokio::task::spawn_local(async move { front.send("/once/a", 800, 0).await });
        tokio::time::sleep(Duration::from_millis(400)).await;
        let beside = front.send("/sound/a", 300, 700_000).await;
        assert_eq!(beside.status, 503);
        let first = first.await.expect("caller");
        assert_eq!(first.status, 504);
        let afterwards = front.send("/sound/a", 300, 700_000).await;
        assert_eq!(afterwards.status, 200);
    })
    .await;
}

/// Guards against a request that goes on to another replica after its deadline, or whose caller
/// gets another failure than that of a response without a head.
#[rstest]
#[case::repeatable("/safe/a")]
#[case::once("/once/a")]
#[tokio::test]
async fn a_body_beyond_the_deadline_ends_the_request(#[case] path: &str) {
    run_local(async {
        let stalled = Script::short(&format!("{CHUNKED}{}", chunk()));
        let replicas = [
            Replica::start(stalled.clone()).await,
            Replica::start(stalled).await,
        ];
        let listed = [(TROUBLED, &replicas[0]), (TROUBLED, &replicas[1])];
        let front = Front::start(MEMORY_BYTES, &listed).await;
        for _ in 0..3 {
            // Opens connections to both replicas.
            front.get(SHORT_PATH).await;
        }
        let requests = || replicas.iter().map(Replica::requests).sum::<usize>();
        let before = requests();
        let answer = front.send(path, 300, 0).await;
        assert_eq!(answer.status, 504);
        assert!(answer.took < GIVE_UP_TIME, "{:?}", answer.took);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(requests() - before, 1);
    })
    .await;
}

/// Guards against limits that hit valid responses: large heads and some informational ones, on a
/// connection that is used again, and bodies of the maximum size.
#[tokio::test]
async fn valid_responses_of_one_connection_are_not_limited_together() {
    run_local(async {
        let informational = "HTTP/1.1 103 Early\r\nlink: a\r\n\r\n".repeat(100);
        let field = "f".repeat(40_000);
        let body = "x".repeat(MAX_RESPONSE_BYTES);
        let response = format!(
            "{informational}HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nlarge: {field}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (front, replica) = start(Script::short(&response)).await;
        for _ in 0..4 {
            let answer = front.get("/once/a").await;
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body.len(), body.len());
        }
        assert_eq!(replica.observed.accepted.get(), 1);
    })
    .await;
}

/// Guards against a new connection for each rejection.
#[rstest]
#[case::no_body("HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::short_body("HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 4\r\n\r\nbusy")]
#[case::chunked_body(
    "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
)]
#[tokio::test]
async fn the_connection_of_a_rejection_is_reused(#[case] rejection: &str) {
    run_local(async {
        let (front, replica) = start(Script::short(rejection)).await;
        for _ in 0..5 {
            assert_eq!(front.get("/once/a").await.status, 503);
        }
        assert_eq!(replica.requests(), 5);
        assert_eq!(replica.observed.accepted.get(), 1);
    })
    .await;
}

/// Guards against rejections that cost a connection each without a trace.
#[rstest]
#[case::chunked(CHUNKED_REJECTION, &chunk())]
#[case::stated_length(LONG_REJECTION, "x")]
#[tokio::test]
async fn an_oversized_rejection_is_counted(#[case] prefix: &str, #[case] unit: &str) {
    run_local(async {
        let before = given_up("oversized_rejection");
        let (front, replica) = start(Script::endless(prefix, unit)).await;
        assert_eq!(front.get("/once/a").await.status, 503);
        replica.wait_until_closed().await;
        assert!(given_up("oversized_rejection") > before);
    })
    .await;
}

/// Guards against drains that pile up: each holds a connection and its read buffer.
#[tokio::test]
async fn only_so_many_rejections_are_read_at_the_same_time() {
    const CALLERS: usize = 100;
    run_local(async {
        let stalled = "HTTP/1.1 503 No\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 9\r\n\r\n";
        let (front, replica) = start(Script::short(stalled)).await;
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| tokio::task::spawn_local(async move { front.get("/once/a").await }))
            .collect();
        for caller in callers {
            assert_eq!(caller.await.expect("caller").status, 503);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let open = replica.observed.open.get();
        assert!(open <= 64, "{open} connections are open");
        replica.wait_until_closed().await;
    })
    .await;
}
