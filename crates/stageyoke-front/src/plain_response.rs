//! Reads the body of a plain response, which is buffered until it is complete.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::memory_budget::MemoryGuard;

/// Maximum size of a plain response.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a response may exceed the memory budget: its request has run, and a busy
/// front should not lose its outcome for so little.
const UNCONDITIONAL_BYTES: usize = 16 * 1024;

/// Reason why a response's body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended before the body was complete.
    Truncated,
    /// The body exceeds [`MAX_RESPONSE_BYTES`].
    TooLarge,
    /// The memory budget does not allow for the body.
    OutOfMemory,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

/// Reads the body until the deadline. The guard acquires memory as the body grows, or up front if
/// its length is known.
pub async fn read(
    body: &mut Incoming,
    memory_guard: &mut MemoryGuard,
    deadline: Instant,
) -> Result<Bytes, ReadError> {
    let reading = read_to_end(body, memory_guard);
    match tokio::time::timeout_at(deadline, reading).await {
        Ok(outcome) => outcome,
        Err(_) => Err(ReadError::DeadlineExceeded),
    }
}

async fn read_to_end(
    body: &mut Incoming,
    memory_guard: &mut MemoryGuard,
) -> Result<Bytes, ReadError> {
    let mut content = Content::new(memory_guard);
    if let Some(length) = body.size_hint().exact() {
        content.reserve_exact(usize::try_from(length).unwrap_or(usize::MAX))?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Truncated)?;
        if let Some(data) = frame.data_ref() {
            content.append(data)?;
        }
    }
    Ok(Bytes::from(content.bytes))
}

/// Content that acquires memory before it grows. Chunks are copied, since each of them may keep a
/// whole read buffer alive.
struct Content<'a> {
    bytes: Vec<u8>,
    memory_guard: &'a mut MemoryGuard,
}

impl<'a> Content<'a> {
    fn new(memory_guard: &'a mut MemoryGuard) -> Self {
        Self {
            bytes: Vec::new(),
            memory_guard,
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let capacity = self.bytes.capacity();
            let amortized = needed.max(capacity + capacity / 2).min(MAX_RESPONSE_BYTES);
            self.reserve_exact(amortized.max(needed))
                .or_else(|_| self.reserve_exact(needed))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Grows to at least this capacity.
    fn reserve_exact(&mut self, capacity: usize) -> Result<(), ReadError> {
        if capacity > MAX_RESPONSE_BYTES {
            return Err(ReadError::TooLarge);
        }
        let added = capacity.saturating_sub(self.bytes.capacity());
        if capacity <= UNCONDITIONAL_BYTES {
            self.memory_guard.force_acquire(added);
        } else if !self.memory_guard.try_acquire(added) {
            return Err(ReadError::OutOfMemory);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}
