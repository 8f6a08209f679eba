//! Bodies of the front's responses.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::memory_budget::MemoryGuard;

/// Error that ends a truncated response. It closes the connection, so that the response
/// cannot look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedResponse;

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("response ended before it was complete")
    }
}

impl std::error::Error for TruncatedResponse {}

/// Chunk of a relayed stream.
pub type Chunk = Result<Bytes, TruncatedResponse>;

/// Body of a response.
pub enum ResponseBody {
    /// Complete content, and the memory that it uses until it is written.
    Full(Option<Bytes>, Option<MemoryGuard>),
    /// Content that may have been truncated, so that its length must not be stated, and the
    /// memory that it uses.
    Unframed(Option<Bytes>, Option<MemoryGuard>),
    /// Chunks as they arrive. The stream is complete when the sender is dropped without an
    /// error.
    Stream(mpsc::Receiver<Chunk>),
}

impl ResponseBody {
    /// Creates a body with complete content.
    pub fn full(content: impl Into<Bytes>) -> Self {
        Self::Full(Some(content.into()), None)
    }

    /// Creates a body with content whose end is not known.
    pub fn unframed(content: Bytes) -> Self {
        Self::Unframed(Some(content), None)
    }

    /// Returns whether the length of the body is stated in the response.
    pub fn has_known_length(&self) -> bool {
        matches!(self, Self::Full(..))
    }

    /// Attaches a memory guard, which is dropped with the body.
    pub fn with_memory(self, memory_guard: MemoryGuard) -> Self {
        match self {
            Self::Full(content, _) => Self::Full(content, Some(memory_guard)),
            Self::Unframed(content, _) => Self::Unframed(content, Some(memory_guard)),
            chunks @ Self::Stream(_) => chunks,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut *self {
            Self::Full(content, _) | Self::Unframed(content, _) => {
                let remaining = content.take().filter(|content| !content.is_empty());
                Poll::Ready(remaining.map(|content| Ok(Frame::data(content))))
            }
            Self::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(content, _) => content.as_ref().is_none_or(Bytes::is_empty),
            Self::Unframed(..) | Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(content, _) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |content| content.len() as u64))
            }
            Self::Unframed(..) | Self::Stream(_) => SizeHint::default(),
        }
    }
}
