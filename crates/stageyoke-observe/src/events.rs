//! Numbered events and the one line that tells a request's summary.

use std::time::Duration;

use stageyoke_types::Event;

use crate::metrics::{metrics, route_label, tenant_label};

/// What decided a request.
#[derive(Clone, Debug, Default)]
pub struct RequestSummary {
    /// Request identifier.
    pub request: String,
    /// Program, if any.
    pub program: String,
    /// Tenant that holds the request's key, if any.
    pub tenant: String,
    /// The tenant's limit, in requests a second and beyond that at once.
    pub rate_limit: String,
    /// Rank among other requests; zero is the highest.
    pub priority: u8,
    /// Route, once found.
    pub route: String,
    /// Version of the configuration.
    pub routes_version: u64,
    /// Milliseconds since the key-value service last answered.
    pub directory_age_ms: u64,
    /// Version of the store groups.
    pub members_version: u64,
    /// Replicas that were tried, each with its outcome.
    pub attempts: String,
    /// Replica whose answer was waited for when the request ended, if any.
    pub pending: String,
    /// What placed the request: load, tokens to read and the rates of the chosen
    /// replica.
    pub placement: String,
    /// Budget and what others had used or reserved of it.
    pub ledger: String,
    /// Turn that it goes on from, and what was found of it.
    pub history: String,
    /// Milliseconds that the request had when it arrived.
    pub deadline_ms: u64,
    /// Milliseconds until its program should be over; zero if none was set.
    pub finish_ms: u64,
    /// Milliseconds until the first offer to a replica.
    pub first_offer_ms: u64,
    /// Milliseconds until the head of the answer.
    pub response_head_ms: u64,
    /// Milliseconds that keeping the turn took.
    pub store_turn_ms: u64,
    /// Status that the caller got; zero where it left or was cut.
    pub status: u16,
    /// Milliseconds after which a refused request may come back.
    pub retry_after_ms: u64,
    /// Outcome in a word.
    pub outcome: &'static str,
}

/// Tells the end of a request.
pub fn record_request(summary: &RequestSummary, elapsed: Duration) {
    let ordinary = u64::from((200..300).contains(&summary.status));
    log::info!(
        event = Event::RequestEnded.number(),
        ordinary = ordinary,
        request = summary.request.as_str(),
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
        deadline = summary.deadline_ms,
        finish = summary.finish_ms,
        offered_after = summary.first_offer_ms,
        head_after = summary.response_head_ms,
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
    if !summary.tenant.is_empty() && summary.status >= 400 {
        let tenant = tenant_label(&summary.tenant);
        let failures = &metrics.tenant_failures;
        failures.with_label_values(&[tenant, summary.outcome]).inc();
    }
    metrics.request_seconds.observe(elapsed.as_secs_f64());
    if summary.response_head_ms > 0 {
        let head = Duration::from_millis(summary.response_head_ms);
        metrics.head_seconds.observe(head.as_secs_f64());
    }
}

/// Tells a numbered event with `key=value` details.
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
