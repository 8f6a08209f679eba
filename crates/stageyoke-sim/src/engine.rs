//! Hollow engines: they take a while and answer with a text that depends on
//! the whole prompt, so that a lost, mixed or doubled history shows.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_core::gateway::AttemptOrder;
use stageyoke_core::program::{Message, Usage};
use stageyoke_types::{Attempt, NodeId, ProgramKey, RequestId, Time};

/// Tokens an engine generates for each call.
pub const TOKENS_OUT: u64 = 8;

/// Names one attempt as an engine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Gateway.
    pub gateway: NodeId,
    /// Its request.
    pub request: RequestId,
    /// Its try.
    pub attempt: Attempt,
}

/// One hollow engine.
#[derive(Clone, Debug, Default)]
pub struct HollowEngine {
    /// Refuses connections.
    pub down: bool,
    /// Announced as leaving at this time.
    pub leaving_since: Option<Time>,
    /// Attempts under way.
    pub running: BTreeMap<AttemptId, AttemptOrder>,
    /// Programs it holds cache for.
    pub held: BTreeSet<ProgramKey>,
}

impl HollowEngine {
    /// Fails: everything under way and all memory is lost.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.down = true;
        self.held.clear();
        std::mem::take(&mut self.running).into_keys().collect()
    }
}

/// The answer to a prompt. It names the last message and a digest of all.
pub fn answer_to(prompt: &[Message]) -> String {
    let mut hasher = prompt_digest::Digest::default();
    for message in prompt {
        hasher.add(message.role.name());
        hasher.add(&message.content);
    }
    let last = prompt.last().map_or("", |message| message.content.as_str());
    format!("re {last} #{:016x}", hasher.finish())
}

/// Tokens of a prompt: one a word.
pub fn usage_of(prompt: &[Message]) -> Usage {
    let words = prompt
        .iter()
        .map(|message| message.content.split_whitespace().count() as u64);
    Usage {
        tokens_in: words.sum(),
        tokens_out: TOKENS_OUT,
    }
}

/// A chained digest built on the core's mixing function.
mod prompt_digest {
    use stageyoke_core::hash;

    #[derive(Default)]
    pub(super) struct Digest(u64);

    impl Digest {
        pub(super) fn add(&mut self, text: &str) {
            for chunk in text.as_bytes().chunks(8) {
                let mut word = [0_u8; 8];
                word[..chunk.len()].copy_from_slice(chunk);
                self.0 = hash::mix(self.0 ^ u64::from_le_bytes(word));
            }
            self.0 = hash::mix(self.0 ^ text.len() as u64);
        }

        pub(super) fn finish(&self) -> u64 {
            self.0
        }
    }
}
