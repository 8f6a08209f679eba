//! A replica of the platform: streams turns or answers tools, and reports every
//! run to the promises' record.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use stageyoke_node::backends::{Body, BodyError};
use stageyoke_node::pieces::{self, PieceSender};
use tokio::time::Instant;

use super::{TOKENS_PER_EVENT, names};
use crate::soak::calm::CHANGE_BOUND;
use crate::soak::promises::Promises;
use crate::standins::{Handler, respond};

const EVENT_PAUSE: Duration = Duration::from_millis(4);
const TOOL_WORK: Duration = Duration::from_millis(5);
const PIECES_WAITING: usize = 4;

/// What goes wrong at a replica, in percent of its requests.
#[derive(Debug, Default)]
pub struct ReplicaFaults {
    /// Refused without being run.
    pub rejected_percent: AtomicU32,
    /// Broken off partway.
    pub truncated_percent: AtomicU32,
    /// Run, with the answer lost.
    pub lost_answer_percent: AtomicU32,
}

/// One replica.
pub struct ReplicaStandIn {
    /// Its identifier, which it has again where it starts again.
    pub id: String,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// Its trouble.
    pub faults: Arc<ReplicaFaults>,
    /// Where runs are reported.
    pub promises: Arc<Promises>,
    /// When it started, in Unix milliseconds.
    pub started_at_ms: AtomicU64,
    /// When it said that it leaves.
    pub leaving_since: Mutex<Option<Instant>>,
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn strikes(percent: &AtomicU32) -> bool {
    rand::random_range(0..100) < percent.load(Ordering::Relaxed)
}

impl ReplicaStandIn {
    /// Says that it leaves, or that another has taken its place.
    pub fn set_leaving(&self, leaving: bool) {
        let mut since = self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since = leaving.then(Instant::now);
    }

    /// Work that comes too long after it has said that it leaves.
    fn check_leaving(&self, request: &str) {
        let since = *self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let late = since.map(|since| since.elapsed());
        if let Some(late) = late.filter(|late| *late > CHANGE_BOUND)
            && self.promises.calm.holds()
        {
            let (id, late) = (&self.id, late.as_millis());
            let breach = format!("{request} reached {id} {late} ms after it said that it leaves");
            self.promises.breach(breach);
        }
    }

    fn head(&self, response: &mut Response<Body>, request: &str) {
        let headers = response.headers_mut();
        for (name, value) in [(names::REQUEST_ID, request), (names::SIGNATURE, &self.id)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }

    fn refuse(&self, status: StatusCode, request: &str) -> Response<Body> {
        let mut response = respond(status, "");
        self.head(&mut response, request);
        response.headers_mut().remove(names::SIGNATURE);
        response
            .headers_mut()
            .insert(names::NOT_EXECUTED, HeaderValue::from_static("1"));
        response
    }

    fn stream(&self, request: String, events: u32) -> Response<Body> {
        let (sender, body) = pieces::channel::<BodyError>(PIECES_WAITING);
        let cut_at =
            strikes(&self.faults.truncated_percent).then(|| rand::random_range(0..events.max(1)));
        tokio::spawn(send_events(sender, request.clone(), events, cut_at));
        let mut response = Response::new(body.boxed());
        self.head(&mut response, &request);
        response
    }
}

/// The data of one event of a turn's answer.
pub fn event_data(request: &str, number: u32) -> String {
    format!("{request} says {number}")
}

async fn send_events(
    mut sender: PieceSender<BodyError>,
    request: String,
    events: u32,
    cut_at: Option<u32>,
) {
    for number in 0..events {
        tokio::time::sleep(EVENT_PAUSE).await;
        if cut_at == Some(number) {
            sender.abort("cut".into()).await;
            return;
        }
        let data = event_data(&request, number);
        let event = format!("id: {number}\ndata: {data}\n\n");
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
    }
}

impl Handler for ReplicaStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let headers = request.headers().clone();
        let id = text(&headers, names::REQUEST_ID);
        if text(&headers, names::EXPECTED_INSTANCE) != self.id {
            return self.refuse(StatusCode::MISDIRECTED_REQUEST, &id);
        }
        self.check_leaving(&id);
        if strikes(&self.faults.rejected_percent) {
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE, &id);
        }
        let Ok(body) = request.into_body().collect().await else {
            return self.refuse(StatusCode::BAD_REQUEST, &id);
        };
        self.promises.runs(&id, &body.to_bytes());
        if strikes(&self.faults.lost_answer_percent) {
            std::future::pending::<()>().await;
        }
        if self.is_engine {
            let most = text(&headers, names::TOKEN_COUNTS);
            let most = most.split(',').nth(1).and_then(|most| most.parse().ok());
            let events = most.unwrap_or(TOKENS_PER_EVENT) / TOKENS_PER_EVENT;
            return self.stream(id, events);
        }
        tokio::time::sleep(TOOL_WORK).await;
        let mut response = respond(StatusCode::OK, format!("answer to {id}"));
        self.head(&mut response, &id);
        response
    }
}
