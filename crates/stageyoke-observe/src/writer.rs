//! Hands lines to a thread that writes them, so that a reader who stalls
//! delays nothing: what does not fit into the queue is dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that may wait for the thread.
pub const MAX_QUEUED_LINES: usize = 4096;
/// The thread gathers lines this long, so that it wakes seldom.
const GATHER: Duration = Duration::from_millis(50);

/// The side that never blocks.
#[derive(Clone, Debug)]
pub struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes to `target`.
    pub fn start(target: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, inbox) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(128 * 1024)
            .spawn(move || write_lines(&inbox, target))?;
        Ok(Self {
            lines,
            dropped: Arc::default(),
        })
    }

    /// Queues a line, or counts it as dropped.
    pub fn enqueue(&self, line: Vec<u8>) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(inbox: &Receiver<Vec<u8>>, mut target: impl Write) {
    while let Ok(mut bytes) = inbox.recv() {
        std::thread::sleep(GATHER);
        while let Ok(line) = inbox.try_recv() {
            bytes.extend_from_slice(&line);
        }
        if target.write_all(&bytes).is_err() {
            return;
        }
        let _ = target.flush();
    }
}
