//! Whether keys and limits of tenants are kept: a key that was taken away ends within
//! its bound, a tenant under its limit is never refused, and one over it does not get
//! much more.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use tokio::time::Instant;

use super::changes::{ANSWER_WITHIN, Versions, ask};
use super::promises::{Expected, Promises};
use crate::standins::platform::IDEMPOTENT_TOOL_PATH;
use crate::standins::platform::tenants::{HOT_BURST, HOT_KEY, HOT_RATE, STEADY_KEY, guest_key};

/// Window in which requests beyond a tenant's limit are counted; a setting of the
/// processes.
pub const QUOTA_WINDOW: Duration = Duration::from_millis(2000);
/// Limits that may be used at once, by the pages: owners that don't know of each other
/// for a moment grant one each.
const LIMITS_AT_ONCE: f64 = 2.0;
const PAUSE: Duration = Duration::from_millis(100);
/// Pause between requests of the hot tenant: some thirty a second.
const HOT_PAUSE: Duration = Duration::from_millis(30);

/// Where tenants ask, and where it is reported.
#[derive(Clone)]
pub struct Tenants {
    /// Where fronts listen.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Configurations so far.
    pub versions: Arc<Versions>,
    /// Where everything is reported.
    pub promises: Arc<Promises>,
}

impl Tenants {
    /// Asks with kept keys and with keys that were taken away, until dropped.
    pub async fn probe_keys(self) {
        for number in 0_u64.. {
            tokio::time::sleep(PAUSE).await;
            match number % 2 {
                0 => self.ask_with_a_kept_key(number).await,
                _ => self.ask_with_a_removed_key(number).await,
            }
        }
    }

    /// Asks for more than a limit until dropped, and counts what is granted.
    pub async fn probe_a_limit(self) {
        let began = Instant::now();
        let mut granted = VecDeque::new();
        for number in 0_u64.. {
            tokio::time::sleep(HOT_PAUSE).await;
            let status = self.ask(&format!("hot-{number}"), number, HOT_KEY).await;
            // Before the first turn no store counts: each front has a share and grants
            // one request at least.
            let counted = self.promises.turn_served_since(began);
            if !counted || !self.promises.calm.holds() {
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
            if granted.len() as f64 > limit * LIMITS_AT_ONCE {
                let (count, window) = (granted.len(), QUOTA_WINDOW.as_millis());
                self.promises.breach(format!(
                    "a tenant was granted {count} requests in {window} ms, of {limit}"
                ));
                granted.clear();
            }
        }
    }

    async fn ask_with_a_kept_key(&self, number: u64) {
        let request = format!("steady-{number}");
        match self.ask(&request, number, STEADY_KEY).await {
            Some(429) => self.told(&request, "a tenant under its limit was refused"),
            Some(401) => self.told(&request, "a key that is kept was refused"),
            _ => {}
        }
    }

    async fn ask_with_a_removed_key(&self, number: u64) {
        // Judged by the state when it was asked; trouble meanwhile excuses it.
        if !self.promises.calm.holds() {
            return;
        }
        let Some((version, age)) = self.versions.superseded() else {
            return;
        };
        let request = format!("guest-{number}");
        let status = self.ask(&request, number, &guest_key(version)).await;
        if status == Some(200) && self.promises.calm.holds() {
            let late = age.as_millis();
            let what = format!("a key was taken {late} ms after its removal");
            self.told(&request, &what);
        }
    }

    fn told(&self, request: &str, what: &str) {
        self.promises.breach(format!("{request}: {what}"));
    }

    async fn ask(&self, request: &str, number: u64, key: &str) -> Option<u16> {
        let front = self.fronts[number as usize % self.fronts.len()];
        let expected = Expected {
            body: Bytes::new(),
            repeatable: true,
        };
        self.promises.sends(request, expected);
        let asking = ask(front, request, IDEMPOTENT_TOOL_PATH, key);
        let status = tokio::time::timeout(ANSWER_WITHIN, asking).await;
        status.ok().flatten()
    }
}
