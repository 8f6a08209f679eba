//! Interface to the key-value service: linearizable reads, watches from a revision, and
//! conditional transactions.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The item's key.
    pub key: String,
    /// The item's value.
    pub value: Bytes,
    /// Revision of the last change to the key.
    pub revision: u64,
}

/// One page of a range read.
#[derive(Clone, Debug, Default)]
pub struct RangePage {
    /// Items of the page, in key order.
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
    /// The key was removed.
    Removed {
        /// The removed key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl Change {
    /// Returns the size of the key and the value, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Written(item) => item.key.len() + item.value.len(),
            Self::Removed { key, .. } => key.len(),
        }
    }

    /// Returns the revision at which the key was written or removed.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Result of a watch.
#[derive(Clone, Debug)]
pub enum WatchOutcome {
    /// Changes, possibly none, up to a revision.
    Changes {
        /// Changes in the order of their revisions.
        changes: Vec<Change>,
        /// Revision after which the next watch starts.
        revision: u64,
    },
    /// The service no longer has the history; everything must be read again.
    HistoryCompacted,
}

/// A condition of a transaction: the key's last change has the given revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key that is compared.
    pub key: String,
    /// Expected revision of the key; zero if the key must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key that is written.
    pub key: String,
    /// Its new value.
    pub value: Bytes,
}

/// Writes that are applied together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes applied if the conditions hold.
    pub writes: Vec<Write>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The writes were applied at this revision.
    Done(u64),
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// Reasons for a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValueError {
    /// The service rejected the call because of too many calls; nothing was written.
    Throttled,
    /// The service refused the call; nothing was written.
    Refused,
    /// No usable answer: the call may have been executed, or may still be.
    NoAnswer,
    /// The answer exceeds the client's limit on its size: the call may have been executed.
    AnswerTooLarge,
}

impl fmt::Display for KeyValueError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Throttled => "throttled",
            Self::Refused => "refused",
            Self::NoAnswer => "no_answer",
            Self::AnswerTooLarge => "answer_too_large",
        })
    }
}

impl std::error::Error for KeyValueError {}

/// Calls to the key-value service; an adapter implements them for a platform.
pub trait KeyValueService {
    /// Returns the total number of bytes received from the service, or zero if unknown.
    /// Distinguishes a slow transfer from a service that does not answer.
    fn received_bytes(&self) -> u64 {
        0
    }
    /// Reads one key, linearizably.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, KeyValueError>>;
    /// Reads one key, linearizably, if it has changed after the revision `after`. Returns
    /// `None` if it is unchanged or absent. The default implementation always reads it.
    fn get_if_changed(
        &self,
        key: &str,
        after: u64,
    ) -> impl Future<Output = Result<Option<Item>, KeyValueError>> {
        let _ = after;
        self.get(key)
    }
    /// Reads a page of the keys that start with `prefix`, after the key `after`.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<RangePage, KeyValueError>>;
    /// Waits up to `wait` for changes after the revision `after`.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome, KeyValueError>>;
    /// Executes a conditional transaction.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, KeyValueError>>;
}

/// Treats changes that are too large for one answer like a discarded history: everything is read
/// again, in pages or by key.
pub fn discard_if_too_large(
    outcome: Result<WatchOutcome, KeyValueError>,
) -> Result<WatchOutcome, KeyValueError> {
    match outcome {
        Err(KeyValueError::AnswerTooLarge) => Ok(WatchOutcome::HistoryCompacted),
        outcome => outcome,
    }
}

/// Reads one key with a non-blocking watch, which does not transfer an unchanged value.
/// Returns `None` if the key has not changed after the revision `after` or is absent.
pub async fn get_by_watch<S: KeyValueService>(
    service: &S,
    key: &str,
    after: u64,
) -> Result<Option<Item>, KeyValueError> {
    let outcome = service.watch(key, after, Duration::ZERO).await;
    let WatchOutcome::Changes { changes, .. } = discard_if_too_large(outcome)? else {
        return service.get(key).await;
    };
    // The watch also returns changes of longer keys with this prefix.
    let written = changes.into_iter().rev().find_map(|change| match change {
        Change::Written(item) if item.key == key => Some(item),
        Change::Written(_) | Change::Removed { .. } => None,
    });
    Ok(written)
}
