//! Estimation of engine rates from finished turns, and placement based on these rates.

use std::time::Duration;

use proptest::prelude::*;
use stageyoke_front::engine_rates::{CurrentRates, EngineRates, Slowdown, TurnTiming};
use stageyoke_front::placement::{Candidate, choose_engine};
use tokio::time::Instant;

/// Simulated engine; rates are in milliseconds per token.
#[derive(Clone, Copy, Debug)]
struct SimulatedEngine {
    token_ms: f64,
    contention_ms: f64,
    prefill_ms: f64,
}

impl SimulatedEngine {
    fn turn(&self, uncached_tokens: u32, concurrent_requests: f64) -> TurnTiming {
        let generated_tokens = 120;
        let token_ms = self.token_ms + self.contention_ms * concurrent_requests;
        let milliseconds = |amount: f64| Duration::from_secs_f64(amount / 1e3);
        TurnTiming {
            time_to_first_event: milliseconds(4.0 + self.prefill_ms * f64::from(uncached_tokens)),
            uncached_tokens,
            generation_time: milliseconds(token_ms * f64::from(generated_tokens)),
            generated_tokens,
            concurrent_requests,
            queued: false,
        }
    }
}

fn learn_rates(engine: SimulatedEngine, turns: u32) -> CurrentRates {
    let mut rates = EngineRates::default();
    let start = Instant::now();
    for turn in 0..turns {
        let timing = engine.turn(turn * 397 % 4_000, f64::from(turn % 11));
        let now = start + Duration::from_millis(20 * u64::from(turn));
        rates.record(&timing, 1.0, now);
    }
    rates.current()
}

fn is_close(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() <= 0.1 * expected.abs() + 0.002
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// The estimates must converge within ten seconds over a tenfold range of prefill and
    /// generation rates.
    #[test]
    fn rates_are_estimated_from_turns(
        token_ms in 0.5_f64..10.0,
        contention_part in 0.0_f64..0.15,
        prefill_ms in 0.003_f64..0.05,
    ) {
        let contention_ms = contention_part * token_ms;
        let engine = SimulatedEngine { token_ms, contention_ms, prefill_ms };
        let rates = learn_rates(engine, 500);
        for concurrent_requests in [0.0, 5.0, 10.0] {
            let expected = token_ms + contention_ms * concurrent_requests;
            prop_assert!(is_close(rates.token_time(concurrent_requests), expected), "{rates:?}");
        }
        prop_assert!(is_close(rates.prefill_ms, prefill_ms), "{rates:?}");
        prop_assert!(is_close(rates.output_tokens, 120.0), "{rates:?}");
    }

    /// Any sequence of turns must leave the rates finite and non-negative and the slowdown
    /// within its bounds.
    #[test]
    fn rates_stay_finite_and_non_negative(
        turns in proptest::collection::vec((0_u32..20_000, 0_u64..5_000, 0_u64..5_000, 0_u32..2_000, 0_u32..200), 0..40),
    ) {
        let mut rates = EngineRates::default();
        let mut slowdown = Slowdown::default();
        let mut now = Instant::now();
        for (uncached_tokens, first_event_milliseconds, generation_time, generated_tokens, concurrent_requests) in turns {
            let timing = TurnTiming {
                time_to_first_event: Duration::from_millis(first_event_milliseconds),
                uncached_tokens,
                generation_time: Duration::from_millis(generation_time),
                generated_tokens,
                concurrent_requests: f64::from(concurrent_requests),
                queued: concurrent_requests > 100,
            };
            now += Duration::from_millis(first_event_milliseconds);
            slowdown.record(&timing, &rates.current(), now);
            rates.record(&timing, slowdown.factor(now), now);
            let current = rates.current();
            for rate in [current.token_ms, current.contention_ms, current.prefill_ms, current.output_tokens] {
                prop_assert!(rate.is_finite() && rate >= 0.0, "{current:?}");
            }
            let factor = slowdown.factor(now);
            prop_assert!((0.2..=10.0).contains(&factor), "{factor}");
        }
    }
}

const ENGINE: SimulatedEngine = SimulatedEngine {
    token_ms: 1.3,
    contention_ms: 0.05,
    prefill_ms: 0.007,
};

#[test]
fn a_slow_engine_is_detected_and_retried_later() {
    let rates = learn_rates(ENGINE, 500);
    let slow = SimulatedEngine {
        token_ms: ENGINE.token_ms * 5.0,
        contention_ms: ENGINE.contention_ms * 5.0,
        ..ENGINE
    };
    let mut slowdown = Slowdown::default();
    let mut now = Instant::now();
    for _ in 0..8 {
        now += Duration::from_millis(100);
        slowdown.record(&slow.turn(0, 4.0), &rates, now);
    }
    assert!(slowdown.factor(now) > 3.0, "{}", slowdown.factor(now));
    let later = now + Duration::from_secs(12);
    assert!(slowdown.factor(later) < 1.2, "{}", slowdown.factor(later));
}

#[test]
fn a_slow_engine_does_not_change_its_services_rates() {
    let mut rates = EngineRates::default();
    let now = Instant::now();
    for turn in 0..200 {
        let timing = ENGINE.turn(turn * 20, f64::from(turn % 9));
        rates.record(&timing, 1.0, now);
    }
    let before = rates.current();
    let slow = SimulatedEngine {
        token_ms: 20.0,
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
        cold: false,
        eligible: true,
    }
}

/// Whether a program leaves a busy engine that caches its prompt must depend on the
/// measured prefill rate.
#[rstest::rstest]
#[case(0.002, 1)]
#[case(0.1, 0)]
fn a_program_leaves_a_busy_engine_where_prefill_is_fast(
    #[case] prefill_ms: f64,
    #[case] expected: usize,
) {
    let rates = learn_rates(
        SimulatedEngine {
            prefill_ms,
            ..ENGINE
        },
        500,
    );
    let engines = [candidate(1, 16, 14_000), candidate(2, 8, 12_600)];
    assert_eq!(choose_engine(&engines, 14_000, 9, &rates), Some(expected));
}

#[test]
fn a_slow_engine_gets_fewer_turns() {
    let rates = learn_rates(ENGINE, 500);
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

/// An engine that truncates answers has few turns in flight and must not attract more.
#[test]
fn a_failing_engine_that_looks_idle_attracts_no_turns() {
    let rates = learn_rates(ENGINE, 500);
    let mut engines = vec![candidate(1, 4, 0), candidate(2, 6, 0), candidate(3, 6, 0)];
    let chosen = choose_engine(&engines, 0, 0, &rates);
    assert_eq!(chosen, Some(0));
    engines[0].failure_probability = 0.5;
    let chosen = choose_engine(&engines, 0, 0, &rates).expect("engine");
    assert_ne!(chosen, 0);
    // The failing engine still receives turns when the other engines are full.
    engines[1].in_flight = 90;
    engines[2].in_flight = 90;
    assert_eq!(choose_engine(&engines, 0, 0, &rates), Some(0));
}

/// Engines of equal rates and cached tokens must receive equal numbers of turns.
#[test]
fn turns_spread_over_equal_engines() {
    let rates = learn_rates(ENGINE, 500);
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
