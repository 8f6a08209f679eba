//! Stand-in for a model engine: the simulator's batching model behind the engine's
//! HTTP protocol (`docs/ENGINE.md`).

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use stageyoke_core::hash;
use stageyoke_node::backends::Body;
use stageyoke_node::backends::engine_protocol::{
    CANCEL_PATH, COMPLETIONS_PATH, CallIdentity, CancelRequest, Chunk, ChunkChoice,
    CompletionRequest, Delta, LOAD_PATH, LoadReport, RELEASE_PATH, ReleaseRequest, WireUsage,
    program_key, program_name,
};
use stageyoke_node::pieces::{self, PieceSender};
use stageyoke_sim::batch_engine::{BatchEngine, EngineCall, EngineSpeed};
use stageyoke_sim::engine::AttemptId;
use stageyoke_types::{Attempt, NodeId, ProgramKey, RequestId, Time};
use tokio::sync::{Notify, mpsc};

use super::text::{PromptMessage, answer_length, answer_token, count_tokens, prompt_digest};
use super::{Handler, StandInServer, read_json, respond, respond_json, serve};

/// Attempt that the engine accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Name of the program.
    pub program: String,
    /// Number of the call within its program.
    pub call_number: u32,
    /// Request identifier given by the node.
    pub request: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Text of the prompt's last message.
    pub last_message: String,
    /// Time at which the attempt arrived.
    pub arrived_at: Instant,
}

/// State of a stand-in engine, shared by its server and its step loop.
pub struct EngineStandIn {
    model: Mutex<Model>,
    work_available: Notify,
    leaving: AtomicBool,
    started: Instant,
    answers_at_once: bool,
}

struct Model {
    batch: BatchEngine,
    progress_senders: BTreeMap<AttemptId, mpsc::UnboundedSender<u64>>,
    attempts: BTreeMap<String, u32>,
    runs: Vec<RunRecord>,
}

/// Timing of a stand-in engine's answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineTiming {
    /// Follow the model of continuous batching.
    Modelled(EngineSpeed),
    /// Send all tokens at once, to measure only the path through the nodes.
    Instant,
}

/// Running engine. Dropping it stops its server and its step loop.
pub struct RunningEngine {
    /// State, for inspection by tests and checks.
    pub state: Arc<EngineStandIn>,
    /// HTTP server.
    pub server: StandInServer,
    step_task: tokio::task::AbortHandle,
}

impl Drop for RunningEngine {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

/// Starts an engine on a free loopback port.
pub async fn start(timing: EngineTiming) -> std::io::Result<RunningEngine> {
    let speed = match timing {
        EngineTiming::Modelled(speed) => speed,
        EngineTiming::Instant => EngineSpeed {
            max_batch: usize::MAX,
            ..EngineSpeed::default()
        },
    };
    let state = Arc::new(EngineStandIn {
        model: Mutex::new(Model {
            batch: BatchEngine::new(speed),
            progress_senders: BTreeMap::new(),
            attempts: BTreeMap::new(),
            runs: Vec::new(),
        }),
        work_available: Notify::new(),
        leaving: AtomicBool::new(false),
        started: Instant::now(),
        answers_at_once: timing == EngineTiming::Instant,
    });
    let server = serve(state.clone(), None).await?;
    let step_task = tokio::spawn(run_steps(state.clone())).abort_handle();
    Ok(RunningEngine {
        state,
        server,
        step_task,
    })
}

/// Runs the batching model's steps in real time and sends the progress to the
/// waiting calls.
async fn run_steps(engine: Arc<EngineStandIn>) {
    loop {
        let (duration, progress) = {
            let now = engine.now();
            let mut model = engine.lock_model();
            if model.batch.is_idle() {
                (0, None)
            } else {
                let (duration, progress) = model.batch.step(now);
                (duration, Some(progress))
            }
        };
        let Some(progress) = progress else {
            engine.work_available.notified().await;
            continue;
        };
        tokio::time::sleep(Duration::from_millis(duration)).await;
        let mut model = engine.lock_model();
        for call_progress in progress {
            if let Some(progress_sender) = model.progress_senders.get(&call_progress.id) {
                let _ = progress_sender.send(call_progress.generated);
            }
            if call_progress.finished {
                model.progress_senders.remove(&call_progress.id);
            }
        }
    }
}

impl EngineStandIn {
    fn lock_model(&self) -> MutexGuard<'_, Model> {
        match self.model.lock() {
            Ok(model) => model,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    fn now(&self) -> Time {
        self.started.elapsed().as_millis() as Time
    }

    /// Reports in the following load reports that the engine is leaving.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns all accepted attempts, in order of arrival.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock_model().runs.clone()
    }

    /// Returns the names of the programs that have cached tokens.
    pub fn cached_programs(&self) -> Vec<String> {
        self.lock_model()
            .batch
            .cached_programs()
            .map(program_name)
            .collect()
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(request) = read_json::<CompletionRequest>(request).await else {
            return respond(StatusCode::BAD_REQUEST, "malformed completion");
        };
        let Some(program) = program_key(&request.stageyoke.program) else {
            return respond(StatusCode::BAD_REQUEST, "malformed program");
        };
        let identity = request.stageyoke.clone();
        if !self.record_attempt(&request, &identity) {
            return respond(StatusCode::CONFLICT, "a later attempt is known");
        }
        let (sender, body) = pieces::channel::<Infallible>(MAX_BUFFERED_CHUNKS);
        tokio::spawn(self.clone().generate(request, program, sender));
        Response::new(body.map_err(|never| match never {}).boxed())
    }

    /// Records an attempt; returns `false` if the same or a later attempt of the
    /// request is already known.
    fn record_attempt(&self, request: &CompletionRequest, identity: &CallIdentity) -> bool {
        let mut model = self.lock_model();
        let latest = model.attempts.get(&identity.request).copied().unwrap_or(0);
        if identity.attempt <= latest {
            return false;
        }
        model
            .attempts
            .insert(identity.request.clone(), identity.attempt);
        let last_message = request.messages.last();
        let run = RunRecord {
            program: identity.program.clone(),
            call_number: identity.call,
            request: identity.request.clone(),
            attempt: identity.attempt,
            last_message: last_message.map_or(String::new(), |message| message.content.clone()),
            arrived_at: Instant::now(),
        };
        model.runs.push(run);
        true
    }

    async fn generate(
        self: Arc<Self>,
        request: CompletionRequest,
        program: ProgramKey,
        mut sender: PieceSender<Infallible>,
    ) {
        let prompt: Vec<PromptMessage<'_>> = request
            .messages
            .iter()
            .map(|message| PromptMessage {
                role: &message.role,
                content: &message.content,
            })
            .collect();
        let prompt_tokens: u64 = prompt
            .iter()
            .map(|message| count_tokens(message.content))
            .sum();
        let digest = prompt_digest(&prompt);
        let length = answer_length(&prompt, request.max_tokens);
        let skip = count_tokens(&request.stageyoke.resume_after).min(length);
        let usage = WireUsage {
            prompt_tokens,
            completion_tokens: length,
        };
        if self.answers_at_once {
            let text: String = (skip..length)
                .map(|position| answer_token(digest, position))
                .collect();
            if send_text(&mut sender, text).await.is_ok() {
                let _ = send_final_chunks(&mut sender, usage).await;
            }
            return;
        }
        let id = attempt_id(&request.stageyoke);
        let (progress_sender, mut progress) = mpsc::unbounded_channel();
        {
            let now = self.now();
            let mut model = self.lock_model();
            model.progress_senders.insert(id, progress_sender);
            let call = EngineCall {
                program,
                prompt_tokens: prompt_tokens + skip,
                output_tokens: (length - skip).max(1),
                priority: request.stageyoke.priority,
            };
            model.batch.submit(id, call, now);
        }
        self.work_available.notify_one();
        while let Some(generated) = progress.recv().await {
            let position = skip + generated - 1;
            if position >= length {
                break;
            }
            let text = answer_token(digest, position);
            if send_text(&mut sender, text).await.is_err() {
                self.cancel(id);
                return;
            }
            if position + 1 == length {
                break;
            }
        }
        if self.lock_model().progress_senders.contains_key(&id) {
            self.cancel(id);
        }
        let _ = send_final_chunks(&mut sender, usage).await;
    }

    fn cancel(&self, id: AttemptId) {
        let mut model = self.lock_model();
        model.batch.cancel(id);
        model.progress_senders.remove(&id);
    }

    fn load_report(&self) -> LoadReport {
        let model = self.lock_model();
        LoadReport {
            leaving: self.leaving.load(Ordering::Relaxed),
            running: model.batch.running_count() as u64,
            waiting: model.batch.waiting_count() as u64,
            cached_tokens: model.batch.cached_tokens(),
            cache_limit: model.batch.cache_limit(),
            programs: model.batch.cached_programs().map(program_name).collect(),
        }
    }
}

/// Number of chunks buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 64;

fn attempt_id(identity: &CallIdentity) -> AttemptId {
    AttemptId {
        gateway: NodeId(0),
        request: RequestId(hash::of_text(&identity.request)),
        attempt: Attempt(identity.attempt),
    }
}

struct ReaderDisconnected;

async fn send_text(
    sender: &mut PieceSender<Infallible>,
    text: String,
) -> Result<(), ReaderDisconnected> {
    let chunk = Chunk {
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta {
                content: Some(text),
            },
            finish_reason: None,
        }],
        usage: None,
    };
    send_event(sender, &chunk).await
}

async fn send_final_chunks(
    sender: &mut PieceSender<Infallible>,
    usage: WireUsage,
) -> Result<(), ReaderDisconnected> {
    let chunk = Chunk {
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta::default(),
            finish_reason: Some("stop".to_owned()),
        }],
        usage: Some(usage),
    };
    send_event(sender, &chunk).await?;
    send(sender, "data: [DONE]\n\n".to_owned()).await
}

async fn send_event(
    sender: &mut PieceSender<Infallible>,
    body: &impl Serialize,
) -> Result<(), ReaderDisconnected> {
    let json = serde_json::to_string(body).unwrap_or_default();
    send(sender, format!("data: {json}\n\n")).await
}

async fn send(
    sender: &mut PieceSender<Infallible>,
    text: String,
) -> Result<(), ReaderDisconnected> {
    let sent = sender.send_data(Bytes::from(text)).await;
    sent.map_err(|_| ReaderDisconnected)
}

impl Handler for EngineStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, COMPLETIONS_PATH) => self.complete(request).await,
            (&Method::GET, LOAD_PATH) => respond_json(&self.load_report()),
            (&Method::POST, CANCEL_PATH) => {
                if let Some(cancel) = read_json::<CancelRequest>(request).await {
                    self.cancel(AttemptId {
                        gateway: NodeId(0),
                        request: RequestId(hash::of_text(&cancel.request)),
                        attempt: Attempt(cancel.attempt),
                    });
                }
                respond(StatusCode::OK, "{}")
            }
            (&Method::POST, RELEASE_PATH) => {
                let release = read_json::<ReleaseRequest>(request).await;
                if let Some(program) = release.and_then(|release| program_key(&release.program)) {
                    let now = self.now();
                    self.lock_model().batch.release(&program, now);
                }
                respond(StatusCode::OK, "{}")
            }
            _ => respond(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
