//! Overlapping faults: fronts and one store are signalled without waiting for each to
//! recover, while the configuration changes, a replica drains and the connections of one
//! process to the key-value service are disturbed.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::faults::random_milliseconds;
use super::proxy::Mode;

/// Signals that suspend a process, stop it gracefully and kill it.
const SIGNALS: [Signal; 3] = [Signal::SIGSTOP, Signal::SIGTERM, Signal::SIGKILL];
const SERVICE_MODES: [Mode; 5] = [
    Mode::Pass,
    Mode::Silence,
    Mode::OneWay,
    Mode::Refuse,
    Mode::Slow,
];
/// Maximum number of fronts signalled by one fault.
const MAX_FRONTS: usize = 20;

impl Deployment {
    /// Signals processes without waiting for them to exit, then resumes the suspended ones
    /// and restarts the terminated ones in the same order. Returns the disturbed connection
    /// and the initial signals, for the list of faults.
    pub(super) async fn overlap_faults(&mut self, random: &mut ChaCha8Rng) -> Vec<String> {
        let service_mode = SERVICE_MODES[random.random_range(0..SERVICE_MODES.len())];
        let disturbed_process = random.random_range(0..self.service_proxies.len());
        let behavior = self.service_proxies[disturbed_process].behavior.clone();
        behavior.set(service_mode, random_milliseconds(random, 0, 80));
        let draining = random.random_range(0..self.shape.models.replicas);
        let mut terminated = Vec::new();
        let mut steps = vec![format!("{service_mode:?} for process {disturbed_process}")];
        let signalled = self.draw_processes(random);
        for (position, number) in signalled.iter().copied().enumerate() {
            let signal = SIGNALS[random.random_range(0..SIGNALS.len())];
            let process = &self.processes[number];
            process.signal(signal);
            steps.push(format!("{signal} {}", process.node));
            let mut terminates = signal != Signal::SIGSTOP;
            if random.random_bool(0.5) {
                self.reconfigure();
            }
            if position == 0 {
                self.drain_replica(draining);
            }
            if random.random_bool(0.2) {
                self.service.compact_history();
            }
            tokio::time::sleep(random_milliseconds(random, 20, 400)).await;
            // A suspended process handles SIGTERM once it is resumed.
            if random.random_bool(0.2) {
                self.processes[number].signal(Signal::SIGTERM);
                terminates = true;
            }
            if terminates {
                terminated.push(number);
            }
        }
        tokio::time::sleep(random_milliseconds(random, 100, 1500)).await;
        for number in signalled {
            self.processes[number].signal(Signal::SIGCONT);
        }
        for number in terminated {
            self.processes[number].wait_for_exit().await;
            tokio::time::sleep(random_milliseconds(random, 0, 300)).await;
            self.start_or_report(number);
        }
        behavior.set(Mode::Pass, Duration::ZERO);
        self.restore_replica(draining);
        steps
    }

    /// Draws fronts and one store, in random order. Leaves out at least one front unless
    /// there is only one.
    fn draw_processes(&self, random: &mut ChaCha8Rng) -> Vec<usize> {
        let max_fronts = (self.size.fronts - 1).clamp(1, MAX_FRONTS);
        let count = random.random_range(1..=max_fronts);
        let mut numbers = rand::seq::index::sample(random, self.size.fronts, count).into_vec();
        let store = self.size.fronts + random.random_range(0..self.size.stores);
        let position = random.random_range(0..=numbers.len());
        numbers.insert(position, store);
        numbers
    }
}
