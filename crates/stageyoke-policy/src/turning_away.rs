//! Which programs are not begun while engines have more to do than programs bear.
//!
//! The load it answers: a burst in which turns get so slow that many programs end
//! late. A program that is begun then ends late itself and delays those beside it; a
//! turn that is refused later wastes all turns before it. So only first turns are
//! refused, at once, and none while programs still end in time.
//!
//! Which ones: the least urgent kind first; within a kind those whose identifiers'
//! hashes rank lowest. All fronts refuse the same programs so, and one that comes back
//! takes no place from those that began in time.
//!
//! Replayed (2.1 times the usual programs for six seconds, twelve engines, six seeds,
//! `turning_away_test`): 9,049 of 10,051 programs end in time if all are begun, 9,428
//! with this; 1,002 and 339 late, 0 and 65 too late for their callers, 0 and 219 refused.

use std::time::Duration;

/// Pace, as a part of what is bearable, from which on some of a kind are refused, and
/// how much more leads to refusing all of it. The pace tells of load that was there a
/// turn's time ago: in the replay 9,284 programs end in time from 0.75 on, 9,168 from
/// 0.95 on; 8,907 with a narrower ramp (0.7 and 0.3), which refuses all and none by
/// turns.
const FROM: f64 = 0.85;
const RAMP: f64 = 0.4;
/// Part of the engines' places that must be taken before anything is refused: engines
/// that work on fewer turns have room.
const LEAST_TAKEN: f64 = 0.5;
/// Part of a program's length after which the first come back. In the replay 9,767
/// programs are served in time or late with this, 9,680 with none, 9,732 with 1.0;
/// 9,700 if all come back after 250 ms.
const FIRST_RETURN: f64 = 0.5;

/// Engines' load as it is counted now.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Pace of the turns that ended lately, in milliseconds a token.
    pub pace: f64,
    /// Turns under way for each place of the engines.
    pub taken: f64,
}

/// A program that is about to begin.
#[derive(Clone, Copy, Debug)]
pub struct Beginning {
    /// Hash of its identifier.
    pub program: u64,
    /// Pace that programs of its kind bear, in milliseconds a token.
    pub bears: f64,
    /// What programs of its kind take.
    pub length: Duration,
    /// Kinds that are less urgent.
    pub less_urgent: usize,
}

/// When a program that is not begun may come back; none if it is begun.
///
/// Room comes as programs end. The nearer its rank is to those that are begun, the
/// sooner it comes back: returns are spread, and urgent kinds are earlier.
pub fn turned_away(beginning: &Beginning, load: &Load) -> Option<Duration> {
    if load.taken < LEAST_TAKEN {
        return None;
    }
    let refused = refused_part(beginning, load);
    let rank = rank(beginning.program);
    (rank < refused).then(|| beginning.length.mul_f64(FIRST_RETURN + refused - rank))
}

/// Part of a kind's programs that are not begun, 0 to 1. A kind's part rises once that
/// of all less urgent kinds is whole.
fn refused_part(beginning: &Beginning, load: &Load) -> f64 {
    let beyond = load.pace / beginning.bears - FROM;
    let less_urgent = beginning.less_urgent as f64;
    (beyond / RAMP - less_urgent).clamp(0.0, 1.0)
}

/// A program's place in its kind, 0 to 1.
fn rank(program: u64) -> f64 {
    program as f64 / u64::MAX as f64
}
