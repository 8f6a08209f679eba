//! Replica that sends bytes without end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::streams::header_value;

/// Size of the blocks that a replica sends, and of its socket's send buffer.
const BLOCK_BYTES: usize = 64 * 1024;
/// Path of requests to which every replica responds shortly.
pub const SHORT_PATH: &str = "/once/short";
/// Limits how long the close of a connection is waited for.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

const SHORT_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: s\r\nContent-Length: 5\r\n\r\nshort";

/// What a replica sends after each request.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Sent once; `ID` is replaced by the request's identifier.
    pub prefix: String,
    /// Sent without end; nothing if empty.
    pub unit: String,
    /// Whether it is sent on a new connection, before any request.
    pub unsolicited: bool,
}

impl Script {
    /// Creates a script of a response that goes on without end.
    pub fn endless(prefix: &str, unit: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            unit: unit.to_owned(),
            unsolicited: false,
        }
    }

    /// Creates a script of a response after which nothing is sent.
    pub fn short(prefix: &str) -> Self {
        Self::endless(prefix, "")
    }
}

/// What a replica has seen.
#[derive(Debug, Default)]
pub struct Observed {
    /// Bytes sent over all connections.
    pub sent_bytes: Cell<usize>,
    /// Number of accepted connections.
    pub accepted: Cell<usize>,
    /// Number of open connections that have been used.
    pub open: Cell<usize>,
    /// First lines of the received requests.
    pub received: RefCell<Vec<String>>,
}

/// Replica with a script.
pub struct Replica {
    pub address: SocketAddr,
    pub observed: Rc<Observed>,
}

impl Replica {
    pub async fn start(script: Script) -> Self {
        let socket = TcpSocket::new_v4().expect("socket");
        let size = u32::try_from(BLOCK_BYTES).expect("size");
        socket.set_send_buffer_size(size).expect("buffer");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any).expect("bind");
        let listener = socket.listen(64).expect("listen");
        let address = listener.local_addr().expect("address");
        let observed: Rc<Observed> = Rc::default();
        let seen = observed.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve(stream, script.clone(), seen.clone()));
            }
        });
        Self { address, observed }
    }

    /// Returns the number of received requests.
    pub fn requests(&self) -> usize {
        self.observed.received.borrow().len()
    }

    /// Waits until all connections are closed.
    pub async fn wait_until_closed(&self) {
        let started = Instant::now();
        while self.observed.open.get() > 0 {
            assert!(
                started.elapsed() < CLOSE_TIMEOUT,
                "{} connections stay open, {} bytes sent",
                self.observed.open.get(),
                self.observed.sent_bytes.get()
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn serve(mut stream: TcpStream, script: Script, observed: Rc<Observed>) {
    observed.accepted.set(observed.accepted.get() + 1);
    let first = match script.unsolicited {
        true => Some(String::new()),
        false => read_head(&mut stream).await,
    };
    let Some(first) = first else {
        return;
    };
    observed.open.set(observed.open.get() + 1);
    respond(&mut stream, first, &script, &observed).await;
    drop(stream);
    observed.open.set(observed.open.get() - 1);
}

/// Responds to the first and all further requests until the connection is closed.
async fn respond(stream: &mut TcpStream, first: String, script: &Script, observed: &Observed) {
    if script.unsolicited {
        send_without_end(stream, script, observed).await;
        return;
    }
    let mut next = Some(first);
    while let Some(head) = next {
        let first_line = head.lines().next().unwrap_or_default().to_owned();
        let is_short = first_line.contains(SHORT_PATH);
        observed.received.borrow_mut().push(first_line);
        let id = header_value(&head, "id").unwrap_or_default();
        let prefix = match is_short {
            true => SHORT_RESPONSE,
            false => &script.prefix,
        };
        if !send(stream, prefix.replace("ID", &id).as_bytes(), observed).await {
            return;
        }
        if !is_short && !script.unit.is_empty() {
            send_without_end(stream, script, observed).await;
            return;
        }
        next = read_head(stream).await;
    }
}

async fn send_without_end(stream: &mut TcpStream, script: &Script, observed: &Observed) {
    let block = script.unit.repeat(BLOCK_BYTES.div_ceil(script.unit.len()));
    while send(stream, block.as_bytes(), observed).await {}
}

async fn send(stream: &mut TcpStream, mut bytes: &[u8], observed: &Observed) -> bool {
    while !bytes.is_empty() {
        let Ok(count) = stream.write(bytes).await else {
            return false;
        };
        observed.sent_bytes.set(observed.sent_bytes.get() + count);
        bytes = &bytes[count..];
    }
    true
}

/// Reads a request with its body and returns its head.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header_value(&head, "content-length");
            let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
            if bytes.len() - end - 4 >= length {
                return Some(head);
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}
