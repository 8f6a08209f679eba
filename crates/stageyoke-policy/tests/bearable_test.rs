//! What programs bear, learnt from those that ended.

use std::time::Duration;

use stageyoke_policy::bearable::{BearablePaces, Turn};

const KIND: u64 = 1;
const SERVICE: u64 = 2;

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Plays programs of two turns of 400 ms and 200 tokens each, with 200 ms between them,
/// one after the other; returns when the last has ended.
fn play(paces: &mut BearablePaces, programs: u64, allotted: Duration) -> Duration {
    let turn = Turn {
        took: milliseconds(400),
        tokens: 200,
    };
    for program in 0..programs {
        let began = milliseconds(program * 1_000);
        paces.begin(program, KIND, allotted, began);
        for end in [400, 1_000] {
            paces.turn_ended(program, SERVICE, &turn, began + milliseconds(end));
        }
    }
    milliseconds(programs * 1_000)
}

/// Of 1,800 ms, 200 pass outside of engines; 400 tokens in 1,600 ms are 4 ms each.
#[test]
fn programs_bear_the_pace_that_uses_up_their_allotted_time() {
    let mut paces = BearablePaces::default();
    let ended = play(&mut paces, 20, milliseconds(1_800));
    paces.begin(99, KIND, milliseconds(1_800), ended + milliseconds(4_000));
    let bearable = paces.of_kind(KIND).expect("programs have ended");
    assert!((bearable.pace - 4.0).abs() < 1e-6, "{bearable:?}");
    assert_eq!(bearable.length, milliseconds(1_000));
}

/// A few programs, or none that has ended, show nothing: nobody is refused by them.
#[test]
fn few_programs_show_nothing() {
    let mut paces = BearablePaces::default();
    let ended = play(&mut paces, 5, milliseconds(1_800));
    paces.begin(99, KIND, milliseconds(1_800), ended + milliseconds(4_000));
    assert_eq!(paces.of_kind(KIND), None);
}

/// A program that failed was held up by other things than engines' load.
#[test]
fn programs_that_failed_show_nothing() {
    let mut paces = BearablePaces::default();
    for program in 0..20 {
        let now = milliseconds(program * 1_000);
        paces.begin(program, KIND, milliseconds(1_800), now);
        let turn = Turn {
            took: milliseconds(400),
            tokens: 200,
        };
        paces.turn_ended(program, SERVICE, &turn, now + turn.took);
        paces.forget(program);
    }
    paces.begin(99, KIND, milliseconds(1_800), milliseconds(24_000));
    assert_eq!(paces.of_kind(KIND), None);
}

/// The pace follows a burst within a second and is unknown once no turn ends.
#[test]
fn the_pace_is_that_of_the_last_turns() {
    let mut paces = BearablePaces::default();
    for (took, from) in [(200, 0), (800, 2_000)] {
        for number in 0..20 {
            let turn = Turn {
                took: milliseconds(took),
                tokens: 100,
            };
            let now = milliseconds(from + number * 50);
            paces.turn_ended(number, SERVICE, &turn, now);
        }
    }
    let pace = paces.pace(SERVICE, milliseconds(2_950)).expect("turns");
    assert!((7.5..8.0).contains(&pace), "{pace}");
    assert_eq!(paces.pace(SERVICE, milliseconds(9_000)), None);
}
