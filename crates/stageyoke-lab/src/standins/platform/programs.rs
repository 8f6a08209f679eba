//! Open-loop load: programs of two kinds start at a given rate whether or not earlier ones
//! have ended, each with turns, pauses and tool calls of drawn number and length.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::answers::{AnswerEnd, ReceivedAnswer, event_data, tool_answer, turn_answer};
use super::entry::Entry;
use super::tenants::tenant_key;
use super::{
    ADVISORY_PATH, BULLETIN_PATH, HOST, QUERY_PATH, READ_PATH, TILE_PATH, TOKENS_PER_EVENT, names,
};
use crate::soak::promises::{ExpectedRequest, Promises};
use crate::soak::shares::{RequestLabels, RequestOutcome, ServedShares};

/// Number of tenants.
pub const TENANTS: usize = 84;
/// Number of tenants that send half of the load.
const LARGE_TENANTS: usize = 4;
/// Period and relative amplitude of the load in each zone.
const WAVE_PERIOD: f64 = 11.0;
const WAVE_SWING: f64 = 0.27;
/// Tokens in a turn's prompt besides the transcript.
const PROMPT_TOKENS: u32 = 512;
/// Number of times that a turn is tried before its program fails.
const MAX_TURN_FAILURES: u32 = 3;
/// Time on the way of a turn between caller and replica.
const TURN_WAY: Duration = Duration::from_millis(24);
/// Constant part of a program's time objective.
const BASE_OBJECTIVE: Duration = Duration::from_millis(200);
/// Multiple of its time objective within which a program counts as late, not as failed.
const MAX_LATENESS: f64 = 2.0;
/// Delay before a request is repeated that got no usable response.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Kind of a program.
#[derive(Clone, Copy, Debug)]
struct ProgramKind {
    name: &'static str,
    turn_kind: &'static str,
    path: &'static str,
    /// Whether the system stores the transcript; otherwise each turn carries it.
    is_stored: bool,
    mean_turns: f64,
    max_turns: u32,
    mean_pause: Duration,
    input_bytes: usize,
    objective_factor: f64,
}

const ADVISORY: ProgramKind = ProgramKind {
    name: "advisory",
    turn_kind: "advisory turn",
    path: ADVISORY_PATH,
    is_stored: true,
    mean_turns: 3.0,
    max_turns: 6,
    mean_pause: Duration::from_millis(150),
    input_bytes: 654,
    objective_factor: 1.3,
};
const QUERY: ProgramKind = ProgramKind {
    name: "query",
    turn_kind: "query turn",
    path: QUERY_PATH,
    is_stored: false,
    mean_turns: 11.0,
    max_turns: 22,
    mean_pause: Duration::from_millis(20),
    input_bytes: 327,
    objective_factor: 1.4,
};
/// Share of programs that are advisories.
const ADVISORY_SHARE: f64 = 0.66;
/// Share of programs that loop until their budget is spent.
const RUNAWAY_SHARE: f64 = 0.03;
const RUNAWAY_TURNS: u32 = 40;

/// Kind of a tool call.
#[derive(Clone, Copy, Debug)]
struct ToolKind {
    name: &'static str,
    path: &'static str,
    deadline: Duration,
    /// Probability that a turn is followed by this call, and how often it is made then.
    probability: f64,
    times: u32,
    retries: u32,
    repeatable: bool,
}

const TOOLS: [ToolKind; 3] = [
    ToolKind {
        name: "read",
        path: READ_PATH,
        deadline: Duration::from_millis(1200),
        probability: 0.7,
        times: 2,
        retries: 1,
        repeatable: true,
    },
    ToolKind {
        name: "bulletin",
        path: BULLETIN_PATH,
        deadline: Duration::from_millis(3000),
        probability: 0.4,
        times: 1,
        retries: 1,
        repeatable: false,
    },
    ToolKind {
        name: "tile",
        path: TILE_PATH,
        deadline: Duration::from_millis(2000),
        probability: 0.2,
        times: 1,
        retries: 2,
        repeatable: false,
    },
];

/// Deadline of a turn.
const TURN_DEADLINE: Duration = Duration::from_millis(4000);
/// Number of events of a turn.
pub const EVENTS_PER_TURN: u32 = 6;
const TURN_TOKENS: u32 = EVENTS_PER_TURN * TOKENS_PER_EVENT;
/// Mean time of a tool call on an idle replica.
const MEAN_TOOL_TIME: Duration = Duration::from_millis(50);

/// Rate of programs in each zone, in programs a second.
pub const PROGRAM_RATES: [f64; 4] = [26.78, 23.53, 19.24, 27.95];

/// Source of the load.
#[derive(Clone)]
pub struct OpenLoopLoad {
    /// Connections to the fronts.
    pub entry: Arc<Entry>,
    /// Receives every request and every broken guarantee.
    pub promises: Arc<Promises>,
    /// Shares of programs that ended in time.
    pub programs: Arc<ServedShares>,
    /// Time that an idle replica takes for a turn.
    pub turn_time: Duration,
}

/// How one attempt of a request ended.
enum Attempt {
    Complete,
    Rejected(u16, Option<Duration>),
    Failed,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgramEnd {
    Complete,
    BudgetSpent,
    Refused,
    Failed,
}

impl OpenLoopLoad {
    /// Starts programs of a zone until `until`, and returns once all have ended.
    pub async fn run_zone(self, zone: usize, seed: u64, rate: f64, until: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut programs = JoinSet::new();
        let started_at = Instant::now();
        let mut next = started_at;
        while next < until {
            tokio::time::sleep_until(next).await;
            let program = Program::draw(&self, zone, &mut random);
            programs.spawn(program.run());
            while programs.try_join_next().is_some() {}
            let phase = started_at.elapsed().as_secs_f64() / WAVE_PERIOD + zone as f64 / 4.0;
            let current = rate * (1.0 + WAVE_SWING * (phase * std::f64::consts::TAU).sin());
            let gap = -(1.0 - random.random::<f64>()).ln() / current;
            next += Duration::from_secs_f64(gap);
        }
        while programs.join_next().await.is_some() {}
    }
}

struct Program {
    load: OpenLoopLoad,
    kind: ProgramKind,
    labels: RequestLabels,
    identifier: String,
    key: String,
    turns: u32,
    budget: u32,
    is_runaway: bool,
    random: ChaCha8Rng,
    /// Time that pauses and tools take on idle replicas.
    other_time: Duration,
}

impl Program {
    fn draw(load: &OpenLoopLoad, zone: usize, random: &mut ChaCha8Rng) -> Self {
        let kind = match random.random_bool(ADVISORY_SHARE) {
            true => ADVISORY,
            false => QUERY,
        };
        let tenant = match random.random_bool(0.5) {
            true => random.random_range(0..LARGE_TENANTS),
            false => random.random_range(0..TENANTS),
        };
        let is_runaway = random.random_bool(RUNAWAY_SHARE);
        let spread = random.random_range(0.4..1.6);
        let drawn_turns = (kind.mean_turns * spread).round() as u32;
        let turns = match is_runaway {
            true => RUNAWAY_TURNS,
            false => drawn_turns.clamp(1, kind.max_turns),
        };
        let budget = match is_runaway {
            true => TURN_TOKENS * kind.max_turns,
            false => TURN_TOKENS * (turns + kind.max_turns),
        };
        Self {
            load: load.clone(),
            kind,
            labels: RequestLabels {
                kind: kind.name,
                zone,
                tenant,
            },
            identifier: format!("{:016x}", random.random::<u64>()),
            key: tenant_key(tenant),
            turns,
            budget,
            is_runaway,
            random: ChaCha8Rng::seed_from_u64(random.random()),
            other_time: Duration::ZERO,
        }
    }

    async fn run(mut self) {
        let started_at = Instant::now();
        let (end, turns) = self.run_turns().await;
        // Nothing is owed to programs that loop until their budget is spent.
        if self.is_runaway {
            return;
        }
        let ideal = (self.load.turn_time + TURN_WAY) * turns + self.other_time;
        let objective = ideal.mul_f64(self.kind.objective_factor) + BASE_OBJECTIVE;
        let elapsed = started_at.elapsed();
        let outcome = match end {
            ProgramEnd::Complete if elapsed <= objective => RequestOutcome::Served,
            ProgramEnd::Complete if elapsed <= objective.mul_f64(MAX_LATENESS) => {
                RequestOutcome::Late
            }
            ProgramEnd::Refused | ProgramEnd::BudgetSpent => RequestOutcome::Refused,
            ProgramEnd::Complete | ProgramEnd::Failed => RequestOutcome::Failed,
        };
        self.load.programs.record(self.labels, started_at, outcome);
    }

    async fn run_turns(&mut self) -> (ProgramEnd, u32) {
        let mut transcript = Vec::new();
        let mut previous = None;
        for number in 0..self.turns {
            match self.run_turn(&mut transcript, previous.as_deref()).await {
                Ok(identifier) => previous = Some(identifier),
                Err(end) => return (end, number + 1),
            }
            if number + 1 == self.turns {
                break;
            }
            if !self.call_tools().await {
                return (ProgramEnd::Failed, number + 1);
            }
            let pause = self
                .kind
                .mean_pause
                .mul_f64(self.random.random_range(0.4..1.6));
            self.other_time += pause;
            tokio::time::sleep(pause).await;
        }
        (ProgramEnd::Complete, self.turns)
    }

    /// Runs a turn until it is complete or has failed too often; returns its identifier.
    async fn run_turn(
        &mut self,
        transcript: &mut Vec<u8>,
        previous: Option<&str>,
    ) -> Result<String, ProgramEnd> {
        let mut end = ProgramEnd::Failed;
        for _ in 0..MAX_TURN_FAILURES {
            let identifier = self.draw_identifier();
            let mut input = format!("question of {identifier}\n").into_bytes();
            input.resize(self.kind.input_bytes, b'.');
            let mut full_body = transcript.clone();
            full_body.extend_from_slice(&input);
            self.expect(&identifier, &full_body, false);
            let body = match self.kind.is_stored {
                true => input.clone(),
                false => full_body.clone(),
            };
            let mut request = self.request(
                Method::POST,
                self.kind.path,
                &identifier,
                TURN_DEADLINE,
                body,
            );
            let headers = [
                (names::PROGRAM_ID, Some(self.identifier.clone())),
                (names::TOKEN_BUDGET, Some(self.budget.to_string())),
                (
                    names::TOKEN_COUNTS,
                    Some(format!("{PROMPT_TOKENS},{TURN_TOKENS}")),
                ),
                (
                    names::PREVIOUS_TURN,
                    previous.filter(|_| self.kind.is_stored).map(str::to_owned),
                ),
            ];
            for (name, value) in headers {
                if let Some(Ok(value)) = value.map(|value| value.parse()) {
                    request.headers_mut().insert(name, value);
                }
            }
            let answer = turn_answer(&identifier, EVENTS_PER_TURN);
            let attempt = self
                .attempt(
                    self.kind.turn_kind,
                    request,
                    &identifier,
                    TURN_DEADLINE,
                    &answer,
                )
                .await;
            match attempt {
                Attempt::Complete => {
                    full_body.extend_from_slice(&expected_output(&identifier));
                    *transcript = full_body;
                    return Ok(identifier);
                }
                Attempt::Rejected(402, _) => return Err(ProgramEnd::BudgetSpent),
                Attempt::Rejected(404 | 410, _) => {
                    let breach = format!("{identifier}: a stored turn was reported as unknown");
                    self.load.promises.report_breach(breach);
                    return Err(ProgramEnd::Failed);
                }
                Attempt::Rejected(_, after) => {
                    end = ProgramEnd::Refused;
                    tokio::time::sleep(after.unwrap_or(FAILURE_RETRY_DELAY)).await;
                }
                Attempt::Failed => {
                    end = ProgramEnd::Failed;
                    tokio::time::sleep(FAILURE_RETRY_DELAY).await;
                }
            }
        }
        Err(end)
    }

    /// Makes the tool calls that follow a turn, concurrently; returns whether all were
    /// answered.
    async fn call_tools(&mut self) -> bool {
        let mut calls = JoinSet::new();
        let mut slowest = Duration::ZERO;
        for tool in TOOLS {
            if !self.random.random_bool(tool.probability) {
                continue;
            }
            slowest = slowest.max(MEAN_TOOL_TIME);
            for _ in 0..tool.times {
                let mut caller = self.tool_caller();
                calls.spawn(async move { caller.call_tool(tool).await });
            }
        }
        self.other_time += slowest;
        let mut answered = true;
        while let Some(outcome) = calls.join_next().await {
            answered &= outcome.unwrap_or(false);
        }
        answered
    }

    fn tool_caller(&mut self) -> Self {
        Self {
            load: self.load.clone(),
            identifier: self.identifier.clone(),
            key: self.key.clone(),
            random: ChaCha8Rng::seed_from_u64(self.random.random()),
            ..*self
        }
    }

    async fn call_tool(&mut self, tool: ToolKind) -> bool {
        for _ in 0..=tool.retries {
            let identifier = self.draw_identifier();
            let (method, body) = match tool.repeatable {
                true => (Method::GET, Vec::new()),
                false => (Method::POST, format!("order {identifier}").into_bytes()),
            };
            self.expect(&identifier, &body, tool.repeatable);
            let request = self.request(method, tool.path, &identifier, tool.deadline, body);
            let answer = tool_answer(&identifier);
            match self
                .attempt(tool.name, request, &identifier, tool.deadline, &answer)
                .await
            {
                Attempt::Complete => return true,
                Attempt::Rejected(_, after) => {
                    tokio::time::sleep(after.unwrap_or(FAILURE_RETRY_DELAY)).await;
                }
                Attempt::Failed => tokio::time::sleep(FAILURE_RETRY_DELAY).await,
            }
        }
        false
    }

    fn draw_identifier(&mut self) -> String {
        format!("{:016x}", self.random.random::<u64>())
    }

    fn expect(&self, identifier: &str, body: &[u8], repeatable: bool) {
        let expected = ExpectedRequest {
            body: Bytes::copy_from_slice(body),
            repeatable,
        };
        self.load.promises.record_request(identifier, expected);
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        identifier: &str,
        deadline: Duration,
        body: Vec<u8>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::from(body));
        *request.method_mut() = method;
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let fields = [
            ("host", HOST.to_owned()),
            (names::REQUEST_ID, identifier.to_owned()),
            (names::DEADLINE_MS, deadline.as_millis().to_string()),
            ("authorization", format!("Bearer {}", self.key)),
        ];
        for (name, value) in fields {
            if let Ok(value) = value.parse() {
                request.headers_mut().insert(name, value);
            }
        }
        request
    }

    /// Sends a request once, checks the response and records the outcome.
    async fn attempt(
        &self,
        kind: &'static str,
        request: Request<Full<Bytes>>,
        identifier: &str,
        deadline: Duration,
        answer: &str,
    ) -> Attempt {
        let promises = &self.load.promises;
        let labels = RequestLabels {
            kind,
            ..self.labels
        };
        let sent_at = Instant::now();
        let mut received = ReceivedAnswer::default();
        let exchange = self
            .load
            .entry
            .exchange(labels.zone, request, &mut received);
        let response = tokio::time::timeout(deadline, exchange)
            .await
            .ok()
            .flatten();
        let Some(response) = response else {
            promises.record_failure(labels, sent_at, identifier);
            return Attempt::Failed;
        };
        let status = response.status();
        let header = |name: &str| response.headers().get(name)?.to_str().ok();
        if status == StatusCode::OK {
            if header(names::REQUEST_ID) != Some(identifier) {
                let breach = format!("{identifier} received the response to another request");
                promises.report_breach(breach);
            }
            match received.end(answer) {
                AnswerEnd::Whole => {
                    promises
                        .shares
                        .record(labels, sent_at, RequestOutcome::Served);
                    promises.record_answer(false);
                    promises.record_whole_answer(identifier);
                    return Attempt::Complete;
                }
                AnswerEnd::BrokenOff => promises.record_broken_off_answer(),
                AnswerEnd::Wrong => promises.report_wrong_answer(identifier, answer, &received),
            }
        }
        let code = status.as_u16();
        if matches!(code, 402 | 404 | 408 | 421 | 429 | 503) {
            promises.record_refusal(identifier, code);
            // Nothing is owed to a program beyond its budget.
            if code != 402 {
                promises
                    .shares
                    .record(labels, sent_at, RequestOutcome::Refused);
            }
            let after = header(names::RETRY_AFTER).and_then(|value| value.parse().ok());
            return Attempt::Rejected(code, after.map(Duration::from_secs_f64));
        }
        promises.record_failure(labels, sent_at, identifier);
        Attempt::Failed
    }
}

fn expected_output(identifier: &str) -> Vec<u8> {
    let mut output = Vec::new();
    for number in 0..EVENTS_PER_TURN {
        output.extend_from_slice(event_data(identifier, number).as_bytes());
        output.push(b'\n');
    }
    output
}
