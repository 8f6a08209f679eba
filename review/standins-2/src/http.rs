//! Reads and writes HTTP/1.1 messages on blocking streams.

use std::io::{self, BufRead, Read, Write};

/// Head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    /// Headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first header of this name; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Reads a head; `None` at the end of the stream.
    pub fn read(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end();
            if line.is_empty() && !head.first_line.is_empty() {
                return Ok(Some(head));
            }
            if head.first_line.is_empty() {
                head.first_line = line.to_owned();
            } else if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                head.headers.push(header);
            }
        }
    }

    fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A request that a server has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub head: Head,
    pub method: String,
    /// Path and query.
    pub target: String,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads a request; `None` at the end of the stream.
    pub fn read(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(head) = Head::read(input)? else {
            return Ok(None);
        };
        let body = match (head.is_chunked(), head.content_length()) {
            (true, _) => read_chunks(input, |_| Ok(()))?,
            (false, Some(length)) => read_exact(input, length)?,
            (false, None) => Vec::new(),
        };
        let mut words = head.first_line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        Ok(Some(Self {
            head,
            method,
            target,
            body,
        }))
    }

    /// Returns the path.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(known, _)| *known == name);
        found.map(|(_, value)| crate::encoding::percent_decode(value))
    }
}

fn read_exact(input: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    input.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Reads a chunked body to its end; `on_chunk` sees each chunk.
pub fn read_chunks(
    input: &mut impl BufRead,
    mut on_chunk: impl FnMut(&[u8]) -> io::Result<()>,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = read_exact(input, length + 2)?;
        chunk.truncate(length);
        if length == 0 {
            return Ok(body);
        }
        on_chunk(&chunk)?;
        body.extend_from_slice(&chunk);
    }
}

/// Writes a response with a length.
pub fn respond(
    output: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    output.write_all(&message)?;
    output.flush()
}
