//! Replicas of several software versions side by side: the model replicas are replaced by
//! ones of a newer version, and streams that were broken off may go on only at the version
//! that began them.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::deployment::Deployment;
use super::disturbances::MAX_PROPAGATION_DELAY;
use super::faults::random_milliseconds;
use super::proxy::{Mode, Proxy};
use super::replicas::unix_milliseconds;

/// Number of resumed streams below which their share is not judged.
pub const MIN_JUDGED_RESUMES: u64 = 12;
/// Minimum share of resumed streams that go on, relative to the new streams that begin.
pub const MIN_RELATIVE_RESUMES: f64 = 0.5;
/// Time from the crash of all replicas of a version to the kill of all fronts.
const CRASH_TO_KILL_DELAY: Duration = Duration::from_millis(50);
/// Number of replicas of a version that must serve for its resumed streams to be judged.
const MIN_SERVING_REPLICAS: usize = 2;

/// Software versions of the replicas that serve.
#[derive(Debug, Default)]
pub struct ServingVersions(Mutex<HashMap<String, (u64, Instant)>>);

impl ServingVersions {
    fn replicas(&self) -> MutexGuard<'_, HashMap<String, (u64, Instant)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a replica of this version serves from now on, unless it does already.
    pub fn record_ready(&self, replica: &str, version: u64) {
        let mut replicas = self.replicas();
        let serving = replicas.entry(replica.to_owned());
        let serving = serving.or_insert((version, Instant::now()));
        if serving.0 != version {
            *serving = (version, Instant::now());
        }
    }

    /// Records that a replica leaves or has ended.
    pub fn record_gone(&self, replica: &str) {
        self.replicas().remove(replica);
    }

    /// Returns whether enough replicas of a version serve, and all fronts know of them.
    pub fn is_served(&self, version: u64) -> bool {
        let replicas = self.replicas();
        let known = replicas.values().filter(|(serving, since)| {
            *serving == version && since.elapsed() > MAX_PROPAGATION_DELAY
        });
        known.count() >= MIN_SERVING_REPLICAS
    }
}

/// Attempts of resumable streams in calm times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// New streams that were sent.
    pub new: u64,
    /// New streams whose first event arrived.
    pub begun: u64,
    /// Streams taken up again while enough replicas of their version served.
    pub resumed: u64,
    /// Those of them of which a further event arrived.
    pub went_on: u64,
    /// Streams that have all events, each once, over all attempts.
    pub complete: u64,
}

impl StreamCounts {
    /// Describes the shortfall if too few streams that were taken up again went on.
    pub fn shortfall(&self) -> Option<String> {
        let share = |part: u64, total: u64| part as f64 / total.max(1) as f64;
        let min_share = MIN_RELATIVE_RESUMES * share(self.begun, self.new);
        let Self {
            resumed, went_on, ..
        } = *self;
        let is_short = resumed >= MIN_JUDGED_RESUMES && share(went_on, resumed) < min_share;
        is_short.then(|| {
            format!("{went_on} of {resumed} resumed streams went on, less than {min_share:.2}")
        })
    }
}

impl Deployment {
    /// Replaces half of the model replicas by ones of the next version or, if there are
    /// already two versions, the others. Each leaves or crashes, and returns at the same or
    /// another address once all fronts know that it is gone.
    pub(super) async fn replace_versions(&mut self, random: &mut ChaCha8Rng) -> String {
        let models = self.shape.models.replicas;
        let versions = self.replicas[..models].iter();
        let versions: Vec<u64> = versions
            .map(|replica| replica.version.load(Ordering::Relaxed))
            .collect();
        let newest = versions.iter().copied().max().unwrap_or_default();
        let mut outdated: Vec<usize> = (0..models)
            .filter(|number| versions[*number] < newest)
            .collect();
        let mut next = newest;
        if outdated.is_empty() {
            next += 1;
            outdated = (0..models / 2).collect();
        }
        for number in outdated {
            self.replace_version(number, next, random).await;
        }
        tokio::time::sleep(MAX_PROPAGATION_DELAY + random_milliseconds(random, 500, 2000)).await;
        format!("version {next}")
    }

    /// Replaces model replicas by ones of the next version until two versions serve, crashes all
    /// replicas of the older one, and kills and restarts all fronts at that moment.
    pub(super) async fn kill_fronts_beside_versions(&mut self, random: &mut ChaCha8Rng) -> String {
        let description = self.replace_versions(random).await;
        let models = 0..self.shape.models.replicas;
        let version = |number: usize| self.replicas[number].version.load(Ordering::Relaxed);
        let newest = models.clone().map(version).max().unwrap_or_default();
        let outdated: Vec<usize> = models.filter(|number| version(*number) < newest).collect();
        self.promises.disturbances.record_start();
        for number in &outdated {
            self.crash_replica(*number);
        }
        // Until the fronts have lost their connections, and callers wait to take streams up.
        tokio::time::sleep(CRASH_TO_KILL_DELAY).await;
        self.kill_processes(0..self.size.fronts).await;
        tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
        for number in &outdated {
            self.return_at_version(*number, newest);
        }
        self.promises.disturbances.record_end();
        format!("{description}, {} replicas crashed", outdated.len())
    }

    fn crash_replica(&mut self, number: usize) {
        let behavior = &self.replica_proxies[number].behavior;
        behavior.set(Mode::Reset, Duration::ZERO);
        self.remove_replica_entry(number);
    }

    async fn replace_version(&mut self, number: usize, version: u64, random: &mut ChaCha8Rng) {
        let crashes = random.random_bool(0.3);
        let moves = random.random_bool(0.5);
        let wait = MAX_PROPAGATION_DELAY + random_milliseconds(random, 100, 600);
        if crashes {
            self.promises.disturbances.record_start();
            self.crash_replica(number);
            self.promises.disturbances.record_end();
        } else {
            self.drain_replica(number);
        }
        tokio::time::sleep(wait).await;
        if moves {
            let target = self.replica_proxies[number].target;
            match Proxy::start(target).await {
                Ok(proxy) => self.replica_proxies[number] = proxy,
                Err(error) => {
                    let breach = format!("a replica could not start again: {error}");
                    self.promises.report_breach(breach);
                }
            }
        }
        self.return_at_version(number, version);
    }

    fn return_at_version(&mut self, number: usize, version: u64) {
        let behavior = &self.replica_proxies[number].behavior;
        behavior.set(Mode::Pass, Duration::ZERO);
        let replica = &self.replicas[number];
        replica.version.store(version, Ordering::Relaxed);
        let started_at = unix_milliseconds();
        replica.started_at_ms.store(started_at, Ordering::Relaxed);
        self.restore_replica(number);
    }
}
