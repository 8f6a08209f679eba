//! Stores a turn together with the chain of turns that it continues.
//!
//! A chain may have begun in another group, or have expired while the turn ran. Members tell what
//! they lack of it, and the front, which has read the whole chain for the replica, stores copies in
//! the turn's own group. From then on the chain is retained there as long as the turn.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_observe as observe;
use stageyoke_types::Text;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::group_client::{AppendOutcome, GroupClient, GroupError, ReservationOptions};
use crate::group_clients::GroupClients;
use crate::keys::TurnKey;
use crate::message::{ChainPart, Record, TurnRecord};
use crate::stored_record::StoredRecord;

impl GroupClients {
    /// Stores a turn and returns once a write quorum of its group has it on disk with its whole
    /// chain. `chain` contains the earlier turns, oldest first.
    pub async fn append_turn(
        &self,
        record: &TurnRecord,
        chain: &[ChainPart],
        time_limit: Duration,
    ) -> Result<(), GroupError> {
        let deadline = Instant::now() + time_limit;
        let turn = Record::Turn(record.clone());
        let group = self.require_group_of(&turn)?;
        let outcome = self.append_until(&group, turn.clone(), deadline).await?;
        if outcome.missing_of_chain.is_empty() {
            return Ok(());
        }
        let copies = copies_of(chain, &outcome.missing_of_chain, record.retention_seconds);
        let copies = copies.ok_or(GroupError::IncompleteChain)?;
        observe::metrics().copied_turns.inc_by(copies.len() as u64);
        append_all(&group, copies, deadline).await?;
        // Extends the retention of the copies, and tells whether a quorum holds the chain now.
        let outcome = self.append_until(&group, turn, deadline).await?;
        match outcome.missing_of_chain.is_empty() {
            true => Ok(()),
            false => Err(GroupError::NoQuorum),
        }
    }

    async fn append_until(
        &self,
        group: &GroupClient,
        record: Record,
        deadline: Instant,
    ) -> Result<AppendOutcome, GroupError> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let options = ReservationOptions::default();
        self.append_to_group(group, StoredRecord::from(record), options, time_left)
            .await
    }
}

/// Returns copies of the newest missing turn and of all turns before it, since members tell only the
/// newest one that they lack; `None` if a missing turn is not in the chain.
pub fn copies_of(
    chain: &[ChainPart],
    missing: &BTreeSet<TurnKey>,
    retention_seconds: u32,
) -> Option<Vec<TurnRecord>> {
    let position = |key: &TurnKey| {
        let mut parts = chain.iter();
        parts.position(|part| TurnKey::of(&part.turn) == *key)
    };
    let positions: Option<Vec<usize>> = missing.iter().map(position).collect();
    let newest = positions?.into_iter().max()?;
    let copies = chain[..=newest].iter();
    Some(
        copies
            .map(|part| copy_of(part, retention_seconds))
            .collect(),
    )
}

/// Returns the copy of a turn. It names no program, since its tokens are counted by the group of the
/// turn's own program.
fn copy_of(part: &ChainPart, retention_seconds: u32) -> TurnRecord {
    TurnRecord {
        turn: part.turn.clone(),
        program: Text::default(),
        previous: part.previous.clone(),
        input: part.input.clone(),
        output: part.output.clone(),
        used_tokens: 0,
        retention_seconds,
    }
}

/// Appends turns at the same time, so that the members sync them together.
async fn append_all(
    group: &Rc<GroupClient>,
    turns: Vec<TurnRecord>,
    deadline: Instant,
) -> Result<(), GroupError> {
    let mut appends = JoinSet::new();
    for turn in turns {
        let group = group.clone();
        appends.spawn_local(async move {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let record = StoredRecord::from(Record::Turn(turn));
            let options = ReservationOptions::default();
            group.append(record, options, time_left).await
        });
    }
    while let Some(appended) = appends.join_next().await {
        appended.unwrap_or(Err(GroupError::NoQuorum))?;
    }
    Ok(())
}
