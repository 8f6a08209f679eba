//! The deployment's stores in groups. Each program belongs to one group, whose
//! members alone keep its turns and its budget. All of it is one value under a
//! key of the product's own in the key-value service.
//!
//! How many groups there are is settled once, when the stores have registered,
//! and never changes: no program ever moves to another group. Each group's list
//! has versions of its own.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, hash};

use crate::members::{Member, MemberState, Members, Tolerance, write_quorum};

/// Smallest group to be formed: one store can be lost and a majority is left.
pub const MIN_GROUP_SIZE: usize = 3;

/// A group's place among the groups, from zero on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct GroupNumber(pub u32);

impl GroupNumber {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// All store groups, as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct StoreGroups {
    /// Rises by one with each change.
    pub version: u64,
    /// The groups; none until they are formed.
    pub groups: List<Members>,
}

impl StoreGroups {
    /// One group of these members.
    pub fn single(members: Members) -> Self {
        Self {
            version: members.version,
            groups: List(vec![members]),
        }
    }

    /// Whether the groups are formed. Nothing can have been kept before.
    pub fn is_formed(&self) -> bool {
        !self.groups.is_empty()
    }

    /// The members of a group.
    pub fn group(&self, number: GroupNumber) -> Option<&Members> {
        self.groups.get(number.index())
    }

    /// All groups with their numbers.
    pub fn numbered(&self) -> impl Iterator<Item = (GroupNumber, &Members)> {
        (0..).map(GroupNumber).zip(self.groups.iter())
    }

    /// The group that what has this hash belongs to; none before they are
    /// formed.
    pub fn group_of_hash(&self, hash: u64) -> Option<GroupNumber> {
        let count = u64::try_from(self.groups.len()).ok()?;
        let number = hash.checked_rem(count)?;
        u32::try_from(number).ok().map(GroupNumber)
    }

    /// The group that this machine's store is a member of.
    pub fn group_of_node(&self, node: &str) -> Option<GroupNumber> {
        self.numbered()
            .find(|(_, members)| members.get(node).is_some())
            .map(|(number, _)| number)
    }

    /// Members of all groups, also those that a change under way removes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.groups.iter().flat_map(Members::all)
    }

    /// The next version with another list for one group.
    pub fn with_group(&self, number: GroupNumber, members: Members) -> Self {
        let mut next = self.next_version();
        if let Some(list) = next.groups.get_mut(number.index()) {
            *list = members;
        }
        next
    }

    /// The next version, with nothing else changed.
    pub fn next_version(&self) -> Self {
        Self {
            version: self.version + 1,
            ..self.clone()
        }
    }

    /// The groups that these registered stores form: as many as there are whole
    /// ones, each over as many zones as can be; the stores beyond them are
    /// spares. Where there is one group only it takes all stores. `None` while
    /// they are too few for the tolerance.
    pub fn form(&self, registered: &[Member], tolerance: &Tolerance) -> Option<Self> {
        let active = |member: &&Member| member.state == MemberState::Active;
        let registered: Vec<Member> = registered.iter().filter(active).cloned().collect();
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

/// Members of an ordinary group: the fewest of which a majority is left after
/// the losses that are tolerated, with the members spread over the stores'
/// zones. All stores where they are too few for that but enough for a write
/// quorum; `None` where they are not.
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

/// Disks of a group of this size that may be lost at once, if its members stand
/// in as many zones as the stores do.
fn max_losses_when_spread(size: usize, tolerance: &Tolerance, stores: &[Member]) -> usize {
    let mut zones: Vec<&str> = stores.iter().map(|store| store.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut zones_of_regions: BTreeMap<&str, usize> = BTreeMap::new();
    for zone in &zones {
        let region = tolerance.region_by_zone.get(*zone);
        let region = region.map_or(*zone, String::as_str);
        *zones_of_regions.entry(region).or_default() += 1;
    }
    let in_zone = size.div_ceil(zones.len().max(1));
    let mut regions: Vec<usize> = zones_of_regions.into_values().collect();
    regions.sort_unstable_by(|one, other| other.cmp(one));
    let zones_in_regions: usize = regions.into_iter().take(tolerance.regions).sum();
    let in_zones = in_zone * tolerance.zones;
    let in_regions = in_zone * zones_in_regions;
    tolerance.machines.max(in_zones).max(in_regions).min(size)
}

/// The group that the store on this machine, a member of none, should fill up
/// for: the one that lacks the most living members of an ordinary group.
/// Of several that lack as many each spare chooses one of its own, as far as
/// hashes go. Where there is one group only, it takes every store.
pub fn select_group_for_spare(
    groups: &StoreGroups,
    size: usize,
    node: &str,
    lives: impl Fn(&Member) -> bool,
) -> Option<GroupNumber> {
    if groups.groups.len() == 1 {
        return Some(GroupNumber(0));
    }
    let serving = |members: &Members| members.list.iter().filter(|member| lives(member)).count();
    groups
        .numbered()
        .map(|(number, members)| (serving(members), spare_preference(node, number), number))
        .filter(|(serving, _, _)| *serving < size)
        .min()
        .map(|(_, _, number)| number)
}

/// Order of the groups for one spare.
fn spare_preference(node: &str, number: GroupNumber) -> u64 {
    hash::fnv1a(node.bytes().chain(number.0.to_le_bytes()))
}
