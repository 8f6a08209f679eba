//! The directory by way of other processes: those that follow the key-value
//! service tell the others what has changed, and how old their copy is, so that
//! most processes need not ask the service.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::Instant;

use crate::key_value::{Change, Item};

/// Bytes of changes that are kept to hand on: some configurations of the
/// largest deployments; who has missed more reads everything again.
const MAX_RECENT_BYTES: usize = 1024 * 1024;
/// Bytes that a change takes beside its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 100;

/// Changes as another process tells them.
#[derive(Clone, Debug)]
pub struct RelayedChanges {
    /// In the order of their revisions; `None` where that process does not know
    /// all of them any more.
    pub changes: Option<Vec<Change>>,
    /// Revision up to which they go.
    pub revision: u64,
    /// How long ago that was the newest state.
    pub age: Duration,
    /// How much longer missing entries may come back, as the service was away;
    /// zero where they have ended.
    pub lapsed_entry_grace: Duration,
}

/// The whole directory as another process tells it.
#[derive(Clone, Debug)]
pub struct RelayedItems {
    /// All items of meaning.
    pub items: Vec<Item>,
    /// Revision that they go up to.
    pub revision: u64,
    /// How long ago that was the newest state.
    pub age: Duration,
    /// How much longer missing entries may come back, as the service was away;
    /// zero where they have ended.
    pub lapsed_entry_grace: Duration,
}

/// The configuration as another process tells it.
#[derive(Clone, Debug)]
pub struct RelayedRoutes {
    /// Its item.
    pub item: Item,
    /// How long ago the linearizable read began that it rests on.
    pub age: Duration,
}

/// What was told, and when the question was sent.
#[derive(Clone, Debug)]
pub struct RelayReply<T> {
    /// The answer.
    pub payload: T,
    /// Its age counts from this moment at the latest.
    pub sent_at: Instant,
}

impl<T> RelayReply<T> {
    /// When the copy was the newest state, at the latest.
    pub fn as_of(&self, age: Duration) -> Instant {
        self.sent_at.checked_sub(age).unwrap_or(self.sent_at)
    }
}

/// An answer that is waited for; `None` where nobody could tell.
pub type RelayFuture<'a, T> = Pin<Box<dyn Future<Output = Option<RelayReply<T>>> + 'a>>;

/// A read that is waited for.
pub type RoutesFuture<'a> = Pin<Box<dyn Future<Output = Option<RelayedRoutes>> + 'a>>;

/// What a process accepts of others.
#[derive(Clone, Copy, Debug)]
pub struct RelayRequirements {
    /// Time for the answer.
    pub answer_timeout: Duration,
    /// How old a copy may be; who has only an older one is passed over.
    pub max_age: Duration,
}

/// Processes that follow the service, as seen by one that does not.
pub trait DirectoryRelay {
    /// Whether any such process is known.
    fn has_sources(&self) -> bool;
    /// What has changed after a revision.
    fn fetch_changes(
        &self,
        after: u64,
        acceptable: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges>;
    /// The configuration, from a linearizable read of a moment ago.
    fn fetch_routes(&self, within: Duration) -> RelayFuture<'_, RelayedRoutes>;
    /// Everything.
    fn fetch_items(&self, acceptable: RelayRequirements) -> RelayFuture<'_, RelayedItems>;
}

/// A process that follows the service, as it tells others.
pub trait DirectorySource {
    /// What has changed after a revision; `None` while nothing is known.
    fn relay_changes(&self, after: u64) -> Option<RelayedChanges>;
    /// The configuration, from a linearizable read that began just before this
    /// call at the most; `None` if there is none.
    fn relay_routes(&self) -> RoutesFuture<'_>;
    /// Everything; `None` while nothing is known.
    fn relay_items(&self) -> Option<RelayedItems>;
}

/// The newest changes, within a bound of memory.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<Change>,
    bytes: usize,
    /// All changes after this revision are here.
    complete_since: u64,
}

impl RecentChanges {
    /// Everything was read anew, up to this revision.
    pub fn reset(&mut self, revision: u64) {
        self.changes.clear();
        self.bytes = 0;
        self.complete_since = revision;
    }

    /// Takes the next change; the oldest go.
    pub fn push(&mut self, change: Change) {
        self.bytes += change_size(&change);
        self.changes.push_back(change);
        while self.bytes > MAX_RECENT_BYTES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.bytes -= change_size(&oldest);
            self.complete_since = self.complete_since.max(oldest.revision());
        }
    }

    /// All changes after a revision, if they are known.
    pub fn changes_after(&self, revision: u64) -> Option<Vec<Change>> {
        if revision < self.complete_since {
            return None;
        }
        let newer = self.changes.iter();
        let newer = newer.filter(|change| change.revision() > revision);
        Some(newer.cloned().collect())
    }

    /// Bytes that they take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn change_size(change: &Change) -> usize {
    CHANGE_OVERHEAD_BYTES
        + match change {
            Change::Written(item) => item.key.len() + item.value.len(),
            Change::Removed { key, .. } => key.len(),
        }
}
