//! Engines of uneven speed, as all fronts together see them.

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
/// Time between two turns of one front.
const BETWEEN_TURNS: Duration = Duration::from_millis(150);

/// Times of an engine of each build, against the middle one.
fn build(engine: u32) -> f64 {
    [0.6, 1.0, 1.6][engine as usize % 3]
}

fn uniform(random: &mut ChaCha8Rng) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}

/// A front tells of one turn.
fn tell(reports: &EngineReports, engine: u32, ratio: f64) {
    let board = EngineTracker::default();
    board.enable_reports();
    board.take_unreported(GROUP);
    board.record_ratio(engine, ratio);
    reports.add(&board.take_unreported(GROUP).unwrap_or_default());
}

/// Plays so many turns of each front; turns differ by up to a half either way.
async fn play(
    reports: &EngineReports,
    random: &mut ChaCha8Rng,
    turns: u32,
    times: impl Fn(u32) -> f64,
) {
    for _ in 0..turns {
        for _ in 0..FRONTS {
            let engine = random.next_u32() % ENGINES;
            tell(reports, engine, times(engine) * (0.5 + uniform(random)));
        }
        tokio::time::advance(BETWEEN_TURNS).await;
    }
}

fn heard(reports: &EngineReports, front: u32) -> EngineTracker {
    let heard = EngineTracker::default();
    let deviations = reports.deviations_for(front).expect("due");
    heard.apply_report(&deviations);
    heard
}

/// A front meets each engine once in 9 s; all of them know its build after three.
#[tokio::test(start_paused = true)]
async fn all_fronts_together_know_each_engines_build() {
    let reports = EngineReports::default();
    let mut random = ChaCha8Rng::seed_from_u64(5);
    play(&reports, &mut random, 20, build).await;
    let heard = heard(&reports, 1);
    let known = (0..ENGINES).filter_map(|engine| Some((engine, heard.slowdown(engine)?)));
    let near = known.filter(|(engine, times)| (times / build(*engine)).ln().abs() < 0.4);
    assert!(near.count() >= 50, "most engines are known");
}

/// An engine that turns slow is found within two seconds, and so is its recovery.
#[tokio::test(start_paused = true)]
async fn a_slowed_engine_is_found_and_a_recovered_one_comes_back() {
    let reports = EngineReports::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    play(&reports, &mut random, 20, |_| 1.0).await;
    let slowed = |engine| if engine == 7 { 4.0 } else { 1.0 };
    play(&reports, &mut random, 13, slowed).await;
    let times = heard(&reports, 1).slowdown(7);
    assert!(times.is_some_and(|times| times > 2.0), "{times:?}");
    play(&reports, &mut random, 20, |_| 1.0).await;
    let times = heard(&reports, 1).slowdown(7);
    assert!(times.is_none_or(|times| times < 1.5), "{times:?}");
}

/// The list goes to each front once a second at most, and what was told fades.
#[tokio::test(start_paused = true)]
async fn deviations_are_told_seldom_and_fade() {
    let reports = EngineReports::default();
    assert!(reports.deviations_for(1).is_some());
    assert!(reports.deviations_for(1).is_none());
    assert!(reports.deviations_for(2).is_some(), "another front");
    tokio::time::advance(Duration::from_millis(1_001)).await;
    assert!(reports.deviations_for(1).is_some());
    let heard = EngineTracker::default();
    heard.apply_report(&[Deviation {
        replica: 7,
        log_ratio: 100,
    }]);
    assert!(
        heard
            .slowdown(7)
            .is_some_and(|times| (times - 1_f64.exp()).abs() < 0.01)
    );
    tokio::time::advance(Duration::from_millis(2_501)).await;
    assert_eq!(heard.slowdown(7), None);
}

proptest! {
    /// With any engines the list has a bound, and any ratio can be told.
    #[test]
    fn the_list_has_a_bound(ratios in proptest::collection::vec(0.0..1e9_f64, 1..200)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        runtime.block_on(async {
            let reports = EngineReports::default();
            for (engine, ratio) in ratios.iter().enumerate() {
                for _ in 0..4 {
                    tell(&reports, engine as u32, *ratio);
                }
            }
            let told = reports.deviations_for(1).unwrap_or_default();
            assert!(told.len() <= 64);
            // One turn in eight times the time, or in none, moves an engine no further.
            assert!(told.iter().all(|deviation| deviation.log_ratio.abs() <= 347));
        });
    }
}
