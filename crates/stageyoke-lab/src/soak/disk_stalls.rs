//! Slows down and stalls the disks of stores. The thread that writes the journal is traced:
//! it is stopped at each sync for the time that a slow disk takes, or for a whole stall, while
//! the rest of the process goes on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nix::libc;
use nix::sys::ptrace;
use nix::sys::signal::Signal;
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::faults::random_milliseconds;

/// Name of the thread that writes a store's journal.
const JOURNAL_THREAD: &str = "journal";
/// Limits of the duration of a stall, in milliseconds.
const MIN_STALL_MS: u64 = 800;
const MAX_STALL_MS: u64 = 5000;

/// Limits of the time that is added to a sync of a slow disk, in milliseconds.
const MIN_SYNC_MS: u64 = 5;
const MAX_SYNC_MS: u64 = 120;
/// Limits of the time for which disks are slow, in milliseconds.
const MIN_SLOW_MS: u64 = 2000;
const MAX_SLOW_MS: u64 = 6000;

impl Deployment {
    /// Stalls the disk of one store or, as if all shared one disk, of all stores; returns the
    /// number of stalled disks.
    pub(super) async fn stall_disks(&mut self, store: usize, random: &mut ChaCha8Rng) -> usize {
        let duration = random_milliseconds(random, MIN_STALL_MS, MAX_STALL_MS);
        let stalled = match random.random_bool(0.5) {
            true => self.size.fronts..self.processes.len(),
            false => store..store + 1,
        };
        let processes = self.processes[stalled].iter();
        let processes = processes.filter_map(|process| process.process_id());
        self.stall_journals(processes.collect(), duration).await
    }

    /// Stalls the disks of all stores at the same time.
    pub async fn stall_all_disks(&self, duration: Duration) -> usize {
        let stores = self.processes[self.size.fronts..].iter();
        let processes = stores.filter_map(|process| process.process_id());
        self.stall_journals(processes.collect(), duration).await
    }

    /// Makes the disks of all stores slow for a while; returns the added time of each sync.
    pub(super) async fn slow_disks(&mut self, random: &mut ChaCha8Rng) -> Duration {
        let sync_time = random_milliseconds(random, MIN_SYNC_MS, MAX_SYNC_MS);
        let slow = self.delay_syncs(sync_time);
        tokio::time::sleep(random_milliseconds(random, MIN_SLOW_MS, MAX_SLOW_MS)).await;
        drop(slow);
        sync_time
    }

    /// Adds `sync_time` to each sync of all running stores until the result is dropped.
    pub fn delay_syncs(&self, sync_time: Duration) -> SlowDisks {
        let ends = Arc::new(AtomicBool::new(false));
        let stores = self.processes[self.size.fronts..].iter();
        for process in stores.filter_map(|process| process.process_id()) {
            let ends = ends.clone();
            std::thread::spawn(move || {
                if let Some(thread) = journal_thread(process) {
                    delay_syncs_of(thread, sync_time, &ends);
                }
            });
        }
        SlowDisks { ends }
    }

    async fn stall_journals(&self, processes: Vec<u32>, duration: Duration) -> usize {
        let threads: Vec<Pid> = processes.into_iter().filter_map(journal_thread).collect();
        // A thread can only be resumed by the one that stopped it.
        let stalling = tokio::task::spawn_blocking(move || {
            let stopped: Vec<Pid> = threads.into_iter().filter(|id| stop(*id)).collect();
            std::thread::sleep(duration);
            for thread in &stopped {
                let _ = ptrace::detach(*thread, None);
            }
            stopped.len()
        });
        let stalled = stalling.await.unwrap_or_default();
        if stalled == 0 {
            let breach = "no disk could be stalled".to_owned();
            self.promises.report_breach(breach);
        }
        stalled
    }
}

/// Disks that are slow until this is dropped.
pub struct SlowDisks {
    ends: Arc<AtomicBool>,
}

impl Drop for SlowDisks {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

/// Traces a thread and delays each of its syncs, until `ends` is set or the thread exits.
fn delay_syncs_of(thread: Pid, sync_time: Duration, ends: &AtomicBool) {
    if ptrace::seize(thread, ptrace::Options::PTRACE_O_TRACESYSGOOD).is_err()
        || ptrace::interrupt(thread).is_err()
    {
        return;
    }
    let mut enters = true;
    while let Ok(status) = waitpid(thread, Some(WaitPidFlag::__WALL)) {
        let mut delivered: Option<Signal> = None;
        match status {
            WaitStatus::PtraceSyscall(_) => {
                if enters && is_sync(thread) {
                    std::thread::sleep(sync_time);
                }
                enters = !enters;
            }
            WaitStatus::Stopped(_, signal) => delivered = Some(signal),
            WaitStatus::PtraceEvent(..) => enters = true,
            _ => return,
        }
        if ends.load(Ordering::Relaxed) {
            let _ = ptrace::detach(thread, delivered);
            return;
        }
        if ptrace::syscall(thread, delivered).is_err() {
            return;
        }
    }
}

/// Returns whether a thread that is stopped at a system call is stopped at a sync.
fn is_sync(thread: Pid) -> bool {
    let call = std::fs::read_to_string(format!("/proc/{thread}/syscall")).unwrap_or_default();
    let number = call
        .split(' ')
        .next()
        .and_then(|number| number.parse().ok());
    number.is_some_and(|number: i64| [libc::SYS_fdatasync, libc::SYS_fsync].contains(&number))
}

/// Stops a thread; returns whether it is stopped.
fn stop(thread: Pid) -> bool {
    let is_seized = ptrace::seize(thread, ptrace::Options::empty()).is_ok();
    is_seized
        && ptrace::interrupt(thread).is_ok()
        && waitpid(thread, Some(WaitPidFlag::__WALL)).is_ok()
}

/// Returns the identifier of a process's journal thread.
fn journal_thread(process: u32) -> Option<Pid> {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let mut threads = threads.filter_map(|thread| {
        let thread = thread.ok()?;
        let name = std::fs::read_to_string(thread.path().join("comm")).ok()?;
        let id = thread.file_name().to_str()?.parse().ok()?;
        (name.trim_end() == JOURNAL_THREAD).then(|| Pid::from_raw(id))
    });
    threads.next()
}
