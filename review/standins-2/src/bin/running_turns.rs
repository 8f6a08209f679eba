//! Two turns of a program run long. Helpers of the program begin before they have ended.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use review_standins_2::client::{Answer, ClientRequest, ask};
use review_standins_2::deployment::{Deployment, ReplicaPlan, Size, Verdict, run_case};
use review_standins_2::record::Record;
use review_standins_2::replica::stream_turn;

const TOKENS_PER_EVENT: usize = 9;
/// Events of the two long turns, one each 20 ms.
const LONG_EVENTS: usize = 2800;
const HELPER_EVENTS: usize = LONG_EVENTS / 2;
const LONG_TURNS: usize = 2;
const HELPERS: usize = 4;
const OTHER_EVENTS: usize = 8;
/// The most tokens of one turn of the program.
const MOST: usize = LONG_EVENTS * TOKENS_PER_EVENT;
/// The budget has room for the long turns, and for no helper beside them.
const BUDGET: usize = LONG_TURNS * MOST + 900;
/// Seconds after the start of the long turns at which the helpers begin.
const HELPERS_AT: f64 = 49.0;
const EARLY_HELPERS_AT: f64 = 10.0;
/// Interval of the programs that run all the time.
const OTHER_INTERVAL: Duration = Duration::from_millis(500);
/// Seconds after the start of the case by which each program should be over.
const PROGRAMS_END_AT: f64 = 118.0;
const DEADLINE_MS: u64 = 60_000;

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
{"Name":"draft","Host":"site.example","PathPrefix":"/draft/","Kind":"stream","TimeoutMs":60000,"SloMs":200,"Priority":0,"Service":"llm","MaxAttempts":1,"RetainContext":true,"RetentionS":20.0,"SessionAffinity":true,"CanResume":false,"GapSloMs":200}],
"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":160,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,"KvCapacityTokens":127559,"EventTokens":9,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Runs one turn and returns the tokens that its client got.
fn run_turn(record: &Record, address: SocketAddr, program: &str, id: &str, events: usize) -> usize {
    let left = PROGRAMS_END_AT - record.seconds();
    let request = ClientRequest::new("POST", "/draft/turn", id, DEADLINE_MS)
        .with("Program-Id", program)
        .with("Session-Id", id)
        .with("Finish-Ms", &format!("{:.0}", left.max(0.0) * 1000.0))
        .with("Token-Budget", &BUDGET.to_string())
        .with("Model", "m")
        .with("Token-Count", &format!("100,{}", events * TOKENS_PER_EVENT))
        .with("Prompt-Prefix", "a1:100")
        .with_body(format!("input of {id}\n").as_bytes());
    record.line(&format!("SENT {id} of {program} to {address}"));
    let answer = ask(address, &request);
    let tokens = tokens_of(&answer);
    let (status, is_whole) = (answer.status, answer.is_whole);
    record.line(&format!(
        "ANSWER {id}: status {status}, whole {is_whole}, {tokens} tokens"
    ));
    tokens
}

fn tokens_of(answer: &Answer) -> usize {
    let text = String::from_utf8_lossy(&answer.body);
    match answer.status {
        200 => text.matches("data: ").count() * TOKENS_PER_EVENT,
        _ => 0,
    }
}

fn case(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let replica = |id: &str| ReplicaPlan {
        id: id.to_owned(),
        service: "llm",
        slots: 12,
        handler: Arc::new(|replica, request, stream| {
            let counts = request.head.header("token-count").unwrap_or_default();
            let most = counts.split(',').nth(1).and_then(|most| most.parse().ok());
            let events = most.unwrap_or(0) / TOKENS_PER_EVENT;
            stream_turn(replica, request, stream, events)
        }),
    };
    let size = Size {
        fronts: 2,
        stores: 3,
        losses: 1,
    };
    let replicas = vec![replica("i-llm-1"), replica("i-llm-2"), replica("i-llm-3")];
    let deployment = Deployment::start(record, size, CONFIGURATION, replicas)?;
    let (front, other_front) = (deployment.front(0), deployment.front(1));
    let started = record.seconds();
    let begin = |id: String, events: usize| -> JoinHandle<usize> {
        let record = record.clone();
        std::thread::spawn(move || run_turn(&record, front, "program", &id, events))
    };
    let long_turns = (0..LONG_TURNS).map(|number| begin(format!("long-{number}"), LONG_EVENTS));
    let long_turns: Vec<_> = long_turns.collect();
    let helpers_at = if trouble {
        HELPERS_AT
    } else {
        EARLY_HELPERS_AT
    };
    let mut others = 0;
    while record.seconds() - started < helpers_at {
        let (program, id) = (format!("other-{others}"), format!("alone-{others}"));
        run_turn(record, other_front, &program, &id, OTHER_EVENTS);
        others += 1;
        std::thread::sleep(OTHER_INTERVAL);
    }
    let helpers = (0..HELPERS).map(|number| begin(format!("helper-{number}"), HELPER_EVENTS));
    let helpers: Vec<_> = helpers.collect();
    let total = |turns: Vec<JoinHandle<usize>>| -> usize {
        turns.into_iter().map(|turn| turn.join().unwrap()).sum()
    };
    let (long_tokens, helper_tokens) = (total(long_turns), total(helpers));
    deployment.keep_logs();
    if long_tokens != LONG_TURNS * MOST {
        return Err(io::Error::other("a long turn was not served"));
    }
    record.say(&format!(
        "given: {long_tokens} tokens in the long turns, {helper_tokens} in the helpers; \
         the budget is {BUDGET}, with the most of one turn {}",
        BUDGET + MOST
    ));
    Ok(match long_tokens + helper_tokens > BUDGET + MOST {
        false => Verdict::Held,
        true => Verdict::Broken,
    })
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(&folder, case)
}
