//! The pure parts: events, prompts, placement, splits.

use proptest::prelude::*;
use stageyoke_directory::{Route, RouteKind, Target};
use stageyoke_front::engine_rates::{CurrentRates, EngineRates};
use stageyoke_front::event_stream::{EventSplitter, collect_data};
use stageyoke_front::placement::{Candidate, choose_engine, choose_plain};
use stageyoke_front::prompt_cache::{Prompt, PromptCache};
use stageyoke_front::traffic_split::TrafficSplit;
use stageyoke_types::Text;
use stageyoke_types::hash::mix;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// However a stream is cut into pieces, only whole events pass, in order,
    /// and nothing is lost or made up.
    #[test]
    fn events_pass_whole_in_any_pieces(
        events in proptest::collection::vec("[a-z ]{0,12}", 0..12),
        tail in "[a-z]{0,5}",
        cuts in proptest::collection::vec(1_usize..9, 1..60),
    ) {
        let mut text = String::new();
        for (number, data) in events.iter().enumerate() {
            text.push_str(&format!("id: {number}\ndata: {data}\n\n"));
        }
        text.push_str(&tail);
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        let mut cut = cuts.iter().cycle();
        while !rest.is_empty() {
            let length = (*cut.next().expect("cycle")).min(rest.len());
            let (piece, after) = rest.split_at(length);
            rest = after;
            if let Some(whole) = splitter.push(piece) {
                prop_assert!(whole.ends_with(b"\n\n"));
                passed.extend_from_slice(&whole);
            }
        }
        prop_assert_eq!(splitter.take_remainder(), tail.as_bytes());
        let mut data = Vec::new();
        let count = collect_data(&passed, &mut data);
        prop_assert_eq!(count as usize, events.len());
        let expected: String = events.iter().map(|data| format!("{data}\n")).collect();
        prop_assert_eq!(String::from_utf8(data).expect("text"), expected);
    }

    /// An engine is never believed to hold more than it can.
    #[test]
    fn held_parts_stay_within_the_capacity(
        prompts in proptest::collection::vec(proptest::collection::vec((0_u32..40, 1_u32..50), 1..6), 1..60),
    ) {
        let mut held = PromptCache::default();
        for parts in &prompts {
            let text: Vec<String> = parts.iter().map(|(id, tokens)| format!("{id:x}:{tokens}")).collect();
            let prompt = Prompt::parse(&text.join(","));
            held.record_prompt(&prompt, 300);
            prop_assert!(held.cached_tokens(&prompt) <= 300);
        }
    }
}

#[test]
fn events_with_carriage_returns_comments_and_several_lines() {
    let mut data = Vec::new();
    let text = b"versions: 3\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n: note\n\nid: 2\ndata:c\n\n";
    assert_eq!(collect_data(text, &mut data), 2);
    assert_eq!(data, b"a\nb\nc\n");
}

#[test]
fn a_prompt_is_held_only_up_to_its_first_missing_part() {
    let mut held = PromptCache::default();
    held.record_prompt(&Prompt::parse("a:100,b:20"), 1_000);
    assert_eq!(held.cached_tokens(&Prompt::parse("a:100,b:20,c:5")), 120);
    assert_eq!(held.cached_tokens(&Prompt::parse("a:100,c:5,b:20")), 100);
    assert_eq!(held.cached_tokens(&Prompt::parse("c:5,a:100")), 0);
    assert_eq!(Prompt::parse("a:100,broken,b:20").parts.len(), 1);
}

/// Rates of a front that has seen no turn yet.
fn assumed() -> CurrentRates {
    EngineRates::default().current()
}

fn candidate(hash: u64) -> Candidate {
    Candidate {
        in_cell: false,
        hash,
        same_zone: true,
        in_flight: 0,
        slots: 12,
        slowdown: 1.0,
        failure_probability: 0.0,
        cached_tokens: 0,
        has_idle_connection: true,
        eligible: true,
    }
}

#[test]
fn a_program_goes_where_its_prompt_is_held_unless_that_engine_is_filled() {
    let mut engines: Vec<Candidate> = (0..5).map(candidate).collect();
    engines[3].cached_tokens = 2_000;
    assert_eq!(choose_engine(&engines, 2_100, 77, &assumed()), Some(3));
    engines[3].in_flight = 24;
    assert_ne!(choose_engine(&engines, 2_100, 77, &assumed()), Some(3));
    engines[3].eligible = false;
    assert!(choose_engine(&engines, 2_100, 77, &assumed()).is_some());
}

#[test]
fn fronts_that_know_nothing_agree_on_a_programs_home() {
    let mut first: Vec<Candidate> = (0..7).map(candidate).collect();
    let home = choose_engine(&first, 3_000, 99, &assumed()).expect("engine");
    // Another front sees other zones as its own.
    for (index, engine) in first.iter_mut().enumerate() {
        engine.same_zone = index % 2 == 0;
    }
    assert_eq!(choose_engine(&first, 3_000, 99, &assumed()), Some(home));
    let homes: std::collections::HashSet<_> = (0..50)
        .filter_map(|program| choose_engine(&first, 3_000, program, &assumed()))
        .collect();
    assert_eq!(homes.len(), 7, "programs spread over all engines");
}

#[test]
fn plain_requests_go_to_the_least_loaded_and_nobody_unusable() {
    let mut replicas: Vec<Candidate> = (0..3).map(candidate).collect();
    replicas[0].in_flight = 4;
    replicas[1].in_flight = 1;
    replicas[2].eligible = false;
    assert_eq!(choose_plain(&replicas, 5), Some(1));
    for replica in &mut replicas {
        replica.eligible = false;
    }
    assert_eq!(choose_plain(&replicas, 5), None);
}

fn split_route(targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: Text::from(*service),
        weight: *weight,
    };
    Route {
        name: Text::from("split"),
        host: Text::from("host"),
        path_prefix: Text::from("/"),
        kind: RouteKind::Repeatable,
        timeout: std::time::Duration::ZERO,
        latency_objective: std::time::Duration::ZERO,
        priority: 0,
        targets: targets.iter().map(target).collect(),
        max_attempts: 1,
        stores_history: false,
        retention: std::time::Duration::ZERO,
        resumable: false,
        allows_anonymous: false,
        affinity: false,
    }
}

#[rstest::rstest]
fn a_split_gives_each_target_its_share_at_any_moment(#[values(0, 1, 2, 77)] seed: u64) {
    let route = split_route(&[("a", 90), ("b", 10)]);
    let shares = TrafficSplit::new(seed);
    let mut to_b = 0;
    for request in 1..=200 {
        if shares.next_service(&route).expect("target").as_str() == "b" {
            to_b += 1;
        }
        let due = f64::from(request) * 0.1;
        assert!((f64::from(to_b) - due).abs() <= 1.0, "{to_b} of {request}");
    }
}

/// Fifty fronts that see three requests each: 150 requests, of which the
/// lighter target is due 15.
#[test]
fn a_split_is_kept_over_many_fronts_that_see_few_requests() {
    let route = split_route(&[("a", 90), ("b", 10)]);
    let mut to_b = 0;
    for seed in 0..50 {
        let shares = TrafficSplit::new(seed);
        for _ in 0..3 {
            to_b += u32::from(shares.next_service(&route).expect("target").as_str() == "b");
        }
    }
    assert!((8..=24).contains(&to_b), "{to_b} of 150");
}

#[test]
fn resting_connections_are_distrusted_after_two_were_forgotten_and_for_a_while() {
    let began = tokio::time::Instant::now();
    let after = |ms| began + std::time::Duration::from_millis(ms);
    let rest = std::time::Duration::from_millis;
    let mut limit = stageyoke_front::idle_limit::IdleLimit::default();
    limit.record_reset(rest(5), after(0));
    limit.record_reset(rest(400), after(10));
    assert_eq!(limit.max_idle(after(20)), None, "one may be a restart");
    limit.record_reset(rest(300), after(30));
    assert_eq!(limit.max_idle(after(40)), Some(rest(150)));
    limit.record_reset(rest(900), after(5_000));
    assert_eq!(limit.max_idle(after(10_900)), Some(rest(150)));
    assert_eq!(limit.max_idle(after(11_100)), None, "it is forgotten");
    limit.record_reset(rest(900), after(12_000));
    assert_eq!(limit.max_idle(after(12_010)), None);
}

/// Engines of two zones, as a front of one sees them: a program's home lies in
/// the front's zone if the zone has enough engines.
#[rstest::rstest]
#[case(8, true)]
#[case(7, false)]
fn homes_lie_in_a_zone_with_enough_engines(#[case] own: u64, #[case] expected: bool) {
    let engines: Vec<Candidate> = (0..2 * own)
        .map(|hash| Candidate {
            same_zone: hash < own,
            ..candidate(mix(hash))
        })
        .collect();
    let all_local = (0..200_u64).all(|program| {
        let chosen = choose_engine(&engines, 1_000, mix(program), &assumed()).expect("engine");
        engines[chosen].same_zone
    });
    assert_eq!(all_local, expected);
}
