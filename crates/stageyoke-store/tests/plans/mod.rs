//! Random fault plans and the simulation that runs them.

pub mod availability;
pub mod loss_tracker;
pub mod simulated_store;
pub mod simulation;

use proptest::prelude::*;

/// Virtual time during which faults are injected.
pub const FAULT_PHASE_MILLIS: u64 = 40_000;

/// The parameters and faults of one simulation run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the draws made during the run: delays, lost messages, requests.
    pub seed: u64,
    /// Number of stores at the start.
    pub stores: usize,
    /// Number of disks that may be lost at once.
    pub tolerated_losses: usize,
    /// Messages lost, per thousand.
    pub lost_per_mille: u32,
    /// Messages delivered twice, per thousand.
    pub duplicated_per_mille: u32,
    /// Messages delayed by up to some seconds, per thousand.
    pub delayed_per_mille: u32,
    /// How long a machine still counts as lost after its return or first start. If
    /// `None`, a disk counts as lost until its group has filled it again.
    pub catch_up_millis: Option<u64>,
    /// Faults with the times at which they are injected.
    pub faults: Vec<(u64, Fault)>,
}

/// A fault of one store or front. Store and front numbers are taken modulo their count;
/// in plans with a catch-up time, stores are numbered from the oldest one that is
/// neither gone nor retiring. Durations are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process is killed and restarts after this time.
    Kill(usize, u64),
    /// The machine loses power, and with it a part of the unsynced writes.
    PowerOff(usize, u64),
    /// The disk is lost. Skipped if that would exceed the tolerance.
    Wipe(usize, u64),
    /// The disks that hold the next stored record are lost, within the tolerance.
    WipeNextHolders(u64),
    /// All machines lose power and come back within 200 ms of one another.
    PowerOffAll(u64),
    /// The disk rejects writes for this time.
    FailDisk(usize, u64),
    /// The store is cut off from other stores and the key-value service, not from fronts.
    Isolate(usize, u64),
    /// The process pauses for this time and then resumes.
    Freeze(usize, u64),
    /// The operator retires the store.
    Retire(usize),
    /// The machine is lost for good and an empty one is added after this time. Skipped
    /// if that would exceed the tolerance.
    Replace(usize, u64),
    /// The operator retires the store; the machine is removed after the first duration,
    /// and an empty one is added after the second.
    RetireAndReplace(usize, u64, u64),
    /// An empty store is added.
    Add,
    /// The key-value service rejects this store and serves all others.
    RejectByService(usize, u64),
    /// The key-value service is down.
    ServiceDown(u64),
    /// The key-value service rejects writes.
    ServiceReadOnly(u64),
    /// A front receives no directory updates from the service.
    StaleFront(usize, u64),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let number = || 0..64_usize;
    let short = || 200..3_000_u64;
    let long = || 2_000..14_000_u64;
    prop_oneof![
        (number(), short()).prop_map(|(store, time)| Fault::Kill(store, time)),
        (number(), short()).prop_map(|(store, time)| Fault::PowerOff(store, time)),
        (number(), short()).prop_map(|(store, time)| Fault::Wipe(store, time)),
        (number(), long()).prop_map(|(store, time)| Fault::Wipe(store, time)),
        (50..3_000_u64).prop_map(Fault::WipeNextHolders),
        short().prop_map(Fault::PowerOffAll),
        (number(), short()).prop_map(|(store, time)| Fault::FailDisk(store, time)),
        (number(), long()).prop_map(|(store, time)| Fault::Isolate(store, time)),
        (number(), long()).prop_map(|(store, time)| Fault::Freeze(store, time)),
        number().prop_map(Fault::Retire),
        (number(), short()).prop_map(|(store, time)| Fault::Replace(store, time)),
        (number(), short()).prop_map(|(store, time)| Fault::Replace(store, time)),
        Just(Fault::Add),
        long().prop_map(Fault::ServiceDown),
        (number(), long()).prop_map(|(front, time)| Fault::StaleFront(front, time)),
    ]
}

/// A member is isolated until it is removed and another joins, while a front keeps using
/// the old member list.
fn replacement() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let start = 0..FAULT_PHASE_MILLIS - 16_000;
    let times = (7_000..15_000_u64, 4_000..9_000_u64, 9_000..18_000_u64);
    (start, 0..64_usize, 0..64_usize, times).prop_map(|(start, store, front, times)| {
        let (isolate, added, stale) = times;
        vec![
            (start, Fault::Isolate(store, isolate)),
            (start, Fault::StaleFront(front, stale)),
            (start + added, Fault::Add),
        ]
    })
}

/// Disks are lost one after the other, each right after it stored a record.
fn lost_disks() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let single_fault = (0..FAULT_PHASE_MILLIS, 50..1_500_u64);
    let single_fault = single_fault.prop_map(|(at, down)| (at, Fault::WipeNextHolders(down)));
    proptest::collection::vec(single_fault, 1..8)
}

/// Random plans whose faults may overlap.
pub fn overlapping_faults() -> impl Strategy<Value = Plan> {
    let sizes = prop_oneof![
        Just((3, 1)),
        Just((4, 1)),
        Just((5, 2)),
        Just((8, 1)),
        Just((7, 2)),
        Just((12, 2)),
    ];
    let single = (0..FAULT_PHASE_MILLIS, any_fault()).prop_map(|fault| vec![fault]);
    let scenario = prop_oneof![3 => single, 2 => replacement(), 1 => lost_disks()];
    let faults = proptest::collection::vec(scenario, 0..9);
    (any::<u64>(), sizes, 0..60_u32, 0..60_u32, 0..30_u32, faults).prop_map(
        |(
            seed,
            (stores, tolerated_losses),
            lost_per_mille,
            duplicated_per_mille,
            delayed_per_mille,
            scenarios,
        )| {
            let mut faults = scenarios.concat();
            faults.sort_by_key(|(at, _)| *at);
            Plan {
                seed,
                stores,
                tolerated_losses,
                lost_per_mille,
                duplicated_per_mille,
                delayed_per_mille,
                catch_up_millis: None,
                faults,
            }
        },
    )
}

/// Time between a retirement and the machine's removal.
const RETIREMENT_MILLIS: u64 = 6_000;

/// One loss of a series as relative faults, with the time until everything is back.
fn loss() -> impl Strategy<Value = (Vec<(u64, Fault)>, u64)> {
    let number = || 0..64_usize;
    let short = || 200..3_000_u64;
    let long = || 2_000..8_000_u64;
    let single_fault = |fault: Fault, duration: u64| (vec![(0, fault)], duration);
    let replace = (number(), short());
    let replace =
        replace.prop_map(move |(store, delay)| single_fault(Fault::Replace(store, delay), delay));
    let wipe = (number(), short());
    let wipe = wipe.prop_map(move |(store, down)| single_fault(Fault::Wipe(store, down), down));
    let wipe_next = short();
    let wipe_next =
        wipe_next.prop_map(move |down| single_fault(Fault::WipeNextHolders(down), down));
    let retire_and_replace = (number(), short()).prop_map(move |(store, delay)| {
        let fault = Fault::RetireAndReplace(store, RETIREMENT_MILLIS, delay);
        single_fault(fault, RETIREMENT_MILLIS + delay)
    });
    let retire = (number(), long()).prop_map(|(store, delay)| {
        let faults = vec![(0, Fault::Retire(store)), (delay, Fault::Add)];
        (faults, delay)
    });
    let retire_only = number().prop_map(move |store| single_fault(Fault::Retire(store), 0));
    let kill = (number(), short());
    let kill = kill.prop_map(move |(store, down)| single_fault(Fault::Kill(store, down), down));
    let power = (number(), long());
    let power =
        power.prop_map(move |(store, down)| single_fault(Fault::PowerOff(store, down), down));
    let power_all = short();
    let power_all = power_all.prop_map(move |down| single_fault(Fault::PowerOffAll(down), down));
    let isolate = (number(), long());
    let isolate =
        isolate.prop_map(move |(store, time)| single_fault(Fault::Isolate(store, time), time));
    let freeze = (number(), long());
    let freeze =
        freeze.prop_map(move |(store, time)| single_fault(Fault::Freeze(store, time), time));
    let down = long().prop_map(move |time| single_fault(Fault::ServiceDown(time), time));
    let service_read_only =
        long().prop_map(move |time| single_fault(Fault::ServiceReadOnly(time), time));
    let stale_front = (number(), long());
    let stale_front =
        stale_front.prop_map(move |(front, time)| single_fault(Fault::StaleFront(front, time), 0));
    let add = Just(single_fault(Fault::Add, 0));
    prop_oneof![
        6 => replace,
        6 => wipe,
        2 => wipe_next,
        4 => retire_and_replace,
        2 => retire,
        1 => retire_only,
        1 => kill,
        1 => power,
        2 => power_all,
        1 => isolate,
        1 => freeze,
        1 => down,
        1 => service_read_only,
        2 => stale_front,
        1 => add,
    ]
}

/// Losses one after the other, most of them right after the catch-up time of the
/// previous one, some earlier.
fn consecutive_losses(catch_up_millis: u64) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let gap = prop_oneof![
        5 => (0..1_000_u64).prop_map(move |more| catch_up_millis + more),
        1 => 0..1_000_u64,
    ];
    let start = 500..4_000_u64;
    let losses = proptest::collection::vec((loss(), gap), 2..9);
    (start, losses).prop_map(|(start, losses)| {
        let mut at = start;
        let mut faults = Vec::new();
        for ((relative_faults, duration), gap) in losses {
            let relative_faults = relative_faults.into_iter();
            faults.extend(relative_faults.map(|(delay, fault)| (at + delay, fault)));
            at += duration + gap;
        }
        faults.retain(|(at, _)| *at < FAULT_PHASE_MILLIS);
        faults.sort_by_key(|(at, _)| *at);
        faults
    })
}

/// Random plans of consecutive losses, with a catch-up time.
pub fn loss_series() -> impl Strategy<Value = Plan> {
    let size = prop_oneof![
        1 => Just((2, 1)),
        6 => Just((3, 1)),
        1 => Just((4, 1)),
        1 => Just((5, 1)),
        1 => Just((6, 1)),
        1 => Just((7, 1)),
        1 => Just((3, 2)),
        1 => Just((4, 2)),
        3 => Just((5, 2)),
        1 => Just((6, 2)),
        1 => Just((7, 2)),
        2 => Just((8, 1)),
        1 => Just((12, 1)),
        1 => Just((12, 2)),
    ];
    let catch_up_millis = 4_000..=6_000_u64;
    let faults = catch_up_millis.prop_flat_map(|catch_up_millis| {
        (Just(catch_up_millis), consecutive_losses(catch_up_millis))
    });
    let messages = (0..20_u32, 0..60_u32, 0..10_u32);
    (any::<u64>(), size, messages, faults).prop_map(
        |(
            seed,
            (stores, tolerated_losses),
            (lost_per_mille, duplicated_per_mille, delayed_per_mille),
            (catch_up_millis, faults),
        )| Plan {
            seed,
            stores,
            tolerated_losses,
            lost_per_mille,
            duplicated_per_mille,
            delayed_per_mille,
            catch_up_millis: Some(catch_up_millis),
            faults,
        },
    )
}
