//! Caller authentication, tenant isolation and request urgency.

mod support;

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use rstest::rstest;
use stageyoke_directory::{EngineShape, Route, RouteKind, ServiceSpec, Tenant};
use stageyoke_front::attempt::forwarded_headers;
use stageyoke_front::authentication::{Caller, KeyFreshness};
use stageyoke_front::failure::Failure;
use stageyoke_front::request::{RequestParameters, ScopedIdentifiers};
use stageyoke_types::{ErrorKind, Text};
use support::names;
use tokio::time::Instant;

/// A tenant must not reach another tenant's program or turns by naming their identifiers.
#[test]
fn programs_and_turns_are_scoped_to_their_tenant() {
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in [("id", "r-2"), ("program", "p"), ("previous", "r-1")] {
        headers.insert(name, hyper::header::HeaderValue::from_static(value));
    }
    let parameters =
        RequestParameters::read(&headers, &names(), Instant::now()).expect("parameters");
    let scoped_identifiers = |name: Option<&str>| {
        let tenant = name.map(|name| Tenant {
            name: Text::from(name),
            priority: None,
            rate_limit: None,
            homes: None,
        });
        ScopedIdentifiers::of(&parameters, tenant.as_ref())
    };
    let (ann, bob, no_tenant) = (
        scoped_identifiers(Some("ann")),
        scoped_identifiers(Some("bob")),
        scoped_identifiers(None),
    );
    assert_ne!(ann.previous, bob.previous);
    assert_ne!(ann.program, bob.program);
    assert_ne!(ann.turn, bob.turn);
    assert_eq!(
        no_tenant.turn.as_str(),
        "r-2",
        "without a tenant the identifier must stay"
    );
    assert_eq!(ann.turn, scoped_identifiers(Some("ann")).turn);
}

#[test]
fn a_request_without_a_program_gets_none_from_its_tenant() {
    let mut headers = hyper::HeaderMap::new();
    headers.insert("id", hyper::header::HeaderValue::from_static("r-1"));
    let parameters =
        RequestParameters::read(&headers, &names(), Instant::now()).expect("parameters");
    let tenant = Tenant {
        name: Text::from("ann"),
        priority: None,
        rate_limit: None,
        homes: None,
    };
    let scoped_identifiers = ScopedIdentifiers::of(&parameters, Some(&tenant));
    assert!(scoped_identifiers.program.is_empty() && scoped_identifiers.previous.is_none());
}

/// While the directory can't be refreshed, keys are accepted up to the configured age, or
/// without a limit if none is set.
#[rstest]
#[case(None, 1_900, true)]
#[case(None, 60_000, true)]
#[case(Some(5_000), 4_900, true)]
#[case(Some(5_000), 5_100, false)]
#[tokio::test]
async fn a_key_is_rejected_when_the_directory_exceeds_the_age_limit(
    #[case] age_limit: Option<u64>,
    #[case] age: u64,
    #[case] accepted: bool,
) {
    let bound = Duration::from_secs(2);
    let freshness = KeyFreshness::new(bound, age_limit.map(Duration::from_millis));
    assert_eq!(freshness.accepts_keys(Duration::from_millis(age)), accepted);
}

fn tenant(priority: Option<u8>) -> Tenant {
    Tenant {
        name: Text::from("ann"),
        priority,
        rate_limit: None,
        homes: None,
    }
}

fn route(priority: u8) -> Route {
    Route {
        name: Text::from("route"),
        host: Text::from("host"),
        path_prefix: Text::from("/"),
        kind: RouteKind::Stream,
        timeout: Duration::ZERO,
        latency_objective: Duration::ZERO,
        priority,
        targets: Vec::new(),
        max_attempts: 1,
        stores_history: false,
        retention: Duration::ZERO,
        resumable: false,
        allows_anonymous: false,
        affinity: false,
        homes: None,
    }
}

fn service(engine: bool) -> ServiceSpec {
    ServiceSpec {
        name: Text::from("service"),
        max_connections: 10,
        cold_start: None,
        engine: engine.then_some(EngineShape {
            slots: 8,
            cache_tokens: 1_000,
            tokens_per_event: 1,
        }),
    }
}

/// Quota may be refunded only where no replica can have run the request.
#[rstest]
#[case(ErrorKind::Overloaded, true)]
#[case(ErrorKind::Unavailable, true)]
#[case(ErrorKind::TokenBudgetSpent, true)]
#[case(ErrorKind::NotFound, true)]
#[case(ErrorKind::OutcomeUnknown, false)]
#[case(ErrorKind::BackEndFailed, false)]
#[case(ErrorKind::DeadlineExceeded, false)]
fn only_errors_of_requests_that_did_not_run_are_refundable(
    #[case] kind: ErrorKind,
    #[case] refundable: bool,
) {
    assert_eq!(Failure::permanent(kind, "cause").has_not_run(), refundable);
}

/// Engines must order requests by the tenant's priority and, within a tenant, by the
/// route's.
#[rstest]
#[case::no_tenant_priority(None, 1, None)]
#[case::a_more_urgent_route(Some(1), 0, Some(3))]
#[case::a_less_urgent_route_of_the_same_tenant(Some(1), 2, Some(5))]
#[case::a_more_urgent_tenant(Some(0), 2, Some(2))]
#[case::a_less_urgent_tenant(Some(2), 0, Some(6))]
#[case::limited_to_the_least_urgent_value(Some(200), 0, Some(9))]
#[case::a_far_less_urgent_route(Some(0), 200, Some(2))]
fn urgency_depends_on_the_tenant_first_and_then_on_the_route(
    #[case] tenant_priority: Option<u8>,
    #[case] route_priority: u8,
    #[case] sent_urgency: Option<u8>,
) {
    let scale = names().urgency;
    let caller = Caller {
        tenant: Some(tenant(tenant_priority)),
        tenants_configured: true,
    };
    let urgency = |engine| caller.urgency(&route(route_priority), &service(engine), &scale, false);
    assert_eq!(urgency(true), sent_urgency);
    assert_eq!(urgency(false), None, "plain services receive no urgency");
}

/// Where admission control orders programs by priority, engines must use the same order.
#[rstest]
#[case(0, 0)]
#[case(2, 8)]
fn urgency_follows_the_route_priority_under_admission_control(
    #[case] route_priority: u8,
    #[case] sent_urgency: u8,
) {
    let scale = names().urgency;
    let urgency = Caller::default().urgency(&route(route_priority), &service(true), &scale, true);
    assert_eq!(urgency, Some(sent_urgency));
}

/// An urgency header of the caller must never be forwarded, whether the front sets one or
/// not.
#[rstest]
#[case(None, None)]
#[case(Some(4), Some("4"))]
fn a_callers_urgency_header_is_not_forwarded(
    #[case] urgency: Option<u8>,
    #[case] sent_urgency: Option<&'static str>,
) {
    let mut headers = HeaderMap::new();
    headers.append("urgency", HeaderValue::from_static("0"));
    headers.append("urgency", HeaderValue::from_static("1"));
    let caller = Caller::default();
    let sent = forwarded_headers(&headers, &names(), &caller, urgency).expect("headers");
    let urgencies: Vec<&HeaderValue> = sent.get_all("urgency").iter().collect();
    let expected: Vec<HeaderValue> = sent_urgency
        .into_iter()
        .map(HeaderValue::from_static)
        .collect();
    assert_eq!(urgencies, expected.iter().collect::<Vec<_>>());
}
