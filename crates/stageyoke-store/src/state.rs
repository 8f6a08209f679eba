//! In-memory state of a store: an index of the turns on disk, ledgers and the digests of
//! the journal. Turn contents stay on disk, except for a cache of the newest ones. Performs
//! no I/O; times are readings of the disk's clock in seconds.

use std::collections::{HashMap, VecDeque};

use stageyoke_directory::DirectoryMark;
use stageyoke_types::{List, Text};

use crate::keys::{ProgramKey, TurnKey};
use crate::membership_state::PeerStatus;
use crate::message::{
    ChainPart, JournalPosition, LedgerEntry, Record, RecordDigest, Reply, TurnRecord,
};
use crate::recent_turns::RecentTurns;
use crate::segment::RecordLocation;
use crate::stored_record::StoredRecord;

/// Maximum number of digests in one page.
pub const MAX_DIGESTS_PER_PAGE: usize = 4096;
/// Time for which a program's ledger is retained after a record that doesn't carry it.
pub const DEFAULT_LEDGER_RETENTION_SECONDS: u64 = 300;
/// Longest time for which a segment is kept for the sake of ledgers. Records of ledgers that are
/// retained longer are written again, so that one route's retention doesn't keep the records of
/// all others.
const MAX_LEDGER_LIFETIME_SECONDS: u64 = 300;
/// Time for which a record is retained beyond its retention, so that a request that arrives
/// in time can still run up to its deadline and be retried.
pub const RETENTION_MARGIN_SECONDS: u64 = 15;
/// Default size of the cache of the newest turns' contents.
const DEFAULT_RECENT_BYTES: usize = 4 * 1024 * 1024;

// Estimated memory per entry: the size of the types divided by the mean load factor of the
// maps (0.66), and the mean unused capacity of the vectors.
const TURN_INDEX_BYTES: usize = 64;
const RECORD_INDEX_BYTES: usize = 40;
const JOURNAL_DIGEST_BYTES: usize = 12;
const LEDGER_BYTES: usize = 120;
const LEDGER_ENTRY_BYTES: usize = 24;

/// Returns the time in seconds for which a segment is kept after the last of its records was
/// written, as far as this record needs it.
pub fn segment_lifetime(record: &StoredRecord) -> u64 {
    let retention = match &record.record {
        Record::Turn(turn) => u64::from(turn.retention_seconds),
        Record::Reserve { .. } | Record::Settle { .. } => {
            ledger_retention(record, 0).min(MAX_LEDGER_LIFETIME_SECONDS)
        }
        Record::Clock { .. } => 0,
    };
    retention + RETENTION_MARGIN_SECONDS
}

/// Returns the time in seconds for which a program's ledger is retained after a record. A program
/// may continue within the retention of its route and starts anew after it.
fn ledger_retention(record: &StoredRecord, longest_retention: u64) -> u64 {
    match record.ledger_retention_seconds() {
        Some(seconds) => u64::from(seconds),
        None => longest_retention.max(DEFAULT_LEDGER_RETENTION_SECONDS),
    }
}

#[derive(Clone, Debug)]
struct TurnIndexEntry {
    previous: Option<TurnKey>,
    location: RecordLocation,
    expires_at: u64,
}

#[derive(Clone, Debug, Default)]
struct Ledger {
    /// Entries in the order of the turns' first records. Most programs have only a few
    /// turns, so a linear search is fast enough.
    entries: Vec<LedgerEntry>,
    /// Number of the first entries whose order may differ from that in earlier replies.
    unordered_prefix: usize,
    expires_at: u64,
}

impl Ledger {
    /// Extends the retention. Copies of records that the ledger has already must not: a record
    /// that is written again would otherwise never expire.
    fn retain_until(&mut self, expires_at: u64) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Finds the entry of a turn, searching from the newest.
    fn entry(&mut self, turn: TurnKey) -> Option<&mut LedgerEntry> {
        let mut entries = self.entries.iter_mut().rev();
        entries.find(|entry| entry.turn == turn.0)
    }

    /// Returns how many of the last entries came after that of `turn`. A settled turn that is
    /// reserved again came after all of them.
    fn later_entries(&self, turn: TurnKey) -> usize {
        let mut entries = self.entries.iter();
        let position = entries.position(|entry| entry.turn == turn.0 && !entry.settled);
        let first_later = position.map_or(self.entries.len(), |position| position + 1);
        self.entries.len() - first_later.max(self.unordered_prefix)
    }
}

/// The number of copies of a record in the journal, and the location of the last one.
#[derive(Clone, Debug)]
struct RecordIndexEntry {
    copies: u32,
    location: RecordLocation,
}

/// One turn of a chain and where its content is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLink {
    /// The content is in memory.
    Cached(ChainPart),
    /// The content must be read from disk.
    OnDisk(RecordLocation),
}

impl ChainLink {
    /// Returns the size of the turn in bytes, in memory or on disk.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Cached(part) => part.bytes(),
            Self::OnDisk(location) => location.length as usize,
        }
    }
}

/// Index of the turns on disk, ledgers and journal digests.
#[derive(Debug)]
pub struct StoreState {
    journal_identifier: u64,
    first_number: u64,
    journal: VecDeque<RecordDigest>,
    records: HashMap<RecordDigest, RecordIndexEntry>,
    turns: HashMap<TurnKey, TurnIndexEntry>,
    ledgers: HashMap<ProgramKey, Ledger>,
    /// Longest retention that any record has carried, for records that carry none.
    longest_retention_seconds: u64,
    total_ledger_entries: usize,
    recent_turns: RecentTurns,
}

impl StoreState {
    /// Creates an empty state whose journal has this identifier.
    pub fn new(journal_identifier: u64) -> Self {
        Self {
            journal_identifier,
            first_number: 0,
            journal: VecDeque::new(),
            records: HashMap::new(),
            turns: HashMap::new(),
            ledgers: HashMap::new(),
            longest_retention_seconds: 0,
            total_ledger_entries: 0,
            recent_turns: RecentTurns::new(DEFAULT_RECENT_BYTES),
        }
    }

    /// Replaces the cache of the newest turns by an empty one of at most `bytes` bytes.
    pub fn set_recent_bytes(&mut self, bytes: usize) {
        self.recent_turns = RecentTurns::new(bytes);
    }

    /// Returns whether a record with this digest is stored.
    pub fn holds(&self, digest: RecordDigest) -> bool {
        self.records.contains_key(&digest)
    }

    /// Returns the size in bytes of the cached turns' inputs and outputs.
    pub fn cached_turn_bytes(&self) -> usize {
        self.recent_turns.bytes()
    }

    /// Returns the number of entries in all ledgers.
    pub fn ledger_entry_count(&self) -> usize {
        self.total_ledger_entries
    }

    /// Estimates the memory used by the whole state, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.turns.len() * TURN_INDEX_BYTES
            + self.records.len() * RECORD_INDEX_BYTES
            + self.journal.len() * JOURNAL_DIGEST_BYTES
            + self.ledgers.len() * LEDGER_BYTES
            + self.total_ledger_entries * LEDGER_ENTRY_BYTES
            + self.recent_turns.bytes()
    }

    /// Returns the journal position of the next record to be added.
    pub fn journal_end(&self) -> JournalPosition {
        JournalPosition {
            journal: self.journal_identifier,
            next: self.first_number + self.journal.len() as u64,
        }
    }

    /// Appends a record to the journal. The caller has checked that the record is not
    /// stored yet, or has written it again.
    pub fn add(&mut self, stored: &StoredRecord, location: RecordLocation, now: u64) {
        if stored.is_clock() {
            return;
        }
        let record = &stored.record;
        let digest = record.digest();
        let carried = stored.ledger_retention_seconds().map_or(0, u64::from);
        self.longest_retention_seconds = self.longest_retention_seconds.max(carried);
        let retention = ledger_retention(stored, self.longest_retention_seconds);
        let ledger_expires_at = now + retention + RETENTION_MARGIN_SECONDS;
        self.journal.push_back(digest);
        let indexed = self.records.entry(digest).or_insert(RecordIndexEntry {
            copies: 0,
            location,
        });
        indexed.copies += 1;
        indexed.location = location;
        match record {
            Record::Reserve {
                program,
                turn,
                max_tokens,
            } => self.reserve(program, turn, *max_tokens, ledger_expires_at),
            Record::Settle {
                program,
                turn,
                used_tokens,
            } => self.settle(program, TurnKey::of(turn), *used_tokens, ledger_expires_at),
            Record::Turn(turn) => self.add_turn(turn, location, ledger_expires_at),
            Record::Clock { .. } => {}
        }
    }

    fn reserve(&mut self, program: &Text, turn: &Text, max_tokens: u32, expires_at: u64) {
        let turn = TurnKey::of(turn);
        let ledger = self.ledgers.entry(ProgramKey::of(program)).or_default();
        if ledger.entry(turn).is_some() {
            return;
        }
        ledger.retain_until(expires_at);
        ledger.entries.push(LedgerEntry {
            turn: turn.0,
            amount: max_tokens,
            settled: false,
        });
        self.total_ledger_entries += 1;
    }

    fn settle(&mut self, program: &Text, turn: TurnKey, used_tokens: u32, expires_at: u64) {
        if program.is_empty() {
            return;
        }
        let settled_entry = LedgerEntry {
            turn: turn.0,
            amount: used_tokens,
            settled: true,
        };
        let ledger = self.ledgers.entry(ProgramKey::of(program)).or_default();
        match ledger.entry(turn) {
            Some(entry) if *entry == settled_entry => return,
            Some(entry) => *entry = settled_entry,
            None => {
                ledger.entries.push(settled_entry);
                self.total_ledger_entries += 1;
            }
        }
        ledger.retain_until(expires_at);
    }

    fn add_turn(&mut self, record: &TurnRecord, location: RecordLocation, expires_at: u64) {
        let key = TurnKey::of(&record.turn);
        self.settle(&record.program, key, record.used_tokens, expires_at);
        let previous = (!record.previous.is_empty()).then(|| TurnKey::of(&record.previous));
        let indexed = self.turns.entry(key).or_insert(TurnIndexEntry {
            previous,
            location,
            expires_at,
        });
        indexed.location = location;
        self.recent_turns.insert(ChainPart {
            turn: record.turn.clone(),
            previous: record.previous.clone(),
            input: record.input.clone(),
            output: record.output.clone(),
        });
        self.extend_chain_retention(key, expires_at);
    }

    /// Returns whether a turn is stored, under whichever program.
    pub fn has_turn(&self, turn: &str) -> bool {
        self.turns.contains_key(&TurnKey::of(turn))
    }

    /// Retains a turn, and the part of its chain that is stored, for this time from now on.
    pub fn retain_chain(&mut self, turn: TurnKey, retention_seconds: u32, now: u64) {
        let expires_at = now + u64::from(retention_seconds) + RETENTION_MARGIN_SECONDS;
        self.extend_chain_retention(turn, expires_at);
    }

    /// Returns the newest turn that is not stored of the chain that ends in `turn`; `None` if the
    /// whole chain is stored.
    pub fn missing_of_chain(&self, turn: TurnKey) -> Option<TurnKey> {
        let mut next = turn;
        while let Some(indexed) = self.turns.get(&next) {
            next = indexed.previous.filter(|previous| *previous != next)?;
        }
        Some(next)
    }

    fn extend_chain_retention(&mut self, turn: TurnKey, expires_at: u64) {
        let mut next = turn;
        while let Some(indexed) = self.turns.get_mut(&next) {
            indexed.expires_at = indexed.expires_at.max(expires_at);
            match indexed.previous {
                // Chains are finite unless records are forged; stops at a turn that
                // continues itself.
                Some(previous) if previous != next => next = previous,
                _ => return,
            }
        }
    }

    /// Returns the ledger of a program.
    pub fn ledger_entries(&self, program: &str) -> List<LedgerEntry> {
        let ledger = self.ledgers.get(&ProgramKey::of(program));
        List(ledger.map_or_else(Vec::new, |ledger| ledger.entries.clone()))
    }

    /// Returns how many of the last entries of a program's ledger this store has received after
    /// the reservation of `turn`, as far as their order is certain. Replies to the reservations
    /// of those entries contained that of `turn`.
    pub fn later_ledger_entries(&self, program: &str, turn: TurnKey) -> usize {
        let ledger = self.ledgers.get(&ProgramKey::of(program));
        ledger.map_or(0, |ledger| ledger.later_entries(turn))
    }

    /// Forgets the order of all ledger entries. After a restart it is that of the newest copies of
    /// the records; after a change of members, replies may be counted with those of members that
    /// have received the entries from their peers.
    pub fn forget_entry_order(&mut self) {
        for ledger in self.ledgers.values_mut() {
            ledger.unordered_prefix = ledger.entries.len();
        }
    }

    /// Returns the stored part of the chain that ends in `turn`, newest first, up to
    /// `max_bytes` and at least one turn.
    pub fn chain(&self, turn: &Text, max_bytes: usize) -> Vec<ChainLink> {
        let mut links = Vec::new();
        let mut bytes = 0;
        let mut next = Some(TurnKey::of(turn));
        while let Some(key) = next
            && let Some(indexed) = self.turns.get(&key)
        {
            let link = match self.recent_turns.get(key) {
                Some(part) => ChainLink::Cached(part.clone()),
                None => ChainLink::OnDisk(indexed.location),
            };
            bytes += link.bytes();
            if !links.is_empty() && bytes > max_bytes {
                break;
            }
            links.push(link);
            next = indexed.previous.filter(|previous| *previous != key);
        }
        links
    }

    /// Returns a page of digests from a position on. A position in another journal or
    /// before its start means the start of the journal.
    pub fn digests_reply(
        &self,
        from: JournalPosition,
        status: PeerStatus,
        directory: DirectoryMark,
    ) -> Reply {
        let start = if from.journal == self.journal_identifier {
            from.next.clamp(self.first_number, self.journal_end().next)
        } else {
            self.first_number
        };
        let offset = (start - self.first_number) as usize;
        let digests: List<RecordDigest> = self
            .journal
            .iter()
            .skip(offset)
            .take(MAX_DIGESTS_PER_PAGE)
            .copied()
            .collect();
        let next = start + digests.len() as u64;
        Reply::Digests {
            next: JournalPosition {
                journal: self.journal_identifier,
                next,
            },
            more: next < self.journal_end().next,
            complete: status.complete,
            members_version: status.members_version,
            directory,
            silent: List::default(),
            digests,
        }
    }

    /// Returns the locations of those records that are stored.
    pub fn locations(&self, digests: &[RecordDigest]) -> Vec<RecordLocation> {
        let entries = digests.iter().filter_map(|digest| self.records.get(digest));
        entries.map(|indexed| indexed.location).collect()
    }

    /// Removes the journal's first records, which must be `records`. Returns those that
    /// must be retained longer and therefore be written again.
    pub fn expire(&mut self, records: Vec<StoredRecord>, now: u64) -> Vec<StoredRecord> {
        let mut retained = Vec::new();
        for stored in records {
            self.remove_first_digest();
            let digest = stored.digest();
            let Some(indexed) = self.records.get_mut(&digest) else {
                continue;
            };
            indexed.copies -= 1;
            if indexed.copies > 0 {
                continue;
            }
            let location = indexed.location;
            self.records.remove(&digest);
            retained.extend(self.retained_copy(stored, location, now));
        }
        self.ledgers.retain(|_, ledger| {
            let is_retained = ledger.expires_at > now;
            if !is_retained {
                self.total_ledger_entries -= ledger.entries.len();
            }
            is_retained
        });
        self.shrink_capacity();
        retained
    }

    fn remove_first_digest(&mut self) {
        if self.journal.pop_front().is_some() {
            self.first_number += 1;
        }
    }

    /// Shrinks the maps, whose capacity otherwise stays at its peak.
    fn shrink_capacity(&mut self) {
        if self.records.len() * 4 < self.records.capacity() {
            self.records.shrink_to(self.records.len() * 2);
            self.turns.shrink_to(self.turns.len() * 2);
            self.ledgers.shrink_to(self.ledgers.len() * 2);
            self.journal.shrink_to(self.journal.len() * 2);
        }
    }

    /// Returns the copy of a removed record to write again if it must be retained longer. The copy
    /// of a ledger's record carries the rest of the ledger's retention. A turn that has expired
    /// leaves the settlement of its reservation to a ledger that is retained longer.
    fn retained_copy(
        &mut self,
        stored: StoredRecord,
        location: RecordLocation,
        now: u64,
    ) -> Option<StoredRecord> {
        match &stored.record {
            Record::Turn(record) => {
                let key = TurnKey::of(&record.turn);
                // A turn that was stored again under no program is read from its newest record.
                let indexed = self.turns.get(&key);
                let indexed = indexed.filter(|indexed| indexed.location == location);
                let expires_at = indexed.map(|indexed| indexed.expires_at);
                if expires_at.is_some_and(|expires_at| expires_at > now) {
                    return Some(stored);
                }
                if expires_at.is_some() {
                    self.turns.remove(&key);
                }
                let seconds = self.remaining_retention(&record.program, &record.turn, now)?;
                let settlement = Record::Settle {
                    program: record.program.clone(),
                    turn: record.turn.clone(),
                    used_tokens: record.used_tokens,
                };
                Some(StoredRecord::new(settlement, Some(seconds)))
            }
            Record::Reserve { program, turn, .. } | Record::Settle { program, turn, .. } => {
                let seconds = self.remaining_retention(program, turn, now)?;
                Some(stored.with_ledger_retention(seconds))
            }
            Record::Clock { .. } => None,
        }
    }

    /// Returns the rest of the retention of a program's ledger in seconds, if it has an entry of
    /// the turn and is still retained.
    fn remaining_retention(&self, program: &Text, turn: &Text, now: u64) -> Option<u32> {
        let TurnKey(turn) = TurnKey::of(turn);
        let ledger = self.ledgers.get(&ProgramKey::of(program))?;
        let mut entries = ledger.entries.iter();
        if ledger.expires_at <= now || !entries.any(|entry| entry.turn == turn) {
            return None;
        }
        let remaining = ledger.expires_at - now;
        let retention = remaining.saturating_sub(RETENTION_MARGIN_SECONDS).max(1);
        Some(u32::try_from(retention).unwrap_or(u32::MAX))
    }
}
