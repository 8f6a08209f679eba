//! Segment files, and reading them back.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use stageyoke_core::shard::StoredShard;
use stageyoke_types::ShardId;

use super::record::{RecordError, decode_records};

const PREFIX: &str = "log-";
const SUFFIX: &str = ".seg";

/// What was read back from a data folder.
#[derive(Debug, Default)]
pub struct Recovered {
    /// State of each shard.
    pub shards: BTreeMap<ShardId, StoredShard>,
    /// Number of the last segment.
    pub last_segment: u64,
    /// Bytes read.
    pub bytes: u64,
    /// An incomplete record was cut off.
    pub torn: bool,
    /// The log is damaged, and what this node voted for may be lost. It must
    /// not go on under its old identifier.
    pub corrupt: bool,
}

/// Reads all segments of a folder, cutting off a torn tail.
pub fn recover(folder: &Path) -> io::Result<Recovered> {
    fs::create_dir_all(folder)?;
    let mut recovered = Recovered::default();
    let numbers = list(folder)?;
    for number in &numbers {
        let path = path(folder, *number);
        let bytes = fs::read(&path)?;
        let (records, error) = decode_records(&bytes);
        for record in records {
            let shard = recovered.shards.entry(record.shard()).or_default();
            shard.absorb(record);
        }
        recovered.bytes += bytes.len() as u64;
        recovered.last_segment = *number;
        match error {
            Some(RecordError::TornTail { good_bytes }) => {
                File::options()
                    .write(true)
                    .open(&path)?
                    .set_len(good_bytes as u64)?;
                recovered.torn = true;
            }
            Some(RecordError::Corrupt { .. }) => {
                recovered.corrupt = true;
                break;
            }
            None => {}
        }
    }
    if recovered.corrupt {
        set_aside(folder, &numbers)?;
        recovered.shards.clear();
        recovered.bytes = 0;
        recovered.last_segment = numbers.last().copied().unwrap_or_default();
    }
    Ok(recovered)
}

/// Keeps a damaged log under another name, for the operator.
fn set_aside(folder: &Path, numbers: &[u64]) -> io::Result<()> {
    for number in numbers {
        let from = path(folder, *number);
        fs::rename(&from, from.with_extension("damaged"))?;
    }
    Ok(())
}

/// Path of a segment.
pub(super) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:012}{SUFFIX}"))
}

/// Creates an empty segment.
pub(super) fn create(folder: &Path, number: u64) -> io::Result<File> {
    let file = File::options()
        .create(true)
        .append(true)
        .open(path(folder, number))?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Numbers of the segments, in order.
pub(super) fn list(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        let digits = name
            .strip_prefix(PREFIX)
            .and_then(|rest| rest.strip_suffix(SUFFIX));
        numbers.extend(digits.and_then(|digits| digits.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}
