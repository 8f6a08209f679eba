//! Shares of the requests that were served, by the second in which they were sent and by
//! kind, zone and tenant, and the seconds in which requests under way got no response.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Minimum share of requests to be served: at most 60 in 100 may be refused or fail.
pub const MIN_SERVED_SHARE: f64 = 0.4;
/// Minimum share of a kind, zone or tenant, relative to that of all requests.
pub const MIN_RELATIVE_SHARE: f64 = 0.25;
/// Weight of a late success.
const LATE_WEIGHT: f64 = 0.3;
/// Fraction of the requests from which on a kind or zone has a minimum share of its own.
const MIN_GROUP_FRACTION: f64 = 0.05;
/// Number of requests below which no share is judged.
pub const MIN_JUDGED_REQUESTS: u64 = 20;
const SECOND: Duration = Duration::from_secs(1);
/// Maximum share of the requests under way in a second that may get no response in it.
pub const MAX_UNANSWERED_SHARE: f64 = 1.0 - MIN_SERVED_SHARE;

/// Kind, zone and tenant of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestLabels {
    /// Kind of the request.
    pub kind: &'static str,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Index of the tenant.
    pub tenant: usize,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete successful response.
    Served,
    /// A success that came too late to count in full.
    Late,
    /// A response that says that the request was not run.
    Refused,
    /// Any other end, such as an incomplete response or none within the deadline.
    Failed,
}

/// Counts of requests by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Complete successful responses.
    pub served: u64,
    /// Successes that came too late to count in full.
    pub late: u64,
    /// Requests that were not run.
    pub refused: u64,
    /// Other requests without a complete successful response.
    pub failed: u64,
}

impl OutcomeCounts {
    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.served + self.late + self.refused + self.failed
    }

    /// Returns the share that was served, late ones in part; 1 without requests.
    pub fn share(&self) -> f64 {
        match self.total() {
            0 => 1.0,
            total => (self.served as f64 + LATE_WEIGHT * self.late as f64) / total as f64,
        }
    }

    fn add(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Served => self.served += 1,
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Failed => self.failed += 1,
        }
    }
}

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.2} of {}", self.share(), self.total())?;
        for (count, outcome) in [
            (self.late, "late"),
            (self.refused, "refused"),
            (self.failed, "failed"),
        ] {
            if count > 0 {
                write!(formatter, ", {count} {outcome}")?;
            }
        }
        Ok(())
    }
}

/// Part of a run, in time since its start, for which shares are judged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// Description for the report.
    pub name: String,
    /// Start of the window.
    pub from: Duration,
    /// End of the window, exclusive.
    pub until: Duration,
}

/// Returns the parts of the time from `from` until `until` that lie in none of the excluded
/// windows, which are in order.
pub fn windows_between(excluded: &[Window], from: Duration, until: Duration) -> Vec<Window> {
    let ends = excluded.iter().map(|window| window.from).chain([until]);
    let starts = excluded.iter().map(|window| window.until);
    let starts = [from].into_iter().chain(starts);
    let windows = starts.zip(ends).map(|(start, end)| Window {
        name: "responses".to_owned(),
        from: start.max(from),
        until: end,
    });
    windows
        .filter(|window| window.from < window.until)
        .collect()
}

/// Requests under way in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondActivity {
    /// Requests that ended in the second.
    pub ended: u64,
    /// Requests that were under way during the whole second, without the withheld ones.
    pub unanswered: u64,
    /// Such requests that a replica has run and whose response it withholds: the front may
    /// neither repeat them nor end them early.
    pub withheld: u64,
}

impl SecondActivity {
    /// Returns the share of the requests that got no response; 0 without requests.
    pub fn unanswered_share(self) -> f64 {
        match self.ended + self.unanswered {
            0 => 0.0,
            total => self.unanswered as f64 / total as f64,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    labels: RequestLabels,
    sent: Duration,
    ended: Duration,
    outcome: RequestOutcome,
    /// Whether a replica ran the request and withheld its response.
    is_withheld: bool,
}

impl Observation {
    /// Returns the seconds during all of which the request was under way.
    fn whole_seconds(&self) -> Range<u64> {
        let first = self.sent.as_secs() + u64::from(self.sent.subsec_nanos() > 0);
        first..self.ended.as_secs()
    }
}

/// Outcomes of all requests of a run.
#[derive(Debug, Default)]
pub struct ServedShares {
    started_at: OnceLock<Instant>,
    observations: Mutex<Vec<Observation>>,
}

impl ServedShares {
    fn observations(&self) -> MutexGuard<'_, Vec<Observation>> {
        let observations = self.observations.lock();
        observations.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the start of the run; by default it is the time at which the first recorded
    /// request was sent.
    pub fn start(&self, at: Instant) {
        let _ = self.started_at.set(at);
    }

    /// Records the outcome of a request that has just ended.
    pub fn record(&self, labels: RequestLabels, sent_at: Instant, outcome: RequestOutcome) {
        self.push(labels, sent_at, outcome, false);
    }

    /// Records a request that failed because the replica that ran it withheld its response.
    pub fn record_withheld(&self, labels: RequestLabels, sent_at: Instant) {
        self.push(labels, sent_at, RequestOutcome::Failed, true);
    }

    fn push(
        &self,
        labels: RequestLabels,
        sent_at: Instant,
        outcome: RequestOutcome,
        is_withheld: bool,
    ) {
        let started_at = *self.started_at.get_or_init(|| sent_at);
        self.observations().push(Observation {
            labels,
            sent: sent_at.saturating_duration_since(started_at),
            ended: started_at.elapsed(),
            outcome,
            is_withheld,
        });
    }

    /// Returns the requests under way in each second in which there were any.
    pub fn activity_by_second(&self) -> BTreeMap<u64, SecondActivity> {
        let mut seconds: BTreeMap<u64, SecondActivity> = BTreeMap::new();
        for observation in self.observations().iter() {
            let ended_in = observation.ended.as_secs();
            seconds.entry(ended_in).or_default().ended += 1;
            for second in observation.whole_seconds() {
                let activity = seconds.entry(second).or_default();
                match observation.is_withheld {
                    true => activity.withheld += 1,
                    false => activity.unanswered += 1,
                }
            }
        }
        seconds
    }

    /// Describes each second within a window in which too many requests got no response.
    pub fn stalled_seconds(&self, window: &Window) -> Vec<String> {
        let activity = self.activity_by_second();
        let is_inside = |second: u64| {
            let start = Duration::from_secs(second);
            window.from <= start && start + SECOND <= window.until
        };
        let stalled = activity.into_iter().filter(|(second, activity)| {
            is_inside(*second)
                && activity.ended + activity.unanswered >= MIN_JUDGED_REQUESTS
                && activity.unanswered_share() > MAX_UNANSWERED_SHARE
        });
        let describe = |(second, activity): (u64, SecondActivity)| {
            let SecondActivity {
                ended, unanswered, ..
            } = activity;
            format!(
                "{}: second {second}: {unanswered} requests got no response and {ended} ended",
                window.name
            )
        };
        stalled.map(describe).collect()
    }

    /// Returns the counts of the requests that were sent in each second, by kind.
    pub fn by_second(&self) -> BTreeMap<u64, BTreeMap<&'static str, OutcomeCounts>> {
        let mut seconds: BTreeMap<u64, BTreeMap<&'static str, OutcomeCounts>> = BTreeMap::new();
        for observation in self.observations().iter() {
            let second = seconds.entry(observation.sent.as_secs()).or_default();
            let counts = second.entry(observation.labels.kind).or_default();
            counts.add(observation.outcome);
        }
        seconds
    }

    /// Returns the counts of a window as a whole.
    pub fn in_window(&self, window: &Window) -> OutcomeCounts {
        let all = self.grouped(window, |_| ());
        all.get(&()).copied().unwrap_or_default()
    }

    /// Returns the counts of a window by a property of the requests.
    pub fn grouped<K: Ord>(
        &self,
        window: &Window,
        group: impl Fn(RequestLabels) -> K,
    ) -> BTreeMap<K, OutcomeCounts> {
        let mut groups: BTreeMap<K, OutcomeCounts> = BTreeMap::new();
        for observation in self.observations().iter() {
            if (window.from..window.until).contains(&observation.sent) {
                let counts = groups.entry(group(observation.labels)).or_default();
                counts.add(observation.outcome);
            }
        }
        groups
    }

    /// Describes each share in a window that is below its minimum.
    pub fn shortfalls(&self, window: &Window) -> Vec<String> {
        let all = self.in_window(window);
        if all.total() < MIN_JUDGED_REQUESTS {
            return Vec::new();
        }
        let mut shortfalls = Vec::new();
        let mut report = |what: &str, counts: OutcomeCounts, min_share: f64| {
            if counts.total() >= MIN_JUDGED_REQUESTS && counts.share() < min_share {
                let name = &window.name;
                shortfalls.push(format!(
                    "{name}: served {counts} of {what}, less than {min_share:.2}"
                ));
            }
        };
        report("all requests", all, MIN_SERVED_SHARE);
        let min_relative = MIN_RELATIVE_SHARE * all.share();
        let is_large = |counts: &OutcomeCounts| {
            counts.total() as f64 >= all.total() as f64 * MIN_GROUP_FRACTION
        };
        let min_share = |counts: &OutcomeCounts| match is_large(counts) {
            true => MIN_SERVED_SHARE,
            false => min_relative,
        };
        for (kind, counts) in self.grouped(window, |labels| labels.kind) {
            report(&format!("kind {kind}"), counts, min_share(&counts));
        }
        for (zone, counts) in self.grouped(window, |labels| labels.zone) {
            report(&format!("zone {zone}"), counts, min_share(&counts));
        }
        for (tenant, counts) in self.grouped(window, |labels| labels.tenant) {
            report(&format!("tenant {tenant}"), counts, min_relative);
        }
        shortfalls
    }

    /// Returns the table of the shares by second, one line each, and below it the shares of
    /// the whole run by zone and, if there are several, the least-served tenant.
    pub fn table(&self) -> String {
        let seconds = self.by_second();
        let kinds: BTreeSet<&str> = seconds
            .values()
            .flat_map(|kinds| kinds.keys().copied())
            .collect();
        let last = seconds.keys().next_back().copied().unwrap_or_default();
        let activity = self.activity_by_second();
        let mut table = String::new();
        for second in 0..=last {
            table.push_str(&format!("{second:>4} s"));
            for kind in &kinds {
                let counts = seconds.get(&second).and_then(|kinds| kinds.get(kind));
                let counts = counts.copied().unwrap_or_default();
                table.push_str(&format!(" | {kind} {counts}"));
            }
            let SecondActivity {
                unanswered,
                withheld,
                ..
            } = activity.get(&second).copied().unwrap_or_default();
            table.push_str(&format!(
                " | {unanswered} unanswered, {withheld} withheld\n"
            ));
        }
        let run = Window {
            name: String::new(),
            from: Duration::ZERO,
            until: Duration::MAX,
        };
        for (zone, counts) in self.grouped(&run, |labels| labels.zone) {
            table.push_str(&format!("zone {zone}: {counts}\n"));
        }
        let tenants = self.grouped(&run, |labels| labels.tenant);
        let least_served = tenants
            .iter()
            .min_by(|(_, one), (_, other)| one.share().total_cmp(&other.share()));
        if let Some((tenant, counts)) = least_served.filter(|_| tenants.len() > 1) {
            table.push_str(&format!("least-served tenant {tenant}: {counts}\n"));
        }
        table
    }
}
