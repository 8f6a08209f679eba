//! The last stage: the outcome is committed before the caller hears of it.

use stageyoke_types::{ErrorKind, NodeId, RequestId, RunState, Time};

use super::call::{CallAnswer, CallEntry, Failure, GatewayOutput, Stage};
use super::machine::Gateway;
use crate::placement::Placement;
use crate::program::{CallOutcome, FinishCall};

impl CallEntry {
    pub(super) fn finish(&self, gateway: NodeId, outcome: CallOutcome) -> FinishCall {
        FinishCall {
            gateway,
            request: self.submission.request,
            program: self.submission.program.clone(),
            call: self.call,
            outcome,
            now: 0,
        }
    }
}

impl Gateway {
    /// Starts recording an outcome; repeated until the leader answers.
    pub(super) fn record(
        &mut self,
        request: RequestId,
        outcome: CallOutcome,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let program = entry.submission.program.clone();
        let exchange = self.exchange_for(&program, now);
        if let Some(entry) = self.calls.get_mut(&request) {
            entry.stage = Stage::Recording { exchange, outcome };
        }
        self.advance(request, placement, now, output);
    }

    /// The outcome is committed: the caller gets it.
    pub(super) fn on_recorded(&mut self, request: RequestId, output: &mut Vec<GatewayOutput>) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let Stage::Recording { outcome, .. } = &entry.stage else {
            return;
        };
        let answer = CallAnswer::of_outcome(entry.call, outcome);
        self.answer(request, answer, output);
        self.calls.remove(&request);
    }

    /// The call was closed otherwise while this gateway was believed dead. It
    /// ran, but what was recorded is that nobody knows, and that is the answer.
    pub(super) fn on_superseded(&mut self, request: RequestId, output: &mut Vec<GatewayOutput>) {
        let is_recording = self
            .calls
            .get(&request)
            .is_some_and(|entry| matches!(entry.stage, Stage::Recording { .. }));
        if !is_recording {
            return;
        }
        let failure = Failure {
            kind: ErrorKind::OutcomeUnknown,
            run_state: RunState::Unknown,
            detail: CallEntry::text("closed while this node was unreachable"),
        };
        self.fail(request, failure, output);
        self.calls.remove(&request);
    }
}
