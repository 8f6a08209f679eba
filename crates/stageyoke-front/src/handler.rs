//! The way of one request: route, history, budget, replica, answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response};
use stageyoke_directory::{Interpreter, KeyValueService, Route, RouteTable, ServiceSpec};
use stageyoke_store::message::Placement;
use stageyoke_store::quota_owners::QuotaGrant;
use stageyoke_store::rank_load::ServiceRank;
use stageyoke_types::ErrorKind;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::access::Access;
use crate::admission::Admitted;
use crate::answer::{self, Failure};
use crate::attempt::{Outbound, end_to_end_headers, forwarded_headers};
use crate::beginnings::service_number;
use crate::body::FrontBody;
use crate::front::Front;
use crate::history::Reservation;
use crate::memory::Held;
use crate::offer::Served;
use crate::quota::Asked;
use crate::relay::{Carrier, Keeping, PIECES_AHEAD, Relay};
use crate::request::{Figures, KeptIdentifiers};
use crate::unanswered::Unanswered;
use stageyoke_observe::{self as observe, RequestStory as Story};

/// How long a doubtful route or chain is looked up.
pub(crate) const LOOK_UP_WITHIN: Duration = Duration::from_millis(800);
/// When to come back after a refusal for want of room.
pub(crate) const SOON: Duration = Duration::from_millis(250);
/// When to come back after a refusal for want of something that is down: such
/// faults last seconds.
pub(crate) const AFTER_RECOVERY: Duration = Duration::from_millis(1000);

/// A turn's reservation, where it needs one.
type Reserved = Result<Option<Reservation>, Failure>;
/// What was said before a turn, where it goes on from one.
type Found = Result<Option<Bytes>, Failure>;

/// A request with everything that was found out about it.
pub(crate) struct Call {
    pub(crate) figures: Figures,
    pub(crate) kept: KeptIdentifiers,
    pub(crate) access: Access,
    pub(crate) routes_version: u64,
    pub(crate) route: Route,
    pub(crate) service: ServiceSpec,
    pub(crate) outbound: Outbound,
    pub(crate) input: Bytes,
    pub(crate) arrived: Instant,
    /// What the request holds of the front's memory.
    pub(crate) held: Held,
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Answers one request.
    pub async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<FrontBody> {
        let arrived = Instant::now();
        let _active = self.activity.begin();
        let mut unanswered = Unanswered::new(arrived);
        let served = self.serve(request, arrived, &mut unanswered.story).await;
        let mut story = unanswered.answered();
        let mut response = match served {
            Ok(response) => response,
            Err(failure) => {
                story.outcome = failure.cause;
                story.status = failure.kind.answer().http_status;
                let retry_after = failure.retry_after.unwrap_or_default();
                story.retry_after = retry_after.as_millis() as u64;
                observe::request_ended(&story, arrived.elapsed());
                self.echo(answer::respond(&failure), &story)
            }
        };
        if !self.ready() {
            // The entry sends new connections elsewhere; kept ones shall follow.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn echo(&self, mut response: Response<FrontBody>, story: &Story) -> Response<FrontBody> {
        if let Ok(value) = HeaderValue::from_str(&story.request)
            && !story.request.is_empty()
        {
            let name = self.names.request_id.clone();
            response.headers_mut().insert(name, value);
        }
        response
    }

    async fn serve(
        self: &Rc<Self>,
        request: Request<Incoming>,
        arrived: Instant,
        story: &mut Story,
    ) -> Result<Response<FrontBody>, Failure> {
        let (head, body) = request.into_parts();
        let figures = Figures::read(&head.headers, &self.names, arrived).ok_or(Failure::last(
            ErrorKind::BadRequest,
            "no_request_identifier",
        ))?;
        story.request = figures.request.to_string();
        story.program = figures.program.to_string();
        let deadline = figures.deadline.saturating_duration_since(arrived);
        story.deadline = deadline.as_millis() as u64;
        let finish = figures
            .finish
            .map_or(Duration::ZERO, |finish| finish.left());
        story.finish = finish.as_millis() as u64;
        let freshness = self.mirror.freshness();
        freshness.ensure_fresh().await;
        let age = freshness.age().unwrap_or(Duration::MAX);
        story.directory_age = age.as_millis().min(u128::from(u32::MAX)) as u64;
        let ages = &observe::metrics().directory_age_seconds;
        ages.observe(age.as_secs_f64());
        self.list_age.note(age, freshness.is_service_unreachable());
        story.members_version = self.history.stores.stores().version;
        let Admitted {
            routes,
            route,
            access,
        } = self.admit(&head).await?;
        story.route = route.name.to_string();
        if let Some(tenant) = &access.tenant {
            story.tenant = tenant.name.to_string();
            story.limit = tenant.rate_limit.map_or_else(String::new, |limit| {
                format!("{}+{}", limit.per_second, limit.burst)
            });
            if !self.key_trust.holds(age) {
                let cause = "key_not_confirmed";
                return Err(Failure::come_back(
                    ErrorKind::Unavailable,
                    cause,
                    AFTER_RECOVERY,
                ));
            }
        }
        story.routes_version = routes.version;
        let service = self.pick_service(&routes, &route)?;
        let mut held = self.memory.begin();
        let reading = read_body(body, routes.limits.body_bytes, &mut held);
        let input = tokio::time::timeout_at(figures.deadline, reading)
            .await
            .map_err(|_| Failure::last(ErrorKind::TooSlow, "body_too_slow"))??;
        let deadline = figures.deadline.min(arrived + route.timeout);
        let path = head
            .uri
            .path_and_query()
            .cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/"));
        let ordered = self.admission_control;
        let urgency = access.urgency(&route, &service, &self.names.urgency, ordered);
        let headers = forwarded_headers(&head.headers, &self.names, &access, urgency)
            .ok_or(Failure::last(ErrorKind::Internal, "tenant_name"))?;
        let kept = KeptIdentifiers::of(&figures, access.tenant.as_ref());
        let outbound = Outbound {
            request: figures.request.clone(),
            method: head.method,
            path,
            headers,
            body: input.clone(),
            deadline,
            repeatable: route.is_repeatable(),
            ranked: service.engine.as_ref().map(|_| ServiceRank {
                service: service_number(&service.name),
                rank: access.order(&route),
            }),
        };
        let call = Call {
            figures,
            kept,
            access,
            routes_version: routes.version,
            route,
            service,
            outbound,
            input,
            arrived,
            held,
        };
        let granted = RefCell::default();
        let outcome = self.run(call, story, &granted).await;
        if let Err(failure) = &outcome
            && failure.not_run()
            && let Some(grant) = granted.take()
        {
            self.quotas.give_back(&grant);
        }
        outcome
    }

    fn pick_service(&self, routes: &RouteTable, route: &Route) -> Result<ServiceSpec, Failure> {
        let missing = Failure::come_back(ErrorKind::Unavailable, "no_such_service", AFTER_RECOVERY);
        let target = self.shares.pick(route).ok_or(missing)?;
        routes.service(&target).cloned().ok_or(missing)
    }

    async fn run(
        self: &Rc<Self>,
        mut call: Call,
        story: &mut Story,
        granted: &RefCell<Option<QuotaGrant>>,
    ) -> Result<Response<FrontBody>, Failure> {
        story.priority = call.access.priority(&call.route);
        let ledger: RefCell<String> = RefCell::default();
        self.let_begin(&call, story).await?;
        // What the stores answer may show a better one.
        let expected = self.expected_placement(&call);
        let (reservation, transcript) = self.prepare(&call, expected, &ledger, granted).await?;
        story.ledger = ledger.into_inner();
        let mut reservation = match reservation {
            Ok(granted) => granted,
            Err(failure) => return Err(failure),
        };
        if let Some(previous) = &call.figures.previous {
            let found = match &transcript {
                Ok(Some(text)) => format!("{} bytes", text.len()),
                Ok(None) => "not kept".to_owned(),
                Err(failure) => failure.cause.to_owned(),
            };
            story.history = format!("previous={previous} found={found}");
        }
        if let Some(transcript) = transcript? {
            if !call.held.take(transcript.len() + call.input.len()) {
                return Err(no_memory());
            }
            let mut body = Vec::with_capacity(transcript.len() + call.input.len());
            body.extend_from_slice(&transcript);
            body.extend_from_slice(&call.input);
            call.outbound.body = Bytes::from(body);
        }
        self.begun.note(&call.kept.program);
        story.offered_after = call.arrived.elapsed().as_millis() as u64;
        let served = self
            .offer(&mut call, story, &mut reservation, expected)
            .await?;
        Ok(self.pass_on(call, served, story, reservation))
    }

    /// What a turn needs, and its tenant's leave. Both are asked for at once; leave
    /// first where the tenant was refused a moment ago, so that what it sends beyond
    /// its limit costs the stores no records.
    async fn prepare(
        &self,
        call: &Call,
        expected: Option<Placement>,
        ledger: &RefCell<String>,
        granted: &RefCell<Option<QuotaGrant>>,
    ) -> Result<(Reserved, Found), Failure> {
        let needs =
            async { tokio::join!(self.reserve(call, expected, ledger), self.transcript(call)) };
        let Some(tenant) = &call.access.tenant else {
            return Ok(needs.await);
        };
        let asked = Asked {
            tenant,
            program: &call.kept.program,
            version: call.routes_version,
        };
        let leave = async {
            granted.replace(self.quotas.admit(asked).await?);
            Ok(())
        };
        if self.quotas.tight(tenant) {
            leave.await?;
            return Ok(needs.await);
        }
        let (leave, needed) = tokio::join!(leave, needs);
        leave?;
        Ok(needed)
    }

    fn pass_on(
        self: &Rc<Self>,
        call: Call,
        served: Served,
        story: &mut Story,
        reservation: Option<Reservation>,
    ) -> Response<FrontBody> {
        let (answer, missing_tokens) = match served {
            Served::Whole(head, content) => {
                story.status = head.status.as_u16();
                story.outcome = "answered";
                observe::request_ended(story, call.arrived.elapsed());
                let body = FrontBody::whole(content).holding(call.held);
                return from_replica(&head, body);
            }
            Served::Stream(answer, missing_tokens) => (*answer, missing_tokens),
        };
        let (head, body) = answer.response.into_parts();
        let mut story = std::mem::take(story);
        story.status = head.status.as_u16();
        let engine = call.service.engine.as_ref();
        let keeping = Keeping {
            history: self.history.clone(),
            input: call.route.stores_history.then(|| call.input.clone()),
            retention: call.route.retention,
            reservation,
            tokens_per_event: engine.map_or(0, |engine| engine.tokens_per_event),
        };
        let relay = Relay {
            deadline: call.outbound.deadline,
            keeping,
            kept: call.kept,
            most_tokens: call.figures.most_tokens,
            answer: Carrier {
                connection: answer.connection,
                replica: answer.replica,
                guard: answer.guard,
                sent: answer.sent,
                missing_tokens,
            },
            story,
            arrived: call.arrived,
            _held: call.held,
        };
        let (pieces, receiver) = mpsc::channel(PIECES_AHEAD);
        let active = self.activity.begin();
        tokio::task::spawn_local(async move {
            relay.run(body, pieces).await;
            drop(active);
        });
        from_replica(&head, FrontBody::Pieces(receiver))
    }
}

fn from_replica(head: &hyper::http::response::Parts, body: FrontBody) -> Response<FrontBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response
}

/// Reads a request's body. Memory is taken for its whole length at once where
/// it is told, else as it comes.
async fn read_body(body: Incoming, limit: usize, held: &mut Held) -> Result<Bytes, Failure> {
    let told = body.size_hint().exact().map(|length| length as usize);
    if let Some(length) = told
        && length <= limit
        && !held.take(length)
    {
        return Err(no_memory());
    }
    let mut body = Limited::new(body, limit);
    let mut pieces: Vec<Bytes> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(body_failure)?.into_data() else {
            continue;
        };
        if told.is_none() && !held.take(data.len()) {
            return Err(no_memory());
        }
        pieces.push(data);
    }
    match pieces.len() {
        0 => Ok(Bytes::new()),
        1 => Ok(pieces.remove(0)),
        _ => Ok(Bytes::from(pieces.concat())),
    }
}

fn body_failure(error: Box<dyn std::error::Error + Send + Sync>) -> Failure {
    match error.is::<http_body_util::LengthLimitError>() {
        true => Failure::last(ErrorKind::TooLarge, "body_too_large"),
        false => Failure::last(ErrorKind::BadRequest, "body_broke_off"),
    }
}

/// A request for which the front has no memory; it was not run.
fn no_memory() -> Failure {
    Failure::come_back(ErrorKind::Overloaded, "no_memory", SOON)
}
