//! Answers fronts and other stores.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;

use stageyoke_directory::{AgeLimits, DirectoryMark, Freshness, MemberState, Members};
use stageyoke_observe as observe;
use stageyoke_types::{Event, List, Text};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::frame;
use crate::journal::{Appended, Journal};
use crate::load::LoadReports;
use crate::message::{
    JournalPosition, LoadReport, Numbered, Record, RecordDigest, Refusal, Reply, Request, SeenItem,
};
use crate::segment::Recovered;
use crate::socket;
use crate::state::State;

/// Versions by which a caller's member list may lag: neighbouring versions
/// have intersecting quorums.
const MEMBERS_VERSION_SLACK: u64 = 1;

/// A record on its way to the disk, and who waits for it.
struct Submitted {
    record: Record,
    waiting: Vec<oneshot::Sender<bool>>,
}

#[derive(Debug)]
struct SegmentUse {
    number: u64,
    records: usize,
    last_write: u64,
}

/// A store's state with its journal; shared by the tasks of the process.
pub struct Keeper {
    /// Machine name of this store.
    pub node: Text,
    state: RefCell<State>,
    journal: Journal,
    submitted: RefCell<HashMap<u64, Submitted>>,
    tickets: RefCell<HashMap<RecordDigest, u64>>,
    segments: RefCell<VecDeque<SegmentUse>>,
    next_ticket: Cell<u64>,
    complete: Cell<bool>,
    disk_refuses: Cell<bool>,
    members: RefCell<Rc<Members>>,
    items: RefCell<List<SeenItem>>,
    loads: LoadReports,
    held_by_peers: RefCell<HashMap<Text, JournalPosition>>,
    started: Instant,
    directory: Rc<Freshness>,
}

impl Keeper {
    /// Builds the state from what a start found.
    pub fn new(node: Text, journal: Journal, recovered: Recovered) -> Self {
        let mut state = State::new(recovered.disk);
        let mut segments = VecDeque::new();
        for (number, records) in &recovered.segments {
            for record in records {
                state.add(record, 0);
            }
            segments.push_back(SegmentUse {
                number: *number,
                records: records.len(),
                last_write: 0,
            });
        }
        Self {
            node,
            state: RefCell::new(state),
            journal,
            submitted: RefCell::default(),
            tickets: RefCell::default(),
            segments: RefCell::new(segments),
            next_ticket: Cell::new(0),
            complete: Cell::new(recovered.complete),
            disk_refuses: Cell::new(false),
            members: RefCell::new(Rc::new(recovered.members.unwrap_or_default())),
            items: RefCell::default(),
            loads: LoadReports::default(),
            held_by_peers: RefCell::default(),
            started: Instant::now(),
            directory: Rc::new(Freshness::new(AgeLimits::default(), false)),
        }
    }

    /// The same store, telling fronts how fresh this directory is.
    pub fn following(self, directory: Rc<Freshness>) -> Self {
        Self { directory, ..self }
    }

    /// Whether this store holds everything that it ever acknowledged.
    pub fn complete(&self) -> bool {
        self.complete.get()
    }

    /// Declares the store complete, for this life and the next.
    pub fn set_complete(&self) {
        if !self.complete.replace(true) {
            self.journal.mark_complete();
        }
    }

    /// Whether this store is being emptied.
    pub fn leaving(&self) -> bool {
        self.members()
            .get(&self.node)
            .is_some_and(|member| member.state == MemberState::Leaving)
    }

    /// The member list that this store goes by.
    pub fn members(&self) -> Rc<Members> {
        self.members.borrow().clone()
    }

    /// Takes a newer member list.
    pub fn set_members(&self, members: Rc<Members>) {
        if members.version > self.members().version {
            self.journal.save_members(&members);
            *self.members.borrow_mut() = members;
        }
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
    /// slow disk has not answered yet. True once it is on the disk.
    pub async fn keep(&self, record: Record) -> bool {
        let digest = record.digest();
        if self.holds(digest) {
            return true;
        }
        let (done, result) = oneshot::channel();
        let under_way = self.tickets.borrow().get(&digest).copied();
        let ticket = under_way.unwrap_or_else(|| self.submit(record));
        if let Some(submitted) = self.submitted.borrow_mut().get_mut(&ticket) {
            submitted.waiting.push(done);
        }
        result.await.unwrap_or(false)
    }

    /// Records on their way to the disk.
    pub fn under_way(&self) -> usize {
        self.submitted.borrow().len()
    }

    fn submit(&self, record: Record) -> u64 {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        self.journal.append(ticket, &record);
        self.tickets.borrow_mut().insert(record.digest(), ticket);
        let submitted = Submitted {
            record,
            waiting: Vec::new(),
        };
        self.submitted.borrow_mut().insert(ticket, submitted);
        ticket
    }

    /// Takes the journal's results for ever.
    pub async fn collect(&self, mut results: UnboundedReceiver<Vec<Appended>>) {
        while let Some(batch) = results.recv().await {
            let now = self.seconds();
            for appended in batch {
                self.tell_of_disk(&appended);
                self.finish(&appended, now);
            }
            self.expire(now);
            let metrics = stageyoke_observe::metrics();
            metrics.records.set(self.end().next as i64);
            metrics.complete.set(i64::from(self.complete()));
            let state = self.state.borrow();
            metrics.turn_bytes.set(state.turn_bytes() as i64);
            let entries = state.ledger_entries_held();
            metrics.ledger_entries.set(entries as i64);
        }
    }

    fn tell_of_disk(&self, appended: &Appended) {
        let refuses = appended.segment.is_none();
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
        if let Some(segment) = appended.segment {
            self.state.borrow_mut().add(&submitted.record, now);
            self.count_in_segment(segment, now);
        }
        for waiting in submitted.waiting {
            let _ = waiting.send(appended.segment.is_some());
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

    fn expire(&self, now: u64) {
        let oldest = {
            let segments = self.segments.borrow();
            match segments.front() {
                Some(segment) if segments.len() > 1 => {
                    (segment.number, segment.records, segment.last_write)
                }
                _ => return,
            }
        };
        let (number, records, last_write) = oldest;
        if last_write + self.state.borrow().longest_keep() > now {
            return;
        }
        self.segments.borrow_mut().pop_front();
        let again = self.state.borrow_mut().expire(records, now);
        for record in again {
            self.submit(record);
        }
        // The journal works in order: the copies are written before this.
        self.journal.remove(number);
    }

    fn seconds(&self) -> u64 {
        self.started.elapsed().as_secs()
    }

    /// Answers one request.
    pub async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Append {
                members_version,
                load,
                record,
            } => self.append(members_version, load, record).await,
            Request::Chain { turn } => self.state.borrow().chain(&turn, self.complete()),
            Request::Digests { node, from, held } => {
                self.held_by_peers.borrow_mut().insert(node, held);
                let directory = self.directory.mark();
                let state = self.state.borrow();
                state.digests(from, self.complete(), directory)
            }
            Request::Ping => Reply::Pong,
            Request::Items => Reply::Items(self.items.borrow().clone()),
            Request::Fetch { digests } => Reply::Records(self.state.borrow().fetch(&digests)),
        }
    }

    async fn append(&self, members_version: u64, load: LoadReport, record: Record) -> Reply {
        let front = load.front;
        self.loads.take(load);
        if let Some(refusal) = self.refusal(members_version) {
            return refusal;
        }
        let program = match &record {
            Record::Reserve { program, .. } => Some(program.clone()),
            Record::Settle { .. } | Record::Turn(_) => None,
        };
        if !self.keep(record).await {
            return Reply::Refused(Refusal::DiskRefused);
        }
        let (ledger, others) = match program {
            Some(program) => (
                self.state.borrow().ledger_entries(&program),
                self.loads.of_others(front),
            ),
            None => Default::default(),
        };
        Reply::Kept {
            complete: self.complete(),
            ledger,
            others,
            directory: self.directory.mark(),
        }
    }

    /// Why a caller with this version of the member list gets no record kept.
    fn refusal(&self, members_version: u64) -> Option<Reply> {
        let members = self.members();
        if members_version + MEMBERS_VERSION_SLACK < members.version {
            return Some(Reply::StaleMembers((*members).clone()));
        }
        let active = members
            .get(&self.node)
            .is_some_and(|member| member.state == MemberState::Active);
        (!active).then_some(Reply::Refused(Refusal::NotActive))
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
    let sending = tokio::task::spawn_local(send_replies(writer, outbox));
    let mut reader = BufReader::new(reader);
    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
        tokio::task::spawn_local(answer_one(keeper.clone(), request, replies.clone()));
    }
    sending.abort();
}

async fn answer_one(
    keeper: Rc<Keeper>,
    request: Numbered<Request>,
    replies: UnboundedSender<Vec<u8>>,
) {
    let content = keeper.answer(request.content).await;
    let reply = Numbered {
        number: request.number,
        content,
    };
    let _ = replies.send(frame::encode(&reply));
}

/// Writes what waits in one go.
pub async fn send_replies(
    mut writer: impl AsyncWriteExt + Unpin,
    mut outbox: UnboundedReceiver<Vec<u8>>,
) -> io::Result<()> {
    while let Some(mut bytes) = outbox.recv().await {
        while let Ok(more) = outbox.try_recv() {
            bytes.extend_from_slice(&more);
        }
        writer.write_all(&bytes).await?;
    }
    Ok(())
}
