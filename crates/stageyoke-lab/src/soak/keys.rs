//! Checks the keys and rate limits of tenants: a revoked key is rejected in time, a tenant
//! below its limit is never rejected, and one above it gets little more than its limit.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use tokio::time::Instant;

use super::changes::{ConfigurationVersions, PROBE_TIMEOUT, send_request};
use super::promises::{ExpectedRequest, Promises};
use crate::standins::platform::IDEMPOTENT_TOOL_PATH;
use crate::standins::platform::tenants::{HOT_BURST, HOT_KEY, HOT_RATE, STEADY_KEY, guest_key};

/// Window of the rate limits; also a setting of the processes.
pub const QUOTA_WINDOW: Duration = Duration::from_millis(2000);
/// Number of limits that may be granted in a window: two owners of a quota may each grant one
/// while neither knows of the other.
const MAX_GRANTED_LIMITS: f64 = 2.0;
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between requests of the tenant that exceeds its limit.
const HOT_PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// Sends requests of several tenants and reports breaches of their keys and limits.
#[derive(Clone)]
pub struct TenantProbe {
    /// Addresses of the fronts.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Configuration versions accepted so far.
    pub versions: Arc<ConfigurationVersions>,
    /// Receives requests and breaches.
    pub promises: Arc<Promises>,
}

impl TenantProbe {
    /// Sends requests with valid and with revoked keys until dropped.
    pub async fn probe_keys(self) {
        for number in 0_u64.. {
            tokio::time::sleep(PROBE_INTERVAL).await;
            match number % 2 {
                0 => self.probe_valid_key(number).await,
                _ => self.probe_revoked_key(number).await,
            }
        }
    }

    /// Sends more requests than a limit allows until dropped, and checks how many are
    /// granted in a window.
    pub async fn probe_rate_limit(self) {
        let started_at = Instant::now();
        let mut granted = VecDeque::new();
        for number in 0_u64.. {
            tokio::time::sleep(HOT_PROBE_INTERVAL).await;
            let status = self
                .request_status(&format!("hot-{number}"), number, HOT_KEY)
                .await;
            // Before the first turn no store counts requests: each front grants from its own
            // share, and at least one request.
            let stores_count = self.promises.was_turn_served_since(started_at);
            if !stores_count || !self.promises.disturbances.bounds_apply() {
                granted.clear();
                continue;
            }
            if status == Some(200) {
                granted.push_back(Instant::now());
            }
            while granted
                .front()
                .is_some_and(|at| at.elapsed() > QUOTA_WINDOW)
            {
                granted.pop_front();
            }
            let limit = HOT_RATE * QUOTA_WINDOW.as_secs_f64() + HOT_BURST;
            if granted.len() as f64 > limit * MAX_GRANTED_LIMITS {
                let (count, window) = (granted.len(), QUOTA_WINDOW.as_millis());
                self.promises.report_breach(format!(
                    "a tenant was granted {count} requests in {window} ms, with a limit of {limit}"
                ));
                granted.clear();
            }
        }
    }

    async fn probe_valid_key(&self, number: u64) {
        let request = format!("steady-{number}");
        match self.request_status(&request, number, STEADY_KEY).await {
            Some(429) => self.report(&request, "a tenant under its limit was rejected"),
            Some(401) => self.report(&request, "a valid key was rejected"),
            _ => {}
        }
    }

    async fn probe_revoked_key(&self, number: u64) {
        // Bounds must apply when the probe is sent and when the response is read.
        if !self.promises.disturbances.bounds_apply() {
            return;
        }
        let Some((version, age)) = self.versions.latest_superseded() else {
            return;
        };
        let request = format!("guest-{number}");
        let status = self
            .request_status(&request, number, &guest_key(version))
            .await;
        if status == Some(200) && self.promises.disturbances.bounds_apply() {
            let late = age.as_millis();
            let what = format!("a revoked key was accepted {late} ms after its removal");
            self.report(&request, &what);
        }
    }

    fn report(&self, request: &str, what: &str) {
        self.promises.report_breach(format!("{request}: {what}"));
    }

    async fn request_status(&self, request: &str, number: u64, key: &str) -> Option<u16> {
        let front = self.fronts[number as usize % self.fronts.len()];
        let expected = ExpectedRequest {
            body: Bytes::new(),
            repeatable: true,
        };
        self.promises.record_request(request, expected);
        let response = send_request(front, request, IDEMPOTENT_TOOL_PATH, key);
        let status = tokio::time::timeout(PROBE_TIMEOUT, response).await;
        status.ok().flatten()
    }
}
