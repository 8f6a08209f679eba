//! When a call of the client fails.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use stageyoke_http::{CallError, HttpClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

const MAX_BODY_BYTES: usize = 1024;
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a failed call may take in addition to its timeout.
const MARGIN: Duration = Duration::from_millis(200);

/// Answers every request, except those for `/silent`.
async fn serve_connection(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 || buffer.starts_with(b"GET /silent") {
            break;
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// A call without a response must fail although others receive theirs meanwhile.
#[tokio::test]
async fn responses_to_other_calls_do_not_prolong_a_silent_call() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let client = HttpClient::new(listener.local_addr().expect("address"), MAX_BODY_BYTES);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_connection(stream));
            }
        });
        let others = async {
            loop {
                let answered = client.call(Method::GET, "/other", Bytes::new(), IDLE_TIMEOUT);
                assert!(answered.await.is_ok(), "the service is up");
                tokio::time::sleep(IDLE_TIMEOUT / 10).await;
            }
        };
        let started_at = Instant::now();
        let silent = client.call(Method::GET, "/silent", Bytes::new(), IDLE_TIMEOUT);
        let outcome = tokio::select! {
            outcome = silent => outcome,
            () = others => unreachable!("other calls go on"),
        };
        assert_eq!(outcome.expect_err("no response"), CallError::NoAnswer);
        let elapsed = started_at.elapsed();
        assert!(elapsed < IDLE_TIMEOUT + MARGIN, "{elapsed:?}");
    };
    LocalSet::new().run_until(test).await;
}
