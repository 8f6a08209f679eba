//! Watches the memory and the descriptors of a child process, and stops it beyond its limits.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::task::AbortHandle;

use crate::soak::connections::open_files;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Samples of memory for each count of descriptors, which takes longer.
const SAMPLES_PER_COUNT: u32 = 10;

/// Largest values that were seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchedPeaks {
    /// Resident memory in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Whether the process was stopped, or ended by itself.
    pub has_ended: bool,
}

/// Watch over one process, until it is dropped.
pub struct ProcessWatch {
    peaks: Arc<Mutex<WatchedPeaks>>,
    process: u32,
    task: AbortHandle,
}

impl ProcessWatch {
    /// Starts to watch a child process, and stops it when it exceeds a limit.
    pub fn start(process: u32, max_memory: u64, max_descriptors: usize) -> Self {
        let peaks: Arc<Mutex<WatchedPeaks>> = Arc::default();
        let watched = peaks.clone();
        let task = tokio::spawn(async move {
            for sample in 0u32.. {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                let mut peaks = watched.lock().unwrap_or_else(PoisonError::into_inner);
                let Some(memory) = resident_memory(process) else {
                    peaks.has_ended = true;
                    return;
                };
                peaks.memory = peaks.memory.max(memory);
                if sample.is_multiple_of(SAMPLES_PER_COUNT) {
                    peaks.descriptors = peaks.descriptors.max(open_files(process).count());
                }
                if peaks.memory > max_memory || peaks.descriptors > max_descriptors {
                    let _ = kill(Pid::from_raw(process as i32), Signal::SIGKILL);
                    peaks.has_ended = true;
                    return;
                }
            }
        });
        Self {
            peaks,
            process,
            task: task.abort_handle(),
        }
    }

    /// Returns the largest values so far.
    pub fn peaks(&self) -> WatchedPeaks {
        *self.peaks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the memory that the process uses now; 0 if it has ended.
    pub fn memory(&self) -> u64 {
        resident_memory(self.process).unwrap_or(0)
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the resident memory in bytes; none if the process has ended.
fn resident_memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let mut lines = status.lines();
    let resident = lines.find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = resident.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes * 1024)
}
