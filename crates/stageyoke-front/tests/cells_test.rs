//! Engines divided among the store groups: a program's turns go where its
//! group's stores count them, and elsewhere only when these are full.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rstest::rstest;
use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaStart, ReplicaState};
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
        assert!(engines[chosen].in_cell, "others look idle, and may not be");
    }
}

#[test]
fn a_full_cell_spills_and_a_held_prompt_draws() {
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
fn a_cell_without_usable_engines_binds_nobody() {
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
        start: ReplicaStart::default(),
    };
    (0..count)
        .map(|number| (Text::from(format!("engine-{number}")), record(number)))
        .collect()
}

/// The engines of each group, by their hashes.
fn cells(count: usize, groups: usize) -> Vec<BTreeSet<u64>> {
    let fleet = ReplicaRegistry::new(Rc::new(LoadTracker::new(1)));
    fleet.set_store_groups(groups);
    fleet.apply_list(&records(count), None);
    let cell = |group: u32| {
        let cell = RefCell::new(BTreeSet::new());
        let wanted = ReplicaQuery {
            service: SERVICE,
            zone: "zone",
            excluded: &[],
            prompt: &Prompt::default(),
            group: Some(GroupNumber(group)),
            repeatable: false,
        };
        fleet.choose(&wanted, |candidates| {
            let own = candidates.iter().filter(|candidate| candidate.in_cell);
            cell.borrow_mut()
                .extend(own.map(|candidate| candidate.hash));
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
fn cells_are_even_and_change_little(#[case] count: usize, #[case] groups: usize) {
    let before = cells(count, groups);
    let sizes: Vec<usize> = before.iter().map(BTreeSet::len).collect();
    assert_eq!(sizes.iter().sum::<usize>(), count);
    let least = sizes.iter().min().expect("groups");
    assert!(sizes.iter().all(|size| size - least <= 1), "{sizes:?}");
    let after = cells(count + 1, groups);
    let moved: usize = before
        .iter()
        .zip(&after)
        .map(|(before, after)| before.difference(after).count())
        .sum();
    assert!(moved < groups.max(1), "{moved} engines changed their group");
}

#[test]
fn too_few_engines_are_not_divided() {
    assert!(cells(11, 2).iter().all(BTreeSet::is_empty));
}

/// In its cell a program sees what its group's stores count, on others what the
/// fronts report.
#[tokio::test(start_paused = true)]
async fn a_group_sees_its_own_count() {
    let board = Rc::new(LoadTracker::new(1));
    let fleet = ReplicaRegistry::new(board.clone());
    fleet.set_store_groups(1);
    fleet.apply_list(&records(6), None);
    let wanted = ReplicaQuery {
        service: SERVICE,
        zone: "zone",
        excluded: &[],
        prompt: &Prompt::default(),
        group: Some(GroupNumber(0)),
        repeatable: false,
    };
    let first = fleet.choose(&wanted, |_| Some(0)).expect("engine");
    let mut placed = PlacedTurns::default();
    for turn in 0..5 {
        let placement = Placement {
            replica: first.short_hash(),
            max_duration_milliseconds: 4_000,
        };
        placed.start(turn, placement);
    }
    let told = OtherFrontsReport {
        placed_turns: placed.counts_excluding(9),
        ..Default::default()
    };
    board.apply_report(GroupNumber(0), told);
    let seen = RefCell::new(Vec::new());
    fleet.choose(&wanted, |candidates| {
        let in_flight = candidates.iter().map(|candidate| candidate.in_flight);
        seen.borrow_mut().extend(in_flight);
        None
    });
    assert_eq!(seen.into_inner(), [5, 0, 0, 0, 0, 0]);
}
