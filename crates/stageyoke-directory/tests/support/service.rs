//! Key-value service with dead watches: they neither answer nor end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    Change, Item, KeyValueError, KeyValueService, RangePage, Transaction, TransactionOutcome,
    WatchOutcome,
};

const ANSWER_DELAY: Duration = Duration::from_millis(4);
const ROUTES_KEY: &str = "routes/all";

/// A service with one item, whose value is its version.
#[derive(Default)]
pub struct Service {
    /// Version and revision of the item.
    pub version: Cell<u64>,
    /// Makes every call hang.
    pub silent: Cell<bool>,
    /// Number of calls, without watches that wait.
    pub call_count: Cell<u32>,
    /// Wait times of all watches.
    pub watch_waits: RefCell<Vec<Duration>>,
}

impl Service {
    async fn answer(&self) {
        self.call_count.set(self.call_count.get() + 1);
        let silent = self.silent.get();
        tokio::time::sleep(ANSWER_DELAY).await;
        if silent || self.silent.get() {
            std::future::pending::<()>().await;
        }
    }

    fn item(&self) -> Item {
        Item {
            key: ROUTES_KEY.to_owned(),
            value: Bytes::from(self.version.get().to_string()),
            revision: self.version.get(),
        }
    }
}

/// Connection of a mirror to the service.
pub struct ServiceClient(pub Rc<Service>);

impl KeyValueService for ServiceClient {
    async fn get(&self, _: &str) -> Result<Option<Item>, KeyValueError> {
        self.0.answer().await;
        Ok(Some(self.0.item()))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<RangePage, KeyValueError> {
        self.0.answer().await;
        Ok(RangePage {
            items: vec![self.0.item()],
            more: false,
            revision: self.0.version.get(),
        })
    }

    async fn watch(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, KeyValueError> {
        self.0.watch_waits.borrow_mut().push(wait);
        if !wait.is_zero() {
            std::future::pending::<()>().await;
        }
        self.0.answer().await;
        let revision = self.0.version.get();
        let newer = (revision > after).then(|| Change::Written(self.0.item()));
        Ok(WatchOutcome::Changes {
            changes: newer.into_iter().collect(),
            revision,
        })
    }

    async fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, KeyValueError> {
        Ok(TransactionOutcome::Conflict)
    }
}
