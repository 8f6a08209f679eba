//! Admission of a call: recognition of repeats, limits, and reservation.

use stageyoke_types::{CallNumber, ErrorKind, ProgramKey, Text};

use super::command::BeginCall;
use super::ledger::Reservation;
use super::state::{Call, CallState, CallStatus, Program};
use super::table::ProgramTable;
use crate::fault::FaultPoint;

/// Why a call was not admitted.
pub(super) struct Refusal {
    pub(super) kind: ErrorKind,
    pub(super) detail: &'static str,
}

impl From<Refusal> for CallStatus {
    fn from(refusal: Refusal) -> Self {
        CallStatus::Refused {
            kind: refusal.kind,
            detail: Text::from(refusal.detail),
        }
    }
}

impl ProgramTable {
    /// What is known of a request without admitting it: an open call, a kept
    /// outcome, or a refusal that no further command can change.
    pub fn lookup(&self, begin: &BeginCall) -> Option<CallStatus> {
        let program = self.programs.get(&begin.program)?;
        if let Some(call) = program.find_request(begin.gateway, begin.request) {
            return Some(program.status_of(&begin.program, call));
        }
        if program.find_closed(begin.gateway, begin.request).is_some() {
            // A delayed repeat of a request that was dealt with.
            return Some(CallStatus::Withdrawn);
        }
        let key = begin.idempotency_key.as_ref()?;
        if let Some(kept) = program.keyed.get(key) {
            if kept.fingerprint != begin.fingerprint {
                return Some(key_conflict());
            }
            return Some(CallStatus::Closed {
                call: kept.call,
                outcome: kept.outcome.clone(),
            });
        }
        let same_key = |call: &&Call| call.idempotency_key.as_ref() == Some(key);
        let other = program.open.values().find(same_key)?;
        if other.fingerprint != begin.fingerprint {
            return Some(key_conflict());
        }
        Some(CallStatus::Attached { call: other.number })
    }

    pub(super) fn begin(&mut self, begin: BeginCall) -> CallStatus {
        if let Some(status) = self.lookup(&begin) {
            return status;
        }
        let wanted = self.reservation_for(&begin);
        if let Err(refusal) = self.check_admission(&begin, &wanted) {
            return refusal.into();
        }
        self.open_program(&begin);
        self.for_each_in_path(&begin.program, |program| program.ledger.reserve(&wanted));
        self.open_call(begin, wanted)
    }

    /// An upper bound of what the call can use: a token is at least one byte.
    fn reservation_for(&self, begin: &BeginCall) -> Reservation {
        let new_bytes: usize = begin
            .messages
            .iter()
            .map(|message| message.content.len() + MESSAGE_OVERHEAD_TOKENS)
            .sum();
        let program = self.programs.get(&begin.program);
        let history_tokens = program.map_or(0, |program| program.history_tokens);
        let waiting: u64 = program
            .into_iter()
            .flat_map(Program::open_calls)
            .map(|call| call.reserved.tokens_in + call.reserved.tokens_out)
            .sum();
        Reservation {
            tokens_in: history_tokens + waiting + new_bytes as u64,
            tokens_out: u64::from(begin.max_tokens_out),
        }
    }

    fn check_admission(&self, begin: &BeginCall, wanted: &Reservation) -> Result<(), Refusal> {
        let mut key = Some(begin.program.clone());
        let mut is_ancestor = false;
        while let Some(current) = key {
            self.check_one(&current, begin, wanted, is_ancestor)?;
            is_ancestor = true;
            key = current.parent();
        }
        self.check_tree_shape(begin)
    }

    fn check_one(
        &self,
        key: &ProgramKey,
        begin: &BeginCall,
        wanted: &Reservation,
        is_ancestor: bool,
    ) -> Result<(), Refusal> {
        let Some(program) = self.programs.get(key) else {
            if is_ancestor {
                return Err(refusal(ErrorKind::NotFound, "parent program"));
            }
            let fresh = Program::default();
            return self.check_budget(&fresh, &begin.limits, wanted);
        };
        if program.ended.is_some() {
            return Err(refusal(ErrorKind::ProgramEnded, "program ended"));
        }
        let elapsed = begin.now.saturating_sub(program.started_at);
        if program.limits.wall_ms != 0 && elapsed > program.limits.wall_ms {
            return Err(refusal(ErrorKind::BudgetExceeded, "wall_time"));
        }
        self.check_budget(program, &program.limits, wanted)
    }

    fn check_budget(
        &self,
        program: &Program,
        limits: &super::ledger::Limits,
        wanted: &Reservation,
    ) -> Result<(), Refusal> {
        if self.faults.is_set(FaultPoint::IgnoreBudget) {
            return Ok(());
        }
        match program.ledger.exceeded_by(limits, wanted) {
            Some(limit) => Err(refusal(ErrorKind::BudgetExceeded, limit)),
            None => Ok(()),
        }
    }

    /// Depth is the root's limit; fan-out is each parent's own.
    fn check_tree_shape(&self, begin: &BeginCall) -> Result<(), Refusal> {
        let is_new = !self.programs.contains_key(&begin.program);
        let Some(parent_key) = begin.program.parent().filter(|_| is_new) else {
            return Ok(());
        };
        let root_key = ProgramKey {
            tenant: begin.program.tenant.clone(),
            program: begin.program.program.root().into(),
        };
        let depth_limit = self
            .programs
            .get(&root_key)
            .map_or(0, |root| root.limits.depth);
        if begin.program.program.depth() > depth_limit {
            return Err(refusal(ErrorKind::BudgetExceeded, "depth"));
        }
        let parent = self.programs.get(&parent_key);
        let has_room =
            parent.is_some_and(|program| program.ledger.children < program.limits.fan_out);
        if !has_room {
            return Err(refusal(ErrorKind::BudgetExceeded, "fan_out"));
        }
        Ok(())
    }

    fn open_program(&mut self, begin: &BeginCall) {
        let is_new = !self.programs.contains_key(&begin.program);
        let parent = begin.program.parent().filter(|_| is_new);
        if let Some(parent) = parent.and_then(|key| self.programs.get_mut(&key)) {
            parent.ledger.children += 1;
        }
        let program = self.programs.entry(begin.program.clone()).or_default();
        if is_new {
            program.started_at = begin.now;
        }
        program.limits = begin.limits;
        program.class = begin.class;
        program.touched_at = begin.now;
    }

    fn open_call(&mut self, begin: BeginCall, reserved: Reservation) -> CallStatus {
        let start_at_once = self.faults.is_set(FaultPoint::StartOutOfOrder);
        let program = self.programs.entry(begin.program.clone()).or_default();
        program.next_call += 1;
        let number = CallNumber(program.next_call);
        let state = if program.open.is_empty() || start_at_once {
            CallState::Running
        } else {
            CallState::Waiting
        };
        let call = Call {
            number,
            gateway: begin.gateway,
            request: begin.request,
            idempotency_key: begin.idempotency_key,
            fingerprint: begin.fingerprint,
            repeatable: begin.repeatable,
            one_shot: begin.one_shot,
            messages: begin.messages,
            reserved,
            state,
        };
        let status = program.status_of(&begin.program, &call);
        program.open.insert(number, call);
        status
    }
}

/// Tokens a chat template may add around one message.
const MESSAGE_OVERHEAD_TOKENS: usize = 8;

fn refusal(kind: ErrorKind, detail: &'static str) -> Refusal {
    Refusal { kind, detail }
}

fn key_conflict() -> CallStatus {
    refusal(ErrorKind::KeyConflict, "idempotency key").into()
}
