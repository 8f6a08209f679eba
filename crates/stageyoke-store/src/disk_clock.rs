//! The clock of a store's disk: seconds that processes have run on it. It goes
//! on over restarts, so that what is kept for a time does not begin that time
//! anew at each of them. It never runs ahead of true time.

use std::time::Instant;

/// Seconds that processes have run on a disk, as far as the disk tells.
#[derive(Clone, Copy, Debug)]
pub struct DiskClock {
    base: u64,
    started: Instant,
}

impl DiskClock {
    /// Goes on from the seconds that the disk tells.
    pub fn resume_from(base: u64) -> Self {
        Self {
            base,
            started: Instant::now(),
        }
    }

    /// Seconds now.
    pub fn seconds(&self) -> u64 {
        self.base + self.started.elapsed().as_secs()
    }
}
