//! The last resort of a replica whose group can never form a majority again,
//! because too many members are over for good: it asks every node that may
//! still run whether the group went on without it.
//!
//! Only when all of them have answered, with the same member list, and none
//! holds later state of the shard, may the members that are left go on by
//! themselves. A member that was cut off while the others replaced it finds
//! the new group this way, and stays out.

use std::collections::{BTreeMap, BTreeSet};

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, NodeId, ShardId, Term, Time};

use crate::replication::LogIndex;

/// Least time between two rounds of questions, in milliseconds.
const ROUND_MS: Time = 2_000;

/// A replica as its holder describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Holding {
    /// Shard.
    pub shard: ShardId,
    /// Term of its last entry.
    pub last_term: Term,
    /// Position of its last entry. Not the commit position: a replica that was
    /// read back from disk has forgotten that, but not its entries.
    pub last_index: LogIndex,
}

/// Questions and answers.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SurveyMessage {
    /// What does the receiver hold of these shards?
    Ask {
        /// Round of the asker.
        round: u32,
        /// Shards.
        shards: List<ShardId>,
    },
    /// The answer.
    Answer {
        /// Round asked in.
        round: u32,
        /// Digest of the answerer's member list.
        digest: u32,
        /// What it holds.
        holdings: List<Holding>,
    },
}

#[derive(Clone, Debug)]
struct Round {
    number: u32,
    started_at: Time,
    awaited: BTreeSet<NodeId>,
    digest: u32,
    digests_agree: bool,
    stuck: BTreeMap<ShardId, StuckShard>,
}

/// A shard that the node cannot bring back by a majority.
#[derive(Clone, Debug)]
pub struct StuckShard {
    /// What the node itself holds.
    pub own: Holding,
    /// Members of the group as the node knows it; they take part in any
    /// election, so what they hold is no objection.
    pub voters: Vec<NodeId>,
    /// The asking node.
    pub holder: NodeId,
    /// Whether it is itself one of the members.
    pub is_member: bool,
}

impl StuckShard {
    /// Whether another node's replica should go on instead. Of several replicas
    /// that are no members, the one with the highest identifier does.
    fn yields_to(&self, from: NodeId, holding: &Holding) -> bool {
        if self.voters.contains(&from) {
            return false;
        }
        let own = (self.own.last_term, self.own.last_index);
        let other = (holding.last_term, holding.last_index);
        other > own || (other == own && !self.is_member && from > self.holder)
    }
}

/// The questions one node has under way.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    round: Option<Round>,
    last_number: u32,
}

impl Survey {
    /// Starts a round if one is due. Returns the question to send to every
    /// node in `respondents`.
    pub fn start(
        &mut self,
        stuck: BTreeMap<ShardId, StuckShard>,
        respondents: BTreeSet<NodeId>,
        digest: u32,
        now: Time,
    ) -> Option<SurveyMessage> {
        let busy = self
            .round
            .as_ref()
            .is_some_and(|round| now < round.started_at + ROUND_MS);
        if busy || stuck.is_empty() {
            return None;
        }
        self.last_number += 1;
        let shards = stuck.keys().copied().collect();
        self.round = Some(Round {
            number: self.last_number,
            started_at: now,
            awaited: respondents,
            digest,
            digests_agree: true,
            stuck,
        });
        Some(SurveyMessage::Ask {
            round: self.last_number,
            shards,
        })
    }

    /// Takes in an answer. Once all have answered, returns the shards whose
    /// remaining members may go on by themselves.
    pub fn answer(
        &mut self,
        from: NodeId,
        round: u32,
        digest: u32,
        holdings: &[Holding],
    ) -> Vec<ShardId> {
        let Some(current) = self
            .round
            .as_mut()
            .filter(|current| current.number == round)
        else {
            return Vec::new();
        };
        current.awaited.remove(&from);
        current.digests_agree &= digest == current.digest;
        for holding in holdings {
            let stuck = current.stuck.get(&holding.shard);
            if stuck.is_some_and(|stuck| stuck.yields_to(from, holding)) {
                current.stuck.remove(&holding.shard);
            }
        }
        self.conclude()
    }

    /// The result of a round to which nobody else had to answer, or all have.
    pub fn conclude(&mut self) -> Vec<ShardId> {
        let complete = self
            .round
            .as_ref()
            .is_some_and(|round| round.awaited.is_empty() && round.digests_agree);
        if !complete {
            return Vec::new();
        }
        let round = self.round.take();
        round.map_or(Vec::new(), |round| round.stuck.into_keys().collect())
    }
}
