//! Store groups in virtual time: random plans of lost, late, doubled and
//! reordered messages, of disks that are torn, lost or refuse, and of members
//! that change while fronts write. The stores' state, their standing, the
//! exchange between peers, the quorums and the steps in the member lists are the
//! product's own; the plan drives them. By hand, `STAGEYOKE_PLANS=5000 cargo test
//! --release -p stageyoke-store --test plans_test` plays more of them.

mod plans;

use plans::world::{Flaw, Outcome, World};
use plans::{Plan, plans};
use proptest::prelude::ProptestConfig;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use rstest::rstest;

/// Plans that are played in CI, always the same.
const PLANS: u32 = 40;
/// Tries to make a failing plan smaller.
const SHRINKING: u32 = 2_000;
/// Plans within which a flaw must show.
const PLANS_FOR_A_FLAW: u32 = 2_000;

fn runner(cases: u32, max_shrink_iters: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters,
        ..ProptestConfig::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, random)
}

fn cases() -> u32 {
    let asked = std::env::var("STAGEYOKE_PLANS").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(PLANS)
}

fn play(plan: &Plan, flaw: Flaw) -> Outcome {
    World::new(plan, flaw).play()
}

#[test]
fn no_plan_breaks_a_promise() {
    let served = std::cell::Cell::new(0);
    let asked = std::cell::Cell::new(0);
    let outcome = runner(cases(), SHRINKING).run(&plans(), |plan| {
        let outcome = play(&plan, Flaw::None);
        served.set(served.get() + outcome.kept);
        asked.set(asked.get() + outcome.asked);
        proptest::prop_assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
        Ok(())
    });
    if let Err(TestError::Fail(reason, plan)) = outcome {
        panic!("{reason}\nin {plan:#?}");
    }
    assert!(
        served.get() * 2 > asked.get(),
        "most appends are kept: {} of {}",
        served.get(),
        asked.get()
    );
}

/// Each checker bites: with one of the guards taken away some plan breaks the
/// promise that it guards.
#[rstest]
#[case::a_quorum_one_short(Flaw::QuorumOneShort)]
#[case::a_list_used_too_long(Flaw::StaleListsAccepted)]
#[case::a_store_vouches_before_it_has_caught_up(Flaw::VouchesEarly)]
#[case::members_go_before_the_rest_hold_all(Flaw::RemovesWithoutExchange)]
#[case::ledgers_of_incomplete_stores_count(Flaw::IncompleteLedgersCount)]
fn a_missing_guard_is_found(#[case] flaw: Flaw) {
    let outcome = runner(PLANS_FOR_A_FLAW, 0).run(&plans(), |plan| {
        proptest::prop_assert!(play(&plan, flaw).breaches.is_empty());
        Ok(())
    });
    assert!(
        matches!(outcome, Err(TestError::Fail(..))),
        "{flaw:?} was not found"
    );
}

/// Found by 2,000 plans: of five stores, two of which may be lost, one was replaced and
/// removed, then two of the four that were left lost their disks; neither could vouch
/// again, and the one that was told to leave never did.
#[test]
fn two_wiped_members_of_four_are_filled_again() {
    use plans::{Fault, Plan};
    let plan = Plan {
        seed: 485100386734347148,
        stores: 5,
        losses: 2,
        lost: 0,
        doubled: 24,
        late: 0,
        faults: vec![
            (831, Fault::Wipe(0, 9335)),
            (10650, Fault::WipeAfterNext(50)),
            (10655, Fault::Retire(7)),
            (11566, Fault::Cut(56, 7000)),
            (11566, Fault::Deaf(0, 9000)),
            (15922, Fault::Add),
        ],
    };
    let outcome = play(&plan, Flaw::None);
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
}
