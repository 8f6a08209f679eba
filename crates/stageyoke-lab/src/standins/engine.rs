//! A stand-in for a model engine: the batching model of the emulator behind
//! the engine's HTTP protocol (`docs/ENGINE.md`).

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

/// One run of a call, as the engine saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Program.
    pub program: String,
    /// Position in the program.
    pub call: u32,
    /// The node's name for the request.
    pub request: String,
    /// Try.
    pub attempt: u32,
    /// Text of the last message.
    pub last_message: String,
    /// When it arrived.
    pub at: Instant,
}

/// State of a stand-in engine.
pub struct EngineStandIn {
    model: Mutex<Model>,
    work: Notify,
    leaving: AtomicBool,
    started: Instant,
    instant: bool,
}

struct Model {
    batch: BatchEngine,
    outputs: BTreeMap<AttemptId, mpsc::UnboundedSender<u64>>,
    attempts: BTreeMap<String, u32>,
    runs: Vec<RunRecord>,
}

/// Speed at which a stand-in engine runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineTiming {
    /// As the model of continuous batching says.
    Modelled(EngineSpeed),
    /// Every token at once, to measure the path alone.
    Instant,
}

/// A running stand-in engine.
pub struct RunningEngine {
    /// Its state, for tests and tables.
    pub state: Arc<EngineStandIn>,
    /// Its server.
    pub server: StandInServer,
    stepper: tokio::task::AbortHandle,
}

impl Drop for RunningEngine {
    fn drop(&mut self) {
        self.stepper.abort();
    }
}

/// Starts an engine.
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
            outputs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            runs: Vec::new(),
        }),
        work: Notify::new(),
        leaving: AtomicBool::new(false),
        started: Instant::now(),
        instant: timing == EngineTiming::Instant,
    });
    let server = serve(state.clone(), None).await?;
    let stepper = tokio::spawn(run_steps(state.clone())).abort_handle();
    Ok(RunningEngine {
        state,
        server,
        stepper,
    })
}

/// Runs the model's steps in real time.
async fn run_steps(engine: Arc<EngineStandIn>) {
    loop {
        let (duration, progress) = {
            let now = engine.now();
            let mut model = engine.model();
            if model.batch.is_idle() {
                (0, None)
            } else {
                let (duration, progress) = model.batch.step(now);
                (duration, Some(progress))
            }
        };
        let Some(progress) = progress else {
            engine.work.notified().await;
            continue;
        };
        tokio::time::sleep(Duration::from_millis(duration)).await;
        let mut model = engine.model();
        for item in progress {
            if let Some(output) = model.outputs.get(&item.id) {
                let _ = output.send(item.generated);
            }
            if item.finished {
                model.outputs.remove(&item.id);
            }
        }
    }
}

impl EngineStandIn {
    fn model(&self) -> MutexGuard<'_, Model> {
        match self.model.lock() {
            Ok(model) => model,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    fn now(&self) -> Time {
        self.started.elapsed().as_millis() as Time
    }

    /// Announces that the engine leaves.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.model().runs.clone()
    }

    /// Programs with cached tokens.
    pub fn cached_programs(&self) -> Vec<String> {
        self.model()
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
        if !self.take_up(&request, &identity) {
            return respond(StatusCode::CONFLICT, "a later attempt is known");
        }
        let (sender, body) = pieces::channel::<Infallible>(CHUNKS_WAITING);
        tokio::spawn(self.clone().generate(request, program, sender));
        Response::new(body.map_err(|never| match never {}).boxed())
    }

    /// Notes a run, unless its attempt is not later than one already seen.
    fn take_up(&self, request: &CompletionRequest, identity: &CallIdentity) -> bool {
        let mut model = self.model();
        let seen = model.attempts.get(&identity.request).copied().unwrap_or(0);
        if identity.attempt <= seen {
            return false;
        }
        model
            .attempts
            .insert(identity.request.clone(), identity.attempt);
        let last_message = request.messages.last();
        let run = RunRecord {
            program: identity.program.clone(),
            call: identity.call,
            request: identity.request.clone(),
            attempt: identity.attempt,
            last_message: last_message.map_or(String::new(), |message| message.content.clone()),
            at: Instant::now(),
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
        if self.instant {
            let rest: String = (skip..length).map(|at| answer_token(digest, at)).collect();
            if send_text(&mut sender, rest).await.is_ok() {
                let _ = send_end(&mut sender, usage).await;
            }
            return;
        }
        let id = attempt_id(&request.stageyoke);
        let (output, mut tokens) = mpsc::unbounded_channel();
        {
            let now = self.now();
            let mut model = self.model();
            model.outputs.insert(id, output);
            let call = EngineCall {
                program,
                prompt_tokens: prompt_tokens + skip,
                output_tokens: (length - skip).max(1),
                priority: request.stageyoke.priority,
            };
            model.batch.submit(id, call, now);
        }
        self.work.notify_one();
        while let Some(generated) = tokens.recv().await {
            let position = skip + generated - 1;
            if position >= length {
                break;
            }
            let text = answer_token(digest, position);
            if send_text(&mut sender, text).await.is_err() {
                self.stop(id);
                return;
            }
            if position + 1 == length {
                break;
            }
        }
        if self.model().outputs.contains_key(&id) {
            self.stop(id);
        }
        let _ = send_end(&mut sender, usage).await;
    }

    fn stop(&self, id: AttemptId) {
        let mut model = self.model();
        model.batch.cancel(id);
        model.outputs.remove(&id);
    }

    fn report(&self) -> LoadReport {
        let model = self.model();
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

/// Chunks that may wait for a slow reader.
const CHUNKS_WAITING: usize = 64;

fn attempt_id(identity: &CallIdentity) -> AttemptId {
    AttemptId {
        gateway: NodeId(0),
        request: RequestId(hash::of_text(&identity.request)),
        attempt: Attempt(identity.attempt),
    }
}

struct ReaderGone;

async fn send_text(sender: &mut PieceSender<Infallible>, text: String) -> Result<(), ReaderGone> {
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

async fn send_end(
    sender: &mut PieceSender<Infallible>,
    usage: WireUsage,
) -> Result<(), ReaderGone> {
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
) -> Result<(), ReaderGone> {
    let json = serde_json::to_string(body).unwrap_or_default();
    send(sender, format!("data: {json}\n\n")).await
}

async fn send(sender: &mut PieceSender<Infallible>, text: String) -> Result<(), ReaderGone> {
    let sent = sender.send_data(Bytes::from(text)).await;
    sent.map_err(|_| ReaderGone)
}

impl Handler for EngineStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, COMPLETIONS_PATH) => self.complete(request).await,
            (&Method::GET, LOAD_PATH) => respond_json(&self.report()),
            (&Method::POST, CANCEL_PATH) => {
                if let Some(cancel) = read_json::<CancelRequest>(request).await {
                    self.stop(AttemptId {
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
                    self.model().batch.release(&program, now);
                }
                respond(StatusCode::OK, "{}")
            }
            _ => respond(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
