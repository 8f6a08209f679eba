//! A key-value service that holds replicas' entries: it can be away, when entries run
//! out, and it can be out of reach for one follower.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    Change, Item, KeyValueError, KeyValueService, RangePage, Transaction, TransactionOutcome,
    WatchOutcome,
};

const ANSWER: Duration = Duration::from_millis(4);
const POLL: Duration = Duration::from_millis(20);

/// The service.
#[derive(Default)]
pub struct Service {
    away: Cell<bool>,
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, Item>>,
    history: RefCell<Vec<Change>>,
    forgotten: Cell<u64>,
}

impl Service {
    /// Writes an entry, or takes it away.
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

    /// Whether it answers nobody.
    pub fn set_away(&self, away: bool) {
        self.away.set(away);
    }

    fn changes_after(&self, revision: u64) -> Vec<Change> {
        let history = self.history.borrow();
        let newer = history.iter();
        let newer = newer.filter(|change| change.revision() > revision);
        newer.cloned().collect()
    }

    /// Forgets its history.
    pub fn compact(&self) {
        self.forgotten.set(self.revision.get());
        self.history.borrow_mut().clear();
    }
}

/// One follower's way to the service.
#[derive(Clone)]
pub struct Link {
    /// The service.
    pub service: Rc<Service>,
    /// Whether nothing passes; calls that meet it are lost for good.
    pub cut: Rc<Cell<bool>>,
}

impl Link {
    async fn pass(&self) {
        let blocked = || self.cut.get() || self.service.away.get();
        let lost = blocked();
        tokio::time::sleep(ANSWER).await;
        if lost || blocked() {
            std::future::pending::<()>().await;
        }
    }
}

impl KeyValueService for Link {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        self.pass().await;
        Ok(self.service.items.borrow().get(key).cloned())
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<RangePage, KeyValueError> {
        self.pass().await;
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
            self.pass().await;
            if after < self.service.forgotten.get() {
                return Ok(WatchOutcome::HistoryCompacted);
            }
            let changes = self.service.changes_after(after);
            if !changes.is_empty() || tokio::time::Instant::now() >= until {
                let revision = self.service.revision.get();
                return Ok(WatchOutcome::Changes { changes, revision });
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Err(KeyValueError::Refused)
    }
}
