//! Event splitting, prompt cache, placement, traffic splits and the idle limit.

mod support;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use proptest::prelude::*;
use rstest::rstest;
use stageyoke_directory::{Route, RouteKind, Target};
use stageyoke_front::engine_rates::{CurrentRates, EngineRates};
use stageyoke_front::event_stream::{EventSplitter, collect_data};
use stageyoke_front::memory_budget::MemoryBudget;
use stageyoke_front::placement::{Candidate, choose_engine, choose_plain};
use stageyoke_front::prompt_cache::{MAX_CACHED_PARTS, MAX_PROMPT_PARTS, Prompt, PromptCache};
use stageyoke_front::request::{RequestParameters, ScopedIdentifiers};
use stageyoke_front::response_body::{CallerGone, ResponseBody, chunk_channel};
use stageyoke_front::traffic_split::TrafficSplit;
use stageyoke_types::Text;
use stageyoke_types::hash::mix;
use support::names;
use tokio::time::Instant;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// However a stream is cut into chunks, exactly its complete events must pass, in order.
    #[test]
    fn complete_events_pass_for_any_chunks(
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
        let mut remaining = text.as_bytes();
        let mut cut = cuts.iter().cycle();
        while !remaining.is_empty() {
            let length = (*cut.next().expect("cycle")).min(remaining.len());
            let (chunk, after) = remaining.split_at(length);
            remaining = after;
            if let Some(complete_events) = splitter.push(chunk) {
                prop_assert!(complete_events.ends_with(b"\n\n"));
                passed.extend_from_slice(&complete_events);
            }
        }
        prop_assert_eq!(splitter.take_remainder(), tail.as_bytes());
        let mut data = Vec::new();
        let count = collect_data(&passed, &mut data);
        prop_assert_eq!(count as usize, events.len());
        let expected: String = events.iter().map(|data| format!("{data}\n")).collect();
        prop_assert_eq!(String::from_utf8(data).expect("text"), expected);
    }

    /// The estimate of cached tokens must not exceed the cache capacity of the engine.
    #[test]
    fn cached_tokens_stay_within_the_capacity(
        prompts in proptest::collection::vec(proptest::collection::vec((0_u32..40, 1_u32..50), 1..6), 1..60),
    ) {
        let mut cache = PromptCache::default();
        for parts in &prompts {
            let text: Vec<String> = parts.iter().map(|(id, tokens)| format!("{id:x}:{tokens}")).collect();
            let prompt = Prompt::parse(&text.join(","));
            cache.record_prompt(&prompt, 300);
            prop_assert!(cache.cached_tokens(&prompt) <= 300);
        }
    }
}

#[test]
fn events_with_carriage_returns_comments_and_several_lines_are_parsed() {
    let mut data = Vec::new();
    let text = b"versions: 3\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n: note\n\nid: 2\ndata:c\n\n";
    assert_eq!(collect_data(text, &mut data), 2);
    assert_eq!(data, b"a\nb\nc\n");
}

#[test]
fn a_prompt_is_cached_only_up_to_its_first_missing_part() {
    let mut cache = PromptCache::default();
    cache.record_prompt(&Prompt::parse("a:100,b:20"), 1_000);
    assert_eq!(cache.cached_tokens(&Prompt::parse("a:100,b:20,c:5")), 120);
    assert_eq!(cache.cached_tokens(&Prompt::parse("a:100,c:5,b:20")), 100);
    assert_eq!(cache.cached_tokens(&Prompt::parse("c:5,a:100")), 0);
    assert_eq!(Prompt::parse("a:100,broken,b:20").parts.len(), 1);
}

/// Returns the rates that a front assumes before its first turn.
fn initial_rates() -> CurrentRates {
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
        cold: false,
        eligible: true,
    }
}

#[test]
fn a_program_goes_where_its_prompt_is_cached_unless_that_engine_is_full() {
    let mut engines: Vec<Candidate> = (0..5).map(candidate).collect();
    engines[3].cached_tokens = 2_000;
    assert_eq!(
        choose_engine(&engines, 2_100, 77, &initial_rates()),
        Some(3)
    );
    engines[3].in_flight = 24;
    assert_ne!(
        choose_engine(&engines, 2_100, 77, &initial_rates()),
        Some(3)
    );
    engines[3].eligible = false;
    assert!(choose_engine(&engines, 2_100, 77, &initial_rates()).is_some());
}

#[test]
fn fronts_without_measurements_agree_on_a_programs_engine() {
    let mut engines: Vec<Candidate> = (0..7).map(candidate).collect();
    let preferred = choose_engine(&engines, 3_000, 99, &initial_rates()).expect("engine");
    // A front in another zone sees other engines as local.
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.same_zone = index % 2 == 0;
    }
    assert_eq!(
        choose_engine(&engines, 3_000, 99, &initial_rates()),
        Some(preferred)
    );
    let preferred_engines: std::collections::HashSet<_> = (0..50)
        .filter_map(|program| choose_engine(&engines, 3_000, program, &initial_rates()))
        .collect();
    assert_eq!(
        preferred_engines.len(),
        7,
        "programs spread over all engines"
    );
}

#[test]
fn plain_requests_go_to_the_least_loaded_eligible_replica() {
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
        homes: None,
    }
}

#[rstest::rstest]
fn a_split_gives_each_target_its_share_at_any_moment(#[values(0, 1, 2, 77)] seed: u64) {
    let route = split_route(&[("a", 90), ("b", 10)]);
    let split = TrafficSplit::new(seed);
    let mut to_b = 0;
    for request in 1..=200 {
        if split.next_service(&route).expect("target").as_str() == "b" {
            to_b += 1;
        }
        let expected = f64::from(request) * 0.1;
        assert!(
            (f64::from(to_b) - expected).abs() <= 1.0,
            "{to_b} of {request}"
        );
    }
}

/// Fronts that handle few requests each must together still follow the weights: of 150
/// requests at 50 fronts, about 15 go to the lighter target.
#[test]
fn a_split_holds_across_many_fronts_with_few_requests() {
    let route = split_route(&[("a", 90), ("b", 10)]);
    let mut to_b = 0;
    for seed in 0..50 {
        let split = TrafficSplit::new(seed);
        for _ in 0..3 {
            to_b += u32::from(split.next_service(&route).expect("target").as_str() == "b");
        }
    }
    assert!((8..=24).contains(&to_b), "{to_b} of 150");
}

#[test]
fn two_resets_of_idle_connections_limit_the_idle_time_for_a_while() {
    let start = tokio::time::Instant::now();
    let after = |ms| start + std::time::Duration::from_millis(ms);
    let milliseconds = std::time::Duration::from_millis;
    let mut limit = stageyoke_front::idle_limit::IdleLimit::default();
    limit.record_reset(milliseconds(5), after(0));
    limit.record_reset(milliseconds(400), after(10));
    assert_eq!(
        limit.max_idle(after(20)),
        None,
        "a single reset may be a restart"
    );
    limit.record_reset(milliseconds(300), after(30));
    assert_eq!(limit.max_idle(after(40)), Some(milliseconds(150)));
    limit.record_reset(milliseconds(900), after(5_000));
    assert_eq!(limit.max_idle(after(10_900)), Some(milliseconds(150)));
    assert_eq!(limit.max_idle(after(11_100)), None, "the limit must expire");
    limit.record_reset(milliseconds(900), after(12_000));
    assert_eq!(limit.max_idle(after(12_010)), None);
}

/// A program's preferred engine must lie in the front's zone if that zone has enough
/// engines.
#[rstest::rstest]
#[case(8, true)]
#[case(7, false)]
fn preferred_engines_are_local_in_a_zone_with_enough_engines(
    #[case] engines_per_zone: u64,
    #[case] expected: bool,
) {
    let engines: Vec<Candidate> = (0..2 * engines_per_zone)
        .map(|hash| Candidate {
            same_zone: hash < engines_per_zone,
            ..candidate(mix(hash))
        })
        .collect();
    let all_local = (0..200_u64).all(|program| {
        let chosen =
            choose_engine(&engines, 1_000, mix(program), &initial_rates()).expect("engine");
        engines[chosen].same_zone
    });
    assert_eq!(all_local, expected);
}

/// A task that relays a stream may panic, which must not look like the end of the stream.
#[rstest]
#[case::completed(true)]
#[case::dropped(false)]
#[tokio::test]
async fn a_stream_ends_as_complete_only_if_its_relay_says_so(#[case] is_completed: bool) {
    let budget = Rc::new(MemoryBudget::for_machine(1_000_000));
    let (chunks, receiver) = chunk_channel(budget.start_request());
    let mut body = ResponseBody::Stream(receiver);
    chunks.send(Bytes::from("a")).await.expect("receiver");
    match is_completed {
        true => chunks.complete(),
        false => drop(chunks),
    }
    let chunk = body.frame().await.expect("chunk").expect("no error");
    assert_eq!(chunk.into_data().expect("data"), "a");
    let end = body.frame().await.map(|frame| frame.is_ok());
    assert_eq!(end, (!is_completed).then_some(false));
}

/// A slow caller of a stream of large events must not use more memory than its queue may hold.
#[tokio::test(start_paused = true)]
async fn chunks_wait_while_their_caller_does_not_read() {
    const CHUNK_BYTES: usize = 20_000;
    let budget = Rc::new(MemoryBudget::for_machine(10_000_000));
    let (chunks, receiver) = chunk_channel(budget.start_request());
    let mut body = ResponseBody::Stream(receiver);
    let chunk = Bytes::from(vec![b'e'; CHUNK_BYTES]);
    let mut sent = 0;
    while tokio::time::timeout(Duration::from_secs(1), chunks.send(chunk.clone()))
        .await
        .is_ok()
    {
        sent += 1;
        assert_eq!(budget.used(), sent * CHUNK_BYTES);
    }
    assert_eq!(sent, 3, "three chunks fit into 64 KiB");
    for _ in 0..sent {
        let frame = body.frame().await.expect("chunk").expect("no error");
        assert_eq!(frame.into_data().expect("data"), chunk);
    }
    assert_eq!(
        budget.used(),
        CHUNK_BYTES,
        "the last one may not be written yet"
    );
    drop(body);
    assert_eq!(budget.used(), 0);
    assert_eq!(chunks.send(chunk).await, Err(CallerGone));
}

/// Without memory for more, a stream goes on chunk by chunk.
#[tokio::test(start_paused = true)]
async fn a_stream_goes_on_without_memory_for_a_queue() {
    let budget = Rc::new(MemoryBudget::for_machine(0));
    let (chunks, receiver) = chunk_channel(budget.start_request());
    let mut body = ResponseBody::Stream(receiver);
    for number in 0..3 {
        let chunk = Bytes::from(format!("event {number}"));
        chunks.send(chunk.clone()).await.expect("receiver");
        let second = tokio::time::timeout(Duration::from_secs(1), chunks.send(chunk.clone()));
        assert!(second.await.is_err(), "the queue holds one chunk");
        let frame = body.frame().await.expect("chunk").expect("no error");
        assert_eq!(frame.into_data().expect("data"), chunk);
    }
}

/// Callers state the tokens of prompt parts, which may be none or any number.
#[rstest]
#[case::no_tokens(0)]
#[case::one_token(1)]
#[case::any_number(u32::MAX)]
fn the_model_of_a_prompt_cache_is_bounded(#[case] tokens: u32) {
    let mut cache = PromptCache::default();
    for number in 0..20u64 {
        let parts: Vec<String> = (0..4_000)
            .map(|part| format!("{:x}:{tokens}", number * 4_000 + part))
            .collect();
        let prompt = Prompt::parse(&parts.join(","));
        assert!(prompt.parts.len() <= MAX_PROMPT_PARTS);
        let _ = (prompt.tokens(), cache.cached_tokens(&prompt));
        cache.record_prompt(&prompt, 100_000);
        assert!(cache.len() <= MAX_CACHED_PARTS, "{} parts", cache.len());
    }
}

/// Stores and caches estimate their memory for identifiers of an ordinary size.
#[test]
fn identifiers_have_a_limited_size_at_stores() {
    let long = "i".repeat(15_000);
    let mut headers = HeaderMap::new();
    let names = names();
    for name in [&names.request_id, &names.program, &names.previous_turn] {
        headers.insert(name.clone(), long.parse().expect("value"));
    }
    let arrived = Instant::now();
    let parameters = RequestParameters::read(&headers, &names, arrived).expect("identifier");
    let identifiers = ScopedIdentifiers::of(&parameters, None);
    assert!(identifiers.turn.len() < 100, "{}", identifiers.turn);
    assert_eq!(identifiers.previous.as_ref(), Some(&identifiers.turn));
    assert_eq!(
        parameters.request_id.len(),
        long.len(),
        "forwarded unchanged"
    );
    headers.insert(names.request_id.clone(), long[1..].parse().expect("value"));
    let other = RequestParameters::read(&headers, &names, arrived).expect("identifier");
    let other = ScopedIdentifiers::of(&other, None);
    assert_ne!(other.turn, identifiers.turn);
}
