//! Derives a store's memory limits from the memory of its machine.

use std::time::Duration;

use crate::journal::DEFAULT_SEGMENT_BYTES;

/// Fraction of the memory for the index. The rest is for the process itself (10 MB measured
/// on a machine of 58 MB), a segment being read, records that wait for the disk, socket buffers and allocator overhead.
const STATE_FRACTION: f64 = 0.5;
/// Fraction of the memory for the contents of recent turns; part of the index's share.
const RECENT_FRACTION: f64 = 0.08;
/// Fraction of the memory for records that wait for the disk.
const BACKLOG_FRACTION: f64 = 0.1;
/// Fraction of the memory for large replies that are being sent.
const REPLY_FRACTION: f64 = 0.1;
/// Fraction of the index's memory above which no new turn is accepted.
const RESERVATION_FRACTION: f64 = 0.85;
/// Fraction of the index's memory for copies of the directory that are being sent.
const DIRECTORY_TRANSFER_FRACTION: f64 = 0.1;
/// Fraction of the index's memory for what callers got of streams that were broken off.
const BROKEN_STREAM_FRACTION: f64 = 0.1;
/// Default memory limit: that of the smallest store machine of all deployments.
pub const DEFAULT_MEMORY_BYTES: u64 = 58 * 1024 * 1024;

/// Default time from the start of a lost store's successor until the group must tolerate the
/// next loss: the shortest of all deployments.
pub const DEFAULT_CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Resource limits of one store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Estimated size of the index above which no record is accepted.
    pub state_bytes: usize,
    /// Memory for the contents of recent turns.
    pub recent_bytes: usize,
    /// Memory for records that wait for the disk.
    pub backlog_bytes: usize,
    /// Memory for large replies that are being sent.
    pub reply_bytes: usize,
    /// Size above which a journal segment is closed.
    pub segment_bytes: u64,
}

impl StoreLimits {
    /// Derives the limits from the memory of the machine.
    pub fn for_memory(memory_bytes: u64) -> Self {
        let share = |fraction: f64| (memory_bytes as f64 * fraction) as usize;
        Self {
            state_bytes: share(STATE_FRACTION),
            recent_bytes: share(RECENT_FRACTION),
            backlog_bytes: share(BACKLOG_FRACTION),
            reply_bytes: share(REPLY_FRACTION),
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }

    /// Replaces the segment size.
    pub fn with_segment_bytes(self, segment_bytes: u64) -> Self {
        Self {
            segment_bytes,
            ..self
        }
    }

    /// Estimated size of the index above which no new turn is accepted.
    pub fn reservation_limit_bytes(&self) -> usize {
        (self.state_bytes as f64 * RESERVATION_FRACTION) as usize
    }

    /// Memory for what callers got of streams that were broken off.
    pub fn broken_stream_bytes(&self) -> usize {
        (self.state_bytes as f64 * BROKEN_STREAM_FRACTION) as usize
    }

    /// Memory for copies of the directory that are being sent.
    pub fn directory_transfer_bytes(&self) -> usize {
        (self.state_bytes as f64 * DIRECTORY_TRANSFER_FRACTION) as usize
    }
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self::for_memory(DEFAULT_MEMORY_BYTES)
    }
}
