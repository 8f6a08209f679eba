//! Who begins when there is too little room, on replayed loads.

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_policy::admission::{AdmissionDecision, EngineLoad};

/// One step of a replay, ms.
const STEP: u64 = 10;
/// The replay's end, ms; programs that are due later are not counted.
const ENDS: u64 = 20_000;
/// Counts that fronts go by are so old, in steps.
const LAG: usize = 10;
/// Callers leave a turn that has waited so long, ms.
const PATIENCE: u64 = 2_000;
/// Tries of a program that is turned away.
const TRIES: u32 = 6;

/// One load: programs of two ranks at engines that share a queue.
#[derive(Clone, Copy)]
struct Load {
    places: usize,
    turn: u64,
    /// Turns of an urgent program and of one that is not.
    turns: [u32; 2],
    /// Programs a second of each rank, before and in the burst of seconds 2 to 8.
    calm: [f64; 2],
    burst: [f64; 2],
}

#[derive(Clone, Copy)]
struct Program {
    rank: usize,
    order: f64,
    turns: u32,
    /// When it should be over: half as long again as on idle engines, and 0.3 s.
    due: u64,
    /// When its next turn is sent, or was.
    at: u64,
    begun: bool,
    tries: u32,
}

/// Programs by rank.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    asked: [u32; 2],
    in_time: [u32; 2],
    failed: [u32; 2],
}

impl Ends {
    fn share(&self, rank: usize) -> f64 {
        f64::from(self.in_time[rank]) / f64::from(self.asked[rank].max(1))
    }
}

/// Plays 20 seconds; all programs begin unless `limited`.
fn replay(load: Load, limited: bool) -> Ends {
    let mut ends = Ends::default();
    let mut owed = [0.0; 2];
    let mut coming: Vec<Program> = Vec::new();
    let mut queue: VecDeque<Program> = VecDeque::new();
    let mut running: Vec<Program> = Vec::new();
    let mut counts: VecDeque<[u32; 2]> = VecDeque::from([[0; 2]; LAG]);
    let mut hash = 1_u64;
    for now in (0..ENDS).step_by(STEP as usize) {
        for rank in 0..2 {
            let rates = if (2_000..8_000).contains(&now) {
                load.burst
            } else {
                load.calm
            };
            owed[rank] += rates[rank] * STEP as f64 / 1e3;
            while owed[rank] >= 1.0 {
                owed[rank] -= 1.0;
                hash = hash.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let due = now + u64::from(load.turns[rank]) * load.turn * 3 / 2 + 300;
                ends.asked[rank] += u32::from(due < ENDS);
                coming.push(Program {
                    rank,
                    order: (hash >> 11) as f64 / (1_u64 << 53) as f64,
                    turns: load.turns[rank],
                    due,
                    at: now,
                    begun: false,
                    tries: TRIES,
                });
            }
        }
        let [urgent, other] = counts.pop_front().unwrap_or_default();
        for mut program in std::mem::take(&mut coming) {
            if program.at > now {
                coming.push(program);
                continue;
            }
            let contention = EngineLoad {
                slots: load.places as u32,
                competing_turns: if program.rank == 0 {
                    urgent
                } else {
                    urgent + other
                },
            };
            match contention.decide(program.order) {
                AdmissionDecision::Rejected(after) if limited && !program.begun => {
                    program.tries -= 1;
                    program.at = now + after.as_millis() as u64;
                    if program.tries > 0 {
                        coming.push(program);
                    }
                }
                _ => {
                    program.begun = true;
                    queue.push_back(program);
                }
            }
        }
        queue.retain(|program| {
            let left = now > program.at + PATIENCE;
            ends.failed[program.rank] += u32::from(left);
            !left
        });
        for mut program in std::mem::take(&mut running) {
            if program.at > now {
                running.push(program);
                continue;
            }
            program.turns -= 1;
            if program.turns > 0 {
                coming.push(program);
            } else {
                ends.in_time[program.rank] += u32::from(now <= program.due && program.due < ENDS);
            }
        }
        // Engines take the more urgent first.
        queue.make_contiguous().sort_by_key(|program| program.rank);
        while running.len() < load.places
            && let Some(mut program) = queue.pop_front()
        {
            program.at = now + load.turn;
            running.push(program);
        }
        let mut count = [0; 2];
        for program in queue.iter().chain(&running) {
            count[program.rank] += 1;
        }
        counts.push_back(count);
    }
    ends
}

/// More come for six seconds than engines can work on, urgent ones or others.
#[rstest]
#[case::others_in_a_burst(360, 200, [3, 7], [95.0, 75.0], [95.0, 400.0])]
#[case::urgent_ones_in_a_burst(360, 200, [3, 7], [95.0, 75.0], [450.0, 75.0])]
#[case::both_in_a_burst(360, 200, [3, 7], [95.0, 75.0], [200.0, 300.0])]
#[case::one_engine(8, 100, [2, 2], [8.0, 8.0], [8.0, 80.0])]
#[case::many_engines_of_long_turns(2_400, 800, [4, 4], [150.0, 150.0], [150.0, 900.0])]
fn in_a_burst_more_end_in_time_and_the_urgent_first(
    #[case] places: usize,
    #[case] turn: u64,
    #[case] turns: [u32; 2],
    #[case] calm: [f64; 2],
    #[case] burst: [f64; 2],
) {
    let load = Load {
        places,
        turn,
        turns,
        calm,
        burst,
    };
    let (all, limited) = (replay(load, false), replay(load, true));
    println!("all begin {all:?}, limited {limited:?}");
    let in_time = |ends: &Ends| ends.in_time.iter().sum::<u32>();
    assert!(in_time(&limited) > in_time(&all), "{all:?} {limited:?}");
    assert!(limited.share(0) >= all.share(0), "{limited:?}");
    assert!(limited.share(0) > 0.99, "{limited:?}");
    assert!(limited.share(0) >= limited.share(1), "{limited:?}");
    let failed = limited.failed.iter().sum::<u32>();
    let asked = limited.asked.iter().sum::<u32>();
    assert!(failed * 100 < asked, "who begins is served: {limited:?}");
}

/// Nobody is turned away while what comes fits.
#[rstest]
#[case::half_full([60.0, 60.0])]
#[case::only_others([0.0, 240.0])]
#[case::only_urgent_ones([240.0, 0.0])]
fn in_calm_all_begin(#[case] calm: [f64; 2]) {
    let load = Load {
        places: 300,
        turn: 200,
        turns: [5, 5],
        calm,
        burst: calm,
    };
    let (all, limited) = (replay(load, false), replay(load, true));
    assert_eq!(limited.in_time, all.in_time);
}

proptest! {
    #[test]
    fn all_begin_while_a_place_is_free(
        places in 1..10_000_u32, free in 1..100_u32, order in 0.0..1.0,
    ) {
        let as_urgent = places.saturating_sub(free);
        let contention = EngineLoad { slots: places, competing_turns: as_urgent };
        prop_assert_eq!(contention.decide(order), AdmissionDecision::Admitted);
    }

    /// By the same counts, none begins before an earlier one in the order, nor where a
    /// more urgent one does not.
    #[test]
    fn one_order_for_all_fronts(
        places in 1..1_000_u32, as_urgent in 0..2_000_u32, less_urgent in 0..1_000_u32,
        order in 0.0..1.0, later in 0.0..1.0,
    ) {
        let urgent = EngineLoad { slots: places, competing_turns: as_urgent };
        let less = EngineLoad { slots: places, competing_turns: as_urgent + less_urgent };
        prop_assert!(urgent.admitted_share() >= less.admitted_share());
        if order < later && less.decide(later) == AdmissionDecision::Admitted {
            prop_assert_eq!(less.decide(order), AdmissionDecision::Admitted);
        }
        if let AdmissionDecision::Rejected(after) = less.decide(order) {
            prop_assert!(after <= Duration::from_secs(1), "a caller heeds so much");
        }
    }
}

#[test]
fn without_engines_nobody_is_turned_away() {
    assert_eq!(
        EngineLoad::default().decide(0.9),
        AdmissionDecision::Admitted
    );
}
