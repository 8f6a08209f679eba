//! Bodies of the front's responses.

use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

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

/// The caller of a stream has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Sends the chunks of a stream. The stream is truncated if this is dropped without
/// [`Self::complete`], also by a panic of the task that owns it.
pub struct ChunkSender {
    chunks: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// Chunks of a stream that are to be written to the caller.
pub struct ChunkReceiver {
    chunks: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// Creates both ends of a stream that buffers this many chunks.
pub fn chunk_channel(buffered: usize) -> (ChunkSender, ChunkReceiver) {
    let (sender, receiver) = mpsc::channel(buffered);
    let is_complete: Rc<Cell<bool>> = Rc::default();
    let sender = ChunkSender {
        chunks: sender,
        is_complete: is_complete.clone(),
    };
    let receiver = ChunkReceiver {
        chunks: receiver,
        is_complete,
    };
    (sender, receiver)
}

impl ChunkSender {
    /// Sends a chunk, and waits while the buffer is full.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerGone> {
        self.chunks.send(chunk).await.map_err(|_| CallerGone)
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the stream regularly after the chunks that were sent.
    pub fn complete(self) {
        self.is_complete.set(true);
    }
}

impl ChunkReceiver {
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedResponse>>> {
        let chunk = ready!(self.chunks.poll_recv(context));
        Poll::Ready(match chunk {
            Some(chunk) => Some(Ok(chunk)),
            None if self.is_complete.get() => None,
            None => Some(Err(TruncatedResponse)),
        })
    }
}

/// Body of a response.
pub enum ResponseBody {
    /// Complete content, and the memory that it uses until it is written.
    Full(Option<Bytes>, Option<MemoryGuard>),
    /// Content that may have been truncated, so that its length must not be stated, and the
    /// memory that it uses.
    Unframed(Option<Bytes>, Option<MemoryGuard>),
    /// Chunks as they arrive.
    Stream(ChunkReceiver),
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

    /// Returns the guard of the content's memory, which outlives the body if the content was taken
    /// but not written.
    pub fn take_memory(&mut self) -> Option<MemoryGuard> {
        match self {
            Self::Full(_, memory) | Self::Unframed(_, memory) => memory.take(),
            Self::Stream(_) => None,
        }
    }

    /// Attaches a memory guard, which is dropped with the body unless it is taken before.
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
                .poll_chunk(context)
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
