//! What a turn needs before it is offered: its reservation and its transcript.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_store::GroupError;
use stageyoke_store::message::Placement;
use stageyoke_types::ErrorKind;
use tokio::time::Instant;

use crate::answer::Failure;
use crate::front::Front;
use crate::handler::{AFTER_RECOVERY, Call, LOOK_UP_WITHIN, SOON};
use crate::history::{Reservation, Transcript};

/// How long a reservation may take: through a store's restart, and no more
/// than this part of the time that the request has left.
const RESERVE_WITHIN: Duration = Duration::from_millis(1300);
const RESERVE_PART: f64 = 0.4;
/// A group that has been failing this long is not waited for: probes tell when
/// it serves again.
const FAILING_FOR_LONG: Duration = Duration::from_millis(800);
impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// What was said before this turn, if it goes on from one that is kept.
    pub(crate) async fn transcript(&self, call: &Call) -> Result<Option<Bytes>, Failure> {
        let Some(previous) = &call.kept.previous else {
            return Ok(None);
        };
        if !call.route.stores_history {
            return Ok(None);
        }
        let left = call
            .outbound
            .deadline
            .saturating_duration_since(Instant::now());
        let within = left.min(LOOK_UP_WITHIN);
        match self
            .history
            .transcript(&call.kept.program, previous, within)
            .await
        {
            Transcript::Found(text) => Ok(Some(text)),
            Transcript::Absent => Err(Failure::last(ErrorKind::NotFound, "no_such_turn")),
            Transcript::Unsure => Err(Failure::come_back(
                ErrorKind::Unavailable,
                "history_unsure",
                self.group_retry(call),
            )),
        }
    }

    /// How long the store group that this request needs has not served.
    fn group_failing_for(&self, call: &Call) -> Duration {
        let stores = &self.history.stores;
        let failing = stores.failing_for(&call.kept.program, &call.kept.turn);
        failing.unwrap_or_default()
    }

    /// When to come back after that group did not serve: soon at first, as
    /// another front may reach it; later once the fault has lasted.
    fn group_retry(&self, call: &Call) -> Duration {
        self.group_failing_for(call).clamp(SOON, AFTER_RECOVERY)
    }

    /// Reserves the turn's most tokens; `note` takes what decided it.
    pub(crate) async fn reserve(
        &self,
        call: &Call,
        placement: Option<Placement>,
        note: &RefCell<String>,
    ) -> Result<Option<Reservation>, Failure> {
        let figures = &call.figures;
        let Some(budget) = figures.budget else {
            return Ok(None);
        };
        if figures.program.is_empty() || call.route.kind != RouteKind::Stream {
            return Ok(None);
        }
        let (program, turn) = (call.kept.program.clone(), call.kept.turn.clone());
        let left = call
            .outbound
            .deadline
            .saturating_duration_since(Instant::now());
        let failing = self.group_failing_for(call);
        if failing > FAILING_FOR_LONG {
            let cause = "store_group_failing";
            let after = self.group_retry(call);
            return Err(Failure::come_back(ErrorKind::Unavailable, cause, after));
        }
        let within = left.mul_f64(RESERVE_PART).min(RESERVE_WITHIN);
        let reservation = Reservation::new(self.history.clone(), program.clone(), turn.clone());
        let most = figures.most_tokens;
        let reserve = || {
            let history = &self.history;
            history.reserve(&program, &turn, most, placement, within)
        };
        let mut ledger = reserve().await;
        if matches!(ledger, Err(GroupError::StaleMembers)) {
            ledger = reserve().await;
        }
        let ledger = ledger.map_err(|error| {
            *note.borrow_mut() = format!("budget={budget} most={most} error={error}");
            Failure::come_back(
                ErrorKind::Unavailable,
                "budget_not_reserved",
                self.group_retry(call),
            )
        })?;
        let others = ledger.total_excluding(&turn);
        *note.borrow_mut() = format!(
            "budget={budget} others={others} most={most} turns={}",
            ledger.turns()
        );
        if others + u64::from(most) > budget {
            return Err(Failure::last(ErrorKind::TokenBudgetSpent, "budget_spent"));
        }
        Ok(Some(reservation))
    }
}
