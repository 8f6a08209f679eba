//! Random faults, one after the other or overlapping, drawn from a seed. At most one store
//! is affected at a time, since the deployment tolerates the loss of one; a front may be
//! affected at any time.

use std::fmt;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::disturbances::{MAX_PROPAGATION_DELAY, RECOVERY_DELAY};
use super::processes::Process;
use super::proxy::Mode;
use crate::standins::platform::COLD_TIME;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a front and restarts it.
    KillFront,
    /// Stops a front gracefully and restarts it.
    StopFront,
    /// Suspends a front.
    PauseFront,
    /// Kills a store and restarts it with a torn write at the end of its journal.
    KillStore,
    /// Suspends a store.
    PauseStore,
    /// Kills a store, deletes its data and restarts it.
    WipeStore,
    /// Kills and restarts all processes at once.
    KillAll,
    /// Disturbs the connections to the key-value service.
    CutService,
    /// Makes the key-value service refuse, respond slowly, lose responses or forget its
    /// history.
    TroubleService,
    /// Disturbs the connections to a replica.
    CutReplicas,
    /// Makes replicas refuse requests, break off responses or lose them.
    TroubleReplicas,
    /// Writes a new configuration.
    Reconfigure,
    /// Disturbs the connections from fronts and other stores to a store.
    CutStore,
    /// Makes the disk of a store full.
    FillDisk,
    /// Makes the key-value service respond to nobody without closing connections. Soon
    /// after its return the configuration changes and a replica drains.
    SilenceService,
    /// Replaces the model replicas one after the other.
    ReplaceReplicas,
    /// Loses stores one after the other, each once the successor of the previous one has
    /// had its time to catch up.
    Losses,
    /// Makes the key-value service silent, silent one way or refusing for some processes.
    /// Soon after its return the configuration changes and a replica drains.
    TroubleServiceForSome,
    /// Drops what other stores send to a store, or its responses to them; fronts still
    /// reach it, and its own calls pass.
    SilenceBetweenStores,
    /// Isolates a front from the key-value service and all stores, while a replica leaves.
    CutFront,
    /// Restarts a replica with the same identifier at another address.
    RestartReplica,
    /// Overwrites entries of the replica list with invalid values.
    SpoilEntries,
    /// Slows down responses of the key-value service and the stores to some fronts, while
    /// the configuration grows and replicas drain.
    SlowTransfers,
    /// Signals fronts and a store without waiting for each to recover, while the
    /// configuration changes, a replica drains and the connections of one process to the
    /// key-value service are disturbed.
    OverlapFaults,
    /// Stalls the disk of one store, or of all stores at the same time.
    StallDisks,
    /// Makes each sync of all stores take longer.
    SlowDisks,
    /// Evacuates a zone and takes it back with cold replicas.
    EvacuateZone,
    /// Restarts all model replicas but one, so that they are cold.
    CoolReplicas,
    /// Makes replicas answer without a length or chunks, and break off some of these answers.
    UnframeAnswers,
    /// Replaces model replicas one after the other by ones of a newer software version.
    ReplaceVersions,
    /// Repeats a request that ends each model replica which runs it.
    EndReplicas,
    /// Stores turns that together exceed one message between stores, and then loses stores.
    LargeTurns,
    /// Makes replicas send some answers without end.
    EndlessAnswers,
    /// Makes replicas send second answers in the place of the next ones due.
    SurplusAnswers,
    /// Crashes the last model replicas of a software version beside those of a newer one, and
    /// kills and restarts all fronts at that moment.
    KillFrontsBesideVersions,
}

/// Kinds drawn by default. New kinds are appended, because regression cases use a prefix of
/// this list.
pub const FAULTS: [Fault; 29] = [
    Fault::KillFront,
    Fault::StopFront,
    Fault::PauseFront,
    Fault::KillStore,
    Fault::PauseStore,
    Fault::WipeStore,
    Fault::KillAll,
    Fault::CutService,
    Fault::TroubleService,
    Fault::CutReplicas,
    Fault::TroubleReplicas,
    Fault::Reconfigure,
    Fault::CutStore,
    Fault::FillDisk,
    Fault::SilenceService,
    Fault::ReplaceReplicas,
    Fault::TroubleServiceForSome,
    Fault::SilenceBetweenStores,
    Fault::CutFront,
    Fault::RestartReplica,
    Fault::SpoilEntries,
    Fault::SlowTransfers,
    Fault::OverlapFaults,
    Fault::StallDisks,
    Fault::SlowDisks,
    Fault::EvacuateZone,
    Fault::CoolReplicas,
    Fault::UnframeAnswers,
    Fault::ReplaceVersions,
];

/// Kinds drawn only if they are named explicitly.
pub const NAMED_FAULTS: [Fault; 6] = [
    Fault::Losses,
    Fault::EndReplicas,
    Fault::LargeTurns,
    Fault::EndlessAnswers,
    Fault::SurplusAnswers,
    Fault::KillFrontsBesideVersions,
];

impl Fault {
    /// Returns the fault with this name, ignoring case.
    pub fn from_name(name: &str) -> Option<Self> {
        let mut faults = FAULTS.into_iter().chain(NAMED_FAULTS);
        faults.find(|fault| format!("{fault:?}").eq_ignore_ascii_case(name))
    }

    /// Returns whether time bounds are suspended while the fault lasts.
    fn suspends_bounds(self) -> bool {
        matches!(
            self,
            Self::KillFront
                | Self::StopFront
                | Self::PauseFront
                | Self::KillAll
                | Self::CutService
                | Self::TroubleService
                | Self::OverlapFaults
                | Self::EndReplicas
        )
    }

    /// Returns whether no request can be served during the fault.
    pub fn stops_everything(self) -> bool {
        matches!(self, Self::KillAll | Self::KillFrontsBesideVersions)
    }

    /// Returns whether processes that hold requests are suspended or killed all at once.
    fn suspends_processes(self) -> bool {
        matches!(
            self,
            Self::KillAll | Self::KillFrontsBesideVersions | Self::PauseFront | Self::OverlapFaults
        )
    }

    /// Returns whether the store must catch up before the next store may fail.
    fn affects_a_store(self) -> bool {
        matches!(
            self,
            Self::KillStore
                | Self::PauseStore
                | Self::WipeStore
                | Self::CutStore
                | Self::FillDisk
                | Self::SilenceBetweenStores
                | Self::OverlapFaults
                | Self::StallDisks
        )
    }
}

/// Returns the time after the end of a fault from which requests must be served again.
pub fn recovery_time(fault: Fault) -> Duration {
    match fault.stops_everything() {
        true => Duration::from_secs(15),
        false => Duration::ZERO,
    }
}

/// Maximum number of replicas that one fault replaces.
const MAX_REPLACED_REPLICAS: usize = 6;
/// Time for which a killed or stopped process stays down.
const RESTART_DELAY: Duration = Duration::from_millis(400);

pub(super) fn random_milliseconds(random: &mut ChaCha8Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

/// A fault that was injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InjectedFault {
    /// Kind of the fault.
    pub fault: Fault,
    /// Details beyond the kind, such as the stores that were lost.
    pub details: Vec<String>,
    /// Whether requests can get no response while the fault lasts: processes that hold them are
    /// suspended or gone, or no disk takes a record.
    pub stops_responses: bool,
}

impl fmt::Display for InjectedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.fault)?;
        match self.details.is_empty() {
            true => Ok(()),
            false => write!(formatter, " ({})", self.details.join("; ")),
        }
    }
}

impl Deployment {
    /// Draws one of the faults, injects it and reverts it; returns which one it was.
    pub async fn inject_fault(
        &mut self,
        random: &mut ChaCha8Rng,
        faults: &[Fault],
    ) -> InjectedFault {
        let fault = faults[random.random_range(0..faults.len())];
        let front = random.random_range(0..self.size.fronts);
        let store = self.size.fronts + random.random_range(0..self.size.stores);
        let duration = random_milliseconds(random, 300, 3000);
        if fault.suspends_bounds() {
            self.promises.disturbances.record_start();
        }
        let mut details = Vec::new();
        let mut stops_responses = fault.suspends_processes();
        match fault {
            Fault::KillFront => self.restart(front, Signal::SIGKILL).await,
            Fault::StopFront => self.restart(front, Signal::SIGTERM).await,
            Fault::PauseFront => self.pause(front, duration).await,
            Fault::KillStore => self.kill_store(store, random).await,
            Fault::PauseStore => self.pause(store, duration).await,
            Fault::WipeStore => self.wipe_store(store).await,
            Fault::KillAll => self.kill_processes(0..self.processes.len()).await,
            Fault::CutService => self.disrupt_service_connections(random, duration).await,
            Fault::TroubleService => self.disrupt_service(random, duration).await,
            Fault::CutReplicas => self.disrupt_replica_connections(random, duration).await,
            Fault::TroubleReplicas => self.disrupt_replicas(random, duration).await,
            Fault::Reconfigure => self.reconfigure(),
            Fault::CutStore => {
                self.disrupt_store_connections(store - self.size.fronts, random, duration)
                    .await
            }
            Fault::FillDisk => self.fill_disk(store, duration).await,
            Fault::SilenceService => self.silence_service(random).await,
            Fault::ReplaceReplicas => self.replace_replicas(random).await,
            Fault::TroubleServiceForSome => self.disrupt_service_for_some(random).await,
            Fault::SilenceBetweenStores => {
                self.silence_between_stores(store - self.size.fronts, random, duration)
                    .await
            }
            Fault::CutFront => self.isolate_front(front, random).await,
            Fault::RestartReplica => self.restart_replica(random).await,
            Fault::SpoilEntries => self.corrupt_entries(random).await,
            Fault::SlowTransfers => self.slow_transfers(random).await,
            Fault::OverlapFaults => details = self.overlap_faults(random).await,
            Fault::StallDisks => {
                let stalled = self.stall_disks(store, random).await;
                stops_responses = stalled == self.size.stores;
                details.push(self.describe_disk_fault(format!("{stalled} stores")));
            }
            Fault::SlowDisks => {
                let sync_time = self.slow_disks(random).await;
                details.push(self.describe_disk_fault(format!("{sync_time:?} a sync")));
            }
            Fault::EvacuateZone => details.push(self.evacuate_zone(random).await),
            Fault::CoolReplicas => self.cool_replicas(random).await,
            Fault::UnframeAnswers => self.unframe_answers(random, duration).await,
            Fault::ReplaceVersions => details.push(self.replace_versions(random).await),
            Fault::EndReplicas => {
                let ended = self.end_replicas(random).await;
                // All model replicas may be gone, and their successors are cold at first.
                stops_responses = ended > 0;
                details.push(format!("{ended} replicas"));
                tokio::time::sleep(COLD_TIME).await;
            }
            Fault::Losses => details = self.lose_stores(random).await,
            Fault::LargeTurns => details = self.store_large_turns(random).await,
            Fault::EndlessAnswers => details.push(self.send_without_end(random, duration).await),
            Fault::KillFrontsBesideVersions => {
                details.push(self.kill_fronts_beside_versions(random).await);
            }
            Fault::SurplusAnswers => {
                details.push(self.send_surplus_answers(random, duration).await);
            }
        }
        if fault.suspends_bounds() {
            self.promises.disturbances.record_end();
        }
        if fault.affects_a_store() {
            tokio::time::sleep(self.shape.catch_up).await;
        }
        InjectedFault {
            fault,
            details,
            stops_responses,
        }
    }

    pub(super) async fn restart(&mut self, number: usize, signal: Signal) {
        let process = &mut self.processes[number];
        process.signal(signal);
        process.wait_for_exit().await;
        tokio::time::sleep(RESTART_DELAY).await;
        self.start_or_report(number);
    }

    pub(super) fn start_or_report(&mut self, number: usize) {
        if let Err(error) = self.processes[number].start(false) {
            self.promises
                .report_breach(format!("a process did not start: {error}"));
        }
    }

    async fn pause(&mut self, number: usize, duration: Duration) {
        self.processes[number].signal(Signal::SIGSTOP);
        tokio::time::sleep(duration).await;
        self.processes[number].signal(Signal::SIGCONT);
    }

    async fn kill_store(&mut self, number: usize, random: &mut ChaCha8Rng) {
        self.processes[number].signal(Signal::SIGKILL);
        self.processes[number].wait_for_exit().await;
        let torn_write: Vec<u8> = (0..random.random_range(0..60))
            .map(|_| random.random())
            .collect();
        let _ = self.processes[number].append_torn_write(&torn_write);
        tokio::time::sleep(RESTART_DELAY).await;
        self.start_or_report(number);
    }

    async fn wipe_store(&mut self, number: usize) {
        self.processes[number].signal(Signal::SIGKILL);
        self.processes[number].wait_for_exit().await;
        if let Err(error) = self.processes[number].wipe_data() {
            self.promises
                .report_breach(format!("a disk could not be wiped: {error}"));
        }
        tokio::time::sleep(RESTART_DELAY).await;
        self.start_or_report(number);
    }

    pub(super) async fn kill_processes(&mut self, numbers: Range<usize>) {
        for process in &self.processes[numbers.clone()] {
            process.signal(Signal::SIGKILL);
        }
        for process in &mut self.processes[numbers.clone()] {
            process.wait_for_exit().await;
        }
        tokio::time::sleep(RESTART_DELAY).await;
        for number in numbers {
            self.start_or_report(number);
        }
    }

    async fn disrupt_store_connections(
        &mut self,
        store: usize,
        random: &mut ChaCha8Rng,
        duration: Duration,
    ) {
        let behavior = self.store_proxies[store].behavior.clone();
        behavior.set(draw_mode(random), random_milliseconds(random, 0, 80));
        tokio::time::sleep(duration).await;
        behavior.set(Mode::Pass, Duration::ZERO);
    }

    async fn fill_disk(&mut self, number: usize, duration: Duration) {
        let filled = self.processes[number].fill_disk();
        tokio::time::sleep(duration).await;
        if let Err(error) = filled.and(self.processes[number].free_disk()) {
            self.promises
                .report_breach(format!("a disk could not be filled: {error}"));
        }
    }

    async fn disrupt_service_connections(&mut self, random: &mut ChaCha8Rng, duration: Duration) {
        let mode = draw_mode(random);
        let delay = random_milliseconds(random, 0, 100);
        for proxy in &self.service_proxies {
            proxy.behavior.set(mode, delay);
        }
        tokio::time::sleep(duration).await;
        for proxy in &self.service_proxies {
            proxy.behavior.set(Mode::Pass, Duration::ZERO);
        }
    }

    async fn disrupt_service(&mut self, random: &mut ChaCha8Rng, duration: Duration) {
        match random.random_range(0..4) {
            0 => self.service.down.store(true, Ordering::Relaxed),
            1 => self
                .service
                .answer_delay_ms
                .store(random.random_range(50..600), Ordering::Relaxed),
            2 => self
                .service
                .lost_answer_percent
                .store(60, Ordering::Relaxed),
            _ => self.service.compact_history(),
        }
        tokio::time::sleep(duration).await;
        self.service.down.store(false, Ordering::Relaxed);
        self.service.answer_delay_ms.store(0, Ordering::Relaxed);
        self.service.lost_answer_percent.store(0, Ordering::Relaxed);
    }

    async fn silence_service(&mut self, random: &mut ChaCha8Rng) {
        self.promises.disturbances.record_start();
        self.service.stop_answering();
        tokio::time::sleep(random_milliseconds(random, 300, 5000)).await;
        self.service.resume_answering();
        self.promises.disturbances.record_end();
        self.change_after_fault(random).await;
    }

    async fn disrupt_service_for_some(&mut self, random: &mut ChaCha8Rng) {
        self.promises.disturbances.record_start();
        let mode = match random.random_range(0..3) {
            0 => Mode::Silence,
            1 => Mode::OneWay,
            _ => Mode::Refuse,
        };
        let always_affected = random.random_range(0..self.service_proxies.len());
        let mut affected = Vec::new();
        for (number, proxy) in self.service_proxies.iter().enumerate() {
            if random.random_bool(0.5) || number == always_affected {
                proxy.behavior.set(mode, Duration::ZERO);
                affected.push(proxy.behavior.clone());
            }
        }
        tokio::time::sleep(random_milliseconds(random, 300, 5000)).await;
        for behavior in affected {
            behavior.set(Mode::Pass, Duration::ZERO);
        }
        self.promises.disturbances.record_end();
        self.change_after_fault(random).await;
    }

    /// Drops what other stores send to this one, both ways or only its responses; its own
    /// calls to them pass.
    async fn silence_between_stores(
        &mut self,
        store: usize,
        random: &mut ChaCha8Rng,
        duration: Duration,
    ) {
        let stores = self.processes[self.size.fronts..].iter();
        let stores = stores.filter_map(Process::process_id).collect();
        let behavior = self.store_proxies[store].behavior.clone();
        let mode = match random.random_bool(0.5) {
            true => Mode::Silence,
            false => Mode::OneWay,
        };
        behavior.set_for_processes(mode, Duration::ZERO, stores);
        tokio::time::sleep(duration).await;
        behavior.set(Mode::Pass, Duration::ZERO);
    }

    async fn change_after_fault(&mut self, random: &mut ChaCha8Rng) {
        tokio::time::sleep(random_milliseconds(random, 0, 1000)).await;
        self.reconfigure();
        let draining = random.random_range(0..self.shape.models.replicas);
        self.drain_replica(draining);
        // Until bounds apply again, plus the time in which the change must take effect.
        tokio::time::sleep(RECOVERY_DELAY + MAX_PROPAGATION_DELAY).await;
        self.restore_replica(draining);
    }

    async fn replace_replicas(&mut self, random: &mut ChaCha8Rng) {
        for draining in 0..self.shape.models.replicas.min(MAX_REPLACED_REPLICAS) {
            self.drain_replica(draining);
            tokio::time::sleep(MAX_PROPAGATION_DELAY + random_milliseconds(random, 100, 800)).await;
            self.restore_replica(draining);
        }
    }

    async fn disrupt_replica_connections(&mut self, random: &mut ChaCha8Rng, duration: Duration) {
        let mode = draw_mode(random);
        let delay = random_milliseconds(random, 0, 60);
        let number = random.random_range(0..self.replica_proxies.len());
        self.replica_proxies[number].behavior.set(mode, delay);
        tokio::time::sleep(duration).await;
        self.replica_proxies[number]
            .behavior
            .set(Mode::Pass, Duration::ZERO);
    }

    async fn unframe_answers(&mut self, random: &mut ChaCha8Rng, duration: Duration) {
        let trouble = &self.trouble;
        let unframed = random.random_range(20..=60);
        let broken_off = random.random_range(10..=60);
        trouble.unframed_percent.store(unframed, Ordering::Relaxed);
        trouble
            .broken_off_percent
            .store(broken_off, Ordering::Relaxed);
        tokio::time::sleep(duration).await;
        trouble.unframed_percent.store(0, Ordering::Relaxed);
        trouble.broken_off_percent.store(0, Ordering::Relaxed);
    }

    async fn disrupt_replicas(&mut self, random: &mut ChaCha8Rng, duration: Duration) {
        let trouble = &self.trouble;
        for percent in [
            &trouble.rejected_percent,
            &trouble.truncated_percent,
            &trouble.lost_answer_percent,
        ] {
            percent.store(random.random_range(0..25), Ordering::Relaxed);
        }
        tokio::time::sleep(duration).await;
        for percent in [
            &trouble.rejected_percent,
            &trouble.truncated_percent,
            &trouble.lost_answer_percent,
        ] {
            percent.store(0, Ordering::Relaxed);
        }
    }
}

fn draw_mode(random: &mut ChaCha8Rng) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Silence,
        1 => Mode::OneWay,
        2 => Mode::Reset,
        _ => Mode::Pass,
    }
}
