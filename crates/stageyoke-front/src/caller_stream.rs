//! Stream of a caller's connection, which counts what is read of heads.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::caller_connections::ConnectionHandle;
use crate::response_writing::WritingConnection;

/// Stream of a caller's connection.
pub struct CallerStream {
    stream: WritingConnection,
    connection: ConnectionHandle,
}

impl CallerStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: WritingConnection, connection: ConnectionHandle) -> Self {
        Self { stream, connection }
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.start_closing();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
