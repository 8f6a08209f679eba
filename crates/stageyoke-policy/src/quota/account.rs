//! One tenant as an owner counts it: its limits, and its programs.

use std::collections::HashMap;
use std::time::Duration;

use super::QuotaTolerance;
use super::habits::{Demand, Habits};
use crate::token_bucket::RateLimit;
use crate::window::Window;

/// A program that has asked for nothing this long is taken as over: few turns and
/// pauses take longer, and ended programs count as under way until then. With 1.2 s a
/// tenth of a limit stayed unused at three times its load (`program_quota_test`).
const PROGRAM_IDLE: Duration = Duration::from_millis(600);
/// A program that comes back within this time is not a new one.
const PROGRAM_KNOWN: Duration = Duration::from_secs(8);
/// Limits that are held at once for one tenant: more are lowered within a window only
/// in a storm of configurations, and the lowest ones bind.
const MOST_HELD: usize = 4;
/// Moments of a program's expected life at which its requests must fit.
const LOOKS: u32 = 4;

/// One program of a tenant.
#[derive(Clone, Copy, Debug)]
struct Program {
    /// When it asked last.
    at: Duration,
    /// Requests that were granted.
    made: u32,
    /// Whether its last request was refused.
    refused: bool,
    /// Whether it asked a moment ago.
    active: bool,
}

/// A limit with the requests that it has granted.
#[derive(Clone, Debug)]
struct Held {
    limit: RateLimit,
    requests: Window,
    /// When it ends to hold, once it was lowered.
    until: Option<Duration>,
}

/// One tenant's requests.
#[derive(Debug)]
pub(super) struct Account {
    /// The limit in force, then those that were lowered less than a window ago.
    held: Vec<Held>,
    version: u64,
    /// Since when every request is known here.
    complete_since: Duration,
    programs: HashMap<u64, Program>,
    active: usize,
}

impl Account {
    /// A tenant with this limit, of which these requests are known, all of those since
    /// then.
    pub(super) fn new(
        limit: RateLimit,
        requests: Window,
        version: u64,
        complete_since: Duration,
    ) -> Self {
        let held = Held {
            limit,
            requests,
            until: None,
        };
        Self {
            held: vec![held],
            version,
            complete_since,
            programs: HashMap::new(),
            active: 0,
        }
    }

    /// Takes the limit of a configuration, unless it is an older one.
    pub(super) fn follow(&mut self, limit: RateLimit, version: u64, now: Duration) {
        if version > self.version {
            self.version = version;
            self.set_limit(limit, now);
        }
    }

    /// Since when every request is known here.
    pub(super) fn complete_since(&self) -> Duration {
        self.complete_since
    }

    /// Whether a program is known.
    pub(super) fn knows(&self, program: u64) -> bool {
        self.programs.contains_key(&program)
    }

    /// Programs that are known.
    pub(super) fn programs(&self) -> usize {
        self.programs.len()
    }

    /// Whether nothing would be lost with it.
    pub(super) fn idle(&mut self, now: Duration) -> bool {
        let counts = self.held.iter_mut().map(|held| held.requests.count(now));
        self.programs.is_empty() && counts.max().unwrap_or_default() == 0
    }

    /// Time until a request may be made that begins a program or goes on with one;
    /// `None` if it may be now.
    pub(super) fn wait(
        &mut self,
        begins: bool,
        habits: &Habits,
        tolerance: QuotaTolerance,
        now: Duration,
    ) -> Option<Duration> {
        self.held
            .retain(|held| held.until.is_none_or(|until| until > now));
        let programs = self.active + 1;
        let demand = habits.of_one().filter(|_| programs > 1);
        let waits = self.held.iter_mut().filter_map(|held| {
            let overdraft = tolerance.overdraft(held.allowed());
            match begins {
                true => held.wait_for_program(programs, demand, overdraft, now),
                false => held.wait_for_one(overdraft, now),
            }
        });
        waits.max()
    }

    /// A request of a program was refused.
    pub(super) fn refuse(&mut self, program: u64) {
        if let Some(program) = self.programs.get_mut(&program) {
            program.refused = true;
        }
    }

    /// A request was granted; it begins its program or goes on with it.
    pub(super) fn grant(&mut self, program: u64, begins: bool, habits: &mut Habits, now: Duration) {
        for held in &mut self.held {
            held.requests.add(now);
        }
        if begins {
            let begun = Program {
                at: now,
                made: 0,
                refused: false,
                active: false,
            };
            self.programs.insert(program, begun);
        }
        let Some(program) = self.programs.get_mut(&program) else {
            return;
        };
        match program.active {
            true => habits.note_gap(now.saturating_sub(program.at)),
            false => self.active += 1,
        }
        *program = Program {
            at: now,
            made: program.made + 1,
            refused: false,
            active: true,
        };
    }

    /// The slot of a request that was granted just now, and the version of the limit
    /// that it counts against.
    pub(super) fn slot(&mut self, now: Duration) -> Option<(u64, u64)> {
        let current = self.held.first_mut()?;
        Some((current.requests.slot(now), self.version))
    }

    /// Takes back a request that was granted in this slot under this version's limit
    /// and was not run. Under another version's it stays counted: windows that began
    /// since don't hold it.
    pub(super) fn take_back(&mut self, slot: u64, version: u64, now: Duration) {
        if version != self.version {
            return;
        }
        for held in &mut self.held {
            held.requests.take_back(slot, now);
        }
    }

    /// Another limit is in force. A lower one counts from now on; what was granted
    /// before, and both together, must keep to the former one for a window: else a
    /// tenant would get nothing until its former requests have left the window. A
    /// higher one counts everything, and no former one binds any more.
    fn set_limit(&mut self, limit: RateLimit, now: Duration) {
        let Some(current) = self.held.first_mut() else {
            return;
        };
        let length = current.requests.length();
        if current.requests.allowed(limit) < current.allowed() {
            current.until = Some(now + length);
            let lowered = Held {
                limit,
                requests: Window::new(length, now),
                until: None,
            };
            self.held.insert(0, lowered);
            self.held.truncate(MOST_HELD);
            return;
        }
        let oldest = self.held.pop();
        let raised = oldest.map(|oldest| Held {
            limit,
            requests: oldest.requests,
            until: None,
        });
        self.held = raised.into_iter().collect();
    }

    /// Programs that ask no more have ended; later they are forgotten.
    pub(super) fn sweep(&mut self, habits: &mut Habits, now: Duration) {
        self.programs
            .retain(|_, program| program.at + PROGRAM_KNOWN > now);
        self.active = 0;
        for program in self.programs.values_mut() {
            let active = program.at + PROGRAM_IDLE > now;
            if program.active && !active && !program.refused {
                habits.note_end(program.made);
            }
            program.active = active;
            self.active += usize::from(active);
        }
    }
}

impl Held {
    /// Requests that the limit allows in a window.
    fn allowed(&self) -> f64 {
        self.requests.allowed(self.limit)
    }

    /// Time until one more request fits; `None` if it does now.
    fn wait_for_one(&mut self, overdraft: f64, now: Duration) -> Option<Duration> {
        let allowed = self.allowed() + overdraft;
        let fits = f64::from(self.requests.count(now)) + 1.0 <= allowed;
        (!fits).then(|| self.requests.time_until((allowed - 1.0) as u32, now))
    }

    /// Time until the limit is enough for what so many programs are expected to ask
    /// for; `None` if it is now. Without a demand one request must fit: a tenant runs
    /// one program at a time however small its limit.
    fn wait_for_program(
        &mut self,
        programs: usize,
        demand: Option<Demand>,
        overdraft: f64,
        now: Duration,
    ) -> Option<Duration> {
        let one = self.wait_for_one(0.0, now);
        let Some(demand) = demand else {
            return one;
        };
        let allowed = self.allowed() + overdraft;
        let horizon = demand.seconds.min(self.requests.length().as_secs_f64());
        let per_second = programs as f64 * demand.per_second;
        let waits = (1..=LOOKS).filter_map(|look| {
            let ahead = horizon * f64::from(look) / f64::from(LOOKS);
            let room = allowed - per_second * ahead;
            let ahead = Duration::from_secs_f64(ahead);
            let staying = f64::from(self.requests.count_after(ahead, now));
            (staying > room).then(|| {
                let until = self.requests.time_until(room.max(0.0) as u32, now);
                until.saturating_sub(ahead)
            })
        });
        waits.max().or(one)
    }
}
