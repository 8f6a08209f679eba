//! Tracks how far a store has read a peer's journal and which of its records are still
//! missing locally. Pure: the caller sends the requests.

use crate::message::{JournalPosition, RecordDigest};

/// Synchronization state with one peer.
#[derive(Clone, Debug, Default)]
pub struct JournalSync {
    position: JournalPosition,
    held_position: JournalPosition,
    /// Digests seen in the peer's journal whose records are not stored locally.
    missing: Vec<RecordDigest>,
    /// The peer's member list version if the last page reached the end of a complete peer's
    /// journal.
    compared_version: Option<u64>,
    in_sync_version: Option<u64>,
    caught_up_version: Option<u64>,
}

/// One page of a peer's record digests.
#[derive(Clone, Copy, Debug)]
pub struct DigestPage<'a> {
    /// Digests in journal order.
    pub digests: &'a [RecordDigest],
    /// Position after the page.
    pub next: JournalPosition,
    /// True if the journal continues after the page.
    pub more: bool,
    /// True if the peer is authoritative for the records that it lacks.
    pub complete: bool,
    /// Version of the member list that the peer uses.
    pub members_version: u64,
}

impl JournalSync {
    /// Returns the digests seen in the peer's journal that are not stored locally yet.
    pub fn missing_digests(&mut self, holds: impl Fn(RecordDigest) -> bool) -> Vec<RecordDigest> {
        self.missing.retain(|digest| !holds(*digest));
        self.missing.clone()
    }

    /// Drops digests of records that have expired at the peer. Ignored if the peer's journal
    /// is another one than was read: a replaced disk lacks records too.
    pub fn forget_expired(&mut self, journal: u64, expired: &[RecordDigest]) {
        if journal == self.position.journal {
            self.missing.retain(|digest| !expired.contains(digest));
        }
    }

    /// Returns the number of records seen in the peer's journal that were last found missing.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Checks whether all records seen in the peer's journal are stored locally.
    pub fn has_nothing_missing(&self) -> bool {
        self.missing.is_empty()
    }

    /// Position at which the next page starts.
    pub fn position(&self) -> JournalPosition {
        self.position
    }

    /// Position up to which all of the peer's records are stored locally.
    pub fn held_position(&self) -> JournalPosition {
        self.held_position
    }

    /// Advances the held position once all missing records have been fetched. Called before the
    /// next page is read: while fronts write, each page contains new records, so only at this
    /// point can none be missing.
    pub fn mark_fetched(&mut self) {
        if !self.has_nothing_missing() {
            return;
        }
        self.held_position = self.position;
        self.in_sync_version = self.compared_version.or(self.in_sync_version);
        self.caught_up_version = self.compared_version.max(self.caught_up_version);
    }

    /// Adds a page of digests.
    pub fn apply_page(&mut self, page: DigestPage<'_>, holds: impl Fn(RecordDigest) -> bool) {
        let missing = page.digests.iter().copied();
        self.missing
            .extend(missing.filter(|digest| !holds(*digest)));
        self.position = page.next;
        let is_final = !page.more && page.complete;
        self.compared_version = is_final.then_some(page.members_version);
    }

    /// Records that this store has caught up with the peer if the peer is complete, its journal
    /// was read to the end and no record is missing.
    pub fn mark_page_end(&mut self) {
        if self.has_nothing_missing() {
            self.caught_up_version = self.compared_version.max(self.caught_up_version);
        }
    }

    /// Checks whether all records of the peer have been stored locally at some point while
    /// the peer was complete.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up_version.is_some()
    }

    /// Checks whether this store has caught up with the peer while the peer used this version
    /// of the member list or a newer one. Under an older list, records could still be stored
    /// that no other member has.
    pub fn is_caught_up_at(&self, members_version: u64) -> bool {
        self.caught_up_version
            .is_some_and(|version| version >= members_version)
    }

    /// Checks whether all records are stored locally that the complete peer held when it
    /// already used this version of the member list. Since then it has accepted nothing from
    /// fronts with an older list.
    pub fn is_in_sync(&self, members_version: u64) -> bool {
        self.in_sync_version
            .is_some_and(|version| version >= members_version)
    }
}
