//! Sends one request to one replica and classifies the outcome.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderName, HeaderValue,
};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use stageyoke_store::rank_load::ServiceRank;
use stageyoke_types::Text;
use tokio::time::Instant;

use crate::authentication::Caller;
use crate::connection_drain;
use crate::connection_pool::{Connection, ReuseRequirements};
use crate::health::Evidence;
use crate::oversized_response::{self, OVERSIZED_HEAD};
use crate::protocol_names::ProtocolNames;
use crate::replica::{InFlightGuard, Replica};

/// Outcome of an attempt whose connection ended before the head of a response.
pub const CONNECTION_LOST: &str = "connection_lost";
/// Outcome of an attempt whose replica sent something else than the head of a response.
const MALFORMED_HEAD: &str = "malformed_head";

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    hyper::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::TRANSFER_ENCODING,
    hyper::header::UPGRADE,
    hyper::header::EXPECT,
];

/// Time after sending within which a reset means that the replica has not processed the
/// request: little more than a round trip between zones.
const IMMEDIATE_RESET: Duration = Duration::from_millis(8);

/// Request as it is sent to replicas.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// Request identifier that the response must echo.
    pub request_id: Text,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request, unchanged.
    pub path: PathAndQuery,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Request body, including the transcript of earlier turns.
    pub body: Bytes,
    /// Time by which the replica must respond.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Service and rank under which an engine turn is counted in load reports.
    pub ranked: Option<ServiceRank>,
}

/// Response whose body has not been read.
pub struct ReplicaResponse {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Connection that carries the response.
    pub connection: Connection,
    /// Replica that sent the response.
    pub replica: Rc<Replica>,
    /// Counts the request as in flight.
    pub guard: InFlightGuard,
    /// Time at which the request was sent.
    pub sent: Instant,
}

/// Outcome of one attempt.
pub enum AttemptOutcome {
    /// The replica did not receive the request.
    NotSent(&'static str),
    /// The replica guarantees that the request was not run.
    NotRun(StatusCode),
    /// The replica responded to this request.
    Responded(Box<ReplicaResponse>),
    /// The request may have run, but there is no usable response.
    Lost(&'static str),
}

/// Removes headers that apply to a single connection.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = HOP_BY_HOP.contains(name)
            || name == CONTENT_LENGTH
            || connection_headers
                .iter()
                .any(|listed| listed == name.as_str());
        if !dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Builds the headers that are forwarded to replicas. Reserved headers of the caller are
/// removed, since engines reject requests that refer to a prompt copy which they do not hold.
/// The caller's key is removed as well; the replica gets the tenant's name and the urgency
/// instead. Returns `None` if the tenant's name is not a valid header value.
pub fn forwarded_headers(
    headers: &HeaderMap,
    names: &ProtocolNames,
    caller: &Caller,
    urgency: Option<u8>,
) -> Option<HeaderMap> {
    let mut forwarded = end_to_end_headers(headers);
    for name in &names.reserved {
        forwarded.remove(name);
    }
    forwarded.remove(&names.tenant);
    forwarded.remove(&names.urgency.header);
    if caller.tenants_configured {
        forwarded.remove(AUTHORIZATION);
    }
    if let Some(tenant) = &caller.tenant {
        let name = HeaderValue::from_str(&tenant.name).ok()?;
        forwarded.insert(names.tenant.clone(), name);
    }
    if let Some(urgency) = urgency {
        forwarded.insert(
            names.urgency.header.clone(),
            HeaderValue::from(u16::from(urgency)),
        );
    }
    Some(forwarded)
}

/// Sends the request to the replica, not later than at `send_by`, and waits for the head of its
/// response.
pub async fn send(
    outbound: &OutboundRequest,
    replica: &Rc<Replica>,
    names: &ProtocolNames,
    send_by: Option<Instant>,
) -> AttemptOutcome {
    let guard = replica.start_request(outbound.ranked);
    let mut request = build_request(outbound, replica, names);
    loop {
        let requirements = ReuseRequirements {
            max_idle: replica.idle_limit(outbound.repeatable),
            only_identified_responses: !outbound.repeatable,
        };
        let (mut connection, is_new) = match replica.pool.acquire(requirements) {
            Some(connection) => (connection, false),
            None => match Connection::open(&replica.record.address).await {
                Ok(connection) => (connection, true),
                Err(_) => {
                    replica.record(Evidence::Unreachable);
                    return AttemptOutcome::NotSent("no_connection");
                }
            },
        };
        if !replica.accepts_requests() {
            return AttemptOutcome::NotSent("left_meanwhile");
        }
        if send_by.is_some_and(|send_by| Instant::now() > send_by) {
            return AttemptOutcome::NotSent("permit_expired");
        }
        set_deadline(&mut request, outbound, names);
        let idle_time = connection.idle_time();
        let sent = Instant::now();
        match connection.try_send(request).await {
            Ok(response) => {
                let reply = Box::new(ReplicaResponse {
                    response,
                    connection,
                    replica: replica.clone(),
                    guard,
                    sent,
                });
                return classify_response(outbound, reply, names);
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) if !is_new => request = unsent,
                Some(_) => return AttemptOutcome::NotSent("connection_closed"),
                None => {
                    if let Some(cause) = invalid_head(&connection, error.error()) {
                        replica.record(Evidence::Failed);
                        return AttemptOutcome::Lost(cause);
                    }
                    if sent.elapsed() >= IMMEDIATE_RESET {
                        replica.record(Evidence::Lost);
                    } else {
                        replica.record(Evidence::Reset);
                        let (replica, lost_at) = (replica.clone(), Instant::now());
                        tokio::task::spawn_local(async move {
                            replica.probe_after_reset(idle_time, lost_at).await
                        });
                    }
                    return AttemptOutcome::Lost(CONNECTION_LOST);
                }
            },
        }
    }
}

/// Returns the cause of an attempt that ended because the replica sent no valid head.
fn invalid_head(connection: &Connection, error: &hyper::Error) -> Option<&'static str> {
    if connection.exceeded_head_allowance() || error.is_parse_too_large() {
        oversized_response::count(OVERSIZED_HEAD);
        return Some(OVERSIZED_HEAD);
    }
    error.is_parse().then_some(MALFORMED_HEAD)
}

fn build_request(
    outbound: &OutboundRequest,
    replica: &Replica,
    names: &ProtocolNames,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = Uri::from(outbound.path.clone());
    *request.headers_mut() = outbound.headers.clone();
    if let Ok(instance) = HeaderValue::from_str(&replica.id) {
        request
            .headers_mut()
            .insert(names.instance.clone(), instance);
    }
    request
}

fn set_deadline(
    request: &mut Request<Full<Bytes>>,
    outbound: &OutboundRequest,
    names: &ProtocolNames,
) {
    let remaining = outbound.deadline.saturating_duration_since(Instant::now());
    let value = HeaderValue::from(remaining.as_millis().max(1) as u64);
    request.headers_mut().insert(names.deadline.clone(), value);
}

/// Request that a response belongs to, by the identifier that it echoes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseOwner {
    /// The request that was sent.
    Own,
    /// Another request, as in a surplus response to an earlier one.
    Other,
    /// The response echoes no identifier.
    Unstated,
}

impl ResponseOwner {
    fn of(outbound: &OutboundRequest, headers: &HeaderMap, names: &ProtocolNames) -> Self {
        match headers.get(&names.request_id) {
            None => Self::Unstated,
            Some(echoed) if echoed.as_bytes() == outbound.request_id.as_bytes() => Self::Own,
            Some(_) => Self::Other,
        }
    }
}

fn classify_response(
    outbound: &OutboundRequest,
    mut reply: Box<ReplicaResponse>,
    names: &ProtocolNames,
) -> AttemptOutcome {
    reply.connection.apply_keep_alive(&reply.response);
    let status = reply.response.status();
    let headers = reply.response.headers();
    let owner = ResponseOwner::of(outbound, headers, names);
    let not_run = headers.contains_key(&names.not_run);
    let is_encoded = headers.contains_key(CONTENT_ENCODING);
    if owner == ResponseOwner::Unstated {
        reply.connection.note_unidentified_response();
    }
    // What another request's response promises does not hold for this one.
    if owner != ResponseOwner::Other {
        if status.as_u16() == names.wrong_instance_status {
            reply.replica.pause_misaddressed();
            return AttemptOutcome::NotRun(status);
        }
        if not_run {
            // Requests like this one could not use a connection with an unidentified response.
            let is_reusable = outbound.repeatable || owner == ResponseOwner::Own;
            if is_reusable {
                let limit = reply.replica.drain_limit.clone();
                connection_drain::drain(*reply, &limit);
            }
            return AttemptOutcome::NotRun(status);
        }
    }
    if owner != ResponseOwner::Own {
        reply.replica.record(Evidence::Failed);
        return AttemptOutcome::Lost("foreign_answer");
    }
    if is_encoded {
        return AttemptOutcome::Lost("encoded_answer");
    }
    AttemptOutcome::Responded(reply)
}
