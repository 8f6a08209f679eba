//! Application replicas' responses are passed back as they are.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use stageyoke_config::Configuration;
use stageyoke_node::backends::application::ApplicationClient;
use stageyoke_node::callers::answers::failure;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const EXAMPLE: &str = include_str!("../../../examples/flood-warning.toml");
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a replica that sends `response` and closes its connection, as a crashed process does.
async fn start_replica(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

fn configuration(replica: SocketAddr) -> Configuration {
    let checked = stageyoke_config::check("example", EXAMPLE).expect("valid example");
    let mut config = checked.config;
    config
        .pools
        .iter_mut()
        .for_each(|pool| pool.addresses = vec![replica]);
    config
}

/// Starts a proxy that passes every request to the replica.
async fn start_proxy(replica: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let config = Arc::new(configuration(replica));
    let client = Arc::new(ApplicationClient::default());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (config, client) = (config.clone(), client.clone());
            let service = service_fn(move |request| {
                let (config, client) = (config.clone(), client.clone());
                async move {
                    let answered = client.forward(&config, &config.routes[0], request).await;
                    Ok::<_, Infallible>(answered.unwrap_or_else(|reason| failure(&reason)))
                }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn get(proxy: SocketAddr) -> String {
    let mut stream = TcpStream::connect(proxy).await.expect("open");
    let request = "GET /feeds HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Asserts that what came of a response reaches the caller without a claim that it is whole.
async fn assert_not_framed_as_complete(response: &'static str) {
    let proxy = start_proxy(start_replica(response).await).await;
    let answer = get(proxy).await;
    assert!(answer.contains("first half, "), "{answer}");
    let (head, content) = answer.split_once("\r\n\r\n").expect("head");
    assert!(!content.ends_with("0\r\n\r\n"), "final chunk: {answer}");
    assert!(!head.contains("content-length: 12"), "{answer}");
}

/// The connection of a crashed replica closes like that of one that has sent everything.
#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_never_framed_as_complete() {
    assert_not_framed_as_complete("HTTP/1.1 200 OK\r\n\r\nfirst half, ").await;
}

#[rstest]
#[case::short_of_its_length("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\nfirst half, ")]
#[case::without_its_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nc\r\nfirst half, \r\n"
)]
#[tokio::test]
async fn a_truncated_response_is_never_framed_as_complete(#[case] response: &'static str) {
    assert_not_framed_as_complete(response).await;
}
