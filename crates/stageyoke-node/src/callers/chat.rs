//! `POST /v1/chat/completions`: one call of a program.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode, header};
use serde::Serialize;
use stageyoke_config::model::ProgramKind;
use stageyoke_core::gateway::{CallAnswer, CallSubmission, Failure};
use stageyoke_core::node::Input;
use stageyoke_core::program::{Message, Usage};
use stageyoke_types::{
    ErrorKind, IdempotencyKey, ProgramId, ProgramKey, RequestId, RunState, TenantId, Text,
};
use tokio::sync::oneshot;

use super::answers::{ErrorBody, failure, json};
use super::chat_format::{AnswerHead, ChatRequest, DeltaBody, finish_reason};
use super::context::{Admitted, CallerContext};
use super::programs::{program_from, valid_segment};
use super::sink::{self, CallSource};
use crate::backends::Body;
use crate::driver::{Command, DriverHandle};
use crate::pieces::{self, PieceSender};

/// Names the program a call belongs to.
pub const PROGRAM_HEADER: &str = "x-program-id";
/// Names the program that started a sub-agent.
pub const PARENT_HEADER: &str = "x-parent-program";
/// Marks a call that may not run twice.
pub const KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_LENGTH: usize = 255;
const MILLISECONDS: u64 = 1_000;
/// Chunks that may wait for a slow reader.
const CHUNKS_WAITING: usize = 16;

/// Serves one call.
pub async fn serve(context: &Arc<CallerContext>, request: Request<Incoming>) -> Response<Body> {
    match accept(context, request).await {
        Ok(call) => call.respond(context).await,
        Err(reason) => failure(&reason),
    }
}

/// A call that was checked.
struct CheckedCall {
    admitted: Admitted,
    submission: CallSubmission,
    head: AnswerHead,
    stream: bool,
    include_usage: bool,
}

async fn accept(
    context: &Arc<CallerContext>,
    request: Request<Incoming>,
) -> Result<CheckedCall, Failure> {
    let admitted = context.admit(&request)?;
    let limits = admitted.config.config.limits;
    let (parts, body) = request.into_parts();
    let body = read_body(body, limits.body_bytes, limits.request_seconds).await?;
    let chat: ChatRequest = serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("line {} column {}: {error}", error.line(), error.column());
        Failure::not_run(ErrorKind::BadRequest, &detail)
    })?;
    let config = admitted.config.clone();
    let kind = config
        .config
        .program_for(&admitted.tenant, &chat.model)
        .ok_or_else(|| Failure::not_run(ErrorKind::UnknownModel, "model"))?;
    let head = AnswerHead {
        id: format!("chatcmpl-{:016x}", rand::random::<u64>()),
        created: seconds_since_epoch(),
        model: chat.model.clone(),
    };
    let stream = chat.stream;
    let include_usage = chat
        .stream_options
        .is_some_and(|options| options.include_usage);
    let submission = submission(&parts.headers, &admitted, kind, chat, &body)?;
    Ok(CheckedCall {
        admitted,
        submission,
        head,
        stream,
        include_usage,
    })
}

async fn read_body(body: Incoming, limit: u64, seconds: u64) -> Result<Bytes, Failure> {
    let limited = Limited::new(body, limit as usize).collect();
    let read = tokio::time::timeout(Duration::from_secs(seconds), limited).await;
    match read {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::not_run(ErrorKind::TooLarge, "body"))
        }
        Ok(Err(_)) => Err(Failure::not_run(ErrorKind::BadRequest, "body cut short")),
        Err(_) => Err(Failure::not_run(ErrorKind::TooSlow, "body")),
    }
}

fn submission(
    headers: &HeaderMap,
    admitted: &Admitted,
    kind: &ProgramKind,
    chat: ChatRequest,
    body: &[u8],
) -> Result<CallSubmission, Failure> {
    let key = idempotency_key(headers)?;
    let max_tokens = chat.max_completion_tokens.or(chat.max_tokens);
    let messages = check_messages(chat, admitted.config.config.limits.message_bytes)?;
    let (program, one_shot) = call_program(headers, &admitted.tenant.name, key.as_deref())?;
    let mut digest = [0_u8; 8];
    digest.copy_from_slice(&blake3::hash(body).as_bytes()[..8]);
    Ok(CallSubmission {
        request: RequestId(0),
        program,
        model: Text::from(kind.model.as_str()),
        repeatable: kind.repeatable && key.is_none(),
        idempotency_key: key.map(|key| IdempotencyKey::from(key.as_str())),
        fingerprint: u64::from_le_bytes(digest),
        one_shot,
        class: kind.priority,
        messages: messages.into(),
        max_tokens_out: max_tokens.unwrap_or(kind.max_tokens).min(kind.max_tokens),
        limits: kind.limits,
        // The driver adds its clock's reading.
        deadline: kind.deadline_seconds * MILLISECONDS,
    })
}

fn check_messages(chat: ChatRequest, limit: u64) -> Result<Vec<Message>, Failure> {
    if chat.messages.is_empty() {
        return Err(Failure::not_run(ErrorKind::BadRequest, "no messages"));
    }
    let mut messages = Vec::new();
    for message in chat.messages {
        let message = message
            .into_message()
            .ok_or_else(|| Failure::not_run(ErrorKind::BadRequest, "unknown role"))?;
        if message.content.len() as u64 > limit {
            return Err(Failure::not_run(ErrorKind::TooLarge, "message"));
        }
        messages.push(message);
    }
    Ok(messages)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_LENGTH {
        return Err(Failure::not_run(ErrorKind::BadRequest, "Idempotency-Key"));
    }
    Ok(Some(text.to_owned()))
}

/// The call's program, and whether the call is all of it. Without a program
/// header the call is a program of its own; with a key it gets a name that the
/// same key always gives, so that a retry through any node finds it.
fn call_program(
    headers: &HeaderMap,
    tenant: &str,
    key: Option<&str>,
) -> Result<(ProgramKey, bool), Failure> {
    let own = header_text(headers, PROGRAM_HEADER)?;
    let parent = header_text(headers, PARENT_HEADER)?;
    let tenant = TenantId::from(tenant);
    if let Some(own) = own {
        let program = program_from(own, parent)?;
        return Ok((ProgramKey { tenant, program }, false));
    }
    let name = match key {
        Some(key) => format!("key-{}", &blake3::hash(key.as_bytes()).to_hex()[..32]),
        None => format!("call-{:032x}", rand::random::<u128>()),
    };
    let program = match parent {
        Some(parent) => program_from(&name, Some(parent))?,
        None => ProgramId::from(name.as_str()),
    };
    Ok((ProgramKey { tenant, program }, true))
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.split('/').all(valid_segment) {
        return Ok(Some(text));
    }
    Err(Failure::not_run(ErrorKind::BadRequest, name))
}

fn seconds_since_epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |duration| duration.as_secs())
}

/// Tells the driver that the caller left, unless the call was answered first.
struct CallGuard {
    driver: DriverHandle,
    request: oneshot::Receiver<RequestId>,
    answered: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Ok(request) = self.request.try_recv() {
            self.driver
                .send(Command::Input(Input::CallerGone { request }));
        }
    }
}

impl CheckedCall {
    async fn respond(self, context: &Arc<CallerContext>) -> Response<Body> {
        let stall = Duration::from_secs(self.admitted.config.config.limits.stall_seconds);
        let (sink, source) = sink::channel(stall);
        let program = self.submission.program.program.to_string();
        let command = Command::Submit(Box::new(self.submission), sink);
        context.driver.send(command);
        let CallSource {
            text,
            request,
            answer,
        } = source;
        let guard = CallGuard {
            driver: context.driver.clone(),
            request,
            answered: false,
        };
        let mut held = HeldResponse {
            text,
            answer,
            guard,
            head: self.head,
            include_usage: self.include_usage,
            _admitted: self.admitted,
        };
        let mut response = if self.stream {
            held.begin_stream().await
        } else {
            held.whole().await
        };
        if let Ok(value) = header::HeaderValue::from_str(&program) {
            response.headers_mut().insert(PROGRAM_HEADER, value);
        }
        response
    }
}

/// A call whose response is being written.
struct HeldResponse {
    text: tokio::sync::mpsc::Receiver<String>,
    answer: oneshot::Receiver<CallAnswer>,
    guard: CallGuard,
    head: AnswerHead,
    include_usage: bool,
    _admitted: Admitted,
}

/// What comes next for a streaming caller.
enum Next {
    Text(String),
    Final(CallAnswer),
}

impl HeldResponse {
    async fn whole(&mut self) -> Response<Body> {
        loop {
            match self.next().await {
                Next::Text(_) => {}
                Next::Final(answer) => return self.whole_response(&answer),
            }
        }
    }

    fn whole_response(&self, answer: &CallAnswer) -> Response<Body> {
        match answer {
            CallAnswer::Finished {
                answer,
                truncated,
                usage,
                ..
            } => json(
                StatusCode::OK,
                &self.head.completion(answer, *truncated, *usage),
            ),
            CallAnswer::Failed(reason) => failure(reason),
        }
    }

    /// Waits for the first text, so that a refusal still gets its own status;
    /// from then on the response is a stream.
    async fn begin_stream(mut self) -> Response<Body> {
        let first = match self.next().await {
            Next::Final(answer @ CallAnswer::Failed(_)) => return self.whole_response(&answer),
            next => next,
        };
        let (sender, body) = pieces::channel::<Infallible>(CHUNKS_WAITING);
        tokio::spawn(self.write_stream(sender, first));
        let body = body.map_err(|never| match never {}).boxed();
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        let events = header::HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, events);
        let uncached = header::HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, uncached);
        response
    }

    async fn write_stream(mut self, mut sender: PieceSender<Infallible>, first: Next) {
        let opening = DeltaBody {
            role: Some("assistant"),
            content: None,
        };
        let mut writer = StreamWriter {
            sender: &mut sender,
            written: 0,
        };
        if writer.event(&self.head.chunk(opening, None)).await.is_err() {
            return;
        }
        let mut next = first;
        loop {
            match next {
                Next::Text(text) => {
                    if writer.text(&self.head, &text).await.is_err() {
                        return;
                    }
                }
                Next::Final(answer) => {
                    let _ = writer.end(&self.head, &answer, self.include_usage).await;
                    return;
                }
            }
            next = self.next().await;
        }
    }

    /// Text goes before the final answer, which arrives on another way.
    async fn next(&mut self) -> Next {
        tokio::select! {
            biased;
            Some(text) = self.text.recv() => Next::Text(text),
            answer = &mut self.answer => {
                self.guard.answered = true;
                Next::Final(answer.unwrap_or_else(|_| driver_stopped()))
            }
        }
    }
}

/// The node stopped before the call was answered; nobody here knows what
/// became of it.
fn driver_stopped() -> CallAnswer {
    CallAnswer::Failed(Failure {
        kind: ErrorKind::OutcomeUnknown,
        run_state: RunState::Unknown,
        detail: Text::from("the node stopped"),
    })
}

struct ReaderGone;

struct StreamWriter<'s> {
    sender: &'s mut PieceSender<Infallible>,
    written: usize,
}

impl StreamWriter<'_> {
    async fn event(&mut self, body: &impl Serialize) -> Result<(), ReaderGone> {
        // Types of this crate always encode.
        let json = serde_json::to_string(body).unwrap_or_default();
        self.send(format!("data: {json}\n\n")).await
    }

    async fn send(&mut self, text: String) -> Result<(), ReaderGone> {
        let sent = self.sender.send_data(Bytes::from(text)).await;
        sent.map_err(|_| ReaderGone)
    }

    async fn text(&mut self, head: &AnswerHead, text: &str) -> Result<(), ReaderGone> {
        self.written += text.len();
        let delta = DeltaBody {
            role: None,
            content: Some(text),
        };
        self.event(&head.chunk(delta, None)).await
    }

    async fn end(
        &mut self,
        head: &AnswerHead,
        answer: &CallAnswer,
        include_usage: bool,
    ) -> Result<(), ReaderGone> {
        match answer {
            CallAnswer::Finished {
                answer,
                truncated,
                usage,
                ..
            } => {
                self.rest(head, answer).await?;
                self.finish(head, *truncated, include_usage.then_some(*usage))
                    .await
            }
            // The stream ends without its `[DONE]`, so nobody takes it for whole.
            CallAnswer::Failed(reason) => self.event(&ErrorBody::of(reason)).await,
        }
    }

    /// Whatever of the whole answer has not been written: all of it for a
    /// caller who asked again for an answer already given.
    async fn rest(&mut self, head: &AnswerHead, answer: &str) -> Result<(), ReaderGone> {
        match answer.get(self.written..) {
            Some("") | None => Ok(()),
            Some(rest) => self.text(head, rest).await,
        }
    }

    async fn finish(
        &mut self,
        head: &AnswerHead,
        truncated: bool,
        usage: Option<Usage>,
    ) -> Result<(), ReaderGone> {
        let reason = finish_reason(truncated);
        self.event(&head.chunk(DeltaBody::default(), Some(reason)))
            .await?;
        if let Some(usage) = usage {
            self.event(&head.usage_chunk(usage)).await?;
        }
        self.send("data: [DONE]\n\n".to_owned()).await
    }
}
