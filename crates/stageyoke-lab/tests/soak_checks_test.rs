//! The soak's checks bite: each is shown a breach, and what excuses it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use stageyoke_lab::soak::calm::{CHANGE_BOUND, Calm, IN_TOUCH_AFTER};
use stageyoke_lab::soak::changes::{Versions, probe};
use stageyoke_lab::soak::promises::Promises;
use stageyoke_lab::soak::proxy::{Mode, Proxy};
use stageyoke_lab::standins::platform::replica::{ReplicaFaults, ReplicaStandIn};
use stageyoke_lab::standins::serve;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Time beyond the bound.
const BEYOND: Duration = Duration::from_millis(300);

#[tokio::test(start_paused = true)]
async fn bounds_hold_only_some_time_after_every_disturbance() {
    let calm = Calm::default();
    assert!(calm.holds(), "nothing has struck yet");
    calm.disturb();
    calm.disturb();
    calm.settle();
    tokio::time::advance(IN_TOUCH_AFTER * 2).await;
    assert!(!calm.holds(), "one is still under way");
    calm.settle();
    tokio::time::advance(IN_TOUCH_AFTER - Duration::from_millis(1)).await;
    assert!(!calm.holds());
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(calm.holds());
}

async fn send(address: SocketAddr, request: &str) {
    let mut stream = TcpStream::connect(address).await.expect("connection");
    let _ = stream.write_all(request.as_bytes()).await;
    let _ = stream.read_to_string(&mut String::new()).await;
}

#[rstest]
#[case::in_time(Duration::ZERO, false, 0)]
#[case::too_late(CHANGE_BOUND + BEYOND, false, 1)]
#[case::in_trouble(CHANGE_BOUND + BEYOND, true, 0)]
#[tokio::test]
async fn work_for_a_replica_that_left_is_told(
    #[case] late: Duration,
    #[case] trouble: bool,
    #[case] breaches: usize,
) {
    let promises = Arc::new(Promises::default());
    let replica = Arc::new(ReplicaStandIn {
        id: "replica".to_owned(),
        is_engine: false,
        faults: Arc::new(ReplicaFaults::default()),
        promises: promises.clone(),
        started_at_ms: Default::default(),
        leaving_since: Mutex::default(),
    });
    let server = serve(replica.clone(), None).await.expect("server");
    replica.set_leaving(true);
    tokio::time::sleep(late).await;
    if trouble {
        promises.calm.disturb();
    }
    // Without a body that anybody announced: only the leaving counts here.
    let request = "GET /safe/read HTTP/1.1\r\nhost: x\r\nrequest-id: r\r\n\
                   expect-instance: replica\r\nconnection: close\r\n\r\n";
    send(server.address, request).await;
    let (told, _) = promises.judge();
    let leaving = told.iter().filter(|breach| breach.contains("it leaves"));
    assert_eq!(leaving.count(), breaches, "{told:?}");
}

/// A front that goes by an old configuration for ever.
#[rstest]
#[case::goes_by_the_old_one("200 OK", true)]
#[case::knows_the_new_one("404 Not Found", false)]
#[tokio::test]
async fn a_front_that_goes_by_an_old_configuration_is_told(
    #[case] status: &'static str,
    #[case] told: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let front = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 1024];
            let _ = stream.read(&mut buffer).await;
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let promises = Arc::new(Promises::default());
    let versions = Arc::new(Versions::default());
    versions.accepted(1);
    versions.accepted(2);
    let began = Instant::now();
    let fronts = Arc::new(vec![front]);
    let probing = probe(fronts, versions, promises.clone());
    let _ = tokio::time::timeout(CHANGE_BOUND - BEYOND, probing).await;
    assert!(promises.judge().0.is_empty(), "within the bound");
    assert!(began.elapsed() < CHANGE_BOUND);
    let versions = Arc::new(Versions::default());
    versions.accepted(1);
    versions.accepted(2);
    let probing = probe(Arc::new(vec![front]), versions, promises.clone());
    let _ = tokio::time::timeout(CHANGE_BOUND + BEYOND, probing).await;
    assert_eq!(!promises.judge().0.is_empty(), told);
}

#[test]
fn the_judge_of_ci_excuses_only_what_is_listed() {
    let folder = tempfile::tempdir().expect("folder");
    let judge = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/judge");
    let passes = |report: &str, known: &str, status: &str| {
        let (report_file, known_file) = (folder.path().join("report"), folder.path().join("known"));
        std::fs::write(&report_file, report).expect("report");
        std::fs::write(&known_file, known).expect("known");
        let mut command = std::process::Command::new("bash");
        command.arg(judge).arg(report_file).arg(known_file);
        let output = command.arg(status).output().expect("bash");
        output.status.success()
    };
    let failed = "test one ... FAILED\ntest result: FAILED. 0 passed; 1 failed\n\
                  error: test failed, to rerun pass `-p x`\n";
    assert!(passes("test one ... ok\n", "", "0"));
    assert!(passes(failed, "one: cause (issue 1)\n", "101"));
    assert!(!passes(failed, "", "101"), "not listed");
    assert!(!passes(failed, "another: cause (issue 1)\n", "101"));
    let crashed = format!("{failed}error: test failed, to rerun pass `-p y`\n");
    assert!(
        !passes(&crashed, "one: cause (issue 1)\n", "101"),
        "a crash"
    );
    assert!(!passes("error: could not compile\n", "one: cause\n", "101"));
    let many = "a: x\nb: x\nc: x\nd: x\n";
    assert!(!passes("test one ... ok\n", many, "0"), "too many");
}

/// A service that answers each line with itself.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

/// What a caller hears within a moment.
async fn heard(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 256];
    stream.write_all(b"hello").await.expect("request");
    let reading = tokio::time::timeout(BEYOND, stream.read(&mut buffer));
    let count = reading.await.map_or(0, |count| count.unwrap_or(0));
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

#[rstest]
#[case::of_this_process(std::process::id(), "")]
#[case::of_another(1, "hello")]
#[tokio::test]
async fn a_silence_strikes_connections_of_the_named_processes_only(
    #[case] process: u32,
    #[case] expected: &str,
) {
    let proxy = Proxy::start(echo().await).await.expect("proxy");
    let mut open = TcpStream::connect(proxy.address).await.expect("open");
    assert_eq!(heard(&mut open).await, "hello");
    let named = vec![process];
    proxy.weather.set_for(Mode::Silence, Duration::ZERO, named);
    assert_eq!(heard(&mut open).await, expected, "open before");
    let mut new = TcpStream::connect(proxy.address).await.expect("new");
    assert_eq!(heard(&mut new).await, expected, "opened meanwhile");
    proxy.weather.set(Mode::Pass, Duration::ZERO);
    assert!(heard(&mut new).await.starts_with("hello"));
}

#[tokio::test]
async fn a_refusing_proxy_ends_what_is_open_and_refuses_what_is_new() {
    let proxy = Proxy::start(echo().await).await.expect("proxy");
    let mut open = TcpStream::connect(proxy.address).await.expect("open");
    assert_eq!(heard(&mut open).await, "hello");
    proxy.weather.set(Mode::Refuse, Duration::ZERO);
    tokio::time::sleep(BEYOND).await;
    assert_eq!(open.read(&mut [0; 8]).await.unwrap_or(0), 0, "ended");
    let mut new = TcpStream::connect(proxy.address).await.expect("new");
    assert!(heard(&mut new).await.starts_with("HTTP/1.1 503 "));
}
