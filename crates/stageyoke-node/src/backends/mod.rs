//! Clients of the two kinds of back end: model engines and applications.

pub mod application;
pub mod engine;
pub mod engine_protocol;
mod relayed_body;
mod replica_connection;
pub mod run_limits;
pub mod sweep;

use http_body_util::combinators::BoxBody;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Any error of a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of any request or response.
pub type Body = BoxBody<Bytes, BodyError>;
/// A pooled HTTP client.
pub type HttpClient = Client<HttpConnector, Body>;

/// Longest time to connect to a back end.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Idle connections kept for one back end.
const IDLE_CONNECTIONS: usize = 256;

/// A client with a pool of connections.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .build(connector)
}

/// A body that is wholly in memory.
pub fn full_body(content: impl Into<Bytes>) -> Body {
    use http_body_util::BodyExt;
    http_body_util::Full::new(content.into())
        .map_err(|never| match never {})
        .boxed()
}
