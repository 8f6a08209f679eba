//! Bodies of the front's responses.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

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

/// Maximum number of chunks in a queue.
const MAX_QUEUED_CHUNKS: usize = 16;
/// Size up to which further chunks are queued.
const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// Chunks between the sender and the receiver of a stream.
struct ChunkQueue {
    chunks: RefCell<VecDeque<QueuedChunk>>,
    is_complete: Cell<bool>,
    has_sender: Cell<bool>,
    has_receiver: Cell<bool>,
    /// Memory of the request that the stream responds to.
    memory: MemoryGuard,
    receiver: RefCell<Option<Waker>>,
    /// Notified when a chunk was taken, or the receiver is gone.
    changed: Notify,
}

/// Chunk and the memory that it uses.
struct QueuedChunk {
    bytes: Bytes,
    memory: MemoryGuard,
}

impl ChunkQueue {
    /// Acquires memory for one more chunk. The only chunk of a queue needs none from the budget, so
    /// that each stream goes on.
    fn try_acquire(&self, bytes: usize) -> Option<MemoryGuard> {
        let mut memory = self.memory.start_part();
        let chunks = self.chunks.borrow();
        if chunks.is_empty() {
            memory.force_acquire(bytes);
            return Some(memory);
        }
        let queued: usize = chunks.iter().map(|chunk| chunk.bytes.len()).sum();
        let has_room = chunks.len() < MAX_QUEUED_CHUNKS && queued + bytes <= MAX_QUEUED_BYTES;
        (has_room && memory.try_acquire(bytes)).then_some(memory)
    }

    fn wake_receiver(&self) {
        if let Some(receiver) = self.receiver.take() {
            receiver.wake();
        }
    }
}

/// Sends the chunks of a stream. The stream is truncated if this is dropped without
/// [`Self::complete`], also by a panic of the task that owns it.
pub struct ChunkSender(Rc<ChunkQueue>);

/// Chunks of a stream that are to be written to the caller.
pub struct ChunkReceiver {
    queue: Rc<ChunkQueue>,
    /// Memory of the chunk that was taken last, which may not be written yet.
    taken: Option<MemoryGuard>,
}

/// Creates both ends of a stream. Queued chunks use memory of the budget that `memory` belongs to.
pub fn chunk_channel(memory: MemoryGuard) -> (ChunkSender, ChunkReceiver) {
    let queue = Rc::new(ChunkQueue {
        chunks: RefCell::default(),
        is_complete: Cell::new(false),
        has_sender: Cell::new(true),
        has_receiver: Cell::new(true),
        memory,
        receiver: RefCell::default(),
        changed: Notify::new(),
    });
    let receiver = ChunkReceiver {
        queue: queue.clone(),
        taken: None,
    };
    (ChunkSender(queue), receiver)
}

impl ChunkSender {
    /// Sends a chunk, and waits while the queue is full.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerGone> {
        let queue = &self.0;
        loop {
            let changed = queue.changed.notified();
            if !queue.has_receiver.get() {
                return Err(CallerGone);
            }
            if let Some(memory) = queue.try_acquire(chunk.len()) {
                let chunk = QueuedChunk {
                    bytes: chunk,
                    memory,
                };
                queue.chunks.borrow_mut().push_back(chunk);
                queue.wake_receiver();
                return Ok(());
            }
            changed.await;
        }
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        loop {
            let changed = self.0.changed.notified();
            if !self.0.has_receiver.get() {
                return;
            }
            changed.await;
        }
    }

    /// Ends the stream regularly after the chunks that were sent.
    pub fn complete(self) {
        self.0.is_complete.set(true);
    }
}

impl Drop for ChunkSender {
    fn drop(&mut self) {
        self.0.has_sender.set(false);
        self.0.wake_receiver();
    }
}

impl ChunkReceiver {
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedResponse>>> {
        let queue = &self.queue;
        let chunk = queue.chunks.borrow_mut().pop_front();
        if let Some(chunk) = chunk {
            self.taken = Some(chunk.memory);
            queue.changed.notify_waiters();
            return Poll::Ready(Some(Ok(chunk.bytes)));
        }
        if queue.has_sender.get() {
            queue.receiver.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        Poll::Ready(match queue.is_complete.get() {
            true => None,
            false => Some(Err(TruncatedResponse)),
        })
    }
}

impl Drop for ChunkReceiver {
    fn drop(&mut self) {
        self.queue.has_receiver.set(false);
        self.queue.changed.notify_waiters();
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
