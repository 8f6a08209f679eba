//! Asking a shard's leader until it answers.

use stageyoke_types::{NodeId, ShardId, Time};

/// First wait for an answer, in milliseconds.
const FIRST_TIMEOUT_MS: Time = 250;
/// Longest wait for an answer, in milliseconds.
const MAX_TIMEOUT_MS: Time = 400;
/// Pause before asking the next replica when one does not know the leader.
const REDIRECT_PAUSE_MS: Time = 60;
/// How often a queued call is asked after, in milliseconds.
const POLL_MS: Time = 1_000;

/// One request's way to the leader of its shard.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub(super) shard: ShardId,
    pub(super) due_at: Time,
    hint: Option<NodeId>,
    tries: usize,
    timeout_ms: Time,
}

impl Exchange {
    pub(super) fn new(shard: ShardId, hint: Option<NodeId>, now: Time) -> Self {
        Self {
            shard,
            due_at: now,
            hint,
            tries: 0,
            timeout_ms: FIRST_TIMEOUT_MS,
        }
    }

    /// Whom to ask now: the believed leader once, then the likely holders in
    /// turn.
    pub(super) fn next_target(&mut self, holders: &[NodeId], now: Time) -> Option<NodeId> {
        self.due_at = now + self.timeout_ms;
        self.timeout_ms = (self.timeout_ms * 3 / 2).min(MAX_TIMEOUT_MS);
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        let target = holders.get(self.tries % holders.len().max(1)).copied();
        self.tries += 1;
        target
    }

    /// Whether anything was sent yet.
    pub(super) fn was_sent(&self) -> bool {
        self.tries > 0 || self.timeout_ms > FIRST_TIMEOUT_MS
    }

    /// A replica does not lead: go on with the one it names, or the next.
    pub(super) fn redirect(&mut self, leader: Option<NodeId>, now: Time) {
        self.hint = leader;
        self.timeout_ms = FIRST_TIMEOUT_MS;
        self.due_at = now + REDIRECT_PAUSE_MS;
    }

    /// The leader answered that the call waits: ask it again later.
    pub(super) fn poll(&mut self, leader: NodeId, now: Time) {
        self.hint = Some(leader);
        self.timeout_ms = FIRST_TIMEOUT_MS;
        self.due_at = now + POLL_MS;
    }
}
