//! Bytes that requests under way hold, within a bound that comes from the
//! machine's memory: a front that is asked for more refuses what it has not
//! read, rather than be killed with all that it has.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the machine's memory for what requests hold. The rest holds the
/// program, recent turns (6 MB), the directory and the sockets: together 18 MB
/// at most on the days measured, on machines of 48 MB.
const HELD_PART: f64 = 0.35;

/// The bound and what is held of it.
#[derive(Debug)]
pub struct MemoryBudget {
    most: usize,
    held: Cell<usize>,
}

/// What one request holds; given back when dropped.
#[derive(Debug)]
pub struct Held {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// The budget of a machine with so many bytes of memory.
    pub fn within(memory_bytes: u64) -> Self {
        Self {
            most: (memory_bytes as f64 * HELD_PART) as usize,
            held: Cell::new(0),
        }
    }

    /// Begins a request that holds nothing yet.
    pub fn begin(self: &Rc<Self>) -> Held {
        Held {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Held {
    /// Takes so many bytes more, if the budget has them.
    pub fn take(&mut self, bytes: usize) -> bool {
        if self.budget.held.get() + bytes > self.budget.most {
            return false;
        }
        self.take_anyway(bytes);
        true
    }

    /// Takes them even beyond the budget: a request that has run must not be
    /// refused.
    pub fn take_anyway(&mut self, bytes: usize) {
        self.budget.held.set(self.budget.held.get() + bytes);
        self.bytes += bytes;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
    }
}
