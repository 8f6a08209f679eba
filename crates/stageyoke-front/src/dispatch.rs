//! Offers a request to replicas: which one, how often, and what its answer shows.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_observe::RequestSummary as Summary;
use stageyoke_store::message::Placement;
use stageyoke_types::{ErrorKind, Text};
use tokio::time::Instant;

use crate::attempt::{self, AttemptOutcome, ReplicaResponse};
use crate::failure::Failure;
use crate::front::Front;
use crate::handler::{RequestContext, SHORT_RETRY_DELAY};
use crate::health::Evidence;
use crate::history::Reservation;
use crate::placement::{self, Candidate};
use crate::replica::Replica;
use crate::replica_registry::ReplicaQuery;

/// Replicas that one request is offered to at most.
const MAX_ATTEMPTED_REPLICAS: usize = 5;
/// Idle replicas whose refusals show that the request itself is at fault: one may
/// refuse for a reason of its own.
const MIN_IDLE_REJECTIONS: usize = 2;
/// Outcome of a try whose answer took far longer than answers do.
const NO_ANSWER: &str = "no_answer";
/// Outcome of a plain answer that did not come whole.
const TRUNCATED: &str = "answer_broke_off";
/// Largest plain answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Offers the request to replicas until one answers or none is left that
    /// may be tried.
    pub(crate) async fn dispatch(
        &self,
        context: &mut RequestContext,
        summary: &mut Summary,
        reservation: &mut Option<Reservation>,
        mut reported: Option<Placement>,
    ) -> Result<DispatchedResponse, Failure> {
        let mut excluded: Vec<Text> = Vec::new();
        let max_runs = match context.route.is_repeatable() {
            true => context.route.max_attempts.max(1),
            false => 1,
        };
        let mut runs = 0;
        let mut budget = self.retry_budget.get();
        budget.deposit();
        self.retry_budget.set(budget);
        let mut rejections = Rejections::default();
        for _ in 0..MAX_ATTEMPTED_REPLICAS {
            let Some(chosen) = self.choose(context, &excluded) else {
                break;
            };
            summary.placement = chosen.explanation;
            let replica = chosen.replica;
            excluded.push(replica.id.clone());
            let placement = placement_at(context, &replica);
            if let Some(reservation) = reservation
                && reported.map(|reported| reported.replica) != Some(placement.replica)
            {
                reservation.report_placement(placement);
                reported = Some(placement);
            }
            set_may_have_run(reservation, true);
            let sent = Instant::now();
            let sending = attempt::send(&context.outbound, &replica, &self.names);
            let may_try_another = runs + 1 < max_runs;
            summary.pending = replica.id.to_string();
            let another = || may_try_another && self.choose(context, &excluded).is_some();
            let outcome = self.await_answer(context, sending, another).await;
            summary.pending.clear();
            let cause = match outcome {
                Err(AttemptTimeout::TryAnother) => {
                    self.record_latency(context, &replica, sent);
                    replica.record(Evidence::Lost);
                    NO_ANSWER
                }
                Err(AttemptTimeout::Deadline) => {
                    record_attempt(summary, &replica.id, "time_out");
                    self.record_latency(context, &replica, sent);
                    return Err(Failure::permanent(ErrorKind::DeadlineExceeded, "time_out"));
                }
                Ok(AttemptOutcome::Answered(answer)) => {
                    summary.response_head_ms = context.arrived.elapsed().as_millis() as u64;
                    let uncached_tokens = chosen.uncached_tokens;
                    match self
                        .complete(context, answer, uncached_tokens, may_try_another)
                        .await
                    {
                        Ok(served) => {
                            record_attempt(summary, &replica.id, "answered");
                            self.record_latency(context, &replica, sent);
                            replica.record(evidence_of(&served));
                            return Ok(served);
                        }
                        Err(cause) => {
                            replica.record(match cause {
                                TRUNCATED => Evidence::Lost,
                                _ => Evidence::Failed,
                            });
                            cause
                        }
                    }
                }
                Ok(AttemptOutcome::Lost(cause)) => cause,
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
            runs += 1;
            if runs >= max_runs {
                break;
            }
        }
        if runs == 0 {
            let cause = rejections.cause();
            return Err(Failure::retryable(
                ErrorKind::Overloaded,
                cause,
                SHORT_RETRY_DELAY,
            ));
        }
        match context.route.is_repeatable() {
            true => Err(Failure::permanent(
                ErrorKind::BackEndFailed,
                "replicas_failed",
            )),
            false => Err(Failure::permanent(
                ErrorKind::OutcomeUnknown,
                "outcome_unknown",
            )),
        }
    }

    fn withdraw_retry(&self) -> bool {
        let mut budget = self.retry_budget.get();
        let allowed = budget.withdraw();
        self.retry_budget.set(budget);
        allowed
    }

    /// Waits for the head of an answer; not to the end where there is another replica
    /// to try and the answer takes far longer than answers do.
    async fn await_answer(
        &self,
        context: &RequestContext,
        sending: impl Future<Output = AttemptOutcome>,
        another: impl Fn() -> bool,
    ) -> Result<AttemptOutcome, AttemptTimeout> {
        let deadline = context.outbound.deadline;
        let mut sending = std::pin::pin!(sending);
        if context.route.is_repeatable() && context.service.engine.is_none() {
            let now = Instant::now();
            let left = deadline.saturating_duration_since(now);
            let wait = self
                .baseline_latencies
                .response_timeout(&context.route.name);
            let wait = wait.map_or(left, |wait| wait.min(left / 3));
            if let Ok(outcome) = tokio::time::timeout_at(now + wait, &mut sending).await {
                return Ok(outcome);
            }
            if another() && self.withdraw_retry() {
                return Err(AttemptTimeout::TryAnother);
            }
        }
        let outcome = tokio::time::timeout_at(deadline, sending).await;
        outcome.map_err(|_| AttemptTimeout::Deadline)
    }

    /// Tells how long a replica of a plain service took, at least.
    fn record_latency(&self, context: &RequestContext, replica: &Replica, sent: Instant) {
        if context.service.engine.is_none() {
            let slowdown = self
                .baseline_latencies
                .record_slowdown(&context.route.name, sent.elapsed());
            replica.record_latency(slowdown);
        }
    }

    fn query<'a>(&'a self, context: &'a RequestContext, excluded: &'a [Text]) -> ReplicaQuery<'a> {
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
        }
    }

    /// Where a turn of a program is going to run, by what is known before its
    /// reservation.
    pub(crate) fn predict_placement(&self, context: &RequestContext) -> Option<Placement> {
        context.parameters.budget?;
        context.service.engine.as_ref()?;
        let replica = self.choose_engine(context, &self.query(context, &[]))?;
        Some(placement_at(context, &replica))
    }

    fn choose_engine(
        &self,
        context: &RequestContext,
        query: &ReplicaQuery<'_>,
    ) -> Option<Rc<Replica>> {
        let parameters = &context.parameters;
        let tokens = parameters.prompt.tokens();
        let affinity = match parameters.program.is_empty() {
            true => placement::hash_text(&parameters.request),
            false => placement::hash_text(&parameters.program),
        };
        let rates = self.registry.rates(&context.service.name);
        let choose = |candidates: &[Candidate]| {
            placement::choose_engine(candidates, tokens, affinity, &rates)
        };
        self.registry.choose(query, choose)
    }

    fn choose(&self, context: &RequestContext, excluded: &[Text]) -> Option<ChosenReplica> {
        let prompt = &context.parameters.prompt;
        let query = self.query(context, excluded);
        let Some(engine) = &context.service.engine else {
            let tie = rand::random();
            let choose = |candidates: &[Candidate]| placement::choose_plain(candidates, tie);
            let replica = self.registry.choose(&query, choose)?;
            return Some(ChosenReplica {
                replica,
                uncached_tokens: 0,
                explanation: String::new(),
            });
        };
        let replica = self.choose_engine(context, &query)?;
        let rates = self.registry.rates(&context.service.name);
        let uncached_tokens = replica.record_prompt(prompt, engine.cache_tokens);
        let explanation = format!(
            "beside={} missing={uncached_tokens} of={} slowness={:.2} {rates}",
            replica.requests_in_flight(),
            prompt.tokens(),
            replica.slowdown()
        );
        Some(ChosenReplica {
            replica,
            uncached_tokens,
            explanation,
        })
    }

    /// Checks an answer; a plain one is read whole. `may_retry` says whether a
    /// failed answer is better tried elsewhere.
    async fn complete(
        &self,
        context: &mut RequestContext,
        mut answer: Box<ReplicaResponse>,
        uncached_tokens: u32,
        may_retry: bool,
    ) -> Result<DispatchedResponse, &'static str> {
        let status = answer.response.status();
        let signed = answer
            .response
            .headers()
            .contains_key(&self.names.signature);
        if status.is_success() && !signed {
            return Err("unsigned_answer");
        }
        if status.is_server_error() && may_retry {
            return Err("server_error");
        }
        if context.route.kind == RouteKind::Stream && status == StatusCode::OK {
            return Ok(DispatchedResponse::Stream(answer, uncached_tokens));
        }
        let reading = Limited::new(answer.response.body_mut(), MAX_ANSWER_BYTES).collect();
        let content = match tokio::time::timeout_at(context.outbound.deadline, reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(_)) => return Err(TRUNCATED),
            Err(_) => return Err("time_out"),
        };
        context.memory_guard.force_acquire(content.len());
        let answer = *answer;
        let (head, _) = answer.response.into_parts();
        answer.replica.pool.release(answer.connection);
        Ok(DispatchedResponse::Whole(head, content))
    }
}

/// An answer has not come in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptTimeout {
    /// Another replica is tried instead.
    TryAnother,
    /// The request's time is over.
    Deadline,
}

/// Replicas that refused one request.
#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    all: usize,
    idle: usize,
}

impl Rejections {
    /// A replica refused; it is idle if under half of its places are taken.
    fn count(&mut self, replica: &Replica) {
        self.all += 1;
        self.idle += usize::from(replica.requests_in_flight() * 2 < replica.record.slots);
    }

    /// Why no replica took the request. What several idle ones refuse is at fault
    /// itself; it is told apart from a want of room.
    fn cause(self) -> &'static str {
        match self.all >= MIN_IDLE_REJECTIONS && self.idle == self.all {
            true => "refused_while_idle",
            false => "no_replica",
        }
    }
}

/// A turn's placement at a replica, until its deadline.
fn placement_at(context: &RequestContext, replica: &Replica) -> Placement {
    let left = context
        .outbound
        .deadline
        .saturating_duration_since(Instant::now());
    Placement {
        replica: replica.short_hash(),
        max_duration_milliseconds: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
    }
}

/// An answer on its way to the caller.
pub(crate) enum DispatchedResponse {
    /// Read whole.
    Whole(hyper::http::response::Parts, Bytes),
    /// A stream whose pieces are still to come, and the tokens of its prompt
    /// that the replica was believed not to hold.
    Stream(Box<ReplicaResponse>, u32),
}

/// A replica that was chosen.
struct ChosenReplica {
    replica: Rc<Replica>,
    /// Tokens of the prompt that it was believed not to hold.
    uncached_tokens: u32,
    /// What decided the choice, for the request's line.
    explanation: String,
}

/// What an answer shows of its replica: failures of its own count against it.
fn evidence_of(served: &DispatchedResponse) -> Evidence {
    match served {
        DispatchedResponse::Whole(head, _) if head.status.is_server_error() => Evidence::Failed,
        DispatchedResponse::Whole(..) | DispatchedResponse::Stream(..) => Evidence::Sound,
    }
}

fn set_may_have_run(reservation: &mut Option<Reservation>, may_have_run: bool) {
    if let Some(reservation) = reservation {
        reservation.set_may_have_run(may_have_run);
    }
}

fn record_attempt(summary: &mut Summary, replica: &str, outcome: &str) {
    if !summary.attempts.is_empty() {
        summary.attempts.push(' ');
    }
    summary.attempts.push_str(replica);
    summary.attempts.push('=');
    summary.attempts.push_str(outcome);
}
