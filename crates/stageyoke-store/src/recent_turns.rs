//! Cache of the newest turns with their contents, bounded in bytes. Evicts the oldest first.

use std::collections::{HashMap, VecDeque};

use crate::keys::TurnKey;
use crate::message::ChainPart;

/// Approximate memory of a turn beside its contents: identifiers and entries in the map and
/// the queue, measured together.
const TURN_OVERHEAD_BYTES: usize = 200;

/// Cache of recent turns.
#[derive(Debug)]
pub struct RecentTurns {
    max_bytes: usize,
    parts: HashMap<TurnKey, ChainPart>,
    order: VecDeque<TurnKey>,
    bytes: usize,
}

impl RecentTurns {
    /// Creates a cache of at most this size.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            parts: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Adds a turn and evicts old ones until the size limit is met. A turn that is larger than the
    /// limit is left out.
    pub fn insert(&mut self, part: ChainPart) {
        let key = TurnKey::of(&part.turn);
        if self.parts.contains_key(&key) || size_bytes(&part) > self.max_bytes {
            return;
        }
        self.bytes += size_bytes(&part);
        self.order.push_back(key);
        self.parts.insert(key, detached(part));
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(part) = self.parts.remove(&oldest) {
                self.bytes -= size_bytes(&part);
            }
        }
    }

    /// Returns a cached turn. Keys may collide, so the caller compares the identifier.
    pub fn get(&self, turn: TurnKey) -> Option<&ChainPart> {
        self.parts.get(&turn)
    }

    /// Estimated memory of the cache.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Copies the contents out of the buffers that they were read into: a slice would keep its
/// whole buffer allocated, which the size limit does not count.
fn detached(part: ChainPart) -> ChainPart {
    ChainPart {
        input: part.input.detached(),
        output: part.output.detached(),
        ..part
    }
}

fn size_bytes(part: &ChainPart) -> usize {
    part.bytes() + TURN_OVERHEAD_BYTES
}
