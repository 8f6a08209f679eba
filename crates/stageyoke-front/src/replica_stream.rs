//! Stream to a replica that limits what the replica may send before its response begins.
//!
//! hyper limits the size of a single head, but skips any number of informational ones. The limit
//! here covers all heads of a response together.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are buffered of a replica's connection, and thereby maximum size
/// of one head.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Number of bytes after which no more is read until the response begins: a head of the maximum
/// size, and what may have been read together with its end.
pub const MAX_HEAD_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// Bytes that a replica may still send until its response begins.
#[derive(Debug)]
pub struct HeadAllowance {
    /// `None` while a response's body is read.
    remaining: Cell<Option<usize>>,
    exceeded: Cell<bool>,
}

impl Default for HeadAllowance {
    fn default() -> Self {
        Self {
            remaining: Cell::new(Some(MAX_HEAD_BYTES)),
            exceeded: Cell::new(false),
        }
    }
}

impl HeadAllowance {
    /// Starts to count anew, for the next request.
    pub fn renew(&self) {
        self.remaining.set(Some(MAX_HEAD_BYTES));
    }

    /// Stops counting, as the response has begun.
    pub fn suspend(&self) {
        self.remaining.set(None);
    }

    /// Returns whether the replica has sent too many bytes before a response.
    pub fn is_exceeded(&self) -> bool {
        self.exceeded.get()
    }

    /// Fails if no more may be read.
    fn check(&self) -> io::Result<()> {
        if self.remaining.get() != Some(0) {
            return Ok(());
        }
        self.exceeded.set(true);
        Err(io::Error::other("too many bytes before a response"))
    }

    fn count(&self, bytes: usize) {
        let remaining = self.remaining.get();
        self.remaining
            .set(remaining.map(|remaining| remaining.saturating_sub(bytes)));
    }
}

/// Stream to a replica.
pub struct ReplicaStream {
    stream: TcpStream,
    allowance: Rc<HeadAllowance>,
}

impl ReplicaStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, allowance: Rc<HeadAllowance>) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for ReplicaStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.allowance.check()?;
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.count(buffer.filled().len() - filled_before);
        polled
    }
}

impl AsyncWrite for ReplicaStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
