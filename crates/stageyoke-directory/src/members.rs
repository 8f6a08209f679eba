//! The list of one store group's members, and its quorums.
//!
//! A change of the list is a joint one: the value holds the members from now on
//! beside those before, and what is kept or known to be absent needs a quorum of
//! both, until the change is settled. So any members may be replaced by any
//! others in one change: quorums of the two lists need not intersect.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, Text};

/// Whether a store that has registered takes part in the groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MemberState {
    /// It does.
    Active,
    /// It leaves before the groups are formed.
    Leaving,
}

/// One store.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Member {
    /// Machine name.
    pub node: Text,
    /// `IP:PORT` of its inner listener.
    pub address: Text,
    /// Zone that it is in.
    pub zone: Text,
    /// Whether it takes part.
    pub state: MemberState,
    /// Identity of its disk: an answer of a disk that was lost since counts for nothing.
    pub disk: u64,
}

/// The list, as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Members {
    /// Rises by one with each change.
    pub version: u64,
    /// All members, in the order of their joining.
    pub list: List<Member>,
    /// The members before, while the change to `list` is not settled; else none.
    pub before: List<Member>,
}

impl Members {
    /// The member on this machine, also one that the change under way removes.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.all().find(|member| member.node.as_str() == node)
    }

    /// Whether the machine stays a member once the list is settled.
    pub fn remains_member(&self, node: &str) -> bool {
        contains(&self.list, node)
    }

    /// All members, also those that the change under way removes.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        let removed = self.before.iter();
        let removed = removed.filter(|member| !self.remains_member(&member.node));
        self.list.iter().chain(removed)
    }

    /// Whether no change is under way.
    pub fn is_settled(&self) -> bool {
        self.before.is_empty()
    }

    /// The next version with `member` added, or its entry replaced wherever it
    /// stands. A member may be added so only while nothing can be kept.
    pub fn with_member(&self, member: Member) -> Self {
        let mut next = Self {
            version: self.version + 1,
            ..self.clone()
        };
        if self.get(&member.node).is_none() {
            next.list.push(member);
            return next;
        }
        let entries = next.list.iter_mut().chain(next.before.iter_mut());
        for entry in entries.filter(|entry| entry.node == member.node) {
            *entry = member.clone();
        }
        next
    }

    /// The next version, in which a change to this list is under way. A change
    /// that is under way already gets another aim: what was kept meanwhile has a
    /// quorum of the members before.
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

    /// The next version, in which the change under way is settled.
    pub fn settle_change(&self) -> Self {
        Self {
            version: self.version + 1,
            list: self.list.clone(),
            before: List::default(),
        }
    }

    /// The next version, in which the change under way is given up.
    pub fn abandon_change(&self) -> Self {
        Self {
            version: self.version + 1,
            list: self.before.clone(),
            before: List::default(),
        }
    }

    /// The list without the member on this machine.
    pub fn list_without(&self, node: &str) -> List<Member> {
        let mut list = self.list.clone();
        list.retain(|member| member.node.as_str() != node);
        list
    }

    /// The list with another member in the place of the one on this machine.
    pub fn list_replacing(&self, node: &str, member: Member) -> List<Member> {
        let mut list = self.list.clone();
        for entry in list.iter_mut().filter(|entry| entry.node.as_str() == node) {
            *entry = member.clone();
        }
        list
    }

    /// Copies that a record needs of the list before it counts as kept. `None`
    /// while the group is too small for that.
    pub fn write_quorum(&self, tolerance: &Tolerance) -> Option<usize> {
        write_quorum(&self.list, tolerance)
    }

    /// The write quorums in force. `None` while the group is too small for one.
    pub fn quorums(&self, tolerance: &Tolerance) -> Option<Quorums> {
        let before = match self.is_settled() {
            true => 0,
            false => write_quorum(&self.before, tolerance)?,
        };
        Some(Quorums {
            current: write_quorum(&self.list, tolerance)?,
            previous: before,
        })
    }

    /// Whether these members are a write quorum of the list and, during a change, of
    /// the members before. A record that is on them is kept; one that so many
    /// complete members miss is known not to be.
    pub fn has_quorum(&self, quorums: Quorums, counts: impl Fn(&Member) -> bool) -> bool {
        let counted = |list: &[Member]| list.iter().filter(|member| counts(member)).count();
        counted(&self.list) >= quorums.current && counted(&self.before) >= quorums.previous
    }

    /// Whether these members meet every write quorum that a kept record may be on:
    /// of the members before during a change, else of the list. Any record that
    /// is kept then stands on one of them.
    pub fn intersects_every_quorum(
        &self,
        tolerance: &Tolerance,
        counts: impl Fn(&Member) -> bool,
    ) -> bool {
        let list = match self.is_settled() {
            true => &self.list,
            false => &self.before,
        };
        let Some(quorum) = write_quorum(list, tolerance) else {
            return false;
        };
        list.iter().filter(|member| counts(member)).count() > list.len() - quorum
    }
}

/// Members that a write quorum consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorums {
    /// Of the list.
    current: usize,
    /// Of the members before a change that is under way; else nought.
    previous: usize,
}

fn contains(list: &[Member], node: &str) -> bool {
    list.iter().any(|member| member.node.as_str() == node)
}

/// Copies that a record needs of these members before it counts as kept: a
/// majority, and more than the disks that may be lost. `None` where they are too
/// few for that.
pub fn write_quorum(list: &[Member], tolerance: &Tolerance) -> Option<usize> {
    let count = list.len();
    let needed = majority(count).max(max_losses(list, tolerance) + 1);
    (needed <= count).then_some(needed)
}

/// Disks that may be lost at once, by the tolerance and by where the members
/// stand.
fn max_losses(list: &[Member], tolerance: &Tolerance) -> usize {
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for member in list {
        let zone = member.zone.as_str();
        let region = tolerance.region_by_zone.get(zone);
        *zones.entry(zone).or_default() += 1;
        *regions
            .entry(region.map_or(zone, String::as_str))
            .or_default() += 1;
    }
    let in_zones = largest_total(zones.into_values(), tolerance.zones);
    let in_regions = largest_total(regions.into_values(), tolerance.regions);
    tolerance.machines.max(in_zones).max(in_regions)
}

/// What may be lost at once while nothing that was kept is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Machines.
    pub machines: usize,
    /// Zones, with all their machines.
    pub zones: usize,
    /// Regions, with all their zones.
    pub regions: usize,
    /// Region of each zone.
    pub region_by_zone: BTreeMap<String, String>,
}

impl Tolerance {
    /// Machines only.
    pub fn of_machines(machines: usize) -> Self {
        Self {
            machines,
            ..Self::default()
        }
    }
}

/// Members in the `count` largest places.
fn largest_total(sizes: impl Iterator<Item = usize>, count: usize) -> usize {
    let mut sizes: Vec<usize> = sizes.collect();
    sizes.sort_unstable_by(|one, other| other.cmp(one));
    sizes.into_iter().take(count).sum()
}

fn majority(count: usize) -> usize {
    count / 2 + 1
}
