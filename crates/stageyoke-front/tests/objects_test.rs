//! Replay of a load: calls that concern objects, over many fronts. How many of them
//! reach a replica that has seen their object lately, and how even the work stays.

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stageyoke_front::placement::{Candidate, choose_plain, hash_text, mix};
use stageyoke_front::request::Figures;
use tokio::time::Instant;

mod support;

const REPLICAS: usize = 27;
const OBJECTS: u64 = 4_000;
const CALLS_PER_SECOND: f64 = 180.0;
const OTHERS_PER_SECOND: f64 = 700.0;
/// How long a replica is taken to remember an object, in milliseconds.
const REMEMBERED: u64 = 20_000;
const LENGTH: u64 = 40_000;

fn candidate(hash: u64, in_flight: u32) -> Candidate {
    Candidate {
        hash,
        local: hash.is_multiple_of(4),
        in_flight,
        slots: 6,
        slowness: 1.0,
        failure: 0.0,
        held_tokens: 0,
        in_cell: false,
        connected: true,
        usable: true,
    }
}

#[derive(Debug, Default)]
struct Seen {
    calls: usize,
    warm: usize,
    busiest: usize,
}

/// Plays the load; objects count for the choice or don't.
fn play(by_object: bool) -> Seen {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); REPLICAS];
    let mut met: HashMap<(usize, u64), u64> = HashMap::new();
    let mut chosen_by: Vec<usize> = vec![0; REPLICAS];
    let mut seen = Seen::default();
    for time in 0..LENGTH {
        for running in &mut ends {
            running.retain(|end| *end > time);
        }
        let concerns = random.random_bool(CALLS_PER_SECOND / 1_000.0);
        if !concerns && !random.random_bool(OTHERS_PER_SECOND / 1_000.0) {
            continue;
        }
        let zone: u64 = random.random_range(0..4);
        let candidates: Vec<Candidate> = (0..REPLICAS)
            .map(|replica| Candidate {
                local: replica as u64 % 4 == zone,
                ..candidate(replica as u64, ends[replica].len() as u32)
            })
            .collect();
        let object = concerns.then(|| random.random_range(0..OBJECTS));
        let hash = object.map(mix).filter(|_| by_object);
        let chosen = choose_plain(&candidates, random.random(), hash).expect("a replica");
        chosen_by[chosen] += 1;
        let work = if concerns { 104.0 } else { 40.0 };
        let lasts = -work * (1.0 - random.random::<f64>()).ln();
        ends[chosen].push(time + lasts as u64);
        if let Some(object) = object {
            let before = met.insert((chosen, object), time);
            if time > LENGTH / 2 {
                seen.calls += 1;
                seen.warm += usize::from(before.is_some_and(|at| at + REMEMBERED > time));
            }
        }
    }
    seen.busiest = chosen_by.into_iter().max().unwrap_or_default();
    seen
}

/// Objects meet replicas that have seen them, and no replica gets much more work.
#[test]
fn calls_for_an_object_meet_a_replica_that_has_seen_it() {
    let (before, after) = (play(false), play(true));
    println!("by load {before:?}\nby object {after:?}");
    assert!(after.warm > before.warm * 3, "{before:?} {after:?}");
    assert!(
        after.busiest * 10 < before.busiest * 12,
        "{before:?} {after:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    /// Fronts that see the same load choose the same replica for an object, and one
    /// that goes moves only its own objects.
    #[test]
    fn all_fronts_agree_on_an_objects_replica(
        object in any::<u64>(),
        ties in (any::<u64>(), any::<u64>()),
        gone in 0_usize..20,
    ) {
        let candidates: Vec<Candidate> = (0..20).map(|hash| candidate(mix(hash), 1)).collect();
        let chosen = choose_plain(&candidates, ties.0, Some(object));
        prop_assert_eq!(chosen, choose_plain(&candidates, ties.1, Some(object)));
        let mut fewer = candidates;
        fewer[gone].usable = false;
        let then = choose_plain(&fewer, ties.0, Some(object));
        prop_assert!(chosen == Some(gone) || then == chosen);
    }

    /// A replica that has more to do than others is left alone.
    #[test]
    fn a_crowded_replica_gets_no_object(object in any::<u64>(), tie in any::<u64>()) {
        let mut candidates: Vec<Candidate> =
            (0..20).map(|hash| candidate(mix(hash) / 4 * 4, 1)).collect();
        let home = choose_plain(&candidates, tie, Some(object)).expect("a replica");
        candidates[home].in_flight = 3;
        prop_assert_ne!(choose_plain(&candidates, tie, Some(object)), Some(home));
    }
}

#[test]
fn an_object_is_read_from_its_cookie_among_others() {
    let object = |cookies: &[&'static str]| {
        let mut headers = hyper::HeaderMap::new();
        headers.insert("id", hyper::header::HeaderValue::from_static("r"));
        for cookie in cookies {
            let value = hyper::header::HeaderValue::from_static(cookie);
            headers.append("cookie", value);
        }
        let figures = Figures::read(&headers, &support::names(), Instant::now());
        figures.expect("figures").object
    };
    assert_eq!(object(&["a=1; object=17"]), Some(hash_text("17")));
    assert_eq!(object(&["a=1", "object=17; b=2"]), Some(hash_text("17")));
    assert_eq!(object(&["objects=17", "x"]), None);
    assert_eq!(object(&[]), None);
}
