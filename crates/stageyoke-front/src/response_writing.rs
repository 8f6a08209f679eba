//! Follows responses until the kernel has taken their last bytes.
//!
//! hyper takes a body long before a slow caller has got it. A planned shutdown waits until the
//! response is written.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use stageyoke_framing::CallerConnection;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::response_body::{ResponseBody, TruncatedResponse};
use crate::shutdown::RequestGuard;

/// Responses of one connection whose bodies hyper has taken and not written yet.
#[derive(Clone, Default)]
pub struct UnwrittenResponses {
    guards: Rc<RefCell<Vec<RequestGuard>>>,
}

impl UnwrittenResponses {
    /// Holds `guard` until the response is written or the connection has ended.
    pub fn track(
        &self,
        response: Response<ResponseBody>,
        guard: RequestGuard,
    ) -> Response<TrackedBody> {
        response.map(|body| TrackedBody {
            body,
            guard: Some(guard),
            unwritten: self.clone(),
        })
    }

    fn release(&self) {
        self.guards.borrow_mut().clear();
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
        self.unwritten.guards.borrow_mut().extend(self.guard.take());
    }
}

/// Connection to a caller that releases the guards of written responses.
pub struct WritingConnection {
    connection: CallerConnection,
    unwritten: UnwrittenResponses,
}

impl WritingConnection {
    /// Wraps an accepted connection.
    pub fn new(connection: CallerConnection, unwritten: UnwrittenResponses) -> Self {
        Self {
            connection,
            unwritten,
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
        Pin::new(&mut self.connection).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
