//! A shard's records as read back after a restart.

use stageyoke_types::{List, Term};

use crate::replication::{HardState, LogIndex, LogRecord, Remnant, SnapshotImage};

/// A shard's records as read back from disk.
#[derive(Clone, Debug, Default)]
pub struct StoredShard {
    /// Term and vote.
    pub hard: HardState,
    /// Latest snapshot.
    pub image: SnapshotImage,
    /// Entries after it.
    pub entries: List<crate::replication::Entry>,
    /// What was kept when the node was last removed from the group.
    pub remnant: Remnant,
}

impl StoredShard {
    fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.image.term, |entry| entry.term)
    }

    /// Whether the entry of a term at a position is here, in the log or within
    /// the snapshot.
    pub fn holds(&self, index: LogIndex, term: Term) -> bool {
        let mut entries = self.entries.iter();
        let is_base = (self.image.index, self.image.term) == (index, term);
        let logged = entries.any(|entry| (entry.index, entry.term) == (index, term));
        self.image.index > index || is_base || logged
    }

    /// Last position held.
    pub fn last_index(&self) -> LogIndex {
        self.entries
            .last()
            .map_or(self.image.index, |entry| entry.index)
    }

    /// Takes in the next record of the log.
    pub fn absorb(&mut self, record: LogRecord) {
        match record {
            LogRecord::HardState { state, .. } => self.hard = state,
            LogRecord::Append { entries, .. } => {
                if let Some(first) = entries.first().map(|entry| entry.index) {
                    self.entries.retain(|entry| entry.index < first);
                }
                self.entries.extend(entries);
            }
            // Entries before this record may conflict with the snapshot; those
            // that follow it are written again after it.
            LogRecord::Snapshot { image, .. } => {
                self.entries = List::default();
                self.image = image;
            }
            LogRecord::Dropped { .. } => {
                let held = (self.last_term(), self.last_index());
                let before = (self.remnant.last_term, self.remnant.last_index);
                let (last_term, last_index) = held.max(before);
                let remnant = Remnant {
                    hard: self.hard,
                    last_term,
                    last_index,
                };
                *self = Self {
                    hard: remnant.hard,
                    remnant,
                    ..Self::default()
                };
            }
        }
    }
}
