//! Synchronizes a store's records with its peers: compares digests and fetches missing
//! records. An incomplete store fetches them at once, a complete one only if they are still
//! missing a round later.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, Members, Tolerance, TransferTimeouts};
use stageyoke_types::{Event, List, Text};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::catch_up_monitor::CatchUpProgress;
use crate::client::{ExtendedReply, StoreClient};
use crate::journal_sync::{DigestPage, JournalSync};
use crate::local_store::LocalStore;
use crate::membership::is_caught_up_with_group;
use crate::message::{Record, RecordDigest, Reply, Request, SilentPeer};
use crate::record_fetch::{FetchesInFlight, PageInFlight, PageSize};
use crate::stored_record::{StoredRecord, UNKNOWN_RETENTION};
use stageyoke_observe as observe;

/// Interval between comparisons with a peer.
pub const COMPARISON_INTERVAL: Duration = Duration::from_millis(1000);
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// Timeouts of a call to a peer. The transfer of a page of records may be slow.
const CALL_TIMEOUTS: TransferTimeouts = TransferTimeouts {
    idle: Duration::from_millis(1500),
    total: Duration::from_secs(10),
};
/// Time for which a peer's report on unresponsive members is used: slightly more than a
/// round.
const SILENCE_REPORT_TTL: Duration = Duration::from_millis(1500);

/// Connection to a peer, with its synchronization state.
pub struct Peer {
    client: StoreClient,
    journal_sync: RefCell<JournalSync>,
    last_answer: Cell<Option<Instant>>,
    /// Members that did not answer the peer, as of its latest answer.
    silent: RefCell<List<SilentPeer>>,
    page_size: PageSize,
    since: Instant,
}

impl Peer {
    fn answered_recently(&self) -> bool {
        let at = self.last_answer.get();
        at.is_some_and(|at| at.elapsed() < SILENCE_REPORT_TTL)
    }

    fn reported_silence_of(&self, node: &str) -> Duration {
        let silent = self.silent.borrow();
        let mut silent = silent.iter();
        let report = silent.find(|silent| silent.node.as_str() == node);
        report.map_or(Duration::ZERO, |report| {
            Duration::from_millis(u64::from(report.silent_milliseconds))
        })
    }
}

/// Peers of this store.
pub struct Peers {
    local_store: Rc<LocalStore>,
    tolerance: Tolerance,
    peers: RefCell<HashMap<Text, Rc<Peer>>>,
    fetches: FetchesInFlight,
    /// Version of the member list in use.
    followed_version: Cell<u64>,
    group: Cell<Option<GroupNumber>>,
    member_list_changed: Notify,
}

impl Peers {
    /// Creates an empty set of peers.
    pub fn new(local_store: Rc<LocalStore>, tolerance: Tolerance) -> Self {
        Self {
            local_store,
            tolerance,
            peers: RefCell::default(),
            fetches: FetchesInFlight::default(),
            followed_version: Cell::new(0),
            group: Cell::new(None),
            member_list_changed: Notify::new(),
        }
    }

    /// Applies a member list: starts to compare records with new peers and drops removed
    /// ones.
    pub fn update_members(self: &Rc<Self>, members: &Members) {
        if self.followed_version.replace(members.version) != members.version {
            self.member_list_changed.notify_waiters();
        }
        let group = self.local_store.group();
        if self.group.replace(group) != group {
            // Versions of another group's member list are not comparable.
            self.peers.borrow_mut().clear();
        }
        let mut peers = self.peers.borrow_mut();
        peers.retain(|node, peer| {
            members
                .get(node)
                .is_some_and(|member| member.address.as_str() == peer.client.address())
        });
        for member in members.all() {
            if member.node == self.local_store.node || peers.contains_key(&member.node) {
                continue;
            }
            let peer = Rc::new(Peer {
                client: StoreClient::new(&member.address),
                journal_sync: RefCell::default(),
                last_answer: Cell::new(None),
                silent: RefCell::default(),
                page_size: PageSize::default(),
                since: Instant::now(),
            });
            peers.insert(member.node.clone(), peer.clone());
            let weak = Rc::downgrade(&peer);
            let all_peers = self.clone();
            drop(peer);
            tokio::task::spawn_local(async move {
                while let Some(peer) = weak.upgrade() {
                    let delay = all_peers.run_round(&peer).await;
                    drop(peer);
                    // Starts the next round early after a change of the member list, which
                    // waits for comparisons under the new list.
                    let _ =
                        tokio::time::timeout(delay, all_peers.member_list_changed.notified()).await;
                }
            });
        }
    }

    /// Time since this peer's last answer, or since data was last received from it.
    pub fn silent_for(&self, node: &str) -> Option<Duration> {
        let peers = self.peers.borrow();
        let peer = peers.get(node)?;
        let answered_at = peer.last_answer.get().unwrap_or(peer.since);
        let received_at = peer.client.receive_progress().last_received_at();
        Some(received_at.max(Some(answered_at))?.elapsed())
    }

    /// Time for which the member on this machine has not answered the peers of this store;
    /// `None` without a recent report. The shortest reported time counts.
    pub fn reported_silent_for(&self, node: &str) -> Option<Duration> {
        let peers = self.peers.borrow();
        let other_peers = peers.iter().filter(|(other, _)| other.as_str() != node);
        let other_peers = other_peers.filter(|(_, peer)| peer.answered_recently());
        other_peers
            .map(|(_, peer)| peer.reported_silence_of(node))
            .min()
    }

    /// Checks whether, since the start of this process, all records of the peer have been
    /// stored locally while the peer used at least this version of the member list.
    pub fn is_caught_up_with(&self, node: &str, members_version: u64) -> bool {
        self.check_journal_sync(node, |journal_sync| {
            journal_sync.is_caught_up_at(members_version)
        })
    }

    /// Checks whether all records are stored locally that the peer held when it already used
    /// this version of the member list.
    pub fn is_in_sync_with(&self, node: &str, members_version: u64) -> bool {
        self.check_journal_sync(node, |journal_sync| {
            journal_sync.is_in_sync(members_version)
        })
    }

    fn check_journal_sync(&self, node: &str, holds: impl Fn(&JournalSync) -> bool) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(node);
        peer.is_some_and(|peer| holds(&peer.journal_sync.borrow()))
    }

    /// Returns how far this store is from holding every record of its group.
    pub fn catch_up_progress(&self) -> CatchUpProgress {
        let peers = self.peers.borrow();
        let missing = peers.values().map(|peer| {
            let journal_sync = peer.journal_sync.borrow();
            journal_sync.missing_count()
        });
        CatchUpProgress {
            complete: self.local_store.group().is_none() || self.local_store.is_complete(),
            missing_records: missing.max().unwrap_or(0),
            failed_fetches: observe::metrics().failed_fetches.get(),
        }
    }

    async fn run_round(&self, peer: &Peer) -> Duration {
        match self.compare_page(peer).await {
            Some(true) => CATCH_UP_INTERVAL,
            Some(false) if self.is_urgent() => CATCH_UP_INTERVAL,
            Some(false) | None => COMPARISON_INTERVAL,
        }
    }

    /// Checks whether a replaced disk, a pending change of the member list or a joining store
    /// waits for the comparisons. Until they are done, the group may not tolerate another
    /// loss.
    fn is_urgent(&self) -> bool {
        let members = self.local_store.members();
        let is_member = members.get(&self.local_store.node).is_some();
        !is_member || !self.local_store.is_complete() || !members.is_settled()
    }

    /// Compares one page of digests; returns whether the peer's journal continues after it.
    async fn compare_page(&self, peer: &Peer) -> Option<bool> {
        let group = self.local_store.group()?;
        self.fetch_missing(peer).await?;
        peer.journal_sync.borrow_mut().mark_fetched();
        let request = Request::Digests {
            group,
            members_version: self.local_store.members().version,
            node: self.local_store.node.clone(),
            from: peer.journal_sync.borrow().position(),
            held: peer.journal_sync.borrow().held_position(),
        };
        let sent_at = Instant::now();
        let reply = self.call(peer, request).await?;
        let Reply::Digests {
            next,
            more,
            complete,
            members_version,
            directory,
            silent,
            digests,
        } = reply
        else {
            return None;
        };
        self.local_store.apply_directory_mark(directory, sent_at);
        self.send_newer_stores(peer, members_version).await;
        peer.silent.replace(silent);
        let page = DigestPage {
            digests: &digests,
            next,
            more,
            complete,
            members_version,
        };
        let holds = |digest| self.local_store.holds(digest);
        peer.journal_sync.borrow_mut().apply_page(page, holds);
        if !self.local_store.is_complete() || !peer.journal_sync.borrow().is_caught_up() {
            self.fetch_missing(peer).await?;
        }
        peer.journal_sync.borrow_mut().mark_page_end();
        self.update_completeness();
        Some(more)
    }

    /// Sends the store groups to a peer with an older member list: the pending change waits
    /// for it, and the key-value service may be rejecting its requests.
    async fn send_newer_stores(&self, peer: &Peer, peer_version: u64) {
        let members = self.local_store.members();
        if peer_version >= members.version || members.get(&self.local_store.node).is_none() {
            return;
        }
        let request = Request::NewerStoreGroups((*self.local_store.stores()).clone());
        // Not retried here: the next comparison sends it again.
        let _ = self.call(peer, request).await;
    }

    /// Fetches the records of the peer that are missing locally. Records that the peer
    /// doesn't return, or that are being fetched from another peer, stay missing and are
    /// requested again in the next round.
    async fn fetch_missing(&self, peer: &Peer) -> Option<()> {
        let holds = |digest| self.local_store.holds(digest);
        let missing = || peer.journal_sync.borrow_mut().missing_digests(holds);
        let mut queue = VecDeque::from(missing());
        let mut outcome = Some(());
        while outcome.is_some() && !queue.is_empty() {
            let max_records = peer.page_size.records();
            let page = self.fetches.take_page(&mut queue, max_records, holds);
            if page.digests().is_empty() {
                break;
            }
            let unsettled = self.fetch_page(peer, &page).await;
            outcome = unsettled.map(|unsettled| {
                unsettled
                    .into_iter()
                    .rev()
                    .for_each(|digest| queue.push_front(digest));
            });
        }
        missing();
        outcome
    }

    /// Fetches and stores one page of records; returns the digests to request again, since
    /// the peer limits the size of its replies.
    async fn fetch_page(&self, peer: &Peer, page: &PageInFlight<'_>) -> Option<Vec<RecordDigest>> {
        let request = Request::Fetch {
            digests: List(page.digests().to_vec()),
        };
        let progress = peer.client.receive_progress();
        let received_before = progress.bytes();
        let answer = self.call_with_fields(peer, request).await;
        let Some(ExtendedReply {
            reply:
                Reply::Fetched {
                    journal,
                    records,
                    expired,
                },
            extension_fields,
        }) = answer
        else {
            peer.page_size.record_failure();
            observe::metrics().failed_fetches.inc();
            return None;
        };
        if page.digests().len() == peer.page_size.records() {
            let reply_bytes = progress.bytes() - received_before;
            peer.page_size.record_reply(reply_bytes as usize);
        }
        peer.journal_sync
            .borrow_mut()
            .forget_expired(journal, &expired);
        let settled: HashSet<RecordDigest> = records
            .iter()
            .map(Record::digest)
            .chain(expired.iter().copied())
            .collect();
        let retentions = extension_fields.ledger_retentions;
        let records = stored_records(records, retentions.unwrap_or_default());
        self.store_fetched(records).await?;
        Some(page.unsettled(|digest| settled.contains(&digest)))
    }

    async fn store_fetched(&self, records: Vec<StoredRecord>) -> Option<()> {
        let mut writes = Vec::new();
        for record in records {
            let local_store = self.local_store.clone();
            writes.push(tokio::task::spawn_local(async move {
                local_store.wait_for_backlog().await;
                local_store.store_record(record).await
            }));
        }
        for result in writes {
            if !result.await.unwrap_or(false) {
                return None;
            }
        }
        Some(())
    }

    async fn call(&self, peer: &Peer, request: Request) -> Option<Reply> {
        let answer = self.call_with_fields(peer, request).await;
        answer.map(|answer| answer.reply)
    }

    async fn call_with_fields(&self, peer: &Peer, request: Request) -> Option<ExtendedReply> {
        let call = peer
            .client
            .call_with_transfer_timeouts(request, Rc::default(), CALL_TIMEOUTS);
        let answer = call.await.ok()?;
        peer.last_answer.set(Some(Instant::now()));
        Some(answer)
    }

    /// Checks whether this store has caught up with enough peers to hold every durable
    /// record.
    pub fn is_caught_up_with_group(&self) -> bool {
        let members = self.local_store.members();
        is_caught_up_with_group(&members, &self.tolerance, |node| {
            self.is_caught_up_with(node, members.version)
        })
    }

    /// Marks a replaced disk as complete once it has caught up with the group.
    fn update_completeness(&self) {
        let is_catching_up =
            !self.local_store.is_complete() && self.local_store.is_listed_with_current_disk();
        if is_catching_up && self.is_caught_up_with_group() {
            self.local_store.declare_complete();
            let detail = format!("members_version={}", self.local_store.members().version);
            observe::record_event(Event::StoreComplete, &detail);
        }
    }
}

/// Joins records with the retentions that follow the reply; a list of another length is not
/// theirs.
fn stored_records(records: List<Record>, retentions: List<u32>) -> Vec<StoredRecord> {
    let is_complete = records.len() == retentions.len();
    let retention = |index: usize| match is_complete {
        true => retentions[index],
        false => UNKNOWN_RETENTION,
    };
    let records = records.into_iter().enumerate();
    records
        .map(|(index, record)| StoredRecord::new(record, Some(retention(index))))
        .collect()
}
