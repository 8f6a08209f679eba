//! Simulates the first start of many stores against a key-value service in virtual time,
//! and checks the number of writes and the time until the groups are formed.

use std::collections::BTreeMap;
use std::time::Duration;

use nanoserde::SerBin;
use rstest::rstest;
use stageyoke_directory::{Member, MemberState, StoreGroups, Tolerance};
use stageyoke_store::formation::{Formation, FormationStep, Registrations};
use stageyoke_types::Text;
use tokio::time::Instant;

/// Time between two steps of a store.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Round trip time to the key-value service.
const ROUND_TRIP: Duration = Duration::from_millis(8);
/// Delay until a change reaches the watching stores.
const WATCH_DELAY: Duration = Duration::from_millis(900);
const MAX_WRITES_PER_SECOND: usize = 400;
/// All stores start within this time, except late ones.
const START_WINDOW_MILLIS: u64 = 300;

/// The service's current state, and all past ones, since stores see it with a delay.
#[derive(Default)]
struct Service {
    stores: StoreGroups,
    registered: Registrations,
    history: Vec<(Instant, StoreGroups, Registrations)>,
    writes: usize,
    refused: usize,
    bytes: usize,
    second: Option<(Instant, usize)>,
}

impl Service {
    /// Counts a write; returns whether it is within the service's rate limit.
    fn accept_write(&mut self, now: Instant, bytes: usize) -> bool {
        let (since, count) = self.second.get_or_insert((now, 0));
        if now - *since >= Duration::from_secs(1) {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        let accepted = *count <= MAX_WRITES_PER_SECOND;
        self.writes += 1;
        self.refused += usize::from(!accepted);
        self.bytes += bytes;
        accepted
    }

    fn record_state(&mut self, now: Instant) {
        let state = (now, self.stores.clone(), self.registered.clone());
        self.history.push(state);
    }

    /// The state that has reached the stores by now.
    fn visible_state(&self, now: Instant) -> (StoreGroups, Registrations) {
        let is_visible =
            |(at, _, _): &&(Instant, StoreGroups, Registrations)| *at + WATCH_DELAY <= now;
        let newest = self.history.iter().rev().find(is_visible);
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
    starts_at: Instant,
    formation: Option<Formation>,
    busy_until: Instant,
}

struct Outcome {
    formed_after: Duration,
    members: usize,
    service: Service,
}

/// Starts `count` stores until the groups are formed; the last `late` stores start one
/// after the other, `pause` apart.
async fn start_stores(count: usize, late: usize, pause: Duration) -> Outcome {
    let started_at = Instant::now();
    let tolerance = Tolerance::of_machines(2);
    let mut service = Service::default();
    let mut hosts: Vec<Host> = (0..count)
        .map(|number| {
            let delay = (number as u64 * 37) % START_WINDOW_MILLIS;
            let position_among_late = number.saturating_sub(count - late) as u32;
            let starts_at = started_at + Duration::from_millis(delay) + pause * position_among_late;
            Host {
                starts_at,
                formation: None,
                busy_until: starts_at,
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
            let (stores, registered) = service.visible_state(now);
            formation.update_registrations(&registered);
            host.busy_until = now + STEP_INTERVAL;
            if stores.is_formed() {
                continue;
            }
            match formation.next_step(&stores, &member(number), &tolerance) {
                FormationStep::Wait => {}
                FormationStep::Register => {
                    host.busy_until = now + ROUND_TRIP;
                    let local_member = member(number);
                    if service.accept_write(now, local_member.serialize_bin().len()) {
                        service
                            .registered
                            .insert(local_member.node.clone(), local_member);
                        service.record_state(now);
                    }
                }
                FormationStep::Form(groups) => {
                    host.busy_until = now + ROUND_TRIP;
                    let accepted = service.accept_write(now, groups.serialize_bin().len());
                    // The write is conditional on no groups being formed yet.
                    if accepted && !service.stores.is_formed() {
                        service.stores = groups;
                        service.record_state(now);
                    }
                }
            }
        }
        let all_started = hosts.iter().all(|host| host.starts_at <= now);
        if service.stores.is_formed() && all_started {
            let first_formed = service
                .history
                .iter()
                .find(|(_, stores, _)| stores.is_formed());
            let formed_at = first_formed.map_or(now, |(at, _, _)| *at);
            return Outcome {
                formed_after: formed_at - started_at,
                members: service.stores.members().count(),
                service,
            };
        }
        assert!(
            now - started_at < Duration::from_secs(60),
            "the groups were never formed"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against write conflicts between starting stores, which make the number of writes
/// grow faster than the number of stores.
#[rstest]
#[tokio::test(start_paused = true)]
async fn groups_are_formed_quickly_and_with_few_writes(#[values(3, 12, 36, 100)] count: usize) {
    let outcome = start_stores(count, 0, Duration::ZERO).await;
    let service = &outcome.service;
    println!(
        "{count} stores: {} writes ({} refused), {} bytes, formed after {:?}",
        service.writes, service.refused, service.bytes, outcome.formed_after
    );
    assert!(service.writes <= 2 * count + 2, "{}", service.writes);
    assert!(service.bytes <= 200 * (2 * count + 2), "{}", service.bytes);
    assert!(outcome.formed_after <= Duration::from_millis(5_500));
    let full_groups = if count < 10 { count } else { count / 5 * 5 };
    assert_eq!(outcome.members, full_groups);
}

/// Guards against a formation that is postponed as long as stores keep arriving.
#[tokio::test(start_paused = true)]
async fn late_stores_do_not_delay_the_formation() {
    let outcome = start_stores(40, 20, Duration::from_millis(700)).await;
    assert!(
        outcome.formed_after <= Duration::from_millis(7_500),
        "{:?}",
        outcome.formed_after
    );
    assert!(outcome.members >= 20);
}

/// Guards against a store that never registers because the service refused its write.
#[tokio::test(start_paused = true)]
async fn a_refused_registration_is_retried() {
    let mut formation = Formation::new();
    let stores = StoreGroups::default();
    let tolerance = Tolerance::of_machines(1);
    let mut writes = 0;
    for _ in 0..200 {
        tokio::time::sleep(STEP_INTERVAL).await;
        let step = formation.next_step(&stores, &member(0), &tolerance);
        writes += usize::from(step == FormationStep::Register);
    }
    assert!((5..=8).contains(&writes), "{writes} in ten seconds");
    let registered = BTreeMap::from([(member(0).node, member(0))]);
    formation.update_registrations(&registered);
    let step = formation.next_step(&stores, &member(0), &tolerance);
    assert_eq!(step, FormationStep::Wait);
}

/// Guards against conflicting writes of the groups: stores that see the same registrations
/// try one after the other.
#[tokio::test(start_paused = true)]
async fn registered_stores_form_the_groups_one_at_a_time() {
    let registered: Registrations = (0..4)
        .map(|number| (member(number).node, member(number)))
        .collect();
    let mut form_times = Vec::new();
    for number in 0..4 {
        let mut formation = Formation::new();
        formation.update_registrations(&registered);
        let started_at = Instant::now();
        let stores = StoreGroups::default();
        let tolerance = Tolerance::of_machines(1);
        while !matches!(
            formation.next_step(&stores, &member(number), &tolerance),
            FormationStep::Form(_)
        ) {
            tokio::time::sleep(STEP_INTERVAL).await;
        }
        form_times.push(started_at.elapsed());
    }
    assert!(
        form_times
            .windows(2)
            .all(|pair| pair[0] + Duration::from_millis(400) <= pair[1]),
        "{form_times:?}"
    );
}
