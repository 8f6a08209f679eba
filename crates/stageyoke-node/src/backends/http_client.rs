//! Pooled HTTP client, and the limit on what a server may send before the head of its response.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Waker};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::ext::on_informational;
use hyper::{HeaderMap, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::Notify;

use super::{Body, BodyError};

/// Longest time to connect to a back end.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept for one back end.
const IDLE_CONNECTIONS: usize = 256;
/// Bytes of informational (1xx) heads that may precede a response. The HTTP library limits each
/// single head, but not their number.
const MAX_INFORMATIONAL_BYTES: usize = 64 << 10;
/// Bytes of a status line without its reason, and of the empty line that ends a head.
const STATUS_LINE_BYTES: usize = 17;
/// Bytes of a header field besides its name and value.
const FIELD_OVERHEAD_BYTES: usize = 4;
/// At least the number of operations that the runtime allows a task in one turn.
const MAX_OPERATIONS_PER_TURN: usize = 1_024;

/// Why a request has no response.
#[derive(Debug)]
pub enum RequestError {
    /// No connection could be opened, so nothing was sent.
    NotConnected(BodyError),
    /// The connection was lost, or what came is no HTTP.
    ConnectionLost(BodyError),
    /// Too many informational heads came in place of a response.
    InformationalHeads,
}

impl RequestError {
    /// Returns whether nothing was sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::NotConnected(_))
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(error) => write!(formatter, "not connected: {error}"),
            Self::ConnectionLost(error) => write!(formatter, "connection lost: {error}"),
            Self::InformationalHeads => write!(
                formatter,
                "more than {MAX_INFORMATIONAL_BYTES} bytes of informational heads"
            ),
        }
    }
}

impl std::error::Error for RequestError {}

impl From<hyper::Error> for RequestError {
    fn from(error: hyper::Error) -> Self {
        Self::ConnectionLost(error.into())
    }
}

impl From<hyper_util::client::legacy::Error> for RequestError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        match error.is_connect() {
            true => Self::NotConnected(error.into()),
            false => Self::ConnectionLost(error.into()),
        }
    }
}

/// A pooled HTTP client.
#[derive(Clone)]
pub struct HttpClient(Client<HttpConnector, Body>);

/// A client with a pool of connections.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .build(connector);
    HttpClient(client)
}

impl HttpClient {
    /// Sends the request and waits for the head of its response.
    pub async fn request(
        &self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, RequestError> {
        limit_informational_heads(request, |request| self.0.request(request)).await
    }
}

/// Sends a request, and drops it once too many informational heads have come, which closes its
/// connection.
pub(super) async fn limit_informational_heads<Sending, Error>(
    mut request: Request<Body>,
    send: impl FnOnce(Request<Body>) -> Sending,
) -> Result<Response<Incoming>, RequestError>
where
    Sending: Future<Output = Result<Response<Incoming>, Error>>,
    RequestError: From<Error>,
{
    let exceeded = Arc::new(Notify::new());
    let (bytes, signal) = (AtomicUsize::new(0), exceeded.clone());
    on_informational(&mut request, move |head| {
        let head_bytes = head_bytes(head.headers());
        let before = bytes.fetch_add(head_bytes, Ordering::Relaxed);
        if before + head_bytes > MAX_INFORMATIONAL_BYTES {
            signal.notify_one();
            end_turn_of_task();
        }
    });
    tokio::select! {
        response = send(request) => Ok(response?),
        () = exceeded.notified() => Err(RequestError::InformationalHeads),
    }
}

/// Makes the next read of this task wait for its next turn. A server that always has bytes ready
/// is otherwise read many times before the task finds out that its request was dropped.
fn end_turn_of_task() {
    let mut context = Context::from_waker(Waker::noop());
    for _ in 0..MAX_OPERATIONS_PER_TURN {
        let operation = pin!(tokio::task::coop::consume_budget());
        if operation.poll(&mut context).is_pending() {
            return;
        }
    }
}

fn head_bytes(headers: &HeaderMap) -> usize {
    let fields = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES);
    STATUS_LINE_BYTES + fields.sum::<usize>()
}
