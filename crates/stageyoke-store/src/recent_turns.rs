//! The newest turns with their contents, within a bound of bytes; the oldest
//! go first.

use std::collections::{HashMap, VecDeque};

use crate::keys::TurnKey;
use crate::message::ChainPart;

/// Bytes that one turn costs beside its contents: its identifiers, and its
/// places in the map and in the order (measured together at about 200).
const TURN_OVERHEAD: usize = 200;

/// Recent turns, oldest out first.
#[derive(Debug)]
pub struct RecentTurns {
    most_bytes: usize,
    parts: HashMap<TurnKey, ChainPart>,
    order: VecDeque<TurnKey>,
    bytes: usize,
}

impl RecentTurns {
    /// Keeps at most so many bytes.
    pub fn new(most_bytes: usize) -> Self {
        Self {
            most_bytes,
            parts: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Takes a turn.
    pub fn insert(&mut self, part: ChainPart) {
        let key = TurnKey::of(&part.turn);
        if self.parts.contains_key(&key) {
            return;
        }
        self.bytes += weight(&part);
        self.order.push_back(key);
        self.parts.insert(key, detached(part));
        while self.bytes > self.most_bytes {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(part) = self.parts.remove(&oldest) {
                self.bytes -= weight(&part);
            }
        }
    }

    /// A turn, if it is among them; the caller compares its identifier.
    pub fn get(&self, turn: TurnKey) -> Option<&ChainPart> {
        self.parts.get(&turn)
    }

    /// Bytes in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// The part without what its contents were cut from: kept read buffers of 8 KB are not
/// counted, and grew a front's memory beyond its bound.
fn detached(part: ChainPart) -> ChainPart {
    ChainPart {
        input: part.input.detached(),
        output: part.output.detached(),
        ..part
    }
}

fn weight(part: &ChainPart) -> usize {
    part.input.len() + part.output.len() + TURN_OVERHEAD
}
