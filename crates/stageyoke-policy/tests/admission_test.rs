//! Replays overloads of engines with and without admission control.

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use stageyoke_policy::admission::{AdmissionDecision, EngineLoad};

const STEP_MILLISECONDS: u64 = 10;
/// Length of a replay. Programs with a later deadline are not counted.
const END_MILLISECONDS: u64 = 20_000;
/// Age of the load counts that fronts use, in steps.
const COUNT_DELAY_STEPS: usize = 10;
/// Time after which a caller abandons a queued turn.
const QUEUE_TIMEOUT_MILLISECONDS: u64 = 2_000;
/// Attempts to start a program before its caller gives up.
const MAX_ATTEMPTS: u32 = 6;

/// Urgent programs (rank 0) and other programs (rank 1) on engines with a shared queue.
#[derive(Clone, Copy)]
struct Load {
    slots: usize,
    turn_milliseconds: u64,
    /// Turns of one program, by rank.
    turns: [u32; 2],
    /// Programs started per second, by rank; `burst` applies in seconds 2 to 8.
    usual: [f64; 2],
    burst: [f64; 2],
}

#[derive(Clone, Copy)]
struct Program {
    rank: usize,
    order: f64,
    turns_left: u32,
    /// 1.5 times the duration on idle engines, plus 0.3 s.
    deadline: u64,
    /// Time at which its current turn was or will be sent, or ends.
    at: u64,
    started: bool,
    attempts_left: u32,
}

/// Numbers of programs, by rank.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    offered: [u32; 2],
    in_time: [u32; 2],
    timed_out: [u32; 2],
}

impl Outcome {
    fn in_time_share(&self, rank: usize) -> f64 {
        f64::from(self.in_time[rank]) / f64::from(self.offered[rank].max(1))
    }
}

/// Replays a load; all programs are admitted unless `limited`.
fn replay(load: Load, limited: bool) -> Outcome {
    let mut outcome = Outcome::default();
    let mut pending = [0.0; 2];
    let mut arriving: Vec<Program> = Vec::new();
    let mut queue: VecDeque<Program> = VecDeque::new();
    let mut running: Vec<Program> = Vec::new();
    let mut counts: VecDeque<[u32; 2]> = VecDeque::from([[0; 2]; COUNT_DELAY_STEPS]);
    let mut hash = 1_u64;
    for now in (0..END_MILLISECONDS).step_by(STEP_MILLISECONDS as usize) {
        for rank in 0..2 {
            let rates = if (2_000..8_000).contains(&now) {
                load.burst
            } else {
                load.usual
            };
            pending[rank] += rates[rank] * STEP_MILLISECONDS as f64 / 1e3;
            while pending[rank] >= 1.0 {
                pending[rank] -= 1.0;
                hash = hash.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let deadline =
                    now + u64::from(load.turns[rank]) * load.turn_milliseconds * 3 / 2 + 300;
                outcome.offered[rank] += u32::from(deadline < END_MILLISECONDS);
                arriving.push(Program {
                    rank,
                    order: (hash >> 11) as f64 / (1_u64 << 53) as f64,
                    turns_left: load.turns[rank],
                    deadline,
                    at: now,
                    started: false,
                    attempts_left: MAX_ATTEMPTS,
                });
            }
        }
        let [urgent, other] = counts.pop_front().unwrap_or_default();
        for mut program in std::mem::take(&mut arriving) {
            if program.at > now {
                arriving.push(program);
                continue;
            }
            let engine_load = EngineLoad {
                slots: load.slots as u32,
                competing_turns: if program.rank == 0 {
                    urgent
                } else {
                    urgent + other
                },
            };
            match engine_load.decide(program.order) {
                AdmissionDecision::Rejected(retry_after) if limited && !program.started => {
                    program.attempts_left -= 1;
                    program.at = now + retry_after.as_millis() as u64;
                    if program.attempts_left > 0 {
                        arriving.push(program);
                    }
                }
                _ => {
                    program.started = true;
                    queue.push_back(program);
                }
            }
        }
        queue.retain(|program| {
            let timed_out = now > program.at + QUEUE_TIMEOUT_MILLISECONDS;
            outcome.timed_out[program.rank] += u32::from(timed_out);
            !timed_out
        });
        for mut program in std::mem::take(&mut running) {
            if program.at > now {
                running.push(program);
                continue;
            }
            program.turns_left -= 1;
            if program.turns_left > 0 {
                arriving.push(program);
            } else {
                outcome.in_time[program.rank] +=
                    u32::from(now <= program.deadline && program.deadline < END_MILLISECONDS);
            }
        }
        // Engines serve urgent turns first.
        queue.make_contiguous().sort_by_key(|program| program.rank);
        while running.len() < load.slots
            && let Some(mut program) = queue.pop_front()
        {
            program.at = now + load.turn_milliseconds;
            running.push(program);
        }
        let mut count = [0; 2];
        for program in queue.iter().chain(&running) {
            count[program.rank] += 1;
        }
        counts.push_back(count);
    }
    outcome
}

/// Guards against admission control that completes fewer programs than no control at all,
/// or that delays urgent programs.
#[rstest]
#[case::burst_of_other_programs(360, 200, [3, 7], [95.0, 75.0], [95.0, 400.0])]
#[case::burst_of_urgent_programs(360, 200, [3, 7], [95.0, 75.0], [450.0, 75.0])]
#[case::burst_of_both_ranks(360, 200, [3, 7], [95.0, 75.0], [200.0, 300.0])]
#[case::one_engine(8, 100, [2, 2], [8.0, 8.0], [8.0, 80.0])]
#[case::many_engines_with_long_turns(2_400, 800, [4, 4], [150.0, 150.0], [150.0, 900.0])]
fn admission_control_completes_more_programs_in_an_overload(
    #[case] slots: usize,
    #[case] turn_milliseconds: u64,
    #[case] turns: [u32; 2],
    #[case] usual: [f64; 2],
    #[case] burst: [f64; 2],
) {
    let load = Load {
        slots,
        turn_milliseconds,
        turns,
        usual,
        burst,
    };
    let (all, limited) = (replay(load, false), replay(load, true));
    println!("all admitted {all:?}, limited {limited:?}");
    let in_time = |outcome: &Outcome| outcome.in_time.iter().sum::<u32>();
    assert!(in_time(&limited) > in_time(&all), "{all:?} {limited:?}");
    assert!(
        limited.in_time_share(0) >= all.in_time_share(0),
        "{limited:?}"
    );
    assert!(limited.in_time_share(0) > 0.99, "{limited:?}");
    assert!(
        limited.in_time_share(0) >= limited.in_time_share(1),
        "{limited:?}"
    );
    let timed_out = limited.timed_out.iter().sum::<u32>();
    let offered = limited.offered.iter().sum::<u32>();
    assert!(
        timed_out * 100 < offered,
        "admitted programs time out: {limited:?}"
    );
}

#[rstest]
#[case::half_full([60.0, 60.0])]
#[case::only_other_programs([0.0, 240.0])]
#[case::only_urgent_programs([240.0, 0.0])]
fn a_load_below_the_capacity_is_not_rejected(#[case] rates: [f64; 2]) {
    let load = Load {
        slots: 300,
        turn_milliseconds: 200,
        turns: [5, 5],
        usual: rates,
        burst: rates,
    };
    let (all, limited) = (replay(load, false), replay(load, true));
    assert_eq!(limited.in_time, all.in_time);
}

proptest! {
    #[test]
    fn all_programs_are_admitted_while_a_slot_is_free(
        slots in 1..10_000_u32, free in 1..100_u32, order in 0.0..1.0,
    ) {
        let competing_turns = slots.saturating_sub(free);
        let load = EngineLoad { slots, competing_turns };
        prop_assert_eq!(load.decide(order), AdmissionDecision::Admitted);
    }

    /// Fronts with the same counts admit programs in the same order, and no program where
    /// they would reject a more urgent one.
    #[test]
    fn fronts_admit_programs_in_one_order(
        slots in 1..1_000_u32, competing_turns in 0..2_000_u32, less_urgent in 0..1_000_u32,
        order in 0.0..1.0, later in 0.0..1.0,
    ) {
        let urgent = EngineLoad { slots, competing_turns };
        let other = EngineLoad { slots, competing_turns: competing_turns + less_urgent };
        prop_assert!(urgent.admitted_share() >= other.admitted_share());
        if order < later && other.decide(later) == AdmissionDecision::Admitted {
            prop_assert_eq!(other.decide(order), AdmissionDecision::Admitted);
        }
        if let AdmissionDecision::Rejected(retry_after) = other.decide(order) {
            prop_assert!(retry_after <= Duration::from_secs(1), "callers ignore longer delays");
        }
    }
}

#[test]
fn a_service_without_engine_slots_rejects_no_programs() {
    assert_eq!(
        EngineLoad::default().decide(0.9),
        AdmissionDecision::Admitted
    );
}
