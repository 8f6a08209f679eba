//! A tenant's limit over all fronts, as one front keeps it: each request is asked
//! for at the store that counts for its tenant. Where no store answers, the front
//! goes by a share of its own, small enough for all fronts to do so at once.

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

/// Part of its limit that a tenant has through fronts which reach no owner, all of
/// them together: what they grant comes on top of what owners grant to others.
const LOCAL_SHARE_FRACTION: f64 = 0.5;
/// Fronts among which that part is divided while no store has told their number:
/// as many as the middle ones of the known deployments have.
const DEFAULT_FRONT_COUNT: u16 = 64;
/// After a refusal a tenant's requests are asked for before anything else is done
/// for them, for this long: most will be refused as well.
const RECENT_REJECTION_PERIOD: Duration = Duration::from_millis(1000);
/// Tenants that are remembered; the longest unused go.
const MAX_TENANTS: usize = 4096;

/// What this front knows of a tenant.
#[derive(Debug)]
struct TenantState {
    share: TokenBucket,
    version: u64,
    rejected_at: Option<Duration>,
    used_at: Duration,
}

/// Limits of tenants as one front keeps them.
pub struct Quotas {
    stores: Rc<GroupClients>,
    started: Instant,
    fronts: Cell<u16>,
    tenants: RefCell<HashMap<u64, TenantState>>,
    log_limiter: LogRateLimiter,
}

/// One request, as its tenant's limit sees it.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest<'a> {
    /// Who makes it.
    pub tenant: &'a Tenant,
    /// Its program, as stores know it; empty if none.
    pub program: &'a Text,
    /// Version of the configuration.
    pub version: u64,
}

impl Quotas {
    /// Asks these stores.
    pub fn new(stores: Rc<GroupClients>) -> Self {
        Self {
            stores,
            started: Instant::now(),
            fronts: Cell::new(DEFAULT_FRONT_COUNT),
            tenants: RefCell::default(),
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// Whether a request of this tenant was refused a moment ago.
    pub fn is_recently_rejected(&self, tenant: &Tenant) -> bool {
        let tenants = self.tenants.borrow();
        let state = tenants.get(&key(tenant));
        let rejected_at = state.and_then(|state| state.rejected_at);
        rejected_at.is_some_and(|at| at + RECENT_REJECTION_PERIOD > self.started.elapsed())
    }

    /// Counts a request, or refuses it: it was not run then. Tells the grant, where an
    /// owner has given one.
    pub async fn acquire(&self, request: QuotaRequest<'_>) -> Result<Option<QuotaGrant>, Failure> {
        let Some(limit) = request.tenant.rate_limit else {
            return Ok(None);
        };
        let limit = RateLimit {
            per_second: limit.per_second,
            burst: limit.burst,
        };
        let question = AcquireRequest {
            tenant: key(request.tenant),
            program: match request.program.is_empty() {
                true => 0,
                false => TurnKey::of(request.program).0,
            },
            limit,
            version: request.version,
            standby: false,
        };
        let (verdict, grant) = self.query_owners(question).await;
        let now = self.started.elapsed();
        match verdict {
            QuotaDecision::Granted => Ok(grant),
            QuotaDecision::Rejected(after) => {
                self.with_tenant(&question, now, |state| state.rejected_at = Some(now));
                Err(rejection("quota_spent", after))
            }
            QuotaDecision::Unknown => self.take_share(&question, now).map(|()| None),
        }
    }

    /// A request that was granted has not run: its tenant may make another one.
    pub fn refund(&self, grant: &QuotaGrant) {
        self.stores.refund(grant);
    }

    async fn query_owners(&self, question: AcquireRequest) -> (QuotaDecision, Option<QuotaGrant>) {
        if self.stores.all_failing_for().is_some() {
            return (QuotaDecision::Unknown, None);
        }
        let Some(ruling) = self.stores.request_quota(question).await else {
            return (QuotaDecision::Unknown, None);
        };
        if ruling.fronts > 0 {
            self.fronts.set(ruling.fronts);
        }
        (ruling.verdict, ruling.grant)
    }

    fn take_share(&self, question: &AcquireRequest, now: Duration) -> Result<(), Failure> {
        self.log_unknown();
        let granted = self.with_tenant(question, now, |state| state.share.try_acquire(now));
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
        question: &AcquireRequest,
        now: Duration,
        act: impl FnOnce(&mut TenantState) -> T,
    ) -> T {
        let mut tenants = self.tenants.borrow_mut();
        if tenants.len() >= MAX_TENANTS && !tenants.contains_key(&question.tenant) {
            evict_unused(&mut tenants);
        }
        let part = LOCAL_SHARE_FRACTION / f64::from(self.fronts.get());
        let limit = question.limit.scaled(part);
        let state = tenants
            .entry(question.tenant)
            .or_insert_with(|| TenantState {
                share: TokenBucket::new(limit, limit.burst, now),
                version: question.version,
                rejected_at: None,
                used_at: now,
            });
        if question.version > state.version || state.share.limit() != limit {
            state.version = state.version.max(question.version);
            state.share.set_limit(limit, now);
        }
        state.used_at = now;
        act(state)
    }
}

/// Half of them go, so that the next look is far away.
fn evict_unused(tenants: &mut HashMap<u64, TenantState>) {
    let mut uses: Vec<Duration> = tenants.values().map(|state| state.used_at).collect();
    uses.sort_unstable();
    let middle = uses.get(uses.len() / 2).copied().unwrap_or_default();
    tenants.retain(|_, state| state.used_at > middle);
}

fn rejection(cause: &'static str, after: Duration) -> Failure {
    Failure::retryable(ErrorKind::QuotaSpent, cause, after)
}

fn key(tenant: &Tenant) -> u64 {
    TurnKey::of(&tenant.name).0
}
