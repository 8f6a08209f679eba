//! The middle stages: a slot, an engine, and further attempts.

use stageyoke_types::{Attempt, ErrorKind, Event, List, RequestId, RunState, Time};

use super::call::{AttemptOrder, AttemptResult, CallEntry, Failure, GatewayOutput, Stage};
use super::machine::{Gateway, RETRY_COST};
use crate::coordinator::{SlotMessage, Ticket};
use crate::fault::FaultPoint;
use crate::placement::Placement;
use crate::program::{CallOutcome, Message, Usage};

/// Attempts of one call at most.
const MAX_ATTEMPTS: u32 = 4;
/// How often an unanswered wish for a slot is repeated, in milliseconds.
const SLOT_RENEW_MS: Time = 500;

impl Gateway {
    /// Chooses an engine and asks for a slot; answers truthfully if none can
    /// take the call.
    pub(super) fn choose_engine(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let history_tokens = entry.prompt_estimate();
        let engine = self.engines.choose(
            &entry.submission.model,
            entry.home.as_ref(),
            history_tokens,
            &entry.tried,
            entry.program_digest(),
            now,
        );
        let Some(engine) = engine else {
            self.give_up_running(request, ErrorKind::Overloaded, placement, now, output);
            return;
        };
        if let Some(entry) = self.calls.get_mut(&request) {
            entry.attempt = Attempt(entry.attempt.0 + 1);
            entry.stage = Stage::Slot {
                engine,
                renew_at: now,
            };
        }
        self.ask_for_slot(request, placement, now, output);
    }

    pub(super) fn ask_for_slot(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let id = self.id;
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        let ticket = entry.ticket(id);
        let attained = entry.prompt_estimate();
        let Stage::Slot { engine, renew_at } = &mut entry.stage else {
            return;
        };
        let engine = engine.clone();
        if !self.engines.accepts_work(&engine) {
            let release = SlotMessage::Release {
                engine: engine.clone(),
                ticket,
            };
            output.push(GatewayOutput::Slot(engine, release));
            self.choose_engine(request, placement, now, output);
            return;
        }
        *renew_at = now + SLOT_RENEW_MS;
        let wish = SlotMessage::Request {
            engine: engine.clone(),
            ticket,
            program: entry.submission.program.clone(),
            class: entry.submission.class,
            attained,
        };
        output.push(GatewayOutput::Slot(engine, wish));
    }

    pub(super) fn on_granted(&mut self, ticket: Ticket, output: &mut Vec<GatewayOutput>) {
        let request = ticket.request;
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        if entry.attempt != ticket.attempt {
            return;
        }
        let Stage::Slot { engine, .. } = &entry.stage else {
            return;
        };
        let engine = engine.clone();
        let order = AttemptOrder {
            request,
            attempt: entry.attempt,
            engine: engine.clone(),
            program: entry.submission.program.clone(),
            call: entry.call,
            model: entry.submission.model.clone(),
            class: entry.submission.class,
            messages: entry.prompt(),
            max_tokens_out: entry.submission.max_tokens_out,
            resume: entry.may_have_run,
        };
        entry.stage = Stage::Running {
            engine: engine.clone(),
        };
        self.engines.started(&engine);
        output.push(GatewayOutput::StartAttempt(order));
    }

    /// No room at the engine: another one if the call may still move, else the
    /// caller hears at once that it was not run.
    pub(super) fn on_slot_refused(
        &mut self,
        ticket: Ticket,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let request = ticket.request;
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        let Stage::Slot { engine, .. } = &entry.stage else {
            return;
        };
        if entry.attempt != ticket.attempt {
            return;
        }
        entry.tried.insert(engine.clone());
        if entry.attempt.0 < MAX_ATTEMPTS && self.has_untried_engine(request) {
            self.choose_engine(request, placement, now, output);
        } else {
            self.give_up_running(request, ErrorKind::Overloaded, placement, now, output);
        }
    }

    fn has_untried_engine(&self, request: RequestId) -> bool {
        let Some(entry) = self.calls.get(&request) else {
            return false;
        };
        self.engines.records().any(|record| {
            record.model == entry.submission.model
                && !entry.tried.contains(&record.id)
                && self.engines.accepts_work(&record.id)
        })
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        result: AttemptResult,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let id = self.id;
        let ignore_attempt = self.faults.is_set(FaultPoint::IgnoreAttempt);
        let current = self.calls.get_mut(&request).filter(|entry| {
            let is_running = matches!(entry.stage, Stage::Running { .. });
            is_running && (entry.attempt == attempt || ignore_attempt)
        });
        let Some(entry) = current else {
            output.push(GatewayOutput::Event(Event::AttemptLateAnswer));
            return;
        };
        let ticket = entry.ticket(id);
        let Stage::Running { engine } = &entry.stage else {
            return;
        };
        let engine = engine.clone();
        let failed = matches!(
            result,
            AttemptResult::NotSent | AttemptResult::Broken { .. }
        );
        self.engines.ended(&engine, failed, now);
        let release = SlotMessage::Release {
            engine: engine.clone(),
            ticket,
        };
        output.push(GatewayOutput::Slot(engine.clone(), release));
        match result {
            AttemptResult::Finished {
                answer,
                truncated,
                usage,
            } => {
                let usage = entry.add_usage(usage);
                let outcome = CallOutcome::Finished {
                    answer,
                    truncated,
                    usage,
                    engine,
                };
                self.record(request, outcome, placement, now, output);
            }
            AttemptResult::Cancelled { usage } => {
                let usage = entry.add_usage(usage);
                let kind = entry.stopping.unwrap_or(ErrorKind::Cancelled);
                self.record(
                    request,
                    CallOutcome::Failed { kind, usage },
                    placement,
                    now,
                    output,
                );
            }
            AttemptResult::Blocked => {
                // Builds that do not know the kind may read the record of a call that has run.
                let kind = match entry.may_have_run {
                    true => ErrorKind::BackEndFailed,
                    false => ErrorKind::RequestBlocked,
                };
                self.give_up_running(request, kind, placement, now, output);
            }
            AttemptResult::NotSent => {
                entry.tried.insert(engine);
                output.push(GatewayOutput::Event(Event::AttemptFailed));
                self.try_again(request, placement, now, output);
            }
            AttemptResult::Broken { usage } => {
                entry.tried.insert(engine);
                entry.may_have_run = true;
                entry.add_usage(usage);
                output.push(GatewayOutput::Event(Event::AttemptFailed));
                self.after_broken(request, placement, now, output);
            }
        }
    }

    /// An engine failed while it had the call: a call that may not be repeated
    /// ends here, with nobody knowing whether it ran.
    fn after_broken(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let repeatable = self
            .calls
            .get(&request)
            .is_some_and(|entry| entry.submission.repeatable);
        if repeatable || self.faults.is_set(FaultPoint::RepeatUnknown) {
            self.try_again(request, placement, now, output);
        } else {
            self.record(request, CallOutcome::Unknown, placement, now, output);
        }
    }

    fn try_again(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let may_retry = entry.attempt.0 < MAX_ATTEMPTS
            && entry.stopping.is_none()
            && self.retry_allowance >= RETRY_COST;
        if may_retry {
            self.retry_allowance -= RETRY_COST;
            self.choose_engine(request, placement, now, output);
        } else {
            let kind = entry.stopping.unwrap_or(ErrorKind::BackEndFailed);
            self.give_up_running(request, kind, placement, now, output);
        }
    }

    /// Ends a call that has no engine now. If none ever had it, it is withdrawn
    /// and was truly not run; otherwise the failure is recorded.
    pub(super) fn give_up_running(
        &mut self,
        request: RequestId,
        kind: ErrorKind,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let usage = entry.usage;
        if entry.may_have_run {
            let outcome = CallOutcome::Failed { kind, usage };
            self.record(request, outcome, placement, now, output);
            return;
        }
        self.fail(request, Failure::not_run(kind, ""), output);
        self.withdraw(request, placement, now, output);
    }

    /// Stops a call wherever it stands: its program ended, its caller left, or
    /// its deadline passed.
    pub(super) fn stop(
        &mut self,
        request: RequestId,
        kind: ErrorKind,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let id = self.id;
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        match &entry.stage {
            Stage::Admission { .. } => {
                self.fail(request, Failure::not_run(kind, ""), output);
                self.withdraw(request, placement, now, output);
            }
            Stage::Slot { engine, .. } => {
                let engine = engine.clone();
                let release = SlotMessage::Release {
                    engine: engine.clone(),
                    ticket: entry.ticket(id),
                };
                output.push(GatewayOutput::Slot(engine, release));
                self.give_up_running(request, kind, placement, now, output);
            }
            Stage::Running { .. } => {
                if entry.stopping.is_none() {
                    entry.stopping = Some(kind);
                    let attempt = entry.attempt;
                    output.push(GatewayOutput::CancelAttempt { request, attempt });
                }
            }
            Stage::Recording { .. } | Stage::Withdrawing { .. } => {}
        }
    }

    /// Gives the caller its final answer at its deadline.
    pub(super) fn check_deadline(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        if entry.answered || now < entry.submission.deadline {
            return;
        }
        match entry.stage {
            Stage::Admission { .. } => self.give_up_admission(request, placement, now, output),
            Stage::Slot { .. } => {
                self.stop(request, ErrorKind::DeadlineExceeded, placement, now, output);
            }
            Stage::Running { .. } => {
                // The engine may still refuse the call unrun, so nothing is known.
                self.fail(request, deadline_failure(RunState::Unknown), output);
                self.stop(request, ErrorKind::DeadlineExceeded, placement, now, output);
            }
            Stage::Recording { .. } => {
                self.fail(request, deadline_failure(RunState::Ran), output);
            }
            Stage::Withdrawing { .. } => {}
        }
    }
}

fn deadline_failure(run_state: RunState) -> Failure {
    Failure {
        kind: ErrorKind::DeadlineExceeded,
        run_state,
        detail: CallEntry::text("deadline passed"),
    }
}

impl CallEntry {
    pub(super) fn ticket(&self, gateway: stageyoke_types::NodeId) -> Ticket {
        Ticket {
            gateway,
            request: self.submission.request,
            attempt: self.attempt,
        }
    }

    fn prompt(&self) -> List<Message> {
        let new = self.submission.messages.iter();
        self.history.iter().chain(new).cloned().collect()
    }

    /// Rough size of the prompt in tokens, at four bytes a token.
    pub(super) fn prompt_estimate(&self) -> u64 {
        let bytes: usize = self
            .history
            .iter()
            .map(|message| message.content.len())
            .sum();
        bytes as u64 / 4
    }

    /// Adds what an attempt used. Prompt tokens count once: a further attempt
    /// refills the same prompt.
    fn add_usage(&mut self, usage: Usage) -> Usage {
        self.usage.tokens_in = self.usage.tokens_in.max(usage.tokens_in);
        self.usage.tokens_out = self.usage.tokens_out.max(usage.tokens_out);
        self.usage
    }
}
