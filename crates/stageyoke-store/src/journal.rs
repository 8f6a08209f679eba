//! The thread that writes and syncs: what waits is written together and synced
//! once. Answers come back in the order of the appends.

use std::fs::File;
use std::io::{self, Write};
use std::sync::mpsc;
use std::time::Instant;

use stageyoke_directory::Members;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use stageyoke_types::List;

use crate::message::{Record, SeenItem};
use crate::segment::{DataFolder, encode_record};

/// A segment is closed beyond this size, where the settings name no other.
pub const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Bytes written together at most.
const BATCH_BYTES: usize = 1024 * 1024;

/// An append's result.
#[derive(Debug)]
pub struct Appended {
    /// Ticket that the caller gave.
    pub ticket: u64,
    /// Segment that holds the record, or `None` if the disk refused it.
    pub segment: Option<u64>,
}

enum Command {
    Append { ticket: u64, bytes: Vec<u8> },
    Remove { segment: u64 },
    Members(Members),
    Items(List<SeenItem>),
    Complete,
}

/// Sends work to the writing thread.
#[derive(Clone, Debug)]
pub struct Journal {
    commands: mpsc::Sender<Command>,
}

impl Journal {
    /// Starts the thread. Appends go to a new segment with this number; a
    /// segment is closed beyond `segment_bytes`.
    pub fn start(
        folder: DataFolder,
        next_segment: u64,
        segment_bytes: u64,
    ) -> io::Result<(Self, UnboundedReceiver<Vec<Appended>>)> {
        let (commands, inbox) = mpsc::channel();
        let (results, outbox) = unbounded_channel();
        let writer = Writer {
            folder,
            next_segment,
            segment_bytes,
            current: None,
            results,
        };
        std::thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(256 * 1024)
            .spawn(move || writer.run(&inbox))?;
        Ok((Self { commands }, outbox))
    }

    /// Writes a record; the result carries the ticket.
    pub fn append(&self, ticket: u64, record: &Record) {
        let mut bytes = Vec::new();
        encode_record(record, &mut bytes);
        let _ = self.commands.send(Command::Append { ticket, bytes });
    }

    /// Removes a segment whose records are no longer needed.
    pub fn remove(&self, segment: u64) {
        let _ = self.commands.send(Command::Remove { segment });
    }

    /// Keeps the member list.
    pub fn save_members(&self, members: &Members) {
        let _ = self.commands.send(Command::Members(members.clone()));
    }

    /// Keeps the items of the key-value service.
    pub fn save_items(&self, items: List<SeenItem>) {
        let _ = self.commands.send(Command::Items(items));
    }

    /// Marks the disk as complete.
    pub fn mark_complete(&self) {
        let _ = self.commands.send(Command::Complete);
    }
}

struct Segment {
    number: u64,
    file: File,
    bytes: u64,
}

struct Writer {
    folder: DataFolder,
    next_segment: u64,
    segment_bytes: u64,
    current: Option<Segment>,
    results: UnboundedSender<Vec<Appended>>,
}

impl Writer {
    fn run(mut self, inbox: &mpsc::Receiver<Command>) {
        while let Ok(first) = inbox.recv() {
            let mut next = Some(first);
            let mut tickets = Vec::new();
            let mut bytes = Vec::new();
            while let Some(command) = next {
                match command {
                    Command::Append {
                        ticket,
                        bytes: record,
                    } => {
                        tickets.push(ticket);
                        bytes.extend_from_slice(&record);
                    }
                    other => self.housekeeping(other),
                }
                next = (bytes.len() < BATCH_BYTES)
                    .then(|| inbox.try_recv().ok())
                    .flatten();
            }
            if !tickets.is_empty() {
                self.write_batch(tickets, &bytes);
            }
        }
    }

    fn housekeeping(&self, command: Command) {
        let _ = match command {
            Command::Remove { segment } => self.folder.remove_segment(segment),
            Command::Members(members) => self.folder.save_members(&members),
            Command::Items(items) => self.folder.save_items(&items),
            Command::Complete => self.folder.mark_complete(),
            Command::Append { .. } => Ok(()),
        };
    }

    fn write_batch(&mut self, tickets: Vec<u64>, bytes: &[u8]) {
        let segment = self.write(bytes).ok();
        if segment.is_none() {
            // What was written of the batch may be torn: nothing may follow it.
            self.current = None;
        }
        let appended = tickets
            .into_iter()
            .map(|ticket| Appended { ticket, segment })
            .collect();
        let _ = self.results.send(appended);
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<u64> {
        if self.current.is_none() {
            let number = self.next_segment;
            self.next_segment += 1;
            let file = self.folder.create_segment(number)?;
            self.current = Some(Segment {
                number,
                file,
                bytes: 0,
            });
        }
        let Some(segment) = self.current.as_mut() else {
            return Err(io::ErrorKind::Other.into());
        };
        let began = Instant::now();
        segment.file.write_all(bytes)?;
        segment.file.sync_data()?;
        let seconds = began.elapsed().as_secs_f64();
        stageyoke_observe::metrics().sync_seconds.observe(seconds);
        segment.bytes += bytes.len() as u64;
        let number = segment.number;
        if segment.bytes > self.segment_bytes {
            self.current = None;
        }
        Ok(number)
    }
}
