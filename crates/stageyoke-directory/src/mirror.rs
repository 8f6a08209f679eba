//! Follows the key-value service: one complete read, then one long watch, and
//! a complete read again whenever the service has forgotten its history.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::key_value::{Change, KeyValueError, KeyValueService, RangePage, WatchOutcome};
use crate::view::{Changed, Interpreter, Update, View};

/// How long one watch waits at the service.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const LAST_BACKOFF: Duration = Duration::from_millis(800);

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

/// The view and the means to follow it; shared by the tasks of a process.
pub struct Mirror<S, I> {
    /// The key-value service.
    pub service: S,
    /// Reads its items.
    pub interpreter: I,
    view: RefCell<Rc<View>>,
    last_contact: Cell<Option<Instant>>,
    read_lock: tokio::sync::Mutex<Option<Instant>>,
    changed: Notify,
    refresh: Notify,
}

impl<S: KeyValueService, I: Interpreter> Mirror<S, I> {
    /// A mirror that knows nothing yet.
    pub fn new(service: S, interpreter: I) -> Self {
        Self {
            service,
            interpreter,
            view: RefCell::new(Rc::new(View::default())),
            last_contact: Cell::new(None),
            read_lock: tokio::sync::Mutex::new(None),
            changed: Notify::new(),
            refresh: Notify::new(),
        }
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

    /// Asks for a complete read instead of waiting for the watch.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Reads the configuration linearizably, after the moment of the call.
    /// Concurrent callers share one read.
    pub async fn confirm_routes(&self) -> Result<(), KeyValueError> {
        let asked = Instant::now();
        let mut last_read = self.read_lock.lock().await;
        if last_read.is_some_and(|started| started >= asked) {
            return Ok(());
        }
        let started = Instant::now();
        let item = self.service.get(self.interpreter.routes_key()).await?;
        let mut changed = Changed::default();
        if let Some(item) = item {
            let update = self.interpreter.interpret(&item.key, Some(&item.value));
            self.edit(
                |view, changed| view.apply(update, item.revision, changed),
                &mut changed,
            );
        }
        *last_read = Some(started);
        Ok(())
    }

    /// Reads the member list linearizably.
    pub async fn confirm_members(&self) -> Result<(), KeyValueError> {
        let item = self.service.get(self.interpreter.members_key()).await?;
        let mut changed = Changed::default();
        if let Some(item) = item {
            let update = self.interpreter.interpret(&item.key, Some(&item.value));
            self.edit(
                |view, changed| view.apply(update, item.revision, changed),
                &mut changed,
            );
        }
        Ok(())
    }

    /// Seeds the view from a copy kept elsewhere, before the service answers.
    pub fn seed(&self, members: crate::members::Members) {
        let mut changed = Changed::default();
        self.edit(
            |view, changed| view.apply(Update::Members(members), 0, changed),
            &mut changed,
        );
    }

    /// Follows the service for ever.
    pub async fn run(&self, mut report: impl FnMut(MirrorEvent)) {
        let mut backoff = FIRST_BACKOFF;
        let mut after = None;
        let mut lost = false;
        loop {
            let outcome = match after {
                None => self.read_all(&mut report).await.map(Some),
                Some(revision) => tokio::select! {
                    outcome = self.watch_once(revision, &mut report) => outcome,
                    () = self.refresh.notified() => Ok(None),
                },
            };
            match outcome {
                Ok(next) => {
                    self.last_contact.set(Some(Instant::now()));
                    after = next;
                    backoff = FIRST_BACKOFF;
                    if std::mem::take(&mut lost) {
                        report(MirrorEvent::Regained);
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut lost, true) {
                        report(MirrorEvent::Lost(error));
                    }
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(backoff.mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(LAST_BACKOFF);
                }
            }
        }
    }

    async fn watch_once(
        &self,
        revision: u64,
        report: &mut impl FnMut(MirrorEvent),
    ) -> Result<Option<u64>, KeyValueError> {
        let prefix = self.interpreter.prefix();
        match self.service.watch(prefix, revision, WATCH_WAIT).await? {
            WatchOutcome::HistoryGone => Ok(None),
            WatchOutcome::Changes { changes, revision } => {
                self.apply_changes(changes, report);
                Ok(Some(revision))
            }
        }
    }

    fn apply_changes(&self, changes: Vec<Change>, report: &mut impl FnMut(MirrorEvent)) {
        let mut changed = Changed::default();
        for change in changes {
            let (key, value, revision) = match change {
                Change::Written(item) => (item.key, Some(item.value), item.revision),
                Change::Removed { key, revision } => (key, None, revision),
            };
            let update = self.interpreter.interpret(&key, value.as_ref());
            if let Update::Unreadable(reason) = &update {
                report(MirrorEvent::Unreadable(reason.clone()));
            }
            self.edit(
                |view, changed| view.apply(update, revision, changed),
                &mut changed,
            );
        }
        if changed != Changed::default() {
            report(MirrorEvent::Changed(changed));
        }
    }

    async fn read_all(&self, report: &mut impl FnMut(MirrorEvent)) -> Result<u64, KeyValueError> {
        let mut pages: Vec<RangePage> = Vec::new();
        loop {
            let after = pages
                .last()
                .and_then(|page| page.items.last())
                .map(|item| item.key.clone());
            let prefix = self.interpreter.prefix();
            let page = self.service.range(prefix, after.as_deref()).await?;
            let more = page.more;
            pages.push(page);
            if !more {
                break;
            }
        }
        // The pages form no snapshot: changes since the first are seen again.
        let revision = pages.first().map_or(0, |page| page.revision);
        self.apply_pages(pages, report);
        Ok(revision)
    }

    fn apply_pages(&self, pages: Vec<RangePage>, report: &mut impl FnMut(MirrorEvent)) {
        let mut changed = Changed::default();
        let mut replicas = BTreeSet::new();
        let mut retirements = BTreeSet::new();
        for item in pages.into_iter().flat_map(|page| page.items) {
            let update = self.interpreter.interpret(&item.key, Some(&item.value));
            match &update {
                Update::Replica { id, .. } => drop(replicas.insert(id.clone())),
                Update::Retire { node, .. } => drop(retirements.insert(node.clone())),
                Update::Unreadable(reason) => report(MirrorEvent::Unreadable(reason.clone())),
                _ => {}
            }
            self.edit(
                |view, changed| view.apply(update, item.revision, changed),
                &mut changed,
            );
        }
        self.edit(
            |view, changed| view.retain_seen(&replicas, &retirements, changed),
            &mut changed,
        );
        if changed != Changed::default() {
            report(MirrorEvent::Changed(changed));
        }
    }

    fn edit(&self, change: impl FnOnce(&mut View, &mut Changed), changed: &mut Changed) {
        let mut slot = self.view.borrow_mut();
        change(Rc::make_mut(&mut slot), changed);
        drop(slot);
        if *changed != Changed::default() {
            self.changed.notify_waiters();
        }
    }
}
