//! Stand-ins of replicas.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Request, respond};
use crate::record::Record;

/// Time between the events of a turn.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// What a replica does with a request; an error closes the connection.
pub type Handler = dyn Fn(&Replica, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub record: Record,
}

impl Replica {
    /// Starts to serve requests. Those that expect another instance are answered 421.
    pub fn serve(&self, handler: Arc<Handler>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let replica = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, handler) = (replica.clone(), handler.clone());
                std::thread::spawn(move || replica.serve_connection(stream, &*handler));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        while let Some(request) = Request::read(&mut input)? {
            if request.path() == "/health" {
                respond(&mut stream, "200 OK", &[("Instance-Id", &self.id)], b"")?;
                continue;
            }
            let expected = request.head.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let id = request_id(&request).to_owned();
                let headers = [("Instance-Id", self.id.as_str()), ("Request-Id", &id)];
                respond(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            handler(self, &request, &mut stream)?;
        }
        Ok(())
    }

    /// Returns the entry in the platform's store.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"Service":"{}","Addr":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"ready","ColdLeftMs":0,"CallSeq":1}}"#,
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Notes that the replica begins work on a request.
    pub fn note_run(&self, request: &Request) {
        let (id, request_id) = (&self.id, request_id(request));
        let bytes = request.body.len();
        self.record
            .line(&format!("RUN {request_id} at {id}, body of {bytes} bytes"));
    }
}

/// Returns the identifier of a request.
pub fn request_id(request: &Request) -> &str {
    request.head.header("request-id").unwrap_or_default()
}

/// Returns the signature of an answer.
pub fn stamp(replica: &Replica, request: &Request) -> String {
    format!("stamp.{}.{}", replica.id, request_id(request))
}

/// Answers with success and this body.
pub fn succeed(
    replica: &Replica,
    request: &Request,
    stream: &mut TcpStream,
    body: &[u8],
) -> io::Result<()> {
    let headers = [
        ("Request-Id", request_id(request)),
        ("Response-Stamp", &stamp(replica, request)),
    ];
    respond(stream, "200 OK", &headers, body)
}

/// Data of one event of a turn.
pub fn event_data(request_id: &str, number: usize) -> String {
    format!("{request_id} says {number}")
}

/// Runs a turn of `events` events.
pub fn stream_turn(
    replica: &Replica,
    request: &Request,
    stream: &mut TcpStream,
    events: usize,
) -> io::Result<()> {
    replica.note_run(request);
    let id = request_id(request);
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Request-Id: {id}\r\nResponse-Stamp: {}\r\n\r\n",
        stamp(replica, request)
    )?;
    for number in 0..events {
        std::thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number));
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        stream.flush()?;
    }
    stream.write_all(b"0\r\n\r\n")
}
