//! Turns and budgets of programs: reservations before a turn runs, its record
//! before its answer ends, and the chain that it goes on from.

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

/// Bytes of recent turns that a front keeps to spare reads.
const TURN_CACHE_BYTES: usize = 6 * 1024 * 1024;
/// One try of a commit.
const COMMIT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long a settlement is tried.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// What came of looking for a chain.
pub enum Transcript {
    /// The inputs and outputs of the chain, oldest first.
    Found(Bytes),
    /// No kept turn has this identifier.
    Absent,
    /// It cannot be known now.
    Unknown,
}

/// History and budgets, through the store groups.
pub struct History {
    /// The store groups.
    pub stores: Rc<GroupClients>,
    cache: RefCell<RecentTurns>,
}

impl History {
    /// History kept by these groups.
    pub fn new(stores: Rc<GroupClients>) -> Self {
        Self {
            stores,
            cache: RefCell::new(RecentTurns::new(TURN_CACHE_BYTES)),
        }
    }

    /// Everything that was said up to and including `turn`, from which this
    /// program goes on.
    pub async fn transcript(&self, program: &str, turn: &Text, within: Duration) -> Transcript {
        let mut parts = self.cached_chain(turn);
        let missing = match parts.last() {
            None => turn.clone(),
            Some(last) => last.previous.clone(),
        };
        if !missing.is_empty() {
            match self.stores.chain(program, &missing, within).await {
                ChainOutcome::Complete(rest) => parts.extend(rest),
                ChainOutcome::Absent(absent) if absent == *turn => return Transcript::Absent,
                // An ancestor of a turn that exists is never simply absent.
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

    /// Reserves a turn's most tokens; the ledger shows every reservation that
    /// was complete before this one.
    pub async fn reserve(
        &self,
        program: &Text,
        turn: &Text,
        most: u32,
        placement: Option<Placement>,
        within: Duration,
    ) -> Result<LedgerView, GroupError> {
        let record = Record::Reserve {
            program: program.clone(),
            turn: turn.clone(),
            max_tokens: most,
        };
        let began = Instant::now();
        let ledger = self
            .stores
            .append_with_placement(record, placement, within)
            .await;
        metrics()
            .reserve_seconds
            .observe(began.elapsed().as_secs_f64());
        ledger
    }

    /// Settles a reservation without waiting.
    pub fn settle(&self, program: &Text, turn: &Text, used: u32) {
        let record = Record::Settle {
            program: program.clone(),
            turn: turn.clone(),
            used_tokens: used,
        };
        self.stores.append_in_background(record, SETTLE_TIMEOUT);
    }

    /// Keeps a finished turn; returns once a write quorum has it on disk.
    pub async fn commit(&self, record: TurnRecord, deadline: Instant) -> Result<(), GroupError> {
        let began = Instant::now();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let within = left.min(COMMIT_ATTEMPT_TIMEOUT);
            let error = match self
                .stores
                .append(Record::Turn(record.clone()), within)
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
            .observe(began.elapsed().as_secs_f64());
        self.cache.borrow_mut().insert(ChainPart {
            turn: record.turn,
            previous: record.previous,
            input: record.input,
            output: record.output,
        });
        Ok(())
    }
}

/// A turn's reservation; given back if the turn is never run.
pub struct Reservation {
    history: Rc<History>,
    program: Text,
    turn: Text,
    may_have_run: bool,
    end_reported: bool,
}

impl Reservation {
    /// The reservation of `turn` of `program`.
    pub fn new(history: Rc<History>, program: Text, turn: Text) -> Self {
        Self {
            history,
            program,
            turn,
            may_have_run: false,
            end_reported: false,
        }
    }

    /// Says whether a replica may have run the turn.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// The turn is to run there.
    pub fn report_placement(&self, placement: Placement) {
        let stores = &self.history.stores;
        stores.report_placement(&self.program, &self.turn, placement);
    }

    /// The turn's record tells that it is over.
    pub fn mark_recorded(&mut self) {
        self.end_reported = true;
    }

    /// Settles the turn, which has ended whole.
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

/// The record of a turn.
pub fn turn_record(
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
