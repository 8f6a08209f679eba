//! Relays the directory between processes: those that follow the key-value service send
//! their peers the changes and the age of their copy, so that most processes need not
//! call the service.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::Instant;

use crate::key_value::{Change, Item};

/// Maximum size of the changes that are cached for relaying: several configurations of
/// the largest deployments. A peer that has missed more reads everything again.
const MAX_RECENT_BYTES: usize = 1024 * 1024;
/// Estimated size of a change in addition to its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 100;

/// Changes relayed by a peer.
#[derive(Clone, Debug)]
pub struct RelayedChanges {
    /// Changes in the order of their revisions; `None` if the peer no longer has all of
    /// them.
    pub changes: Option<Vec<Change>>,
    /// Revision up to which the changes go.
    pub revision: u64,
    /// Time since `revision` was last confirmed as the newest.
    pub age: Duration,
    /// Remaining time in which missing entries may be back after an outage; zero if
    /// they have ended.
    pub lapsed_entry_grace: Duration,
}

/// A complete directory relayed by a peer.
#[derive(Clone, Debug)]
pub struct RelayedItems {
    /// All relevant items.
    pub items: Vec<Item>,
    /// Revision up to which the items go.
    pub revision: u64,
    /// Time since `revision` was last confirmed as the newest.
    pub age: Duration,
    /// Remaining time in which missing entries may be back after an outage; zero if
    /// they have ended.
    pub lapsed_entry_grace: Duration,
}

/// The configuration relayed by a peer.
#[derive(Clone, Debug)]
pub struct RelayedRoutes {
    /// Item that holds the configuration; its value is empty if the requester
    /// has this revision.
    pub item: Item,
    /// Time since the start of the linearizable read that returned the item.
    pub age: Duration,
}

/// A peer's reply, with the time of the request.
#[derive(Clone, Debug)]
pub struct RelayReply<T> {
    /// What the peer relayed.
    pub payload: T,
    /// When the request was sent; ages in the payload are counted from this moment, so
    /// that they are never underestimated.
    pub sent_at: Instant,
}

impl<T> RelayReply<T> {
    /// Returns the moment at which a copy of this age was current, rounded down by at
    /// most one round trip.
    pub fn as_of(&self, age: Duration) -> Instant {
        self.sent_at.checked_sub(age).unwrap_or(self.sent_at)
    }
}

/// Pending reply of a peer; resolves to `None` if no peer could supply it.
pub type RelayFuture<'a, T> = Pin<Box<dyn Future<Output = Option<RelayReply<T>>> + 'a>>;

/// Pending read of the configuration; resolves to `None` if it failed.
pub type RoutesFuture<'a> = Pin<Box<dyn Future<Output = Option<RelayedRoutes>> + 'a>>;

/// The revision of an item that a process has. Peers omit it from their replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownItem {
    /// Key of the item.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
}

/// Requirements on a relayed copy.
#[derive(Clone, Copy, Debug)]
pub struct RelayRequirements {
    /// Time in which data must start to arrive, divided among the peers that are asked.
    pub answer_timeout: Duration,
    /// Time after which a reply is abandoned although data arrives.
    pub transfer_timeout: Duration,
    /// Maximum age of the copy; peers with an older one are skipped.
    pub max_age: Duration,
}

/// Peers that follow the service, as seen by a process that does not.
pub trait DirectoryRelay {
    /// Returns whether any such peer is known.
    fn has_sources(&self) -> bool;
    /// Fetches the changes after a revision, except the change that wrote `known`.
    fn fetch_changes(
        &self,
        after: u64,
        known: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges>;
    /// Returns the total number of bytes received from peers, or zero if unknown. A rising
    /// count shows that a transfer is in progress.
    fn received_bytes(&self) -> u64 {
        0
    }
    /// Returns when a peer last replied, whatever the age of its copy; `None` if none has
    /// or if it is unknown.
    fn last_reply_at(&self) -> Option<Instant> {
        None
    }
    /// Returns the position of this process, from 0, in an order of the processes that relay the
    /// directory to each other; all of them agree on it as far as they know the same processes.
    fn read_rank(&self) -> usize {
        0
    }
    /// Fetches the configuration, as returned by a recent linearizable read. Its value is
    /// omitted if its revision is that of `known`.
    fn fetch_routes(
        &self,
        known: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedRoutes>;
    /// Fetches all items.
    fn fetch_items(&self, requirements: RelayRequirements) -> RelayFuture<'_, RelayedItems>;
}

/// A process that follows the service and relays the directory to its peers.
pub trait DirectorySource {
    /// Returns the changes after a revision; `None` before the first answer from the
    /// service.
    fn relay_changes(&self, after: u64) -> Option<RelayedChanges>;
    /// Returns the configuration from a linearizable read that started after this call
    /// or just before it; `None` if the read failed.
    fn relay_routes(&self) -> RoutesFuture<'_>;
    /// Returns all items; `None` before the first answer from the service.
    fn relay_items(&self) -> Option<RelayedItems>;
}

/// Most recent changes, within a limit on memory.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<Change>,
    bytes: usize,
    /// Revision after which every change is in `changes`.
    complete_since: u64,
}

impl RecentChanges {
    /// Discards all changes after a complete read at this revision.
    pub fn reset(&mut self, revision: u64) {
        self.changes.clear();
        self.bytes = 0;
        self.complete_since = revision;
    }

    /// Adds a change and evicts the oldest ones beyond the size limit.
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

    /// Returns all changes after a revision, or `None` if some of them were evicted.
    pub fn changes_after(&self, revision: u64) -> Option<Vec<Change>> {
        if revision < self.complete_since {
            return None;
        }
        let changes = self.changes.iter();
        let changes = changes.filter(|change| change.revision() > revision);
        Some(changes.cloned().collect())
    }

    /// Returns the estimated size of the changes, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn change_size(change: &Change) -> usize {
    CHANGE_OVERHEAD_BYTES + change.size()
}
