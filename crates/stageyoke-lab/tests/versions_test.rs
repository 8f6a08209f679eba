//! Checks of resumable streams: versions, numbers and shares over all attempts of a stream.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stageyoke_lab::soak::disturbances::MAX_PROPAGATION_DELAY;
use stageyoke_lab::soak::promises::{Promises, ResumePosition};
use stageyoke_lab::soak::versions::{ServingVersions, StreamCounts};
use stageyoke_lab::standins::platform::answers::event;
use stageyoke_lab::standins::platform::names;
use stageyoke_lab::standins::platform::resumable::{
    RESUMABLE_EVENTS, ResumingCaller, StreamProgress, resumable_data,
};
use stageyoke_lab::standins::{Handler, respond, serve};
use stageyoke_node::backends::Body;
use tokio::time::Instant;

fn text(number: u32, stream: &str, version: u64) -> String {
    let event = event(number, &resumable_data(stream, number, version));
    event.trim_end().to_owned()
}

#[rstest]
#[case::goes_on(2, "first", 1, true)]
#[case::another_version(2, "first", 2, false)]
#[case::gap(3, "first", 1, false)]
#[case::repeat(1, "first", 1, false)]
#[case::another_stream(2, "second", 1, false)]
fn a_resumed_stream_must_go_on_at_its_version_with_the_next_event(
    #[case] number: u32,
    #[case] stream: &str,
    #[case] version: u64,
    #[case] is_accepted: bool,
) {
    let mut progress = StreamProgress::default();
    for number in 0..2 {
        let event = text(number, "first", 1);
        progress.take("first", &event).expect("the first attempt");
    }
    let position = ResumePosition {
        first: "first".to_owned(),
        last_event: 1,
    };
    assert_eq!(progress.position(), Some(position));
    let event = text(number, stream, version);
    assert_eq!(progress.take("second", &event).is_ok(), is_accepted);
}

#[test]
fn a_stream_that_has_no_event_starts_anew() {
    assert_eq!(StreamProgress::default().position(), None);
}

#[rstest]
#[case::as_sent("first", Some(3), true)]
#[case::later_within_one_answer("first", Some(5), true)]
#[case::earlier("first", Some(2), false)]
#[case::lost_position("first", None, false)]
#[case::another_stream("second", Some(3), false)]
#[case::lost_stream("", Some(3), false)]
fn a_replica_must_receive_where_the_client_takes_the_stream_up(
    #[case] first: &str,
    #[case] last_event: Option<u32>,
    #[case] is_accepted: bool,
) {
    let promises = Promises::default();
    let position = |first: &str, last_event| ResumePosition {
        first: first.to_owned(),
        last_event,
    };
    promises.record_resume("attempt", Some(position("first", 3)));
    let received = last_event.map(|last_event| position(first, last_event));
    promises.check_resume("attempt", first, received);
    assert_eq!(promises.evaluate().0.is_empty(), is_accepted);
}

#[rstest]
#[case::half_as_often(12, 5, 20, 16, true)]
#[case::too_seldom(12, 4, 20, 16, false)]
#[case::too_few_to_judge(11, 0, 20, 16, true)]
#[case::no_stream_begins(12, 0, 20, 0, true)]
fn resumed_streams_that_go_on_too_seldom_are_reported(
    #[case] resumed: u64,
    #[case] went_on: u64,
    #[case] new: u64,
    #[case] begun: u64,
    #[case] is_accepted: bool,
) {
    let promises = Promises::default();
    let record = |is_resumed: bool, total: u64, successful: u64| {
        (0..total).for_each(|number| {
            promises.record_stream_attempt(is_resumed, number < successful);
        });
    };
    record(true, resumed, went_on);
    record(false, new, begun);
    let (breaches, counts) = promises.evaluate();
    let expected = StreamCounts {
        new,
        begun,
        resumed,
        went_on,
        complete: 0,
    };
    assert_eq!(counts.streams, expected);
    assert_eq!(breaches.is_empty(), is_accepted, "{breaches:?}");
}

#[tokio::test(start_paused = true)]
async fn a_version_is_judged_only_while_two_replicas_that_all_fronts_know_serve_it() {
    let versions = ServingVersions::default();
    versions.record_ready("one", 1);
    versions.record_ready("two", 1);
    versions.record_ready("three", 2);
    assert!(!versions.is_served(1), "not known yet");
    tokio::time::advance(MAX_PROPAGATION_DELAY + Duration::from_millis(1)).await;
    assert!(versions.is_served(1));
    assert!(!versions.is_served(2), "a single replica");
    versions.record_ready("two", 2);
    assert!(!versions.is_served(1), "returned at another version");
    tokio::time::advance(MAX_PROPAGATION_DELAY + Duration::from_millis(1)).await;
    assert!(versions.is_served(2));
    versions.record_gone("two");
    assert!(!versions.is_served(2));
}

/// Front that answers resumable streams at one version, or at another when they go on.
struct AnsweringFront {
    version_when_resumed: u64,
    /// Events missing at the end.
    missing: u32,
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

impl Handler for AnsweringFront {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let headers = request.headers();
        let id = header(headers, names::REQUEST_ID).expect("an identifier");
        let first = header(headers, names::RESUMES);
        let last: Option<u32> =
            header(headers, names::LAST_EVENT_ID).map(|number| number.parse().expect("a number"));
        let version = match last {
            Some(_) => self.version_when_resumed,
            None => 1,
        };
        let stream = first.unwrap_or(id);
        let numbers = last.map_or(0, |last| last + 1)..RESUMABLE_EVENTS - self.missing;
        let events = numbers.map(|number| event(number, &resumable_data(&stream, number, version)));
        respond(hyper::StatusCode::OK, events.collect::<String>())
    }
}

#[rstest]
#[case::same_version(1, 0, None)]
#[case::another_version(2, 0, Some("goes on at 2"))]
#[case::incomplete(1, 1, Some("framed as complete after 7 of 8 events"))]
#[tokio::test]
async fn the_caller_reports_mixed_and_incomplete_streams(
    #[case] version_when_resumed: u64,
    #[case] missing: u32,
    #[case] expected: Option<&str>,
) {
    let front = Arc::new(AnsweringFront {
        version_when_resumed,
        missing,
    });
    let one = serve(front.clone(), None).await.expect("server");
    let other = serve(front, None).await.expect("server");
    let promises = Arc::new(Promises::default());
    let mut caller = ResumingCaller {
        fronts: Arc::new(vec![one.address, other.address]),
        promises: promises.clone(),
        random: ChaCha8Rng::seed_from_u64(5),
        names_beginning: true,
        judged_from: Instant::now(),
    };
    for _ in 0..8 {
        caller.run_stream().await;
    }
    let (breaches, counts) = promises.evaluate();
    match expected {
        None => {
            assert_eq!(breaches, Vec::<String>::new());
            assert_eq!(counts.streams.complete, 8);
        }
        Some(text) => assert!(
            breaches.iter().any(|breach| breach.contains(text)),
            "{breaches:?}"
        ),
    }
}
