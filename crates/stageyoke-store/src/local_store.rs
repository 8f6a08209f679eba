//! The local store: its state, journal and membership, shared by the tasks of the process.

mod peer_reports;
mod requests;
mod restrictions;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{
    AgeLimits, DirectoryMark, DirectorySource, Freshness, GroupNumber, Members, StoreGroups,
};
use stageyoke_observe as observe;
use stageyoke_policy::broken_streams::BrokenStreams;
use stageyoke_policy::cold_start::PermitLedger;
use stageyoke_policy::deadly_requests::DeadlyRequests;
use stageyoke_policy::quota::{QuotaLedger, QuotaTolerance};
use stageyoke_policy::stream_versions::StreamVersions;
use stageyoke_types::{Event, List, Text};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::Instant;

use self::peer_reports::ReceivedReports;
pub use self::peer_reports::SilentSince;
pub use self::requests::{HandledRequest, RequestedFields};
use crate::completeness::Completeness;
use crate::directory_transfers::DirectoryTransfers;
use crate::disk_clock::DiskClock;
use crate::item_writer::ItemWriter;
use crate::journal::{AppendResult, Journal};
use crate::limits::StoreLimits;
use crate::load::{LoadReports, PlacedTurns};
use crate::membership_state::MembershipState;
use crate::message::{DirectoryItem, JournalPosition, RecordDigest, Refusal};
use crate::record_reader::RecordReader;
use crate::reply_memory::ReplyMemory;
use crate::restriction_watchers::RestrictionWatchers;
use crate::segment::{DataFolder, Recovered, SegmentUsage};
use crate::service_versions::ServiceVersions;
use crate::state::StoreState;
use crate::stored_record::StoredRecord;

/// A record that is being written, and the callers that wait for it.
struct PendingWrite {
    record: StoredRecord,
    submitted_at: Instant,
    bytes: usize,
    waiters: Vec<oneshot::Sender<bool>>,
}

/// State, journal and membership of this process's store.
pub struct LocalStore {
    /// Machine name of this store.
    pub node: Text,
    disk: u64,
    state: RefCell<StoreState>,
    limits: StoreLimits,
    journal: Journal,
    item_writer: ItemWriter,
    reader: RecordReader,
    clock: DiskClock,
    backlog_bytes: Cell<usize>,
    backlog_shrank: Notify,
    is_expiring: Cell<bool>,
    pending_writes: RefCell<HashMap<u64, PendingWrite>>,
    tickets: RefCell<HashMap<RecordDigest, u64>>,
    segments: RefCell<VecDeque<SegmentUsage>>,
    next_ticket: Cell<u64>,
    disk_rejects_writes: Cell<bool>,
    membership: RefCell<MembershipState>,
    /// Version of the store groups that was on disk when the process started.
    recovered_stores_version: u64,
    received_reports: ReceivedReports,
    members_since: Cell<Instant>,
    directory_items: RefCell<List<DirectoryItem>>,
    /// Copies of the directory on their way to other processes.
    pub(crate) directory_transfers: DirectoryTransfers,
    /// Large replies on their way to other processes.
    pub(crate) reply_memory: ReplyMemory,
    loads: LoadReports,
    placed_turns: RefCell<PlacedTurns>,
    quotas: RefCell<QuotaLedger>,
    permits: RefCell<PermitLedger>,
    stream_versions: RefCell<StreamVersions>,
    broken_streams: RefCell<BrokenStreams<Bytes>>,
    service_versions: RefCell<ServiceVersions>,
    has_observed_versions: Cell<bool>,
    deadly_requests: RefCell<DeadlyRequests>,
    /// Connections that get changes of the restricted requests.
    pub(crate) restriction_watchers: RestrictionWatchers,
    /// Addresses of the registered stores.
    registered_addresses: RefCell<List<Text>>,
    started_at: Instant,
    positions_held_by_peers: RefCell<HashMap<Text, JournalPosition>>,
    directory: Rc<Freshness>,
    directory_source: RefCell<Option<Rc<dyn DirectorySource>>>,
}

impl LocalStore {
    /// Opens the store from recovered data. The second part of the result must be passed to
    /// `process_journal_results`.
    pub fn open(
        node: Text,
        folder: DataFolder,
        recovered: Recovered,
        limits: StoreLimits,
    ) -> io::Result<(Self, UnboundedReceiver<Vec<AppendResult>>)> {
        let clock = DiskClock::resume_from(recovered.clock_seconds);
        let reader = RecordReader::start(folder.clone())?;
        let item_writer = ItemWriter::start(folder.clone())?;
        let next_segment = recovered.next_segment();
        let (journal, results) = Journal::start(folder, next_segment, limits.segment_bytes, clock)?;
        let mut state = recovered.state;
        state.set_recent_bytes(limits.recent_bytes);
        state.forget_entry_order();
        let service_versions = match recovered.service_versions {
            Some(saved) => saved.resume(clock.seconds()),
            None => ServiceVersions::start(recovered.is_first_start, clock.seconds()),
        };
        let stores = recovered.stores.unwrap_or_default();
        let recovered_stores_version = stores.version;
        let membership = MembershipState::new(node.clone(), stores, recovered.completeness);
        let local_store = Self {
            node,
            disk: recovered.disk,
            state: RefCell::new(state),
            limits,
            journal,
            item_writer,
            reader,
            clock,
            backlog_bytes: Cell::new(0),
            backlog_shrank: Notify::new(),
            is_expiring: Cell::new(false),
            pending_writes: RefCell::default(),
            tickets: RefCell::default(),
            segments: RefCell::new(recovered.segments.into()),
            next_ticket: Cell::new(0),
            disk_rejects_writes: Cell::new(false),
            membership: RefCell::new(membership),
            recovered_stores_version,
            received_reports: ReceivedReports::default(),
            members_since: Cell::new(Instant::now()),
            directory_items: RefCell::default(),
            directory_transfers: DirectoryTransfers::new(limits.directory_transfer_bytes()),
            reply_memory: ReplyMemory::new(limits.reply_bytes),
            loads: LoadReports::default(),
            placed_turns: RefCell::default(),
            quotas: RefCell::default(),
            permits: RefCell::default(),
            stream_versions: RefCell::default(),
            service_versions: RefCell::new(service_versions),
            has_observed_versions: Cell::new(false),
            broken_streams: RefCell::new(BrokenStreams::new(limits.broken_stream_bytes())),
            deadly_requests: RefCell::default(),
            restriction_watchers: RestrictionWatchers::default(),
            registered_addresses: RefCell::default(),
            started_at: Instant::now(),
            positions_held_by_peers: RefCell::default(),
            directory: Rc::new(Freshness::new(AgeLimits::default(), false)),
            directory_source: RefCell::default(),
        };
        Ok((local_store, results))
    }

    /// Sets by how much tenants may exceed their limits.
    pub fn with_quota_tolerance(self, tolerance: QuotaTolerance) -> Self {
        let quotas = self.quotas.take().with_tolerance(tolerance);
        let quotas = quotas.with_incarnation(rand::random());
        self.quotas.replace(quotas);
        self
    }

    /// Sets the freshness of this store's directory, which replies report.
    pub fn with_directory_freshness(self, directory: Rc<Freshness>) -> Self {
        Self { directory, ..self }
    }

    /// Returns the identity of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Returns whether the member list in use names this store's disk, if it names the
    /// store at all. Under an older list, replies from a lost disk may still be counted.
    pub fn is_listed_with_current_disk(&self) -> bool {
        let members = self.members();
        let own = members.get(&self.node);
        own.is_none_or(|own| own.disk == self.disk)
    }

    /// Returns whether the store groups in use are on disk. The fence of a member change
    /// relies on no store forgetting a list that it reported to a peer.
    pub fn has_saved_stores(&self) -> bool {
        let saved = self
            .journal
            .saved_stores_version()
            .max(self.recovered_stores_version);
        saved >= self.stores().version
    }

    /// Saves the store groups again if the disk did not accept them before.
    pub fn retry_saving_stores(&self) {
        if !self.has_saved_stores() {
            self.journal.save_stores(&self.stores());
        }
    }

    /// Returns whether this store holds every record that it ever acknowledged as a member
    /// of its group, or of any group before the groups are formed.
    pub fn is_complete(&self) -> bool {
        self.membership.borrow().is_complete()
    }

    /// Declares the store complete for its group and saves that to disk.
    pub fn declare_complete(&self) {
        let completeness = self.membership.borrow_mut().declare_complete();
        if completeness.is_some() {
            self.state.borrow_mut().forget_entry_order();
        }
        self.save_completeness(completeness);
    }

    fn save_completeness(&self, completeness: Option<Completeness>) {
        if let Some(completeness) = completeness {
            self.journal.mark_complete(completeness);
        }
    }

    /// Returns the store groups in use.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.membership.borrow().stores()
    }

    /// Returns the group that this store belongs to or is being backfilled for.
    pub fn group(&self) -> Option<GroupNumber> {
        self.membership.borrow().group()
    }

    /// Returns the member list of that group; empty if there is none.
    pub fn members(&self) -> Members {
        self.membership.borrow().members()
    }

    /// Returns when the current member list was applied.
    pub fn members_since(&self) -> Instant {
        self.members_since.get()
    }

    /// Sets the addresses of the registered stores.
    pub fn set_registered_addresses(&self, addresses: List<Text>) {
        self.registered_addresses.replace(addresses);
    }

    /// Applies newer store groups.
    pub fn set_stores(&self, stores: Rc<StoreGroups>) {
        let before = self.members();
        if !self.membership.borrow_mut().update_stores(stores) {
            return;
        }
        self.journal.save_stores(&self.stores());
        self.apply_members_change(&before);
        let completeness = self.membership.borrow_mut().resolve_completeness();
        self.save_completeness(completeness);
    }

    /// Selects the group for which a spare store is backfilled.
    pub fn backfill_for(&self, group: Option<GroupNumber>) {
        let before = self.members();
        self.membership.borrow_mut().backfill_for(group);
        self.apply_members_change(&before);
    }

    fn apply_members_change(&self, before: &Members) {
        let members = self.members();
        if members == *before {
            return;
        }
        self.members_since.set(Instant::now());
        self.state.borrow_mut().forget_entry_order();
        let now = self.started_at.elapsed();
        self.quotas.borrow_mut().handle_owner_change(now);
        let mut positions_held_by_peers = self.positions_held_by_peers.borrow_mut();
        positions_held_by_peers.retain(|node, _| members.get(node).is_some());
    }

    /// Sets the items of the key-value service, which are sent to fronts that start during
    /// a service outage. If `save` is set, also saves them to disk.
    pub fn set_directory_items(&self, items: List<DirectoryItem>, save: bool) {
        if save && items != *self.directory_items.borrow() {
            self.item_writer.save(items.clone());
        }
        *self.directory_items.borrow_mut() = items;
    }

    /// Applies the services and versions of all listed replicas, and saves them to disk if they have
    /// changed.
    pub fn observe_versions(&self, listed: &BTreeSet<(Text, Text)>) {
        self.has_observed_versions.set(true);
        let mut versions = self.service_versions.borrow_mut();
        if versions.observe(listed, self.clock.seconds()) {
            self.item_writer.save_versions(versions.clone());
        }
    }

    /// Returns the versions of a service that were listed recently; none if that is not certain.
    pub fn service_versions_of(&self, service: &str) -> Vec<Text> {
        match self.has_observed_versions.get() {
            true => {
                let versions = self.service_versions.borrow();
                versions.of_service(service, self.clock.seconds())
            }
            false => Vec::new(),
        }
    }

    /// Applies the directory mark in another store's reply to a message that was sent at
    /// `sent`.
    pub fn apply_directory_mark(&self, mark: DirectoryMark, sent: Instant) {
        self.directory.apply_peer_mark(mark, sent);
    }

    /// Sets the directory that is relayed to fronts.
    pub fn set_directory_source(&self, source: Rc<dyn DirectorySource>) {
        *self.directory_source.borrow_mut() = Some(source);
    }

    /// Returns the position after the last record of the journal.
    pub fn journal_end(&self) -> JournalPosition {
        self.state.borrow().journal_end()
    }

    /// Returns the position up to which a peer holds this journal on its own disk.
    pub fn held_by(&self, node: &str) -> JournalPosition {
        self.positions_held_by_peers
            .borrow()
            .get(node)
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether a record is stored.
    pub fn holds(&self, digest: u64) -> bool {
        self.state.borrow().holds(digest)
    }

    /// Stores a record and returns whether it is on disk. A record that is already stored
    /// or being written is not written again, since callers retry while the disk is slow.
    /// Returns `false` if the disk does not accept the record or memory is full.
    pub async fn store_record(&self, record: impl Into<StoredRecord>) -> bool {
        let record = record.into();
        let digest = record.digest();
        if self.holds(digest) {
            return true;
        }
        if self.refusal_at(self.limits.state_bytes).is_some() {
            return false;
        }
        let (waiter, result) = oneshot::channel();
        let existing_ticket = self.tickets.borrow().get(&digest).copied();
        let ticket = existing_ticket.unwrap_or_else(|| self.submit(record));
        if let Some(pending_write) = self.pending_writes.borrow_mut().get_mut(&ticket) {
            pending_write.waiters.push(waiter);
        }
        result.await.unwrap_or(false)
    }

    /// Waits until records of peers may be stored: they leave half of the memory for records
    /// that wait for the disk to the records of fronts.
    pub async fn wait_for_backlog(&self) {
        while self.backlog_bytes.get() >= self.limits.backlog_bytes / 2 {
            self.backlog_shrank.notified().await;
        }
    }

    /// Estimates the memory used by the index, the cache of the newest turns and the broken
    /// streams, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.state.borrow().memory_bytes() + self.broken_streams.borrow().bytes()
    }

    /// Returns why no record can be accepted if the state may use `state_bytes`.
    fn refusal_at(&self, state_bytes: usize) -> Option<Refusal> {
        if self.memory_bytes() >= state_bytes {
            return Some(Refusal::MemoryFull);
        }
        let backlog_is_full = self.backlog_bytes.get() >= self.limits.backlog_bytes;
        backlog_is_full.then_some(Refusal::DiskRefused)
    }

    /// Returns for how long the oldest unfinished write has waited for the disk.
    pub fn write_delay(&self) -> Duration {
        let pending_writes = self.pending_writes.borrow();
        let delays = pending_writes
            .values()
            .map(|pending_write| pending_write.submitted_at.elapsed());
        delays.max().unwrap_or_default()
    }

    /// Returns the number of records that are being written.
    pub fn in_flight_records(&self) -> usize {
        self.pending_writes.borrow().len()
    }

    fn submit(&self, record: StoredRecord) -> u64 {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let bytes = self.journal.append(ticket, &record);
        self.backlog_bytes.set(self.backlog_bytes.get() + bytes);
        self.tickets.borrow_mut().insert(record.digest(), ticket);
        let pending_write = PendingWrite {
            record,
            submitted_at: Instant::now(),
            bytes,
            waiters: Vec::new(),
        };
        self.pending_writes
            .borrow_mut()
            .insert(ticket, pending_write);
        ticket
    }

    /// Processes results of the journal until it closes.
    pub async fn process_journal_results(&self, mut results: UnboundedReceiver<Vec<AppendResult>>) {
        while let Some(batch) = results.recv().await {
            let now = self.clock.seconds();
            for result in batch {
                self.log_disk_state(&result);
                self.complete_write(&result, now);
            }
            let metrics = observe::metrics();
            metrics.records.set(self.journal_end().next as i64);
            let state = self.state.borrow();
            metrics.turn_bytes.set(state.cached_turn_bytes() as i64);
            let entries = state.ledger_entry_count();
            metrics.ledger_entries.set(entries as i64);
        }
    }

    fn log_disk_state(&self, result: &AppendResult) {
        let rejects_writes = result.location.is_none();
        if self.disk_rejects_writes.replace(rejects_writes) == rejects_writes {
            return;
        }
        match rejects_writes {
            true => observe::record_event(Event::DiskRefuses, &format!("ticket={}", result.ticket)),
            false => observe::record_event(Event::DependencyRegained, "disk"),
        }
    }

    fn complete_write(&self, result: &AppendResult, now: u64) {
        let Some(pending_write) = self.pending_writes.borrow_mut().remove(&result.ticket) else {
            return;
        };
        let digest = pending_write.record.digest();
        self.tickets.borrow_mut().remove(&digest);
        let backlog_bytes = self.backlog_bytes.get() - pending_write.bytes;
        self.backlog_bytes.set(backlog_bytes);
        self.backlog_shrank.notify_waiters();
        if let Some(location) = result.location {
            self.state
                .borrow_mut()
                .add(&pending_write.record, location, now);
            let segment = u64::from(location.segment);
            self.update_segment_usage(segment, &pending_write.record, now);
        }
        for waiter in pending_write.waiters {
            let _ = waiter.send(result.location.is_some());
        }
    }

    fn update_segment_usage(&self, number: u64, record: &StoredRecord, now: u64) {
        let mut segments = self.segments.borrow_mut();
        if segments.back().is_none_or(|newest| newest.number != number) {
            segments.push_back(SegmentUsage::new(number));
        }
        if let Some(newest) = segments.back_mut() {
            newest.add(record, now);
        }
    }

    /// Expires segments whose records have passed their retention. Must be called
    /// regularly, because a store without new records has to expire old ones too.
    pub async fn expire_segments(&self) {
        self.expire_segments_at(self.clock_seconds()).await;
    }

    /// Returns the reading of the disk's clock, in seconds.
    pub fn clock_seconds(&self) -> u64 {
        self.clock.seconds()
    }

    /// Expires the segments whose records have passed their retention at this time. Records that
    /// are written again meanwhile are left to the next call.
    pub async fn expire_segments_at(&self, now: u64) {
        if self.is_expiring.replace(true) {
            return;
        }
        let newest = self.segments.borrow().back().map(|segment| segment.number);
        while let Some(segment) = self.expired_segment(now)
            && newest.is_some_and(|newest| segment.number < newest)
        {
            match self.reader.segment(segment.number).await {
                Ok(mut records) if records.len() >= segment.records => {
                    // Further records were never acknowledged because their write failed.
                    records.truncate(segment.records);
                    self.expire_segment(segment, records, now);
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
        self.is_expiring.set(false);
    }

    /// Returns the oldest segment if it has expired.
    fn expired_segment(&self, now: u64) -> Option<SegmentUsage> {
        let segments = self.segments.borrow();
        let oldest = segments.front()?;
        oldest.has_expired(now).then_some(*oldest)
    }

    fn expire_segment(&self, segment: SegmentUsage, records: Vec<StoredRecord>, now: u64) {
        self.segments.borrow_mut().pop_front();
        let retained = self.state.borrow_mut().expire(records, now);
        for record in retained {
            self.submit(record);
        }
        // The journal handles commands in order, so the copies are written before the
        // removal.
        self.journal.remove(segment.number);
    }
}
