//! Detection of slow replicas from the latencies that fronts report to a store.

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

/// Holds for any number of slow replicas, up to seven of ten.
#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::most(7)]
#[tokio::test(start_paused = true)]
async fn slow_replicas_are_distinguished_from_normal_ones(#[case] slow: u32) {
    let mut stats = LatencyStats::default();
    let entries: Vec<LatencyEntry> = (0..10)
        .map(|replica| entry(replica, if replica < slow { 6.0 } else { 1.2 }, 5))
        .collect();
    stats.add(&entries);
    let mut reported: Vec<u32> = stats
        .slow_replicas()
        .iter()
        .map(|slow| slow.replica)
        .collect();
    reported.sort_unstable();
    assert_eq!(reported, (0..slow).collect::<Vec<u32>>());
    assert!(
        stats
            .slow_replicas()
            .iter()
            .all(|slow| (45..=55).contains(&slow.slowdown_tenths))
    );
}

/// One slow answer does not mark a replica as slow. A slow replica receives few calls, so a few
/// answers keep it marked until they are fast or too old.
#[tokio::test(start_paused = true)]
async fn several_answers_mark_a_replica_slow_and_few_keep_it_marked() {
    let mut stats = LatencyStats::default();
    let normal: Vec<LatencyEntry> = (1..10).map(|replica| entry(replica, 1.0, 50)).collect();
    stats.add(&normal);
    stats.add(&[entry(0, 8.0, 1)]);
    assert!(stats.slow_replicas().is_empty());
    stats.add(&[entry(0, 8.0, 4)]);
    assert_eq!(stats.slow_replicas().len(), 1);
    tokio::time::advance(Duration::from_millis(1200)).await;
    assert_eq!(
        stats.slow_replicas().len(),
        1,
        "one answer of five still counts"
    );
    stats.add(&[entry(0, 1.0, 6)]);
    assert!(stats.slow_replicas().is_empty(), "it is fast again");
    stats.add(&[entry(0, 8.0, 20)]);
    assert_eq!(stats.slow_replicas().len(), 1);
    tokio::time::advance(Duration::from_secs(5)).await;
    stats.add(&normal);
    assert!(stats.slow_replicas().is_empty(), "its answers are too old");
}

#[tokio::test(start_paused = true)]
async fn a_received_slowdown_expires() {
    let received = ReceivedSlowdowns::default();
    received.apply_report(&[SlowReplica {
        replica: 1,
        slowdown_tenths: 35,
    }]);
    assert_eq!((received.slowdown(1), received.slowdown(2)), (3.5, 1.0));
    tokio::time::advance(Duration::from_millis(1100)).await;
    assert_eq!(received.slowdown(1), 1.0);
}

/// A report holds a bounded number of replicas.
#[test]
fn each_answer_is_reported_once_to_each_group() {
    let unreported = UnreportedLatencies::default();
    let groups = [GroupNumber(0), GroupNumber(1)];
    assert!(
        groups
            .iter()
            .all(|group| unreported.take(*group).is_empty())
    );
    unreported.record(7, 2.0);
    unreported.record(7, 2.0);
    let reported = unreported.take(groups[0]);
    assert_eq!(
        (
            reported[0].replica,
            reported[0].answers,
            reported[0].log_ratio
        ),
        (7, 2, 138)
    );
    assert!(unreported.take(groups[0]).is_empty());
    assert_eq!(unreported.take(groups[1]).len(), 1);
    for replica in 0..1_000 {
        unreported.record(replica, 1.0);
    }
    assert_eq!(unreported.take(groups[0]).len(), 64);
}

#[tokio::test(start_paused = true)]
async fn statistics_of_old_replicas_are_dropped_at_the_limit() {
    let mut stats = LatencyStats::default();
    for replica in 0..100_000 {
        stats.add(&[entry(replica, 1.0, 1)]);
        assert!(stats.len() <= 20_000);
    }
}
