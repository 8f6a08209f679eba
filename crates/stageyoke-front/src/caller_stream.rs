//! Stream of a caller's connection. It counts what is read of heads, and at the end discards what
//! the caller still sends: the kernel resets a connection that is closed with unread bytes, and
//! the caller may lose the last response by that.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use stageyoke_directory::HttpLimits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::caller_connections::ConnectionHandle;
use crate::response_writing::WritingConnection;

/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Stream of a caller's connection.
pub struct CallerStream {
    stream: WritingConnection,
    connection: ConnectionHandle,
    /// Bytes that may still be discarded.
    discardable_bytes: usize,
    /// Longest time for which the caller may go on sending after the last response.
    max_closing_time: Duration,
    /// End of that time; `None` before the stream is closed.
    closing: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps the stream of a connection. What a caller sends after the last response is discarded for
    /// as long as a connection may be idle, and up to one largest body.
    pub fn new(
        stream: WritingConnection,
        connection: ConnectionHandle,
        limits: &HttpLimits,
    ) -> Self {
        Self {
            stream,
            connection,
            discardable_bytes: limits.body_bytes + DISCARD_BUFFER_BYTES,
            max_closing_time: limits.idle_timeout,
            closing: None,
        }
    }

    /// Discards received bytes until the caller has closed its side, or the limits are reached.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::uninit(&mut bytes);
            let polled = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            let count = buffer.filled().len();
            match polled {
                Poll::Ready(Ok(())) if count > 0 => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.poll_more_expected(context),
            }
            if count > self.discardable_bytes {
                return Poll::Ready(());
            }
            self.discardable_bytes -= count;
        }
    }

    /// Waits for further bytes of a request that was not read whole.
    fn poll_more_expected(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.connection.sends_unread() || self.connection.is_evicted() {
            return Poll::Ready(());
        }
        match &mut self.closing {
            Some(closing) => closing.as_mut().poll(context),
            None => Poll::Ready(()),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - filled_before;
        if count > 0 {
            self.connection.record_read(count);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.connection.record_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.connection.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes the front's side, and then discards what the caller still sends.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.closing.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.connection.start_closing();
            let closing = tokio::time::sleep(self.max_closing_time);
            self.closing = Some(Box::pin(closing));
        }
        self.poll_discard(context).map(Ok)
    }
}
