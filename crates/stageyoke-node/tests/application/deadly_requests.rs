//! Replicas whose processes end under a request.

use std::net::SocketAddr;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::support::{KEY, Node, TEST_TIMEOUT};

const REPLICAS: usize = 8;
/// Number of replicas that may end under one request.
const MAX_ENDS: usize = 3;
const REPEATS: usize = 6;
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
const FIRST_CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";

struct EndingReplica {
    address: SocketAddr,
    process: JoinHandle<()>,
}

impl EndingReplica {
    /// Starts a replica that ends, after these last words, under requests with a query.
    async fn start(last_words: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let process = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4096];
                let length = stream.read(&mut request).await.unwrap_or_default();
                let request = String::from_utf8_lossy(&request[..length]).into_owned();
                if request.contains("?deadly") {
                    let _ = stream.write_all(last_words.as_bytes()).await;
                    return;
                }
                if length > 0 {
                    let _ = stream.write_all(ANSWER.as_bytes()).await;
                }
            }
        });
        Self { address, process }
    }
}

async fn get(node: &Node, path: &str) -> String {
    let mut stream = TcpStream::connect(node.callers).await.expect("open");
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against a safe request that ends each replica of its pool in turn.
#[rstest]
#[case::before_the_head("")]
#[case::within_the_body(FIRST_CHUNK)]
#[tokio::test]
async fn a_request_ends_no_more_replicas_than_the_limit(#[case] last_words: &'static str) {
    let mut replicas = Vec::new();
    for _ in 0..REPLICAS {
        replicas.push(EndingReplica::start(last_words).await);
    }
    let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
    let node = Node::start_with_pool(&addresses).await;
    let mut last = String::new();
    for _ in 0..REPEATS {
        last = get(&node, "/feeds?deadly").await;
        let answer = get(&node, "/feeds").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let ended = replicas
        .iter()
        .filter(|replica| replica.process.is_finished());
    assert_eq!(ended.count(), MAX_ENDS);
    assert!(last.starts_with("HTTP/1.1 400"), "{last}");
    assert!(last.contains("request_blocked"), "{last}");
}
