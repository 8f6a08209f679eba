//! Thread that writes and syncs the journal. Waiting appends are written together and
//! synced once; results are delivered in the order of the appends.

use std::fs::File;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::Instant;

use stageyoke_directory::StoreGroups;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use stageyoke_observe as observe;
use stageyoke_types::Event;

use crate::completeness::Completeness;
use crate::disk_clock::DiskClock;
use crate::segment::{DataFolder, RecordLocation, encode_clock, encode_stored_record};
use crate::stored_record::StoredRecord;

/// Size at which a segment is closed if the settings specify none.
pub const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Age at which a segment is closed. The next one records the disk's clock, so a restart
/// sets the clock back by no more than this.
const MAX_SEGMENT_AGE_SECONDS: u64 = 10;
/// Size at which no more appends are added to a batch.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// The result of an append.
#[derive(Debug)]
pub struct AppendResult {
    /// Ticket that the caller passed to `append`.
    pub ticket: u64,
    /// Location of the record; `None` if the disk did not accept it.
    pub location: Option<RecordLocation>,
}

enum Command {
    Append { ticket: u64, bytes: Vec<u8> },
    Remove { segment: u64 },
    Stores,
    Complete(Completeness),
}

/// Newest store groups that the writer has not started to save.
type UnsavedStores = Arc<Mutex<Option<StoreGroups>>>;

/// Handle to the writer thread.
#[derive(Clone, Debug)]
pub struct Journal {
    commands: mpsc::Sender<Command>,
    unsaved_stores: UnsavedStores,
    saved_stores_version: Arc<AtomicU64>,
}

impl Journal {
    /// Starts the writer thread. Appends go to a new segment with this number; a segment is
    /// closed once it exceeds `segment_bytes` or a maximum age.
    pub fn start(
        folder: DataFolder,
        next_segment: u64,
        segment_bytes: u64,
        clock: DiskClock,
    ) -> io::Result<(Self, UnboundedReceiver<Vec<AppendResult>>)> {
        let (commands, receiver) = mpsc::channel();
        let (results, result_receiver) = unbounded_channel();
        let saved_stores_version = Arc::new(AtomicU64::new(0));
        let unsaved_stores = UnsavedStores::default();
        let writer = Writer {
            unsaved_stores: unsaved_stores.clone(),
            saved_stores_version: saved_stores_version.clone(),
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
            .spawn(move || writer.run(&receiver))?;
        let journal = Self {
            commands,
            unsaved_stores,
            saved_stores_version,
        };
        Ok((journal, result_receiver))
    }

    /// Queues a record for writing; the result carries the ticket. Returns the encoded
    /// size, which counts as backlog until the result arrives.
    pub fn append(&self, ticket: u64, record: &StoredRecord) -> usize {
        let mut bytes = Vec::new();
        encode_stored_record(record, &mut bytes);
        let encoded_bytes = bytes.len();
        let _ = self.commands.send(Command::Append { ticket, bytes });
        encoded_bytes
    }

    /// Removes a segment whose records are no longer needed.
    pub fn remove(&self, segment: u64) {
        let _ = self.commands.send(Command::Remove { segment });
    }

    /// Returns the newest version of the store groups that this process has saved to disk.
    pub fn saved_stores_version(&self) -> u64 {
        self.saved_stores_version.load(Ordering::Acquire)
    }

    /// Saves the store groups, unless this version is on disk already. Groups that wait to be
    /// saved are replaced.
    pub fn save_stores(&self, stores: &StoreGroups) {
        let mut unsaved = lock(&self.unsaved_stores);
        if unsaved.replace(stores.clone()).is_none() {
            let _ = self.commands.send(Command::Stores);
        }
    }

    /// Saves the group for which the disk is complete.
    pub fn mark_complete(&self, completeness: Completeness) {
        let _ = self.commands.send(Command::Complete(completeness));
    }
}

fn lock(unsaved: &UnsavedStores) -> std::sync::MutexGuard<'_, Option<StoreGroups>> {
    unsaved.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Segment {
    number: u64,
    file: File,
    bytes: u64,
    started_at: u64,
}

/// Ticket and size of one record in a batch.
struct BatchEntry {
    ticket: u64,
    length: usize,
}

struct Writer {
    unsaved_stores: UnsavedStores,
    saved_stores_version: Arc<AtomicU64>,
    folder: DataFolder,
    next_segment: u64,
    segment_bytes: u64,
    clock: DiskClock,
    current: Option<Segment>,
    results: UnboundedSender<Vec<AppendResult>>,
}

impl Writer {
    fn run(mut self, commands: &mpsc::Receiver<Command>) {
        while let Ok(first) = commands.recv() {
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
                    command => self.run_maintenance(command),
                }
                next = (bytes.len() < MAX_BATCH_BYTES)
                    .then(|| commands.try_recv().ok())
                    .flatten();
            }
            if !entries.is_empty() {
                self.write_batch(&entries, &bytes);
            }
        }
    }

    fn run_maintenance(&self, command: Command) {
        let outcome = match command {
            Command::Remove { segment } => self.folder.remove_segment(segment),
            Command::Stores => self.save_newest_stores(),
            Command::Complete(completeness) => self.folder.mark_complete(completeness),
            Command::Append { .. } => Ok(()),
        };
        if let Err(error) = outcome {
            // The process still has the data in memory; it is only missing after a restart.
            observe::record_event(Event::DiskRefuses, &format!("housekeeping error={error}"));
        }
    }

    fn save_newest_stores(&self) -> io::Result<()> {
        let unsaved = lock(&self.unsaved_stores).take();
        let saved_version = self.saved_stores_version.load(Ordering::Acquire);
        // A retry may have been queued while the same version was being saved.
        let Some(stores) = unsaved.filter(|stores| stores.version > saved_version) else {
            return Ok(());
        };
        self.folder.save_stores(&stores)?;
        self.saved_stores_version
            .store(stores.version, Ordering::Release);
        Ok(())
    }

    fn write_batch(&mut self, entries: &[BatchEntry], bytes: &[u8]) {
        let written = self.write(bytes).ok();
        if written.is_none() {
            // The batch may be partly written, so nothing may be appended to this segment.
            self.current = None;
        }
        let mut next = written;
        let appended = entries
            .iter()
            .map(|entry| AppendResult {
                ticket: entry.ticket,
                location: next.as_mut().map(|next| next.advance(entry.length)),
            })
            .collect();
        let _ = self.results.send(appended);
    }

    /// Creates a segment that starts with a reading of the disk's clock.
    fn start_segment(&mut self) -> io::Result<Segment> {
        let number = self.next_segment;
        self.next_segment += 1;
        let started_at = self.clock.seconds();
        let mut file = self.folder.create_segment(number)?;
        let mut bytes = Vec::new();
        encode_clock(started_at, &mut bytes);
        file.write_all(&bytes)?;
        Ok(Segment {
            number,
            file,
            bytes: bytes.len() as u64,
            started_at,
        })
    }

    /// Writes and syncs the bytes of a batch; returns where they start.
    fn write(&mut self, bytes: &[u8]) -> io::Result<NextLocation> {
        let current = self.current.take().filter(|segment| {
            let is_old = self.clock.seconds() >= segment.started_at + MAX_SEGMENT_AGE_SECONDS;
            segment.bytes <= self.segment_bytes && !is_old
        });
        let mut segment = match current {
            Some(segment) => segment,
            None => self.start_segment()?,
        };
        let start = NextLocation {
            segment: u32::try_from(segment.number).map_err(|_| io::ErrorKind::InvalidData)?,
            offset: u32::try_from(segment.bytes).map_err(|_| io::ErrorKind::FileTooLarge)?,
        };
        let sync_started = Instant::now();
        segment.file.write_all(bytes)?;
        self.folder.sync_data(&segment.file)?;
        let seconds = sync_started.elapsed().as_secs_f64();
        stageyoke_observe::metrics().sync_seconds.observe(seconds);
        segment.bytes += bytes.len() as u64;
        self.current = Some(segment);
        Ok(start)
    }
}

/// Location of the next record of a batch.
struct NextLocation {
    segment: u32,
    offset: u32,
}

impl NextLocation {
    fn advance(&mut self, length: usize) -> RecordLocation {
        let location = RecordLocation {
            segment: self.segment,
            offset: self.offset,
            length: length as u32,
        };
        self.offset += location.length;
        location
    }
}
