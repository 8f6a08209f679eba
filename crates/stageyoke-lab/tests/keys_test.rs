//! Checks that the soak reports fronts that violate keys and rate limits of tenants, and no
//! others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_lab::soak::changes::ConfigurationVersions;
use stageyoke_lab::soak::disturbances::MAX_PROPAGATION_DELAY;
use stageyoke_lab::soak::keys::TenantProbe;
use stageyoke_lab::soak::promises::Promises;
use stageyoke_lab::standins::platform::tenants::{HOT_KEY, STEADY_KEY, guest_key};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time in which each probe sends several requests.
const PROBE_DURATION: Duration = Duration::from_millis(2500);

/// Starts a front whose status depends on the key of a request.
async fn front(answer: fn(&str) -> &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 1024];
            let count = stream.read(&mut buffer).await.unwrap_or(0);
            let request = String::from_utf8_lossy(&buffer[..count]).into_owned();
            let status = answer(&request);
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Time until the first turn is served.
const FIRST_TURN_DELAY: Duration = Duration::from_millis(200);

/// State of the deployment while the probes run.
#[derive(Clone, Copy, PartialEq)]
enum State {
    /// No disturbance, and turns are served.
    Calm,
    /// A disturbance is in progress.
    Trouble,
    /// No turn has been served, so that no store counts requests.
    NoTurnYet,
}

/// Returns the breaches that the probes report after a key was revoked.
async fn reported_breaches(answer: fn(&str) -> &'static str, state: State) -> Vec<String> {
    let promises = Arc::new(Promises::default());
    let versions = Arc::new(ConfigurationVersions::default());
    versions.record_accepted(1);
    versions.record_accepted(2);
    if state == State::Trouble {
        promises.disturbances.record_start();
    }
    let probe = TenantProbe {
        fronts: Arc::new(vec![front(answer).await]),
        versions,
        promises: promises.clone(),
    };
    let serving = async {
        tokio::time::sleep(FIRST_TURN_DELAY).await;
        if state != State::NoTurnYet {
            promises.record_turn_served();
        }
    };
    let all = async {
        tokio::join!(
            probe.clone().probe_keys(),
            probe.probe_rate_limit(),
            serving
        )
    };
    let _ = tokio::time::timeout(MAX_PROPAGATION_DELAY + PROBE_DURATION, all).await;
    promises.evaluate().0
}

fn correct(request: &str) -> &'static str {
    match request {
        _ if request.contains(&guest_key(1)) => "401 Unauthorized",
        _ if request.contains(HOT_KEY) => "429 Too Many Requests",
        _ => "200 OK",
    }
}

fn accepts_revoked_keys(request: &str) -> &'static str {
    match request.contains(&guest_key(1)) {
        true => "200 OK",
        false => correct(request),
    }
}

fn rejects_below_the_limit(request: &str) -> &'static str {
    match request.contains(STEADY_KEY) {
        true => "429 Too Many Requests",
        false => correct(request),
    }
}

fn rejects_valid_keys(request: &str) -> &'static str {
    match request.contains(STEADY_KEY) {
        true => "401 Unauthorized",
        false => correct(request),
    }
}

fn has_no_rate_limit(request: &str) -> &'static str {
    match request.contains(HOT_KEY) {
        true => "200 OK",
        false => correct(request),
    }
}

#[rstest]
#[case::correct(correct, State::Calm, "")]
#[case::accepts_revoked_keys(accepts_revoked_keys, State::Calm, "after its removal")]
#[case::accepts_revoked_keys_in_trouble(accepts_revoked_keys, State::Trouble, "")]
#[case::rejects_below_the_limit(rejects_below_the_limit, State::Calm, "under its limit")]
#[case::rejects_below_the_limit_in_trouble(
    rejects_below_the_limit,
    State::Trouble,
    "under its limit"
)]
#[case::rejects_valid_keys(rejects_valid_keys, State::Calm, "a valid key")]
#[case::has_no_rate_limit(has_no_rate_limit, State::Calm, "a tenant was granted")]
#[case::has_no_rate_limit_in_trouble(has_no_rate_limit, State::Trouble, "")]
#[case::has_no_rate_limit_before_any_turn(has_no_rate_limit, State::NoTurnYet, "")]
#[tokio::test]
async fn violated_keys_and_limits_are_reported(
    #[case] answer: fn(&str) -> &'static str,
    #[case] state: State,
    #[case] expected: &str,
) {
    let breaches = reported_breaches(answer, state).await;
    assert_eq!(breaches.is_empty(), expected.is_empty(), "{breaches:?}");
    assert!(
        breaches.iter().all(|breach| breach.contains(expected)),
        "{breaches:?}"
    );
}
