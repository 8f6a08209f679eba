//! What a store has seen of one peer's journal, and what of it is still missing
//! here. Pure: whoever drives it sends the calls.

use crate::message::{JournalPosition, RecordDigest};

/// Progress with one peer.
#[derive(Clone, Debug, Default)]
pub struct JournalSync {
    position: JournalPosition,
    held: JournalPosition,
    late: Vec<RecordDigest>,
    compared: Option<u64>,
    in_step: Option<u64>,
    caught_up: Option<u64>,
}

/// A page of a peer's digests.
#[derive(Clone, Copy, Debug)]
pub struct DigestPage<'a> {
    /// In journal order.
    pub digests: &'a [RecordDigest],
    /// Position after the page.
    pub next: JournalPosition,
    /// Whether the peer's journal goes on after it.
    pub more: bool,
    /// Whether the peer vouches for what it misses.
    pub complete: bool,
    /// The version of the member list that the peer goes by.
    pub members_version: u64,
}

impl JournalSync {
    /// Digests that were seen there and are still missing here.
    pub fn missing_digests(&mut self, holds: impl Fn(RecordDigest) -> bool) -> Vec<RecordDigest> {
        self.late.retain(|digest| !holds(*digest));
        self.late.clone()
    }

    /// The peer holds these no longer: they are past their time. Nothing is taken from
    /// another journal than the one that was compared with: a lost disk forgets too.
    pub fn forget_expired(&mut self, journal: u64, forgotten: &[RecordDigest]) {
        if journal == self.position.journal {
            self.late.retain(|digest| !forgotten.contains(digest));
        }
    }

    /// Whether nothing that was seen there is missing.
    pub fn has_nothing_missing(&self) -> bool {
        self.late.is_empty()
    }

    /// The next comparison goes on here.
    pub fn position(&self) -> JournalPosition {
        self.position
    }

    /// Up to where everything is held here.
    pub fn held_position(&self) -> JournalPosition {
        self.held
    }

    /// Before a comparison: what was missing has been asked for. While fronts write, each
    /// page shows something new, so that only now nothing may be missing.
    pub fn mark_fetched(&mut self) {
        if !self.has_nothing_missing() {
            return;
        }
        self.held = self.position;
        self.in_step = self.compared.or(self.in_step);
        self.caught_up = self.compared.max(self.caught_up);
    }

    /// Takes a page.
    pub fn apply_page(&mut self, page: DigestPage<'_>, holds: impl Fn(RecordDigest) -> bool) {
        let missing = page.digests.iter().copied();
        self.late.extend(missing.filter(|digest| !holds(*digest)));
        self.position = page.next;
        let whole = !page.more && page.complete;
        self.compared = whole.then_some(page.members_version);
    }

    /// After a page: a complete peer is caught up with at its journal's end,
    /// unless something is missing.
    pub fn mark_page_end(&mut self) {
        if self.has_nothing_missing() {
            self.caught_up = self.compared.max(self.caught_up);
        }
    }

    /// Whether everything that the peer, complete, held was held here once.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up.is_some()
    }

    /// The same while the peer went by this version of the member list, or a newer
    /// one: an older one may still let records be kept that stand nowhere else.
    pub fn is_caught_up_at(&self, members_version: u64) -> bool {
        self.caught_up
            .is_some_and(|version| version >= members_version)
    }

    /// Whether everything is held here that the peer, complete, held when it
    /// went by this version of the member list already. From then on it has
    /// taken nothing from fronts with an older list.
    pub fn is_in_sync(&self, members_version: u64) -> bool {
        self.in_step
            .is_some_and(|version| version >= members_version)
    }
}
