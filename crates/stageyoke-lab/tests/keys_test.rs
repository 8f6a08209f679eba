//! The soak's checks of keys and limits bite: fronts that break them are told, and
//! fronts that keep them are not.

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

/// Time in which each probe has asked more than once.
const ASKING: Duration = Duration::from_millis(2500);

/// A front that answers by the key that a request carries.
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

/// When the first turn is served.
const FIRST_TURN: Duration = Duration::from_millis(200);

/// What goes on beside the probes.
#[derive(Clone, Copy, PartialEq)]
enum State {
    /// Nothing strikes, and turns are served.
    DisturbanceTracker,
    /// Something strikes.
    Trouble,
    /// No store counts yet.
    NoTurnYet,
}

/// What the probes tell of a front after a key was taken away.
async fn told(answer: fn(&str) -> &'static str, state: State) -> Vec<String> {
    let promises = Arc::new(Promises::default());
    let versions = Arc::new(ConfigurationVersions::default());
    versions.record_accepted(1);
    versions.record_accepted(2);
    if state == State::Trouble {
        promises.disturbances.record_start();
    }
    let tenants = TenantProbe {
        fronts: Arc::new(vec![front(answer).await]),
        versions,
        promises: promises.clone(),
    };
    let serving = async {
        tokio::time::sleep(FIRST_TURN).await;
        if state != State::NoTurnYet {
            promises.record_turn_served();
        }
    };
    let all = async {
        tokio::join!(
            tenants.clone().probe_keys(),
            tenants.probe_rate_limit(),
            serving
        )
    };
    let _ = tokio::time::timeout(MAX_PROPAGATION_DELAY + ASKING, all).await;
    promises.evaluate().0
}

fn honest(request: &str) -> &'static str {
    match request {
        _ if request.contains(&guest_key(1)) => "401 Unauthorized",
        _ if request.contains(HOT_KEY) => "429 Too Many Requests",
        _ => "200 OK",
    }
}

fn takes_removed_keys(request: &str) -> &'static str {
    match request.contains(&guest_key(1)) {
        true => "200 OK",
        false => honest(request),
    }
}

fn refuses_under_the_limit(request: &str) -> &'static str {
    match request.contains(STEADY_KEY) {
        true => "429 Too Many Requests",
        false => honest(request),
    }
}

fn forgets_kept_keys(request: &str) -> &'static str {
    match request.contains(STEADY_KEY) {
        true => "401 Unauthorized",
        false => honest(request),
    }
}

fn has_no_limit(request: &str) -> &'static str {
    match request.contains(HOT_KEY) {
        true => "200 OK",
        false => honest(request),
    }
}

#[rstest]
#[case::honest(honest, State::DisturbanceTracker, "")]
#[case::takes_removed_keys(takes_removed_keys, State::DisturbanceTracker, "after its removal")]
#[case::takes_removed_keys_in_trouble(takes_removed_keys, State::Trouble, "")]
#[case::refuses_under_the_limit(
    refuses_under_the_limit,
    State::DisturbanceTracker,
    "under its limit"
)]
#[case::refuses_under_the_limit_in_trouble(
    refuses_under_the_limit,
    State::Trouble,
    "under its limit"
)]
#[case::forgets_kept_keys(forgets_kept_keys, State::DisturbanceTracker, "a key that is kept")]
#[case::has_no_limit(has_no_limit, State::DisturbanceTracker, "a tenant was granted")]
#[case::has_no_limit_in_trouble(has_no_limit, State::Trouble, "")]
#[case::has_no_limit_before_any_turn(has_no_limit, State::NoTurnYet, "")]
#[tokio::test]
async fn a_front_that_breaks_keys_or_limits_is_told(
    #[case] answer: fn(&str) -> &'static str,
    #[case] state: State,
    #[case] expected: &str,
) {
    let told = told(answer, state).await;
    assert_eq!(told.is_empty(), expected.is_empty(), "{told:?}");
    assert!(
        told.iter().all(|breach| breach.contains(expected)),
        "{told:?}"
    );
}
