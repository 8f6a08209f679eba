//! Stand-in for the key-value service: the JSON gateway form of etcd v3's range
//! and transaction calls, with outages and lost answers on demand.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use stageyoke_node::backends::Body;

use super::{Handler, read_json, respond, respond_json};

/// In-memory key-value service.
#[derive(Default)]
pub struct KeyValueStandIn {
    data: Mutex<Data>,
    down: AtomicBool,
    lose_next_answers: AtomicU64,
    request_count: AtomicU64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    values: BTreeMap<String, (String, u64)>,
}

#[derive(Deserialize)]
struct RangeRequest {
    key: String,
}

#[derive(Deserialize)]
struct TxnRequest {
    #[serde(default)]
    compare: Vec<Compare>,
    #[serde(default)]
    success: Vec<RequestOp>,
}

#[derive(Deserialize)]
struct Compare {
    key: String,
    mod_revision: String,
}

#[derive(Deserialize)]
struct RequestOp {
    request_put: Put,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
}

impl KeyValueStandIn {
    /// Starts or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Drops the answers of the next `count` writes after applying them.
    pub fn lose_next_answers(&self, count: u64) {
        self.lose_next_answers.store(count, Ordering::Relaxed);
    }

    /// Number of requests received.
    pub fn requests(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }

    fn range(&self, request: &RangeRequest) -> Response<Body> {
        let Ok(data) = self.data.lock() else {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        match data.values.get(&request.key) {
            Some((value, revision)) => respond_json(&json!({
                "kvs": [{
                    "key": request.key,
                    "value": value,
                    "mod_revision": revision.to_string(),
                }],
                "count": "1",
            })),
            None => respond_json(&json!({})),
        }
    }

    fn transact(&self, request: TxnRequest) -> Response<Body> {
        let Ok(mut data) = self.data.lock() else {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let conditions_hold = request.compare.iter().all(|compare| {
            let revision = data
                .values
                .get(&compare.key)
                .map_or(0, |(_, revision)| *revision);
            compare.mod_revision == revision.to_string()
        });
        if conditions_hold {
            data.revision += 1;
            let revision = data.revision;
            for operation in request.success {
                let put = operation.request_put;
                data.values.insert(put.key, (put.value, revision));
            }
            if self.consume_one(&self.lose_next_answers) {
                return respond(StatusCode::SERVICE_UNAVAILABLE, "answer lost");
            }
        }
        respond_json(&json!({ "succeeded": conditions_hold }))
    }

    fn consume_one(&self, counter: &AtomicU64) -> bool {
        counter
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                count.checked_sub(1)
            })
            .is_ok()
    }
}

impl Handler for KeyValueStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        match request.uri().path() {
            "/v3/kv/range" => match read_json(request).await {
                Some(range) => self.range(&range),
                None => respond(StatusCode::BAD_REQUEST, ""),
            },
            "/v3/kv/txn" => match read_json(request).await {
                Some(txn) => self.transact(txn),
                None => respond(StatusCode::BAD_REQUEST, ""),
            },
            _ => respond(StatusCode::NOT_FOUND, ""),
        }
    }
}
