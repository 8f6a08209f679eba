//! What a plan consists of.

pub mod losses;
pub mod service;
pub mod store;
pub mod world;

use proptest::prelude::*;

/// Milliseconds of virtual time in which faults strike and fronts write.
pub const PLAN_MILLISECONDS: u64 = 40_000;

/// One random plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of what is drawn while it is played: delays, losses, who asks.
    pub seed: u64,
    /// Stores.
    pub stores: usize,
    /// Disks that may be lost at once.
    pub losses: usize,
    /// Of a thousand messages, so many are lost.
    pub lost: u32,
    /// Of a thousand messages, so many come twice.
    pub doubled: u32,
    /// Of a thousand messages, so many come seconds late.
    pub late: u32,
    /// Milliseconds that a machine counts as lost after its return or its first
    /// start. Without them a disk counts as lost until its group has filled it
    /// up again.
    pub catch_up: Option<u64>,
    /// What strikes, and when.
    pub faults: Vec<(u64, Fault)>,
}

/// What strikes one store or front; numbers are taken modulo their count. Where
/// losses count by time, stores are numbered from the oldest that is still there
/// and is to stay.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process ends, and starts again after so many milliseconds.
    Kill(usize, u64),
    /// The machine loses power: what was not synced may be torn.
    PowerOff(usize, u64),
    /// The disk is lost. Not played where more would be lost than may be.
    Wipe(usize, u64),
    /// The disks that hold the record kept next are lost, as many as may be.
    WipeAfterNext(u64),
    /// All machines lose power.
    PowerOffAll(u64),
    /// The disk refuses writes for so long.
    Refuse(usize, u64),
    /// No other store, nor the key-value service, reaches it; fronts do.
    Cut(usize, u64),
    /// The store does nothing for so long, and goes on where it stood.
    Freeze(usize, u64),
    /// The operator wants it emptied.
    Retire(usize),
    /// The machine is lost for good, and an empty one comes in its place after
    /// so long. Not played where more would be lost than may be.
    Replace(usize, u64),
    /// The operator wants it emptied; after so long the machine goes, and an
    /// empty one comes in its place after so long again.
    RetireAndReplace(usize, u64, u64),
    /// An empty store is added.
    Add,
    /// The key-value service turns this store away; all others reach it.
    Shun(usize, u64),
    /// The key-value service answers nobody.
    ServiceDown(u64),
    /// The key-value service takes no changes.
    ServiceDeaf(u64),
    /// A front does not hear of new groups from the service.
    Deaf(usize, u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let number = || 0..64_usize;
    let short = || 200..3_000_u64;
    let long = || 2_000..14_000_u64;
    prop_oneof![
        (number(), short()).prop_map(|(store, time)| Fault::Kill(store, time)),
        (number(), short()).prop_map(|(store, time)| Fault::PowerOff(store, time)),
        (number(), short()).prop_map(|(store, time)| Fault::Wipe(store, time)),
        (number(), long()).prop_map(|(store, time)| Fault::Wipe(store, time)),
        (50..3_000_u64).prop_map(Fault::WipeAfterNext),
        short().prop_map(Fault::PowerOffAll),
        (number(), short()).prop_map(|(store, time)| Fault::Refuse(store, time)),
        (number(), long()).prop_map(|(store, time)| Fault::Cut(store, time)),
        (number(), long()).prop_map(|(store, time)| Fault::Freeze(store, time)),
        number().prop_map(Fault::Retire),
        (number(), short()).prop_map(|(store, time)| Fault::Replace(store, time)),
        (number(), short()).prop_map(|(store, time)| Fault::Replace(store, time)),
        Just(Fault::Add),
        long().prop_map(Fault::ServiceDown),
        (number(), long()).prop_map(|(front, time)| Fault::Deaf(front, time)),
    ]
}

/// A member is cut off until it is removed, and another comes in its place,
/// while a front hears nothing of it.
fn replacement() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let begin = 0..PLAN_MILLISECONDS - 16_000;
    let times = (7_000..15_000_u64, 4_000..9_000_u64, 9_000..18_000_u64);
    (begin, 0..64_usize, 0..64_usize, times).prop_map(|(begin, store, front, times)| {
        let (cut, added, deaf) = times;
        vec![
            (begin, Fault::Cut(store, cut)),
            (begin, Fault::Deaf(front, deaf)),
            (begin + added, Fault::Add),
        ]
    })
}

/// Disks are lost one time after the other, right after something was kept.
fn lost_disks() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let one = (0..PLAN_MILLISECONDS, 50..1_500_u64);
    let one = one.prop_map(|(at, down)| (at, Fault::WipeAfterNext(down)));
    proptest::collection::vec(one, 1..8)
}

/// Plans of all kinds.
pub fn plans() -> impl Strategy<Value = Plan> {
    let sizes = prop_oneof![
        Just((3, 1)),
        Just((4, 1)),
        Just((5, 2)),
        Just((8, 1)),
        Just((7, 2)),
        Just((12, 2)),
    ];
    let single = (0..PLAN_MILLISECONDS, fault()).prop_map(|fault| vec![fault]);
    let scenario = prop_oneof![3 => single, 2 => replacement(), 1 => lost_disks()];
    let faults = proptest::collection::vec(scenario, 0..9);
    (any::<u64>(), sizes, 0..60_u32, 0..60_u32, 0..30_u32, faults).prop_map(
        |(seed, (stores, losses), lost, doubled, late, scenarios)| {
            let mut faults = scenarios.concat();
            faults.sort_by_key(|(at, _)| *at);
            Plan {
                seed,
                stores,
                losses,
                lost,
                doubled,
                late,
                catch_up: None,
                faults,
            }
        },
    )
}

/// Time that a machine has for its planned end.
const RETIREMENT: u64 = 6_000;

/// What strikes next in a series, and how long it lasts until everything is back.
fn loss() -> impl Strategy<Value = (Vec<(u64, Fault)>, u64)> {
    let number = || 0..64_usize;
    let short = || 200..3_000_u64;
    let long = || 2_000..8_000_u64;
    let one = |fault: Fault, lasting: u64| (vec![(0, fault)], lasting);
    let replace = (number(), short());
    let replace = replace.prop_map(move |(store, later)| one(Fault::Replace(store, later), later));
    let wipe = (number(), short());
    let wipe = wipe.prop_map(move |(store, down)| one(Fault::Wipe(store, down), down));
    let wipe_next = short();
    let wipe_next = wipe_next.prop_map(move |down| one(Fault::WipeAfterNext(down), down));
    let planned = (number(), short()).prop_map(move |(store, later)| {
        let fault = Fault::RetireAndReplace(store, RETIREMENT, later);
        one(fault, RETIREMENT + later)
    });
    let retire = (number(), long()).prop_map(|(store, later)| {
        let faults = vec![(0, Fault::Retire(store)), (later, Fault::Add)];
        (faults, later)
    });
    let retire_only = number().prop_map(move |store| one(Fault::Retire(store), 0));
    let kill = (number(), short());
    let kill = kill.prop_map(move |(store, down)| one(Fault::Kill(store, down), down));
    let power = (number(), long());
    let power = power.prop_map(move |(store, down)| one(Fault::PowerOff(store, down), down));
    let power_all = short();
    let power_all = power_all.prop_map(move |down| one(Fault::PowerOffAll(down), down));
    let cut = (number(), long());
    let cut = cut.prop_map(move |(store, time)| one(Fault::Cut(store, time), time));
    let freeze = (number(), long());
    let freeze = freeze.prop_map(move |(store, time)| one(Fault::Freeze(store, time), time));
    let down = long().prop_map(move |time| one(Fault::ServiceDown(time), time));
    let deaf_service = long().prop_map(move |time| one(Fault::ServiceDeaf(time), time));
    let deaf_front = (number(), long());
    let deaf_front = deaf_front.prop_map(move |(front, time)| one(Fault::Deaf(front, time), 0));
    let add = Just(one(Fault::Add, 0));
    prop_oneof![
        6 => replace,
        6 => wipe,
        2 => wipe_next,
        4 => planned,
        2 => retire,
        1 => retire_only,
        1 => kill,
        1 => power,
        2 => power_all,
        1 => cut,
        1 => freeze,
        1 => down,
        1 => deaf_service,
        2 => deaf_front,
        1 => add,
    ]
}

/// Losses one after the other, each as soon as the one before is over, at times
/// sooner.
fn losses_in_series(catch_up: u64) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let gap = prop_oneof![
        5 => (0..1_000_u64).prop_map(move |more| catch_up + more),
        1 => 0..1_000_u64,
    ];
    let begin = 500..4_000_u64;
    let losses = proptest::collection::vec((loss(), gap), 2..9);
    (begin, losses).prop_map(|(begin, losses)| {
        let mut at = begin;
        let mut faults = Vec::new();
        for ((struck, lasting), gap) in losses {
            let struck = struck.into_iter();
            faults.extend(struck.map(|(later, fault)| (at + later, fault)));
            at += lasting + gap;
        }
        faults.retain(|(at, _)| *at < PLAN_MILLISECONDS);
        faults.sort_by_key(|(at, _)| *at);
        faults
    })
}

/// Plans of losses in series, counted by time.
pub fn series() -> impl Strategy<Value = Plan> {
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
    let catch_up = 4_000..=6_000_u64;
    let faults = catch_up.prop_flat_map(|catch_up| (Just(catch_up), losses_in_series(catch_up)));
    let messages = (0..20_u32, 0..60_u32, 0..10_u32);
    (any::<u64>(), size, messages, faults).prop_map(
        |(seed, (stores, losses), (lost, doubled, late), (catch_up, faults))| Plan {
            seed,
            stores,
            losses,
            lost,
            doubled,
            late,
            catch_up: Some(catch_up),
            faults,
        },
    )
}
