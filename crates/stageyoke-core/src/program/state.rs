//! State of one program and of its open calls.

use std::collections::{BTreeMap, VecDeque};

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{
    CallNumber, EngineId, ErrorKind, IdempotencyKey, List, NodeId, ProgramKey, RequestId, Text,
    Time,
};

use super::command::{CallOutcome, EndReason, Message};
use super::ledger::{Ledger, Limits, Reservation};

/// Closed calls remembered per program, so that a repeated report is recognised.
const RECENT_CALLS: usize = 8;
/// Engines remembered per program for release at its end.
const REMEMBERED_ENGINES: usize = 16;

/// Whether an open call may be sent to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CallState {
    /// An earlier call of the program is open.
    Waiting,
    /// Its gateway, and no other, may send it.
    Running,
}

/// An open call.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Call {
    /// Position in the program.
    pub number: CallNumber,
    /// Who runs it.
    pub gateway: NodeId,
    /// The gateway's name for it.
    pub request: RequestId,
    /// The caller's key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Digest of the request.
    pub fingerprint: u64,
    /// May it run again?
    pub repeatable: bool,
    /// Ends the program.
    pub one_shot: bool,
    /// New messages; joined to the history when the call finishes.
    pub messages: List<Message>,
    /// What the ledgers hold for it.
    pub reserved: Reservation,
    /// Waiting or running.
    pub state: CallState,
}

/// Outcome kept under an idempotency key.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct KeyedOutcome {
    /// Digest of the request.
    pub fingerprint: u64,
    /// Call.
    pub call: CallNumber,
    /// Outcome.
    pub outcome: CallOutcome,
    /// When it was recorded (leader's clock, ms).
    pub closed_at: Time,
}

/// How a call that is no longer open ended, for repeated reports of it.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct ClosedCall {
    /// Gateway that reported.
    pub gateway: NodeId,
    /// Its name for the call.
    pub request: RequestId,
    /// Whether its report was the one recorded.
    pub accepted: bool,
}

/// One program.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Program {
    /// Its kind's limits.
    pub limits: Limits,
    /// Priority class.
    pub class: u8,
    /// Use of the program and its sub-agents.
    pub ledger: Ledger,
    /// Whole history.
    pub history: List<Message>,
    /// Tokens of the history as the back end last counted them.
    pub history_tokens: u64,
    /// When the first call was admitted (leader's clock, ms).
    pub started_at: Time,
    /// When a call was last admitted or closed (leader's clock, ms).
    pub touched_at: Time,
    /// Set once ended.
    pub ended: Option<EndReason>,
    /// Engines that may hold cache for it, the last used one last.
    pub engines: List<EngineId>,
    pub(super) next_call: u32,
    pub(super) open: BTreeMap<CallNumber, Call>,
    pub(super) keyed: BTreeMap<IdempotencyKey, KeyedOutcome>,
    pub(super) recent: VecDeque<ClosedCall>,
}

/// A program's encoded form.
#[derive(SerBin, DeBin)]
struct ProgramImage {
    limits: Limits,
    class: u8,
    ledger: Ledger,
    history: List<Message>,
    history_tokens: u64,
    started_at: Time,
    touched_at: Time,
    ended: Option<EndReason>,
    engines: List<EngineId>,
    next_call: u32,
    open: List<Call>,
    keyed: List<KeyedEntry>,
    recent: List<ClosedCall>,
}

#[derive(SerBin, DeBin)]
struct KeyedEntry {
    key: IdempotencyKey,
    outcome: KeyedOutcome,
}

impl SerBin for Program {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        let keyed = self.keyed.iter().map(|(key, outcome)| KeyedEntry {
            key: key.clone(),
            outcome: outcome.clone(),
        });
        let image = ProgramImage {
            limits: self.limits,
            class: self.class,
            ledger: self.ledger,
            history: self.history.clone(),
            history_tokens: self.history_tokens,
            started_at: self.started_at,
            touched_at: self.touched_at,
            ended: self.ended,
            engines: self.engines.clone(),
            next_call: self.next_call,
            open: self.open.values().cloned().collect(),
            keyed: keyed.collect(),
            recent: self.recent.iter().copied().collect(),
        };
        image.ser_bin(output);
    }
}

impl DeBin for Program {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, nanoserde::DeBinErr> {
        let image = ProgramImage::de_bin(offset, bytes)?;
        let keyed = image.keyed.into_iter();
        Ok(Self {
            limits: image.limits,
            class: image.class,
            ledger: image.ledger,
            history: image.history,
            history_tokens: image.history_tokens,
            started_at: image.started_at,
            touched_at: image.touched_at,
            ended: image.ended,
            engines: image.engines,
            next_call: image.next_call,
            open: image
                .open
                .into_iter()
                .map(|call| (call.number, call))
                .collect(),
            keyed: keyed.map(|entry| (entry.key, entry.outcome)).collect(),
            recent: image.recent.into_iter().collect(),
        })
    }
}

/// What a replica knows of one gateway's request.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum CallStatus {
    /// The gateway may send the call to a back end, once.
    Started {
        /// Program, for a gateway that no longer knows the request.
        program: ProgramKey,
        /// Call.
        call: CallNumber,
        /// History before the call's own messages.
        history: List<Message>,
        /// Engine that last served the program, if any.
        last_engine: Option<EngineId>,
    },
    /// The call is queued behind earlier ones.
    Queued {
        /// Call.
        call: CallNumber,
    },
    /// Another request with the same key is open; ask again.
    Attached {
        /// Call that the other request opened.
        call: CallNumber,
    },
    /// The call is closed.
    Closed {
        /// Call.
        call: CallNumber,
        /// Its recorded outcome.
        outcome: CallOutcome,
    },
    /// The call was not admitted, and will not run.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// The limit met or the like, for the error message.
        detail: Text,
    },
    /// The outcome reported was recorded.
    Recorded,
    /// The call had been closed otherwise before the outcome arrived.
    Superseded,
    /// The request is not, or no longer, known.
    Withdrawn,
}

/// A program as shown to its tenant.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ProgramView {
    /// Why it ended, if it did.
    pub ended: Option<EndReason>,
    /// Use.
    pub ledger: Ledger,
    /// Limits.
    pub limits: Limits,
    /// Open calls.
    pub open_calls: u32,
    /// History.
    pub history: List<Message>,
}

impl Program {
    /// Open calls, in order.
    pub fn open_calls(&self) -> impl Iterator<Item = &Call> {
        self.open.values()
    }

    /// The program as shown to its tenant.
    pub fn view(&self) -> ProgramView {
        ProgramView {
            ended: self.ended,
            ledger: self.ledger,
            limits: self.limits,
            open_calls: self.open.len() as u32,
            history: self.history.clone(),
        }
    }

    /// The call that runs now, if any.
    pub fn running(&self) -> Option<&Call> {
        let mut calls = self.open.values();
        calls.find(|call| call.state == CallState::Running)
    }

    pub(super) fn find_request(&self, gateway: NodeId, request: RequestId) -> Option<&Call> {
        let mut calls = self.open.values();
        calls.find(|call| call.gateway == gateway && call.request == request)
    }

    pub(super) fn find_closed(&self, gateway: NodeId, request: RequestId) -> Option<ClosedCall> {
        let mut closed = self.recent.iter();
        let found = closed.find(|call| call.gateway == gateway && call.request == request);
        found.copied()
    }

    pub(super) fn remember_closed(&mut self, call: &Call, accepted: bool) {
        if self.recent.len() == RECENT_CALLS {
            self.recent.pop_front();
        }
        self.recent.push_back(ClosedCall {
            gateway: call.gateway,
            request: call.request,
            accepted,
        });
    }

    pub(super) fn remember_engine(&mut self, engine: &EngineId) {
        self.engines.retain(|known| known != engine);
        if self.engines.len() == REMEMBERED_ENGINES {
            self.engines.remove(0);
        }
        self.engines.push(engine.clone());
    }

    /// Status of an open call for the gateway that runs it.
    pub(super) fn status_of(&self, key: &ProgramKey, call: &Call) -> CallStatus {
        match call.state {
            CallState::Waiting => CallStatus::Queued { call: call.number },
            CallState::Running => CallStatus::Started {
                program: key.clone(),
                call: call.number,
                history: self.history.clone(),
                last_engine: self.engines.last().cloned(),
            },
        }
    }
}
