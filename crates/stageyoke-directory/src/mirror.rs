//! Follows the key-value service: one complete read, then one long watch, and
//! a complete read again whenever the service has forgotten its history. A
//! pending watch is no proof that nothing has changed: beside it the service is
//! asked for an answer as often as the directory's age limits demand.

mod apply;
mod relayed;

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
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// While the service is unreachable every second try may take so many times as
/// long as the others: a slow service answers these.
const PATIENT_RETRY_FACTOR: u32 = 2;
/// Parts of the bound on changes that gathering and confirmations may take.
const BATCH_DELAY_FRACTION: f64 = 0.3;
const CONFIRMATION_TTL_FRACTION: f64 = 0.25;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

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
pub struct CallIntervals {
    /// After a change the next ones are gathered this long.
    pub batch_delay: Duration,
    /// A linearizable read of the routes confirms them this long.
    pub confirmation_ttl: Duration,
}

impl Default for CallIntervals {
    fn default() -> Self {
        Self {
            batch_delay: Duration::from_millis(400),
            confirmation_ttl: Duration::ZERO,
        }
    }
}

impl CallIntervals {
    /// The pace where a change must be in force within `bound`.
    pub fn for_change_bound(bound: Duration) -> Self {
        Self {
            batch_delay: bound.mul_f64(BATCH_DELAY_FRACTION),
            confirmation_ttl: bound.mul_f64(CONFIRMATION_TTL_FRACTION),
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
    may_batch: bool,
}

/// The view and the means to follow it; shared by the tasks of a process.
pub struct Mirror<S, I> {
    /// The key-value service.
    pub service: S,
    /// Reads its items.
    pub interpreter: I,
    view: RefCell<Rc<View>>,
    items: Option<RefCell<BTreeMap<String, Item>>>,
    change_count: Cell<u64>,
    last_contact: Cell<Option<Instant>>,
    last_request_at: Cell<Instant>,
    lapsed_entry_deadline: Cell<Option<Instant>>,
    last_routes_read: tokio::sync::Mutex<Option<Instant>>,
    view_changed: Notify,
    intervals: CallIntervals,
    freshness: Rc<Freshness>,
    relay: Option<Rc<dyn DirectoryRelay>>,
    recent_changes: RefCell<RecentChanges>,
}

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    /// A mirror that knows nothing yet.
    pub fn new(service: S, interpreter: I) -> Self {
        Self {
            service,
            interpreter,
            view: RefCell::new(Rc::new(View::default())),
            items: None,
            change_count: Cell::new(0),
            last_contact: Cell::new(None),
            last_request_at: Cell::new(Instant::now()),
            lapsed_entry_deadline: Cell::new(None),
            last_routes_read: tokio::sync::Mutex::new(None),
            view_changed: Notify::new(),
            intervals: CallIntervals::default(),
            freshness: Rc::new(Freshness::new(AgeLimits::default(), true)),
            relay: None,
            recent_changes: RefCell::default(),
        }
    }

    /// The same mirror, which asks other processes that follow the service, and
    /// the service itself only where they can't tell.
    pub fn with_relay(self, relay: Rc<dyn DirectoryRelay>) -> Self {
        Self {
            relay: Some(relay),
            ..self
        }
    }

    /// The same mirror where a change must be in force within `bound`.
    pub fn with_change_bound(self, bound: Duration) -> Self {
        let only_by_requests = self.items.is_none();
        Self {
            intervals: CallIntervals::for_change_bound(bound),
            freshness: Rc::new(Freshness::new(
                AgeLimits::for_change_bound(bound),
                only_by_requests,
            )),
            ..self
        }
    }

    /// The same mirror where entries are renewed by heartbeats with this pause; without
    /// it, only the bound tells how long an absence of the service must be to count.
    pub fn with_heartbeat_interval(self, heartbeat: Duration) -> Self {
        self.freshness.set_heartbeat_interval(heartbeat);
        self
    }

    /// A mirror that also keeps the items themselves, to hand them on. Its
    /// directory is in use at all times.
    pub fn with_item_cache(service: S, interpreter: I) -> Self {
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
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
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
    pub async fn wait_for_change(&self) {
        self.view_changed.notified().await;
    }

    /// When the service last answered.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact.get()
    }

    /// Until when entries that the last answer showed to be missing may come back,
    /// since the service was away; `None` where they have ended.
    pub fn lapsed_entry_deadline(&self) -> Option<Instant> {
        self.lapsed_entry_deadline.get()
    }

    /// Reads the configuration linearizably, unless a read began after the
    /// call, or so shortly before that the bound on changes is kept.
    pub async fn confirm_routes(&self) -> Result<(), KeyValueError> {
        self.ensure_routes_read(self.intervals.confirmation_ttl)
            .await?;
        Ok(())
    }

    /// The same for a read that began at most so long before the call; returns
    /// when it began.
    async fn ensure_routes_read(&self, confirmed_for: Duration) -> Result<Instant, KeyValueError> {
        let asked = Instant::now();
        let mut last_read = self.last_routes_read.lock().await;
        let recent = |started: &Instant| *started + confirmed_for >= asked;
        if let Some(started) = last_read.filter(recent) {
            return Ok(started);
        }
        if let Some(started) = self.apply_relayed_routes().await.filter(recent) {
            *last_read = Some(started);
            return Ok(started);
        }
        let started = Instant::now();
        self.read_item(self.interpreter.routes_key()).await?;
        *last_read = Some(started);
        Ok(started)
    }

    /// Reads the store groups linearizably.
    pub async fn confirm_stores(&self) -> Result<(), KeyValueError> {
        self.read_item(self.interpreter.stores_key()).await
    }

    async fn read_item(&self, key: &str) -> Result<(), KeyValueError> {
        let item = self.service.get(key).await?;
        if let Some(item) = item {
            self.apply_item(key, Some(item), 0, &mut Changed::default());
        }
        Ok(())
    }

    /// Seeds the view from a copy kept elsewhere, before the service answers.
    pub fn seed_stores(&self, stores: StoreGroups) {
        let mut changed = Changed::default();
        self.edit_view(
            |view, changed| view.apply(Update::Stores(stores), 0, changed),
            &mut changed,
        );
    }

    /// Follows the service for ever.
    pub async fn run(&self, mut report: impl FnMut(MirrorEvent)) {
        let mut backoff = INITIAL_BACKOFF;
        let mut after = None;
        let mut failures: u32 = 0;
        loop {
            let outcome = self.follow_once(after, failures, &mut report).await;
            match outcome {
                Ok(step) => {
                    self.last_contact.set(Some(Instant::now()));
                    if let Some(revision) = step.revision {
                        self.freshness
                            .confirm(revision, step.last_change, step.as_of);
                    }
                    after = step.revision;
                    backoff = INITIAL_BACKOFF;
                    if std::mem::take(&mut failures) > 0 {
                        report(MirrorEvent::Regained);
                    }
                    if step.may_batch {
                        tokio::time::sleep(self.pause_after_change()).await;
                    }
                }
                Err(error) => {
                    self.freshness.record_failure(self.last_request_at.get());
                    if failures == 0 {
                        report(MirrorEvent::Lost(error));
                    }
                    failures = failures.saturating_add(1);
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::select! {
                        () = tokio::time::sleep(backoff.mul_f64(jitter)) => {}
                        () = self.freshness.wait_for_peers() => {}
                    }
                    backoff = (backoff * 2).min(self.freshness.limits().max_backoff);
                }
            }
        }
    }

    /// One complete read, one watch, or one try to reach the service again.
    async fn follow_once(
        &self,
        after: Option<u64>,
        failures: u32,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let began = Instant::now();
        match after {
            None => {
                if let Some(step) = self.read_all_relayed(report).await {
                    return Ok(step);
                }
                let revision = self.read_all(report).await?;
                Ok(Step {
                    revision: Some(revision),
                    as_of: began,
                    // What was removed before left no item that tells when.
                    last_change: Some(revision),
                    may_batch: false,
                })
            }
            Some(revision) if failures == 0 => match &self.relay {
                Some(_) => self.follow_relay(revision, report).await,
                None => self.follow(revision, report).await,
            },
            Some(revision) => {
                if let Some(step) = self.apply_relayed_changes(revision, report).await {
                    return Ok(step);
                }
                let patience = 1 + (failures % PATIENT_RETRY_FACTOR);
                tokio::select! {
                    outcome = self.poll_service(revision, patience) => {
                        Ok(self.apply_service_answer(outcome?, began, report))
                    }
                    () = self.freshness.wait_for_peers() => {
                        let told = self.apply_relayed_changes(revision, report).await;
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
        let mut watch = std::pin::pin!(self.service.watch(prefix, revision, WATCH_TIMEOUT));
        loop {
            tokio::select! {
                outcome = &mut watch => return self.apply_watch_outcome(outcome, report),
                () = self.freshness.wait_until_overdue() => {}
            }
            let asked_at = Instant::now();
            let outcome = tokio::select! {
                outcome = &mut watch => return self.apply_watch_outcome(outcome, report),
                outcome = self.poll_service(revision, 1) => outcome?,
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
                _ => return Ok(self.apply_service_answer(outcome, asked_at, report)),
            }
        }
    }

    /// Takes the end of a watch that was pending; where it failed, it failed now.
    fn apply_watch_outcome(
        &self,
        outcome: Result<WatchOutcome, KeyValueError>,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let now = Instant::now();
        self.last_request_at.set(now);
        Ok(self.apply_service_answer(outcome?, now, report))
    }

    /// Applies an answer of the service itself.
    fn apply_service_answer(
        &self,
        outcome: WatchOutcome,
        as_of: Instant,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        let back_until = self.freshness.lapsed_entry_deadline(as_of);
        self.apply_outcome(outcome, as_of, back_until, report)
    }

    /// Asks for what has changed since a revision, on another connection than a
    /// pending watch's. Fails once the time for an answer is over.
    async fn poll_service(
        &self,
        revision: u64,
        patience: u32,
    ) -> Result<WatchOutcome, KeyValueError> {
        let prefix = self.interpreter.prefix();
        let within = self.freshness.limits().answer_timeout * patience;
        self.last_request_at.set(Instant::now());
        let asking = self.service.watch(prefix, revision, Duration::ZERO);
        tokio::time::timeout(within, asking)
            .await
            .map_err(|_| KeyValueError::NoAnswer)?
    }

    /// Applies an answer that was the newest state at `as_of`; entries that it shows
    /// to be gone may come back until then.
    fn apply_outcome(
        &self,
        outcome: WatchOutcome,
        as_of: Instant,
        back_until: Option<Instant>,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        self.lapsed_entry_deadline.set(back_until);
        match outcome {
            WatchOutcome::HistoryCompacted => Step {
                revision: None,
                as_of,
                last_change: None,
                may_batch: false,
            },
            WatchOutcome::Changes { changes, revision } => {
                let last_change = changes.iter().map(Change::revision).max();
                self.apply_changes(changes, report);
                Step {
                    revision: Some(revision),
                    as_of,
                    last_change,
                    may_batch: last_change.is_some(),
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
            self.last_request_at.set(Instant::now());
            let reading = self.service.range(prefix, after.as_deref());
            let within = self.freshness.limits().answer_timeout * PATIENT_RETRY_FACTOR;
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
        self.lapsed_entry_deadline
            .set(self.freshness.lapsed_entry_deadline(began));
        self.apply_pages(pages, report);
        Ok(revision)
    }
}
