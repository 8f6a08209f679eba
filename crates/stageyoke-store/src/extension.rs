//! Fields behind a frozen message. The messages of version 1 never change: builds run
//! side by side while machines are replaced. Their reader takes a message from the start
//! of a frame and leaves what stands behind it, so new content goes there, each field
//! with a tag and a length, and a reader skips the tags that it doesn't know.
//!
//! Both ends of a connection tell their version with their first message. Other fields go
//! only to a peer that has told one.

use nanoserde::{DeBin, DeBinErr, SerBin};
use stageyoke_types::{Blob, List, Text};

use crate::message::LatencyEntry;

/// The version of a peer that tells none.
pub const FIRST_VERSION: u16 = 1;
/// The version that this build speaks: it reads fields behind messages.
pub const VERSION: u16 = 2;

/// The build, for its first line and for operators.
pub fn describe_build() -> String {
    format!("build={} speaks={VERSION}", env!("CARGO_PKG_VERSION"))
}

/// Tags are never used again for other content.
const VERSION_TAG: u8 = 1;
const RANK_LOADS_TAG: u8 = 2;
const PROGRAM_TAG: u8 = 3;
const STARTED_TAG: u8 = 4;
const FRONT_TAG: u8 = 5;
const ENGINE_LATENCIES_TAG: u8 = 6;
const DEVIATIONS_TAG: u8 = 7;

/// One field as it stands behind a message.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
struct Field {
    tag: u8,
    content: Blob,
}

/// Turns under way at a service's engines, of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RankLoad {
    /// Hash of the service's name.
    pub service: u32,
    /// Their rank; 0 is the most urgent.
    pub rank: u8,
    /// Turns.
    pub in_flight: u16,
}

/// How far an engine lies from the middle of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Deviation {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Hundredths of the logarithm of its time against the middle.
    pub log_ratio: i16,
}

/// What travels behind a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExtensionFields {
    /// The sender's version; told in the first message of a connection.
    pub version: Option<u16>,
    /// Behind an append: what this front has under way. Behind the answers to
    /// reservations and to questions after programs: what all other fronts have.
    pub rank_loads: Option<List<RankLoad>>,
    /// Behind a ping: has any turn of this program begun?
    pub program: Option<Text>,
    /// Behind the answer to it.
    pub started: Option<bool>,
    /// Behind a ping: the asking front's number, as in its reports.
    pub front: Option<u32>,
    /// Behind an append: times of turns at engines since the group was told last.
    pub engine_latencies: Option<List<LatencyEntry>>,
    /// Behind an answer: engines by what all fronts have told.
    pub engine_deviations: Option<List<Deviation>>,
}

impl ExtensionFields {
    /// The greeting: this build's version.
    pub fn greeting() -> Self {
        Self {
            version: Some(VERSION),
            ..Self::default()
        }
    }

    /// Appends the fields that there are.
    pub fn encode(&self, output: &mut Vec<u8>) {
        append(VERSION_TAG, self.version.as_ref(), output);
        append(RANK_LOADS_TAG, self.rank_loads.as_ref(), output);
        append(PROGRAM_TAG, self.program.as_ref(), output);
        append(STARTED_TAG, self.started.as_ref(), output);
        append(FRONT_TAG, self.front.as_ref(), output);
        append(ENGINE_LATENCIES_TAG, self.engine_latencies.as_ref(), output);
        append(DEVIATIONS_TAG, self.engine_deviations.as_ref(), output);
    }

    /// Reads all fields to the end; those with an unknown tag are skipped.
    pub fn decode(mut offset: usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let mut extensions = Self::default();
        while offset < bytes.len() {
            let field = Field::de_bin(&mut offset, bytes)?;
            let content = &field.content;
            match field.tag {
                VERSION_TAG => extensions.version = Some(DeBin::deserialize_bin(content)?),
                RANK_LOADS_TAG => extensions.rank_loads = Some(DeBin::deserialize_bin(content)?),
                PROGRAM_TAG => extensions.program = Some(DeBin::deserialize_bin(content)?),
                STARTED_TAG => extensions.started = Some(DeBin::deserialize_bin(content)?),
                FRONT_TAG => extensions.front = Some(DeBin::deserialize_bin(content)?),
                ENGINE_LATENCIES_TAG => {
                    extensions.engine_latencies = Some(DeBin::deserialize_bin(content)?);
                }
                DEVIATIONS_TAG => {
                    extensions.engine_deviations = Some(DeBin::deserialize_bin(content)?)
                }
                _ => {}
            }
        }
        Ok(extensions)
    }
}

fn append<T: SerBin>(tag: u8, value: Option<&T>, output: &mut Vec<u8>) {
    let Some(value) = value else {
        return;
    };
    let content = Blob::from(value.serialize_bin());
    Field { tag, content }.ser_bin(output);
}
