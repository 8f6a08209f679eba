//! Simulates how accurately quota owners enforce a tenant's limit, at which message cost, and
//! what owner failures and restarts add. Fronts detect silent owners by a timeout. Three owners
//! count, as where two machines may be lost, and a fourth is on standby.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stageyoke_policy::quota::{AcquireRequest, QuotaDecision, QuotaLedger, QuotaTolerance};
use stageyoke_policy::token_bucket::RateLimit;
use stageyoke_store::frame;
use stageyoke_store::message::{Numbered, QuotaReply, QuotaRequest, Reply, Request};

const WINDOW_MICROSECONDS: u64 = 5_000_000;
const SIMULATED_TIME_MICROSECONDS: u64 = 20_000_000;
/// Minimum and maximum network delay between zones, one way.
const ONE_WAY_DELAY_MICROSECONDS: (u64, u64) = (200, 3_000);
/// How long a front waits for an owner's answer.
const ANSWER_TIMEOUT_MICROSECONDS: u64 = 60_000;
/// How long a front prefers other owners after a timeout.
const DISTRUST_MICROSECONDS: u64 = 1_000_000;
/// When the failing owners stop and restart, both during the overload.
const FAILURE_TIME_MICROSECONDS: u64 = 8_000_000;
const RESTART_TIME_MICROSECONDS: u64 = 10_500_000;
/// Owners that count grants, and all owners with the standby.
const COUNTING_OWNERS: usize = 3;
const TOTAL_OWNERS: usize = 4;
const SEEDS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum ArrivalPattern {
    /// Below the limit, at any front.
    BelowLimit,
    /// Several times the limit for 6.5 s.
    Overload,
    /// As `Overload`, with all requests of that time at an eighth of the fronts.
    OverloadAtFewFronts,
    /// Exactly at the limit.
    AtLimit,
    /// Ten times the limit in the first 100 ms of each second.
    Bursts,
}

/// Which owners fail during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OwnerFailure {
    NoFailure,
    /// The first owner fails.
    OneFails,
    /// The first two fail at once.
    TwoFail,
    /// The first two fail at once and restart empty 2.5 s later.
    TwoRestart,
}

impl OwnerFailure {
    /// Returns how often another owner takes over.
    fn owner_changes(self) -> i64 {
        match self {
            Self::NoFailure => 0,
            Self::OneFails | Self::TwoFail => 1,
            Self::TwoRestart => 2,
        }
    }

    fn is_silent(self, owner: usize, at: u64) -> bool {
        match self {
            Self::NoFailure => false,
            Self::OneFails => owner < 1 && at >= FAILURE_TIME_MICROSECONDS,
            Self::TwoFail => owner < 2 && at >= FAILURE_TIME_MICROSECONDS,
            Self::TwoRestart => {
                owner < 2 && (FAILURE_TIME_MICROSECONDS..RESTART_TIME_MICROSECONDS).contains(&at)
            }
        }
    }
}

/// Progress of one quota request through the owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct QuotaLookup {
    front: usize,
    counting_owners: usize,
    asked_owners: [bool; TOTAL_OWNERS],
    undecided_owners: [bool; TOTAL_OWNERS],
}

impl QuotaLookup {
    /// Returns the owner to ask next and whether the request is forced, as `quota_owners` does.
    fn next_owner(&self, distrusted_until: &[u64; TOTAL_OWNERS], at: u64) -> Option<(usize, bool)> {
        let is_unasked = |owner: &usize| !self.asked_owners[*owner];
        let is_trusted = |owner: &usize| distrusted_until[*owner] <= at;
        let trusted =
            (0..self.counting_owners).find(|owner| is_unasked(owner) && is_trusted(owner));
        let undecided = (0..self.counting_owners).find(|owner| self.undecided_owners[*owner]);
        let standby = (self.counting_owners..=self.counting_owners).find(is_unasked);
        let unasked = (0..self.counting_owners).find(is_unasked);
        let forced = undecided.or(standby).or(unasked).map(|owner| (owner, true));
        trusted.map(|owner| (owner, false)).or(forced)
    }
}

impl ArrivalPattern {
    /// Returns the highest arrival rate as a multiple of the limit's rate.
    fn peak_factor(self) -> f64 {
        match self {
            Self::BelowLimit => 0.6,
            Self::AtLimit => 1.0,
            Self::Overload | Self::OverloadAtFewFronts => 4.7,
            Self::Bursts => 10.0,
        }
    }
}

/// A request's arrival time in microseconds, and its front.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    front: usize,
}

fn arrivals(pattern: ArrivalPattern, limit: RateLimit, fronts: usize, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for at in 0..SIMULATED_TIME_MICROSECONDS / 1_000 {
        let overloaded = (5_000..11_500).contains(&at);
        let factor = match pattern {
            ArrivalPattern::BelowLimit => 0.6,
            ArrivalPattern::AtLimit => 1.0,
            ArrivalPattern::Overload | ArrivalPattern::OverloadAtFewFronts if overloaded => 4.7,
            ArrivalPattern::Overload | ArrivalPattern::OverloadAtFewFronts => 0.6,
            ArrivalPattern::Bursts if at % 1_000 < 100 => 10.0,
            ArrivalPattern::Bursts => 0.0,
        };
        let receiving_fronts = match pattern {
            ArrivalPattern::OverloadAtFewFronts if overloaded => fronts.div_ceil(8),
            _ => fronts,
        };
        let mut expected = limit.per_second * factor / 1_000.0;
        while expected > 0.0 {
            if random.random_bool(expected.min(1.0)) {
                let at = at * 1_000 + random.random_range(0..1_000);
                let front = random.random_range(0..receiving_fronts);
                requests.push(Arrival { at, front });
            }
            expected -= 1.0;
        }
    }
    requests
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// Failed owners restart empty.
    OwnersRestart,
    /// A front sends a quota request to the first or the next owner.
    SendRequest(QuotaLookup),
    /// A request reaches the owner with this index. If the flag is set, the owner must
    /// decide even if it does not know the whole window.
    RequestArrives(QuotaLookup, usize, bool),
    /// Another owner's grant reaches this owner.
    GrantReported(usize),
}

#[derive(Debug, Default)]
struct Outcome {
    requested: usize,
    granted: usize,
    refused: usize,
    /// Refusals while the grants within the window were below the limit.
    wrongly_refused: usize,
    /// Grants fewer than an exact central count would give.
    missing_grants: i64,
    /// Executed requests above the limit, in the worst window.
    excess: i64,
    /// Messages from and to fronts.
    messages: usize,
    bytes: usize,
}

/// Returns the encoded sizes of a request, its reply, a reported grant and its acknowledgement.
fn message_sizes() -> [usize; 4] {
    let quota_request = QuotaRequest::from(quota_request(limit(22.0)));
    let number = u64::from(u32::MAX);
    let request_size = |content| frame::encode(&Numbered { number, content }).len();
    let reply_size = |content| frame::encode(&Numbered { number, content }).len();
    [
        request_size(Request::Quota(quota_request)),
        reply_size(Reply::Quota(QuotaReply::default())),
        request_size(Request::QuotaGranted(quota_request)),
        reply_size(Reply::Pong),
    ]
}

fn limit(rate: f64) -> RateLimit {
    RateLimit {
        per_second: rate,
        burst: rate,
    }
}

fn quota_request(limit: RateLimit) -> AcquireRequest {
    AcquireRequest {
        tenant: 1,
        program: 0,
        limit,
        version: 1,
        standby: false,
    }
}

/// Converts simulated time to ledger time, at which the owners have counted for long.
fn ledger_time(at: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_micros(at)
}

fn allowed_in_window(limit: RateLimit) -> usize {
    (limit.per_second * 5.0 + limit.burst).ceil() as usize
}

fn max_in_any_window(times: &mut [u64]) -> usize {
    times.sort_unstable();
    let mut first = 0;
    let mut max_requests = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + WINDOW_MICROSECONDS <= *at {
            first += 1;
        }
        max_requests = max_requests.max(last + 1 - first);
    }
    max_requests
}

/// Returns the grants of a central count without any delay.
fn exact_grants(requests: &[Arrival], limit: RateLimit) -> usize {
    let mut recent_grants: VecDeque<u64> = VecDeque::new();
    let mut granted = 0;
    let mut times: Vec<u64> = requests.iter().map(|request| request.at).collect();
    times.sort_unstable();
    for at in times {
        while recent_grants
            .front()
            .is_some_and(|first| *first + WINDOW_MICROSECONDS <= at)
        {
            recent_grants.pop_front();
        }
        if recent_grants.len() < allowed_in_window(limit) {
            recent_grants.push_back(at);
            granted += 1;
        }
    }
    granted
}

/// A tenant's limit with the fronts and owners that share it.
#[derive(Clone, Copy, Debug)]
struct Load {
    limit: RateLimit,
    fronts: usize,
    counting_owners: usize,
}

fn new_ledger() -> QuotaLedger {
    QuotaLedger::default().with_tolerance(QuotaTolerance {
        window: Duration::from_micros(WINDOW_MICROSECONDS),
        excess: 0.0,
        slack: 0.0,
    })
}

fn simulate(requests: &[Arrival], load: Load, failure: OwnerFailure, seed: u64) -> Outcome {
    let Load {
        limit,
        fronts,
        counting_owners,
    } = load;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x51);
    let mut one_way_delay =
        move || random.random_range(ONE_WAY_DELAY_MICROSECONDS.0..ONE_WAY_DELAY_MICROSECONDS.1);
    let mut owners = [(); TOTAL_OWNERS].map(|()| new_ledger());
    let mut distrusted_until = vec![[0_u64; TOTAL_OWNERS]; fronts];
    let mut recent_grants: VecDeque<u64> = VecDeque::new();
    let mut execution_times: Vec<u64> = Vec::new();
    let mut outcome = Outcome::default();
    let [
        request_bytes,
        reply_bytes,
        grant_bytes,
        acknowledgement_bytes,
    ] = message_sizes();
    let quota_request = quota_request(limit);
    let mut events = BinaryHeap::new();
    events.push(Reverse((
        RESTART_TIME_MICROSECONDS,
        SimulationEvent::OwnersRestart,
    )));
    for request in requests {
        outcome.requested += 1;
        let lookup = QuotaLookup {
            front: request.front,
            counting_owners,
            ..QuotaLookup::default()
        };
        events.push(Reverse((request.at, SimulationEvent::SendRequest(lookup))));
    }
    while let Some(Reverse((at, event))) = events.pop() {
        match event {
            SimulationEvent::OwnersRestart if failure == OwnerFailure::TwoRestart => {
                for owner in &mut owners[..2] {
                    *owner = new_ledger();
                    owner.handle_owner_change(ledger_time(at));
                }
            }
            SimulationEvent::OwnersRestart => {}
            SimulationEvent::SendRequest(mut lookup) => {
                let Some((owner, forced)) = lookup.next_owner(&distrusted_until[lookup.front], at)
                else {
                    outcome.refused += 1;
                    continue;
                };
                lookup.asked_owners[owner] = true;
                lookup.undecided_owners[owner] = false;
                outcome.messages += 1;
                outcome.bytes += request_bytes;
                let arrival = SimulationEvent::RequestArrives(lookup, owner, forced);
                events.push(Reverse((at + one_way_delay(), arrival)));
            }
            SimulationEvent::RequestArrives(lookup, owner, _) if failure.is_silent(owner, at) => {
                let timed_out_at = at + ANSWER_TIMEOUT_MICROSECONDS;
                distrusted_until[lookup.front][owner] = timed_out_at + DISTRUST_MICROSECONDS;
                events.push(Reverse((
                    timed_out_at,
                    SimulationEvent::SendRequest(lookup),
                )));
            }
            SimulationEvent::RequestArrives(mut lookup, owner, forced) => {
                outcome.messages += 1;
                outcome.bytes += reply_bytes;
                if !forced && !owners[owner].has_full_window(quota_request.tenant, ledger_time(at))
                {
                    lookup.undecided_owners[owner] = true;
                    events.push(Reverse((
                        at + one_way_delay(),
                        SimulationEvent::SendRequest(lookup),
                    )));
                    continue;
                }
                while recent_grants
                    .front()
                    .is_some_and(|first| *first + WINDOW_MICROSECONDS <= at)
                {
                    recent_grants.pop_front();
                }
                let owner_request = AcquireRequest {
                    standby: owner >= counting_owners,
                    ..quota_request
                };
                if owners[owner].acquire(&owner_request, ledger_time(at)) != QuotaDecision::Granted
                {
                    outcome.refused += 1;
                    outcome.wrongly_refused +=
                        usize::from(recent_grants.len() < allowed_in_window(limit));
                    continue;
                }
                outcome.granted += 1;
                recent_grants.push_back(at);
                let answered_at = at + one_way_delay();
                execution_times.push(answered_at);
                for other in (0..counting_owners).filter(|other| *other != owner) {
                    outcome.messages += 2;
                    outcome.bytes += grant_bytes + acknowledgement_bytes;
                    events.push(Reverse((
                        answered_at + one_way_delay(),
                        SimulationEvent::GrantReported(other),
                    )));
                }
            }
            SimulationEvent::GrantReported(owner) if failure.is_silent(owner, at) => {}
            SimulationEvent::GrantReported(owner) => {
                owners[owner].count(&quota_request, ledger_time(at))
            }
        }
    }
    outcome.missing_grants = exact_grants(requests, limit) as i64 - outcome.granted as i64;
    outcome.excess =
        max_in_any_window(&mut execution_times) as i64 - allowed_in_window(limit) as i64;
    outcome
}

/// Prints the worst deviation over the seeds and the message cost per front and request.
#[rstest]
fn a_limit_is_enforced_accurately_for_any_arrival_pattern(
    #[values(9, 73, 300, 840)] fronts: usize,
    #[values(
        ArrivalPattern::BelowLimit,
        ArrivalPattern::Overload,
        ArrivalPattern::OverloadAtFewFronts,
        ArrivalPattern::AtLimit,
        ArrivalPattern::Bursts
    )]
    pattern: ArrivalPattern,
    #[values(22.0, 462.0)] rate: f64,
    #[values(
        OwnerFailure::NoFailure,
        OwnerFailure::OneFails,
        OwnerFailure::TwoFail,
        OwnerFailure::TwoRestart
    )]
    failure: OwnerFailure,
) {
    let limit = limit(rate);
    let load = Load {
        limit,
        fronts,
        counting_owners: COUNTING_OWNERS,
    };
    let mut worst = Outcome::default();
    for seed in 0..SEEDS {
        let requests = arrivals(pattern, limit, fronts, seed);
        let outcome = simulate(&requests, load, failure, seed);
        worst.excess = if seed == 0 {
            outcome.excess
        } else {
            worst.excess.max(outcome.excess)
        };
        worst.wrongly_refused = worst.wrongly_refused.max(outcome.wrongly_refused);
        worst.missing_grants = worst.missing_grants.max(outcome.missing_grants);
        worst.requested += outcome.requested;
        worst.granted += outcome.granted;
        worst.refused += outcome.refused;
        worst.messages += outcome.messages;
        worst.bytes += outcome.bytes;
    }
    let front_seconds = (SIMULATED_TIME_MICROSECONDS / 1_000_000 * SEEDS) as f64 * fronts as f64;
    println!(
        "{fronts} fronts, {rate} requests/s, {pattern:?}, {failure:?}: {} above the limit of {}, \
         missing grants {}, wrongly refused {}, requested {}, refused {}; per front and second: {:.2} messages, \
         {:.0} B; per request: {:.2} messages, {:.0} B",
        worst.excess,
        allowed_in_window(limit),
        worst.missing_grants,
        worst.wrongly_refused,
        worst.requested,
        worst.refused,
        worst.messages as f64 / front_seconds,
        worst.bytes as f64 / front_seconds,
        worst.messages as f64 / worst.requested as f64,
        worst.bytes as f64 / worst.requested as f64,
    );
    // Grants in transit for some milliseconds may fall in one window. The ledger's slots free a
    // window up to 50 ms late.
    let peak_rate = rate * pattern.peak_factor();
    let in_transit = (peak_rate * 0.006).ceil() as i64;
    assert!(worst.excess <= in_transit, "{worst:?}");
    let per_slot = (peak_rate * 0.06).ceil() as i64;
    // A new owner received each grant some milliseconds late.
    assert!(
        worst.missing_grants <= per_slot * (1 + failure.owner_changes()),
        "{worst:?}"
    );
}

/// Checks the simulation itself: it must show the excess when all counting owners fail.
#[test]
fn losing_all_counting_owners_exceeds_the_limit() {
    let load = Load {
        limit: limit(462.0),
        fronts: 73,
        counting_owners: 2,
    };
    let requests = arrivals(ArrivalPattern::Overload, load.limit, load.fronts, 0);
    let outcome = simulate(&requests, load, OwnerFailure::TwoFail, 0);
    println!(
        "two counting owners, both fail: {} above the limit",
        outcome.excess
    );
    assert!(outcome.excess > 250, "{outcome:?}");
}
