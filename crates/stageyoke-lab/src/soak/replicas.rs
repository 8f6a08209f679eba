//! Faults of the replica list: a replica leaves while a front is isolated, a replica
//! restarts under its identifier, and other writers write invalid entries.

use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::disturbances::{MAX_PROPAGATION_DELAY, RECOVERY_DELAY};
use super::faults::random_milliseconds;
use super::proxy::{Mode, Proxy};
use super::shape::zone_name;
use crate::standins::platform::replica::ReplicaStandIn;
use crate::standins::platform::{COLD_TIME, names};

/// Values that do not describe a replica.
const CORRUPT_ENTRIES: [&[u8]; 6] = [
    b"",
    b"\xff\xfe\x00ready",
    b"[]",
    br#"{"Service":"models","State":"ready"}"#,
    br#"{"Service":"models","Addr":7,"Zone":"lab","Version":"v1","Slots":12,"State":"ready","ColdLeftMs":0,"CallSeq":1}"#,
    br#"{"Service":"models","Addr":"127.0.0.1:1","Zone":"lab","Version":"v1","Slots":12,"State":"resting","ColdLeftMs":0,"CallSeq":1}"#,
];
/// Keys under which another writer puts such values.
const FOREIGN_KEYS: [&str; 3] = ["another-writer", "odd identifier", ""];

/// Returns the Unix time in milliseconds.
pub(super) fn unix_milliseconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Deployment {
    /// Cuts a front off from the key-value service and all stores; meanwhile a replica
    /// drains or its entry is removed.
    pub(super) async fn isolate_front(&mut self, front: usize, random: &mut ChaCha8Rng) {
        self.promises.disturbances.record_start();
        let isolated: Vec<u32> = self.processes[front].process_id().into_iter().collect();
        self.service_proxies[front]
            .behavior
            .set(Mode::Silence, Duration::ZERO);
        for proxy in &self.store_proxies {
            let behavior = &proxy.behavior;
            behavior.set_for_processes(Mode::Silence, Duration::ZERO, isolated.clone());
        }
        tokio::time::sleep(random_milliseconds(random, 300, 2500)).await;
        let leaving = random.random_range(0..self.shape.models.replicas);
        match random.random_bool(0.5) {
            true => self.drain_replica(leaving),
            false => self.remove_replica_entry(leaving),
        }
        tokio::time::sleep(random_milliseconds(random, 300, 4000)).await;
        self.service_proxies[front]
            .behavior
            .set(Mode::Pass, Duration::ZERO);
        for proxy in &self.store_proxies {
            proxy.behavior.set(Mode::Pass, Duration::ZERO);
        }
        self.promises.disturbances.record_end();
        // Until bounds apply again, plus the time in which the change must take effect.
        tokio::time::sleep(RECOVERY_DELAY + MAX_PROPAGATION_DELAY).await;
        self.restore_replica(leaving);
    }

    /// Crashes a replica and restarts it with the same identifier at another address.
    pub(super) async fn restart_replica(&mut self, random: &mut ChaCha8Rng) {
        let number = random.random_range(0..self.replica_proxies.len());
        let target = self.replica_proxies[number].target;
        let proxy = match Proxy::start(target).await {
            Ok(proxy) => proxy,
            Err(error) => {
                let breach = format!("a replica could not start again: {error}");
                return self.promises.report_breach(breach);
            }
        };
        let crashed = std::mem::replace(&mut self.replica_proxies[number], proxy);
        crashed.behavior.set(Mode::Reset, Duration::ZERO);
        tokio::time::sleep(random_milliseconds(random, 0, 1500)).await;
        // The clock of the machine may have been set back before the restart.
        let set_back = random.random_range(0..2) * 60_000;
        let born = unix_milliseconds() - set_back;
        self.replicas[number]
            .started_at_ms
            .store(born, Ordering::Relaxed);
        self.restore_replica(number);
        tokio::time::sleep(random_milliseconds(random, 300, 2000)).await;
    }

    /// Evacuates a zone for a while; its replicas are cold when it returns. In a deployment of
    /// a single zone, the order names another one, which must have no effect.
    pub(super) async fn evacuate_zone(&mut self, random: &mut ChaCha8Rng) -> String {
        let zone = match self.shape.zones {
            1 => "another-zone".to_owned(),
            zones => zone_name(random.random_range(0..zones)),
        };
        let replicas = self.replicas.iter();
        let in_zone: Vec<_> = replicas
            .filter(|replica| replica.zone == zone)
            .cloned()
            .collect();
        let key = format!("{}{zone}", names::EVACUATE_PREFIX);
        self.service.put(&key, b"{}");
        in_zone
            .iter()
            .for_each(|replica| replica.set_evacuated(true));
        tokio::time::sleep(MAX_PROPAGATION_DELAY + random_milliseconds(random, 500, 3000)).await;
        in_zone
            .iter()
            .for_each(|replica| replica.set_evacuated(false));
        self.start_cold_phases(|replica| replica.zone == zone);
        self.service.remove(&key);
        tokio::time::sleep(COLD_TIME).await;
        zone
    }

    /// Restarts all model replicas but one, so that they are cold at the same time.
    pub(super) async fn cool_replicas(&mut self, random: &mut ChaCha8Rng) {
        let warm = random.random_range(0..self.shape.models.replicas);
        let warm = self.replicas[warm].id.clone();
        self.start_cold_phases(|replica| replica.id != warm);
        tokio::time::sleep(COLD_TIME).await;
    }

    /// Starts cold phases of the selected model replicas and writes their entries.
    fn start_cold_phases(&self, is_selected: impl Fn(&ReplicaStandIn) -> bool) {
        for (number, replica) in self.replicas.iter().enumerate() {
            if replica.is_engine && is_selected(replica) {
                replica.cold_phase.start(COLD_TIME);
                self.restore_replica(number);
            }
        }
    }

    /// Overwrites the entry of a replica and some foreign keys with invalid values.
    pub(super) async fn corrupt_entries(&mut self, random: &mut ChaCha8Rng) {
        let number = random.random_range(0..self.shape.models.replicas);
        let draw_entry = |random: &mut ChaCha8Rng| {
            CORRUPT_ENTRIES[random.random_range(0..CORRUPT_ENTRIES.len())]
        };
        for name in FOREIGN_KEYS {
            self.put_entry(name, draw_entry(random));
        }
        self.corrupt_replica_entry(number, draw_entry(random));
        tokio::time::sleep(MAX_PROPAGATION_DELAY + random_milliseconds(random, 300, 2000)).await;
        self.restore_replica(number);
    }
}
