//! Chooses a replica. Pure.

use stageyoke_types::hash::{self, mix};

use crate::engine_rates::CurrentRates;

/// What is known of one replica at the moment of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the replica's identifier.
    pub hash: u64,
    /// Whether it is in this front's zone.
    pub same_zone: bool,
    /// Requests of this front that it works on.
    pub in_flight: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its deviation from the service's rates: 2 means half as fast.
    pub slowdown: f64,
    /// Likelihood that it fails the request, 0 to 1.
    pub failure_probability: f64,
    /// Tokens from the prompt's start that it is believed to hold.
    pub cached_tokens: u32,
    /// Whether it serves the programs of the request's store group first: what
    /// is in flight there is known best.
    pub in_cell: bool,
    /// Whether a kept connection to it is free.
    pub has_idle_connection: bool,
    /// Whether it may be chosen at all.
    pub eligible: bool,
}

/// Likelihood of failure that is counted at most.
const MAX_FAILURE_PROBABILITY: f64 = 0.9;
/// Milliseconds that another zone costs.
const REMOTE_ZONE_COST_MS: f64 = 4.0;
/// Milliseconds that a new connection costs.
const CONNECT_COST_MS: f64 = 3.0;
/// Requests in flight that a replica without a free connection counts as
/// having more.
const CONNECT_PENALTY: f64 = 0.8;
/// What the engine gets that the program's hash ranks first, where no engine is
/// known to hold the program's prompt: at least this many milliseconds, or this
/// part of reading all of it.
const MIN_HOME_BONUS_MS: f64 = 10.0;
const HOME_BONUS_FRACTION: f64 = 0.6;
/// Engines from which on a zone's programs have their homes in the zone. With
/// fewer, a burst finds some homes full while other zones' engines are free.
const MIN_ZONE_ENGINES: usize = 8;
/// Requests in flight that a replica of another zone counts as having more.
const REMOTE_ZONE_PENALTY: f64 = 2.5;

/// Chooses a model engine: the least time that the turn takes there together
/// with the time that it takes from the turns beside it, by the rates learnt
/// from earlier turns. Fronts that know nothing of a program agree on its home,
/// the engine that its hash ranks first.
pub fn choose_engine(
    candidates: &[Candidate],
    prompt_tokens: u32,
    affinity: u64,
    rates: &CurrentRates,
) -> Option<usize> {
    let cell_has_room = candidates.iter().any(|candidate| {
        candidate.in_cell && candidate.eligible && candidate.in_flight < candidate.slots
    });
    let allowed = |candidate: &Candidate| {
        let holds_most = candidate.cached_tokens * 2 > prompt_tokens;
        candidate.eligible && (!cell_has_room || candidate.in_cell || holds_most)
    };
    let home = home_engine(candidates, affinity)?;
    let known = candidates.iter().map(|candidate| candidate.cached_tokens);
    let someone_holds_most = known.max().unwrap_or_default() * 2 > prompt_tokens;
    let home_bonus = match someone_holds_most {
        true => 0.0,
        false => {
            MIN_HOME_BONUS_MS.max(HOME_BONUS_FRACTION * f64::from(prompt_tokens) * rates.prefill_ms)
        }
    };
    let cost = |index: usize, candidate: &Candidate| {
        let bonus = if index == home { home_bonus } else { 0.0 };
        turn_cost(candidate, prompt_tokens, rates) + network_cost(candidate) - bonus
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| allowed(candidate))
        .min_by(|(one, first), (other, second)| cost(*one, first).total_cmp(&cost(*other, second)))
        .map(|(index, _)| index)
}

/// Milliseconds that a turn takes on an engine, and takes from those beside it,
/// all of which its reading stops. The learnt contention is that of reading
/// beside a turn too, so it is not charged for those beside once more.
fn turn_cost(candidate: &Candidate, prompt_tokens: u32, rates: &CurrentRates) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let in_flight = f64::from(candidate.in_flight);
    let beside = in_flight.min(slots - 1.0);
    let missing = prompt_tokens.saturating_sub(candidate.cached_tokens);
    let reading = f64::from(missing) * rates.prefill_ms;
    // One slot gets free in a turn's time divided by the slots.
    let ahead = (in_flight + 1.0 - slots).max(0.0);
    let waiting = ahead / slots * rates.turn_time(slots - 1.0);
    let own = reading + rates.turn_time(beside) + waiting;
    (own * expected_attempts(candidate) + beside * reading) * candidate.slowdown
}

/// Tries until the request succeeds, as far as the likelihood tells. A replica
/// that cuts answers short looks idle, and would draw work otherwise.
fn expected_attempts(candidate: &Candidate) -> f64 {
    1.0 / (1.0 - candidate.failure_probability.min(MAX_FAILURE_PROBABILITY))
}

fn network_cost(candidate: &Candidate) -> f64 {
    let way = if candidate.same_zone {
        0.0
    } else {
        REMOTE_ZONE_COST_MS
    };
    let connection = if candidate.has_idle_connection {
        0.0
    } else {
        CONNECT_COST_MS
    };
    way + connection
}

/// The engine that a program's hash ranks first: among the zone's own, which
/// spares connections and the way, where they are enough for the zone's bursts.
fn home_engine(candidates: &[Candidate], affinity: u64) -> Option<usize> {
    let divided = candidates
        .iter()
        .any(|candidate| candidate.in_cell && candidate.eligible);
    let in_reach = |candidate: &Candidate| candidate.in_cell || !divided;
    let own =
        |candidate: &Candidate| candidate.same_zone && candidate.eligible && in_reach(candidate);
    let own_engines = candidates.iter().filter(|candidate| own(candidate)).count();
    let zone_only = own_engines >= MIN_ZONE_ENGINES;
    best_by_affinity(candidates, affinity, |candidate| {
        in_reach(candidate) && (candidate.same_zone || !zone_only)
    })
}

/// Chooses a replica of a plain service: the one with the least work, the request
/// itself included, as fast as it does it; nearest first.
pub fn choose_plain(candidates: &[Candidate], tie: u64) -> Option<usize> {
    least_loaded(candidates, tie)
}

fn best_by_affinity(
    candidates: &[Candidate],
    affinity: u64,
    fits: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.eligible && fits(candidate))
        .max_by_key(|(_, candidate)| mix(candidate.hash ^ affinity))
        .map(|(index, _)| index)
}

fn least_loaded(candidates: &[Candidate], tie: u64) -> Option<usize> {
    let load = |candidate: &Candidate| {
        let handicap = if candidate.same_zone {
            0.0
        } else {
            REMOTE_ZONE_PENALTY
        };
        let connection = match candidate.has_idle_connection {
            true => 0.0,
            false => CONNECT_PENALTY,
        };
        let work = (f64::from(candidate.in_flight) + 1.0) * candidate.slowdown;
        (work + handicap + connection) / f64::from(candidate.slots.max(1))
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.eligible)
        .min_by(|(_, one), (_, other)| {
            load(one)
                .total_cmp(&load(other))
                .then_with(|| mix(one.hash ^ tie).cmp(&mix(other.hash ^ tie)))
        })
        .map(|(index, _)| index)
}

/// Hash of a text.
pub fn hash_text(text: &str) -> u64 {
    hash::fnv1a(text.bytes())
}
