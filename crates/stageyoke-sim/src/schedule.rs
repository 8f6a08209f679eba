//! The queue of what happens next in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stageyoke_types::Time;

struct Scheduled<T> {
    at: Time,
    sequence: u64,
    item: T,
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<T> Eq for Scheduled<T> {}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Scheduled<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Items ordered by time; items of one moment keep the order of insertion.
pub struct Schedule<T> {
    heap: BinaryHeap<Reverse<Scheduled<T>>>,
    sequence: u64,
}

impl<T> Default for Schedule<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<T> Schedule<T> {
    /// Adds an item for a moment.
    pub fn add(&mut self, at: Time, item: T) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence: self.sequence,
            item,
        }));
    }

    /// Takes the next item that is due by `until`.
    pub fn next_until(&mut self, until: Time) -> Option<(Time, T)> {
        let due = self.heap.peek().is_some_and(|next| next.0.at <= until);
        if !due {
            return None;
        }
        self.heap.pop().map(|next| (next.0.at, next.0.item))
    }
}
