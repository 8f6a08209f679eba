//! Answers without a length or chunks: what the replica stand-in sends, and that the callers
//! report one that is framed as complete and is not, but accept one that may be broken off.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, Version};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stageyoke_lab::soak::promises::Promises;
use stageyoke_lab::standins::platform::answers::{
    AnswerEnd, ReceivedAnswer, tool_answer, turn_answer,
};
use stageyoke_lab::standins::platform::caller::Caller;
use stageyoke_lab::standins::platform::cold_phase::ColdPhase;
use stageyoke_lab::standins::platform::names;
use stageyoke_lab::standins::platform::replica::{
    ReplicaCapacity, ReplicaFaults, ReplicaSlots, ReplicaStandIn,
};
use stageyoke_lab::standins::{Handler, serve};
use stageyoke_node::backends::Body;
use stageyoke_node::pieces;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

const EVENTS: u32 = 6;

#[rstest]
#[case::whole(true, "all", AnswerEnd::Whole)]
#[case::whole_unframed(false, "all", AnswerEnd::Whole)]
#[case::short(true, "al", AnswerEnd::Wrong)]
#[case::short_unframed(false, "al", AnswerEnd::BrokenOff)]
#[case::empty(true, "", AnswerEnd::Wrong)]
#[case::empty_unframed(false, "", AnswerEnd::BrokenOff)]
#[case::other(true, "other", AnswerEnd::Wrong)]
#[case::other_unframed(false, "other", AnswerEnd::Wrong)]
#[case::longer_unframed(false, "all and more", AnswerEnd::Wrong)]
fn only_a_short_answer_without_framing_counts_as_broken_off(
    #[case] is_framed: bool,
    #[case] body: &str,
    #[case] end: AnswerEnd,
) {
    let received = ReceivedAnswer {
        is_success: true,
        is_framed,
        body: body.into(),
    };
    assert_eq!(received.end("all"), end);
}

/// Front that answers each request itself.
struct AnsweringFront {
    is_framed: bool,
    /// Bytes missing at the end of each answer.
    missing: usize,
}

impl Handler for AnsweringFront {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = request.headers()[names::REQUEST_ID].clone();
        let text = id.to_str().expect("an identifier");
        let answer = match request.uri().path().ends_with("turn") {
            true => turn_answer(text, EVENTS),
            false => tool_answer(text),
        };
        let (mut sender, body) = pieces::channel(1);
        let answer = Bytes::from(answer);
        let part = answer.slice(..answer.len() - self.missing);
        sender.send_data(part).await.expect("a reader");
        let mut response: Response<Body> = Response::new(body.boxed());
        if !self.is_framed {
            *response.version_mut() = Version::HTTP_10;
        }
        let headers = response.headers_mut();
        headers.insert(names::REQUEST_ID, id);
        headers.insert(names::SIGNATURE, HeaderValue::from_static("replica"));
        response
    }
}

/// One event of a turn's answer in this test is this long.
fn event_length() -> usize {
    turn_answer("0123456789abcdef", 1).len()
}

#[rstest]
#[case::whole(true, 0, 0, 0, true)]
#[case::whole_unframed(false, 0, 0, 0, true)]
#[case::framed_inside_an_event(true, 3, 2, 0, false)]
#[case::framed_after_an_event(true, event_length(), 1, 0, false)]
#[case::broken_off_inside_an_event(false, 3, 0, 2, false)]
#[case::broken_off_after_an_event(false, event_length(), 0, 1, false)]
#[tokio::test]
async fn an_incomplete_answer_that_is_framed_as_complete_is_reported(
    #[case] is_framed: bool,
    #[case] missing: usize,
    #[case] breaches: usize,
    #[case] broken_off: u64,
    #[case] is_served: bool,
) {
    let front = Arc::new(AnsweringFront { is_framed, missing });
    let server = serve(front, None).await.expect("server");
    let promises = Arc::new(Promises::default());
    let random = ChaCha8Rng::seed_from_u64(1);
    let fronts = Arc::new(vec![server.address]);
    let mut caller = Caller::new(fronts, promises.clone(), random);
    let until = Instant::now() + Duration::from_millis(50);
    let turn = caller.run_turn("program", 1000, None, &mut 0, until).await;
    assert_eq!(turn.is_some(), is_served);
    // The answer to a tool call is shorter than an event.
    if missing < event_length() {
        caller.call_tool(true).await;
    }
    let (reported, counts) = promises.evaluate();
    assert_eq!(reported.len(), breaches, "{reported:?}");
    assert_eq!(counts.broken_off, broken_off);
}

fn replica(is_engine: bool, promises: &Arc<Promises>, broken_off: u32) -> Arc<ReplicaStandIn> {
    let faults = ReplicaFaults::default();
    faults.unframed_percent.store(100, Ordering::Relaxed);
    faults
        .broken_off_percent
        .store(broken_off, Ordering::Relaxed);
    Arc::new(ReplicaStandIn {
        id: "replica".to_owned(),
        zone: "zone-0".to_owned(),
        is_engine,
        faults: Arc::new(faults),
        slots: ReplicaSlots::new(ReplicaCapacity::UNLIMITED_TOOL),
        promises: promises.clone(),
        started_at_ms: Default::default(),
        leaving_since: Default::default(),
        evacuated_since: Default::default(),
        version: Default::default(),
        cold_phase: ColdPhase::default(),
    })
}

/// Sends a request and reads until the connection ends without an error.
async fn read_to_end(replica: Arc<ReplicaStandIn>) -> String {
    let server = serve(replica, None).await.expect("server");
    let mut stream = TcpStream::connect(server.address).await.expect("connect");
    let request = "GET / HTTP/1.1\r\nhost: x\r\nrequest-id: r\r\nexpect-instance: replica\r\n\
                   token-count: 10,54\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("request");
    let mut response = String::new();
    let reading = stream.read_to_string(&mut response).await;
    reading.expect("a close, no reset");
    response
}

#[rstest]
#[tokio::test]
async fn unframed_answers_of_the_stand_in_end_with_their_connection(
    #[values(true, false)] is_engine: bool,
    #[values(0, 100)] broken_off: u32,
) {
    let promises = Arc::new(Promises::default());
    let replica = replica(is_engine, &promises, broken_off);
    let response = read_to_end(replica).await;
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    let head = head.to_lowercase();
    assert!(head.starts_with("http/1.0 200"), "{head}");
    assert!(!head.contains("content-length") && !head.contains("transfer-encoding"));
    let whole = match is_engine {
        true => turn_answer("r", EVENTS),
        false => tool_answer("r"),
    };
    assert!(whole.starts_with(body), "{body}");
    assert_eq!(body.len() == whole.len(), broken_off == 0, "{body}");
    assert_eq!(promises.evaluate().1.unframed, u64::from(broken_off == 0));
}

#[rstest]
#[case::most(15, true, 0)]
#[case::few(3, true, 1)]
#[case::few_near_a_disturbance(3, false, 0)]
fn undelivered_whole_answers_without_framing_are_reported(
    #[case] delivered: u32,
    #[case] is_calm: bool,
    #[case] breaches: usize,
) {
    let promises = Promises::default();
    if !is_calm {
        promises.disturbances.record_start();
    }
    for number in 0..24 {
        promises.record_whole_unframed(&format!("request-{number}"));
    }
    for number in 0..delivered {
        promises.record_whole_answer(&format!("request-{number}"));
    }
    assert_eq!(promises.evaluate().0.len(), breaches);
}
