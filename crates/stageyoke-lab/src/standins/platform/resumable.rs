//! Resumable streams: their events, and a caller that breaks off streams and takes them up
//! again at another front.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::answers::ReceivedAnswer;
use super::entry::connect;
use super::tenants::CALLERS_KEY;
use super::{HOST, RESUMABLE_PATH, TOKENS_PER_EVENT, names};
use crate::soak::promises::{ExpectedRequest, Promises, ResumePosition};

/// Number of events of a resumable stream.
pub const RESUMABLE_EVENTS: u32 = 8;
const DEADLINE: Duration = Duration::from_millis(2000);
/// Maximum number of attempts of one stream; more if its question names it, since all fronts may be
/// down for a moment.
const MAX_ATTEMPTS: u32 = 6;
const MAX_ATTEMPTS_OF_NAMED_STREAM: u32 = 12;
const RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(700);

const QUESTION: &str = "question\n";
const NAMED_QUESTION: &str = "question of ";

/// Returns the name of the stream that a question asks for, if it names one.
pub fn named_stream(question: &[u8]) -> Option<String> {
    let question = std::str::from_utf8(question).ok()?;
    let name = question.strip_prefix(NAMED_QUESTION)?;
    Some(name.trim_end().to_owned())
}

/// Data of an event of the stream with this name: the attempt that brought its first event, or
/// the name that its question states.
pub fn resumable_data(first: &str, number: u32, version: u64) -> String {
    format!("{first} says {number} at {version}")
}

/// What a client has received of one stream over all its attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// Name of the stream: the attempt that brought the first event, or that in the question.
    pub first: Option<String>,
    /// Software version of the replica that began the stream.
    pub version: Option<u64>,
    /// Number of the next event.
    pub next: u32,
}

impl StreamProgress {
    /// Takes the next event, received by an attempt, and checks its number, stream and
    /// version.
    pub fn take(&mut self, attempt: &str, event: &str) -> Result<(), String> {
        let first = self.first.clone().unwrap_or_else(|| attempt.to_owned());
        let number = self.next;
        let start = format!("id: {number}\ndata: {first} says {number} at ");
        let version = event
            .strip_prefix(&start)
            .and_then(|rest| rest.parse().ok());
        let Some(version) = version else {
            return Err(format!(
                "{attempt}: '{event}' is not event {number} of stream {first}"
            ));
        };
        let begun_at = *self.version.get_or_insert(version);
        self.first = Some(first.clone());
        self.next += 1;
        match begun_at == version {
            true => Ok(()),
            false => Err(format!(
                "{attempt}: stream {first} began at version {begun_at} and goes on at {version}"
            )),
        }
    }

    /// Returns where the next attempt takes the stream up.
    pub fn position(&self) -> Option<ResumePosition> {
        let last_event = self.next.checked_sub(1)?;
        Some(ResumePosition {
            first: self.first.clone()?,
            last_event,
        })
    }
}

/// How an attempt ended.
enum AttemptEnd {
    /// The stream is complete, or holds what it must not.
    Over,
    /// The stream may be taken up after this delay.
    Retry(Duration),
}

/// Caller of resumable streams.
pub struct ResumingCaller {
    /// Addresses of the fronts.
    pub fronts: Arc<Vec<SocketAddr>>,
    /// Receives every request and every broken guarantee.
    pub promises: Arc<Promises>,
    /// Source of identifiers, fronts and break-offs.
    pub random: ChaCha8Rng,
    /// Time from which attempts are judged: traffic is owed only after the lead time of the first
    /// start, in which the store groups form.
    pub judged_from: Instant,
    /// Whether the caller names the first attempt where it takes a stream up. Otherwise the question
    /// names the stream.
    pub names_beginning: bool,
}

impl ResumingCaller {
    /// Runs streams one after the other.
    pub async fn run_until(mut self, until: Instant) {
        while Instant::now() < until {
            self.run_stream().await;
        }
    }

    /// Runs a stream over several attempts, each at another front than the one before.
    pub async fn run_stream(&mut self) {
        let mut progress = StreamProgress::default();
        let mut question = QUESTION.to_owned();
        if !self.names_beginning {
            let name = format!("{:016x}", self.random.random::<u64>());
            question = format!("{NAMED_QUESTION}{name}\n");
            progress.first = Some(name);
        }
        let mut front = self.random.random_range(0..self.fronts.len());
        let max_attempts = match self.names_beginning {
            true => MAX_ATTEMPTS,
            false => MAX_ATTEMPTS_OF_NAMED_STREAM,
        };
        for _ in 0..max_attempts {
            if self.fronts.len() > 1 {
                front += self.random.random_range(1..self.fronts.len());
                front %= self.fronts.len();
            }
            match self
                .attempt(self.fronts[front], &question, &mut progress)
                .await
            {
                AttemptEnd::Over => return,
                // Only the end of the answer was lost.
                AttemptEnd::Retry(_) if progress.next == RESUMABLE_EVENTS => return,
                AttemptEnd::Retry(delay) => tokio::time::sleep(delay).await,
            }
        }
    }

    async fn attempt(
        &mut self,
        front: SocketAddr,
        question: &str,
        progress: &mut StreamProgress,
    ) -> AttemptEnd {
        let id = format!("{:016x}", self.random.random::<u64>());
        let mut position = progress.position();
        if let Some(position) = position.as_mut().filter(|_| !self.names_beginning) {
            position.first.clear();
        }
        let request = request(&id, question, position.clone());
        let expected = ExpectedRequest {
            body: Bytes::from(question.to_owned()),
            repeatable: true,
        };
        self.promises.record_request(&id, expected);
        self.promises.record_resume(&id, position);
        let from = progress.next;
        let version = progress.version;
        let was_calm = self.is_calm(version);
        // Some attempts are read to their end.
        let leave_at = self.random.random_range(from + 1..=RESUMABLE_EVENTS * 2);
        let reading = self.read(front, &id, request, progress, leave_at);
        let end = tokio::time::timeout(DEADLINE, reading).await;
        if was_calm && self.is_calm(version) {
            let went_on = progress.next > from;
            self.promises
                .record_stream_attempt(version.is_some(), went_on);
        }
        end.unwrap_or(AttemptEnd::Retry(RETRY_DELAY))
    }

    /// Returns whether an attempt to begin a stream, or to go on at this version, is judged.
    fn is_calm(&self, version: Option<u64>) -> bool {
        let versions = &self.promises.serving_versions;
        Instant::now() >= self.judged_from
            && self.promises.disturbances.bounds_apply()
            && version.is_none_or(|version| versions.is_served(version))
    }

    /// Reads the stream up to the event `leave_at` and then closes the connection.
    async fn read(
        &self,
        front: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
        progress: &mut StreamProgress,
        leave_at: u32,
    ) -> AttemptEnd {
        let retry = AttemptEnd::Retry(RETRY_DELAY);
        let Some(mut sender) = connect(front).await else {
            return retry;
        };
        let Ok(response) = sender.send_request(request).await else {
            return retry;
        };
        let (head, mut body) = response.into_parts();
        if head.status != StatusCode::OK {
            let after = head.headers.get(names::RETRY_AFTER);
            let after = after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
            let after = after.map_or(RETRY_DELAY, Duration::from_secs_f64);
            return AttemptEnd::Retry(after.min(MAX_RETRY_AFTER));
        }
        let mut received = ReceivedAnswer::default();
        received.record_head(&head);
        let mut pending = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return retry;
            };
            let data = frame.data_ref().map(|data| String::from_utf8_lossy(data));
            pending.push_str(&data.unwrap_or_default());
            while let Some((event, rest)) = pending.split_once("\n\n") {
                if let Err(breach) = progress.take(id, event) {
                    self.promises.report_breach(breach);
                    return AttemptEnd::Over;
                }
                pending = rest.to_owned();
                if progress.next == leave_at && leave_at < RESUMABLE_EVENTS {
                    return retry;
                }
            }
        }
        let is_whole = progress.next == RESUMABLE_EVENTS && pending.is_empty();
        if is_whole {
            self.promises.record_complete_stream();
            return AttemptEnd::Over;
        }
        if received.is_framed {
            let events = progress.next;
            self.promises.report_breach(format!(
                "{id}: the stream is framed as complete after {events} of {RESUMABLE_EVENTS} events"
            ));
            return AttemptEnd::Over;
        }
        retry
    }
}

fn request(id: &str, question: &str, position: Option<ResumePosition>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::from(question.to_owned()));
    *request.method_mut() = Method::POST;
    if let Ok(uri) = RESUMABLE_PATH.parse() {
        *request.uri_mut() = uri;
    }
    let tokens = RESUMABLE_EVENTS * TOKENS_PER_EVENT;
    let mut fields = vec![
        ("host", HOST.to_owned()),
        (names::REQUEST_ID, id.to_owned()),
        (names::DEADLINE_MS, DEADLINE.as_millis().to_string()),
        (names::TOKEN_COUNTS, format!("10,{tokens}")),
        ("authorization", format!("Bearer {CALLERS_KEY}")),
    ];
    if let Some(position) = position {
        if !position.first.is_empty() {
            fields.push((names::RESUMES, position.first));
        }
        fields.push((names::LAST_EVENT_ID, position.last_event.to_string()));
    }
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    request
}
