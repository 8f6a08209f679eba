//! Logs the end of a request whose caller disconnects before the response.

use stageyoke_observe::{self as observe, RequestSummary};
use tokio::time::Instant;

/// Request without a response. If its caller disconnects, its future is dropped, and so is
/// this value, which then logs the end.
pub(crate) struct PendingRequest {
    /// Summary for the request's log line.
    pub(crate) summary: RequestSummary,
    arrived: Instant,
    answered: bool,
}

impl PendingRequest {
    /// Starts the summary of a request that has just arrived.
    pub(crate) fn new(arrived: Instant) -> Self {
        Self {
            summary: RequestSummary::default(),
            arrived,
            answered: false,
        }
    }

    /// Returns the summary of a request with a response, whose end the caller of this
    /// method logs.
    pub(crate) fn into_summary(mut self) -> RequestSummary {
        self.answered = true;
        std::mem::take(&mut self.summary)
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.answered {
            self.summary.outcome = observe::CALLER_LEFT;
            observe::record_request(&self.summary, self.arrived.elapsed());
        }
    }
}
