//! Answers fronts and other stores.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::sync::Arc;

use stageyoke_directory::{
    AgeLimits, DirectoryMark, DirectorySource, Freshness, GroupNumber, Members, StoreGroups,
};
use stageyoke_observe as observe;
use stageyoke_types::{Event, List, Text};
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::Instant;

use crate::clock::DiskClock;
use crate::completeness::Completeness;
use crate::frame;
use crate::journal::{Appended, Journal};
use crate::keys::TurnKey;
use crate::limits::StoreLimits;
use crate::load::{LoadReports, PlacedTurns};
use crate::message::{
    ChainPart, JournalPosition, Numbered, OthersReport, Placement, Record, RecordDigest, Refusal,
    Reply, Request, SeenItem, TurnRecord,
};
use crate::reader::RecordReader;
use crate::relay;
use crate::segment::{DataFolder, Recovered, SegmentUse};
use crate::socket;
use crate::standing::Standing;
use crate::state::{ChainStep, State};

/// Requests of one connection that are answered at once; more wait in the
/// sockets. Fronts have some tens under way with a store.
const MOST_UNDER_WAY: usize = 128;

/// A record on its way to the disk, and who waits for it.
struct Submitted {
    record: Record,
    bytes: usize,
    waiting: Vec<oneshot::Sender<bool>>,
}

/// A store's state with its journal; shared by the tasks of the process.
pub struct Keeper {
    /// Machine name of this store.
    pub node: Text,
    state: RefCell<State>,
    limits: StoreLimits,
    journal: Journal,
    reader: RecordReader,
    clock: DiskClock,
    waiting_bytes: Cell<usize>,
    expiring: Cell<bool>,
    submitted: RefCell<HashMap<u64, Submitted>>,
    tickets: RefCell<HashMap<RecordDigest, u64>>,
    segments: RefCell<VecDeque<SegmentUse>>,
    next_ticket: Cell<u64>,
    disk_refuses: Cell<bool>,
    standing: RefCell<Standing>,
    members_since: Cell<Instant>,
    items: RefCell<List<SeenItem>>,
    loads: LoadReports,
    placed: RefCell<PlacedTurns>,
    held_by_peers: RefCell<HashMap<Text, JournalPosition>>,
    directory: Rc<Freshness>,
    source: RefCell<Option<Rc<dyn DirectorySource>>>,
}

impl Keeper {
    /// Goes on from what a start found; the second part are the journal's
    /// results, to be given to `collect`.
    pub fn open(
        node: Text,
        folder: DataFolder,
        recovered: Recovered,
        limits: StoreLimits,
    ) -> io::Result<(Self, UnboundedReceiver<Vec<Appended>>)> {
        let clock = DiskClock::from(recovered.clock);
        let reader = RecordReader::start(folder.clone())?;
        let next_segment = recovered.next_segment();
        let (journal, results) = Journal::start(folder, next_segment, limits.segment_bytes, clock)?;
        let mut state = recovered.state;
        state.keep_recent(limits.recent_bytes);
        let stores = recovered.stores.unwrap_or_default();
        let standing = Standing::new(node.clone(), stores, recovered.completeness);
        let keeper = Self {
            node,
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
            members_since: Cell::new(Instant::now()),
            items: RefCell::default(),
            loads: LoadReports::default(),
            placed: RefCell::default(),
            held_by_peers: RefCell::default(),
            directory: Rc::new(Freshness::new(AgeLimits::default(), false)),
            source: RefCell::default(),
        };
        Ok((keeper, results))
    }

    /// The same store, telling fronts how fresh this directory is.
    pub fn following(self, directory: Rc<Freshness>) -> Self {
        Self { directory, ..self }
    }

    /// Whether this store holds everything that it ever acknowledged as a
    /// member of its group; before there are groups, of any.
    pub fn complete(&self) -> bool {
        self.standing.borrow().complete()
    }

    /// Declares the store complete for its group, for this life and the next.
    pub fn set_complete(&self) {
        let mark = self.standing.borrow_mut().declare_complete();
        self.mark_complete(mark);
    }

    fn mark_complete(&self, mark: Option<Completeness>) {
        if let Some(completeness) = mark {
            self.journal.mark_complete(completeness);
        }
    }

    /// Whether this store is being emptied.
    pub fn leaving(&self) -> bool {
        self.standing.borrow().leaving()
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

    /// Takes newer store groups.
    pub fn set_stores(&self, stores: Rc<StoreGroups>) {
        let before = self.members();
        if !self.standing.borrow_mut().follow(stores) {
            return;
        }
        self.journal.save_stores(&self.stores());
        self.follow_members(&before);
        let mark = self.standing.borrow_mut().settle_completeness();
        self.mark_complete(mark);
    }

    /// A store that is no member of any group fills up for this one.
    pub fn fill_up_for(&self, group: Option<GroupNumber>) {
        let before = self.members();
        self.standing.borrow_mut().fill_up_for(group);
        self.follow_members(&before);
    }

    fn follow_members(&self, before: &Members) {
        let members = self.members();
        if members == *before {
            return;
        }
        self.members_since.set(Instant::now());
        let mut held_by_peers = self.held_by_peers.borrow_mut();
        held_by_peers.retain(|node, _| members.get(node).is_some());
    }

    /// Takes the items of the key-value service, to hand them to fronts that
    /// start while it is down; `keep` also puts them on the disk.
    pub fn set_items(&self, items: List<SeenItem>, keep: bool) {
        if keep && items != *self.items.borrow() {
            self.journal.save_items(items.clone());
        }
        *self.items.borrow_mut() = items;
    }

    /// Another store told how fresh its directory is, in answer to a message
    /// that was sent at `sent`.
    pub fn hear_directory(&self, mark: DirectoryMark, sent: Instant) {
        self.directory.hear(mark, sent);
    }

    /// The directory that this store tells others of.
    pub fn telling(&self, source: Rc<dyn DirectorySource>) {
        *self.source.borrow_mut() = Some(source);
    }

    fn tell_changes(&self, after: u64) -> Reply {
        let source = self.source.borrow();
        let told = source
            .as_ref()
            .and_then(|source| source.tell_changes(after));
        told.map_or(Reply::DirectoryUnknown, relay::changes_reply)
    }

    async fn tell_routes(&self) -> Reply {
        let source = self.source.borrow().clone();
        let Some(source) = source else {
            return Reply::DirectoryUnknown;
        };
        let told = source.tell_routes().await;
        told.map_or(Reply::DirectoryUnknown, relay::routes_reply)
    }

    fn tell_directory(&self) -> Reply {
        let source = self.source.borrow();
        let told = source.as_ref().and_then(|source| source.tell_items());
        told.map_or(Reply::DirectoryUnknown, relay::directory_reply)
    }

    /// Position at the end of the journal.
    pub fn end(&self) -> JournalPosition {
        self.state.borrow().end()
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
    pub async fn keep(&self, record: Record) -> bool {
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
    pub fn memory(&self) -> usize {
        self.state.borrow().memory()
    }

    /// Why nothing more is taken where the index may have so many bytes.
    fn no_room_below(&self, state_bytes: usize) -> Option<Refusal> {
        if self.memory() >= state_bytes {
            return Some(Refusal::MemoryFull);
        }
        let backlog_is_full = self.waiting_bytes.get() >= self.limits.backlog_bytes;
        backlog_is_full.then_some(Refusal::DiskRefused)
    }

    /// Records on their way to the disk.
    pub fn under_way(&self) -> usize {
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
    pub async fn collect(&self, mut results: UnboundedReceiver<Vec<Appended>>) {
        while let Some(batch) = results.recv().await {
            let now = self.clock.seconds();
            for appended in batch {
                self.tell_of_disk(&appended);
                self.finish(&appended, now);
            }
            let metrics = observe::metrics();
            metrics.records.set(self.end().next as i64);
            metrics.complete.set(i64::from(self.complete()));
            let state = self.state.borrow();
            metrics.turn_bytes.set(state.turn_bytes() as i64);
            let entries = state.ledger_entries_held();
            metrics.ledger_entries.set(entries as i64);
        }
    }

    fn tell_of_disk(&self, appended: &Appended) {
        let refuses = appended.place.is_none();
        if self.disk_refuses.replace(refuses) == refuses {
            return;
        }
        match refuses {
            true => observe::event(Event::DiskRefuses, &format!("ticket={}", appended.ticket)),
            false => observe::event(Event::DependencyRegained, "disk"),
        }
    }

    fn finish(&self, appended: &Appended, now: u64) {
        let Some(submitted) = self.submitted.borrow_mut().remove(&appended.ticket) else {
            return;
        };
        let digest = submitted.record.digest();
        self.tickets.borrow_mut().remove(&digest);
        let waiting_bytes = self.waiting_bytes.get() - submitted.bytes;
        self.waiting_bytes.set(waiting_bytes);
        if let Some(place) = appended.place {
            self.state.borrow_mut().add(&submitted.record, place, now);
            self.count_in_segment(u64::from(place.segment), now);
        }
        for waiting in submitted.waiting {
            let _ = waiting.send(appended.place.is_some());
        }
    }

    fn count_in_segment(&self, number: u64, now: u64) {
        let mut segments = self.segments.borrow_mut();
        match segments.back_mut() {
            Some(segment) if segment.number == number => {
                segment.records += 1;
                segment.last_write = now;
            }
            _ => segments.push_back(SegmentUse {
                number,
                records: 1,
                last_write: now,
            }),
        }
    }

    /// Forgets what is past its time, one segment after the other. Called
    /// regularly: a store that takes nothing new must forget all the same.
    pub async fn expire(&self) {
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
                    observe::event(Event::SegmentUnreadable, &detail);
                    break;
                }
                Err(error) => {
                    let detail = format!("segment={} error={error}", segment.number);
                    observe::event(Event::SegmentUnreadable, &detail);
                    break;
                }
            }
        }
        self.expiring.set(false);
    }

    /// The oldest segment, if it is past its time and not the newest.
    fn expired_segment(&self) -> Option<SegmentUse> {
        let segments = self.segments.borrow();
        let oldest = segments.front().filter(|_| segments.len() > 1)?;
        let kept_until = oldest.last_write + self.state.borrow().longest_keep();
        (kept_until <= self.clock.seconds()).then_some(*oldest)
    }

    fn forget(&self, segment: SegmentUse, records: Vec<Record>) {
        self.segments.borrow_mut().pop_front();
        let now = self.clock.seconds();
        let again = self.state.borrow_mut().expire(records, now);
        for record in again {
            self.submit(record);
        }
        // The journal works in order: the copies are written before this.
        self.journal.remove(segment.number);
    }

    /// Answers one request.
    pub async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Append {
                group,
                members_version,
                load,
                placement,
                record,
            } => {
                self.loads.take(load.clone());
                self.count_turn(&record, placement);
                self.append(group, members_version, load.front, record)
                    .await
            }
            Request::Placed { turn, placement } => {
                self.placed.borrow_mut().begin(turn, placement);
                Reply::Pong
            }
            Request::Ended { turn } => {
                self.placed.borrow_mut().end(turn);
                Reply::Pong
            }
            Request::Chain {
                group,
                members_version,
                turn,
            } => self.chain(group, members_version, &turn).await,
            Request::Digests {
                group,
                members_version,
                node,
                from,
                held,
            } => {
                self.held_by_peers.borrow_mut().insert(node, held);
                let directory = self.directory.mark();
                let standing = self.standing.borrow().for_peer(group, members_version);
                self.state.borrow().digests(from, standing, directory)
            }
            Request::Ping => Reply::Pong,
            Request::Changes { after } => self.tell_changes(after),
            Request::Routes => self.tell_routes().await,
            Request::Directory => self.tell_directory(),
            Request::Items => Reply::Items(self.items.borrow().clone()),
            Request::Fetch { digests } => self.fetch(&digests).await,
        }
    }

    /// Records by their digests; those that can't be read are left out, and the
    /// asker, which still misses them, asks again or elsewhere.
    async fn fetch(&self, digests: &[RecordDigest]) -> Reply {
        let places = self.state.borrow().places(digests);
        let read = self.reader.records(places).await;
        Reply::Records(read.into_iter().filter_map(Result::ok).collect())
    }

    /// The chain that ends in a turn. A turn that is held and can't be read is
    /// never told as missing: the caller must ask another store.
    async fn chain(&self, group: GroupNumber, members_version: u64, turn: &Text) -> Reply {
        let complete = {
            let standing = self.standing.borrow();
            standing.vouches_for(group, members_version)
        };
        let refusal = self.standing.borrow().refusal(group, members_version);
        let steps = self.state.borrow().chain(turn);
        let Some(parts) = self.read_chain(turn, steps).await else {
            return Reply::Refused(Refusal::DiskRefused);
        };
        if parts.is_empty()
            && let Some(Reply::StaleMembers(newer)) = refusal
        {
            return Reply::StaleMembers(newer);
        }
        let missing = parts.last().map_or(turn, |last| &last.previous).clone();
        Reply::Chain {
            complete,
            parts: List(parts),
            missing,
        }
    }

    /// The parts of a chain, those from the disk in one go; `None` if one can't
    /// be read or is another turn than the one before it names.
    async fn read_chain(&self, turn: &Text, steps: Vec<ChainStep>) -> Option<Vec<ChainPart>> {
        let places = steps.iter().filter_map(|step| match step {
            ChainStep::OnDisk(place) => Some(*place),
            ChainStep::Known(_) => None,
        });
        let places: Vec<_> = places.collect();
        let read = match places.is_empty() {
            true => Vec::new(),
            false => self.reader.records(places).await,
        };
        let mut read = read.into_iter();
        let mut parts = Vec::new();
        let mut expected = turn.clone();
        for step in steps {
            let part = match step {
                ChainStep::Known(part) => part,
                ChainStep::OnDisk(_) => part_of(read.next()?.ok()?)?,
            };
            if part.turn != expected {
                return None;
            }
            expected = part.previous.clone();
            parts.push(part);
        }
        Some(parts)
    }

    async fn append(
        &self,
        group: GroupNumber,
        members_version: u64,
        front: u32,
        record: Record,
    ) -> Reply {
        let refusal = self.standing.borrow().refusal(group, members_version);
        if let Some(refusal) = refusal {
            return refusal;
        }
        if let Some(refusal) = self.no_room_for(&record) {
            return Reply::Refused(refusal);
        }
        let reserved = match &record {
            Record::Reserve { program, turn, .. } => Some((program.clone(), TurnKey::of(turn))),
            Record::Settle { .. } | Record::Turn(_) | Record::Clock { .. } => None,
        };
        if !self.keep(record).await {
            return Reply::Refused(Refusal::DiskRefused);
        }
        let (ledger, others) = match reserved {
            Some((program, TurnKey(turn))) => (
                self.state.borrow().ledger_entries(&program),
                OthersReport {
                    placed: self.placed.borrow_mut().others(turn),
                    ..self.loads.of_others(front)
                },
            ),
            None => Default::default(),
        };
        Reply::Kept {
            complete: self.standing.borrow().complete_for(group),
            ledger,
            others,
            directory: self.directory.mark(),
        }
    }

    /// Counts the turn that a record begins or ends.
    fn count_turn(&self, record: &Record, placement: Option<Placement>) {
        let mut placed = self.placed.borrow_mut();
        match (record, placement) {
            (Record::Reserve { turn, .. }, Some(placement)) => {
                placed.begin(TurnKey::of(turn).0, placement);
            }
            (Record::Settle { turn, .. }, _) => placed.end(TurnKey::of(turn).0),
            (Record::Turn(record), _) => placed.end(TurnKey::of(&record.turn).0),
            (Record::Reserve { .. } | Record::Clock { .. }, _) => {}
        }
    }

    /// Why this record is not taken. New turns are refused before the ends of
    /// those that have begun, so that these can still be kept.
    fn no_room_for(&self, record: &Record) -> Option<Refusal> {
        let most = match record {
            Record::Reserve { .. } => self.limits.reserve_below(),
            Record::Settle { .. } | Record::Turn(_) => self.limits.state_bytes,
            // A store's own; no caller may send it.
            Record::Clock { .. } => return Some(Refusal::NotActive),
        };
        self.no_room_below(most)
    }
}

/// Accepts connections for ever.
pub async fn serve(keeper: Rc<Keeper>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                socket::configure(&stream);
                tokio::task::spawn_local(serve_connection(keeper.clone(), stream));
            }
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn serve_connection(keeper: Rc<Keeper>, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let (replies, outbox) = unbounded_channel();
    let sending = tokio::task::spawn_local(frame::write_waiting(writer, outbox));
    let under_way = Arc::new(Semaphore::new(MOST_UNDER_WAY));
    let mut reader = BufReader::new(reader);
    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
        let Ok(room) = under_way.clone().acquire_owned().await else {
            break;
        };
        let answering = answer_one(keeper.clone(), request, room, replies.clone());
        tokio::task::spawn_local(answering);
    }
    sending.abort();
}

/// An encoded reply. It holds its part of the connection's room until it is
/// written.
struct Outgoing {
    bytes: Vec<u8>,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Outgoing {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

async fn answer_one(
    keeper: Rc<Keeper>,
    request: Numbered<Request>,
    room: OwnedSemaphorePermit,
    replies: UnboundedSender<Outgoing>,
) {
    let content = keeper.answer(request.content).await;
    let reply = Numbered {
        number: request.number,
        content,
    };
    let bytes = frame::encode(&reply);
    let _ = replies.send(Outgoing { bytes, _room: room });
}

/// The part of a chain that a record is.
fn part_of(record: Record) -> Option<ChainPart> {
    match record {
        Record::Turn(TurnRecord {
            turn,
            previous,
            input,
            output,
            ..
        }) => Some(ChainPart {
            turn,
            previous,
            input,
            output,
        }),
        Record::Reserve { .. } | Record::Settle { .. } | Record::Clock { .. } => None,
    }
}
