//! Tells the end of a request whose caller leaves before the answer.

use stageyoke_observe::{self as observe, RequestSummary as Summary};
use tokio::time::Instant;

/// A request that has no answer yet. Its caller may leave: then nothing of it is
/// polled any more, and its end is told here.
pub(crate) struct PendingRequest {
    /// What is known of it so far.
    pub(crate) summary: Summary,
    arrived: Instant,
    answered: bool,
}

impl PendingRequest {
    /// It has just arrived.
    pub(crate) fn new(arrived: Instant) -> Self {
        Self {
            summary: Summary::default(),
            arrived,
            answered: false,
        }
    }

    /// It has an answer, whose end is told elsewhere.
    pub(crate) fn into_summary(mut self) -> Summary {
        self.answered = true;
        std::mem::take(&mut self.summary)
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.answered {
            self.summary.outcome = "caller_left";
            observe::record_request(&self.summary, self.arrived.elapsed());
        }
    }
}
