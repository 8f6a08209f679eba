//! Follows the key-value service: one complete read, then one long watch, and a
//! complete read again if the service no longer has the history. Because a pending
//! watch does not prove that nothing has changed, the service is also polled as often
//! as the directory's age limits require.

mod apply;
mod catch_up;
mod relayed;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use stageyoke_types::Text;
use tokio::sync::Notify;
use tokio::time::Instant;

use self::catch_up::CompleteReadCost;
use crate::freshness::{AgeLimits, Freshness};
use crate::groups::StoreGroups;
use crate::key_value::{
    Change, Item, KeyValueError, KeyValueService, WatchOutcome, discard_if_too_large,
};
use crate::relay::{DirectoryRelay, RecentChanges};
use crate::transfer::{TransferTimeouts, wait_for_transfer};
use crate::view::{Changed, Interpreter, Update, View};

/// How long a watch waits at the service. It limits the number of calls; correctness
/// does not depend on it.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Factor by which every second attempt waits longer while the service is unreachable,
/// so that a slow service still succeeds.
const PATIENT_RETRY_FACTOR: u32 = 2;
/// Fractions of the change bound that batching and confirmations may take.
const BATCH_DELAY_FRACTION: f64 = 0.3;
const CONFIRMATION_TTL_FRACTION: f64 = 0.25;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Number and size of the changes in one answer of the service from which further changes may
/// have been left out. Far below the limits of the service, which it may lower; reading on
/// after a complete answer costs one call.
const MAX_COMPLETE_CHANGES: usize = 32;
const MAX_COMPLETE_BYTES: usize = 64 * 1024;

/// Events reported by `Mirror::run`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorEvent {
    /// The view changed.
    Changed(Changed),
    /// The service stopped answering.
    Lost(FailedRequest),
    /// The service answers again.
    Regained,
    /// An item could not be parsed.
    Unreadable(String),
    /// The service no longer has the changes after the revision of the view.
    HistoryDiscarded {
        /// Revision of the view.
        revision: u64,
    },
    /// A complete read of the directory ended.
    CompleteRead(CompleteRead),
}

/// Source of a complete read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSource {
    /// The key-value service.
    Service,
    /// A peer that follows the service.
    Peer,
}

/// Outcome and cost of a complete read of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompleteRead {
    /// Where the directory was read from.
    pub source: ReadSource,
    /// Number of items that were read.
    pub items: usize,
    /// Time that the read took.
    pub elapsed: Duration,
    /// Reason of the failure; `None` if the read succeeded.
    pub error: Option<KeyValueError>,
}

/// Failed request to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedRequest {
    /// Reason of the failure.
    pub error: KeyValueError,
    /// Time since the request was sent, or since a pending watch failed.
    pub elapsed: Duration,
    /// Bytes received from the service in that time, including those of concurrent calls.
    pub received_bytes: u64,
}

/// Intervals that reduce the number of calls to the service, which charges for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallIntervals {
    /// Delay after a change, in which further changes are batched.
    pub batch_delay: Duration,
    /// Time for which a linearizable read confirms the routes.
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
    /// Returns the intervals for changes that must be in force within `bound`.
    pub fn for_change_bound(bound: Duration) -> Self {
        Self {
            batch_delay: bound.mul_f64(BATCH_DELAY_FRACTION),
            confirmation_ttl: bound.mul_f64(CONFIRMATION_TTL_FRACTION),
        }
    }
}

/// Result of one exchange with the service or a peer.
struct Step {
    /// Revision to continue from; `None` if the history is gone and a complete read
    /// follows.
    revision: Option<u64>,
    /// Moment at which the view held every change up to `revision`.
    as_of: Instant,
    /// Revision of the newest change received, if any.
    last_change: Option<u64>,
    /// Whether more changes may follow soon, so that it pays to batch them.
    may_batch: bool,
    /// Whether changes may have been left out; if so, nothing is known to be current.
    is_truncated: bool,
}

impl Step {
    /// Result of a read of the complete directory, which was current at `as_of`.
    fn after_complete_read(revision: u64, as_of: Instant) -> Self {
        Self {
            revision: Some(revision),
            as_of,
            // Removals left no item, so the newest change is unknown.
            last_change: Some(revision),
            may_batch: false,
            is_truncated: false,
        }
    }
}

/// Returns whether an answer of the service with these changes may lack further ones.
fn may_be_truncated(changes: &[Change]) -> bool {
    let bytes: usize = changes.iter().map(Change::size).sum();
    changes.len() >= MAX_COMPLETE_CHANGES || bytes >= MAX_COMPLETE_BYTES
}

/// Local copy of the directory, kept up to date by `run`; shared by the tasks of a
/// process.
pub struct Mirror<S, I> {
    /// The key-value service.
    pub service: S,
    /// Parser of the service's items.
    pub interpreter: I,
    view: RefCell<Rc<View>>,
    items: Option<RefCell<BTreeMap<String, Item>>>,
    change_count: Cell<u64>,
    last_contact: Cell<Option<Instant>>,
    last_request_at: Cell<Instant>,
    received_bytes_before_request: Cell<u64>,
    lapsed_entry_deadline: Cell<Option<Instant>>,
    last_routes_read: tokio::sync::Mutex<Option<Instant>>,
    /// Revision of the configuration in the view.
    routes_revision: Cell<u64>,
    /// Serializes exchanges with peers, so that concurrent ones do not transfer the same
    /// configuration.
    relay_exchange_lock: tokio::sync::Mutex<()>,
    view_changed: Notify,
    intervals: CallIntervals,
    freshness: Rc<Freshness>,
    relay: Option<Rc<dyn DirectoryRelay>>,
    /// Other processes that follow the service; asked for changes that it has discarded.
    peers: RefCell<Option<Rc<dyn DirectoryRelay>>>,
    complete_read_cost: CompleteReadCost,
    recent_changes: RefCell<RecentChanges>,
    /// Whether the items may hold changes that are newer than the view's revision and missing
    /// in `recent_changes`, as those of a peer's copy do.
    items_may_be_newer: Cell<bool>,
    /// Replicas whose entries have changed since `take_changed_replicas`; collected by mirrors
    /// without an item cache.
    changed_replicas: RefCell<BTreeSet<Text>>,
}

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    /// Creates a mirror with an empty view.
    pub fn new(service: S, interpreter: I) -> Self {
        Self {
            service,
            interpreter,
            view: RefCell::new(Rc::new(View::default())),
            items: None,
            change_count: Cell::new(0),
            last_contact: Cell::new(None),
            last_request_at: Cell::new(Instant::now()),
            received_bytes_before_request: Cell::new(0),
            lapsed_entry_deadline: Cell::new(None),
            last_routes_read: tokio::sync::Mutex::new(None),
            routes_revision: Cell::new(0),
            relay_exchange_lock: tokio::sync::Mutex::new(()),
            view_changed: Notify::new(),
            intervals: CallIntervals::default(),
            freshness: Rc::new(Freshness::new(AgeLimits::default(), true)),
            relay: None,
            peers: RefCell::default(),
            complete_read_cost: CompleteReadCost::default(),
            recent_changes: RefCell::default(),
            items_may_be_newer: Cell::new(false),
            changed_replicas: RefCell::default(),
        }
    }

    /// Makes the mirror fetch changes from peers that follow the service, and from the
    /// service itself only if none can supply them.
    pub fn with_relay(self, relay: Rc<dyn DirectoryRelay>) -> Self {
        Self {
            relay: Some(relay),
            ..self
        }
    }

    /// Sets the other processes that follow the service, from which this one fetches the
    /// changes that the service has discarded.
    pub fn set_peers(&self, peers: Rc<dyn DirectoryRelay>) {
        self.peers.replace(Some(peers));
    }

    /// Sets the time within which a change must be in force.
    pub fn with_change_bound(self, bound: Duration) -> Self {
        let used_only_by_requests = self.items.is_none();
        Self {
            intervals: CallIntervals::for_change_bound(bound),
            freshness: Rc::new(Freshness::new(
                AgeLimits::for_change_bound(bound),
                used_only_by_requests,
            )),
            ..self
        }
    }

    /// Sets the interval of the heartbeats that renew entries. Without it, only the
    /// change bound determines which outages are long enough to count.
    pub fn with_heartbeat_interval(self, heartbeat_interval: Duration) -> Self {
        self.freshness.set_heartbeat_interval(heartbeat_interval);
        self
    }

    /// Creates a mirror that also caches the items, to relay them. Its directory counts
    /// as in use at all times.
    pub fn with_item_cache(service: S, interpreter: I) -> Self {
        Self {
            items: Some(RefCell::default()),
            freshness: Rc::new(Freshness::new(AgeLimits::default(), false)),
            ..Self::new(service, interpreter)
        }
    }

    /// Returns the revision and age of the view.
    pub fn freshness(&self) -> &Rc<Freshness> {
        &self.freshness
    }

    /// Returns a counter that rises with every change of the view.
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Returns all relevant items, if the mirror caches them.
    pub fn items(&self) -> Vec<Item> {
        let items = self.items.as_ref();
        items.map_or_else(Vec::new, |items| items.borrow().values().cloned().collect())
    }

    /// Seeds the view with items that another process stored, if the service has not
    /// answered yet. Returns whether the view changed.
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

    /// Returns the current view.
    pub fn view(&self) -> Rc<View> {
        self.view.borrow().clone()
    }

    /// Returns the identifiers of all replicas whose entries have changed since the last call,
    /// possibly with some that have not.
    pub fn take_changed_replicas(&self) -> BTreeSet<Text> {
        self.changed_replicas.take()
    }

    /// Waits until the view changes.
    pub async fn wait_for_change(&self) {
        self.view_changed.notified().await;
    }

    /// Returns when the service or a peer last answered.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact.get()
    }

    /// Returns the deadline by which entries that were missing in the last answer may
    /// be back after an outage; `None` if they have ended.
    pub fn lapsed_entry_deadline(&self) -> Option<Instant> {
        self.lapsed_entry_deadline.get()
    }

    /// Reads the configuration linearizably, unless a read started after the call or
    /// within `confirmation_ttl` before it.
    pub async fn confirm_routes(&self) -> Result<(), KeyValueError> {
        self.ensure_routes_read(self.intervals.confirmation_ttl)
            .await?;
        Ok(())
    }

    /// Reads the configuration unless a read started within `max_age` before the
    /// call; returns the start of that read.
    async fn ensure_routes_read(&self, max_age: Duration) -> Result<Instant, KeyValueError> {
        let called_at = Instant::now();
        let mut last_read = self.last_routes_read.lock().await;
        let is_recent = |started_at: &Instant| *started_at + max_age >= called_at;
        if let Some(started_at) = last_read.filter(is_recent) {
            return Ok(started_at);
        }
        if let Some(started_at) = self.apply_relayed_routes().await.filter(is_recent) {
            *last_read = Some(started_at);
            return Ok(started_at);
        }
        let started_at = Instant::now();
        self.read_routes().await?;
        *last_read = Some(started_at);
        Ok(started_at)
    }

    /// Reads the store groups linearizably.
    pub async fn confirm_stores(&self) -> Result<(), KeyValueError> {
        self.read_item(self.interpreter.stores_key()).await
    }

    /// Reads the configuration from the service if it has changed since the last answer.
    async fn read_routes(&self) -> Result<(), KeyValueError> {
        let key = self.interpreter.routes_key();
        if self.view().routes.is_none() {
            return self.read_item(key).await;
        }
        let revision = self.freshness.revision();
        let item = self.service.get_if_changed(key, revision).await?;
        if let Some(item) = item {
            self.apply_item(key, Some(item), 0, &mut Changed::default());
        }
        Ok(())
    }

    async fn read_item(&self, key: &str) -> Result<(), KeyValueError> {
        let item = self.service.get(key).await?;
        if let Some(item) = item {
            self.apply_item(key, Some(item), 0, &mut Changed::default());
        }
        Ok(())
    }

    /// Seeds the view with store groups from another source, before the service
    /// answers.
    pub fn seed_stores(&self, stores: StoreGroups) {
        let mut changed = Changed::default();
        self.edit_view(
            |view, changed| view.apply(Update::Stores(stores), 0, changed),
            &mut changed,
        );
    }

    /// Follows the service indefinitely.
    pub async fn run(&self, mut report: impl FnMut(MirrorEvent)) {
        let mut backoff = INITIAL_BACKOFF;
        let mut after = None;
        let mut failures: u32 = 0;
        let mut is_truncated = false;
        loop {
            let outcome = match (after, is_truncated) {
                (Some(revision), true) => self.read_more(revision, &mut report).await,
                _ => self.follow_once(after, failures, &mut report).await,
            };
            match outcome {
                Ok(step) => {
                    self.last_contact.set(Some(Instant::now()));
                    is_truncated = step.is_truncated;
                    match step.revision {
                        Some(revision) if is_truncated => {
                            self.freshness.advance_revision(revision, step.last_change);
                        }
                        Some(revision) => {
                            self.freshness
                                .confirm(revision, step.last_change, step.as_of);
                        }
                        None => {}
                    }
                    after = step.revision;
                    backoff = INITIAL_BACKOFF;
                    if std::mem::take(&mut failures) > 0 {
                        report(MirrorEvent::Regained);
                    }
                    if step.may_batch && !is_truncated {
                        tokio::time::sleep(self.pause_after_change()).await;
                    }
                }
                Err(error) => {
                    is_truncated = false;
                    self.freshness.record_failure(self.last_request_at.get());
                    if failures == 0 {
                        report(MirrorEvent::Lost(self.failed_request(error)));
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

    fn failed_request(&self, error: KeyValueError) -> FailedRequest {
        let received_bytes = self.service.received_bytes();
        FailedRequest {
            error,
            elapsed: self.last_request_at.get().elapsed(),
            received_bytes: received_bytes - self.received_bytes_before_request.get(),
        }
    }

    fn record_request_start(&self) {
        self.last_request_at.set(Instant::now());
        self.received_bytes_before_request
            .set(self.service.received_bytes());
    }

    /// Does one complete read, one watch, or one attempt to reach the service again.
    async fn follow_once(
        &self,
        after: Option<u64>,
        failures: u32,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let started_at = Instant::now();
        match after {
            None => self.catch_up(report).await,
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
                        Ok(self.apply_service_answer(outcome?, started_at, report))
                    }
                    () = self.freshness.wait_for_peers() => {
                        let relayed = self.apply_relayed_changes(revision, report).await;
                        relayed.ok_or(KeyValueError::NoAnswer)
                    }
                }
            }
        }
    }

    /// Reads the changes that an answer of the service left out.
    async fn read_more(
        &self,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let sent_at = Instant::now();
        let outcome = self.poll_service(revision, 1).await?;
        Ok(self.apply_service_answer(outcome, sent_at, report))
    }

    /// Watches for changes, and polls the service whenever a refresh is due. If a poll
    /// returns changes that the watch did not, the watch is dead and is dropped.
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
            let sent_at = Instant::now();
            let outcome = tokio::select! {
                outcome = &mut watch => return self.apply_watch_outcome(outcome, report),
                outcome = self.poll_service(revision, 1) => outcome?,
            };
            match &outcome {
                WatchOutcome::Changes {
                    changes,
                    revision: answered_revision,
                } if changes.is_empty() => {
                    self.complete_read_cost.record_followed();
                    revision = revision.max(*answered_revision);
                    self.last_contact.set(Some(Instant::now()));
                    self.freshness.confirm(revision, None, sent_at);
                }
                _ => return Ok(self.apply_service_answer(outcome, sent_at, report)),
            }
        }
    }

    /// Applies the result of a watch. A failed watch counts as failed now, not at its
    /// start.
    fn apply_watch_outcome(
        &self,
        outcome: Result<WatchOutcome, KeyValueError>,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Step, KeyValueError> {
        let now = Instant::now();
        self.record_request_start();
        let outcome = discard_if_too_large(outcome)?;
        Ok(self.apply_service_answer(outcome, now, report))
    }

    /// Applies an answer from the service itself.
    fn apply_service_answer(
        &self,
        outcome: WatchOutcome,
        as_of: Instant,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        if let WatchOutcome::Changes { changes, .. } = &outcome {
            self.complete_read_cost.record_followed();
            if !may_be_truncated(changes) {
                self.items_may_be_newer.set(false);
            }
        }
        let lapsed_entry_deadline = self.freshness.lapsed_entry_deadline(as_of);
        self.apply_outcome(outcome, as_of, lapsed_entry_deadline, report)
    }

    /// Requests the changes since a revision, on a connection separate from the pending
    /// watch's.
    async fn poll_service(
        &self,
        revision: u64,
        patience: u32,
    ) -> Result<WatchOutcome, KeyValueError> {
        let prefix = self.interpreter.prefix();
        self.record_request_start();
        let answer = self.service.watch(prefix, revision, Duration::ZERO);
        discard_if_too_large(self.receive_answer(answer, patience).await)
    }

    /// Waits for an answer of the service. Fails if no data arrives for the answer timeout
    /// times `patience`, or after the transfer timeout times `patience`.
    async fn receive_answer<T>(
        &self,
        answer: impl Future<Output = Result<T, KeyValueError>>,
        patience: u32,
    ) -> Result<T, KeyValueError> {
        let limits = self.freshness.limits();
        let timeouts = TransferTimeouts {
            idle: limits.answer_timeout * patience,
            total: limits.transfer_timeout * patience,
        };
        let received_bytes = || self.service.received_bytes();
        let answer = wait_for_transfer(answer, timeouts, received_bytes).await;
        answer.ok_or(KeyValueError::NoAnswer)?
    }

    /// Applies an answer that was current at `as_of`. Entries that are missing in it
    /// may be back until `lapsed_entry_deadline`.
    fn apply_outcome(
        &self,
        outcome: WatchOutcome,
        as_of: Instant,
        lapsed_entry_deadline: Option<Instant>,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Step {
        self.lapsed_entry_deadline.set(lapsed_entry_deadline);
        match outcome {
            WatchOutcome::HistoryCompacted => {
                let revision = self.freshness.revision();
                report(MirrorEvent::HistoryDiscarded { revision });
                Step {
                    revision: None,
                    as_of,
                    last_change: None,
                    may_batch: false,
                    is_truncated: false,
                }
            }
            WatchOutcome::Changes { changes, revision } => {
                let last_change = changes.iter().map(Change::revision).max();
                let is_truncated = may_be_truncated(&changes);
                self.apply_changes(changes, report);
                Step {
                    revision: Some(revision),
                    as_of,
                    last_change,
                    may_batch: last_change.is_some(),
                    is_truncated,
                }
            }
        }
    }
}
