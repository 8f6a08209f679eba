//! Exchange of the directory among stores, which all follow the key-value service themselves.
//! Used for what the service no longer has: a store whose history was discarded fetches the
//! changes from one that has read the directory since.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use stageyoke_directory::{
    DirectoryRelay, KnownItem, Member, RelayFuture, RelayReply, RelayRequirements, RelayedChanges,
    RelayedItems, RelayedRoutes, StoreGroups,
};
use stageyoke_types::Text;
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::directory_relay::{CopyRequest, relayed_changes, relayed_items};
use crate::keys::StoreKey;
use crate::message::{Reply, Request};
use crate::receive_progress::ReceiveProgress;

/// Number of stores that are asked for one reply. Most of them answer at once that they have
/// nothing newer.
const MAX_STORES_ASKED: usize = 9;
/// Number of stores that may not answer; the time for a reply is divided among them.
const MAX_UNANSWERED: u32 = 3;

/// A store's connections to the other stores.
pub struct PeerRelay {
    node: Text,
    addresses: RefCell<Vec<Text>>,
    read_rank: Cell<usize>,
    progress: Rc<ReceiveProgress>,
    last_reply_at: Cell<Option<Instant>>,
}

impl PeerRelay {
    /// Creates a relay for the store on machine `node`, which knows no other store yet.
    pub fn new(node: Text) -> Self {
        Self {
            node,
            addresses: RefCell::default(),
            read_rank: Cell::new(0),
            progress: Rc::default(),
            last_reply_at: Cell::new(None),
        }
    }

    /// Sets the stores to ask: those of the groups, or the registered ones before the groups
    /// are formed.
    pub fn set_stores<'a>(
        &self,
        stores: &'a StoreGroups,
        registered: impl Iterator<Item = &'a Member>,
    ) {
        match stores.is_formed() {
            true => self.follow(stores.members()),
            false => self.follow(registered),
        }
    }

    fn follow<'a>(&self, stores: impl Iterator<Item = &'a Member>) {
        let others = stores.filter(|store| store.node != self.node);
        let own_key = StoreKey::of(&self.node);
        let mut rank = 0;
        let mut addresses = Vec::new();
        for store in others {
            rank += usize::from(StoreKey::of(&store.node) < own_key);
            addresses.push(store.address.clone());
        }
        self.read_rank.set(rank);
        self.addresses.replace(addresses);
    }

    fn random_addresses(&self) -> Vec<Text> {
        let mut addresses = self.addresses.borrow().clone();
        addresses.sort_by_cached_key(|_| rand::random::<u32>());
        addresses.truncate(MAX_STORES_ASKED);
        addresses
    }

    /// Asks random stores one by one until one has a recent copy that is newer than the
    /// revision `after`.
    async fn ask(
        &self,
        request: Request,
        after: u64,
        requirements: RelayRequirements,
    ) -> Option<RelayReply<Reply>> {
        let copy_request = CopyRequest {
            request,
            extension_fields: Rc::default(),
            requirements,
        };
        let per_store = requirements.answer_timeout / MAX_UNANSWERED;
        let mut remaining_timeouts = MAX_UNANSWERED;
        for address in self.random_addresses() {
            if remaining_timeouts == 0 {
                break;
            }
            let client = StoreClient::with_progress(&address, self.progress.clone());
            let sending = copy_request.send(&client, &self.progress, per_store);
            let Ok(reply) = sending.await else {
                remaining_timeouts -= 1;
                continue;
            };
            self.last_reply_at.set(Some(Instant::now()));
            let is_newer = copy_revision(&reply.payload) > Some(after);
            if is_newer && copy_request.is_recent(&reply.payload) {
                return Some(reply);
            }
        }
        None
    }
}

fn copy_revision(reply: &Reply) -> Option<u64> {
    match reply {
        Reply::Changes { mark, .. } | Reply::Directory { mark, .. } => Some(mark.revision),
        _ => None,
    }
}

impl DirectoryRelay for PeerRelay {
    fn has_sources(&self) -> bool {
        !self.addresses.borrow().is_empty()
    }

    fn received_bytes(&self) -> u64 {
        self.progress.bytes()
    }

    fn read_rank(&self) -> usize {
        self.read_rank.get()
    }

    fn last_reply_at(&self) -> Option<Instant> {
        self.last_reply_at.get()
    }

    /// Fetches the changes after a revision from a store that has any. The change of `known`
    /// is not omitted, since this store relays it.
    fn fetch_changes(
        &self,
        after: u64,
        _known: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges> {
        Box::pin(async move {
            let request = Request::Changes { after };
            relayed_changes(self.ask(request, after, requirements).await?)
        })
    }

    /// Stores read the configuration from the service.
    fn fetch_routes(
        &self,
        _known: Option<KnownItem>,
        _requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedRoutes> {
        Box::pin(async { None })
    }

    fn fetch_items(&self, requirements: RelayRequirements) -> RelayFuture<'_, RelayedItems> {
        Box::pin(async move { relayed_items(self.ask(Request::Directory, 0, requirements).await?) })
    }
}
