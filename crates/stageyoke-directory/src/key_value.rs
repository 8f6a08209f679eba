//! The key-value service as the product sees it: linearizable reads, watches
//! from a revision, and transactions under conditions.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
}

/// One page of a range read.
#[derive(Clone, Debug, Default)]
pub struct RangePage {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Whether further pages follow after the last key.
    pub more: bool,
    /// Revision of the service when the page was read.
    pub revision: u64,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Written(Item),
    /// The key was removed at this revision.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl Change {
    /// Revision at which the key was written or removed.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// What a watch answered.
#[derive(Clone, Debug)]
pub enum WatchOutcome {
    /// Changes, possibly none, up to the revision.
    Changes {
        /// In the order of their revisions.
        changes: Vec<Change>,
        /// Continue after this revision.
        revision: u64,
    },
    /// The service has forgotten the history; everything must be read again.
    HistoryCompacted,
}

/// A condition of a transaction: the key's last change has this revision; zero
/// means that the key is absent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Its expected revision.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: Bytes,
}

/// All or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Must all hold.
    pub conditions: Vec<Condition>,
    /// Then all are written.
    pub writes: Vec<Write>,
}

/// What a transaction answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Done at this revision.
    Done(u64),
    /// A condition did not hold; nothing was done.
    Conflict,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValueError {
    /// Too many calls; nothing was done.
    Throttled,
    /// The service refused; nothing was done.
    Refused,
    /// No usable answer: the call may have been done, or may yet be.
    NoAnswer,
}

impl fmt::Display for KeyValueError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Throttled => "throttled",
            Self::Refused => "refused",
            Self::NoAnswer => "no_answer",
        })
    }
}

impl std::error::Error for KeyValueError {}

/// The calls that the product makes; an adapter spells them.
pub trait KeyValueService {
    /// Reads one key, linearizably.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, KeyValueError>>;
    /// Reads a page of all keys that begin with the prefix.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<RangePage, KeyValueError>>;
    /// Waits for changes after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome, KeyValueError>>;
    /// Writes under conditions.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, KeyValueError>>;
}
