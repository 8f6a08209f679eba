//! Connection to a caller, on which a response may be sent without framing.
//!
//! Such a response ends with its connection: a regular end closes the connection, any other end
//! must reset it, so that a truncated response cannot look complete. That includes the end of this
//! process, so the connection is set to be reset from the start of the response on.
//!
//! hyper leaves out the framing only of responses of HTTP/1.0. The status line is sent as HTTP/1.1
//! all the same, since that is what the server speaks. HTTP/2 has no responses without framing.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::Body;
use hyper::{Response, Version};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const OLD_VERSION: &[u8] = b"HTTP/1.0";
const VERSION: &[u8] = b"HTTP/1.1";

/// Tells a connection that the next response on it is sent without framing.
#[derive(Clone, Debug, Default)]
pub struct UnframedSignal(Arc<Mutex<Option<Version>>>);

impl UnframedSignal {
    /// Notes whether the response to a request of this version will be sent without framing.
    pub fn announce<B: Body>(&self, request_version: Version, response: &Response<B>) {
        let is_old = request_version == Version::HTTP_10 || response.version() == Version::HTTP_10;
        let has_known_length = response.body().size_hint().exact().is_some();
        if is_old && !has_known_length {
            *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(request_version);
        }
    }

    /// Returns the version of the announced response's request, once.
    fn take(&self) -> Option<Version> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// How far the head of an unframed response has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Head {
    /// None is being written.
    Idle,
    /// The version in the status line is being replaced; this many bytes of it are written.
    Version(usize),
}

/// Connection to a caller.
pub struct CallerConnection {
    stream: TcpStream,
    signal: UnframedSignal,
    head: Head,
    resets_on_close: bool,
}

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, signal: UnframedSignal) -> Self {
        Self {
            stream,
            signal,
            head: Head::Idle,
            resets_on_close: false,
        }
    }

    /// Sets the time that written data may stay unacknowledged or unread before the connection is
    /// closed.
    pub fn set_user_timeout(&self, timeout: Duration) {
        let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout));
    }

    /// Starts an unframed response if one was announced. `bytes` are those written next.
    fn start_announced_response(&mut self, bytes: &[u8]) {
        let Some(request_version) = self.signal.take() else {
            return;
        };
        let resetting = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        self.resets_on_close = resetting.is_ok();
        if request_version == Version::HTTP_11 && bytes.starts_with(OLD_VERSION) {
            self.head = Head::Version(0);
        }
    }

    /// Writes what remains of the replaced version.
    fn poll_write_version(
        &mut self,
        context: &mut Context<'_>,
        written: usize,
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, &VERSION[written..]))?;
        let written = written + count;
        self.head = match written < VERSION.len() {
            true => Head::Version(written),
            false => Head::Idle,
        };
        Poll::Ready(Ok(count))
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.start_announced_response(bytes);
        match self.head {
            Head::Version(written) => self.poll_write_version(context, written),
            Head::Idle => Pin::new(&mut self.stream).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.start_announced_response(first.map_or(&[], |slice| slice));
        match self.head {
            Head::Version(written) => self.poll_write_version(context, written),
            Head::Idle => Pin::new(&mut self.stream).poll_write_vectored(context, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes the connection after a regular end.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.resets_on_close) {
            let _ = SockRef::from(&self.stream).set_linger(None);
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
