//! One record in a segment: length, checksum, encoded content.

use nanoserde::{DeBin, SerBin};
use stageyoke_core::replication::LogRecord;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;

/// Why a segment could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The last record is incomplete; everything before it is good.
    TornTail {
        /// Length of the good part, bytes.
        good_bytes: usize,
    },
    /// A record that is followed by others, or is whole, is damaged.
    Corrupt {
        /// Where it starts, bytes.
        at: usize,
    },
}

/// Appends an encoded record.
pub fn encode_record(record: &LogRecord, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; HEADER_BYTES]);
    record.ser_bin(output);
    let content = &output[start + HEADER_BYTES..];
    let length = content.len() as u32;
    let checksum = crc32fast::hash(content);
    output[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    output[start + LENGTH_BYTES..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// Decodes a segment's records in order. Records before an error are still
/// returned.
pub fn decode_records(bytes: &[u8]) -> (Vec<LogRecord>, Option<RecordError>) {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let Some((length, checksum)) = header(rest) else {
            return (records, Some(RecordError::TornTail { good_bytes: offset }));
        };
        let Some(content) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else {
            return (records, Some(RecordError::TornTail { good_bytes: offset }));
        };
        let is_last = rest.len() == HEADER_BYTES + length;
        let decoded = LogRecord::deserialize_bin(content).ok();
        match decoded.filter(|_| crc32fast::hash(content) == checksum) {
            Some(record) => records.push(record),
            // A torn write may leave the last record's full length unwritten.
            None if is_last => {
                return (records, Some(RecordError::TornTail { good_bytes: offset }));
            }
            None => return (records, Some(RecordError::Corrupt { at: offset })),
        }
        offset += HEADER_BYTES + length;
    }
    (records, None)
}

fn header(bytes: &[u8]) -> Option<(usize, u32)> {
    let length = bytes.get(..LENGTH_BYTES)?.try_into().ok()?;
    let checksum = bytes.get(LENGTH_BYTES..HEADER_BYTES)?.try_into().ok()?;
    Some((
        u32::from_le_bytes(length) as usize,
        u32::from_le_bytes(checksum),
    ))
}
