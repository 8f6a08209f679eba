//! The thread that reads records back from the disk: a disk that hangs holds
//! up what is read, and nothing else.

use std::io;
use std::sync::mpsc;

use tokio::sync::oneshot;

use crate::message::Record;
use crate::segment::{DataFolder, RecordLocation};

enum Command {
    Records {
        places: Vec<RecordLocation>,
        reply: oneshot::Sender<Vec<io::Result<Record>>>,
    },
    Segment {
        number: u64,
        reply: oneshot::Sender<io::Result<Vec<Record>>>,
    },
}

/// Sends work to the reading thread.
#[derive(Clone, Debug)]
pub struct RecordReader {
    commands: mpsc::Sender<Command>,
}

impl RecordReader {
    /// Starts the thread.
    pub fn start(folder: DataFolder) -> io::Result<Self> {
        let (commands, inbox) = mpsc::channel();
        std::thread::Builder::new()
            .name("reader".to_owned())
            .stack_size(256 * 1024)
            .spawn(move || run(&folder, &inbox))?;
        Ok(Self { commands })
    }

    /// Reads the records at these places, each with its own outcome.
    pub async fn records(&self, places: Vec<RecordLocation>) -> Vec<io::Result<Record>> {
        let count = places.len();
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Records { places, reply });
        let ended = || Err(io::ErrorKind::BrokenPipe.into());
        let answer = answer.await;
        answer.unwrap_or_else(|_| (0..count).map(|_| ended()).collect())
    }

    /// Reads a whole segment: at most its size is in memory at once.
    pub async fn segment(&self, number: u64) -> io::Result<Vec<Record>> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Segment { number, reply });
        answer
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::BrokenPipe.into()))
    }
}

fn run(folder: &DataFolder, inbox: &mpsc::Receiver<Command>) {
    while let Ok(command) = inbox.recv() {
        match command {
            Command::Records { places, reply } => {
                // Whoever asked may have left meanwhile.
                if reply.is_closed() {
                    continue;
                }
                let records = places.iter().map(|place| folder.read_record(*place));
                let _ = reply.send(records.collect());
            }
            Command::Segment { number, reply } => {
                let _ = reply.send(folder.read_segment(number));
            }
        }
    }
}
