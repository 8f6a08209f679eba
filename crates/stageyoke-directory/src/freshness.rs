//! How old the directory is. A process may act on it only while it is young:
//! a pending watch proves nothing, since a peer that neither answers nor closes
//! looks like one that has nothing to tell. Only answers prove it, those of the
//! service itself or of another process that has heard from it since.

use std::cell::Cell;
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::outage::{OutageDetector, OutageThresholds, ServiceOutage};

/// Part of the bound on changes after which an answer is asked for.
const REFRESH_FRACTION: f64 = 0.6;
/// The same for the processes that ask first, so that the others hear of it
/// from them in time: the answers that bring a change reach all at one moment.
const EARLY_REFRESH_FRACTION: f64 = 0.4;
/// Part of the bound that one such answer may take; with the part above it
/// leaves a tenth of the bound for a request's way to its replica.
const ANSWER_TIMEOUT_FRACTION: f64 = 0.3;
/// Part of the time for an answer that one takes at most in calm.
const NORMAL_ANSWER_FRACTION: f64 = 0.33;
/// Part of the bound beyond which a request waits for a younger directory.
const MAX_USABLE_AGE_FRACTION: f64 = 0.8;
/// Part of the bound that lies at most between two tries to reach the service.
const MAX_BACKOFF_FRACTION: f64 = 0.25;
/// Bounds on changes without a request after which a directory that only
/// requests act on is left to age.
const IDLE_TIMEOUT_BOUNDS: u32 = 2;
/// Bound on changes where the settings name none: the shortest of the
/// deployments.
const DEFAULT_CHANGE_BOUND: Duration = Duration::from_millis(2000);

/// How old the directory may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// Age at which an answer of the service is asked for.
    pub refresh_after: Duration,
    /// The same for a process that asks first, on behalf of others.
    pub early_refresh_after: Duration,
    /// Time for that answer; then the service counts as unreachable.
    pub answer_timeout: Duration,
    /// Age beyond which a request waits for that answer.
    pub max_usable_age: Duration,
    /// Longest pause between two tries while the service is unreachable.
    pub max_backoff: Duration,
    /// Time without use after which nothing is asked for.
    pub idle_timeout: Duration,
}

impl AgeLimits {
    /// The limits where a change must be in force within `bound`.
    pub fn for_change_bound(bound: Duration) -> Self {
        Self {
            refresh_after: bound.mul_f64(REFRESH_FRACTION),
            early_refresh_after: bound.mul_f64(EARLY_REFRESH_FRACTION),
            answer_timeout: bound.mul_f64(ANSWER_TIMEOUT_FRACTION),
            max_usable_age: bound.mul_f64(MAX_USABLE_AGE_FRACTION),
            max_backoff: bound.mul_f64(MAX_BACKOFF_FRACTION),
            idle_timeout: bound * IDLE_TIMEOUT_BOUNDS,
        }
    }
}

impl AgeLimits {
    /// Finds absences of the service, where entries are renewed with this pause.
    fn outage_detector(&self, heartbeat: Duration) -> OutageDetector {
        OutageDetector::new(OutageThresholds {
            heartbeat_interval: heartbeat,
            max_answer_interval: self.refresh_after
                + self.answer_timeout.mul_f64(NORMAL_ANSWER_FRACTION),
            min_usable_time: self.max_usable_age
                + self.answer_timeout.mul_f64(NORMAL_ANSWER_FRACTION),
        })
    }
}

impl Default for AgeLimits {
    fn default() -> Self {
        Self::for_change_bound(DEFAULT_CHANGE_BOUND)
    }
}

/// What one process tells another of its directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct DirectoryMark {
    /// Revision of the newest change that the directory holds; zero while it
    /// holds none. The service's own counter also rises without such a change.
    pub last_change: u64,
    /// How long ago that was the newest change, in milliseconds.
    pub age_milliseconds: u32,
}

/// Revision and age of one process's directory.
#[derive(Debug)]
pub struct Freshness {
    limits: AgeLimits,
    used_only_by_requests: bool,
    refreshes_early: Cell<bool>,
    revision: Cell<u64>,
    last_change: Cell<u64>,
    confirmed_at: Cell<Option<Instant>>,
    last_used_at: Cell<Option<Instant>>,
    unreachable: Cell<bool>,
    outages: Cell<OutageDetector>,
    use_resumed: Notify,
    refresh_finished: Notify,
    lagging: Notify,
    peers_reachable: Notify,
}

impl Freshness {
    /// Nothing is known yet. Where only requests act on the directory it may
    /// age while there are none.
    pub fn new(limits: AgeLimits, only_by_requests: bool) -> Self {
        Self {
            limits,
            used_only_by_requests: only_by_requests,
            refreshes_early: Cell::new(false),
            revision: Cell::new(0),
            last_change: Cell::new(0),
            confirmed_at: Cell::new(None),
            last_used_at: Cell::new(None),
            unreachable: Cell::new(false),
            outages: Cell::new(limits.outage_detector(Duration::ZERO)),
            use_resumed: Notify::new(),
            refresh_finished: Notify::new(),
            lagging: Notify::new(),
            peers_reachable: Notify::new(),
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> AgeLimits {
        self.limits
    }

    /// Whether this process asks before others get old, which hear from it.
    pub fn set_early_refresh(&self, asks_first: bool) {
        self.refreshes_early.set(asks_first);
    }

    /// When the directory was last known to hold every change; `None` before the
    /// first answer.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Time since the directory was known to hold every change; `None` before
    /// the first answer.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }

    /// The service answered: at the moment `as_of` the directory held every
    /// change up to `revision`, the newest of them at `last_change` (`None`:
    /// none since the answer before).
    pub fn confirm(&self, revision: u64, last_change: Option<u64>, as_of: Instant) {
        self.revision.set(revision);
        if let Some(last_change) = last_change {
            self.last_change.set(last_change);
        }
        self.advance(as_of);
        self.unreachable.set(false);
        self.refresh_finished.notify_waiters();
    }

    /// The service gave no usable answer in time to what was asked at `asked`.
    pub fn record_failure(&self, asked: Instant) {
        self.update_outages(|absence| absence.record_failure(asked));
        self.unreachable.set(true);
        self.refresh_finished.notify_waiters();
    }

    /// Entries are renewed by heartbeats with this pause.
    pub fn set_heartbeat_interval(&self, heartbeat: Duration) {
        self.outages.set(self.limits.outage_detector(heartbeat));
    }

    fn update_outages(&self, note: impl FnOnce(&mut OutageDetector)) {
        let mut absence = self.outages.get();
        note(&mut absence);
        self.outages.set(absence);
    }

    /// Until when entries that are missing may come back, since the service was away;
    /// `None` where they have ended. The service has just answered as of that moment.
    pub fn lapsed_entry_deadline(&self, as_of: Instant) -> Option<Instant> {
        let (absence, until) = self.outage_and_deadline(as_of)?;
        (absence.corroborated && until > Instant::now()).then_some(until)
    }

    /// The same where another process has told until when it takes them to come back:
    /// not beyond what this one knows, had it an answer meanwhile or had it none.
    pub fn relayed_lapsed_entry_deadline(&self, as_of: Instant, told: Instant) -> Option<Instant> {
        let (_, until) = self.outage_and_deadline(as_of)?;
        let until = until.min(told);
        (until > Instant::now()).then_some(until)
    }

    fn outage_and_deadline(&self, as_of: Instant) -> Option<(ServiceOutage, Instant)> {
        self.update_outages(|absence| absence.record_answer(as_of));
        let watch = self.outages.get();
        let absence = watch.last_outage()?;
        Some((absence, watch.thresholds().lapsed_entry_deadline(&absence)))
    }

    /// Another process was heard, which last had an answer of the service then.
    pub fn apply_peer_contact(&self, answered_at: Instant) {
        self.update_outages(|absence| absence.record_peer_answer(answered_at, Instant::now()));
    }

    /// Other processes answer again after none did: if this one got no answer of
    /// the service meanwhile, they may have.
    pub fn report_peers_reachable(&self) {
        if self.unreachable.get() {
            self.peers_reachable.notify_one();
        }
    }

    /// Returns once other processes answer again while the service does not.
    pub async fn wait_for_peers(&self) {
        self.peers_reachable.notified().await;
    }

    /// Whether the last try to get an answer failed.
    pub fn is_service_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Another process told of its directory, in answer to a message that was
    /// sent at `sent`. One that has seen no later change than this one, and
    /// heard from the service since, shows that there is none.
    pub fn apply_peer_mark(&self, mark: DirectoryMark, sent: Instant) {
        let age = Duration::from_millis(u64::from(mark.age_milliseconds));
        if mark.last_change > 0
            && let Some(answered_at) = sent.checked_sub(age)
        {
            self.apply_peer_contact(answered_at);
        }
        let known = self.confirmed_at.get().is_some();
        if known && mark.last_change > self.revision.get() {
            self.lagging.notify_one();
        }
        if known
            && mark.last_change > 0
            && mark.last_change <= self.revision.get()
            && let Some(as_of) = sent.checked_sub(age)
        {
            self.advance(as_of);
        }
    }

    /// Returns once another process has told of a change that this directory
    /// does not hold.
    pub async fn wait_until_lagging(&self) {
        self.lagging.notified().await;
    }

    /// Revision up to which the directory holds every change.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// What to tell other processes.
    pub fn mark(&self) -> DirectoryMark {
        let Some(age) = self.age() else {
            return DirectoryMark::default();
        };
        DirectoryMark {
            last_change: self.last_change.get(),
            age_milliseconds: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn advance(&self, as_of: Instant) {
        let before = self.confirmed_at.get();
        self.confirmed_at.set(before.max(Some(as_of)));
        self.update_outages(|absence| absence.record_answer(as_of));
    }

    /// A request is about to act on the directory. Waits for a younger one if
    /// it is too old, at most as long as an answer may take; not while the
    /// service is known to be unreachable, nor before it was first heard.
    pub async fn ensure_fresh(&self) {
        let idle = self.is_idle();
        self.last_used_at.set(Some(Instant::now()));
        if idle {
            self.use_resumed.notify_one();
        }
        let wait = async {
            loop {
                let settled = self.refresh_finished.notified();
                if !self.is_too_stale() {
                    return;
                }
                settled.await;
            }
        };
        // What is known is used when the time is over: `fail` says why.
        let _ = tokio::time::timeout(self.limits.answer_timeout, wait).await;
    }

    fn is_too_stale(&self) -> bool {
        let old = self
            .age()
            .is_some_and(|age| age > self.limits.max_usable_age);
        old && !self.unreachable.get()
    }

    /// Whether nobody acts on the directory, so that it may age.
    pub fn is_idle(&self) -> bool {
        let used = self.last_used_at.get();
        self.used_only_by_requests
            && used.is_none_or(|used| used.elapsed() > self.limits.idle_timeout)
    }

    /// Returns once the directory is in use and old enough to ask for an answer.
    pub async fn wait_until_overdue(&self) {
        loop {
            if self.is_idle() {
                self.use_resumed.notified().await;
                continue;
            }
            let renew_after = match self.refreshes_early.get() {
                true => self.limits.early_refresh_after,
                false => self.limits.refresh_after,
            };
            let Some(confirmed_at) = self.confirmed_at.get() else {
                return;
            };
            let due = confirmed_at + renew_after;
            if due <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(due).await;
        }
    }
}
