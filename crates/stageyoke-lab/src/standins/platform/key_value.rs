//! Stand-in for the platform's key-value service: revisions, watches, transactions,
//! compaction of the history, and faults on demand.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use stageyoke_node::backends::Body;
use tokio::sync::Notify;

use crate::standins::{Handler, read_json, respond, respond_json};

const MAX_HISTORY_EVENTS: usize = 4096;

/// In-memory key-value service of the platform.
#[derive(Default)]
pub struct PlatformKeyValueStandIn {
    data: Mutex<Data>,
    changed: Notify,
    /// Rejects every call with status 503 while `true`.
    pub down: AtomicBool,
    /// Added delay of each answer, in milliseconds.
    pub answer_delay_ms: AtomicU64,
    /// Percentage of transactions that are processed but never answered.
    pub lost_answer_percent: AtomicU32,
    /// Number of calls received.
    pub calls: AtomicU64,
    /// While `true`, calls are accepted but never answered.
    silent: AtomicBool,
    /// Counts the starts and ends of silences; a call during which it changes is never
    /// answered.
    silence_changes: AtomicU64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    history: VecDeque<(u64, String)>,
    compacted_revision: u64,
}

struct StoredItem {
    value: Vec<u8>,
    revision: u64,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(rename = "ExpectRev", default)]
    conditions: Vec<Condition>,
    #[serde(default)]
    put: Vec<Put>,
}

#[derive(Deserialize)]
struct Condition {
    #[serde(rename = "Key")]
    key: String,
    #[serde(rename = "Rev")]
    revision: u64,
}

#[derive(Deserialize)]
struct Put {
    #[serde(rename = "Key")]
    key: String,
    #[serde(rename = "Value")]
    value: String,
}

impl PlatformKeyValueStandIn {
    fn lock_data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key on behalf of the operator or a replica.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.lock_data().write(key, Some(value));
        self.changed.notify_waiters();
    }

    /// Returns a key's value.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.lock_data();
        data.items.get(key).map(|stored| stored.value.clone())
    }

    /// Removes a key on behalf of the operator or a replica.
    pub fn remove(&self, key: &str) {
        self.lock_data().write(key, None);
        self.changed.notify_waiters();
    }

    /// Compacts the whole history, so that watches from older revisions get status
    /// 410 and must read a new snapshot.
    pub fn compact_history(&self) {
        let mut data = self.lock_data();
        data.history.clear();
        data.compacted_revision = data.revision + 1;
        data.revision += 1;
        drop(data);
        self.changed.notify_waiters();
    }

    /// Stops answering while keeping all connections open. Calls in flight,
    /// including watches, never get an answer.
    pub fn stop_answering(&self) {
        self.silence_changes.fetch_add(1, Ordering::Relaxed);
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Answers calls that arrive from now on.
    pub fn resume_answering(&self) {
        self.silent.store(false, Ordering::Relaxed);
        self.silence_changes.fetch_add(1, Ordering::Relaxed);
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<Body> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            {
                let data = self.lock_data();
                if after < data.compacted_revision {
                    return respond(StatusCode::GONE, "");
                }
                let events = data.events(prefix, after);
                if !events.is_empty() {
                    return respond_json(&json!({"events": events, "at": data.revision}));
                }
            }
            if tokio::time::timeout_at(deadline, notified).await.is_err() {
                let at = self.lock_data().revision;
                return respond_json(&json!({"events": [], "at": at}));
            }
        }
    }

    fn transact(&self, transaction: &Transaction) -> Response<Body> {
        let mut data = self.lock_data();
        let conditions_hold = transaction
            .conditions
            .iter()
            .all(|condition| data.revision_of(&condition.key) == condition.revision);
        if !conditions_hold {
            return respond(StatusCode::PRECONDITION_FAILED, "{\"items\":[]}");
        }
        for put in &transaction.put {
            let Ok(value) = STANDARD.decode(&put.value) else {
                return respond(StatusCode::BAD_REQUEST, "");
            };
            data.write(&put.key, Some(&value));
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_waiters();
        respond_json(&json!({"Rev": revision}))
    }
}

impl Data {
    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |stored| stored.revision)
    }

    fn write(&mut self, key: &str, value: Option<&[u8]>) {
        self.revision += 1;
        let revision = self.revision;
        match value {
            Some(value) => {
                let stored = StoredItem {
                    value: value.to_vec(),
                    revision,
                };
                self.items.insert(key.to_owned(), stored);
            }
            None => drop(self.items.remove(key)),
        }
        self.history.push_back((revision, key.to_owned()));
        if self.history.len() > MAX_HISTORY_EVENTS
            && let Some((revision, _)) = self.history.pop_front()
        {
            self.compacted_revision = revision;
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        self.history
            .iter()
            .filter(|(revision, key)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key)| match self.items.get(key) {
                Some(stored) => item_json(key, stored),
                None => json!({"Key": key, "Rev": revision, "gone": true}),
            })
            .collect()
    }
}

fn item_json(key: &str, stored: &StoredItem) -> Value {
    json!({"Key": key, "Value": STANDARD.encode(&stored.value), "Rev": stored.revision,
           "made": stored.revision, "lease": 0})
}

/// Returns the value of a query parameter.
fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pair = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.to_owned())
    })?;
    Some(pair)
}

impl Handler for PlatformKeyValueStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let silence_changes = self.silence_changes.load(Ordering::Relaxed);
        let response = self.answer(request).await;
        let silent = self.silent.load(Ordering::Relaxed);
        if silent || self.silence_changes.load(Ordering::Relaxed) != silence_changes {
            std::future::pending::<()>().await;
        }
        response
    }
}

impl PlatformKeyValueStandIn {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let delay = self.answer_delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        if self.down.load(Ordering::Relaxed) {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let prefix = query_parameter(&request, "PathPrefix").unwrap_or_default();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/kv-key") => {
                let key = query_parameter(&request, "Key").unwrap_or_default();
                let data = self.lock_data();
                match data.items.get(&key) {
                    Some(stored) => respond_json(&item_json(&key, stored)),
                    None => respond(StatusCode::NOT_FOUND, ""),
                }
            }
            (&Method::GET, "/-/kv-range") => {
                let data = self.lock_data();
                let items: Vec<Value> = data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, stored)| item_json(key, stored))
                    .collect();
                respond_json(&json!({"items": items, "more": false, "at": data.revision}))
            }
            (&Method::GET, "/-/kv-watch") => {
                let number_parameter =
                    |name| query_parameter(&request, name).and_then(|text| text.parse().ok());
                let after = number_parameter("after").unwrap_or(0);
                let wait = Duration::from_millis(number_parameter("WaitMs").unwrap_or(1000));
                self.watch(&prefix, after, wait).await
            }
            (&Method::POST, "/-/kv-txn") => {
                let Some(transaction) = read_json::<Transaction>(request).await else {
                    return respond(StatusCode::BAD_REQUEST, "");
                };
                let answer = self.transact(&transaction);
                let lost_answer_percent = self.lost_answer_percent.load(Ordering::Relaxed);
                if rand::random_range(0..100) < lost_answer_percent {
                    // The transaction was processed, but its answer is lost.
                    std::future::pending::<()>().await;
                }
                answer
            }
            _ => respond(StatusCode::NOT_FOUND, ""),
        }
    }
}
