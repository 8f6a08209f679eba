//! Where a store stands: the groups as it knows them, the group that it serves
//! or fills up for, and for which group its disk is complete. Pure.

use std::rc::Rc;

use stageyoke_directory::{GroupNumber, Member, Members, StoreGroups};
use stageyoke_types::Text;

use crate::completeness::Completeness;
use crate::message::{Refusal, Reply};

/// How a store stands as a member of a group, as another store sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Whether it vouches for what it misses.
    pub complete: bool,
    /// The version of the member list that it goes by.
    pub members_version: u64,
}

/// One store's standing.
#[derive(Clone, Debug)]
pub struct MembershipState {
    node: Text,
    stores: Rc<StoreGroups>,
    group: Option<GroupNumber>,
    completeness: Completeness,
}

impl MembershipState {
    /// Of the store on this machine, by what its disk tells.
    pub fn new(node: Text, stores: StoreGroups, completeness: Completeness) -> Self {
        Self {
            group: stores.group_of_node(&node),
            node,
            stores: Rc::new(stores),
            completeness,
        }
    }

    /// The store groups that it goes by.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.stores.clone()
    }

    /// The group that it is a member of, or fills up for.
    pub fn group(&self) -> Option<GroupNumber> {
        self.group
    }

    /// The member list of that group; empty where there is none.
    pub fn members(&self) -> Members {
        let members = self.group.and_then(|group| self.stores.group(group));
        members.cloned().unwrap_or_default()
    }

    fn entry_in(&self, group: GroupNumber) -> Option<&Member> {
        self.stores.group(group)?.get(&self.node)
    }

    /// Whether the disk holds everything that the store ever acknowledged as a
    /// member of its group; before there are groups, of any.
    pub fn is_complete(&self) -> bool {
        match self.group {
            Some(group) => self.is_complete_for(group),
            None => self.completeness == Completeness::SinceFormation,
        }
    }

    /// The same for one group.
    pub fn is_complete_for(&self, group: GroupNumber) -> bool {
        self.completeness
            .is_complete_for(group, &self.node, &self.stores)
    }

    /// Whether the store vouches for what its disk misses, to one who goes by
    /// this version of the group's member list: a complete member, by a list
    /// that is not older than its own. An older one may name stores that have
    /// been removed since and don't know it.
    pub fn is_authoritative_for(&self, group: GroupNumber, members_version: u64) -> bool {
        self.is_complete_for(group)
            && self.entry_in(group).is_some()
            && !self.stale(group, members_version)
    }

    /// What another store that goes by this version is told.
    pub fn peer_status(&self, group: GroupNumber, members_version: u64) -> PeerStatus {
        PeerStatus {
            complete: self.is_authoritative_for(group, members_version),
            members_version: self.version_of(group),
        }
    }

    fn version_of(&self, group: GroupNumber) -> u64 {
        let members = self.stores.group(group);
        members.map_or(0, |members| members.version)
    }

    /// Whether a caller's list is older than this store's. Once so many members
    /// know of a change that every older quorum is met, nothing is kept or told as
    /// absent by an older list: that is what the next list waits for
    /// (`membership`).
    fn stale(&self, group: GroupNumber, members_version: u64) -> bool {
        members_version < self.version_of(group)
    }

    /// Whether a caller goes by a newer list of this store's group than the store.
    pub fn is_lagging(&self, group: GroupNumber, members_version: u64) -> bool {
        self.group == Some(group) && members_version > self.version_of(group)
    }

    /// Declares the disk complete for the store's group; returns the mark that
    /// the disk needs if it has another.
    pub fn declare_complete(&mut self) -> Option<Completeness> {
        let completeness = match self.group {
            Some(group) => Completeness::Of(group),
            None => Completeness::SinceFormation,
        };
        let before = std::mem::replace(&mut self.completeness, completeness);
        (before != completeness).then_some(completeness)
    }

    /// Names the group in the mark of a disk that has been there since the
    /// formation, once it is known: the store may leave that group later.
    pub fn resolve_completeness(&mut self) -> Option<Completeness> {
        let since_formation = self.completeness == Completeness::SinceFormation;
        match since_formation && self.group.is_some() && self.is_complete() {
            true => self.declare_complete(),
            false => None,
        }
    }

    /// Takes newer store groups; false if they are not newer. A member of a
    /// group serves that one.
    pub fn update_stores(&mut self, stores: Rc<StoreGroups>) -> bool {
        if stores.version <= self.stores.version {
            return false;
        }
        let own = stores.group_of_node(&self.node);
        self.stores = stores;
        if own.is_some() {
            self.group = own;
        }
        true
    }

    /// A store that is a member of no group fills up for this one.
    pub fn backfill_for(&mut self, group: Option<GroupNumber>) {
        if self.stores.group_of_node(&self.node).is_none() {
            self.group = group;
        }
    }

    /// Why a caller with this version of a group's member list gets no record
    /// kept.
    pub fn refusal(&self, group: GroupNumber, members_version: u64) -> Option<Reply> {
        let own = self.entry_in(group);
        let elsewhere = own.is_none() && self.stores.is_formed();
        if elsewhere || self.stale(group, members_version) {
            return Some(Reply::StaleMembers((*self.stores).clone()));
        }
        own.is_none().then_some(Reply::Refused(Refusal::NotAMember))
    }
}
