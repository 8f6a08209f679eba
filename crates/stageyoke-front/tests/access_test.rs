//! Who calls, and what belongs to whom.

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

/// One tenant names another's program and turn: to the stores they are others.
#[test]
fn what_is_kept_belongs_to_a_tenant() {
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in [("id", "r-2"), ("program", "p"), ("previous", "r-1")] {
        headers.insert(name, hyper::header::HeaderValue::from_static(value));
    }
    let figures = RequestParameters::read(&headers, &names(), Instant::now()).expect("figures");
    let kept = |name: Option<&str>| {
        let tenant = name.map(|name| Tenant {
            name: Text::from(name),
            priority: None,
            rate_limit: None,
        });
        ScopedIdentifiers::of(&figures, tenant.as_ref())
    };
    let (ann, bob, nobody) = (kept(Some("ann")), kept(Some("bob")), kept(None));
    assert_ne!(ann.previous, bob.previous);
    assert_ne!(ann.program, bob.program);
    assert_ne!(ann.turn, bob.turn);
    assert_eq!(
        nobody.turn.as_str(),
        "r-2",
        "without tenants nothing changes"
    );
    assert_eq!(ann.turn, kept(Some("ann")).turn);
}

#[test]
fn what_names_no_program_has_none_for_a_tenant_either() {
    let mut headers = hyper::HeaderMap::new();
    headers.insert("id", hyper::header::HeaderValue::from_static("r-1"));
    let figures = RequestParameters::read(&headers, &names(), Instant::now()).expect("figures");
    let tenant = Tenant {
        name: Text::from("ann"),
        priority: None,
        rate_limit: None,
    };
    let kept = ScopedIdentifiers::of(&figures, Some(&tenant));
    assert!(kept.program.is_empty() && kept.previous.is_none());
}

/// While the directory can't be renewed, keys are taken or refused as the operator
/// has set it.
#[rstest]
#[case(None, 1_900, true)]
#[case(None, 60_000, true)]
#[case(Some(5_000), 4_900, true)]
#[case(Some(5_000), 5_100, false)]
#[tokio::test]
async fn a_key_is_taken_by_a_directory_that_is_young_enough(
    #[case] limit: Option<u64>,
    #[case] age: u64,
    #[case] taken: bool,
) {
    let bound = Duration::from_secs(2);
    let trust = KeyFreshness::new(bound, limit.map(Duration::from_millis));
    assert_eq!(trust.accepts_keys(Duration::from_millis(age)), taken);
}

fn tenant(priority: Option<u8>) -> Tenant {
    Tenant {
        name: Text::from("ann"),
        priority,
        rate_limit: None,
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
    }
}

fn service(engine: bool) -> ServiceSpec {
    ServiceSpec {
        name: Text::from("service"),
        max_connections: 10,
        engine: engine.then_some(EngineShape {
            slots: 8,
            cache_tokens: 1_000,
            tokens_per_event: 1,
        }),
    }
}

/// What a front refuses by itself has run nowhere; what replicas failed may have.
#[rstest]
#[case(ErrorKind::Overloaded, true)]
#[case(ErrorKind::Unavailable, true)]
#[case(ErrorKind::TokenBudgetSpent, true)]
#[case(ErrorKind::NotFound, true)]
#[case(ErrorKind::OutcomeUnknown, false)]
#[case(ErrorKind::BackEndFailed, false)]
#[case(ErrorKind::DeadlineExceeded, false)]
fn only_what_has_not_run_is_given_back(#[case] kind: ErrorKind, #[case] given_back: bool) {
    assert_eq!(Failure::permanent(kind, "cause").has_not_run(), given_back);
}

/// Each tenant of a deployment had the same rank, and engines were told how far that was
/// from the route's: urgent routes went behind the others, and gave up their places to
/// them. A tenant's rank goes first, and its route's decides among equals.
#[rstest]
#[case::none_of_its_own(None, 1, None)]
#[case::an_urgent_route(Some(1), 0, Some(3))]
#[case::another_route_of_the_same_tenant(Some(1), 2, Some(5))]
#[case::a_tenant_that_goes_before(Some(0), 2, Some(2))]
#[case::a_tenant_that_goes_behind(Some(2), 0, Some(6))]
#[case::no_further_than_last(Some(200), 0, Some(9))]
#[case::a_route_far_behind(Some(0), 200, Some(2))]
fn engines_are_told_a_tenants_rank_and_then_its_routes(
    #[case] own: Option<u8>,
    #[case] of_route: u8,
    #[case] told: Option<u8>,
) {
    let scale = names().urgency;
    let access = Caller {
        tenant: Some(tenant(own)),
        tenants_configured: true,
    };
    let urgency = |engine| access.urgency(&route(of_route), &service(engine), &scale, false);
    assert_eq!(urgency(true), told);
    assert_eq!(urgency(false), None, "plain services know no urgency");
}

/// Where programs are turned away by their order, engines go by the same one.
#[rstest]
#[case(0, 0)]
#[case(2, 8)]
fn engines_are_told_routes_ranks_where_all_are_ordered(#[case] of_route: u8, #[case] told: u8) {
    let scale = names().urgency;
    let urgency = Caller::default().urgency(&route(of_route), &service(true), &scale, true);
    assert_eq!(urgency, Some(told));
}

/// A caller's own urgency never passes, whether its tenant has a rank or not.
#[rstest]
#[case(None, None)]
#[case(Some(4), Some("4"))]
fn only_the_front_tells_the_urgency(
    #[case] urgency: Option<u8>,
    #[case] told: Option<&'static str>,
) {
    let mut headers = HeaderMap::new();
    headers.append("urgency", HeaderValue::from_static("0"));
    headers.append("urgency", HeaderValue::from_static("1"));
    let access = Caller::default();
    let sent = forwarded_headers(&headers, &names(), &access, urgency).expect("headers");
    let heard: Vec<&HeaderValue> = sent.get_all("urgency").iter().collect();
    let expected: Vec<HeaderValue> = told.into_iter().map(HeaderValue::from_static).collect();
    assert_eq!(heard, expected.iter().collect::<Vec<_>>());
}
