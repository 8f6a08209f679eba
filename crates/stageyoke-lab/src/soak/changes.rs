//! Checks that configuration changes take effect in time: each front is probed for a route
//! that exists only in a superseded configuration.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::disturbances::MAX_PROPAGATION_DELAY;
use super::promises::{ExpectedRequest, Promises};
use crate::standins::platform::tenants::CALLERS_KEY;
use crate::standins::platform::{HOST, names, version_path};

const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline sent with a probe; shorter than [`PROBE_TIMEOUT`].
const DEADLINE: Duration = Duration::from_millis(1000);
/// Time after which a probe counts as unanswered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Configuration versions of a run, with the time at which each was accepted.
#[derive(Debug, Default)]
pub struct ConfigurationVersions(Mutex<Vec<(u64, Instant)>>);

impl ConfigurationVersions {
    /// Records that the service accepted a configuration.
    pub fn record_accepted(&self, version: u64) {
        let mut versions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        versions.push((version, Instant::now()));
    }

    /// Returns the newest version that no front may use any more, and the time since its
    /// successor was accepted.
    pub fn latest_superseded(&self) -> Option<(u64, Duration)> {
        let versions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pairs = versions.windows(2).rev();
        let ages = pairs.map(|pair| (pair[0].0, pair[1].1.elapsed()));
        ages.into_iter()
            .find(|(_, age)| *age > MAX_PROPAGATION_DELAY)
    }
}

/// Probes the fronts in turn until the task is dropped.
pub async fn probe_fronts(
    fronts: Arc<Vec<SocketAddr>>,
    versions: Arc<ConfigurationVersions>,
    promises: Arc<Promises>,
) {
    for number in 0_u64.. {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let front = fronts[number as usize % fronts.len()];
        // Bounds must apply when the probe is sent and when the response is read.
        if !promises.disturbances.bounds_apply() {
            continue;
        }
        let Some((version, age)) = versions.latest_superseded() else {
            continue;
        };
        let request = format!("probe-{number}");
        let expected = ExpectedRequest {
            body: Bytes::new(),
            repeatable: true,
        };
        promises.record_request(&request, expected);
        let path = version_path(version);
        let response = send_request(front, &request, &path, CALLERS_KEY);
        let status = tokio::time::timeout(PROBE_TIMEOUT, response).await;
        if matches!(status, Ok(Some(200))) && promises.disturbances.bounds_apply() {
            let late = age.as_millis();
            promises.report_breach(format!(
                "{front} used configuration {version} {late} ms after its successor was accepted"
            ));
        }
    }
}

/// Sends a request for `path` with a key and returns the status, if there is a response.
pub async fn send_request(front: SocketAddr, request: &str, path: &str, key: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).await.ok()?;
    let (request_header, deadline_header) = (names::REQUEST_ID, names::DEADLINE_MS);
    let milliseconds = DEADLINE.as_millis();
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\n{request_header}: {request}\r\n\
         {deadline_header}: {milliseconds}\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    response.split(' ').nth(1)?.parse().ok()
}
