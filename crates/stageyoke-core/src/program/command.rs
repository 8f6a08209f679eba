//! Commands of the replicated log, and the types they carry.

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{
    CallNumber, EngineId, ErrorKind, IdempotencyKey, List, NodeId, ProgramKey, RequestId, Text,
    Time,
};

use super::ledger::Limits;

/// Author of a message, as in the OpenAI chat format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MessageRole {
    /// Instructions.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool's result.
    Tool,
}

impl MessageRole {
    /// The role's name in the OpenAI chat format.
    pub fn name(self) -> &'static str {
        match self {
            Self::System => "system",
            Self::User => "user",
            Self::Assistant => "assistant",
            Self::Tool => "tool",
        }
    }

    /// The role of a name in the OpenAI chat format.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "system" | "developer" => Some(Self::System),
            "user" => Some(Self::User),
            "assistant" => Some(Self::Assistant),
            "tool" => Some(Self::Tool),
            _ => None,
        }
    }
}

/// One message of a program's history.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Message {
    /// Author.
    pub role: MessageRole,
    /// Text.
    pub content: Text,
}

/// Tokens counted by the back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Usage {
    /// Tokens of the prompt.
    pub tokens_in: u64,
    /// Tokens generated.
    pub tokens_out: u64,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CallOutcome {
    /// A back end answered in full.
    Finished {
        /// The answer.
        answer: Text,
        /// Whether the back end stopped at the token limit.
        truncated: bool,
        /// Tokens used.
        usage: Usage,
        /// Where it ran.
        engine: EngineId,
    },
    /// A back end ran it and failed, or was told to stop.
    Failed {
        /// Why.
        kind: ErrorKind,
        /// Tokens used.
        usage: Usage,
    },
    /// It never reached a back end.
    NotRun {
        /// Why.
        kind: ErrorKind,
    },
    /// It may have run, and never will again.
    Unknown,
}

/// Asks for the next call of a program.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct BeginCall {
    /// The gateway that holds the caller's connection and will run the call.
    pub gateway: NodeId,
    /// The gateway's name for it.
    pub request: RequestId,
    /// Program.
    pub program: ProgramKey,
    /// The caller's key, if it gave one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Digest of what was asked, to notice a key used for something else.
    pub fingerprint: u64,
    /// Whether the call may be run again after it may already have run.
    pub repeatable: bool,
    /// The program ends with this call.
    pub one_shot: bool,
    /// Priority class; 0 is the most urgent.
    pub class: u8,
    /// New messages.
    pub messages: List<Message>,
    /// Most tokens the back end may generate.
    pub max_tokens_out: u32,
    /// The program kind's limits in the gateway's configuration.
    pub limits: Limits,
    /// The leader's clock, set when it proposes the command.
    pub now: Time,
}

/// Records a call's outcome.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct FinishCall {
    /// Reporting gateway.
    pub gateway: NodeId,
    /// The gateway's name for the call.
    pub request: RequestId,
    /// Program.
    pub program: ProgramKey,
    /// Call.
    pub call: CallNumber,
    /// Outcome.
    pub outcome: CallOutcome,
    /// The leader's clock, set when it proposes the command.
    pub now: Time,
}

/// Why a call is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum AbandonCause {
    /// Its gateway declares that it never sent a byte and never will.
    NeverSent,
    /// Its gateway was declared dead; the call may have run.
    GatewayLost,
}

/// Withdraws a call.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct AbandonCall {
    /// The call's gateway.
    pub gateway: NodeId,
    /// The gateway's name for the call.
    pub request: RequestId,
    /// Program.
    pub program: ProgramKey,
    /// Why.
    pub cause: AbandonCause,
    /// The leader's clock, set when it proposes the command.
    pub now: Time,
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum EndReason {
    /// The caller asked.
    Caller,
    /// Its only call finished.
    Finished,
    /// Its parent ended.
    Parent,
    /// Its wall-time limit passed.
    WallTime,
    /// It was idle for too long.
    Idle,
}

impl EndReason {
    /// Name towards callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Finished => "finished",
            Self::Parent => "parent",
            Self::WallTime => "wall_time",
            Self::Idle => "idle",
        }
    }
}

/// One change of a shard's programs.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Command {
    /// See [`BeginCall`].
    Begin(BeginCall),
    /// See [`FinishCall`].
    Finish(FinishCall),
    /// See [`AbandonCall`].
    Abandon(AbandonCall),
    /// Ends a program and its sub-agents.
    End {
        /// Program.
        program: ProgramKey,
        /// Why.
        reason: EndReason,
        /// The leader's clock.
        now: Time,
    },
    /// Forgets expired outcomes and programs that ended long ago.
    Expire {
        /// The leader's clock.
        now: Time,
    },
}
