//! Removal of replicas under network partitions, service outages and history compactions
//! in random order, in virtual time.
//!
//! A connected front must apply a removal within the change bound, and a reconnected one
//! within 1.15 times the bound. Entries that lapsed in a service outage may be used until
//! 2.7 s after the outage. Both must end within the reconnect grace.

#[path = "replica_removal_simulation/cluster.rs"]
mod cluster;
#[path = "support/list.rs"]
mod list;
#[path = "replica_removal_simulation/service.rs"]
mod service;
#[path = "support/virtual_time.rs"]
mod virtual_time;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use cluster::{Cluster, Front, LONG_TIMES, SHORT_TIMES, Times, address_of, key_of};
use proptest::prelude::*;
use stageyoke_directory::outage::LAPSED_ENTRY_GRACE;
use tokio::time::Instant;
use virtual_time::in_virtual_time;

/// Interval between two checks of a front.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time, as a part of the change bound, from a front's reconnection until it has
/// the list: queries to the stores (0.3), a query to the service (0.6), a pause (0.25).
const LIST_DELAY_FACTOR: f64 = 1.15;
/// Time beyond a heartbeat after which lapsed entries are written again once a service
/// outage ends.
const ENTRY_WRITE_DELAY: Duration = Duration::from_millis(500);
const REPLICAS: usize = 3;

/// Event of a generated scenario; events run in order.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Waits for a number of milliseconds.
    Wait(u64),
    /// Cuts a front off from the service and the stores, without waiting for the end.
    PartitionFront { front: usize, milliseconds: u64 },
    /// Cuts a store off from the service, without waiting for the end.
    PartitionStore { store: usize, milliseconds: u64 },
    /// Makes the service unavailable; entries lapse if this lasts three heartbeats.
    ServiceOutage { milliseconds: u64 },
    /// Compacts the change history of the service.
    CompactHistory,
    /// Removes a replica's entry.
    RemoveReplica { replica: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let span = || 100_u64..6_000;
    prop_oneof![
        3 => (50_u64..3_000).prop_map(Step::Wait),
        3 => (0_usize..2, span())
            .prop_map(|(front, milliseconds)| Step::PartitionFront { front, milliseconds }),
        1 => (0_usize..2, span())
            .prop_map(|(store, milliseconds)| Step::PartitionStore { store, milliseconds }),
        1 => span().prop_map(|milliseconds| Step::ServiceOutage { milliseconds }),
        1 => Just(Step::CompactHistory),
        3 => (0_usize..REPLICAS).prop_map(|replica| Step::RemoveReplica { replica }),
    ]
}

/// Run of a scenario, with what has happened so far.
struct Scenario {
    times: Times,
    cluster: Cluster,
    /// Time at which each replica's entry was removed from the service.
    removed_at: RefCell<Vec<Option<Instant>>>,
    /// Time at which each front was last cut off or without the service.
    disturbed_at: Vec<Cell<Option<Instant>>>,
    is_unavailable: Cell<bool>,
    /// Cuts of the stores that were cut off when the last outage ended and still are: for
    /// these stores the outage continues.
    remaining_store_cuts: RefCell<Vec<Rc<Cell<bool>>>>,
    steps: Vec<Step>,
    breach: RefCell<Option<String>>,
}

impl Scenario {
    async fn start(times: Times, steps: Vec<Step>) -> Rc<Self> {
        let scenario = Rc::new(Self {
            times,
            cluster: Cluster::start(times, REPLICAS).await,
            removed_at: RefCell::new(vec![None; REPLICAS]),
            disturbed_at: vec![Cell::new(None), Cell::new(None)],
            is_unavailable: Cell::new(false),
            remaining_store_cuts: RefCell::default(),
            steps,
            breach: RefCell::default(),
        });
        for number in 0..scenario.cluster.fronts.len() {
            let recorder = scenario.clone();
            tokio::task::spawn_local(async move { recorder.record_disturbances(number).await });
            let runner = scenario.clone();
            tokio::task::spawn_local(async move { runner.check_front(number).await });
        }
        scenario
    }

    fn front(&self, number: usize) -> &Rc<Front> {
        &self.cluster.fronts[number]
    }

    async fn record_disturbances(&self, number: usize) {
        loop {
            self.remaining_store_cuts
                .borrow_mut()
                .retain(|cut| cut.get());
            let is_outage =
                self.is_unavailable.get() || !self.remaining_store_cuts.borrow().is_empty();
            if self.front(number).cut.get() || is_outage {
                self.disturbed_at[number].set(Some(Instant::now()));
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Refreshes a front's list continually and checks that no removed replica stays
    /// usable for too long.
    async fn check_front(&self, number: usize) {
        loop {
            self.front(number).refresh().await;
            self.check(number);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the longest time from the reconnection of a front, or the end of an outage,
    /// until replicas removed meanwhile are no longer usable.
    fn max_removal_delay(&self) -> Duration {
        let list_delay = self.times.change_bound.mul_f64(LIST_DELAY_FACTOR);
        list_delay.max(LAPSED_ENTRY_GRACE) + CHECK_INTERVAL * 2
    }

    fn check(&self, number: usize) {
        let now = Instant::now();
        let usable_replicas = self.front(number).usable_replicas();
        let disturbed_at = self.disturbed_at[number].get();
        let past_reconnect_grace =
            disturbed_at.is_none_or(|at| now > at + self.times.reconnect_grace);
        let past_max_removal_delay =
            disturbed_at.is_none_or(|at| now > at + self.max_removal_delay());
        for (replica, removed_at) in self.removed_at.borrow().iter().enumerate() {
            let Some(at) = removed_at else { continue };
            let past_change_bound = now > *at + self.times.change_bound;
            let is_usable = usable_replicas.contains(&key_of(replica));
            let is_breach =
                is_usable && past_change_bound && (past_reconnect_grace || past_max_removal_delay);
            if is_breach && self.breach.borrow().is_none() {
                let breach = format!(
                    "front {number} uses replica {replica} {:?} after its removal; list age {:?}, \
                     last disturbed {:?} ago, steps {:?}",
                    now - *at,
                    self.front(number).list_age(),
                    disturbed_at.map(|at| now - at),
                    self.steps
                );
                self.breach.replace(Some(breach));
            }
        }
    }

    async fn run(&self) {
        for step in &self.steps {
            self.run_step(*step).await;
        }
        tokio::time::sleep(self.times.reconnect_grace * 2).await;
        assert_eq!(*self.breach.borrow(), None);
    }

    async fn run_step(&self, step: Step) {
        match step {
            Step::Wait(milliseconds) => {
                tokio::time::sleep(Duration::from_millis(milliseconds)).await;
            }
            Step::PartitionFront {
                front,
                milliseconds,
            } => cut_for(self.front(front).cut.clone(), milliseconds),
            Step::PartitionStore {
                store,
                milliseconds,
            } => cut_for(self.cluster.store_cuts[store].clone(), milliseconds),
            Step::ServiceOutage { milliseconds } => self.run_outage(milliseconds).await,
            Step::CompactHistory => self.cluster.service.compact(),
            Step::RemoveReplica { replica } => self.remove_replica(replica),
        }
    }

    fn remove_replica(&self, replica: usize) {
        let removed_at = &mut self.removed_at.borrow_mut()[replica];
        if removed_at.is_none() {
            *removed_at = Some(Instant::now());
            self.cluster.service.write(&key_of(replica), None);
        }
    }

    /// Simulates a service outage. After three heartbeats all entries lapse; those of live
    /// replicas are written again after the outage.
    async fn run_outage(&self, milliseconds: u64) {
        let span = Duration::from_millis(milliseconds);
        self.is_unavailable.set(true);
        self.cluster.service.set_unavailable(true);
        tokio::time::sleep(span).await;
        let entries_lapse = span >= self.times.heartbeat_interval * 3;
        let is_live = |replica: &usize| self.removed_at.borrow()[*replica].is_none();
        let lapsed: Vec<usize> = (0..REPLICAS)
            .filter(is_live)
            .filter(|_| entries_lapse)
            .collect();
        for replica in &lapsed {
            self.cluster.service.write(&key_of(*replica), None);
        }
        self.cluster.service.set_unavailable(false);
        self.is_unavailable.set(false);
        let cuts = self.cluster.store_cuts.iter().filter(|cut| cut.get());
        self.remaining_store_cuts.borrow_mut().extend(cuts.cloned());
        tokio::time::sleep(self.times.heartbeat_interval + ENTRY_WRITE_DELAY).await;
        for replica in lapsed {
            let address = address_of(replica);
            self.cluster.service.write(&key_of(replica), Some(&address));
        }
    }
}

fn cut_for(cut: Rc<Cell<bool>>, milliseconds: u64) {
    cut.set(true);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(milliseconds)).await;
        cut.set(false);
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn a_connected_front_stops_using_a_removed_replica_in_time(
        steps in proptest::collection::vec(step(), 1..12),
        times in proptest::sample::select(vec![SHORT_TIMES, LONG_TIMES]),
    ) {
        in_virtual_time(async move {
            Scenario::start(times, steps).await.run().await;
        });
    }
}

/// Longest time until a call that runs into the outage fails; the service may have become
/// available again meanwhile.
const CALL_FAILURE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Fronts must go on using lapsed entries through a service outage and, for the grace
/// period, after it, until the entries are written again.
#[test]
fn a_service_outage_leaves_no_front_without_replicas() {
    let usable_duration = LAPSED_ENTRY_GRACE - CALL_FAILURE_TIMEOUT - CHECK_INTERVAL;
    for milliseconds in [2_200, 3_000, 4_500, 6_000, 9_000] {
        in_virtual_time(async move {
            let scenario =
                Scenario::start(SHORT_TIMES, vec![Step::ServiceOutage { milliseconds }]).await;
            let runner = scenario.clone();
            tokio::task::spawn_local(async move { runner.run().await });
            let outage_end = Instant::now() + Duration::from_millis(milliseconds);
            while Instant::now() < outage_end + usable_duration {
                for (number, front) in scenario.cluster.fronts.iter().enumerate() {
                    let usable_replicas = front.usable_replicas();
                    let after = outage_end.elapsed();
                    assert!(
                        !usable_replicas.is_empty(),
                        "front {number}, {milliseconds} ms, {after:?}"
                    );
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            tokio::time::sleep(SHORT_TIMES.change_bound * 2).await;
            for front in &scenario.cluster.fronts {
                assert_eq!(
                    front.usable_replicas().len(),
                    REPLICAS,
                    "all replicas must be usable again"
                );
            }
        });
    }
}

/// A front that was cut off must treat entries that are missing at its reconnection as
/// removed, not as lapsed in a service outage.
#[test]
fn a_reconnected_front_drops_removed_replicas_at_once() {
    for milliseconds in [3_000, 4_130, 5_270, 6_410, 10_000] {
        in_virtual_time(async move {
            let scenario = Scenario::start(SHORT_TIMES, Vec::new()).await;
            scenario.front(0).cut.set(true);
            tokio::time::sleep(Duration::from_millis(milliseconds / 2)).await;
            scenario.remove_replica(0);
            scenario.remove_replica(1);
            tokio::time::sleep(Duration::from_millis(milliseconds / 2)).await;
            scenario.front(0).cut.set(false);
            let mut usable_counts = Vec::new();
            for _ in 0..150 {
                let usable_replicas = scenario.front(0).usable_replicas().len();
                if usable_counts.last() != Some(&usable_replicas) {
                    usable_counts.push(usable_replicas);
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            assert_eq!(usable_counts, [3, 1], "after {milliseconds} ms");
        });
    }
}
