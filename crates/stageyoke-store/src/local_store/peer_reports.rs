//! Membership information that a store receives from fronts and other stores, in addition
//! to the key-value service: newer store groups, stores that are about to become members,
//! and members that do not answer.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use stageyoke_directory::{GroupNumber, StoreGroups};
use stageyoke_types::{List, Text};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::LocalStore;
use crate::message::SilentPeer;

/// Information received from peers, and silent members to report to them.
#[derive(Debug, Default)]
pub(super) struct ReceivedReports {
    /// Notified when a requester used a newer member list.
    newer_member_list: Notify,
    /// Newest store groups received from another store, until they are applied.
    stores: RefCell<Option<StoreGroups>>,
    /// Time at which a store outside the group last asked for digests.
    spare_request_at: Cell<Option<Instant>>,
    /// Members that do not answer this store, as reported to other stores.
    silent_peers: RefCell<Vec<SilentSince>>,
}

/// A member that does not answer this store.
#[derive(Clone, Debug)]
pub struct SilentSince {
    /// Machine name of the member.
    pub node: Text,
    /// Time of its last answer.
    pub since: Instant,
}

impl SilentSince {
    fn to_silent_peer(&self) -> SilentPeer {
        let milliseconds = self.since.elapsed().as_millis();
        SilentPeer {
            node: self.node.clone(),
            silent_milliseconds: u32::try_from(milliseconds).unwrap_or(u32::MAX),
        }
    }
}

impl LocalStore {
    /// Records a request for digests by a store that is not a member of this store's group.
    pub(super) fn record_requester(&self, group: GroupNumber, node: &Text) {
        let is_own_group = self.group() == Some(group);
        if is_own_group && self.members().get(node).is_none() {
            self.received_reports
                .spare_request_at
                .set(Some(Instant::now()));
        }
    }

    /// Returns the time since a store outside the group last asked for digests.
    pub fn elapsed_since_spare_request(&self) -> Option<Duration> {
        self.received_reports
            .spare_request_at
            .get()
            .map(|at| at.elapsed())
    }

    /// Receives newer store groups from another store. Ignored if this store does not know
    /// its group's member list: a lost disk may have known newer groups.
    pub(super) fn receive_stores(&self, stores: StoreGroups) {
        let is_newer = stores.version > self.stores().version;
        if is_newer && self.group().is_some() && self.members().version > 0 {
            self.received_reports.stores.replace(Some(stores));
            self.received_reports.newer_member_list.notify_one();
        }
    }

    /// Takes the newer store groups received from another store.
    pub fn take_reported_stores(&self) -> Option<StoreGroups> {
        self.received_reports.stores.take()
    }

    /// Sets the members that do not answer this store, for reports to other stores.
    pub fn set_silent_peers(&self, silent: Vec<SilentSince>) {
        self.received_reports.silent_peers.replace(silent);
    }

    /// Returns the members that do not answer this store, for a report to another store.
    pub(super) fn silent_peers(&self) -> List<SilentPeer> {
        let silent = self.received_reports.silent_peers.borrow();
        silent.iter().map(SilentSince::to_silent_peer).collect()
    }

    /// Waits until a requester uses a newer member list of the group. The list is then
    /// worth reading from the key-value service, because a change of members waits until
    /// all of them know it.
    pub async fn wait_for_newer_member_list(&self) {
        self.received_reports.newer_member_list.notified().await;
    }

    /// Wakes `wait_for_newer_member_list` if a requester uses a newer member list.
    pub(super) fn check_requester_version(&self, group: GroupNumber, members_version: u64) {
        if self.membership.borrow().is_lagging(group, members_version) {
            self.received_reports.newer_member_list.notify_one();
        }
    }
}
