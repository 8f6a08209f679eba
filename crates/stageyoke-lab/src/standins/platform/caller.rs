//! Stand-in for a platform caller: runs programs of stored turns with tool calls
//! between them, retries as the protocol allows, and checks every answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request, Response, StatusCode};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::answers::{
    AnswerEnd, ReceivedAnswer, event, event_data, split_after_last_event, tool_answer, turn_answer,
};
use super::entry::connect;
use super::tenants::CALLERS_KEY;
use super::{
    HOST, IDEMPOTENT_TOOL_PATH, NON_IDEMPOTENT_TOOL_PATH, STORED_TURN_PATH, TOKENS_PER_EVENT, names,
};
use crate::soak::promises::{ExpectedRequest, Promises};
use crate::soak::shares::{RequestLabels, RequestOutcome};

const REQUEST_DEADLINE: Duration = Duration::from_millis(4000);
const EVENTS_PER_TURN: u32 = 6;
const MAX_TURN_TOKENS: u32 = EVENTS_PER_TURN * TOKENS_PER_EVENT;
/// Maximum number of idle connections that a caller keeps open: one to each front.
const MAX_IDLE_CONNECTIONS: usize = 250;
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1300);

/// Stored turn that later turns can continue.
#[derive(Clone, Debug)]
pub struct StoredTurn {
    /// Identifier of the attempt that was answered.
    pub request_id: String,
    /// Inputs and outputs of the chain up to and including this turn.
    pub transcript: Vec<u8>,
    /// Time at which the answer was complete; the retention time starts here.
    pub answered_at: Instant,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Rejected(u16, Duration),
    Failed,
}

/// Caller that sends requests to random fronts.
pub struct Caller {
    /// Addresses of the fronts.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Receives every request, every answer and every broken guarantee.
    pub promises: Arc<Promises>,
    /// Source of the identifiers, budgets, fronts and tools to use.
    pub random: ChaCha8Rng,
    /// Least size of a turn's input in bytes.
    pub input_bytes: usize,
    /// Idle connections by front, reused while they are open.
    idle_connections: BTreeMap<SocketAddr, SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller without connections.
    pub fn new(fronts: Arc<Vec<SocketAddr>>, promises: Arc<Promises>, random: ChaCha8Rng) -> Self {
        Self {
            fronts,
            promises,
            random,
            input_bytes: 0,
            idle_connections: BTreeMap::new(),
        }
    }

    fn draw_identifier(&mut self) -> String {
        format!("{:016x}", self.random.random::<u64>())
    }

    /// Runs a program of several turns; returns its last stored turn.
    pub async fn run_program(&mut self, turns: u32, until: Instant) -> Option<StoredTurn> {
        let program = self.draw_identifier();
        // Some budgets run out before the last turn, which must be answered 402.
        let budget = MAX_TURN_TOKENS * self.random.random_range(2..turns.max(3) * 2);
        let mut received_tokens = 0;
        let mut last_turn: Option<StoredTurn> = None;
        for _ in 0..turns {
            let Some(next) = self
                .run_turn(
                    &program,
                    budget,
                    last_turn.as_ref(),
                    &mut received_tokens,
                    until,
                )
                .await
            else {
                break;
            };
            if received_tokens > budget + MAX_TURN_TOKENS {
                let breach = format!(
                    "program {program} received {received_tokens} tokens with a budget of {budget}"
                );
                self.promises.report_breach(breach);
            }
            last_turn = Some(next);
            let repeatable = self.random.random_bool(0.5);
            self.call_tool(repeatable).await;
        }
        last_turn
    }

    /// Runs a turn, retrying it until it has a complete answer, is rejected for good
    /// or `until` has passed.
    pub async fn run_turn(
        &mut self,
        program: &str,
        budget: u32,
        previous: Option<&StoredTurn>,
        received_tokens: &mut u32,
        until: Instant,
    ) -> Option<StoredTurn> {
        while Instant::now() < until {
            let id = self.draw_identifier();
            let mut input = format!("question of {id}\n").into_bytes();
            input.resize(input.len().max(self.input_bytes), b'.');
            let mut body = previous.map_or_else(Vec::new, |turn| turn.transcript.clone());
            body.extend_from_slice(&input);
            let expected = ExpectedRequest {
                body: Bytes::from(body.clone()),
                repeatable: false,
            };
            self.promises.record_request(&id, expected);
            let mut request = self.build_request(Method::POST, STORED_TURN_PATH, &id, input);
            let headers = request.headers_mut();
            let tokens = format!("10,{MAX_TURN_TOKENS}");
            let mut fields = vec![
                (names::PROGRAM_ID, program.to_owned()),
                (names::TOKEN_BUDGET, budget.to_string()),
                (names::TOKEN_COUNTS, tokens),
            ];
            fields.extend(previous.map(|turn| (names::PREVIOUS_TURN, turn.request_id.clone())));
            for (name, value) in fields {
                if let Ok(value) = value.parse() {
                    headers.insert(name, value);
                }
            }
            let mut received = ReceivedAnswer::default();
            let answer = turn_answer(&id, EVENTS_PER_TURN);
            let outcome = self.attempt(request, &id, &answer, &mut received).await;
            *received_tokens += self.check_events(&id, &received);
            match outcome {
                Outcome::Complete => {
                    self.promises.record_answer(previous.is_some());
                    self.promises.record_turn_served();
                    for number in 0..EVENTS_PER_TURN {
                        body.extend_from_slice(event_data(&id, number).as_bytes());
                        body.push(b'\n');
                    }
                    return Some(StoredTurn {
                        request_id: id,
                        transcript: body,
                        answered_at: Instant::now(),
                    });
                }
                Outcome::Rejected(402, _) => return None,
                Outcome::Rejected(404, _) => {
                    let breach = format!(
                        "{id}: a request for a known route and stored turn was answered 404"
                    );
                    self.promises.report_breach(breach);
                    return None;
                }
                Outcome::Rejected(_, retry_after) => tokio::time::sleep(retry_after).await,
                Outcome::Failed => tokio::time::sleep(Duration::from_millis(150)).await,
            }
        }
        None
    }

    /// Calls a tool once, without retries.
    pub async fn call_tool(&mut self, repeatable: bool) {
        let id = self.draw_identifier();
        let (method, path, body) = match repeatable {
            true => (Method::GET, IDEMPOTENT_TOOL_PATH, Vec::new()),
            false => (
                Method::POST,
                NON_IDEMPOTENT_TOOL_PATH,
                format!("order {id}").into_bytes(),
            ),
        };
        let expected = ExpectedRequest {
            body: Bytes::from(body.clone()),
            repeatable,
        };
        self.promises.record_request(&id, expected);
        let request = self.build_request(method, path, &id, body);
        let mut received = ReceivedAnswer::default();
        let answer = tool_answer(&id);
        if let Outcome::Complete = self.attempt(request, &id, &answer, &mut received).await {
            self.promises.record_answer(false);
        }
    }

    /// Checks that the events belong to this turn and are in order, with none missing
    /// or duplicated before the last one. Returns the number of tokens received.
    fn check_events(&self, id: &str, received: &ReceivedAnswer) -> u32 {
        let text = String::from_utf8_lossy(&received.body);
        let (text, rest) = split_after_last_event(&text);
        let mut count = 0;
        for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if line != event_data(id, count) {
                self.promises
                    .report_breach(format!("{id}: event {count} has the wrong data '{line}'"));
            }
            count += 1;
        }
        let is_endless = self.promises.is_answer_endless(id);
        if received.is_success
            && !is_endless
            && !event(count, &event_data(id, count)).starts_with(rest)
        {
            self.promises
                .report_breach(format!("{id}: event {count} has the wrong start '{rest}'"));
        }
        // A replica that sends events without end exceeds the tokens that were asked of it.
        let counted = match is_endless {
            true => count.min(EVENTS_PER_TURN),
            false => count,
        };
        counted * TOKENS_PER_EVENT
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        id: &str,
        body: Vec<u8>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::from(body));
        *request.method_mut() = method;
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let deadline = REQUEST_DEADLINE.as_millis().to_string();
        let key = format!("Bearer {CALLERS_KEY}");
        let fields = [
            ("host", HOST),
            (names::REQUEST_ID, id),
            (names::DEADLINE_MS, &deadline),
            ("authorization", &key),
        ];
        for (name, value) in fields {
            if let Ok(value) = value.parse() {
                request.headers_mut().insert(name, value);
            }
        }
        request
    }

    /// Sends a request to a random front, checks its answer and records the outcome.
    async fn attempt(
        &mut self,
        request: Request<Full<Bytes>>,
        id: &str,
        answer: &str,
        received: &mut ReceivedAnswer,
    ) -> Outcome {
        let labels = RequestLabels {
            kind: request_kind(request.uri().path()),
            zone: 0,
            tenant: 0,
        };
        let sent_at = Instant::now();
        let outcome = self
            .send_to_random_front(request, id, answer, received)
            .await;
        let shares = &self.promises.shares;
        match outcome {
            Outcome::Complete => shares.record(labels, sent_at, RequestOutcome::Served),
            // Nothing is owed to a program beyond its budget.
            Outcome::Rejected(402, _) => {}
            Outcome::Rejected(..) => shares.record(labels, sent_at, RequestOutcome::Refused),
            Outcome::Failed => self.promises.record_failure(labels, sent_at, id),
        }
        outcome
    }

    async fn send_to_random_front(
        &mut self,
        request: Request<Full<Bytes>>,
        id: &str,
        answer: &str,
        received: &mut ReceivedAnswer,
    ) -> Outcome {
        let front = self.fronts[self.random.random_range(0..self.fronts.len())];
        let response = self.exchange(front, request, received);
        let Ok(Some(response)) = tokio::time::timeout(REQUEST_DEADLINE, response).await else {
            return Outcome::Failed;
        };
        let status = response.status();
        if status == StatusCode::OK {
            let echoed_id = response.headers().get(names::REQUEST_ID);
            if echoed_id.is_none_or(|value| value.as_bytes() != id.as_bytes()) {
                self.promises
                    .report_breach(format!("{id} received the answer to another request"));
            }
            if !response.headers().contains_key(names::SIGNATURE) {
                self.promises.report_breach(format!(
                    "{id} received a successful answer without a signature"
                ));
            }
            return self.check_end(id, answer, received);
        }
        if status == StatusCode::BAD_REQUEST {
            self.promises
                .report_breach(format!("{id}: a proper request was rejected with 400"));
        }
        if matches!(status.as_u16(), 402 | 404 | 408 | 421 | 429 | 503) {
            self.promises.record_refusal(id, status.as_u16());
            let retry_after = response
                .headers()
                .get(names::RETRY_AFTER)
                .and_then(|value| value.to_str().ok())
                .and_then(|value| value.parse::<f64>().ok())
                .map_or(Duration::from_millis(200), Duration::from_secs_f64);
            return Outcome::Rejected(status.as_u16(), retry_after.min(MAX_RETRY_AFTER));
        }
        Outcome::Failed
    }

    /// Checks an answer that ended without an error; one without framing may have been broken
    /// off.
    fn check_end(&self, id: &str, answer: &str, received: &ReceivedAnswer) -> Outcome {
        match self.promises.judge_end(id, answer, received) {
            AnswerEnd::Whole => {
                self.promises.record_whole_answer(id);
                Outcome::Complete
            }
            AnswerEnd::BrokenOff => {
                self.promises.record_broken_off_answer();
                Outcome::Failed
            }
            AnswerEnd::Wrong => {
                self.promises.report_wrong_answer(id, answer, received);
                Outcome::Failed
            }
        }
    }

    /// Sends a request over the idle connection to the front, or a new one, and appends the
    /// answer's body to `received`; `None` if the answer is incomplete.
    async fn exchange(
        &mut self,
        front: SocketAddr,
        request: Request<Full<Bytes>>,
        received: &mut ReceivedAnswer,
    ) -> Option<Response<()>> {
        let idle = self.idle_connections.remove(&front);
        let mut sender = match idle.filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => connect(front).await?,
        };
        let response: Response<Incoming> = sender.send_request(request).await.ok()?;
        let (head, mut body) = response.into_parts();
        received.record_head(&head);
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            if let Some(data) = frame.data_ref() {
                received.body.extend_from_slice(data);
            }
        }
        if self.idle_connections.len() >= MAX_IDLE_CONNECTIONS {
            self.idle_connections.pop_first();
        }
        self.idle_connections.insert(front, sender);
        Some(Response::from_parts(head, ()))
    }
}

/// Returns the kind of the requests with this path, for the shares that are served.
fn request_kind(path: &str) -> &'static str {
    match path {
        STORED_TURN_PATH => "turn",
        IDEMPOTENT_TOOL_PATH => "read",
        _ => "write",
    }
}
