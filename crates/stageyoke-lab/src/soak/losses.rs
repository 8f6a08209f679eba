//! Loses stores one after the other. Each loss is over once the successor has been up for
//! its catch-up time; from then on turns must be served again.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::deployment::Deployment;
use super::faults::random_milliseconds;
use super::promises::Promises;
use crate::standins::platform::{RETIREMENT_COMPLETED, names, retirement_order};

/// Time within which an undisturbed deployment serves a turn: longer than the deadline of a
/// request plus the longest wait after a refusal.
pub const TURN_SERVED_TIMEOUT: Duration = Duration::from_millis(6000);
/// Time that a retirement order gives a store.
const RETIREMENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Range of the time until the successor of a lost store starts.
const MAX_DOWN_MS: u64 = 1500;
const MIN_DOWN_MS: u64 = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay if the remaining time of the run is too short for a loss.
const IDLE_DELAY: Duration = Duration::from_millis(2000);
const MIN_LOSSES: u32 = 2;
const MAX_LOSSES: u32 = 4;

/// How a store is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Killed; an empty store with a new name and address takes its place.
    Replaced,
    /// Killed and wiped; it restarts under its own name.
    Wiped,
    /// Ordered to retire and killed once it has; an empty store with a new name and address
    /// takes its place.
    Retired,
}

const LOSSES: [Loss; 3] = [Loss::Replaced, Loss::Wiped, Loss::Retired];

impl Loss {
    /// Returns the longest time from the start of the loss until turns must be served
    /// again.
    fn max_duration(self, catch_up: Duration) -> Duration {
        let retirement_time = match self {
            Self::Retired => RETIREMENT_TIMEOUT,
            Self::Replaced | Self::Wiped => Duration::ZERO,
        };
        retirement_time + Duration::from_millis(MAX_DOWN_MS) + catch_up + TURN_SERVED_TIMEOUT
    }
}

/// Waits until a turn is served and returns how long that took; reports a breach on timeout.
pub async fn wait_until_served(
    promises: &Promises,
    time_limit: Duration,
    after: &str,
) -> Option<Duration> {
    let from = Instant::now();
    while from.elapsed() < time_limit {
        if promises.was_turn_served_since(from) {
            return Some(from.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let waited = time_limit.as_millis();
    promises.report_breach(format!("no turn was served for {waited} ms after {after}"));
    None
}

impl Deployment {
    /// Loses several stores in series while the run has time for it; stops after the first
    /// loss after which no turn is served.
    pub async fn lose_stores(&mut self, random: &mut ChaCha8Rng) -> Vec<String> {
        let mut summaries = Vec::new();
        for _ in 0..random.random_range(MIN_LOSSES..=MAX_LOSSES) {
            let loss = LOSSES[random.random_range(0..LOSSES.len())];
            let number = self.draw_store(random);
            if Instant::now() + loss.max_duration(self.shape.catch_up) > self.ends_at {
                break;
            }
            let node = self.processes[number].node.clone();
            let served = self.lose_store(loss, number, random).await;
            let after = served.map_or("never".to_owned(), |after| {
                format!("after {} ms", after.as_millis())
            });
            summaries.push(format!("{loss:?} {node}, next turn served: {after}"));
            if served.is_none() {
                break;
            }
        }
        if summaries.is_empty() {
            tokio::time::sleep(IDLE_DELAY).await;
        }
        summaries
    }

    /// Loses a store, lets its successor catch up and waits until a turn is served. Returns
    /// how long that took, or none after a breach.
    pub async fn lose_store(
        &mut self,
        loss: Loss,
        number: usize,
        random: &mut ChaCha8Rng,
    ) -> Option<Duration> {
        let node = self.processes[number].node.clone();
        self.stop_and_replace(loss, number, random).await;
        self.catch_up_with_disturbance(random).await;
        let lost = format!("the loss of {node} ({loss:?}) was over");
        wait_until_served(&self.promises, TURN_SERVED_TIMEOUT, &lost).await
    }

    /// Returns the number of the store that has been up longest.
    pub fn oldest_store(&self) -> usize {
        let stores = self.size.fronts..self.processes.len();
        let oldest = stores.min_by_key(|number| self.processes[*number].started_at);
        oldest.unwrap_or(self.size.fronts)
    }

    fn draw_store(&self, random: &mut ChaCha8Rng) -> usize {
        let drawn = self.size.fronts + random.random_range(0..self.size.stores);
        match random.random_bool(0.5) {
            true => self.oldest_store(),
            false => drawn,
        }
    }

    async fn stop_and_replace(&mut self, loss: Loss, number: usize, random: &mut ChaCha8Rng) {
        if loss == Loss::Retired {
            self.retire(number).await;
        }
        self.processes[number].signal(Signal::SIGKILL);
        self.processes[number].wait_for_exit().await;
        let down = random_milliseconds(random, MIN_DOWN_MS, MAX_DOWN_MS);
        tokio::time::sleep(down).await;
        let started = match loss {
            Loss::Wiped => {
                let wiped = self.processes[number].wipe_data();
                wiped.and_then(|()| self.processes[number].start(false))
            }
            Loss::Replaced | Loss::Retired => self.replace_store(number).await,
        };
        if let Err(error) = started {
            let breach = format!("a store's successor did not start: {error}");
            self.promises.report_breach(breach);
        }
    }

    /// Orders a store to retire, and waits until it reports completion or the order times
    /// out.
    async fn retire(&self, number: usize) {
        let node = &self.processes[number].node;
        let order = format!("{}{node}", names::RETIRE_PREFIX);
        let answer = format!("{}{node}", names::RETIRE_STATUS_PREFIX);
        self.service
            .put(&order, &retirement_order(RETIREMENT_TIMEOUT));
        let until = Instant::now() + RETIREMENT_TIMEOUT;
        let completed = || {
            let value = self.service.value(&answer).unwrap_or_default();
            String::from_utf8_lossy(&value).contains(RETIREMENT_COMPLETED)
        };
        while !completed() && Instant::now() < until {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.service.remove(&order);
    }

    /// Waits for the catch-up time of the successor, and meanwhile changes the
    /// configuration, restarts a front or does neither.
    async fn catch_up_with_disturbance(&mut self, random: &mut ChaCha8Rng) {
        let caught_up_at = Instant::now() + self.shape.catch_up;
        let front = random.random_range(0..self.size.fronts);
        match random.random_range(0..4) {
            0 => self.reconfigure(),
            1 => self.restart_front(front, Signal::SIGKILL).await,
            2 => self.restart_front(front, Signal::SIGTERM).await,
            _ => {}
        }
        tokio::time::sleep_until(caught_up_at).await;
    }

    async fn restart_front(&mut self, front: usize, signal: Signal) {
        self.promises.disturbances.record_start();
        self.restart(front, signal).await;
        self.promises.disturbances.record_end();
    }
}
