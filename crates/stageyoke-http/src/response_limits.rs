//! Limits on the bytes of responses. A service in trouble may send bytes without end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::CallError;

/// Largest head of a response, and largest single read from a connection.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest size of all heads of a response, interim ones included. The last read of a head may
/// contain a part of the body.
const MAX_HEADS_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Number of the largest bodies that all calls of a client together may receive at once.
const MAX_CONCURRENT_BODIES: usize = 2;

/// Limits the bytes that are read between a request and the end of the final head.
#[derive(Debug, Default)]
pub(crate) struct HeadLimit {
    /// Bytes that may still be read; `None` while no head is awaited.
    remaining: Cell<Option<usize>>,
    is_exceeded: Cell<bool>,
}

impl HeadLimit {
    /// Starts the wait for the heads of a response.
    pub(crate) fn start(&self) {
        self.remaining.set(Some(MAX_HEADS_BYTES));
    }

    /// Ends the wait: the final head was received.
    pub(crate) fn end(&self) {
        self.remaining.set(None);
    }

    /// Returns whether the heads were too large.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }

    fn record(&self, byte_count: usize) -> io::Result<()> {
        let Some(remaining) = self.remaining.get() else {
            return Ok(());
        };
        let left = remaining.checked_sub(byte_count);
        self.is_exceeded.set(left.is_none());
        self.remaining.set(Some(left.unwrap_or(0)));
        match left {
            Some(_) => Ok(()),
            None => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "heads too large",
            )),
        }
    }
}

/// Connection whose reads fail once the heads of a response are too large.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream {
    inner: TcpStream,
    limit: Rc<HeadLimit>,
}

impl HeadLimitedStream {
    /// Applies `limit` to what is read from `inner`.
    pub(crate) fn new(inner: TcpStream, limit: Rc<HeadLimit>) -> Self {
        Self { inner, limit }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let byte_count = buffer.filled().len() - filled_before;
        Poll::Ready(self.limit.record(byte_count))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Memory for the bodies that all calls of a client are receiving.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    max_body_bytes: usize,
    used_bytes: Cell<usize>,
}

impl BodyMemory {
    /// Creates the memory for bodies of at most `max_body_bytes` each.
    pub(crate) fn new(max_body_bytes: usize) -> Self {
        Self {
            max_body_bytes,
            used_bytes: Cell::new(0),
        }
    }

    /// Returns the share of a body of which nothing is received yet.
    pub(crate) fn share(&self) -> BodyShare<'_> {
        BodyShare {
            memory: self,
            bytes: 0,
        }
    }
}

/// Share of one body, released on drop.
#[derive(Debug)]
pub(crate) struct BodyShare<'a> {
    memory: &'a BodyMemory,
    bytes: usize,
}

impl BodyShare<'_> {
    /// Fails if a body of this length exceeds the limit.
    pub(crate) fn check_length(&self, length: u64) -> Result<(), CallError> {
        match length > self.memory.max_body_bytes as u64 {
            true => Err(CallError::ResponseTooLarge),
            false => Ok(()),
        }
    }

    /// Adds bytes to the body. Fails if it exceeds the limit, or if all bodies together do.
    pub(crate) fn add(&mut self, byte_count: usize) -> Result<(), CallError> {
        self.check_length((self.bytes + byte_count) as u64)?;
        let used = self.memory.used_bytes.get() + byte_count;
        if used > MAX_CONCURRENT_BODIES * self.memory.max_body_bytes {
            return Err(CallError::ResponseTooLarge);
        }
        self.memory.used_bytes.set(used);
        self.bytes += byte_count;
        Ok(())
    }
}

impl Drop for BodyShare<'_> {
    fn drop(&mut self) {
        let used = self.memory.used_bytes.get();
        self.memory.used_bytes.set(used - self.bytes);
    }
}
