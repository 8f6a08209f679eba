//! Turns and budgets of programs: the reservation before a turn runs, the transcript that
//! it continues, and its record before the response ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_observe::{RequestSummary, metrics};
use stageyoke_store::keys::TurnKey;
use stageyoke_store::message::{ChainPart, Placement};
use stageyoke_store::{
    ChainOutcome, GroupClients, GroupError, LedgerRoom, LedgerView, RecentTurns, Record,
    ReservationOptions, StoredRecord, TurnRecord,
};
use stageyoke_types::{Blob, Text};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::memory_budget::MemoryGuard;
use crate::request::ScopedIdentifiers;

/// Maximum size of the cache of recent turns.
const MAX_TURN_CACHE_BYTES: usize = 6 * 1024 * 1024;
/// Fraction of the machine's memory for that cache.
const TURN_CACHE_FRACTION: f64 = 0.06;
/// Timeout of one attempt to commit a turn.
const COMMIT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time after which the stores are asked for reservations that they have received but not
/// synced.
const UNSYNCED_QUERY_DELAY: Duration = Duration::from_millis(12);
const UNSYNCED_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without any stored record after which turns wait until their reservation is stored, as
/// the disks may have stalled.
const MAX_UNSTORED_TIME: Duration = Duration::from_millis(500);
/// Time for which further stores may answer a reservation after a quorum whose ledgers leave too
/// few tokens.
const REJECTION_DELAY: Duration = Duration::from_millis(300);
/// Time for which the stores are asked again about a granted turn that their ledgers overrule.
const GRANT_RETRY_TIME: Duration = Duration::from_millis(1500);
/// Timeout of a settlement.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Result of reading a transcript.
pub enum Transcript {
    /// The chain of turns, oldest first.
    Found(Vec<ChainPart>),
    /// No stored turn has this identifier.
    Absent,
    /// There is no memory for it.
    TooLarge,
    /// The stores gave no conclusive answer.
    Unknown,
}

/// History and budgets of programs, held by the store groups.
pub struct History {
    /// Store groups that hold turns and budgets.
    pub stores: Rc<GroupClients>,
    cache: RefCell<RecentTurns>,
}

impl History {
    /// Creates a history on these store groups, on a machine with the given memory.
    pub fn new(stores: Rc<GroupClients>, memory_bytes: u64) -> Self {
        let cache_bytes = (memory_bytes as f64 * TURN_CACHE_FRACTION) as usize;
        let cache = RecentTurns::new(cache_bytes.min(MAX_TURN_CACHE_BYTES));
        Self {
            stores,
            cache: RefCell::new(cache),
        }
    }

    /// Returns the transcript of this program up to and including `turn`. Its memory is acquired
    /// part by part, since callers choose how long a program's history is.
    pub async fn read_transcript(
        &self,
        program: &str,
        turn: &Text,
        time_limit: Duration,
        memory: &mut MemoryGuard,
    ) -> Transcript {
        let mut parts = self.cached_chain(turn);
        let first_missing = match parts.last() {
            None => turn.clone(),
            Some(last) => last.previous.clone(),
        };
        if !first_missing.is_empty() {
            let acquire = |bytes| memory.try_acquire(bytes);
            let reading = self
                .stores
                .chain(program, &first_missing, time_limit, acquire);
            match reading.await {
                ChainOutcome::Complete(rest) => parts.extend(rest),
                ChainOutcome::TooLarge => return Transcript::TooLarge,
                ChainOutcome::Absent(absent) if absent == *turn => return Transcript::Absent,
                // An ancestor of an existing turn must exist, so its absence proves
                // nothing.
                ChainOutcome::Absent(_) | ChainOutcome::Unknown => return Transcript::Unknown,
            }
        }
        let mut cache = self.cache.borrow_mut();
        for part in &parts {
            cache.insert(part.clone());
        }
        parts.reverse();
        Transcript::Found(parts)
    }

    fn cached_chain(&self, turn: &Text) -> Vec<ChainPart> {
        let cache = self.cache.borrow();
        let mut parts = Vec::new();
        let mut next = turn;
        while let Some(part) = cache.get(TurnKey::of(next))
            && part.turn == *next
        {
            parts.push(part.clone());
            next = &part.previous;
        }
        parts
    }

    /// Reserves the maximum number of tokens of a turn, within `time_limit`. Returns once the
    /// reservation is stored, or earlier if a quorum has received it; it may then be stored up
    /// to `deadline`.
    pub async fn reserve(
        &self,
        request: &ReservationRequest,
        time_limit: Duration,
        deadline: Instant,
    ) -> Result<ReservedLedger, GroupError> {
        let started = Instant::now();
        let (sender, mut stored) = oneshot::channel();
        let storing = store_reservation(self.stores.clone(), request.clone(), time_limit, sender);
        tokio::task::spawn_local(storing);
        let unsynced = async {
            tokio::time::sleep(UNSYNCED_QUERY_DELAY).await;
            let (program, turn) = (&request.reserved.program, &request.reserved.turn);
            let (max_unstored, time_limit) = (MAX_UNSTORED_TIME, UNSYNCED_QUERY_TIMEOUT);
            let query = self
                .stores
                .unsynced_ledger(program, turn, max_unstored, time_limit);
            query.await
        };
        let outcome = tokio::select! {
            ledger = &mut stored => ledger.unwrap_or(Err(GroupError::NoQuorum)).map(ReservedLedger::stored),
            Some(ledger) = unsynced => Ok(ReservedLedger {
                pending: Some(PendingLedger {
                    received_ledger: ledger.clone(),
                    stored,
                    stores: self.stores.clone(),
                    request: request.clone(),
                    deadline,
                }),
                ledger,
            }),
        };
        metrics()
            .reserve_seconds
            .observe(started.elapsed().as_secs_f64());
        outcome
    }

    /// Settles a reservation in the background.
    pub fn settle(&self, reserved: &ReservedTurn, used: u32) {
        let record = Record::Settle {
            program: reserved.program.clone(),
            turn: reserved.turn.clone(),
            used_tokens: used,
        };
        let record = reserved.with_retention(record);
        self.stores.append_in_background(record, SETTLE_TIMEOUT);
    }

    /// Commits a completed turn, and returns once a write quorum has stored it durably with the
    /// chain that it continues.
    pub async fn commit(
        &self,
        record: TurnRecord,
        chain: &[ChainPart],
        deadline: Instant,
    ) -> Result<(), GroupError> {
        let started = Instant::now();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let time_limit = remaining.min(COMMIT_ATTEMPT_TIMEOUT);
            let error = match self.stores.append_turn(&record, chain, time_limit).await {
                Ok(()) => break,
                Err(error @ (GroupError::RecordTooLarge | GroupError::IncompleteChain)) => {
                    return Err(error);
                }
                Err(error) => error,
            };
            if Instant::now() + COMMIT_RETRY_DELAY >= deadline {
                return Err(error);
            }
            tokio::time::sleep(COMMIT_RETRY_DELAY).await;
        }
        metrics()
            .commit_seconds
            .observe(started.elapsed().as_secs_f64());
        self.cache.borrow_mut().insert(ChainPart {
            turn: record.turn,
            previous: record.previous,
            input: record.input,
            output: record.output,
        });
        Ok(())
    }
}

/// A turn of a program, and for how long the program's ledger is retained after it.
#[derive(Clone, Debug)]
pub struct ReservedTurn {
    /// Program of the turn.
    pub program: Text,
    /// The turn.
    pub turn: Text,
    /// Retention of the turn's route; zero if the route has none.
    pub retention: Duration,
}

impl ReservedTurn {
    /// Returns the same turn with a longer retention, for a turn that may run as long: the ledger is
    /// retained from its end. A route without a retention keeps none.
    fn retained_for_further(&self, time_left: Duration) -> Self {
        let retention = match self.retention.is_zero() {
            true => Duration::ZERO,
            false => self.retention + time_left,
        };
        Self {
            retention,
            ..self.clone()
        }
    }

    fn with_retention(&self, record: Record) -> StoredRecord {
        StoredRecord::new(record, Some(whole_seconds(self.retention)))
    }
}

/// What to reserve for a turn.
#[derive(Clone, Debug)]
pub struct ReservationRequest {
    /// The turn and its program.
    pub reserved: ReservedTurn,
    /// Maximum number of tokens of the turn.
    pub max_tokens: u32,
    /// Token budget of the program.
    pub budget: u64,
    /// Replica on which the turn is expected to run.
    pub placement: Option<Placement>,
    /// Time at which the turn has ended at the latest.
    pub deadline: Instant,
}

impl ReservationRequest {
    fn record(&self) -> StoredRecord {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let reserved = self.reserved.retained_for_further(time_left);
        reserved.with_retention(Record::Reserve {
            program: reserved.program.clone(),
            turn: reserved.turn.clone(),
            max_tokens: self.max_tokens,
        })
    }

    /// Returns whether this ledger leaves the turn's tokens.
    pub fn fits(&self, ledger: &LedgerView) -> bool {
        let others = ledger.total_excluding(&self.reserved.turn);
        others.saturating_add(self.max_tokens.into()) <= self.budget
    }

    /// Returns whether other turns have used too many tokens for good.
    pub fn can_never_fit(&self, ledger: &LedgerView) -> bool {
        let used = ledger.settled_excluding(&self.reserved.turn);
        used.saturating_add(self.max_tokens.into()) > self.budget
    }

    fn options(&self, rejection_delay: Duration) -> ReservationOptions {
        ReservationOptions {
            placement: self.placement,
            room: Some(LedgerRoom {
                max_others: self.budget.saturating_sub(self.max_tokens.into()),
                rejection_delay,
            }),
        }
    }

    async fn append(
        &self,
        stores: &GroupClients,
        rejection_delay: Duration,
        time_limit: Duration,
    ) -> Result<LedgerView, GroupError> {
        let options = self.options(rejection_delay);
        stores
            .append_with_options(self.record(), options, time_limit)
            .await
    }
}

/// Ledger of a program that includes the reservation of a turn.
pub struct ReservedLedger {
    /// The ledger, with every reservation that completed before this one.
    pub ledger: LedgerView,
    /// Set if the reservation has been received by a quorum but is not stored yet.
    pub pending: Option<PendingLedger>,
}

impl ReservedLedger {
    fn stored(ledger: LedgerView) -> Self {
        Self {
            ledger,
            pending: None,
        }
    }
}

/// A reservation that a quorum has received and that is being stored.
pub struct PendingLedger {
    /// The ledger at the time when a quorum had received the reservation.
    received_ledger: LedgerView,
    stored: oneshot::Receiver<Result<LedgerView, GroupError>>,
    stores: Rc<GroupClients>,
    request: ReservationRequest,
    deadline: Instant,
}

impl PendingLedger {
    /// Waits until the reservation is stored and returns the ledger that decides on it. Repeats the
    /// append until the deadline, since the turn may have run already.
    pub async fn wait(&mut self) -> Result<LedgerView, GroupError> {
        let stored = (&mut self.stored).await;
        let mut outcome = stored.unwrap_or(Err(GroupError::NoQuorum));
        while outcome.is_err() && Instant::now() + COMMIT_RETRY_DELAY < self.deadline {
            tokio::time::sleep(COMMIT_RETRY_DELAY).await;
            let time_limit = self.remaining().min(COMMIT_ATTEMPT_TIMEOUT);
            let append = self
                .request
                .append(&self.stores, REJECTION_DELAY, time_limit);
            outcome = append.await;
        }
        outcome
    }

    /// Waits like `wait`, for a turn that was granted. The stores that had received its
    /// reservation leave it room once they have all stored it, and turns that were rejected for it
    /// are refunded, so the stores are asked again for a while.
    async fn wait_for_granting_quorum(mut self) -> Result<LedgerView, GroupError> {
        let mut ledger = self.wait().await?;
        let until = self.deadline.min(Instant::now() + GRANT_RETRY_TIME);
        loop {
            ledger.merge_settlements(&self.received_ledger);
            let is_over = Instant::now() + COMMIT_RETRY_DELAY >= until;
            if is_over || self.request.fits(&ledger) || self.request.can_never_fit(&ledger) {
                return Ok(ledger);
            }
            tokio::time::sleep(COMMIT_RETRY_DELAY).await;
            let time_limit = until.saturating_duration_since(Instant::now());
            let append = self
                .request
                .append(&self.stores, REJECTION_DELAY, time_limit);
            ledger = append.await.unwrap_or(ledger);
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Stores a reservation. An outdated member list is replaced once by the newer one that came
/// with the rejection.
async fn store_reservation(
    stores: Rc<GroupClients>,
    request: ReservationRequest,
    time_limit: Duration,
    stored: oneshot::Sender<Result<LedgerView, GroupError>>,
) {
    let until = Instant::now() + time_limit;
    let append = || {
        let remaining = until.saturating_duration_since(Instant::now());
        request.append(&stores, REJECTION_DELAY.min(remaining / 2), remaining)
    };
    let mut ledger = append().await;
    if matches!(ledger, Err(GroupError::StaleMembers)) {
        ledger = append().await;
    }
    let _ = stored.send(ledger);
}

/// Check of a turn that was sent to a replica before its reservation was stored.
pub struct PendingCheck {
    /// The reservation that is being stored.
    pub ledger: PendingLedger,
}

impl PendingCheck {
    /// Waits until the reservation is stored; returns why the turn's output must not be
    /// forwarded, if so. Adds the ledger that decided to the request's `summary`.
    pub async fn wait(self, summary: &mut RequestSummary) -> Result<(), &'static str> {
        let request = self.ledger.request.clone();
        let ledger = match self.ledger.wait_for_granting_quorum().await {
            Ok(ledger) => ledger,
            Err(error) => {
                summary.ledger.push_str(&format!(" stored_error={error}"));
                return Err("not_reserved");
            }
        };
        let others = ledger.total_excluding(&request.reserved.turn);
        let turns = ledger.turns();
        let decision = format!(" stored_others={others} stored_turns={turns}");
        summary.ledger.push_str(&decision);
        match request.fits(&ledger) {
            true => Ok(()),
            false => Err("budget_spent_meanwhile"),
        }
    }
}

/// Reservation of a turn, refunded on drop if the turn was never run.
pub struct Reservation {
    history: Rc<History>,
    reserved: ReservedTurn,
    may_have_run: bool,
    end_reported: bool,
    pending_check: Option<PendingCheck>,
}

impl Reservation {
    /// Creates the reservation of a turn.
    pub fn new(history: Rc<History>, reserved: ReservedTurn) -> Self {
        Self {
            history,
            reserved,
            may_have_run: false,
            end_reported: false,
            pending_check: None,
        }
    }

    /// Sets the check that must pass before the turn's output is forwarded.
    pub fn set_pending_check(&mut self, check: PendingCheck) {
        self.pending_check = Some(check);
    }

    /// Takes the check that must pass before the turn's output is forwarded, if any.
    pub fn take_pending_check(&mut self) -> Option<PendingCheck> {
        self.pending_check.take()
    }

    /// Sets whether a replica may have run the turn. If so, the reservation is not
    /// refunded.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// Reports to the stores where the turn is going to run.
    pub fn report_placement(&self, placement: Placement) {
        let stores = &self.history.stores;
        let ReservedTurn { program, turn, .. } = &self.reserved;
        stores.report_placement(program, turn, placement);
    }

    /// Marks the end of the turn as reported by its stored record.
    pub fn mark_recorded(&mut self) {
        self.end_reported = true;
    }

    /// Settles a completed turn with the tokens that it used.
    pub fn settle(&mut self, used: u32) {
        self.may_have_run = true;
        self.end_reported = true;
        self.history.settle(&self.reserved, used);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.history.settle(&self.reserved, 0);
        } else if !self.end_reported {
            let stores = &self.history.stores;
            stores.report_turn_end(&self.reserved.program, &self.reserved.turn);
        }
    }
}

/// Builds the record of a turn.
pub fn build_turn_record(
    identifiers: &ScopedIdentifiers,
    input: Bytes,
    output: Vec<u8>,
    used: u32,
    retention: Duration,
) -> TurnRecord {
    TurnRecord {
        turn: identifiers.turn.clone(),
        program: identifiers.program.clone(),
        previous: identifiers.previous.clone().unwrap_or_default(),
        input: Blob(input),
        output: Blob::from(output),
        used_tokens: used,
        retention_seconds: whole_seconds(retention),
    }
}

/// Rounds a retention up, so that nothing is dropped before its end.
fn whole_seconds(retention: Duration) -> u32 {
    retention.as_secs_f64().ceil() as u32
}
