//! Handles one request from routing to response.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response};
use stageyoke_directory::{
    Interpreter, KeyValueService, RequestHomes, Route, RouteTable, ServiceSpec,
};
use stageyoke_policy::deadly_requests::Standing;
use stageyoke_store::message::{ChainPart, MAX_TURN_INPUT_BYTES, Placement};
use stageyoke_store::quota_owners::QuotaGrant;
use stageyoke_store::rank_load::ServiceRank;
use stageyoke_types::{ErrorKind, Text};
use tokio::time::Instant;

use crate::admission::service_hash;
use crate::attempt::{OutboundRequest, end_to_end_headers, forwarded_headers};
use crate::authentication::Caller;
use crate::broken_stream::ResumableAttempt;
use crate::caller_connections::ConnectionHandle;
use crate::deadly_requests::{self, HeldPermit};
use crate::dispatch::DispatchedResponse;
use crate::failure::{self, Failure};
use crate::front::Front;
use crate::history::Reservation;
use crate::incoming_body::{BodyLimits, read_body};
use crate::memory_budget::MemoryGuard;
use crate::pending_request::PendingRequest;
use crate::quota::QuotaRequest;
use crate::request::{RequestParameters, ScopedIdentifiers, request_memory};
use crate::request_identity::{IdentityParts, RequestIdentity};
use crate::response_body::{ResponseBody, chunk_channel};
use crate::response_writing::WriteDeadline;
use crate::routing::MatchedRoute;
use crate::stream_relay::{RelayLine, StreamRelay, TurnStorage, UpstreamStream};
use crate::stream_version::VersionRecord;
use crate::turn_preparation::{add_transcript, transcript_bytes};
use stageyoke_framing::{Framing, close_after};
use stageyoke_observe::{self as observe, RequestSummary};

/// Timeout for confirming an unknown route or reading a transcript.
pub(crate) const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// Parts of the time that a caller gives that its request waits for a newer directory, and
/// then for the confirmation of its route, so that a rejection still reaches the caller.
const FRESH_DIRECTORY_WAIT_FRACTION: f64 = 0.5;
const ROUTE_CONFIRMATION_FRACTION: f64 = 0.75;
/// Copies of the body of a turn that is stored: as received, and as sent to the stores.
const STORED_BODY_COPIES: usize = 2;
/// Retry delay sent with a rejection for lack of capacity.
pub(crate) const SHORT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay sent while a dependency is unavailable; such outages last for seconds.
pub(crate) const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Reservation of a turn; `None` if it needs none.
type ReservationResult = Result<Option<Reservation>, Failure>;
/// Earlier turns, oldest first; none if the turn continues none.
type TranscriptResult = Result<Vec<ChainPart>, Failure>;

/// Request with the results of its routing.
pub(crate) struct RequestContext {
    pub(crate) parameters: RequestParameters,
    pub(crate) identifiers: ScopedIdentifiers,
    /// Identity over all attempts of the caller.
    pub(crate) identity: RequestIdentity,
    pub(crate) caller: Caller,
    pub(crate) routes_version: u64,
    pub(crate) route: Route,
    pub(crate) service: ServiceSpec,
    pub(crate) outbound: OutboundRequest,
    pub(crate) input: Bytes,
    /// Earlier turns that the turn continues, oldest first, as parts of the outbound body.
    pub(crate) chain: Vec<ChainPart>,
    pub(crate) arrived: Instant,
    /// Attempt at a turn that the caller may resume.
    pub(crate) attempt: Option<ResumableAttempt>,
    /// Software version that began the stream which the request continues.
    pub(crate) required_version: Option<Text>,
    /// Record of the version that began the request's stream; `None` if none is under way.
    pub(crate) version_record: Option<VersionRecord>,
    /// Permit of the run that is under way; `None` if it needs none.
    pub(crate) run_permit: Option<HeldPermit>,
    /// Memory used by the request.
    pub(crate) memory_guard: MemoryGuard,
}

impl RequestContext {
    /// Returns the home regions that bind the request.
    pub(crate) fn homes(&self) -> RequestHomes<'_> {
        let tenant = self.caller.tenant.as_ref();
        RequestHomes {
            route: self.route.homes.as_ref(),
            tenant: tenant.and_then(|tenant| tenant.homes.as_ref()),
        }
    }
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Handles one request.
    pub async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: &ConnectionHandle,
    ) -> Response<ResponseBody> {
        let arrived = Instant::now();
        let _request_guard = self.requests.track();
        let mut pending = PendingRequest::new(arrived);
        let outcome = self
            .serve(request, connection, arrived, &mut pending.summary)
            .await;
        let mut summary = pending.into_summary();
        let mut response = match outcome {
            Ok(response) => response,
            Err(failure) => {
                summary.outcome = failure.cause;
                summary.status = failure.kind.response().http_status;
                let retry_after = failure.retry_after.unwrap_or_default();
                summary.retry_after_ms = retry_after.as_millis() as u64;
                observe::record_request(&summary, arrived.elapsed());
                self.echo_request_id(failure::build_response(&failure), &summary)
            }
        };
        if !self.is_ready() || connection.is_evicted() {
            // The load balancer sends new connections elsewhere; closing this one moves its
            // caller too.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn echo_request_id(
        &self,
        mut response: Response<ResponseBody>,
        summary: &RequestSummary,
    ) -> Response<ResponseBody> {
        if let Ok(value) = HeaderValue::from_str(&summary.request)
            && !summary.request.is_empty()
        {
            let name = self.names.request_id.clone();
            response.headers_mut().insert(name, value);
        }
        response
    }

    async fn serve(
        self: &Rc<Self>,
        request: Request<Incoming>,
        connection: &ConnectionHandle,
        arrived: Instant,
        summary: &mut RequestSummary,
    ) -> Result<Response<ResponseBody>, Failure> {
        let (head, body) = request.into_parts();
        let mut memory_guard = self.memory_budget.start_request();
        if !memory_guard.try_admit(request_memory(&head)) {
            return Err(out_of_memory());
        }
        let parameters = RequestParameters::read(&head.headers, &self.names, arrived).ok_or(
            Failure::permanent(ErrorKind::BadRequest, "no_request_identifier"),
        )?;
        summary.request = parameters.request_id.to_string();
        summary.program = parameters.program.to_string();
        let deadline = parameters.deadline.saturating_duration_since(arrived);
        summary.deadline_ms = deadline.as_millis() as u64;
        let time_left = parameters
            .program_deadline
            .map_or(Duration::ZERO, |deadline| deadline.remaining());
        summary.finish_ms = time_left.as_millis() as u64;
        let freshness = self.mirror.freshness();
        freshness
            .ensure_fresh_within(deadline.mul_f64(FRESH_DIRECTORY_WAIT_FRACTION))
            .await;
        let age = freshness.age().unwrap_or(Duration::MAX);
        summary.directory_age_ms = age.as_millis().min(u128::from(u32::MAX)) as u64;
        let age_histogram = &observe::metrics().directory_age_seconds;
        age_histogram.observe(age.as_secs_f64());
        let unreachable = freshness.is_service_unreachable();
        if !self.stale_list_monitor.may_place(age, unreachable) {
            let cause = "directory_stale";
            return Err(Failure::retryable(
                ErrorKind::Unavailable,
                cause,
                OUTAGE_RETRY_DELAY,
            ));
        }
        summary.members_version = self.history.stores.stores().version;
        let remaining = parameters
            .deadline
            .saturating_duration_since(Instant::now());
        let lookup_timeout = LOOKUP_TIMEOUT.min(remaining.mul_f64(ROUTE_CONFIRMATION_FRACTION));
        let MatchedRoute {
            routes,
            route,
            caller,
        } = self.route_request(&head, lookup_timeout).await?;
        summary.route = route.name.to_string();
        if let Some(tenant) = &caller.tenant {
            summary.tenant = tenant.name.to_string();
            summary.rate_limit = tenant.rate_limit.map_or_else(String::new, |limit| {
                format!("{}+{}", limit.per_second, limit.burst)
            });
            if !self.key_freshness.accepts_keys(age) {
                let cause = "key_not_confirmed";
                return Err(Failure::retryable(
                    ErrorKind::Unavailable,
                    cause,
                    OUTAGE_RETRY_DELAY,
                ));
            }
        }
        summary.routes_version = routes.version;
        let service = self.choose_service(&routes, &route)?;
        let deadline = parameters.deadline.min(arrived + route.timeout);
        // A turn that is too large to be stored is rejected before it runs.
        let body_limits = match route.stores_history {
            true => BodyLimits {
                bytes: routes.limits.body_bytes.min(MAX_TURN_INPUT_BYTES),
                copies: STORED_BODY_COPIES,
            },
            false => BodyLimits {
                bytes: routes.limits.body_bytes,
                copies: 1,
            },
        };
        let reading = read_body(body, body_limits, &mut memory_guard, connection);
        let input = tokio::time::timeout_at(deadline, reading)
            .await
            .map_err(|_| Failure::permanent(ErrorKind::TooSlow, "body_too_slow"))??;
        connection.finish_body();
        let path = head
            .uri
            .path_and_query()
            .cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/"));
        let ordered = self.admission_control;
        let urgency = caller.urgency(&route, &service, &self.names.urgency, ordered);
        let headers = forwarded_headers(&head.headers, &self.names, &caller, urgency)
            .ok_or(Failure::permanent(ErrorKind::Internal, "tenant_name"))?;
        let identifiers = ScopedIdentifiers::of(&parameters, caller.tenant.as_ref());
        let identity_parts = IdentityParts {
            tenant: &summary.tenant,
            identifiers: &identifiers,
            method: &head.method,
            path: &path,
            headers: &head.headers,
            input: &input,
        };
        let identity = RequestIdentity::of(&identity_parts, &self.names);
        summary.identity = identity.to_string();
        let outbound = OutboundRequest {
            request_id: parameters.request_id.clone(),
            method: head.method,
            path,
            headers,
            body: input.clone(),
            deadline,
            repeatable: route.is_repeatable(),
            ranked: service.engine.as_ref().map(|_| ServiceRank {
                service: service_hash(&service.name),
                rank: caller.order(&route),
            }),
        };
        let context = RequestContext {
            parameters,
            identifiers,
            identity,
            caller,
            routes_version: routes.version,
            route,
            service,
            outbound,
            input,
            chain: Vec::new(),
            arrived,
            attempt: None,
            required_version: None,
            version_record: None,
            run_permit: None,
            memory_guard,
        };
        let granted = RefCell::default();
        let outcome = self.run(context, summary, &granted).await;
        if let Err(failure) = &outcome
            && failure.has_not_run()
            && let Some(grant) = granted.take()
        {
            self.quotas.refund(&grant);
        }
        outcome
    }

    fn choose_service(&self, routes: &RouteTable, route: &Route) -> Result<ServiceSpec, Failure> {
        let missing = Failure::retryable(
            ErrorKind::Unavailable,
            "no_such_service",
            OUTAGE_RETRY_DELAY,
        );
        let target = self.traffic_split.next_service(route).ok_or(missing)?;
        routes.service(&target).cloned().ok_or(missing)
    }

    async fn run(
        self: &Rc<Self>,
        mut context: RequestContext,
        summary: &mut RequestSummary,
        granted: &RefCell<Option<QuotaGrant>>,
    ) -> Result<Response<ResponseBody>, Failure> {
        summary.priority = context.caller.priority(&context.route);
        let ledger: RefCell<String> = RefCell::default();
        if self.request_guard.standing(context.identity) == Standing::Blocked {
            return Err(deadly_requests::blocked());
        }
        if let Some(failure) = self.shortage_failure(&context) {
            return Err(failure);
        }
        self.require_version(&mut context, summary).await?;
        context.attempt = self.begin_attempt(&context).await?;
        self.check_history_regions(&context)?;
        self.admit_program(&context, summary).await?;
        // The ledger returned with the reservation may suggest a better one.
        let expected = self.predict_placement(&context);
        let (reservation, transcript) = self.prepare(&context, expected, &ledger, granted).await?;
        summary.ledger = ledger.into_inner();
        let mut reservation = match reservation {
            Ok(reservation) => reservation,
            Err(failure) => return Err(failure),
        };
        if let Some(previous) = &context.parameters.previous {
            let found = match &transcript {
                Ok(chain) if chain.is_empty() => "not stored".to_owned(),
                Ok(chain) => format!("{} bytes", transcript_bytes(chain)),
                Err(failure) => failure.cause.to_owned(),
            };
            summary.history = format!("previous={previous} found={found}");
        }
        add_transcript(&mut context, transcript?)?;
        self.started_programs.record(&context.identifiers.program);
        summary.first_offer_ms = context.arrived.elapsed().as_millis() as u64;
        let dispatched = self
            .dispatch(&mut context, summary, &mut reservation, expected)
            .await?;
        Ok(self.forward(context, dispatched, summary, reservation))
    }

    /// Rejects a turn whose content would be stored outside its home regions.
    fn check_history_regions(&self, context: &RequestContext) -> Result<(), Failure> {
        let homes = context.homes();
        if !context.route.stores_history || !homes.is_restricted() {
            return Ok(());
        }
        let stores = &self.history.stores;
        let ScopedIdentifiers { program, turn, .. } = &context.identifiers;
        match stores.stores_within(homes, program, turn) {
            true => Ok(()),
            false => Err(Failure::retryable(
                ErrorKind::Unavailable,
                "no_home_store",
                OUTAGE_RETRY_DELAY,
            )),
        }
    }

    /// Reserves the turn, reads its transcript and charges the tenant's quota, all
    /// concurrently. For a tenant with a recent rejection the quota comes first, so that
    /// requests beyond its limit cause no writes at the stores.
    async fn prepare(
        &self,
        context: &RequestContext,
        expected: Option<Placement>,
        ledger: &RefCell<String>,
        granted: &RefCell<Option<QuotaGrant>>,
    ) -> Result<(ReservationResult, TranscriptResult), Failure> {
        let preparation = async {
            tokio::join!(
                self.reserve(context, expected, ledger),
                self.read_transcript(context)
            )
        };
        let Some(tenant) = &context.caller.tenant else {
            return Ok(preparation.await);
        };
        let quota_request = QuotaRequest {
            tenant,
            program: &context.identifiers.program,
            version: context.routes_version,
        };
        let quota = async {
            granted.replace(self.quotas.acquire(quota_request).await?);
            Ok(())
        };
        if self.quotas.is_recently_rejected(tenant) {
            quota.await?;
            return Ok(preparation.await);
        }
        let (quota, prepared) = tokio::join!(quota, preparation);
        quota?;
        Ok(prepared)
    }

    fn forward(
        self: &Rc<Self>,
        context: RequestContext,
        dispatched: DispatchedResponse,
        summary: &mut RequestSummary,
        reservation: Option<Reservation>,
    ) -> Response<ResponseBody> {
        let (reply, uncached_tokens, start) = match dispatched {
            DispatchedResponse::Plain(head, content, framing) => {
                summary.status = head.status.as_u16();
                summary.outcome = "answered";
                observe::record_request(summary, context.arrived.elapsed());
                let body = match framing {
                    Framing::Connection => ResponseBody::unframed(content),
                    Framing::Length | Framing::Chunked => ResponseBody::full(content),
                };
                let body = body.with_memory(context.memory_guard);
                let deadline = WriteDeadline(context.outbound.deadline);
                return build_caller_response(&head, body, framing, deadline);
            }
            DispatchedResponse::Stream(reply, uncached_tokens, start) => {
                (*reply, uncached_tokens, start)
            }
        };
        let framing = Framing::of(&reply.response);
        let (head, body) = reply.response.into_parts();
        let mut summary = std::mem::take(summary);
        summary.status = head.status.as_u16();
        let engine = context.service.engine.as_ref();
        let storage = TurnStorage {
            history: self.history.clone(),
            input: context.route.stores_history.then(|| context.input.clone()),
            chain: context.chain,
            retention: context.route.retention,
            reservation,
            tokens_per_event: engine.map_or(0, |engine| engine.tokens_per_event),
        };
        let chunk_memory = context.memory_guard.start_part();
        let relay = StreamRelay {
            deadline: context.outbound.deadline,
            storage,
            identifiers: context.identifiers,
            max_tokens: context.parameters.max_tokens,
            upstream: UpstreamStream {
                connection: reply.connection,
                replica: reply.replica,
                guard: reply.guard,
                sent: reply.sent,
                uncached_tokens,
                framing,
            },
            version_record: context.version_record,
            attempt: context.attempt,
            identity: context.identity,
            request_guard: self.request_guard.clone(),
            _run_permit: context.run_permit,
            line: RelayLine::new(summary, context.arrived),
            _memory_guard: context.memory_guard,
        };
        let deadline = WriteDeadline(relay.deadline);
        let (chunks, receiver) = chunk_channel(chunk_memory);
        let request_guard = self.requests.track();
        tokio::task::spawn_local(async move {
            relay.run(start, body, chunks).await;
            drop(request_guard);
        });
        build_caller_response(&head, ResponseBody::Stream(receiver), framing, deadline)
    }
}

/// Builds the response to the caller. It claims no more about the end of its body than the
/// replica's response did.
fn build_caller_response(
    head: &hyper::http::response::Parts,
    body: ResponseBody,
    framing: Framing,
    deadline: WriteDeadline,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    response.extensions_mut().insert(deadline);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    if framing == Framing::Connection {
        close_after(&mut response);
    }
    response
}

/// Rejection of a request that exceeds the memory budget and was not run.
pub(crate) fn out_of_memory() -> Failure {
    Failure::retryable(ErrorKind::Overloaded, "no_memory", SHORT_RETRY_DELAY)
}
