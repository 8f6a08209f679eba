//! The in-memory part of a shard's log: the entries after the last snapshot.

use std::collections::VecDeque;

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, NodeId, Term};

use crate::program::Command;

/// Position in the log, from 1; 0 stands before the first entry.
pub type LogIndex = u64;

/// What one entry carries.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Payload {
    /// Nothing: opens a term, or serves as a read barrier.
    Empty,
    /// A change of the shard's programs.
    Command(Command),
    /// The replica group from this entry on.
    Voters(List<NodeId>),
}

/// One position of the log.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Position.
    pub index: LogIndex,
    /// Content.
    pub payload: Payload,
}

/// Entries after a snapshot point. Invariant: entry `i` of the queue has index
/// `base_index + 1 + i`.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedLog {
    base_index: LogIndex,
    base_term: Term,
    base_voters: Vec<NodeId>,
    entries: VecDeque<Entry>,
}

impl ReplicatedLog {
    /// A log that starts after a snapshot taken at the given point.
    pub fn starting_at(index: LogIndex, term: Term, voters: Vec<NodeId>) -> Self {
        Self {
            base_index: index,
            base_term: term,
            base_voters: voters,
            entries: VecDeque::new(),
        }
    }

    /// Index of the last entry, or of the snapshot if there is none after it.
    pub fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry or of the snapshot.
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Index covered by the snapshot.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry at an index, if it is still held.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Term at an index, if known.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Up to `limit` entries from `first` on.
    pub fn slice(&self, first: LogIndex, limit: usize) -> List<Entry> {
        let skip = first.saturating_sub(self.base_index + 1) as usize;
        self.entries
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Appends an entry, which must carry the next index.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes every entry from `first` on.
    pub fn truncate_from(&mut self, first: LogIndex) {
        let keep = first.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// The replica group in force at the end of the log.
    pub fn voters(&self) -> &[NodeId] {
        self.voters_through(self.last_index())
    }

    /// The replica group in force at an index.
    pub fn voters_through(&self, index: LogIndex) -> &[NodeId] {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index)
            .find_map(|entry| match &entry.payload {
                Payload::Voters(voters) => Some(voters.as_slice()),
                _ => None,
            })
            .unwrap_or(&self.base_voters)
    }

    /// True if an entry after `commit` changes the group.
    pub fn has_uncommitted_voters(&self, commit: LogIndex) -> bool {
        self.entries
            .iter()
            .rev()
            .take_while(|entry| entry.index > commit)
            .any(|entry| matches!(entry.payload, Payload::Voters(_)))
    }

    /// Drops entries through `index`, which a snapshot now covers.
    pub fn compact_through(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let voters = self.voters_through(index).to_vec();
        let drop_count = index.saturating_sub(self.base_index) as usize;
        self.entries.drain(..drop_count.min(self.entries.len()));
        self.base_index = index;
        self.base_term = term;
        self.base_voters = voters;
    }
}
