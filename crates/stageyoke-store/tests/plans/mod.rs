//! What a plan consists of.

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
    /// What strikes, and when.
    pub faults: Vec<(u64, Fault)>,
}

/// What strikes one store or front; numbers are taken modulo their count.
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
    /// An empty store is added.
    Add,
    /// The key-value service answers nobody.
    ServiceDown(u64),
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
                faults,
            }
        },
    )
}
