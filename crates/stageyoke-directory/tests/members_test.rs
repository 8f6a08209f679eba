//! Quorums of the member list, checked by counting over all subsets.

use std::collections::BTreeSet;

use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, Tolerance};
use stageyoke_types::{List, Text};

fn members(count: usize) -> Members {
    let mut list = Members::default();
    for number in 0..count {
        list = list.with_member(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from(format!("10.0.0.{number}:7000")),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: 0,
        });
    }
    list
}

#[rstest]
#[case(1, 0, Some(1))]
#[case(1, 1, None)]
#[case(2, 1, Some(2))]
#[case(3, 1, Some(2))]
#[case(4, 1, Some(3))]
#[case(5, 2, Some(3))]
#[case(4, 2, Some(3))]
#[case(0, 0, None)]
fn write_quorum_is_a_majority_above_the_losses(
    #[case] count: usize,
    #[case] losses: usize,
    #[case] expected: Option<usize>,
) {
    assert_eq!(
        members(count).write_quorum(&Tolerance::of_machines(losses)),
        expected
    );
}

/// All sets of members of a list of up to eight, each as whether a member is in it.
fn sets(list: &Members) -> impl Iterator<Item = BTreeSet<Text>> {
    let nodes: Vec<Text> = list.all().map(|member| member.node.clone()).collect();
    (0..1_u32 << nodes.len()).map(move |bits| {
        let members = nodes.iter().enumerate();
        let chosen = members.filter(|(place, _)| bits >> place & 1 == 1);
        chosen.map(|(_, node)| node.clone()).collect()
    })
}

/// The sets that are a write quorum of this list.
fn write_quorums(list: &Members, tolerance: &Tolerance) -> Vec<BTreeSet<Text>> {
    let Some(quorums) = list.quorums(tolerance) else {
        return Vec::new();
    };
    let reached =
        |set: &BTreeSet<Text>| list.has_quorum(quorums, |member| set.contains(&member.node));
    sets(list).filter(reached).collect()
}

/// A list of `before` members, of which the last `removed` give way to `added` new
/// ones.
fn changing(before: usize, removed: usize, added: usize) -> Members {
    let list = members(before);
    let mut next: Vec<Member> = list.list.iter().take(before - removed).cloned().collect();
    next.extend(members(before + added).list.iter().skip(before).cloned());
    list.start_change(List(next))
}

/// Every change of up to four members into up to four others, with the tolerance.
fn changes() -> impl Iterator<Item = (Members, Tolerance)> {
    let sizes = (1..5_usize).flat_map(|before| (0..=before).map(move |removed| (before, removed)));
    let sizes =
        sizes.flat_map(|(before, removed)| (0..4_usize).map(move |add| (before, removed, add)));
    sizes.flat_map(|(before, removed, added)| {
        let list = changing(before, removed, added);
        (0..3_usize).map(move |losses| (list.clone(), Tolerance::of_machines(losses)))
    })
}

/// What is kept by one list is seen by whoever goes by the same list, by the one
/// before or by the one after: their quorums share a member.
#[test]
fn quorums_of_neighbouring_lists_intersect() {
    for (during, tolerance) in changes() {
        let before = Members {
            list: during.before.clone(),
            ..Members::default()
        };
        let change = write_quorums(&during, &tolerance);
        let neighbours = [
            before,
            during.settle_change(),
            during.abandon_change(),
            during.clone(),
        ];
        for neighbour in neighbours {
            for one in &change {
                for other in write_quorums(&neighbour, &tolerance) {
                    assert!(!one.is_disjoint(&other), "{during:?} {one:?} {other:?}");
                }
            }
        }
    }
}

/// Two disjoint quorums of lists that follow one another without a change in
/// between are possible, so the change can't be left out.
#[test]
fn without_the_change_in_between_quorums_could_miss_each_other() {
    let tolerance = Tolerance::of_machines(1);
    let during = changing(3, 1, 1);
    let old = write_quorums(&members(3), &tolerance);
    let new = write_quorums(&during.settle_change(), &tolerance);
    let disjoint = old
        .iter()
        .any(|old| new.iter().any(|new| old.is_disjoint(new)));
    assert!(disjoint);
}

/// A fence meets every quorum by which a record can have been kept before; and who
/// is not part of it is no quorum of the list before, neither to keep a record nor
/// to tell one as absent.
#[test]
fn a_fence_ends_every_quorum_before() {
    for (during, tolerance) in changes() {
        let before = Members {
            list: during.before.clone(),
            ..Members::default()
        };
        let old_quorums = write_quorums(&before, &tolerance);
        for fence in sets(&during) {
            let fences =
                during.intersects_every_quorum(&tolerance, |member| fence.contains(&member.node));
            if !fences {
                continue;
            }
            for quorum in &old_quorums {
                assert!(
                    !fence.is_disjoint(quorum),
                    "{during:?} {fence:?} {quorum:?}"
                );
            }
        }
    }
}

/// As many disks as may be lost leave a fence, so that whatever is lost within the
/// tolerance can be replaced; also in a group that can't serve then.
#[test]
fn what_may_be_lost_can_be_replaced() {
    for count in 1..8_usize {
        for losses in 0..count {
            let list = members(count);
            let tolerance = Tolerance::of_machines(losses);
            if list.write_quorum(&tolerance).is_none() {
                continue;
            }
            let during = list.start_change(list.list.clone());
            let lost = |member: &Member| {
                let place = list.list.iter().position(|one| one == member);
                place.is_some_and(|place| place < losses)
            };
            let fenced = during.intersects_every_quorum(&tolerance, |member| !lost(member));
            assert!(fenced, "count {count} losses {losses}");
        }
    }
}

#[test]
fn changes_raise_the_version_and_keep_the_order() {
    let list = members(3);
    let moved = Member {
        address: Text::from("10.0.0.9:7000"),
        ..list.list[1].clone()
    };
    let next = list.with_member(moved.clone());
    assert_eq!(next.version, list.version + 1);
    assert_eq!(next.list[1], moved);
    assert_eq!(next.list_without("store-0").len(), 2);
    let during = next.start_change(next.list_without("store-0"));
    assert_eq!(during.version, list.version + 2);
    assert_eq!(during.before, next.list);
    assert!(during.get("store-0").is_some() && !during.remains_member("store-0"));
    assert_eq!(during.all().count(), 3);
    let settled = during.settle_change();
    assert_eq!(settled.version, list.version + 3);
    assert!(settled.is_settled() && settled.get("store-0").is_none());
}

/// A change under way gets another aim without losing sight of the members before,
/// and a new address stands in both lists.
#[test]
fn a_change_keeps_the_members_before_until_it_is_settled() {
    let during = changing(3, 1, 1);
    let again = during.start_change(during.list_without("store-3"));
    assert_eq!(again.before, members(3).list);
    assert_eq!(again.abandon_change().list, members(3).list);
    let moved = Member {
        address: Text::from("10.0.0.9:7000"),
        ..during.list[0].clone()
    };
    let told = during.with_member(moved.clone());
    assert_eq!((&told.list[0], &told.before[0]), (&moved, &moved));
}

/// Where a zone or a region may go, copies must stand outside it.
#[test]
fn losing_the_largest_places_leaves_a_copy() {
    let mut list = Members::default();
    for (number, zone) in ["a", "a", "b", "b", "c"].iter().enumerate() {
        list = list.with_member(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from("10.0.0.1:7000"),
            zone: Text::from(*zone),
            state: MemberState::Active,
            disk: 0,
        });
    }
    let regions = [("a", "east"), ("b", "east"), ("c", "west")];
    let tolerance = |machines, zones, regions_lost| Tolerance {
        machines,
        zones,
        regions: regions_lost,
        region_by_zone: regions
            .iter()
            .map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned()))
            .collect(),
    };
    assert_eq!(list.write_quorum(&tolerance(1, 0, 0)), Some(3));
    assert_eq!(list.write_quorum(&tolerance(0, 1, 0)), Some(3));
    assert_eq!(list.write_quorum(&tolerance(0, 2, 0)), Some(5));
    assert_eq!(list.write_quorum(&tolerance(1, 0, 1)), Some(5));
    assert_eq!(list.write_quorum(&tolerance(0, 3, 0)), None);
}
