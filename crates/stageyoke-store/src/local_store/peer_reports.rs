//! What a store hears of its group's list from callers and other stores, beside the
//! key-value service: newer versions, stores that are to become members, members that
//! don't answer.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use stageyoke_directory::{GroupNumber, StoreGroups};
use stageyoke_types::{List, Text};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::LocalStore;
use crate::message::SilentPeer;

/// What was heard.
#[derive(Debug, Default)]
pub(super) struct Heard {
    /// A caller went by a newer list.
    newer_list: Notify,
    /// Newer store groups that another store told of.
    stores: RefCell<Option<StoreGroups>>,
    /// When a store that is no member compared with this one.
    spare_at: Cell<Option<Instant>>,
    /// Members that don't answer this store, told to others.
    silent_peers: RefCell<Vec<SilentSince>>,
}

/// A member that does not answer this store.
#[derive(Clone, Debug)]
pub struct SilentSince {
    /// Its machine.
    pub node: Text,
    /// When it answered last.
    pub since: Instant,
}

impl SilentSince {
    fn told_now(&self) -> SilentPeer {
        let milliseconds = self.since.elapsed().as_millis();
        SilentPeer {
            node: self.node.clone(),
            milliseconds: u32::try_from(milliseconds).unwrap_or(u32::MAX),
        }
    }
}

impl LocalStore {
    /// Notes who compares with this store as a member, or as one that is to become one.
    pub(super) fn note_asker(&self, group: GroupNumber, node: &Text) {
        let own_group = self.group() == Some(group);
        if own_group && self.members().get(node).is_none() {
            self.heard.spare_at.set(Some(Instant::now()));
        }
    }

    /// How long ago a store that is no member of the group compared with this one.
    pub fn elapsed_since_spare_request(&self) -> Option<Duration> {
        self.heard.spare_at.get().map(|at| at.elapsed())
    }

    /// Another store goes by these groups. A store whose group's list is not known here
    /// takes none: a lost disk may have known newer ones.
    pub(super) fn hear_stores(&self, stores: StoreGroups) {
        let newer = stores.version > self.stores().version;
        if newer && self.group().is_some() && self.members().version > 0 {
            self.heard.stores.replace(Some(stores));
            self.heard.newer_list.notify_one();
        }
    }

    /// Newer store groups that another store told of.
    pub fn take_reported_stores(&self) -> Option<StoreGroups> {
        self.heard.stores.take()
    }

    /// These members don't answer this store.
    pub fn set_silent_peers(&self, silent: Vec<SilentSince>) {
        self.heard.silent_peers.replace(silent);
    }

    /// What others are told of members that don't answer.
    pub(super) fn silent_peers(&self) -> List<SilentPeer> {
        let silent = self.heard.silent_peers.borrow();
        silent.iter().map(SilentSince::told_now).collect()
    }

    /// A caller went by a newer list of the group: it is worth a read of the service.
    /// A change waits for the members that have not heard of it.
    pub async fn wait_for_newer_member_list(&self) {
        self.heard.newer_list.notified().await;
    }

    /// Notes by which version a caller goes.
    pub(super) fn note_version(&self, group: GroupNumber, members_version: u64) {
        if self.standing.borrow().is_lagging(group, members_version) {
            self.heard.newer_list.notify_one();
        }
    }
}
