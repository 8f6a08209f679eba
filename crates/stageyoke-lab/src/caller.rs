//! HTTP client of the OpenAI chat format.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use stageyoke_node::backends::{HttpClient, full_body, http_client};

/// Longest wait for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Complete answer.
    Answer(String),
    /// Error answer.
    Rejected {
        /// HTTP status; 200 if the stream had started.
        status: u16,
        /// Error kind.
        kind: String,
        /// Run state of the call, such as `not_run`.
        run_state: String,
    },
    /// The connection failed or the stream ended before its final chunk.
    Incomplete,
}

impl Reply {
    /// Returns the text of a complete answer.
    pub fn answer(&self) -> Option<&str> {
        match self {
            Self::Answer(text) => Some(text),
            _ => None,
        }
    }
}

/// Parameters of a call.
#[derive(Clone, Debug, Default)]
pub struct CallPlan<'a> {
    /// Program kind, sent as the model's name.
    pub model: &'a str,
    /// Text of the only message.
    pub text: &'a str,
    /// Identifier of the program, if the call belongs to one.
    pub program: Option<&'a str>,
    /// Identifier of the parent program.
    pub parent: Option<&'a str>,
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Requests a streamed answer if `true`.
    pub stream: bool,
}

/// Client with a tenant's API key.
#[derive(Clone)]
pub struct Caller {
    http: HttpClient,
    key: String,
}

impl Caller {
    /// Creates a client that sends this API key.
    pub fn new(key: &str) -> Self {
        Self {
            http: http_client(),
            key: key.to_owned(),
        }
    }

    /// Makes a call through one node.
    pub async fn call(&self, node: SocketAddr, plan: &CallPlan<'_>) -> Reply {
        let body = json!({
            "model": plan.model,
            "messages": [{ "role": "user", "content": plan.text }],
            "stream": plan.stream,
        });
        let mut request = Request::post(format!("http://{node}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        let headers = [
            ("x-program-id", plan.program),
            ("x-parent-program", plan.parent),
            ("idempotency-key", plan.key),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                request = request.header(name, value);
            }
        }
        let Ok(request) = request.body(full_body(body.to_string())) else {
            return Reply::Incomplete;
        };
        let Some((status, body)) = self.send(request).await else {
            return Reply::Incomplete;
        };
        if status != StatusCode::OK {
            return read_error(status, &body);
        }
        if plan.stream {
            read_stream(&body)
        } else {
            read_unstreamed(&body)
        }
    }

    /// Sends a request about a program; `None` if the answer is incomplete or no JSON.
    pub async fn request_program(
        &self,
        node: SocketAddr,
        method: Method,
        program: &str,
    ) -> Option<(u16, Value)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{node}/v1/programs/{program}"))
            .header("authorization", format!("Bearer {}", self.key))
            .body(full_body(Vec::new()))
            .ok()?;
        let (status, body) = self.send(request).await?;
        let value = serde_json::from_slice(&body).ok()?;
        Some((status.as_u16(), value))
    }

    /// Sends any request; `None` if there is no complete answer in time.
    pub async fn send(
        &self,
        request: Request<stageyoke_node::backends::Body>,
    ) -> Option<(StatusCode, Vec<u8>)> {
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, async {
            let response = self.http.request(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, body.to_vec()))
        });
        answer.await.ok().flatten()
    }

    /// Sends a GET request with the tenant's key.
    pub async fn get(&self, node: SocketAddr, path: &str) -> Option<(u16, String)> {
        let request = Request::get(format!("http://{node}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .body(full_body(Vec::new()))
            .ok()?;
        let (status, body) = self.send(request).await?;
        Some((status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
    }
}

fn read_error(status: StatusCode, body: &[u8]) -> Reply {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    Reply::Rejected {
        status: status.as_u16(),
        kind: field("kind"),
        run_state: field("run_state"),
    }
}

fn read_unstreamed(body: &[u8]) -> Reply {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match value["choices"][0]["message"]["content"].as_str() {
        Some(text) => Reply::Answer(text.to_owned()),
        None => Reply::Incomplete,
    }
}

fn read_stream(body: &[u8]) -> Reply {
    let text = String::from_utf8_lossy(body);
    let mut answer = String::new();
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Reply::Answer(answer);
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if value["error"].is_object() {
            return read_error(StatusCode::OK, data.as_bytes());
        }
        if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
            answer.push_str(content);
        }
    }
    Reply::Incomplete
}
