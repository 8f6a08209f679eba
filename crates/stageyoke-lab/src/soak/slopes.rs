//! Samples memory, descriptors and connections of each process; a quantity that still grows
//! after the retention, and does not level off, is a breach.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::connections::open_files;

/// Interval between samples of a process.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(1000);
/// Shortest time after the retention over which a slope is computed.
pub const MIN_SLOPE_DURATION: Duration = Duration::from_secs(30);
const MEBIBYTE: u64 = 1024 * 1024;

/// A quantity that is sampled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// Resident memory in bytes.
    Memory,
    /// Open descriptors.
    Descriptors,
    /// Open sockets.
    Connections,
}

const QUANTITIES: [Quantity; 3] = [
    Quantity::Memory,
    Quantity::Descriptors,
    Quantity::Connections,
];

impl Quantity {
    /// Returns the growth that caches, allocator arenas and varying numbers of callers
    /// explain.
    fn slack(self) -> u64 {
        match self {
            Self::Memory => 4 * MEBIBYTE,
            Self::Descriptors | Self::Connections => 24,
        }
    }
}

/// A sample of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time since the start of the process.
    pub at: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
    /// Number of open sockets.
    pub connections: u64,
}

impl Sample {
    /// Samples a process; returns none if it has ended.
    pub fn read(process: u32, at: Duration) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?
            .trim()
            .strip_suffix(" kB")?;
        let kilobytes: u64 = resident.parse().ok()?;
        let files: Vec<String> = open_files(process).collect();
        let sockets = files.iter().filter(|file| file.starts_with("socket:"));
        Some(Self {
            at,
            memory: kilobytes * 1024,
            descriptors: files.len() as u64,
            connections: sockets.count() as u64,
        })
    }

    fn quantity(&self, quantity: Quantity) -> u64 {
        match quantity {
            Quantity::Memory => self.memory,
            Quantity::Descriptors => self.descriptors,
            Quantity::Connections => self.connections,
        }
    }
}

/// Unbounded growth of a quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// The quantity that grows.
    pub quantity: Quantity,
    /// Mean over the first third of the time after the retention.
    pub first: u64,
    /// Mean over the last third.
    pub last: u64,
    /// Growth per second.
    pub per_second: f64,
}

/// Returns the quantities of a process that still grow after the retention and do not level
/// off.
pub fn slopes(samples: &[Sample], retention: Duration) -> Vec<Slope> {
    let after_retention: Vec<&Sample> = samples
        .iter()
        .filter(|sample| sample.at >= retention)
        .collect();
    let (Some(start), Some(end)) = (after_retention.first(), after_retention.last()) else {
        return Vec::new();
    };
    let duration = end.at - start.at;
    if duration < MIN_SLOPE_DURATION {
        return Vec::new();
    }
    let quantities = QUANTITIES.into_iter();
    quantities
        .filter_map(|quantity| slope(&after_retention, quantity, duration))
        .collect()
}

fn slope(after_retention: &[&Sample], quantity: Quantity, duration: Duration) -> Option<Slope> {
    let third = after_retention.len() / 3;
    let mean = |part: &[&Sample]| {
        let sum: u64 = part.iter().map(|sample| sample.quantity(quantity)).sum();
        sum / part.len().max(1) as u64
    };
    let first = mean(&after_retention[..third]);
    let middle = mean(&after_retention[third..after_retention.len() - third]);
    let last = mean(&after_retention[after_retention.len() - third..]);
    let growth = last.saturating_sub(first);
    // Levels off if the second half of the growth is less than half of the first.
    let levels_off = last.saturating_sub(middle) * 2 < middle.saturating_sub(first);
    let grows = growth > quantity.slack() && !levels_off;
    grows.then(|| Slope {
        quantity,
        first,
        last,
        // The centers of the first and the last third are two thirds of the time apart.
        per_second: growth as f64 / (duration.as_secs_f64() * 2.0 / 3.0),
    })
}

/// Samples of one process, from its start to its end.
#[derive(Debug)]
struct MonitoredProcess {
    node: String,
    process: u32,
    started_at: Instant,
    ended: bool,
    samples: Vec<Sample>,
}

/// Samples of all processes of a run.
#[derive(Clone, Debug, Default)]
pub struct ProcessMonitor(Arc<Mutex<Vec<MonitoredProcess>>>);

impl ProcessMonitor {
    fn processes(&self) -> MutexGuard<'_, Vec<MonitoredProcess>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts sampling a process.
    pub fn add_process(&self, node: &str, process: u32) {
        self.processes().push(MonitoredProcess {
            node: node.to_owned(),
            process,
            started_at: Instant::now(),
            ended: false,
            samples: Vec::new(),
        });
    }

    /// Stops sampling a process. Called once it has been waited for, since its ID may be
    /// reused.
    pub fn mark_ended(&self, process: u32) {
        for monitored in self.processes().iter_mut() {
            monitored.ended |= monitored.process == process;
        }
    }

    /// Samples all running processes.
    pub fn take_samples(&self) {
        for monitored in self
            .processes()
            .iter_mut()
            .filter(|monitored| !monitored.ended)
        {
            let at = monitored.started_at.elapsed();
            monitored
                .samples
                .extend(Sample::read(monitored.process, at));
        }
    }

    /// Samples all running processes periodically until dropped.
    pub async fn sample_periodically(self) {
        loop {
            self.take_samples();
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Returns the number of processes that ran long enough to be checked.
    pub fn count_judged(&self, retention: Duration) -> usize {
        let ran_long_enough = |monitored: &&MonitoredProcess| {
            let last = monitored.samples.last();
            last.is_some_and(|last| last.at >= retention + MIN_SLOPE_DURATION)
        };
        self.processes().iter().filter(ran_long_enough).count()
    }

    /// Returns a description of each quantity that grows without bound.
    pub fn breaches(&self, retention: Duration) -> Vec<String> {
        let mut breaches = Vec::new();
        for monitored in self.processes().iter() {
            for slope in slopes(&monitored.samples, retention) {
                let (node, per_second) = (&monitored.node, slope.per_second);
                let (quantity, first, last) = (slope.quantity, slope.first, slope.last);
                breaches.push(format!(
                    "{node}: {quantity:?} grows by {per_second:.1} per second after the \
                     retention, from {first} to {last}"
                ));
            }
        }
        breaches
    }
}
