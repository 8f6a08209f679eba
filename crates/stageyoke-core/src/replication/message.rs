//! Messages between the replicas of one shard, and the records a replica
//! writes to its disk.

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, NodeId, ShardId, Term};

use super::log::{Entry, LogIndex};

/// State of a shard at one log position, as sent to a replica that is too far
/// behind, and as written to disk.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct SnapshotImage {
    /// Last log position the state includes.
    pub index: LogIndex,
    /// Term of that position.
    pub term: Term,
    /// Replica group at that position.
    pub voters: List<NodeId>,
    /// Encoded program table.
    pub state: List<u8>,
}

/// The part of a replica's state that its votes depend on. It must reach the
/// disk before any message that follows from it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Whom this replica voted for in that term.
    pub voted_for: Option<NodeId>,
}

/// What a node keeps of a shard it no longer holds. Should it be added to the
/// group again, it must neither vote twice in a term, nor help a candidate that
/// lacks entries which this node once helped to commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Remnant {
    /// Term and vote.
    pub hard: HardState,
    /// Term of the last entry it held.
    pub last_term: Term,
    /// Position of that entry.
    pub last_index: LogIndex,
}

/// One message of the replication protocol. Every message carries its sender's
/// term; a receiver with a later term answers with it and does nothing else.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ReplicationMessage {
    /// Asks for a vote, or in a trial round whether one would be given.
    RequestVote {
        /// The candidate's term (in a trial: the term it would open).
        term: Term,
        /// Last position of the candidate's log.
        last_index: LogIndex,
        /// Term of that position.
        last_term: Term,
        /// Trial round: nothing is promised and no term is opened.
        trial: bool,
        /// The leader asked for this election, so its liveness is no objection.
        transfer: bool,
    },
    /// Answers [`ReplicationMessage::RequestVote`].
    Vote {
        /// Term the vote is for, or the voter's term if refused.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
        /// Echo of the request.
        trial: bool,
    },
    /// Carries entries and the commit position; may be empty.
    Append {
        /// Leader's term.
        term: Term,
        /// Position before the first entry.
        previous_index: LogIndex,
        /// Term of that position.
        previous_term: Term,
        /// Entries.
        entries: List<Entry>,
        /// Leader's commit position.
        commit: LogIndex,
    },
    /// Answers [`ReplicationMessage::Append`] and [`ReplicationMessage::Snapshot`].
    AppendResult {
        /// Follower's term.
        term: Term,
        /// Whether the follower's log now equals the leader's up to `index`.
        accepted: bool,
        /// Last equal position, or where the leader should go on after a refusal.
        index: LogIndex,
    },
    /// Replaces the follower's state.
    Snapshot {
        /// Leader's term.
        term: Term,
        /// The state.
        image: SnapshotImage,
    },
    /// Tells a caught-up follower to campaign at once (planned hand-over).
    CampaignNow {
        /// Leader's term.
        term: Term,
    },
    /// Tells a replica that a committed group change at `index` left it out.
    NotMember {
        /// Position of a commit that the sender has.
        index: LogIndex,
    },
}

impl ReplicationMessage {
    /// Short name for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::RequestVote { .. } => "request_vote",
            Self::Vote { .. } => "vote",
            Self::Append { .. } => "append",
            Self::AppendResult { .. } => "append_result",
            Self::Snapshot { .. } => "snapshot",
            Self::CampaignNow { .. } => "campaign_now",
            Self::NotMember { .. } => "not_member",
        }
    }
}

/// What a replica writes to its disk, in order.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum LogRecord {
    /// A change of term or vote.
    HardState {
        /// Shard.
        shard: ShardId,
        /// New value.
        state: HardState,
    },
    /// Entries; whatever the log held from the first entry's index on is void.
    Append {
        /// Shard.
        shard: ShardId,
        /// Entries.
        entries: List<Entry>,
    },
    /// A snapshot; every earlier record of the shard but the hard state is void.
    Snapshot {
        /// Shard.
        shard: ShardId,
        /// State.
        image: SnapshotImage,
    },
    /// The replica was removed from the group; only its vote is kept.
    Dropped {
        /// Shard.
        shard: ShardId,
    },
}

impl LogRecord {
    /// The shard the record belongs to.
    pub fn shard(&self) -> ShardId {
        match self {
            Self::HardState { shard, .. }
            | Self::Append { shard, .. }
            | Self::Snapshot { shard, .. }
            | Self::Dropped { shard } => *shard,
        }
    }
}
