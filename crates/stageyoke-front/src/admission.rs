//! Lets requests in: their route, and who makes them, by the configuration in force
//! or a newer one.

use std::rc::Rc;

use hyper::http::request::Parts;
use stageyoke_directory::{Interpreter, KeyValueService, Route, RouteTable};
use stageyoke_types::ErrorKind;

use crate::access::{Access, Locked};
use crate::answer::Failure;
use crate::front::Front;
use crate::handler::{AFTER_RECOVERY, LOOK_UP_WITHIN};
use crate::request::host;

/// What a configuration says of a request that it allows.
pub(crate) struct Admitted {
    pub(crate) routes: Rc<RouteTable>,
    pub(crate) route: Route,
    pub(crate) access: Access,
}

/// Why a configuration doesn't allow a request.
enum Barred {
    NoRoute,
    Locked(Locked),
}

fn admitted_by(routes: Rc<RouteTable>, head: &Parts) -> Result<Admitted, Barred> {
    let host = host(&head.headers).unwrap_or_default();
    let route = routes.find(host, head.uri.path()).ok_or(Barred::NoRoute)?;
    let access = Access::of(&routes, route, &head.headers).map_err(Barred::Locked)?;
    let route = route.clone();
    Ok(Admitted {
        routes,
        route,
        access,
    })
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Finds the route of a request and who makes it. What the configuration in
    /// force doesn't allow, a newer one may: that it doesn't is only known from a
    /// read that began after the request arrived.
    pub(crate) async fn admit(&self, head: &Parts) -> Result<Admitted, Failure> {
        let unknown =
            Failure::come_back(ErrorKind::Unavailable, "no_configuration", AFTER_RECOVERY);
        let routes = self.mirror.view().routes.clone();
        if let Some(routes) = routes
            && let Ok(admitted) = admitted_by(routes, head)
        {
            return Ok(admitted);
        }
        let changes = self.mirror.change_count();
        let confirmed = tokio::time::timeout(LOOK_UP_WITHIN, self.mirror.confirm_routes()).await;
        if self.mirror.change_count() != changes {
            // No event of the mirror tells of a configuration that is read here: metrics
            // and the lines on tenants stayed behind until the next change.
            self.follow();
        }
        if !matches!(confirmed, Ok(Ok(()))) {
            let cause = "route_not_confirmed";
            return Err(Failure::come_back(
                ErrorKind::Unavailable,
                cause,
                AFTER_RECOVERY,
            ));
        }
        let routes = self.mirror.view().routes.clone().ok_or(unknown)?;
        admitted_by(routes, head).map_err(|barred| match barred {
            Barred::NoRoute => Failure::last(ErrorKind::NotFound, "no_such_route"),
            Barred::Locked(locked) => Failure::last(ErrorKind::Unauthorized, locked.name()),
        })
    }
}
