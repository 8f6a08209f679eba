//! Thread that reads records from disk, so that a hanging disk only delays reads.

use std::io;
use std::sync::mpsc;

use tokio::sync::oneshot;

use crate::segment::{DataFolder, RecordLocation};
use crate::stored_record::StoredRecord;

enum Command {
    Records {
        locations: Vec<RecordLocation>,
        reply: oneshot::Sender<Vec<io::Result<StoredRecord>>>,
    },
    RecordsWithin {
        locations: Vec<RecordLocation>,
        max_bytes: usize,
        reply: oneshot::Sender<Vec<StoredRecord>>,
    },
    Segment {
        number: u64,
        reply: oneshot::Sender<io::Result<Vec<StoredRecord>>>,
    },
}

/// Handle to the reader thread.
#[derive(Clone, Debug)]
pub struct RecordReader {
    commands: mpsc::Sender<Command>,
}

impl RecordReader {
    /// Starts the reader thread.
    pub fn start(folder: DataFolder) -> io::Result<Self> {
        let (commands, receiver) = mpsc::channel();
        std::thread::Builder::new()
            .name("reader".to_owned())
            .stack_size(256 * 1024)
            .spawn(move || run(&folder, &receiver))?;
        Ok(Self { commands })
    }

    /// Reads the records at these locations; each has its own result.
    pub async fn records(&self, locations: Vec<RecordLocation>) -> Vec<io::Result<StoredRecord>> {
        let count = locations.len();
        let (reply, result) = oneshot::channel();
        let _ = self.commands.send(Command::Records { locations, reply });
        let thread_ended = || Err(io::ErrorKind::BrokenPipe.into());
        let result = result.await;
        result.unwrap_or_else(|_| (0..count).map(|_| thread_ended()).collect())
    }

    /// Reads records in order until they have `max_bytes` on disk, at least the first readable
    /// one. Unreadable ones are left out.
    pub async fn records_within(
        &self,
        locations: Vec<RecordLocation>,
        max_bytes: usize,
    ) -> Vec<StoredRecord> {
        let (reply, result) = oneshot::channel();
        let _ = self.commands.send(Command::RecordsWithin {
            locations,
            max_bytes,
            reply,
        });
        result.await.unwrap_or_default()
    }

    /// Reads all records of a segment into memory.
    pub async fn segment(&self, number: u64) -> io::Result<Vec<StoredRecord>> {
        let (reply, result) = oneshot::channel();
        let _ = self.commands.send(Command::Segment { number, reply });
        result
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::BrokenPipe.into()))
    }
}

fn run(folder: &DataFolder, commands: &mpsc::Receiver<Command>) {
    while let Ok(command) = commands.recv() {
        match command {
            Command::Records { locations, reply } => {
                // The requester may have given up in the meantime.
                if reply.is_closed() {
                    continue;
                }
                let records = locations
                    .iter()
                    .map(|location| folder.read_record(*location));
                let _ = reply.send(records.collect());
            }
            Command::RecordsWithin {
                locations,
                max_bytes,
                reply,
            } => {
                if reply.is_closed() {
                    continue;
                }
                let _ = reply.send(read_within(folder, &locations, max_bytes));
            }
            Command::Segment { number, reply } => {
                let _ = reply.send(folder.read_segment(number));
            }
        }
    }
}

fn read_within(
    folder: &DataFolder,
    locations: &[RecordLocation],
    max_bytes: usize,
) -> Vec<StoredRecord> {
    let mut records = Vec::new();
    let mut bytes = 0;
    for location in locations {
        let length = location.length as usize;
        if !records.is_empty() && bytes + length > max_bytes {
            break;
        }
        if let Ok(record) = folder.read_record(*location) {
            bytes += length;
            records.push(record);
        }
    }
    records
}
