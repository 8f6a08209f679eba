//! What tenants may still ask for, as one owner of their limits counts it. The
//! fronts ask an owner for each request before they offer it to a replica.
//!
//! Load that it answers: one tenant sends several times its limit. A program makes
//! tens of requests, and one refused request may end it: what it had asked for
//! before is wasted. So it is decided when a program begins whether the limit is
//! enough for it beside those under way, and what has begun goes on. At seven times
//! the limit 39 programs of 30 requests end and 3 are cut in 30 s, against none and
//! 125 where requests are granted as they come (`quota_test`, one tenant).

mod account;
mod habits;

use std::collections::HashMap;
use std::time::Duration;

use self::account::Account;
use self::habits::Habits;
use crate::token_bucket::RateLimit;
use crate::window::Window;

/// Part of what a tenant may ask for that an owner takes as asked for already, for
/// the time before it began to count: another one may have granted it.
const ASSUMED_PART: f64 = 0.9;
/// Window of limits where the operator's bounds name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);
/// Part of the tolerated excess that programs under way may use.
const OVERDRAFT_PART: f64 = 0.5;
/// Tenants that an owner counts; those beyond are left to the fronts' shares.
const MOST_TENANTS: usize = 10_000;
/// Programs that an owner knows, some 40 bytes each; those beyond count as known.
const MOST_PROGRAMS: usize = 50_000;
/// Time between two looks for what has ended.
const SWEEP_PAUSE: Duration = Duration::from_millis(200);
/// Soonest and latest return after a refusal: a program's tries are over within
/// some seconds.
const RETURN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1500));

/// What the operator tolerates beyond limits, since they hold over many processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Window in which it is counted.
    pub window: Duration,
    /// Part of what the limit allows in a window.
    pub excess: f64,
    /// Requests beyond that part.
    pub slack: f64,
}

impl QuotaTolerance {
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
pub struct AcquireRequest {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Hash of the request's program; zero where it has none.
    pub program: u64,
    /// The tenant's limit.
    pub limit: RateLimit,
    /// Version of the configuration that the limit is from.
    pub version: u64,
    /// Whether the owner is asked in place of others that did not answer.
    pub standby: bool,
}

/// An owner's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It may be made, and is counted.
    Granted,
    /// It may not; when to come back.
    Rejected(Duration),
    /// This owner does not count for the tenant.
    Unknown,
}

/// Where a granted request was counted, by which it can be given back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantReceipt {
    /// Slot of the window.
    pub slot: u64,
    /// Version of the limit.
    pub version: u64,
    /// Life of the owner.
    pub incarnation: u64,
}

/// Limits of the tenants that one store owns.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    /// Tells this owner from the one that it was before a restart.
    incarnation: u64,
    tolerance: QuotaTolerance,
    accounts: HashMap<u64, Account>,
    /// Since when this owner counts.
    since: Duration,
    programs: usize,
    habits: Habits,
    swept_at: Duration,
}

impl QuotaLedger {
    /// The same ledger where the operator tolerates so much.
    pub fn with_tolerance(self, tolerance: QuotaTolerance) -> Self {
        Self { tolerance, ..self }
    }

    /// The same ledger in this life of its owner, drawn at random at each start.
    pub fn with_incarnation(self, incarnation: u64) -> Self {
        Self {
            incarnation,
            ..self
        }
    }

    /// Who owns which tenant has changed: for tenants that are new to it this owner
    /// begins to count now.
    pub fn handle_owner_change(&mut self, now: Duration) {
        self.since = now;
    }

    /// Whether all of a tenant's requests of the last window are known here: an owner
    /// that has just started, or just become one, does not know what others granted.
    pub fn has_full_window(&self, tenant: u64, now: Duration) -> bool {
        let account = self.accounts.get(&tenant);
        let since = account.map_or(self.since, Account::complete_since);
        since + self.tolerance.window() <= now
    }

    /// Decides on one request.
    pub fn acquire(&mut self, question: &AcquireRequest, now: Duration) -> QuotaDecision {
        let Some(begins) = self.open(question, now) else {
            return QuotaDecision::Unknown;
        };
        let Some(account) = self.accounts.get_mut(&question.tenant) else {
            return QuotaDecision::Unknown;
        };
        if let Some(wait) = account.wait(begins, &self.habits, self.tolerance, now) {
            account.refuse(question.program);
            return QuotaDecision::Rejected(wait.clamp(RETURN.0, RETURN.1));
        }
        account.grant(question.program, begins, &mut self.habits, now);
        self.programs += usize::from(begins);
        QuotaDecision::Granted
    }

    /// Where the request of a tenant that was granted just now is counted.
    pub fn receipt(&mut self, tenant: u64, now: Duration) -> Option<GrantReceipt> {
        let account = self.accounts.get_mut(&tenant)?;
        let (slot, version) = account.slot(now)?;
        Some(GrantReceipt {
            slot,
            version,
            incarnation: self.incarnation,
        })
    }

    /// Takes back a request that was granted here and then not run: its tenant may
    /// make another one. What has left the window changes nothing, and what another
    /// owner granted is not known here.
    pub fn refund(&mut self, tenant: u64, receipt: GrantReceipt, now: Duration) {
        if receipt.incarnation != self.incarnation {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.take_back(receipt.slot, receipt.version, now);
        }
    }

    /// Counts a request that another owner has granted.
    pub fn count(&mut self, question: &AcquireRequest, now: Duration) {
        let Some(begins) = self.open(question, now) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&question.tenant) {
            account.grant(question.program, begins, &mut self.habits, now);
            self.programs += usize::from(begins);
        }
    }

    /// Makes sure that the tenant has an account; says whether the request begins
    /// a program. `None` where there is no room for an account.
    fn open(&mut self, question: &AcquireRequest, now: Duration) -> Option<bool> {
        self.sweep(now);
        if !self.accounts.contains_key(&question.tenant) {
            if self.accounts.len() >= MOST_TENANTS {
                return None;
            }
            let account = self.new_account(question, now);
            self.accounts.insert(question.tenant, account);
        }
        let account = self.accounts.get_mut(&question.tenant)?;
        account.follow(question.limit, question.version, now);
        let known = question.program == 0 || account.knows(question.program);
        Some(!known && self.programs < MOST_PROGRAMS)
    }

    fn new_account(&self, question: &AcquireRequest, now: Duration) -> Account {
        let complete_since = match question.standby {
            true => now,
            false => self.since,
        };
        let counted = now.saturating_sub(complete_since);
        let mut requests = Window::new(self.tolerance.window(), now);
        let assumed = requests.allowed(question.limit) * ASSUMED_PART;
        requests.assume(assumed, counted, now);
        Account::new(question.limit, requests, question.version, complete_since)
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
            self.programs += account.programs();
            !account.idle(now)
        });
    }
}
