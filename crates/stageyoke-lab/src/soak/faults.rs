//! Random faults from outside, one after the other or overlapping, drawn from
//! a seed. At most one store is in trouble at a time, as the deployment
//! tolerates the loss of one; a front may be at any time.

use std::fmt;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::calm::{CHANGE_BOUND, IN_TOUCH_AFTER};
use super::deployment::{Deployment, MODELS};
use super::processes::Process;
use super::proxy::Mode;

/// What is done to the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A front is killed and started again.
    KillFront,
    /// A front is stopped in the planned way and started again.
    StopFront,
    /// A front stands still.
    PauseFront,
    /// A store is killed and started again, with a torn tail.
    KillStore,
    /// A store stands still.
    PauseStore,
    /// A store loses its disk.
    WipeStore,
    /// All processes are killed at once.
    KillAll,
    /// The platform's service misbehaves on the way.
    CutService,
    /// The platform's service refuses, is slow or loses answers.
    TroubleService,
    /// The way to some replicas misbehaves.
    CutReplicas,
    /// Replicas refuse, break off and lose answers.
    TroubleReplicas,
    /// A new configuration.
    Reconfigure,
    /// The way to a store misbehaves, for fronts and for other stores.
    CutStore,
    /// A store's disk takes no more.
    FillDisk,
    /// The platform's service answers nobody and closes nothing; soon after its
    /// return the configuration changes and a replica leaves.
    SilenceService,
    /// Replicas are replaced, one after the other.
    ReplaceReplicas,
    /// Stores are lost one after the other, each when the one before has a successor
    /// that had its time to catch up.
    Losses,
    /// The platform's service is silent, one way only, or refuses, for some processes;
    /// soon after its return the configuration changes and a replica leaves.
    TroubleServiceForSome,
    /// A store hears nothing from the other stores, or they hear no answers of it;
    /// fronts reach it, and it reaches them.
    SilenceBetweenStores,
    /// A front is cut off from everything, and a replica leaves meanwhile.
    CutFront,
    /// A replica starts again under its identifier, at another address.
    RestartReplica,
    /// Another writer spoils entries of the replica list.
    SpoilEntries,
}

/// Kinds that strike where none is named; new ones come last, as cases draw from
/// the first of them.
pub const FAULTS: [Fault; 21] = [
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
];

/// Kinds that strike only where they are named.
pub const NAMED_FAULTS: [Fault; 1] = [Fault::Losses];

impl Fault {
    /// The fault of this name.
    pub fn named(name: &str) -> Option<Self> {
        let mut faults = FAULTS.into_iter().chain(NAMED_FAULTS);
        faults.find(|fault| format!("{fault:?}").eq_ignore_ascii_case(name))
    }

    /// Whether bounds on changes don't hold meanwhile.
    fn disturbs(self) -> bool {
        matches!(
            self,
            Self::KillFront
                | Self::StopFront
                | Self::PauseFront
                | Self::KillAll
                | Self::CutService
                | Self::TroubleService
        )
    }

    /// Whether another store must not fail until this one has caught up.
    fn strikes_a_store(self) -> bool {
        matches!(
            self,
            Self::KillStore
                | Self::PauseStore
                | Self::WipeStore
                | Self::CutStore
                | Self::FillDisk
                | Self::SilenceBetweenStores
        )
    }
}

const DOWN: Duration = Duration::from_millis(400);

pub(super) fn milliseconds(random: &mut ChaCha8Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

/// A fault that was played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Its kind.
    pub fault: Fault,
    /// What it did, where its kind alone does not say that.
    pub details: Vec<String>,
}

impl fmt::Display for Strike {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.fault)?;
        match self.details.is_empty() {
            true => Ok(()),
            false => write!(formatter, " ({})", self.details.join("; ")),
        }
    }
}

impl Deployment {
    /// Draws one of the faults, does it and undoes it; returns which.
    pub async fn strike(&mut self, random: &mut ChaCha8Rng, faults: &[Fault]) -> Strike {
        let fault = faults[random.random_range(0..faults.len())];
        let front = random.random_range(0..self.size.fronts);
        let store = self.size.fronts + random.random_range(0..self.size.stores);
        let lasting = milliseconds(random, 300, 3000);
        if fault.disturbs() {
            self.promises.calm.disturb();
        }
        let mut details = Vec::new();
        match fault {
            Fault::KillFront => self.restart(front, Signal::SIGKILL).await,
            Fault::StopFront => self.restart(front, Signal::SIGTERM).await,
            Fault::PauseFront => self.pause(front, lasting).await,
            Fault::KillStore => self.kill_store(store, random).await,
            Fault::PauseStore => self.pause(store, lasting).await,
            Fault::WipeStore => self.wipe_store(store).await,
            Fault::KillAll => self.kill_all().await,
            Fault::CutService => self.cut_service(random, lasting).await,
            Fault::TroubleService => self.trouble_service(random, lasting).await,
            Fault::CutReplicas => self.cut_replicas(random, lasting).await,
            Fault::TroubleReplicas => self.trouble_replicas(random, lasting).await,
            Fault::Reconfigure => self.reconfigure(),
            Fault::CutStore => {
                self.cut_store(store - self.size.fronts, random, lasting)
                    .await
            }
            Fault::FillDisk => self.fill_disk(store, lasting).await,
            Fault::SilenceService => self.silence_service(random).await,
            Fault::ReplaceReplicas => self.replace_replicas(random).await,
            Fault::TroubleServiceForSome => self.trouble_service_for_some(random).await,
            Fault::SilenceBetweenStores => {
                self.silence_between_stores(store - self.size.fronts, random, lasting)
                    .await
            }
            Fault::CutFront => self.cut_front_off(front, random).await,
            Fault::RestartReplica => self.restart_replica(random).await,
            Fault::SpoilEntries => self.spoil_entries(random).await,
            Fault::Losses => details = self.lose_stores(random).await,
        }
        if fault.disturbs() {
            self.promises.calm.settle();
        }
        if fault.strikes_a_store() {
            tokio::time::sleep(self.catch_up).await;
        }
        Strike { fault, details }
    }

    pub(super) async fn restart(&mut self, number: usize, signal: Signal) {
        let process = &mut self.processes[number];
        process.signal(signal);
        process.ended().await;
        tokio::time::sleep(DOWN).await;
        self.start_again(number);
    }

    fn start_again(&mut self, number: usize) {
        if let Err(error) = self.processes[number].start(false) {
            self.promises
                .breach(format!("a process did not start: {error}"));
        }
    }

    async fn pause(&mut self, number: usize, lasting: Duration) {
        self.processes[number].signal(Signal::SIGSTOP);
        tokio::time::sleep(lasting).await;
        self.processes[number].signal(Signal::SIGCONT);
    }

    async fn kill_store(&mut self, number: usize, random: &mut ChaCha8Rng) {
        self.processes[number].signal(Signal::SIGKILL);
        self.processes[number].ended().await;
        let torn: Vec<u8> = (0..random.random_range(0..60))
            .map(|_| random.random())
            .collect();
        let _ = self.processes[number].tear(&torn);
        tokio::time::sleep(DOWN).await;
        self.start_again(number);
    }

    async fn wipe_store(&mut self, number: usize) {
        self.processes[number].signal(Signal::SIGKILL);
        self.processes[number].ended().await;
        if let Err(error) = self.processes[number].wipe() {
            self.promises
                .breach(format!("a disk could not be wiped: {error}"));
        }
        tokio::time::sleep(DOWN).await;
        self.start_again(number);
    }

    async fn kill_all(&mut self) {
        for process in &self.processes {
            process.signal(Signal::SIGKILL);
        }
        for process in &mut self.processes {
            process.ended().await;
        }
        tokio::time::sleep(DOWN).await;
        for number in 0..self.processes.len() {
            self.start_again(number);
        }
    }

    async fn cut_store(&mut self, store: usize, random: &mut ChaCha8Rng, lasting: Duration) {
        let weather = self.store_proxies[store].weather.clone();
        weather.set(draw_mode(random), milliseconds(random, 0, 80));
        tokio::time::sleep(lasting).await;
        weather.set(Mode::Pass, Duration::ZERO);
    }

    async fn fill_disk(&mut self, number: usize, lasting: Duration) {
        let filled = self.processes[number].fill_disk();
        tokio::time::sleep(lasting).await;
        if let Err(error) = filled.and(self.processes[number].empty_disk()) {
            self.promises
                .breach(format!("a disk could not be filled: {error}"));
        }
    }

    async fn cut_service(&mut self, random: &mut ChaCha8Rng, lasting: Duration) {
        let mode = draw_mode(random);
        let delay = milliseconds(random, 0, 100);
        for proxy in &self.service_proxies {
            proxy.weather.set(mode, delay);
        }
        tokio::time::sleep(lasting).await;
        for proxy in &self.service_proxies {
            proxy.weather.set(Mode::Pass, Duration::ZERO);
        }
    }

    async fn trouble_service(&mut self, random: &mut ChaCha8Rng, lasting: Duration) {
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
        tokio::time::sleep(lasting).await;
        self.service.down.store(false, Ordering::Relaxed);
        self.service.answer_delay_ms.store(0, Ordering::Relaxed);
        self.service.lost_answer_percent.store(0, Ordering::Relaxed);
    }

    async fn silence_service(&mut self, random: &mut ChaCha8Rng) {
        self.promises.calm.disturb();
        self.service.stop_answering();
        tokio::time::sleep(milliseconds(random, 300, 5000)).await;
        self.service.resume_answering();
        self.promises.calm.settle();
        self.change_after_trouble(random).await;
    }

    async fn trouble_service_for_some(&mut self, random: &mut ChaCha8Rng) {
        self.promises.calm.disturb();
        let mode = match random.random_range(0..3) {
            0 => Mode::Silence,
            1 => Mode::OneWay,
            _ => Mode::Refuse,
        };
        let certain = random.random_range(0..self.service_proxies.len());
        let mut struck = Vec::new();
        for (number, proxy) in self.service_proxies.iter().enumerate() {
            if random.random_bool(0.5) || number == certain {
                proxy.weather.set(mode, Duration::ZERO);
                struck.push(proxy.weather.clone());
            }
        }
        tokio::time::sleep(milliseconds(random, 300, 5000)).await;
        for weather in struck {
            weather.set(Mode::Pass, Duration::ZERO);
        }
        self.promises.calm.settle();
        self.change_after_trouble(random).await;
    }

    /// Cuts the way from the other stores to this one, both ways or for answers only;
    /// its own calls to them pass.
    async fn silence_between_stores(
        &mut self,
        store: usize,
        random: &mut ChaCha8Rng,
        lasting: Duration,
    ) {
        let stores = self.processes[self.size.fronts..].iter();
        let stores = stores.filter_map(Process::identifier).collect();
        let weather = self.store_proxies[store].weather.clone();
        let mode = match random.random_bool(0.5) {
            true => Mode::Silence,
            false => Mode::OneWay,
        };
        weather.set_for(mode, Duration::ZERO, stores);
        tokio::time::sleep(lasting).await;
        weather.set(Mode::Pass, Duration::ZERO);
    }

    async fn change_after_trouble(&mut self, random: &mut ChaCha8Rng) {
        tokio::time::sleep(milliseconds(random, 0, 1000)).await;
        self.reconfigure();
        let leaving = random.random_range(0..MODELS);
        self.replica_leaves(leaving);
        // Until bounds hold again, and then for as long as they take.
        tokio::time::sleep(IN_TOUCH_AFTER + CHANGE_BOUND).await;
        self.replica_returns(leaving);
    }

    async fn replace_replicas(&mut self, random: &mut ChaCha8Rng) {
        for leaving in 0..MODELS {
            self.replica_leaves(leaving);
            tokio::time::sleep(CHANGE_BOUND + milliseconds(random, 100, 800)).await;
            self.replica_returns(leaving);
        }
    }

    async fn cut_replicas(&mut self, random: &mut ChaCha8Rng, lasting: Duration) {
        let mode = draw_mode(random);
        let delay = milliseconds(random, 0, 60);
        let chosen = random.random_range(0..self.replica_proxies.len());
        self.replica_proxies[chosen].weather.set(mode, delay);
        tokio::time::sleep(lasting).await;
        self.replica_proxies[chosen]
            .weather
            .set(Mode::Pass, Duration::ZERO);
    }

    async fn trouble_replicas(&mut self, random: &mut ChaCha8Rng, lasting: Duration) {
        let trouble = &self.trouble;
        for percent in [
            &trouble.rejected_percent,
            &trouble.truncated_percent,
            &trouble.lost_answer_percent,
        ] {
            percent.store(random.random_range(0..25), Ordering::Relaxed);
        }
        tokio::time::sleep(lasting).await;
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
