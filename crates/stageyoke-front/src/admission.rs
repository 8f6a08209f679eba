//! When a turn is offered to an engine: at once, or after those of programs that
//! can still end in time. Engines admit in the order of arrival and know no
//! urgency, so whoever has none waits here. Pure.

use std::time::Duration;

use crate::engine_rates::CurrentRates;
use crate::placement::Candidate;

/// An engine is crowded where a turn takes this many times as long as on an
/// idle one.
const CROWDED_STRETCH: f64 = 1.4;
/// The longest that a turn waits for room: late programs are put behind, not
/// starved.
pub const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Part of a request's own time that it waits for room at most.
pub const LONGEST_WAIT_PART: f64 = 0.25;
/// Pause between two looks at the engines' load.
pub const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// What can still become of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prospect {
    /// It can end in time, as far as is known.
    InTime,
    /// It is late, or will be when this turn ends.
    Late,
}

/// Prospect of a program whose time is up in `left`, if one was set.
pub fn prospect(left: Option<Duration>, rates: &CurrentRates) -> Prospect {
    let least = Duration::from_secs_f64(rates.turn_beside(0.0) / 1e3);
    match left {
        Some(left) if left < least => Prospect::Late,
        Some(_) | None => Prospect::InTime,
    }
}

/// Whether every engine that may be chosen is crowded.
pub fn all_crowded(candidates: &[Candidate], rates: &CurrentRates) -> bool {
    let most = rates.turn_beside(0.0) * CROWDED_STRETCH;
    let crowded = |candidate: &Candidate| {
        let full = candidate.in_flight >= candidate.slots;
        full || rates.turn_beside(f64::from(candidate.in_flight)) * candidate.slowness > most
    };
    candidates
        .iter()
        .filter(|candidate| candidate.usable)
        .all(crowded)
}
