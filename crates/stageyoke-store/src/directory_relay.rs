//! Relay of the directory from stores to fronts, which then need not read it from the
//! key-value service.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    Change, DirectoryRelay, Item, KnownItem, Member, RelayFuture, RelayReply, RelayRequirements,
    RelayedChanges, RelayedItems, RelayedRoutes, TransferTimeouts,
};
use stageyoke_observe as observe;
use stageyoke_types::{Blob, Event, List, Text};
use tokio::time::Instant;

use crate::client::{CallError, StoreClient};
use crate::extension::{self, ExtensionFields};
use crate::group_clients::GroupClients;
use crate::message::{CopyFreshness, DirectoryChange, DirectoryItem, Reply, Request};
use crate::receive_progress::ReceiveProgress;

/// Number of stores that are asked for one reply if they do not answer.
const MAX_UNANSWERED: usize = 3;
/// Number of stores that are asked for one reply if their copies are too old: such answers come
/// at once, and each front that asked the key-value service instead would slow it down further.
const MAX_STORES_ASKED: usize = 9;

/// Number of received bytes from which an exchange with a usable reply is logged.
const LARGE_REPLY_BYTES: u64 = 64 * 1024;

/// Divisor of the total time limit that yields the limit for asking a seed store for the
/// addresses of others.
const STORE_LOOKUP_DIVISOR: u32 = 4;

/// Builds the reply to a request for changes.
pub fn changes_reply(relayed: RelayedChanges) -> Reply {
    let mark = mark(relayed.revision, relayed.age, relayed.lapsed_entry_grace);
    let known = relayed.changes.is_some();
    let changes = relayed.changes.unwrap_or_default();
    Reply::Changes {
        known,
        changes: changes.into_iter().map(to_directory_change).collect(),
        mark,
    }
}

/// Builds the reply to a request for the routing configuration.
pub fn routes_reply(relayed: RelayedRoutes) -> Reply {
    Reply::Routes {
        item: to_directory_item(relayed.item),
        age_milliseconds: round_up_milliseconds(relayed.age),
    }
}

/// Builds the reply to a request for the whole directory.
pub fn directory_reply(relayed: RelayedItems) -> Reply {
    let mark = mark(relayed.revision, relayed.age, relayed.lapsed_entry_grace);
    Reply::Directory {
        items: relayed.items.into_iter().map(to_directory_item).collect(),
        mark,
    }
}

fn mark(revision: u64, age: Duration, lapsed_entry_grace: Duration) -> CopyFreshness {
    CopyFreshness {
        revision,
        age_milliseconds: round_up_milliseconds(age),
        lapsed_entry_grace_milliseconds: lapsed_entry_grace.as_millis() as u32,
    }
}

/// Converts to milliseconds, rounded up so that a copy never appears younger than it is.
fn round_up_milliseconds(age: Duration) -> u32 {
    u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX)
}

/// Converts an item of the directory to its form in messages and on disk.
pub fn to_directory_item(item: Item) -> DirectoryItem {
    DirectoryItem {
        key: Text::from(item.key),
        value: Blob(item.value),
        revision: item.revision,
    }
}

/// Converts a received item to an item of the directory.
pub fn from_directory_item(received: DirectoryItem) -> Item {
    Item {
        key: received.key.to_string(),
        value: received.value.0,
        revision: received.revision,
    }
}

fn to_directory_change(change: Change) -> DirectoryChange {
    match change {
        Change::Written(item) => DirectoryChange {
            key: Text::from(item.key),
            value: Some(Blob(item.value)),
            revision: item.revision,
        },
        Change::Removed { key, revision } => DirectoryChange {
            key: Text::from(key),
            value: None,
            revision,
        },
    }
}

fn from_directory_change(received: DirectoryChange) -> Change {
    let key = received.key.to_string();
    match received.value {
        Some(value) => Change::Written(Item {
            key,
            value: value.0,
            revision: received.revision,
        }),
        None => Change::Removed {
            key,
            revision: received.revision,
        },
    }
}

fn known_item_field(known: Option<KnownItem>) -> ExtensionFields {
    ExtensionFields {
        known_item: known.map(|known| extension::KnownItem {
            key: Text::from(known.key),
            revision: known.revision,
        }),
        ..ExtensionFields::default()
    }
}

fn lapsed_entry_grace(mark: CopyFreshness) -> Duration {
    Duration::from_millis(u64::from(mark.lapsed_entry_grace_milliseconds))
}

fn age(mark: CopyFreshness) -> Duration {
    Duration::from_millis(u64::from(mark.age_milliseconds))
}

/// A front's connection to the stores that relay the directory.
///
/// Before the front knows the groups, it asks seed stores from its settings for the
/// addresses of other stores and sends most requests to those. All fronts have the same few
/// seeds, which would otherwise send the whole directory to each starting front and keep
/// sending it the changes: 4.1 MB a second at 200 fronts, where the median of 100 stores sent
/// 0.04 MB.
pub struct StoreRelay {
    groups: Rc<GroupClients>,
    seed_addresses: Vec<String>,
    /// Addresses that the seed stores have returned.
    known_addresses: RefCell<Vec<Text>>,
    /// Addresses of registered stores in the front's zone.
    registered_addresses: RefCell<Vec<Text>>,
    /// The store that answered last, once the groups are known. Its connection carries only
    /// directory requests, so that a large reply does not delay those to other calls.
    preferred_store: RefCell<Option<StoreClient>>,
    /// Progress of data received on all connections of the relay.
    progress: Rc<ReceiveProgress>,
    last_reply_at: Cell<Option<Instant>>,
}

/// A request for a copy of the directory or a part of it.
pub(crate) struct CopyRequest {
    pub(crate) request: Request,
    pub(crate) extension_fields: Rc<ExtensionFields>,
    pub(crate) requirements: RelayRequirements,
}

impl CopyRequest {
    /// Sends the request to one store. `answer_timeout` limits the time without data.
    pub(crate) async fn send(
        &self,
        client: &StoreClient,
        progress: &ReceiveProgress,
        answer_timeout: Duration,
    ) -> Result<RelayReply<Reply>, CallError> {
        let sent_at = Instant::now();
        let timeouts = TransferTimeouts {
            idle: answer_timeout,
            total: self.requirements.transfer_timeout,
        };
        let received_bytes_before = progress.bytes();
        let call = client.call_with_transfer_timeouts(
            self.request.clone(),
            self.extension_fields.clone(),
            timeouts,
        );
        let reply = call.await.map(|answer| answer.reply);
        let received_bytes = progress.bytes() - received_bytes_before;
        let max_age = self.requirements.max_age;
        log_exchange(client, &reply, sent_at, received_bytes, max_age);
        reply.map(|payload| RelayReply { payload, sent_at })
    }

    /// Returns whether the copy in a reply is recent enough.
    pub(crate) fn is_recent(&self, reply: &Reply) -> bool {
        copy_age(reply).is_some_and(|age| age < self.requirements.max_age)
    }
}

impl StoreRelay {
    /// Creates a relay that asks members of `groups`, or the stores at the addresses
    /// `seed_addresses` until the groups are known.
    pub fn new(groups: Rc<GroupClients>, seed_addresses: Vec<String>) -> Self {
        Self {
            groups,
            seed_addresses,
            known_addresses: RefCell::default(),
            registered_addresses: RefCell::default(),
            preferred_store: RefCell::default(),
            progress: Rc::default(),
            last_reply_at: Cell::new(None),
        }
    }

    /// Sets the stores that have registered. Until the groups are formed, those of the front's
    /// zone are asked first.
    pub fn set_registered_stores<'a>(&self, stores: impl Iterator<Item = &'a Member>) {
        let local = stores.filter(|store| self.groups.is_local(store));
        let addresses = local.map(|store| store.address.clone());
        self.registered_addresses.replace(addresses.collect());
    }

    /// Records when the replying store last had contact with the key-value service, which
    /// even an outdated copy shows.
    fn record_peer_contact(&self, reply: &RelayReply<Reply>) {
        let mark = match &reply.payload {
            Reply::Changes { mark, .. } | Reply::Directory { mark, .. } => *mark,
            _ => return,
        };
        let answered_at = reply.sent_at.checked_sub(age(mark));
        if let (Some(directory), Some(answered_at)) = (self.groups.directory(), answered_at) {
            directory.apply_peer_contact(answered_at);
        }
    }

    /// Asks a random seed store for the addresses of other stores, unless the groups are
    /// known.
    async fn look_up_stores(&self, time_limit: Duration) {
        let count = self.seed_addresses.len();
        let is_needed = self.registered_addresses.borrow().is_empty();
        if count == 0 || !is_needed || self.groups.stores().is_formed() {
            return;
        }
        let client = StoreClient::new(&self.seed_addresses[rand::random_range(0..count)]);
        if let Ok(Reply::Stores(List(known_addresses))) =
            client.call(Request::Stores, time_limit).await
        {
            self.known_addresses.replace(known_addresses);
        }
    }

    /// Selects stores to ask before the groups are known: some that have registered in the
    /// front's zone or that the seeds returned, and a seed.
    fn bootstrap_addresses(&self) -> Vec<Text> {
        let mut addresses = self.registered_addresses.borrow().clone();
        if addresses.is_empty() {
            addresses = self.known_addresses.borrow().clone();
        }
        addresses.sort_by_cached_key(|_| rand::random::<u32>());
        addresses.truncate(MAX_UNANSWERED - 1);
        let seed_addresses = self.seed_addresses.iter();
        let mut seed_addresses: Vec<Text> = seed_addresses
            .map(|address| Text::from(address.as_str()))
            .collect();
        seed_addresses.sort_by_cached_key(|_| rand::random::<u32>());
        let seeds = MAX_UNANSWERED - addresses.len();
        addresses.extend(seed_addresses.into_iter().take(seeds));
        addresses
    }

    /// Selects stores to ask: the one that answered last, near ones and others. Clients are
    /// created as they are used. An abandoned exchange drops its client, which closes the
    /// connection and ends the transfer.
    fn take_candidates(&self) -> impl Iterator<Item = StoreClient> {
        let mut addresses = self.groups.sample_addresses(MAX_STORES_ASKED);
        if addresses.is_empty() {
            addresses = self.bootstrap_addresses();
        }
        let preferred_store = self.preferred_store.take();
        if let Some(preferred_store) = &preferred_store {
            addresses.retain(|address| address.as_str() != preferred_store.address());
        }
        let progress = self.progress.clone();
        let others = addresses
            .into_iter()
            .map(move |address| StoreClient::with_progress(&address, progress.clone()));
        preferred_store.into_iter().chain(others)
    }

    /// Returns the number of stores among which the time for an answer is divided: the one that
    /// answered last and those that may not answer.
    fn time_shares(&self) -> u32 {
        let stores = match self.groups.stores().members().count() {
            0 => MAX_UNANSWERED,
            stores => stores.min(MAX_UNANSWERED + 1),
        };
        u32::try_from(stores).unwrap_or(1)
    }

    /// Asks stores one by one until one has a recent enough copy. A store whose copy is too
    /// old is no longer preferred: the key-value service may reject it while it serves
    /// other stores.
    async fn ask_stores(
        &self,
        request: Request,
        extension_fields: ExtensionFields,
        requirements: RelayRequirements,
    ) -> Option<RelayReply<Reply>> {
        let copy_request = CopyRequest {
            request,
            extension_fields: Rc::new(extension_fields),
            requirements,
        };
        let deadline = Instant::now() + requirements.answer_timeout;
        self.look_up_stores(requirements.answer_timeout / STORE_LOOKUP_DIVISOR)
            .await;
        let is_formed = self.groups.stores().is_formed();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let per_store = remaining / self.time_shares();
        let mut remaining_timeouts = MAX_UNANSWERED;
        for client in self.take_candidates() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining_timeouts == 0 || remaining.is_zero() {
                break;
            }
            let sending = copy_request.send(&client, &self.progress, remaining.min(per_store));
            let Ok(reply) = sending.await else {
                remaining_timeouts -= 1;
                continue;
            };
            self.last_reply_at.set(Some(Instant::now()));
            self.record_peer_contact(&reply);
            if copy_request.is_recent(&reply.payload) {
                let is_preferred = is_formed && self.groups.is_nearest(client.address());
                self.preferred_store.replace(is_preferred.then_some(client));
                return Some(reply);
            }
        }
        None
    }
}

/// Logs an exchange that was large or returned no recent enough copy.
fn log_exchange(
    client: &StoreClient,
    reply: &Result<Reply, CallError>,
    sent_at: Instant,
    received_bytes: u64,
    max_age: Duration,
) {
    let outcome = match reply {
        Err(error) => error.to_string(),
        Ok(reply) => match copy_age(reply) {
            Some(age) if age < max_age && received_bytes < LARGE_REPLY_BYTES => return,
            Some(age) if age < max_age => "ok".to_owned(),
            Some(age) => format!("age_{}", age.as_millis()),
            None => "no_copy".to_owned(),
        },
    };
    let detail = format!(
        "store={} outcome={outcome} milliseconds={} received={received_bytes}",
        client.address(),
        sent_at.elapsed().as_millis(),
    );
    observe::record_event(Event::DirectoryExchange, &detail);
}

/// Returns the age of the copy in a reply; `None` if the reply contains none.
fn copy_age(reply: &Reply) -> Option<Duration> {
    match reply {
        Reply::Changes { mark, .. } | Reply::Directory { mark, .. } => Some(age(*mark)),
        Reply::Routes {
            age_milliseconds, ..
        } => Some(Duration::from_millis(u64::from(*age_milliseconds))),
        _ => None,
    }
}

/// Converts a reply to a request for changes.
pub(crate) fn relayed_changes(reply: RelayReply<Reply>) -> Option<RelayReply<RelayedChanges>> {
    let Reply::Changes {
        known,
        changes: List(changes),
        mark,
    } = reply.payload
    else {
        return None;
    };
    let changes = changes.into_iter().map(from_directory_change).collect();
    let payload = RelayedChanges {
        changes: known.then_some(changes),
        revision: mark.revision,
        age: age(mark),
        lapsed_entry_grace: lapsed_entry_grace(mark),
    };
    let sent_at = reply.sent_at;
    Some(RelayReply { payload, sent_at })
}

/// Converts a reply to a request for the whole directory.
pub(crate) fn relayed_items(reply: RelayReply<Reply>) -> Option<RelayReply<RelayedItems>> {
    let Reply::Directory {
        items: List(items),
        mark,
    } = reply.payload
    else {
        return None;
    };
    let payload = RelayedItems {
        items: items.into_iter().map(from_directory_item).collect(),
        revision: mark.revision,
        age: age(mark),
        lapsed_entry_grace: lapsed_entry_grace(mark),
    };
    let sent_at = reply.sent_at;
    Some(RelayReply { payload, sent_at })
}

impl DirectoryRelay for StoreRelay {
    fn has_sources(&self) -> bool {
        !self.seed_addresses.is_empty() || self.groups.stores().is_formed()
    }

    fn fetch_changes(
        &self,
        after: u64,
        known: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges> {
        Box::pin(async move {
            let request = Request::Changes { after };
            let reply = self
                .ask_stores(request, known_item_field(known), requirements)
                .await?;
            relayed_changes(reply)
        })
    }

    fn received_bytes(&self) -> u64 {
        self.progress.bytes()
    }

    fn last_reply_at(&self) -> Option<Instant> {
        self.last_reply_at.get()
    }

    fn fetch_routes(
        &self,
        known: Option<KnownItem>,
        requirements: RelayRequirements,
    ) -> RelayFuture<'_, RelayedRoutes> {
        Box::pin(async move {
            let reply = self
                .ask_stores(Request::Routes, known_item_field(known), requirements)
                .await?;
            let Reply::Routes {
                item,
                age_milliseconds,
            } = reply.payload
            else {
                return None;
            };
            let payload = RelayedRoutes {
                item: from_directory_item(item),
                age: Duration::from_millis(u64::from(age_milliseconds)),
            };
            let sent_at = reply.sent_at;
            Some(RelayReply { payload, sent_at })
        })
    }

    fn fetch_items(&self, requirements: RelayRequirements) -> RelayFuture<'_, RelayedItems> {
        Box::pin(async move {
            let reply = self
                .ask_stores(Request::Directory, ExtensionFields::default(), requirements)
                .await?;
            relayed_items(reply)
        })
    }
}
