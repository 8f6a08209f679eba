//! Files of the data folder: numbered segments of checksummed records, the
//! disk's identity, the mark of completeness and the last member list.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use nanoserde::{DeBin, SerBin};
use stageyoke_directory::Members;

use stageyoke_types::List;

use crate::message::{Record, SeenItem};

const HEADER_BYTES: usize = 8;
const SEGMENT_PREFIX: &str = "segment-";
const IDENTITY_FILE: &str = "identity";
const COMPLETE_FILE: &str = "complete";
const MEMBERS_FILE: &str = "members";
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

/// Records up to the first that is torn or damaged, and whether one was.
pub fn decode_records(bytes: &[u8]) -> (Vec<Record>, bool) {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some((record, next)) = decode_record(bytes, offset) else {
            return (records, true);
        };
        records.push(record);
        offset = next;
    }
    (records, false)
}

fn decode_record(bytes: &[u8], offset: usize) -> Option<(Record, usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let content = bytes.get(start..start.checked_add(length)?)?;
    // An empty content never stands for a record: zeroed bytes are damage.
    if length == 0 || crc32fast::hash(content) != checksum {
        return None;
    }
    let record = Record::deserialize_bin(content).ok()?;
    Some((record, start + length))
}

/// The data folder of one store.
#[derive(Clone, Debug)]
pub struct DataFolder {
    path: PathBuf,
}

/// What a start found.
#[derive(Debug)]
pub struct Recovered {
    /// Identifier of the disk.
    pub disk: u64,
    /// Whether the disk holds everything that it ever acknowledged.
    pub complete: bool,
    /// Records of each segment, oldest first.
    pub segments: Vec<(u64, Vec<Record>)>,
    /// Segments that ended in a torn record.
    pub torn: usize,
    /// Member list that was last known.
    pub members: Option<Members>,
}

impl DataFolder {
    /// Opens the folder, creating it if need be.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
        })
    }

    /// Reads everything. `new_disk` is the identity given to an empty folder,
    /// which counts as complete only where `first_start` holds.
    pub fn recover(&self, new_disk: u64, first_start: bool) -> io::Result<Recovered> {
        let identity = self.read_identity()?;
        let numbers = self.segment_numbers()?;
        let fresh = identity.is_none() && numbers.is_empty();
        if fresh && first_start {
            self.mark_complete()?;
        }
        // The identity comes last: a start that is cut short before it has
        // acknowledged nothing, and its mark of completeness holds.
        if identity.is_none() {
            self.replace(IDENTITY_FILE, &new_disk.to_le_bytes())?;
        }
        let mut segments = Vec::new();
        let mut torn = 0;
        for number in numbers {
            let (records, damaged) = decode_records(&self.read_file(&segment_name(number))?);
            torn += usize::from(damaged);
            segments.push((number, records));
        }
        let marked = self.path.join(COMPLETE_FILE).exists();
        Ok(Recovered {
            disk: identity.unwrap_or(new_disk),
            complete: marked && (identity.is_some() || fresh),
            segments,
            torn,
            members: self.read_members(),
        })
    }

    /// Records that the disk now holds everything that it ever acknowledged.
    pub fn mark_complete(&self) -> io::Result<()> {
        self.replace(COMPLETE_FILE, b"complete")
    }

    /// Keeps the member list for a start while the service is down.
    pub fn save_members(&self, members: &Members) -> io::Result<()> {
        self.replace(MEMBERS_FILE, &members.serialize_bin())
    }

    /// Keeps the items of the key-value service for such a start.
    pub fn save_items(&self, items: &List<SeenItem>) -> io::Result<()> {
        self.replace(ITEMS_FILE, &items.serialize_bin())
    }

    /// The items that were last kept.
    pub fn read_items(&self) -> List<SeenItem> {
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

    fn read_members(&self) -> Option<Members> {
        let bytes = self.read_file(MEMBERS_FILE).ok()?;
        Members::deserialize_bin(&bytes).ok()
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
