//! Matches requests to routes and authenticates their callers, by the current configuration
//! or a newer one.

use std::rc::Rc;
use std::time::Duration;

use hyper::http::request::Parts;
use stageyoke_directory::{Interpreter, KeyValueService, Route, RouteTable};
use stageyoke_types::ErrorKind;

use crate::authentication::{AuthenticationError, Caller};
use crate::failure::Failure;
use crate::front::Front;
use crate::handler::OUTAGE_RETRY_DELAY;
use crate::request::host_name;

/// Route and caller of a request, with the route table that matched it.
pub(crate) struct MatchedRoute {
    pub(crate) routes: Rc<RouteTable>,
    pub(crate) route: Route,
    pub(crate) caller: Caller,
}

/// Reason why a route table does not allow a request.
enum RoutingError {
    NoRoute,
    Unauthenticated(AuthenticationError),
}

fn match_route(routes: Rc<RouteTable>, head: &Parts) -> Result<MatchedRoute, RoutingError> {
    let host = host_name(&head.headers).unwrap_or_default();
    let route = routes
        .find(host, head.uri.path())
        .ok_or(RoutingError::NoRoute)?;
    let caller = Caller::authenticate(&routes, route, &head.headers)
        .map_err(RoutingError::Unauthenticated)?;
    let route = route.clone();
    Ok(MatchedRoute {
        routes,
        route,
        caller,
    })
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Finds the route of a request and authenticates its caller. If the cached
    /// configuration does not allow the request, a newer one may, so it is rejected only
    /// after a read that started when the request had already arrived. The read has
    /// `lookup_timeout`.
    pub(crate) async fn route_request(
        &self,
        head: &Parts,
        lookup_timeout: Duration,
    ) -> Result<MatchedRoute, Failure> {
        let no_configuration = Failure::retryable(
            ErrorKind::Unavailable,
            "no_configuration",
            OUTAGE_RETRY_DELAY,
        );
        let routes = self.mirror.view().routes.clone();
        if let Some(routes) = routes
            && let Ok(matched) = match_route(routes, head)
        {
            return Ok(matched);
        }
        let changes = self.mirror.change_count();
        let confirmed = tokio::time::timeout(lookup_timeout, self.mirror.confirm_routes()).await;
        if self.mirror.change_count() != changes {
            // The mirror emits no event for a configuration read here, so metrics and
            // tenant warnings must be updated explicitly.
            self.apply_directory();
        }
        if !matches!(confirmed, Ok(Ok(()))) {
            let cause = "route_not_confirmed";
            return Err(Failure::retryable(
                ErrorKind::Unavailable,
                cause,
                OUTAGE_RETRY_DELAY,
            ));
        }
        let routes = self.mirror.view().routes.clone().ok_or(no_configuration)?;
        match_route(routes, head).map_err(|reason| match reason {
            RoutingError::NoRoute => Failure::permanent(ErrorKind::NotFound, "no_such_route"),
            RoutingError::Unauthenticated(reason) => {
                Failure::permanent(ErrorKind::Unauthorized, reason.cause())
            }
        })
    }
}
