//! Which replicas are offered work after failures, in virtual time.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaStart, ReplicaState};
use stageyoke_front::health::{
    CAUTION_THRESHOLD, Evidence, Health, SUSPENSION_THRESHOLD, combine_estimates,
};
use stageyoke_front::placement::{self, Candidate};
use stageyoke_front::prompt_cache::Prompt;
use stageyoke_front::replica::Replica;
use stageyoke_front::replica_registry::{ReplicaQuery, ReplicaRegistry};
use stageyoke_store::load::LoadReports;
use stageyoke_store::{LoadTracker, message::OtherFrontsReport};
use stageyoke_types::{List, Text};
use tokio::time::Instant;

const SERVICE: &str = "service";
/// How long entries may come back after an absence of the service.
const BACK_WITHIN: Duration = Duration::from_secs(1);

fn records(replicas: u8) -> BTreeMap<Text, ReplicaRecord> {
    let record = |number: u8| ReplicaRecord {
        service: Text::from(SERVICE),
        address: Text::from(format!("127.0.0.1:{number}")),
        zone: Text::from("zone"),
        slots: 4,
        state: ReplicaState::Ready,
        start: ReplicaStart::default(),
    };
    (0..replicas)
        .map(|number| (Text::from(format!("replica-{number}")), record(number)))
        .collect()
}

fn fleet(replicas: u8) -> (ReplicaRegistry, Rc<LoadTracker>) {
    let board = Rc::new(LoadTracker::new(1));
    let fleet = ReplicaRegistry::new(board.clone());
    fleet.apply_list(&records(replicas), None);
    (fleet, board)
}

fn choose(fleet: &ReplicaRegistry, repeatable: bool, tie: u64) -> Rc<Replica> {
    find(fleet, repeatable, tie).expect("a replica")
}

fn find(fleet: &ReplicaRegistry, repeatable: bool, tie: u64) -> Option<Rc<Replica>> {
    let wanted = ReplicaQuery {
        group: None,
        service: SERVICE,
        zone: "zone",
        excluded: &[],
        prompt: &Prompt::default(),
        repeatable,
    };
    let choose = |candidates: &[Candidate]| placement::choose_plain(candidates, tie);
    fleet.choose(&wanted, choose)
}

/// How often each of many requests goes to this replica.
fn offers(fleet: &ReplicaRegistry, replica: &Replica, repeatable: bool) -> usize {
    (0..64)
        .filter(|tie| choose(fleet, repeatable, *tie).id == replica.id)
        .count()
}

fn lose(replica: &Replica, answers: u32) {
    for _ in 0..answers {
        replica.record(Evidence::Lost);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_keep_away_first_what_may_run_only_once() {
    let (fleet, _) = fleet(3);
    let bad = choose(&fleet, false, 0);
    let offered = || {
        (
            offers(&fleet, &bad, false) > 0,
            offers(&fleet, &bad, true) > 0,
        )
    };
    let mut seen = vec![offered()];
    for _ in 0..4 {
        lose(&bad, 1);
        seen.push(offered());
    }
    let (all, repeatable, nothing) = ((true, true), (false, true), (false, false));
    assert_eq!(seen, [all, all, repeatable, repeatable, nothing]);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert_eq!(offered(), all, "it is tried again");
}

/// Half of the replicas lose one answer in twenty: they stay in use, as the
/// others could not carry all the work.
#[tokio::test(start_paused = true)]
async fn seldom_losses_at_many_replicas_move_no_work() {
    let (fleet, _) = fleet(4);
    let mut requests: BTreeMap<Text, u32> = BTreeMap::new();
    for round in 0..800_u64 {
        let replica = choose(&fleet, false, round);
        let number = requests.entry(replica.id.clone()).or_default();
        *number += 1;
        let evidence = match *number % 20 {
            7 => Evidence::Lost,
            _ => Evidence::Sound,
        };
        replica.record(evidence);
        assert!(offers(&fleet, &replica, false) > 0, "round {round}");
        tokio::time::advance(Duration::from_millis(30)).await;
    }
}

/// A replica that went down resets at once what comes over kept connections.
#[tokio::test(start_paused = true)]
async fn one_reset_at_once_keeps_away_what_may_run_only_once() {
    let (fleet, board) = fleet(3);
    let bad = choose(&fleet, false, 0);
    bad.record(Evidence::Reset);
    assert_eq!(offers(&fleet, &bad, false), 0);
    assert!(
        offers(&fleet, &bad, true) > 0,
        "what may be repeated asks it"
    );
    assert_eq!(
        board.report(GroupNumber(0)).suspects.len(),
        1,
        "and others are told"
    );
    bad.record(Evidence::Reset);
    assert_eq!(offers(&fleet, &bad, true), 0);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_replica_is_suspended_at_once() {
    let (fleet, _) = fleet(3);
    let bad = choose(&fleet, false, 0);
    bad.record(Evidence::Unreachable);
    assert_eq!(offers(&fleet, &bad, true), 0);
}

#[tokio::test(start_paused = true)]
async fn an_answer_restores_trust_sooner_than_time() {
    let (fleet, _) = fleet(3);
    let bad = choose(&fleet, false, 0);
    lose(&bad, 2);
    assert_eq!(offers(&fleet, &bad, false), 0);
    bad.record(Evidence::Sound);
    bad.record(Evidence::Sound);
    assert!(offers(&fleet, &bad, false) > 0);
}

#[tokio::test(start_paused = true)]
async fn failing_replicas_are_used_where_there_is_no_other() {
    let (fleet, _) = fleet(1);
    let only = choose(&fleet, false, 0);
    only.record(Evidence::Unreachable);
    assert_eq!(offers(&fleet, &only, false), 64);
}

/// A front that has sent nothing to a replica learns from others, through a
/// store, that it fails them; the word of a single one excludes nothing.
#[tokio::test(start_paused = true)]
async fn fronts_learn_of_failing_replicas_from_one_another() {
    let (own, board) = fleet(3);
    let bad = choose(&own, false, 0);
    let store = LoadReports::default();
    let hear = || board.apply_report(GroupNumber(0), store.report_excluding(1));
    let mut offered = Vec::new();
    for front in 2..=4 {
        let other = Rc::new(LoadTracker::new(front));
        let others = ReplicaRegistry::new(other.clone());
        let record = bad.record.clone();
        others.apply_list(&BTreeMap::from([(bad.id.clone(), record)]), None);
        lose(&choose(&others, false, 0), 2);
        store.update(other.report(GroupNumber(0)));
        hear();
        offered.push((offers(&own, &bad, false) > 0, offers(&own, &bad, true) > 0));
    }
    assert_eq!(offered, [(true, true), (false, true), (false, false)]);
    tokio::time::advance(Duration::from_secs(2)).await;
    hear();
    assert!(
        offers(&own, &bad, false) > 0,
        "reports of the past are forgotten"
    );
}

#[tokio::test(start_paused = true)]
async fn reports_stay_bounded() {
    let board = LoadTracker::new(1);
    for replica in 0..10_000 {
        board.suspect(replica, Duration::from_secs(1));
    }
    let report = board.report(GroupNumber(0));
    assert_eq!(
        report.suspects.len(),
        stageyoke_store::load::MAX_SUSPECTED_REPLICAS
    );
    let store = LoadReports::default();
    for front in 2..100 {
        store.update(stageyoke_store::message::LoadReport {
            front,
            entries: List(Vec::new()),
            suspects: List((0..100).map(|number| number * front).collect()),
            latencies: Default::default(),
        });
    }
    let OtherFrontsReport { suspects, .. } = store.report_excluding(1);
    assert_eq!(
        suspects.len(),
        stageyoke_store::load::MAX_SUSPECTED_REPLICAS
    );
    board.suspect(1, Duration::ZERO);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(board.report(GroupNumber(0)).suspects.is_empty());
}

/// Entries go while the key-value service is down, and come back after it.
#[tokio::test(start_paused = true)]
async fn replicas_whose_entries_lapse_together_serve_on_for_a_while() {
    let (fleet, _) = fleet(4);
    fleet.apply_list(&BTreeMap::new(), Some(Instant::now() + BACK_WITHIN));
    assert!(find(&fleet, false, 0).is_some());
    tokio::time::advance(BACK_WITHIN / 2).await;
    fleet.apply_list(&records(1), None);
    let back = choose(&fleet, false, 0).id.clone();
    assert!(!fleet.has_expired_lapses());
    tokio::time::advance(BACK_WITHIN / 2).await;
    let left: Vec<Text> = (0..32)
        .map(|tie| choose(&fleet, false, tie).id.clone())
        .collect();
    assert!(
        left.iter().all(|id| id.as_str() == "replica-0"),
        "{back} {left:?}"
    );
    assert!(fleet.has_expired_lapses());
    fleet.apply_list(&records(1), None);
    assert!(!fleet.has_expired_lapses());
    fleet.apply_list(&BTreeMap::new(), Some(Instant::now() + BACK_WITHIN));
    tokio::time::advance(BACK_WITHIN).await;
    assert!(find(&fleet, false, 0).is_none(), "a lapse ends");
}

/// Whatever share of the entries goes: without an absence of the service in which
/// they may have run out, or with one that is over, they have ended.
#[rstest]
#[case::all_of_them(4, 0, None)]
#[case::one_of_three(3, 2, None)]
#[case::the_only_one(1, 0, None)]
#[case::none_is_due_any_more(4, 0, Some(Duration::ZERO))]
#[tokio::test(start_paused = true)]
async fn entries_that_have_ended_get_nothing_more(
    #[case] before: u8,
    #[case] after: u8,
    #[case] back_within: Option<Duration>,
) {
    let (fleet, _) = fleet(before);
    let until = back_within.map(|within| Instant::now() + within);
    fleet.apply_list(&records(after), until);
    let offered: Vec<Text> = (0..64)
        .filter_map(|tie| find(&fleet, false, tie))
        .map(|replica| replica.id.clone())
        .collect();
    let listed = records(after);
    assert!(
        offered.iter().all(|id| listed.contains_key(id)),
        "{offered:?}"
    );
    assert_eq!(offered.is_empty(), after == 0);
}

#[tokio::test(start_paused = true)]
async fn replicas_that_drain_or_leave_one_by_one_get_nothing_more() {
    let (fleet, _) = fleet(8);
    let mut rest = records(8);
    rest.remove("replica-7");
    fleet.apply_list(&rest, None);
    let chosen = |fleet: &ReplicaRegistry| -> Vec<Text> {
        (0..64)
            .map(|tie| choose(fleet, false, tie).id.clone())
            .collect()
    };
    assert!(chosen(&fleet).iter().all(|id| id.as_str() != "replica-7"));
    for record in rest.values_mut() {
        record.state = ReplicaState::Draining;
    }
    fleet.apply_list(&rest, None);
    assert!(find(&fleet, false, 0).is_none());
}

proptest! {
    /// The estimate stays a likelihood, falls with time, and `cautious_for`
    /// names the moment at which it crosses the limit.
    #[test]
    fn an_estimate_is_a_likelihood_that_fades(
        outcomes in proptest::collection::vec((0_u8..5, 0_u64..2_000), 1..40),
        reports in 0_u16..40,
    ) {
        let mut now = Instant::now();
        let mut health = Health::default();
        for (outcome, pause) in outcomes {
            let evidence = match outcome {
                0 => Evidence::Sound,
                1 => Evidence::Failed,
                2 => Evidence::Lost,
                3 => Evidence::Reset,
                _ => Evidence::Unreachable,
            };
            health.record(evidence, now);
            let failure = health.failure_probability(now);
            prop_assert!((0.0..=1.0).contains(&failure));
            prop_assert!((failure..=1.0).contains(&combine_estimates(failure, reports)));
            let after = now + health.time_above_caution(now) + Duration::from_micros(10);
            prop_assert!(health.failure_probability(after) <= CAUTION_THRESHOLD);
            now += Duration::from_millis(pause);
            prop_assert!(health.failure_probability(now) <= failure);
        }
        prop_assert!(health.failure_probability(now + Duration::from_secs(60)) < SUSPENSION_THRESHOLD);
    }
}
