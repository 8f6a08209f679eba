//! Engines and services that send bytes without end.

#[path = "support/flood.rs"]
mod flood;

use std::net::SocketAddr;
use std::time::Duration;

use flood::{Flood, FloodingServer};
use rstest::rstest;
use stageyoke_core::gateway::{AttemptOrder, AttemptResult};
use stageyoke_core::program::{Message, MessageRole};
use stageyoke_node::backends::engine::EngineClient;
use stageyoke_node::callers::sink::TextSink;
use stageyoke_node::platform::key_value::{KeyValueClient, StoreError};
use stageyoke_types::{Attempt, CallNumber, EngineId, List, NodeId, ProgramKey, RequestId, Text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const EXAMPLE: &str = include_str!("../../../examples/flood-warning.toml");
/// Longest time until an answer without end is given up and its connection is closed.
const SOON: Duration = Duration::from_secs(5);
const MAX_TOKENS: u32 = 16;
/// More than the limits on an answer and what sockets take in.
const MAX_TAKEN_BYTES: usize = 48 << 20;
const STREAM: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
const JSON: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";

/// Starts an engine that answers each request like this and closes its connection.
async fn start_engine(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

/// A client of engines at these addresses, and their names.
fn client(engines: &[SocketAddr]) -> (EngineClient, Vec<EngineId>) {
    let checked = stageyoke_config::check("example", EXAMPLE).expect("valid example");
    let mut config = checked.config;
    assert!(config.engines.len() >= engines.len());
    config.engines.truncate(engines.len());
    for (engine, address) in config.engines.iter_mut().zip(engines) {
        engine.address = *address;
    }
    let client = EngineClient::new(NodeId(1));
    client.configure(&config);
    let names = config.engines.iter();
    let names = names.map(|engine| EngineId::from(engine.name.as_str()));
    (client, names.collect())
}

async fn run(client: &EngineClient, engine: &EngineId) -> AttemptResult {
    let order = AttemptOrder {
        request: RequestId(1),
        attempt: Attempt(1),
        engine: engine.clone(),
        program: ProgramKey {
            tenant: "tenant".into(),
            program: "program".into(),
        },
        call: CallNumber(1),
        model: Text::from("model"),
        class: 0,
        messages: List(vec![Message {
            role: MessageRole::User,
            content: Text::from("question"),
        }]),
        max_tokens_out: MAX_TOKENS,
        resume: false,
    };
    let (_keep, cancelled) = oneshot::channel();
    let running = client.clone().run(order, TextSink::default(), cancelled);
    let result = tokio::time::timeout(SOON, running).await;
    result.expect("the attempt must end in time")
}

fn event(content: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{content}\"}}}}]}}\n\n")
}

fn assert_bounded(server: &FloodingServer) {
    let sent = server.sent_bytes();
    assert!(sent < MAX_TAKEN_BYTES, "{sent} bytes");
}

/// Guards against a stream that grows in memory, or keeps the node busy, until the engine ends it.
#[rstest]
#[case::a_line("data: ", "endless ")]
#[case::text("", "data: {\"choices\":[{\"delta\":{\"content\":\"endless \"}}]}\n\n")]
#[case::events_without_text("", "data: {\"choices\":[]}\n\n")]
#[case::comments("", ": still here\n\n")]
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_completion_ends_its_attempt_at_once(
    #[case] start: &str,
    #[case] piece: &'static str,
) {
    let flooding = FloodingServer::start(Flood {
        head: format!("{STREAM}{start}"),
        piece,
        pause: None,
    });
    let flooding = flooding.await;
    let whole = start_engine(format!("{STREAM}{}data: [DONE]\n\n", event("whole"))).await;
    let (client, engines) = client(&[flooding.address, whole]);
    let (endless, finished) = tokio::join!(run(&client, &engines[0]), run(&client, &engines[1]));
    assert!(
        matches!(endless, AttemptResult::Broken { .. }),
        "{endless:?}"
    );
    assert!(
        matches!(&finished, AttemptResult::Finished { answer, .. } if answer.as_str() == "whole"),
        "{finished:?}"
    );
    flooding.assert_closed_within(SOON).await;
    assert_bounded(&flooding);
}

/// Guards against limits that a legitimate completion reaches: long tokens in escaped form, one
/// event each or all in one, and comments while the engine works.
#[rstest]
#[case::one_event_each(1, MAX_TOKENS as usize)]
#[case::all_in_one_event(MAX_TOKENS as usize, 1)]
#[tokio::test]
async fn a_completion_of_the_longest_tokens_is_whole(
    #[case] tokens_per_event: usize,
    #[case] events: usize,
) {
    const TOKEN_CHARACTERS: usize = 128;
    let content = "\\u0020".repeat(TOKEN_CHARACTERS * tokens_per_event);
    let comments = ": still here\n\n".repeat(10_000);
    let events = event(&content).repeat(events);
    let engine = start_engine(format!("{STREAM}{comments}{events}data: [DONE]\n\n")).await;
    let (client, engines) = client(&[engine]);
    let result = run(&client, &engines[0]).await;
    let AttemptResult::Finished { answer, .. } = result else {
        panic!("{result:?}");
    };
    assert_eq!(answer.len(), TOKEN_CHARACTERS * MAX_TOKENS as usize);
}

/// Guards against a report that grows in memory for as long as its timeout allows.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_report_is_given_up_at_once() {
    let flooding = FloodingServer::start(Flood {
        head: format!("{JSON}{{\"programs\":["),
        piece: "\"tenant:program\",",
        pause: None,
    });
    let flooding = flooding.await;
    let (client, engines) = client(&[flooding.address]);
    let report = tokio::time::timeout(SOON, client.load(&engines[0])).await;
    assert_eq!(report.expect("an end in time"), None);
    flooding.assert_closed_within(SOON).await;
    assert_bounded(&flooding);
}

/// Guards against a limit that the report of a full engine reaches.
#[tokio::test]
async fn a_report_of_many_programs_is_read() {
    const PROGRAMS: usize = 20_000;
    let program = format!("\"tenant:{}\"", "program/sub-agent/".repeat(6));
    let programs = vec![program; PROGRAMS].join(",");
    let fields = "\"running\":1,\"waiting\":0,\"cached_tokens\":1,\"cache_limit\":1";
    let report = format!("{JSON}{{{fields},\"programs\":[{programs}]}}");
    let engine = start_engine(report).await;
    let (client, engines) = client(&[engine]);
    let report = client.load(&engines[0]).await.expect("a report");
    assert_eq!(report.programs.len(), PROGRAMS);
}

/// Guards against an answer of the key-value service that grows in memory for as long as its
/// timeout allows.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_value_is_given_up_at_once() {
    let flooding = FloodingServer::start(Flood {
        head: format!("{JSON}{{\"kvs\":[{{\"value\":\""),
        piece: "YWFh",
        pause: None,
    });
    let flooding = flooding.await;
    let client = KeyValueClient::new(vec![flooding.address]);
    let read = tokio::time::timeout(SOON, client.get("key")).await;
    assert_eq!(read.expect("an end in time"), Err(StoreError::Unavailable));
    flooding.assert_closed_within(SOON).await;
    assert_bounded(&flooding);
}

/// Guards against a limit that the largest value of the service reaches.
#[tokio::test]
async fn a_value_of_the_largest_size_is_read() {
    const VALUE_BYTES: usize = 3 << 19;
    let value = "YWFh".repeat(VALUE_BYTES / 3);
    let answer = format!("{JSON}{{\"kvs\":[{{\"value\":\"{value}\",\"mod_revision\":\"1\"}}]}}");
    let client = KeyValueClient::new(vec![start_engine(answer).await]);
    let found = client.get("key").await.expect("an answer");
    assert_eq!(found.expect("a value").value.len(), VALUE_BYTES);
}
