//! Simulates store groups in virtual time under random fault plans: lost, delayed,
//! duplicated and reordered messages, disk faults, and membership changes while fronts
//! write. The state machines of the stores, peer sync, quorums and membership are the
//! production code. For a longer run: `STAGEYOKE_PLANS=5000 cargo test --release
//! -p stageyoke-store --test plans_test`.

mod plans;

use plans::loss_tracker::{LossTracker, MachineStatus};
use plans::simulation::{Flaw, Outcome, Simulation};
use plans::{Fault, Plan, loss_series, overlapping_faults};
use proptest::prelude::ProptestConfig;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use rstest::rstest;

/// Number of plans run in CI; the same ones each time.
const DEFAULT_PLANS: u32 = 40;
/// Maximum attempts to minimize a failing plan.
const MAX_SHRINK_STEPS: u32 = 2_000;
/// Number of plans within which a seeded flaw must be detected.
const MAX_PLANS_PER_FLAW: u32 = 2_000;

fn test_runner(cases: u32, max_shrink_iters: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters,
        ..ProptestConfig::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, random)
}

fn plan_count() -> u32 {
    let setting = std::env::var("STAGEYOKE_PLANS").ok();
    setting
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PLANS)
}

fn run_plan(plan: &Plan, flaw: Flaw) -> Outcome {
    Simulation::new(plan, flaw).run()
}

#[test]
fn overlapping_faults_violate_no_guarantee() {
    let stored = std::cell::Cell::new(0);
    let sent = std::cell::Cell::new(0);
    let outcome = test_runner(plan_count(), MAX_SHRINK_STEPS).run(&overlapping_faults(), |plan| {
        let outcome = run_plan(&plan, Flaw::None);
        stored.set(stored.get() + outcome.appends_stored);
        sent.set(sent.get() + outcome.appends_sent);
        proptest::prop_assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
        Ok(())
    });
    if let Err(TestError::Fail(reason, plan)) = outcome {
        panic!("{reason}\nin {plan:#?}");
    }
    assert!(
        stored.get() * 2 > sent.get(),
        "too few appends were stored: {} of {}",
        stored.get(),
        sent.get()
    );
}

/// Guards against checks that detect nothing: some plan must expose each flaw.
#[rstest]
#[case::quorum_one_short(Flaw::QuorumOneShort)]
#[case::stale_member_list_accepted(Flaw::StaleMembersAccepted)]
#[case::complete_before_caught_up(Flaw::DeclaresCompleteEarly)]
#[case::removal_before_sync(Flaw::RemovesWithoutSync)]
#[case::incomplete_ledgers_counted(Flaw::IncompleteLedgersCounted)]
#[case::unfenced_change_settled(Flaw::SettlesUnfenced)]
fn a_seeded_flaw_is_detected(#[case] flaw: Flaw) {
    let outcome = test_runner(MAX_PLANS_PER_FLAW, 0).run(&overlapping_faults(), |plan| {
        proptest::prop_assert!(run_plan(&plan, flaw).violations.is_empty());
        Ok(())
    });
    assert!(
        matches!(outcome, Err(TestError::Fail(..))),
        "{flaw:?} was not detected"
    );
}

/// Guards against members that stay incomplete forever after two of four lost their disks,
/// which also kept a retiring store from leaving.
#[test]
fn two_wiped_members_of_four_are_filled_again() {
    let plan = Plan {
        seed: 485100386734347148,
        stores: 5,
        tolerated_losses: 2,
        lost_per_mille: 0,
        duplicated_per_mille: 24,
        delayed_per_mille: 0,
        catch_up_millis: None,
        faults: vec![
            (831, Fault::Wipe(0, 9335)),
            (10650, Fault::WipeNextHolders(50)),
            (10655, Fault::Retire(7)),
            (11566, Fault::Isolate(56, 7000)),
            (11566, Fault::StaleFront(0, 9000)),
            (15922, Fault::Add),
        ],
    };
    let outcome = run_plan(&plan, Flaw::None);
    assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
}

/// A summary of the results of many plans.
#[derive(Default)]
struct Survey {
    plans: usize,
    with_violations: usize,
    with_outages: usize,
    with_interruptions: usize,
    disks_lost: usize,
    millis_since_loss: Vec<u64>,
    millis_since_return: Vec<u64>,
}

impl Survey {
    fn add(&mut self, outcome: &Outcome) {
        self.plans += 1;
        self.with_violations += usize::from(!outcome.violations.is_empty());
        self.with_outages += usize::from(!outcome.outages.is_empty());
        self.with_interruptions += usize::from(!outcome.interruptions.is_empty());
        self.disks_lost += outcome.disks_lost;
        let recoveries = outcome.recoveries.iter();
        self.millis_since_loss.extend(
            recoveries
                .clone()
                .map(|recovery| recovery.millis_since_loss),
        );
        self.millis_since_return
            .extend(recoveries.map(|recovery| recovery.millis_since_return));
    }
}

fn median_and_max(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    match times.last() {
        Some(longest) => format!("p50 {} ms, max {longest} ms", times[times.len() / 2]),
        None => "none".to_owned(),
    }
}

impl std::fmt::Display for Survey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            plans,
            with_violations,
            with_outages,
            with_interruptions,
            ..
        } = self;
        let recoveries = self.millis_since_loss.len();
        let millis_since_loss = median_and_max(self.millis_since_loss.clone());
        let millis_since_return = median_and_max(self.millis_since_return.clone());
        writeln!(
            formatter,
            "{plans} plans: {with_violations} with violations, {with_outages} with a group \
             that stayed unavailable, {with_interruptions} with a group that was temporarily unavailable"
        )?;
        write!(
            formatter,
            "groups tolerated the next loss after {recoveries} of {} lost disks: \
             {millis_since_loss} after the loss, {millis_since_return} after the start of the \
             catch-up time",
            self.disks_lost
        )
    }
}

/// Maximum attempts to minimize a failing plan in CI.
const MAX_SHRINK_STEPS_IN_CI: u32 = 40;

fn print_failure(plan: &Plan, outcome: &Outcome) {
    let failures = outcome.failures();
    if !failures.is_empty() {
        println!("{}\n  in {plan:?}", failures.join("; "));
    }
}

#[test]
fn consecutive_losses_stop_no_group() {
    let is_long_run = std::env::var_os("STAGEYOKE_PLANS").is_some();
    let max_shrink_steps = match is_long_run {
        true => MAX_SHRINK_STEPS,
        false => MAX_SHRINK_STEPS_IN_CI,
    };
    let cases = plan_count();
    let mut random = test_runner(cases, max_shrink_steps);
    let mut survey = Survey::default();
    for _ in 0..cases {
        let plan = loss_series()
            .new_tree(&mut random)
            .expect("a plan")
            .current();
        let outcome = run_plan(&plan, Flaw::None);
        if is_long_run {
            print_failure(&plan, &outcome);
        }
        survey.add(&outcome);
    }
    println!("{survey}");
    let outcome = test_runner(cases, max_shrink_steps).run(&loss_series(), |plan| {
        let outcome = run_plan(&plan, Flaw::None);
        let failures = outcome.failures();
        proptest::prop_assert!(failures.is_empty(), "{failures:#?}");
        Ok(())
    });
    if let Err(TestError::Fail(reason, plan)) = outcome {
        panic!("{survey}\n{reason}\nin {plan:#?}");
    }
}

/// A plan of three stores, of which one may be lost, without message faults.
fn three_stores(seed: u64, faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        seed,
        stores: 3,
        tolerated_losses: 1,
        lost_per_mille: 0,
        duplicated_per_mille: 0,
        delayed_per_mille: 0,
        catch_up_millis: Some(4_300),
        faults,
    }
}

fn assert_no_failure(plan: &Plan) {
    let failures = run_plan(plan, Flaw::None).failures();
    assert!(failures.is_empty(), "{failures:#?}");
}

fn assert_no_failures(plans: Vec<(&str, Plan)>) {
    let failures = plans.into_iter().filter_map(|(name, plan)| {
        let failures = run_plan(&plan, Flaw::None).failures();
        (!failures.is_empty()).then(|| format!("{name}: {failures:#?}"))
    });
    let failures: Vec<String> = failures.collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a group that stops for good because a lost member is still listed when
/// the next is lost, or because a successor waits for a lost member's confirmation.
#[test]
fn consecutive_replacements_and_retirements_stop_no_group() {
    let replacements = vec![
        (2_000, Fault::Replace(0, 1_000)),
        (10_000, Fault::Replace(0, 1_500)),
        (18_000, Fault::Replace(0, 1_000)),
        (25_500, Fault::Wipe(0, 1_000)),
    ];
    let retirements = vec![
        (2_000, Fault::Retire(0)),
        (9_000, Fault::Replace(0, 1_500)),
        (12_000, Fault::Add),
        (13_000, Fault::Retire(0)),
        (20_000, Fault::Wipe(0, 1_000)),
        (24_000, Fault::PowerOffAll(1_500)),
    ];
    assert_no_failures(vec![
        ("replacements", three_stores(1, replacements)),
        ("retirements", three_stores(1, retirements)),
    ]);
}

/// Minimized random plans. Guards against a lost member that stays listed, or a successor
/// that can't join, so that the next loss stops the group or loses stored records.
#[test]
fn minimized_loss_series_stop_no_group() {
    let plan_of = |stores, tolerated_losses, catch_up_millis, faults| Plan {
        stores,
        tolerated_losses,
        catch_up_millis: Some(catch_up_millis),
        ..three_stores(0, faults)
    };
    let replacement = |at: u64| (at, Fault::Replace(0, 200));
    assert_no_failures(vec![
        (
            "both of two stores replaced",
            plan_of(2, 1, 4_299, vec![replacement(500), replacement(4_999)]),
        ),
        (
            "both remaining stores replaced after a retirement",
            plan_of(
                3,
                1,
                4_497,
                vec![
                    (500, Fault::Retire(0)),
                    (5_311, Fault::Replace(0, 1_975)),
                    (11_822, Fault::Replace(0, 2_943)),
                ],
            ),
        ),
        (
            "a disk lost while a gone member is listed",
            plan_of(
                3,
                1,
                4_028,
                vec![
                    (17_015, Fault::Replace(1, 1_978)),
                    (23_580, Fault::Wipe(1, 647)),
                ],
            ),
        ),
        (
            "a power loss while a gone member is listed",
            plan_of(
                3,
                1,
                4_109,
                vec![replacement(500), (4_809, Fault::PowerOff(0, 3_400))],
            ),
        ),
        (
            "two of three stores replaced, two losses tolerated, and a retirement",
            plan_of(
                3,
                2,
                4_098,
                vec![
                    replacement(1_397),
                    replacement(5_695),
                    (5_950, Fault::Retire(1)),
                    (8_195, Fault::Add),
                ],
            ),
        ),
        (
            "five of five stores replaced, two losses tolerated",
            plan_of(
                5,
                2,
                4_028,
                [1_250, 5_478, 9_706, 13_934, 18_162]
                    .map(replacement)
                    .to_vec(),
            ),
        ),
        (
            "two members replaced in one of two groups",
            plan_of(
                7,
                1,
                4_038,
                vec![
                    (500, Fault::Replace(1, 200)),
                    (4_738, Fault::Replace(1, 1_117)),
                ],
            ),
        ),
    ]);
}

/// Guards against a change that can't be fenced and a disk that isn't filled because a
/// member rejected by the service keeps an old list; peers relay the newer one.
#[test]
fn a_member_rejected_by_the_service_gets_member_lists_from_peers() {
    assert_no_failure(&three_stores(
        3,
        vec![
            (1_000, Fault::RejectByService(0, 36_000)),
            (3_000, Fault::Replace(1, 500)),
            (14_000, Fault::Wipe(1, 500)),
        ],
    ));
}

/// Minimized random plans. Guards against a spare that never catches up while fronts write,
/// joins too late, takes lost messages for a lost member, or doesn't replace one.
#[test]
fn a_spare_joins_before_the_next_loss() {
    let first = Plan {
        seed: 7705747141721169069,
        duplicated_per_mille: 12,
        catch_up_millis: Some(4_577),
        ..three_stores(
            0,
            vec![
                (1_192, Fault::Replace(6, 1_352)),
                (7_155, Fault::PowerOffAll(234)),
                (12_425, Fault::RetireAndReplace(61, 6_000, 1_230)),
                (19_819, Fault::Wipe(22, 2_333)),
                (23_148, Fault::RetireAndReplace(28, 6_000, 924)),
            ],
        )
    };
    let second = Plan {
        seed: 3068763272068277883,
        lost_per_mille: 12,
        duplicated_per_mille: 33,
        delayed_per_mille: 5,
        catch_up_millis: Some(4_247),
        ..three_stores(
            0,
            vec![
                (1_527, Fault::WipeNextHolders(1_841)),
                (8_481, Fault::Replace(53, 2_502)),
                (15_966, Fault::Replace(55, 2_505)),
                (22_908, Fault::Wipe(19, 483)),
                (23_540, Fault::RetireAndReplace(52, 6_000, 553)),
            ],
        )
    };
    let third = Plan {
        seed: 14878738999253532240,
        lost_per_mille: 18,
        duplicated_per_mille: 31,
        delayed_per_mille: 4,
        catch_up_millis: Some(4_460),
        ..three_stores(
            0,
            vec![
                (735, Fault::Replace(62, 1_840)),
                (2_599, Fault::Retire(36)),
                (8_906, Fault::Add),
                (14_055, Fault::Replace(14, 1_520)),
                (15_854, Fault::WipeNextHolders(2_465)),
                (22_841, Fault::WipeNextHolders(2_379)),
                (30_414, Fault::RetireAndReplace(46, 6_000, 2_265)),
            ],
        )
    };
    let fourth = Plan {
        seed: 1108476045972058434,
        stores: 2,
        lost_per_mille: 2,
        duplicated_per_mille: 40,
        delayed_per_mille: 9,
        catch_up_millis: Some(5_652),
        ..three_stores(
            0,
            vec![
                (3_783, Fault::Wipe(2, 1_517)),
                (11_584, Fault::StaleFront(24, 4_064)),
                (17_703, Fault::Replace(53, 386)),
                (23_905, Fault::Replace(28, 2_231)),
                (26_721, Fault::Replace(27, 1_294)),
                (34_217, Fault::Retire(49)),
            ],
        )
    };
    assert_no_failures(vec![
        ("a spare catches up while fronts write", first),
        ("a successor joins before a dead member is removed", second),
        ("two lost replies don't count as silence", third),
        ("a spare replaces a lost member", fourth),
    ]);
}

/// Guards against availability checks that detect nothing.
#[rstest]
#[case::no_change_proposed(Flaw::NeverProposes)]
#[case::unavailable_after_wipe(Flaw::UnavailableAfterWipe)]
#[case::never_absent_after_wipe(Flaw::NeverAbsentAfterWipe)]
fn an_unavailable_group_is_detected(#[case] flaw: Flaw) {
    let faults = vec![
        (2_000, Fault::Replace(0, 1_000)),
        (22_000, Fault::Replace(0, 1_000)),
    ];
    let plan = three_stores(1, faults);
    assert_no_failure(&plan);
    let outcome = run_plan(&plan, flaw);
    assert!(!outcome.outages.is_empty(), "{flaw:?} was not detected");
}

/// Guards against consistency checks that detect nothing in plans of consecutive losses.
#[rstest]
#[case::quorum_one_short(Flaw::QuorumOneShort)]
#[case::complete_before_caught_up(Flaw::DeclaresCompleteEarly)]
#[case::incomplete_ledgers_counted(Flaw::IncompleteLedgersCounted)]
fn a_seeded_flaw_is_detected_by_loss_series(#[case] flaw: Flaw) {
    assert_detected_by_loss_series(flaw);
}

/// The flaws that only show in hundreds of plans.
#[rstest]
#[case::stale_member_list_accepted(Flaw::StaleMembersAccepted)]
#[case::removal_before_sync(Flaw::RemovesWithoutSync)]
#[case::old_members_ignored(Flaw::OldMembersIgnored)]
#[ignore = "runs hundreds of plans for each case"]
fn a_seeded_flaw_is_detected_by_a_long_run_of_loss_series(#[case] flaw: Flaw) {
    assert_detected_by_loss_series(flaw);
}

fn assert_detected_by_loss_series(flaw: Flaw) {
    let is_false_reply =
        |violation: &String| violation.contains("reported absent") || violation.contains("sees");
    let outcome = test_runner(MAX_PLANS_PER_FLAW, 0).run(&loss_series(), |plan| {
        proptest::prop_assert!(!run_plan(&plan, flaw).violations.iter().any(is_false_reply));
        Ok(())
    });
    assert!(
        matches!(outcome, Err(TestError::Fail(..))),
        "{flaw:?} was not detected"
    );
}

const AVAILABLE: MachineStatus = MachineStatus {
    available: true,
    retiring: false,
    gone: false,
};
const UNAVAILABLE: MachineStatus = MachineStatus {
    available: false,
    ..AVAILABLE
};
const GONE: MachineStatus = MachineStatus {
    gone: true,
    ..UNAVAILABLE
};

/// Three machines that have caught up, of which one may be lost; the catch-up time is 4 s.
fn three_machines() -> LossTracker {
    let mut loss_tracker = LossTracker::new(4_000, 1, 1);
    loss_tracker.observe(0, &[AVAILABLE; 3], true);
    loss_tracker.observe(4_000, &[AVAILABLE; 3], true);
    assert_eq!(loss_tracker.within_tolerance_since(), Some(4_000));
    loss_tracker
}

#[test]
fn a_lost_disk_counts_until_its_store_has_caught_up() {
    let mut loss_tracker = three_machines();
    loss_tracker.record_disk_loss(0, 5_000);
    loss_tracker.observe(5_000, &[UNAVAILABLE, AVAILABLE, AVAILABLE], true);
    loss_tracker.observe(9_900, &[UNAVAILABLE, AVAILABLE, AVAILABLE], true);
    assert!(
        loss_tracker.may_lose_disk(0),
        "the same disk may be lost again"
    );
    assert!(!loss_tracker.may_lose_disk(1));
    loss_tracker.observe(10_000, &[AVAILABLE; 3], true);
    loss_tracker.observe(13_900, &[AVAILABLE; 3], true);
    assert!(!loss_tracker.may_lose_disk(1));
    loss_tracker.observe(14_000, &[AVAILABLE; 3], true);
    assert!(loss_tracker.may_lose_disk(1));
}

#[rstest]
#[case::service_outage([AVAILABLE; 3], false)]
#[case::too_many_machines_unavailable([AVAILABLE, UNAVAILABLE, AVAILABLE], true)]
#[case::own_machine_unavailable([UNAVAILABLE, AVAILABLE, AVAILABLE], true)]
fn an_interruption_restarts_the_catch_up_time(
    #[case] machines: [MachineStatus; 3],
    #[case] stable: bool,
) {
    let mut loss_tracker = three_machines();
    loss_tracker.record_disk_loss(0, 5_000);
    loss_tracker.observe(5_100, &[AVAILABLE; 3], true);
    loss_tracker.observe(7_000, &machines, stable);
    loss_tracker.observe(8_000, &[AVAILABLE; 3], true);
    loss_tracker.observe(11_900, &[AVAILABLE; 3], true);
    assert!(!loss_tracker.may_lose_disk(1));
    loss_tracker.observe(12_000, &[AVAILABLE; 3], true);
    assert!(loss_tracker.may_lose_disk(1));
}

#[test]
fn a_gone_machine_counts_until_its_successor_has_caught_up() {
    let mut loss_tracker = three_machines();
    loss_tracker.record_disk_loss(0, 5_000);
    loss_tracker.observe(5_000, &[GONE, AVAILABLE, AVAILABLE], true);
    loss_tracker.observe(20_000, &[GONE, AVAILABLE, AVAILABLE], true);
    assert!(!loss_tracker.may_lose_disk(1));
    let within_tolerance_since = loss_tracker.within_tolerance_since();
    loss_tracker.add_machine(3);
    loss_tracker.observe(20_200, &[GONE, AVAILABLE, AVAILABLE, AVAILABLE], true);
    loss_tracker.observe(24_100, &[GONE, AVAILABLE, AVAILABLE, AVAILABLE], true);
    assert!(!loss_tracker.may_lose_disk(1));
    assert_eq!(
        loss_tracker.within_tolerance_since(),
        within_tolerance_since,
        "one machine stayed lost throughout"
    );
    loss_tracker.observe(24_200, &[GONE, AVAILABLE, AVAILABLE, AVAILABLE], true);
    assert!(loss_tracker.may_lose_disk(1));
    loss_tracker.record_disk_loss(3, 24_300);
    assert!(
        !loss_tracker.may_lose_disk(1),
        "the successor's lost disk counts too"
    );
}

#[test]
fn excess_losses_and_outages_end_the_time_within_tolerance() {
    let mut loss_tracker = three_machines();
    loss_tracker.observe(5_000, &[UNAVAILABLE, AVAILABLE, AVAILABLE], true);
    assert!(loss_tracker.within_tolerance_since().is_some());
    loss_tracker.observe(6_000, &[UNAVAILABLE, UNAVAILABLE, AVAILABLE], true);
    assert_eq!(loss_tracker.within_tolerance_since(), None);
    loss_tracker.observe(7_000, &[UNAVAILABLE, AVAILABLE, AVAILABLE], true);
    assert_eq!(
        loss_tracker.within_tolerance_since(),
        None,
        "a machine that just returned still counts as lost"
    );
    loss_tracker.observe(11_000, &[UNAVAILABLE, AVAILABLE, AVAILABLE], true);
    assert_eq!(loss_tracker.within_tolerance_since(), Some(11_000));
    loss_tracker.observe(12_000, &[UNAVAILABLE, AVAILABLE, AVAILABLE], false);
    assert_eq!(loss_tracker.within_tolerance_since(), None);
    loss_tracker.observe(13_000, &[UNAVAILABLE, AVAILABLE, AVAILABLE], true);
    loss_tracker.observe(17_000, &[UNAVAILABLE, AVAILABLE, AVAILABLE], true);
    assert_eq!(loss_tracker.within_tolerance_since(), Some(17_000));
    assert_eq!(loss_tracker.undisturbed_since(), Some(17_000));
}
