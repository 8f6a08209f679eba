//! The directory on its way from stores to fronts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    Change, DirectoryRelay, Item, RelayFuture, RelayReply, RelayRequirements, RelayedChanges,
    RelayedItems, RelayedRoutes,
};
use stageyoke_types::{Blob, List, Text};
use tokio::time::Instant;

use crate::client::{CallError, StoreClient};
use crate::group_clients::GroupClients;
use crate::message::{CopyFreshness, DirectoryChange, DirectoryItem, Reply, Request};

/// Stores that are asked one after the other for one answer.
const ASKED: usize = 3;

/// Part of the time for an answer in which a store may name others.
const LEARN_PART: u32 = 4;

/// A store's answer to a question for changes.
pub fn changes_reply(told: RelayedChanges) -> Reply {
    let mark = mark(told.revision, told.age, told.lapsed_entry_grace);
    let known = told.changes.is_some();
    let changes = told.changes.unwrap_or_default();
    Reply::Changes {
        known,
        changes: changes.into_iter().map(to_directory_change).collect(),
        mark,
    }
}

/// A store's answer to a question for the configuration.
pub fn routes_reply(told: RelayedRoutes) -> Reply {
    Reply::Routes {
        item: to_directory_item(told.item),
        age_milliseconds: rounded_up(told.age),
    }
}

/// A store's answer to a question for everything.
pub fn directory_reply(told: RelayedItems) -> Reply {
    let mark = mark(told.revision, told.age, told.lapsed_entry_grace);
    Reply::Directory {
        items: told.items.into_iter().map(to_directory_item).collect(),
        mark,
    }
}

fn mark(revision: u64, age: Duration, back_within: Duration) -> CopyFreshness {
    CopyFreshness {
        revision,
        age_milliseconds: rounded_up(age),
        back_within_milliseconds: back_within.as_millis() as u32,
    }
}

/// Milliseconds, rounded up: a copy must not look younger than it is.
fn rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX)
}

/// An item as stores keep and tell it.
pub fn to_directory_item(item: Item) -> DirectoryItem {
    DirectoryItem {
        key: Text::from(item.key),
        value: Blob(item.value),
        revision: item.revision,
    }
}

/// An item that a store told.
pub fn from_directory_item(seen: DirectoryItem) -> Item {
    Item {
        key: seen.key.to_string(),
        value: seen.value.0,
        revision: seen.revision,
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

fn from_directory_change(seen: DirectoryChange) -> Change {
    let key = seen.key.to_string();
    match seen.value {
        Some(value) => Change::Written(Item {
            key,
            value: value.0,
            revision: seen.revision,
        }),
        None => Change::Removed {
            key,
            revision: seen.revision,
        },
    }
}

fn back_within(mark: CopyFreshness) -> Duration {
    Duration::from_millis(u64::from(mark.back_within_milliseconds))
}

fn age(mark: CopyFreshness) -> Duration {
    Duration::from_millis(u64::from(mark.age_milliseconds))
}

/// The stores that a front asks: members of the groups; before it knows any, those
/// that the stores which its settings name know. Settings name the same few stores to
/// all fronts: were these asked for everything, they would send the whole directory to
/// each front that starts, and its changes for as long as it runs (4.1 MB a second at
/// 200 fronts, where the middle one of 100 stores sent 0.04).
pub struct StoreRelay {
    groups: Rc<GroupClients>,
    seeds: Vec<String>,
    /// Stores that those of the settings have named.
    named: RefCell<Vec<Text>>,
    /// The store that answered last, once the groups are known.
    preferred: RefCell<Option<Rc<StoreClient>>>,
}

impl StoreRelay {
    /// Asks members of these groups, or the stores at these addresses.
    pub fn new(groups: Rc<GroupClients>, seeds: Vec<String>) -> Self {
        Self {
            groups,
            seeds,
            named: RefCell::default(),
            preferred: RefCell::default(),
        }
    }

    /// Also a copy that is too old shows until when its store had answers.
    fn note_heard(&self, answer: &Result<Reply, CallError>, sent: Instant) {
        let mark = match answer {
            Ok(Reply::Changes { mark, .. } | Reply::Directory { mark, .. }) => *mark,
            Ok(_) | Err(_) => return,
        };
        let answered_at = sent.checked_sub(age(mark));
        if let (Some(directory), Some(answered_at)) = (self.groups.directory(), answered_at) {
            directory.apply_peer_contact(answered_at);
        }
    }

    /// Asks a store that the settings name which others there are.
    async fn learn_stores(&self, within: Duration) {
        let count = self.seeds.len();
        if count == 0 || self.groups.stores().is_formed() {
            return;
        }
        let client = StoreClient::new(&self.seeds[rand::random_range(0..count)]);
        if let Ok(Reply::Stores(List(named))) = client.call(Request::Stores, within).await {
            self.named.replace(named);
        }
    }

    /// Stores to ask while the groups are not known: some that were named, and one of
    /// the settings.
    fn first_stores(&self) -> Vec<Rc<StoreClient>> {
        let named = self.named.borrow();
        let mut addresses: Vec<&str> = named.iter().map(Text::as_str).collect();
        addresses.sort_by_cached_key(|_| rand::random::<u32>());
        addresses.truncate(ASKED - 1);
        let mut seeds: Vec<&str> = self.seeds.iter().map(String::as_str).collect();
        seeds.sort_by_cached_key(|_| rand::random::<u32>());
        addresses.extend(seeds.into_iter().take(ASKED - addresses.len()));
        let clients = addresses.into_iter().map(StoreClient::new);
        clients.map(Rc::new).collect()
    }

    /// Stores to ask: the one that answered last, one near, and others.
    fn candidates(&self) -> Vec<Rc<StoreClient>> {
        let clients = self.groups.sample_clients(ASKED);
        if clients.is_empty() {
            return self.first_stores();
        }
        let preferred = self.preferred.borrow().clone();
        preferred.into_iter().chain(clients).collect()
    }

    /// Asks stores until one has a copy that is young enough. One that has not
    /// is asked no more before others: the service may have turned it away while
    /// it serves them.
    async fn ask(
        &self,
        request: Request,
        acceptable: RelayRequirements,
    ) -> Option<RelayReply<Reply>> {
        let RelayRequirements {
            answer_timeout: within,
            max_age: oldest,
        } = acceptable;
        let deadline = Instant::now() + within;
        self.learn_stores(within / LEARN_PART).await;
        let candidates = self.candidates();
        let formed = self.groups.stores().is_formed();
        let left = deadline.saturating_duration_since(Instant::now());
        let share = left / u32::try_from(candidates.len().max(1)).unwrap_or(1);
        for client in candidates {
            let sent = Instant::now();
            let left = deadline.saturating_duration_since(sent).min(share);
            let answer = client.call(request.clone(), left).await;
            self.note_heard(&answer, sent);
            match answer {
                Ok(reply) if copy_age(&reply).is_some_and(|age| age < oldest) => {
                    *self.preferred.borrow_mut() = formed.then_some(client);
                    return Some(RelayReply {
                        payload: reply,
                        sent_at: sent,
                    });
                }
                Ok(_) | Err(_) => *self.preferred.borrow_mut() = None,
            }
        }
        None
    }
}

/// How old the copy was that a reply tells; `None` where it tells none.
fn copy_age(reply: &Reply) -> Option<Duration> {
    match reply {
        Reply::Changes { mark, .. } | Reply::Directory { mark, .. } => Some(age(*mark)),
        Reply::Routes {
            age_milliseconds, ..
        } => Some(Duration::from_millis(u64::from(*age_milliseconds))),
        _ => None,
    }
}

impl DirectoryRelay for StoreRelay {
    fn has_sources(&self) -> bool {
        !self.seeds.is_empty() || self.groups.stores().is_formed()
    }

    fn fetch_changes(
        &self,
        after: u64,
        acceptable: RelayRequirements,
    ) -> RelayFuture<'_, RelayedChanges> {
        Box::pin(async move {
            let relayed = self.ask(Request::Changes { after }, acceptable).await?;
            let Reply::Changes {
                known,
                changes: List(changes),
                mark,
            } = relayed.payload
            else {
                return None;
            };
            let changes = changes.into_iter().map(from_directory_change).collect();
            let told = RelayedChanges {
                changes: known.then_some(changes),
                revision: mark.revision,
                age: age(mark),
                lapsed_entry_grace: back_within(mark),
            };
            let sent = relayed.sent_at;
            Some(RelayReply {
                payload: told,
                sent_at: sent,
            })
        })
    }

    fn fetch_routes(&self, within: Duration) -> RelayFuture<'_, RelayedRoutes> {
        Box::pin(async move {
            // Whoever tells the configuration has read it for this question.
            let acceptable = RelayRequirements {
                answer_timeout: within,
                max_age: Duration::MAX,
            };
            let relayed = self.ask(Request::Routes, acceptable).await?;
            let Reply::Routes {
                item,
                age_milliseconds,
            } = relayed.payload
            else {
                return None;
            };
            let told = RelayedRoutes {
                item: from_directory_item(item),
                age: Duration::from_millis(u64::from(age_milliseconds)),
            };
            let sent = relayed.sent_at;
            Some(RelayReply {
                payload: told,
                sent_at: sent,
            })
        })
    }

    fn fetch_items(&self, acceptable: RelayRequirements) -> RelayFuture<'_, RelayedItems> {
        Box::pin(async move {
            let relayed = self.ask(Request::Directory, acceptable).await?;
            let Reply::Directory {
                items: List(items),
                mark,
            } = relayed.payload
            else {
                return None;
            };
            let told = RelayedItems {
                items: items.into_iter().map(from_directory_item).collect(),
                revision: mark.revision,
                age: age(mark),
                lapsed_entry_grace: back_within(mark),
            };
            let sent = relayed.sent_at;
            Some(RelayReply {
                payload: told,
                sent_at: sent,
            })
        })
    }
}
