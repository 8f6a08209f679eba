//! Quorums of the member list, checked by counting over all subsets.

use rstest::rstest;
use stageyoke_directory::{Member, MemberState, Members, Tolerance};
use stageyoke_types::Text;

fn members(count: usize) -> Members {
    let mut list = Members::default();
    for number in 0..count {
        list = list.with(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from(format!("10.0.0.{number}:7000")),
            zone: Text::from("zone"),
            state: MemberState::Active,
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

/// Two write quorums, of one list or of neighbouring lists, always share a
/// member, also when one of the shared ones is new to the second list.
#[test]
fn write_quorums_of_neighbouring_lists_intersect() {
    for count in 1..8_usize {
        for losses in 0..3_usize {
            let small = members(count).write_quorum(&Tolerance::of_machines(losses));
            let large = members(count + 1).write_quorum(&Tolerance::of_machines(losses));
            let (Some(small), Some(large)) = (small, large) else {
                continue;
            };
            assert!(small + large > count + 1, "count {count} losses {losses}");
            assert!(2 * small > count, "count {count} losses {losses}");
        }
    }
}

/// So many members that miss a record prove that no quorum of this list or of
/// the smaller one before holds it.
#[test]
fn absence_meets_every_write_quorum() {
    for count in 1..8_usize {
        for losses in 0..3_usize {
            let list = members(count);
            let Some(absence) = list.absence_quorum(&Tolerance::of_machines(losses)) else {
                continue;
            };
            let written = list
                .write_quorum(&Tolerance::of_machines(losses))
                .expect("quorum");
            assert!(absence + written > count);
            if let Some(before) = members(count - 1).write_quorum(&Tolerance::of_machines(losses)) {
                assert!(absence + before > count, "count {count} losses {losses}");
            }
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
    let next = list.with(moved.clone());
    assert_eq!(next.version, list.version + 1);
    assert_eq!(next.list[1], moved);
    assert_eq!(next.without("store-0").list.len(), 2);
    assert_eq!(next.without("store-0").version, list.version + 2);
}

/// Where a zone or a region may go, copies must stand outside it.
#[test]
fn losing_the_largest_places_leaves_a_copy() {
    let mut list = Members::default();
    for (number, zone) in ["a", "a", "b", "b", "c"].iter().enumerate() {
        list = list.with(Member {
            node: Text::from(format!("store-{number}")),
            address: Text::from("10.0.0.1:7000"),
            zone: Text::from(*zone),
            state: MemberState::Active,
        });
    }
    let regions = [("a", "east"), ("b", "east"), ("c", "west")];
    let tolerance = |machines, zones, regions_lost| Tolerance {
        machines,
        zones,
        regions: regions_lost,
        regions_of_zones: regions
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
