//! Tracks received data, to distinguish a slow transfer from a silent peer.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;

/// Amount and time of the data received from one peer, over all connections to it.
#[derive(Debug, Default)]
pub struct ReceiveProgress {
    bytes: Cell<u64>,
    last_received_at: Cell<Option<Instant>>,
}

impl ReceiveProgress {
    /// Returns the total number of bytes received.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Returns when data was last received; `None` if none was.
    pub fn last_received_at(&self) -> Option<Instant> {
        self.last_received_at.get()
    }

    /// Records that `byte_count` bytes were received now.
    pub fn record(&self, byte_count: usize) {
        self.bytes.set(self.bytes.get() + byte_count as u64);
        self.last_received_at.set(Some(Instant::now()));
    }
}

/// Reader that records the data read through it in a `ReceiveProgress`.
#[derive(Debug)]
pub struct ProgressReader<R> {
    inner: R,
    progress: Rc<ReceiveProgress>,
}

impl<R> ProgressReader<R> {
    /// Wraps `inner` and records what is read from it in `progress`.
    pub fn new(inner: R, progress: Rc<ReceiveProgress>) -> Self {
        Self { inner, progress }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for ProgressReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let outcome = Pin::new(&mut self.inner).poll_read(context, buffer);
        let byte_count = buffer.filled().len() - filled_before;
        if byte_count > 0 {
            self.progress.record(byte_count);
        }
        outcome
    }
}
