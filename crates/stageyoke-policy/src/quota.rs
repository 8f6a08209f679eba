//! What tenants may still ask for, as one owner of their limits counts it. The
//! fronts ask an owner for each request before they offer it to a replica.
//!
//! Load that it answers: one tenant sends several times its limit. A program makes
//! tens of requests, and one refused request may end it: what it had asked for
//! before is wasted. So it is decided when a program begins whether the limit is
//! enough for it beside those under way, and what has begun goes on. At seven times
//! the limit 39 programs of 30 requests end and 3 are cut in 30 s, against none and
//! 125 where requests are granted as they come (`quota_test`, one tenant).

use std::collections::HashMap;
use std::time::Duration;

use crate::bucket::Limit;
use crate::window::Window;

/// Part of what a tenant may ask for that an owner takes as asked for already, for
/// the time before it began to count: another one may have granted it.
const ASSUMED_PART: f64 = 0.9;
/// Window of limits where the operator's bounds name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);
/// Part of the tolerated excess that programs under way may use.
const OVERDRAFT_PART: f64 = 0.5;
/// A program that has asked for nothing this long is over: longer than the pauses
/// of programs (0.6 s) and most turns (1 s) take, and no longer than needed, since
/// ended programs count until then.
const PROGRAM_IDLE: Duration = Duration::from_millis(600);
/// A program that comes back within this time is not a new one.
const PROGRAM_KNOWN: Duration = Duration::from_secs(8);
/// Tenants that an owner counts; those beyond are left to the fronts' shares.
const MOST_TENANTS: usize = 10_000;
/// Programs that an owner knows, some 40 bytes each; those beyond count as known.
const MOST_PROGRAMS: usize = 50_000;
/// Limits that are held at once for one tenant: more are lowered within a window only
/// in a storm of configurations, and the lowest ones bind.
const MOST_HELD: usize = 4;
/// Moments of a program's expected life at which its requests must fit.
const LOOKS: u32 = 4;
/// Time between two looks for what has ended.
const SWEEP_PAUSE: Duration = Duration::from_millis(200);
/// Seconds over which the habits of programs are averaged: several lifetimes.
const AVERAGED_OVER: f64 = 10.0;
/// Bounds on the learnt lifetime of programs, in seconds.
const LIFETIME: (f64, f64) = (1.0, 8.0);
/// Soonest and latest return after a refusal: a program's tries are over within
/// some seconds.
const RETURN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1500));

/// What the operator tolerates beyond limits, since they hold over many processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Window in which it is counted.
    pub window: Duration,
    /// Part of what the limit allows in a window.
    pub excess: f64,
    /// Requests beyond that part.
    pub slack: f64,
}

impl Tolerance {
    /// Requests that programs under way may make beyond a limit. Half of what is
    /// tolerated: the rest is for what owners do not know of one another.
    fn overdraft(&self, allowed: f64) -> f64 {
        (allowed * self.excess + self.slack) * OVERDRAFT_PART
    }

    fn window(&self) -> Duration {
        match self.window.is_zero() {
            true => DEFAULT_WINDOW,
            false => self.window,
        }
    }
}

/// May one more request of a tenant be made?
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Question {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Hash of the request's program; zero where it has none.
    pub program: u64,
    /// The tenant's limit.
    pub limit: Limit,
    /// Version of the configuration that the limit is from.
    pub version: u64,
    /// Whether the owner is asked in place of others that did not answer.
    pub standby: bool,
}

/// An owner's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may be made, and is counted.
    Granted,
    /// It may not; when to come back.
    Refused(Duration),
    /// This owner does not count for the tenant.
    Unknown,
}

/// What programs ask for, over all tenants: sums that forget.
#[derive(Clone, Copy, Debug, Default)]
struct Habits {
    /// Programs that have ended by themselves, and their requests. Those that were
    /// cut don't count: from their shorter lives it would seem that more fit.
    ended: f64,
    requests: f64,
    /// Seconds from a program's request to its next, summed, and their number.
    gap_seconds: f64,
    gaps: f64,
    at: Duration,
}

impl Habits {
    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / AVERAGED_OVER).exp();
        self.ended *= kept;
        self.requests *= kept;
        self.gap_seconds *= kept;
        self.gaps *= kept;
        self.at = self.at.max(now);
    }

    /// What one more program is expected to ask for; none before any was seen.
    fn of_one(&self) -> Option<Demand> {
        let gap = self.gap_seconds / self.gaps;
        let requests = self.requests / self.ended;
        let known = gap.is_finite() && gap > 0.0 && requests.is_finite();
        known.then(|| Demand {
            per_second: 1.0 / gap,
            seconds: (gap * requests).clamp(LIFETIME.0, LIFETIME.1),
        })
    }
}

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
    limit: Limit,
    requests: Window,
    /// When it ends to hold, once it was lowered.
    until: Option<Duration>,
}

impl Held {
    fn allowed(&self) -> f64 {
        self.requests.allowed(self.limit)
    }
}

/// One tenant's requests.
#[derive(Debug)]
struct Account {
    /// The limit in force, then those that were lowered less than a window ago.
    held: Vec<Held>,
    version: u64,
    programs: HashMap<u64, Program>,
    active: usize,
}

/// Limits of the tenants that one store owns.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    tolerance: Tolerance,
    accounts: HashMap<u64, Account>,
    /// Since when this owner counts.
    since: Duration,
    programs: usize,
    habits: Habits,
    swept_at: Duration,
}

impl QuotaLedger {
    /// The same ledger where the operator tolerates so much.
    pub fn tolerating(self, tolerance: Tolerance) -> Self {
        Self { tolerance, ..self }
    }

    /// Who owns which tenant has changed: for tenants that are new to it this owner
    /// begins to count now.
    pub fn owners_changed(&mut self, now: Duration) {
        self.since = now;
    }

    /// Decides on one request.
    pub fn ask(&mut self, question: &Question, now: Duration) -> Verdict {
        self.sweep(now);
        let Some(begins) = self.open(question, now) else {
            return Verdict::Unknown;
        };
        let Some(account) = self.accounts.get_mut(&question.tenant) else {
            return Verdict::Unknown;
        };
        account.drop_ended(now);
        let programs = account.active + 1;
        let (habits, tolerance) = (&self.habits, self.tolerance);
        let demand = habits.of_one().filter(|_| programs > 1);
        let waits = account.held.iter_mut().filter_map(|held| {
            let overdraft = tolerance.overdraft(held.allowed());
            match begins {
                true => held.wait_for_program(programs, demand, overdraft, now),
                false => held.wait_for_one(overdraft, now),
            }
        });
        let wait = waits.max();
        if let Some(wait) = wait {
            if let Some(program) = account.programs.get_mut(&question.program) {
                program.refused = true;
            }
            return Verdict::Refused(wait.clamp(RETURN.0, RETURN.1));
        }
        account.add(now);
        self.note_program(question, begins, now);
        Verdict::Granted
    }

    /// Counts a request that another owner has granted.
    pub fn count(&mut self, question: &Question, now: Duration) {
        self.sweep(now);
        let Some(begins) = self.open(question, now) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&question.tenant) {
            account.add(now);
        }
        self.note_program(question, begins, now);
    }

    /// Makes sure that the tenant has an account; says whether the request begins
    /// a program. `None` where there is no room for an account.
    fn open(&mut self, question: &Question, now: Duration) -> Option<bool> {
        if !self.accounts.contains_key(&question.tenant) {
            if self.accounts.len() >= MOST_TENANTS {
                return None;
            }
            let counted = match question.standby {
                true => Duration::ZERO,
                false => now.saturating_sub(self.since),
            };
            let mut requests = Window::new(self.tolerance.window(), now);
            let allowed = requests.allowed(question.limit);
            requests.assume(allowed * ASSUMED_PART, counted, now);
            let held = Held {
                limit: question.limit,
                requests,
                until: None,
            };
            let account = Account {
                held: vec![held],
                version: question.version,
                programs: HashMap::new(),
                active: 0,
            };
            self.accounts.insert(question.tenant, account);
        }
        let account = self.accounts.get_mut(&question.tenant)?;
        if question.version > account.version {
            account.version = question.version;
            account.set_limit(question.limit, now);
        }
        let known = question.program == 0 || account.programs.contains_key(&question.program);
        Some(!known && self.programs < MOST_PROGRAMS)
    }

    fn note_program(&mut self, question: &Question, begins: bool, now: Duration) {
        let Some(account) = self.accounts.get_mut(&question.tenant) else {
            return;
        };
        if begins {
            self.programs += 1;
            let program = Program {
                at: now,
                made: 0,
                refused: false,
                active: false,
            };
            account.programs.insert(question.program, program);
        }
        let Some(program) = account.programs.get_mut(&question.program) else {
            return;
        };
        if program.active {
            let gap = now.saturating_sub(program.at);
            self.habits.gap_seconds += gap.as_secs_f64();
            self.habits.gaps += 1.0;
        } else {
            account.active += 1;
        }
        *program = Program {
            at: now,
            made: program.made + 1,
            refused: false,
            active: true,
        };
    }

    /// Tenants that it counts.
    pub fn tenants(&self) -> usize {
        self.accounts.len()
    }

    /// Programs that it knows.
    pub fn programs(&self) -> usize {
        self.programs
    }

    /// Forgets programs that have ended and tenants that have asked for nothing
    /// for so long that a new account would hold as much.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_PAUSE {
            return;
        }
        self.swept_at = now;
        self.habits.fade(now);
        self.programs = 0;
        self.accounts.retain(|_, account| {
            account.sweep(&mut self.habits, now);
            self.programs += account.programs.len();
            !account.programs.is_empty() || account.count(now) > 0
        });
    }
}

/// What a program is expected to ask for.
#[derive(Clone, Copy, Debug)]
struct Demand {
    per_second: f64,
    seconds: f64,
}

impl Account {
    /// Another limit is in force. A lower one counts from now on; what was granted
    /// before, and both together, must keep to the former one for a window: else a
    /// tenant would get nothing until its former requests have left the window. A
    /// higher one counts everything, and no former one binds any more.
    fn set_limit(&mut self, limit: Limit, now: Duration) {
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

    fn drop_ended(&mut self, now: Duration) {
        self.held
            .retain(|held| held.until.is_none_or(|until| until > now));
    }

    fn add(&mut self, now: Duration) {
        for held in &mut self.held {
            held.requests.add(now);
        }
    }

    fn count(&mut self, now: Duration) -> u32 {
        let counts = self.held.iter_mut().map(|held| held.requests.count(now));
        counts.max().unwrap_or_default()
    }

    /// Programs that ask no more have ended; later they are forgotten.
    fn sweep(&mut self, habits: &mut Habits, now: Duration) {
        self.programs
            .retain(|_, program| program.at + PROGRAM_KNOWN > now);
        self.active = 0;
        for program in self.programs.values_mut() {
            let active = program.at + PROGRAM_IDLE > now;
            if program.active && !active && !program.refused {
                habits.ended += 1.0;
                habits.requests += f64::from(program.made);
            }
            program.active = active;
            self.active += usize::from(active);
        }
    }
}

impl Held {
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
