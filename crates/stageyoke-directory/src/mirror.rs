//! Follows the key-value service: one complete read, then one long watch, and
//! a complete read again whenever the service has forgotten its history. A
//! pending watch is no proof that nothing has changed: beside it the service is
//! asked for an answer as often as the directory's age limits demand.

mod apply;
mod told;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::freshness::{AgeLimits, Freshness};
use crate::groups::StoreGroups;
use crate::key_value::{Change, Item, KeyValueError, KeyValueService, RangePage, WatchOutcome};
use crate::relay::{DirectoryRelay, RecentChanges};
use crate::view::{Changed, Interpreter, Update, View};

/// How long one watch waits at the service: it spares calls, and nothing relies
/// on its end.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
/// While the service is unreachable every second try may take so many times as
/// long as the others: a slow service answers these.
const PATIENT_TRY: u32 = 2;
/// Parts of the bound on changes that gathering and confirmations may take.
const GATHER_PART: f64 = 0.3;
const CONFIRMED_PART: f64 = 0.25;
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// What the mirror tells its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorEvent {
    /// The view changed.
    Changed(Changed),
    /// The service stopped answering.
    Lost(KeyValueError),
    /// The service answers again.
    Regained,
    /// An item could not be read.
    Unreadable(String),
}

/// How calls are spared: they come in groups, and each has its price.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// After a change the next ones are gathered this long.
    pub gather: Duration,
    /// A linearizable read of the routes confirms them this long.
    pub confirmed_for: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            gather: Duration::from_millis(400),
            confirmed_for: Duration::ZERO,
        }
    }
}

impl Pace {
    /// The pace where a change must be in force within `bound`.
    pub fn within(bound: Duration) -> Self {
        Self {
            gather: bound.mul_f64(GATHER_PART),
            confirmed_for: bound.mul_f64(CONFIRMED_PART),
        }
    }
}

/// What one exchange with the service came to.
struct Step {
    /// Where to go on; `None`: the history is gone, everything is read again.
    revision: Option<u64>,
    /// When the view held every change up to there.
    as_of: Instant,
    /// Revision of the newest change that it brought, if any.
    last_change: Option<u64>,
    /// Whether more changes may follow at once, and are gathered.
    gather: bool,
}

/// The view and the means to follow it; shared by the tasks of a process.
pub struct Mirror<S, I> {
    /// The key-value service.
    pub service: S,
    /// Reads its items.
    pub interpreter: I,
    view: RefCell<Rc<View>>,
    items: Option<RefCell<BTreeMap<String, Item>>>,
    changes: Cell<u64>,
    last_contact: Cell<Option<Instant>>,
    asked_at: Cell<Instant>,
    back_until: Cell<Option<Instant>>,
    read_lock: tokio::sync::Mutex<Option<Instant>>,
    changed: Notify,
    pace: Pace,
    freshness: Rc<Freshness>,
    relay: Option<Rc<dyn DirectoryRelay>>,
    recent: RefCell<RecentChanges>,
}

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    /// A mirror that knows nothing yet.
    pub fn new(service: S, interpreter: I) -> Self {
        Self {
            service,
            interpreter,
            view: RefCell::new(Rc::new(View::default())),
            items: None,
            changes: Cell::new(0),
            last_contact: Cell::new(None),
            asked_at: Cell::new(Instant::now()),
            back_until: Cell::new(None),
            read_lock: tokio::sync::Mutex::new(None),
            changed: Notify::new(),
            pace: Pace::default(),
            freshness: Rc::new(Freshness::new(AgeLimits::default(), true)),
            relay: None,
            recent: RefCell::default(),
        }
    }

    /// The same mirror, which asks other processes that follow the service, and
    /// the service itself only where they can't tell.
    pub fn relayed(self, relay: Rc<dyn DirectoryRelay>) -> Self {
        Self {
            relay: Some(relay),
            ..self
        }
    }

    /// The same mirror where a change must be in force within `bound`.
    pub fn bounded(self, bound: Duration) -> Self {
        let only_by_requests = self.items.is_none();
        Self {
            pace: Pace::within(bound),
            freshness: Rc::new(Freshness::new(AgeLimits::within(bound), only_by_requests)),
            ..self
        }
    }

    /// The same mirror where entries are renewed by heartbeats with this pause; without
    /// it, only the bound tells how long an absence of the service must be to count.
    pub fn with_heartbeat(self, heartbeat: Duration) -> Self {
        self.freshness.set_heartbeat(heartbeat);
        self
    }

    /// A mirror that also keeps the items themselves, to hand them on. Its
    /// directory is in use at all times.
    pub fn keeping_items(service: S, interpreter: I) -> Self {
        Self {
            items: Some(RefCell::default()),
            freshness: Rc::new(Freshness::new(AgeLimits::default(), false)),
            ..Self::new(service, interpreter)
        }
    }

    /// Revision and age of the view.
    pub fn freshness(&self) -> &Rc<Freshness> {
        &self.freshness
    }

    /// Rises with every change of the view.
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// All items of meaning, if they are kept.
    pub fn items(&self) -> Vec<Item> {
        let items = self.items.as_ref();
        items.map_or_else(Vec::new, |items| items.borrow().values().cloned().collect())
    }

    /// Seeds the view with a copy of items that another process kept, while
    /// the service has not answered yet. True if anything was taken.
    pub fn seed_items(&self, items: Vec<Item>) -> bool {
        if self.last_contact().is_some() {
            return false;
        }
        let mut changed = Changed::default();
        for item in items {
            self.apply_item(&item.key.clone(), Some(item), 0, &mut changed);
        }
        changed != Changed::default()
    }

    /// The current view.
    pub fn view(&self) -> Rc<View> {
        self.view.borrow().clone()
    }

    /// Waits until the view has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// When the service last answered.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact.get()
    }

    /// Until when entries that the last answer showed to be missing may come back,
    /// since the service was away; `None` where they have ended.
    pub fn entries_back_until(&self) -> Option<Instant> {
        self.back_until.get()
    }

    /// Reads the configuration linearizably, unless a read began after the
    /// call, or so shortly before that the bound on changes is kept.
    pub async fn confirm_routes(&self) -> Result<(), KeyValueError> {
        self.routes_read_within(self.pace.confirmed_for).await?;
        Ok(())
    }

    /// The same for a read that began at most so long before the call; returns
    /// when it began.
    async fn routes_read_within(&self, confirmed_for: Duration) -> Result<Instant, KeyValueError> {
        let asked = Instant::now();
        let mut last_read = self.read_lock.lock().await;
        let recent = |started: &Instant| *started + confirmed_for >= asked;
        if let Some(started) = last_read.filter(recent) {
            return Ok(started);
        }
        if let Some(started) = self.routes_told().await.filter(recent) {
            *last_read = Some(started);
            return Ok(started);
        }
        let started = Instant::now();
        self.read_one(self.interpreter.routes_key()).await?;
        *last_read = Some(started);
        Ok(started)
    }

    /// Reads the store groups linearizably.
    pub async fn confirm_stores(&self) -> Result<(), KeyValueError> {
        self.read_one(self.interpreter.stores_key()).await
    }

    async fn read_one(&self, key: &str) -> Result<(), KeyValueError> {
        let item = self.service.get(key).await?;
        if let Some(item) = item {
            self.apply_item(key, Some(item), 0, &mut Changed::default());
        }
        Ok(())
    }

    /// Seeds the view from a copy kept elsewhere, before the service answers.
    pub fn seed(&self, stores: StoreGroups) {
        let mut changed = Changed::default();
        self.edit(
            |view, changed| view.apply(Update::Stores(stores), 0, changed),
            &mut changed,
        );
    }

    /// Follows the service for ever.
    pub async fn run(&self, mut report: impl FnMut(MirrorEvent)) {
        let mut backoff = FIRST_BACKOFF;
        let mut after = None;
        let mut failures: u32 = 0;
        loop {
            let outcome = self.step(after, failures, &mut report).await;
            match outcome {
                Ok(step) => {
                    self.last_contact.set(Some(Instant::now()));
                    if let Some(revision) = step.revision {
                        self.freshness
                            .confirm(revision, step.last_change, step.as_of);
                    }
                    after = step.revision;
                    backoff = FIRST_BACKOFF;
                    if std::mem::take(&mut failures) > 0 {
                        report(MirrorEvent::Regained);
                    }
                    if step.gather {
                        tokio::time::sleep(self.pause_after_change()).await;
                    }
                }
                Err(error) => {
                    self.freshness.fail(self.asked_at.get());
                    if failures == 0 {
                        report(MirrorEvent::Lost(error));
                    }
                    failures = failures.saturating_add(1);
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::select! {
                        () = tokio::time::sleep(backoff.mul_f64(jitter)) => {}
                        () = self.freshness.peers_back() => {}
                    }
                    backoff = (backoff * 2).min(self.freshness.limits().longest_backoff);
                }
            }
        }
    }

    /// One complete read, one watch, or one try to reach the service again.
    async fn step(
        &self,
        after: Option<u64>,
        failures: u32,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let began = Instant::now();
        match after {
            None => {
                if let Some(step) = self.read_told(report).await {
                    return Ok(step);
                }
                let revision = self.read_all(report).await?;
                Ok(Step {
                    revision: Some(revision),
                    as_of: began,
                    // What was removed before left no item that tells when.
                    last_change: Some(revision),
                    gather: false,
                })
            }
            Some(revision) if failures == 0 => match &self.relay {
                Some(_) => self.follow_told(revision, report).await,
                None => self.follow(revision, report).await,
            },
            Some(revision) => {
                if let Some(step) = self.take_told(revision, report).await {
                    return Ok(step);
                }
                let patience = 1 + (failures % PATIENT_TRY);
                tokio::select! {
                    outcome = self.ask(revision, patience) => {
                        Ok(self.take_own(outcome?, began, report))
                    }
                    () = self.freshness.peers_back() => {
                        let told = self.take_told(revision, report).await;
                        told.ok_or(KeyValueError::NoAnswer)
                    }
                }
            }
        }
    }

    /// Watches; while the watch is pending the service is asked for an answer
    /// whenever the directory gets old. An answer that brings what the watch
    /// did not shows that the watch is dead: it is dropped.
    async fn follow(
        &self,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let prefix = self.interpreter.prefix();
        let mut revision = revision;
        let mut watch = std::pin::pin!(self.service.watch(prefix, revision, WATCH_WAIT));
        loop {
            tokio::select! {
                outcome = &mut watch => return self.take_watched(outcome, report),
                () = self.freshness.overdue() => {}
            }
            let asked_at = Instant::now();
            let outcome = tokio::select! {
                outcome = &mut watch => return self.take_watched(outcome, report),
                outcome = self.ask(revision, 1) => outcome?,
            };
            match &outcome {
                WatchOutcome::Changes {
                    changes,
                    revision: now,
                } if changes.is_empty() => {
                    revision = revision.max(*now);
                    self.last_contact.set(Some(Instant::now()));
                    self.freshness.confirm(revision, None, asked_at);
                }
                _ => return Ok(self.take_own(outcome, asked_at, report)),
            }
        }
    }

    /// Takes the end of a watch that was pending; where it failed, it failed now.
    fn take_watched(
        &self,
        outcome: Result<WatchOutcome, KeyValueError>,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let now = Instant::now();
        self.asked_at.set(now);
        Ok(self.take_own(outcome?, now, report))
    }

    /// Applies an answer of the service itself.
    fn take_own(
        &self,
        outcome: WatchOutcome,
        as_of: Instant,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        let back_until = self.freshness.entries_back_until(as_of);
        self.take(outcome, as_of, back_until, report)
    }

    /// Asks for what has changed since a revision, on another connection than a
    /// pending watch's. Fails once the time for an answer is over.
    async fn ask(&self, revision: u64, patience: u32) -> Result<WatchOutcome, KeyValueError> {
        let prefix = self.interpreter.prefix();
        let within = self.freshness.limits().answer_within * patience;
        self.asked_at.set(Instant::now());
        let asking = self.service.watch(prefix, revision, Duration::ZERO);
        tokio::time::timeout(within, asking)
            .await
            .map_err(|_| KeyValueError::NoAnswer)?
    }

    /// Applies an answer that was the newest state at `as_of`; entries that it shows
    /// to be gone may come back until then.
    fn take(
        &self,
        outcome: WatchOutcome,
        as_of: Instant,
        back_until: Option<Instant>,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        self.back_until.set(back_until);
        match outcome {
            WatchOutcome::HistoryGone => Step {
                revision: None,
                as_of,
                last_change: None,
                gather: false,
            },
            WatchOutcome::Changes { changes, revision } => {
                let last_change = changes.iter().map(Change::revision).max();
                self.apply_changes(changes, report);
                Step {
                    revision: Some(revision),
                    as_of,
                    last_change,
                    gather: last_change.is_some(),
                }
            }
        }
    }

    async fn read_all(&self, report: &mut impl FnMut(MirrorEvent)) -> Result<u64, KeyValueError> {
        let began = Instant::now();
        let mut pages: Vec<RangePage> = Vec::new();
        loop {
            let after = pages
                .last()
                .and_then(|page| page.items.last())
                .map(|item| item.key.clone());
            let prefix = self.interpreter.prefix();
            self.asked_at.set(Instant::now());
            let reading = self.service.range(prefix, after.as_deref());
            let within = self.freshness.limits().answer_within * PATIENT_TRY;
            let page = tokio::time::timeout(within, reading)
                .await
                .map_err(|_| KeyValueError::NoAnswer)??;
            let more = page.more;
            pages.push(page);
            if !more {
                break;
            }
        }
        // The pages form no snapshot: changes since the first are seen again.
        let revision = pages.first().map_or(0, |page| page.revision);
        self.back_until
            .set(self.freshness.entries_back_until(began));
        self.apply_pages(pages, report);
        Ok(revision)
    }
}
