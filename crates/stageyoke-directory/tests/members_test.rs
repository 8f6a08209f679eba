//! Quorums of the member list, checked over all subsets of members.

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
fn write_quorum_is_a_majority_and_exceeds_the_losses(
    #[case] count: usize,
    #[case] losses: usize,
    #[case] expected: Option<usize>,
) {
    assert_eq!(
        members(count).write_quorum(&Tolerance::of_machines(losses)),
        expected
    );
}

/// Returns all subsets of the list's members.
fn subsets(list: &Members) -> impl Iterator<Item = BTreeSet<Text>> {
    let nodes: Vec<Text> = list.all().map(|member| member.node.clone()).collect();
    (0..1_u32 << nodes.len()).map(move |bits| {
        let members = nodes.iter().enumerate();
        let selected = members.filter(|(position, _)| bits >> position & 1 == 1);
        selected.map(|(_, node)| node.clone()).collect()
    })
}

/// Returns all subsets that are a write quorum of the list.
fn write_quorums(list: &Members, tolerance: &Tolerance) -> Vec<BTreeSet<Text>> {
    let Some(quorums) = list.quorums(tolerance) else {
        return Vec::new();
    };
    let is_quorum =
        |set: &BTreeSet<Text>| list.has_quorum(quorums, |member| set.contains(&member.node));
    subsets(list).filter(is_quorum).collect()
}

/// Returns a list of `before` members with a pending change that replaces the last
/// `removed` of them by `added` new ones.
fn pending_change(before: usize, removed: usize, added: usize) -> Members {
    let list = members(before);
    let mut next: Vec<Member> = list.list.iter().take(before - removed).cloned().collect();
    next.extend(members(before + added).list.iter().skip(before).cloned());
    list.start_change(List(next))
}

/// Returns every change of lists of up to four members that adds up to three, for each
/// tolerance.
fn all_changes() -> impl Iterator<Item = (Members, Tolerance)> {
    let sizes = (1..5_usize).flat_map(|before| (0..=before).map(move |removed| (before, removed)));
    let sizes =
        sizes.flat_map(|(before, removed)| (0..4_usize).map(move |add| (before, removed, add)));
    sizes.flat_map(|(before, removed, added)| {
        let list = pending_change(before, removed, added);
        (0..3_usize).map(move |losses| (list.clone(), Tolerance::of_machines(losses)))
    })
}

/// A record stored under one list is found under the same, the previous and the next
/// list: their quorums share a member.
#[test]
fn quorums_of_consecutive_lists_intersect() {
    for (during, tolerance) in all_changes() {
        let before = Members {
            list: during.before.clone(),
            ..Members::default()
        };
        let during_quorums = write_quorums(&during, &tolerance);
        let consecutive = [
            before,
            during.settle_change(),
            during.abandon_change(),
            during.clone(),
        ];
        for list in consecutive {
            for first in &during_quorums {
                for second in write_quorums(&list, &tolerance) {
                    assert!(
                        !first.is_disjoint(&second),
                        "{during:?} {first:?} {second:?}"
                    );
                }
            }
        }
    }
}

/// Quorums of consecutive lists can be disjoint without the joint configuration in
/// between, so it cannot be left out.
#[test]
fn quorums_may_be_disjoint_without_a_joint_configuration() {
    let tolerance = Tolerance::of_machines(1);
    let during = pending_change(3, 1, 1);
    let old = write_quorums(&members(3), &tolerance);
    let new = write_quorums(&during.settle_change(), &tolerance);
    let disjoint = old
        .iter()
        .any(|old| new.iter().any(|new| old.is_disjoint(new)));
    assert!(disjoint);
}

/// A fence intersects every quorum that can have stored a record before, so that
/// members outside it can neither store a record nor declare one absent.
#[test]
fn a_fence_intersects_every_previous_quorum() {
    for (during, tolerance) in all_changes() {
        let before = Members {
            list: during.before.clone(),
            ..Members::default()
        };
        let old_quorums = write_quorums(&before, &tolerance);
        for fence in subsets(&during) {
            let is_fence =
                during.intersects_every_quorum(&tolerance, |member| fence.contains(&member.node));
            if !is_fence {
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

/// After the loss of as many disks as the tolerance allows, the remaining members are a
/// fence, so the lost ones can be replaced even in a group that cannot serve.
#[test]
fn tolerated_losses_can_be_replaced() {
    for count in 1..8_usize {
        for losses in 0..count {
            let list = members(count);
            let tolerance = Tolerance::of_machines(losses);
            if list.write_quorum(&tolerance).is_none() {
                continue;
            }
            let during = list.start_change(list.list.clone());
            let is_lost = |member: &Member| {
                let position = list.list.iter().position(|listed| listed == member);
                position.is_some_and(|position| position < losses)
            };
            let fenced = during.intersects_every_quorum(&tolerance, |member| !is_lost(member));
            assert!(fenced, "count {count} losses {losses}");
        }
    }
}

#[test]
fn changes_increment_the_version_and_preserve_the_order() {
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

/// Replacing the target of a pending change keeps the previous members, and a new
/// address is applied to both lists.
#[test]
fn a_change_retains_the_previous_members_until_it_is_settled() {
    let during = pending_change(3, 1, 1);
    let retargeted = during.start_change(during.list_without("store-3"));
    assert_eq!(retargeted.before, members(3).list);
    assert_eq!(retargeted.abandon_change().list, members(3).list);
    let moved = Member {
        address: Text::from("10.0.0.9:7000"),
        ..during.list[0].clone()
    };
    let updated = during.with_member(moved.clone());
    assert_eq!((&updated.list[0], &updated.before[0]), (&moved, &moved));
}

/// A tolerated loss of zones or regions requires copies outside them.
#[test]
fn a_write_quorum_survives_the_loss_of_the_largest_zones_and_regions() {
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
