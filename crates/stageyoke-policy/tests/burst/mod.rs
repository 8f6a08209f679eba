//! Engines, fronts and callers' programs under a burst, in steps of five milliseconds.
//! It stands in for the load, not for a cluster.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stageyoke_policy::bearable::{BearablePaces, Turn};
use stageyoke_policy::turning_away::{Beginning, Load, turned_away};

const STEP: u64 = 5;
const ENGINES: usize = 12;
const SLOTS: usize = 24;
const FRONTS: usize = 9;
/// Milliseconds a token on an idle engine, and for each further turn there.
const TOKEN: f64 = 1.7;
const CONTENTION: f64 = 0.11;
const PROGRAMS_PER_SECOND: f64 = 46.0;
const BURST: std::ops::Range<u64> = 14_000..20_000;
const BURST_TIMES: f64 = 2.1;
const LAST_ARRIVAL: u64 = 30_000;
const LENGTH: u64 = 55_000;
/// How late fronts hear of the engines' load.
const HEARD_AFTER: u64 = 250;
/// A program's allotted time is this times its idle time, and the objective.
const ALLOTTED: f64 = 1.8;
const OBJECTIVE: f64 = 200.0;
/// What callers wait for one turn, with all its attempts.
const DEADLINE: u64 = 4_000;
/// Times that a caller sends a failed turn once more.
const RESENDS: u32 = 2;
/// How often a held program asks again.
const HELD_PAUSE: u64 = 50;
/// Turns in ten that come through another front than the one before.
const MOVED: f64 = 0.12;

/// A way to begin programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// All at once.
    Begin,
    /// Some wait at the front until the load allows them.
    Hold,
    /// Some are refused at once, to come back after a time that is spread or constant.
    TurnAway { spread: bool },
}

/// What came of the programs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub in_time: usize,
    /// Within twice the allotted time.
    pub late: usize,
    pub too_late: usize,
    /// After all attempts.
    pub refused: usize,
    /// Attempts that were refused.
    pub refusals: usize,
    worth_in_time: f64,
    worth_late: f64,
    /// Idle time of programs that were held and refused at last.
    pub held_in_vain: f64,
}

impl Seen {
    pub fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.too_late += other.too_late;
        self.refused += other.refused;
        self.refusals += other.refusals;
        self.worth_in_time += other.worth_in_time;
        self.worth_late += other.worth_late;
        self.held_in_vain += other.held_in_vain;
    }

    /// Idle time of programs that ended, where a late one is worth this part.
    pub fn worth(&self, late: f64) -> f64 {
        self.worth_in_time + late * self.worth_late
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// The next turn is sent then.
    Idle(u64),
    Running,
    Ended,
}

struct Program {
    hash: u64,
    kind: usize,
    front: usize,
    arrived: u64,
    allotted: f64,
    idle: f64,
    turns: Vec<f64>,
    next: usize,
    gap: u64,
    state: State,
    /// When the callers' first attempt of the first turn was sent.
    first_attempt: u64,
    attempts: u32,
    resends: u32,
}

struct Running {
    program: usize,
    sent: u64,
    tokens: f64,
    left: f64,
}

/// Plays the burst.
pub fn play(way: Way, seed: u64) -> Seen {
    World::new(way, seed).play(BURST_TIMES)
}

/// Plays the same without a burst.
pub fn play_calm(way: Way, seed: u64) -> Seen {
    World::new(way, seed).play(1.0)
}

struct World {
    way: Way,
    random: ChaCha8Rng,
    programs: Vec<Program>,
    engines: Vec<Vec<Running>>,
    waiting: Vec<Vec<Running>>,
    fronts: Vec<BearablePaces>,
    taken: Vec<f64>,
    seen: Seen,
}

impl World {
    fn new(way: Way, seed: u64) -> Self {
        Self {
            way,
            random: ChaCha8Rng::seed_from_u64(seed),
            programs: Vec::new(),
            engines: (0..ENGINES).map(|_| Vec::new()).collect(),
            waiting: (0..ENGINES).map(|_| Vec::new()).collect(),
            fronts: (0..FRONTS).map(|_| BearablePaces::default()).collect(),
            taken: Vec::new(),
            seen: Seen::default(),
        }
    }

    fn play(mut self, burst: f64) -> Seen {
        self.arrive(burst);
        for now in (0..LENGTH).step_by(STEP as usize) {
            let under_way: usize = self.engines.iter().map(Vec::len).sum();
            let queued: usize = self.waiting.iter().map(Vec::len).sum();
            let places = (ENGINES * SLOTS) as f64;
            self.taken.push((under_way + queued) as f64 / places);
            for index in 0..self.programs.len() {
                if let State::Idle(at) = self.programs[index].state
                    && at <= now
                {
                    self.send(index, now);
                }
            }
            for engine in 0..ENGINES {
                self.run(engine, now);
            }
        }
        self.seen
    }

    /// All arrivals, drawn before anything is decided: each way sees the same.
    fn arrive(&mut self, burst: f64) {
        for now in (0..LAST_ARRIVAL).step_by(STEP as usize) {
            let times = if BURST.contains(&now) { burst } else { 1.0 };
            let chance = PROGRAMS_PER_SECOND * times * STEP as f64 / 1e3;
            if self.random.random_bool(chance) {
                let program = self.draw(now);
                self.programs.push(program);
            }
        }
    }

    fn draw(&mut self, now: u64) -> Program {
        let kind = usize::from(self.random.random_bool(0.7));
        let (turns, gap) = [(7.0, 150), (3.0, 60)][kind];
        let count = (turns * self.random.random_range(0.4..1.6_f64))
            .round()
            .max(1.0);
        let turns: Vec<f64> = (0..count as usize)
            .map(|_| self.random.random_range(40.0..320.0))
            .collect();
        let idle = turns.iter().sum::<f64>() * TOKEN + (count - 1.0) * gap as f64;
        Program {
            hash: self.random.random(),
            kind,
            front: self.random.random_range(0..FRONTS),
            arrived: now,
            allotted: idle * ALLOTTED + OBJECTIVE,
            idle,
            turns,
            next: 0,
            gap,
            state: State::Idle(now),
            first_attempt: now,
            attempts: 0,
            resends: 0,
        }
    }

    fn send(&mut self, index: usize, now: u64) {
        if self.random.random_bool(MOVED) {
            self.programs[index].front = self.random.random_range(0..FRONTS);
        }
        let first = self.programs[index].next == 0;
        if first && let Some(after) = self.refused(index, now) {
            self.come_back(index, now, after);
            return;
        }
        let program = &mut self.programs[index];
        if first {
            let left = program.allotted - (now - program.arrived) as f64;
            let allotted = Duration::from_secs_f64(left.max(0.0) / 1e3);
            let front = &mut self.fronts[program.front];
            front.begin(program.hash, program.kind as u64, allotted, at(now));
        }
        program.state = State::Running;
        let tokens = program.turns[program.next];
        let load = |engine: &usize| self.engines[*engine].len() + self.waiting[*engine].len();
        let engine = (0..ENGINES).min_by_key(load).expect("an engine");
        self.waiting[engine].push(Running {
            program: index,
            sent: now,
            tokens,
            left: tokens,
        });
    }

    fn refused(&self, index: usize, now: u64) -> Option<Duration> {
        if self.way == Way::Begin {
            return None;
        }
        let program = &self.programs[index];
        let front = &self.fronts[program.front];
        let bearable = front.of_kind(program.kind as u64)?;
        let heard = now.saturating_sub(HEARD_AFTER) / STEP;
        let load = Load {
            pace: front.pace(0, at(now))?,
            taken: self.taken[heard as usize],
        };
        let beginning = Beginning {
            program: program.hash,
            bears: bearable.pace,
            length: bearable.length,
            less_urgent: 1 - program.kind,
        };
        turned_away(&beginning, &load)
    }

    /// As callers do: two attempts within a turn's time, which the second begins after
    /// a third of it at most; then the turn is sent anew, at most twice.
    fn come_back(&mut self, index: usize, now: u64, after: Duration) {
        let program = &mut self.programs[index];
        let passed = now - program.first_attempt;
        if self.way == Way::Hold {
            if passed < DEADLINE {
                program.state = State::Idle(now + HELD_PAUSE);
                return;
            }
            self.seen.held_in_vain += program.idle;
        }
        self.seen.refusals += 1;
        program.attempts += 1;
        let after = match self.way {
            Way::TurnAway { spread: true } => after.as_millis() as u64,
            _ => 250,
        };
        if program.attempts < 2 && passed < DEADLINE {
            let most = (DEADLINE - passed) / 3;
            program.state = State::Idle(now + after.min(most));
            return;
        }
        if program.resends >= RESENDS {
            program.state = State::Ended;
            self.seen.refused += 1;
            return;
        }
        program.resends += 1;
        program.attempts = 0;
        program.first_attempt = now + self.random.random_range(100..400);
        program.state = State::Idle(program.first_attempt);
    }

    fn run(&mut self, engine: usize, now: u64) {
        while self.engines[engine].len() < SLOTS && !self.waiting[engine].is_empty() {
            let next = self.waiting[engine].remove(0);
            self.engines[engine].push(next);
        }
        let running = &mut self.engines[engine];
        let beside = running.len().saturating_sub(1) as f64;
        let made = STEP as f64 / (TOKEN + CONTENTION * beside);
        for turn in running.iter_mut() {
            turn.left -= made;
        }
        let ended: Vec<Running> = running.extract_if(.., |turn| turn.left <= 0.0).collect();
        for turn in ended {
            self.end(&turn, now);
        }
    }

    fn end(&mut self, turn: &Running, now: u64) {
        let program = &mut self.programs[turn.program];
        let shown = Turn {
            took: Duration::from_millis(now - turn.sent),
            tokens: turn.tokens as u32,
        };
        self.fronts[program.front].turn_ended(program.hash, 0, &shown, at(now));
        program.next += 1;
        if program.next < program.turns.len() {
            program.state = State::Idle(now + program.gap);
            return;
        }
        program.state = State::Ended;
        let took = (now - program.arrived) as f64;
        if took <= program.allotted {
            self.seen.in_time += 1;
            self.seen.worth_in_time += program.idle;
        } else if took <= 2.0 * program.allotted {
            self.seen.late += 1;
            self.seen.worth_late += program.idle;
        } else {
            self.seen.too_late += 1;
        }
    }
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
