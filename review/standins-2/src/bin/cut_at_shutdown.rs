//! A front is stopped as planned while a client is still reading an answer.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standins_2::client::ClientRequest;
use review_standins_2::deployment::{Deployment, ReplicaPlan, SIGTERM, Size, Verdict, run_case};
use review_standins_2::http::Head;
use review_standins_2::record::Record;
use review_standins_2::replica::succeed;

const ANSWER_BYTES: usize = 14 * 1024 * 1024;
/// Bytes that the client reads in each step of `STEP`.
const STEP_BYTES: usize = 140 * 1024;
const STEP: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 7000;
/// Time from the request to the signal.
const TERM_AFTER: Duration = Duration::from_millis(300);
const REQUESTS: usize = 3;
const GRACE: Duration = Duration::from_secs(8);

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
{"Name":"bulletin","Host":"site.example","PathPrefix":"/bulletin/","Kind":"unsafe","TimeoutMs":7000,"SloMs":500,"Priority":1,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Size of the client's receive buffer.
const RECEIVE_BUFFER_BYTES: i32 = 64 * 1024;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
}

/// Keeps the kernel from reading ahead of the client.
fn limit_receive_buffer(stream: &TcpStream) {
    // SAFETY: the option's value is an integer that outlives the call.
    unsafe {
        let length = size_of::<i32>() as u32;
        let socket = stream.as_raw_fd();
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, length);
    }
}

struct Reading {
    status: u16,
    received: usize,
    expected: usize,
    seconds: f64,
}

/// Reads an answer at a steady rate.
fn read_slowly(address: SocketAddr, id: &str) -> io::Result<Reading> {
    let request = ClientRequest::new("POST", "/bulletin/read", id, DEADLINE_MS);
    let started = Instant::now();
    let mut stream = TcpStream::connect(address)?;
    limit_receive_buffer(&stream);
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(&request.encode())?;
    let mut input = BufReader::with_capacity(4096, stream);
    let head = Head::read(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let expected: usize = length.unwrap_or(0);
    let mut received = 0;
    let mut buffer = vec![0; STEP_BYTES];
    while received < expected {
        let step_ends = Instant::now() + STEP;
        let most = STEP_BYTES.min(expected - received);
        let mut in_step = 0;
        while in_step < most {
            match input.read(&mut buffer[..most - in_step]) {
                Ok(0) | Err(_) => {
                    return Ok(Reading {
                        status: head.status(),
                        received: received + in_step,
                        expected,
                        seconds: started.elapsed().as_secs_f64(),
                    });
                }
                Ok(count) => in_step += count,
            }
        }
        received += in_step;
        std::thread::sleep(step_ends.saturating_duration_since(Instant::now()));
    }
    Ok(Reading {
        status: head.status(),
        received,
        expected,
        seconds: started.elapsed().as_secs_f64(),
    })
}

fn case(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let replica = |id: &str| ReplicaPlan {
        id: id.to_owned(),
        service: "app",
        slots: 6,
        handler: Arc::new(|replica, request, stream| {
            replica.note_run(request);
            succeed(replica, request, stream, &vec![b'x'; ANSWER_BYTES])?;
            replica.record.line(&format!("DONE {}", replica.id));
            Ok(())
        }),
    };
    let size = Size {
        fronts: 2,
        stores: 3,
        losses: 1,
    };
    let replicas = vec![replica("i-app-1"), replica("i-app-2")];
    let mut deployment = Deployment::start(record, size, CONFIGURATION, replicas)?;
    let address = deployment.front(0);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let id = format!("bulletin-{number}");
            record.line(&format!("SENT {id} to {address}"));
            std::thread::spawn(move || (id.clone(), read_slowly(address, &id)))
        })
        .collect();
    std::thread::sleep(TERM_AFTER);
    let term_at = Instant::now();
    if trouble {
        record.line(&format!("SIGTERM to {}", deployment.fronts[0].node));
        deployment.fronts[0].signal(SIGTERM);
        while !deployment.fronts[0].has_ended() && term_at.elapsed() < GRACE {
            std::thread::sleep(Duration::from_millis(10));
        }
        let seconds = term_at.elapsed().as_secs_f64();
        record.say(&format!("the front has ended {seconds:.2} s after SIGTERM"));
    }
    let mut cut = 0;
    for client in clients {
        let (id, reading) = client.join().unwrap();
        let reading = reading?;
        record.say(&format!(
            "ANSWER {id}: status {}, {} of {} bytes in {:.2} s",
            reading.status, reading.received, reading.expected, reading.seconds
        ));
        if reading.status != 200 || reading.expected != ANSWER_BYTES {
            return Err(io::Error::other("the request was not served"));
        }
        let is_late = reading.seconds * 1000.0 >= DEADLINE_MS as f64;
        cut += usize::from(reading.received < reading.expected && !is_late);
    }
    deployment.keep_logs();
    Ok(match cut {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(&folder, case)
}
