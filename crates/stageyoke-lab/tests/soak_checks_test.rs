//! Checks that the soak reports violations, and accepts them while bounds do not apply.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use stageyoke_lab::soak::changes::{ConfigurationVersions, probe_fronts};
use stageyoke_lab::soak::disturbances::{
    DisturbanceTracker, MAX_PROPAGATION_DELAY, RECOVERY_DELAY,
};
use stageyoke_lab::soak::promises::Promises;
use stageyoke_lab::soak::proxy::{Mode, Proxy};
use stageyoke_lab::standins::platform::cold_phase::ColdPhase;
use stageyoke_lab::standins::platform::replica::{
    ReplicaCapacity, ReplicaFaults, ReplicaSlots, ReplicaStandIn,
};
use stageyoke_lab::standins::serve;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Margin before and after a bound.
const MARGIN: Duration = Duration::from_millis(300);

#[tokio::test(start_paused = true)]
async fn bounds_apply_only_after_recovery_from_all_disturbances() {
    let disturbances = DisturbanceTracker::default();
    assert!(disturbances.bounds_apply(), "no disturbance yet");
    disturbances.record_start();
    disturbances.record_start();
    disturbances.record_end();
    tokio::time::advance(RECOVERY_DELAY * 2).await;
    assert!(!disturbances.bounds_apply(), "one is still in progress");
    disturbances.record_end();
    tokio::time::advance(RECOVERY_DELAY - Duration::from_millis(1)).await;
    assert!(!disturbances.bounds_apply());
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(disturbances.bounds_apply());
}

async fn send(address: SocketAddr, request: &str) {
    let mut stream = TcpStream::connect(address).await.expect("connection");
    let _ = stream.write_all(request.as_bytes()).await;
    let _ = stream.read_to_string(&mut String::new()).await;
}

fn replica(promises: &Arc<Promises>) -> Arc<ReplicaStandIn> {
    Arc::new(ReplicaStandIn {
        id: "replica".to_owned(),
        zone: "zone-0".to_owned(),
        is_engine: false,
        faults: Arc::new(ReplicaFaults::default()),
        slots: ReplicaSlots::new(ReplicaCapacity::UNLIMITED_TOOL),
        promises: promises.clone(),
        started_at_ms: Default::default(),
        leaving_since: Mutex::default(),
        evacuated_since: Mutex::default(),
        version: Default::default(),
        cold_phase: ColdPhase::default(),
    })
}

#[rstest]
#[case::in_time(Duration::ZERO, false, 0)]
#[case::too_late(MAX_PROPAGATION_DELAY + MARGIN, false, 1)]
#[case::in_trouble(MAX_PROPAGATION_DELAY + MARGIN, true, 0)]
#[tokio::test]
async fn requests_to_a_draining_or_evacuated_replica_are_reported(
    #[case] late: Duration,
    #[case] trouble: bool,
    #[case] breaches: usize,
    #[values("it leaves", "evacuation")] what: &str,
) {
    let promises = Arc::new(Promises::default());
    let replica = replica(&promises);
    let server = serve(replica.clone(), None).await.expect("server");
    match what {
        "evacuation" => replica.set_evacuated(true),
        _ => replica.set_leaving(true),
    }
    tokio::time::sleep(late).await;
    if trouble {
        promises.disturbances.record_start();
    }
    // The request was not recorded, which is a breach of its own; only the draining counts here.
    let request = "GET /safe/read HTTP/1.1\r\nhost: x\r\nrequest-id: r\r\n\
                   expect-instance: replica\r\nconnection: close\r\n\r\n";
    send(server.address, request).await;
    let (reported, _) = promises.evaluate();
    let draining = reported.iter().filter(|breach| breach.contains(what));
    assert_eq!(draining.count(), breaches, "{reported:?}");
}

/// Fronts have time to learn of the phase before requests count.
#[rstest]
#[case::within_the_limit(35, MAX_PROPAGATION_DELAY + Duration::from_millis(1001), 0)]
#[case::beyond_the_limit(36, MAX_PROPAGATION_DELAY + Duration::from_millis(1001), 1)]
#[case::not_known_yet(36, MAX_PROPAGATION_DELAY, 0)]
#[tokio::test(start_paused = true)]
async fn requests_beyond_the_rate_of_a_cold_replica_are_counted(
    #[case] requests: usize,
    #[case] after: Duration,
    #[case] expected: usize,
) {
    let cold_phase = ColdPhase::default();
    cold_phase.start(MAX_PROPAGATION_DELAY * 2);
    tokio::time::advance(after).await;
    let excess = (0..requests).filter_map(|_| cold_phase.count_request());
    assert_eq!(excess.count(), expected);
    tokio::time::advance(MAX_PROPAGATION_DELAY).await;
    assert!(
        (0..requests).all(|_| cold_phase.count_request().is_none()),
        "warm"
    );
}

#[rstest]
#[case::uses_the_old_configuration("200 OK", true)]
#[case::uses_the_new_configuration("404 Not Found", false)]
#[tokio::test]
async fn a_front_with_an_outdated_configuration_is_reported(
    #[case] status: &'static str,
    #[case] is_reported: bool,
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
    let versions = Arc::new(ConfigurationVersions::default());
    versions.record_accepted(1);
    versions.record_accepted(2);
    let started_at = Instant::now();
    let fronts = Arc::new(vec![front]);
    let probe = probe_fronts(fronts, versions, promises.clone());
    let _ = tokio::time::timeout(MAX_PROPAGATION_DELAY - MARGIN, probe).await;
    assert!(promises.evaluate().0.is_empty(), "within the bound");
    assert!(started_at.elapsed() < MAX_PROPAGATION_DELAY);
    let versions = Arc::new(ConfigurationVersions::default());
    versions.record_accepted(1);
    versions.record_accepted(2);
    let probe = probe_fronts(Arc::new(vec![front]), versions, promises.clone());
    let _ = tokio::time::timeout(MAX_PROPAGATION_DELAY + MARGIN, probe).await;
    assert_eq!(!promises.evaluate().0.is_empty(), is_reported);
}

#[test]
fn ci_accepts_only_listed_failures() {
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
    assert!(passes("test one ... ok\n", many, "0"));
    assert!(!passes(failed, many, "101"), "not among many");
    assert!(!passes(failed, ": one: cause\n", "101"), "without a name");
}

/// Starts a service that returns what it receives.
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

/// Sends a request and returns what is received within a short time.
async fn receive(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 256];
    stream.write_all(b"hello").await.expect("request");
    let reading = tokio::time::timeout(MARGIN, stream.read(&mut buffer));
    let count = reading.await.map_or(0, |count| count.unwrap_or(0));
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

#[rstest]
#[case::of_this_process(std::process::id(), "")]
#[case::of_another(1, "hello")]
#[tokio::test]
async fn silence_affects_only_connections_of_the_named_processes(
    #[case] process: u32,
    #[case] expected: &str,
) {
    let proxy = Proxy::start(echo().await).await.expect("proxy");
    let mut open = TcpStream::connect(proxy.address).await.expect("open");
    assert_eq!(receive(&mut open).await, "hello");
    let named = vec![process];
    proxy
        .behavior
        .set_for_processes(Mode::Silence, Duration::ZERO, named);
    assert_eq!(receive(&mut open).await, expected, "open before");
    let mut new = TcpStream::connect(proxy.address).await.expect("new");
    assert_eq!(receive(&mut new).await, expected, "opened meanwhile");
    proxy.behavior.set(Mode::Pass, Duration::ZERO);
    assert!(receive(&mut new).await.starts_with("hello"));
}

#[tokio::test]
async fn a_refusing_proxy_closes_open_connections_and_refuses_new_ones() {
    let proxy = Proxy::start(echo().await).await.expect("proxy");
    let mut open = TcpStream::connect(proxy.address).await.expect("open");
    assert_eq!(receive(&mut open).await, "hello");
    proxy.behavior.set(Mode::Refuse, Duration::ZERO);
    tokio::time::sleep(MARGIN).await;
    assert_eq!(open.read(&mut [0; 8]).await.unwrap_or(0), 0, "ended");
    let mut new = TcpStream::connect(proxy.address).await.expect("new");
    assert!(receive(&mut new).await.starts_with("HTTP/1.1 503 "));
}
