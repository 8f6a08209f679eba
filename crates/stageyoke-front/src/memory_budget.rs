//! Bytes that requests under way hold, within a bound that comes from the
//! machine's memory: a front that is asked for more refuses what it has not
//! read, rather than be killed with all that it has.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the machine's memory for what requests hold. The rest holds the
/// program, recent turns (6 MB), the directory and the sockets: together 18 MB
/// at most on the days measured, on machines of 48 MB.
const REQUEST_MEMORY_FRACTION: f64 = 0.35;

/// The bound and what is held of it.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    used: Cell<usize>,
}

/// What one request holds; given back when dropped.
#[derive(Debug)]
pub struct MemoryGuard {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// The budget of a machine with so many bytes of memory.
    pub fn for_machine(memory_bytes: u64) -> Self {
        Self {
            capacity: (memory_bytes as f64 * REQUEST_MEMORY_FRACTION) as usize,
            used: Cell::new(0),
        }
    }

    /// Begins a request that holds nothing yet.
    pub fn start_request(self: &Rc<Self>) -> MemoryGuard {
        MemoryGuard {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl MemoryGuard {
    /// Takes so many bytes more, if the budget has them.
    pub fn try_acquire(&mut self, bytes: usize) -> bool {
        if self.budget.used.get() + bytes > self.budget.capacity {
            return false;
        }
        self.force_acquire(bytes);
        true
    }

    /// Takes them even beyond the budget: a request that has run must not be
    /// refused.
    pub fn force_acquire(&mut self, bytes: usize) {
        self.budget.used.set(self.budget.used.get() + bytes);
        self.bytes += bytes;
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
