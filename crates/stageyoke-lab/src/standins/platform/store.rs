//! The platform's key-value service: items with revisions, watches, history
//! that can be forgotten, transactions, and trouble on demand.

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

const HISTORY_EVENTS: usize = 4096;

/// The service.
#[derive(Default)]
pub struct PlatformStoreStandIn {
    data: Mutex<Data>,
    changed: Notify,
    /// Refuses everything.
    pub down: AtomicBool,
    /// Milliseconds that each answer takes longer.
    pub answer_delay_ms: AtomicU64,
    /// Of 100 writes, so many are done without an answer.
    pub lost_answer_percent: AtomicU32,
    /// Calls so far.
    pub calls: AtomicU64,
    /// While true, calls are taken and never answered.
    silent: AtomicBool,
    /// Silences so far; a call that one began or ended in is never answered.
    silences: AtomicU64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Stored>,
    history: VecDeque<(u64, String)>,
    forgotten: u64,
}

struct Stored {
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

impl PlatformStoreStandIn {
    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key, as the operator or a replica does.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.data().write(key, Some(value));
        self.changed.notify_waiters();
    }

    /// A key's value.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.data();
        data.items.get(key).map(|stored| stored.value.clone())
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.data().write(key, None);
        self.changed.notify_waiters();
    }

    /// Forgets all history: watches must read everything again.
    pub fn forget_history(&self) {
        let mut data = self.data();
        data.history.clear();
        data.forgotten = data.revision + 1;
        data.revision += 1;
        drop(data);
        self.changed.notify_waiters();
    }

    /// Answers nobody any more, and leaves all connections open. What is waiting
    /// now, watches too, never gets an answer.
    pub fn stop_answering(&self) {
        self.silences.fetch_add(1, Ordering::Relaxed);
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Answers the calls that come from now on.
    pub fn resume_answering(&self) {
        self.silent.store(false, Ordering::Relaxed);
        self.silences.fetch_add(1, Ordering::Relaxed);
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<Body> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            {
                let data = self.data();
                if after < data.forgotten {
                    return respond(StatusCode::GONE, "");
                }
                let events = data.events(prefix, after);
                if !events.is_empty() {
                    return respond_json(&json!({"events": events, "at": data.revision}));
                }
            }
            if tokio::time::timeout_at(deadline, notified).await.is_err() {
                let at = self.data().revision;
                return respond_json(&json!({"events": [], "at": at}));
            }
        }
    }

    fn transact(&self, transaction: &Transaction) -> Response<Body> {
        let mut data = self.data();
        let holds = transaction
            .conditions
            .iter()
            .all(|condition| data.revision_of(&condition.key) == condition.revision);
        if !holds {
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
                let stored = Stored {
                    value: value.to_vec(),
                    revision,
                };
                self.items.insert(key.to_owned(), stored);
            }
            None => drop(self.items.remove(key)),
        }
        self.history.push_back((revision, key.to_owned()));
        if self.history.len() > HISTORY_EVENTS
            && let Some((revision, _)) = self.history.pop_front()
        {
            self.forgotten = revision;
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        self.history
            .iter()
            .filter(|(revision, key)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key)| match self.items.get(key) {
                Some(stored) => item(key, stored),
                None => json!({"Key": key, "Rev": revision, "gone": true}),
            })
            .collect()
    }
}

fn item(key: &str, stored: &Stored) -> Value {
    json!({"Key": key, "Value": STANDARD.encode(&stored.value), "Rev": stored.revision,
           "made": stored.revision, "lease": 0})
}

/// A query's value.
fn query(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pair = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.to_owned())
    })?;
    Some(pair)
}

impl Handler for PlatformStoreStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let silences = self.silences.load(Ordering::Relaxed);
        let response = self.answer(request).await;
        let silent = self.silent.load(Ordering::Relaxed);
        if silent || self.silences.load(Ordering::Relaxed) != silences {
            std::future::pending::<()>().await;
        }
        response
    }
}

impl PlatformStoreStandIn {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let slow = self.answer_delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(slow)).await;
        if self.down.load(Ordering::Relaxed) {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let prefix = query(&request, "PathPrefix").unwrap_or_default();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/kv-key") => {
                let key = query(&request, "Key").unwrap_or_default();
                let data = self.data();
                match data.items.get(&key) {
                    Some(stored) => respond_json(&item(&key, stored)),
                    None => respond(StatusCode::NOT_FOUND, ""),
                }
            }
            (&Method::GET, "/-/kv-range") => {
                let data = self.data();
                let items: Vec<Value> = data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, stored)| item(key, stored))
                    .collect();
                respond_json(&json!({"items": items, "more": false, "at": data.revision}))
            }
            (&Method::GET, "/-/kv-watch") => {
                let number = |name| query(&request, name).and_then(|text| text.parse().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(1000));
                self.watch(&prefix, after, wait).await
            }
            (&Method::POST, "/-/kv-txn") => {
                let Some(transaction) = read_json::<Transaction>(request).await else {
                    return respond(StatusCode::BAD_REQUEST, "");
                };
                let answer = self.transact(&transaction);
                let lost = self.lost_answer_percent.load(Ordering::Relaxed);
                if rand::random_range(0..100) < lost {
                    // Done, and never answered.
                    std::future::pending::<()>().await;
                }
                answer
            }
            _ => respond(StatusCode::NOT_FOUND, ""),
        }
    }
}
