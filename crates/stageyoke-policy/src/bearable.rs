//! How slow turns may get before programs of a kind end late, learnt from programs that
//! ended, and how slow they are.
//!
//! The load it answers: a burst beyond what engines bear, in which all programs' turns
//! get slower together. A program bears as much slower turns as its allotted time
//! allows, less what passes outside of engines (tools, thinking, the way). A *pace* is
//! the milliseconds that turns take for each token that they generate, reading and
//! waiting included. It is measured, not worked out from counted load: how much load
//! slows engines can't be told from a time in which it hardly varies.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Programs that are followed at once; some 100 bytes each. Those beyond are not
/// learnt from.
const MOST_PROGRAMS: usize = 4096;
/// Kinds of programs that are remembered; names change with each configuration.
const MOST_KINDS: usize = 64;
/// A program that makes no request for so long has ended: a call of a tool takes
/// less, and is a request itself.
const ENDED_AFTER: Duration = Duration::from_secs(3);
/// Time between two looks for programs that have ended.
const SWEEP_PAUSE: Duration = Duration::from_millis(250);
/// Programs of a kind that its figure is taken from: those that ended last.
const RECENT_PROGRAMS: usize = 40;
/// Programs of a kind from which on its figure is used.
const LEAST_PROGRAMS: usize = 12;
/// Part of them that bears less than what counts as bearable. Some are held up by
/// other things than engines' load.
const LATE_PART: f64 = 0.2;
/// Time in which a turn's pace counts half: some turns of a front that sees ten a
/// second, and less than what a burst takes to slow engines.
const PACE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Turns, faded, from which on a pace is told.
const LEAST_TURNS: f64 = 3.0;
/// Services whose pace is remembered.
const MOST_SERVICES: usize = 64;

/// A program under way that was seen from its first turn on.
#[derive(Clone, Copy, Debug)]
struct Followed {
    kind: u64,
    began: Duration,
    allotted: Duration,
    /// Spent in its turns.
    in_turns: Duration,
    /// Tokens that its turns generated.
    tokens: f64,
    last_end: Duration,
}

impl Followed {
    /// The pace at which it would have ended just in time.
    fn bears(&self) -> Option<f64> {
        let took = self.last_end.saturating_sub(self.began);
        let elsewhere = took.saturating_sub(self.in_turns);
        let for_turns = self.allotted.saturating_sub(elsewhere).as_secs_f64();
        (self.tokens > 0.0).then(|| for_turns * 1e3 / self.tokens)
    }
}

/// A turn that ended whole.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// From its offer to its end.
    pub took: Duration,
    /// Tokens that it generated.
    pub tokens: u32,
}

/// The pace of the turns that ended lately at one service.
#[derive(Clone, Copy, Debug, Default)]
struct RecentPace {
    milliseconds: f64,
    tokens: f64,
    turns: f64,
    at: Duration,
}

impl RecentPace {
    fn faded(self, now: Duration) -> Self {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / PACE_HALF_LIFE.as_secs_f64()).exp2();
        Self {
            milliseconds: self.milliseconds * kept,
            tokens: self.tokens * kept,
            turns: self.turns * kept,
            at: now,
        }
    }

    fn note(&mut self, turn: &Turn, now: Duration) {
        *self = self.faded(now);
        self.milliseconds += turn.took.as_secs_f64() * 1e3;
        self.tokens += f64::from(turn.tokens);
        self.turns += 1.0;
    }
}

/// What a program that has ended showed.
#[derive(Clone, Copy, Debug)]
struct Shown {
    bears: f64,
    length: Duration,
}

/// What the last programs of one kind showed, oldest first.
#[derive(Clone, Debug, Default)]
struct Kind(VecDeque<Shown>);

impl Kind {
    fn note(&mut self, shown: Shown) {
        if self.0.len() >= RECENT_PROGRAMS {
            self.0.pop_front();
        }
        self.0.push_back(shown);
    }

    fn bearable(&self) -> Option<Bearable> {
        let count = self.0.len();
        if count < LEAST_PROGRAMS {
            return None;
        }
        let mut bears: Vec<f64> = self.0.iter().map(|shown| shown.bears).collect();
        bears.sort_by(f64::total_cmp);
        let summed: Duration = self.0.iter().map(|shown| shown.length).sum();
        Some(Bearable {
            pace: bears[(count as f64 * LATE_PART) as usize],
            length: summed.div_f64(count as f64),
        })
    }
}

/// What programs of a kind are like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bearable {
    /// Pace of turns beyond which more than a few of them end late, in milliseconds a
    /// token.
    pub pace: f64,
    /// What one takes from its first turn to its last.
    pub length: Duration,
}

/// Programs under way and what earlier ones bore. Kinds and programs are named by
/// hashes.
#[derive(Debug, Default)]
pub struct BearablePaces {
    programs: BTreeMap<u64, Followed>,
    kinds: HashMap<u64, Kind>,
    paces: HashMap<u64, RecentPace>,
    swept: Duration,
}

impl BearablePaces {
    /// A program's first turn is sent; `allotted` is what it has until it should be
    /// over.
    pub fn begin(&mut self, program: u64, kind: u64, allotted: Duration, now: Duration) {
        self.sweep(now);
        if allotted.is_zero() || self.programs.len() >= MOST_PROGRAMS {
            return;
        }
        let followed = Followed {
            kind,
            began: now,
            allotted,
            in_turns: Duration::ZERO,
            tokens: 0.0,
            last_end: now,
        };
        self.programs.entry(program).or_insert(followed);
    }

    /// A turn ended whole at a service, as part of a program if it has one.
    pub fn turn_ended(&mut self, program: u64, service: u64, turn: &Turn, now: Duration) {
        if self.paces.len() >= MOST_SERVICES && !self.paces.contains_key(&service) {
            self.paces.clear();
        }
        self.paces.entry(service).or_default().note(turn, now);
        if let Some(followed) = self.programs.get_mut(&program) {
            followed.in_turns += turn.took;
            followed.tokens += f64::from(turn.tokens);
            followed.last_end = now;
        }
    }

    /// The pace of the turns that ended lately at a service, in milliseconds a token;
    /// none if there were few.
    pub fn pace(&self, service: u64, now: Duration) -> Option<f64> {
        let recent = self.paces.get(&service)?.faded(now);
        (recent.turns >= LEAST_TURNS && recent.tokens > 0.0)
            .then(|| recent.milliseconds / recent.tokens)
    }

    /// One of its requests failed, or it was stopped: what it takes from now on shows
    /// nothing of engines' load.
    pub fn forget(&mut self, program: u64) {
        self.programs.remove(&program);
    }

    /// What programs of this kind bear, once some have ended.
    pub fn of_kind(&self, kind: u64) -> Option<Bearable> {
        self.kinds.get(&kind)?.bearable()
    }

    fn sweep(&mut self, now: Duration) {
        if now.saturating_sub(self.swept) < SWEEP_PAUSE {
            return;
        }
        self.swept = now;
        let ended = |followed: &Followed| now.saturating_sub(followed.last_end) > ENDED_AFTER;
        let kinds = &mut self.kinds;
        self.programs.retain(|_, followed| {
            let ended = ended(followed);
            if ended {
                learn(kinds, followed);
            }
            !ended
        });
    }
}

fn learn(kinds: &mut HashMap<u64, Kind>, followed: &Followed) {
    let Some(bears) = followed.bears() else {
        return;
    };
    if kinds.len() >= MOST_KINDS && !kinds.contains_key(&followed.kind) {
        kinds.clear();
    }
    let length = followed.last_end.saturating_sub(followed.began);
    let kind = kinds.entry(followed.kind).or_default();
    kind.note(Shown { bears, length });
}
