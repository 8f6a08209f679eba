//! Counts the replies of a group's members. Pure: the caller sends the requests and passes
//! the replies in.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use stageyoke_directory::{Members, Quorums, StoreGroups, Tolerance};

use crate::group_client::GroupError;
use crate::keys::TurnKey;
use crate::message::{ChainPart, LedgerEntry, Refusal, Reply};
use stageyoke_types::Text;

/// A program's ledger, merged from the replies of a quorum.
#[derive(Clone, Debug, Default)]
pub struct LedgerView {
    entries: BTreeMap<u64, LedgerEntry>,
}

impl LedgerView {
    /// Adds one member's entries. A settled amount replaces a reservation.
    pub fn merge(&mut self, entries: impl IntoIterator<Item = LedgerEntry>) {
        for entry in entries {
            match self.entries.get(&entry.turn) {
                Some(known) if known.settled || !entry.settled => {}
                _ => {
                    self.entries.insert(entry.turn, entry);
                }
            }
        }
    }

    /// Tokens that all turns except this one have used or reserved.
    pub fn total_excluding(&self, turn: &str) -> u64 {
        let TurnKey(turn) = TurnKey::of(turn);
        self.entries
            .values()
            .filter(|entry| entry.turn != turn)
            .map(|entry| u64::from(entry.amount))
            .sum()
    }

    /// Returns whether the ledger has an entry for this turn.
    pub fn contains(&self, turn: &str) -> bool {
        let TurnKey(turn) = TurnKey::of(turn);
        self.entries.contains_key(&turn)
    }

    /// Number of turns in the ledger.
    pub fn turns(&self) -> usize {
        self.entries.len()
    }
}

/// Replies to one append. The record is durable once a write quorum of the member list in use
/// has it on disk, and during a change also one of the list before it. For a reservation only
/// complete members count, since their ledgers decide on the budget.
#[derive(Debug)]
pub struct AppendTally {
    members: Rc<Members>,
    quorums: Quorums,
    reads_ledger: bool,
    stored_on: BTreeSet<Text>,
    ledger: LedgerView,
    error: GroupError,
    newer_stores: Option<StoreGroups>,
}

impl AppendTally {
    /// Creates a tally without replies. Fails if the list is too small for the tolerance.
    pub fn new(
        members: &Rc<Members>,
        tolerance: &Tolerance,
        reads_ledger: bool,
    ) -> Result<Self, GroupError> {
        Ok(Self {
            members: members.clone(),
            quorums: members.quorums(tolerance).ok_or(GroupError::NoGroup)?,
            reads_ledger,
            stored_on: BTreeSet::new(),
            ledger: LedgerView::default(),
            error: GroupError::NoQuorum,
            newer_stores: None,
        })
    }

    /// Adds the reply of the member on this machine. Repeated replies count once.
    pub fn add_reply(&mut self, member: &Text, reply: Reply) {
        match reply {
            Reply::Stored {
                complete, ledger, ..
            } => {
                self.ledger.merge(ledger);
                if complete || !self.reads_ledger {
                    self.stored_on.insert(member.clone());
                }
            }
            Reply::StaleMembers(newer) => {
                let known = self.newer_stores.as_ref().map_or(0, |known| known.version);
                if newer.version > known {
                    self.newer_stores = Some(newer);
                }
                self.error = GroupError::StaleMembers;
            }
            Reply::Refused(Refusal::DiskRefused) => self.error = GroupError::DiskRefused,
            Reply::Refused(Refusal::MemoryFull) => self.error = GroupError::MemoryFull,
            Reply::Refused(Refusal::NotAMember)
            | Reply::Chain { .. }
            | Reply::Digests { .. }
            | Reply::Quota(_)
            | Reply::Pong
            | Reply::Items(_)
            | Reply::Changes { .. }
            | Reply::Routes { .. }
            | Reply::Directory { .. }
            | Reply::DirectoryUnknown
            | Reply::Stores(_)
            | Reply::Fetched { .. } => {}
        }
    }

    /// Checks whether a write quorum has stored the record.
    pub fn is_stored(&self) -> bool {
        self.members
            .has_quorum(self.quorums, |member| self.stored_on.contains(&member.node))
    }

    /// Takes the newer store groups that came with a rejection.
    pub fn take_newer_stores(&mut self) -> Option<StoreGroups> {
        self.newer_stores.take()
    }

    /// Returns the merged ledger, or the reason why no quorum has stored the record.
    pub fn outcome(self) -> Result<LedgerView, GroupError> {
        match self.is_stored() {
            true => Ok(self.ledger),
            false => Err(self.error),
        }
    }
}

/// Replies to a query for a program's ledger before its newest reservation is on disk. The
/// ledger holds every reservation that a write quorum received earlier once a write quorum
/// has received this one.
#[derive(Debug)]
pub struct UnsyncedTally {
    members: Rc<Members>,
    quorums: Quorums,
    turn: Text,
    received_by: BTreeSet<Text>,
    ledger: LedgerView,
}

impl UnsyncedTally {
    /// Creates a tally for the reservation of `turn`; `None` if the list is too small for the
    /// tolerance.
    pub fn new(members: &Rc<Members>, tolerance: &Tolerance, turn: &Text) -> Option<Self> {
        Some(Self {
            members: members.clone(),
            quorums: members.quorums(tolerance)?,
            turn: turn.clone(),
            received_by: BTreeSet::new(),
            ledger: LedgerView::default(),
        })
    }

    /// Adds the ledger of a complete member. It counts only if it has the reservation.
    pub fn add_ledger(&mut self, member: &Text, entries: impl IntoIterator<Item = LedgerEntry>) {
        let mut ledger = LedgerView::default();
        ledger.merge(entries);
        if ledger.contains(&self.turn) {
            self.received_by.insert(member.clone());
            self.ledger.merge(ledger.entries.into_values());
        }
    }

    /// Returns the merged ledger once a write quorum has received the reservation.
    pub fn ledger(&self) -> Option<LedgerView> {
        let has_quorum = self.members.has_quorum(self.quorums, |member| {
            self.received_by.contains(&member.node)
        });
        has_quorum.then(|| self.ledger.clone())
    }
}

/// Result of looking up one turn in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// The turn is stored, with these predecessors.
    Parts {
        /// Turns from the requested one backwards.
        found: Vec<ChainPart>,
        /// First turn that is not among them; empty if the chain is complete.
        missing: Text,
    },
    /// No member can hold the turn.
    Absent,
    /// The replies so far are not conclusive.
    Unknown,
}

/// Replies to one chain lookup. The turn is absent once enough complete members lack it, in
/// the member list in use and in the one before it, to rule out that a write quorum stored it
/// under this list or a newer one.
#[derive(Debug)]
pub struct ChainTally {
    members: Rc<Members>,
    quorums: Quorums,
    missing_on: BTreeSet<Text>,
    found: Option<(Vec<ChainPart>, Text)>,
    newer_stores: Option<StoreGroups>,
}

impl ChainTally {
    /// Creates a tally without replies; `None` if the list is too small for the tolerance.
    pub fn new(members: &Rc<Members>, tolerance: &Tolerance) -> Option<Self> {
        Some(Self {
            members: members.clone(),
            quorums: members.quorums(tolerance)?,
            missing_on: BTreeSet::new(),
            found: None,
            newer_stores: None,
        })
    }

    /// Adds the reply of the member on this machine. Repeated replies count once.
    pub fn add_reply(&mut self, member: &Text, reply: Reply) {
        let (complete, parts, missing) = match reply {
            Reply::Chain {
                complete,
                parts,
                missing,
            } => (complete, parts, missing),
            Reply::StaleMembers(newer) => {
                self.newer_stores = Some(newer);
                return;
            }
            _ => return,
        };
        if parts.is_empty() {
            if complete {
                self.missing_on.insert(member.clone());
            }
        } else if self.found.is_none() {
            self.found = Some((parts.0, missing));
        }
    }

    /// Takes the newer store groups that came in place of a reply.
    pub fn take_newer_stores(&mut self) -> Option<StoreGroups> {
        self.newer_stores.take()
    }

    fn is_absent(&self) -> bool {
        self.members.has_quorum(self.quorums, |member| {
            self.missing_on.contains(&member.node)
        })
    }

    /// Returns the result that the replies so far allow.
    pub fn step(&mut self) -> ChainLookup {
        match self.found.take() {
            Some((found, missing)) => ChainLookup::Parts { found, missing },
            None if self.is_absent() => ChainLookup::Absent,
            None => ChainLookup::Unknown,
        }
    }
}
