//! Slow replicas, as a store works them out of what fronts tell.

use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::GroupNumber;
use stageyoke_store::message::{LatencyEntry, SlowReplica};
use stageyoke_store::replica_latency::{LatencyStats, ReceivedSlowdowns, UnreportedLatencies};

fn entry(replica: u32, ratio: f64, answers: u16) -> LatencyEntry {
    LatencyEntry {
        replica,
        log_ratio: (ratio.ln() * 100.0 * f64::from(answers)) as i32,
        answers,
    }
}

/// Half of the replicas are slow, and a quarter of them is faster than all others.
#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::most(7)]
#[tokio::test(start_paused = true)]
async fn slow_replicas_are_told_apart_from_the_usual_ones(#[case] slow: u32) {
    let mut paces = LatencyStats::default();
    let entries: Vec<LatencyEntry> = (0..10)
        .map(|replica| entry(replica, if replica < slow { 6.0 } else { 1.2 }, 5))
        .collect();
    paces.add(&entries);
    let mut told: Vec<u32> = paces
        .slow_replicas()
        .iter()
        .map(|slow| slow.replica)
        .collect();
    told.sort_unstable();
    assert_eq!(told, (0..slow).collect::<Vec<u32>>());
    assert!(
        paces
            .slow_replicas()
            .iter()
            .all(|slow| (45..=55).contains(&slow.slowdown_tenths))
    );
}

/// One slow answer means little; a replica that was slow gets few calls, and stays so
/// by few answers until they are fast or old.
#[tokio::test(start_paused = true)]
async fn few_answers_make_no_replica_slow_and_keep_a_slow_one() {
    let mut paces = LatencyStats::default();
    let usual: Vec<LatencyEntry> = (1..10).map(|replica| entry(replica, 1.0, 50)).collect();
    paces.add(&usual);
    paces.add(&[entry(0, 8.0, 1)]);
    assert!(paces.slow_replicas().is_empty());
    paces.add(&[entry(0, 8.0, 4)]);
    assert_eq!(paces.slow_replicas().len(), 1);
    tokio::time::advance(Duration::from_millis(1200)).await;
    assert_eq!(paces.slow_replicas().len(), 1, "one answer of five is left");
    paces.add(&[entry(0, 1.0, 6)]);
    assert!(paces.slow_replicas().is_empty(), "it is fast again");
    paces.add(&[entry(0, 8.0, 20)]);
    assert_eq!(paces.slow_replicas().len(), 1);
    tokio::time::advance(Duration::from_secs(5)).await;
    paces.add(&usual);
    assert!(
        paces.slow_replicas().is_empty(),
        "what was seen of it is too old"
    );
}

#[tokio::test(start_paused = true)]
async fn what_is_heard_of_a_slow_replica_fades() {
    let heard = ReceivedSlowdowns::default();
    heard.apply_report(&[SlowReplica {
        replica: 1,
        slowdown_tenths: 35,
    }]);
    assert_eq!((heard.slowdown(1), heard.slowdown(2)), (3.5, 1.0));
    tokio::time::advance(Duration::from_millis(1100)).await;
    assert_eq!(heard.slowdown(1), 1.0);
}

/// Each group is told each answer once, and only of so many replicas.
#[test]
fn answers_are_told_once_to_each_group() {
    let untold = UnreportedLatencies::default();
    let groups = [GroupNumber(0), GroupNumber(1)];
    assert!(groups.iter().all(|group| untold.take(*group).is_empty()));
    untold.record(7, 2.0);
    untold.record(7, 2.0);
    let told = untold.take(groups[0]);
    assert_eq!(
        (told[0].replica, told[0].answers, told[0].log_ratio),
        (7, 2, 138)
    );
    assert!(untold.take(groups[0]).is_empty());
    assert_eq!(untold.take(groups[1]).len(), 1);
    for replica in 0..1_000 {
        untold.record(replica, 1.0);
    }
    assert_eq!(untold.take(groups[0]).len(), 64);
}

#[tokio::test(start_paused = true)]
async fn replicas_that_are_gone_are_forgotten_at_the_bound() {
    let mut paces = LatencyStats::default();
    for replica in 0..100_000 {
        paces.add(&[entry(replica, 1.0, 1)]);
        assert!(paces.len() <= 20_000);
    }
}
