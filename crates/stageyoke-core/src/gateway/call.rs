//! Types of a gateway's calls.

use std::collections::BTreeSet;

use stageyoke_types::{
    Attempt, CallNumber, EngineId, ErrorKind, Event, IdempotencyKey, List, NodeId, ProgramKey,
    RequestId, RunState, Text, Time,
};

use super::exchange::Exchange;
use crate::coordinator::SlotMessage;
use crate::message::ProgramRequest;
use crate::program::{CallOutcome, Limits, Message, ProgramView, Usage};

/// A caller's request, checked against the configuration.
#[derive(Clone, Debug)]
pub struct CallSubmission {
    /// Name of the request within this gateway's life.
    pub request: RequestId,
    /// Program.
    pub program: ProgramKey,
    /// Model.
    pub model: Text,
    /// The caller's key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Digest of what is asked.
    pub fingerprint: u64,
    /// Whether it may run again after it may have run.
    pub repeatable: bool,
    /// Whether the program ends with it.
    pub one_shot: bool,
    /// Priority class, 0 the most urgent.
    pub class: u8,
    /// New messages.
    pub messages: List<Message>,
    /// Most tokens to generate.
    pub max_tokens_out: u32,
    /// Limits of the program's kind.
    pub limits: Limits,
    /// When the caller must have an answer, on this node's clock.
    pub deadline: Time,
}

/// Tells the shell to send a call to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOrder {
    /// Request.
    pub request: RequestId,
    /// Try; a later one fences earlier ones.
    pub attempt: Attempt,
    /// Engine.
    pub engine: EngineId,
    /// Program.
    pub program: ProgramKey,
    /// Call.
    pub call: CallNumber,
    /// Model.
    pub model: Text,
    /// Priority class.
    pub class: u8,
    /// History and new messages.
    pub messages: List<Message>,
    /// Most tokens to generate.
    pub max_tokens_out: u32,
    /// Whether to go on after the tokens that were already delivered.
    pub resume: bool,
}

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The engine answered in full.
    Finished {
        /// The whole answer, tokens of earlier attempts included.
        answer: Text,
        /// Stopped at the token limit.
        truncated: bool,
        /// Tokens used.
        usage: Usage,
    },
    /// No byte reached the engine, or it refused before running.
    NotSent,
    /// The engine was given the call and did not finish it.
    Broken {
        /// Tokens used.
        usage: Usage,
    },
    /// No engine may get the call: engines ended one after the other while they ran it.
    Blocked,
    /// The engine stopped because it was told to.
    Cancelled {
        /// Tokens used.
        usage: Usage,
    },
}

/// A refusal or failure as told to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind.
    pub kind: ErrorKind,
    /// Whether the work ran. Always true to fact.
    pub run_state: RunState,
    /// What exactly, such as the limit that was met.
    pub detail: Text,
}

impl Failure {
    /// A failure of work that no back end was given.
    pub fn not_run(kind: ErrorKind, detail: &str) -> Self {
        Self {
            kind,
            run_state: RunState::NotRun,
            detail: Text::from(detail),
        }
    }
}

/// The final answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The whole answer.
    Finished {
        /// Call.
        call: CallNumber,
        /// Text.
        answer: Text,
        /// Stopped at the token limit.
        truncated: bool,
        /// Tokens used.
        usage: Usage,
    },
    /// A refusal or failure.
    Failed(Failure),
}

impl CallAnswer {
    /// The answer that a recorded outcome stands for.
    pub(super) fn of_outcome(call: CallNumber, outcome: &CallOutcome) -> Self {
        let failed = |kind, run_state| {
            Self::Failed(Failure {
                kind,
                run_state,
                detail: Text::default(),
            })
        };
        match outcome {
            CallOutcome::Finished {
                answer,
                truncated,
                usage,
                ..
            } => Self::Finished {
                call,
                answer: answer.clone(),
                truncated: *truncated,
                usage: *usage,
            },
            CallOutcome::Failed { kind, .. } => failed(*kind, RunState::Ran),
            CallOutcome::NotRun { kind } => failed(*kind, RunState::NotRun),
            CallOutcome::Unknown => failed(ErrorKind::OutcomeUnknown, RunState::Unknown),
        }
    }
}

/// Answer to a request that is not a call.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAnswer {
    /// The program, if there is one.
    View(Option<ProgramView>),
    /// Whether the program that was ended existed.
    Ended(bool),
    /// Whether the program lives.
    Alive(bool),
    /// No quorum answered in time.
    Unavailable,
}

/// What a gateway asks of its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayOutput {
    /// To a shard's replica.
    Request(NodeId, ProgramRequest),
    /// To an engine's coordinator.
    Slot(EngineId, SlotMessage),
    /// Send a call to an engine.
    StartAttempt(AttemptOrder),
    /// Tell an engine to stop.
    CancelAttempt {
        /// Request.
        request: RequestId,
        /// Try.
        attempt: Attempt,
    },
    /// Answer the caller.
    Answer(RequestId, CallAnswer),
    /// Answer a query.
    Query(RequestId, QueryAnswer),
    /// To the log.
    Event(Event),
}

/// Where a call stands.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Asking the shard's leader for admission.
    Admission {
        exchange: Exchange,
        /// The leader said that this request's own call is queued.
        own_call_queued: bool,
    },
    /// Waiting for a slot of an engine.
    Slot { engine: EngineId, renew_at: Time },
    /// An engine has the call.
    Running { engine: EngineId },
    /// Having the outcome recorded.
    Recording {
        exchange: Exchange,
        outcome: CallOutcome,
    },
    /// Having the call withdrawn; the caller has its answer.
    Withdrawing { exchange: Exchange, until: Time },
}

/// One call held for a caller.
#[derive(Clone, Debug)]
pub(super) struct CallEntry {
    pub(super) submission: CallSubmission,
    pub(super) stage: Stage,
    pub(super) call: CallNumber,
    pub(super) history: List<Message>,
    pub(super) home: Option<EngineId>,
    pub(super) attempt: Attempt,
    pub(super) tried: BTreeSet<EngineId>,
    /// An engine was sent the call in some attempt.
    pub(super) may_have_run: bool,
    /// Why the running attempt was told to stop.
    pub(super) stopping: Option<ErrorKind>,
    pub(super) answered: bool,
    pub(super) usage: Usage,
}
