//! Enforces tenants' rate limits across all fronts. Each request is granted by the store
//! that owns its tenant's quota. While no store answers, the front uses a local share of
//! the limit that is small enough for all fronts to do so at once.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::Tenant;
use stageyoke_observe as observe;
use stageyoke_policy::quota::{AcquireRequest, QuotaDecision};
use stageyoke_policy::token_bucket::{RateLimit, TokenBucket};
use stageyoke_store::GroupClients;
use stageyoke_store::keys::TurnKey;
use stageyoke_store::quota_owners::QuotaGrant;
use stageyoke_types::{ErrorKind, Event, Text};
use tokio::time::Instant;

use crate::failure::Failure;
use crate::handler::SHORT_RETRY_DELAY;
use crate::log_limiter::LogRateLimiter;

/// Fraction of a tenant's limit that all fronts without a reachable owner may grant
/// together. These grants come on top of those that owners make to other fronts.
const LOCAL_SHARE_FRACTION: f64 = 0.5;
/// Number of fronts assumed for dividing that fraction until a store reports the number.
const DEFAULT_FRONT_COUNT: u16 = 64;
/// Time after a rejection during which the quota is checked before any other work for the
/// tenant's requests, as most of them will be rejected too.
const RECENT_REJECTION_PERIOD: Duration = Duration::from_millis(1000);
/// Tenants retained in memory; the least recently used half is evicted when it is full.
const MAX_TENANTS: usize = 4096;

/// State of one tenant at this front.
#[derive(Debug)]
struct TenantState {
    local_share: TokenBucket,
    version: u64,
    rejected_at: Option<Duration>,
    last_used: Duration,
}

/// Rate limits of tenants, as enforced by one front.
pub struct Quotas {
    stores: Rc<GroupClients>,
    started: Instant,
    fronts: Cell<u16>,
    tenants: RefCell<HashMap<u64, TenantState>>,
    log_limiter: LogRateLimiter,
}

/// Request for a unit of a tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest<'a> {
    /// Tenant whose quota is charged.
    pub tenant: &'a Tenant,
    /// Program identifier as used by the stores; empty without a program.
    pub program: &'a Text,
    /// Version of the configuration that sets the limit.
    pub version: u64,
}

impl Quotas {
    /// Creates quotas that are granted by these stores.
    pub fn new(stores: Rc<GroupClients>) -> Self {
        Self {
            stores,
            started: Instant::now(),
            fronts: Cell::new(DEFAULT_FRONT_COUNT),
            tenants: RefCell::default(),
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// Returns whether a request of this tenant was rejected within the last second.
    pub fn is_recently_rejected(&self, tenant: &Tenant) -> bool {
        let tenants = self.tenants.borrow();
        let state = tenants.get(&tenant_key(tenant));
        let rejected_at = state.and_then(|state| state.rejected_at);
        rejected_at.is_some_and(|at| at + RECENT_REJECTION_PERIOD > self.started.elapsed())
    }

    /// Charges a request to its tenant's quota, or rejects it before it runs. Returns the
    /// grant if an owner issued one.
    pub async fn acquire(&self, request: QuotaRequest<'_>) -> Result<Option<QuotaGrant>, Failure> {
        let Some(limit) = request.tenant.rate_limit else {
            return Ok(None);
        };
        let limit = RateLimit {
            per_second: limit.per_second,
            burst: limit.burst,
        };
        let acquire_request = AcquireRequest {
            tenant: tenant_key(request.tenant),
            program: match request.program.is_empty() {
                true => 0,
                false => TurnKey::of(request.program).0,
            },
            limit,
            version: request.version,
            standby: false,
        };
        let (decision, grant) = self.query_owners(acquire_request).await;
        let now = self.started.elapsed();
        match decision {
            QuotaDecision::Granted => Ok(grant),
            QuotaDecision::Rejected(after) => {
                self.with_tenant(&acquire_request, now, |state| state.rejected_at = Some(now));
                Err(rejection("quota_spent", after))
            }
            QuotaDecision::Unknown => self.take_local_share(&acquire_request, now).map(|()| None),
        }
    }

    /// Refunds the grant of a request that did not run.
    pub fn refund(&self, grant: &QuotaGrant) {
        self.stores.refund(grant);
    }

    async fn query_owners(
        &self,
        acquire_request: AcquireRequest,
    ) -> (QuotaDecision, Option<QuotaGrant>) {
        if self.stores.all_failing_for().is_some() {
            return (QuotaDecision::Unknown, None);
        }
        let Some(decision) = self.stores.request_quota(acquire_request).await else {
            return (QuotaDecision::Unknown, None);
        };
        if decision.fronts > 0 {
            self.fronts.set(decision.fronts);
        }
        (decision.verdict, decision.grant)
    }

    fn take_local_share(
        &self,
        acquire_request: &AcquireRequest,
        now: Duration,
    ) -> Result<(), Failure> {
        self.log_unknown();
        let granted = self.with_tenant(acquire_request, now, |state| {
            state.local_share.try_acquire(now)
        });
        match granted {
            true => Ok(()),
            false => Err(rejection("quota_share_spent", SHORT_RETRY_DELAY)),
        }
    }

    fn log_unknown(&self) {
        if self.log_limiter.try_acquire() {
            let detail = format!("fronts={}", self.fronts.get());
            observe::record_event(Event::QuotaUnknown, &detail);
        }
    }

    fn with_tenant<T>(
        &self,
        acquire_request: &AcquireRequest,
        now: Duration,
        update: impl FnOnce(&mut TenantState) -> T,
    ) -> T {
        let mut tenants = self.tenants.borrow_mut();
        if tenants.len() >= MAX_TENANTS && !tenants.contains_key(&acquire_request.tenant) {
            evict_unused(&mut tenants);
        }
        let fraction = LOCAL_SHARE_FRACTION / f64::from(self.fronts.get());
        let limit = acquire_request.limit.scaled(fraction);
        let state = tenants
            .entry(acquire_request.tenant)
            .or_insert_with(|| TenantState {
                local_share: TokenBucket::new(limit, limit.burst, now),
                version: acquire_request.version,
                rejected_at: None,
                last_used: now,
            });
        if acquire_request.version > state.version || state.local_share.limit() != limit {
            state.version = state.version.max(acquire_request.version);
            state.local_share.set_limit(limit, now);
        }
        state.last_used = now;
        update(state)
    }
}

/// Evicts half of the tenants, so that evictions are rare.
fn evict_unused(tenants: &mut HashMap<u64, TenantState>) {
    let mut uses: Vec<Duration> = tenants.values().map(|state| state.last_used).collect();
    uses.sort_unstable();
    let median = uses.get(uses.len() / 2).copied().unwrap_or_default();
    tenants.retain(|_, state| state.last_used > median);
}

fn rejection(cause: &'static str, after: Duration) -> Failure {
    Failure::retryable(ErrorKind::QuotaSpent, cause, after)
}

fn tenant_key(tenant: &Tenant) -> u64 {
    TurnKey::of(&tenant.name).0
}
