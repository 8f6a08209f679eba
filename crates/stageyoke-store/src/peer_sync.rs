//! Keeps a store's records equal to those of its peers: digests are compared
//! and what is missing is fetched, at once while the store is incomplete, else
//! only what is still missing one round later.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{GroupNumber, Members, Tolerance};
use stageyoke_types::{Event, List, Text};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::journal_sync::{DigestPage, JournalSync};
use crate::local_store::LocalStore;
use crate::membership::is_caught_up_with_group;
use crate::message::{RecordDigest, Reply, Request, SilentPeer};
use stageyoke_observe as observe;

/// Pause between rounds with a peer.
pub const COMPARISON_INTERVAL: Duration = Duration::from_millis(1000);
const CATCH_UP_PAUSE: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const FETCH_PAGE: usize = 256;
/// How long what a peer told of other members' silence counts: a round and a bit.
const TOLD_FOR: Duration = Duration::from_millis(1500);

/// What is known of one peer.
pub struct Peer {
    client: StoreClient,
    exchange: RefCell<JournalSync>,
    last_answer: Cell<Option<Instant>>,
    /// Members that did not answer it when it answered last.
    silent: RefCell<List<SilentPeer>>,
    since: Instant,
}

impl Peer {
    fn answered_just_now(&self) -> bool {
        let at = self.last_answer.get();
        at.is_some_and(|at| at.elapsed() < TOLD_FOR)
    }

    fn tells_silence_of(&self, node: &str) -> Duration {
        let silent = self.silent.borrow();
        let mut silent = silent.iter();
        let told = silent.find(|silent| silent.node.as_str() == node);
        told.map_or(Duration::ZERO, |told| {
            Duration::from_millis(u64::from(told.silent_milliseconds))
        })
    }
}

/// All peers of this store.
pub struct Peers {
    local_store: Rc<LocalStore>,
    tolerance: Tolerance,
    peers: RefCell<HashMap<Text, Rc<Peer>>>,
    /// Version of the list that was followed last.
    followed: Cell<u64>,
    group: Cell<Option<GroupNumber>>,
    list_changed: Notify,
}

impl Peers {
    /// No peers yet.
    pub fn new(local_store: Rc<LocalStore>, tolerance: Tolerance) -> Self {
        Self {
            local_store,
            tolerance,
            peers: RefCell::default(),
            followed: Cell::new(0),
            group: Cell::new(None),
            list_changed: Notify::new(),
        }
    }

    /// Follows the member list: new peers are compared with, gone ones dropped.
    pub fn update_members(self: &Rc<Self>, members: &Members) {
        if self.followed.replace(members.version) != members.version {
            self.list_changed.notify_waiters();
        }
        let group = self.local_store.group();
        if self.group.replace(group) != group {
            // Versions of another group's list say nothing of this one's.
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
                exchange: RefCell::default(),
                last_answer: Cell::new(None),
                silent: RefCell::default(),
                since: Instant::now(),
            });
            peers.insert(member.node.clone(), peer.clone());
            let weak = Rc::downgrade(&peer);
            let group = self.clone();
            drop(peer);
            tokio::task::spawn_local(async move {
                while let Some(peer) = weak.upgrade() {
                    let pause = group.round(&peer).await;
                    drop(peer);
                    // A change of the list waits for comparisons by the new one.
                    let _ = tokio::time::timeout(pause, group.list_changed.notified()).await;
                }
            });
        }
    }

    /// How long this peer has not answered.
    pub fn silent_for(&self, node: &str) -> Option<Duration> {
        let peers = self.peers.borrow();
        let peer = peers.get(node)?;
        Some(peer.last_answer.get().unwrap_or(peer.since).elapsed())
    }

    /// How long the member on this machine has not answered any of the peers that
    /// answer this store; `None` if none has told of it just now.
    pub fn reported_silent_for(&self, node: &str) -> Option<Duration> {
        let peers = self.peers.borrow();
        let others = peers.iter().filter(|(other, _)| other.as_str() != node);
        let others = others.filter(|(_, peer)| peer.answered_just_now());
        others.map(|(_, peer)| peer.tells_silence_of(node)).min()
    }

    /// Whether everything that this peer held is held here, since it was met, when
    /// it went by this version of the member list already.
    pub fn is_caught_up_with(&self, node: &str, members_version: u64) -> bool {
        self.exchange_with(node, |exchange| exchange.is_caught_up_at(members_version))
    }

    /// Whether everything is held here that this peer held when it went by this
    /// version of the member list already.
    pub fn is_in_sync_with(&self, node: &str, members_version: u64) -> bool {
        self.exchange_with(node, |exchange| exchange.is_in_sync(members_version))
    }

    fn exchange_with(&self, node: &str, holds: impl Fn(&JournalSync) -> bool) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(node);
        peer.is_some_and(|peer| holds(&peer.exchange.borrow()))
    }

    async fn round(&self, peer: &Peer) -> Duration {
        match self.compare(peer).await {
            Some(true) => CATCH_UP_PAUSE,
            Some(false) if self.in_haste() => CATCH_UP_PAUSE,
            Some(false) | None => COMPARISON_INTERVAL,
        }
    }

    /// Whether a lost disk, a change of the list or a store that is to become a member
    /// waits for the comparisons: until they are done the group may be unable to bear
    /// the next loss.
    fn in_haste(&self) -> bool {
        let members = self.local_store.members();
        let is_member = members.get(&self.local_store.node).is_some();
        !is_member || !self.local_store.is_complete() || !members.is_settled()
    }

    /// One page; whether there is more at once.
    async fn compare(&self, peer: &Peer) -> Option<bool> {
        let group = self.local_store.group()?;
        self.fetch_missing(peer).await?;
        peer.exchange.borrow_mut().mark_fetched();
        let request = Request::Digests {
            group,
            members_version: self.local_store.members().version,
            node: self.local_store.node.clone(),
            from: peer.exchange.borrow().position(),
            held: peer.exchange.borrow().held_position(),
        };
        let sent = Instant::now();
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
        self.local_store.apply_directory_mark(directory, sent);
        self.tell_newer_stores(peer, members_version).await;
        peer.silent.replace(silent);
        let page = DigestPage {
            digests: &digests,
            next,
            more,
            complete,
            members_version,
        };
        let holds = |digest| self.local_store.holds(digest);
        peer.exchange.borrow_mut().apply_page(page, holds);
        if !self.local_store.is_complete() || !peer.exchange.borrow().is_caught_up() {
            self.fetch_missing(peer).await?;
        }
        peer.exchange.borrow_mut().mark_page_end();
        self.judge_completeness();
        Some(more)
    }

    /// A peer that goes by an older list is told of the newer one: a change waits for it,
    /// and the key-value service may turn it away for long.
    async fn tell_newer_stores(&self, peer: &Peer, of_peer: u64) {
        let members = self.local_store.members();
        if of_peer >= members.version || members.get(&self.local_store.node).is_none() {
            return;
        }
        let request = Request::NewerStoreGroups((*self.local_store.stores()).clone());
        // A hint: the next comparison tells again.
        let _ = self.call(peer, request).await;
    }

    /// Fetches what this peer was seen to hold and is still missing here. What
    /// it does not deliver stays missing, and is asked for again.
    async fn fetch_missing(&self, peer: &Peer) -> Option<()> {
        let missing = || {
            let holds = |digest| self.local_store.holds(digest);
            peer.exchange.borrow_mut().missing_digests(holds)
        };
        let digests = missing();
        let outcome = self.fetch(peer, &digests).await;
        missing();
        outcome
    }

    async fn fetch(&self, peer: &Peer, digests: &[RecordDigest]) -> Option<()> {
        for page in digests.chunks(FETCH_PAGE) {
            let request = Request::Fetch {
                digests: List(page.to_vec()),
            };
            let reply = self.call(peer, request).await?;
            let Reply::Fetched {
                journal,
                records,
                expired: forgotten,
            } = reply
            else {
                return None;
            };
            peer.exchange
                .borrow_mut()
                .forget_expired(journal, &forgotten);
            let mut kept = Vec::new();
            for record in records {
                let local_store = self.local_store.clone();
                kept.push(tokio::task::spawn_local(async move {
                    local_store.store_record(record).await
                }));
            }
            for result in kept {
                if !result.await.unwrap_or(false) {
                    return None;
                }
            }
        }
        Some(())
    }

    async fn call(&self, peer: &Peer, request: Request) -> Option<Reply> {
        let reply = peer.client.call(request, CALL_TIMEOUT).await.ok()?;
        peer.last_answer.set(Some(Instant::now()));
        Some(reply)
    }

    /// Whether so many peers have been caught up with that no kept record can
    /// stand only elsewhere.
    pub fn is_caught_up_with_group(&self) -> bool {
        let members = self.local_store.members();
        is_caught_up_with_group(&members, &self.tolerance, |node| {
            self.is_caught_up_with(node, members.version)
        })
    }

    /// A disk that lost its content is complete again once it has caught up
    /// with the group.
    fn judge_completeness(&self) {
        let waits =
            !self.local_store.is_complete() && self.local_store.is_listed_with_current_disk();
        if waits && self.is_caught_up_with_group() {
            self.local_store.declare_complete();
            let detail = format!("members_version={}", self.local_store.members().version);
            observe::record_event(Event::StoreComplete, &detail);
        }
    }
}
