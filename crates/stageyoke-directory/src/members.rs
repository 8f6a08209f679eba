//! The list of one store group's members. It changes one member at a time, so
//! that the quorums of neighbouring versions intersect.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, Text};

/// Whether a member takes new records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MemberState {
    /// Takes and keeps records.
    Active,
    /// Being emptied: serves reads, refuses records.
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
    /// Whether it takes new records.
    pub state: MemberState,
}

/// The list, as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Members {
    /// Rises by one with each change.
    pub version: u64,
    /// All members, in the order of their joining.
    pub list: List<Member>,
}

impl Members {
    /// The member on this machine.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.list.iter().find(|member| member.node.as_str() == node)
    }

    /// The next version with `member` added or replaced.
    pub fn with(&self, member: Member) -> Self {
        let mut next = self.without(&member.node);
        match self.list.iter().position(|old| old.node == member.node) {
            Some(position) => next.list.insert(position, member),
            None => next.list.push(member),
        }
        next
    }

    /// The next version without the member on this machine.
    pub fn without(&self, node: &str) -> Self {
        let mut list = self.list.clone();
        list.retain(|member| member.node.as_str() != node);
        Self {
            version: self.version + 1,
            list,
        }
    }

    /// Disks that may be lost at once, by the tolerance and by where the
    /// members stand.
    fn losses(&self, tolerance: &Tolerance) -> usize {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
        for member in self.list.iter() {
            let zone = member.zone.as_str();
            let region = tolerance.regions_of_zones.get(zone);
            *zones.entry(zone).or_default() += 1;
            *regions
                .entry(region.map_or(zone, String::as_str))
                .or_default() += 1;
        }
        let in_zones = largest(zones.into_values(), tolerance.zones);
        let in_regions = largest(regions.into_values(), tolerance.regions);
        tolerance.machines.max(in_zones).max(in_regions)
    }

    /// Copies that a record needs before it counts as kept: a majority, and
    /// more than the disks that may be lost. `None` while the group is too
    /// small for that.
    pub fn write_quorum(&self, tolerance: &Tolerance) -> Option<usize> {
        let count = self.list.len();
        let needed = majority(count).max(self.losses(tolerance) + 1);
        (needed <= count).then_some(needed)
    }

    /// Complete members that must miss a record before it is known not to be
    /// kept: every set of this size meets every write quorum of this list and
    /// of the one before it, which may have been smaller by one. That one's was
    /// above the losses as well, or it could keep nothing: with its majority alone a
    /// group of two, one of which has lost its disk, or of four, two of which have,
    /// could never vouch for anything again.
    pub fn absence_quorum(&self, tolerance: &Tolerance) -> Option<usize> {
        let count = self.list.len();
        let needed = self.write_quorum(tolerance)?;
        let smaller = majority(count - 1).max(tolerance.machines + 1);
        let before = if smaller < count { smaller } else { needed };
        Some(count - needed.min(before) + 1)
    }

    /// Members that must go by this list, and refuse whoever goes by an older one,
    /// before no older list can reach a write quorum any more. The one before may
    /// have been larger by one as well.
    pub fn fence_quorum(&self, tolerance: &Tolerance) -> Option<usize> {
        let count = self.list.len();
        let needed = self.write_quorum(tolerance)?;
        let before = majority(count - 1).max(1);
        Some(count - needed.min(before) + 1)
    }
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
    pub regions_of_zones: BTreeMap<String, String>,
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
fn largest(sizes: impl Iterator<Item = usize>, count: usize) -> usize {
    let mut sizes: Vec<usize> = sizes.collect();
    sizes.sort_unstable_by(|one, other| other.cmp(one));
    sizes.into_iter().take(count).sum()
}

fn majority(count: usize) -> usize {
    count / 2 + 1
}
