//! Divides the deployment's stores into groups. Each program belongs to one group, and
//! only that group's members store its turns and its budget. All groups are one value
//! under a key of this product in the key-value service.
//!
//! The number of groups is fixed when the stores have registered and never changes, so
//! no program moves to another group. Each group's member list has its own versions.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, hash};

use crate::members::{Member, MemberState, Members, Tolerance, write_quorum};

/// Smallest group that is formed: it keeps a majority after the loss of one store.
pub const MIN_GROUP_SIZE: usize = 3;

/// Index of a group in `StoreGroups::groups`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct GroupNumber(pub u32);

impl GroupNumber {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// All store groups, written as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct StoreGroups {
    /// Incremented with each change.
    pub version: u64,
    /// Member list of each group; empty until the groups are formed.
    pub groups: List<Members>,
}

impl StoreGroups {
    /// Returns a single group with these members.
    pub fn single(members: Members) -> Self {
        Self {
            version: members.version,
            groups: List(vec![members]),
        }
    }

    /// Returns whether the groups are formed. Nothing can have been stored before.
    pub fn is_formed(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Returns the members of a group.
    pub fn group(&self, number: GroupNumber) -> Option<&Members> {
        self.groups.get(number.index())
    }

    /// Iterates over the groups with their numbers.
    pub fn numbered(&self) -> impl Iterator<Item = (GroupNumber, &Members)> {
        (0..).map(GroupNumber).zip(self.groups.iter())
    }

    /// Returns the group for a hash; `None` before the groups are formed.
    pub fn group_of_hash(&self, hash: u64) -> Option<GroupNumber> {
        let count = u64::try_from(self.groups.len()).ok()?;
        let number = hash.checked_rem(count)?;
        u32::try_from(number).ok().map(GroupNumber)
    }

    /// Returns the group that the store on machine `node` is a member of.
    pub fn group_of_node(&self, node: &str) -> Option<GroupNumber> {
        self.numbered()
            .find(|(_, members)| members.get(node).is_some())
            .map(|(number, _)| number)
    }

    /// Iterates over the members of all groups, including those that a pending change
    /// removes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.groups.iter().flat_map(Members::all)
    }

    /// Returns the next version, with another member list for one group.
    pub fn with_group(&self, number: GroupNumber, members: Members) -> Self {
        let mut next = self.next_version();
        if let Some(list) = next.groups.get_mut(number.index()) {
            *list = members;
        }
        next
    }

    /// Returns the next version with unchanged groups.
    pub fn next_version(&self) -> Self {
        Self {
            version: self.version + 1,
            ..self.clone()
        }
    }

    /// Forms groups from the registered stores: as many full groups as possible, each
    /// spread over as many zones as possible. The remaining stores are spares, except
    /// that a single group takes all stores. Returns `None` if there are too few stores
    /// for the tolerance.
    pub fn form(&self, registered: &[Member], tolerance: &Tolerance) -> Option<Self> {
        let is_active = |member: &&Member| member.state == MemberState::Active;
        let registered: Vec<Member> = registered.iter().filter(is_active).cloned().collect();
        let size = group_size(tolerance, &registered)?;
        let mut stores: Vec<&Member> = registered.iter().collect();
        stores.sort_by(|one, other| (&one.zone, &one.node).cmp(&(&other.zone, &other.node)));
        let count = (stores.len() / size).max(1);
        if count > 1 {
            stores.truncate(count * size);
        }
        let mut groups = vec![Members::default(); count];
        for (position, store) in stores.into_iter().enumerate() {
            groups[position % count].list.push(store.clone());
        }
        for group in &mut groups {
            group.version = 1;
            group.write_quorum(tolerance)?;
        }
        Some(Self {
            version: self.version + 1,
            groups: List(groups),
        })
    }
}

/// Returns the number of members in a group: the fewest that keep a majority after the
/// tolerated losses, if the members are spread over the stores' zones. Returns the
/// number of all stores if they are too few for that but enough for a write quorum, and
/// `None` if they are not.
pub fn group_size(tolerance: &Tolerance, stores: &[Member]) -> Option<usize> {
    let mut size = MIN_GROUP_SIZE.max(2 * tolerance.machines + 1);
    while size <= stores.len() {
        if 2 * max_losses_when_spread(size, tolerance, stores) < size {
            return Some(size);
        }
        size += 2;
    }
    write_quorum(stores, tolerance).map(|_| stores.len())
}

/// Number of disks of a group of this size that may be lost at once, if its members are
/// spread over the zones of `stores`.
fn max_losses_when_spread(size: usize, tolerance: &Tolerance, stores: &[Member]) -> usize {
    let mut zones: Vec<&str> = stores.iter().map(|store| store.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut zone_count_by_region: BTreeMap<&str, usize> = BTreeMap::new();
    for zone in &zones {
        let region = tolerance.region_by_zone.get(*zone);
        let region = region.map_or(*zone, String::as_str);
        *zone_count_by_region.entry(region).or_default() += 1;
    }
    let per_zone = size.div_ceil(zones.len().max(1));
    let mut regions: Vec<usize> = zone_count_by_region.into_values().collect();
    regions.sort_unstable_by(|one, other| other.cmp(one));
    let lost_zones: usize = regions.into_iter().take(tolerance.regions).sum();
    let zone_losses = per_zone * tolerance.zones;
    let region_losses = per_zone * lost_zones;
    tolerance
        .machines
        .max(zone_losses)
        .max(region_losses)
        .min(size)
}

/// Selects the group that a spare store on machine `node` should join: the one with the
/// fewest live members, if fewer than `size`. Among equals each spare picks one by
/// hash, so that spares spread over the groups. A single group takes every store.
pub fn select_group_for_spare(
    groups: &StoreGroups,
    size: usize,
    node: &str,
    is_live: impl Fn(&Member) -> bool,
) -> Option<GroupNumber> {
    if groups.groups.len() == 1 {
        return Some(GroupNumber(0));
    }
    let live_count =
        |members: &Members| members.list.iter().filter(|member| is_live(member)).count();
    groups
        .numbered()
        .map(|(number, members)| (live_count(members), spare_preference(node, number), number))
        .filter(|(live_count, _, _)| *live_count < size)
        .min()
        .map(|(_, _, number)| number)
}

/// Rank of a group for one spare; the lowest is preferred.
fn spare_preference(node: &str, number: GroupNumber) -> u64 {
    hash::fnv1a(node.bytes().chain(number.0.to_le_bytes()))
}
