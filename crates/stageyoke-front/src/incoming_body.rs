//! A request's body while it is received. Its memory is acquired before it is held, and may be
//! revoked for another request as long as the body arrives late: a caller that declares a large
//! body and sends little of it holds nothing that others need.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use stageyoke_observe as observe;
use stageyoke_types::ErrorKind;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body_buffer::BodyBuffer;
use crate::caller_connections::ConnectionHandle;
use crate::failure::Failure;
use crate::handler::{SHORT_RETRY_DELAY, out_of_memory};
use crate::memory_budget::{MemoryBudget, MemoryGuard};

/// Rate that a body's arrival is compared with.
const REFERENCE_BYTES_PER_SECOND: f64 = 1024.0 * 1024.0;
/// Memory that a body without a stated length acquires first.
const FIRST_GROWTH_BYTES: usize = 4 * 1024;

/// Body that is being received, as the memory budget sees it.
#[derive(Debug)]
pub struct IncomingBody {
    started: Instant,
    content: RefCell<BodyBuffer>,
    /// Memory of the request, its head included.
    reserved: Cell<usize>,
    is_revoked: Cell<bool>,
    revocation: Notify,
}

impl IncomingBody {
    /// Returns how much longer the body has taken than at the reference rate.
    pub(crate) fn lateness(&self) -> Duration {
        let received = self.content.borrow().len() as f64;
        let expected = Duration::from_secs_f64(received / REFERENCE_BYTES_PER_SECOND);
        self.started.elapsed().saturating_sub(expected)
    }

    /// Returns the memory of the request.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.reserved.get()
    }

    /// Drops what was received, and returns how much memory that frees.
    pub(crate) fn revoke(&self) -> usize {
        self.content.take();
        self.is_revoked.set(true);
        self.revocation.notify_one();
        observe::metrics().revoked_bodies.inc();
        self.reserved.take()
    }
}

/// Keeps a body listed at the budget, and owns its memory until it is complete.
struct Reservation<'a> {
    body: Rc<IncomingBody>,
    guard: &'a mut MemoryGuard,
    /// Size for which memory is acquired.
    capacity: Cell<usize>,
    copies: usize,
}

impl<'a> Reservation<'a> {
    /// Lists a body of a request whose memory so far is that of `guard`.
    fn start(guard: &'a mut MemoryGuard, copies: usize) -> Self {
        let body = Rc::new(IncomingBody {
            started: Instant::now(),
            content: RefCell::default(),
            reserved: Cell::new(guard.take_bytes()),
            is_revoked: Cell::new(false),
            revocation: Notify::new(),
        });
        guard.budget().add_incoming(body.clone());
        Self {
            body,
            guard,
            capacity: Cell::new(0),
            copies,
        }
    }

    fn budget(&self) -> &MemoryBudget {
        self.guard.budget()
    }

    /// Acquires memory for a capacity and makes room for it. The budget may revoke this body
    /// meanwhile, if it is the latest one.
    fn try_grow(&self, capacity: usize, max_bytes: usize) -> bool {
        let added = (capacity - self.capacity.get()) * self.copies;
        let total = self.body.reserved.get() + added;
        if !self.budget().try_admit(added, total) {
            return false;
        }
        let has_room = || {
            let mut content = self.body.content.borrow_mut();
            content.try_reserve(capacity, max_bytes)
        };
        if self.body.is_revoked.get() || !has_room() {
            self.budget().release(added);
            return false;
        }
        self.body.reserved.set(total);
        self.capacity.set(capacity);
        true
    }

    /// Adds received bytes to a body that may have `limit` of them.
    fn append(&self, data: &[u8], limit: usize) -> Result<(), Failure> {
        let needed = self.body.content.borrow().len() + data.len();
        if needed > limit {
            return Err(too_large());
        }
        let capacity = self.capacity.get();
        if needed > capacity {
            let amortized = needed.max(capacity * 2).max(FIRST_GROWTH_BYTES).min(limit);
            if !self.try_grow(amortized, limit) && !self.try_grow(needed, limit) {
                return Err(out_of_memory());
            }
        }
        self.body.content.borrow_mut().append(data);
        Ok(())
    }

    /// Returns the complete body; its memory is the request's again.
    fn finish(self) -> Bytes {
        self.body.content.take().into_bytes()
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.guard.budget().remove_incoming(&self.body);
        self.guard.add_bytes(self.body.reserved.take());
    }
}

/// Limits of a request's body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum size.
    pub(crate) bytes: usize,
    /// Number of times that the body is in memory until its request ends.
    pub(crate) copies: usize,
}

/// Reads a request's body. Memory for the whole body is acquired up front if its length is
/// known, otherwise as it grows. Chunks are copied, since each of them may keep a whole read
/// buffer alive.
pub(crate) async fn read_body(
    mut body: Incoming,
    limits: BodyLimits,
    memory_guard: &mut MemoryGuard,
    connection: &ConnectionHandle,
) -> Result<Bytes, Failure> {
    let content_length = body.size_hint().exact();
    if content_length.is_some_and(|length| length > limits.bytes as u64) {
        return Err(too_large());
    }
    if content_length == Some(0) {
        return Ok(Bytes::new());
    }
    let reservation = Reservation::start(memory_guard, limits.copies);
    if let Some(length) = content_length
        && !reservation.try_grow(length as usize, length as usize)
    {
        return Err(out_of_memory());
    }
    loop {
        let frame = tokio::select! {
            biased;
            () = reservation.body.revocation.notified() => return Err(out_of_memory()),
            () = connection.evicted() => return Err(too_many_connections()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(reservation.finish());
        };
        let frame = frame.map_err(|_| broke_off())?;
        if let Some(data) = frame.data_ref() {
            reservation.append(data, limits.bytes)?;
        }
    }
}

fn too_large() -> Failure {
    Failure::permanent(ErrorKind::TooLarge, "body_too_large")
}

fn too_many_connections() -> Failure {
    let cause = "too_many_connections";
    Failure::retryable(ErrorKind::Overloaded, cause, SHORT_RETRY_DELAY)
}

fn broke_off() -> Failure {
    Failure::permanent(ErrorKind::BadRequest, "body_broke_off")
}
