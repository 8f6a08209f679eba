//! Store groups: their number, their members, and which group a spare joins.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use stageyoke_directory::groups::{group_size, select_group_for_spare};
use stageyoke_directory::{GroupNumber, Member, MemberState, StoreGroups, Tolerance};
use stageyoke_types::Text;

fn store(number: usize, zones: usize) -> Member {
    Member {
        node: Text::from(format!("store-{number:02}")),
        address: Text::from(format!("10.0.0.{number}:7000")),
        zone: Text::from(format!("zone-{}", number % zones)),
        state: MemberState::Active,
        disk: 0,
    }
}

fn registered(count: usize, zones: usize) -> Vec<Member> {
    (0..count).map(|number| store(number, zones)).collect()
}

fn form(registered: &[Member], tolerance: &Tolerance) -> Option<StoreGroups> {
    StoreGroups::default().form(registered, tolerance)
}

fn tolerance(machines: usize, zones: usize) -> Tolerance {
    Tolerance {
        machines,
        zones,
        ..Tolerance::default()
    }
}

/// Arguments: stores, zones, tolerated machines and zones; number of groups and members
/// in each.
#[rstest]
#[case::three_stores_in_one_group(3, 3, 1, 0, Some((1, 3)))]
#[case::four_stores_in_one_group(4, 4, 1, 0, Some((1, 4)))]
#[case::five_stores_in_one_group(5, 5, 1, 0, Some((1, 5)))]
#[case::two_groups_and_two_spares(8, 4, 1, 0, Some((2, 3)))]
#[case::two_lost_disks(12, 6, 2, 0, Some((2, 5)))]
#[case::seven_groups_of_five_and_a_spare(36, 6, 2, 0, Some((7, 5)))]
#[case::sixteen_groups_of_five(84, 7, 2, 0, Some((16, 5)))]
#[case::a_lost_zone_of_three(21, 3, 1, 1, Some((7, 3)))]
#[case::a_lost_zone_or_two_disks(21, 3, 2, 1, Some((4, 5)))]
#[case::two_lost_zones_of_three_need_all_stores(21, 3, 1, 2, Some((1, 21)))]
#[case::two_lost_zones_of_five(20, 5, 1, 2, Some((4, 5)))]
#[case::too_few_stores_for_two_lost_disks(2, 2, 2, 0, None)]
#[case::just_enough_stores(3, 3, 2, 0, Some((1, 3)))]
fn group_size_follows_from_the_tolerated_losses(
    #[case] stores: usize,
    #[case] zones: usize,
    #[case] machines: usize,
    #[case] lost_zones: usize,
    #[case] expected: Option<(usize, usize)>,
) {
    let tolerance = tolerance(machines, lost_zones);
    let formed = form(&registered(stores, zones), &tolerance);
    let shape = formed.as_ref().map(|formed| {
        let sizes: BTreeSet<usize> = formed.groups.iter().map(|group| group.list.len()).collect();
        assert_eq!(sizes.len(), 1, "{sizes:?}");
        (formed.groups.len(), sizes.into_iter().next().unwrap_or(0))
    });
    assert_eq!(shape, expected);
    for group in formed.iter().flat_map(|formed| formed.groups.iter()) {
        assert!(group.write_quorum(&tolerance).is_some());
    }
}

#[test]
fn members_are_spread_over_the_zones() {
    for (stores, zones) in [(12, 6), (36, 6), (10, 5), (20, 4)] {
        let formed = form(&registered(stores, zones), &tolerance(2, 0)).expect("groups");
        for group in formed.groups.iter() {
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            for member in group.list.iter() {
                *counts.entry(member.zone.as_str()).or_default() += 1;
            }
            let max_count = counts.values().max().copied().unwrap_or_default();
            assert!(max_count <= 5_usize.div_ceil(zones) + 1, "{counts:?}");
            assert!(counts.len() >= zones.min(5) - 1, "{counts:?}");
        }
    }
}

#[test]
fn each_store_is_in_at_most_one_group_and_hashes_are_spread_evenly() {
    let formed = form(&registered(36, 6), &tolerance(2, 0)).expect("groups");
    let nodes: BTreeSet<&str> = formed
        .members()
        .map(|member| member.node.as_str())
        .collect();
    assert_eq!(nodes.len(), 35);
    assert_eq!(formed.members().count(), 35);
    let mut counts = [0; 7];
    for hash in 0..7_000_u64 {
        let GroupNumber(number) = formed.group_of_hash(hash * 0x9e37_79b9).expect("a group");
        counts[number as usize] += 1;
    }
    assert!(counts.iter().all(|count| *count > 800), "{counts:?}");
    assert_eq!(StoreGroups::default().group_of_hash(1), None);
}

#[test]
fn changing_one_group_leaves_the_other_groups_unchanged() {
    let formed = form(&registered(12, 6), &tolerance(2, 0)).expect("groups");
    let first = GroupNumber(0);
    let members = formed.group(first).expect("group");
    let changed = formed.with_group(first, members.with_member(store(99, 6)));
    assert_eq!(changed.version, formed.version + 1);
    assert_eq!(changed.group(GroupNumber(1)), formed.group(GroupNumber(1)));
    assert_eq!(changed.group_of_node("store-99"), Some(first));
}

#[test]
fn a_spare_joins_the_group_with_the_fewest_live_members() {
    let formed = form(&registered(36, 6), &tolerance(2, 0)).expect("groups");
    let members: Vec<Member> = formed.members().cloned().collect();
    let size = group_size(&tolerance(2, 0), &members).expect("size");
    let selected = |lost: &[&str], node: &str| {
        select_group_for_spare(&formed, size, node, |member| {
            !lost.contains(&member.node.as_str())
        })
    };
    assert_eq!(selected(&[], "spare"), None);
    let second = &formed.groups[2].list;
    let fourth = &formed.groups[4].list;
    let one_lost = [second[0].node.as_str()];
    assert_eq!(selected(&one_lost, "spare"), Some(GroupNumber(2)));
    let three_lost = [
        one_lost[0],
        fourth[1].node.as_str(),
        fourth[3].node.as_str(),
    ];
    assert_eq!(selected(&three_lost, "spare"), Some(GroupNumber(4)));
    let one_lost_in_each = [one_lost[0], fourth[1].node.as_str()];
    let chosen: BTreeSet<_> = (0..20)
        .map(|spare| selected(&one_lost_in_each, &format!("spare-{spare}")))
        .collect();
    assert_eq!(
        chosen.len(),
        2,
        "spares are spread over groups with equally many live members"
    );
    let single_group = form(&registered(4, 4), &tolerance(1, 0)).expect("one group");
    let selected_in_single = select_group_for_spare(&single_group, 3, "spare", |_| true);
    assert_eq!(
        selected_in_single,
        Some(GroupNumber(0)),
        "one group takes every store"
    );
}

/// A store that was ordered to leave before the groups are formed joins none of them.
#[test]
fn a_leaving_store_joins_no_group() {
    let mut registered = registered(13, 4);
    registered[5].state = MemberState::Leaving;
    let leaving = registered[5].node.clone();
    let formed = form(&registered, &tolerance(1, 0)).expect("groups");
    assert_eq!(formed.group_of_node(&leaving), None);
    assert_eq!(formed.members().count(), 12);
}
