//! Tracks the age of the directory. A process may act on the directory only while it is
//! fresh. A pending watch proves nothing, since a silent peer looks like one without
//! changes; only answers do, from the service itself or from a process that had one
//! later.

use std::cell::Cell;
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::outage::{OutageDetector, OutageThresholds, ServiceOutage};

/// Fraction of the change bound after which the directory is refreshed.
const REFRESH_FRACTION: f64 = 0.6;
/// Fraction of the change bound after which a process refreshes if it does so early on
/// behalf of its peers. They can receive the result before their own refresh is due.
const EARLY_REFRESH_FRACTION: f64 = 0.4;
/// Fraction of the change bound that one answer may take. With `REFRESH_FRACTION` it
/// leaves a tenth of the bound for a request's transfer to its replica.
const ANSWER_TIMEOUT_FRACTION: f64 = 0.3;
/// Fraction of the answer timeout that an answer takes at most in normal operation.
const NORMAL_ANSWER_FRACTION: f64 = 0.33;
/// Fraction of the change bound beyond which a request waits for a refresh.
const MAX_USABLE_AGE_FRACTION: f64 = 0.8;
/// Fraction of the change bound between two attempts to reach the service, at most.
const MAX_BACKOFF_FRACTION: f64 = 0.25;
/// Idle timeout, in change bounds, of a directory that is used only by requests.
const IDLE_TIMEOUT_BOUNDS: u32 = 2;
/// Change bound where the settings name none: the shortest among the deployments.
const DEFAULT_CHANGE_BOUND: Duration = Duration::from_millis(2000);

/// Age limits and timeouts for refreshing the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// Age at which a refresh is started.
    pub refresh_after: Duration,
    /// Age at which a process starts a refresh if it refreshes early on behalf of
    /// peers.
    pub early_refresh_after: Duration,
    /// Time without any data after which a refresh fails and the service counts as
    /// unreachable.
    pub answer_timeout: Duration,
    /// Time after which a refresh fails although data arrives.
    pub transfer_timeout: Duration,
    /// Age beyond which a request waits for a refresh.
    pub max_usable_age: Duration,
    /// Longest delay between two attempts while the service is unreachable.
    pub max_backoff: Duration,
    /// Time without use after which the directory is no longer refreshed.
    pub idle_timeout: Duration,
}

impl AgeLimits {
    /// Returns the limits for changes that must be in force within `bound`.
    pub fn for_change_bound(bound: Duration) -> Self {
        Self {
            refresh_after: bound.mul_f64(REFRESH_FRACTION),
            early_refresh_after: bound.mul_f64(EARLY_REFRESH_FRACTION),
            answer_timeout: bound.mul_f64(ANSWER_TIMEOUT_FRACTION),
            transfer_timeout: bound,
            max_usable_age: bound.mul_f64(MAX_USABLE_AGE_FRACTION),
            max_backoff: bound.mul_f64(MAX_BACKOFF_FRACTION),
            idle_timeout: bound * IDLE_TIMEOUT_BOUNDS,
        }
    }
}

impl AgeLimits {
    /// Creates the outage detector for entries that are renewed at this interval.
    fn outage_detector(&self, heartbeat_interval: Duration) -> OutageDetector {
        OutageDetector::new(OutageThresholds {
            heartbeat_interval,
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

/// Version and age of a directory, as sent to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct DirectoryMark {
    /// Revision of the newest change in the directory; zero while it holds none. The
    /// service's own counter also rises without such a change.
    pub last_change: u64,
    /// Time since `last_change` was last known to be the newest change, in
    /// milliseconds.
    pub age_milliseconds: u32,
}

/// Revision and age of this process's directory.
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
    /// Start of the wait for a refresh, from the first request that found the directory too
    /// stale.
    waiting_since: Cell<Option<Instant>>,
    outages: Cell<OutageDetector>,
    use_resumed: Notify,
    refresh_finished: Notify,
    lagging: Notify,
    peers_reachable: Notify,
}

impl Freshness {
    /// Creates the state of a directory without any answer. A directory that is used
    /// only by requests is not refreshed while there are none.
    pub fn new(limits: AgeLimits, used_only_by_requests: bool) -> Self {
        Self {
            limits,
            used_only_by_requests,
            refreshes_early: Cell::new(false),
            revision: Cell::new(0),
            last_change: Cell::new(0),
            confirmed_at: Cell::new(None),
            last_used_at: Cell::new(None),
            unreachable: Cell::new(false),
            waiting_since: Cell::new(None),
            outages: Cell::new(limits.outage_detector(Duration::ZERO)),
            use_resumed: Notify::new(),
            refresh_finished: Notify::new(),
            lagging: Notify::new(),
            peers_reachable: Notify::new(),
        }
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> AgeLimits {
        self.limits
    }

    /// Sets whether this process refreshes early, so that its peers need not.
    pub fn set_early_refresh(&self, enabled: bool) {
        self.refreshes_early.set(enabled);
    }

    /// Returns when the directory was last known to hold every change; `None` before
    /// the first answer.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Returns the time since the directory was last known to hold every change; `None`
    /// before the first answer.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }

    /// Records an answer from the service: at the moment `as_of` the directory held every
    /// change up to `revision`. `last_change` is the revision of the newest of them,
    /// `None` if there was none since the previous answer.
    pub fn confirm(&self, revision: u64, last_change: Option<u64>, as_of: Instant) {
        self.revision.set(revision);
        if let Some(last_change) = last_change {
            self.last_change.set(last_change);
        }
        self.advance_confirmed_at(as_of);
        self.unreachable.set(false);
        self.refresh_finished.notify_waiters();
    }

    /// Records an answer from the service that may lack changes: the directory holds every
    /// change up to `revision`, which may not be the newest one.
    pub fn advance_revision(&self, revision: u64, last_change: Option<u64>) {
        self.revision.set(revision);
        if let Some(last_change) = last_change {
            self.last_change.set(last_change);
        }
    }

    /// Records that a request to the service, sent at `sent_at`, got no usable answer in
    /// time.
    pub fn record_failure(&self, sent_at: Instant) {
        self.update_outages(|detector| detector.record_failure(sent_at));
        self.unreachable.set(true);
        self.refresh_finished.notify_waiters();
    }

    /// Sets the interval at which entries are renewed; discards outages seen so far.
    pub fn set_heartbeat_interval(&self, heartbeat_interval: Duration) {
        self.outages
            .set(self.limits.outage_detector(heartbeat_interval));
    }

    fn update_outages(&self, update: impl FnOnce(&mut OutageDetector)) {
        let mut detector = self.outages.get();
        update(&mut detector);
        self.outages.set(detector);
    }

    /// Returns the deadline by which missing entries may be back after an outage;
    /// `None` if they have ended. The caller has just had an answer from the service as
    /// of `as_of`.
    pub fn lapsed_entry_deadline(&self, as_of: Instant) -> Option<Instant> {
        let (outage, deadline) = self.outage_and_deadline(as_of)?;
        (outage.corroborated && deadline > Instant::now()).then_some(deadline)
    }

    /// Limits a lapsed-entry deadline that a peer relayed to what this process knows
    /// itself, whether or not it had an answer during the outage; `None` if the entries
    /// have ended.
    pub fn relayed_lapsed_entry_deadline(
        &self,
        as_of: Instant,
        relayed: Instant,
    ) -> Option<Instant> {
        let (_, deadline) = self.outage_and_deadline(as_of)?;
        let deadline = deadline.min(relayed);
        (deadline > Instant::now()).then_some(deadline)
    }

    fn outage_and_deadline(&self, as_of: Instant) -> Option<(ServiceOutage, Instant)> {
        self.update_outages(|detector| detector.record_answer(as_of));
        let detector = self.outages.get();
        let outage = detector.last_outage()?;
        Some((outage, detector.thresholds().lapsed_entry_deadline(&outage)))
    }

    /// Records contact with a peer whose last answer from the service was at
    /// `answered_at`.
    pub fn apply_peer_contact(&self, answered_at: Instant) {
        self.update_outages(|detector| detector.record_peer_answer(answered_at, Instant::now()));
    }

    /// Wakes `wait_for_peers` when peers answer again after none did: they may have a
    /// newer copy than this process, if it cannot reach the service.
    pub fn report_peers_reachable(&self) {
        if self.unreachable.get() {
            self.peers_reachable.notify_one();
        }
    }

    /// Waits until peers answer again while the service is unreachable.
    pub async fn wait_for_peers(&self) {
        self.peers_reachable.notified().await;
    }

    /// Returns whether the last request to the service failed.
    pub fn is_service_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Applies the mark of a peer, received in answer to a message sent at `sent_at`. If
    /// the peer has seen no later change than this process, and had an answer from the
    /// service since, the directory is confirmed as of that answer.
    pub fn apply_peer_mark(&self, mark: DirectoryMark, sent_at: Instant) {
        let age = Duration::from_millis(u64::from(mark.age_milliseconds));
        if mark.last_change > 0
            && let Some(answered_at) = sent_at.checked_sub(age)
        {
            self.apply_peer_contact(answered_at);
        }
        let has_answer = self.confirmed_at.get().is_some();
        if has_answer && mark.last_change > self.revision.get() {
            self.lagging.notify_one();
        }
        if has_answer
            && mark.last_change > 0
            && mark.last_change <= self.revision.get()
            && let Some(as_of) = sent_at.checked_sub(age)
        {
            self.advance_confirmed_at(as_of);
        }
    }

    /// Waits until a peer has reported a change that this directory does not hold.
    pub async fn wait_until_lagging(&self) {
        self.lagging.notified().await;
    }

    /// Returns the revision up to which the directory holds every change.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns the mark to send to peers.
    pub fn mark(&self) -> DirectoryMark {
        let Some(age) = self.age() else {
            return DirectoryMark::default();
        };
        DirectoryMark {
            last_change: self.last_change.get(),
            age_milliseconds: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn advance_confirmed_at(&self, as_of: Instant) {
        let previous = self.confirmed_at.get();
        self.confirmed_at.set(previous.max(Some(as_of)));
        if !self.is_too_stale() {
            self.waiting_since.set(None);
        }
        self.update_outages(|detector| detector.record_answer(as_of));
    }

    /// Waits until the directory is fresh enough for a request to act on. Does not wait while
    /// the service is known to be unreachable or before its first answer.
    pub async fn ensure_fresh(&self) {
        self.ensure_fresh_within(self.limits.answer_timeout).await;
    }

    /// Waits like `ensure_fresh`, for `limit` at most. All requests together wait for
    /// `answer_timeout` from the first of them on; a refresh that has not come by then can't
    /// be expected within the time of a request.
    pub async fn ensure_fresh_within(&self, limit: Duration) {
        let was_idle = self.is_idle();
        let now = Instant::now();
        self.last_used_at.set(Some(now));
        if was_idle {
            self.waiting_since.set(None);
            self.use_resumed.notify_one();
        }
        if !self.is_too_stale() {
            return;
        }
        let waiting_since = self.waiting_since.get().unwrap_or(now);
        self.waiting_since.set(Some(waiting_since));
        let fresh = async {
            loop {
                let finished = self.refresh_finished.notified();
                if !self.is_too_stale() {
                    return;
                }
                finished.await;
            }
        };
        let wait_end = waiting_since + self.limits.answer_timeout;
        // After the timeout the request uses the stale copy; `record_failure` reports
        // why.
        let _ = tokio::time::timeout_at(wait_end.min(now + limit), fresh).await;
    }

    fn is_too_stale(&self) -> bool {
        let stale = self
            .age()
            .is_some_and(|age| age > self.limits.max_usable_age);
        stale && !self.unreachable.get()
    }

    /// Returns whether the directory is unused, so that it need not be refreshed.
    pub fn is_idle(&self) -> bool {
        let last_used_at = self.last_used_at.get();
        self.used_only_by_requests
            && last_used_at
                .is_none_or(|last_used_at| last_used_at.elapsed() > self.limits.idle_timeout)
    }

    /// Waits until the directory is in use and due for a refresh.
    pub async fn wait_until_overdue(&self) {
        loop {
            if self.is_idle() {
                self.use_resumed.notified().await;
                continue;
            }
            let refresh_after = match self.refreshes_early.get() {
                true => self.limits.early_refresh_after,
                false => self.limits.refresh_after,
            };
            let Some(confirmed_at) = self.confirmed_at.get() else {
                return;
            };
            let due = confirmed_at + refresh_after;
            if due <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(due).await;
        }
    }
}
