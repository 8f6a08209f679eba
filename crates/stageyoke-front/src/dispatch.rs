//! Dispatches a request to replicas: chooses them, retries, and evaluates their responses.

use std::rc::Rc;

use bytes::Bytes;
use hyper::StatusCode;
use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_observe::{self as observe, RequestSummary};
use stageyoke_policy::cold_start::{PERMIT_TTL, PermitDecision};
use stageyoke_policy::deadly_requests::Standing;
use stageyoke_store::extension::PermitRequest;
use stageyoke_store::message::Placement;
use stageyoke_types::{ErrorKind, Text};
use tokio::time::Instant;

use crate::attempt::{self, AttemptOutcome, CONNECTION_LOST, ReplicaResponse};
use crate::deadly_requests::{self, Denial, EndReports};
use crate::failure::Failure;
use crate::front::Front;
use crate::handler::{OUTAGE_RETRY_DELAY, RequestContext, SHORT_RETRY_DELAY};
use crate::health::Evidence;
use crate::history::Reservation;
use crate::oversized_response::{self, NO_MEMORY_FOR_RESPONSE, OVERSIZED_RESPONSE};
use crate::placement::{self, Candidate};
use crate::plain_response::{self, ReadError};
use crate::replica::Replica;
use crate::replica_registry::ReplicaQuery;
use crate::restrictions::Shortage;
use crate::stream_start::{StartFailure, StreamStart, TIME_OUT};
use stageyoke_framing::Framing;

/// Maximum number of replicas that one request is sent to.
const MAX_ATTEMPTED_REPLICAS: usize = 5;
/// Number of idle replicas whose rejections show that the request itself is at fault. A
/// single replica may reject for a reason of its own.
const MIN_IDLE_REJECTIONS: usize = 2;
/// Outcome of an attempt whose replica has responded, or begun a stream.
pub(crate) const ANSWERED: &str = "answered";
/// Outcome of an attempt whose response is overdue.
const OVERDUE: &str = "no_answer";
/// Outcome of an attempt under which the replica's process ended.
pub(crate) const REPLICA_ENDED: &str = "replica_ended";
/// Outcome of a plain response that was truncated.
const TRUNCATED: &str = "answer_broke_off";
/// Number of cold replicas without permits after which a request is rejected.
const MAX_PERMIT_DENIALS: usize = 3;

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Sends the request to one replica after another until one responds or no further
    /// attempt is allowed.
    pub(crate) async fn dispatch(
        &self,
        context: &mut RequestContext,
        summary: &mut RequestSummary,
        reservation: &mut Option<Reservation>,
        mut reported: Option<Placement>,
    ) -> Result<DispatchedResponse, Failure> {
        let mut excluded: Vec<Text> = Vec::new();
        let max_runs = match context.route.is_repeatable() {
            true => context.route.max_attempts.max(1),
            false => 1,
        };
        let mut runs = 0;
        let mut last_cause = "";
        let mut budget = self.retry_budget.get();
        budget.deposit();
        self.retry_budget.set(budget);
        let mut rejections = Rejections::default();
        let mut denial = None;
        let mut end_reports = EndReports::default();
        for _ in 0..MAX_ATTEMPTED_REPLICAS {
            let Some(chosen) = self.choose_permitted(context, &excluded).await else {
                break;
            };
            summary.placement = chosen.explanation;
            let replica = chosen.replica;
            excluded.push(replica.id.clone());
            let deadline = context.outbound.deadline;
            let guard = &self.request_guard;
            match guard.acquire(context.identity, &replica, deadline).await {
                Ok(permit) => context.run_permit = permit,
                Err(Denial::ReplicaBusy) => {
                    record_attempt(summary, &replica.id, "run_denied");
                    denial = Some(Denial::ReplicaBusy);
                    continue;
                }
                Err(denied) if runs == 0 || denied == Denial::Blocked => {
                    return Err(denied.failure());
                }
                Err(Denial::RequestBusy | Denial::Unknown | Denial::Blocked) => break,
            }
            let placement = build_placement(context, &replica);
            if let Some(reservation) = reservation
                && reported.map(|reported| reported.replica) != Some(placement.replica)
            {
                reservation.report_placement(placement);
                reported = Some(placement);
            }
            set_may_have_run(reservation, true);
            let sent = Instant::now();
            let send_by = chosen.send_by;
            let response = attempt::send(&context.outbound, &replica, &self.names, send_by);
            let may_retry_elsewhere = runs + 1 < max_runs;
            summary.pending = replica.id.to_string();
            let has_alternative =
                || may_retry_elsewhere && self.select(context, &excluded).is_some();
            let outcome = self
                .await_response(context, response, has_alternative)
                .await;
            summary.pending.clear();
            let cause = match outcome {
                Err(AttemptTimeout::Overdue) => {
                    self.record_latency(context, &replica, sent);
                    replica.record(Evidence::Lost);
                    OVERDUE
                }
                Err(AttemptTimeout::DeadlineExceeded) => {
                    record_attempt(summary, &replica.id, TIME_OUT);
                    self.record_latency(context, &replica, sent);
                    return Err(deadline_exceeded());
                }
                Ok(AttemptOutcome::Responded(reply)) => {
                    summary.response_head_ms = context.arrived.elapsed().as_millis() as u64;
                    summary.framing = Framing::of(&reply.response).name();
                    let uncached_tokens = chosen.uncached_tokens;
                    match self
                        .validate_response(context, reply, uncached_tokens, may_retry_elsewhere)
                        .await
                    {
                        Ok(response) => {
                            self.record_latency(context, &replica, sent);
                            summary.pending = replica.id.to_string();
                            let started = self
                                .start_response(context, response, summary, reservation)
                                .await;
                            summary.pending.clear();
                            match started {
                                Ok(dispatched) => {
                                    if dispatched.is_known_complete() {
                                        guard.record_completed(context.identity, &replica);
                                    }
                                    record_attempt(summary, &replica.id, ANSWERED);
                                    replica.record(response_evidence(&dispatched));
                                    return Ok(dispatched);
                                }
                                Err(StartFailure::Final { outcome, failure }) => {
                                    record_attempt(summary, &replica.id, outcome);
                                    return Err(failure);
                                }
                                Err(StartFailure::Unusable(response)) => {
                                    response.record(&replica).await
                                }
                            }
                        }
                        Err(NO_MEMORY_FOR_RESPONSE) => {
                            record_attempt(summary, &replica.id, NO_MEMORY_FOR_RESPONSE);
                            return Err(failure_after_run(context, NO_MEMORY_FOR_RESPONSE));
                        }
                        Err(TIME_OUT) => {
                            replica.record(Evidence::Failed);
                            record_attempt(summary, &replica.id, TIME_OUT);
                            self.record_latency(context, &replica, sent);
                            return Err(deadline_exceeded());
                        }
                        Err(cause) => {
                            replica.record(match cause {
                                TRUNCATED => Evidence::Lost,
                                _ => Evidence::Failed,
                            });
                            match cause == TRUNCATED && replica.has_ended(Instant::now()).await {
                                true => REPLICA_ENDED,
                                false => cause,
                            }
                        }
                    }
                }
                Ok(AttemptOutcome::Lost(cause)) => {
                    match cause == CONNECTION_LOST && replica.has_ended(Instant::now()).await {
                        true => REPLICA_ENDED,
                        false => cause,
                    }
                }
                Ok(AttemptOutcome::NotSent(cause)) => {
                    record_attempt(summary, &replica.id, cause);
                    set_may_have_run(reservation, runs > 0);
                    continue;
                }
                Ok(AttemptOutcome::NotRun(status)) => {
                    rejections.count(&replica);
                    record_attempt(summary, &replica.id, status.as_str());
                    set_may_have_run(reservation, runs > 0);
                    continue;
                }
            };
            record_attempt(summary, &replica.id, cause);
            last_cause = cause;
            runs += 1;
            if cause == REPLICA_ENDED {
                end_reports.add(guard.report_end(context.identity, &replica));
                if end_reports.are_several() || guard.standing(context.identity) != Standing::Free {
                    end_reports.wait().await;
                }
            }
            if runs >= max_runs {
                break;
            }
        }
        if runs == 0 {
            let failure = self.shortage_failure(context);
            let failure = failure.or_else(|| denial.map(Denial::failure));
            return Err(failure.unwrap_or_else(|| rejections.failure()));
        }
        end_reports.wait().await;
        if self.request_guard.standing(context.identity) == Standing::Blocked {
            return Err(deadly_requests::blocked());
        }
        Err(failure_after_run(context, last_cause))
    }

    fn withdraw_retry(&self) -> bool {
        let mut budget = self.retry_budget.get();
        let allowed = budget.withdraw();
        self.retry_budget.set(budget);
        allowed
    }

    /// Waits for the head of a response. If the response is overdue and another replica can
    /// be tried, the wait ends early.
    async fn await_response(
        &self,
        context: &RequestContext,
        response: impl Future<Output = AttemptOutcome>,
        has_alternative: impl Fn() -> bool,
    ) -> Result<AttemptOutcome, AttemptTimeout> {
        let deadline = context.outbound.deadline;
        let mut response = std::pin::pin!(response);
        if context.route.is_repeatable() && context.service.engine.is_none() {
            let now = Instant::now();
            let remaining = deadline.saturating_duration_since(now);
            let wait = self
                .baseline_latencies
                .response_timeout(&context.route.name);
            let wait = wait.map_or(remaining, |wait| wait.min(remaining / 3));
            if let Ok(outcome) = tokio::time::timeout_at(now + wait, &mut response).await {
                return Ok(outcome);
            }
            if has_alternative() && self.withdraw_retry() {
                return Err(AttemptTimeout::Overdue);
            }
        }
        let outcome = tokio::time::timeout_at(deadline, response).await;
        outcome.map_err(|_| AttemptTimeout::DeadlineExceeded)
    }

    /// Records the elapsed time as a lower bound of the latency of a plain service's
    /// replica.
    fn record_latency(&self, context: &RequestContext, replica: &Replica, sent: Instant) {
        if context.service.engine.is_none() {
            let slowdown = self
                .baseline_latencies
                .record_slowdown(&context.route.name, sent.elapsed());
            replica.record_latency(slowdown);
        }
    }

    fn replica_query<'a>(
        &'a self,
        context: &'a RequestContext,
        excluded: &'a [Text],
    ) -> ReplicaQuery<'a> {
        ReplicaQuery {
            service: context.service.name.as_str(),
            zone: &self.zone,
            excluded,
            prompt: &context.parameters.prompt,
            group: self
                .history
                .stores
                .group_number(&context.identifiers.program),
            repeatable: context.route.is_repeatable(),
            affinity: affinity(context),
            homes: context.homes(),
            software_version: context.required_version.as_deref(),
        }
    }

    /// Returns why no replica may get the request, as its failure; `None` if one may.
    pub(crate) fn shortage_failure(&self, context: &RequestContext) -> Option<Failure> {
        let shortage = self.registry.shortage(&self.replica_query(context, &[]))?;
        let retry_after = match shortage {
            // A caller whose version has left can only start anew, so it should learn that soon.
            Shortage::NoReplica | Shortage::OtherVersion => SHORT_RETRY_DELAY,
            Shortage::Cold(wait) => wait.max(SHORT_RETRY_DELAY),
            Shortage::OutsideHomes | Shortage::Evacuated => OUTAGE_RETRY_DELAY,
        };
        Some(Failure::retryable(
            ErrorKind::Overloaded,
            shortage.cause(),
            retry_after,
        ))
    }

    /// Predicts where a turn will run, from what is known before its reservation.
    pub(crate) fn predict_placement(&self, context: &RequestContext) -> Option<Placement> {
        context.parameters.budget?;
        context.service.engine.as_ref()?;
        let replica = self.choose_engine(context, &self.replica_query(context, &[]))?;
        Some(build_placement(context, &replica))
    }

    fn choose_engine(
        &self,
        context: &RequestContext,
        query: &ReplicaQuery<'_>,
    ) -> Option<Rc<Replica>> {
        let tokens = context.parameters.prompt.tokens();
        let affinity = query.affinity;
        let rates = self.registry.rates(&context.service.name);
        let choose = |candidates: &[Candidate]| {
            placement::choose_engine(candidates, tokens, affinity, &rates)
        };
        self.registry.choose(query, choose)
    }

    /// Selects the best replica that may get the request.
    fn select(&self, context: &RequestContext, excluded: &[Text]) -> Option<Rc<Replica>> {
        let query = self.replica_query(context, excluded);
        if context.service.engine.is_some() {
            return self.choose_engine(context, &query);
        }
        let tie_breaker = rand::random();
        let choose = |candidates: &[Candidate]| placement::choose_plain(candidates, tie_breaker);
        self.registry.choose(&query, choose)
    }

    /// Chooses a replica; for a cold one, acquires a permit first. A replica whose permits are
    /// used up is deferred, so that the next choice is another one.
    async fn choose_permitted(
        &self,
        context: &RequestContext,
        excluded: &[Text],
    ) -> Option<ChosenReplica> {
        for _ in 0..=MAX_PERMIT_DENIALS {
            let replica = self.select(context, excluded)?;
            let limit = self.cold_limit(context).filter(|_| replica.is_cold());
            let Some(permits) = limit else {
                return Some(self.place(context, replica, None));
            };
            let send_by = Instant::now() + PERMIT_TTL;
            let request = PermitRequest {
                replica: replica.incarnation_hash(),
                permits,
            };
            match self.history.stores.request_permit(request).await {
                PermitDecision::Granted => {
                    observe::metrics().cold_permits.inc();
                    return Some(self.place(context, replica, Some(send_by)));
                }
                PermitDecision::Denied(wait) => {
                    observe::metrics().cold_denials.inc();
                    replica.defer(wait);
                }
            }
        }
        None
    }

    /// Returns the number of permits that one store may grant for a cold replica of the
    /// service; `None` if cold replicas may get any number of requests.
    fn cold_limit(&self, context: &RequestContext) -> Option<u32> {
        let cold_start = context.service.cold_start?;
        let tolerance = self.cold_tolerance?;
        Some(tolerance.permits(cold_start.requests_per_second))
    }

    /// Records that a replica gets the request.
    fn place(
        &self,
        context: &RequestContext,
        replica: Rc<Replica>,
        send_by: Option<Instant>,
    ) -> ChosenReplica {
        let prompt = &context.parameters.prompt;
        let Some(engine) = &context.service.engine else {
            return ChosenReplica {
                replica,
                uncached_tokens: 0,
                explanation: String::new(),
                send_by,
            };
        };
        let rates = self.registry.rates(&context.service.name);
        let uncached_tokens = replica.record_prompt(prompt, engine.cache_tokens);
        let explanation = format!(
            "beside={} missing={uncached_tokens} of={} slowness={:.2} cold={} {rates}",
            replica.requests_in_flight(),
            prompt.tokens(),
            replica.slowdown(),
            u8::from(replica.is_cold())
        );
        ChosenReplica {
            replica,
            uncached_tokens,
            explanation,
            send_by,
        }
    }

    /// Validates a response and reads the body of a plain one. `may_retry` says whether an
    /// error response should be retried at another replica.
    async fn validate_response(
        &self,
        context: &mut RequestContext,
        mut reply: Box<ReplicaResponse>,
        uncached_tokens: u32,
        may_retry: bool,
    ) -> Result<DispatchedResponse, &'static str> {
        let status = reply.response.status();
        let signed = reply.response.headers().contains_key(&self.names.signature);
        if status.is_success() && !signed {
            return Err("unsigned_answer");
        }
        if status.is_server_error() && may_retry {
            return Err("server_error");
        }
        if context.route.kind == RouteKind::Stream && status == StatusCode::OK {
            return Ok(DispatchedResponse::Stream(
                reply,
                uncached_tokens,
                StreamStart::new(context, self.memory_budget.start_request()),
            ));
        }
        let framing = Framing::of(&reply.response);
        let mut memory_guard = context.memory_guard.start_part();
        let deadline = context.outbound.deadline;
        let reading = plain_response::read(reply.response.body_mut(), &mut memory_guard, deadline);
        let content = reading.await.map_err(read_failure)?;
        context.memory_guard.absorb(memory_guard);
        let reply = *reply;
        let (head, _) = reply.response.into_parts();
        if framing != Framing::Connection {
            reply.replica.pool.release(reply.connection);
        }
        Ok(DispatchedResponse::Plain(head, content, framing))
    }
}

/// Returns the cause of an attempt whose response was not read to its end.
fn read_failure(error: ReadError) -> &'static str {
    let cause = match error {
        ReadError::Truncated => return TRUNCATED,
        ReadError::DeadlineExceeded => return TIME_OUT,
        ReadError::TooLarge => OVERSIZED_RESPONSE,
        ReadError::OutOfMemory => NO_MEMORY_FOR_RESPONSE,
    };
    oversized_response::count(cause);
    cause
}

/// Returns the failure of a request that may have run, by the cause of its last attempt.
fn failure_after_run(context: &RequestContext, last_cause: &'static str) -> Failure {
    let (kind, cause) = match context.route.is_repeatable() {
        true => (ErrorKind::BackEndFailed, "replicas_failed"),
        false => (ErrorKind::OutcomeUnknown, "outcome_unknown"),
    };
    Failure::permanent(
        kind,
        oversized_response::failure_cause(last_cause).unwrap_or(cause),
    )
}

/// Returns the hash that selects the replicas for a request: that of its program for an
/// engine, so that all fronts agree on it.
fn affinity(context: &RequestContext) -> u64 {
    let parameters = &context.parameters;
    match (&context.service.engine, parameters.program.is_empty()) {
        (None, _) => rand::random(),
        (Some(_), true) => placement::hash_text(&parameters.request_id),
        (Some(_), false) => placement::hash_text(&parameters.program),
    }
}

/// Reason why waiting for a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptTimeout {
    /// The response is overdue, and another replica is tried instead.
    Overdue,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

/// Counts of the replicas that rejected one request.
#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    all: usize,
    idle: usize,
}

impl Rejections {
    /// Counts a rejection. A replica is idle if less than half of its slots are in use.
    fn count(&mut self, replica: &Replica) {
        self.all += 1;
        self.idle += usize::from(replica.requests_in_flight() * 2 < replica.record.slots);
    }

    /// Returns the failure of a request that no replica accepted. Rejections by several idle
    /// replicas point to the request itself, not to a lack of capacity.
    fn failure(self) -> Failure {
        let cause = match self.all >= MIN_IDLE_REJECTIONS && self.idle == self.all {
            true => "refused_while_idle",
            false => "no_replica",
        };
        Failure::retryable(ErrorKind::Overloaded, cause, SHORT_RETRY_DELAY)
    }
}

/// Describes a turn's placement at a replica until the request's deadline.
fn build_placement(context: &RequestContext, replica: &Replica) -> Placement {
    let remaining = context
        .outbound
        .deadline
        .saturating_duration_since(Instant::now());
    Placement {
        replica: replica.short_hash(),
        max_duration_milliseconds: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Response that is forwarded to the caller.
pub(crate) enum DispatchedResponse {
    /// Plain response; whether it is complete is unknown if it ended with its connection.
    Plain(hyper::http::response::Parts, Bytes, Framing),
    /// Stream whose body is still to be relayed, the tokens of its prompt that the replica was
    /// not expected to have cached, and what was read of its body.
    Stream(Box<ReplicaResponse>, u32, StreamStart),
}

impl DispatchedResponse {
    /// Returns whether the replica is known to have run the request to its end.
    fn is_known_complete(&self) -> bool {
        match self {
            Self::Plain(_, _, framing) => *framing != Framing::Connection,
            Self::Stream(..) => false,
        }
    }
}

/// Chosen replica.
struct ChosenReplica {
    replica: Rc<Replica>,
    /// Tokens of the prompt that the replica was not expected to have cached.
    uncached_tokens: u32,
    /// Inputs of the choice, for the request's log line.
    explanation: String,
    /// Time by which the request must be sent; `None` if it needs no permit.
    send_by: Option<Instant>,
}

/// Classifies a response as evidence of the replica's health.
fn response_evidence(dispatched: &DispatchedResponse) -> Evidence {
    match dispatched {
        DispatchedResponse::Plain(head, ..) if head.status.is_server_error() => Evidence::Failed,
        DispatchedResponse::Plain(..) | DispatchedResponse::Stream(..) => Evidence::Sound,
    }
}

/// Failure of a request whose deadline has passed.
pub(crate) fn deadline_exceeded() -> Failure {
    Failure::permanent(ErrorKind::DeadlineExceeded, TIME_OUT)
}

fn set_may_have_run(reservation: &mut Option<Reservation>, may_have_run: bool) {
    if let Some(reservation) = reservation {
        reservation.set_may_have_run(may_have_run);
    }
}

/// Adds the outcome of an attempt to the request's summary.
pub(crate) fn record_attempt(summary: &mut RequestSummary, replica: &str, outcome: &str) {
    if !summary.attempts.is_empty() {
        summary.attempts.push(' ');
    }
    summary.attempts.push_str(replica);
    summary.attempts.push('=');
    summary.attempts.push_str(outcome);
}
