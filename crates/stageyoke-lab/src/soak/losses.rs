//! Losses of stores one after the other, each after the one before is over: its
//! successor has been up for the time in which it catches up. From then on turns
//! must be served again.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::deployment::Deployment;
use super::faults::milliseconds;
use super::promises::Promises;
use crate::standins::platform::{RETIREMENT_COMPLETED, names, retirement_order};

/// Time in which a calm system serves a turn to one of the callers: longer than a
/// request's deadline and the longest wait after a refusal.
pub const SERVED_WITHIN: Duration = Duration::from_millis(6000);
/// Time that an order to empty a store gives it.
const RETIRED_WITHIN: Duration = Duration::from_secs(6);
/// Longest time until the successor of a lost store starts, in milliseconds.
const MOST_DOWN_MS: u64 = 1500;
const LEAST_DOWN_MS: u64 = 300;
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Pause where the run has no time for another loss.
const NO_TIME_LEFT: Duration = Duration::from_millis(2000);
const LEAST_LOSSES: u32 = 2;
const MOST_LOSSES: u32 = 4;

/// How a store is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Ended for good; an empty one comes under a new name and address.
    Replaced,
    /// Ended and emptied; it comes back under its own name.
    Wiped,
    /// Told to leave, ended when it says that it has; an empty one comes under a
    /// new name and address.
    Retired,
}

const LOSSES: [Loss; 3] = [Loss::Replaced, Loss::Wiped, Loss::Retired];

impl Loss {
    /// Longest time from its beginning until turns must have been served again.
    fn lasts(self, catch_up: Duration) -> Duration {
        let leaving = match self {
            Self::Retired => RETIRED_WITHIN,
            Self::Replaced | Self::Wiped => Duration::ZERO,
        };
        leaving + Duration::from_millis(MOST_DOWN_MS) + catch_up + SERVED_WITHIN
    }
}

/// Waits until a turn is served, and returns how long that took; none within the time
/// is a breach.
pub async fn check_served(promises: &Promises, within: Duration, after: &str) -> Option<Duration> {
    let from = Instant::now();
    while from.elapsed() < within {
        if promises.turn_served_since(from) {
            return Some(from.elapsed());
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
    let waited = within.as_millis();
    promises.breach(format!("no turn was served for {waited} ms after {after}"));
    None
}

impl Deployment {
    /// Loses some stores in series, as long as the run has time for it; ends at the
    /// first after which nothing is served.
    pub async fn lose_stores(&mut self, random: &mut ChaCha8Rng) -> Vec<String> {
        let mut told = Vec::new();
        for _ in 0..random.random_range(LEAST_LOSSES..=MOST_LOSSES) {
            let loss = LOSSES[random.random_range(0..LOSSES.len())];
            let number = self.store_to_lose(random);
            if Instant::now() + loss.lasts(self.catch_up) > self.until {
                break;
            }
            let node = self.processes[number].node.clone();
            let served = self.lose_store(loss, number, random).await;
            let after = served.map_or("never".to_owned(), |after| {
                format!("{} ms after it was over", after.as_millis())
            });
            told.push(format!("{loss:?} {node}, served {after}"));
            if served.is_none() {
                break;
            }
        }
        if told.is_empty() {
            tokio::time::sleep(NO_TIME_LEFT).await;
        }
        told
    }

    /// Loses the store of this number, lets its successor catch up and waits until a
    /// turn is served; returns how long that took, or none after a breach.
    pub async fn lose_store(
        &mut self,
        loss: Loss,
        number: usize,
        random: &mut ChaCha8Rng,
    ) -> Option<Duration> {
        let node = self.processes[number].node.clone();
        self.lose(loss, number, random).await;
        self.catch_up_beside(random).await;
        let lost = format!("the loss of {node} ({loss:?}) was over");
        check_served(&self.promises, SERVED_WITHIN, &lost).await
    }

    /// The store that has been up longest.
    pub fn oldest_store(&self) -> usize {
        let stores = self.size.fronts..self.processes.len();
        let oldest = stores.min_by_key(|number| self.processes[*number].started_at);
        oldest.unwrap_or(self.size.fronts)
    }

    fn store_to_lose(&self, random: &mut ChaCha8Rng) -> usize {
        let drawn = self.size.fronts + random.random_range(0..self.size.stores);
        match random.random_bool(0.5) {
            true => self.oldest_store(),
            false => drawn,
        }
    }

    async fn lose(&mut self, loss: Loss, number: usize, random: &mut ChaCha8Rng) {
        if loss == Loss::Retired {
            self.retire(number).await;
        }
        self.processes[number].signal(Signal::SIGKILL);
        self.processes[number].ended().await;
        let down = milliseconds(random, LEAST_DOWN_MS, MOST_DOWN_MS);
        tokio::time::sleep(down).await;
        let started = match loss {
            Loss::Wiped => {
                let wiped = self.processes[number].wipe();
                wiped.and_then(|()| self.processes[number].start(false))
            }
            Loss::Replaced | Loss::Retired => self.replace_store(number).await,
        };
        if let Err(error) = started {
            let breach = format!("a store's successor did not start: {error}");
            self.promises.breach(breach);
        }
    }

    /// Orders a store to leave, and waits until it says that it has or its time is
    /// over.
    async fn retire(&self, number: usize) {
        let node = &self.processes[number].node;
        let order = format!("{}{node}", names::RETIRE_PREFIX);
        let answer = format!("{}{node}", names::RETIRE_STATUS_PREFIX);
        self.service.put(&order, &retirement_order(RETIRED_WITHIN));
        let until = Instant::now() + RETIRED_WITHIN;
        let completed = || {
            let value = self.service.value(&answer).unwrap_or_default();
            String::from_utf8_lossy(&value).contains(RETIREMENT_COMPLETED)
        };
        while !completed() && Instant::now() < until {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        self.service.remove(&order);
    }

    /// Lets the successor catch up, while something else happens to the others.
    async fn catch_up_beside(&mut self, random: &mut ChaCha8Rng) {
        let over = Instant::now() + self.catch_up;
        let front = random.random_range(0..self.size.fronts);
        match random.random_range(0..4) {
            0 => self.reconfigure(),
            1 => self.restart_front(front, Signal::SIGKILL).await,
            2 => self.restart_front(front, Signal::SIGTERM).await,
            _ => {}
        }
        tokio::time::sleep_until(over).await;
    }

    async fn restart_front(&mut self, front: usize, signal: Signal) {
        self.promises.calm.disturb();
        self.restart(front, signal).await;
        self.promises.calm.settle();
    }
}
