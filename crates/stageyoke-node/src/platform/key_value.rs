//! Client of the key-value service, over the JSON form of etcd's version 3
//! protocol (`/v3/kv/range`, `/v3/kv/txn`).
//!
//! The service is rate-limited and has outages; every caller of this client
//! must be able to do without an answer, and to find out later whether a
//! write whose answer was lost took effect.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::backends::{HttpClient, full_body, http_client, read_whole};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest answer: one value in base64. By default the service takes values of up to 1.5 MiB.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// No address answered in time. A write may have taken effect.
    Unavailable,
    /// The service asks for fewer requests.
    RateLimited,
    /// The answer could not be understood.
    Malformed,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Unavailable => "the key-value service did not answer",
            Self::RateLimited => "the key-value service asks for fewer requests",
            Self::Malformed => "the key-value service's answer could not be understood",
        })
    }
}

impl std::error::Error for StoreError {}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Content.
    pub value: Vec<u8>,
    /// Revision of its last change, for compare-and-swap.
    pub revision: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The new value is stored.
    Done,
    /// Another value was there.
    Conflict,
}

/// Client of the service.
#[derive(Clone)]
pub struct KeyValueClient {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct RangeRequest {
    key: String,
}

#[derive(Deserialize)]
struct RangeResponse {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct KeyValue {
    #[serde(default)]
    value: String,
    mod_revision: String,
}

#[derive(Serialize)]
struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<RequestOp>,
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Serialize)]
struct RequestOp {
    request_put: PutRequest,
}

#[derive(Serialize)]
struct PutRequest {
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct TxnResponse {
    #[serde(default)]
    succeeded: bool,
}

impl KeyValueClient {
    /// A client of a service with these addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            http: http_client(),
            addresses,
        }
    }

    /// True if the settings name no address.
    pub fn is_unset(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Reads a key; none if it is not there.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let request = RangeRequest {
            key: encode(key.as_bytes()),
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let Some(found) = response.kvs.into_iter().next() else {
            return Ok(None);
        };
        let value = STANDARD
            .decode(found.value)
            .map_err(|_| StoreError::Malformed)?;
        let revision = found.mod_revision.parse();
        Ok(Some(StoredValue {
            value,
            revision: revision.map_err(|_| StoreError::Malformed)?,
        }))
    }

    /// Writes a key if its revision is still the given one; 0 stands for a key
    /// that is not there.
    pub async fn swap(&self, key: &str, revision: u64, value: &[u8]) -> Result<Swap, StoreError> {
        let key = encode(key.as_bytes());
        let request = TxnRequest {
            compare: vec![Compare {
                key: key.clone(),
                target: "MOD",
                result: "EQUAL",
                mod_revision: revision.to_string(),
            }],
            success: vec![RequestOp {
                request_put: PutRequest {
                    key,
                    value: encode(value),
                },
            }],
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        Ok(if response.succeeded {
            Swap::Done
        } else {
            Swap::Conflict
        })
    }

    async fn call<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let content = serde_json::to_vec(body).map_err(|_| StoreError::Malformed)?;
        let mut failure = StoreError::Unavailable;
        for address in &self.addresses {
            match self.call_one(*address, path, content.clone()).await {
                Ok(answer) => {
                    return serde_json::from_slice(&answer).map_err(|_| StoreError::Malformed);
                }
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }

    async fn call_one(
        &self,
        address: SocketAddr,
        path: &str,
        content: Vec<u8>,
    ) -> Result<Vec<u8>, StoreError> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(full_body(content))
            .map_err(|_| StoreError::Malformed)?;
        let answered = tokio::time::timeout(TIMEOUT, async {
            let response = self.http.request(request).await;
            let response = response.map_err(|_| StoreError::Unavailable)?;
            let status = response.status();
            let body = read_whole(response.into_body(), MAX_ANSWER_BYTES).await;
            let body = body.ok_or(StoreError::Unavailable)?;
            match status {
                StatusCode::OK => Ok(body.to_vec()),
                StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
                _ => Err(StoreError::Unavailable),
            }
        });
        answered.await.unwrap_or(Err(StoreError::Unavailable))
    }
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}
