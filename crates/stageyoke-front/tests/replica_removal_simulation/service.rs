//! Fake key-value service that can be unavailable to all clients or unreachable for a
//! single one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    Change, Item, KeyValueError, KeyValueService, RangePage, Transaction, TransactionOutcome,
    WatchOutcome,
};

const RESPONSE_DELAY: Duration = Duration::from_millis(4);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Key-value service with its items and its change history since the last compaction.
#[derive(Default)]
pub struct Service {
    unavailable: Cell<bool>,
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, Item>>,
    history: RefCell<Vec<Change>>,
    compacted_revision: Cell<u64>,
}

impl Service {
    /// Writes an item, or removes it if `value` is `None`.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let revision = self.revision.get() + 1;
        let mut items = self.items.borrow_mut();
        let change = match value {
            Some(value) => {
                let item = Item {
                    key: key.to_owned(),
                    value: Bytes::from(value.to_owned()),
                    revision,
                };
                items.insert(key.to_owned(), item.clone());
                Change::Written(item)
            }
            None if items.remove(key).is_none() => return,
            None => Change::Removed {
                key: key.to_owned(),
                revision,
            },
        };
        self.revision.set(revision);
        self.history.borrow_mut().push(change);
    }

    /// Sets whether the service is unavailable to all clients.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.set(unavailable);
    }

    fn changes_after(&self, revision: u64) -> Vec<Change> {
        let history = self.history.borrow();
        let newer = history.iter();
        let newer = newer.filter(|change| change.revision() > revision);
        newer.cloned().collect()
    }

    /// Drops the change history, so that watches from older revisions fail.
    pub fn compact(&self) {
        self.compacted_revision.set(self.revision.get());
        self.history.borrow_mut().clear();
    }
}

/// One client's connection to the service.
#[derive(Clone)]
pub struct Link {
    /// Service that the connection leads to.
    pub service: Rc<Service>,
    /// Whether the connection is cut; a call made or answered meanwhile never completes.
    pub cut: Rc<Cell<bool>>,
}

impl Link {
    async fn pass_call(&self) {
        let is_blocked = || self.cut.get() || self.service.unavailable.get();
        let was_blocked = is_blocked();
        tokio::time::sleep(RESPONSE_DELAY).await;
        if was_blocked || is_blocked() {
            std::future::pending::<()>().await;
        }
    }
}

impl KeyValueService for Link {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        self.pass_call().await;
        Ok(self.service.items.borrow().get(key).cloned())
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<RangePage, KeyValueError> {
        self.pass_call().await;
        Ok(RangePage {
            items: self.service.items.borrow().values().cloned().collect(),
            more: false,
            revision: self.service.revision.get(),
        })
    }

    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, KeyValueError> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            self.pass_call().await;
            if after < self.service.compacted_revision.get() {
                return Ok(WatchOutcome::HistoryCompacted);
            }
            let changes = self.service.changes_after(after);
            if !changes.is_empty() || tokio::time::Instant::now() >= until {
                let revision = self.service.revision.get();
                return Ok(WatchOutcome::Changes { changes, revision });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Err(KeyValueError::Refused)
    }
}
