//! A caller: an ordinary HTTP client of the OpenAI chat format.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use stageyoke_node::backends::{HttpClient, full_body, http_client};

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The whole answer.
    Answer(String),
    /// An error with its kind and run state.
    Rejected {
        /// HTTP status; 200 if the stream had begun.
        status: u16,
        /// Kind.
        kind: String,
        /// Whether it ran.
        run_state: String,
    },
    /// The connection broke, or the stream ended without its end.
    Incomplete,
}

impl Reply {
    /// The answer, if there is one.
    pub fn answer(&self) -> Option<&str> {
        match self {
            Self::Answer(text) => Some(text),
            _ => None,
        }
    }
}

/// One call to make.
#[derive(Clone, Debug, Default)]
pub struct CallPlan<'a> {
    /// Program kind.
    pub model: &'a str,
    /// Text of the one new message.
    pub text: &'a str,
    /// Program, if the call belongs to one.
    pub program: Option<&'a str>,
    /// Parent program.
    pub parent: Option<&'a str>,
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Streamed?
    pub stream: bool,
}

/// A client with a tenant's key.
#[derive(Clone)]
pub struct Caller {
    http: HttpClient,
    key: String,
}

impl Caller {
    /// A client that uses a key.
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
            return refusal(status, &body);
        }
        if plan.stream {
            read_stream(&body)
        } else {
            read_whole(&body)
        }
    }

    /// Asks for a program; none if the node did not answer.
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

    /// Sends any request; none if there is no whole answer.
    pub async fn send(
        &self,
        request: Request<stageyoke_node::backends::Body>,
    ) -> Option<(StatusCode, Vec<u8>)> {
        let answered = tokio::time::timeout(TIMEOUT, async {
            let response = self.http.request(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, body.to_vec()))
        });
        answered.await.ok().flatten()
    }

    /// A plain request to a path with the tenant's key.
    pub async fn get(&self, node: SocketAddr, path: &str) -> Option<(u16, String)> {
        let request = Request::get(format!("http://{node}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .body(full_body(Vec::new()))
            .ok()?;
        let (status, body) = self.send(request).await?;
        Some((status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> Reply {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    Reply::Rejected {
        status: status.as_u16(),
        kind: field("kind"),
        run_state: field("run_state"),
    }
}

fn read_whole(body: &[u8]) -> Reply {
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
            return refusal(StatusCode::OK, data.as_bytes());
        }
        if let Some(piece) = value["choices"][0]["delta"]["content"].as_str() {
            answer.push_str(piece);
        }
    }
    Reply::Incomplete
}
