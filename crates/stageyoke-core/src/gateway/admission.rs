//! The first stage: asking the shard's leader to admit the call, and what is
//! true to say when it does not answer.

use stageyoke_types::{CallNumber, EngineId, ErrorKind, List, NodeId, RequestId, RunState, Time};

use super::call::{CallAnswer, CallEntry, Failure, GatewayOutput, Stage};
use super::machine::Gateway;
use crate::fault::FaultPoint;
use crate::placement::Placement;
use crate::program::{BeginCall, CallOutcome, CallStatus, Message};

impl CallEntry {
    pub(super) fn begin(&self, gateway: NodeId) -> BeginCall {
        let submission = &self.submission;
        BeginCall {
            gateway,
            request: submission.request,
            program: submission.program.clone(),
            idempotency_key: submission.idempotency_key.clone(),
            fingerprint: submission.fingerprint,
            repeatable: submission.repeatable,
            one_shot: submission.one_shot,
            class: submission.class,
            messages: submission.messages.clone(),
            max_tokens_out: submission.max_tokens_out,
            limits: submission.limits,
            now: 0,
        }
    }
}

impl Gateway {
    pub(super) fn on_status(
        &mut self,
        request: RequestId,
        from: NodeId,
        status: CallStatus,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        match status {
            CallStatus::Started {
                program,
                call,
                history,
                last_engine,
            } => {
                if self.is_withdrawn(request) {
                    self.withdraw_unknown(from, request, program, now, output);
                    return;
                }
                self.on_started(request, call, history, last_engine, placement, now, output);
            }
            CallStatus::Queued { .. } => self.on_queued(request, from, true, now),
            CallStatus::Attached { .. } => self.on_queued(request, from, false, now),
            CallStatus::Closed { call, outcome } => {
                self.on_closed(request, call, &outcome, output);
            }
            CallStatus::Refused { kind, detail } => {
                self.on_refused(request, &Failure::not_run(kind, &detail), output);
            }
            CallStatus::Recorded => self.on_recorded(request, output),
            CallStatus::Superseded => self.on_superseded(request, output),
            CallStatus::Withdrawn => {
                self.forget_if(request, |stage| matches!(stage, Stage::Withdrawing { .. }));
            }
        }
    }

    /// A refusal counts only while admission is asked for: a delayed one may
    /// arrive when a repeat of the same request was admitted meanwhile.
    fn on_refused(
        &mut self,
        request: RequestId,
        failure: &Failure,
        output: &mut Vec<GatewayOutput>,
    ) {
        let in_admission = |stage: &Stage| matches!(stage, Stage::Admission { .. });
        if self.is_in(request, in_admission) {
            self.fail(request, failure.clone(), output);
            self.forget_if(request, in_admission);
        }
    }

    fn is_in(&self, request: RequestId, in_stage: impl Fn(&Stage) -> bool) -> bool {
        self.calls
            .get(&request)
            .is_some_and(|entry| in_stage(&entry.stage))
    }

    fn is_withdrawn(&self, request: RequestId) -> bool {
        self.calls
            .get(&request)
            .is_none_or(|entry| matches!(entry.stage, Stage::Withdrawing { .. }))
    }

    pub(super) fn forget_if(&mut self, request: RequestId, in_stage: impl Fn(&Stage) -> bool) {
        if self.is_in(request, in_stage) {
            self.calls.remove(&request);
        }
    }

    /// Admission: from here on this gateway alone may run the call. A repeat
    /// of the message finds another stage and changes nothing.
    #[allow(clippy::too_many_arguments)]
    fn on_started(
        &mut self,
        request: RequestId,
        call: CallNumber,
        history: List<Message>,
        last_engine: Option<EngineId>,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        if !matches!(entry.stage, Stage::Admission { .. }) {
            return;
        }
        entry.call = call;
        entry.history = history;
        entry.home = last_engine;
        self.choose_engine(request, placement, now, output);
    }

    fn on_queued(&mut self, request: RequestId, from: NodeId, own: bool, now: Time) {
        if let Some(entry) = self.calls.get_mut(&request)
            && let Stage::Admission {
                exchange,
                own_call_queued,
            } = &mut entry.stage
        {
            *own_call_queued = own;
            exchange.poll(from, now);
        }
    }

    fn on_closed(
        &mut self,
        request: RequestId,
        call: CallNumber,
        outcome: &CallOutcome,
        output: &mut Vec<GatewayOutput>,
    ) {
        let in_admission = |stage: &Stage| matches!(stage, Stage::Admission { .. });
        if self.is_in(request, in_admission) {
            self.answer(request, CallAnswer::of_outcome(call, outcome), output);
            self.forget_if(request, in_admission);
        }
    }

    /// Gives up on admission at the deadline. No other gateway can run this
    /// request, so `not_run` is true, and stays true because the stage changes
    /// with it. With a key, however, another request may have run the same
    /// work, and unless the leader has said otherwise nothing is known.
    pub(super) fn give_up_admission(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let Stage::Admission {
            own_call_queued, ..
        } = entry.stage
        else {
            return;
        };
        let certain = own_call_queued || entry.submission.idempotency_key.is_none();
        let (kind, run_state) = match (own_call_queued, certain) {
            (true, _) => (ErrorKind::DeadlineExceeded, RunState::NotRun),
            (false, true) => (ErrorKind::Unavailable, RunState::NotRun),
            (false, false) => (ErrorKind::OutcomeUnknown, RunState::Unknown),
        };
        let failure = Failure {
            kind,
            run_state,
            detail: CallEntry::text("no admission before the deadline"),
        };
        self.fail(request, failure, output);
        if !self.faults.is_set(FaultPoint::FalseNotRun) {
            self.withdraw(request, placement, now, output);
        }
    }
}
