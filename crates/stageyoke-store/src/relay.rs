//! The directory on its way from stores to fronts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{
    Acceptable, Change, DirectoryRelay, Item, Relayed, Telling, ToldChanges, ToldItems, ToldRoutes,
};
use stageyoke_types::{Blob, List, Text};
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::groups::Groups;
use crate::message::{CopyMark, Reply, Request, SeenChange, SeenItem};

/// Stores that are asked one after the other for one answer.
const ASKED: usize = 3;

/// A store's answer to a question for changes.
pub fn changes_reply(told: ToldChanges) -> Reply {
    let mark = mark(told.revision, told.age);
    let known = told.changes.is_some();
    let changes = told.changes.unwrap_or_default();
    Reply::Changes {
        known,
        changes: changes.into_iter().map(seen_change).collect(),
        mark,
    }
}

/// A store's answer to a question for the configuration.
pub fn routes_reply(told: ToldRoutes) -> Reply {
    Reply::Routes {
        item: seen_item(told.item),
        age_milliseconds: rounded_up(told.age),
    }
}

/// A store's answer to a question for everything.
pub fn directory_reply(told: ToldItems) -> Reply {
    let mark = mark(told.revision, told.age);
    Reply::Directory {
        items: told.items.into_iter().map(seen_item).collect(),
        mark,
    }
}

fn mark(revision: u64, age: Duration) -> CopyMark {
    CopyMark {
        revision,
        age_milliseconds: rounded_up(age),
    }
}

/// Milliseconds, rounded up: a copy must not look younger than it is.
fn rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX)
}

/// An item as stores keep and tell it.
pub fn seen_item(item: Item) -> SeenItem {
    SeenItem {
        key: Text::from(item.key),
        value: Blob(item.value),
        revision: item.revision,
    }
}

/// An item that a store told.
pub fn told_item(seen: SeenItem) -> Item {
    Item {
        key: seen.key.to_string(),
        value: seen.value.0,
        revision: seen.revision,
    }
}

fn seen_change(change: Change) -> SeenChange {
    match change {
        Change::Written(item) => SeenChange {
            key: Text::from(item.key),
            value: Some(Blob(item.value)),
            revision: item.revision,
        },
        Change::Removed { key, revision } => SeenChange {
            key: Text::from(key),
            value: None,
            revision,
        },
    }
}

fn told_change(seen: SeenChange) -> Change {
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

fn age(mark: CopyMark) -> Duration {
    Duration::from_millis(u64::from(mark.age_milliseconds))
}

/// The stores that a front asks: members of the groups, those of its own zone
/// first; before it knows any, those that its settings name.
pub struct StoreRelay {
    groups: Rc<Groups>,
    seeds: Vec<String>,
    /// The store that answered last.
    preferred: RefCell<Option<Rc<StoreClient>>>,
}

impl StoreRelay {
    /// Asks members of these groups, or the stores at these addresses.
    pub fn new(groups: Rc<Groups>, seeds: Vec<String>) -> Self {
        Self {
            groups,
            seeds,
            preferred: RefCell::default(),
        }
    }

    /// Stores to ask: the one that answered last, one near, and others.
    fn candidates(&self) -> Vec<Rc<StoreClient>> {
        let mut clients = self.groups.clients_to_ask(ASKED);
        if clients.is_empty() {
            let seeds = self.seeds.iter();
            clients = seeds.map(|seed| Rc::new(StoreClient::new(seed))).collect();
            let count = clients.len().max(1);
            clients.sort_by_cached_key(|_| rand::random_range(0..count));
        }
        let preferred = self.preferred.borrow().clone();
        preferred.into_iter().chain(clients).collect()
    }

    /// Asks stores until one has a copy that is young enough. One that has not
    /// is asked no more before others: the service may have turned it away while
    /// it serves them.
    async fn ask(&self, request: Request, acceptable: Acceptable) -> Option<Relayed<Reply>> {
        let Acceptable { within, oldest } = acceptable;
        let deadline = Instant::now() + within;
        let candidates = self.candidates();
        let share = within / u32::try_from(candidates.len().max(1)).unwrap_or(1);
        for client in candidates {
            let sent = Instant::now();
            let left = deadline.saturating_duration_since(sent).min(share);
            match client.call(request.clone(), left).await {
                Ok(reply) if copy_age(&reply).is_some_and(|age| age < oldest) => {
                    *self.preferred.borrow_mut() = Some(client);
                    return Some(Relayed { told: reply, sent });
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
    fn knows_any(&self) -> bool {
        !self.seeds.is_empty() || self.groups.stores().formed()
    }

    fn changes(&self, after: u64, acceptable: Acceptable) -> Telling<'_, ToldChanges> {
        Box::pin(async move {
            let relayed = self.ask(Request::Changes { after }, acceptable).await?;
            let Reply::Changes {
                known,
                changes: List(changes),
                mark,
            } = relayed.told
            else {
                return None;
            };
            let changes = changes.into_iter().map(told_change).collect();
            let told = ToldChanges {
                changes: known.then_some(changes),
                revision: mark.revision,
                age: age(mark),
            };
            let sent = relayed.sent;
            Some(Relayed { told, sent })
        })
    }

    fn routes(&self, within: Duration) -> Telling<'_, ToldRoutes> {
        Box::pin(async move {
            // Whoever tells the configuration has read it for this question.
            let acceptable = Acceptable {
                within,
                oldest: Duration::MAX,
            };
            let relayed = self.ask(Request::Routes, acceptable).await?;
            let Reply::Routes {
                item,
                age_milliseconds,
            } = relayed.told
            else {
                return None;
            };
            let told = ToldRoutes {
                item: told_item(item),
                age: Duration::from_millis(u64::from(age_milliseconds)),
            };
            let sent = relayed.sent;
            Some(Relayed { told, sent })
        })
    }

    fn items(&self, acceptable: Acceptable) -> Telling<'_, ToldItems> {
        Box::pin(async move {
            let relayed = self.ask(Request::Directory, acceptable).await?;
            let Reply::Directory {
                items: List(items),
                mark,
            } = relayed.told
            else {
                return None;
            };
            let told = ToldItems {
                items: items.into_iter().map(told_item).collect(),
                revision: mark.revision,
                age: age(mark),
            };
            let sent = relayed.sent;
            Some(Relayed { told, sent })
        })
    }
}
