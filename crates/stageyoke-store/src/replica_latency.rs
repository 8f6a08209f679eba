//! How long replicas of plain services take, as all fronts together see it. A front
//! alone sees each replica too seldom (with 73 fronts and 27 replicas once in 1.7 s) to
//! find one slow before the fault is over; all of them see it some 30 times a second.
//!
//! Load that it answers: a part of a service's replicas takes several times as long,
//! for seconds. A hint, as all that fronts tell of replicas.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_directory::GroupNumber;
use stageyoke_types::List;
use tokio::time::Instant;

use crate::extension::Deviation;
use crate::message::{LatencyEntry, SlowReplica};

/// Replicas in one message.
const MOST_TOLD: usize = 64;
/// Replicas whose answers a store remembers, some 40 bytes each.
const MOST_REPLICAS: usize = 20_000;
/// Hundredths of a logarithm, as messages tell it.
pub(crate) const HUNDREDTHS: f64 = 100.0;
/// Answers fade with this time: some ten of a replica are left of it, and a replica
/// that has recovered is found out as soon.
const FADE: Duration = Duration::from_millis(700);
/// Turns at engines fade with this time: an engine's build stays, and one that turns slow
/// or recovers shall be found out within seconds.
const ENGINE_FADE: Duration = Duration::from_secs(2);
/// An engine counts as if so many turns of an ordinary one had been seen of it as well:
/// few turns tell little.
const ORDINARY_TURNS: f64 = 3.0;
/// Answers from which on a replica is judged: single ones take several times as long
/// as others at sound replicas too.
const ENOUGH: f64 = 3.0;
/// Answers down to which a replica that was slow still is: it gets few calls then.
const ENOUGH_TO_STAY: f64 = 0.5;
/// A replica is slow from this many times the time of the others on.
const SLOW: f64 = 1.8;
/// Part of the replicas that are faster than the one that others are compared with:
/// most of them may be slow at once.
const USUAL_PART: f64 = 0.25;
/// What was heard of slow replicas counts for this long.
const HEARD_LIFE: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    log_ratio: f64,
    count: f64,
}

/// Times of a front's answers that are still to be told, to each store group.
#[derive(Debug, Default)]
pub struct UnreportedLatencies {
    groups: RefCell<HashMap<GroupNumber, HashMap<u32, Answers>>>,
}

impl UnreportedLatencies {
    /// An answer took so many times as long as such answers usually do.
    pub fn record(&self, replica: u32, ratio: f64) {
        let mut groups = self.groups.borrow_mut();
        for untold in groups.values_mut() {
            if untold.len() >= MOST_TOLD && !untold.contains_key(&replica) {
                continue;
            }
            let answers = untold.entry(replica).or_default();
            answers.log_ratio += ratio.ln();
            answers.count += 1.0;
        }
    }

    /// What this group has not been told yet.
    pub fn take(&self, group: GroupNumber) -> List<LatencyEntry> {
        let mut groups = self.groups.borrow_mut();
        let untold = std::mem::take(groups.entry(group).or_default());
        let entries = untold.into_iter().map(|(replica, answers)| LatencyEntry {
            replica,
            log_ratio: (answers.log_ratio * HUNDREDTHS) as i32,
            answers: answers.count as u16,
        });
        entries.collect()
    }
}

/// What a front has heard of slow replicas.
#[derive(Debug, Default)]
pub struct ReceivedSlowdowns {
    slow: RefCell<HashMap<u32, (f64, Instant)>>,
}

impl ReceivedSlowdowns {
    /// A store has told of these.
    pub fn apply_report(&self, slow: &[SlowReplica]) {
        let mut heard = self.slow.borrow_mut();
        heard.retain(|_, (_, at)| at.elapsed() < HEARD_LIFE);
        for replica in slow {
            let times = f64::from(replica.slowdown_tenths) / 10.0;
            heard.insert(replica.replica, (times, Instant::now()));
        }
    }

    /// How many times as long as others a replica takes; 1 where nothing is known.
    pub fn slowdown(&self, replica: u32) -> f64 {
        let heard = self.slow.borrow();
        let known = heard.get(&replica);
        let known = known.filter(|(_, at)| at.elapsed() < HEARD_LIFE);
        known.map_or(1.0, |(times, _)| *times)
    }
}

/// A store's collection of what fronts tell.
#[derive(Debug)]
pub struct LatencyStats {
    replicas: HashMap<u32, Told>,
    fade: Duration,
}

impl Default for LatencyStats {
    /// Of replicas of plain services.
    fn default() -> Self {
        Self {
            replicas: HashMap::new(),
            fade: FADE,
        }
    }
}

/// What was told of one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    answers: Answers,
    at: Option<Instant>,
    slow: bool,
}

impl Told {
    fn now(&self, now: Instant, fade: Duration) -> Answers {
        faded(self.answers, self.at, now, fade)
    }

    /// The mean logarithm, where enough answers tell it.
    fn mean(&self, now: Instant, fade: Duration) -> Option<f64> {
        let answers = self.now(now, fade);
        let enough = if self.slow { ENOUGH_TO_STAY } else { ENOUGH };
        (answers.count >= enough).then(|| answers.log_ratio / answers.count)
    }
}

impl LatencyStats {
    /// Of engines.
    pub fn for_engines() -> Self {
        Self {
            fade: ENGINE_FADE,
            ..Self::default()
        }
    }

    /// Takes what a front tells.
    pub fn add(&mut self, entries: &[LatencyEntry]) {
        let now = Instant::now();
        for entry in entries {
            if self.replicas.len() >= MOST_REPLICAS && !self.replicas.contains_key(&entry.replica) {
                self.forget_faded(now);
            }
            let told = self.replicas.entry(entry.replica).or_default();
            told.answers = told.now(now, self.fade);
            told.answers.log_ratio += f64::from(entry.log_ratio) / HUNDREDTHS;
            told.answers.count += f64::from(entry.answers);
            told.at = Some(now);
        }
    }

    /// Replicas that take longer than the others now.
    pub fn slow_replicas(&mut self) -> List<SlowReplica> {
        let now = Instant::now();
        let means = self
            .replicas
            .values()
            .filter_map(|told| told.mean(now, self.fade));
        let mut means: Vec<f64> = means.collect();
        means.sort_by(f64::total_cmp);
        let usual = (means.len() as f64 * USUAL_PART) as usize;
        let Some(usual) = means.get(usual).copied() else {
            return List::default();
        };
        let mut slow = Vec::new();
        for (replica, told) in &mut self.replicas {
            let times = told.mean(now, self.fade).map(|mean| (mean - usual).exp());
            told.slow = times.is_some_and(|times| times >= SLOW);
            if let (true, Some(times)) = (told.slow, times) {
                slow.push(SlowReplica {
                    replica: *replica,
                    slowdown_tenths: (times * 10.0) as u16,
                });
            }
        }
        slow.sort_by_key(|slow| std::cmp::Reverse(slow.slowdown_tenths));
        slow.truncate(MOST_TOLD);
        List(slow)
    }

    /// How far replicas lie from the middle of all, those that do so most first.
    pub fn deviations(&self) -> List<Deviation> {
        let now = Instant::now();
        let known = self.replicas.iter();
        let known = known.filter_map(|(replica, told)| {
            let mean = told.mean(now, self.fade)?;
            Some((*replica, mean, told.now(now, self.fade).count))
        });
        let mut known: Vec<(u32, f64, f64)> = known.collect();
        known.sort_by(|(_, one, _), (_, other, _)| one.total_cmp(other));
        let Some((_, middle, _)) = known.get(known.len() / 2).copied() else {
            return List::default();
        };
        let deviations = known.into_iter().map(|(replica, mean, count)| {
            let certainty = count / (count + ORDINARY_TURNS);
            Deviation {
                replica,
                log_ratio: ((mean - middle) * certainty * HUNDREDTHS) as i16,
            }
        });
        let mut deviations: Vec<Deviation> = deviations.collect();
        deviations.sort_by_key(|deviation| Reverse(deviation.log_ratio.unsigned_abs()));
        deviations.truncate(MOST_TOLD);
        List(deviations)
    }

    /// Replicas that are remembered.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    fn forget_faded(&mut self, now: Instant) {
        self.replicas
            .retain(|_, told| told.now(now, self.fade).count >= ENOUGH_TO_STAY);
        if self.replicas.len() >= MOST_REPLICAS {
            self.replicas.clear();
        }
    }
}

fn faded(answers: Answers, at: Option<Instant>, now: Instant, fade: Duration) -> Answers {
    let passed = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    let kept = (-passed.as_secs_f64() / fade.as_secs_f64()).exp();
    Answers {
        log_ratio: answers.log_ratio * kept,
        count: answers.count * kept,
    }
}
