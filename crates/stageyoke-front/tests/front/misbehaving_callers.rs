//! Callers that use their limits to the full, or that hold memory and connections without need.

use super::*;

/// Fields of a head of nearly the maximum size.
const VERY_MANY_FIELDS: usize = 2_300;
const HALF: usize = LARGE_BODY_BYTES / 2;
/// Memory of a machine with room for a few connections only.
const FEW_CONNECTIONS_MEMORY: u64 = 1_000_000;
const MORE_CONNECTIONS_THAN_FIT: usize = 100;
const DRIP_INTERVAL: Duration = Duration::from_millis(40);

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("connection")
}

/// Reads what is left on a connection; an error counts as the end.
async fn read_rest(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    while matches!(stream.read_buf(&mut received).await, Ok(1..)) {}
    String::from_utf8_lossy(&received).into_owned()
}

async fn within_test_timeout(test: impl Future<Output = ()>) {
    let result = run_local(tokio::time::timeout(TEST_TIMEOUT, test)).await;
    result.expect("the test must end in time");
}

/// Sends a whole request before it reads, as simple callers do.
async fn send_then_read(address: SocketAddr, request: &str) -> String {
    let mut stream = connect(address).await;
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("a refusal must not reset the connection while the request is sent");
    read_rest(&mut stream).await
}

#[tokio::test]
async fn a_head_of_very_many_fields_is_served() {
    within_test_timeout(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start_with_memory(&[&replica], "", None, LARGE_MEMORY_BYTES).await;
        let fields: String = (0..VERY_MANY_FIELDS).fold(String::new(), |fields, number| {
            fields + &format!("{number:x}:\r\n")
        });
        let request = request_with_headers("GET", "/safe/a", &fields);
        assert!(request.len() < 16_384, "{} bytes", request.len());
        let answer = send_request(test_front.address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let last = format!("\r\n{:x}:", VERY_MANY_FIELDS - 1);
        assert!(replica.received.borrow()[0].contains(&last));
    })
    .await;
}

#[rstest]
#[case::below_the_limit(16_384 - 200, "HTTP/1.1 200")]
#[case::beyond_the_limit(16_384 + 200, "HTTP/1.1 431")]
#[tokio::test]
async fn a_head_is_refused_only_beyond_the_limit(#[case] bytes: usize, #[case] expected: &str) {
    within_test_timeout(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let base = request("GET", "/safe/a", "").len();
        let field = format!("x-padding: {}\r\n", "p".repeat(bytes - base - 13));
        let request = request_with_headers("GET", "/safe/a", &field);
        assert_eq!(request.len(), bytes);
        let answer = send_request(test_front.address, &request).await;
        assert!(answer.starts_with(expected), "{answer}");
    })
    .await;
}

/// A connection that is closed with unread bytes is reset, and its caller may lose the response.
#[rstest]
#[case::no_route("/nowhere/a", LARGE_BODY_BYTES, "HTTP/1.1 404")]
#[case::too_large("/once/a", 2 * MAX_BODY_BYTES, "HTTP/1.1 413")]
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_sends_its_whole_body_first(
    #[case] path: &str,
    #[case] body_bytes: usize,
    #[case] expected: &str,
) {
    within_test_timeout(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let request = request("POST", path, &"x".repeat(body_bytes));
        let answer = send_then_read(test_front.address, &request).await;
        assert!(answer.starts_with(expected), "{answer}");
        assert_eq!(replica.count(), 0);
    })
    .await;
}

#[tokio::test]
async fn a_refusal_for_lack_of_memory_reaches_its_caller() {
    within_test_timeout(async {
        let replica = Replica::start(&[""]).await;
        let test_front = start(&[&replica]).await;
        let request = request("POST", "/once/a", &"x".repeat(LARGE_BODY_BYTES));
        let mut unanswered = connect(test_front.address).await;
        unanswered
            .write_all(request.as_bytes())
            .await
            .expect("sent");
        while replica.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let answer = send_then_read(test_front.address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
        assert_eq!(replica.count(), 1);
    })
    .await;
}

/// A body's memory is taken for its stated length, which its caller may never send.
#[tokio::test]
async fn a_late_body_gives_its_memory_to_another_request() {
    within_test_timeout(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let whole = request("POST", "/once/a", &"x".repeat(LARGE_BODY_BYTES));
        let mut late = connect(test_front.address).await;
        let start = &whole.as_bytes()[..whole.len() - HALF];
        late.write_all(start).await.expect("half of the body");
        while !send_request(test_front.address, &whole)
            .await
            .starts_with("HTTP/1.1 200")
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let refusal = read_rest(&mut late).await;
        assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
        assert!(refusal.to_lowercase().contains("retry-after"), "{refusal}");
        assert_eq!(replica.count(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_slow_body_is_served_in_calm() {
    within_test_timeout(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let whole = request("POST", "/once/a", &"x".repeat(1_000));
        let mut stream = connect(test_front.address).await;
        for piece in whole.as_bytes().chunks(100) {
            stream.write_all(piece).await.expect("a piece");
            tokio::time::sleep(DRIP_INTERVAL).await;
        }
        let answer = read_rest(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(replica.received.borrow()[0].ends_with(&"x".repeat(1_000)));
    })
    .await;
}

/// A caller chooses its deadline; the route's timeout limits for how long it holds memory.
#[tokio::test]
async fn a_body_that_never_comes_is_given_up_at_its_routes_timeout() {
    within_test_timeout(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let whole = request("POST", "/once/a", &"x".repeat(1_000));
        let patient = whole.replace("deadline: 1400", "deadline: 3600000");
        let mut stream = connect(test_front.address).await;
        let start = &patient.as_bytes()[..patient.len() - 1];
        stream.write_all(start).await.expect("most of the body");
        let answer = read_rest(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert_eq!(replica.count(), 0);
    })
    .await;
}

#[tokio::test]
async fn a_head_that_never_ends_is_given_up_at_its_timeout() {
    within_test_timeout(async {
        let replica = Replica::start(&[SIGNED_RESPONSE]).await;
        let test_front = start(&[&replica]).await;
        let mut stream = connect(test_front.address).await;
        let started = std::time::Instant::now();
        stream.write_all(b"GET /safe/a HT").await.expect("sent");
        let answer = read_rest(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        // The configured time for a head is 3 s, and 15 s for an idle connection.
        assert!(started.elapsed() >= Duration::from_secs(3));
        assert!(started.elapsed() < Duration::from_secs(10));
    })
    .await;
}

/// The connection of a request that runs is never closed for a new one.
#[tokio::test]
async fn a_new_connection_takes_the_place_of_the_longest_idle_one() {
    within_test_timeout(async {
        let replica = Replica::start(&["", SIGNED_RESPONSE]).await;
        let test_front = start_with_memory(&[&replica], "", None, FEW_CONNECTIONS_MEMORY).await;
        let mut running = connect(test_front.address).await;
        let unanswered = request("GET", "/safe/a", "");
        running
            .write_all(unanswered.as_bytes())
            .await
            .expect("sent");
        while replica.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut idle = Vec::new();
        for _ in 0..MORE_CONNECTIONS_THAN_FIT {
            idle.push(connect(test_front.address).await);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let answer = send_request(test_front.address, &request("GET", "/safe/a", "")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(
            read_rest(&mut idle[0]).await,
            "",
            "the longest idle one is closed"
        );
        let newest = idle.last_mut().expect("connections");
        let request = request("GET", "/safe/a", "");
        newest.write_all(request.as_bytes()).await.expect("sent");
        let answer = read_rest(newest).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let mut byte = [0];
        let closed = running.try_read(&mut byte);
        assert!(closed.is_err(), "the request still runs: {closed:?}");
    })
    .await;
}
