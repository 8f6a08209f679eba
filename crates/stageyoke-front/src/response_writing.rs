//! Follows responses until the kernel has taken their last bytes.
//!
//! hyper takes a body long before a slow caller has got it. A planned shutdown waits until the
//! response is written, and a caller that reads late keeps its connection until its deadline.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use stageyoke_framing::CallerConnection;
use stageyoke_store::socket::USER_TIMEOUT;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::caller_connections::ConnectionHandle;
use crate::memory_budget::MemoryGuard;
use crate::response_body::{ResponseBody, TruncatedResponse};
use crate::shutdown::RequestGuard;

/// Size from which a response may exceed what the kernels of both sides buffer at once.
const LARGE_RESPONSE_BYTES: u64 = 32 * 1024;

/// Time by which the caller wants the end of a response, as an extension of the response.
#[derive(Clone, Copy, Debug)]
pub struct WriteDeadline(pub Instant);

/// What a response holds until it is written.
struct ResponseGuard {
    _request: RequestGuard,
    _memory: Option<MemoryGuard>,
}

/// Responses of one connection whose bodies hyper has taken and not written yet.
#[derive(Clone)]
pub struct UnwrittenResponses {
    connection: ConnectionHandle,
    guards: Rc<RefCell<Vec<ResponseGuard>>>,
    deadline: Rc<Cell<Option<Instant>>>,
}

impl UnwrittenResponses {
    /// Creates the list of a connection without responses.
    pub fn new(connection: ConnectionHandle) -> Self {
        Self {
            connection,
            guards: Rc::default(),
            deadline: Rc::default(),
        }
    }

    /// Holds `guard` and the response's memory until the response is written or the connection has
    /// ended.
    pub fn track(
        &self,
        response: Response<ResponseBody>,
        guard: RequestGuard,
    ) -> Response<TrackedBody> {
        let length = response.body().size_hint().exact();
        let is_large = length.is_none_or(|bytes| bytes >= LARGE_RESPONSE_BYTES);
        let deadline = response.extensions().get::<WriteDeadline>();
        if let Some(WriteDeadline(deadline)) = deadline.filter(|_| is_large) {
            self.deadline.set(Some(*deadline));
        }
        response.map(|body| TrackedBody {
            body,
            guard: Some(guard),
            unwritten: self.clone(),
        })
    }

    fn release(&self) {
        let released = self.guards.take();
        if !released.is_empty() {
            self.connection.finish_response();
        }
    }
}

/// Body of a response that is followed until it is written.
pub struct TrackedBody {
    body: ResponseBody,
    guard: Option<RequestGuard>,
    unwritten: UnwrittenResponses,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let memory = self.body.take_memory();
        let guard = self.guard.take().map(|request| ResponseGuard {
            _request: request,
            _memory: memory,
        });
        self.unwritten.guards.borrow_mut().extend(guard);
    }
}

/// Connection to a caller that releases the guards of written responses.
pub struct WritingConnection {
    connection: CallerConnection,
    unwritten: UnwrittenResponses,
    /// Time that written data may stay unacknowledged or unread.
    user_timeout: Duration,
}

impl WritingConnection {
    /// Wraps an accepted connection whose socket is configured.
    pub fn new(connection: CallerConnection, unwritten: UnwrittenResponses) -> Self {
        Self {
            connection,
            unwritten,
            user_timeout: USER_TIMEOUT,
        }
    }

    /// Keeps the connection open until the response's deadline. The kernel counts a closed window
    /// like a lost peer.
    fn extend_user_timeout(&mut self) {
        let Some(deadline) = self.unwritten.deadline.take() else {
            return;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left > self.user_timeout {
            self.user_timeout = time_left;
            self.connection.set_user_timeout(time_left);
        }
    }
}

impl AsyncRead for WritingConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_read(context, buffer)
    }
}

impl AsyncWrite for WritingConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.extend_user_timeout();
        Pin::new(&mut self.connection).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.extend_user_timeout();
        Pin::new(&mut self.connection).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    /// hyper flushes the connection only once it has written all that it has buffered.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.connection).poll_flush(context))?;
        self.unwritten.release();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(context)
    }
}

impl Drop for WritingConnection {
    fn drop(&mut self) {
        self.unwritten.release();
    }
}
