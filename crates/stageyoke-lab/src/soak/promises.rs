//! What was promised and what was seen: callers and replicas report here, and
//! whatever contradicts a promise is kept as a breach.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hyper::body::Bytes;
use tokio::time::Instant;

use super::disturbances::DisturbanceTracker;

/// What a caller may expect of one request.
#[derive(Clone, Debug)]
pub struct ExpectedRequest {
    /// Body that a replica is to receive.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    runs: u32,
    refused: Option<u16>,
}

#[derive(Debug, Default)]
struct Record {
    expected: HashMap<String, ExpectedRequest>,
    seen: HashMap<String, Seen>,
    breaches: Vec<String>,
    last_turn: Option<Instant>,
    counts: Counts,
}

/// What was done.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Runs at replicas.
    pub runs: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals that promise that nothing ran.
    pub refused: u64,
    /// Turns that went on from a kept one.
    pub continued: u64,
    /// Budgets found spent.
    pub spent: u64,
    /// Kept turns whose retention was over before they could be asked for.
    pub expired: u64,
}

/// The record of one run.
#[derive(Debug, Default)]
pub struct Promises {
    record: Mutex<Record>,
    /// When bounds hold.
    pub disturbances: DisturbanceTracker,
}

impl Promises {
    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A caller is about to send a request.
    pub fn record_request(&self, request: &str, expected: ExpectedRequest) {
        let mut record = self.record();
        record.counts.requests += 1;
        record.expected.insert(request.to_owned(), expected);
    }

    /// A replica runs a request.
    pub fn record_run(&self, request: &str, body: &Bytes) {
        let mut record = self.record();
        record.counts.runs += 1;
        let seen = record.seen.entry(request.to_owned()).or_default();
        seen.runs += 1;
        let runs = seen.runs;
        match record.expected.get(request).cloned() {
            None => record.breach(format!("{request} runs, and nobody sent it")),
            Some(expected) => {
                if expected.body != *body {
                    let sizes = (expected.body.len(), body.len());
                    record.breach(format!("{request} runs with another body: {sizes:?}"));
                }
                if runs > 1 && !expected.repeatable {
                    record.breach(format!("{request} runs {runs} times"));
                }
            }
        }
    }

    /// A caller got a refusal that promises that the request never runs.
    pub fn record_refusal(&self, request: &str, status: u16) {
        let mut record = self.record();
        record.counts.refused += 1;
        record.counts.spent += u64::from(status == 402);
        let seen = record.seen.entry(request.to_owned()).or_default();
        seen.refused = Some(status);
    }

    /// A caller got a whole answer.
    pub fn record_answer(&self, continued: bool) {
        let mut record = self.record();
        record.counts.answered += 1;
        record.counts.continued += u64::from(continued);
    }

    /// A caller got a turn whole.
    pub fn record_turn_served(&self) {
        self.record().last_turn = Some(Instant::now());
    }

    /// Whether a caller got a turn whole after this moment.
    pub fn was_turn_served_since(&self, from: Instant) -> bool {
        self.record().last_turn.is_some_and(|last| last > from)
    }

    /// A kept turn's retention is over: nothing is promised of it.
    pub fn record_expired_turn(&self) {
        self.record().counts.expired += 1;
    }

    /// Something contradicts a promise.
    pub fn report_breach(&self, what: String) {
        self.record().breach(what);
    }

    /// Judges what can only be judged at the end, and returns all breaches.
    pub fn evaluate(&self) -> (Vec<String>, Counts) {
        let mut record = self.record();
        let false_refusals: Vec<String> = record
            .seen
            .iter()
            .filter(|(_, seen)| seen.runs > 0)
            .filter_map(|(request, seen)| seen.refused.map(|status| (request, status)))
            .filter(|(request, _)| {
                record
                    .expected
                    .get(*request)
                    .is_some_and(|expected| !expected.repeatable)
            })
            .map(|(request, status)| format!("{request} was answered {status} and ran"))
            .collect();
        for breach in false_refusals {
            record.breach(breach);
        }
        (record.breaches.clone(), record.counts)
    }
}

impl Record {
    fn breach(&mut self, what: String) {
        self.breaches.push(what);
    }
}
