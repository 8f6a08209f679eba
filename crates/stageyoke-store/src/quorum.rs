//! Counts the answers of a group's members. Pure: whoever drives it sends the
//! calls and hands their answers in.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use stageyoke_directory::{Members, Quorums, StoreGroups, Tolerance};

use crate::group_client::GroupError;
use crate::keys::TurnKey;
use crate::message::{ChainPart, LedgerEntry, Refusal, Reply};
use stageyoke_types::Text;

/// A program's ledger, merged over a quorum.
#[derive(Clone, Debug, Default)]
pub struct LedgerView {
    entries: BTreeMap<u64, LedgerEntry>,
}

impl LedgerView {
    /// Takes one member's entries: a settled amount replaces a reservation.
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

    /// Tokens used and reserved by all turns but this one.
    pub fn total_excluding(&self, turn: &str) -> u64 {
        let TurnKey(turn) = TurnKey::of(turn);
        self.entries
            .values()
            .filter(|entry| entry.turn != turn)
            .map(|entry| u64::from(entry.amount))
            .sum()
    }

    /// Turns of the ledger.
    pub fn turns(&self) -> usize {
        self.entries.len()
    }
}

/// The answers to one append. It is kept once a write quorum of the member list
/// by which it was sent, and of the members before while that list is being
/// changed, has it on disk; a reservation's quorum consists of complete members,
/// since their ledgers decide.
#[derive(Debug)]
pub struct AppendTally {
    members: Rc<Members>,
    quorums: Quorums,
    reads_ledger: bool,
    keeping: BTreeSet<Text>,
    ledger: LedgerView,
    error: GroupError,
    newer: Option<StoreGroups>,
}

impl AppendTally {
    /// No answer yet. Fails where the list is too small for the tolerance.
    pub fn new(
        members: &Rc<Members>,
        tolerance: &Tolerance,
        reads_ledger: bool,
    ) -> Result<Self, GroupError> {
        Ok(Self {
            members: members.clone(),
            quorums: members.quorums(tolerance).ok_or(GroupError::NoGroup)?,
            reads_ledger,
            keeping: BTreeSet::new(),
            ledger: LedgerView::default(),
            error: GroupError::NoQuorum,
            newer: None,
        })
    }

    /// Takes an answer of the member on this machine, which counts once.
    pub fn add_reply(&mut self, member: &Text, reply: Reply) {
        match reply {
            Reply::Stored {
                complete, ledger, ..
            } => {
                self.ledger.merge(ledger);
                if complete || !self.reads_ledger {
                    self.keeping.insert(member.clone());
                }
            }
            Reply::StaleMembers(newer) => {
                let known = self.newer.as_ref().map_or(0, |known| known.version);
                if newer.version > known {
                    self.newer = Some(newer);
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

    /// Whether a write quorum has kept it.
    pub fn is_stored(&self) -> bool {
        self.members
            .has_quorum(self.quorums, |member| self.keeping.contains(&member.node))
    }

    /// Newer store groups that came with a refusal.
    pub fn take_newer_stores(&mut self) -> Option<StoreGroups> {
        self.newer.take()
    }

    /// The ledger, or why no quorum has kept it.
    pub fn outcome(self) -> Result<LedgerView, GroupError> {
        match self.is_stored() {
            true => Ok(self.ledger),
            false => Err(self.error),
        }
    }
}

/// What a group's answers say of one turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// It is held, with these turns before it.
    Parts {
        /// Newest first.
        found: Vec<ChainPart>,
        /// The first turn that is not among them; empty if the chain is whole.
        missing: Text,
    },
    /// No member's disk can hold it.
    Absent,
    /// Not known yet.
    Unknown,
}

/// The answers to the question for one chain. Absence is known once so many
/// complete members miss the turn, of the list and of the members before, that no
/// write quorum can have kept it, by this list or by a newer one.
#[derive(Debug)]
pub struct ChainTally {
    members: Rc<Members>,
    quorums: Quorums,
    missing: BTreeSet<Text>,
    found: Option<(Vec<ChainPart>, Text)>,
    newer: Option<StoreGroups>,
}

impl ChainTally {
    /// No answer yet; `None` where the list is too small for the tolerance.
    pub fn new(members: &Rc<Members>, tolerance: &Tolerance) -> Option<Self> {
        Some(Self {
            members: members.clone(),
            quorums: members.quorums(tolerance)?,
            missing: BTreeSet::new(),
            found: None,
            newer: None,
        })
    }

    /// Takes an answer of the member on this machine, which counts once.
    pub fn add_reply(&mut self, member: &Text, reply: Reply) {
        let (complete, parts, missing) = match reply {
            Reply::Chain {
                complete,
                parts,
                missing,
            } => (complete, parts, missing),
            Reply::StaleMembers(newer) => {
                self.newer = Some(newer);
                return;
            }
            _ => return,
        };
        if parts.is_empty() {
            if complete {
                self.missing.insert(member.clone());
            }
        } else if self.found.is_none() {
            self.found = Some((parts.0, missing));
        }
    }

    /// Newer store groups that came in place of an answer.
    pub fn take_newer_stores(&mut self) -> Option<StoreGroups> {
        self.newer.take()
    }

    fn absent(&self) -> bool {
        self.members
            .has_quorum(self.quorums, |member| self.missing.contains(&member.node))
    }

    /// What is known now.
    pub fn step(&mut self) -> ChainLookup {
        match self.found.take() {
            Some((found, missing)) => ChainLookup::Parts { found, missing },
            None if self.absent() => ChainLookup::Absent,
            None => ChainLookup::Unknown,
        }
    }
}
