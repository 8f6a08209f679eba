//! Replicas that send a stream without end: it is given up soon, and its memory is bounded.

use super::*;

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &str = "id: 1\ndata: a\n\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Memory of a machine whose front has room for any stream of these tests, and of one that has
/// not.
const LARGE_MEMORY: u64 = 64_000_000;
const SMALL_MEMORY: u64 = 2_000_000;
/// Size of the pieces that a replica sends at once.
const PIECE_BYTES: usize = 8 * 1024;
/// What may be on its way between a replica and its front beside the stream's limit.
const BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// Limit of what comes without an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Number of requests at the same time; half of them are enough to suspend a replica.
const REQUESTS: usize = 6;
/// Time in which a stream must be given up: half of the requests' deadline.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(700);

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a piece of a stream that repeats `text`.
fn piece(text: &str) -> String {
    text.repeat(PIECE_BYTES / text.len())
}

/// Sends `start` and then `repeated` without end, with a pause after each piece.
struct EndlessStream {
    start: String,
    repeated: String,
    pause: Duration,
}

impl EndlessStream {
    /// A stream that sends as fast as it can.
    fn new(start: &str, repeated: &str) -> Self {
        Self {
            start: start.to_owned(),
            repeated: chunk(repeated),
            pause: Duration::ZERO,
        }
    }
}

/// Replica that sends an endless stream, and the bytes that it has sent.
struct EndlessReplica {
    replica: Replica,
    sent: Rc<Cell<usize>>,
}

impl EndlessReplica {
    async fn start(stream: EndlessStream) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let replica = Replica {
            address: listener.local_addr().expect("address"),
            received: Rc::default(),
            open_connections: Rc::default(),
        };
        let sent: Rc<Cell<usize>> = Rc::default();
        let (received, open) = (replica.received.clone(), replica.open_connections.clone());
        let (stream, counted) = (Rc::new(stream), sent.clone());
        tokio::task::spawn_local(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let (stream, received) = (stream.clone(), received.clone());
                let (open, counted) = (open.clone(), counted.clone());
                tokio::task::spawn_local(async move {
                    open.set(open.get() + 1);
                    send_without_end(connection, &stream, &received, &counted).await;
                    open.set(open.get() - 1);
                });
            }
        });
        Self { replica, sent }
    }
}

async fn send_without_end(
    mut connection: TcpStream,
    stream: &EndlessStream,
    received: &RefCell<Vec<String>>,
    sent: &Cell<usize>,
) {
    let Some(request) = read_message(&mut connection).await else {
        return;
    };
    let id = header_value(&request, "id").unwrap_or_default();
    received.borrow_mut().push(request);
    let mut text = stream.start.replace("ID", &id);
    while connection.write_all(text.as_bytes()).await.is_ok() {
        sent.set(sent.get() + text.len());
        text.clone_from(&stream.repeated);
        match stream.pause.is_zero() {
            true => tokio::task::yield_now().await,
            false => tokio::time::sleep(stream.pause).await,
        }
    }
}

async fn wait_for_closed_connections(replica: &Replica) {
    let closing = async {
        while replica.open_connections.get() > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_millis(300), closing).await;
    closed.expect("the connection to the replica is closed");
}

/// Guards against an event that is buffered for as long as a replica sends it.
#[rstest]
#[case::an_event("data: ", "x")]
#[case::comments("", ": c\n")]
#[tokio::test]
async fn bytes_without_end_before_the_first_event_become_a_whole_failure(
    #[case] start: &str,
    #[case] repeated: &str,
) {
    run_local(async {
        let start = format!("{CHUNKED_HEAD}{}", chunk(&format!("{start}:")));
        let endless = EndlessStream::new(&start, &piece(repeated));
        let endless = EndlessReplica::start(endless).await;
        let test_front = start_with_memory(&[&endless.replica], "", None, LARGE_MEMORY).await;
        let started_at = tokio::time::Instant::now();
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(!answer.contains("signed"), "{answer}");
        assert!(answer.ends_with('}'), "a whole failure: {answer}");
        assert!(started_at.elapsed() < GIVEN_UP_AFTER, "{started_at:?}");
        wait_for_closed_connections(&endless.replica).await;
        let sent = endless.sent.get();
        assert!(sent < MAX_EVENT_BYTES + BUFFERED_BYTES, "{sent} bytes");
    })
    .await;
}

/// Guards against a stream that goes on until the caller's deadline.
#[rstest]
#[case::an_event("x")]
#[case::comments(": c\n\n")]
#[case::events_without_data("id: 1\n\n")]
#[tokio::test]
async fn bytes_without_end_after_an_event_are_cut(#[case] repeated: &str) {
    run_local(async {
        let start = format!("{CHUNKED_HEAD}{}", chunk(EVENT));
        let endless = EndlessStream::new(&start, &piece(repeated));
        let endless = EndlessReplica::start(endless).await;
        let test_front = start_with_memory(&[&endless.replica], "", None, LARGE_MEMORY).await;
        let before = ended_requests("stream", "stream_too_large");
        let started_at = tokio::time::Instant::now();
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("data: a"), "whole events pass");
        assert!(!answer.ends_with(LAST_CHUNK), "the end of the stream");
        assert!(answer.len() < 2 * MAX_EVENT_BYTES, "{}", answer.len());
        assert!(started_at.elapsed() < GIVEN_UP_AFTER, "{started_at:?}");
        assert!(ended_requests("stream", "stream_too_large") > before);
        wait_for_closed_connections(&endless.replica).await;
    })
    .await;
}

/// Guards against a replica that generates more than the turn has reserved.
#[tokio::test]
async fn a_turn_with_more_events_than_tokens_is_cut() {
    run_local(async {
        let endless = EndlessStream {
            pause: Duration::from_millis(2),
            ..EndlessStream::new(&format!("{CHUNKED_HEAD}{}", chunk(EVENT)), EVENT)
        };
        let endless = EndlessReplica::start(endless).await;
        let store = ReportingStore::start(0, false).await;
        let replicas = [&endless.replica];
        let test_front =
            start_with_memory(&replicas, ENGINES, Some(store.address), LARGE_MEMORY).await;
        let started_at = tokio::time::Instant::now();
        let answer = send_request(test_front.address, &turn_request("program")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
        // The turn may generate 5 tokens; some events may carry none.
        let events = answer.matches("data: a").count();
        assert!((5..=5 + 16).contains(&events), "{events} events");
        assert!(started_at.elapsed() < GIVEN_UP_AFTER, "{started_at:?}");
        wait_for_closed_connections(&endless.replica).await;
    })
    .await;
}

/// Guards against a front that is killed for lack of memory because it keeps a stream's output.
#[tokio::test]
async fn a_stored_stream_without_memory_is_cut() {
    run_local(async {
        let start = format!("{CHUNKED_HEAD}{}", chunk(EVENT));
        let endless = EndlessStream::new(&start, &piece(EVENT));
        let endless = EndlessReplica::start(endless).await;
        let store = ReportingStore::start(0, false).await;
        let replicas = [&endless.replica];
        let test_front = start_with_memory(&replicas, "", Some(store.address), SMALL_MEMORY).await;
        let before = ended_requests("history", "no_stream_memory");
        let answer = send_request(test_front.address, &request("POST", "/history/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{}", answer.len());
        assert!(!answer.ends_with(LAST_CHUNK), "{}", answer.len());
        assert!(ended_requests("history", "no_stream_memory") > before);
        assert!(store.received.turns.borrow().is_empty(), "stored turn");
        wait_for_closed_connections(&endless.replica).await;
    })
    .await;
}

/// Guards against an incomplete event that is buffered beyond the front's memory.
#[tokio::test]
async fn an_event_without_memory_becomes_a_whole_failure() {
    run_local(async {
        let start = format!("{CHUNKED_HEAD}{}", chunk("data: "));
        let endless = EndlessReplica::start(EndlessStream::new(&start, &piece("x"))).await;
        let test_front = start_with_memory(&[&endless.replica], "", None, SMALL_MEMORY).await;
        let before = ended_requests("stream", "no_stream_memory");
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(answer.ends_with('}'), "a whole failure: {answer}");
        assert!(ended_requests("stream", "no_stream_memory") > before);
        wait_for_closed_connections(&endless.replica).await;
    })
    .await;
}

/// Guards against a faulty replica that gets ever more requests, and against suspending one for
/// the front's own lack of memory.
#[rstest]
#[case::before_the_first_event("data: ", LARGE_MEMORY, true)]
#[case::after_the_first_event(EVENT, LARGE_MEMORY, true)]
#[case::without_memory("data: ", SMALL_MEMORY, false)]
#[tokio::test]
async fn only_the_replica_that_is_at_fault_is_suspended(
    #[case] start: &str,
    #[case] memory_bytes: u64,
    #[case] is_suspended: bool,
) {
    run_local(async {
        let start = format!("{CHUNKED_HEAD}{}", chunk(start));
        let endless = EndlessReplica::start(EndlessStream::new(&start, &piece("x"))).await;
        let sound = format!("{CHUNKED_HEAD}{}{LAST_CHUNK}", chunk(EVENT));
        let sound = Replica::start(&[&sound]).await;
        let replicas = [&endless.replica, &sound];
        let test_front = start_with_memory(&replicas, "", None, memory_bytes).await;
        let text = request("POST", "/stream/a", "");
        send_at_once(test_front.address, &text, REQUESTS).await;
        let before = endless.replica.count();
        assert!(before > 0, "the other replica got all requests");
        send_at_once(test_front.address, &text, REQUESTS).await;
        assert_eq!(endless.replica.count() == before, is_suspended);
    })
    .await;
}
