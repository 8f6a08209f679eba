//! What a store holds in memory: an index of the turns on its disk, ledgers,
//! and the digests of its journal. Contents of turns stay on the disk, but for
//! the newest. Pure; time is a reading of the disk's clock in seconds.

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

/// Digests in one page.
pub const MAX_DIGESTS_PER_PAGE: usize = 4096;
/// How long a program's ledger is kept after its last turn where no record has
/// told a retention.
pub const DEFAULT_LEDGER_RETENTION_SECONDS: u64 = 300;
/// Seconds that a record is kept beyond its retention: a request that comes in
/// time may take its deadline of some seconds, and is repeated once or twice.
pub const RETENTION_MARGIN_SECONDS: u64 = 15;
/// Bytes of the newest turns' contents, where nothing else is set.
const DEFAULT_RECENT_BYTES: usize = 4 * 1024 * 1024;

// Bytes that each thing costs in memory: the sizes of the types over the maps'
// mean load (0.66: between 7/8 and half of it), and the vectors' mean slack.
const TURN_BYTES: usize = 64;
const HELD_BYTES: usize = 40;
const JOURNAL_BYTES: usize = 12;
const LEDGER_BYTES: usize = 120;
const ENTRY_BYTES: usize = 24;

#[derive(Clone, Debug)]
struct HeldTurn {
    previous: Option<TurnKey>,
    place: RecordLocation,
    keep_until: u64,
}

#[derive(Clone, Debug, Default)]
struct Ledger {
    /// In the order of the turns' first records. Programs have some hundred
    /// turns at most, most of them a few.
    entries: Vec<LedgerEntry>,
    keep_until: u64,
}

impl Ledger {
    /// The turn's entry, the newest first.
    fn entry(&mut self, turn: TurnKey) -> Option<&mut LedgerEntry> {
        let mut entries = self.entries.iter_mut().rev();
        entries.find(|entry| entry.turn == turn.0)
    }
}

/// A record in the journal: how often, and where it was written last.
#[derive(Clone, Debug)]
struct Holding {
    copies: u32,
    place: RecordLocation,
}

/// One turn of a chain, as far as it is in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLink {
    /// With its content.
    Cached(ChainPart),
    /// The content must be read from the disk.
    OnDisk(RecordLocation),
}

/// Index of turns, ledgers and digests.
#[derive(Debug)]
pub struct StoreState {
    journal_identifier: u64,
    first: u64,
    journal: VecDeque<RecordDigest>,
    held: HashMap<RecordDigest, Holding>,
    turns: HashMap<TurnKey, HeldTurn>,
    ledgers: HashMap<ProgramKey, Ledger>,
    longest_retention: u64,
    ledger_entries: usize,
    recent: RecentTurns,
}

impl StoreState {
    /// An empty state; its journal has this identifier.
    pub fn new(journal_identifier: u64) -> Self {
        Self {
            journal_identifier,
            first: 0,
            journal: VecDeque::new(),
            held: HashMap::new(),
            turns: HashMap::new(),
            ledgers: HashMap::new(),
            longest_retention: 0,
            ledger_entries: 0,
            recent: RecentTurns::new(DEFAULT_RECENT_BYTES),
        }
    }

    /// Keeps the newest turns' contents within so many bytes from now on.
    pub fn set_recent_bytes(&mut self, bytes: usize) {
        self.recent = RecentTurns::new(bytes);
    }

    /// Whether a record with this digest is held.
    pub fn holds(&self, digest: RecordDigest) -> bool {
        self.held.contains_key(&digest)
    }

    /// Bytes of turns' inputs and outputs in memory.
    pub fn cached_turn_bytes(&self) -> usize {
        self.recent.bytes()
    }

    /// Entries of all ledgers in memory.
    pub fn ledger_entry_count(&self) -> usize {
        self.ledger_entries
    }

    /// Bytes of memory that all of it takes, estimated from the counts.
    pub fn memory_bytes(&self) -> usize {
        self.turns.len() * TURN_BYTES
            + self.held.len() * HELD_BYTES
            + self.journal.len() * JOURNAL_BYTES
            + self.ledgers.len() * LEDGER_BYTES
            + self.ledger_entries * ENTRY_BYTES
            + self.recent.bytes()
    }

    /// Seconds after its last write that a segment is looked at again.
    pub fn max_retention_seconds(&self) -> u64 {
        self.longest_retention + RETENTION_MARGIN_SECONDS
    }

    /// Seconds after its last turn that a program's ledger is kept: a program
    /// may come back within the retention, and starts anew after it.
    fn ledger_keep(&self) -> u64 {
        match self.longest_retention {
            0 => DEFAULT_LEDGER_RETENTION_SECONDS,
            _ => self.max_retention_seconds(),
        }
    }

    /// Number of the record that will be added next.
    pub fn journal_end(&self) -> JournalPosition {
        JournalPosition {
            journal: self.journal_identifier,
            next: self.first + self.journal.len() as u64,
        }
    }

    /// Adds a record, which lies at `place`, at the end of the journal. The
    /// caller has checked that it is not held, or has written it again.
    pub fn add(&mut self, record: &Record, place: RecordLocation, now: u64) {
        if matches!(record, Record::Clock { .. }) {
            return;
        }
        let digest = record.digest();
        self.journal.push_back(digest);
        let holding = self
            .held
            .entry(digest)
            .or_insert(Holding { copies: 0, place });
        holding.copies += 1;
        holding.place = place;
        match record {
            Record::Reserve {
                program,
                turn,
                max_tokens: most,
            } => self.reserve(program, turn, *most, now),
            Record::Settle {
                program,
                turn,
                used_tokens: used,
            } => self.settle(program, TurnKey::of(turn), *used, now),
            Record::Turn(turn) => self.add_turn(turn, place, now),
            Record::Clock { .. } => {}
        }
    }

    fn ledger(&mut self, program: &Text, now: u64) -> &mut Ledger {
        let keep_until = now + self.ledger_keep();
        let ledger = self.ledgers.entry(ProgramKey::of(program)).or_default();
        ledger.keep_until = ledger.keep_until.max(keep_until);
        ledger
    }

    fn reserve(&mut self, program: &Text, turn: &Text, most: u32, now: u64) {
        let turn = TurnKey::of(turn);
        let ledger = self.ledger(program, now);
        if ledger.entry(turn).is_some() {
            return;
        }
        ledger.entries.push(LedgerEntry {
            turn: turn.0,
            amount: most,
            settled: false,
        });
        self.ledger_entries += 1;
    }

    fn settle(&mut self, program: &Text, turn: TurnKey, used: u32, now: u64) {
        if program.is_empty() {
            return;
        }
        let settled = LedgerEntry {
            turn: turn.0,
            amount: used,
            settled: true,
        };
        let ledger = self.ledger(program, now);
        match ledger.entry(turn) {
            Some(entry) => *entry = settled,
            None => {
                ledger.entries.push(settled);
                self.ledger_entries += 1;
            }
        }
    }

    fn add_turn(&mut self, record: &TurnRecord, place: RecordLocation, now: u64) {
        let retention = u64::from(record.retention_seconds);
        self.longest_retention = self.longest_retention.max(retention);
        let key = TurnKey::of(&record.turn);
        self.settle(&record.program, key, record.used_tokens, now);
        let keep_until = now + retention + RETENTION_MARGIN_SECONDS;
        let previous = (!record.previous.is_empty()).then(|| TurnKey::of(&record.previous));
        let held = self.turns.entry(key).or_insert(HeldTurn {
            previous,
            place,
            keep_until,
        });
        held.place = place;
        self.recent.insert(ChainPart {
            turn: record.turn.clone(),
            previous: record.previous.clone(),
            input: record.input.clone(),
            output: record.output.clone(),
        });
        self.keep_chain(key, keep_until);
    }

    fn keep_chain(&mut self, turn: TurnKey, keep_until: u64) {
        let mut next = turn;
        while let Some(held) = self.turns.get_mut(&next) {
            held.keep_until = held.keep_until.max(keep_until);
            match held.previous {
                // A chain is finite unless records are forged; stop at a repeat.
                Some(previous) if previous != next => next = previous,
                _ => return,
            }
        }
    }

    /// The program's ledger.
    pub fn ledger_entries(&self, program: &str) -> List<LedgerEntry> {
        let ledger = self.ledgers.get(&ProgramKey::of(program));
        List(ledger.map_or_else(Vec::new, |ledger| ledger.entries.clone()))
    }

    /// The chain that ends in `turn`, as far as it is held, newest first.
    pub fn chain(&self, turn: &Text) -> Vec<ChainLink> {
        let mut steps = Vec::new();
        let mut next = Some(TurnKey::of(turn));
        while let Some(key) = next
            && let Some(held) = self.turns.get(&key)
        {
            steps.push(match self.recent.get(key) {
                Some(part) => ChainLink::Cached(part.clone()),
                None => ChainLink::OnDisk(held.place),
            });
            next = held.previous.filter(|previous| *previous != key);
        }
        steps
    }

    /// A page of digests from a position on; a position in another journal, or
    /// before the journal's start, begins at the start.
    pub fn digests_reply(
        &self,
        from: JournalPosition,
        standing: PeerStatus,
        directory: DirectoryMark,
    ) -> Reply {
        let start = if from.journal == self.journal_identifier {
            from.next.clamp(self.first, self.journal_end().next)
        } else {
            self.first
        };
        let offset = (start - self.first) as usize;
        let page: List<RecordDigest> = self
            .journal
            .iter()
            .skip(offset)
            .take(MAX_DIGESTS_PER_PAGE)
            .copied()
            .collect();
        let next = start + page.len() as u64;
        Reply::Digests {
            next: JournalPosition {
                journal: self.journal_identifier,
                next,
            },
            more: next < self.journal_end().next,
            complete: standing.complete,
            members_version: standing.members_version,
            directory,
            silent: List::default(),
            digests: page,
        }
    }

    /// Where the records with these digests lie, as far as they are held.
    pub fn locations(&self, digests: &[RecordDigest]) -> Vec<RecordLocation> {
        let held = digests.iter().filter_map(|digest| self.held.get(digest));
        held.map(|holding| holding.place).collect()
    }

    /// Forgets the journal's first records, which are these. Returns those that
    /// must be kept longer, for writing again.
    pub fn expire(&mut self, records: Vec<Record>, now: u64) -> Vec<Record> {
        let mut needed = Vec::new();
        for record in records {
            self.forget_first();
            let digest = record.digest();
            let Some(holding) = self.held.get_mut(&digest) else {
                continue;
            };
            holding.copies -= 1;
            if holding.copies > 0 {
                continue;
            }
            self.held.remove(&digest);
            if self.needed(&record, now) {
                needed.push(record);
            }
        }
        self.turns.retain(|_, held| held.keep_until > now);
        self.ledgers.retain(|_, ledger| {
            let stays = ledger.keep_until > now;
            if !stays {
                self.ledger_entries -= ledger.entries.len();
            }
            stays
        });
        self.give_back_memory();
        needed
    }

    fn forget_first(&mut self) {
        if self.journal.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Maps keep the size of their fullest moment; a burst must not hold its
    /// memory for ever.
    fn give_back_memory(&mut self) {
        if self.held.len() * 4 < self.held.capacity() {
            self.held.shrink_to(self.held.len() * 2);
            self.turns.shrink_to(self.turns.len() * 2);
            self.ledgers.shrink_to(self.ledgers.len() * 2);
            self.journal.shrink_to(self.journal.len() * 2);
        }
    }

    fn needed(&self, record: &Record, now: u64) -> bool {
        match record {
            Record::Turn(record) => {
                let held = self.turns.get(&TurnKey::of(&record.turn));
                held.is_some_and(|held| held.keep_until > now)
            }
            Record::Reserve { program, turn, .. } | Record::Settle { program, turn, .. } => {
                let TurnKey(turn) = TurnKey::of(turn);
                let ledger = self.ledgers.get(&ProgramKey::of(program));
                ledger.is_some_and(|ledger| {
                    let mut entries = ledger.entries.iter();
                    ledger.keep_until > now && entries.any(|entry| entry.turn == turn)
                })
            }
            Record::Clock { .. } => false,
        }
    }
}
