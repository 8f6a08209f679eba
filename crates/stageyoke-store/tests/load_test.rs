//! A store's count of its group's turns under way.

use std::time::Duration;

use proptest::prelude::*;
use stageyoke_directory::GroupNumber;
use stageyoke_store::LoadTracker;
use stageyoke_store::extension::RankLoad;
use stageyoke_store::load::PlacedTurns;
use stageyoke_store::message::{OtherFrontsReport, Placement};
use stageyoke_store::rank_load::{RankReports, RankTracker, ServiceRank};
use stageyoke_types::List;

fn at(replica: u32, max_duration_milliseconds: u32) -> Placement {
    Placement {
        replica,
        max_duration_milliseconds,
    }
}

fn count(placed: &mut PlacedTurns, turn: u64, replica: u32) -> u16 {
    let others = placed.counts_excluding(turn);
    let entry = others.iter().find(|entry| entry.replica == replica);
    entry.map_or(0, |entry| entry.in_flight)
}

#[tokio::test(start_paused = true)]
async fn a_turn_counts_where_it_runs_until_it_ends() {
    let mut placed = PlacedTurns::default();
    placed.start(1, at(7, 4_000));
    placed.start(2, at(7, 4_000));
    assert_eq!(count(&mut placed, 9, 7), 2);
    assert_eq!(count(&mut placed, 1, 7), 1, "a turn is not beside itself");
    placed.start(2, at(8, 4_000));
    assert_eq!(count(&mut placed, 9, 7), 1, "it runs elsewhere after all");
    assert_eq!(count(&mut placed, 9, 8), 1);
    placed.end(2);
    placed.end(2);
    assert_eq!(count(&mut placed, 9, 8), 0);
}

/// A front that dies says nothing: what it had placed fades with its deadline.
#[tokio::test(start_paused = true)]
async fn turns_without_an_end_fade() {
    let mut placed = PlacedTurns::default();
    placed.start(1, at(7, 1_000));
    placed.start(2, at(7, 5_000));
    tokio::time::advance(Duration::from_millis(1_300)).await;
    assert_eq!(count(&mut placed, 9, 7), 1);
    assert_eq!(placed.len(), 1);
}

/// What is counted has a bound; turns beyond it are not counted.
#[tokio::test(start_paused = true)]
async fn the_count_has_a_bound() {
    let mut placed = PlacedTurns::default();
    for turn in 0..30_000 {
        placed.start(turn, at(7, 60_000));
    }
    assert_eq!(placed.len(), 20_000);
}

/// What a store told of its group is used for a moment only.
#[tokio::test(start_paused = true)]
async fn what_was_told_gets_old() {
    let board = LoadTracker::new(1);
    let mut placed = PlacedTurns::default();
    placed.start(1, at(7, 4_000));
    let told = OtherFrontsReport {
        placed_turns: placed.counts_excluding(9),
        ..Default::default()
    };
    board.apply_report(GroupNumber(2), told);
    assert_eq!(board.placed_turns(GroupNumber(2), 7), Some(1));
    assert_eq!(board.placed_turns(GroupNumber(2), 8), Some(0));
    assert_eq!(board.placed_turns(GroupNumber(1), 7), None);
    tokio::time::advance(Duration::from_millis(400)).await;
    assert_eq!(board.placed_turns(GroupNumber(2), 7), None);
}

proptest! {
    /// The counts are those of the turns, in whatever order they begin and end.
    #[test]
    fn counts_are_those_of_the_turns(
        steps in proptest::collection::vec((0..12_u64, 0..4_u32, any::<bool>()), 0..80)
    ) {
        let mut placed = PlacedTurns::default();
        let mut model = std::collections::BTreeMap::new();
        for (turn, replica, begins) in steps {
            match begins {
                true => {
                    placed.start(turn, at(replica, 60_000));
                    model.insert(turn, replica);
                }
                false => {
                    placed.end(turn);
                    model.remove(&turn);
                }
            }
            for replica in 0..4 {
                let expected = model.values().filter(|other| **other == replica).count();
                prop_assert_eq!(usize::from(count(&mut placed, 99, replica)), expected);
            }
        }
    }
}

const RANKED: ServiceRank = ServiceRank {
    service: 5,
    rank: 1,
};

fn rank_load(rank: u8, under_way: u16) -> RankLoad {
    RankLoad {
        service: RANKED.service,
        rank,
        in_flight: under_way,
    }
}

/// What fronts have under way is summed for each without its own, and fades when a front
/// says nothing more.
#[tokio::test(start_paused = true)]
async fn a_store_sums_what_all_other_fronts_have_under_way() {
    let reports = RankReports::default();
    reports.update(1, List(vec![rank_load(0, 2), rank_load(1, 3)]));
    reports.update(2, List(vec![rank_load(1, 4)]));
    reports.update(1, List(vec![rank_load(1, 5)]));
    assert_eq!(reports.report_excluding(2).0, [rank_load(1, 5)]);
    assert_eq!(reports.report_excluding(3).0, [rank_load(1, 9)]);
    tokio::time::advance(Duration::from_millis(501)).await;
    assert!(reports.report_excluding(3).is_empty());
}

/// A front counts its own turns beside what it was told, of its rank or a more urgent
/// one, for as long as that is young.
#[tokio::test(start_paused = true)]
async fn a_front_adds_its_own_to_what_it_was_told() {
    let board = RankTracker::default();
    board.start_turn(RANKED);
    assert_eq!(
        board.in_flight_at_or_above(RANKED),
        None,
        "nothing was told yet"
    );
    board.apply_report(&List(vec![
        rank_load(0, 2),
        rank_load(1, 3),
        rank_load(2, 9),
    ]));
    assert_eq!(board.in_flight_at_or_above(RANKED), Some(6));
    board.end_turn(RANKED);
    assert_eq!(board.in_flight_at_or_above(RANKED), Some(5));
    tokio::time::advance(Duration::from_millis(501)).await;
    assert_eq!(
        board.in_flight_at_or_above(RANKED),
        None,
        "told too long ago"
    );
}

/// Reports stay small with many services and ranks: the fullest are told.
#[test]
fn a_report_of_ranks_has_a_bound() {
    let board = RankTracker::default();
    for service in 0..1_000 {
        for _ in 0..=service % 7 {
            board.start_turn(ServiceRank { service, rank: 0 });
        }
    }
    assert_eq!(board.report(), None, "nobody asked for it");
    board.enable_reports();
    let told = board.report().unwrap_or_default();
    assert_eq!(told.len(), 32);
    assert!(told.iter().all(|load| load.in_flight == 7));
}
