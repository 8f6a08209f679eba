//! The work of a front for one request and for one change of the list must not grow with the
//! number of replicas.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_directory::{GroupNumber, ReplicaRecord, ReplicaStart, ReplicaState, RequestHomes};
use stageyoke_front::placement::{self, Candidate};
use stageyoke_front::prompt_cache::Prompt;
use stageyoke_front::replica::Replica;
use stageyoke_front::replica_registry::{ReplicaQuery, ReplicaRegistry};
use stageyoke_front::service_pool::MAX_CONSIDERED;
use stageyoke_store::LoadTracker;
use stageyoke_types::Text;

const SERVICE: &str = "service";
const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const SLOTS: u32 = 6;
/// Most replicas that a request considers: a cell or two windows, and those used recently.
const MAX_CANDIDATES: usize = 512 + 32;

type Records = BTreeMap<Text, ReplicaRecord>;

fn id(number: usize) -> Text {
    Text::from(format!("replica-{number}"))
}

fn record(number: usize) -> ReplicaRecord {
    ReplicaRecord {
        service: Text::from(SERVICE),
        address: Text::from(format!("10.0.0.1:{number}")),
        zone: Text::from(ZONES[number % ZONES.len()]),
        slots: SLOTS,
        state: ReplicaState::Ready,
        software_version: Text::from("1"),
        start: ReplicaStart::default(),
        cold_left: Duration::ZERO,
    }
}

struct Front {
    registry: ReplicaRegistry,
    tracker: Rc<LoadTracker>,
    considered: Cell<usize>,
}

impl Front {
    fn new(groups: usize) -> Self {
        let tracker = Rc::new(LoadTracker::new(1));
        let registry = ReplicaRegistry::new(tracker.clone(), BTreeMap::new());
        registry.set_store_groups(groups);
        Self {
            registry,
            tracker,
            considered: Cell::new(0),
        }
    }

    fn with_replicas(replicas: usize, groups: usize) -> Self {
        let front = Self::new(groups);
        let records = (0..replicas).map(|number| (id(number), record(number)));
        front.registry.apply_list(&records.collect(), None);
        front
    }

    fn choose(&self, group: Option<u32>, affinity: u64) -> Option<Rc<Replica>> {
        self.choose_in_zone(ZONES[0], group, affinity)
    }

    fn choose_in_zone(&self, zone: &str, group: Option<u32>, affinity: u64) -> Option<Rc<Replica>> {
        self.choose_version(None, zone, group, affinity)
    }

    fn choose_version(
        &self,
        software_version: Option<&str>,
        zone: &str,
        group: Option<u32>,
        affinity: u64,
    ) -> Option<Rc<Replica>> {
        let query = ReplicaQuery {
            group: group.map(GroupNumber),
            service: SERVICE,
            zone,
            excluded: &[],
            prompt: &Prompt::default(),
            repeatable: true,
            affinity,
            homes: RequestHomes::default(),
            software_version,
        };
        let choose = |candidates: &[Candidate]| {
            self.considered.set(candidates.len());
            placement::choose_plain(candidates, affinity)
        };
        self.registry.choose(&query, choose)
    }

    fn listed(&self) -> BTreeSet<String> {
        let query = ReplicaQuery {
            group: None,
            service: SERVICE,
            zone: ZONES[0],
            excluded: &[],
            prompt: &Prompt::default(),
            repeatable: true,
            affinity: 0,
            homes: RequestHomes::default(),
            software_version: None,
        };
        let mut listed = BTreeSet::new();
        let mut excluded = Vec::new();
        loop {
            let query = ReplicaQuery {
                excluded: &excluded,
                ..query
            };
            let first = |candidates: &[Candidate]| {
                candidates.iter().position(|candidate| candidate.eligible)
            };
            let Some(replica) = self.registry.choose(&query, first) else {
                return listed;
            };
            listed.insert(replica.id.to_string());
            excluded.push(replica.id.clone());
        }
    }
}

#[rstest]
#[case::fleet_of_100_machines(1_000, 2)]
#[case::fleet_of_300_machines(3_000, 7)]
#[case::fleet_of_1000_machines(10_000, 24)]
fn a_request_considers_a_bounded_number_of_replicas(
    #[case] replicas: usize,
    #[case] groups: usize,
    #[values(None, Some(1))] group: Option<u32>,
) {
    let front = Front::with_replicas(replicas, groups);
    for affinity in 0..100 {
        front.choose(group, affinity).expect("a replica");
        let considered = front.considered.get();
        assert!(considered <= MAX_CANDIDATES, "{considered} of {replicas}");
    }
}

#[test]
fn all_replicas_of_a_small_service_are_considered() {
    let front = Front::with_replicas(MAX_CONSIDERED, 2);
    front.choose(Some(1), 1).expect("a replica");
    assert_eq!(front.considered.get(), MAX_CONSIDERED);
}

/// A continued stream needs a replica of its version, which may be any of the service.
#[rstest]
#[case::window(0, None)]
#[case::cell(4, Some(1))]
fn the_only_replica_of_a_version_is_found_in_a_large_service(
    #[case] groups: usize,
    #[case] group: Option<u32>,
) {
    let front = Front::new(groups);
    let records = (0..1_000).map(|number| {
        let mut record = record(number);
        if number == 700 {
            record.software_version = Text::from("2");
        }
        (id(number), record)
    });
    front.registry.apply_list(&records.collect(), None);
    for affinity in 0..100 {
        let choose = |version| front.choose_version(Some(version), ZONES[0], group, affinity);
        assert_eq!(choose("2").expect("a replica").id, id(700));
        assert_ne!(choose("1").expect("a replica").id, id(700));
        assert!(choose("3").is_none());
    }
}

/// Engines that a front does not consider must still serve when the others are full.
#[test]
fn other_replicas_are_used_when_the_considered_ones_are_full() {
    let front = Front::with_replicas(600, 0);
    let mut used = BTreeSet::new();
    for _ in 0..600 * SLOTS {
        let replica = front.choose_in_zone("zone without replicas", None, 1);
        let replica = replica.expect("a replica");
        used.insert(replica.id.clone());
        front.tracker.start_request(replica.short_hash());
    }
    assert_eq!(used.len(), 600);
}

/// Fronts without cells must agree on the engines of a program, whose prompts they cache.
#[test]
fn fronts_consider_the_same_replicas_for_a_program() {
    let (one, other) = (
        Front::with_replicas(3_000, 0),
        Front::with_replicas(3_000, 0),
    );
    for program in 0..50_u64 {
        let (one, other) = (one.choose(None, program), other.choose(None, program));
        assert_eq!(one.expect("a replica").id, other.expect("a replica").id);
    }
}

#[test]
fn requests_without_affinity_spread_over_a_large_service() {
    let front = Front::with_replicas(3_000, 0);
    let mut counts: BTreeMap<Text, usize> = BTreeMap::new();
    for request in 0..3_000_u64 {
        let replica = front.choose(None, request.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        *counts
            .entry(replica.expect("a replica").id.clone())
            .or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(
        counts.len() > 300 && most < 40,
        "{} replicas, {most}",
        counts.len()
    );
}

/// A change of one entry.
#[derive(Clone, Debug)]
enum ListChange {
    Ready(usize),
    Draining(usize),
    Restarted(usize, u64),
    Removed(usize),
}

impl ListChange {
    fn apply(&self, records: &mut Records) -> Text {
        match self {
            Self::Ready(number) => drop(records.insert(id(*number), record(*number))),
            Self::Draining(number) => {
                let state = ReplicaState::Draining;
                let record = ReplicaRecord {
                    state,
                    ..record(*number)
                };
                records.insert(id(*number), record);
            }
            Self::Restarted(number, born) => {
                let start = ReplicaStart {
                    started_at_ms: Some(*born),
                    orders_received: Some(0),
                };
                let record = ReplicaRecord {
                    start,
                    ..record(*number)
                };
                records.insert(id(*number), record);
            }
            Self::Removed(number) => drop(records.remove(&id(*number))),
        }
        let (Self::Ready(number)
        | Self::Draining(number)
        | Self::Restarted(number, _)
        | Self::Removed(number)) = self;
        id(*number)
    }
}

fn list_change() -> impl Strategy<Value = ListChange> {
    let number = 0..40_usize;
    prop_oneof![
        number.clone().prop_map(ListChange::Ready),
        number.clone().prop_map(ListChange::Draining),
        (number.clone(), 1..3_u64).prop_map(|(number, born)| ListChange::Restarted(number, born)),
        number.prop_map(ListChange::Removed),
    ]
}

proptest! {
    #[test]
    fn applying_changes_equals_applying_the_whole_list(
        batches in prop::collection::vec(prop::collection::vec(list_change(), 0..12), 1..12),
        lapsing in prop::collection::vec(any::<bool>(), 12),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        runtime.block_on(async {
            let (by_changes, by_list) = (Front::new(2), Front::new(2));
            let mut records = Records::new();
            for (batch, lapses) in batches.iter().zip(lapsing) {
                let changed = batch.iter().map(|change| change.apply(&mut records)).collect();
                let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
                let deadline = lapses.then_some(deadline);
                by_changes.registry.apply_changes(&records, &changed, deadline);
                by_list.registry.apply_list(&records, deadline);
                assert_eq!(by_changes.listed(), by_list.listed());
                tokio::time::advance(Duration::from_millis(700)).await;
            }
        });
    }
}
