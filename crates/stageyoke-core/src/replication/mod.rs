//! Replicated log of one shard: leader election by terms, commitment by
//! majority, catch-up by log or snapshot, and one-at-a-time group changes.
//!
//! The algorithm is Raft's (Ongaro and Ousterhout, 2014) with one difference:
//! there is no heartbeat per group. Whether a leader is alive is asked of the
//! [`Liveness`] of the node it runs on, which one heartbeat per node pair
//! keeps for all shards they share. Liveness only decides *when* to campaign;
//! safety rests on terms and majorities alone.

mod election;
mod leader;
mod log;
mod message;
mod replica;

pub use log::{Entry, LogIndex, Payload, ReplicatedLog};
pub use message::{HardState, LogRecord, Remnant, ReplicationMessage, SnapshotImage};
pub use replica::{Effect, FOUNDING_INDEX, NotLeader, Replica, ReplicaStatus};

use stageyoke_types::NodeId;

/// Answers whether a node has been heard from recently.
pub trait Liveness {
    /// True while the node is believed to run.
    fn is_live(&self, node: NodeId) -> bool;
}
