//! Everything one node says to another.

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{NodeId, ProgramKey, RequestId, ShardId};

use crate::config_spread::ConfigMessage;
use crate::coordinator::SlotMessage;
use crate::membership::MembershipMessage;
use crate::program::{AbandonCall, BeginCall, CallStatus, EndReason, FinishCall, ProgramView};
use crate::replication::ReplicationMessage;
use crate::survey::SurveyMessage;

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum PeerMessage {
    /// Says only that the sender runs. Sent as a datagram.
    Heartbeat,
    /// Membership. Sent as a datagram.
    Membership(MembershipMessage),
    /// Replication of one shard.
    Replication {
        /// Shard.
        shard: ShardId,
        /// Message.
        message: ReplicationMessage,
    },
    /// A gateway's request to a shard's leader.
    Request(ProgramRequest),
    /// The answer.
    Reply(ProgramReply),
    /// Questions about shards that lost their majority.
    Survey(SurveyMessage),
    /// Slots of engines.
    Slot(SlotMessage),
    /// Configuration.
    Config(ConfigMessage),
}

impl PeerMessage {
    /// True for messages that are small, may be lost, and so travel as single
    /// datagrams.
    pub fn is_datagram(&self) -> bool {
        matches!(self, Self::Heartbeat | Self::Membership(_))
    }

    /// Short name for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Membership(_) => "membership",
            Self::Replication { message, .. } => message.name(),
            Self::Request(_) => "request",
            Self::Reply(_) => "reply",
            Self::Survey(_) => "survey",
            Self::Slot(_) => "slot",
            Self::Config(_) => "config",
        }
    }
}

/// A gateway's request. Requests are repeated until answered, so handling one
/// twice has the effect of handling it once.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ProgramRequest {
    /// Admit a call, or say what became of it.
    Begin(BeginCall),
    /// Record an outcome.
    Finish(FinishCall),
    /// Withdraw a call.
    Abandon(AbandonCall),
    /// End a program.
    End {
        /// Whom to answer.
        gateway: NodeId,
        /// The gateway's name for the request.
        request: RequestId,
        /// Program.
        program: ProgramKey,
        /// Why.
        reason: EndReason,
    },
    /// Show a program.
    View {
        /// Whom to answer.
        gateway: NodeId,
        /// The gateway's name for the request.
        request: RequestId,
        /// Program.
        program: ProgramKey,
    },
    /// Which of these programs, said to hold memory of an engine, have ended?
    CheckAlive {
        /// Whom to answer.
        gateway: NodeId,
        /// The asking node's name for the request.
        request: RequestId,
        /// Program.
        program: ProgramKey,
    },
}

impl ProgramRequest {
    /// The program the request is about.
    pub fn program(&self) -> &ProgramKey {
        match self {
            Self::Begin(begin) => &begin.program,
            Self::Finish(finish) => &finish.program,
            Self::Abandon(abandon) => &abandon.program,
            Self::End { program, .. }
            | Self::View { program, .. }
            | Self::CheckAlive { program, .. } => program,
        }
    }

    /// The asking node and its name for the request.
    pub fn origin(&self) -> (NodeId, RequestId) {
        match self {
            Self::Begin(begin) => (begin.gateway, begin.request),
            Self::Finish(finish) => (finish.gateway, finish.request),
            Self::Abandon(abandon) => (abandon.gateway, abandon.request),
            Self::End {
                gateway, request, ..
            }
            | Self::View {
                gateway, request, ..
            }
            | Self::CheckAlive {
                gateway, request, ..
            } => (*gateway, *request),
        }
    }
}

/// What a shard's replica answers.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ProgramReply {
    /// The gateway's name for the request.
    pub request: RequestId,
    /// The answer.
    pub body: ReplyBody,
}

/// Content of a [`ProgramReply`].
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ReplyBody {
    /// State of a call.
    Status(CallStatus),
    /// Cancel the call: its program ended.
    Cancel,
    /// The replica does not lead the shard.
    NotLeader {
        /// Who does, if known.
        leader: Option<NodeId>,
    },
    /// The program, if there is one.
    View {
        /// Program as of a committed position.
        view: Option<ProgramView>,
    },
    /// The program's end is committed.
    Ended {
        /// Whether there was such a program.
        existed: bool,
    },
    /// Whether the program lives, as of a committed position.
    Alive {
        /// True if it exists and has not ended.
        alive: bool,
    },
}
