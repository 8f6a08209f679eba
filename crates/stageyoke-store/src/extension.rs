//! Fields behind a frozen message. The messages of version 1 never change: builds run
//! side by side while machines are replaced. Their reader takes a message from the start
//! of a frame and leaves what stands behind it, so new content goes there, each field
//! with a tag and a length, and a reader skips the tags that it doesn't know.
//!
//! Both ends of a connection tell their version with their first message. Other fields go
//! only to a peer that has told one.

use nanoserde::{DeBin, DeBinErr, SerBin};
use stageyoke_types::Blob;

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

/// One field as it stands behind a message.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
struct Field {
    tag: u8,
    content: Blob,
}

/// What travels behind a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Extensions {
    /// The sender's version; told in the first message of a connection.
    pub version: Option<u16>,
}

impl Extensions {
    /// The greeting: this build's version.
    pub fn greeting() -> Self {
        Self {
            version: Some(VERSION),
        }
    }

    /// Appends the fields that there are.
    pub fn encode(&self, output: &mut Vec<u8>) {
        append(VERSION_TAG, self.version.as_ref(), output);
    }

    /// Reads all fields to the end; those with an unknown tag are skipped.
    pub fn decode(mut offset: usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let mut extensions = Self::default();
        while offset < bytes.len() {
            let field = Field::de_bin(&mut offset, bytes)?;
            if field.tag == VERSION_TAG {
                extensions.version = Some(u16::deserialize_bin(&field.content)?);
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
