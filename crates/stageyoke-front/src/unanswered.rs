//! Tells the end of a request whose caller leaves before the answer.

use stageyoke_observe::{self as observe, RequestStory as Story};
use tokio::time::Instant;

/// A request that has no answer yet. Its caller may leave: then nothing of it is
/// polled any more, and its end is told here.
pub(crate) struct Unanswered {
    /// What is known of it so far.
    pub(crate) story: Story,
    arrived: Instant,
    answered: bool,
}

impl Unanswered {
    /// It has just arrived.
    pub(crate) fn new(arrived: Instant) -> Self {
        Self {
            story: Story::default(),
            arrived,
            answered: false,
        }
    }

    /// It has an answer, whose end is told elsewhere.
    pub(crate) fn answered(mut self) -> Story {
        self.answered = true;
        std::mem::take(&mut self.story)
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if !self.answered {
            self.story.outcome = "caller_left";
            observe::request_ended(&self.story, self.arrived.elapsed());
        }
    }
}
