//! Records what callers requested and what callers and replicas observed; an observation
//! that violates a promise is recorded as a breach.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hyper::body::Bytes;
use tokio::time::Instant;

use super::disturbances::DisturbanceTracker;
use super::shares::{
    MIN_JUDGED_REQUESTS, MIN_SERVED_SHARE, RequestLabels, RequestOutcome, ServedShares,
};
use super::versions::{ServingVersions, StreamCounts};
use crate::standins::platform::answers::{AnswerEnd, ReceivedAnswer};

/// Bytes of a wrong answer that a breach shows.
const MAX_SHOWN_BYTES: usize = 400;

/// What a caller expects of one request.
#[derive(Clone, Debug)]
pub struct ExpectedRequest {
    /// Body that a replica must receive.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Where a client takes a stream up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePosition {
    /// Attempt that brought the first event of the stream.
    pub first: String,
    /// Last event that the client has.
    pub last_event: u32,
}

#[derive(Clone, Debug, Default)]
struct ObservedRequest {
    runs: u32,
    refused: Option<u16>,
    is_withheld: bool,
    /// Whether the replica sent an answer without end.
    is_endless: bool,
    /// Whether the replica sent a whole answer without framing while no disturbance was near.
    is_whole_unframed: bool,
    is_answered: bool,
}

#[derive(Debug, Default)]
struct Record {
    expected: HashMap<String, ExpectedRequest>,
    observed: HashMap<String, ObservedRequest>,
    resumes: HashMap<String, Option<ResumePosition>>,
    breaches: Vec<String>,
    last_turn: Option<Instant>,
    counts: Counts,
}

/// Counts of requests and their results.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Runs of requests at replicas, including repeated ones.
    pub runs: u64,
    /// Complete responses.
    pub answered: u64,
    /// Refusals that promise that the request did not run.
    pub refused: u64,
    /// Turns that continued a stored turn.
    pub continued: u64,
    /// Requests refused because the budget was exhausted.
    pub spent: u64,
    /// Answers without framing that ended early.
    pub broken_off: u64,
    /// Whole answers without framing that replicas sent in calm times.
    pub unframed: u64,
    /// Answers that replicas sent without end.
    pub endless: u64,
    /// Attempts of resumable streams.
    pub streams: StreamCounts,
    /// Stored turns whose retention ended before they could be requested.
    pub expired: u64,
}

/// Observations and breaches of one run.
#[derive(Debug, Default)]
pub struct Promises {
    record: Mutex<Record>,
    /// Determines whether time bounds apply.
    pub disturbances: DisturbanceTracker,
    /// Software versions of the replicas that serve.
    pub serving_versions: ServingVersions,
    /// Shares of the requests that were served.
    pub shares: ServedShares,
}

impl Promises {
    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request; called before it is sent.
    pub fn record_request(&self, request: &str, expected: ExpectedRequest) {
        let mut record = self.record();
        record.counts.requests += 1;
        record.expected.insert(request.to_owned(), expected);
    }

    /// Records that a replica runs a request, and checks its body and the number of its
    /// runs.
    pub fn record_run(&self, request: &str, body: &Bytes) {
        let mut record = self.record();
        record.counts.runs += 1;
        let observed = record.observed.entry(request.to_owned()).or_default();
        observed.runs += 1;
        let runs = observed.runs;
        match record.expected.get(request).cloned() {
            None => record.breach(format!("{request} ran without having been sent")),
            Some(expected) => {
                if expected.body != *body {
                    let sizes = (expected.body.len(), body.len());
                    record.breach(format!(
                        "{request} ran with a different body; expected and actual bytes: {sizes:?}"
                    ));
                }
                if runs > 1 && !expected.repeatable {
                    record.breach(format!("{request} ran {runs} times but is not repeatable"));
                }
            }
        }
    }

    /// Records that a replica ran a request and withholds its response.
    pub fn record_withheld_response(&self, request: &str) {
        let mut record = self.record();
        let observed = record.observed.entry(request.to_owned()).or_default();
        observed.is_withheld = true;
    }

    /// Returns whether a replica ran a request and withheld its response.
    pub fn is_response_withheld(&self, request: &str) -> bool {
        let record = self.record();
        let observed = record.observed.get(request);
        observed.is_some_and(|observed| observed.is_withheld)
    }

    /// Records that a replica ran a request and sends an answer without end.
    pub fn record_endless_answer(&self, request: &str) {
        let mut record = self.record();
        record.counts.endless += 1;
        let observed = record.observed.entry(request.to_owned()).or_default();
        observed.is_endless = true;
    }

    /// Returns whether a replica sent an answer without end to a request.
    pub fn is_answer_endless(&self, request: &str) -> bool {
        let record = self.record();
        let observed = record.observed.get(request);
        observed.is_some_and(|observed| observed.is_endless)
    }

    /// Returns whether a request may run more than once.
    fn is_repeatable(&self, request: &str) -> bool {
        let record = self.record();
        let expected = record.expected.get(request);
        expected.is_some_and(|expected| expected.repeatable)
    }

    /// Judges the end of an answer. One that a replica sent without end is never whole, unless
    /// another replica answered too, and its part may end without a claim to be complete.
    pub fn judge_end(&self, request: &str, expected: &str, received: &ReceivedAnswer) -> AnswerEnd {
        let end = received.end(expected);
        if !self.is_answer_endless(request) {
            return end;
        }
        match end {
            AnswerEnd::Whole if !self.is_repeatable(request) => AnswerEnd::Wrong,
            AnswerEnd::Wrong if !received.is_framed => AnswerEnd::BrokenOff,
            end => end,
        }
    }

    /// Records the outcome of a request that has just ended without a usable response.
    pub fn record_failure(&self, labels: RequestLabels, sent_at: Instant, request: &str) {
        match self.is_response_withheld(request) {
            true => self.shares.record_withheld(labels, sent_at),
            false => self.shares.record(labels, sent_at, RequestOutcome::Failed),
        }
    }

    /// Records a refusal that promises that the request never runs.
    pub fn record_refusal(&self, request: &str, status: u16) {
        let mut record = self.record();
        record.counts.refused += 1;
        record.counts.spent += u64::from(status == 402);
        let observed = record.observed.entry(request.to_owned()).or_default();
        observed.refused = Some(status);
    }

    /// Records a complete response.
    pub fn record_answer(&self, continued: bool) {
        let mut record = self.record();
        record.counts.answered += 1;
        record.counts.continued += u64::from(continued);
    }

    /// Records that a replica sends a whole answer without framing; it must be delivered
    /// unless a disturbance is near.
    pub fn record_whole_unframed(&self, request: &str) {
        if self.disturbances.bounds_apply() {
            let mut record = self.record();
            let observed = record.observed.entry(request.to_owned()).or_default();
            observed.is_whole_unframed = true;
        }
    }

    /// Records where an attempt takes a stream up, if it does; called before it is sent.
    pub fn record_resume(&self, request: &str, position: Option<ResumePosition>) {
        self.record().resumes.insert(request.to_owned(), position);
    }

    /// Checks what a replica received of the position that the client sent. A front may go on
    /// from a later event within one answer.
    pub fn check_resume(&self, request: &str, first: &str, received: Option<ResumePosition>) {
        let mut record = self.record();
        let Some(sent) = record.resumes.get(request).cloned() else {
            return record.breach(format!("{request} reached a replica without being sent"));
        };
        let (sent_first, sent_event) = match &sent {
            Some(position) => (position.first.as_str(), Some(position.last_event)),
            None => ("", None),
        };
        let received_event = received.map(|position| position.last_event);
        let names_stream = first == sent_first || sent.is_none() && first == request;
        if !names_stream || received_event < sent_event {
            record.breach(format!(
                "{request} was sent to go on from {sent:?}, but a replica received \
                 \"{first}\" and event {received_event:?}"
            ));
        }
    }

    /// Records an attempt of a resumable stream in calm times, and whether it brought an event.
    pub fn record_stream_attempt(&self, is_resumed: bool, went_on: bool) {
        let mut record = self.record();
        let counts = &mut record.counts.streams;
        let (all, successful) = match is_resumed {
            true => (&mut counts.resumed, &mut counts.went_on),
            false => (&mut counts.new, &mut counts.begun),
        };
        *all += 1;
        *successful += u64::from(went_on);
    }

    /// Records that a client has all events of a resumable stream.
    pub fn record_complete_stream(&self) {
        self.record().counts.streams.complete += 1;
    }

    /// Records that a caller received the whole answer to a request.
    pub fn record_whole_answer(&self, request: &str) {
        let mut record = self.record();
        let observed = record.observed.entry(request.to_owned()).or_default();
        observed.is_answered = true;
    }

    /// Records an answer that ended early and did not claim to be complete.
    pub fn record_broken_off_answer(&self) {
        self.record().counts.broken_off += 1;
    }

    /// Reports an answer that is framed as complete and is not, or that holds other bytes.
    pub fn report_wrong_answer(&self, request: &str, expected: &str, received: &ReceivedAnswer) {
        let (size, expected_size) = (received.body.len(), expected.len());
        let is_short = expected.as_bytes().starts_with(&received.body);
        self.report_breach(match is_short {
            true => format!(
                "{request}: the answer is framed as complete after {size} of {expected_size} bytes"
            ),
            false => {
                let shown = &received.body[..size.min(MAX_SHOWN_BYTES)];
                let body = String::from_utf8_lossy(shown);
                format!("{request} received the wrong answer of {size} bytes: {body:?}")
            }
        });
    }

    /// Records that a caller received a complete turn.
    pub fn record_turn_served(&self) {
        self.record().last_turn = Some(Instant::now());
    }

    /// Returns whether a caller has received a complete turn since `from`.
    pub fn was_turn_served_since(&self, from: Instant) -> bool {
        self.record().last_turn.is_some_and(|last| last > from)
    }

    /// Records a stored turn whose retention has ended, so that it need not be served.
    pub fn record_expired_turn(&self) {
        self.record().counts.expired += 1;
    }

    /// Records a violation of a promise.
    pub fn report_breach(&self, what: String) {
        self.record().breach(what);
    }

    /// Runs the checks that are only possible at the end, and returns all breaches.
    pub fn evaluate(&self) -> (Vec<String>, Counts) {
        let mut record = self.record();
        let refused_runs: Vec<String> = record
            .observed
            .iter()
            .filter(|(_, observed)| observed.runs > 0)
            .filter_map(|(request, observed)| observed.refused.map(|status| (request, status)))
            .filter(|(request, _)| {
                record
                    .expected
                    .get(*request)
                    .is_some_and(|expected| !expected.repeatable)
            })
            .map(|(request, status)| format!("{request} was refused with status {status} but ran"))
            .collect();
        for breach in refused_runs {
            record.breach(breach);
        }
        record.check_unframed_answers();
        if let Some(shortfall) = record.counts.streams.shortfall() {
            record.breach(shortfall);
        }
        (record.breaches.clone(), record.counts)
    }
}

impl Record {
    /// Reports that too few of the whole answers without framing were delivered.
    fn check_unframed_answers(&mut self) {
        let observed = self.observed.values();
        let unframed = observed.filter(|observed| observed.is_whole_unframed);
        let total = unframed.clone().count() as u64;
        let delivered = unframed.filter(|observed| observed.is_answered).count() as u64;
        self.counts.unframed = total;
        let share = delivered as f64 / total.max(1) as f64;
        if total >= MIN_JUDGED_REQUESTS && share < MIN_SERVED_SHARE {
            self.breach(format!(
                "{delivered} of {total} whole answers without framing were delivered, \
                 less than {MIN_SERVED_SHARE:.2}"
            ));
        }
    }

    fn breach(&mut self, what: String) {
        self.breaches.push(what);
    }
}
