//! Engine cells: each store group counts the turns of its own engines, so a program's
//! turns go there and leave only when those engines are full.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaStart, ReplicaState, RequestHomes};
use stageyoke_front::engine_rates::{CurrentRates, EngineRates};
use stageyoke_front::placement::{Candidate, choose_engine};
use stageyoke_front::prompt_cache::Prompt;
use stageyoke_front::replica_registry::{ReplicaQuery, ReplicaRegistry};
use stageyoke_store::LoadTracker;
use stageyoke_store::load::PlacedTurns;
use stageyoke_store::message::{OtherFrontsReport, Placement};
use stageyoke_types::Text;

const SERVICE: &str = "engines";
const SLOTS: u32 = 6;

fn rates() -> CurrentRates {
    EngineRates::default().current()
}

fn engines() -> Vec<Candidate> {
    let engine = |hash: u64| Candidate {
        hash,
        same_zone: true,
        in_flight: 2,
        slots: SLOTS,
        slowdown: 1.0,
        failure_probability: 0.0,
        cached_tokens: 0,
        in_cell: hash < 4,
        has_idle_connection: true,
        cold: false,
        eligible: true,
    };
    (0..12).map(engine).collect()
}

#[test]
fn turns_stay_in_the_cell_while_it_has_room() {
    let mut engines = engines();
    for engine in &mut engines[4..] {
        engine.in_flight = 0;
    }
    for program in 0..40 {
        let chosen = choose_engine(&engines, 1_000, program, &rates()).expect("engine");
        assert!(
            engines[chosen].in_cell,
            "engines of other cells may only look idle"
        );
    }
}

#[test]
fn turns_leave_a_full_cell_or_follow_a_cached_prompt() {
    let mut engines = engines();
    for engine in &mut engines[..4] {
        engine.in_flight = SLOTS * 3;
    }
    let spilled = choose_engine(&engines, 1_000, 7, &rates()).expect("engine");
    assert!(!engines[spilled].in_cell);
    let mut engines = self::engines();
    engines[9].cached_tokens = 2_000;
    assert_eq!(choose_engine(&engines, 2_100, 7, &rates()), Some(9));
}

#[test]
fn turns_leave_a_cell_without_eligible_engines() {
    let mut engines = engines();
    for engine in &mut engines[..4] {
        engine.eligible = false;
    }
    let chosen = choose_engine(&engines, 1_000, 7, &rates()).expect("engine");
    assert!(!engines[chosen].in_cell);
}

fn records(count: usize) -> BTreeMap<Text, ReplicaRecord> {
    let record = |number: usize| ReplicaRecord {
        service: Text::from(SERVICE),
        address: Text::from(format!("127.0.0.1:{number}")),
        zone: Text::from("zone"),
        slots: SLOTS,
        state: ReplicaState::Ready,
        software_version: Text::from("1"),
        start: ReplicaStart::default(),
        cold_left: Duration::ZERO,
    };
    (0..count)
        .map(|number| (Text::from(format!("engine-{number}")), record(number)))
        .collect()
}

/// Hashes of the engines in each group's cell.
fn cells(count: usize, groups: usize) -> Vec<BTreeSet<u64>> {
    let registry = ReplicaRegistry::new(Rc::new(LoadTracker::new(1)), BTreeMap::new());
    registry.set_store_groups(groups);
    registry.apply_list(&records(count), None);
    let cell = |group: u32| {
        let cell = RefCell::new(BTreeSet::new());
        let query = ReplicaQuery {
            service: SERVICE,
            zone: "zone",
            excluded: &[],
            prompt: &Prompt::default(),
            group: Some(GroupNumber(group)),
            repeatable: false,
            affinity: 0,
            homes: RequestHomes::default(),
            software_version: None,
        };
        registry.choose(&query, |candidates| {
            let own_engines = candidates.iter().filter(|candidate| candidate.in_cell);
            cell.borrow_mut()
                .extend(own_engines.map(|candidate| candidate.hash));
            None
        });
        cell.into_inner()
    };
    (0..groups as u32).map(cell).collect()
}

#[rstest]
#[case(102, 7)]
#[case(32, 2)]
#[case(11, 1)]
fn cells_differ_by_at_most_one_engine_and_change_little(
    #[case] count: usize,
    #[case] groups: usize,
) {
    let before = cells(count, groups);
    let sizes: Vec<usize> = before.iter().map(BTreeSet::len).collect();
    assert_eq!(sizes.iter().sum::<usize>(), count);
    let smallest = sizes.iter().min().expect("groups");
    assert!(sizes.iter().all(|size| size - smallest <= 1), "{sizes:?}");
    let after = cells(count + 1, groups);
    let moved: usize = before
        .iter()
        .zip(&after)
        .map(|(before, after)| before.difference(after).count())
        .sum();
    assert!(moved < groups.max(1), "{moved} engines changed cells");
}

#[test]
fn too_few_engines_are_not_divided_into_cells() {
    assert!(cells(11, 2).iter().all(BTreeSet::is_empty));
}

/// For engines of its cell, a program's placement must use the counts of its group's
/// stores; for other engines, the reports of the fronts.
#[tokio::test(start_paused = true)]
async fn turns_counted_by_the_groups_stores_are_used_for_placement() {
    let tracker = Rc::new(LoadTracker::new(1));
    let registry = ReplicaRegistry::new(tracker.clone(), BTreeMap::new());
    registry.set_store_groups(1);
    registry.apply_list(&records(6), None);
    let query = ReplicaQuery {
        service: SERVICE,
        zone: "zone",
        excluded: &[],
        prompt: &Prompt::default(),
        group: Some(GroupNumber(0)),
        repeatable: false,
        affinity: 0,
        homes: RequestHomes::default(),
        software_version: None,
    };
    let first = registry.choose(&query, |_| Some(0)).expect("engine");
    let mut placed = PlacedTurns::default();
    for turn in 0..5 {
        let placement = Placement {
            replica: first.short_hash(),
            max_duration_milliseconds: 4_000,
        };
        placed.start(turn, placement);
    }
    let report = OtherFrontsReport {
        placed_turns: placed.counts_excluding(9),
        ..Default::default()
    };
    tracker.apply_report(GroupNumber(0), report);
    let observed_loads = RefCell::new(Vec::new());
    registry.choose(&query, |candidates| {
        let in_flight = candidates.iter().map(|candidate| candidate.in_flight);
        observed_loads.borrow_mut().extend(in_flight);
        None
    });
    assert_eq!(observed_loads.into_inner(), [5, 0, 0, 0, 0, 0]);
}
