//! Turns and budgets of programs: the reservation before a turn runs, the transcript that
//! it continues, and its record before the response ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stageyoke_observe::metrics;
use stageyoke_store::keys::TurnKey;
use stageyoke_store::message::{ChainPart, Placement};
use stageyoke_store::{
    ChainOutcome, GroupClients, GroupError, LedgerView, RecentTurns, Record, TurnRecord,
};
use stageyoke_types::{Blob, Text};
use tokio::time::Instant;

use crate::request::ScopedIdentifiers;

/// Size of the cache of recent turns.
const TURN_CACHE_BYTES: usize = 6 * 1024 * 1024;
/// Timeout of one attempt to commit a turn.
const COMMIT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Timeout of a settlement.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Result of reading a transcript.
pub enum Transcript {
    /// Inputs and outputs of the chain of turns, oldest first.
    Found(Bytes),
    /// No stored turn has this identifier.
    Absent,
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
    /// Creates a history on these store groups.
    pub fn new(stores: Rc<GroupClients>) -> Self {
        Self {
            stores,
            cache: RefCell::new(RecentTurns::new(TURN_CACHE_BYTES)),
        }
    }

    /// Returns the transcript of this program up to and including `turn`.
    pub async fn read_transcript(
        &self,
        program: &str,
        turn: &Text,
        time_limit: Duration,
    ) -> Transcript {
        let mut parts = self.cached_chain(turn);
        let first_missing = match parts.last() {
            None => turn.clone(),
            Some(last) => last.previous.clone(),
        };
        if !first_missing.is_empty() {
            match self.stores.chain(program, &first_missing, time_limit).await {
                ChainOutcome::Complete(rest) => parts.extend(rest),
                ChainOutcome::Absent(absent) if absent == *turn => return Transcript::Absent,
                // An ancestor of an existing turn must exist, so its absence proves
                // nothing.
                ChainOutcome::Absent(_) | ChainOutcome::Unknown => return Transcript::Unknown,
            }
        }
        let mut text = BytesMut::new();
        for part in parts.iter().rev() {
            text.extend_from_slice(&part.input);
            text.extend_from_slice(&part.output);
        }
        let mut cache = self.cache.borrow_mut();
        for part in parts {
            cache.insert(part);
        }
        Transcript::Found(text.freeze())
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

    /// Reserves the maximum number of tokens of a turn. The returned ledger includes every
    /// reservation that completed before this one.
    pub async fn reserve(
        &self,
        program: &Text,
        turn: &Text,
        max_tokens: u32,
        placement: Option<Placement>,
        time_limit: Duration,
    ) -> Result<LedgerView, GroupError> {
        let record = Record::Reserve {
            program: program.clone(),
            turn: turn.clone(),
            max_tokens,
        };
        let started = Instant::now();
        let ledger = self
            .stores
            .append_with_placement(record, placement, time_limit)
            .await;
        metrics()
            .reserve_seconds
            .observe(started.elapsed().as_secs_f64());
        ledger
    }

    /// Settles a reservation in the background.
    pub fn settle(&self, program: &Text, turn: &Text, used: u32) {
        let record = Record::Settle {
            program: program.clone(),
            turn: turn.clone(),
            used_tokens: used,
        };
        self.stores.append_in_background(record, SETTLE_TIMEOUT);
    }

    /// Commits a completed turn, and returns once a write quorum has stored it durably.
    pub async fn commit(&self, record: TurnRecord, deadline: Instant) -> Result<(), GroupError> {
        let started = Instant::now();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let time_limit = remaining.min(COMMIT_ATTEMPT_TIMEOUT);
            let error = match self
                .stores
                .append(Record::Turn(record.clone()), time_limit)
                .await
            {
                Ok(_) => break,
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

/// Reservation of a turn, refunded on drop if the turn was never run.
pub struct Reservation {
    history: Rc<History>,
    program: Text,
    turn: Text,
    may_have_run: bool,
    end_reported: bool,
}

impl Reservation {
    /// Creates the reservation of `turn` of `program`.
    pub fn new(history: Rc<History>, program: Text, turn: Text) -> Self {
        Self {
            history,
            program,
            turn,
            may_have_run: false,
            end_reported: false,
        }
    }

    /// Sets whether a replica may have run the turn. If so, the reservation is not
    /// refunded.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// Reports to the stores where the turn is going to run.
    pub fn report_placement(&self, placement: Placement) {
        let stores = &self.history.stores;
        stores.report_placement(&self.program, &self.turn, placement);
    }

    /// Marks the end of the turn as reported by its stored record.
    pub fn mark_recorded(&mut self) {
        self.end_reported = true;
    }

    /// Settles a completed turn with the tokens that it used.
    pub fn settle(&mut self, used: u32) {
        self.may_have_run = true;
        self.end_reported = true;
        self.history.settle(&self.program, &self.turn, used);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.history.settle(&self.program, &self.turn, 0);
        } else if !self.end_reported {
            let stores = &self.history.stores;
            stores.report_turn_end(&self.program, &self.turn);
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
        retention_seconds: retention.as_secs_f64().ceil() as u32,
    }
}
