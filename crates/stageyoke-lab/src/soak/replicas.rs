//! Faults of the replica list: who leaves while a front is cut off, who starts again
//! under its identifier, and what other writers put there.

use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::calm::{CHANGE_BOUND, IN_TOUCH_AFTER};
use super::deployment::{Deployment, MODELS};
use super::faults::milliseconds;
use super::proxy::{Mode, Proxy};

/// What another writer may leave in place of an entry: none of it names a replica.
const SPOILT: [&[u8]; 6] = [
    b"",
    b"\xff\xfe\x00ready",
    b"[]",
    br#"{"Service":"models","State":"ready"}"#,
    br#"{"Service":"models","Addr":7,"Zone":"lab","Version":"v1","Slots":12,"State":"ready","ColdLeftMs":0,"CallSeq":1}"#,
    br#"{"Service":"models","Addr":"127.0.0.1:1","Zone":"lab","Version":"v1","Slots":12,"State":"resting","ColdLeftMs":0,"CallSeq":1}"#,
];
/// Keys at which another writer may put such a thing.
const OTHERS_KEYS: [&str; 3] = ["another-writer", "odd identifier", ""];

/// Milliseconds since the epoch of Unix.
pub(super) fn unix_milliseconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Deployment {
    /// A front reaches neither the service nor any store for a while, and a replica
    /// leaves meanwhile, with a word or without.
    pub(super) async fn cut_front_off(&mut self, front: usize, random: &mut ChaCha8Rng) {
        self.promises.calm.disturb();
        let cut: Vec<u32> = self.processes[front].identifier().into_iter().collect();
        self.service_proxies[front]
            .weather
            .set(Mode::Silence, Duration::ZERO);
        for proxy in &self.store_proxies {
            let weather = &proxy.weather;
            weather.set_for(Mode::Silence, Duration::ZERO, cut.clone());
        }
        tokio::time::sleep(milliseconds(random, 300, 2500)).await;
        let leaving = random.random_range(0..MODELS);
        match random.random_bool(0.5) {
            true => self.replica_leaves(leaving),
            false => self.replica_goes(leaving),
        }
        tokio::time::sleep(milliseconds(random, 300, 4000)).await;
        self.service_proxies[front]
            .weather
            .set(Mode::Pass, Duration::ZERO);
        for proxy in &self.store_proxies {
            proxy.weather.set(Mode::Pass, Duration::ZERO);
        }
        self.promises.calm.settle();
        // Until bounds hold again, and then for as long as they take.
        tokio::time::sleep(IN_TOUCH_AFTER + CHANGE_BOUND).await;
        self.replica_returns(leaving);
    }

    /// A replica crashes and starts again under its identifier, at another address.
    pub(super) async fn restart_replica(&mut self, random: &mut ChaCha8Rng) {
        let number = random.random_range(0..self.replica_proxies.len());
        let target = self.replica_proxies[number].target;
        let proxy = match Proxy::start(target).await {
            Ok(proxy) => proxy,
            Err(error) => {
                let breach = format!("a replica could not start again: {error}");
                return self.promises.breach(breach);
            }
        };
        let crashed = std::mem::replace(&mut self.replica_proxies[number], proxy);
        crashed.weather.set(Mode::Reset, Duration::ZERO);
        tokio::time::sleep(milliseconds(random, 0, 1500)).await;
        // The clock may have been set back before the start.
        let set_back = random.random_range(0..2) * 60_000;
        let born = unix_milliseconds() - set_back;
        self.replicas[number]
            .started_at_ms
            .store(born, Ordering::Relaxed);
        self.replica_returns(number);
        tokio::time::sleep(milliseconds(random, 300, 2000)).await;
    }

    /// Another writer spoils a replica's entry, which names no replica from then on,
    /// and leaves things of its own beside it.
    pub(super) async fn spoil_entries(&mut self, random: &mut ChaCha8Rng) {
        let number = random.random_range(0..MODELS);
        let drawn = |random: &mut ChaCha8Rng| SPOILT[random.random_range(0..SPOILT.len())];
        for name in OTHERS_KEYS {
            self.put_entry(name, drawn(random));
        }
        self.replica_is_spoilt(number, drawn(random));
        tokio::time::sleep(CHANGE_BOUND + milliseconds(random, 300, 2000)).await;
        self.replica_returns(number);
    }
}
