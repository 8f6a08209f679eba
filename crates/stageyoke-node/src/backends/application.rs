//! Passing requests through to application replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, Version, header};
use stageyoke_config::model::{Configuration, Pool, Route};
use stageyoke_core::gateway::Failure;
use stageyoke_framing::{Framing, close_after};
use stageyoke_types::{ErrorKind, RunState, Text};

use super::relayed_body::RelayedBody;
use super::replica_connection::NewConnection;
use super::run_limits::{RequestIdentity, Run, RunLimits};
use super::{Body, HttpClient, full_body, http_client};

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: &[header::HeaderName] = &[
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    // The caller's key is for this system, not for the application.
    header::AUTHORIZATION,
];
const WHOLE: usize = 100;
/// Has no divisor in common with the whole, and so spreads a share evenly over
/// the requests.
const SHARE_STRIDE: usize = 61;

/// Client of all application pools.
pub struct ApplicationClient {
    http: HttpClient,
    turn: AtomicUsize,
    limits: Arc<RunLimits>,
}

impl Default for ApplicationClient {
    fn default() -> Self {
        Self {
            http: http_client(),
            turn: AtomicUsize::new(0),
            limits: Arc::default(),
        }
    }
}

impl ApplicationClient {
    /// Passes a request to a replica of the route's pool and its answer back,
    /// both streamed. A safe request is tried on every replica unless several of
    /// them end under it, and once more on a new connection if one was lost; any
    /// other goes on to the next only while no byte of it was sent.
    pub async fn forward(
        &self,
        config: &Configuration,
        route: &Route,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failure> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let pool = choose_pool(config, route, turn)
            .ok_or_else(|| Failure::not_run(ErrorKind::NotFound, "pool"))?;
        let deadline = Duration::from_secs(route.deadline_seconds);
        let replicas = in_turn(pool, turn);
        if may_repeat(&request) {
            self.try_each(request, &replicas, deadline).await
        } else {
            self.send_once(request, &replicas, deadline).await
        }
    }

    async fn try_each(
        &self,
        request: Request<Incoming>,
        replicas: &[SocketAddr],
        deadline: Duration,
    ) -> Result<Response<Body>, Failure> {
        let (parts, _) = request.into_parts();
        let identity = identity(&parts);
        let mut lost = None;
        for replica in replicas {
            if self.limits.is_blocked(identity) {
                return Err(blocked(lost.is_some()));
            }
            let copy = copy_without_body(&parts);
            let run = self.run(identity, *replica);
            match self.send_kept(copy, run, deadline).await {
                Ok(response) if !response.status().is_server_error() => return Ok(response),
                Ok(response) if Some(replica) == replicas.last() => return Ok(response),
                Err(SendError::ConnectionLost) => {
                    self.limits.record_lost(identity, *replica).await;
                    lost = lost.or(Some(*replica));
                }
                Ok(_) | Err(_) => {}
            }
        }
        if self.limits.is_blocked(identity) {
            return Err(blocked(lost.is_some()));
        }
        if let Some(replica) = lost {
            let copy = copy_without_body(&parts);
            if let Ok(connection) = NewConnection::open(replica).await
                && let Ok(response) = send_new(
                    copy,
                    connection,
                    Some(self.run(identity, replica)),
                    deadline,
                )
                .await
            {
                return Ok(response);
            }
        }
        Err(failure(RunState::Unknown, "no replica answered"))
    }

    fn run(&self, request: RequestIdentity, address: SocketAddr) -> Run {
        Run {
            limits: self.limits.clone(),
            request,
            address,
        }
    }

    /// Connects before sending, so that a replica that cannot be reached costs
    /// nothing; once a byte may have been sent, there is no second try. A kept
    /// connection is not used, since its replica may be closing it.
    async fn send_once(
        &self,
        request: Request<Incoming>,
        replicas: &[SocketAddr],
        deadline: Duration,
    ) -> Result<Response<Body>, Failure> {
        for replica in replicas {
            let Ok(connection) = NewConnection::open(*replica).await else {
                continue;
            };
            let request = request.map(|body| body.map_err(Into::into).boxed());
            let sent = send_new(request, connection, None, deadline).await;
            return sent.map_err(|_| failure(RunState::Unknown, "the replica did not answer"));
        }
        Err(failure(RunState::NotRun, "no replica could be reached"))
    }

    /// Sends a request on a kept connection, or on a new one if none is kept.
    async fn send_kept(
        &self,
        mut request: Request<Body>,
        run: Run,
        deadline: Duration,
    ) -> Result<Response<Body>, SendError> {
        let replica = run.address;
        let caller = prepare(&mut request);
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let uri = format!("http://{replica}{path}").parse();
        *request.uri_mut() = uri.map_err(|_| SendError::NotSent)?;
        let answered = tokio::time::timeout(deadline, self.http.request(request)).await;
        match answered {
            Ok(Ok(response)) => Ok(relay_response(response, caller, Some(run), deadline)),
            Ok(Err(error)) if error.is_connect() => Err(SendError::NotSent),
            Ok(Err(_)) => Err(SendError::ConnectionLost),
            Err(_) => Err(SendError::TimedOut),
        }
    }
}

async fn send_new(
    mut request: Request<Body>,
    connection: NewConnection,
    run: Option<Run>,
    deadline: Duration,
) -> Result<Response<Body>, SendError> {
    let caller = prepare(&mut request);
    match tokio::time::timeout(deadline, connection.send(request)).await {
        Ok(Ok(response)) => Ok(relay_response(response, caller, run, deadline)),
        Ok(Err(_)) => Err(SendError::ConnectionLost),
        Err(_) => Err(SendError::TimedOut),
    }
}

fn copy_without_body(parts: &hyper::http::request::Parts) -> Request<Body> {
    let mut copy = Request::new(full_body(Vec::new()));
    *copy.method_mut() = parts.method.clone();
    *copy.uri_mut() = parts.uri.clone();
    *copy.version_mut() = parts.version;
    *copy.headers_mut() = parts.headers.clone();
    copy
}

/// Removes the hop-by-hop headers, sets the protocol version towards replicas, and returns the
/// caller's.
fn prepare(request: &mut Request<Body>) -> Version {
    for name in HOP_HEADERS {
        request.headers_mut().remove(name);
    }
    std::mem::replace(request.version_mut(), Version::HTTP_11)
}

/// Builds the response to a caller of this protocol version. It claims no more about the end of
/// its body than the replica's response does.
fn relay_response(
    response: Response<Incoming>,
    caller: Version,
    run: Option<Run>,
    max_silence: Duration,
) -> Response<Body> {
    let framing = Framing::of(&response);
    let mut response =
        response.map(|body| RelayedBody::new(body, framing, caller, run, max_silence).boxed());
    for name in HOP_HEADERS {
        response.headers_mut().remove(name);
    }
    *response.version_mut() = caller;
    if framing == Framing::Connection && caller != Version::HTTP_2 {
        close_after(&mut response);
    }
    response
}

/// Returns the identity of a request without a body: what decides its response.
fn identity(parts: &hyper::http::request::Parts) -> RequestIdentity {
    let header = |name: header::HeaderName| parts.headers.get(name).map(HeaderValue::as_bytes);
    let path = parts.uri.path_and_query().map(PathAndQuery::as_str);
    RequestIdentity::of([
        parts.method.as_str().as_bytes(),
        path.unwrap_or_default().as_bytes(),
        header(header::HOST).unwrap_or_default(),
        header(header::AUTHORIZATION).unwrap_or_default(),
        header(header::COOKIE).unwrap_or_default(),
    ])
}

fn blocked(ran: bool) -> Failure {
    Failure {
        kind: ErrorKind::RequestBlocked,
        run_state: match ran {
            true => RunState::Ran,
            false => RunState::NotRun,
        },
        detail: Text::default(),
    }
}

/// Why a replica did not answer. It may have run the request unless that was not sent.
enum SendError {
    NotSent,
    ConnectionLost,
    TimedOut,
}

fn failure(run_state: RunState, detail: &str) -> Failure {
    let kind = match run_state {
        RunState::Unknown => ErrorKind::OutcomeUnknown,
        RunState::NotRun | RunState::Ran => ErrorKind::BackEndFailed,
    };
    Failure {
        kind,
        run_state,
        detail: Text::from(detail),
    }
}

/// Safe methods without a body may be sent again.
fn may_repeat(request: &Request<Incoming>) -> bool {
    let is_safe = matches!(
        *request.method(),
        Method::GET | Method::HEAD | Method::OPTIONS
    );
    is_safe && request.body().is_end_stream()
}

/// The legacy pool for its share of requests until the cut-over is signed off.
fn choose_pool<'c>(config: &'c Configuration, route: &Route, turn: usize) -> Option<&'c Pool> {
    let legacy_share = if route.signed_off {
        0
    } else {
        route.legacy_percent as usize
    };
    let legacy = route
        .legacy_pool
        .as_deref()
        .filter(|_| turn.wrapping_mul(SHARE_STRIDE) % WHOLE < legacy_share);
    config.pool(legacy.unwrap_or(&route.pool))
}

fn in_turn(pool: &Pool, turn: usize) -> Vec<SocketAddr> {
    let mut replicas = pool.addresses.clone();
    let count = replicas.len().max(1);
    replicas.rotate_left(turn % count);
    replicas
}
