//! Member list of a store group, and its quorums.
//!
//! A change of the list goes through a joint configuration, which holds the new members
//! beside the previous ones. Until the change is settled, storing a record or declaring
//! it absent needs a quorum of both lists. Any members can therefore be replaced by any
//! others in one change: quorums of the two lists need not intersect.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, Text};

/// Whether a registered store takes part in the groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MemberState {
    /// The store takes part.
    Active,
    /// The store leaves before the groups are formed.
    Leaving,
}

/// A store, as a member of a group.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Member {
    /// Name of the machine.
    pub node: Text,
    /// `IP:PORT` of the store's internal listener.
    pub address: Text,
    /// Zone of the machine.
    pub zone: Text,
    /// Whether the store takes part in the groups.
    pub state: MemberState,
    /// Identity of the store's disk; answers from a disk that has since been lost are
    /// ignored.
    pub disk: u64,
}

/// Member list of a group, written as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Members {
    /// Incremented with each change.
    pub version: u64,
    /// All members, in the order in which they joined.
    pub list: List<Member>,
    /// Previous members while a change is pending, which makes this a joint
    /// configuration; otherwise empty.
    pub before: List<Member>,
}

impl Members {
    /// Returns the member on machine `node`, including one that a pending change
    /// removes.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.all().find(|member| member.node.as_str() == node)
    }

    /// Returns whether machine `node` is in the new member list.
    pub fn remains_member(&self, node: &str) -> bool {
        contains(&self.list, node)
    }

    /// Iterates over all members, including those that a pending change removes.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        let removed = self.before.iter();
        let removed = removed.filter(|member| !self.remains_member(&member.node));
        self.list.iter().chain(removed)
    }

    /// Returns whether no change is pending.
    pub fn is_settled(&self) -> bool {
        self.before.is_empty()
    }

    /// Returns the next version with `member` added, or replaced in both lists. Adding
    /// a member this way is safe only while nothing can be stored.
    pub fn with_member(&self, member: Member) -> Self {
        let mut next = Self {
            version: self.version + 1,
            ..self.clone()
        };
        if self.get(&member.node).is_none() {
            next.list.push(member);
            return next;
        }
        let existing = next.list.iter_mut().chain(next.before.iter_mut());
        for entry in existing.filter(|entry| entry.node == member.node) {
            *entry = member.clone();
        }
        next
    }

    /// Returns the next version with a pending change to `list`. If a change is already
    /// pending, its target is replaced: what was stored meanwhile has a quorum of the
    /// previous members.
    pub fn start_change(&self, list: List<Member>) -> Self {
        let before = match self.is_settled() {
            true => self.list.clone(),
            false => self.before.clone(),
        };
        Self {
            version: self.version + 1,
            list,
            before,
        }
    }

    /// Returns the next version, in which the pending change is settled.
    pub fn settle_change(&self) -> Self {
        Self {
            version: self.version + 1,
            list: self.list.clone(),
            before: List::default(),
        }
    }

    /// Returns the next version, in which the pending change is undone.
    pub fn abandon_change(&self) -> Self {
        Self {
            version: self.version + 1,
            list: self.before.clone(),
            before: List::default(),
        }
    }

    /// Returns the member list without the member on machine `node`.
    pub fn list_without(&self, node: &str) -> List<Member> {
        let mut list = self.list.clone();
        list.retain(|member| member.node.as_str() != node);
        list
    }

    /// Returns the member list with `member` in place of the one on machine `node`.
    pub fn list_replacing(&self, node: &str, member: Member) -> List<Member> {
        let mut list = self.list.clone();
        for entry in list.iter_mut().filter(|entry| entry.node.as_str() == node) {
            *entry = member.clone();
        }
        list
    }

    /// Returns the number of copies that make a record durable; `None` if the group is
    /// too small.
    pub fn write_quorum(&self, tolerance: &Tolerance) -> Option<usize> {
        write_quorum(&self.list, tolerance)
    }

    /// Returns the write quorums in force; `None` if the group is too small for one.
    pub fn quorums(&self, tolerance: &Tolerance) -> Option<Quorums> {
        let previous = match self.is_settled() {
            true => 0,
            false => write_quorum(&self.before, tolerance)?,
        };
        Some(Quorums {
            current: write_quorum(&self.list, tolerance)?,
            previous,
        })
    }

    /// Returns whether the selected members are a write quorum of the list and, during
    /// a change, also of the previous members. A record on such members is durable; a
    /// record that is missing on such members, all of them complete, is known not to
    /// be.
    pub fn has_quorum(&self, quorums: Quorums, is_selected: impl Fn(&Member) -> bool) -> bool {
        let selected_count =
            |list: &[Member]| list.iter().filter(|member| is_selected(member)).count();
        selected_count(&self.list) >= quorums.current
            && selected_count(&self.before) >= quorums.previous
    }

    /// Returns whether the selected members intersect every write quorum that may hold
    /// a record: of the previous members during a change, otherwise of the list. Every
    /// durable record is then on at least one of them.
    pub fn intersects_every_quorum(
        &self,
        tolerance: &Tolerance,
        is_selected: impl Fn(&Member) -> bool,
    ) -> bool {
        let list = match self.is_settled() {
            true => &self.list,
            false => &self.before,
        };
        let Some(quorum) = write_quorum(list, tolerance) else {
            return false;
        };
        list.iter().filter(|member| is_selected(member)).count() > list.len() - quorum
    }
}

/// Sizes of the write quorums of a member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorums {
    /// Members needed from the list.
    current: usize,
    /// Members needed from the previous list during a change; otherwise zero.
    previous: usize,
}

fn contains(list: &[Member], node: &str) -> bool {
    list.iter().any(|member| member.node.as_str() == node)
}

/// Returns the number of copies that make a record durable: a majority, and more than
/// the disks that may be lost at once. `None` if there are too few members.
pub fn write_quorum(list: &[Member], tolerance: &Tolerance) -> Option<usize> {
    let count = list.len();
    let needed = majority(count).max(max_losses(list, tolerance) + 1);
    (needed <= count).then_some(needed)
}

/// Number of disks that may be lost at once, by the tolerance and the members' zones.
fn max_losses(list: &[Member], tolerance: &Tolerance) -> usize {
    let mut zone_sizes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut region_sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for member in list {
        let zone = member.zone.as_str();
        let region = tolerance.region_by_zone.get(zone);
        *zone_sizes.entry(zone).or_default() += 1;
        *region_sizes
            .entry(region.map_or(zone, String::as_str))
            .or_default() += 1;
    }
    let zone_losses = largest_total(zone_sizes.into_values(), tolerance.zones);
    let region_losses = largest_total(region_sizes.into_values(), tolerance.regions);
    tolerance.machines.max(zone_losses).max(region_losses)
}

/// Simultaneous losses that must not lose stored records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of machines.
    pub machines: usize,
    /// Number of whole zones.
    pub zones: usize,
    /// Number of whole regions.
    pub regions: usize,
    /// Region of each zone. A zone without an entry is a region of its own.
    pub region_by_zone: BTreeMap<String, String>,
}

impl Tolerance {
    /// Tolerates the loss of machines only.
    pub fn of_machines(machines: usize) -> Self {
        Self {
            machines,
            ..Self::default()
        }
    }
}

/// Returns the sum of the `count` largest sizes.
fn largest_total(sizes: impl Iterator<Item = usize>, count: usize) -> usize {
    let mut sizes: Vec<usize> = sizes.collect();
    sizes.sort_unstable_by(|one, other| other.cmp(one));
    sizes.into_iter().take(count).sum()
}

fn majority(count: usize) -> usize {
    count / 2 + 1
}
