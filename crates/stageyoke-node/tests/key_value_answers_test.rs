//! Answers of the key-value service that end with their connection.

use std::net::SocketAddr;

use stageyoke_node::platform::key_value::{KeyValueClient, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWER: &str = r#"{"kvs":[{"value":"YQ==","mod_revision":"1"}],"more":false}"#;

/// Starts a service whose answer is `body`, without a length and without chunks.
async fn start_service(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    address
}

async fn get(body: &'static str) -> Result<bool, StoreError> {
    let client = KeyValueClient::new(vec![start_service(body).await]);
    let found = client.get("key").await?;
    Ok(found.is_some_and(|found| found.value == b"a"))
}

/// Guards against part of an answer that is read as a whole one, and as a missing key.
#[tokio::test]
async fn a_truncated_answer_is_never_read_as_whole() {
    assert_eq!(get(ANSWER).await, Ok(true));
    for length in 0..ANSWER.len() {
        let read = get(&ANSWER[..length]).await;
        assert_eq!(read, Err(StoreError::Malformed), "{length} bytes");
    }
}
