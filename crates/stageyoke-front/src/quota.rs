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

use crate::answer::Failure;
use crate::handler::SOON;
use crate::line_pause::LinePause;

/// Part of its limit that a tenant has through fronts which reach no owner, all of
/// them together: what they grant comes on top of what owners grant to others.
const SHARE_PART: f64 = 0.5;
/// Fronts among which that part is divided while no store has told their number:
/// as many as the middle ones of the known deployments have.
const FRONTS_UNTOLD: u16 = 64;
/// After a refusal a tenant's requests are asked for before anything else is done
/// for them, for this long: most will be refused as well.
const TIGHT_FOR: Duration = Duration::from_millis(1000);
/// Tenants that are remembered; the longest unused go.
const MOST_TENANTS: usize = 4096;

/// What this front knows of a tenant.
#[derive(Debug)]
struct Known {
    share: TokenBucket,
    version: u64,
    refused_at: Option<Duration>,
    used_at: Duration,
}

/// Limits of tenants as one front keeps them.
pub struct Quotas {
    stores: Rc<GroupClients>,
    started: Instant,
    fronts: Cell<u16>,
    tenants: RefCell<HashMap<u64, Known>>,
    lines: LinePause,
}

/// One request, as its tenant's limit sees it.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
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
            fronts: Cell::new(FRONTS_UNTOLD),
            tenants: RefCell::default(),
            lines: LinePause::default(),
        }
    }

    /// Whether a request of this tenant was refused a moment ago.
    pub fn tight(&self, tenant: &Tenant) -> bool {
        let tenants = self.tenants.borrow();
        let known = tenants.get(&key(tenant));
        let refused_at = known.and_then(|known| known.refused_at);
        refused_at.is_some_and(|at| at + TIGHT_FOR > self.started.elapsed())
    }

    /// Counts a request, or refuses it: it was not run then. Tells the grant, where an
    /// owner has given one.
    pub async fn admit(&self, asked: Asked<'_>) -> Result<Option<QuotaGrant>, Failure> {
        let Some(limit) = asked.tenant.rate_limit else {
            return Ok(None);
        };
        let limit = RateLimit {
            per_second: limit.per_second,
            burst: limit.burst,
        };
        let question = AcquireRequest {
            tenant: key(asked.tenant),
            program: match asked.program.is_empty() {
                true => 0,
                false => TurnKey::of(asked.program).0,
            },
            limit,
            version: asked.version,
            standby: false,
        };
        let (verdict, grant) = self.ask_owners(question).await;
        let now = self.started.elapsed();
        match verdict {
            QuotaDecision::Granted => Ok(grant),
            QuotaDecision::Rejected(after) => {
                self.known(&question, now, |known| known.refused_at = Some(now));
                Err(refusal("quota_spent", after))
            }
            QuotaDecision::Unknown => self.take_share(&question, now).map(|()| None),
        }
    }

    /// A request that was granted has not run: its tenant may make another one.
    pub fn give_back(&self, grant: &QuotaGrant) {
        self.stores.refund(grant);
    }

    async fn ask_owners(&self, question: AcquireRequest) -> (QuotaDecision, Option<QuotaGrant>) {
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
        self.tell_unknown();
        let granted = self.known(question, now, |known| known.share.try_acquire(now));
        match granted {
            true => Ok(()),
            false => Err(refusal("quota_share_spent", SOON)),
        }
    }

    fn tell_unknown(&self) {
        if self.lines.take() {
            let detail = format!("fronts={}", self.fronts.get());
            observe::event(Event::QuotaUnknown, &detail);
        }
    }

    fn known<T>(
        &self,
        question: &AcquireRequest,
        now: Duration,
        act: impl FnOnce(&mut Known) -> T,
    ) -> T {
        let mut tenants = self.tenants.borrow_mut();
        if tenants.len() >= MOST_TENANTS && !tenants.contains_key(&question.tenant) {
            forget_unused(&mut tenants);
        }
        let part = SHARE_PART / f64::from(self.fronts.get());
        let limit = question.limit.scaled(part);
        let known = tenants.entry(question.tenant).or_insert_with(|| Known {
            share: TokenBucket::new(limit, limit.burst, now),
            version: question.version,
            refused_at: None,
            used_at: now,
        });
        if question.version > known.version || known.share.limit() != limit {
            known.version = known.version.max(question.version);
            known.share.set_limit(limit, now);
        }
        known.used_at = now;
        act(known)
    }
}

/// Half of them go, so that the next look is far away.
fn forget_unused(tenants: &mut HashMap<u64, Known>) {
    let mut uses: Vec<Duration> = tenants.values().map(|known| known.used_at).collect();
    uses.sort_unstable();
    let middle = uses.get(uses.len() / 2).copied().unwrap_or_default();
    tenants.retain(|_, known| known.used_at > middle);
}

fn refusal(cause: &'static str, after: Duration) -> Failure {
    Failure::come_back(ErrorKind::QuotaSpent, cause, after)
}

fn key(tenant: &Tenant) -> u64 {
    TurnKey::of(&tenant.name).0
}
