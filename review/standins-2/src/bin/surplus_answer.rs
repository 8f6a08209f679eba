//! Replicas send more after a whole answer, which arrives in the place of the next one due.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use review_standins_2::client::{ClientRequest, ask};
use review_standins_2::deployment::{Deployment, ReplicaPlan, Size, Verdict, run_case};
use review_standins_2::http::{Request, respond};
use review_standins_2::record::Record;
use review_standins_2::replica::{Replica, request_id, succeed};

/// Time after a whole answer at which the replica sends the surplus one.
const SURPLUS_AFTER: Duration = Duration::from_millis(50);
/// Work of an order, which the client sends right after the earlier request's answer.
const WORK: Duration = Duration::from_millis(104);
const PAIRS: usize = 40;
const PAUSE: Duration = Duration::from_millis(250);
const DEADLINE_MS: u64 = 3000;

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
{"Name":"order","Host":"site.example","PathPrefix":"/order/","Kind":"unsafe","TimeoutMs":3000,"SloMs":500,"Priority":1,"Service":"app","MaxAttempts":1},
{"Name":"read","Host":"site.example","PathPrefix":"/read/","Kind":"safe","TimeoutMs":3000,"SloMs":500,"Priority":1,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn send_later(stream: &TcpStream, answer: Vec<u8>) -> io::Result<()> {
    let mut stream = stream.try_clone()?;
    std::thread::spawn(move || {
        std::thread::sleep(SURPLUS_AFTER);
        let _ = stream.write_all(&answer);
    });
    Ok(())
}

fn handle(
    replica: &Replica,
    request: &Request,
    stream: &mut TcpStream,
    is_faulty: bool,
) -> io::Result<()> {
    let id = request_id(request);
    if request.path() == "/order/full" {
        // As the examples of the protocol's messages show it.
        let shed: &[u8] =
            b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        replica.record.line(&format!("SHED {id} at {}", replica.id));
        stream.write_all(shed)?;
        if is_faulty {
            send_later(stream, shed.to_vec())?;
        }
        return Ok(());
    }
    replica.note_run(request);
    if request.path() == "/read/state" {
        succeed(replica, request, stream, b"state")?;
        if is_faulty {
            let mut surplus = Vec::new();
            let headers = [("Request-Id", id), ("Instance-Id", "i-other")];
            respond(&mut surplus, "421 Misdirected Request", &headers, b"")?;
            send_later(stream, surplus)?;
        }
        return Ok(());
    }
    std::thread::sleep(WORK);
    succeed(replica, request, stream, b"done")
}

fn case(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let is_faulty = Arc::new(AtomicBool::new(trouble));
    let replica = |id: &str| {
        let is_faulty = is_faulty.clone();
        ReplicaPlan {
            id: id.to_owned(),
            service: "app",
            slots: 6,
            handler: Arc::new(move |replica, request, stream| {
                handle(replica, request, stream, is_faulty.load(Ordering::Relaxed))
            }),
        }
    };
    let size = Size {
        fronts: 2,
        stores: 3,
        losses: 1,
    };
    let replicas: Vec<ReplicaPlan> = (1..=4).map(|n| replica(&format!("i-app-{n}"))).collect();
    let deployment = Deployment::start(record, size, CONFIGURATION, replicas)?;
    let front = deployment.front(0);
    let mut twice = [0, 0];
    let mut served = 0;
    for number in 0..PAIRS {
        // A surplus 421 ends the use of a replica, so these come last.
        let kind = number / (PAIRS / 2);
        let earlier = match kind {
            0 => ClientRequest::new(
                "POST",
                "/order/full",
                &format!("full-{number}"),
                DEADLINE_MS,
            ),
            _ => ClientRequest::new("GET", "/read/state", &format!("read-{number}"), DEADLINE_MS),
        };
        record.line(&format!("SENT {}", earlier.id));
        let status = ask(front, &earlier).status;
        record.line(&format!("ANSWER {}: status {status}", earlier.id));
        let id = format!("order-{number}");
        let order = ClientRequest::new("POST", "/order/new", &id, DEADLINE_MS);
        record.line(&format!("SENT {id}"));
        let answer = ask(front, &order);
        let runs = record.count(&format!("RUN {id} "));
        record.line(&format!(
            "ANSWER {id}: status {}, runs {runs}",
            answer.status
        ));
        served += usize::from(answer.status == 200);
        twice[kind] += usize::from(runs > 1);
        std::thread::sleep(PAUSE);
    }
    deployment.keep_logs();
    record.say(&format!("orders answered 200: {served} of {PAIRS}"));
    record.say(&format!(
        "run more than once after a doubled 503: {} of {}",
        twice[0],
        PAIRS / 2
    ));
    record.say(&format!(
        "run more than once after a surplus 421: {} of {}",
        twice[1],
        PAIRS / 2
    ));
    Ok(match twice {
        [0, 0] => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(&folder, case)
}
