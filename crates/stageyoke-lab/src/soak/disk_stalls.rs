//! Slows down and stalls the disks of stores: a delay is added to each of their syncs.

use std::io;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::faults::random_milliseconds;
use super::processes::Process;

/// Limits of the duration of a stall, in milliseconds.
const MIN_STALL_MS: u64 = 800;
const MAX_STALL_MS: u64 = 5000;
/// Limits of the time that is added to a sync of a slow disk, in milliseconds.
const MIN_SYNC_MS: u64 = 5;
const MAX_SYNC_MS: u64 = 120;
/// Limits of the time for which disks are slow, in milliseconds.
const MIN_SLOW_MS: u64 = 2000;
const MAX_SLOW_MS: u64 = 6000;
/// Time in which every store begins a sync under load.
const STALL_START: Duration = Duration::from_millis(300);

impl Deployment {
    /// Stalls the disk of one store or, as if all shared one disk, of all stores; returns the
    /// number of stalled disks. A sync that began before the stall ends takes its whole time.
    pub(super) async fn stall_disks(&mut self, store: usize, random: &mut ChaCha8Rng) -> usize {
        let duration = random_milliseconds(random, MIN_STALL_MS, MAX_STALL_MS);
        let stalled = match random.random_bool(0.5) {
            true => self.size.fronts..self.processes.len(),
            false => store..store + 1,
        };
        let processes = &self.processes[stalled];
        self.delay_syncs(processes, duration);
        tokio::time::sleep(STALL_START).await;
        self.delay_syncs(processes, Duration::ZERO);
        tokio::time::sleep(duration).await;
        processes.len()
    }

    /// Makes the disks of all stores slow for a while; returns the added time of each sync.
    pub(super) async fn slow_disks(&mut self, random: &mut ChaCha8Rng) -> Duration {
        let sync_time = random_milliseconds(random, MIN_SYNC_MS, MAX_SYNC_MS);
        self.delay_all_syncs(sync_time);
        tokio::time::sleep(random_milliseconds(random, MIN_SLOW_MS, MAX_SLOW_MS)).await;
        self.delay_all_syncs(Duration::ZERO);
        sync_time
    }

    /// Adds `delay` to each sync of all stores from now on.
    pub fn delay_all_syncs(&self, delay: Duration) {
        self.delay_syncs(&self.processes[self.size.fronts..], delay);
    }

    /// Describes a disk fault for the report, and whether it has an effect on this build.
    pub(super) fn describe_disk_fault(&self, detail: String) -> String {
        match self.can_delay_syncs() {
            true => detail,
            false => format!("{detail}, without effect on this build"),
        }
    }

    fn delay_syncs(&self, stores: &[Process], delay: Duration) {
        let written: io::Result<()> = stores.iter().try_for_each(|store| store.delay_syncs(delay));
        if let Err(error) = written {
            self.promises
                .report_breach(format!("a disk could not be slowed down: {error}"));
        }
    }
}
