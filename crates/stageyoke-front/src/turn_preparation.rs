//! Prepares a turn before it is dispatched: its reservation and its transcript.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_store::GroupError;
use stageyoke_store::message::{ChainPart, Placement};
use stageyoke_types::{Blob, ErrorKind};
use tokio::time::Instant;

use crate::failure::Failure;
use crate::front::Front;
use crate::handler::{
    LOOKUP_TIMEOUT, OUTAGE_RETRY_DELAY, RequestContext, SHORT_RETRY_DELAY, out_of_memory,
};
use crate::history::{
    PendingCheck, Reservation, ReservationRequest, ReservedLedger, ReservedTurn, Transcript,
};

/// Timeout of a reservation, which covers a store's restart, and the fraction of the
/// request's remaining time that it may take.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1300);
const RESERVE_TIME_FRACTION: f64 = 0.4;
/// Failure time of a store group after which requests fail immediately. Probes detect its
/// recovery.
const FAIL_FAST_DELAY: Duration = Duration::from_millis(800);

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Reads the chain of turns that this turn continues, oldest first; empty if there is none.
    pub(crate) async fn read_transcript(
        &self,
        context: &RequestContext,
    ) -> Result<Vec<ChainPart>, Failure> {
        let Some(previous) = &context.identifiers.previous else {
            return Ok(Vec::new());
        };
        if !context.route.stores_history {
            return Ok(Vec::new());
        }
        let remaining = context
            .outbound
            .deadline
            .saturating_duration_since(Instant::now());
        let time_limit = remaining.min(LOOKUP_TIMEOUT);
        let mut memory = self.memory_budget.start_request();
        let program = &context.identifiers.program;
        let reading = self
            .history
            .read_transcript(program, previous, time_limit, &mut memory);
        match reading.await {
            Transcript::Found(chain) => Ok(chain),
            Transcript::TooLarge => Err(out_of_memory()),
            Transcript::Absent => Err(Failure::permanent(ErrorKind::NotFound, "no_such_turn")),
            Transcript::Unknown => Err(Failure::retryable(
                ErrorKind::Unavailable,
                "history_unsure",
                self.group_retry_delay(context),
            )),
        }
    }

    /// Returns for how long the store group needed by this request has failed.
    fn group_failure_time(&self, context: &RequestContext) -> Duration {
        let stores = &self.history.stores;
        let failing = stores.failing_for(&context.identifiers.program, &context.identifiers.turn);
        failing.unwrap_or_default()
    }

    /// Returns the retry delay after that group failed: short at first, since another front
    /// may reach it, and longer once the outage lasts.
    fn group_retry_delay(&self, context: &RequestContext) -> Duration {
        self.group_failure_time(context)
            .clamp(SHORT_RETRY_DELAY, OUTAGE_RETRY_DELAY)
    }

    /// Reserves the turn's maximum number of tokens, and writes the inputs of the decision
    /// to `detail`.
    pub(crate) async fn reserve(
        &self,
        context: &RequestContext,
        placement: Option<Placement>,
        detail: &RefCell<String>,
    ) -> Result<Option<Reservation>, Failure> {
        let parameters = &context.parameters;
        let Some(budget) = parameters.budget else {
            return Ok(None);
        };
        if parameters.program.is_empty() || context.route.kind != RouteKind::Stream {
            return Ok(None);
        }
        let max_tokens = parameters.max_tokens;
        if u64::from(max_tokens) > budget {
            *detail.borrow_mut() = format!("budget={budget} most={max_tokens}");
            return Err(budget_spent());
        }
        let (program, turn) = (
            context.identifiers.program.clone(),
            context.identifiers.turn.clone(),
        );
        let remaining = context
            .outbound
            .deadline
            .saturating_duration_since(Instant::now());
        let failing = self.group_failure_time(context);
        if failing > FAIL_FAST_DELAY {
            let cause = "store_group_failing";
            let after = self.group_retry_delay(context);
            return Err(Failure::retryable(ErrorKind::Unavailable, cause, after));
        }
        let time_limit = remaining
            .mul_f64(RESERVE_TIME_FRACTION)
            .min(RESERVE_TIMEOUT);
        let reserved = ReservedTurn {
            program,
            turn: turn.clone(),
            retention: context.route.retention,
        };
        let mut reservation = Reservation::new(self.history.clone(), reserved.clone());
        let not_reserved = |error| {
            *detail.borrow_mut() = format!("budget={budget} most={max_tokens} error={error}");
            Failure::retryable(
                ErrorKind::Unavailable,
                "budget_not_reserved",
                self.group_retry_delay(context),
            )
        };
        let request = ReservationRequest {
            reserved,
            max_tokens,
            budget,
            placement,
            deadline: context.outbound.deadline,
        };
        let reserve_until = Instant::now() + time_limit;
        let deadline = context.outbound.deadline;
        let reserving = self.history.reserve(&request, time_limit, deadline);
        let ReservedLedger {
            mut ledger,
            mut pending,
        } = reserving.await.map_err(not_reserved)?;
        // A reservation that is not stored may still fail, so it rejects no other.
        if !request.fits(&ledger)
            && !request.can_never_fit(&ledger)
            && let Some(mut pending) = pending.take()
        {
            let waiting = tokio::time::timeout_at(reserve_until, pending.wait());
            let stored = waiting.await.unwrap_or(Err(GroupError::NoQuorum));
            ledger = stored.map_err(not_reserved)?;
        }
        *detail.borrow_mut() = format!(
            "budget={budget} others={} most={max_tokens} turns={} unsynced={}",
            ledger.total_excluding(&turn),
            ledger.turns(),
            u8::from(pending.is_some())
        );
        if !request.fits(&ledger) {
            return Err(budget_spent());
        }
        if let Some(ledger) = pending {
            reservation.set_pending_check(PendingCheck { ledger });
        }
        Ok(Some(reservation))
    }
}

fn budget_spent() -> Failure {
    Failure::permanent(ErrorKind::TokenBudgetSpent, "budget_spent")
}

/// Returns the size of the turns' contents in bytes.
pub(crate) fn transcript_bytes(chain: &[ChainPart]) -> usize {
    chain.iter().map(ChainPart::bytes).sum()
}

/// Puts the turns that a request continues before its own input.
pub(crate) fn add_transcript(
    context: &mut RequestContext,
    chain: Vec<ChainPart>,
) -> Result<(), Failure> {
    if chain.is_empty() {
        return Ok(());
    }
    let bytes = transcript_bytes(&chain) + context.input.len();
    if !context.memory_guard.try_acquire(bytes) {
        return Err(out_of_memory());
    }
    let mut body = Vec::with_capacity(bytes);
    for part in &chain {
        body.extend_from_slice(&part.input);
        body.extend_from_slice(&part.output);
    }
    body.extend_from_slice(&context.input);
    context.outbound.body = Bytes::from(body);
    context.chain = slices_of(&context.outbound.body, chain);
    Ok(())
}

/// Replaces the contents of turns by slices of a body that begins with them, so that they are in
/// memory once.
fn slices_of(body: &Bytes, chain: Vec<ChainPart>) -> Vec<ChainPart> {
    let mut rest = body.clone();
    let parts = chain.into_iter().map(|part| ChainPart {
        input: Blob(rest.split_to(part.input.len())),
        output: Blob(rest.split_to(part.output.len())),
        ..part
    });
    parts.collect()
}
