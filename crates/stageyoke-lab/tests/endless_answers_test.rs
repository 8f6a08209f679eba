//! Answers without end: what the stand-ins send, and that the checks report one that a caller
//! takes for whole, and a front that reads on.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, Version};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stageyoke_lab::soak::promises::{ExpectedRequest, Promises};
use stageyoke_lab::soak::proxy::{Mode, Proxy};
use stageyoke_lab::standins::platform::answers::{AnswerEnd, ReceivedAnswer, turn_answer};
use stageyoke_lab::standins::platform::caller::Caller;
use stageyoke_lab::standins::platform::cold_phase::ColdPhase;
use stageyoke_lab::standins::platform::endless::{EndlessAnswer, EndlessHead, MAX_READ_TIME};
use stageyoke_lab::standins::platform::names;
use stageyoke_lab::standins::platform::replica::{
    ReplicaCapacity, ReplicaFaults, ReplicaSlots, ReplicaStandIn,
};
use stageyoke_lab::standins::{Handler, StandInServer, respond, serve};
use stageyoke_node::backends::Body;
use stageyoke_node::pieces;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

const EVENTS: u32 = 6;
/// More than any answer of the stand-in that ends.
const MANY_BYTES: usize = 300_000;
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: x\r\nrequest-id: r\r\n\
    expect-instance: replica\r\ntoken-count: 10,54\r\ncontent-length: 0\r\n\r\n";

fn replica(promises: &Arc<Promises>, endless: Option<EndlessAnswer>) -> Arc<ReplicaStandIn> {
    let faults = ReplicaFaults::default();
    faults.set_endless(endless.map(|kind| (kind, 100)));
    Arc::new(ReplicaStandIn {
        id: "replica".to_owned(),
        zone: "zone-0".to_owned(),
        is_engine: true,
        faults: Arc::new(faults),
        slots: ReplicaSlots::new(ReplicaCapacity::UNLIMITED_MODEL),
        promises: promises.clone(),
        started_at_ms: Default::default(),
        leaving_since: Default::default(),
        evacuated_since: Default::default(),
        version: Default::default(),
        cold_phase: ColdPhase::default(),
    })
}

/// Sends a request to the replica and reads many bytes of its answer.
async fn read_many(server: &StandInServer) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(server.address).await.expect("connect");
    stream.write_all(REQUEST).await.expect("request");
    let mut answer = vec![0; MANY_BYTES];
    stream.read_exact(&mut answer).await.expect("many bytes");
    (stream, String::from_utf8(answer).expect("text"))
}

#[rstest]
#[case::chunked(EndlessAnswer::ChunkedBody, "http/1.1 200", "0123456789abcdef")]
#[case::unframed(EndlessAnswer::UnframedBody, "http/1.0 200", "0123456789abcdef")]
#[case::server_error(EndlessAnswer::ServerError, "http/1.1 500", "0123456789abcdef")]
#[case::rejection(EndlessAnswer::Rejection, "http/1.1 503", "0123456789abcdef")]
#[case::event(EndlessAnswer::Event, "http/1.1 200", "id: 0\ndata: 0123456789abcdef")]
#[case::events(EndlessAnswer::Events, "http/1.1 200", "id: 7\ndata: r says 7\n\n")]
#[case::comments(EndlessAnswer::Comments, "http/1.1 200", "\n\n: a comment\n\n")]
#[tokio::test]
async fn answers_of_the_stand_in_have_no_end(
    #[case] kind: EndlessAnswer,
    #[case] status: &str,
    #[case] part: &str,
) {
    let promises = Arc::new(Promises::default());
    let server = serve(replica(&promises, Some(kind)), None).await;
    let (_stream, answer) = read_many(&server.expect("server")).await;
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let head = head.to_lowercase();
    assert!(head.starts_with(status), "{head}");
    assert!(!head.contains("content-length"), "{head}");
    let is_rejection = kind == EndlessAnswer::Rejection;
    assert_eq!(head.contains("not-executed"), is_rejection, "{head}");
    assert!(body.contains(part), "{}", &body[..400]);
    // A request that was rejected did not run.
    assert_eq!(promises.is_answer_endless("r"), !is_rejection);
    assert_eq!(promises.evaluate().1.runs, u64::from(!is_rejection));
}

#[rstest]
#[case::interim_heads(EndlessHead::InterimHeads, "HTTP/1.1 103 Early Hints\r\n", 1000)]
#[case::header(EndlessHead::Header, "HTTP/1.1 200 OK\r\nname: 0123456789abcdef", 1)]
#[tokio::test]
async fn a_proxy_sends_heads_without_end(
    #[case] head: EndlessHead,
    #[case] start: &str,
    #[case] count: usize,
) {
    let promises = Arc::new(Promises::default());
    let server = serve(replica(&promises, None), None).await.expect("server");
    let proxy = Proxy::start(server.address).await.expect("proxy");
    proxy.behavior.set(Mode::Endless(head), Duration::ZERO);
    let mut stream = TcpStream::connect(proxy.address).await.expect("connect");
    stream.write_all(REQUEST).await.expect("request");
    let mut answer = vec![0; MANY_BYTES];
    stream.read_exact(&mut answer).await.expect("many bytes");
    let answer = String::from_utf8(answer).expect("text");
    assert!(answer.starts_with(start));
    assert!(answer.matches(start).count() >= count);
    proxy.behavior.set(Mode::Pass, Duration::ZERO);
    let mut stream = TcpStream::connect(proxy.address).await.expect("connect");
    stream.write_all(REQUEST).await.expect("request");
    let mut status = [0; 15];
    stream.read_exact(&mut status).await.expect("an answer");
    assert_eq!(status.as_slice(), b"HTTP/1.1 200 OK");
}

#[rstest]
#[case::read_on(true, false, 1)]
#[case::closed(false, false, 0)]
#[case::read_on_near_a_disturbance(true, true, 0)]
#[tokio::test]
async fn a_reader_that_does_not_give_up_is_reported(
    #[case] reads_on: bool,
    #[case] is_disturbed: bool,
    #[case] breaches: usize,
) {
    let promises = Arc::new(Promises::default());
    if is_disturbed {
        promises.disturbances.record_start();
    }
    let endless = replica(&promises, Some(EndlessAnswer::Rejection));
    let server = serve(endless, None).await.expect("server");
    let (mut stream, _) = read_many(&server).await;
    if reads_on {
        let mut sink = tokio::io::sink();
        let reading = tokio::io::copy(&mut stream, &mut sink);
        let ended = tokio::time::timeout(MAX_READ_TIME * 2, reading).await;
        assert!(ended.is_ok(), "the stand-in stops by itself");
    } else {
        drop(stream);
        tokio::time::sleep(MAX_READ_TIME + Duration::from_millis(500)).await;
    }
    let (reported, _) = promises.evaluate();
    assert_eq!(reported.len(), breaches, "{reported:?}");
}

/// Front whose replica sends events without end; it passes on some of them.
struct PassingFront {
    promises: Arc<Promises>,
    events: u32,
    is_framed: bool,
    /// Whether the caller's connection is cut after the events.
    is_cut: bool,
}

impl Handler for PassingFront {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if !request.uri().path().ends_with("turn") {
            return respond(hyper::StatusCode::BAD_GATEWAY, "");
        }
        let id = request.headers()[names::REQUEST_ID].clone();
        let text = id.to_str().expect("an identifier");
        self.promises.record_endless_answer(text);
        let (mut sender, body) = pieces::channel(2);
        let answer = Bytes::from(turn_answer(text, self.events));
        sender.send_data(answer).await.expect("a reader");
        if self.is_cut {
            sender.abort("cut".into()).await;
        }
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

#[rstest]
#[case::cut(EVENTS, true, true, 0)]
#[case::cut_after_too_many(EVENTS * 10, true, true, 0)]
#[case::framed_as_complete(EVENTS, true, false, 1)]
#[case::framed_after_too_many(EVENTS * 10, true, false, 1)]
#[case::ended_with_its_connection(EVENTS * 10, false, false, 0)]
#[tokio::test]
async fn an_answer_without_end_that_looks_whole_is_reported(
    #[case] events: u32,
    #[case] is_framed: bool,
    #[case] is_cut: bool,
    #[case] breaches: usize,
) {
    let promises = Arc::new(Promises::default());
    let front = Arc::new(PassingFront {
        promises: promises.clone(),
        events,
        is_framed,
        is_cut,
    });
    let server = serve(front, None).await.expect("server");
    let fronts = Arc::new(vec![server.address]);
    let mut caller = Caller::new(fronts, promises.clone(), ChaCha8Rng::seed_from_u64(1));
    let mut tokens = 0;
    let until = Instant::now() + Duration::from_millis(50);
    let turn = caller.run_turn("program", 1000, None, &mut tokens, until);
    assert!(turn.await.is_none(), "it is not whole");
    let (reported, counts) = promises.evaluate();
    assert_eq!(reported.len(), breaches, "{reported:?}");
    assert_eq!(counts.endless, 1);
    assert!(tokens <= 54, "{tokens} tokens were asked for");
}

/// Another replica may answer a request that may be repeated.
#[rstest]
#[case::repeatable(true, AnswerEnd::Whole)]
#[case::not_repeatable(false, AnswerEnd::Wrong)]
fn only_a_repeatable_request_is_answered_after_an_answer_without_end(
    #[case] repeatable: bool,
    #[case] end: AnswerEnd,
) {
    let promises = Promises::default();
    let expected = ExpectedRequest {
        body: Bytes::new(),
        repeatable,
    };
    promises.record_request("r", expected);
    promises.record_endless_answer("r");
    let received = ReceivedAnswer {
        is_success: true,
        is_framed: true,
        body: "all".into(),
    };
    assert_eq!(promises.judge_end("r", "all", &received), end);
}
