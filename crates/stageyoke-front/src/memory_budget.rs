//! Budget for the memory of requests in flight, derived from the machine's memory. A front
//! above the budget rejects requests before reading them, instead of being killed for lack
//! of memory.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::incoming_body::IncomingBody;

/// Fraction of the machine's memory for requests. The rest holds the binary, callers'
/// connections, cached turns (6 MB), the directory and the sockets.
const REQUEST_MEMORY_FRACTION: f64 = 0.35;
/// Fraction of the budget that large requests may use when they arrive. The rest is left for small
/// ones, so that a few large bodies don't reject everybody else.
const LARGE_REQUEST_FRACTION: f64 = 0.6;
/// Memory from which a request counts as large.
const LARGE_REQUEST_BYTES: usize = 128 * 1024;
/// Lateness from which a body's memory may be given to another request.
const MIN_REVOKED_LATENESS: Duration = Duration::from_millis(50);

/// Memory budget shared by all requests of a front.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    used: Cell<usize>,
    /// Bodies that are being received.
    incoming: RefCell<Vec<Rc<IncomingBody>>>,
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
            incoming: RefCell::default(),
        }
    }

    /// Returns a guard for a new request that uses no memory yet.
    pub fn start_request(self: &Rc<Self>) -> MemoryGuard {
        MemoryGuard {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Acquires `bytes` for a request that does not run yet, and has `request_bytes` then.
    pub(crate) fn try_admit(&self, bytes: usize, request_bytes: usize) -> bool {
        let limit = match request_bytes < LARGE_REQUEST_BYTES {
            true => self.capacity,
            false => (self.capacity as f64 * LARGE_REQUEST_FRACTION) as usize,
        };
        self.try_acquire_within(bytes, limit)
    }

    /// Acquires `bytes` if the memory in use stays within `limit`, if necessary from the bodies that
    /// arrive the latest.
    fn try_acquire_within(&self, bytes: usize, limit: usize) -> bool {
        let excess = self.used.get().saturating_add(bytes).saturating_sub(limit);
        if excess > 0 && !self.revoke(excess) {
            return false;
        }
        self.used.set(self.used.get() + bytes);
        true
    }

    /// Takes at least `bytes` from late bodies, or nothing if they don't have as much.
    fn revoke(&self, bytes: usize) -> bool {
        let incoming = self.incoming.borrow();
        let mut late: Vec<_> = incoming
            .iter()
            .map(|body| (body.lateness(), body))
            .filter(|(lateness, _)| *lateness >= MIN_REVOKED_LATENESS)
            .collect();
        let available: usize = late.iter().map(|(_, body)| body.reserved_bytes()).sum();
        if available < bytes {
            return false;
        }
        late.sort_by_key(|(lateness, _)| std::cmp::Reverse(*lateness));
        let mut revoked = 0;
        for (_, body) in late {
            if revoked >= bytes {
                break;
            }
            let taken = body.revoke();
            self.release(taken);
            revoked += taken;
        }
        true
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
    }

    /// Lists a body whose memory may be revoked.
    pub(crate) fn add_incoming(&self, body: Rc<IncomingBody>) {
        self.incoming.borrow_mut().push(body);
    }

    /// Removes a body from the list.
    pub(crate) fn remove_incoming(&self, body: &Rc<IncomingBody>) {
        let mut incoming = self.incoming.borrow_mut();
        if let Some(position) = incoming.iter().position(|other| Rc::ptr_eq(other, body)) {
            incoming.swap_remove(position);
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

    /// Returns the budget that the memory belongs to.
    pub(crate) fn budget(&self) -> &Rc<MemoryBudget> {
        &self.budget
    }

    /// Gives the memory away; it stays acquired.
    pub(crate) fn take_bytes(&mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }

    /// Takes over memory that is acquired already.
    pub(crate) fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Acquires memory for a request that does not run yet, if the budget allows it. A large
    /// request must leave a part of the budget to others.
    pub fn try_admit(&mut self, bytes: usize) -> bool {
        let is_admitted = self.budget.try_admit(bytes, self.bytes + bytes);
        self.bytes += bytes * usize::from(is_admitted);
        is_admitted
    }

    /// Acquires memory if the budget allows it.
    pub fn try_acquire(&mut self, bytes: usize) -> bool {
        let is_acquired = self.budget.try_acquire_within(bytes, self.budget.capacity);
        self.bytes += bytes * usize::from(is_acquired);
        is_acquired
    }

    /// Changes the memory of the request to `bytes`, if the budget allows it; less is always
    /// allowed.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if let Some(additional) = bytes.checked_sub(self.bytes) {
            return self.try_acquire(additional);
        }
        self.budget.release(self.bytes - bytes);
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
        self.budget.release(self.bytes);
    }
}
