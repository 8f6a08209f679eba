//! Limits the memory of large replies that are being read, encoded and sent at once.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Size up to which a reply needs no share of the memory.
const SMALL_REPLY_BYTES: usize = 64 * 1024;
/// Copies of a reply in memory at once: its content and its encoding.
const COPIES: usize = 2;
const UNIT_BYTES: usize = 1024;
/// Time to wait for a share; then the requester asks another store.
const WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Memory shared by all large replies of a store.
#[derive(Debug)]
pub struct ReplyMemory {
    units: Arc<Semaphore>,
    capacity: usize,
}

/// Share of one reply, released on drop; empty for a small reply.
#[derive(Debug)]
pub struct ReplyShare {
    _units: Option<OwnedSemaphorePermit>,
}

impl ReplyMemory {
    /// Creates the memory with this size. One reply may exceed it, on its own.
    pub fn new(bytes: usize) -> Self {
        let capacity = (bytes / UNIT_BYTES).max(1);
        Self {
            units: Arc::new(Semaphore::new(capacity)),
            capacity,
        }
    }

    /// Acquires the share of a reply of this size; `None` if other replies hold too much of the
    /// memory for too long.
    pub async fn acquire(&self, reply_bytes: usize) -> Option<ReplyShare> {
        if reply_bytes <= SMALL_REPLY_BYTES {
            return Some(ReplyShare { _units: None });
        }
        let units = (reply_bytes * COPIES).div_ceil(UNIT_BYTES);
        let units = u32::try_from(units.min(self.capacity)).unwrap_or(u32::MAX);
        let acquiring = self.units.clone().acquire_many_owned(units);
        let acquired = tokio::time::timeout(WAIT_TIMEOUT, acquiring).await;
        let units = acquired.ok()?.ok()?;
        Some(ReplyShare {
            _units: Some(units),
        })
    }
}
