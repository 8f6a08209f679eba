//! Numbered events and the one line that tells a request's story.

use std::time::Duration;

use stageyoke_types::Event;

use crate::metrics::{metrics, route_label, tenant_label};

/// What decided a request.
#[derive(Clone, Debug, Default)]
pub struct RequestStory {
    /// Request identifier.
    pub request: String,
    /// Program, if any.
    pub program: String,
    /// Tenant that holds the request's key, if any.
    pub tenant: String,
    /// The tenant's limit, in requests a second and beyond that at once.
    pub limit: String,
    /// Rank among other requests; zero is the highest.
    pub priority: u8,
    /// Route, once found.
    pub route: String,
    /// Version of the configuration.
    pub routes_version: u64,
    /// Milliseconds since the key-value service last answered.
    pub directory_age: u64,
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
    pub deadline: u64,
    /// Milliseconds until its program should be over; zero if none was set.
    pub finish: u64,
    /// Milliseconds until the first offer to a replica.
    pub offered_after: u64,
    /// Milliseconds until the head of the answer.
    pub head_after: u64,
    /// Milliseconds that keeping the turn took.
    pub keeping: u64,
    /// Status that the caller got; zero where it left or was cut.
    pub status: u16,
    /// Milliseconds after which a refused request may come back.
    pub retry_after: u64,
    /// Outcome in a word.
    pub outcome: &'static str,
}

/// Tells the end of a request.
pub fn request_ended(story: &RequestStory, elapsed: Duration) {
    let ordinary = u64::from((200..300).contains(&story.status));
    log::info!(
        event = Event::RequestEnded.number(),
        ordinary = ordinary,
        request = story.request.as_str(),
        program = story.program.as_str(),
        tenant = story.tenant.as_str(),
        limit = story.limit.as_str(),
        priority = story.priority,
        route = story.route.as_str(),
        routes_version = story.routes_version,
        directory_age = story.directory_age,
        members_version = story.members_version,
        attempts = story.attempts.as_str(),
        pending = story.pending.as_str(),
        placement = story.placement.as_str(),
        ledger = story.ledger.as_str(),
        history = story.history.as_str(),
        deadline = story.deadline,
        finish = story.finish,
        offered_after = story.offered_after,
        head_after = story.head_after,
        keeping = story.keeping,
        status = story.status,
        retry_after = story.retry_after,
        outcome = story.outcome,
        milliseconds = elapsed.as_millis() as u64;
        "{:?}", Event::RequestEnded
    );
    let metrics = metrics();
    metrics
        .requests
        .with_label_values(&[route_label(&story.route), story.outcome])
        .inc();
    if !story.tenant.is_empty() && story.status >= 400 {
        let tenant = tenant_label(&story.tenant);
        let failures = &metrics.tenant_failures;
        failures.with_label_values(&[tenant, story.outcome]).inc();
    }
    metrics.request_seconds.observe(elapsed.as_secs_f64());
    if story.head_after > 0 {
        let head = Duration::from_millis(story.head_after);
        metrics.head_seconds.observe(head.as_secs_f64());
    }
}

/// Tells a numbered event with `key=value` details.
pub fn event(event: Event, detail: &str) {
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
