//! Chooses a replica for a request. Pure functions without I/O.

use stageyoke_types::hash::{self, mix};

use crate::engine_rates::CurrentRates;

/// State of one replica at the time of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the replica's incarnation.
    pub hash: u64,
    /// Whether the replica is in this front's zone.
    pub same_zone: bool,
    /// Requests in flight at the replica, as far as this front knows.
    pub in_flight: u32,
    /// Requests that the replica processes concurrently.
    pub slots: u32,
    /// Latency relative to the service's other replicas: 2 means half as fast.
    pub slowdown: f64,
    /// Probability that the replica fails the request, 0 to 1.
    pub failure_probability: f64,
    /// Tokens of the prompt's start that the replica is expected to have cached.
    pub cached_tokens: u32,
    /// Whether the replica belongs to the cell of the request's store group, whose stores
    /// count its requests in flight most accurately.
    pub in_cell: bool,
    /// Whether a reusable connection to the replica is idle.
    pub has_idle_connection: bool,
    /// Whether the replica has just started and bears little load.
    pub cold: bool,
    /// Whether the replica may be chosen.
    pub eligible: bool,
}

/// Upper bound of the failure probability, so that the expected number of attempts stays
/// finite.
const MAX_FAILURE_PROBABILITY: f64 = 0.9;
/// Cost of sending a request to another zone, in milliseconds.
const REMOTE_ZONE_COST_MS: f64 = 4.0;
/// Cost of opening a new connection, in milliseconds.
const CONNECT_COST_MS: f64 = 3.0;
/// Load penalty for a replica without an idle connection, in requests in flight.
const CONNECT_PENALTY: f64 = 0.8;
/// Bonus for a program's home engine while no engine has cached most of the prompt: at
/// least this many milliseconds, or this fraction of the time to prefill the whole prompt.
const MIN_HOME_BONUS_MS: f64 = 10.0;
const HOME_BONUS_FRACTION: f64 = 0.6;
/// Number of eligible engines from which a zone hosts the home engines of its own programs.
/// In a smaller zone, a burst would overload some homes while engines of other zones are
/// idle.
const MIN_ZONE_ENGINES: usize = 8;
/// Load penalty for a replica in another zone, in requests in flight.
const REMOTE_ZONE_PENALTY: f64 = 2.5;

/// Excludes cold replicas while a warm one has a free slot.
pub fn prefer_warm(candidates: &mut [Candidate]) {
    let has_room = candidates.iter().any(|candidate| {
        candidate.eligible && !candidate.cold && candidate.in_flight < candidate.slots
    });
    for candidate in candidates.iter_mut().filter(|_| has_room) {
        candidate.eligible &= !candidate.cold;
    }
}

/// Chooses a model engine by the lowest cost: the expected duration of the turn plus the
/// delay that it causes to concurrent turns, estimated from the learned rates. Fronts that
/// know nothing about a program agree on its home engine, which is selected by the
/// program's hash.
pub fn choose_engine(
    candidates: &[Candidate],
    prompt_tokens: u32,
    affinity: u64,
    rates: &CurrentRates,
) -> Option<usize> {
    let cell_has_free_slot = candidates.iter().any(|candidate| {
        candidate.in_cell && candidate.eligible && candidate.in_flight < candidate.slots
    });
    let is_allowed = |candidate: &Candidate| {
        let has_cached_most = candidate.cached_tokens * 2 > prompt_tokens;
        candidate.eligible && (!cell_has_free_slot || candidate.in_cell || has_cached_most)
    };
    let home = home_engine(candidates, affinity)?;
    let cached = candidates.iter().map(|candidate| candidate.cached_tokens);
    let any_has_cached_most = cached.max().unwrap_or_default() * 2 > prompt_tokens;
    let home_bonus = match any_has_cached_most {
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
        .filter(|(_, candidate)| is_allowed(candidate))
        .min_by(|(one, first), (other, second)| cost(*one, first).total_cmp(&cost(*other, second)))
        .map(|(index, _)| index)
}

/// Returns the cost of a turn on an engine in milliseconds: its own duration, plus the
/// delay of concurrent turns, which all pause during prefill. The learned contention
/// already includes their prefill, so it is not added again.
fn turn_cost(candidate: &Candidate, prompt_tokens: u32, rates: &CurrentRates) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let in_flight = f64::from(candidate.in_flight);
    let concurrent = in_flight.min(slots - 1.0);
    let uncached = prompt_tokens.saturating_sub(candidate.cached_tokens);
    let prefill = f64::from(uncached) * rates.prefill_ms;
    // With every slot busy, one frees up each turn duration divided by the number of slots.
    let queued = (in_flight + 1.0 - slots).max(0.0);
    let waiting = queued / slots * rates.turn_time(slots - 1.0);
    let duration = prefill + rates.turn_time(concurrent) + waiting;
    (duration * expected_attempts(candidate) + concurrent * prefill) * candidate.slowdown
}

/// Returns the expected number of attempts until the request succeeds. Without this factor,
/// a replica that truncates its responses would look idle and attract work.
fn expected_attempts(candidate: &Candidate) -> f64 {
    1.0 / (1.0 - candidate.failure_probability.min(MAX_FAILURE_PROBABILITY))
}

fn network_cost(candidate: &Candidate) -> f64 {
    let zone_cost = if candidate.same_zone {
        0.0
    } else {
        REMOTE_ZONE_COST_MS
    };
    let connect_cost = if candidate.has_idle_connection {
        0.0
    } else {
        CONNECT_COST_MS
    };
    zone_cost + connect_cost
}

/// Selects a program's home engine by rendezvous hashing. Only engines of the front's own
/// zone take part if there are enough of them, which saves connections and cross-zone round
/// trips.
fn home_engine(candidates: &[Candidate], affinity: u64) -> Option<usize> {
    let has_cell = candidates
        .iter()
        .any(|candidate| candidate.in_cell && candidate.eligible);
    let is_reachable = |candidate: &Candidate| candidate.in_cell || !has_cell;
    let in_own_zone = |candidate: &Candidate| {
        candidate.same_zone && candidate.eligible && is_reachable(candidate)
    };
    let zone_engines = candidates
        .iter()
        .filter(|candidate| in_own_zone(candidate))
        .count();
    let zone_only = zone_engines >= MIN_ZONE_ENGINES;
    choose_by_hash(candidates, affinity, |candidate| {
        is_reachable(candidate) && (candidate.same_zone || !zone_only)
    })
}

/// Chooses a replica of a plain service: the one with the lowest load, counting this
/// request and weighting by slowdown, with penalties for remote zones and new connections.
pub fn choose_plain(candidates: &[Candidate], tie_breaker: u64) -> Option<usize> {
    least_loaded(candidates, tie_breaker)
}

fn choose_by_hash(
    candidates: &[Candidate],
    affinity: u64,
    is_allowed: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.eligible && is_allowed(candidate))
        .max_by_key(|(_, candidate)| mix(candidate.hash ^ affinity))
        .map(|(index, _)| index)
}

fn least_loaded(candidates: &[Candidate], tie_breaker: u64) -> Option<usize> {
    let load = |candidate: &Candidate| {
        let zone_penalty = if candidate.same_zone {
            0.0
        } else {
            REMOTE_ZONE_PENALTY
        };
        let connect_penalty = match candidate.has_idle_connection {
            true => 0.0,
            false => CONNECT_PENALTY,
        };
        let work = (f64::from(candidate.in_flight) + 1.0) * candidate.slowdown;
        (work + zone_penalty + connect_penalty) / f64::from(candidate.slots.max(1))
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.eligible)
        .min_by(|(_, one), (_, other)| {
            load(one)
                .total_cmp(&load(other))
                .then_with(|| mix(one.hash ^ tie_breaker).cmp(&mix(other.hash ^ tie_breaker)))
        })
        .map(|(index, _)| index)
}

/// Hashes a text with a function that is the same on all processes.
pub fn hash_text(text: &str) -> u64 {
    hash::fnv1a(text.bytes())
}
