//! A store's state with its journal, shared by the tasks of the process.

mod peer_reports;
mod requests;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;

use stageyoke_directory::{
    AgeLimits, DirectoryMark, DirectorySource, Freshness, GroupNumber, Members, StoreGroups,
};
use stageyoke_observe as observe;
use stageyoke_policy::quota::{QuotaLedger, QuotaTolerance};
use stageyoke_types::{Event, List, Text};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::Instant;

use self::peer_reports::Heard;
pub use self::peer_reports::SilentSince;
pub use self::requests::RequestedFields;
use crate::completeness::Completeness;
use crate::disk_clock::DiskClock;
use crate::journal::{AppendResult, Journal};
use crate::limits::StoreLimits;
use crate::load::{LoadReports, PlacedTurns};
use crate::membership_state::MembershipState;
use crate::message::{DirectoryItem, JournalPosition, Record, RecordDigest, Refusal};
use crate::record_reader::RecordReader;
use crate::segment::{DataFolder, Recovered, SegmentUsage};
use crate::state::StoreState;

/// A record on its way to the disk, and who waits for it.
struct Submitted {
    record: Record,
    bytes: usize,
    waiting: Vec<oneshot::Sender<bool>>,
}

/// A store's state with its journal; shared by the tasks of the process.
pub struct LocalStore {
    /// Machine name of this store.
    pub node: Text,
    disk: u64,
    state: RefCell<StoreState>,
    limits: StoreLimits,
    journal: Journal,
    reader: RecordReader,
    clock: DiskClock,
    waiting_bytes: Cell<usize>,
    expiring: Cell<bool>,
    submitted: RefCell<HashMap<u64, Submitted>>,
    tickets: RefCell<HashMap<RecordDigest, u64>>,
    segments: RefCell<VecDeque<SegmentUsage>>,
    next_ticket: Cell<u64>,
    disk_refuses: Cell<bool>,
    standing: RefCell<MembershipState>,
    /// Version of the store groups that the disk held at the start.
    stores_recovered: u64,
    heard: Heard,
    members_since: Cell<Instant>,
    items: RefCell<List<DirectoryItem>>,
    loads: LoadReports,
    placed: RefCell<PlacedTurns>,
    quotas: RefCell<QuotaLedger>,
    /// Addresses of the stores that have registered.
    registered: RefCell<List<Text>>,
    started: Instant,
    held_by_peers: RefCell<HashMap<Text, JournalPosition>>,
    directory: Rc<Freshness>,
    source: RefCell<Option<Rc<dyn DirectorySource>>>,
}

impl LocalStore {
    /// Goes on from what a start found; the second part are the journal's
    /// results, to be given to `collect`.
    pub fn open(
        node: Text,
        folder: DataFolder,
        recovered: Recovered,
        limits: StoreLimits,
    ) -> io::Result<(Self, UnboundedReceiver<Vec<AppendResult>>)> {
        let clock = DiskClock::resume_from(recovered.clock);
        let reader = RecordReader::start(folder.clone())?;
        let next_segment = recovered.next_segment();
        let (journal, results) = Journal::start(folder, next_segment, limits.segment_bytes, clock)?;
        let mut state = recovered.state;
        state.set_recent_bytes(limits.recent_bytes);
        let stores = recovered.stores.unwrap_or_default();
        let stores_recovered = stores.version;
        let standing = MembershipState::new(node.clone(), stores, recovered.completeness);
        let local_store = Self {
            node,
            disk: recovered.disk,
            state: RefCell::new(state),
            limits,
            journal,
            reader,
            clock,
            waiting_bytes: Cell::new(0),
            expiring: Cell::new(false),
            submitted: RefCell::default(),
            tickets: RefCell::default(),
            segments: RefCell::new(recovered.segments.into()),
            next_ticket: Cell::new(0),
            disk_refuses: Cell::new(false),
            standing: RefCell::new(standing),
            stores_recovered,
            heard: Heard::default(),
            members_since: Cell::new(Instant::now()),
            items: RefCell::default(),
            loads: LoadReports::default(),
            placed: RefCell::default(),
            quotas: RefCell::default(),
            registered: RefCell::default(),
            started: Instant::now(),
            held_by_peers: RefCell::default(),
            directory: Rc::new(Freshness::new(AgeLimits::default(), false)),
            source: RefCell::default(),
        };
        Ok((local_store, results))
    }

    /// The same, where the operator tolerates so much beyond tenants' limits.
    pub fn with_quota_tolerance(self, tolerance: QuotaTolerance) -> Self {
        let quotas = self.quotas.take().with_tolerance(tolerance);
        let quotas = quotas.with_incarnation(rand::random());
        self.quotas.replace(quotas);
        self
    }

    /// The same store, telling fronts how fresh this directory is.
    pub fn with_directory_freshness(self, directory: Rc<Freshness>) -> Self {
        Self { directory, ..self }
    }

    /// Identity of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Whether the list that this store goes by names its disk, if it names the store. By
    /// an older one answers of a disk that was lost may still be counted.
    pub fn is_listed_with_current_disk(&self) -> bool {
        let members = self.members();
        let own = members.get(&self.node);
        own.is_none_or(|own| own.disk == self.disk)
    }

    /// Whether the store groups in use are on the disk, so that a list that was told to
    /// a peer is not forgotten: the fence of a change counts on it.
    pub fn has_saved_stores(&self) -> bool {
        let saved = self
            .journal
            .saved_stores_version()
            .max(self.stores_recovered);
        saved >= self.stores().version
    }

    /// Puts the store groups on the disk if it refused them before.
    pub fn retry_saving_stores(&self) {
        if !self.has_saved_stores() {
            self.journal.save_stores(&self.stores());
        }
    }

    /// Whether this store holds everything that it ever acknowledged as a
    /// member of its group; before there are groups, of any.
    pub fn is_complete(&self) -> bool {
        self.standing.borrow().is_complete()
    }

    /// Declares the store complete for its group, for this life and the next.
    pub fn declare_complete(&self) {
        let mark = self.standing.borrow_mut().declare_complete();
        self.mark_complete(mark);
    }

    fn mark_complete(&self, mark: Option<Completeness>) {
        if let Some(completeness) = mark {
            self.journal.mark_complete(completeness);
        }
    }

    /// The store groups that this store goes by.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.standing.borrow().stores()
    }

    /// The group that this store is a member of, or fills up for.
    pub fn group(&self) -> Option<GroupNumber> {
        self.standing.borrow().group()
    }

    /// The member list of that group; empty where there is none.
    pub fn members(&self) -> Members {
        self.standing.borrow().members()
    }

    /// Since when that list has been in use here.
    pub fn members_since(&self) -> Instant {
        self.members_since.get()
    }

    /// These stores have registered.
    pub fn set_registered_addresses(&self, addresses: List<Text>) {
        self.registered.replace(addresses);
    }

    /// Takes newer store groups.
    pub fn set_stores(&self, stores: Rc<StoreGroups>) {
        let before = self.members();
        if !self.standing.borrow_mut().update_stores(stores) {
            return;
        }
        self.journal.save_stores(&self.stores());
        self.follow_members(&before);
        let mark = self.standing.borrow_mut().resolve_completeness();
        self.mark_complete(mark);
    }

    /// A store that is no member of any group fills up for this one.
    pub fn backfill_for(&self, group: Option<GroupNumber>) {
        let before = self.members();
        self.standing.borrow_mut().backfill_for(group);
        self.follow_members(&before);
    }

    fn follow_members(&self, before: &Members) {
        let members = self.members();
        if members == *before {
            return;
        }
        self.members_since.set(Instant::now());
        let now = self.started.elapsed();
        self.quotas.borrow_mut().handle_owner_change(now);
        let mut held_by_peers = self.held_by_peers.borrow_mut();
        held_by_peers.retain(|node, _| members.get(node).is_some());
    }

    /// Takes the items of the key-value service, to hand them to fronts that
    /// start while it is down; `keep` also puts them on the disk.
    pub fn set_directory_items(&self, items: List<DirectoryItem>, keep: bool) {
        if keep && items != *self.items.borrow() {
            self.journal.save_items(items.clone());
        }
        *self.items.borrow_mut() = items;
    }

    /// Another store told how fresh its directory is, in answer to a message
    /// that was sent at `sent`.
    pub fn apply_directory_mark(&self, mark: DirectoryMark, sent: Instant) {
        self.directory.apply_peer_mark(mark, sent);
    }

    /// The directory that this store tells others of.
    pub fn set_directory_source(&self, source: Rc<dyn DirectorySource>) {
        *self.source.borrow_mut() = Some(source);
    }

    /// Position at the end of the journal.
    pub fn journal_end(&self) -> JournalPosition {
        self.state.borrow().journal_end()
    }

    /// Up to where a peer holds this journal on its own disk.
    pub fn held_by(&self, node: &str) -> JournalPosition {
        self.held_by_peers
            .borrow()
            .get(node)
            .copied()
            .unwrap_or_default()
    }

    /// Whether a record is held.
    pub fn holds(&self, digest: u64) -> bool {
        self.state.borrow().holds(digest)
    }

    /// Writes a record unless it is held or on its way: callers repeat what a
    /// slow disk has not answered yet. True once it is on the disk; false also
    /// where the memory takes no more.
    pub async fn store_record(&self, record: Record) -> bool {
        let digest = record.digest();
        if self.holds(digest) {
            return true;
        }
        if self.no_room_below(self.limits.state_bytes).is_some() {
            return false;
        }
        let (done, result) = oneshot::channel();
        let under_way = self.tickets.borrow().get(&digest).copied();
        let ticket = under_way.unwrap_or_else(|| self.submit(record));
        if let Some(submitted) = self.submitted.borrow_mut().get_mut(&ticket) {
            submitted.waiting.push(done);
        }
        result.await.unwrap_or(false)
    }

    /// Estimated bytes of memory of the index and of the newest turns.
    pub fn memory_bytes(&self) -> usize {
        self.state.borrow().memory_bytes()
    }

    /// Why nothing more is taken where the index may have so many bytes.
    fn no_room_below(&self, state_bytes: usize) -> Option<Refusal> {
        if self.memory_bytes() >= state_bytes {
            return Some(Refusal::MemoryFull);
        }
        let backlog_is_full = self.waiting_bytes.get() >= self.limits.backlog_bytes;
        backlog_is_full.then_some(Refusal::DiskRefused)
    }

    /// Records on their way to the disk.
    pub fn in_flight_records(&self) -> usize {
        self.submitted.borrow().len()
    }

    fn submit(&self, record: Record) -> u64 {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let bytes = self.journal.append(ticket, &record);
        self.waiting_bytes.set(self.waiting_bytes.get() + bytes);
        self.tickets.borrow_mut().insert(record.digest(), ticket);
        let submitted = Submitted {
            record,
            bytes,
            waiting: Vec::new(),
        };
        self.submitted.borrow_mut().insert(ticket, submitted);
        ticket
    }

    /// Takes the journal's results for ever.
    pub async fn process_journal_results(&self, mut results: UnboundedReceiver<Vec<AppendResult>>) {
        while let Some(batch) = results.recv().await {
            let now = self.clock.seconds();
            for appended in batch {
                self.tell_of_disk(&appended);
                self.finish(&appended, now);
            }
            let metrics = observe::metrics();
            metrics.records.set(self.journal_end().next as i64);
            metrics.store_complete.set(i64::from(self.is_complete()));
            let state = self.state.borrow();
            metrics.turn_bytes.set(state.cached_turn_bytes() as i64);
            let entries = state.ledger_entry_count();
            metrics.ledger_entries.set(entries as i64);
        }
    }

    fn tell_of_disk(&self, appended: &AppendResult) {
        let refuses = appended.location.is_none();
        if self.disk_refuses.replace(refuses) == refuses {
            return;
        }
        match refuses {
            true => {
                observe::record_event(Event::DiskRefuses, &format!("ticket={}", appended.ticket))
            }
            false => observe::record_event(Event::DependencyRegained, "disk"),
        }
    }

    fn finish(&self, appended: &AppendResult, now: u64) {
        let Some(submitted) = self.submitted.borrow_mut().remove(&appended.ticket) else {
            return;
        };
        let digest = submitted.record.digest();
        self.tickets.borrow_mut().remove(&digest);
        let waiting_bytes = self.waiting_bytes.get() - submitted.bytes;
        self.waiting_bytes.set(waiting_bytes);
        if let Some(place) = appended.location {
            self.state.borrow_mut().add(&submitted.record, place, now);
            self.count_in_segment(u64::from(place.segment), now);
        }
        for waiting in submitted.waiting {
            let _ = waiting.send(appended.location.is_some());
        }
    }

    fn count_in_segment(&self, number: u64, now: u64) {
        let mut segments = self.segments.borrow_mut();
        match segments.back_mut() {
            Some(segment) if segment.number == number => {
                segment.records += 1;
                segment.last_write = now;
            }
            _ => segments.push_back(SegmentUsage {
                number,
                records: 1,
                last_write: now,
            }),
        }
    }

    /// Forgets what is past its time, one segment after the other. Called
    /// regularly: a store that takes nothing new must forget all the same.
    pub async fn expire_segments(&self) {
        if self.expiring.replace(true) {
            return;
        }
        while let Some(segment) = self.expired_segment() {
            match self.reader.segment(segment.number).await {
                Ok(mut records) if records.len() >= segment.records => {
                    // What follows was never acknowledged: its write failed.
                    records.truncate(segment.records);
                    self.forget(segment, records);
                }
                Ok(records) => {
                    let detail = format!("segment={} records={}", segment.number, records.len());
                    observe::record_event(Event::SegmentUnreadable, &detail);
                    break;
                }
                Err(error) => {
                    let detail = format!("segment={} error={error}", segment.number);
                    observe::record_event(Event::SegmentUnreadable, &detail);
                    break;
                }
            }
        }
        self.expiring.set(false);
    }

    /// The oldest segment, if it is past its time and not the newest.
    fn expired_segment(&self) -> Option<SegmentUsage> {
        let segments = self.segments.borrow();
        let oldest = segments.front().filter(|_| segments.len() > 1)?;
        let kept_until = oldest.last_write + self.state.borrow().max_retention_seconds();
        (kept_until <= self.clock.seconds()).then_some(*oldest)
    }

    fn forget(&self, segment: SegmentUsage, records: Vec<Record>) {
        self.segments.borrow_mut().pop_front();
        let now = self.clock.seconds();
        let again = self.state.borrow_mut().expire(records, now);
        for record in again {
            self.submit(record);
        }
        // The journal works in order: the copies are written before this.
        self.journal.remove(segment.number);
    }
}
