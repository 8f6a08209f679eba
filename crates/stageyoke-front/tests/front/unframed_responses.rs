//! Responses of replicas that have neither a length nor chunks and end with their connection:
//! whether such a response is whole cannot be known, and must not be claimed.

use std::io::ErrorKind;

use super::*;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const INSIDE_EVENT: &str = "id: 1\ndata: a\n\nid: 2\ndata: part";

/// Asserts that a response leaves its end open: it has neither a length nor chunks, and its
/// connection is not reused.
fn assert_unframed(answer: &str) {
    let (head, _) = answer.split_once("\r\n\r\n").expect("head");
    let head = head.to_lowercase();
    assert!(!head.contains("content-length"), "{answer}");
    assert!(!head.contains("transfer-encoding"), "{answer}");
    assert!(head.contains("connection: close"), "{answer}");
}

/// Returns a request that leaves the connection open.
fn kept_request(method: &str, path: &str, version: &str) -> String {
    let request = request(method, path, "").replace("connection: close\r\n", "");
    request.replacen("HTTP/1.1", version, 1)
}

/// Sends a request and returns what was received and how the connection ended.
async fn exchange(address: SocketAddr, request: &str) -> (String, std::io::Result<()>) {
    let mut stream = TcpStream::connect(address).await.expect("open");
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let end = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    let end = end.expect("the connection must end").map(drop);
    (String::from_utf8_lossy(&received).into_owned(), end)
}

/// Guards against a framed response for a body whose end the replica did not state, and against
/// losing what came.
#[rstest]
#[case::plain_response("/safe/a", "HTTP/1.1", "some bytes")]
#[case::empty_response("/once/a", "HTTP/1.1", "")]
#[case::stream("/stream/a", "HTTP/1.1", EVENTS)]
#[case::stream_that_ends_inside_an_event("/stream/a", "HTTP/1.1", INSIDE_EVENT)]
#[case::caller_of_the_old_version("/stream/a", "HTTP/1.0", EVENTS)]
#[tokio::test]
async fn an_unframed_response_reaches_the_caller_without_framing(
    #[case] path: &str,
    #[case] version: &str,
    #[case] body: &str,
) {
    run_local(async {
        let replica = Replica::start(&[&format!("{UNFRAMED_HEAD}{body}CLOSE")]).await;
        let test_front = start(&[&replica]).await;
        let request = kept_request("POST", path, version);
        let (answer, end) = exchange(test_front.address, &request).await;
        assert!(end.is_ok(), "{end:?}");
        assert!(answer.starts_with(&format!("{version} 200")), "{answer}");
        assert!(answer.contains("signed: s"), "{answer}");
        assert_unframed(&answer);
        assert_eq!(answer.split_once("\r\n\r\n").expect("head").1, body);
        assert_eq!(replica.count(), 1);
    })
    .await;
}

/// A caller may take such a stream as whole and continue its turn, so the turn must be stored.
#[tokio::test]
async fn the_turn_of_a_stream_with_an_unknown_end_can_be_continued() {
    run_local(async {
        let replica = Replica::start(&[&format!("{UNFRAMED_HEAD}{EVENTS}CLOSE")]).await;
        let store = ReportingStore::start(0, false).await;
        let test_front = start_with_store(&[&replica], "", Some(store.address)).await;
        send_request(test_front.address, &request("POST", "/history/a", "")).await;
        let turns = store.received.turns.borrow();
        let outputs: Vec<&[u8]> = turns.iter().map(|turn| turn.output.as_ref()).collect();
        assert_eq!(outputs, [b"a\nb\n"]);
        let requests = &stageyoke_observe::metrics().requests;
        let of_unknown_end = requests.with_label_values(&["history", "end_unknown"]);
        assert_eq!(of_unknown_end.get(), 1);
    })
    .await;
}

/// A stream without framing that the front cannot finish must end with a reset: a closed
/// connection would be its regular end.
#[rstest]
#[case::deadline_passed("HTTP/1.1", UNFRAMED_HEAD, EVENTS)]
#[case::caller_of_the_old_version(
    "HTTP/1.0",
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 90\r\n\r\n",
    "id: 1\ndata: a\n\nCLOSE"
)]
#[tokio::test]
async fn a_truncated_unframed_stream_ends_with_a_reset(
    #[case] version: &str,
    #[case] head: &str,
    #[case] body: &str,
) {
    run_local(async {
        let replica = Replica::start(&[&format!("{head}{body}")]).await;
        let test_front = start(&[&replica]).await;
        let request = kept_request("POST", "/stream/a", version);
        let (answer, end) = exchange(test_front.address, &request).await;
        let error = end.expect_err(&answer).kind();
        assert_eq!(error, ErrorKind::ConnectionReset, "{answer}");
    })
    .await;
}

/// A blank line or a comment after the last event is no event.
#[rstest]
#[case::blank_line("\n")]
#[case::blank_line_crlf("\r\n")]
#[case::comment(": end\n")]
#[tokio::test]
async fn a_stream_with_a_stated_end_outside_an_event_is_complete(#[case] rest: &str) {
    run_local(async {
        let body = format!("{EVENTS}{rest}");
        let head = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        let whole = format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let replica = Replica::start(&[&whole]).await;
        let test_front = start(&[&replica]).await;
        let answer = send_request(test_front.address, &request("POST", "/stream/a", "")).await;
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    })
    .await;
}
