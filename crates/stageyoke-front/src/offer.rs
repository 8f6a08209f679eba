//! Offers a request to replicas: which one, how often, and what its answer shows.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_observe::RequestStory as Story;
use stageyoke_store::message::Placement;
use stageyoke_types::{ErrorKind, Text};
use tokio::time::Instant;

use crate::answer::Failure;
use crate::attempt::{self, Answer, Outcome};
use crate::fleet::Wanted;
use crate::front::Front;
use crate::handler::{Call, SOON};
use crate::health::Evidence;
use crate::history::Reservation;
use crate::placement::{self, Candidate};
use crate::replica::Replica;

/// Replicas that one request is offered to at most.
const MAX_OFFERS: usize = 5;
/// Idle replicas whose refusals show that the request itself is at fault: one may
/// refuse for a reason of its own.
const SEVERAL: usize = 2;
/// Outcome of a try whose answer took far longer than answers do.
const NO_ANSWER: &str = "no_answer";
/// Outcome of a plain answer that did not come whole.
const BROKE_OFF: &str = "answer_broke_off";
/// Largest plain answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Offers the request to replicas until one answers or none is left that
    /// may be tried.
    pub(crate) async fn offer(
        &self,
        call: &mut Call,
        story: &mut Story,
        reservation: &mut Option<Reservation>,
        mut told: Option<Placement>,
    ) -> Result<Served, Failure> {
        let mut excluded: Vec<Text> = Vec::new();
        let most_runs = match call.route.repeatable() {
            true => call.route.max_attempts.max(1),
            false => 1,
        };
        let mut runs = 0;
        let mut budget = self.retry_budget.get();
        budget.deposit();
        self.retry_budget.set(budget);
        let mut refusals = Refusals::default();
        for _ in 0..MAX_OFFERS {
            let Some(placed) = self.choose(call, &excluded) else {
                break;
            };
            story.placement = placed.explanation;
            let replica = placed.replica;
            excluded.push(replica.id.clone());
            let placement = placement_at(call, &replica);
            if let Some(reservation) = reservation
                && told.map(|told| told.replica) != Some(placement.replica)
            {
                reservation.place(placement);
                told = Some(placement);
            }
            set_may_have_run(reservation, true);
            let sent = Instant::now();
            let sending = attempt::send(&call.outbound, &replica, &self.names);
            let may_try_another = runs + 1 < most_runs;
            story.pending = replica.id.to_string();
            let another = || may_try_another && self.choose(call, &excluded).is_some();
            let outcome = self.await_answer(call, sending, another).await;
            story.pending.clear();
            let cause = match outcome {
                Err(Late::TryAnother) => {
                    self.note_pace(call, &replica, sent);
                    replica.note(Evidence::Lost);
                    NO_ANSWER
                }
                Err(Late::Deadline) => {
                    note(story, &replica.id, "time_out");
                    self.note_pace(call, &replica, sent);
                    return Err(Failure::last(ErrorKind::DeadlineExceeded, "time_out"));
                }
                Ok(Outcome::Answered(answer)) => {
                    story.head_after = call.arrived.elapsed().as_millis() as u64;
                    let missing_tokens = placed.missing_tokens;
                    match self
                        .complete(call, answer, missing_tokens, may_try_another)
                        .await
                    {
                        Ok(served) => {
                            note(story, &replica.id, "answered");
                            self.note_pace(call, &replica, sent);
                            replica.note(evidence_of(&served));
                            return Ok(served);
                        }
                        Err(cause) => {
                            replica.note(match cause {
                                BROKE_OFF => Evidence::Lost,
                                _ => Evidence::Failed,
                            });
                            cause
                        }
                    }
                }
                Ok(Outcome::Lost(cause)) => cause,
                Ok(Outcome::NotSent(cause)) => {
                    note(story, &replica.id, cause);
                    set_may_have_run(reservation, runs > 0);
                    continue;
                }
                Ok(Outcome::NotRun(status)) => {
                    refusals.count(&replica);
                    note(story, &replica.id, status.as_str());
                    set_may_have_run(reservation, runs > 0);
                    continue;
                }
            };
            note(story, &replica.id, cause);
            runs += 1;
            if runs >= most_runs {
                break;
            }
        }
        if runs == 0 {
            let cause = refusals.cause();
            return Err(Failure::come_back(ErrorKind::Overloaded, cause, SOON));
        }
        match call.route.repeatable() {
            true => Err(Failure::last(ErrorKind::BackEndFailed, "replicas_failed")),
            false => Err(Failure::last(ErrorKind::OutcomeUnknown, "outcome_unknown")),
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
        call: &Call,
        sending: impl Future<Output = Outcome>,
        another: impl Fn() -> bool,
    ) -> Result<Outcome, Late> {
        let deadline = call.outbound.deadline;
        let mut sending = std::pin::pin!(sending);
        if call.route.repeatable() && call.service.engine.is_none() {
            let now = Instant::now();
            let left = deadline.saturating_duration_since(now);
            let patience = self.usual_times.patience(&call.route.name);
            let patience = patience.map_or(left, |patience| patience.min(left / 3));
            if let Ok(outcome) = tokio::time::timeout_at(now + patience, &mut sending).await {
                return Ok(outcome);
            }
            if another() && self.withdraw_retry() {
                return Err(Late::TryAnother);
            }
        }
        let outcome = tokio::time::timeout_at(deadline, sending).await;
        outcome.map_err(|_| Late::Deadline)
    }

    /// Tells how long a replica of a plain service took, at least.
    fn note_pace(&self, call: &Call, replica: &Replica, sent: Instant) {
        if call.service.engine.is_none() {
            let ratio = self.usual_times.ratio(&call.route.name, sent.elapsed());
            replica.note_pace(ratio);
        }
    }

    fn wanted<'a>(&'a self, call: &'a Call, excluded: &'a [Text]) -> Wanted<'a> {
        Wanted {
            service: call.service.name.as_str(),
            zone: &self.zone,
            excluded,
            prompt: &call.figures.prompt,
            group: self.history.stores.group_number(&call.kept.program),
            repeatable: call.route.repeatable(),
        }
    }

    /// Where a turn of a program is going to run, by what is known before its
    /// reservation.
    pub(crate) fn expected_placement(&self, call: &Call) -> Option<Placement> {
        call.figures.budget?;
        call.service.engine.as_ref()?;
        let replica = self.choose_engine(call, &self.wanted(call, &[]))?;
        Some(placement_at(call, &replica))
    }

    fn choose_engine(&self, call: &Call, wanted: &Wanted<'_>) -> Option<Rc<Replica>> {
        let figures = &call.figures;
        let tokens = figures.prompt.tokens();
        let affinity = match figures.program.is_empty() {
            true => placement::hash_text(&figures.request),
            false => placement::hash_text(&figures.program),
        };
        let rates = self.fleet.rates(&call.service.name);
        let choose = |candidates: &[Candidate]| {
            placement::choose_engine(candidates, tokens, affinity, &rates)
        };
        self.fleet.choose(wanted, choose)
    }

    fn choose(&self, call: &Call, excluded: &[Text]) -> Option<Placed> {
        let prompt = &call.figures.prompt;
        let wanted = self.wanted(call, excluded);
        let Some(engine) = &call.service.engine else {
            let tie = rand::random();
            let choose = |candidates: &[Candidate]| placement::choose_plain(candidates, tie);
            let replica = self.fleet.choose(&wanted, choose)?;
            return Some(Placed {
                replica,
                missing_tokens: 0,
                explanation: String::new(),
            });
        };
        let replica = self.choose_engine(call, &wanted)?;
        let rates = self.fleet.rates(&call.service.name);
        let missing_tokens = replica.reads(prompt, engine.cache_tokens);
        let explanation = format!(
            "beside={} missing={missing_tokens} of={} slowness={:.2} {rates}",
            replica.under_way(),
            prompt.tokens(),
            replica.slowness()
        );
        Some(Placed {
            replica,
            missing_tokens,
            explanation,
        })
    }

    /// Checks an answer; a plain one is read whole. `may_retry` says whether a
    /// failed answer is better tried elsewhere.
    async fn complete(
        &self,
        call: &mut Call,
        mut answer: Box<Answer>,
        missing_tokens: u32,
        may_retry: bool,
    ) -> Result<Served, &'static str> {
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
        if call.route.kind == RouteKind::Stream && status == StatusCode::OK {
            return Ok(Served::Stream(answer, missing_tokens));
        }
        let reading = Limited::new(answer.response.body_mut(), MAX_ANSWER_BYTES).collect();
        let content = match tokio::time::timeout_at(call.outbound.deadline, reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(_)) => return Err(BROKE_OFF),
            Err(_) => return Err("time_out"),
        };
        call.held.take_anyway(content.len());
        let answer = *answer;
        let (head, _) = answer.response.into_parts();
        answer.replica.pool.give(answer.connection);
        Ok(Served::Whole(head, content))
    }
}

/// An answer has not come in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Late {
    /// Another replica is tried instead.
    TryAnother,
    /// The request's time is over.
    Deadline,
}

/// Replicas that refused one request.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    all: usize,
    idle: usize,
}

impl Refusals {
    /// A replica refused; it is idle if under half of its places are taken.
    fn count(&mut self, replica: &Replica) {
        self.all += 1;
        self.idle += usize::from(replica.under_way() * 2 < replica.record.slots);
    }

    /// Why no replica took the request. What several idle ones refuse is at fault
    /// itself; it is told apart from a want of room.
    fn cause(self) -> &'static str {
        match self.all >= SEVERAL && self.idle == self.all {
            true => "refused_while_idle",
            false => "no_replica",
        }
    }
}

/// A turn's placement at a replica, until its deadline.
fn placement_at(call: &Call, replica: &Replica) -> Placement {
    let left = call
        .outbound
        .deadline
        .saturating_duration_since(Instant::now());
    Placement {
        replica: replica.short_hash(),
        max_duration_milliseconds: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
    }
}

/// An answer on its way to the caller.
pub(crate) enum Served {
    /// Read whole.
    Whole(hyper::http::response::Parts, Bytes),
    /// A stream whose pieces are still to come, and the tokens of its prompt
    /// that the replica was believed not to hold.
    Stream(Box<Answer>, u32),
}

/// A replica that was chosen.
struct Placed {
    replica: Rc<Replica>,
    /// Tokens of the prompt that it was believed not to hold.
    missing_tokens: u32,
    /// What decided the choice, for the request's line.
    explanation: String,
}

/// What an answer shows of its replica: failures of its own count against it.
fn evidence_of(served: &Served) -> Evidence {
    match served {
        Served::Whole(head, _) if head.status.is_server_error() => Evidence::Failed,
        Served::Whole(..) | Served::Stream(..) => Evidence::Sound,
    }
}

fn set_may_have_run(reservation: &mut Option<Reservation>, may_have_run: bool) {
    if let Some(reservation) = reservation {
        reservation.set_may_have_run(may_have_run);
    }
}

fn note(story: &mut Story, replica: &str, outcome: &str) {
    if !story.attempts.is_empty() {
        story.attempts.push(' ');
    }
    story.attempts.push_str(replica);
    story.attempts.push('=');
    story.attempts.push_str(outcome);
}
