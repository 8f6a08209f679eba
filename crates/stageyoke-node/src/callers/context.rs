//! What every request handler needs, and what it asks of a request first.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, header};
use stageyoke_config::model::Tenant;
use stageyoke_core::gateway::Failure;
use stageyoke_types::ErrorKind;

use crate::backends::application::ApplicationClient;
use crate::driver::{ActiveConfig, ConfigCell, DriverHandle};
use crate::metrics::Metrics;

/// Shared by all requests of a node.
pub struct CallerContext {
    /// The driver.
    pub driver: DriverHandle,
    /// Configuration in force.
    pub config: ConfigCell,
    /// Metrics.
    pub metrics: Metrics,
    /// Application pools.
    pub applications: ApplicationClient,
    /// Set once the node drains.
    pub draining: AtomicBool,
    streams: Mutex<HashMap<String, u64>>,
}

/// A request whose tenant is known, and that counts against its limit until
/// this is dropped.
pub struct Admitted {
    /// Configuration that the request is served under.
    pub config: Arc<ActiveConfig>,
    /// Tenant.
    pub tenant: Tenant,
    context: Arc<CallerContext>,
}

impl CallerContext {
    /// A context with no requests.
    pub fn new(driver: DriverHandle, config: ConfigCell, metrics: Metrics) -> Self {
        Self {
            driver,
            config,
            metrics,
            applications: ApplicationClient::default(),
            draining: AtomicBool::new(false),
            streams: Mutex::default(),
        }
    }

    /// Finds the tenant of a request and counts the request.
    pub fn admit(self: &Arc<Self>, request: &Request<Incoming>) -> Result<Admitted, Failure> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Failure::not_run(ErrorKind::Draining, ""));
        }
        let config = self
            .config
            .get()
            .ok_or_else(|| Failure::not_run(ErrorKind::Unavailable, "no configuration yet"))?;
        let tenant = bearer_key(request.headers())
            .and_then(|key| config.config.tenant_by_key(key))
            .cloned()
            .ok_or_else(|| Failure::not_run(ErrorKind::Unauthorized, ""))?;
        self.count_stream(&tenant)?;
        Ok(Admitted {
            config,
            tenant,
            context: self.clone(),
        })
    }

    fn count_stream(&self, tenant: &Tenant) -> Result<(), Failure> {
        let Ok(mut streams) = self.streams.lock() else {
            return Err(Failure::not_run(ErrorKind::Internal, ""));
        };
        let count = streams.entry(tenant.name.clone()).or_default();
        if *count >= tenant.streams {
            return Err(Failure::not_run(ErrorKind::RateLimited, "streams"));
        }
        *count += 1;
        Ok(())
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Ok(mut streams) = self.context.streams.lock()
            && let Some(count) = streams.get_mut(&self.tenant.name)
        {
            *count = count.saturating_sub(1);
        }
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}
