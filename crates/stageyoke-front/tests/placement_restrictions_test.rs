//! Replicas that are listed and alive but get no requests: in evacuated zones, outside the home
//! regions of a request, or cold.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use stageyoke_directory::{HomeRegions, ReplicaRecord, ReplicaStart, ReplicaState, RequestHomes};
use stageyoke_front::evacuation_log::EvacuationLog;
use stageyoke_front::placement::{self, Candidate};
use stageyoke_front::prompt_cache::Prompt;
use stageyoke_front::replica::Replica;
use stageyoke_front::replica_registry::{ReplicaQuery, ReplicaRegistry};
use stageyoke_front::restrictions::Shortage;
use stageyoke_store::LoadTracker;
use stageyoke_types::{Event, Text};

const SERVICE: &str = "service";
const COLD_TIME: Duration = Duration::from_secs(3);
const SLOTS: u32 = 4;

/// Two replicas in each of the zones `north`, `south` and `far`; the last is another region.
struct Deployment {
    registry: ReplicaRegistry,
    records: BTreeMap<Text, ReplicaRecord>,
    tracker: Rc<LoadTracker>,
}

impl Deployment {
    fn new() -> Self {
        let region = |zone: &str, region: &str| (zone.to_owned(), region.to_owned());
        let regions = [
            region("north", "home"),
            region("south", "home"),
            region("far", "abroad"),
        ];
        let tracker = Rc::new(LoadTracker::new(1));
        let mut deployment = Self {
            registry: ReplicaRegistry::new(tracker.clone(), BTreeMap::from(regions)),
            records: BTreeMap::new(),
            tracker,
        };
        for zone in ["north", "south", "far"] {
            for number in 0..2 {
                let id = Text::from(format!("{zone}-{number}"));
                let record = ReplicaRecord {
                    service: Text::from(SERVICE),
                    address: Text::from(format!("{zone}:{number}")),
                    zone: Text::from(zone),
                    slots: SLOTS,
                    state: ReplicaState::Ready,
                    software_version: Text::from("1"),
                    start: ReplicaStart::default(),
                    cold_left: Duration::ZERO,
                };
                deployment.records.insert(id, record);
            }
        }
        deployment.apply();
        deployment
    }

    fn apply(&self) {
        self.registry.apply_list(&self.records, None);
    }

    fn evacuate(&self, zones: &[&str]) {
        let zones: BTreeSet<Text> = zones.iter().copied().map(Text::from).collect();
        self.registry.apply_evacuations(&zones, |_| COLD_TIME);
    }

    fn set_cold(&mut self, ids: &[&str], cold_left: Duration) {
        for id in ids {
            let record = self.records.get_mut(&Text::from(*id)).expect("replica");
            record.cold_left = cold_left;
        }
        self.apply();
    }

    fn choose(&self, homes: RequestHomes<'_>, tie: u64) -> Option<Rc<Replica>> {
        let prompt = Prompt::default();
        let choose = |candidates: &[Candidate]| placement::choose_plain(candidates, tie);
        self.registry.choose(&query(homes, &prompt), choose)
    }

    /// Zones of the replicas that get requests.
    fn used_zones(&self, homes: RequestHomes<'_>) -> BTreeSet<String> {
        let chosen = (0..64).filter_map(|tie| self.choose(homes, tie));
        chosen
            .map(|replica| replica.record.zone.to_string())
            .collect()
    }

    fn used_replicas(&self) -> BTreeSet<String> {
        let chosen = (0..64).filter_map(|tie| self.choose(RequestHomes::default(), tie));
        chosen.map(|replica| replica.id.to_string()).collect()
    }

    fn shortage(&self, homes: RequestHomes<'_>) -> Option<Shortage> {
        let prompt = Prompt::default();
        self.registry.shortage(&query(homes, &prompt))
    }
}

fn query<'a>(homes: RequestHomes<'a>, prompt: &'a Prompt) -> ReplicaQuery<'a> {
    ReplicaQuery {
        group: None,
        service: SERVICE,
        zone: "",
        excluded: &[],
        prompt,
        repeatable: true,
        affinity: 0,
        homes,
        software_version: None,
    }
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[tokio::test(start_paused = true)]
async fn replicas_of_an_evacuated_zone_get_no_requests_until_it_returns() {
    let deployment = Deployment::new();
    deployment.evacuate(&["north"]);
    assert_eq!(
        deployment.used_zones(RequestHomes::default()),
        zones(&["south", "far"])
    );
    deployment.evacuate(&["north", "south", "far"]);
    assert!(deployment.used_replicas().is_empty());
    assert_eq!(
        deployment.shortage(RequestHomes::default()),
        Some(Shortage::Evacuated)
    );
    deployment.evacuate(&[]);
    assert_eq!(deployment.shortage(RequestHomes::default()), None);
}

/// A request that was placed before the order must not be sent after it.
#[tokio::test(start_paused = true)]
async fn a_chosen_replica_accepts_no_request_once_its_zone_is_evacuated() {
    let deployment = Deployment::new();
    let chosen = deployment
        .choose(RequestHomes::default(), 1)
        .expect("replica");
    deployment.evacuate(&[chosen.record.zone.as_str()]);
    assert!(!chosen.accepts_requests());
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_starts_in_an_evacuated_zone_gets_no_requests() {
    let mut deployment = Deployment::new();
    let record = deployment.records[&Text::from("north-0")].clone();
    deployment.evacuate(&["north"]);
    deployment.records.insert(Text::from("north-9"), record);
    deployment.apply();
    deployment.evacuate(&["north"]);
    assert!(!deployment.used_replicas().contains("north-9"));
}

/// Entries that expired in an outage of the service may come back after the zone does.
#[tokio::test(start_paused = true)]
async fn lapsed_replicas_of_an_evacuated_zone_are_kept() {
    let deployment = Deployment::new();
    deployment.evacuate(&["north"]);
    let deadline = tokio::time::Instant::now() + COLD_TIME * 2;
    let nothing = BTreeMap::new();
    deployment.registry.apply_list(&nothing, Some(deadline));
    deployment.registry.apply_list(&nothing, Some(deadline));
    deployment.evacuate(&[]);
    tokio::time::advance(COLD_TIME).await;
    assert!(
        deployment
            .used_zones(RequestHomes::default())
            .contains("north")
    );
}

#[tokio::test(start_paused = true)]
async fn replicas_of_a_returning_zone_count_as_cold() {
    let deployment = Deployment::new();
    deployment.evacuate(&["north"]);
    deployment.evacuate(&[]);
    assert_eq!(
        deployment.used_zones(RequestHomes::default()),
        zones(&["south", "far"])
    );
    tokio::time::advance(COLD_TIME).await;
    assert!(
        deployment
            .used_zones(RequestHomes::default())
            .contains("north")
    );
}

#[rstest]
#[case::of_the_route(&["home"], &[], &["north", "south"])]
#[case::of_the_tenant(&[], &["abroad"], &["far"])]
#[case::both_bind(&["home", "abroad"], &["home"], &["north", "south"])]
#[case::no_region_in_common(&["home"], &["abroad"], &[])]
#[case::none(&[], &[], &["north", "south", "far"])]
#[tokio::test(start_paused = true)]
async fn requests_stay_in_the_home_regions(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] expected: &[&str],
) {
    let deployment = Deployment::new();
    let homes = |regions: &[&str]| HomeRegions::new(regions.iter().copied().map(Text::from));
    let (route, tenant) = (homes(route), homes(tenant));
    let homes = RequestHomes {
        route: route.as_ref(),
        tenant: tenant.as_ref(),
    };
    assert_eq!(deployment.used_zones(homes), zones(expected));
    let shortage = expected.is_empty().then_some(Shortage::OutsideHomes);
    assert_eq!(deployment.shortage(homes), shortage);
}

#[tokio::test(start_paused = true)]
async fn an_evacuated_home_is_not_replaced_by_a_foreign_region() {
    let deployment = Deployment::new();
    deployment.evacuate(&["far"]);
    let abroad = HomeRegions::new([Text::from("abroad")]);
    let homes = RequestHomes {
        route: abroad.as_ref(),
        tenant: None,
    };
    assert_eq!(
        deployment
            .choose(homes, 1)
            .map(|replica| replica.id.clone()),
        None
    );
    assert_eq!(deployment.shortage(homes), Some(Shortage::Evacuated));
}

#[tokio::test(start_paused = true)]
async fn a_cold_replica_gets_requests_only_while_no_warm_one_has_room() {
    let mut deployment = Deployment::new();
    deployment.set_cold(&["north-0", "south-1", "far-0", "far-1"], COLD_TIME);
    assert_eq!(deployment.used_replicas(), zones(&["north-1", "south-0"]));
    for id in ["north-1", "south-0"] {
        let chosen = (0..64).filter_map(|tie| deployment.choose(RequestHomes::default(), tie));
        let warm = chosen.into_iter().find(|replica| replica.id.as_str() == id);
        let warm = warm.expect("a warm replica with room");
        for _ in 0..SLOTS {
            deployment.tracker.start_request(warm.short_hash());
        }
    }
    assert!(deployment.used_replicas().contains("far-0"));
}

/// The list is applied again with each change of any entry.
#[tokio::test(start_paused = true)]
async fn a_cold_phase_ends_although_its_entry_is_applied_again() {
    let mut deployment = Deployment::new();
    deployment.set_cold(&["north-0"], COLD_TIME);
    for _ in 0..3 {
        tokio::time::advance(COLD_TIME / 3).await;
        deployment.apply();
    }
    assert!(deployment.used_replicas().contains("north-0"));
    deployment.set_cold(&["north-0"], COLD_TIME * 2);
    assert!(!deployment.used_replicas().contains("north-0"));
    deployment.set_cold(&["north-0"], Duration::ZERO);
    assert!(deployment.used_replicas().contains("north-0"));
}

#[tokio::test(start_paused = true)]
async fn requests_are_rejected_while_the_cold_replicas_left_have_no_permits() {
    let mut deployment = Deployment::new();
    let ids: Vec<String> = deployment.records.keys().map(Text::to_string).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    deployment.set_cold(&ids, COLD_TIME);
    let mut wait = Duration::from_millis(100);
    while let Some(replica) = deployment.choose(RequestHomes::default(), 1) {
        replica.defer(wait);
        wait += Duration::from_millis(100);
    }
    assert_eq!(
        deployment.shortage(RequestHomes::default()),
        Some(Shortage::Cold(Duration::from_millis(100)))
    );
    tokio::time::advance(Duration::from_millis(100)).await;
    assert_eq!(deployment.shortage(RequestHomes::default()), None);
}

#[test]
fn evacuations_without_effect_or_of_all_zones_are_logged_as_errors() {
    let log = EvacuationLog::default();
    let known = || BTreeSet::from([Text::from("north"), Text::from("south")]);
    let set = |names: &[&str]| names.iter().copied().map(Text::from).collect();
    let events = |names: &[&str]| {
        let zones: BTreeSet<Text> = set(names);
        let events = log.update(&zones, known).into_iter();
        events.map(|(event, _)| event).collect::<Vec<Event>>()
    };
    assert_eq!(events(&["north"]), [Event::ZoneEvacuated]);
    assert_eq!(events(&["north"]), []);
    assert_eq!(events(&["north", "nrth"]), [Event::EvacuationWithoutEffect]);
    assert_eq!(
        events(&["north", "south"]),
        [
            Event::ZoneEvacuated,
            Event::ZoneReturned,
            Event::AllZonesEvacuated
        ]
    );
    assert_eq!(events(&[]), [Event::ZoneReturned, Event::ZoneReturned]);
}
