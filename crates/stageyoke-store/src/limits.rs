//! What a store's memory is given to, worked out from its machine's limit.

use std::time::Duration;

use crate::journal::DEFAULT_SEGMENT_BYTES;

/// Part of the memory for the index. The rest holds the program (10 MB on a
/// machine of 58 MB, measured), a segment that is looked at, what waits for the
/// disk and the sockets, and what the allocator can't give back.
const STATE_PART: f64 = 0.5;
/// Part of the memory for the newest turns' contents, within the index's part.
const RECENT_PART: f64 = 0.08;
/// Part of the memory that may wait for the disk.
const BACKLOG_PART: f64 = 0.1;
/// Part of the index's memory beyond which no new turn begins.
const RESERVE_PART: f64 = 0.85;
/// Memory where the settings name none: the smallest store machine's among the
/// deployments.
pub const DEFAULT_MEMORY_BYTES: u64 = 58 * 1024 * 1024;

/// Time from the start of a lost store's successor until the group must bear the next
/// loss, where the settings name none: the shortest among the deployments.
pub const DEFAULT_CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Bounds of one store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Estimated bytes of the index beyond which no record is taken.
    pub state_bytes: usize,
    /// Bytes of the newest turns' contents.
    pub recent_bytes: usize,
    /// Bytes of records that wait for the disk.
    pub backlog_bytes: usize,
    /// A segment of the journal is closed beyond this size.
    pub segment_bytes: u64,
}

impl StoreLimits {
    /// Bounds for a machine with so much memory.
    pub fn for_memory(memory_bytes: u64) -> Self {
        let part = |part: f64| (memory_bytes as f64 * part) as usize;
        Self {
            state_bytes: part(STATE_PART),
            recent_bytes: part(RECENT_PART),
            backlog_bytes: part(BACKLOG_PART),
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }

    /// The same with other segments.
    pub fn with_segment_bytes(self, segment_bytes: u64) -> Self {
        Self {
            segment_bytes,
            ..self
        }
    }

    /// Estimated bytes of the index beyond which no new turn begins.
    pub fn reservation_limit_bytes(&self) -> usize {
        (self.state_bytes as f64 * RESERVE_PART) as usize
    }
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self::for_memory(DEFAULT_MEMORY_BYTES)
    }
}
