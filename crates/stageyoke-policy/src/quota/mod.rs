//! Rate limits of tenants, as enforced by the stores that own them. Fronts acquire quota
//! from an owner for each request before they send it to a replica.
//!
//! A program makes many requests, and a rejected one may abort it and waste the earlier
//! ones. So the limit is checked when a program starts: it is admitted only if the limit
//! covers its expected demand beside the programs in flight. Programs that have started may
//! use a part of the tolerated excess to finish. At seven times the limit, 39 programs of 30
//! requests end and 3 are cut off within 30 s, against none and 125 where requests are granted
//! as they come (`quota_test`).

mod account;
mod demand;

use std::collections::HashMap;
use std::time::Duration;

use self::account::Account;
use self::demand::DemandEstimator;
use crate::sliding_window::SlidingWindow;
use crate::token_bucket::RateLimit;

/// Fraction of the limit that an owner assumes as used in the part of the window before it
/// started to count, since a previous owner may have granted it.
const ASSUMED_UTILIZATION: f64 = 0.9;
/// Length of the limits' window if the tolerance sets none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);
/// Fraction of the tolerated excess that programs in flight may use.
const OVERDRAFT_FRACTION: f64 = 0.5;
/// Tenants that one ledger counts; fronts limit further tenants by a static share.
const MAX_TENANTS: usize = 10_000;
/// Programs that one ledger tracks, about 40 bytes each. Further programs are treated as
/// already started.
const MAX_PROGRAMS: usize = 50_000;
/// Time between removals of finished programs and idle tenants.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest and longest retry delay of a rejection; callers give up after a few seconds.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1500));

/// Excess over the limits that the operator tolerates, since owners can fail and don't know
/// each other's latest grants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Window over which limits and excess are counted; zero selects the default.
    pub window: Duration,
    /// Tolerated excess, as a fraction of the requests allowed per window.
    pub excess: f64,
    /// Tolerated excess beyond that fraction, in requests per window.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Requests above `capacity` that programs in flight may make. The rest of the tolerated
    /// excess is left for grants that owners don't know of each other.
    fn overdraft(&self, capacity: f64) -> f64 {
        (capacity * self.excess + self.slack) * OVERDRAFT_FRACTION
    }

    fn window(&self) -> Duration {
        match self.window.is_zero() {
            true => DEFAULT_WINDOW,
            false => self.window,
        }
    }
}

/// Quota that a front wants to acquire: one request of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcquireRequest {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Hash of the program; zero for a request without one.
    pub program: u64,
    /// Rate limit of the tenant.
    pub limit: RateLimit,
    /// Version of the configuration that sets the limit.
    pub version: u64,
    /// Whether this store stands in for owners that did not answer.
    pub standby: bool,
}

/// Result of an attempt to acquire quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request may proceed and has been counted.
    Granted,
    /// The limit is used up; the caller may retry after this delay.
    Rejected(Duration),
    /// This owner can't decide for the tenant, and has not counted the request.
    Unknown,
}

/// Identifies where a granted request was counted, so that it can be refunded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantReceipt {
    /// Number of the window slot.
    pub slot: u64,
    /// Version of the limit.
    pub version: u64,
    /// Incarnation of the owner.
    pub incarnation: u64,
}

/// Accounts of the tenants whose limits one store owns.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    /// Random number of this process start, which invalidates receipts from earlier ones.
    incarnation: u64,
    tolerance: QuotaTolerance,
    accounts: HashMap<u64, Account>,
    /// Time since which this owner counts the requests of tenants without an account.
    counting_since: Duration,
    program_count: usize,
    demand: DemandEstimator,
    swept_at: Duration,
}

impl QuotaLedger {
    /// Sets the window and the tolerated excess of all limits.
    pub fn with_tolerance(self, tolerance: QuotaTolerance) -> Self {
        Self { tolerance, ..self }
    }

    /// Sets the owner's incarnation, a random number drawn at each process start.
    pub fn with_incarnation(self, incarnation: u64) -> Self {
        Self {
            incarnation,
            ..self
        }
    }

    /// Records that tenants have moved between owners. The window of a tenant that is new
    /// here counts as incomplete from `now` on.
    pub fn handle_owner_change(&mut self, now: Duration) {
        self.counting_since = now;
    }

    /// Returns whether all of the tenant's requests of the last window were counted here.
    /// False just after a start or a change of owners, when other owners may have granted
    /// some of them.
    pub fn has_full_window(&self, tenant: u64, now: Duration) -> bool {
        let account = self.accounts.get(&tenant);
        let since = account.map_or(self.counting_since, Account::complete_since);
        since + self.tolerance.window() <= now
    }

    /// Grants or rejects one request, and counts it if granted.
    pub fn acquire(&mut self, request: &AcquireRequest, now: Duration) -> QuotaDecision {
        let Some(starts_program) = self.prepare_account(request, now) else {
            return QuotaDecision::Unknown;
        };
        let Some(account) = self.accounts.get_mut(&request.tenant) else {
            return QuotaDecision::Unknown;
        };
        if let Some(wait) =
            account.time_until_granted(starts_program, &self.demand, self.tolerance, now)
        {
            account.record_rejection(request.program);
            return QuotaDecision::Rejected(wait.clamp(RETRY_DELAY_RANGE.0, RETRY_DELAY_RANGE.1));
        }
        account.record_grant(request.program, starts_program, &mut self.demand, now);
        self.program_count += usize::from(starts_program);
        QuotaDecision::Granted
    }

    /// Receipt for a request of the tenant that was granted at `now`.
    pub fn receipt(&mut self, tenant: u64, now: Duration) -> Option<GrantReceipt> {
        let account = self.accounts.get_mut(&tenant)?;
        let (slot, version) = account.current_slot(now)?;
        Some(GrantReceipt {
            slot,
            version,
            incarnation: self.incarnation,
        })
    }

    /// Refunds a request that was granted but not run. Has no effect on a receipt from another
    /// owner or incarnation, or after the request has left the window.
    pub fn refund(&mut self, tenant: u64, receipt: GrantReceipt, now: Duration) {
        if receipt.incarnation != self.incarnation {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.refund(receipt.slot, receipt.version, now);
        }
    }

    /// Counts a request that another owner granted.
    pub fn count(&mut self, request: &AcquireRequest, now: Duration) {
        let Some(starts_program) = self.prepare_account(request, now) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&request.tenant) {
            account.record_grant(request.program, starts_program, &mut self.demand, now);
            self.program_count += usize::from(starts_program);
        }
    }

    /// Creates the tenant's account if needed and applies a newer limit. Returns whether the
    /// request starts a program, or `None` if the ledger is full.
    fn prepare_account(&mut self, request: &AcquireRequest, now: Duration) -> Option<bool> {
        self.sweep(now);
        if !self.accounts.contains_key(&request.tenant) {
            if self.accounts.len() >= MAX_TENANTS {
                return None;
            }
            let account = self.new_account(request, now);
            self.accounts.insert(request.tenant, account);
        }
        let account = self.accounts.get_mut(&request.tenant)?;
        account.update_limit(request.limit, request.version, now);
        let known = request.program == 0 || account.has_program(request.program);
        Some(!known && self.program_count < MAX_PROGRAMS)
    }

    fn new_account(&self, request: &AcquireRequest, now: Duration) -> Account {
        let complete_since = match request.standby {
            true => now,
            false => self.counting_since,
        };
        let counted = now.saturating_sub(complete_since);
        let mut requests = SlidingWindow::new(self.tolerance.window(), now);
        let assumed = requests.capacity(request.limit) * ASSUMED_UTILIZATION;
        requests.prefill(assumed, counted, now);
        Account::new(request.limit, requests, request.version, complete_since)
    }

    /// Number of tenants with an account.
    pub fn tenant_count(&self) -> usize {
        self.accounts.len()
    }

    /// Number of programs in memory, over all tenants.
    pub fn program_count(&self) -> usize {
        self.program_count
    }

    /// Drops programs after their retention time, and accounts that hold no requests or
    /// programs. Runs at most once per sweep interval.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.demand.decay(now);
        self.program_count = 0;
        self.accounts.retain(|_, account| {
            account.sweep(&mut self.demand, now);
            self.program_count += account.program_count();
            !account.is_idle(now)
        });
    }
}
