//! Clock of a store's disk: the total time that store processes have run on it.
//!
//! The clock continues across restarts, so that retention periods do not start again. It
//! never runs ahead of real time.

use std::time::Instant;

/// The total running time of processes on a disk, as recorded on the disk.
#[derive(Clone, Copy, Debug)]
pub struct DiskClock {
    recorded_seconds: u64,
    started: Instant,
}

impl DiskClock {
    /// Resumes from the seconds that are recorded on the disk.
    pub fn resume_from(recorded_seconds: u64) -> Self {
        Self {
            recorded_seconds,
            started: Instant::now(),
        }
    }

    /// Returns the current reading in seconds.
    pub fn seconds(&self) -> u64 {
        self.recorded_seconds + self.started.elapsed().as_secs()
    }
}
