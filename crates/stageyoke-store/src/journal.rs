//! The thread that writes and syncs: what waits is written together and synced
//! once. Answers come back in the order of the appends.

use std::fs::File;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Instant;

use stageyoke_directory::StoreGroups;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use stageyoke_observe as observe;
use stageyoke_types::{Event, List};

use crate::completeness::Completeness;
use crate::disk_clock::DiskClock;
use crate::message::{DirectoryItem, Record};
use crate::segment::{DataFolder, RecordLocation, encode_clock, encode_record};

/// A segment is closed beyond this size, where the settings name no other.
pub const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// A segment is closed after so long: its successor tells the disk's clock, and
/// a restart loses no more than this of it.
const SEGMENT_SECONDS: u64 = 10;
/// Bytes written together at most.
const BATCH_BYTES: usize = 1024 * 1024;

/// An append's result.
#[derive(Debug)]
pub struct AppendResult {
    /// Ticket that the caller gave.
    pub ticket: u64,
    /// Where the record lies, or `None` if the disk refused it.
    pub location: Option<RecordLocation>,
}

enum Command {
    Append { ticket: u64, bytes: Vec<u8> },
    Remove { segment: u64 },
    Stores(StoreGroups),
    Items(List<DirectoryItem>),
    Complete(Completeness),
}

/// Sends work to the writing thread.
#[derive(Clone, Debug)]
pub struct Journal {
    commands: mpsc::Sender<Command>,
    stores_saved: Arc<AtomicU64>,
}

impl Journal {
    /// Starts the thread. Appends go to a new segment with this number; a
    /// segment is closed beyond `segment_bytes`, or after some seconds.
    pub fn start(
        folder: DataFolder,
        next_segment: u64,
        segment_bytes: u64,
        clock: DiskClock,
    ) -> io::Result<(Self, UnboundedReceiver<Vec<AppendResult>>)> {
        let (commands, inbox) = mpsc::channel();
        let (results, outbox) = unbounded_channel();
        let stores_saved = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            stores_saved: stores_saved.clone(),
            folder,
            next_segment,
            segment_bytes,
            clock,
            current: None,
            results,
        };
        std::thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(256 * 1024)
            .spawn(move || writer.run(&inbox))?;
        let journal = Self {
            commands,
            stores_saved,
        };
        Ok((journal, outbox))
    }

    /// Writes a record; the result carries the ticket. Returns the bytes that
    /// wait for the disk until then.
    pub fn append(&self, ticket: u64, record: &Record) -> usize {
        let mut bytes = Vec::new();
        encode_record(record, &mut bytes);
        let waiting = bytes.len();
        let _ = self.commands.send(Command::Append { ticket, bytes });
        waiting
    }

    /// Removes a segment whose records are no longer needed.
    pub fn remove(&self, segment: u64) {
        let _ = self.commands.send(Command::Remove { segment });
    }

    /// The newest version of the store groups that this life of the process has put on
    /// the disk.
    pub fn saved_stores_version(&self) -> u64 {
        self.stores_saved.load(Ordering::Acquire)
    }

    /// Keeps the store groups.
    pub fn save_stores(&self, stores: &StoreGroups) {
        let _ = self.commands.send(Command::Stores(stores.clone()));
    }

    /// Keeps the items of the key-value service.
    pub fn save_items(&self, items: List<DirectoryItem>) {
        let _ = self.commands.send(Command::Items(items));
    }

    /// Marks what the disk is complete for.
    pub fn mark_complete(&self, completeness: Completeness) {
        let _ = self.commands.send(Command::Complete(completeness));
    }
}

struct Segment {
    number: u64,
    file: File,
    bytes: u64,
    began: u64,
}

/// A record in a batch.
struct BatchEntry {
    ticket: u64,
    length: usize,
}

struct Writer {
    stores_saved: Arc<AtomicU64>,
    folder: DataFolder,
    next_segment: u64,
    segment_bytes: u64,
    clock: DiskClock,
    current: Option<Segment>,
    results: UnboundedSender<Vec<AppendResult>>,
}

impl Writer {
    fn run(mut self, inbox: &mpsc::Receiver<Command>) {
        while let Ok(first) = inbox.recv() {
            let mut next = Some(first);
            let mut entries = Vec::new();
            let mut bytes = Vec::new();
            while let Some(command) = next {
                match command {
                    Command::Append {
                        ticket,
                        bytes: record,
                    } => {
                        let length = record.len();
                        entries.push(BatchEntry { ticket, length });
                        bytes.extend_from_slice(&record);
                    }
                    other => self.housekeeping(other),
                }
                next = (bytes.len() < BATCH_BYTES)
                    .then(|| inbox.try_recv().ok())
                    .flatten();
            }
            if !entries.is_empty() {
                self.write_batch(&entries, &bytes);
            }
        }
    }

    fn housekeeping(&self, command: Command) {
        let outcome = match command {
            Command::Remove { segment } => self.folder.remove_segment(segment),
            Command::Stores(stores) => self.save_stores(&stores),
            Command::Items(items) => self.folder.save_items(&items),
            Command::Complete(completeness) => self.folder.mark_complete(completeness),
            Command::Append { .. } => Ok(()),
        };
        if let Err(error) = outcome {
            // What was to be kept is known to the process; only its next life may lack it.
            observe::record_event(Event::DiskRefuses, &format!("housekeeping error={error}"));
        }
    }

    fn save_stores(&self, stores: &StoreGroups) -> io::Result<()> {
        self.folder.save_stores(stores)?;
        self.stores_saved.store(stores.version, Ordering::Release);
        Ok(())
    }

    fn write_batch(&mut self, entries: &[BatchEntry], bytes: &[u8]) {
        let written = self.write(bytes).ok();
        if written.is_none() {
            // What was written of the batch may be torn: nothing may follow it.
            self.current = None;
        }
        let mut next = written;
        let appended = entries
            .iter()
            .map(|entry| AppendResult {
                ticket: entry.ticket,
                location: next.as_mut().map(|next| next.take(entry.length)),
            })
            .collect();
        let _ = self.results.send(appended);
    }

    /// Starts a segment with the disk's clock.
    fn start_segment(&mut self) -> io::Result<Segment> {
        let number = self.next_segment;
        self.next_segment += 1;
        let began = self.clock.seconds();
        let mut file = self.folder.create_segment(number)?;
        let mut bytes = Vec::new();
        encode_clock(began, &mut bytes);
        file.write_all(&bytes)?;
        Ok(Segment {
            number,
            file,
            bytes: bytes.len() as u64,
            began,
        })
    }

    /// Writes and syncs; returns where the bytes begin.
    fn write(&mut self, bytes: &[u8]) -> io::Result<NextPlace> {
        let current = self.current.take().filter(|segment| {
            let old = self.clock.seconds() >= segment.began + SEGMENT_SECONDS;
            segment.bytes <= self.segment_bytes && !old
        });
        let mut segment = match current {
            Some(segment) => segment,
            None => self.start_segment()?,
        };
        let start = NextPlace {
            segment: u32::try_from(segment.number).map_err(|_| io::ErrorKind::InvalidData)?,
            offset: u32::try_from(segment.bytes).map_err(|_| io::ErrorKind::FileTooLarge)?,
        };
        let began = Instant::now();
        segment.file.write_all(bytes)?;
        segment.file.sync_data()?;
        let seconds = began.elapsed().as_secs_f64();
        stageyoke_observe::metrics().sync_seconds.observe(seconds);
        segment.bytes += bytes.len() as u64;
        self.current = Some(segment);
        Ok(start)
    }
}

/// Where the next record of a batch lies.
struct NextPlace {
    segment: u32,
    offset: u32,
}

impl NextPlace {
    fn take(&mut self, length: usize) -> RecordLocation {
        let place = RecordLocation {
            segment: self.segment,
            offset: self.offset,
            length: length as u32,
        };
        self.offset += place.length;
        place
    }
}
