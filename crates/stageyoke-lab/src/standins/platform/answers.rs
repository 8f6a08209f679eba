//! What replicas answer, and what an answer claims to its caller: one with a length or chunks
//! is complete once it ends, one that ends with its connection may have been broken off.

use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;

/// Data of one event in the answer to a turn.
pub fn event_data(request: &str, number: u32) -> String {
    format!("{request} says {number}")
}

/// One event of a stream, with the blank line that ends it.
pub fn event(number: u32, data: &str) -> String {
    format!("id: {number}\ndata: {data}\n\n")
}

/// The whole stream that answers a turn.
pub fn turn_answer(request: &str, events: u32) -> String {
    let events = (0..events).map(|number| event(number, &event_data(request, number)));
    events.collect()
}

/// The whole answer to a tool call.
pub fn tool_answer(request: &str) -> String {
    format!("answer to {request}")
}

/// Returns the part of a stream up to the end of its last complete event, and what follows.
pub fn split_after_last_event(stream: &str) -> (&str, &str) {
    let end = stream.rfind("\n\n").map_or(0, |position| position + 2);
    stream.split_at(end)
}

/// How an answer ended that the connection reports as complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The caller has all that the replica meant to send.
    Whole,
    /// The answer ended early with its connection, and claims nothing else.
    BrokenOff,
    /// The answer is framed as complete but is not what the replica meant to send, or holds
    /// other bytes.
    Wrong,
}

/// Answer as received so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// Whether the status is 200.
    pub is_success: bool,
    /// Whether the answer has a length or chunks, so that its end shows that it is complete.
    pub is_framed: bool,
    /// Received part of the body.
    pub body: Vec<u8>,
}

impl ReceivedAnswer {
    /// Records the head of the answer.
    pub fn record_head(&mut self, head: &Parts) {
        self.is_success = head.status == StatusCode::OK;
        self.is_framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
    }

    /// Judges an answer that ended without an error by what the replica meant to send.
    pub fn end(&self, expected: &str) -> AnswerEnd {
        let expected = expected.as_bytes();
        match expected.starts_with(&self.body) {
            true if self.body.len() == expected.len() => AnswerEnd::Whole,
            true if !self.is_framed => AnswerEnd::BrokenOff,
            _ => AnswerEnd::Wrong,
        }
    }
}
