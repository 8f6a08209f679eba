//! Lines of an event stream, each of a limited length.

/// A line that is longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineTooLong;

/// Takes a stream's bytes in any pieces and gives whole lines.
pub struct EventLines {
    buffer: Vec<u8>,
    /// Start of the first line that was not given yet.
    start: usize,
    /// Bytes of that line that are known to contain no end.
    searched: usize,
    max_line_bytes: usize,
}

impl EventLines {
    /// Lines of at most this length.
    pub fn new(max_line_bytes: usize) -> Self {
        Self {
            buffer: Vec::new(),
            start: 0,
            searched: 0,
            max_line_bytes,
        }
    }

    /// Adds bytes as they arrive.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole line without its end, if there is one.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        let rest = &self.buffer[self.start..];
        let end = rest[self.searched..].iter().position(|byte| *byte == b'\n');
        let length = end.map_or(rest.len(), |end| self.searched + end);
        if length > self.max_line_bytes {
            return Err(LineTooLong);
        }
        if end.is_none() {
            self.searched = length;
            return Ok(None);
        }
        let line = self.start..self.start + length;
        self.start = line.end + 1;
        self.searched = 0;
        Ok(Some(&self.buffer[line]))
    }
}
