//! Collection types whose decoders do not trust lengths read from the network.
//!
//! The `nanoserde` decoders allocate memory for whatever length the input declares. These
//! types grow only as elements are decoded, so a forged length causes a decoding error
//! instead of an allocation failure. Lengths are variable-length integers with seven bits
//! per byte.

use std::fmt;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

use bytes::Bytes;
use nanoserde::{DeBin, DeBinErr, DeBinErrReason, SerBin};

const PAYLOAD_BITS_PER_BYTE: u32 = 7;
const CONTINUATION_BIT: u8 = 0x80;
const MAX_LENGTH_BYTES: u32 = 5;

/// List encoded with a variable-length element count, of at most `u32::MAX`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct List<T>(pub Vec<T>);

/// Immutable, reference-counted text; cloning does not copy the content.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Text(Arc<str>);

impl<T> Default for List<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> From<Vec<T>> for List<T> {
    fn from(items: Vec<T>) -> Self {
        Self(items)
    }
}

impl<T> FromIterator<T> for List<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        Self(items.into_iter().collect())
    }
}

impl<T> IntoIterator for List<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;
    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<T> Deref for List<T> {
    type Target = Vec<T>;
    fn deref(&self) -> &Vec<T> {
        &self.0
    }
}

impl<T> DerefMut for List<T> {
    fn deref_mut(&mut self) -> &mut Vec<T> {
        &mut self.0
    }
}

impl<T: SerBin> SerBin for List<T> {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_length(self.0.len(), output);
        for item in &self.0 {
            item.ser_bin(output);
        }
    }
}

impl<T: DeBin> DeBin for List<T> {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = decode_length(offset, bytes)?;
        let mut items = Vec::new();
        for _ in 0..length {
            items.push(T::de_bin(offset, bytes)?);
        }
        Ok(Self(items))
    }
}

impl Text {
    /// Returns the text as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Text {
    fn default() -> Self {
        Self::from("")
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for Text {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl Deref for Text {
    type Target = str;
    fn deref(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for Text {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Text {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), formatter)
    }
}

impl fmt::Display for Text {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Immutable, reference-counted bytes; cloning does not copy the content.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blob(pub Bytes);

impl Blob {
    /// Copies the bytes into a separate allocation. A slice of a larger buffer, such as a
    /// connection's read buffer, would otherwise keep the whole buffer in memory.
    pub fn detached(&self) -> Self {
        Self(Bytes::copy_from_slice(&self.0))
    }
}

impl From<Bytes> for Blob {
    fn from(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Bytes::from(bytes))
    }
}

impl Deref for Blob {
    type Target = Bytes;
    fn deref(&self) -> &Bytes {
        &self.0
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Blob({} bytes)", self.0.len())
    }
}

impl SerBin for Blob {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_length(self.0.len(), output);
        output.extend_from_slice(&self.0);
    }
}

impl DeBin for Blob {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = decode_length(offset, bytes)?;
        let remaining = bytes.get(*offset..).unwrap_or_default();
        let content = remaining
            .get(..length)
            .ok_or_else(|| too_short(*offset, length, remaining.len()))?;
        *offset += length;
        Ok(Self(Bytes::copy_from_slice(content)))
    }
}

impl SerBin for Text {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_length(self.0.len(), output);
        output.extend_from_slice(self.0.as_bytes());
    }
}

impl DeBin for Text {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = decode_length(offset, bytes)?;
        let remaining = bytes.get(*offset..).unwrap_or_default();
        let content = remaining
            .get(..length)
            .ok_or_else(|| too_short(*offset, length, remaining.len()))?;
        let text = std::str::from_utf8(content).map_err(|_| malformed(*offset))?;
        *offset += length;
        Ok(Self::from(text))
    }
}

fn encode_length(length: usize, output: &mut Vec<u8>) {
    let mut remaining = length as u64;
    while remaining >= u64::from(CONTINUATION_BIT) {
        output.push(remaining as u8 | CONTINUATION_BIT);
        remaining >>= PAYLOAD_BITS_PER_BYTE;
    }
    output.push(remaining as u8);
}

fn decode_length(offset: &mut usize, bytes: &[u8]) -> Result<usize, DeBinErr> {
    let mut length = 0_u64;
    for position in 0..MAX_LENGTH_BYTES {
        let byte = *bytes.get(*offset).ok_or_else(|| too_short(*offset, 1, 0))?;
        *offset += 1;
        length |= u64::from(byte & !CONTINUATION_BIT) << (position * PAYLOAD_BITS_PER_BYTE);
        if byte & CONTINUATION_BIT == 0 {
            return Ok(length as usize);
        }
    }
    Err(malformed(*offset))
}

fn too_short(offset: usize, expected_length: usize, actual_length: usize) -> DeBinErr {
    DeBinErr {
        o: offset,
        msg: DeBinErrReason::Length {
            expected_length,
            actual_length,
        },
    }
}

fn malformed(offset: usize) -> DeBinErr {
    too_short(offset, 0, 0)
}
