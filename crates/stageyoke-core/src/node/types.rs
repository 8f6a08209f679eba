//! What goes into and comes out of a node's state machine.

use stageyoke_types::{
    Attempt, ConfigVersion, EngineId, Event, NodeId, ProgramKey, RequestId, ShardId, Text,
};

use crate::config_spread::ConfigBundle;
use crate::coordinator::QueueSettings;
use crate::fault::Faults;
use crate::gateway::{
    AttemptOrder, AttemptResult, CallAnswer, CallSubmission, EnginePolicy, EngineRecord,
    QueryAnswer,
};
use crate::membership::{MemberInfo, MembershipSettings};
use crate::message::PeerMessage;
use crate::program::Applied;
use crate::replication::LogRecord;
use crate::shard::StoredShard;

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Identifier of this life.
    pub id: NodeId,
    /// How often the node has started with the same disk, from 1.
    pub life: u16,
    /// Name, place and address.
    pub info: MemberInfo,
    /// Addresses of nodes that may already run.
    pub seeds: Vec<Text>,
    /// Number of shards; the same on every node, and fixed for good.
    pub shard_count: u32,
    /// Seed of the node's own random choices.
    pub random_seed: u64,
    /// Times of the membership protocol.
    pub membership: MembershipSettings,
    /// Configuration kept on disk, if any.
    pub config: ConfigBundle,
    /// Safeguards switched off by a test.
    pub faults: Faults,
}

/// A founding member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Founder {
    /// Node.
    pub node: NodeId,
    /// Name, place and address.
    pub info: MemberInfo,
}

/// Something that happened.
#[derive(Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived from an authenticated peer.
    Peer {
        /// Sender.
        from: NodeId,
        /// Message.
        message: PeerMessage,
    },
    /// The founding members are known: form the shard groups. Every founder
    /// is told the same list.
    Form {
        /// Founders.
        founders: Vec<Founder>,
    },
    /// A shard was read back from disk.
    Recover {
        /// Shard.
        shard: ShardId,
        /// Its records.
        stored: StoredShard,
    },
    /// A configuration is in force: engines and policies.
    Configure {
        /// Engines.
        engines: Vec<EngineRecord>,
        /// Choice among them.
        policy: EnginePolicy,
        /// Queues in front of them.
        queue: QueueSettings,
    },
    /// A configuration was read from the key-value service.
    OfferConfig(ConfigBundle),
    /// The platform's list of machines, as addresses.
    MachineList(Vec<Text>),
    /// An engine answered its coordinator's question how it is.
    EngineReport {
        /// Engine.
        engine: EngineId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A caller's call.
    Submit(Box<CallSubmission>),
    /// An engine's attempt ended.
    AttemptEnded {
        /// Request.
        request: RequestId,
        /// Try.
        attempt: Attempt,
        /// Result.
        result: AttemptResult,
    },
    /// A caller closed its connection.
    CallerGone {
        /// Request.
        request: RequestId,
    },
    /// End a program.
    EndProgram {
        /// Request.
        request: RequestId,
        /// Program.
        program: ProgramKey,
    },
    /// Show a program.
    ViewProgram {
        /// Request.
        request: RequestId,
        /// Program.
        program: ProgramKey,
    },
    /// Does a program that holds engine memory live?
    CheckAlive {
        /// Request.
        request: RequestId,
        /// Program.
        program: ProgramKey,
    },
    /// Hand over and finish.
    Drain,
    /// Announce that the node stops now.
    Leave,
}

/// Something to be done, in order. A `Persist` must be on disk, where there is
/// one, before any later output of the same input is carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send to a member.
    Send {
        /// Receiver.
        to: NodeId,
        /// Message.
        message: PeerMessage,
    },
    /// Send to an address.
    SendTo {
        /// IP address and port.
        address: Text,
        /// Message.
        message: PeerMessage,
    },
    /// Write to disk.
    Persist(LogRecord),
    /// Send a call to an engine.
    StartAttempt(AttemptOrder),
    /// Tell an engine to stop.
    CancelAttempt {
        /// Request.
        request: RequestId,
        /// Try.
        attempt: Attempt,
    },
    /// Answer a caller.
    Answer(RequestId, CallAnswer),
    /// Answer a query.
    Query(RequestId, QueryAnswer),
    /// Tell an engine to drop what it holds for a program.
    ReleaseEngine {
        /// Engine.
        engine: EngineId,
        /// Program.
        program: ProgramKey,
    },
    /// Ask an engine how it is; answered by [`Input::EngineReport`].
    ProbeEngine(EngineId),
    /// Put a configuration in force.
    ActivateConfig(ConfigBundle),
    /// Log an event.
    Event(Event, String),
}

impl Output {
    /// The output that a shard's news stands for.
    pub(super) fn of_applied(applied: Applied) -> Option<Self> {
        match applied {
            Applied::Release { engine, program } => Some(Self::ReleaseEngine { engine, program }),
            Applied::ClosedUnknown { call, .. } => {
                Some(Self::Event(Event::CallUnknown, format!("call={call}")))
            }
            Applied::Tell { .. } | Applied::Cancel { .. } => None,
        }
    }
}

/// State of a node in brief.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Node.
    pub node: NodeId,
    /// Configuration in force.
    pub config: ConfigVersion,
    /// Shards it leads.
    pub leading: Vec<ShardId>,
    /// Replicas it holds.
    pub replicas: usize,
    /// Calls that callers wait for.
    pub unanswered: usize,
    /// Calls of any stage.
    pub held: usize,
    /// Members that may run.
    pub members: usize,
    /// Whether it was told to stop.
    pub draining: bool,
}
