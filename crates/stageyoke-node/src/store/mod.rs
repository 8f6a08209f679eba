//! Durable state of the node's replicas: a log of checksummed records in
//! segments under one data folder.
//!
//! Writing is append-only; a record counts once [`Store::sync`] has returned.
//! When the log has grown, it is replaced by a new segment that holds each
//! shard's state. On start the segments are read back: an incomplete record
//! at the very end is cut off (it was never acknowledged); any other damage
//! makes the log unusable, and the node starts as a new one that its peers
//! catch up.

mod record;
mod segment;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use stageyoke_core::replication::LogRecord;

pub use record::{RecordError, decode_records, encode_record};
pub use segment::{Recovered, recover};

/// Size of the log, beyond twice its size after the last replacement, at which
/// it is replaced again, bytes.
const REPLACE_SLACK_BYTES: u64 = 8 << 20;

/// An open log.
pub struct Store {
    folder: PathBuf,
    file: File,
    number: u64,
    written: u64,
    base: u64,
    limit: u64,
    pending: Vec<u8>,
}

impl Store {
    /// Opens a new segment after those that were read back.
    pub fn open(folder: &Path, after: u64, existing_bytes: u64, limit: u64) -> io::Result<Self> {
        let number = after + 1;
        let file = segment::create(folder, number)?;
        Ok(Self {
            folder: folder.to_owned(),
            file,
            number,
            written: existing_bytes,
            base: existing_bytes,
            limit,
            pending: Vec::new(),
        })
    }

    /// Adds a record; it counts after the next [`Store::sync`].
    pub fn append(&mut self, record: &LogRecord) {
        encode_record(record, &mut self.pending);
    }

    /// Writes what was added and waits until it is on disk.
    pub fn sync(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.file.write_all(&self.pending)?;
        self.file.sync_data()?;
        self.written += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    /// True if the log should be replaced by the shards' states.
    pub fn wants_replacement(&self) -> bool {
        self.written > 2 * self.base + REPLACE_SLACK_BYTES
    }

    /// True if the folder has reached its limit; new work must be refused.
    pub fn is_full(&self) -> bool {
        self.written + self.pending.len() as u64 > self.limit
    }

    /// Bytes in the folder.
    pub fn bytes(&self) -> u64 {
        self.written
    }

    /// Replaces the whole log by these records. The old segments go only after
    /// the new one is on disk under its final name.
    pub fn replace(&mut self, records: &[LogRecord]) -> io::Result<()> {
        self.sync()?;
        let mut content = Vec::new();
        for record in records {
            encode_record(record, &mut content);
        }
        let number = self.number + 1;
        write_durably(&segment::path(&self.folder, number), &content)?;
        for old in segment::list(&self.folder)? {
            if old < number {
                fs::remove_file(segment::path(&self.folder, old))?;
            }
        }
        self.number = number + 1;
        self.file = segment::create(&self.folder, self.number)?;
        self.base = content.len() as u64;
        self.written = self.base;
        Ok(())
    }
}

/// Writes a file so that after a crash it holds either the old or the new
/// content, whole.
pub fn write_durably(path: &Path, content: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("tmp");
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
