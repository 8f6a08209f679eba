//! The start of a deployment's stores against a service that is scripted: who writes
//! what, and when the groups are formed. Virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use nanoserde::SerBin;
use rstest::rstest;
use stageyoke_directory::{Member, MemberState, StoreGroups, Tolerance};
use stageyoke_store::formation::{Formation, FormationStep, Registrations};
use stageyoke_types::Text;
use tokio::time::Instant;

/// Time between two looks of a store.
const TICK: Duration = Duration::from_millis(50);
/// Way to the service and back.
const WAY: Duration = Duration::from_millis(8);
/// Changes are gathered so long before a store hears of them.
const GATHERED: Duration = Duration::from_millis(900);
const WRITES_PER_SECOND: usize = 400;
const STARTS_WITHIN: u64 = 300;

/// The service's state, as it was at several moments: stores see it late.
#[derive(Default)]
struct Service {
    stores: StoreGroups,
    registered: Registrations,
    seen: Vec<(Instant, StoreGroups, Registrations)>,
    writes: usize,
    refused: usize,
    bytes: usize,
    second: Option<(Instant, usize)>,
}

impl Service {
    /// Whether one more write is taken in this second.
    fn takes(&mut self, now: Instant, bytes: usize) -> bool {
        let (since, count) = self.second.get_or_insert((now, 0));
        if now - *since >= Duration::from_secs(1) {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        let taken = *count <= WRITES_PER_SECOND;
        self.writes += 1;
        self.refused += usize::from(!taken);
        self.bytes += bytes;
        taken
    }

    fn record(&mut self, now: Instant) {
        let state = (now, self.stores.clone(), self.registered.clone());
        self.seen.push(state);
    }

    /// What a store has heard by now.
    fn heard(&self, now: Instant) -> (StoreGroups, Registrations) {
        let heard = |(at, _, _): &&(Instant, StoreGroups, Registrations)| *at + GATHERED <= now;
        let newest = self.seen.iter().rev().find(heard);
        newest.map_or_else(Default::default, |(_, stores, registered)| {
            (stores.clone(), registered.clone())
        })
    }
}

fn member(number: usize) -> Member {
    Member {
        node: Text::from(format!("store-{number}")),
        address: Text::from(format!("10.0.0.{number}:7000")),
        zone: Text::from(format!("zone-{}", number % 4)),
        state: MemberState::Active,
        disk: 0,
    }
}

struct Host {
    starts: Instant,
    formation: Option<Formation>,
    busy_until: Instant,
}

struct Outcome {
    formed_after: Duration,
    members: usize,
    service: Service,
}

/// Starts so many stores; those of `late` come one after the other with this pause.
async fn start(count: usize, late: usize, pause: Duration) -> Outcome {
    let began = Instant::now();
    let tolerance = Tolerance::of_machines(2);
    let mut service = Service::default();
    let mut hosts: Vec<Host> = (0..count)
        .map(|number| {
            let delay = (number as u64 * 37) % STARTS_WITHIN;
            let lateness = number.saturating_sub(count - late) as u32;
            let starts = began + Duration::from_millis(delay) + pause * lateness;
            Host {
                starts,
                formation: None,
                busy_until: starts,
            }
        })
        .collect();
    loop {
        let now = Instant::now();
        for (number, host) in hosts.iter_mut().enumerate() {
            if now < host.busy_until {
                continue;
            }
            let formation = host.formation.get_or_insert_with(Formation::new);
            let (stores, registered) = service.heard(now);
            formation.update_registrations(&registered);
            host.busy_until = now + TICK;
            if stores.is_formed() {
                continue;
            }
            match formation.next_step(&stores, &member(number), &tolerance) {
                FormationStep::Wait => {}
                FormationStep::Register => {
                    host.busy_until = now + WAY;
                    let own = member(number);
                    if service.takes(now, own.serialize_bin().len()) {
                        service.registered.insert(own.node.clone(), own);
                        service.record(now);
                    }
                }
                FormationStep::Form(groups) => {
                    host.busy_until = now + WAY;
                    let taken = service.takes(now, groups.serialize_bin().len());
                    // The condition: nobody has formed them meanwhile.
                    if taken && !service.stores.is_formed() {
                        service.stores = groups;
                        service.record(now);
                    }
                }
            }
        }
        let all_started = hosts.iter().all(|host| host.starts <= now);
        if service.stores.is_formed() && all_started {
            let formed = service
                .seen
                .iter()
                .find(|(_, stores, _)| stores.is_formed());
            let formed_at = formed.map_or(now, |(at, _, _)| *at);
            return Outcome {
                formed_after: formed_at - began,
                members: service.stores.members().count(),
                service,
            };
        }
        assert!(now - began < Duration::from_secs(60), "never formed");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// With one key for all and compare-and-swap, 100 stores made 3,709 writes of the
/// whole list and formed the groups after some 16 s (a day of 300 machines). With a
/// key each it takes a write for each store, and the time that the quiet takes.
#[rstest]
#[tokio::test(start_paused = true)]
async fn groups_are_formed_soon_and_with_few_writes(#[values(3, 12, 36, 100)] count: usize) {
    let outcome = start(count, 0, Duration::ZERO).await;
    let service = &outcome.service;
    println!(
        "{count} stores: {} writes ({} refused), {} bytes, formed after {:?}",
        service.writes, service.refused, service.bytes, outcome.formed_after
    );
    assert!(service.writes <= 2 * count + 2, "{}", service.writes);
    assert!(service.bytes <= 200 * (2 * count + 2), "{}", service.bytes);
    assert!(outcome.formed_after <= Duration::from_millis(5_500));
    let whole_groups = if count < 10 { count } else { count / 5 * 5 };
    assert_eq!(outcome.members, whole_groups);
}

/// Stores that come one after the other do not put the formation off for ever.
#[tokio::test(start_paused = true)]
async fn stores_that_trickle_in_do_not_hold_the_others_up() {
    let outcome = start(40, 20, Duration::from_millis(700)).await;
    assert!(
        outcome.formed_after <= Duration::from_millis(7_500),
        "{:?}",
        outcome.formed_after
    );
    assert!(outcome.members >= 20);
}

/// The service refuses most writes for a while: each store registers again until it
/// sees itself.
#[tokio::test(start_paused = true)]
async fn a_refused_registration_is_written_again() {
    let mut formation = Formation::new();
    let stores = StoreGroups::default();
    let tolerance = Tolerance::of_machines(1);
    let mut writes = 0;
    for _ in 0..200 {
        tokio::time::sleep(TICK).await;
        let step = formation.next_step(&stores, &member(0), &tolerance);
        writes += usize::from(step == FormationStep::Register);
    }
    assert!((5..=8).contains(&writes), "{writes} in ten seconds");
    let registered = BTreeMap::from([(member(0).node, member(0))]);
    formation.update_registrations(&registered);
    let step = formation.next_step(&stores, &member(0), &tolerance);
    assert_eq!(step, FormationStep::Wait);
}

/// Stores that see the registrations alike form one after the other, if at all.
#[tokio::test(start_paused = true)]
async fn the_first_of_the_registered_forms_the_groups() {
    let registered: Registrations = (0..4)
        .map(|number| (member(number).node, member(number)))
        .collect();
    let mut forms = Vec::new();
    for number in 0..4 {
        let mut formation = Formation::new();
        formation.update_registrations(&registered);
        let began = Instant::now();
        let stores = StoreGroups::default();
        let tolerance = Tolerance::of_machines(1);
        while !matches!(
            formation.next_step(&stores, &member(number), &tolerance),
            FormationStep::Form(_)
        ) {
            tokio::time::sleep(TICK).await;
        }
        forms.push(began.elapsed());
    }
    assert!(
        forms
            .windows(2)
            .all(|pair| pair[0] + Duration::from_millis(400) <= pair[1]),
        "{forms:?}"
    );
}
