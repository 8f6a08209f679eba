//! The soak's checks bite: each is shown a breach, and what excuses it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use stageyoke_lab::soak::calm::{CHANGE_BOUND, Calm, IN_TOUCH_AFTER};
use stageyoke_lab::soak::changes::{Versions, probe};
use stageyoke_lab::soak::promises::Promises;
use stageyoke_lab::standins::platform::replica::{ReplicaStandIn, ReplicaTrouble};
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
        model: false,
        trouble: Arc::new(ReplicaTrouble::default()),
        promises: promises.clone(),
        leaving_since: Mutex::default(),
    });
    let server = serve(replica.clone(), None).await.expect("server");
    replica.leaves(true);
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
