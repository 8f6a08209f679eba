//! Replicas that send bytes without end.

use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::flood::{Flood, FloodingServer};
use crate::support::replica::{End, Replica};
use crate::support::{KEY, Node, TEST_TIMEOUT};

/// Longest time until a caller hears of a failure, and a replica's connection is closed.
const SOON: Duration = Duration::from_secs(3);
/// Bytes that a replica may get rid of before its connection is closed: what sockets and one turn
/// of a task take in, for each of two tries.
const MAX_TAKEN_BYTES: usize = 32 << 20;
const PROCESSING: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const EARLY_HINTS: &str = "HTTP/1.1 103 Early Hints\r\nlink: </style.css>; rel=preload\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn open(node: &Node, method: &str, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.callers).await.expect("open");
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("send");
    stream
}

/// Returns a whole answer.
async fn ask(node: &Node, method: &str, path: &str) -> String {
    let mut stream = open(node, method, path).await;
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let read = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    read.expect("an answer in time").expect("an answer");
    String::from_utf8_lossy(&received).into_owned()
}

async fn assert_others_are_served(node: &Node) {
    let started_at = Instant::now();
    let answer = ask(node, "GET", "/feeds?calm").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(started_at.elapsed() < SOON, "{:?}", started_at.elapsed());
}

/// Guards against heads that are read, at the speed of the link, until the replica or the caller
/// gives up; on new connections and on those that served a request before.
#[rstest]
#[case::on_a_kept_connection("GET")]
#[case::on_a_new_connection("POST")]
#[tokio::test(flavor = "multi_thread")]
async fn endless_informational_heads_fail_a_request_at_once(#[case] method: &'static str) {
    let flood = Flood {
        head: String::new(),
        piece: PROCESSING,
        pause: None,
    };
    let replica = FloodingServer::start(flood).await;
    let node = Node::start(replica.address).await;
    assert_others_are_served(&node).await;
    let started_at = Instant::now();
    let (answer, ()) = tokio::join!(
        ask(&node, method, "/feeds"),
        assert_others_are_served(&node)
    );
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(started_at.elapsed() < SOON, "{:?}", started_at.elapsed());
    replica.assert_closed_within(SOON).await;
    let sent = replica.sent_bytes();
    assert!(sent < MAX_TAKEN_BYTES, "{sent} bytes");
}

/// Guards against a limit that informational heads of ordinary responses reach.
#[rstest]
#[case::get("GET")]
#[case::post("POST")]
#[tokio::test]
async fn informational_heads_of_an_ordinary_response_are_no_failure(#[case] method: &str) {
    let response = format!(
        "{}{}{ANSWER}",
        PROCESSING.repeat(500),
        EARLY_HINTS.repeat(50)
    );
    let replica = Replica::start(&response, End::Close).await;
    let node = Node::start(replica.address).await;
    let answer = ask(&node, method, "/feeds").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("ok"), "{answer}");
}

const ENDLESS_BODY: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ntransfer-encoding: chunked\r\n\r\n";
/// Time for which a caller reads nothing.
const CALLER_PAUSE: Duration = Duration::from_millis(500);

/// Guards against a body that is kept in memory while its caller doesn't read, that holds up other
/// callers, or that goes on after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_body_goes_no_further_than_its_caller_reads() {
    let flood = Flood {
        head: ENDLESS_BODY.to_owned(),
        piece: "10\r\n0123456789abcdef\r\n",
        pause: None,
    };
    let replica = FloodingServer::start(flood).await;
    let node = Node::start(replica.address).await;
    let mut caller = open(&node, "GET", "/feeds").await;
    let mut head = [0; 15];
    caller.read_exact(&mut head).await.expect("a status line");
    assert_eq!(head.as_slice(), b"HTTP/1.1 200 OK");
    tokio::time::sleep(CALLER_PAUSE).await;
    assert_others_are_served(&node).await;
    let sent = replica.sent_bytes();
    assert!(sent < MAX_TAKEN_BYTES, "{sent} bytes");
    drop(caller);
    replica.assert_closed_within(SOON).await;
}
