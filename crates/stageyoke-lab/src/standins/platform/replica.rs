//! Stand-in for a platform replica: streams turns or answers tool calls, and
//! records every execution for the soak's checks.

use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode, Version};
use stageyoke_node::backends::{Body, BodyError};
use stageyoke_node::pieces::{self, PieceSender};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::answers::{event, event_data, tool_answer};
use super::cold_phase::ColdPhase;
use super::endless::{EndlessAnswer, SendingEndless};
use super::resumable::{named_stream, resumable_data};
use super::{RESUMABLE_PATH, TOKENS_PER_EVENT, names};
use crate::soak::disturbances::MAX_PROPAGATION_DELAY;
use crate::soak::promises::{Promises, ResumePosition};
use crate::standins::{Handler, respond};

const MAX_BUFFERED_EVENTS: usize = 4;
/// Name in the query of requests under which the replica's process ends.
pub const DEADLY_QUERY: &str = "deadly";

/// Faults injected at a replica, each with its share of requests in percent.
#[derive(Debug, Default)]
pub struct ReplicaFaults {
    /// Requests rejected without execution.
    pub rejected_percent: AtomicU32,
    /// Streams aborted before their end.
    pub truncated_percent: AtomicU32,
    /// Requests executed without ever sending an answer.
    pub lost_answer_percent: AtomicU32,
    /// Answers without a length or chunks, which end with their connection.
    pub unframed_percent: AtomicU32,
    /// Those of them that end early, as if they were complete.
    pub broken_off_percent: AtomicU32,
    /// Answers without end: their kind and their share.
    endless: Mutex<Option<(EndlessAnswer, u32)>>,
    /// Identifiers of replicas whose processes are to end.
    ended: Mutex<Vec<String>>,
}

impl ReplicaFaults {
    /// Returns the replicas whose processes are to end since the last call.
    pub fn take_ended(&self) -> Vec<String> {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut ended)
    }

    /// Sets which share of the answers in percent is sent without end, and how; `None` for none.
    pub fn set_endless(&self, endless: Option<(EndlessAnswer, u32)>) {
        let mut current = self.endless.lock().unwrap_or_else(PoisonError::into_inner);
        *current = endless;
    }

    fn draw_endless(&self) -> Option<EndlessAnswer> {
        let current = *self.endless.lock().unwrap_or_else(PoisonError::into_inner);
        let (kind, percent) = current?;
        (rand::random_range(0..100) < percent).then_some(kind)
    }

    fn record_end(&self, replica: &str) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.push(replica.to_owned());
    }
}

/// How many requests a replica runs at the same time, and how long they take.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCapacity {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot; more are rejected without execution.
    pub queue: usize,
    /// Time from the start of a turn to its first event.
    pub first_event: Duration,
    /// Time between two events of a turn.
    pub event_interval: Duration,
    /// Mean execution time of a tool call; the times are exponentially distributed.
    pub tool_time: Duration,
    /// Whether every tool call takes exactly the mean time.
    pub is_tool_time_fixed: bool,
}

impl ReplicaCapacity {
    /// A model replica that runs any number of short turns.
    pub const UNLIMITED_MODEL: Self = Self {
        slots: Semaphore::MAX_PERMITS,
        queue: 0,
        first_event: Duration::from_millis(4),
        event_interval: Duration::from_millis(4),
        tool_time: Duration::from_millis(5),
        is_tool_time_fixed: true,
    };
    /// A tool replica that runs any number of short calls.
    pub const UNLIMITED_TOOL: Self = Self::UNLIMITED_MODEL;
    /// A model replica that batches a few long turns.
    pub const BATCHING_MODEL: Self = Self {
        slots: 8,
        queue: 24,
        first_event: Duration::from_millis(50),
        event_interval: Duration::from_millis(37),
        ..Self::UNLIMITED_MODEL
    };
    /// A tool replica whose calls take tens of milliseconds.
    pub const BUSY_TOOL: Self = Self {
        slots: 6,
        queue: 24,
        tool_time: Duration::from_millis(50),
        is_tool_time_fixed: false,
        ..Self::UNLIMITED_MODEL
    };

    fn draw_tool_time(&self) -> Duration {
        match self.is_tool_time_fixed {
            true => self.tool_time,
            false => self.tool_time.mul_f64(-(1.0 - rand::random::<f64>()).ln()),
        }
    }
}

/// Slots of a replica and the number of requests that run or wait for one.
pub struct ReplicaSlots {
    capacity: ReplicaCapacity,
    free: Arc<Semaphore>,
    admitted: Arc<AtomicUsize>,
}

/// A request that was admitted; it leaves its slot when dropped.
struct AdmittedRequest {
    admitted: Arc<AtomicUsize>,
    permit: Option<OwnedSemaphorePermit>,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.permit.take();
        self.admitted.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ReplicaSlots {
    /// Creates free slots.
    pub fn new(capacity: ReplicaCapacity) -> Self {
        Self {
            capacity,
            free: Arc::new(Semaphore::new(capacity.slots)),
            admitted: Arc::default(),
        }
    }

    /// Returns the capacity of the replica.
    pub fn capacity(&self) -> ReplicaCapacity {
        self.capacity
    }

    /// Waits for a slot; `None` if too many requests wait already.
    async fn enter(&self) -> Option<AdmittedRequest> {
        let before = self.admitted.fetch_add(1, Ordering::Relaxed);
        let mut request = AdmittedRequest {
            admitted: self.admitted.clone(),
            permit: None,
        };
        if before >= self.capacity.slots.saturating_add(self.capacity.queue) {
            return None;
        }
        request.permit = self.free.clone().acquire_owned().await.ok();
        Some(request)
    }
}

/// Replica of the platform.
pub struct ReplicaStandIn {
    /// Identifier, which stays the same over restarts.
    pub id: String,
    /// Zone of the replica.
    pub zone: String,
    /// `true` for a model engine that streams turns, `false` for a tool.
    pub is_engine: bool,
    /// Injected faults.
    pub faults: Arc<ReplicaFaults>,
    /// Slots for requests.
    pub slots: ReplicaSlots,
    /// Receives every execution and every broken guarantee.
    pub promises: Arc<Promises>,
    /// Start time in Unix milliseconds.
    pub started_at_ms: AtomicU64,
    /// Time at which the replica announced that it is leaving.
    pub leaving_since: Mutex<Option<Instant>>,
    /// Time at which the replica's zone was evacuated.
    pub evacuated_since: Mutex<Option<Instant>>,
    /// Version of the replica's software.
    pub version: AtomicU64,
    /// Phase after a start in which the replica bears little load.
    pub cold_phase: ColdPhase,
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Omits length and chunks from a response whose body has no known length: it ends with its
/// connection.
fn omit_framing(response: &mut Response<Body>) {
    *response.version_mut() = Version::HTTP_10;
}

fn draw_fault(percent: &AtomicU32) -> bool {
    rand::random_range(0..100) < percent.load(Ordering::Relaxed)
}

impl ReplicaStandIn {
    /// Announces that the replica is leaving, or that a successor replaced it.
    pub fn set_leaving(&self, leaving: bool) {
        let mut since = self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since = leaving.then(Instant::now);
    }

    /// Sets whether the replica's zone is evacuated.
    pub fn set_evacuated(&self, evacuated: bool) {
        let mut since = self
            .evacuated_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since = evacuated.then(Instant::now);
    }

    /// Reports a request that arrives too long after the replica announced that it is leaving
    /// or after its zone was evacuated, or that exceeds the rate of the cold replica.
    fn check_arrival(&self, request: &str) {
        let id = &self.id;
        let overdue = |since: &Mutex<Option<Instant>>| {
            let since = *since.lock().unwrap_or_else(PoisonError::into_inner);
            let elapsed = since.map(|since| since.elapsed());
            elapsed.filter(|elapsed| *elapsed > MAX_PROPAGATION_DELAY)
        };
        let leaving = overdue(&self.leaving_since).map(|late| (late, "it said that it leaves"));
        let evacuated = overdue(&self.evacuated_since).map(|late| (late, "its zone's evacuation"));
        if self.promises.disturbances.bounds_apply() {
            for (late, what) in leaving.into_iter().chain(evacuated) {
                let late = late.as_millis();
                let breach = format!("{request} reached {id} {late} ms after {what}");
                self.promises.report_breach(breach);
            }
        }
        if let Some(count) = self.cold_phase.count_request() {
            let breach = format!("cold replica {id} received {count} requests within a second");
            self.promises.report_breach(breach);
        }
    }

    fn set_headers(&self, response: &mut Response<Body>, request: &str) {
        let headers = response.headers_mut();
        for (name, value) in [(names::REQUEST_ID, request), (names::SIGNATURE, &self.id)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }

    fn reject(&self, status: StatusCode, request: &str) -> Response<Body> {
        let mut response = respond(status, "");
        self.set_headers(&mut response, request);
        response.headers_mut().remove(names::SIGNATURE);
        response
            .headers_mut()
            .insert(names::NOT_EXECUTED, HeaderValue::from_static("1"));
        response
    }

    /// Answers without end, after a run unless the answer is a rejection.
    fn answer_without_end(
        &self,
        kind: EndlessAnswer,
        request: &str,
        admitted: Option<AdmittedRequest>,
    ) -> Response<Body> {
        let sending = SendingEndless {
            promises: self.promises.clone(),
            held: Box::new(admitted),
        };
        let mut response = kind.respond(request, sending);
        self.set_headers(&mut response, request);
        if kind == EndlessAnswer::Rejection {
            let headers = response.headers_mut();
            headers.remove(names::SIGNATURE);
            headers.insert(names::NOT_EXECUTED, HeaderValue::from_static("1"));
        }
        response
    }

    /// Returns where a resumable stream starts, and checks what the fronts passed on.
    fn resume_position(&self, request: &str, headers: &HeaderMap, body: &[u8]) -> StreamStart {
        let first = header_text(headers, names::RESUMES);
        let last_event: Option<u32> = header_text(headers, names::LAST_EVENT_ID).parse().ok();
        let position = last_event.map(|last_event| ResumePosition {
            first: first.clone(),
            last_event,
        });
        self.promises.check_resume(request, &first, position);
        StreamStart {
            stream: match named_stream(body) {
                Some(name) => name,
                None if first.is_empty() => request.to_owned(),
                None => first,
            },
            number: last_event.map_or(0, |last_event| last_event + 1),
            version: self.version.load(Ordering::Relaxed),
        }
    }

    /// Answers a tool call without framing, in full or broken off.
    async fn unframed_tool_answer(&self, request: &str) -> Response<Body> {
        let (mut sender, body) = pieces::channel::<BodyError>(1);
        let mut answer = Bytes::from(tool_answer(request));
        match draw_fault(&self.faults.broken_off_percent) {
            true => answer.truncate(rand::random_range(0..answer.len())),
            false => self.promises.record_whole_unframed(request),
        }
        let _ = sender.send_data(answer).await;
        let mut response = Response::new(body.boxed());
        omit_framing(&mut response);
        response
    }

    fn stream_turn(
        &self,
        request: String,
        events: u32,
        position: Option<StreamStart>,
        admitted: AdmittedRequest,
    ) -> Response<Body> {
        let (sender, body) = pieces::channel::<BodyError>(MAX_BUFFERED_EVENTS);
        let abort_before = draw_fault(&self.faults.truncated_percent)
            .then(|| rand::random_range(0..events.max(1)));
        // A client of a resumable stream may leave before its end.
        let is_read_to_end = position.is_none();
        let is_unframed = draw_fault(&self.faults.unframed_percent);
        let is_broken_off = is_unframed && draw_fault(&self.faults.broken_off_percent);
        let turn = StreamedTurn {
            request: request.clone(),
            events,
            start: position,
            abort_before,
            cut: is_broken_off.then(|| Cut::draw(&request, events)),
            unframed_promises: (is_unframed && is_read_to_end).then(|| self.promises.clone()),
            capacity: self.slots.capacity,
            _admitted: admitted,
        };
        tokio::spawn(turn.send(sender));
        let mut response = Response::new(body.boxed());
        if is_unframed {
            omit_framing(&mut response);
        }
        self.set_headers(&mut response, &request);
        response
    }
}

/// Where a replica starts a resumable stream.
struct StreamStart {
    /// Attempt that brought the first event of the stream, or the name that its question states.
    stream: String,
    /// Number of the first event to send.
    number: u32,
    /// Version of the replica's software.
    version: u64,
}

/// A turn whose events are being sent.
struct StreamedTurn {
    request: String,
    events: u32,
    /// Where a resumable stream starts.
    start: Option<StreamStart>,
    /// Event before which the stream is aborted, if any.
    abort_before: Option<u32>,
    /// Position at which the stream ends early without an error, if any.
    cut: Option<Cut>,
    /// Receives the end of a whole stream without framing.
    unframed_promises: Option<Arc<Promises>>,
    capacity: ReplicaCapacity,
    _admitted: AdmittedRequest,
}

/// Position in a stream.
#[derive(Clone, Copy, Debug)]
struct Cut {
    event: u32,
    /// Bytes of that event before the position.
    length: usize,
}

impl Cut {
    /// Draws a position inside an event or between two.
    fn draw(request: &str, events: u32) -> Self {
        let number = rand::random_range(0..events.max(1));
        let length = event(number, &event_data(request, number)).len();
        let is_inside = rand::random_bool(0.5);
        Self {
            event: number,
            length: if is_inside {
                rand::random_range(1..length)
            } else {
                0
            },
        }
    }
}

impl StreamedTurn {
    async fn send(self, mut sender: PieceSender<BodyError>) {
        let first = self.start.as_ref().map_or(0, |start| start.number);
        for number in first..self.events {
            tokio::time::sleep(match number == first {
                true => self.capacity.first_event,
                false => self.capacity.event_interval,
            })
            .await;
            if self.abort_before == Some(number) {
                sender.abort("injected stream failure".into()).await;
                return;
            }
            let data = match &self.start {
                Some(start) => resumable_data(&start.stream, number, start.version),
                None => event_data(&self.request, number),
            };
            let event = event(number, &data);
            if let Some(cut) = self.cut.filter(|cut| cut.event == number) {
                let length = cut.length.min(event.len() - 1);
                let part = Bytes::from(event).slice(..length);
                let _ = sender.send_data(part).await;
                return;
            }
            if sender.send_data(Bytes::from(event)).await.is_err() {
                return;
            }
        }
        if let Some(promises) = self.unframed_promises {
            promises.record_whole_unframed(&self.request);
        }
    }
}

impl Handler for ReplicaStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let headers = request.headers().clone();
        let is_resumable = request.uri().path() == RESUMABLE_PATH;
        let query = request.uri().query().unwrap_or_default();
        let is_deadly = query.starts_with(DEADLY_QUERY);
        let id = header_text(&headers, names::REQUEST_ID);
        if header_text(&headers, names::EXPECTED_INSTANCE) != self.id {
            return self.reject(StatusCode::MISDIRECTED_REQUEST, &id);
        }
        self.check_arrival(&id);
        if draw_fault(&self.faults.rejected_percent) {
            return self.reject(StatusCode::SERVICE_UNAVAILABLE, &id);
        }
        let endless = match is_resumable {
            true => None,
            false => self.faults.draw_endless(),
        };
        if let Some(EndlessAnswer::Rejection) = endless {
            return self.answer_without_end(EndlessAnswer::Rejection, &id, None);
        }
        let Ok(body) = request.into_body().collect().await else {
            return self.reject(StatusCode::BAD_REQUEST, &id);
        };
        let Some(admitted) = self.slots.enter().await else {
            return self.reject(StatusCode::SERVICE_UNAVAILABLE, &id);
        };
        let body = body.to_bytes();
        self.promises.record_run(&id, &body);
        if is_deadly {
            self.faults.record_end(&self.id);
            std::future::pending::<()>().await;
        }
        if draw_fault(&self.faults.lost_answer_percent) {
            self.promises.record_withheld_response(&id);
            std::future::pending::<()>().await;
        }
        if let Some(kind) = endless {
            self.promises.record_endless_answer(&id);
            return self.answer_without_end(kind, &id, Some(admitted));
        }
        if self.is_engine {
            let token_counts = header_text(&headers, names::TOKEN_COUNTS);
            let max_tokens = token_counts
                .split(',')
                .nth(1)
                .and_then(|tokens| tokens.parse().ok());
            let events = max_tokens.unwrap_or(TOKENS_PER_EVENT) / TOKENS_PER_EVENT;
            let position = match is_resumable {
                true => Some(self.resume_position(&id, &headers, &body)),
                false => None,
            };
            return self.stream_turn(id, events, position, admitted);
        }
        tokio::time::sleep(self.slots.capacity.draw_tool_time()).await;
        let mut response = match draw_fault(&self.faults.unframed_percent) {
            true => self.unframed_tool_answer(&id).await,
            false => respond(StatusCode::OK, tool_answer(&id)),
        };
        self.set_headers(&mut response, &id);
        response
    }
}
