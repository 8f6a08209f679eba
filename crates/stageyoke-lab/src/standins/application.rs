//! Stand-in for an application replica: answers with its name and the method,
//! path and body length of the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use stageyoke_node::backends::Body;

use super::{Handler, respond};

/// Application replica.
pub struct ApplicationStandIn {
    name: String,
    request_count: AtomicU64,
}

impl ApplicationStandIn {
    /// Creates a replica that answers with this name.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            request_count: AtomicU64::new(0),
        }
    }

    /// Number of requests received.
    pub fn requests(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }
}

impl Handler for ApplicationStandIn {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let body = request.into_body().collect().await;
        let length = body.map_or(0, |body| body.to_bytes().len());
        let text = format!("{} {method} {path} {length}\n", self.name);
        respond(StatusCode::OK, text)
    }
}
