//! A program returns within the retention of its last turn, and its next turn takes long.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use review_standins_2::client::{Answer, ClientRequest, ask};
use review_standins_2::deployment::{Deployment, ReplicaPlan, Size, Verdict, run_case};
use review_standins_2::record::Record;
use review_standins_2::replica::stream_turn;

/// Retention of a turn in the example of the protocol's messages.
const RETENTION_S: f64 = 60.0;
const PROGRAMS: usize = 4;
const EVENTS: usize = 8;
/// Events of a long turn, one each 20 ms.
const LONG_EVENTS: usize = 1350;
/// Seconds after the first turns at which the programs return.
const RETURN_AT: f64 = 57.0;
const EARLY_RETURN_AT: f64 = 20.0;
const THIRD_TURNS_AT: f64 = 88.0;
/// Interval of the programs that run all the time.
const OTHER_INTERVAL: Duration = Duration::from_millis(1000);
const TRIES: usize = 6;
/// Seconds after the start of the case by which each program should be over.
const PROGRAMS_END_AT: f64 = 118.0;
const PAUSE: Duration = Duration::from_millis(300);
const DEADLINE_MS: u64 = 30_000;

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
{"Name":"draft","Host":"site.example","PathPrefix":"/draft/","Kind":"stream","TimeoutMs":30000,"SloMs":200,"Priority":0,"Service":"llm","MaxAttempts":1,"RetainContext":true,"RetentionS":60.0,"SessionAffinity":true,"CanResume":false,"GapSloMs":200}],
"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":160,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,"KvCapacityTokens":127559,"EventTokens":9,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn turn(program: &str, id: &str, previous: Option<&str>, events: usize) -> ClientRequest {
    let request = ClientRequest::new("POST", "/draft/turn", id, DEADLINE_MS)
        .with("Program-Id", program)
        .with("Session-Id", program)
        .with("Token-Budget", "100000")
        .with("Model", "m")
        .with("Token-Count", &format!("100,{}", events * 9))
        .with("Prompt-Prefix", &format!("{:x}:100", id.len()))
        .with_body(format!("input of {id}\n").as_bytes());
    match previous {
        Some(previous) => request.with("Previous-Turn", previous),
        None => request,
    }
}

fn send(record: &Record, address: SocketAddr, request: &ClientRequest) -> Answer {
    let left = PROGRAMS_END_AT - record.seconds();
    let request = request
        .clone()
        .with("Finish-Ms", &format!("{:.0}", left.max(0.0) * 1000.0));
    record.line(&format!("SENT {} to {address}", request.id));
    let answer = ask(address, &request);
    let retry_after = answer.head.header("retry-after").unwrap_or("-");
    record.line(&format!(
        "ANSWER {} from {address}: status {}, whole {}, retry after {retry_after}",
        request.id, answer.status, answer.is_whole
    ));
    answer
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_whole
}

fn case(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let replica = |id: &str| ReplicaPlan {
        id: id.to_owned(),
        service: "llm",
        slots: 12,
        handler: Arc::new(|replica, request, stream| {
            let counts = request.head.header("token-count").unwrap_or_default();
            let most = counts.split(',').nth(1).and_then(|most| most.parse().ok());
            stream_turn(replica, request, stream, most.unwrap_or(EVENTS * 9) / 9)
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
    for number in 0..PROGRAMS {
        let id = format!("first-{number}");
        let request = turn(&format!("program-{number}"), &id, None, EVENTS);
        if !is_served(&send(record, front, &request)) {
            return Err(io::Error::other("a first turn was not served"));
        }
    }
    let mut others = 0;
    let mut served_others = 0;
    let mut run_others_until = |seconds: f64| {
        while record.seconds() - started < seconds {
            let id = format!("alone-{others}");
            let request = turn(&format!("other-{others}"), &id, None, EVENTS);
            served_others += usize::from(is_served(&send(record, other_front, &request)));
            others += 1;
            std::thread::sleep(OTHER_INTERVAL);
        }
    };
    run_others_until(if trouble { RETURN_AT } else { EARLY_RETURN_AT });
    let long_turns: Vec<_> = (0..PROGRAMS)
        .map(|number| {
            let (program, previous) = (format!("program-{number}"), format!("first-{number}"));
            let id = format!("second-{number}");
            let request = turn(&program, &id, Some(&previous), LONG_EVENTS);
            let record = record.clone();
            std::thread::spawn(move || {
                (is_served(&send(&record, front, &request)), record.seconds())
            })
        })
        .collect();
    run_others_until(THIRD_TURNS_AT);
    let mut second_turns_at = Vec::new();
    for long_turn in long_turns {
        let (is_served, at) = long_turn.join().unwrap();
        if !is_served {
            return Err(io::Error::other("a second turn was not served"));
        }
        second_turns_at.push(at);
    }
    if served_others * 10 < others * 9 {
        return Err(io::Error::other("first turns were not served"));
    }
    let mut lost = 0;
    for (number, answered_at) in second_turns_at.iter().enumerate() {
        let (program, previous) = (format!("program-{number}"), format!("second-{number}"));
        let mut statuses = Vec::new();
        for try_number in 0..TRIES {
            let id = format!("third-{number}-{try_number}");
            let request = turn(&program, &id, Some(&previous), EVENTS);
            let answer = send(record, other_front, &request);
            statuses.push(answer.status);
            if is_served(&answer) {
                break;
            }
            std::thread::sleep(PAUSE);
        }
        let age = record.seconds() - answered_at;
        let reached = record.count(&format!("RUN third-{number}-"));
        record.say(&format!(
            "{previous}, answered whole {age:.0} s before: {reached} of the tries reached a replica, statuses {statuses:?}"
        ));
        let is_retained = age < RETENTION_S;
        lost += usize::from(is_retained && reached == 0 && statuses.len() == TRIES);
    }
    deployment.keep_logs();
    record.say(&format!(
        "turns that can't be continued: {lost} of {PROGRAMS}"
    ));
    Ok(match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(&folder, case)
}
