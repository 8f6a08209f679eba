//! A caller of the platform: programs of turns with kept history, tools between
//! them, retries as the pages allow, and a check of every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::replica::event_data;
use super::tenants::CALLERS_KEY;
use super::{
    HOST, IDEMPOTENT_TOOL_PATH, NON_IDEMPOTENT_TOOL_PATH, STORED_TURN_PATH, TOKENS_PER_EVENT, names,
};
use crate::soak::promises::{Expected, Promises};

const DEADLINE: Duration = Duration::from_millis(4000);
const EVENTS_A_TURN: u32 = 6;
const MOST_TOKENS: u32 = EVENTS_A_TURN * TOKENS_PER_EVENT;
const MOST_RETRY_AFTER: Duration = Duration::from_millis(1300);

/// A kept turn that later turns may go on from.
#[derive(Clone, Debug)]
pub struct StoredTurn {
    /// Its request identifier.
    pub request_id: String,
    /// Inputs and outputs of its chain, its own among them.
    pub transcript: Vec<u8>,
    /// When its answer had come whole: it is kept from then on.
    pub answered_at: Instant,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    Whole(Bytes),
    Refused(u16, Duration),
    Failed,
}

/// One caller.
pub struct Caller {
    /// Where fronts listen.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Where everything is reported.
    pub promises: Arc<Promises>,
    /// Draws what it does.
    pub random: ChaCha8Rng,
}

impl Caller {
    fn identifier(&mut self) -> String {
        format!("{:016x}", self.random.random::<u64>())
    }

    /// Runs one program of some turns; returns its last kept turn.
    pub async fn run_program(&mut self, turns: u32, until: Instant) -> Option<StoredTurn> {
        let program = self.identifier();
        // Enough for all turns, or for some: then 402 must come in time.
        let budget = MOST_TOKENS * self.random.random_range(2..turns.max(3) * 2);
        let mut given = 0;
        let mut last: Option<StoredTurn> = None;
        for _ in 0..turns {
            let Some(next) = self
                .run_turn(&program, budget, last.as_ref(), &mut given, until)
                .await
            else {
                break;
            };
            if given > budget + MOST_TOKENS {
                let breach = format!("program {program} was given {given} tokens of {budget}");
                self.promises.breach(breach);
            }
            last = Some(next);
            let repeatable = self.random.random_bool(0.5);
            self.call_tool(repeatable).await;
        }
        last
    }

    /// One turn, tried anew until it is answered whole or the time is over.
    pub async fn run_turn(
        &mut self,
        program: &str,
        budget: u32,
        previous: Option<&StoredTurn>,
        given: &mut u32,
        until: Instant,
    ) -> Option<StoredTurn> {
        while Instant::now() < until {
            let id = self.identifier();
            let input = format!("question of {id}\n").into_bytes();
            let mut body = previous.map_or_else(Vec::new, |turn| turn.transcript.clone());
            body.extend_from_slice(&input);
            let expected = Expected {
                body: Bytes::from(body.clone()),
                repeatable: false,
            };
            self.promises.sends(&id, expected);
            let mut request = self.request(Method::POST, STORED_TURN_PATH, &id, input);
            let headers = request.headers_mut();
            let tokens = format!("10,{MOST_TOKENS}");
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
            let mut heard = Vec::new();
            let end = self.attempt(request, &id, &mut heard).await;
            *given += self.check_events(&id, &heard, matches!(end, End::Whole(_)));
            match end {
                End::Whole(_) => {
                    self.promises.answered(previous.is_some());
                    self.promises.turn_served();
                    for number in 0..EVENTS_A_TURN {
                        body.extend_from_slice(event_data(&id, number).as_bytes());
                        body.push(b'\n');
                    }
                    return Some(StoredTurn {
                        request_id: id,
                        transcript: body,
                        answered_at: Instant::now(),
                    });
                }
                End::Refused(402, _) => return None,
                End::Refused(404, _) => {
                    let breach = format!("{id}: a kept turn or route was answered 404");
                    self.promises.breach(breach);
                    return None;
                }
                End::Refused(_, after) => tokio::time::sleep(after).await,
                End::Failed => tokio::time::sleep(Duration::from_millis(150)).await,
            }
        }
        None
    }

    /// One call of a tool.
    pub async fn call_tool(&mut self, repeatable: bool) {
        let id = self.identifier();
        let (method, path, body) = match repeatable {
            true => (Method::GET, IDEMPOTENT_TOOL_PATH, Vec::new()),
            false => (
                Method::POST,
                NON_IDEMPOTENT_TOOL_PATH,
                format!("order {id}").into_bytes(),
            ),
        };
        let expected = Expected {
            body: Bytes::from(body.clone()),
            repeatable,
        };
        self.promises.sends(&id, expected);
        let request = self.request(method, path, &id, body);
        let mut heard = Vec::new();
        if let End::Whole(content) = self.attempt(request, &id, &mut heard).await {
            self.promises.answered(false);
            if content != format!("answer to {id}").as_bytes() {
                self.promises
                    .breach(format!("{id} got the answer {content:?}"));
            }
        }
    }

    /// Events must be this turn's own, in order, none missing or doubled.
    fn check_events(&self, id: &str, heard: &[u8], whole: bool) -> u32 {
        let text = String::from_utf8_lossy(heard);
        let mut count = 0;
        for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if line != event_data(id, count) {
                self.promises
                    .breach(format!("{id}: event {count} is '{line}'"));
            }
            count += 1;
        }
        if whole && count != EVENTS_A_TURN {
            self.promises
                .breach(format!("{id} ended as whole after {count} events"));
        }
        count * TOKENS_PER_EVENT
    }

    fn request(&self, method: Method, path: &str, id: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::from(body));
        *request.method_mut() = method;
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let deadline = DEADLINE.as_millis().to_string();
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

    /// One try at one front.
    async fn attempt(
        &mut self,
        request: Request<Full<Bytes>>,
        id: &str,
        heard: &mut Vec<u8>,
    ) -> End {
        let front = self.fronts[self.random.random_range(0..self.fronts.len())];
        let talking = exchange(front, request, heard);
        let Ok(Some(response)) = tokio::time::timeout(DEADLINE, talking).await else {
            return End::Failed;
        };
        let status = response.status();
        if status == StatusCode::OK {
            let echoed = response.headers().get(names::REQUEST_ID);
            if echoed.is_none_or(|value| value.as_bytes() != id.as_bytes()) {
                self.promises
                    .breach(format!("{id} got another request's answer"));
            }
            if !response.headers().contains_key(names::SIGNATURE) {
                self.promises
                    .breach(format!("{id} got a success without a signature"));
            }
            return End::Whole(Bytes::copy_from_slice(heard));
        }
        if matches!(status.as_u16(), 402 | 404 | 408 | 421 | 429 | 503) {
            self.promises.refused(id, status.as_u16());
            let after = response
                .headers()
                .get(names::RETRY_AFTER)
                .and_then(|value| value.to_str().ok())
                .and_then(|value| value.parse::<f64>().ok())
                .map_or(Duration::from_millis(200), Duration::from_secs_f64);
            return End::Refused(status.as_u16(), after.min(MOST_RETRY_AFTER));
        }
        End::Failed
    }
}

/// Sends a request and reads its answer; `None` unless it came whole.
async fn exchange(
    front: SocketAddr,
    request: Request<Full<Bytes>>,
    heard: &mut Vec<u8>,
) -> Option<Response<()>> {
    let stream = TcpStream::connect(front).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream))
            .await
            .ok()?;
    let driver = tokio::spawn(connection);
    let response: Response<Incoming> = sender.send_request(request).await.ok()?;
    let (head, mut body) = response.into_parts();
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        if let Some(data) = frame.data_ref() {
            heard.extend_from_slice(data);
        }
    }
    driver.abort();
    Some(Response::from_parts(head, ()))
}
