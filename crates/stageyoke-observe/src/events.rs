//! Logs and counts numbered events and the summary line of each request.

use std::time::Duration;

use stageyoke_types::Event;

use crate::metrics::{metrics, route_label, tenant_label};

/// The inputs and the outcome of one request, for its log line.
#[derive(Clone, Debug, Default)]
pub struct RequestSummary {
    /// Identifier of the request.
    pub request: String,
    /// Identity of the request, the same for all attempts of its caller.
    pub identity: String,
    /// Identifier of the program; empty if the request has none.
    pub program: String,
    /// Tenant that the request's key belongs to; empty if none.
    pub tenant: String,
    /// Rate limit of the tenant: requests per second and burst.
    pub rate_limit: String,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Name of the matching route; empty until it is found.
    pub route: String,
    /// Version of the configuration in use.
    pub routes_version: u64,
    /// Age of the directory: milliseconds since the key-value service last answered.
    pub directory_age_ms: u64,
    /// Version of the store member list.
    pub members_version: u64,
    /// Replicas tried, each with the outcome of the attempt.
    pub attempts: String,
    /// Replica that had not answered yet when the request ended; empty if none.
    pub pending: String,
    /// Inputs of the placement decision: load, uncached tokens and rates of the chosen
    /// replica.
    pub placement: String,
    /// Token budget of the program, and the tokens already used or reserved.
    pub ledger: String,
    /// Previous turn that the request continues, and the result of its lookup.
    pub history: String,
    /// Software version that began the request's stream, or that must continue it.
    pub stream_version: String,
    /// Milliseconds from arrival to the request's deadline.
    pub deadline_ms: u64,
    /// Milliseconds to the program's deadline; 0 if it has none.
    pub finish_ms: u64,
    /// Milliseconds from arrival to the first dispatch to a replica.
    pub first_offer_ms: u64,
    /// Milliseconds from arrival to the response head; 0 if none arrived.
    pub response_head_ms: u64,
    /// How the replica delimited the body of its response; empty without one.
    pub framing: &'static str,
    /// Milliseconds taken to store the turn on a quorum.
    pub store_turn_ms: u64,
    /// HTTP status sent to the caller; 0 if it disconnected or its stream was cut off.
    pub status: u16,
    /// Milliseconds after which a rejected request may be retried.
    pub retry_after_ms: u64,
    /// Outcome code, also used as a metric label.
    pub outcome: &'static str,
}

/// Outcome of a request whose caller disconnected.
pub const CALLER_LEFT: &str = "caller_left";

/// Logs the summary of a finished request and updates the request metrics.
pub fn record_request(summary: &RequestSummary, elapsed: Duration) {
    let ordinary = u64::from((200..300).contains(&summary.status));
    log::info!(
        event = Event::RequestEnded.number(),
        ordinary = ordinary,
        request = summary.request.as_str(),
        identity = summary.identity.as_str(),
        program = summary.program.as_str(),
        tenant = summary.tenant.as_str(),
        limit = summary.rate_limit.as_str(),
        priority = summary.priority,
        route = summary.route.as_str(),
        routes_version = summary.routes_version,
        directory_age = summary.directory_age_ms,
        members_version = summary.members_version,
        attempts = summary.attempts.as_str(),
        pending = summary.pending.as_str(),
        placement = summary.placement.as_str(),
        ledger = summary.ledger.as_str(),
        history = summary.history.as_str(),
        stream_version = summary.stream_version.as_str(),
        deadline = summary.deadline_ms,
        finish = summary.finish_ms,
        offered_after = summary.first_offer_ms,
        head_after = summary.response_head_ms,
        framing = summary.framing,
        keeping = summary.store_turn_ms,
        status = summary.status,
        retry_after = summary.retry_after_ms,
        outcome = summary.outcome,
        milliseconds = elapsed.as_millis() as u64;
        "{:?}", Event::RequestEnded
    );
    let metrics = metrics();
    metrics
        .requests
        .with_label_values(&[route_label(&summary.route), summary.outcome])
        .inc();
    let has_head = !summary.framing.is_empty();
    if has_head && summary.status == 0 && summary.outcome != CALLER_LEFT {
        let cuts = &metrics.cut_responses;
        cuts.with_label_values(&[summary.outcome]).inc();
    }
    if !summary.tenant.is_empty() && summary.status >= 400 {
        let tenant = tenant_label(&summary.tenant);
        let failures = &metrics.tenant_failures;
        failures.with_label_values(&[tenant, summary.outcome]).inc();
    }
    metrics.request_seconds.observe(elapsed.as_secs_f64());
    if summary.response_head_ms > 0 {
        let response_head = Duration::from_millis(summary.response_head_ms);
        metrics.head_seconds.observe(response_head.as_secs_f64());
    }
}

/// Logs a numbered event with `key=value` details and counts it.
pub fn record_event(event: Event, detail: &str) {
    let level = match event.level() {
        "error" => log::Level::Error,
        "warn" => log::Level::Warn,
        "info" => log::Level::Info,
        _ => log::Level::Debug,
    };
    log::log!(level, event = event.number(), detail = detail; "{event:?}");
    let name = format!("{event:?}");
    metrics().events.with_label_values(&[&name]).inc();
}
