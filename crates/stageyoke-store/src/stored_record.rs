//! A record with the fields that follow it, on disk and in messages. A build that doesn't know a
//! field leaves it.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::extension::ExtensionFields;
use crate::message::{Record, RecordDigest};

/// Stands for a retention that is not known in a list of retentions, in seconds.
pub const UNKNOWN_RETENTION: u32 = 0;

/// A record as a store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record itself.
    pub record: Record,
    /// Time in seconds for which the ledger of the record's program is retained after it;
    /// `None` if the record comes from a build that doesn't tell.
    retention_seconds: Option<u32>,
}

impl StoredRecord {
    /// Adds the retention of a program's ledger to a record. A turn carries its own.
    pub fn new(record: Record, retention_seconds: Option<u32>) -> Self {
        Self {
            record,
            retention_seconds: retention_seconds.filter(|seconds| *seconds != UNKNOWN_RETENTION),
        }
    }

    /// Returns the digest of the record.
    pub fn digest(&self) -> RecordDigest {
        self.record.digest()
    }

    /// Returns whether this is a reading of the disk's clock.
    pub fn is_clock(&self) -> bool {
        matches!(self.record, Record::Clock { .. })
    }

    /// Returns the time in seconds for which the ledger of the record's program is retained
    /// after it, if it is known.
    pub fn ledger_retention_seconds(&self) -> Option<u32> {
        match &self.record {
            Record::Turn(turn) => Some(turn.retention_seconds),
            Record::Reserve { .. } | Record::Settle { .. } => self.retention_seconds,
            Record::Clock { .. } => None,
        }
    }

    /// Returns the same record with another retention of the ledger.
    pub fn with_ledger_retention(self, retention_seconds: u32) -> Self {
        Self::new(self.record, Some(retention_seconds))
    }

    /// Appends the record and its fields.
    pub fn encode(&self, output: &mut Vec<u8>) {
        self.record.ser_bin(output);
        self.fields().encode(output);
    }

    /// Decodes a record and the fields behind it, if there are any.
    pub fn decode(bytes: &[u8]) -> Result<Self, DeBinErr> {
        let mut offset = 0;
        let record = Record::de_bin(&mut offset, bytes)?;
        let fields = ExtensionFields::decode(offset, bytes)?;
        Ok(Self::new(record, fields.ledger_retention_seconds))
    }

    /// Returns the fields that follow the record.
    pub fn fields(&self) -> ExtensionFields {
        ExtensionFields {
            ledger_retention_seconds: self.retention_seconds,
            ..ExtensionFields::default()
        }
    }
}

impl From<Record> for StoredRecord {
    fn from(record: Record) -> Self {
        Self::new(record, None)
    }
}
