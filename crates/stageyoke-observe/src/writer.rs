//! Writes log lines on a dedicated thread so that a slow reader of the output never
//! blocks the caller. Lines that don't fit into the queue are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Capacity of the queue, in lines.
pub const MAX_QUEUED_LINES: usize = 4096;
/// Delay before each write, so that lines are written in batches.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Non-blocking sender of lines to the writer thread.
#[derive(Clone, Debug)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 * 1024)
            .spawn(move || write_lines(&receiver, output))?;
        Ok(Self {
            sender,
            dropped: Arc::default(),
        })
    }

    /// Queues a line, or counts it as dropped if the queue is full or the thread has
    /// stopped.
    pub fn enqueue(&self, line: Vec<u8>) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = receiver.recv() {
        std::thread::sleep(BATCH_DELAY);
        while let Ok(line) = receiver.try_recv() {
            batch.extend_from_slice(&line);
        }
        if output.write_all(&batch).is_err() {
            return;
        }
        let _ = output.flush();
    }
}
