//! Membership of the local store: the known store groups, the group that it belongs to or
//! backfills for, and the group for which its disk is complete. Pure.

use std::rc::Rc;

use stageyoke_directory::{GroupNumber, Member, Members, StoreGroups};
use stageyoke_types::Text;

use crate::completeness::Completeness;
use crate::message::{Refusal, Reply};

/// Membership of a store as reported to a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// True if the store is authoritative for the records that it lacks.
    pub complete: bool,
    /// Version of the member list that the store uses.
    pub members_version: u64,
}

/// Membership of the local store.
#[derive(Clone, Debug)]
pub struct MembershipState {
    node: Text,
    stores: Rc<StoreGroups>,
    group: Option<GroupNumber>,
    completeness: Completeness,
}

impl MembershipState {
    /// Creates the state from what the disk holds at the start.
    pub fn new(node: Text, stores: StoreGroups, completeness: Completeness) -> Self {
        Self {
            group: stores.group_of_node(&node),
            node,
            stores: Rc::new(stores),
            completeness,
        }
    }

    /// Store groups in use.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.stores.clone()
    }

    /// Group that this store belongs to or backfills for.
    pub fn group(&self) -> Option<GroupNumber> {
        self.group
    }

    /// Member list of that group; empty if there is none.
    pub fn members(&self) -> Members {
        let members = self.group.and_then(|group| self.stores.group(group));
        members.cloned().unwrap_or_default()
    }

    fn own_entry(&self, group: GroupNumber) -> Option<&Member> {
        self.stores.group(group)?.get(&self.node)
    }

    /// Checks whether the disk holds everything that the store has acknowledged as a member
    /// of its group or, before groups exist, of any group.
    pub fn is_complete(&self) -> bool {
        match self.group {
            Some(group) => self.is_complete_for(group),
            None => self.completeness == Completeness::SinceFormation,
        }
    }

    /// Checks whether the disk holds everything that the store has acknowledged as a member
    /// of this group.
    pub fn is_complete_for(&self, group: GroupNumber) -> bool {
        self.completeness
            .is_complete_for(group, &self.node, &self.stores)
    }

    /// Checks whether this store is authoritative for the records that it lacks, towards a
    /// caller with this version of the member list. It must be a complete member, and the
    /// caller's list must not be older than its own: an older list may name removed stores
    /// that have not learned of their removal.
    pub fn is_authoritative_for(&self, group: GroupNumber, members_version: u64) -> bool {
        self.is_complete_for(group)
            && self.own_entry(group).is_some()
            && !self.is_stale(group, members_version)
    }

    /// Returns the status to report to a peer with this version of the member list.
    pub fn peer_status(&self, group: GroupNumber, members_version: u64) -> PeerStatus {
        PeerStatus {
            complete: self.is_authoritative_for(group, members_version),
            members_version: self.version_of(group),
        }
    }

    /// Version of a group's member list in use; 0 if there is none.
    pub fn version_of(&self, group: GroupNumber) -> u64 {
        let members = self.stores.group(group);
        members.map_or(0, |members| members.version)
    }

    /// Checks whether a caller's member list is older than this store's. Once enough members
    /// know of a change to intersect every older quorum, no record is stored or reported as
    /// absent under an older list; the next change waits for this (see `membership`).
    fn is_stale(&self, group: GroupNumber, members_version: u64) -> bool {
        members_version < self.version_of(group)
    }

    /// Checks whether a caller uses a newer member list of this store's group than the store
    /// itself.
    pub fn is_lagging(&self, group: GroupNumber, members_version: u64) -> bool {
        self.group == Some(group) && members_version > self.version_of(group)
    }

    /// Declares the disk complete for the store's group. Returns the marker to write to the
    /// disk if it changes.
    pub fn declare_complete(&mut self) -> Option<Completeness> {
        let completeness = match self.group {
            Some(group) => Completeness::Of(group),
            None => Completeness::SinceFormation,
        };
        let before = std::mem::replace(&mut self.completeness, completeness);
        (before != completeness).then_some(completeness)
    }

    /// Replaces the marker of a disk that dates from before the formation by one that names
    /// the group, once the group is known: the store may leave the group later.
    pub fn resolve_completeness(&mut self) -> Option<Completeness> {
        let since_formation = self.completeness == Completeness::SinceFormation;
        match since_formation && self.group.is_some() && self.is_complete() {
            true => self.declare_complete(),
            false => None,
        }
    }

    /// Applies store groups if they are newer and returns whether they were. A store that is
    /// a member of a group serves that group.
    pub fn update_stores(&mut self, stores: Rc<StoreGroups>) -> bool {
        if stores.version <= self.stores.version {
            return false;
        }
        let own_group = stores.group_of_node(&self.node);
        self.stores = stores;
        if own_group.is_some() {
            self.group = own_group;
        }
        true
    }

    /// Selects the group that this store backfills for, unless it is a member of one.
    pub fn backfill_for(&mut self, group: Option<GroupNumber>) {
        if self.stores.group_of_node(&self.node).is_none() {
            self.group = group;
        }
    }

    /// Returns the reply that rejects a record from a caller with this version of the member
    /// list; `None` if the record is accepted.
    pub fn refusal(&self, group: GroupNumber, members_version: u64) -> Option<Reply> {
        let local_entry = self.own_entry(group);
        let not_in_group = local_entry.is_none() && self.stores.is_formed();
        if not_in_group || self.is_stale(group, members_version) {
            return Some(Reply::StaleMembers((*self.stores).clone()));
        }
        local_entry
            .is_none()
            .then_some(Reply::Refused(Refusal::NotAMember))
    }
}
