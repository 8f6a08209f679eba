//! Thread that reads records from disk, so that a hanging disk only delays reads.

use std::io;
use std::sync::mpsc;

use tokio::sync::oneshot;

use crate::message::Record;
use crate::segment::{DataFolder, RecordLocation};

enum Command {
    Records {
        locations: Vec<RecordLocation>,
        reply: oneshot::Sender<Vec<io::Result<Record>>>,
    },
    Segment {
        number: u64,
        reply: oneshot::Sender<io::Result<Vec<Record>>>,
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
    pub async fn records(&self, locations: Vec<RecordLocation>) -> Vec<io::Result<Record>> {
        let count = locations.len();
        let (reply, result) = oneshot::channel();
        let _ = self.commands.send(Command::Records { locations, reply });
        let thread_ended = || Err(io::ErrorKind::BrokenPipe.into());
        let result = result.await;
        result.unwrap_or_else(|_| (0..count).map(|_| thread_ended()).collect())
    }

    /// Reads all records of a segment into memory.
    pub async fn segment(&self, number: u64) -> io::Result<Vec<Record>> {
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
            Command::Segment { number, reply } => {
                let _ = reply.send(folder.read_segment(number));
            }
        }
    }
}
