//! The gateway's state machine: its calls and queries, and the way in for
//! messages, results and time.

use std::collections::BTreeMap;

use stageyoke_types::{
    Attempt, CallNumber, EngineId, ErrorKind, List, NodeId, ProgramKey, RequestId, ShardId, Text,
    Time,
};

use super::call::{
    AttemptResult, CallAnswer, CallEntry, CallSubmission, Failure, GatewayOutput, QueryAnswer,
    Stage,
};
use super::engines::EngineDirectory;
use super::exchange::Exchange;
use crate::coordinator::{SlotMessage, Ticket};
use crate::fault::{FaultPoint, Faults};
use crate::message::{ProgramReply, ProgramRequest, ReplyBody};
use crate::placement::Placement;
use crate::program::{AbandonCall, AbandonCause, EndReason, Usage};

/// Replicas asked in turn when the leader is not known.
const HOLDERS_ASKED: usize = 5;
/// How long a withdrawal is repeated, in milliseconds.
pub(super) const WITHDRAW_FOR_MS: Time = 30_000;
/// How long a query may take, in milliseconds.
const QUERY_DEADLINE_MS: Time = 5_000;
/// Retries earned by each new call, in hundredths, so that retries add at most
/// a tenth to the load of the engines.
const RETRY_EARN: u32 = 10;
/// Cost of one retry, in hundredths.
pub(super) const RETRY_COST: u32 = 100;
/// Most retries that can be saved up, in hundredths.
const RETRY_CAP: u32 = 2_000;

#[derive(Clone, Debug)]
struct Query {
    request: ProgramRequest,
    exchange: Exchange,
    deadline: Time,
}

/// All calls and queries of one gateway.
pub struct Gateway {
    pub(super) id: NodeId,
    life: u16,
    pub(super) shard_count: u32,
    pub(super) calls: BTreeMap<RequestId, CallEntry>,
    queries: BTreeMap<RequestId, Query>,
    leaders: BTreeMap<ShardId, NodeId>,
    /// The engines.
    pub engines: EngineDirectory,
    pub(super) retry_allowance: u32,
    pub(super) faults: Faults,
}

impl Gateway {
    /// A gateway with no calls.
    pub fn new(id: NodeId, life: u16, shard_count: u32, faults: Faults) -> Self {
        Self {
            id,
            life,
            shard_count,
            calls: BTreeMap::new(),
            queries: BTreeMap::new(),
            leaders: BTreeMap::new(),
            engines: EngineDirectory::new(faults),
            retry_allowance: RETRY_CAP,
            faults,
        }
    }

    /// Calls that callers still wait for.
    pub fn unanswered(&self) -> usize {
        self.calls.values().filter(|call| !call.answered).count()
    }

    /// Calls of any stage.
    pub fn held(&self) -> usize {
        self.calls.len()
    }

    /// Takes a caller's call.
    pub fn submit(
        &mut self,
        submission: CallSubmission,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        self.retry_allowance = (self.retry_allowance + RETRY_EARN).min(RETRY_CAP);
        let request = submission.request;
        let exchange = self.exchange_for(&submission.program, now);
        let entry = CallEntry {
            submission,
            stage: Stage::Admission {
                exchange,
                own_call_queued: false,
            },
            call: CallNumber(0),
            history: List::default(),
            home: None,
            attempt: Attempt(0),
            tried: Default::default(),
            may_have_run: false,
            stopping: None,
            answered: false,
            usage: Usage::default(),
        };
        self.calls.insert(request, entry);
        self.advance(request, placement, now, output);
    }

    /// Asks for a program's end.
    pub fn end_program(
        &mut self,
        request: RequestId,
        program: ProgramKey,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let query = ProgramRequest::End {
            gateway: self.id,
            request,
            program,
            reason: EndReason::Caller,
        };
        self.ask(query, placement, now, output);
    }

    /// Asks for a program's state.
    pub fn view_program(
        &mut self,
        request: RequestId,
        program: ProgramKey,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let query = ProgramRequest::View {
            gateway: self.id,
            request,
            program,
        };
        self.ask(query, placement, now, output);
    }

    /// Asks whether a program that holds engine memory lives.
    pub fn check_alive(
        &mut self,
        request: RequestId,
        program: ProgramKey,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let query = ProgramRequest::CheckAlive {
            gateway: self.id,
            request,
            program,
        };
        self.ask(query, placement, now, output);
    }

    fn ask(
        &mut self,
        request: ProgramRequest,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let (_, id) = request.origin();
        let exchange = self.exchange_for(request.program(), now);
        let query = Query {
            request,
            exchange,
            deadline: now + QUERY_DEADLINE_MS,
        };
        self.queries.insert(id, query);
        self.repeat_query(id, placement, now, output);
    }

    /// The caller closed its connection. A keyed call goes on, since the
    /// caller can ask for its answer; any other is stopped.
    pub fn caller_gone(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        entry.answered = true;
        if entry.submission.idempotency_key.is_none() {
            self.stop(request, ErrorKind::Cancelled, placement, now, output);
        }
    }

    /// Handles a replica's answer.
    pub fn reply(
        &mut self,
        from: NodeId,
        reply: ProgramReply,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let request = reply.request;
        match reply.body {
            ReplyBody::NotLeader { leader } => self.on_not_leader(request, from, leader, now),
            ReplyBody::Status(status) => {
                self.note_leader(request, from);
                self.on_status(request, from, status, placement, now, output);
            }
            ReplyBody::Cancel => {
                self.stop(request, ErrorKind::ProgramEnded, placement, now, output);
            }
            ReplyBody::View { view } => self.answer_query(request, QueryAnswer::View(view), output),
            ReplyBody::Ended { existed } => {
                self.answer_query(request, QueryAnswer::Ended(existed), output);
            }
            ReplyBody::Alive { alive } => {
                self.answer_query(request, QueryAnswer::Alive(alive), output);
            }
        }
    }

    /// Handles a coordinator's answer. One to an earlier attempt speaks of
    /// another engine than the call now waits for, and is dropped.
    pub fn slot(
        &mut self,
        message: SlotMessage,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(engine) = self.awaited_engine(message.ticket()) else {
            return;
        };
        match message {
            SlotMessage::Granted {
                ticket,
                expected_wait_ms,
            } => {
                self.engines.report_wait(&engine, expected_wait_ms, now);
                self.on_granted(ticket, output);
            }
            SlotMessage::Waiting {
                expected_wait_ms, ..
            } => self.engines.report_wait(&engine, expected_wait_ms, now),
            SlotMessage::Refused {
                ticket,
                expected_wait_ms,
                leaving,
            } => {
                self.engines.report_wait(&engine, expected_wait_ms, now);
                self.engines.set_leaving(&engine, leaving);
                self.on_slot_refused(ticket, placement, now, output);
            }
            SlotMessage::Request { .. } | SlotMessage::Release { .. } => {}
        }
    }

    /// The engine of which a call waits for a slot, if it still does in the
    /// attempt that the ticket names.
    fn awaited_engine(&self, ticket: Ticket) -> Option<EngineId> {
        let entry = self.calls.get(&ticket.request)?;
        match &entry.stage {
            Stage::Slot { engine, .. } if entry.attempt == ticket.attempt => Some(engine.clone()),
            _ => None,
        }
    }

    /// Handles an attempt's end.
    pub fn attempt_ended(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        result: AttemptResult,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        self.on_attempt_ended(request, attempt, result, placement, now, output);
    }

    /// Lets time pass: repeats what was not answered, and gives up at deadlines.
    pub fn tick(&mut self, placement: &Placement, now: Time, output: &mut Vec<GatewayOutput>) {
        let requests: Vec<RequestId> = self.calls.keys().copied().collect();
        for request in requests {
            self.check_deadline(request, placement, now, output);
            self.advance(request, placement, now, output);
        }
        let queries: Vec<RequestId> = self.queries.keys().copied().collect();
        for request in queries {
            self.repeat_query(request, placement, now, output);
        }
    }

    pub(super) fn exchange_for(&self, program: &ProgramKey, now: Time) -> Exchange {
        let shard = program.shard(self.shard_count);
        Exchange::new(shard, self.leaders.get(&shard).copied(), now)
    }

    fn note_leader(&mut self, request: RequestId, leader: NodeId) {
        let shard = match self.calls.get(&request) {
            Some(entry) => entry.submission.program.shard(self.shard_count),
            None => return,
        };
        self.leaders.insert(shard, leader);
    }

    fn on_not_leader(
        &mut self,
        request: RequestId,
        from: NodeId,
        leader: Option<NodeId>,
        now: Time,
    ) {
        let exchange = match self.calls.get_mut(&request) {
            Some(entry) => entry.stage.exchange_mut(),
            None => self
                .queries
                .get_mut(&request)
                .map(|query| &mut query.exchange),
        };
        let Some(exchange) = exchange else {
            return;
        };
        exchange.redirect(leader, now);
        let shard = exchange.shard;
        if self.leaders.get(&shard) == Some(&from) {
            self.leaders.remove(&shard);
        }
    }

    fn answer_query(
        &mut self,
        request: RequestId,
        answer: QueryAnswer,
        output: &mut Vec<GatewayOutput>,
    ) {
        if self.queries.remove(&request).is_some() {
            output.push(GatewayOutput::Query(request, answer));
        }
    }

    fn repeat_query(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(query) = self.queries.get_mut(&request) else {
            return;
        };
        if now >= query.deadline {
            self.answer_query(request, QueryAnswer::Unavailable, output);
            return;
        }
        if now < query.exchange.due_at {
            return;
        }
        let holders = placement.likely_holders(query.exchange.shard, HOLDERS_ASKED);
        if let Some(target) = query.exchange.next_target(&holders, now) {
            output.push(GatewayOutput::Request(target, query.request.clone()));
        }
    }

    /// Sends whatever the call's stage has due.
    pub(super) fn advance(
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
        if let Stage::Withdrawing { until, .. } = entry.stage
            && now >= until
        {
            self.calls.remove(&request);
            return;
        }
        if let Stage::Slot { renew_at, .. } = entry.stage {
            if now >= renew_at {
                self.ask_for_slot(request, placement, now, output);
            }
            return;
        }
        let again = entry
            .stage
            .exchange_mut()
            .is_some_and(|exchange| exchange.was_sent());
        if again && self.faults.is_set(FaultPoint::NoRetransmission) {
            return;
        }
        let is_due = entry
            .stage
            .exchange_mut()
            .is_some_and(|exchange| now >= exchange.due_at);
        if !is_due {
            return;
        }
        let message = entry.pending_request(id);
        let Some(exchange) = entry.stage.exchange_mut() else {
            return;
        };
        let holders = placement.likely_holders(exchange.shard, HOLDERS_ASKED);
        if let Some(target) = exchange.next_target(&holders, now)
            && let Some(message) = message
        {
            output.push(GatewayOutput::Request(target, message));
        }
    }

    /// Answers the caller, once.
    pub(super) fn answer(
        &mut self,
        request: RequestId,
        answer: CallAnswer,
        output: &mut Vec<GatewayOutput>,
    ) {
        if let Some(entry) = self.calls.get_mut(&request)
            && !entry.answered
        {
            entry.answered = true;
            output.push(GatewayOutput::Answer(request, answer));
        }
    }

    pub(super) fn fail(
        &mut self,
        request: RequestId,
        failure: Failure,
        output: &mut Vec<GatewayOutput>,
    ) {
        self.answer(request, CallAnswer::Failed(failure), output);
    }

    /// Withdraws a call that was never sent, and forgets it once the leader
    /// has recorded that.
    pub(super) fn withdraw(
        &mut self,
        request: RequestId,
        placement: &Placement,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let exchange = self.exchange_for(&entry.submission.program.clone(), now);
        if let Some(entry) = self.calls.get_mut(&request) {
            entry.stage = Stage::Withdrawing {
                exchange,
                until: now + WITHDRAW_FOR_MS,
            };
        }
        self.advance(request, placement, now, output);
    }

    /// Withdraws a call that this gateway no longer knows: a leader believes
    /// that it should run, and it never will. Only for requests of this life:
    /// an earlier one may well have sent what it asked for.
    pub(super) fn withdraw_unknown(
        &mut self,
        to: NodeId,
        request: RequestId,
        program: ProgramKey,
        now: Time,
        output: &mut Vec<GatewayOutput>,
    ) {
        if request.incarnation() != self.life {
            return;
        }
        let abandon = AbandonCall {
            gateway: self.id,
            request,
            program,
            cause: AbandonCause::NeverSent,
            now,
        };
        output.push(GatewayOutput::Request(to, ProgramRequest::Abandon(abandon)));
    }
}

impl CallEntry {
    /// The message that the call's stage keeps sending to the shard's leader.
    fn pending_request(&self, gateway: NodeId) -> Option<ProgramRequest> {
        match &self.stage {
            Stage::Admission { .. } => Some(ProgramRequest::Begin(self.begin(gateway))),
            Stage::Recording { outcome, .. } => Some(ProgramRequest::Finish(
                self.finish(gateway, outcome.clone()),
            )),
            Stage::Withdrawing { .. } => Some(ProgramRequest::Abandon(AbandonCall {
                gateway,
                request: self.submission.request,
                program: self.submission.program.clone(),
                cause: AbandonCause::NeverSent,
                now: 0,
            })),
            Stage::Slot { .. } | Stage::Running { .. } => None,
        }
    }

    /// Digest used to spread programs over engines.
    pub(super) fn program_digest(&self) -> u64 {
        crate::hash::of_text(&self.submission.program.program.0)
    }

    /// Text of a detail for an error message.
    pub(super) fn text(detail: &str) -> Text {
        Text::from(detail)
    }
}

impl Stage {
    pub(super) fn exchange_mut(&mut self) -> Option<&mut Exchange> {
        match self {
            Stage::Admission { exchange, .. }
            | Stage::Recording { exchange, .. }
            | Stage::Withdrawing { exchange, .. } => Some(exchange),
            Stage::Slot { .. } | Stage::Running { .. } => None,
        }
    }
}
