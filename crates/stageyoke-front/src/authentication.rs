//! Who calls: the tenant that holds a request's key, by the configuration in
//! force.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use stageyoke_directory::{Route, RouteTable, ServiceSpec, Tenant};
use stageyoke_observe as observe;
use stageyoke_types::Event;

use crate::log_limiter::LogRateLimiter;
use crate::protocol_names::UrgencyScale;

/// Scheme of the header that carries a key.
const KEY_SCHEME: &str = "bearer";
/// Ranks of routes that are told apart among tenants of one rank; lower ones go last.
const ROUTE_RANKS: u8 = 3;
/// Ranks of tenants that are told apart.
const MAX_TENANT_RANK: u8 = u8::MAX / ROUTE_RANKS - 1;

/// Whether a front can know that a key still holds: the directory tells when one is
/// taken away, and may have got old.
#[derive(Debug)]
pub struct KeyFreshness {
    bound: Duration,
    limit: Option<Duration>,
    log_limiter: LogRateLimiter,
}

impl KeyFreshness {
    /// Changes must be in force within `bound`. Keys are refused where the directory
    /// is older than `limit`; without one they are taken, and a line says so.
    pub fn new(bound: Duration, limit: Option<Duration>) -> Self {
        Self {
            bound,
            limit,
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// Whether a key may be taken by a directory of this age.
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

/// Who makes a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    /// Holder of the request's key; none where no key is needed and none of a
    /// tenant's was given.
    pub tenant: Option<Tenant>,
    /// Whether the configuration has tenants, so that keys are for the front.
    pub tenants_configured: bool,
}

/// Why a request is not let in, by this configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// It carries no key, or more than one.
    NoKey,
    /// No tenant holds its key.
    UnknownKey,
}

impl AuthenticationError {
    /// The cause as logs name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
        }
    }
}

impl Caller {
    /// Who makes a request on this route.
    pub fn of(
        routes: &RouteTable,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Self, AuthenticationError> {
        let Some(tenants) = &routes.tenants else {
            return Ok(Self::default());
        };
        let key = key(headers);
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

    /// Rank of a request on this route; zero is the highest.
    pub fn priority(&self, route: &Route) -> u8 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        own.unwrap_or(route.priority)
    }

    /// Order of requests among engines' turns; zero goes first. A tenant's rank goes before
    /// its route's; among tenants of one rank, as where all have the same, the route's
    /// decides.
    pub fn order(&self, route: &Route) -> u8 {
        let own = self.priority(route).min(MAX_TENANT_RANK);
        own * ROUTE_RANKS + route.priority.min(ROUTE_RANKS - 1)
    }

    /// What an engine is told of a request's urgency: its order, as far as the engine's
    /// scale goes; nothing where its tenant has no rank of its own, unless all are
    /// `ordered`. Told as the distance between the two ranks, one tenant's urgent routes
    /// went behind its others.
    pub fn urgency(
        &self,
        route: &Route,
        service: &ServiceSpec,
        scale: &UrgencyScale,
        ordered: bool,
    ) -> Option<u8> {
        service.engine.as_ref()?;
        let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        (ordered || own.is_some()).then(|| self.order(route).min(scale.least_urgent))
    }
}

/// The one key that a request carries.
fn key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let (scheme, rest) = value.split_at_checked(KEY_SCHEME.len())?;
    let key = rest.trim_ascii();
    let separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    let named = scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes());
    (named && separated && !key.is_empty()).then_some(key)
}
