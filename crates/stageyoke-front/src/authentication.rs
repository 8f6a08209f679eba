//! Authenticates callers: finds the tenant that holds a request's key, by the current
//! configuration.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use stageyoke_directory::{Route, RouteTable, ServiceSpec, Tenant};
use stageyoke_observe as observe;
use stageyoke_types::Event;

use crate::log_limiter::LogRateLimiter;
use crate::protocol_names::UrgencyScale;

/// Authorization scheme that carries a key.
const KEY_SCHEME: &str = "bearer";
/// Number of distinct route ranks among tenants of one rank; lower ranks share the last
/// one.
const ROUTE_RANKS: u8 = 3;
/// Highest rank number of a tenant that stays distinct.
const MAX_TENANT_RANK: u8 = u8::MAX / ROUTE_RANKS - 1;

/// Decides whether the directory is fresh enough to accept a key, which may have been
/// revoked since.
#[derive(Debug)]
pub struct KeyFreshness {
    bound: Duration,
    limit: Option<Duration>,
    log_limiter: LogRateLimiter,
}

impl KeyFreshness {
    /// Configuration changes must apply within `bound`. Keys are rejected once the
    /// directory is older than `limit`; without a limit they are accepted and an event is
    /// logged.
    pub fn new(bound: Duration, limit: Option<Duration>) -> Self {
        Self {
            bound,
            limit,
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// Returns whether a key may be accepted by a directory of this age.
    pub fn accepts_keys(&self, age: Duration) -> bool {
        if age <= self.bound {
            return true;
        }
        if self.log_limiter.try_acquire() {
            let detail = format!("directory_age={} limit={:?}", age.as_millis(), self.limit);
            observe::record_event(Event::KeysUnconfirmed, &detail);
        }
        self.limit.is_none_or(|limit| age <= limit)
    }
}

/// Authenticated caller of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    /// Tenant that holds the request's key; `None` if the route requires no key and the
    /// request carries no known one.
    pub tenant: Option<Tenant>,
    /// Whether the configuration has tenants, which means that the authorization header is
    /// meant for the front.
    pub tenants_configured: bool,
}

/// Reason why a caller could not be authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// The request carries no key, or more than one.
    NoKey,
    /// No tenant holds the key.
    UnknownKey,
}

impl AuthenticationError {
    /// Returns the cause as logged.
    pub fn cause(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
        }
    }
}

impl Caller {
    /// Authenticates the caller of a request on this route.
    pub fn authenticate(
        routes: &RouteTable,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Self, AuthenticationError> {
        let Some(tenants) = &routes.tenants else {
            return Ok(Self::default());
        };
        let key = bearer_key(headers);
        let holder = key.and_then(|key| tenants.find_by_key(key));
        if holder.is_none() && !route.allows_anonymous {
            return Err(match key {
                Some(_) => AuthenticationError::UnknownKey,
                None => AuthenticationError::NoKey,
            });
        }
        Ok(Self {
            tenant: holder.cloned(),
            tenants_configured: true,
        })
    }

    /// Returns the rank of a request on this route, 0 being the highest.
    pub fn priority(&self, route: &Route) -> u8 {
        let tenant_rank = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant_rank.unwrap_or(route.priority)
    }

    /// Returns the order of a request in the engines' queues, 0 being first: by the
    /// tenant's rank, and among tenants of equal rank by the route's.
    pub fn order(&self, route: &Route) -> u8 {
        let tenant_rank = self.priority(route).min(MAX_TENANT_RANK);
        tenant_rank * ROUTE_RANKS + route.priority.min(ROUTE_RANKS - 1)
    }

    /// Returns the urgency to send to an engine: the order of the request, limited to the
    /// engine's scale. Returns `None` for tenants without a rank, unless all requests are
    /// `ordered`.
    pub fn urgency(
        &self,
        route: &Route,
        service: &ServiceSpec,
        scale: &UrgencyScale,
        ordered: bool,
    ) -> Option<u8> {
        service.engine.as_ref()?;
        let tenant_rank = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        (ordered || tenant_rank.is_some()).then(|| self.order(route).min(scale.least_urgent))
    }
}

/// Returns the key of a request that carries exactly one.
fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let (scheme, rest) = value.split_at_checked(KEY_SCHEME.len())?;
    let key = rest.trim_ascii();
    let separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    let is_bearer = scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes());
    (is_bearer && separated && !key.is_empty()).then_some(key)
}
