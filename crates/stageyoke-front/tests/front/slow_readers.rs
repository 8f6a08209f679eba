//! Callers that read their responses slowly or late, and planned shutdowns meanwhile.

use socket2::{Domain, Socket, Type};
use tokio::sync::oneshot;

use super::unframed_connections::kept;
use super::*;

const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// More than all buffers between the replica and a caller that reads slowly.
const LARGE_BODY_BYTES: usize = 14_000_000;
const SLOW_BYTES_PER_SECOND: f64 = 2_800_000.0;
/// Response that a caller leaves unread for a while.
const UNREAD_BODY_BYTES: usize = 1_000_000;
const EVENT_BYTES: usize = 50_000;
const GRACE: Duration = Duration::from_secs(8);
const DEADLINE_MILLISECONDS: u64 = 6_000;

/// Connects with a small receive buffer, so that unread bytes stay with the front.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    let set = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    set.expect("buffer size");
    socket.connect(&address.into()).expect("connect");
    socket.set_nonblocking(true).expect("nonblocking");
    TcpStream::from_std(socket.into()).expect("stream")
}

fn patient_request(path: &str, deadline_milliseconds: u64) -> String {
    let deadline = format!("deadline: {deadline_milliseconds}");
    kept("GET", path).replace("deadline: 1400", &deadline)
}

fn framed_response(bytes: usize) -> String {
    let body = "x".repeat(bytes);
    format!("HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: {bytes}\r\n\r\n{body}")
}

fn unframed_response(bytes: usize) -> String {
    format!("{UNFRAMED_HEAD}{}CLOSE", "x".repeat(bytes))
}

/// A stream of large events, at least as long as `bytes`.
fn event_stream(bytes: usize) -> String {
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let head = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{}0\r\n\r\n", chunk.repeat(bytes / EVENT_BYTES + 1))
}

/// Reads at a limited rate until the connection ends, or nothing has come for `TEST_TIMEOUT`.
async fn read_at(
    stream: &mut TcpStream,
    bytes_per_second: f64,
    expected_bytes: usize,
) -> (usize, String) {
    let started = tokio::time::Instant::now();
    let mut received = 0;
    let mut buffer = vec![0; 32 * 1024];
    while received < expected_bytes {
        let reading = tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut buffer));
        match reading.await {
            Err(_) => return (received, "silence".to_owned()),
            Ok(Ok(0)) => return (received, "end".to_owned()),
            Ok(Ok(count)) => received += count,
            Ok(Err(error)) => return (received, error.to_string()),
        }
        let due = started + Duration::from_secs_f64(received as f64 / bytes_per_second);
        tokio::time::sleep_until(due).await;
    }
    (received, "read".to_owned())
}

/// Runs a front in a thread, as a process of its own, until it has stopped by itself.
struct FrontProcess {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl FrontProcess {
    async fn start(response: String) -> Self {
        let (sending, receiving) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("runtime");
            LocalSet::new().block_on(&runtime, async {
                let replica = Replica::start(&[&response]).await;
                let stop = async {
                    let _ = stopped.await;
                };
                let options = FrontOptions {
                    memory_bytes: LARGE_MEMORY_BYTES,
                    ..FrontOptions::default()
                };
                let (test_front, serving) = start_until(&[&replica], "", options, stop).await;
                let _ = sending.send(test_front.address);
                let _ = serving.await;
            });
        });
        Self {
            address: receiving.await.expect("address"),
            stop,
            thread,
        }
    }
}

/// Guards against responses that count as ended before they are written: a planned stop cuts them.
#[rstest]
#[case::framed("/patient/a", framed_response(LARGE_BODY_BYTES))]
#[case::unframed("/patient/a", unframed_response(LARGE_BODY_BYTES))]
#[case::stream("/feed/a", event_stream(LARGE_BODY_BYTES))]
#[tokio::test]
async fn a_planned_stop_cuts_no_response_that_is_being_written(
    #[case] path: &str,
    #[case] response: String,
) {
    let content = response.trim_end_matches("CLOSE");
    let (_, body) = content.split_once("\r\n\r\n").expect("head");
    let expected_bytes = body.len();
    let front = FrontProcess::start(response.clone()).await;
    let mut stream = connect(front.address).await;
    let message = patient_request(path, DEADLINE_MILLISECONDS);
    stream.write_all(message.as_bytes()).await.expect("send");
    let mut first = [0; 1];
    stream.read_exact(&mut first).await.expect("response");
    let stopped_at = std::time::Instant::now();
    front.stop.send(()).expect("stop");
    let (received, end) = read_at(&mut stream, SLOW_BYTES_PER_SECOND, usize::MAX).await;
    assert!(received >= expected_bytes, "{received} bytes, then {end}");
    front.thread.join().expect("thread");
    assert!(stopped_at.elapsed() < GRACE);
}

/// Guards against a planned stop that waits for its whole grace for nothing.
#[tokio::test]
async fn a_planned_stop_does_not_wait_for_connections_without_a_response() {
    let front = FrontProcess::start(framed_response(4)).await;
    let mut used = connect(front.address).await;
    let message = patient_request("/patient/a", DEADLINE_MILLISECONDS);
    used.write_all(message.as_bytes()).await.expect("send");
    let mut first = [0; 1];
    used.read_exact(&mut first).await.expect("response");
    let _unused = connect(front.address).await;
    let stopped_at = std::time::Instant::now();
    front.stop.send(()).expect("stop");
    front.thread.join().expect("thread");
    assert!(stopped_at.elapsed() < GRACE / 2);
}

/// Guards against a connection that is reset under a caller that reads late, but within its
/// deadline.
#[rstest]
#[case::framed("/patient/a", framed_response(UNREAD_BODY_BYTES))]
#[case::unframed("/patient/a", unframed_response(UNREAD_BODY_BYTES))]
#[case::stream("/feed/a", event_stream(UNREAD_BODY_BYTES))]
#[tokio::test]
async fn a_caller_that_reads_late_gets_its_whole_response(
    #[case] path: &str,
    #[case] response: String,
) {
    run_local(async {
        let content = response.trim_end_matches("CLOSE");
        let (_, body) = content.split_once("\r\n\r\n").expect("head");
        let replica = Replica::start(&[&response]).await;
        let options = FrontOptions {
            memory_bytes: LARGE_MEMORY_BYTES,
            ..FrontOptions::default()
        };
        let stop = std::future::pending();
        let (test_front, _) = start_until(&[&replica], "", options, stop).await;
        let mut stream = connect(test_front.address).await;
        let message = patient_request(path, DEADLINE_MILLISECONDS);
        stream.write_all(message.as_bytes()).await.expect("send");
        let mut first = [0; 1];
        stream.read_exact(&mut first).await.expect("response");
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        let expected_bytes = body.len();
        let (received, end) = read_at(&mut stream, f64::INFINITY, expected_bytes).await;
        assert!(received >= expected_bytes, "{received} bytes, then {end}");
    })
    .await;
}

/// Guards against responses that are held for ever for callers that never read them.
#[tokio::test]
async fn a_caller_that_never_reads_is_given_up_after_its_deadline() {
    run_local(async {
        let replica = Replica::start(&[&framed_response(LARGE_BODY_BYTES)]).await;
        let options = FrontOptions {
            memory_bytes: LARGE_MEMORY_BYTES,
            ..FrontOptions::default()
        };
        let stop = std::future::pending();
        let (test_front, _) = start_until(&[&replica], "", options, stop).await;
        let message = request("GET", "/patient/a", "").replace("deadline: 1400", "deadline: 3000");
        let mut silent = Vec::new();
        // The second one finds no memory while the first one is held.
        for _ in 0..2 {
            let mut stream = connect(test_front.address).await;
            stream.write_all(message.as_bytes()).await.expect("send");
            silent.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(5_500)).await;
        let mut stream = connect(test_front.address).await;
        stream.write_all(message.as_bytes()).await.expect("send");
        let (received, end) = read_at(&mut stream, f64::INFINITY, LARGE_BODY_BYTES).await;
        assert!(received >= LARGE_BODY_BYTES, "{received} bytes, then {end}");
        for stream in &mut silent {
            let (received, end) = read_at(stream, f64::INFINITY, LARGE_BODY_BYTES).await;
            assert!(received < LARGE_BODY_BYTES, "{received} bytes, then {end}");
        }
    })
    .await;
}
