//! Splits a byte stream into events and extracts the data that the history stores.

use bytes::{Bytes, BytesMut};

const DATA_FIELD: &[u8] = b"data:";
const IDENTIFIER_FIELD: &[u8] = b"id:";

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes, and returns all events completed by them as one buffer.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let mut end = None;
        let mut position = self.scanned;
        while position + 1 < self.buffer.len() {
            if &self.buffer[position..position + 2] == b"\n\n" {
                end = Some(position + 2);
                position += 2;
            } else if self.buffer[position..].starts_with(b"\r\n\r\n") {
                end = Some(position + 4);
                position += 4;
            } else {
                position += 1;
            }
        }
        match end {
            Some(end) => {
                self.scanned = 0;
                Some(self.buffer.split_to(end).freeze())
            }
            None => {
                self.scanned = self.buffer.len().saturating_sub(3);
                None
            }
        }
    }

    /// Returns the bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }

    /// Takes the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }
}

/// Returns whether bytes after the last complete event belong to another event. Line ends and
/// comments belong to none.
pub fn is_inside_event(remainder: &[u8]) -> bool {
    let mut lines = remainder.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Returns the events up to and including the last one with this identifier; `None` if none has it.
pub fn events_until<'a>(events: &'a [u8], last_identifier: &str) -> Option<&'a [u8]> {
    let mut end = None;
    let mut position = 0;
    let mut is_last = false;
    for line in events.split_inclusive(|byte| *byte == b'\n') {
        position += line.len();
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() && std::mem::take(&mut is_last) {
            end = Some(position);
        }
        if let Some(identifier) = line.strip_prefix(IDENTIFIER_FIELD) {
            let identifier = identifier.strip_prefix(b" ").unwrap_or(identifier);
            is_last = identifier == last_identifier.as_bytes();
        }
    }
    end.map(|end| &events[..end])
}

/// Appends the data of each event to `output`, followed by a line feed, and returns the
/// number of events with data.
pub fn collect_data(events: &[u8], output: &mut Vec<u8>) -> u32 {
    let mut count = 0;
    let mut in_event = false;
    for line in events.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if in_event {
                output.push(b'\n');
                count += 1;
            }
            in_event = false;
            continue;
        }
        let Some(data) = line.strip_prefix(DATA_FIELD) else {
            continue;
        };
        if in_event {
            output.push(b'\n');
        }
        output.extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
        in_event = true;
    }
    count
}
