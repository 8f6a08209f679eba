//! Memory, descriptors and connections of each process over time: what still rises
//! after the retention is over, and does not level off, is a breach.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::connections::open_files;

/// Pause between two looks at a process.
pub const PAUSE: Duration = Duration::from_millis(1000);
/// Time beyond the retention from which on a slope can be told from noise.
pub const MIN_SLOPE_DURATION: Duration = Duration::from_secs(30);
const MEBIBYTE: u64 = 1024 * 1024;

/// What is measured of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// Resident bytes.
    Memory,
    /// Open descriptors.
    Descriptors,
    /// Those of them that are sockets.
    Connections,
}

const QUANTITIES: [Quantity; 3] = [
    Quantity::Memory,
    Quantity::Descriptors,
    Quantity::Connections,
];

impl Quantity {
    /// Growth over the span that caches, arenas and callers that come and go explain.
    fn slack(self) -> u64 {
        match self {
            Self::Memory => 4 * MEBIBYTE,
            Self::Descriptors | Self::Connections => 24,
        }
    }
}

/// A look at a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time since its start.
    pub at: Duration,
    /// Resident bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Sockets among them.
    pub connections: u64,
}

impl Sample {
    /// Looks at a process; none if it has ended.
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

/// What rises without end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// What rises.
    pub quantity: Quantity,
    /// Mean of the first third of the time after the retention.
    pub first: u64,
    /// Mean of the last third.
    pub last: u64,
    /// Growth a second.
    pub per_second: f64,
}

/// The slopes in the life of one process that don't level off within the retention.
pub fn slopes(samples: &[Sample], retention: Duration) -> Vec<Slope> {
    let settled: Vec<&Sample> = samples.iter().filter(|one| one.at >= retention).collect();
    let (Some(begin), Some(end)) = (settled.first(), settled.last()) else {
        return Vec::new();
    };
    let lasted = end.at - begin.at;
    if lasted < MIN_SLOPE_DURATION {
        return Vec::new();
    }
    let quantities = QUANTITIES.into_iter();
    quantities
        .filter_map(|quantity| slope(&settled, quantity, lasted))
        .collect()
}

fn slope(settled: &[&Sample], quantity: Quantity, lasted: Duration) -> Option<Slope> {
    let third = settled.len() / 3;
    let mean = |part: &[&Sample]| {
        let sum: u64 = part.iter().map(|one| one.quantity(quantity)).sum();
        sum / part.len().max(1) as u64
    };
    let first = mean(&settled[..third]);
    let middle = mean(&settled[third..settled.len() - third]);
    let last = mean(&settled[settled.len() - third..]);
    let grown = last.saturating_sub(first);
    // Levelling off: the later half of the growth is less than half of the earlier.
    let levels = last.saturating_sub(middle) * 2 < middle.saturating_sub(first);
    let rises = grown > quantity.slack() && !levels;
    rises.then(|| Slope {
        quantity,
        first,
        last,
        // Two thirds of the time lie between the middles of the outer thirds.
        per_second: grown as f64 / (lasted.as_secs_f64() * 2.0 / 3.0),
    })
}

/// One life of a process, from a start to its end.
#[derive(Debug)]
struct MonitoredProcess {
    node: String,
    process: u32,
    began: Instant,
    ended: bool,
    samples: Vec<Sample>,
}

/// All monitor of a run's processes.
#[derive(Clone, Debug, Default)]
pub struct ProcessMonitor(Arc<Mutex<Vec<MonitoredProcess>>>);

impl ProcessMonitor {
    fn processes(&self) -> MutexGuard<'_, Vec<MonitoredProcess>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A process was started.
    pub fn add_process(&self, node: &str, process: u32) {
        self.processes().push(MonitoredProcess {
            node: node.to_owned(),
            process,
            began: Instant::now(),
            ended: false,
            samples: Vec::new(),
        });
    }

    /// A process has been waited for: its identifier may be another's from now on.
    pub fn mark_ended(&self, process: u32) {
        for life in self.processes().iter_mut() {
            life.ended |= life.process == process;
        }
    }

    /// Looks at all that live.
    pub fn take_samples(&self) {
        for life in self.processes().iter_mut().filter(|life| !life.ended) {
            let at = life.began.elapsed();
            life.samples.extend(Sample::read(life.process, at));
        }
    }

    /// Looks again and again until dropped.
    pub async fn sample_periodically(self) {
        loop {
            self.take_samples();
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// How many monitor were long enough to be judged.
    pub fn count_judged(&self, retention: Duration) -> usize {
        let long = |life: &&MonitoredProcess| {
            let last = life.samples.last();
            last.is_some_and(|last| last.at >= retention + MIN_SLOPE_DURATION)
        };
        self.processes().iter().filter(long).count()
    }

    /// What rises without end, in words.
    pub fn breaches(&self, retention: Duration) -> Vec<String> {
        let mut breaches = Vec::new();
        for life in self.processes().iter() {
            for slope in slopes(&life.samples, retention) {
                let (node, per_second) = (&life.node, slope.per_second);
                let (quantity, first, last) = (slope.quantity, slope.first, slope.last);
                breaches.push(format!(
                    "{node}: {quantity:?} rises by {per_second:.1} a second beyond the \
                     retention, from {first} to {last}"
                ));
            }
        }
        breaches
    }
}
