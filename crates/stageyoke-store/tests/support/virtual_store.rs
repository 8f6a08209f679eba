//! A store's index and segments in virtual time, without files.

use std::collections::VecDeque;

use stageyoke_store::StoredRecord;
use stageyoke_store::message::{ChainPart, Record, TurnRecord};
use stageyoke_store::segment::RecordLocation;
use stageyoke_store::state::{ChainLink, StoreState, segment_lifetime};
use stageyoke_types::Text;

/// Age in seconds at which a store starts a new segment.
const SEGMENT_AGE_SECONDS: u64 = 10;

struct Segment {
    number: u32,
    started_at: u64,
    records: Vec<StoredRecord>,
    last_write: u64,
    lifetime: u64,
}

/// A store in virtual time.
pub struct VirtualStore {
    /// Index of the store.
    pub state: StoreState,
    /// Time in seconds.
    pub now: u64,
    segments: VecDeque<Segment>,
    next_segment: u32,
    /// Time by which the disk's clock is behind, since restarts set it back.
    clock_lag: u64,
}

impl VirtualStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            state: StoreState::new(1),
            now: 0,
            segments: VecDeque::new(),
            next_segment: 0,
            clock_lag: 0,
        }
    }

    /// Returns the reading of the disk's clock.
    pub fn clock(&self) -> u64 {
        self.now - self.clock_lag
    }

    /// Writes a record to the newest segment and adds it to the index.
    pub fn write(&mut self, record: StoredRecord) {
        let now = self.clock();
        let is_current = |segment: &Segment| segment.started_at + SEGMENT_AGE_SECONDS > now;
        if !self.segments.back().is_some_and(is_current) {
            self.segments.push_back(Segment {
                number: self.next_segment,
                started_at: now,
                records: Vec::new(),
                last_write: now,
                lifetime: 0,
            });
            self.next_segment += 1;
        }
        let segment = self.segments.back_mut().expect("a segment");
        let location = RecordLocation {
            segment: segment.number,
            offset: segment.records.len() as u32,
            length: 1,
        };
        self.state.add(&record, location, now);
        segment.last_write = now;
        segment.lifetime = segment.lifetime.max(segment_lifetime(&record));
        segment.records.push(record);
    }

    /// Expires the oldest segments whose lifetime is over.
    pub fn expire(&mut self) {
        let newest = self.next_segment.saturating_sub(1);
        while let Some(oldest) = self.segments.front()
            && oldest.number < newest
            && oldest.last_write + oldest.lifetime <= self.clock()
        {
            let oldest = self.segments.pop_front().expect("a segment");
            let retained = self.state.expire(oldest.records, self.clock());
            for record in retained {
                self.write(record);
            }
        }
    }

    /// Replaces the index by one that is read from the disk, whose clock goes on from its last
    /// reading.
    pub fn restart(&mut self) {
        let last_reading = self.segments.back().map_or(0, |last| last.started_at);
        self.clock_lag = self.now - last_reading;
        self.state = StoreState::new(1);
        self.state.set_recent_bytes(0);
        let next_starts: Vec<u64> = self
            .segments
            .iter()
            .skip(1)
            .map(|next| next.started_at)
            .collect();
        for (index, segment) in self.segments.iter_mut().enumerate() {
            for (offset, record) in segment.records.iter().enumerate() {
                let location = RecordLocation {
                    segment: segment.number,
                    offset: offset as u32,
                    length: 1,
                };
                self.state.add(record, location, segment.started_at);
            }
            segment.last_write = next_starts.get(index).copied().unwrap_or(last_reading);
        }
    }

    /// Reads the chain that ends in a turn, oldest first, as a front does.
    pub fn read(&self, turn: &Text) -> Vec<ChainPart> {
        let links = self.state.chain(turn, usize::MAX);
        let parts = links.into_iter().map(|link| match link {
            ChainLink::Cached(part) => part,
            ChainLink::OnDisk(location) => {
                let mut segments = self.segments.iter();
                let segment = segments.find(|segment| segment.number == location.segment);
                let segment = segment.expect("the segment of an indexed record");
                match &segment.records[location.offset as usize].record {
                    Record::Turn(record) => part_of(record),
                    other => panic!("{other:?} is no turn"),
                }
            }
        });
        let mut parts: Vec<ChainPart> = parts.collect();
        parts.reverse();
        parts
    }
}

/// Returns the part of a chain that a turn's record holds.
pub fn part_of(record: &TurnRecord) -> ChainPart {
    ChainPart {
        turn: record.turn.clone(),
        previous: record.previous.clone(),
        input: record.input.clone(),
        output: record.output.clone(),
    }
}
