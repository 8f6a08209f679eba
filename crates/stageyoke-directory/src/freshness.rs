//! How old the directory is. A process may act on it only while it is young:
//! a pending watch proves nothing, since a peer that neither answers nor closes
//! looks like one that has nothing to tell. Only answers prove it, those of the
//! service itself or of another process that has heard from it since.

use std::cell::Cell;
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::absence::{Absence, AbsenceLimits, AbsenceWatch};

/// Part of the bound on changes after which an answer is asked for.
const RENEW_PART: f64 = 0.6;
/// The same for the processes that ask first, so that the others hear of it
/// from them in time: the answers that bring a change reach all at one moment.
const RENEW_FIRST_PART: f64 = 0.4;
/// Part of the bound that one such answer may take; with the part above it
/// leaves a tenth of the bound for a request's way to its replica.
const ANSWER_PART: f64 = 0.3;
/// Part of the time for an answer that one takes at most in calm.
const USUAL_ANSWER_PART: f64 = 0.33;
/// Part of the bound beyond which a request waits for a younger directory.
const ACT_PART: f64 = 0.8;
/// Part of the bound that lies at most between two tries to reach the service.
const BACKOFF_PART: f64 = 0.25;
/// Bounds on changes without a request after which a directory that only
/// requests act on is left to age.
const IDLE_BOUNDS: u32 = 2;
/// Bound on changes where the settings name none: the shortest of the
/// deployments.
const DEFAULT_BOUND: Duration = Duration::from_millis(2000);

/// How old the directory may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// Age at which an answer of the service is asked for.
    pub renew_after: Duration,
    /// The same for a process that asks first, on behalf of others.
    pub renew_first_after: Duration,
    /// Time for that answer; then the service counts as unreachable.
    pub answer_within: Duration,
    /// Age beyond which a request waits for that answer.
    pub act_within: Duration,
    /// Longest pause between two tries while the service is unreachable.
    pub longest_backoff: Duration,
    /// Time without use after which nothing is asked for.
    pub idle_after: Duration,
}

impl AgeLimits {
    /// The limits where a change must be in force within `bound`.
    pub fn within(bound: Duration) -> Self {
        Self {
            renew_after: bound.mul_f64(RENEW_PART),
            renew_first_after: bound.mul_f64(RENEW_FIRST_PART),
            answer_within: bound.mul_f64(ANSWER_PART),
            act_within: bound.mul_f64(ACT_PART),
            longest_backoff: bound.mul_f64(BACKOFF_PART),
            idle_after: bound * IDLE_BOUNDS,
        }
    }
}

impl AgeLimits {
    /// Finds absences of the service, where entries are renewed with this pause.
    fn absence_watch(&self, heartbeat: Duration) -> AbsenceWatch {
        AbsenceWatch::new(AbsenceLimits {
            heartbeat,
            usual: self.renew_after + self.answer_within.mul_f64(USUAL_ANSWER_PART),
            usable_for: self.act_within + self.answer_within.mul_f64(USUAL_ANSWER_PART),
        })
    }
}

impl Default for AgeLimits {
    fn default() -> Self {
        Self::within(DEFAULT_BOUND)
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
    only_by_requests: bool,
    asks_first: Cell<bool>,
    revision: Cell<u64>,
    last_change: Cell<u64>,
    confirmed_at: Cell<Option<Instant>>,
    used_at: Cell<Option<Instant>>,
    unreachable: Cell<bool>,
    absence: Cell<AbsenceWatch>,
    used_again: Notify,
    settled: Notify,
    behind: Notify,
    peers_back: Notify,
}

impl Freshness {
    /// Nothing is known yet. Where only requests act on the directory it may
    /// age while there are none.
    pub fn new(limits: AgeLimits, only_by_requests: bool) -> Self {
        Self {
            limits,
            only_by_requests,
            asks_first: Cell::new(false),
            revision: Cell::new(0),
            last_change: Cell::new(0),
            confirmed_at: Cell::new(None),
            used_at: Cell::new(None),
            unreachable: Cell::new(false),
            absence: Cell::new(limits.absence_watch(Duration::ZERO)),
            used_again: Notify::new(),
            settled: Notify::new(),
            behind: Notify::new(),
            peers_back: Notify::new(),
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> AgeLimits {
        self.limits
    }

    /// Whether this process asks before others get old, which hear from it.
    pub fn set_asks_first(&self, asks_first: bool) {
        self.asks_first.set(asks_first);
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
        self.settled.notify_waiters();
    }

    /// The service gave no usable answer in time to what was asked at `asked`.
    pub fn fail(&self, asked: Instant) {
        self.watch_absence(|absence| absence.note_failed(asked));
        self.unreachable.set(true);
        self.settled.notify_waiters();
    }

    /// Entries are renewed by heartbeats with this pause.
    pub fn set_heartbeat(&self, heartbeat: Duration) {
        self.absence.set(self.limits.absence_watch(heartbeat));
    }

    fn watch_absence(&self, note: impl FnOnce(&mut AbsenceWatch)) {
        let mut absence = self.absence.get();
        note(&mut absence);
        self.absence.set(absence);
    }

    /// Until when entries that are missing may come back, since the service was away;
    /// `None` where they have ended. The service has just answered as of that moment.
    pub fn entries_back_until(&self, as_of: Instant) -> Option<Instant> {
        let (absence, until) = self.absence_until(as_of)?;
        (absence.witnessed && until > Instant::now()).then_some(until)
    }

    /// The same where another process has told until when it takes them to come back:
    /// not beyond what this one knows, had it an answer meanwhile or had it none.
    pub fn told_entries_back_until(&self, as_of: Instant, told: Instant) -> Option<Instant> {
        let (_, until) = self.absence_until(as_of)?;
        let until = until.min(told);
        (until > Instant::now()).then_some(until)
    }

    fn absence_until(&self, as_of: Instant) -> Option<(Absence, Instant)> {
        self.watch_absence(|absence| absence.note_answered(as_of));
        let watch = self.absence.get();
        let absence = watch.last()?;
        Some((absence, watch.limits().entries_back_until(&absence)))
    }

    /// Another process was heard, which last had an answer of the service then.
    pub fn hear_peer(&self, answered_at: Instant) {
        self.watch_absence(|absence| absence.note_peer(answered_at, Instant::now()));
    }

    /// Other processes answer again after none did: if this one got no answer of
    /// the service meanwhile, they may have.
    pub fn note_peers_back(&self) {
        if self.unreachable.get() {
            self.peers_back.notify_one();
        }
    }

    /// Returns once other processes answer again while the service does not.
    pub async fn peers_back(&self) {
        self.peers_back.notified().await;
    }

    /// Whether the last try to get an answer failed.
    pub fn unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Another process told of its directory, in answer to a message that was
    /// sent at `sent`. One that has seen no later change than this one, and
    /// heard from the service since, shows that there is none.
    pub fn hear(&self, mark: DirectoryMark, sent: Instant) {
        let age = Duration::from_millis(u64::from(mark.age_milliseconds));
        if mark.last_change > 0
            && let Some(answered_at) = sent.checked_sub(age)
        {
            self.hear_peer(answered_at);
        }
        let known = self.confirmed_at.get().is_some();
        if known && mark.last_change > self.revision.get() {
            self.behind.notify_one();
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
    pub async fn behind(&self) {
        self.behind.notified().await;
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
        self.watch_absence(|absence| absence.note_answered(as_of));
    }

    /// A request is about to act on the directory. Waits for a younger one if
    /// it is too old, at most as long as an answer may take; not while the
    /// service is known to be unreachable, nor before it was first heard.
    pub async fn before_use(&self) {
        let idle = self.idle();
        self.used_at.set(Some(Instant::now()));
        if idle {
            self.used_again.notify_one();
        }
        let wait = async {
            loop {
                let settled = self.settled.notified();
                if !self.too_old_to_act() {
                    return;
                }
                settled.await;
            }
        };
        // What is known is used when the time is over: `fail` says why.
        let _ = tokio::time::timeout(self.limits.answer_within, wait).await;
    }

    fn too_old_to_act(&self) -> bool {
        let old = self.age().is_some_and(|age| age > self.limits.act_within);
        old && !self.unreachable.get()
    }

    /// Whether nobody acts on the directory, so that it may age.
    pub fn idle(&self) -> bool {
        let used = self.used_at.get();
        self.only_by_requests && used.is_none_or(|used| used.elapsed() > self.limits.idle_after)
    }

    /// Returns once the directory is in use and old enough to ask for an answer.
    pub async fn overdue(&self) {
        loop {
            if self.idle() {
                self.used_again.notified().await;
                continue;
            }
            let renew_after = match self.asks_first.get() {
                true => self.limits.renew_first_after,
                false => self.limits.renew_after,
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
