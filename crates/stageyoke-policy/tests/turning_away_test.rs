//! Replay of a load: programs of two kinds come 2.1 times as often for six seconds,
//! which is more than the engines bear. Each turn then takes twice as long, so that
//! half of the programs begun in those seconds ended late, though engines could have
//! ended four in five in time. Ways to begin programs play the same arrivals.

mod burst;

use burst::{Seen, Way, play};

const SEEDS: u64 = 6;

fn played(way: Way) -> Seen {
    let mut sum = Seen::default();
    for seed in 0..SEEDS {
        sum.add(&play(way, seed));
    }
    println!("{way:?}: {sum:?}");
    sum
}

/// Refusing few first turns at once, with returns spread, lets more programs end in
/// time than it refuses.
#[test]
fn a_burst_that_is_turned_away_in_part_ends_in_time() {
    let all = played(Way::Begin);
    let spread = played(Way::TurnAway { spread: true });
    let in_time = spread.in_time - all.in_time;
    assert!(in_time > spread.refused, "{all:?} {spread:?}");
    assert!(spread.late * 3 < all.late * 2, "{all:?} {spread:?}");
    assert!(spread.worth(0.1) > all.worth(0.1), "{all:?} {spread:?}");
    assert!(spread.worth(0.3) > all.worth(0.3), "{all:?} {spread:?}");
}

/// Returns after one constant time are refused more often than spread ones.
#[test]
fn spread_returns_are_refused_less_often() {
    let constant = played(Way::TurnAway { spread: false });
    let spread = played(Way::TurnAway { spread: true });
    assert!(
        spread.refusals < constant.refusals,
        "{constant:?} {spread:?}"
    );
}

/// What waits at a front for room runs later all the same: too late for its caller, and
/// in the place of others.
#[test]
fn programs_that_are_held_run_in_vain_more_often() {
    let held = played(Way::Hold);
    let spread = played(Way::TurnAway { spread: true });
    assert!(held.too_late > spread.too_late * 2, "{held:?} {spread:?}");
    assert!(spread.in_time >= held.in_time, "{held:?} {spread:?}");
}

/// Without a burst nothing is refused.
#[test]
fn a_calm_time_refuses_nothing() {
    for seed in 0..SEEDS {
        let seen = burst::play_calm(Way::TurnAway { spread: true }, seed);
        assert_eq!(seen.refusals, 0, "{seen:?}");
    }
}
