//! What a store holds in memory: turns, ledgers and the digests of its
//! journal. Pure; time is a reading of the process's steady clock in seconds.

use std::collections::{BTreeMap, HashMap, VecDeque};

use stageyoke_directory::DirectoryMark;
use stageyoke_types::{List, Text};

use crate::message::{
    ChainPart, JournalPosition, LedgerEntry, Record, RecordDigest, Reply, TurnRecord,
};

/// Digests in one page.
pub const DIGEST_PAGE: usize = 4096;
/// Least time that a program's ledger is kept after its last turn.
pub const LEDGER_KEEP_SECONDS: u64 = 300;
/// Seconds that a record is kept beyond its retention.
pub const RETENTION_MARGIN_SECONDS: u64 = 30;

#[derive(Clone, Debug)]
struct HeldTurn {
    record: TurnRecord,
    keep_until: u64,
}

#[derive(Clone, Debug, Default)]
struct Ledger {
    entries: BTreeMap<Text, LedgerEntry>,
    keep_until: u64,
}

/// Where a held record's content is found.
#[derive(Clone, Debug)]
enum Locator {
    Turn(Text),
    Reservation { program: Text, turn: Text },
    Settlement { program: Text, turn: Text },
}

#[derive(Clone, Debug)]
struct Holding {
    copies: u32,
    locator: Locator,
}

/// Turns, ledgers and digests.
#[derive(Debug, Default)]
pub struct State {
    disk: u64,
    first: u64,
    journal: VecDeque<RecordDigest>,
    held: HashMap<RecordDigest, Holding>,
    turns: HashMap<Text, HeldTurn>,
    ledgers: HashMap<Text, Ledger>,
    longest_retention: u64,
    turn_bytes: usize,
    ledger_entries: usize,
}

impl State {
    /// An empty state for the disk with this identifier.
    pub fn new(disk: u64) -> Self {
        Self {
            disk,
            ..Self::default()
        }
    }

    /// Whether a record with this digest is held.
    pub fn holds(&self, digest: RecordDigest) -> bool {
        self.held.contains_key(&digest)
    }

    /// Bytes of turns' inputs and outputs in memory.
    pub fn turn_bytes(&self) -> usize {
        self.turn_bytes
    }

    /// Entries of all ledgers in memory.
    pub fn ledger_entries_held(&self) -> usize {
        self.ledger_entries
    }

    /// Seconds after its last write that a segment is looked at again.
    pub fn longest_keep(&self) -> u64 {
        self.longest_retention + RETENTION_MARGIN_SECONDS
    }

    /// Number of the record that will be added next.
    pub fn end(&self) -> JournalPosition {
        JournalPosition {
            disk: self.disk,
            next: self.first + self.journal.len() as u64,
        }
    }

    /// Adds a record at the end of the journal. The caller has checked that it
    /// is not held, or means to write it again.
    pub fn add(&mut self, record: &Record, now: u64) {
        let digest = record.digest();
        self.journal.push_back(digest);
        let holding = self.held.entry(digest).or_insert_with(|| Holding {
            copies: 0,
            locator: locate(record),
        });
        holding.copies += 1;
        match record {
            Record::Reserve {
                program,
                turn,
                most,
            } => self.reserve(program, turn, *most, now),
            Record::Settle {
                program,
                turn,
                used,
            } => self.settle(program, turn, *used, now),
            Record::Turn(turn) => self.add_turn(turn, now),
        }
    }

    fn ledger(&mut self, program: &Text, now: u64) -> &mut Ledger {
        let keep_until = now + self.longest_keep().max(LEDGER_KEEP_SECONDS);
        let ledger = self.ledgers.entry(program.clone()).or_default();
        ledger.keep_until = ledger.keep_until.max(keep_until);
        ledger
    }

    fn reserve(&mut self, program: &Text, turn: &Text, most: u32, now: u64) {
        let entry = LedgerEntry {
            turn: turn.clone(),
            amount: most,
            settled: false,
        };
        let ledger = self.ledger(program, now);
        let before = ledger.entries.len();
        ledger.entries.entry(turn.clone()).or_insert(entry);
        let added = ledger.entries.len() - before;
        self.ledger_entries += added;
    }

    fn settle(&mut self, program: &Text, turn: &Text, used: u32, now: u64) {
        if program.is_empty() {
            return;
        }
        let entry = LedgerEntry {
            turn: turn.clone(),
            amount: used,
            settled: true,
        };
        let ledger = self.ledger(program, now);
        let added = ledger.entries.insert(turn.clone(), entry).is_none();
        self.ledger_entries += usize::from(added);
    }

    fn add_turn(&mut self, record: &TurnRecord, now: u64) {
        let retention = u64::from(record.retention_seconds);
        self.longest_retention = self.longest_retention.max(retention);
        self.settle(&record.program, &record.turn, record.used, now);
        let keep_until = now + retention + RETENTION_MARGIN_SECONDS;
        let held = HeldTurn {
            record: record.clone(),
            keep_until,
        };
        let before = self.turns.len();
        self.turns.entry(record.turn.clone()).or_insert(held);
        if self.turns.len() > before {
            self.turn_bytes += content_bytes(record);
        }
        self.keep_chain(&record.turn, keep_until);
    }

    fn keep_chain(&mut self, turn: &Text, keep_until: u64) {
        let mut next = turn.clone();
        while let Some(held) = self.turns.get_mut(&next) {
            held.keep_until = held.keep_until.max(keep_until);
            let previous = held.record.previous.clone();
            // A chain is finite unless records are forged; stop at a repeat.
            if previous.is_empty() || previous == next {
                return;
            }
            next = previous;
        }
    }

    /// The program's ledger.
    pub fn ledger_entries(&self, program: &str) -> List<LedgerEntry> {
        self.ledgers
            .get(program)
            .map(|ledger| ledger.entries.values().cloned().collect())
            .unwrap_or_default()
    }

    /// The chain that ends in `turn`, as far as it is held.
    pub fn chain(&self, turn: &Text, complete: bool) -> Reply {
        let mut parts = Vec::new();
        let mut next = turn.clone();
        while let Some(held) = self.turns.get(&next) {
            let record = &held.record;
            parts.push(ChainPart {
                turn: record.turn.clone(),
                previous: record.previous.clone(),
                input: record.input.clone(),
                output: record.output.clone(),
            });
            next = record.previous.clone();
            if next.is_empty() {
                break;
            }
        }
        Reply::Chain {
            complete,
            parts: List(parts),
            missing: next,
        }
    }

    /// A page of digests from a position on; a position on another disk, or
    /// before the journal's start, begins at the start.
    pub fn digests(
        &self,
        from: JournalPosition,
        complete: bool,
        directory: DirectoryMark,
    ) -> Reply {
        let start = if from.disk == self.disk {
            from.next.clamp(self.first, self.end().next)
        } else {
            self.first
        };
        let offset = (start - self.first) as usize;
        let page: List<RecordDigest> = self
            .journal
            .iter()
            .skip(offset)
            .take(DIGEST_PAGE)
            .copied()
            .collect();
        let next = start + page.len() as u64;
        Reply::Digests {
            next: JournalPosition {
                disk: self.disk,
                next,
            },
            more: next < self.end().next,
            complete,
            directory,
            digests: page,
        }
    }

    /// Records with these digests, as far as they are held.
    pub fn fetch(&self, digests: &[RecordDigest]) -> List<Record> {
        digests
            .iter()
            .filter_map(|digest| self.held.get(digest))
            .filter_map(|holding| self.read(&holding.locator))
            .collect()
    }

    /// Forgets the journal's first `count` records. Returns those that must be
    /// kept longer, for writing again.
    pub fn expire(&mut self, count: usize, now: u64) -> Vec<Record> {
        let count = count.min(self.journal.len());
        let dropped: Vec<RecordDigest> = self.journal.drain(..count).collect();
        self.first += count as u64;
        let mut needed = Vec::new();
        for digest in dropped {
            let Some(holding) = self.held.get_mut(&digest) else {
                continue;
            };
            holding.copies -= 1;
            if holding.copies > 0 {
                continue;
            }
            if let Some(holding) = self.held.remove(&digest)
                && self.needed(&holding.locator, now)
            {
                needed.extend(self.read(&holding.locator));
            }
        }
        self.turns.retain(|_, held| {
            let stays = held.keep_until > now;
            if !stays {
                self.turn_bytes -= content_bytes(&held.record);
            }
            stays
        });
        self.ledgers.retain(|_, ledger| {
            let stays = ledger.keep_until > now;
            if !stays {
                self.ledger_entries -= ledger.entries.len();
            }
            stays
        });
        needed
    }

    fn read(&self, locator: &Locator) -> Option<Record> {
        match locator {
            Locator::Turn(turn) => {
                let held = self.turns.get(turn)?;
                Some(Record::Turn(held.record.clone()))
            }
            Locator::Reservation { program, turn } => {
                let entry = self.ledgers.get(program)?.entries.get(turn)?;
                Some(Record::Reserve {
                    program: program.clone(),
                    turn: turn.clone(),
                    most: entry.amount,
                })
            }
            Locator::Settlement { program, turn } => {
                let entry = self.ledgers.get(program)?.entries.get(turn)?;
                Some(Record::Settle {
                    program: program.clone(),
                    turn: turn.clone(),
                    used: entry.amount,
                })
            }
        }
    }

    fn needed(&self, locator: &Locator, now: u64) -> bool {
        match locator {
            Locator::Turn(turn) => self
                .turns
                .get(turn)
                .is_some_and(|held| held.keep_until > now),
            Locator::Reservation { program, .. } | Locator::Settlement { program, .. } => self
                .ledgers
                .get(program)
                .is_some_and(|ledger| ledger.keep_until > now),
        }
    }
}

fn content_bytes(record: &TurnRecord) -> usize {
    record.input.len() + record.output.len()
}

fn locate(record: &Record) -> Locator {
    match record {
        Record::Turn(turn) => Locator::Turn(turn.turn.clone()),
        Record::Reserve { program, turn, .. } => Locator::Reservation {
            program: program.clone(),
            turn: turn.clone(),
        },
        Record::Settle { program, turn, .. } => Locator::Settlement {
            program: program.clone(),
            turn: turn.clone(),
        },
    }
}
