//! What fronts learn of engines, and the placement that follows from it.

use std::time::Duration;

use proptest::prelude::*;
use stageyoke_front::engine_rates::{CurrentRates, EngineRates, Slowdown, TurnTiming};
use stageyoke_front::placement::{Candidate, choose_engine};
use tokio::time::Instant;

/// An engine of the test, with rates of its own.
#[derive(Clone, Copy, Debug)]
struct Engine {
    token: f64,
    contention: f64,
    reading: f64,
}

impl Engine {
    fn turn(&self, uncached_tokens: u32, concurrent_requests: f64) -> TurnTiming {
        let generated_tokens = 120;
        let token = self.token + self.contention * concurrent_requests;
        let milliseconds = |amount: f64| Duration::from_secs_f64(amount / 1e3);
        TurnTiming {
            time_to_first_event: milliseconds(4.0 + self.reading * f64::from(uncached_tokens)),
            uncached_tokens,
            generation_time: milliseconds(token * f64::from(generated_tokens)),
            generated_tokens,
            concurrent_requests,
            queued: false,
        }
    }
}

fn taught(engine: Engine, turns: u32) -> CurrentRates {
    let mut rates = EngineRates::default();
    let began = Instant::now();
    for turn in 0..turns {
        let timing = engine.turn(turn * 397 % 4_000, f64::from(turn % 11));
        let now = began + Duration::from_millis(20 * u64::from(turn));
        rates.record(&timing, 1.0, now);
    }
    rates.current()
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 0.1 * other.abs() + 0.002
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Engines ten times as fast as others at reading or generating are known
    /// for what they are after ten seconds.
    #[test]
    fn rates_are_learnt_from_turns(
        token in 0.5_f64..10.0,
        contention_part in 0.0_f64..0.15,
        reading in 0.003_f64..0.05,
    ) {
        let contention = contention_part * token;
        let engine = Engine { token, contention, reading };
        let learnt = taught(engine, 500);
        for concurrent_requests in [0.0, 5.0, 10.0] {
            let expected = token + contention * concurrent_requests;
            prop_assert!(near(learnt.token_time(concurrent_requests), expected), "{learnt:?}");
        }
        prop_assert!(near(learnt.prefill_ms, reading), "{learnt:?}");
        prop_assert!(near(learnt.output_tokens, 120.0), "{learnt:?}");
    }

    /// Whatever was seen, the rates are numbers and not below zero.
    #[test]
    fn rates_stay_sensible(
        turns in proptest::collection::vec((0_u32..20_000, 0_u64..5_000, 0_u64..5_000, 0_u32..2_000, 0_u32..200), 0..40),
    ) {
        let mut rates = EngineRates::default();
        let mut slowness = Slowdown::default();
        let mut now = Instant::now();
        for (uncached_tokens, head, generation_time, generated_tokens, concurrent_requests) in turns {
            let timing = TurnTiming {
                time_to_first_event: Duration::from_millis(head),
                uncached_tokens,
                generation_time: Duration::from_millis(generation_time),
                generated_tokens,
                concurrent_requests: f64::from(concurrent_requests),
                queued: concurrent_requests > 100,
            };
            now += Duration::from_millis(head);
            slowness.record(&timing, &rates.current(), now);
            rates.record(&timing, slowness.factor(now), now);
            let current = rates.current();
            for rate in [current.token_ms, current.contention_ms, current.prefill_ms, current.output_tokens] {
                prop_assert!(rate.is_finite() && rate >= 0.0, "{current:?}");
            }
            let factor = slowness.factor(now);
            prop_assert!((0.2..=10.0).contains(&factor), "{factor}");
        }
    }
}

const ENGINE: Engine = Engine {
    token: 1.3,
    contention: 0.05,
    reading: 0.007,
};

#[test]
fn a_slow_engine_is_found_and_tried_again_later() {
    let rates = taught(ENGINE, 500);
    let slow = Engine {
        token: ENGINE.token * 5.0,
        contention: ENGINE.contention * 5.0,
        ..ENGINE
    };
    let mut slowness = Slowdown::default();
    let mut now = Instant::now();
    for _ in 0..8 {
        now += Duration::from_millis(100);
        slowness.record(&slow.turn(0, 4.0), &rates, now);
    }
    assert!(slowness.factor(now) > 3.0, "{}", slowness.factor(now));
    let later = now + Duration::from_secs(12);
    assert!(slowness.factor(later) < 1.2, "{}", slowness.factor(later));
}

#[test]
fn a_slow_engine_does_not_teach_its_service() {
    let mut rates = EngineRates::default();
    let now = Instant::now();
    for turn in 0..200 {
        let timing = ENGINE.turn(turn * 20, f64::from(turn % 9));
        rates.record(&timing, 1.0, now);
    }
    let before = rates.current();
    let slow = Engine {
        token: 20.0,
        ..ENGINE
    };
    for _ in 0..200 {
        rates.record(&slow.turn(0, 4.0), 4.0, now);
    }
    assert_eq!(rates.current().token_ms, before.token_ms);
}

fn candidate(hash: u64, in_flight: u32, cached_tokens: u32) -> Candidate {
    Candidate {
        in_cell: false,
        hash,
        same_zone: true,
        in_flight,
        slots: 24,
        slowdown: 1.0,
        failure_probability: 0.0,
        cached_tokens,
        has_idle_connection: true,
        eligible: true,
    }
}

/// The same crowded engine is left where reading is quick, and kept to where
/// reading is dear: no constant of a deployment decides.
#[rstest::rstest]
#[case(0.002, 1)]
#[case(0.1, 0)]
fn a_program_leaves_a_crowded_engine_where_reading_is_quick(
    #[case] reading: f64,
    #[case] expected: usize,
) {
    let rates = taught(Engine { reading, ..ENGINE }, 500);
    let engines = [candidate(1, 16, 14_000), candidate(2, 8, 12_600)];
    assert_eq!(choose_engine(&engines, 14_000, 9, &rates), Some(expected));
}

#[test]
fn a_slow_engine_gets_fewer_turns() {
    let rates = taught(ENGINE, 500);
    let mut engines = vec![candidate(1, 0, 0), candidate(2, 0, 0), candidate(3, 0, 0)];
    engines[0].slowdown = 4.0;
    let mut turns = [0_u32; 3];
    for program in 0..30 {
        let chosen = choose_engine(&engines, 0, program, &rates).expect("engine");
        turns[chosen] += 1;
        engines[chosen].in_flight += 1;
    }
    assert!(turns[0] * 2 < turns[1].min(turns[2]), "{turns:?}");
}

/// An engine that cuts answers short ends its turns early and looks idle.
#[test]
fn an_engine_that_fails_draws_no_work_by_looking_idle() {
    let rates = taught(ENGINE, 500);
    let mut engines = vec![candidate(1, 4, 0), candidate(2, 6, 0), candidate(3, 6, 0)];
    let chosen = choose_engine(&engines, 0, 0, &rates);
    assert_eq!(chosen, Some(0));
    engines[0].failure_probability = 0.5;
    let chosen = choose_engine(&engines, 0, 0, &rates).expect("engine");
    assert_ne!(chosen, 0);
    // Where the others are full it is used all the same.
    engines[1].in_flight = 90;
    engines[2].in_flight = 90;
    assert_eq!(choose_engine(&engines, 0, 0, &rates), Some(0));
}

/// Turns of programs that every engine serves as well spread evenly.
#[test]
fn turns_spread_over_equal_engines() {
    let rates = taught(ENGINE, 500);
    let mut engines: Vec<Candidate> = (0..12).map(|hash| candidate(hash, 0, 12_600)).collect();
    for program in 0..120 {
        let chosen = choose_engine(&engines, 14_000, program, &rates).expect("engine");
        engines[chosen].in_flight += 1;
    }
    let loads: Vec<u32> = engines.iter().map(|engine| engine.in_flight).collect();
    assert!(
        loads.iter().all(|load| (9..=11).contains(load)),
        "{loads:?}"
    );
}
