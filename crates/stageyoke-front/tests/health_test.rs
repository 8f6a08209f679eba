//! Replica selection after failures and removals, in virtual time.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaStart, ReplicaState, RequestHomes};
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
/// How long lapsed entries stay usable after a service outage.
const LAPSE_GRACE: Duration = Duration::from_secs(1);

fn records(replicas: u8) -> BTreeMap<Text, ReplicaRecord> {
    let record = |number: u8| ReplicaRecord {
        service: Text::from(SERVICE),
        address: Text::from(format!("127.0.0.1:{number}")),
        zone: Text::from("zone"),
        slots: 4,
        state: ReplicaState::Ready,
        software_version: Text::from("1"),
        start: ReplicaStart::default(),
        cold_left: Duration::ZERO,
    };
    (0..replicas)
        .map(|number| (Text::from(format!("replica-{number}")), record(number)))
        .collect()
}

fn registry(replicas: u8) -> (ReplicaRegistry, Rc<LoadTracker>) {
    let tracker = Rc::new(LoadTracker::new(1));
    let registry = ReplicaRegistry::new(tracker.clone(), BTreeMap::new());
    registry.apply_list(&records(replicas), None);
    (registry, tracker)
}

fn choose_replica(registry: &ReplicaRegistry, repeatable: bool, tie: u64) -> Rc<Replica> {
    find_replica(registry, repeatable, tie).expect("a replica")
}

fn find_replica(registry: &ReplicaRegistry, repeatable: bool, tie: u64) -> Option<Rc<Replica>> {
    let query = ReplicaQuery {
        group: None,
        service: SERVICE,
        zone: "zone",
        excluded: &[],
        prompt: &Prompt::default(),
        repeatable,
        affinity: 0,
        homes: RequestHomes::default(),
        software_version: None,
    };
    let choose = |candidates: &[Candidate]| placement::choose_plain(candidates, tie);
    registry.choose(&query, choose)
}

/// Counts how many of 64 requests are placed on the replica.
fn count_placements(registry: &ReplicaRegistry, replica: &Replica, repeatable: bool) -> usize {
    (0..64)
        .filter(|tie| choose_replica(registry, repeatable, *tie).id == replica.id)
        .count()
}

fn record_lost_answers(replica: &Replica, answers: u32) {
    for _ in 0..answers {
        replica.record(Evidence::Lost);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_exclude_non_repeatable_requests_first() {
    let (registry, _) = registry(3);
    let failing = choose_replica(&registry, false, 0);
    let placements = || {
        (
            count_placements(&registry, &failing, false) > 0,
            count_placements(&registry, &failing, true) > 0,
        )
    };
    let mut observed = vec![placements()];
    for _ in 0..4 {
        record_lost_answers(&failing, 1);
        observed.push(placements());
    }
    let (all, repeatable, nothing) = ((true, true), (false, true), (false, false));
    assert_eq!(observed, [all, all, repeatable, repeatable, nothing]);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert_eq!(placements(), all, "the replica must be tried again");
}

/// Replicas that lose one answer in twenty must stay in use, as the rest could not carry
/// the whole load.
#[tokio::test(start_paused = true)]
async fn rare_losses_at_many_replicas_exclude_none() {
    let (registry, _) = registry(4);
    let mut requests: BTreeMap<Text, u32> = BTreeMap::new();
    for round in 0..800_u64 {
        let replica = choose_replica(&registry, false, round);
        let number = requests.entry(replica.id.clone()).or_default();
        *number += 1;
        let evidence = match *number % 20 {
            7 => Evidence::Lost,
            _ => Evidence::Sound,
        };
        replica.record(evidence);
        assert!(
            count_placements(&registry, &replica, false) > 0,
            "round {round}"
        );
        tokio::time::advance(Duration::from_millis(30)).await;
    }
}

/// A single reset on a reused connection can mean that the replica is down, so it must not
/// receive non-repeatable requests.
#[tokio::test(start_paused = true)]
async fn one_reset_excludes_non_repeatable_requests() {
    let (registry, tracker) = registry(3);
    let failing = choose_replica(&registry, false, 0);
    failing.record(Evidence::Reset);
    assert_eq!(count_placements(&registry, &failing, false), 0);
    assert!(
        count_placements(&registry, &failing, true) > 0,
        "repeatable requests must still probe it"
    );
    assert_eq!(
        tracker.report(GroupNumber(0)).suspects.len(),
        1,
        "the suspicion must be reported"
    );
    failing.record(Evidence::Reset);
    assert_eq!(count_placements(&registry, &failing, true), 0);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_replica_is_suspended_at_once() {
    let (registry, _) = registry(3);
    let failing = choose_replica(&registry, false, 0);
    failing.record(Evidence::Unreachable);
    assert_eq!(count_placements(&registry, &failing, true), 0);
}

#[tokio::test(start_paused = true)]
async fn successful_answers_restore_a_replica_without_waiting() {
    let (registry, _) = registry(3);
    let failing = choose_replica(&registry, false, 0);
    record_lost_answers(&failing, 2);
    assert_eq!(count_placements(&registry, &failing, false), 0);
    failing.record(Evidence::Sound);
    failing.record(Evidence::Sound);
    assert!(count_placements(&registry, &failing, false) > 0);
}

#[tokio::test(start_paused = true)]
async fn a_failing_replica_is_used_if_it_is_the_only_one() {
    let (registry, _) = registry(1);
    let only = choose_replica(&registry, false, 0);
    only.record(Evidence::Unreachable);
    assert_eq!(count_placements(&registry, &only, false), 64);
}

/// Fronts learn of failing replicas from each other's reports, relayed by a store; the
/// report of a single front must not exclude a replica.
#[tokio::test(start_paused = true)]
async fn reports_of_several_fronts_exclude_a_failing_replica() {
    let (own, tracker) = registry(3);
    let failing = choose_replica(&own, false, 0);
    let store = LoadReports::default();
    let apply_store_report = || tracker.apply_report(GroupNumber(0), store.report_excluding(1));
    let mut placements = Vec::new();
    for front in 2..=4 {
        let other_tracker = Rc::new(LoadTracker::new(front));
        let other_registry = ReplicaRegistry::new(other_tracker.clone(), BTreeMap::new());
        let record = failing.record.clone();
        other_registry.apply_list(&BTreeMap::from([(failing.id.clone(), record)]), None);
        record_lost_answers(&choose_replica(&other_registry, false, 0), 2);
        store.update(other_tracker.report(GroupNumber(0)));
        apply_store_report();
        placements.push((
            count_placements(&own, &failing, false) > 0,
            count_placements(&own, &failing, true) > 0,
        ));
    }
    assert_eq!(placements, [(true, true), (false, true), (false, false)]);
    tokio::time::advance(Duration::from_secs(2)).await;
    apply_store_report();
    assert!(
        count_placements(&own, &failing, false) > 0,
        "old reports must expire"
    );
}

#[tokio::test(start_paused = true)]
async fn reports_of_suspects_are_bounded_and_expire() {
    let tracker = LoadTracker::new(1);
    for replica in 0..10_000 {
        tracker.suspect(replica, Duration::from_secs(1));
    }
    let report = tracker.report(GroupNumber(0));
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
    tracker.suspect(1, Duration::ZERO);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(tracker.report(GroupNumber(0)).suspects.is_empty());
}

/// Entries that lapse in a service outage must stay usable until their deadline, and no
/// longer.
#[tokio::test(start_paused = true)]
async fn lapsed_entries_are_used_until_their_deadline() {
    let (registry, _) = registry(4);
    registry.apply_list(&BTreeMap::new(), Some(Instant::now() + LAPSE_GRACE));
    assert!(find_replica(&registry, false, 0).is_some());
    tokio::time::advance(LAPSE_GRACE / 2).await;
    registry.apply_list(&records(1), None);
    let back = choose_replica(&registry, false, 0).id.clone();
    assert!(!registry.has_expired_lapses());
    tokio::time::advance(LAPSE_GRACE / 2).await;
    let left: Vec<Text> = (0..32)
        .map(|tie| choose_replica(&registry, false, tie).id.clone())
        .collect();
    assert!(
        left.iter().all(|id| id.as_str() == "replica-0"),
        "{back} {left:?}"
    );
    assert!(registry.has_expired_lapses());
    registry.apply_list(&records(1), None);
    assert!(!registry.has_expired_lapses());
    registry.apply_list(&BTreeMap::new(), Some(Instant::now() + LAPSE_GRACE));
    tokio::time::advance(LAPSE_GRACE).await;
    assert!(
        find_replica(&registry, false, 0).is_none(),
        "a lapsed entry must expire"
    );
}

/// Entries that disappear without a service outage, or after the deadline for lapsed
/// entries, must not be used, however many disappear at once.
#[rstest]
#[case::all_entries(4, 0, None)]
#[case::one_of_three_entries(3, 2, None)]
#[case::the_only_entry(1, 0, None)]
#[case::after_the_deadline(4, 0, Some(Duration::ZERO))]
#[tokio::test(start_paused = true)]
async fn removed_entries_receive_no_requests(
    #[case] before: u8,
    #[case] after: u8,
    #[case] grace: Option<Duration>,
) {
    let (registry, _) = registry(before);
    let deadline = grace.map(|grace_period| Instant::now() + grace_period);
    registry.apply_list(&records(after), deadline);
    let placements: Vec<Text> = (0..64)
        .filter_map(|tie| find_replica(&registry, false, tie))
        .map(|replica| replica.id.clone())
        .collect();
    let listed = records(after);
    assert!(
        placements.iter().all(|id| listed.contains_key(id)),
        "{placements:?}"
    );
    assert_eq!(placements.is_empty(), after == 0);
}

#[tokio::test(start_paused = true)]
async fn draining_and_removed_replicas_receive_no_requests() {
    let (registry, _) = registry(8);
    let mut remaining = records(8);
    remaining.remove("replica-7");
    registry.apply_list(&remaining, None);
    let chosen = |registry: &ReplicaRegistry| -> Vec<Text> {
        (0..64)
            .map(|tie| choose_replica(registry, false, tie).id.clone())
            .collect()
    };
    assert!(
        chosen(&registry)
            .iter()
            .all(|id| id.as_str() != "replica-7")
    );
    for record in remaining.values_mut() {
        record.state = ReplicaState::Draining;
    }
    registry.apply_list(&remaining, None);
    assert!(find_replica(&registry, false, 0).is_none());
}

proptest! {
    /// The estimate must stay a probability and fall with time, and `time_above_caution`
    /// must give the time until it reaches the threshold.
    #[test]
    fn the_failure_estimate_is_a_probability_that_decays(
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
