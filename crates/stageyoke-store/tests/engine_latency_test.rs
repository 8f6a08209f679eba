//! Engine latency relative to the other engines, aggregated from the reports of all fronts.

use std::time::Duration;

use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use stageyoke_directory::GroupNumber;
use stageyoke_store::engine_latency::{EngineReports, EngineTracker};
use stageyoke_store::extension::Deviation;

const GROUP: GroupNumber = GroupNumber(0);
const FRONTS: u32 = 50;
const ENGINES: u32 = 60;
/// Interval between two turns of one front.
const TURN_INTERVAL: Duration = Duration::from_millis(150);

/// Returns an engine's normal latency as a factor of the median engine's.
fn normal_latency_factor(engine: u32) -> f64 {
    [0.6, 1.0, 1.6][engine as usize % 3]
}

fn uniform(random: &mut ChaCha8Rng) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}

/// Reports one turn on behalf of a front.
fn report_turn(reports: &EngineReports, engine: u32, ratio: f64) {
    let tracker = EngineTracker::default();
    tracker.enable_reports();
    tracker.take_unreported(GROUP);
    tracker.record_ratio(engine, ratio);
    reports.add(&tracker.take_unreported(GROUP).unwrap_or_default());
}

/// Runs `turns` turns on each front, with latencies that vary by up to one half either way.
async fn run_turns(
    reports: &EngineReports,
    random: &mut ChaCha8Rng,
    turns: u32,
    latency_factor: impl Fn(u32) -> f64,
) {
    for _ in 0..turns {
        for _ in 0..FRONTS {
            let engine = random.next_u32() % ENGINES;
            report_turn(
                reports,
                engine,
                latency_factor(engine) * (0.5 + uniform(random)),
            );
        }
        tokio::time::advance(TURN_INTERVAL).await;
    }
}

fn tracker_with_report(reports: &EngineReports, front: u32) -> EngineTracker {
    let tracker = EngineTracker::default();
    let deviations = reports.deviations_for(front).expect("due");
    tracker.apply_report(&deviations);
    tracker
}

/// One front uses each engine about once in 9 s. Together the fronts must detect its latency
/// within 3 s.
#[tokio::test(start_paused = true)]
async fn combined_reports_reveal_the_latency_of_each_engine() {
    let reports = EngineReports::default();
    let mut random = ChaCha8Rng::seed_from_u64(5);
    run_turns(&reports, &mut random, 20, normal_latency_factor).await;
    let tracker = tracker_with_report(&reports, 1);
    let reported = (0..ENGINES).filter_map(|engine| Some((engine, tracker.slowdown(engine)?)));
    let accurate = reported.filter(|(engine, latency_factor)| {
        (latency_factor / normal_latency_factor(*engine)).ln().abs() < 0.4
    });
    assert!(
        accurate.count() >= 50,
        "most engines are reported accurately"
    );
}

/// A slowed engine is detected within 2 s and its recovery within 3 s.
#[tokio::test(start_paused = true)]
async fn a_slowed_engine_is_reported_until_it_recovers() {
    let reports = EngineReports::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    run_turns(&reports, &mut random, 20, |_| 1.0).await;
    let slowed_engine = |engine| if engine == 7 { 4.0 } else { 1.0 };
    run_turns(&reports, &mut random, 13, slowed_engine).await;
    let latency_factor = tracker_with_report(&reports, 1).slowdown(7);
    assert!(
        latency_factor.is_some_and(|factor| factor > 2.0),
        "{latency_factor:?}"
    );
    run_turns(&reports, &mut random, 20, |_| 1.0).await;
    let latency_factor = tracker_with_report(&reports, 1).slowdown(7);
    assert!(
        latency_factor.is_none_or(|factor| factor < 1.5),
        "{latency_factor:?}"
    );
}

/// Each front receives deviations at most once a second. A received deviation expires.
#[tokio::test(start_paused = true)]
async fn deviations_are_sent_once_a_second_and_expire() {
    let reports = EngineReports::default();
    assert!(reports.deviations_for(1).is_some());
    assert!(reports.deviations_for(1).is_none());
    assert!(reports.deviations_for(2).is_some(), "another front");
    tokio::time::advance(Duration::from_millis(1_001)).await;
    assert!(reports.deviations_for(1).is_some());
    let tracker = EngineTracker::default();
    tracker.apply_report(&[Deviation {
        replica: 7,
        log_ratio: 100,
    }]);
    assert!(
        tracker
            .slowdown(7)
            .is_some_and(|latency_factor| (latency_factor - 1_f64.exp()).abs() < 0.01)
    );
    tokio::time::advance(Duration::from_millis(2_501)).await;
    assert_eq!(tracker.slowdown(7), None);
}

proptest! {
    /// Any ratio can be reported, and the response stays bounded.
    #[test]
    fn the_number_and_size_of_deviations_are_bounded(ratios in proptest::collection::vec(0.0..1e9_f64, 1..200)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        runtime.block_on(async {
            let reports = EngineReports::default();
            for (engine, ratio) in ratios.iter().enumerate() {
                for _ in 0..4 {
                    report_turn(&reports, engine as u32, *ratio);
                }
            }
            let deviations = reports.deviations_for(1).unwrap_or_default();
            assert!(deviations.len() <= 64);
            // Reported ratios are clamped, so an extreme one moves an engine no further than
            // this.
            assert!(deviations.iter().all(|deviation| deviation.log_ratio.abs() <= 347));
        });
    }
}
