//! Replicas that close the connections which a node keeps to them.

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::replica::{End, Replica};
use crate::support::{KEY, Node, TEST_TIMEOUT};

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// One request in two meets a connection that the replica closes.
const REQUESTS: usize = 6;

async fn status(node: &Node, method: &str) -> String {
    let mut stream = TcpStream::connect(node.callers).await.expect("open");
    let request = format!(
        "{method} /feeds HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut received = String::new();
    let reading = stream.read_to_string(&mut received);
    let read = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    read.expect("an answer in time").expect("an answer");
    received.lines().next().unwrap_or_default().to_owned()
}

/// Guards against 502 for a request that meets the close of a kept connection where the pool has
/// no other replica.
#[rstest]
#[case::get("GET")]
#[case::post("POST")]
#[tokio::test]
async fn a_closed_kept_connection_fails_no_request(#[case] method: &str) {
    let replica = Replica::start(ANSWER, End::CloseAtNextRequest).await;
    let node = Node::start(replica.address).await;
    for number in 0..REQUESTS {
        let status = status(&node, method).await;
        assert_eq!(status, "HTTP/1.1 200 OK", "request {number}");
    }
}

/// Guards against a second run of a request that may not be repeated.
#[tokio::test]
async fn an_unsafe_request_is_sent_once() {
    let replica = Replica::start("", End::Close).await;
    let node = Node::start(replica.address).await;
    let status = status(&node, "POST").await;
    assert!(status.contains("502"), "{status}");
    assert_eq!(replica.requests(), 1);
}

/// Guards against unlimited retries.
#[tokio::test]
async fn a_safe_request_is_tried_once_more_at_most() {
    let replica = Replica::start("", End::Close).await;
    let node = Node::start(replica.address).await;
    let status = status(&node, "GET").await;
    assert!(status.contains("502"), "{status}");
    assert_eq!(replica.requests(), 2);
}
