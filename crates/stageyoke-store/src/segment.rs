//! Files of the data folder: numbered segments of checksummed records, the
//! disk's identity, the mark of completeness and the last store groups.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use nanoserde::{DeBin, SerBin};
use stageyoke_directory::StoreGroups;

use stageyoke_types::List;

use crate::completeness::Completeness;
use crate::message::{DirectoryItem, Record};
use crate::state::StoreState;

const HEADER_BYTES: usize = 8;
/// Bytes of a segment that a scan reads ahead.
const SCAN_BYTES: usize = 64 * 1024;
const SEGMENT_PREFIX: &str = "segment-";
const IDENTITY_FILE: &str = "identity";
const COMPLETE_FILE: &str = "complete";
const STORES_FILE: &str = "stores";
const ITEMS_FILE: &str = "items";
const TEMPORARY_SUFFIX: &str = ".new";

/// Appends one record with its length and checksum.
pub fn encode_record(record: &Record, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; HEADER_BYTES]);
    record.ser_bin(output);
    let content = &output[start + HEADER_BYTES..];
    let length = content.len() as u32;
    let checksum = crc32fast::hash(content);
    output[start..start + 4].copy_from_slice(&length.to_le_bytes());
    output[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// The record that gives a segment's start by the disk's clock.
pub fn encode_clock(seconds: u64, output: &mut Vec<u8>) {
    encode_record(&Record::Clock { seconds }, output);
}

/// Records up to the first that is torn or damaged, and whether one was.
pub fn decode_records(bytes: &[u8]) -> (Vec<Record>, bool) {
    let mut scan = RecordScan::new(bytes, bytes.len() as u64);
    let scanned = scan.by_ref().map_while(Result::ok);
    let records = scanned.map(|scanned| scanned.record).collect();
    (records, scan.is_damaged())
}

/// Where a record lies on the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordLocation {
    /// Number of the segment: 32 bits last for centuries of a segment a second.
    pub segment: u32,
    /// Bytes before the record's header.
    pub offset: u32,
    /// Bytes of header and content.
    pub length: u32,
}

/// A record with its place in the bytes that were scanned.
#[derive(Clone, Debug)]
pub struct ScannedRecord {
    /// The record.
    pub record: Record,
    /// Bytes before its header.
    pub offset: u32,
    /// Bytes of header and content.
    pub length: u32,
}

/// Reads records one by one: no more than one is in memory. Ends at the first
/// that is torn or damaged.
pub struct RecordScan<R> {
    input: R,
    offset: u64,
    length: u64,
    damaged: bool,
}

impl<R: Read> RecordScan<R> {
    /// Scans an input of so many bytes.
    pub fn new(input: R, length: u64) -> Self {
        Self {
            input,
            offset: 0,
            length,
            damaged: false,
        }
    }

    /// Whether the scan ended at damage.
    pub fn is_damaged(&self) -> bool {
        self.damaged
    }

    /// The next record; `None` at damage.
    fn read(&mut self) -> io::Result<Option<ScannedRecord>> {
        let left = self.length - self.offset;
        let mut header = [0; HEADER_BYTES];
        if left < HEADER_BYTES as u64 {
            return Ok(None);
        }
        self.input.read_exact(&mut header)?;
        let (length, checksum) = decode_header(header);
        // A torn length may name anything: memory is taken for what is there.
        if u64::from(length) > left - HEADER_BYTES as u64 {
            return Ok(None);
        }
        let mut content = vec![0; length as usize];
        self.input.read_exact(&mut content)?;
        let record = decode_content(&content, checksum);
        let whole = HEADER_BYTES as u32 + length;
        let offset = u32::try_from(self.offset).map_err(|_| io::ErrorKind::FileTooLarge)?;
        self.offset += u64::from(whole);
        Ok(record.map(|record| ScannedRecord {
            record,
            offset,
            length: whole,
        }))
    }
}

impl<R: Read> Iterator for RecordScan<R> {
    type Item = io::Result<ScannedRecord>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.damaged || self.offset >= self.length {
            return None;
        }
        let scanned = self.read().transpose();
        self.damaged = !matches!(scanned, Some(Ok(_)));
        scanned
    }
}

fn decode_header(header: [u8; HEADER_BYTES]) -> (u32, u32) {
    let [a, b, c, d, e, f, g, h] = header;
    let length = u32::from_le_bytes([a, b, c, d]);
    let checksum = u32::from_le_bytes([e, f, g, h]);
    (length, checksum)
}

fn decode_content(content: &[u8], checksum: u32) -> Option<Record> {
    // An empty content never stands for a record: zeroed bytes are damage.
    if content.is_empty() || crc32fast::hash(content) != checksum {
        return None;
    }
    Record::deserialize_bin(content).ok()
}

/// The data folder of one store.
#[derive(Clone, Debug)]
pub struct DataFolder {
    path: PathBuf,
}

/// A segment and how much of it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentUsage {
    /// Number of its file.
    pub number: u64,
    /// Records in it.
    pub records: usize,
    /// When the last of them was written at the latest, by the disk's clock.
    pub last_write: u64,
}

/// What a start found.
#[derive(Debug)]
pub struct Recovered {
    /// Identity of the disk, which a lost one does not share with its successor.
    pub disk: u64,
    /// Index of all records.
    pub state: StoreState,
    /// For which group the disk holds everything that it ever acknowledged.
    pub completeness: Completeness,
    /// Segments, oldest first.
    pub segments: Vec<SegmentUsage>,
    /// Segments that ended in a torn record.
    pub torn_segments: usize,
    /// Bytes of all segments.
    pub bytes: u64,
    /// Seconds of the disk's clock.
    pub clock: u64,
    /// Store groups that were last known.
    pub stores: Option<StoreGroups>,
}

impl Recovered {
    /// A segment began at this time: what stands in the segments before it was
    /// written earlier.
    fn start_segment_at(&mut self, seconds: u64) {
        self.clock = self.clock.max(seconds);
        if let Some(last) = self.segments.last_mut() {
            last.last_write = self.clock;
        }
    }

    /// Number of the next segment.
    pub fn next_segment(&self) -> u64 {
        self.segments.last().map_or(0, |last| last.number + 1)
    }
}

impl DataFolder {
    /// Opens the folder, creating it if need be.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
        })
    }

    /// Reads everything. `drawn` names the journal of this life; an empty folder counts as
    /// complete only where `first_start` holds.
    pub fn recover(&self, drawn: u64, first_start: bool) -> io::Result<Recovered> {
        let identity = self.read_identity()?;
        let numbers = self.segment_numbers()?;
        let fresh = identity.is_none() && numbers.is_empty();
        if fresh && first_start {
            self.mark_complete(Completeness::SinceFormation)?;
        }
        // The identity comes last: a start that is cut short before it has
        // acknowledged nothing, and its mark of completeness holds.
        if identity.is_none() {
            self.replace(IDENTITY_FILE, &drawn.to_le_bytes())?;
        }
        let marked = match identity.is_some() || fresh {
            true => self.read_completeness()?,
            false => Completeness::Incomplete,
        };
        let mut recovered = Recovered {
            disk: identity.unwrap_or(drawn),
            state: StoreState::new(drawn),
            completeness: marked,
            segments: Vec::new(),
            torn_segments: 0,
            bytes: 0,
            clock: 0,
            stores: self.read_stores(),
        };
        for number in numbers {
            self.recover_segment(number, &mut recovered)?;
        }
        // A process that was killed may have left names unsynced: what is told by them now
        // must outlive a loss of power.
        self.sync_folder()?;
        Ok(recovered)
    }

    /// Indexes one segment, record by record.
    fn recover_segment(&self, number: u64, recovered: &mut Recovered) -> io::Result<()> {
        let (file, length) = self.open_segment(number)?;
        // The last process may have been killed between a write and its sync; what is found
        // here is acknowledged again without another write.
        file.sync_data()?;
        let mut scan = RecordScan::new(BufReader::with_capacity(SCAN_BYTES, file), length);
        let mut records = 0;
        let segment = u32::try_from(number).map_err(|_| io::ErrorKind::InvalidData)?;
        for scanned in scan.by_ref() {
            let scanned = scanned?;
            if let Record::Clock { seconds } = scanned.record {
                recovered.start_segment_at(seconds);
                continue;
            }
            let place = RecordLocation {
                segment,
                offset: scanned.offset,
                length: scanned.length,
            };
            recovered.state.add(&scanned.record, place, recovered.clock);
            records += 1;
        }
        recovered.torn_segments += usize::from(scan.is_damaged());
        recovered.bytes += length;
        recovered.segments.push(SegmentUsage {
            number,
            records,
            last_write: recovered.clock,
        });
        Ok(())
    }

    fn open_segment(&self, number: u64) -> io::Result<(File, u64)> {
        let file = File::open(self.path.join(segment_name(number)))?;
        let length = file.metadata()?.len();
        Ok((file, length))
    }

    /// Reads one record back.
    pub fn read_record(&self, place: RecordLocation) -> io::Result<Record> {
        let mut file = File::open(self.path.join(segment_name(u64::from(place.segment))))?;
        file.seek(SeekFrom::Start(u64::from(place.offset)))?;
        let mut bytes = vec![0; place.length as usize];
        file.read_exact(&mut bytes)?;
        let mut scan = RecordScan::new(bytes.as_slice(), bytes.len() as u64);
        let scanned = scan
            .next()
            .unwrap_or(Err(io::ErrorKind::InvalidData.into()));
        scanned.map(|scanned| scanned.record)
    }

    /// Reads a segment's records up to its damage, if there is any.
    pub fn read_segment(&self, number: u64) -> io::Result<Vec<Record>> {
        let (file, length) = self.open_segment(number)?;
        RecordScan::new(BufReader::with_capacity(SCAN_BYTES, file), length)
            .map(|scanned| scanned.map(|scanned| scanned.record))
            .filter(|record| !matches!(record, Ok(Record::Clock { .. })))
            .collect()
    }

    /// Records for which group the disk now holds everything that it ever
    /// acknowledged.
    pub fn mark_complete(&self, completeness: Completeness) -> io::Result<()> {
        let Some(mark) = completeness.mark() else {
            fs::remove_file(self.path.join(COMPLETE_FILE))?;
            return self.sync_folder();
        };
        self.replace(COMPLETE_FILE, mark.as_bytes())
    }

    /// Keeps the store groups for a start while the service is down.
    pub fn save_stores(&self, stores: &StoreGroups) -> io::Result<()> {
        self.replace(STORES_FILE, &stores.serialize_bin())
    }

    /// Keeps the items of the key-value service for such a start.
    pub fn save_items(&self, items: &List<DirectoryItem>) -> io::Result<()> {
        self.replace(ITEMS_FILE, &items.serialize_bin())
    }

    /// The items that were last kept.
    pub fn read_items(&self) -> List<DirectoryItem> {
        self.read_file(ITEMS_FILE)
            .ok()
            .and_then(|bytes| List::deserialize_bin(&bytes).ok())
            .unwrap_or_default()
    }

    /// Creates a segment and makes its name last.
    pub fn create_segment(&self, number: u64) -> io::Result<File> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .open(self.path.join(segment_name(number)))?;
        file.sync_all()?;
        self.sync_folder()?;
        Ok(file)
    }

    /// Removes a segment.
    pub fn remove_segment(&self, number: u64) -> io::Result<()> {
        fs::remove_file(self.path.join(segment_name(number)))
    }

    /// Numbers of all segments, ascending.
    pub fn segment_numbers(&self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // What is no file of its own was not written by a store.
            if !entry.file_type()?.is_file() {
                continue;
            }
            let name = entry.file_name();
            let number = name
                .to_str()
                .and_then(|name| name.strip_prefix(SEGMENT_PREFIX))
                .and_then(|digits| digits.parse::<u64>().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn read_identity(&self) -> io::Result<Option<u64>> {
        match self.read_file(IDENTITY_FILE) {
            Ok(bytes) => Ok(bytes.try_into().ok().map(u64::from_le_bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn read_completeness(&self) -> io::Result<Completeness> {
        match self.read_file(COMPLETE_FILE) {
            Ok(bytes) => Ok(Completeness::from_mark(&String::from_utf8_lossy(&bytes))),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Completeness::Incomplete),
            Err(error) => Err(error),
        }
    }

    fn read_stores(&self) -> Option<StoreGroups> {
        let bytes = self.read_file(STORES_FILE).ok()?;
        StoreGroups::deserialize_bin(&bytes).ok()
    }

    fn read_file(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn replace(&self, name: &str, content: &[u8]) -> io::Result<()> {
        let temporary = self.path.join(format!("{name}{TEMPORARY_SUFFIX}"));
        let mut file = File::create(&temporary)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(&temporary, self.path.join(name))?;
        self.sync_folder()
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:010}")
}
