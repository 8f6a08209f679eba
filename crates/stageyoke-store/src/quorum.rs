//! Counts the replies of a group's members. Pure: the caller sends the requests and passes
//! the replies in.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Members, Quorums, StoreGroups, Tolerance};

use crate::group_client::GroupError;
use crate::keys::TurnKey;
use crate::message::{ChainPart, LedgerEntry, Refusal, Reply};
use stageyoke_types::{List, Text};

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

    /// Adopts the settlements of another view of the same ledger.
    pub fn merge_settlements(&mut self, other: &Self) {
        for (turn, entry) in &other.entries {
            if entry.settled && self.entries.contains_key(turn) {
                self.merge([*entry]);
            }
        }
    }

    fn restricted_to(&self, turns: &BTreeSet<u64>) -> Self {
        let entries = self.entries.iter();
        let entries = entries.filter(|(turn, _)| turns.contains(turn));
        Self {
            entries: entries.map(|(turn, entry)| (*turn, *entry)).collect(),
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

    /// Tokens that all other turns have used for good.
    pub fn settled_excluding(&self, turn: &str) -> u64 {
        let TurnKey(turn) = TurnKey::of(turn);
        let entries = self.entries.values();
        let others = entries.filter(|entry| entry.turn != turn && entry.settled);
        others.map(|entry| u64::from(entry.amount)).sum()
    }

    /// Returns whether the ledger has an entry for this turn.
    pub fn contains(&self, turn: &str) -> bool {
        let TurnKey(turn) = TurnKey::of(turn);
        self.entries.contains_key(&turn)
    }

    /// Returns whether this turn is settled.
    pub fn is_settled(&self, turn: &str) -> bool {
        let TurnKey(turn) = TurnKey::of(turn);
        self.entries.get(&turn).is_some_and(|entry| entry.settled)
    }

    /// Number of turns in the ledger.
    pub fn turns(&self) -> usize {
        self.entries.len()
    }
}

/// Room that other turns must leave for a turn to be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerRoom {
    /// Most tokens that other turns may have used or reserved.
    pub max_others: u64,
    /// Time for which further members may answer after a write quorum whose ledgers leave too
    /// little.
    pub rejection_delay: Duration,
}

/// Turns in the ledger of one member.
#[derive(Debug)]
struct MemberLedger {
    /// All turns, in the order in which the member has received them.
    turns: Vec<u64>,
    /// Number of the first turns that came before the reservation.
    earlier: usize,
}

/// Largest number of members of which every quorum is considered. Beyond it, one fitting quorum
/// may be missed, and a turn rejected for it.
const MAX_COMPARED_MEMBERS: usize = 10;

/// Replies to one append. The record is durable once a write quorum of the member list in use
/// has it on disk, and during a change also one of the list before it. For a reservation only
/// complete members count, since their ledgers decide on the budget.
///
/// Of a member's ledger only the entries count that it has received before the reservation, as far
/// as it tells their order. Two quorums share a member, and one of two reservations came first
/// there. So of any two turns at least one counts the other, whichever quorums decide on them, and
/// one that came later at all members never changes a decision.
#[derive(Debug)]
pub struct AppendTally {
    members: Rc<Members>,
    quorums: Quorums,
    reads_ledger: bool,
    stored_on: BTreeSet<Text>,
    /// Ledgers of the members that have stored the record.
    member_ledgers: BTreeMap<Text, MemberLedger>,
    /// All entries, with settled amounts where any member knows them.
    amounts: LedgerView,
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
            member_ledgers: BTreeMap::new(),
            amounts: LedgerView::default(),
            error: GroupError::NoQuorum,
            newer_stores: None,
        })
    }

    /// Adds the reply of the member on this machine, whose whole ledger came before the
    /// reservation as far as is known. Repeated replies count once.
    pub fn add_reply(&mut self, member: &Text, reply: Reply) {
        self.add_ordered_reply(member, reply, 0);
    }

    /// Adds a reply like `add_reply`, of which the last `later_entries` entries of the ledger
    /// came after the reservation.
    pub fn add_ordered_reply(&mut self, member: &Text, reply: Reply, later_entries: usize) {
        match reply {
            Reply::Stored {
                complete,
                ledger: List(entries),
                ..
            } => {
                if complete || !self.reads_ledger {
                    self.stored_on.insert(member.clone());
                    let ledger = MemberLedger {
                        turns: entries.iter().map(|entry| entry.turn).collect(),
                        earlier: entries.len().saturating_sub(later_entries),
                    };
                    self.member_ledgers.insert(member.clone(), ledger);
                }
                self.amounts.merge(entries);
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
        self.is_quorum(&self.stored_on)
    }

    /// Checks whether a write quorum of other members than these has stored the record.
    pub fn is_stored_without(&self, excluded: &BTreeSet<Text>) -> bool {
        self.is_quorum(&self.stored_on.difference(excluded).cloned().collect())
    }

    /// Takes the newer store groups that came with a rejection.
    pub fn take_newer_stores(&mut self) -> Option<StoreGroups> {
        self.newer_stores.take()
    }

    /// Returns the ledger of a write quorum that has stored the reservation of `turn` and leaves
    /// the room, if there is one.
    pub fn fitting_ledger(&self, turn: &str, room: LedgerRoom) -> Option<LedgerView> {
        let fits = |ledger: &LedgerView| ledger.total_excluding(turn) <= room.max_others;
        let whole = self.ledger_of(&self.stored_on, turn);
        if self.is_stored() && fits(&whole) {
            return Some(whole);
        }
        let leaving_room = |member: &&Text| !self.exceeds_alone(member, turn, room);
        let candidates: Vec<&Text> = self.stored_on.iter().filter(leaving_room).collect();
        if candidates.len() > MAX_COMPARED_MEMBERS {
            return None;
        }
        let subsets = 1..1_usize << candidates.len();
        let mut quorums = subsets
            .map(|subset| {
                let chosen = (0..candidates.len()).filter(|index| subset >> index & 1 == 1);
                chosen.map(|index| candidates[index].clone()).collect()
            })
            .filter(|chosen| self.is_quorum(chosen));
        quorums.find_map(|chosen| Some(self.ledger_of(&chosen, turn)).filter(fits))
    }

    /// Returns whether further replies may still complete a write quorum that leaves the room.
    pub fn may_still_fit(&self, turn: &str, room: LedgerRoom) -> bool {
        self.members.has_quorum(self.quorums, |member| {
            !self.exceeds_alone(&member.node, turn, room)
        })
    }

    /// Returns whether a member's ledger alone leaves too little room.
    fn exceeds_alone(&self, member: &Text, turn: &str, room: LedgerRoom) -> bool {
        let ledger = self.ledger_of(&BTreeSet::from([member.clone()]), turn);
        ledger.total_excluding(turn) > room.max_others
    }

    fn is_quorum(&self, chosen: &BTreeSet<Text>) -> bool {
        self.members
            .has_quorum(self.quorums, |member| chosen.contains(&member.node))
    }

    /// Returns the entries that came before the reservation of `turn` at any of these members. If
    /// the turn was settled before and is reserved again, all of them did.
    fn ledger_of(&self, chosen: &BTreeSet<Text>, turn: &str) -> LedgerView {
        let is_repeated = self.amounts.is_settled(turn);
        let ledgers = chosen
            .iter()
            .filter_map(|member| self.member_ledgers.get(member));
        let turns = ledgers.flat_map(|ledger| match is_repeated {
            true => &ledger.turns[..],
            false => &ledger.turns[..ledger.earlier],
        });
        let turns: BTreeSet<u64> = turns.copied().collect();
        self.amounts.restricted_to(&turns)
    }

    /// Returns the ledger of all members that have stored the reservation of `turn`, or another
    /// record if that is empty; or the reason why no quorum has.
    pub fn outcome_for(self, turn: &str) -> Result<LedgerView, GroupError> {
        match self.is_stored() {
            true => Ok(self.ledger_of(&self.stored_on, turn)),
            false => Err(self.error),
        }
    }

    /// Returns the outcome without regard to whether a turn was reserved before.
    pub fn outcome(self) -> Result<LedgerView, GroupError> {
        self.outcome_for("")
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
