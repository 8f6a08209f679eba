//! Clients on kept connections pause in the middle of reading an answer.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standins_2::client::ClientRequest;
use review_standins_2::deployment::{Deployment, ReplicaPlan, Size, Verdict, run_case};
use review_standins_2::http::Head;
use review_standins_2::record::Record;
use review_standins_2::replica::succeed;

const SMALL_ANSWER_BYTES: usize = 800;
const LARGE_ANSWER_BYTES: usize = 512 * 1024;
const CLIENTS: usize = 6;
/// Time for which a client reads nothing.
const PAUSE: Duration = Duration::from_millis(3000);
const DEADLINE_MS: u64 = 6000;
/// Connections without an answer that the rule allows.
const MOST_WITHOUT_ANSWER: usize = 3;

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
{"Name":"bulletin","Host":"site.example","PathPrefix":"/bulletin/","Kind":"unsafe","TimeoutMs":6000,"SloMs":500,"Priority":1,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

struct Reading {
    status: u16,
    received: usize,
    expected: usize,
    seconds: f64,
    error: String,
}

/// Sends a request on the connection and reads its answer, with a pause after the head.
fn exchange(
    input: &mut BufReader<TcpStream>,
    request: &ClientRequest,
    pause: Duration,
) -> io::Result<Reading> {
    let started = Instant::now();
    input.get_mut().write_all(&request.encode())?;
    let head = Head::read(input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let expected: usize = length.unwrap_or(0);
    std::thread::sleep(pause);
    let mut buffer = vec![0; 64 * 1024];
    let mut received = 0;
    let mut error = "none".to_owned();
    while received < expected {
        let most = buffer.len().min(expected - received);
        match input.read(&mut buffer[..most]) {
            Ok(0) => {
                error = "end of the connection".to_owned();
                break;
            }
            Ok(count) => received += count,
            Err(failure) => {
                error = failure.to_string();
                break;
            }
        }
    }
    Ok(Reading {
        status: head.status(),
        received,
        expected,
        seconds: started.elapsed().as_secs_f64(),
        error,
    })
}

fn use_connection(address: SocketAddr, number: usize, pause: Duration) -> io::Result<Reading> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut input = BufReader::with_capacity(4096, stream);
    let small = ClientRequest::new(
        "POST",
        "/bulletin/small",
        &format!("small-{number}"),
        DEADLINE_MS,
    );
    exchange(&mut input, &small, Duration::ZERO)?;
    let large = ClientRequest::new(
        "POST",
        "/bulletin/large",
        &format!("large-{number}"),
        DEADLINE_MS,
    );
    exchange(&mut input, &large, pause)
}

fn case(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let replica = |id: &str| ReplicaPlan {
        id: id.to_owned(),
        service: "app",
        slots: 6,
        handler: Arc::new(|replica, request, stream| {
            replica.note_run(request);
            let bytes = match request.path() {
                "/bulletin/large" => LARGE_ANSWER_BYTES,
                _ => SMALL_ANSWER_BYTES,
            };
            succeed(replica, request, stream, &vec![b'x'; bytes])
        }),
    };
    let size = Size {
        fronts: 2,
        stores: 3,
        losses: 1,
    };
    let replicas = vec![replica("i-app-1"), replica("i-app-2"), replica("i-app-3")];
    let deployment = Deployment::start(record, size, CONFIGURATION, replicas)?;
    let address = deployment.front(0);
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            record.line(&format!(
                "SENT small-{number} and then large-{number} to {address}"
            ));
            std::thread::spawn(move || use_connection(address, number, pause))
        })
        .collect();
    let mut cut = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let reading = client.join().unwrap()?;
        record.say(&format!(
            "ANSWER large-{number}: status {}, {} of {} bytes in {:.2} s, error: {}",
            reading.status, reading.received, reading.expected, reading.seconds, reading.error
        ));
        let is_late = reading.seconds * 1000.0 >= DEADLINE_MS as f64;
        cut += usize::from(reading.received < reading.expected && !is_late);
    }
    deployment.keep_logs();
    record.say(&format!(
        "connections closed without a whole answer: {cut} of {CLIENTS}"
    ));
    Ok(match cut > MOST_WITHOUT_ANSWER {
        false => Verdict::Held,
        true => Verdict::Broken,
    })
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(&folder, case)
}
