//! Slow transfers of a large configuration to some fronts. Time bounds apply throughout,
//! since no connection is cut.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::disturbances::MAX_PROPAGATION_DELAY;
use super::faults::random_milliseconds;
use super::proxy::Mode;

/// Range of the number of added routes. At the reduced rate, the largest configuration takes
/// at most half of [`MAX_PROPAGATION_DELAY`] to transfer.
const MIN_ADDED_ROUTES: usize = 200;
const MAX_ADDED_ROUTES: usize = 600;

impl Deployment {
    /// Slows down responses of the key-value service and the stores to some fronts; meanwhile
    /// the configuration grows and replicas drain one after the other.
    pub(super) async fn slow_transfers(&mut self, random: &mut ChaCha8Rng) {
        let always_affected = random.random_range(0..self.size.fronts);
        let mut affected = Vec::new();
        for front in 0..self.size.fronts {
            if front == always_affected || random.random_bool(0.3) {
                affected.extend(self.processes[front].process_id());
                let behavior = &self.service_proxies[front].behavior;
                behavior.set(Mode::Slow, Duration::ZERO);
            }
        }
        for proxy in &self.store_proxies {
            let behavior = &proxy.behavior;
            behavior.set_for_processes(Mode::Slow, Duration::ZERO, affected.clone());
        }
        for _ in 0..random.random_range(1..=2) {
            let draining = random.random_range(0..self.shape.models.replicas);
            self.added_routes = random.random_range(MIN_ADDED_ROUTES..MAX_ADDED_ROUTES);
            self.reconfigure();
            tokio::time::sleep(random_milliseconds(random, 0, 600)).await;
            self.drain_replica(draining);
            if random.random_bool(0.5) {
                self.reconfigure();
            }
            tokio::time::sleep(MAX_PROPAGATION_DELAY + random_milliseconds(random, 300, 1200))
                .await;
            self.restore_replica(draining);
        }
        for proxy in self.service_proxies.iter().chain(&self.store_proxies) {
            proxy.behavior.set(Mode::Pass, Duration::ZERO);
        }
        self.added_routes = 0;
        self.reconfigure();
    }
}
