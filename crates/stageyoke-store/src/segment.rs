//! Files in a store's data folder: numbered segments of checksummed records, the disk's
//! identity, the completeness mark, the last store groups and the last directory items.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use stageyoke_directory::StoreGroups;

use stageyoke_types::List;

use crate::completeness::Completeness;
use crate::message::{DirectoryItem, Record};
use crate::service_versions::ServiceVersions;
use crate::state::{StoreState, segment_lifetime};
use crate::stored_record::StoredRecord;

const HEADER_BYTES: usize = 8;
/// Read buffer size of a segment scan.
const SCAN_BUFFER_BYTES: usize = 64 * 1024;
const SEGMENT_PREFIX: &str = "segment-";
const IDENTITY_FILE: &str = "identity";
const COMPLETE_FILE: &str = "complete";
const STORES_FILE: &str = "stores";
const ITEMS_FILE: &str = "items";
const VERSIONS_FILE: &str = "versions";
const TEMPORARY_SUFFIX: &str = ".new";

/// Appends one record, preceded by its length and checksum.
pub fn encode_record(record: &Record, output: &mut Vec<u8>) {
    encode_content(output, |output| record.ser_bin(output));
}

/// Appends one record and its fields, preceded by their length and checksum. A build that doesn't
/// know a field leaves it.
pub fn encode_stored_record(record: &StoredRecord, output: &mut Vec<u8>) {
    encode_content(output, |output| record.encode(output));
}

fn encode_content(output: &mut Vec<u8>, encode: impl FnOnce(&mut Vec<u8>)) {
    let start = output.len();
    output.extend_from_slice(&[0; HEADER_BYTES]);
    encode(output);
    let content = &output[start + HEADER_BYTES..];
    let length = content.len() as u32;
    let checksum = crc32fast::hash(content);
    output[start..start + 4].copy_from_slice(&length.to_le_bytes());
    output[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// Appends the clock record that starts a segment.
pub fn encode_clock(seconds: u64, output: &mut Vec<u8>) {
    encode_record(&Record::Clock { seconds }, output);
}

/// Decodes records up to the first torn or damaged one; also returns whether there was one.
pub fn decode_records(bytes: &[u8]) -> (Vec<Record>, bool) {
    let mut scan = RecordScan::new(bytes, bytes.len() as u64);
    let scanned = scan.by_ref().map_while(Result::ok);
    let records = scanned.map(|scanned| scanned.record.record).collect();
    (records, scan.is_damaged())
}

/// Location of a record on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordLocation {
    /// Number of the segment file.
    pub segment: u32,
    /// Offset of the record's header in the file, in bytes.
    pub offset: u32,
    /// Length of header and content, in bytes.
    pub length: u32,
}

/// A record and its position in the scanned bytes.
#[derive(Clone, Debug)]
pub struct ScannedRecord {
    /// The decoded record.
    pub record: StoredRecord,
    /// Offset of the record's header, in bytes.
    pub offset: u32,
    /// Length of header and content, in bytes.
    pub length: u32,
}

/// Iterator over encoded records that holds one at a time in memory. Ends at the first torn
/// or damaged record.
pub struct RecordScan<R> {
    input: R,
    offset: u64,
    length: u64,
    damaged: bool,
}

impl<R: Read> RecordScan<R> {
    /// Scans an input of `length` bytes.
    pub fn new(input: R, length: u64) -> Self {
        Self {
            input,
            offset: 0,
            length,
            damaged: false,
        }
    }

    /// Returns whether the scan ended at a torn or damaged record.
    pub fn is_damaged(&self) -> bool {
        self.damaged
    }

    /// Reads the next record; `None` if it is torn or damaged.
    fn read(&mut self) -> io::Result<Option<ScannedRecord>> {
        let remaining = self.length - self.offset;
        let mut header = [0; HEADER_BYTES];
        if remaining < HEADER_BYTES as u64 {
            return Ok(None);
        }
        self.input.read_exact(&mut header)?;
        let (length, checksum) = decode_header(header);
        // A torn header may contain any length, so check it before allocating.
        if u64::from(length) > remaining - HEADER_BYTES as u64 {
            return Ok(None);
        }
        let mut content = vec![0; length as usize];
        self.input.read_exact(&mut content)?;
        let record = decode_content(&content, checksum);
        let record_bytes = HEADER_BYTES as u32 + length;
        let offset = u32::try_from(self.offset).map_err(|_| io::ErrorKind::FileTooLarge)?;
        self.offset += u64::from(record_bytes);
        Ok(record.map(|record| ScannedRecord {
            record,
            offset,
            length: record_bytes,
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

fn decode_content(content: &[u8], checksum: u32) -> Option<StoredRecord> {
    // No record has empty content, so a zeroed header with a matching checksum is damage.
    if content.is_empty() || crc32fast::hash(content) != checksum {
        return None;
    }
    StoredRecord::decode(content).ok()
}

/// The data folder of one store.
#[derive(Clone, Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// File with a delay in milliseconds that is added to each sync, for tests of slow disks.
    sync_delay_file: Option<PathBuf>,
}

/// A segment file and the extent of its valid records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentUsage {
    /// Number of the segment file.
    pub number: u64,
    /// Number of valid records, not counting the clock record.
    pub records: usize,
    /// Latest time by the disk's clock at which its last record can have been written, in
    /// seconds.
    pub last_write: u64,
    /// Time in seconds after the last write for which the segment is kept.
    pub lifetime_seconds: u64,
}

impl SegmentUsage {
    /// Creates the usage of a segment without records.
    pub fn new(number: u64) -> Self {
        Self {
            number,
            records: 0,
            last_write: 0,
            lifetime_seconds: 0,
        }
    }

    /// Adds a record that was written by this time.
    pub fn add(&mut self, record: &StoredRecord, written: u64) {
        self.records += 1;
        self.last_write = written;
        self.lifetime_seconds = self.lifetime_seconds.max(segment_lifetime(record));
    }

    /// Returns whether the segment has passed its lifetime.
    pub fn has_expired(&self, now: u64) -> bool {
        self.last_write + self.lifetime_seconds <= now
    }
}

/// What recovery found in a data folder.
#[derive(Debug)]
pub struct Recovered {
    /// Identity of the disk; a replacement for a lost disk gets another one.
    pub disk: u64,
    /// Index of all records.
    pub state: StoreState,
    /// Group for which the disk holds every record that it ever acknowledged.
    pub completeness: Completeness,
    /// Segments, oldest first.
    pub segments: Vec<SegmentUsage>,
    /// Number of segments that end in a torn record.
    pub torn_segments: usize,
    /// Total size of the segments in bytes.
    pub bytes: u64,
    /// Last recorded reading of the disk's clock, in seconds.
    pub clock_seconds: u64,
    /// Store groups that were last saved.
    pub stores: Option<StoreGroups>,
    /// Versions of services that were last saved; `None` if there are none.
    pub service_versions: Option<ServiceVersions>,
    /// Whether the disk was empty at the first start of the whole system.
    pub is_first_start: bool,
}

impl Recovered {
    /// Applies the clock record at the start of a segment: the segment before it was last
    /// written no later than this.
    fn apply_segment_clock(&mut self, seconds: u64) {
        self.clock_seconds = self.clock_seconds.max(seconds);
        if let Some(last) = self.segments.last_mut() {
            last.last_write = self.clock_seconds;
        }
    }

    /// Returns the number of the next segment to create.
    pub fn next_segment(&self) -> u64 {
        self.segments.last().map_or(0, |last| last.number + 1)
    }
}

impl DataFolder {
    /// Opens the folder, creating it if it does not exist.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
            sync_delay_file: None,
        })
    }

    /// Adds the delay in a file, in milliseconds, to each sync.
    pub fn with_sync_delay(self, sync_delay_file: Option<PathBuf>) -> Self {
        Self {
            sync_delay_file,
            ..self
        }
    }

    /// Writes the data of a file to the disk.
    pub fn sync_data(&self, file: &File) -> io::Result<()> {
        self.delay_sync();
        file.sync_data()
    }

    /// Writes the data and metadata of a file to the disk.
    fn sync_all(&self, file: &File) -> io::Result<()> {
        self.delay_sync();
        file.sync_all()
    }

    fn delay_sync(&self) {
        let Some(delay_file) = &self.sync_delay_file else {
            return;
        };
        let milliseconds = fs::read_to_string(delay_file).unwrap_or_default();
        let milliseconds = milliseconds.trim().parse().unwrap_or_default();
        std::thread::sleep(Duration::from_millis(milliseconds));
    }

    /// Recovers everything in the folder. `journal_identifier` identifies this process's
    /// journal, and also the disk if it has no identity yet. An empty folder
    /// only counts as complete if `first_start` is set.
    pub fn recover(&self, journal_identifier: u64, first_start: bool) -> io::Result<Recovered> {
        let identity = self.read_identity()?;
        let numbers = self.segment_numbers()?;
        let is_new = identity.is_none() && numbers.is_empty();
        if is_new && first_start {
            self.mark_complete(Completeness::SinceFormation)?;
        }
        // The identity is written last. If the process dies before, it has acknowledged
        // nothing, and the completeness mark is still valid.
        if identity.is_none() {
            self.replace(IDENTITY_FILE, &journal_identifier.to_le_bytes())?;
        }
        let completeness = match identity.is_some() || is_new {
            true => self.read_completeness()?,
            false => Completeness::Incomplete,
        };
        let mut recovered = Recovered {
            disk: identity.unwrap_or(journal_identifier),
            state: StoreState::new(journal_identifier),
            completeness,
            segments: Vec::new(),
            torn_segments: 0,
            bytes: 0,
            clock_seconds: 0,
            stores: self.read_stores(),
            service_versions: self.read_service_versions(),
            is_first_start: is_new && first_start,
        };
        for number in numbers {
            self.recover_segment(number, &mut recovered)?;
        }
        // A killed process may have left directory entries unsynced. What this process
        // reports from them must survive a power loss. Writing the identity has synced them.
        if identity.is_some() {
            self.sync_folder()?;
        }
        Ok(recovered)
    }

    /// Adds one segment's records to the index.
    fn recover_segment(&self, number: u64, recovered: &mut Recovered) -> io::Result<()> {
        let (file, length) = self.open_segment(number)?;
        // A killed process may have written records without syncing them. They are
        // acknowledged from now on without another write.
        file.sync_data()?;
        let mut scan = RecordScan::new(BufReader::with_capacity(SCAN_BUFFER_BYTES, file), length);
        let mut usage = SegmentUsage::new(number);
        let segment = u32::try_from(number).map_err(|_| io::ErrorKind::InvalidData)?;
        for scanned in scan.by_ref() {
            let scanned = scanned?;
            if let Record::Clock { seconds } = scanned.record.record {
                recovered.apply_segment_clock(seconds);
                continue;
            }
            let location = RecordLocation {
                segment,
                offset: scanned.offset,
                length: scanned.length,
            };
            recovered
                .state
                .add(&scanned.record, location, recovered.clock_seconds);
            usage.add(&scanned.record, recovered.clock_seconds);
        }
        recovered.torn_segments += usize::from(scan.is_damaged());
        recovered.bytes += length;
        usage.last_write = recovered.clock_seconds;
        recovered.segments.push(usage);
        Ok(())
    }

    fn open_segment(&self, number: u64) -> io::Result<(File, u64)> {
        let file = File::open(self.path.join(segment_name(number)))?;
        let length = file.metadata()?.len();
        Ok((file, length))
    }

    /// Reads one record.
    pub fn read_record(&self, location: RecordLocation) -> io::Result<StoredRecord> {
        let mut file = File::open(self.path.join(segment_name(u64::from(location.segment))))?;
        file.seek(SeekFrom::Start(u64::from(location.offset)))?;
        let mut bytes = vec![0; location.length as usize];
        file.read_exact(&mut bytes)?;
        let mut scan = RecordScan::new(bytes.as_slice(), bytes.len() as u64);
        let scanned = scan
            .next()
            .unwrap_or(Err(io::ErrorKind::InvalidData.into()));
        scanned.map(|scanned| scanned.record)
    }

    /// Reads a segment's records up to a torn or damaged one.
    pub fn read_segment(&self, number: u64) -> io::Result<Vec<StoredRecord>> {
        let (file, length) = self.open_segment(number)?;
        RecordScan::new(BufReader::with_capacity(SCAN_BUFFER_BYTES, file), length)
            .map(|scanned| scanned.map(|scanned| scanned.record))
            .filter(|record| !record.as_ref().is_ok_and(StoredRecord::is_clock))
            .collect()
    }

    /// Saves the group for which the disk holds every record that it ever acknowledged.
    pub fn mark_complete(&self, completeness: Completeness) -> io::Result<()> {
        let Some(mark) = completeness.mark() else {
            fs::remove_file(self.path.join(COMPLETE_FILE))?;
            return self.sync_folder();
        };
        self.replace(COMPLETE_FILE, mark.as_bytes())
    }

    /// Saves the store groups for a start during a service outage.
    pub fn save_stores(&self, stores: &StoreGroups) -> io::Result<()> {
        self.replace(STORES_FILE, &stores.serialize_bin())
    }

    /// Saves the items of the key-value service for a start during a service outage.
    pub fn save_items(&self, items: &List<DirectoryItem>) -> io::Result<()> {
        self.replace(ITEMS_FILE, &items.serialize_bin())
    }

    /// Saves the versions of services that were listed recently.
    pub fn save_service_versions(&self, versions: &ServiceVersions) -> io::Result<()> {
        self.replace(VERSIONS_FILE, &versions.serialize_bin())
    }

    fn read_service_versions(&self) -> Option<ServiceVersions> {
        let bytes = self.read_file(VERSIONS_FILE).ok()?;
        ServiceVersions::deserialize_bin(&bytes).ok()
    }

    /// Returns the items that were last saved.
    pub fn read_items(&self) -> List<DirectoryItem> {
        self.read_file(ITEMS_FILE)
            .ok()
            .and_then(|bytes| List::deserialize_bin(&bytes).ok())
            .unwrap_or_default()
    }

    /// Creates a segment file and syncs its directory entry. The sync of its first records covers
    /// the file itself.
    pub fn create_segment(&self, number: u64) -> io::Result<File> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .open(self.path.join(segment_name(number)))?;
        self.sync_folder()?;
        Ok(file)
    }

    /// Removes a segment file.
    pub fn remove_segment(&self, number: u64) -> io::Result<()> {
        fs::remove_file(self.path.join(segment_name(number)))
    }

    /// Returns the numbers of all segments in ascending order.
    pub fn segment_numbers(&self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // Only regular files are segments.
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
        self.sync_all(&file)?;
        fs::rename(&temporary, self.path.join(name))?;
        self.sync_folder()
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.sync_all(&File::open(&self.path)?)
    }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:010}")
}
