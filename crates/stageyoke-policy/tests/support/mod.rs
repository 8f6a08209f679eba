//! Simulates the programs of tenants against a request limiter.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stageyoke_policy::token_bucket::RateLimit;

/// Limiter that grants or rejects each request of a program.
pub trait RequestLimiter {
    /// Grants a request, or returns the delay after which the caller may retry.
    fn acquire(&mut self, tenant: u64, program: u64, now: Duration) -> Result<(), Duration>;
}

/// Load of one simulation. Each tenant's limit is 1.6 times its usual request rate.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of tenants; the first one is measured.
    pub tenants: u64,
    /// Rate limit of each tenant.
    pub limit: RateLimit,
    /// Load of the first tenant, as a multiple of its usual load.
    pub load_factor: f64,
    /// Load of each other tenant, as a multiple of its usual load.
    pub other_load_factor: f64,
    /// Length of the simulation.
    pub length_milliseconds: u64,
}

/// Numbers of programs and requests of one tenant.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Programs started early enough to finish within the simulation.
    pub started: usize,
    /// Programs that finished all their requests.
    pub finished: usize,
    /// Programs that were given up after their first request was rejected.
    pub rejected: usize,
    /// Programs that were given up after a later request was rejected.
    pub aborted: usize,
    /// Requests granted.
    pub granted: usize,
    /// Requests granted to programs that were aborted.
    pub wasted: usize,
    /// Largest number of grants within five seconds, less the number that the limit allows.
    pub excess: i64,
}

#[derive(Clone, Debug)]
struct Program {
    number: u64,
    tenant: u64,
    started_at: u64,
    /// Calls that follow each turn.
    calls_per_turn: Vec<u32>,
    think_milliseconds: u64,
    next_request_at: u64,
    current_turn: usize,
    /// Calls left in the current turn; zero while the turn itself is requested.
    calls_left: u32,
    retries: u32,
    resends: u32,
    granted: usize,
    /// Separate generator, so that decisions on other programs don't change this one.
    random: ChaCha8Rng,
}

/// Usual request rate as a fraction of the limit.
const USUAL_UTILIZATION: f64 = 1.0 / 1.6;
/// Mean number of requests of the programs that `new_program` creates.
const MEAN_REQUESTS: f64 = 17.0;

fn new_program(number: u64, tenant: u64, now: u64, seed: u64) -> Program {
    let mut random = ChaCha8Rng::seed_from_u64(seed << 32 | number);
    let long = random.random_bool(0.34);
    let turns = match long {
        true => random.random_range(6..=16),
        false => random.random_range(2..=4),
    };
    let calls = |random: &mut ChaCha8Rng| {
        let reads = if random.random_bool(0.7) { 2 } else { 0 };
        reads + u32::from(random.random_bool(0.4)) + u32::from(random.random_bool(0.2))
    };
    let calls_per_turn = (0..turns).map(|_| calls(&mut random)).collect();
    Program {
        number,
        tenant,
        started_at: now,
        calls_per_turn,
        think_milliseconds: if long { 20 } else { 150 },
        next_request_at: now,
        current_turn: 0,
        calls_left: 0,
        retries: 0,
        resends: 0,
        granted: 0,
        random,
    }
}

/// Simulates a load; returns the outcome of the first tenant.
pub fn simulate(load: Load, limiter: &mut impl RequestLimiter, seed: u64) -> Outcome {
    simulate_all(load, limiter, seed).remove(0)
}

/// Simulates a load; returns the outcome of each tenant.
pub fn simulate_all(load: Load, limiter: &mut impl RequestLimiter, seed: u64) -> Vec<Outcome> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut running: Vec<Program> = Vec::new();
    let mut grants: Vec<Vec<u64>> = vec![Vec::new(); load.tenants as usize];
    let mut all = vec![Outcome::default(); load.tenants as usize];
    let mut number = 0;
    for time in 0..load.length_milliseconds {
        for tenant in 0..load.tenants {
            let factor = if tenant == 0 {
                load.load_factor
            } else {
                load.other_load_factor
            };
            let expected =
                load.limit.per_second * USUAL_UTILIZATION * factor / MEAN_REQUESTS / 1_000.0;
            if random.random_bool(expected) {
                number += 1;
                running.push(new_program(number, tenant, time, seed));
            }
        }
        let now = Duration::from_millis(time);
        running.retain_mut(|program| {
            if program.next_request_at > time {
                return true;
            }
            let tenant = program.tenant as usize;
            let outcome = &mut all[tenant];
            let counted = program.started_at + 12_000 < load.length_milliseconds;
            if program.granted == 0 && program.retries == 0 && program.resends == 0 {
                outcome.started += usize::from(counted);
            }
            match limiter.acquire(program.tenant, program.number, now) {
                Ok(()) => {
                    program.granted += 1;
                    program.retries = 0;
                    program.resends = 0;
                    grants[tenant].push(time);
                    outcome.granted += 1;
                    if schedule_next_request(program, time) {
                        return true;
                    }
                    outcome.finished += usize::from(counted);
                    false
                }
                Err(retry_after) => {
                    if schedule_retry(program, time, retry_after) {
                        return true;
                    }
                    if counted {
                        outcome.rejected += usize::from(program.granted == 0);
                        outcome.aborted += usize::from(program.granted > 0);
                        outcome.wasted += program.granted;
                    }
                    false
                }
            }
        });
    }
    let allowed = load.limit.per_second * 5.0 + load.limit.burst;
    for (outcome, grants) in all.iter_mut().zip(&grants) {
        let grants_before = |time: u64| grants.partition_point(|granted_at| *granted_at < time);
        let in_window = |start: &u64| grants_before(start + 5_000) - grants_before(*start);
        let max_grants = grants.iter().map(in_window).max();
        outcome.excess = max_grants.unwrap_or_default() as i64 - allowed as i64;
    }
    all
}

/// Schedules the next request of a program; returns false if it has finished.
fn schedule_next_request(program: &mut Program, now: u64) -> bool {
    let random = &mut program.random;
    if program.calls_left > 1 {
        program.calls_left -= 1;
        program.next_request_at = now + random.random_range(1..30);
        return true;
    }
    let calls_follow = program.calls_left == 0 && program.calls_per_turn[program.current_turn] > 0;
    if calls_follow {
        program.calls_left = program.calls_per_turn[program.current_turn];
        program.next_request_at = now + random.random_range(150..300);
        return true;
    }
    program.calls_left = 0;
    program.current_turn += 1;
    program.next_request_at = now + random.random_range(150..300) + program.think_milliseconds;
    program.current_turn < program.calls_per_turn.len()
}

/// Schedules the retry of a rejected request; returns false if the caller gives up. Each
/// request is retried once after `retry_after`. A turn, unlike a call, is then resent up to
/// twice, with one retry each time.
fn schedule_retry(program: &mut Program, now: u64, retry_after: Duration) -> bool {
    let random = &mut program.random;
    if program.retries == 0 {
        program.retries = 1;
        program.next_request_at = now + retry_after.as_millis().max(1) as u64;
        return true;
    }
    let is_turn = program.calls_left == 0;
    if is_turn && program.resends < 2 {
        program.resends += 1;
        program.retries = 0;
        program.next_request_at = now + random.random_range(100..400);
        return true;
    }
    false
}
