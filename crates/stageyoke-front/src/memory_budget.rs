//! Budget for the memory of requests in flight, derived from the machine's memory. A front
//! above the budget rejects requests before reading them, instead of being killed for lack
//! of memory.

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the machine's memory for requests. The rest holds the binary, cached turns
/// (6 MB), the directory and the sockets, up to 18 MB on a machine of 48 MB.
const REQUEST_MEMORY_FRACTION: f64 = 0.35;

/// Memory budget shared by all requests of a front.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    used: Cell<usize>,
}

/// Memory used by one request, released when dropped.
#[derive(Debug)]
pub struct MemoryGuard {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget for a machine with the given memory.
    pub fn for_machine(memory_bytes: u64) -> Self {
        Self {
            capacity: (memory_bytes as f64 * REQUEST_MEMORY_FRACTION) as usize,
            used: Cell::new(0),
        }
    }

    /// Returns a guard for a new request that uses no memory yet.
    pub fn start_request(self: &Rc<Self>) -> MemoryGuard {
        MemoryGuard {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl MemoryGuard {
    /// Returns another guard of the same budget, which uses no memory yet.
    pub fn start_part(&self) -> Self {
        self.budget.start_request()
    }

    /// Takes over the memory of another guard of the same budget.
    pub fn absorb(&mut self, mut part: Self) {
        self.bytes += std::mem::take(&mut part.bytes);
    }

    /// Acquires memory if the budget allows it.
    pub fn try_acquire(&mut self, bytes: usize) -> bool {
        if self.budget.used.get() + bytes > self.budget.capacity {
            return false;
        }
        self.force_acquire(bytes);
        true
    }

    /// Changes the memory of the request to `bytes`, if the budget allows it; less is always
    /// allowed.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if let Some(additional) = bytes.checked_sub(self.bytes) {
            return self.try_acquire(additional);
        }
        self.budget
            .used
            .set(self.budget.used.get() - (self.bytes - bytes));
        self.bytes = bytes;
        true
    }

    /// Acquires memory even beyond the budget, for a request that has run and must not be
    /// rejected.
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
