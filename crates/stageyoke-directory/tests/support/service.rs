//! A service whose watches are dead: they neither answer nor end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    Change, Item, KeyValueError, KeyValueService, RangePage, Transaction, TransactionOutcome,
    WatchOutcome,
};

const ANSWER: Duration = Duration::from_millis(4);
const ROUTES: &str = "routes/all";

/// The service, with one item whose value is its version.
#[derive(Default)]
pub struct Service {
    /// Version and revision of the item.
    pub version: Cell<u64>,
    /// Whether it answers nobody.
    pub silent: Cell<bool>,
    /// Calls that it has seen.
    pub asked: Cell<u32>,
    /// How long the watches were to wait.
    pub waits: RefCell<Vec<Duration>>,
}

impl Service {
    async fn answer(&self) {
        self.asked.set(self.asked.get() + 1);
        let silent = self.silent.get();
        tokio::time::sleep(ANSWER).await;
        if silent || self.silent.get() {
            std::future::pending::<()>().await;
        }
    }

    fn item(&self) -> Item {
        Item {
            key: ROUTES.to_owned(),
            value: Bytes::from(self.version.get().to_string()),
            revision: self.version.get(),
        }
    }
}

/// The mirror's hold on the service.
pub struct Link(pub Rc<Service>);

impl KeyValueService for Link {
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
        self.0.waits.borrow_mut().push(wait);
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
