//! How many records a store requests from a peer at once, and which ones are being fetched.

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};

use crate::message::RecordDigest;

/// Largest total size of the records in one reply. A larger record is sent alone.
pub const MAX_REPLY_RECORD_BYTES: usize = 1024 * 1024;
const MAX_PAGE_RECORDS: usize = 256;
/// First page, before the size of the peer's records is known.
const FIRST_PAGE_RECORDS: usize = 8;
/// Divisor of the page after a request without a reply, which may have exceeded a frame.
const FAILURE_DIVISOR: usize = 4;

/// Number of records to request from one peer. Peers of the build before this one put all
/// requested records into one reply, so the page follows the size of their replies.
#[derive(Debug)]
pub struct PageSize {
    records: Cell<usize>,
}

impl Default for PageSize {
    fn default() -> Self {
        Self {
            records: Cell::new(FIRST_PAGE_RECORDS),
        }
    }
}

impl PageSize {
    /// Returns the number of records to request next, at least one.
    pub fn records(&self) -> usize {
        self.records.get()
    }

    /// Applies the size of a reply to a full page.
    pub fn record_reply(&self, reply_bytes: usize) {
        let records = self.records.get();
        let next = match reply_bytes {
            bytes if bytes > MAX_REPLY_RECORD_BYTES => records / 2,
            bytes if bytes <= MAX_REPLY_RECORD_BYTES / 2 => records * 2,
            _ => records,
        };
        self.records.set(next.clamp(1, MAX_PAGE_RECORDS));
    }

    /// Applies a request that got no reply.
    pub fn record_failure(&self) {
        let records = self.records.get() / FAILURE_DIVISOR;
        self.records.set(records.max(1));
    }
}

/// Records that are being fetched from any peer, so that none is fetched from two at once.
#[derive(Debug, Default)]
pub struct FetchesInFlight {
    digests: RefCell<HashSet<RecordDigest>>,
}

impl FetchesInFlight {
    /// Takes up to `max_records` digests from the queue that nobody is fetching; drops those
    /// that are held or being fetched.
    pub fn take_page(
        &self,
        queue: &mut VecDeque<RecordDigest>,
        max_records: usize,
        holds: impl Fn(RecordDigest) -> bool,
    ) -> PageInFlight<'_> {
        let mut page = Vec::new();
        let mut in_flight = self.digests.borrow_mut();
        while page.len() < max_records
            && let Some(digest) = queue.pop_front()
        {
            if !holds(digest) && in_flight.insert(digest) {
                page.push(digest);
            }
        }
        PageInFlight {
            in_flight: self,
            digests: page,
        }
    }
}

/// Digests of one request; no longer in flight once dropped.
#[derive(Debug)]
pub struct PageInFlight<'a> {
    in_flight: &'a FetchesInFlight,
    digests: Vec<RecordDigest>,
}

impl PageInFlight<'_> {
    /// Returns the digests to request.
    pub fn digests(&self) -> &[RecordDigest] {
        &self.digests
    }

    /// Returns the digests to request again after a reply that settled some of the page. Empty if
    /// the reply settled nothing, since the peer can't read these records.
    pub fn unsettled(&self, is_settled: impl Fn(RecordDigest) -> bool) -> Vec<RecordDigest> {
        let digests = self.digests.iter().copied();
        let unsettled: Vec<_> = digests.filter(|digest| !is_settled(*digest)).collect();
        match unsettled.len() == self.digests.len() {
            true => Vec::new(),
            false => unsettled,
        }
    }
}

impl Drop for PageInFlight<'_> {
    fn drop(&mut self) {
        let mut in_flight = self.in_flight.digests.borrow_mut();
        for digest in &self.digests {
            in_flight.remove(digest);
        }
    }
}
