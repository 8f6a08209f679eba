//! Stand-in of a client.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, read_chunks};

/// Host of all routes.
pub const HOST: &str = "site.example";

/// A request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ClientRequest {
    /// Creates a request without a body.
    pub fn new(method: &'static str, path: &str, id: &str, deadline_ms: u64) -> Self {
        Self {
            method,
            path: path.to_owned(),
            id: id.to_owned(),
            deadline_ms,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Returns the bytes to send.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut message = head.into_bytes();
        message.extend_from_slice(&self.body);
        message
    }
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if no head came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer came to its stated end.
    pub is_whole: bool,
}

/// Sends a request on a new connection and reads the answer.
pub fn ask(address: SocketAddr, request: &ClientRequest) -> Answer {
    let patience = Duration::from_millis(request.deadline_ms + 1000);
    let mut answer = Answer::default();
    let _ = exchange(address, request, patience, &mut answer);
    answer
}

fn exchange(
    address: SocketAddr,
    request: &ClientRequest,
    patience: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request.encode())?;
    let mut input = BufReader::new(stream);
    let Some(head) = Head::read(&mut input)? else {
        return Ok(());
    };
    answer.status = head.status();
    answer.head = head;
    if let Some(length) = answer.head.header("content-length") {
        let length: usize = length.parse().map_err(io::Error::other)?;
        let mut limited = input.take(length as u64);
        limited.read_to_end(&mut answer.body)?;
        answer.is_whole = answer.body.len() == length;
        return Ok(());
    }
    let body = &mut answer.body;
    read_chunks(&mut input, |chunk| {
        body.extend_from_slice(chunk);
        Ok(())
    })?;
    answer.is_whole = true;
    Ok(())
}
