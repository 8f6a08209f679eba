//! A tenant's programs as callers run them, against one decision on requests.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stageyoke_policy::token_bucket::RateLimit;

/// Decides on a request of a program at a moment; `Err` tells when to come back.
pub trait Gate {
    /// May it be made?
    fn ask(&mut self, tenant: u64, program: u64, now: Duration) -> Result<(), Duration>;
}

/// The load of one run: each tenant's limit is 1.6 times its usual requests.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Tenants, one of which is watched.
    pub tenants: u64,
    /// Limit of each.
    pub limit: RateLimit,
    /// Traffic of the watched tenant against its usual one.
    pub factor: f64,
    /// Traffic of the others against theirs.
    pub others: f64,
    /// Length, in milliseconds.
    pub length: u64,
}

/// What became of the watched tenant's programs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Programs that began early enough to end.
    pub begun: usize,
    /// Ended whole.
    pub ended: usize,
    /// Refused at their first request, for good.
    pub turned_away: usize,
    /// Refused later, for good.
    pub cut: usize,
    /// Requests that were granted.
    pub granted: usize,
    /// Requests of programs that were cut.
    pub wasted: usize,
    /// Most grants within five seconds, beyond rate and burst.
    pub excess: i64,
}

#[derive(Clone, Debug)]
struct Program {
    number: u64,
    tenant: u64,
    began: u64,
    /// Requests of each turn's calls, the turn itself first.
    turns: Vec<u32>,
    think: u64,
    next: u64,
    step: usize,
    left_in_step: u32,
    tries: u32,
    resent: u32,
    made: usize,
    /// Its own, so that what is decided on others changes nothing for it.
    random: ChaCha8Rng,
}

const USUAL_PART: f64 = 1.0 / 1.6;
/// Mean requests of a program of the mix below.
const REQUESTS: f64 = 17.0;

fn program(number: u64, tenant: u64, at: u64, seed: u64) -> Program {
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
    let turns = (0..turns).map(|_| calls(&mut random)).collect();
    Program {
        number,
        tenant,
        began: at,
        turns,
        think: if long { 20 } else { 150 },
        next: at,
        step: 0,
        left_in_step: 0,
        tries: 0,
        resent: 0,
        made: 0,
        random,
    }
}

/// Plays a load against a gate; what became of the watched tenant.
pub fn play(load: Load, gate: &mut impl Gate, seed: u64) -> Seen {
    play_all(load, gate, seed).remove(0)
}

/// Plays a load against a gate; what became of each tenant, the watched one first.
pub fn play_all(load: Load, gate: &mut impl Gate, seed: u64) -> Vec<Seen> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut running: Vec<Program> = Vec::new();
    let mut grants: Vec<Vec<u64>> = vec![Vec::new(); load.tenants as usize];
    let mut all = vec![Seen::default(); load.tenants as usize];
    let mut number = 0;
    for time in 0..load.length {
        for tenant in 0..load.tenants {
            let factor = if tenant == 0 {
                load.factor
            } else {
                load.others
            };
            let expected = load.limit.per_second * USUAL_PART * factor / REQUESTS / 1_000.0;
            if random.random_bool(expected) {
                number += 1;
                running.push(program(number, tenant, time, seed));
            }
        }
        let now = Duration::from_millis(time);
        running.retain_mut(|program| {
            if program.next > time {
                return true;
            }
            let tenant = program.tenant as usize;
            let seen = &mut all[tenant];
            let counted = program.began + 12_000 < load.length;
            if program.made == 0 && program.tries == 0 && program.resent == 0 {
                seen.begun += usize::from(counted);
            }
            match gate.ask(program.tenant, program.number, now) {
                Ok(()) => {
                    program.made += 1;
                    program.tries = 0;
                    program.resent = 0;
                    grants[tenant].push(time);
                    seen.granted += 1;
                    if go_on(program, time) {
                        return true;
                    }
                    seen.ended += usize::from(counted);
                    false
                }
                Err(after) => {
                    if come_back(program, time, after) {
                        return true;
                    }
                    if counted {
                        seen.turned_away += usize::from(program.made == 0);
                        seen.cut += usize::from(program.made > 0);
                        seen.wasted += program.made;
                    }
                    false
                }
            }
        });
    }
    let allowed = load.limit.per_second * 5.0 + load.limit.burst;
    for (seen, grants) in all.iter_mut().zip(&grants) {
        let until = |at: u64| grants.partition_point(|other| *other < at);
        let in_window = |at: &u64| until(at + 5_000) - until(*at);
        let most = grants.iter().map(in_window).max();
        seen.excess = most.unwrap_or_default() as i64 - allowed as i64;
    }
    all
}

/// The next request of a program; false once it has made its last.
fn go_on(program: &mut Program, time: u64) -> bool {
    let random = &mut program.random;
    if program.left_in_step > 1 {
        program.left_in_step -= 1;
        program.next = time + random.random_range(1..30);
        return true;
    }
    let calls_follow = program.left_in_step == 0 && program.turns[program.step] > 0;
    if calls_follow {
        program.left_in_step = program.turns[program.step];
        program.next = time + random.random_range(150..300);
        return true;
    }
    program.left_in_step = 0;
    program.step += 1;
    program.next = time + random.random_range(150..300) + program.think;
    program.step < program.turns.len()
}

/// A refused request comes back once after the time it was told; a turn is sent
/// anew twice more, a call is not.
fn come_back(program: &mut Program, time: u64, after: Duration) -> bool {
    let random = &mut program.random;
    if program.tries == 0 {
        program.tries = 1;
        program.next = time + after.as_millis().max(1) as u64;
        return true;
    }
    let is_turn = program.left_in_step == 0;
    if is_turn && program.resent < 2 {
        program.resent += 1;
        program.tries = 0;
        program.next = time + random.random_range(100..400);
        return true;
    }
    false
}
