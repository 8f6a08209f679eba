//! Client of model engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stageyoke_config::Configuration;
use stageyoke_core::gateway::{AttemptOrder, AttemptResult};
use stageyoke_core::program::Usage;
use stageyoke_types::{EngineId, NodeId, ProgramKey, Text};
use tokio::sync::oneshot;

use super::completion_limits::CompletionLimits;
use super::engine_protocol::{
    CANCEL_PATH, COMPLETIONS_PATH, CallIdentity, CancelRequest, Chunk, CompletionRequest,
    LOAD_PATH, LoadReport, RELEASE_PATH, ReleaseRequest, WireMessage, program_name,
};
use super::event_lines::{EventLines, LineTooLong};
use super::run_limits::{RequestIdentity, RunLimits};
use super::{HttpClient, RequestError, full_body, http_client, read_whole};
use crate::callers::sink::TextSink;

/// Longest wait for an answer to a short request.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest silence of a stream before the engine counts as broken.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest report of an engine: it names the programs of which the engine has tokens cached.
const MAX_REPORT_BYTES: usize = 4 << 20;
/// Longest answer to an order that has none but its status.
const MAX_ORDER_ANSWER_BYTES: usize = 64 << 10;
/// Start of a line that carries data in a server-sent event.
const DATA_PREFIX: &[u8] = b"data:";
/// The last event of a stream.
const DONE: &[u8] = b"[DONE]";

/// Client of all engines of the configuration.
#[derive(Clone)]
pub struct EngineClient {
    http: HttpClient,
    addresses: Arc<RwLock<HashMap<EngineId, SocketAddr>>>,
    node: NodeId,
    limits: Arc<RunLimits>,
}

impl EngineClient {
    /// A client that knows no engine yet.
    pub fn new(node: NodeId) -> Self {
        Self {
            http: http_client(),
            addresses: Arc::default(),
            node,
            limits: Arc::default(),
        }
    }

    /// Takes the engines' addresses from a configuration.
    pub fn configure(&self, config: &Configuration) {
        let addresses = config
            .engines
            .iter()
            .map(|engine| (EngineId::from(engine.name.as_str()), engine.address));
        if let Ok(mut current) = self.addresses.write() {
            *current = addresses.collect();
        }
    }

    fn address(&self, engine: &EngineId) -> Option<SocketAddr> {
        self.addresses.read().ok()?.get(engine).copied()
    }

    /// Runs one attempt to its end, passing text on as it comes.
    pub async fn run(
        self,
        order: AttemptOrder,
        mut text: TextSink,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let Some(address) = self.address(&order.engine) else {
            return AttemptResult::NotSent;
        };
        let identity = identity(&order);
        if self.limits.is_blocked(identity) {
            return AttemptResult::Blocked;
        }
        let result = self.attempt(address, &order, &mut text, cancelled).await;
        match result {
            AttemptResult::Broken { .. } => self.limits.record_lost(identity, address).await,
            AttemptResult::Finished { .. } => self.limits.record_completed(identity, address),
            AttemptResult::NotSent | AttemptResult::Cancelled { .. } | AttemptResult::Blocked => {}
        }
        result
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        order: &AttemptOrder,
        text: &mut TextSink,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let delivered = if order.resume {
            text.delivered()
        } else {
            String::new()
        };
        let body = self.completion(order, delivered);
        let response = match self.post(address, COMPLETIONS_PATH, &body).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return AttemptResult::NotSent,
            Err(_) => return broken(Usage::default()),
        };
        // An engine that answers with an error status has not run the call.
        if response.status() != StatusCode::OK {
            return AttemptResult::NotSent;
        }
        let mut stream = Stream::new(response, CompletionLimits::of(order.max_tokens_out));
        let result = tokio::select! {
            result = stream.relay(text) => result,
            // A dropped sender means that nobody can cancel any more.
            Ok(()) = cancelled => AttemptResult::Cancelled { usage: stream.usage() },
        };
        if matches!(result, AttemptResult::Cancelled { .. }) {
            drop(stream);
            self.cancel(address, order).await;
        }
        result
    }

    fn completion(&self, order: &AttemptOrder, resume_after: String) -> CompletionRequest {
        let messages = order.messages.iter().map(|message| WireMessage {
            role: message.role.name().to_owned(),
            content: message.content.to_string(),
        });
        CompletionRequest {
            model: order.model.to_string(),
            messages: messages.collect(),
            max_tokens: order.max_tokens_out,
            stream: true,
            stageyoke: CallIdentity {
                program: program_name(&order.program),
                call: order.call.0,
                request: self.request_name(order),
                attempt: order.attempt.0,
                priority: order.class,
                resume_after,
            },
        }
    }

    fn request_name(&self, order: &AttemptOrder) -> String {
        format!("{}-{}", self.node, order.request)
    }

    async fn cancel(&self, address: SocketAddr, order: &AttemptOrder) {
        let body = CancelRequest {
            request: self.request_name(order),
            attempt: order.attempt.0,
        };
        // Closing the stream cancels too; this only makes it sooner.
        self.give_order(address, CANCEL_PATH, &body).await;
    }

    /// Tells an engine to drop what it holds for a program. If this is lost,
    /// the sweep does it.
    pub async fn release(self, engine: EngineId, program: ProgramKey) {
        let Some(address) = self.address(&engine) else {
            return;
        };
        let body = ReleaseRequest {
            program: program_name(&program),
        };
        self.give_order(address, RELEASE_PATH, &body).await;
    }

    /// An engine's report on itself.
    pub async fn load(&self, engine: &EngineId) -> Option<LoadReport> {
        let address = self.address(engine)?;
        let request = request(address, Method::GET, LOAD_PATH, &());
        decode(&self.short(request, MAX_REPORT_BYTES).await?)
    }

    async fn give_order(&self, address: SocketAddr, path: &str, body: &impl Serialize) {
        let request = request(address, Method::POST, path, body);
        let _ = self.short(request, MAX_ORDER_ANSWER_BYTES).await;
    }

    async fn short(&self, request: Request<super::Body>, max_bytes: usize) -> Option<Bytes> {
        let answered = tokio::time::timeout(SHORT_TIMEOUT, async {
            let response = self.http.request(request).await.ok()?;
            let is_ok = response.status() == StatusCode::OK;
            let body = read_whole(response.into_body(), max_bytes).await?;
            is_ok.then_some(body)
        });
        answered.await.ok().flatten()
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Incoming>, RequestError> {
        let request = request(address, Method::POST, path, body);
        self.http.request(request).await
    }
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Request<super::Body> {
    // Types of this crate always encode.
    let content = serde_json::to_vec(body).unwrap_or_default();
    let mut request = Request::new(full_body(content));
    *request.method_mut() = method;
    if let Ok(uri) = format!("http://{address}{path}").parse() {
        *request.uri_mut() = uri;
    }
    let json = header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    request
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn broken(usage: Usage) -> AttemptResult {
    AttemptResult::Broken { usage }
}

fn text_bytes(chunk: &Chunk) -> usize {
    let texts = chunk.choices.iter();
    texts
        .filter_map(|choice| choice.delta.content.as_ref())
        .map(String::len)
        .sum()
}

/// Returns the identity of a call: its program, model and messages.
fn identity(order: &AttemptOrder) -> RequestIdentity {
    let program = program_name(&order.program);
    let messages = order.messages.iter();
    let messages = messages.flat_map(|message| [message.role.name(), message.content.as_str()]);
    let parts = [program.as_str(), order.model.as_str()];
    RequestIdentity::of(parts.into_iter().chain(messages).map(str::as_bytes))
}

/// A completion's stream of events.
struct Stream {
    body: Incoming,
    lines: EventLines,
    limits: CompletionLimits,
    stream_bytes: usize,
    text_bytes: usize,
    usage: Usage,
    finish: Option<String>,
}

impl Stream {
    fn new(response: Response<Incoming>, limits: CompletionLimits) -> Self {
        Self {
            body: response.into_body(),
            lines: EventLines::new(limits.line_bytes),
            limits,
            stream_bytes: 0,
            text_bytes: 0,
            usage: Usage::default(),
            finish: None,
        }
    }

    fn usage(&self) -> Usage {
        self.usage
    }

    /// Passes text on until the stream ends or exceeds a limit.
    async fn relay(&mut self, text: &mut TextSink) -> AttemptResult {
        loop {
            let frame = tokio::time::timeout(SILENCE_TIMEOUT, self.body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return broken(self.usage);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.stream_bytes += data.len();
            self.lines.extend(&data);
            if let Some(result) = self.take_lines(text).await {
                return result;
            }
            if self.stream_bytes > self.limits.stream_bytes {
                return broken(self.usage);
            }
        }
    }

    /// Takes the lines that have come; gives the result if the stream ends with them.
    async fn take_lines(&mut self, text: &mut TextSink) -> Option<AttemptResult> {
        loop {
            let line = match self.lines.next_line() {
                Ok(line) => line?,
                Err(LineTooLong) => return Some(broken(self.usage)),
            };
            let Some(data) = line.strip_prefix(DATA_PREFIX) else {
                continue;
            };
            let data = data.trim_ascii();
            if data == DONE {
                return Some(self.finished(text));
            }
            let Some(chunk) = decode::<Chunk>(data) else {
                return Some(broken(self.usage));
            };
            self.text_bytes += text_bytes(&chunk);
            if self.text_bytes > self.limits.text_bytes {
                return Some(broken(self.usage));
            }
            self.take_chunk(chunk, text).await;
        }
    }

    async fn take_chunk(&mut self, chunk: Chunk, text: &mut TextSink) {
        if let Some(usage) = chunk.usage {
            self.usage = Usage {
                tokens_in: usage.prompt_tokens,
                tokens_out: usage.completion_tokens,
            };
        }
        for choice in chunk.choices {
            if let Some(content) = choice.delta.content {
                self.usage.tokens_out += u64::from(chunk.usage.is_none());
                text.push(&content).await;
            }
            self.finish = choice.finish_reason.or(self.finish.take());
        }
    }

    fn finished(&self, text: &TextSink) -> AttemptResult {
        AttemptResult::Finished {
            answer: Text::from(text.delivered()),
            truncated: self.finish.as_deref() == Some("length"),
            usage: self.usage,
        }
    }
}
