//! Stand-ins for external systems, each serving that system's published protocol.

pub mod application;
pub mod engine;
pub mod key_value;
pub mod machine_list;
pub mod platform;
pub mod text;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::de::DeserializeOwned;
use stageyoke_node::backends::{Body, full_body};
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// HTTP server of a stand-in. Dropping it closes the listener and all
/// connections at once, like a killed process.
pub struct StandInServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Request handler of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Serves on the given address, or on a free loopback port if there is none.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    address: Option<SocketAddr>,
) -> std::io::Result<StandInServer> {
    let address = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept_connections(handler, listener)).abort_handle();
    Ok(StandInServer { address, task })
}

/// Maximum number of fields in a request's head.
const MAX_FIELDS: usize = 8192;

/// Delay before connections are accepted again after an error.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

async fn accept_connections<H: Handler>(handler: Arc<H>, listener: TcpListener) {
    // Aborting this task drops the set, which closes every connection.
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of descriptors for a moment.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            let mut builder = auto::Builder::new(TokioExecutor::new());
            builder.http1().max_headers(MAX_FIELDS);
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Decodes a request's JSON body; `None` if the body is incomplete or malformed.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

/// Builds a response with a status and a body.
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

/// Builds a successful response with a JSON body.
pub fn respond_json(body: &impl serde::Serialize) -> Response<Body> {
    respond(StatusCode::OK, serde_json::to_vec(body).unwrap_or_default())
}
