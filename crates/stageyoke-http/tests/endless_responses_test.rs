//! A service in trouble may send bytes that are no response without end.

#[path = "support/endless.rs"]
mod endless;

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use stageyoke_http::{CallError, HttpClient, HttpResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

use endless::{CHUNKED, Endless, start_endless_service};

const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time in which a call is given up and its connection closed: less than any timeout.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(1);

const UNFRAMED: Endless = Endless {
    start: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    repeated: "0123456789abcdef",
};
const SERVER_ERROR: Endless = Endless {
    start: "HTTP/1.1 500 -\r\nconnection: close\r\n\r\n",
    ..UNFRAMED
};
const INTERIM_HEADS: Endless = Endless {
    start: "",
    repeated: "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
};
const HEADER_VALUE: Endless = Endless {
    start: "HTTP/1.1 200 OK\r\nname: ",
    repeated: "0123456789abcdef",
};
const HEADERS: Endless = Endless {
    start: "HTTP/1.1 200 OK\r\n",
    repeated: "name: value\r\n",
};
const HUGE_LENGTH: Endless = Endless {
    start: "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551000\r\n\r\n",
    repeated: "0",
};

async fn call(client: &HttpClient) -> Result<HttpResponse, CallError> {
    let response = client.call(Method::GET, "/", Bytes::new(), IDLE_TIMEOUT);
    response.await
}

#[rstest]
#[case::chunked_body(CHUNKED)]
#[case::unframed_body(UNFRAMED)]
#[case::body_of_an_error(SERVER_ERROR)]
#[case::length_beyond_the_limit(HUGE_LENGTH)]
#[case::interim_heads(INTERIM_HEADS)]
#[case::header_value(HEADER_VALUE)]
#[case::headers(HEADERS)]
#[tokio::test]
async fn a_response_without_end_is_given_up_and_its_connection_closed(#[case] endless: Endless) {
    let test = async {
        let (address, open) = start_endless_service(endless).await;
        let client = HttpClient::new(address, MAX_BODY_BYTES);
        let started_at = Instant::now();
        let error = call(&client).await.expect_err("no response");
        assert_eq!(error, CallError::ResponseTooLarge);
        while open.get() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
            assert!(started_at.elapsed() < GIVEN_UP_WITHIN, "still open");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Answers each request on a connection with the same response.
async fn serve_responses(mut stream: TcpStream, response: Bytes) {
    let mut request = [0; 1024];
    while let Ok(1..) = stream.read(&mut request).await {
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

async fn start_service(response: Bytes) -> HttpClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve_responses(stream, response.clone()));
        }
    });
    HttpClient::new(address, MAX_BODY_BYTES)
}

#[rstest]
#[case::largest_body(MAX_BODY_BYTES, true)]
#[case::one_byte_more(MAX_BODY_BYTES + 1, false)]
#[tokio::test]
async fn bodies_up_to_the_limit_are_received(#[case] length: usize, #[case] is_received: bool) {
    let test = async {
        let body = "x".repeat(length);
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        let client = start_service(response.into()).await;
        let (first, second) = tokio::join!(call(&client), call(&client));
        for response in [first, second] {
            match is_received {
                true => assert_eq!(response.expect("a response").body.len(), length),
                false => assert_eq!(response.err(), Some(CallError::ResponseTooLarge)),
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// The heads of all responses on one connection may together exceed the limit for one response.
#[tokio::test]
async fn heads_of_earlier_responses_do_not_count() {
    let test = async {
        let interim = "HTTP/1.1 103 Early Hints\r\nlink: ".to_owned() + &"a".repeat(4096);
        let response = format!("{interim}\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody");
        let client = start_service(response.into()).await;
        for number in 0..100 {
            let response = call(&client).await;
            assert!(response.is_ok(), "response {number}: {response:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}
