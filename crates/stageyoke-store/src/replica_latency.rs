//! Latency of the replicas of plain services, pooled over all fronts. A single front sees
//! each replica too rarely to detect a slow one before the fault is over: with 73 fronts and 27
//! replicas once in 1.7 s, while all fronts together see it some 30 times a second.
//!
//! Covers faults in which some of a service's replicas are several times slower for a few
//! seconds. The results are hints for placement.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_directory::GroupNumber;
use stageyoke_types::List;
use tokio::time::Instant;

use crate::extension::Deviation;
use crate::message::{LatencyEntry, SlowReplica};

/// Maximum number of replicas in one message.
const MAX_REPORTED_REPLICAS: usize = 64;
/// Maximum number of replicas that a store tracks, about 40 bytes each.
const MAX_TRACKED_REPLICAS: usize = 20_000;
/// Scale of logarithms in messages, which carry hundredths.
pub(crate) const LOG_RATIO_SCALE: f64 = 100.0;
/// Decay time of recorded response times: short enough to detect a recovery quickly, long
/// enough to retain about ten samples of a replica.
const DECAY_TIME: Duration = Duration::from_millis(700);
/// Decay time for turns at engines: an engine's speed rarely changes, but a change should be
/// detected within seconds.
const ENGINE_DECAY_TIME: Duration = Duration::from_secs(2);
/// Weight of the prior that an engine is of average speed, in turns: few turns are weak
/// evidence.
const PRIOR_TURNS: f64 = 3.0;
/// Minimum number of answers for judging a replica: single slow answers occur at healthy
/// replicas too.
const MIN_ANSWERS: f64 = 3.0;
/// Minimum number of answers for a replica to stay marked as slow. Lower, since a slow
/// replica gets few requests.
const MIN_ANSWERS_TO_STAY_SLOW: f64 = 0.5;
/// Slowdown at which a replica counts as slow.
const SLOW_THRESHOLD: f64 = 1.8;
/// Quantile of the replicas' latencies that serves as the baseline. Low, since most replicas
/// may be slow at the same time.
const BASELINE_QUANTILE: f64 = 0.25;
/// Time for which a reported slowdown is used.
const SLOWDOWN_TTL: Duration = Duration::from_millis(1000);

/// Sum of the logarithms of latency ratios, and the number of answers in it.
#[derive(Clone, Copy, Debug, Default)]
struct RatioSum {
    log_ratio: f64,
    count: f64,
}

/// A front's response times that it still has to report, by store group.
#[derive(Debug, Default)]
pub struct UnreportedLatencies {
    groups: RefCell<HashMap<GroupNumber, HashMap<u32, RatioSum>>>,
}

impl UnreportedLatencies {
    /// Records the ratio of a response time to the expected one.
    pub fn record(&self, replica: u32, ratio: f64) {
        let mut groups = self.groups.borrow_mut();
        for unreported in groups.values_mut() {
            if unreported.len() >= MAX_REPORTED_REPLICAS && !unreported.contains_key(&replica) {
                continue;
            }
            let answers = unreported.entry(replica).or_default();
            answers.log_ratio += ratio.ln();
            answers.count += 1.0;
        }
    }

    /// Returns the response times that this group has not received yet, and clears them.
    pub fn take(&self, group: GroupNumber) -> List<LatencyEntry> {
        let mut groups = self.groups.borrow_mut();
        let unreported = std::mem::take(groups.entry(group).or_default());
        let entries = unreported
            .into_iter()
            .map(|(replica, answers)| LatencyEntry {
                replica,
                log_ratio: (answers.log_ratio * LOG_RATIO_SCALE) as i32,
                answers: answers.count as u16,
            });
        entries.collect()
    }
}

/// Slow replicas that stores have reported to a front.
#[derive(Debug, Default)]
pub struct ReceivedSlowdowns {
    slow: RefCell<HashMap<u32, (f64, Instant)>>,
}

impl ReceivedSlowdowns {
    /// Applies a store's report on slow replicas.
    pub fn apply_report(&self, slow: &[SlowReplica]) {
        let mut received = self.slow.borrow_mut();
        received.retain(|_, (_, at)| at.elapsed() < SLOWDOWN_TTL);
        for replica in slow {
            let slowdown = f64::from(replica.slowdown_tenths) / 10.0;
            received.insert(replica.replica, (slowdown, Instant::now()));
        }
    }

    /// Slowdown of a replica relative to the baseline; 1 if unknown.
    pub fn slowdown(&self, replica: u32) -> f64 {
        let received = self.slow.borrow();
        let known = received.get(&replica);
        let known = known.filter(|(_, at)| at.elapsed() < SLOWDOWN_TTL);
        known.map_or(1.0, |(slowdown, _)| *slowdown)
    }
}

/// Latencies by replica that a store has collected from fronts.
#[derive(Debug)]
pub struct LatencyStats {
    replicas: HashMap<u32, ReplicaStats>,
    decay_time: Duration,
}

impl Default for LatencyStats {
    /// Creates statistics for replicas of plain services.
    fn default() -> Self {
        Self {
            replicas: HashMap::new(),
            decay_time: DECAY_TIME,
        }
    }
}

/// Statistics of one replica.
#[derive(Clone, Copy, Debug, Default)]
struct ReplicaStats {
    answers: RatioSum,
    updated_at: Option<Instant>,
    slow: bool,
}

impl ReplicaStats {
    fn decayed_answers(&self, now: Instant, decay_time: Duration) -> RatioSum {
        decayed(self.answers, self.updated_at, now, decay_time)
    }

    /// Mean logarithm of the ratio; `None` with too few answers.
    fn mean(&self, now: Instant, decay_time: Duration) -> Option<f64> {
        let answers = self.decayed_answers(now, decay_time);
        let min_answers = if self.slow {
            MIN_ANSWERS_TO_STAY_SLOW
        } else {
            MIN_ANSWERS
        };
        (answers.count >= min_answers).then(|| answers.log_ratio / answers.count)
    }
}

impl LatencyStats {
    /// Creates statistics for engines.
    pub fn for_engines() -> Self {
        Self {
            decay_time: ENGINE_DECAY_TIME,
            ..Self::default()
        }
    }

    /// Adds the response times that a front reports.
    pub fn add(&mut self, entries: &[LatencyEntry]) {
        let now = Instant::now();
        for entry in entries {
            if self.replicas.len() >= MAX_TRACKED_REPLICAS
                && !self.replicas.contains_key(&entry.replica)
            {
                self.remove_decayed(now);
            }
            let stats = self.replicas.entry(entry.replica).or_default();
            stats.answers = stats.decayed_answers(now, self.decay_time);
            stats.answers.log_ratio += f64::from(entry.log_ratio) / LOG_RATIO_SCALE;
            stats.answers.count += f64::from(entry.answers);
            stats.updated_at = Some(now);
        }
    }

    /// Replicas that are currently slower than the baseline.
    pub fn slow_replicas(&mut self) -> List<SlowReplica> {
        let now = Instant::now();
        let means = self
            .replicas
            .values()
            .filter_map(|stats| stats.mean(now, self.decay_time));
        let mut means: Vec<f64> = means.collect();
        means.sort_by(f64::total_cmp);
        let baseline = (means.len() as f64 * BASELINE_QUANTILE) as usize;
        let Some(baseline) = means.get(baseline).copied() else {
            return List::default();
        };
        let mut slow = Vec::new();
        for (replica, stats) in &mut self.replicas {
            let slowdown = stats
                .mean(now, self.decay_time)
                .map(|mean| (mean - baseline).exp());
            stats.slow = slowdown.is_some_and(|slowdown| slowdown >= SLOW_THRESHOLD);
            if let (true, Some(slowdown)) = (stats.slow, slowdown) {
                slow.push(SlowReplica {
                    replica: *replica,
                    slowdown_tenths: (slowdown * 10.0) as u16,
                });
            }
        }
        slow.sort_by_key(|slow| std::cmp::Reverse(slow.slowdown_tenths));
        slow.truncate(MAX_REPORTED_REPLICAS);
        List(slow)
    }

    /// Deviations of replicas from the median, the largest first.
    pub fn deviations(&self) -> List<Deviation> {
        let now = Instant::now();
        let known = self.replicas.iter();
        let known = known.filter_map(|(replica, stats)| {
            let mean = stats.mean(now, self.decay_time)?;
            Some((
                *replica,
                mean,
                stats.decayed_answers(now, self.decay_time).count,
            ))
        });
        let mut known: Vec<(u32, f64, f64)> = known.collect();
        known.sort_by(|(_, one, _), (_, other, _)| one.total_cmp(other));
        let Some((_, median, _)) = known.get(known.len() / 2).copied() else {
            return List::default();
        };
        let deviations = known.into_iter().map(|(replica, mean, count)| {
            let weight = count / (count + PRIOR_TURNS);
            Deviation {
                replica,
                log_ratio: ((mean - median) * weight * LOG_RATIO_SCALE) as i16,
            }
        });
        let mut deviations: Vec<Deviation> = deviations.collect();
        deviations.sort_by_key(|deviation| Reverse(deviation.log_ratio.unsigned_abs()));
        deviations.truncate(MAX_REPORTED_REPLICAS);
        List(deviations)
    }

    /// Number of tracked replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns true if no replica is tracked.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    fn remove_decayed(&mut self, now: Instant) {
        self.replicas.retain(|_, stats| {
            stats.decayed_answers(now, self.decay_time).count >= MIN_ANSWERS_TO_STAY_SLOW
        });
        if self.replicas.len() >= MAX_TRACKED_REPLICAS {
            self.replicas.clear();
        }
    }
}

fn decayed(answers: RatioSum, at: Option<Instant>, now: Instant, decay_time: Duration) -> RatioSum {
    let elapsed = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    let remaining = (-elapsed.as_secs_f64() / decay_time.as_secs_f64()).exp();
    RatioSum {
        log_ratio: answers.log_ratio * remaining,
        count: answers.count * remaining,
    }
}
