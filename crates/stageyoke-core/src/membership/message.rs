//! Messages of the membership protocol. They travel as single datagrams.

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{ConfigVersion, List, NodeId, Text, Time};

/// What does not change during a node's life.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct MemberInfo {
    /// Name from its settings; a node that restarts keeps it.
    pub name: Text,
    /// Zone from its settings.
    pub zone: Text,
    /// Region from its settings.
    pub region: Text,
    /// IP address and port for other nodes.
    pub address: Text,
    /// Whether it keeps its state on disk.
    pub has_disk: bool,
    /// When this life began, on the machine's own clock, ms since 1970. Only
    /// compared with other lives of the same machine.
    pub started_at: Time,
}

/// State of a member, in order of precedence within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum MemberStatus {
    /// Answers probes.
    Alive,
    /// Answers probes and has announced that it will stop.
    Leaving,
    /// Did not answer.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Stopped as announced.
    Left,
    /// A later life of the same machine runs under another identifier, so this
    /// one is over for good. Final.
    Replaced,
}

impl MemberStatus {
    /// True for members that may still run.
    pub fn may_run(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// A claim about one member.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MemberUpdate {
    /// Whom it is about.
    pub node: NodeId,
    /// Raised by the member itself to refute claims about it.
    pub incarnation: u32,
    /// The claim.
    pub status: MemberStatus,
    /// Sent with claims that a receiver may be the first to hear.
    pub info: Option<MemberInfo>,
}

/// Carried by every probe and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ProbeHeader {
    /// Matches an answer to its probe.
    pub sequence: u32,
    /// Digest of the sender's member list.
    pub digest: u32,
    /// Configuration version in force at the sender.
    pub config: ConfigVersion,
    /// Changes on their way to everyone.
    pub updates: List<MemberUpdate>,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MembershipMessage {
    /// Asks for an answer.
    Ping(ProbeHeader),
    /// The answer.
    Ack(ProbeHeader),
    /// Asks the receiver to probe a third node.
    PingRequest {
        /// Header; its sequence is echoed in the answer.
        header: ProbeHeader,
        /// Whom to probe.
        target: NodeId,
    },
    /// Asks for the member list, by someone who may not be a member yet.
    Join {
        /// The asking node.
        update: MemberUpdate,
    },
    /// Names the digest of each bucket of the sender's list; the receiver
    /// answers with the members of the buckets that differ.
    SyncRequest {
        /// One digest a bucket.
        buckets: List<u32>,
    },
    /// Asks what is known of some nodes, stopped ones included.
    Ask {
        /// Nodes.
        nodes: List<NodeId>,
    },
    /// Part of the sender's list.
    Members(List<MemberUpdate>),
}
