//! What callers, engines and operators saw, in the order it happened.

use stageyoke_core::gateway::{CallAnswer, QueryAnswer};
use stageyoke_core::program::Message;
use stageyoke_types::{
    CallNumber, ConfigVersion, EngineId, IdempotencyKey, ProgramKey, ShardId, Term, Time,
};

use crate::engine::AttemptId;

/// Names one request of the simulated callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub u64);

/// One observation.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A caller sent a call.
    Submitted {
        /// Operation.
        operation: OperationId,
        /// The gateway's name for it.
        attempt_of: AttemptId,
        /// Program.
        program: ProgramKey,
        /// Key.
        key: Option<IdempotencyKey>,
        /// Whether it may run more than once.
        repeatable: bool,
        /// Text of its message.
        text: String,
    },
    /// A caller got its answer.
    Answered {
        /// Operation.
        operation: OperationId,
        /// Answer.
        answer: CallAnswer,
    },
    /// A caller's connection broke with its gateway.
    Disconnected {
        /// Operation.
        operation: OperationId,
    },
    /// A query was answered.
    Queried {
        /// Program.
        program: ProgramKey,
        /// Answer.
        answer: QueryAnswer,
    },
    /// A caller asked for a program's end.
    EndRequested {
        /// Program.
        program: ProgramKey,
    },
    /// An engine was given a call.
    EngineRan {
        /// Engine.
        engine: EngineId,
        /// Attempt.
        attempt: AttemptId,
        /// Program.
        program: ProgramKey,
        /// Call.
        call: CallNumber,
        /// Whole prompt.
        prompt: Vec<Message>,
    },
    /// An engine was announced as leaving.
    EngineLeaving {
        /// Engine.
        engine: EngineId,
    },
    /// A configuration was accepted.
    ConfigAccepted {
        /// Version.
        version: ConfigVersion,
    },
    /// A node put a configuration in force.
    ConfigInForce {
        /// Index of the node.
        node: usize,
        /// Which life of the node.
        life: u64,
        /// Version.
        version: ConfigVersion,
    },
    /// A replica became leader.
    LeaderElected {
        /// Index of the node.
        node: usize,
        /// Shard.
        shard: ShardId,
        /// Term.
        term: Term,
    },
}

/// An observation and its time.
#[derive(Clone, Debug)]
pub struct Recorded {
    /// Virtual time, ms.
    pub at: Time,
    /// What was seen.
    pub what: Observation,
}
