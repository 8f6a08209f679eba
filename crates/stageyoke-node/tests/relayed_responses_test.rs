//! Requests to application replicas as raw callers of a node see them.

#[path = "application/deadly_requests.rs"]
mod deadly_requests;
#[path = "application/endless_responses.rs"]
mod endless_responses;
#[path = "application/kept_connections.rs"]
mod kept_connections;
mod support;

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rstest::rstest;
use support::replica::{End, Replica};
use support::{Node, TEST_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\n";
const UNFRAMED_OLD: &str = "HTTP/1.0 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const PART: &str = "first half, ";
const PART_AS_CHUNK: &str = "c\r\nfirst half, \r\n";
const WHOLE_IN_CHUNKS: &str = "c\r\nfirst half, \r\n0\r\n\r\n";
/// Repetitions of a race.
const REPETITIONS: usize = 50;

/// What a caller of HTTP/1 received, and how its connection ended.
struct Received {
    head: String,
    content: String,
    end: Result<()>,
}

impl Received {
    /// Asserts that no part of the response claims to be its end.
    fn assert_unframed(&self) {
        let head = self.head.to_lowercase();
        assert!(!head.contains("content-length"), "{head}");
        assert!(!head.contains("transfer-encoding"), "{head}");
        let closes = head.starts_with("http/1.0") || head.contains("connection: close");
        assert!(closes && !head.contains("keep-alive"), "{head}");
    }
}

async fn get_http1(node: SocketAddr, version: &str) -> Received {
    let mut stream = TcpStream::connect(node).await.expect("open");
    let key = support::KEY;
    let request = format!("GET /feeds {version}\r\nhost: a\r\nauthorization: Bearer {key}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let end = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    let end = end.expect("the connection must end").map(drop);
    let text = String::from_utf8_lossy(&received).into_owned();
    let (head, content) = text.split_once("\r\n\r\n").expect("head");
    Received {
        head: head.to_owned(),
        content: content.to_owned(),
        end,
    }
}

/// Returns what a caller of HTTP/2 received of the body, and how its stream ended.
async fn get_http2(node: SocketAddr) -> (String, hyper::Result<()>) {
    let stream = TcpStream::connect(node).await.expect("open");
    let builder = hyper::client::conn::http2::Builder::new(TokioExecutor::new());
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.expect("handshake");
    tokio::spawn(connection);
    let request = Request::get(format!("http://{node}/feeds"))
        .header("authorization", format!("Bearer {}", support::KEY))
        .body(Empty::<Bytes>::new())
        .expect("request");
    let reading = async {
        let response = sender.send_request(request).await?;
        Ok(read_body(response).await)
    };
    let read = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    match read.expect("the stream must end") {
        Ok((content, end)) => (content, end),
        Err(error) => (String::new(), Err(error)),
    }
}

async fn read_body(response: Response<hyper::body::Incoming>) -> (String, hyper::Result<()>) {
    let mut body = response.into_body();
    let mut content = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                content.push_str(&String::from_utf8_lossy(&data));
            }
            Err(error) => return (content, Err(error)),
        }
    }
    (content, Ok(()))
}

/// Guards against a framed response for a body whose end its replica did not state, and against
/// losing one that is whole.
#[rstest]
#[case::http_1_1("HTTP/1.1", UNFRAMED)]
#[case::http_1_0("HTTP/1.0", UNFRAMED)]
#[case::replica_of_the_old_version("HTTP/1.1", UNFRAMED_OLD)]
#[tokio::test]
async fn an_unframed_response_arrives_without_framing(#[case] version: &str, #[case] head: &str) {
    let replica = Replica::start(&format!("{head}{PART}"), End::Close).await;
    let node = Node::start(replica.address).await;
    let received = get_http1(node.callers, version).await;
    received.assert_unframed();
    assert!(
        received.head.starts_with(&format!("{version} 200")),
        "{}",
        received.head
    );
    assert_eq!(received.content, PART);
    assert!(received.end.is_ok(), "{:?}", received.end);
}

/// Guards against a regular close after a response that the replica broke off, or in which it fell
/// silent, towards callers that get no chunks.
#[rstest]
#[case::reset_of_a_response_without_framing("HTTP/1.0", UNFRAMED, PART, End::Reset)]
#[case::reset_seen_by_http_1_1("HTTP/1.1", UNFRAMED, PART, End::Reset)]
#[case::missing_last_chunk("HTTP/1.0", CHUNKED, PART_AS_CHUNK, End::Close)]
#[case::silence("HTTP/1.0", UNFRAMED, PART, End::Silence)]
#[case::silence_seen_by_http_1_1("HTTP/1.1", UNFRAMED, PART, End::Silence)]
#[tokio::test]
async fn a_response_that_breaks_off_never_ends_like_a_whole_one(
    #[case] version: &str,
    #[case] head: &str,
    #[case] body: &str,
    #[case] end: End,
) {
    let replica = Replica::start(&format!("{head}{body}"), end).await;
    let node = Node::start(replica.address).await;
    let received = get_http1(node.callers, version).await;
    received.assert_unframed();
    assert_eq!(received.content, PART);
    let error = received.end.expect_err("a regular end").kind();
    assert_eq!(error, ErrorKind::ConnectionReset);
}

/// Guards against a last chunk that the replica has not sent.
#[rstest]
#[case::missing_last_chunk(End::Close)]
#[case::silence(End::Silence)]
#[tokio::test]
async fn a_chunked_response_that_breaks_off_has_no_last_chunk(#[case] end: End) {
    let replica = Replica::start(&format!("{CHUNKED}{PART_AS_CHUNK}"), end).await;
    let node = Node::start(replica.address).await;
    let received = get_http1(node.callers, "HTTP/1.1").await;
    assert!(
        received.content.contains(PART) && !received.content.ends_with("0\r\n\r\n"),
        "{}",
        received.content
    );
}

/// Guards against END_STREAM after a body whose end is unknown, and against a reset that
/// discards what came.
#[rstest]
#[case::unframed(UNFRAMED, PART, End::Close)]
#[case::unframed_reset(UNFRAMED, PART, End::Reset)]
#[case::unframed_silence(UNFRAMED, PART, End::Silence)]
#[case::missing_last_chunk(CHUNKED, PART_AS_CHUNK, End::Close)]
#[tokio::test]
async fn an_http2_stream_of_unknown_end_is_reset_after_its_data(
    #[case] head: &str,
    #[case] body: &str,
    #[case] end: End,
) {
    let replica = Replica::start(&format!("{head}{body}"), end).await;
    let node = Node::start(replica.address).await;
    let (content, end) = get_http2(node.callers).await;
    assert!(end.is_err(), "END_STREAM after {content:?}");
    assert_eq!(content, PART);
}

/// Guards against a reset that overtakes data of the same moment, the response's head included.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_of_an_http2_stream_discards_no_data() {
    let body = PART.repeat(5_000);
    let replica = Replica::start(&format!("{UNFRAMED}{body}"), End::Close).await;
    let node = Node::start(replica.address).await;
    for _ in 0..REPETITIONS {
        let (content, end) = get_http2(node.callers).await;
        assert!(end.is_err(), "END_STREAM");
        assert_eq!(content.len(), body.len());
    }
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nfirst half, ")]
#[case::chunked(&format!("{CHUNKED}{WHOLE_IN_CHUNKS}"))]
#[tokio::test]
async fn a_whole_response_with_framing_ends_its_http2_stream(#[case] response: &str) {
    let replica = Replica::start(response, End::Close).await;
    let node = Node::start(replica.address).await;
    let (content, end) = get_http2(node.callers).await;
    assert!(end.is_ok(), "{end:?}");
    assert_eq!(content, PART);
}

/// Guards against an end of the node that callers without chunks take for the end of a response.
#[rstest]
#[case::drain(true)]
#[case::kill(false)]
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_node_resets_unframed_responses(#[case] drains: bool) {
    let replica = Replica::start(&format!("{UNFRAMED}{PART}"), End::Silence).await;
    let node = Node::start(replica.address).await;
    let callers = node.callers;
    let caller = tokio::spawn(async move { get_http1(callers, "HTTP/1.0").await });
    replica.wait_for_requests(1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    match drains {
        true => node.running.drain().await,
        false => node.running.kill(),
    }
    let received = caller.await.expect("caller");
    assert_eq!(received.content, PART);
    let error = received.end.expect_err("a regular end").kind();
    assert_eq!(error, ErrorKind::ConnectionReset);
}
