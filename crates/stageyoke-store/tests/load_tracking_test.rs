//! Counts of turns in flight: per replica within a store group, and per rank of a service.

use std::time::Duration;

use proptest::prelude::*;
use stageyoke_directory::GroupNumber;
use stageyoke_store::LoadTracker;
use stageyoke_store::extension::RankLoad;
use stageyoke_store::load::PlacedTurns;
use stageyoke_store::message::{OtherFrontsReport, Placement};
use stageyoke_store::rank_load::{RankReports, RankTracker, ServiceRank};
use stageyoke_types::List;

fn placement(replica: u32, max_duration_milliseconds: u32) -> Placement {
    Placement {
        replica,
        max_duration_milliseconds,
    }
}

fn count(placed: &mut PlacedTurns, turn: u64, replica: u32) -> u16 {
    let counts = placed.counts_excluding(turn);
    let entry = counts.iter().find(|entry| entry.replica == replica);
    entry.map_or(0, |entry| entry.in_flight)
}

#[tokio::test(start_paused = true)]
async fn a_turn_counts_at_its_latest_replica_until_it_ends() {
    let mut placed = PlacedTurns::default();
    placed.start(1, placement(7, 4_000));
    placed.start(2, placement(7, 4_000));
    assert_eq!(count(&mut placed, 9, 7), 2);
    assert_eq!(count(&mut placed, 1, 7), 1, "a turn does not count itself");
    placed.start(2, placement(8, 4_000));
    assert_eq!(count(&mut placed, 9, 7), 1, "it moved to another replica");
    assert_eq!(count(&mut placed, 9, 8), 1);
    placed.end(2);
    placed.end(2);
    assert_eq!(count(&mut placed, 9, 8), 0);
}

/// A front that dies never reports the end of its turns, so they stop counting at their
/// deadline.
#[tokio::test(start_paused = true)]
async fn turns_without_an_end_expire_at_their_deadline() {
    let mut placed = PlacedTurns::default();
    placed.start(1, placement(7, 1_000));
    placed.start(2, placement(7, 5_000));
    tokio::time::advance(Duration::from_millis(1_300)).await;
    assert_eq!(count(&mut placed, 9, 7), 1);
    assert_eq!(placed.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_number_of_counted_turns_is_bounded() {
    let mut placed = PlacedTurns::default();
    for turn in 0..30_000 {
        placed.start(turn, placement(7, 60_000));
    }
    assert_eq!(placed.len(), 20_000);
}

#[tokio::test(start_paused = true)]
async fn a_received_report_of_placed_turns_expires() {
    let tracker = LoadTracker::new(1);
    let mut placed = PlacedTurns::default();
    placed.start(1, placement(7, 4_000));
    let report = OtherFrontsReport {
        placed_turns: placed.counts_excluding(9),
        ..Default::default()
    };
    tracker.apply_report(GroupNumber(2), report);
    assert_eq!(tracker.placed_turns(GroupNumber(2), 7), Some(1));
    assert_eq!(tracker.placed_turns(GroupNumber(2), 8), Some(0));
    assert_eq!(tracker.placed_turns(GroupNumber(1), 7), None);
    tokio::time::advance(Duration::from_millis(400)).await;
    assert_eq!(tracker.placed_turns(GroupNumber(2), 7), None);
}

proptest! {
    /// Turns start and end in any order.
    #[test]
    fn counts_match_the_turns_in_flight(
        steps in proptest::collection::vec((0..12_u64, 0..4_u32, any::<bool>()), 0..80)
    ) {
        let mut placed = PlacedTurns::default();
        let mut model = std::collections::BTreeMap::new();
        for (turn, replica, starts) in steps {
            match starts {
                true => {
                    placed.start(turn, placement(replica, 60_000));
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

const SERVICE_RANK: ServiceRank = ServiceRank {
    service: 5,
    rank: 1,
};

fn rank_load(rank: u8, in_flight: u16) -> RankLoad {
    RankLoad {
        service: SERVICE_RANK.service,
        rank,
        in_flight,
    }
}

/// Each front receives the sum without its own turns. A front that stops reporting drops out of
/// it.
#[tokio::test(start_paused = true)]
async fn a_store_sums_the_turns_in_flight_at_all_other_fronts() {
    let reports = RankReports::default();
    reports.update(1, List(vec![rank_load(0, 2), rank_load(1, 3)]));
    reports.update(2, List(vec![rank_load(1, 4)]));
    reports.update(1, List(vec![rank_load(1, 5)]));
    assert_eq!(reports.report_excluding(2).0, [rank_load(1, 5)]);
    assert_eq!(reports.report_excluding(3).0, [rank_load(1, 9)]);
    tokio::time::advance(Duration::from_millis(501)).await;
    assert!(reports.report_excluding(3).is_empty());
}

/// A front adds its own turns of the same or a more urgent rank, and ignores a report that is
/// too old.
#[tokio::test(start_paused = true)]
async fn a_front_adds_its_own_turns_to_the_received_report() {
    let tracker = RankTracker::default();
    tracker.start_turn(SERVICE_RANK);
    assert_eq!(
        tracker.in_flight_at_or_above(SERVICE_RANK),
        None,
        "no report was received yet"
    );
    tracker.apply_report(&List(vec![
        rank_load(0, 2),
        rank_load(1, 3),
        rank_load(2, 9),
    ]));
    assert_eq!(tracker.in_flight_at_or_above(SERVICE_RANK), Some(6));
    tracker.end_turn(SERVICE_RANK);
    assert_eq!(tracker.in_flight_at_or_above(SERVICE_RANK), Some(5));
    tokio::time::advance(Duration::from_millis(501)).await;
    assert_eq!(
        tracker.in_flight_at_or_above(SERVICE_RANK),
        None,
        "the report is too old"
    );
}

/// With many services and ranks only those with the most turns are reported.
#[test]
fn a_report_of_rank_loads_is_bounded() {
    let tracker = RankTracker::default();
    for service in 0..1_000 {
        for _ in 0..=service % 7 {
            tracker.start_turn(ServiceRank { service, rank: 0 });
        }
    }
    assert_eq!(tracker.report(), None, "reports are not enabled");
    tracker.enable_reports();
    let report = tracker.report().unwrap_or_default();
    assert_eq!(report.len(), 32);
    assert!(report.iter().all(|load| load.in_flight == 7));
}
