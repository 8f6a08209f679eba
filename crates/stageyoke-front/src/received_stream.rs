//! What a front receives of a stream and keeps of it, within limits: a replica may send bytes
//! without end.

use bytes::Bytes;

use crate::event_stream::{EventSplitter, collect_data};
use crate::memory_budget::MemoryGuard;

/// Maximum size of what comes from one event with data to the next: the event itself, and
/// comments and events without data before it.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Size of a turn's stream up to which nothing but its events is limited.
pub const MAX_STREAM_BYTES: usize = 16 * 1024 * 1024;
/// Mean size of the events of a turn that may be larger than `MAX_STREAM_BYTES`.
const MEAN_EVENT_BYTES: usize = 4 * 1024;
/// Events of a turn that carry no token, such as a mark of its end.
pub const MAX_EVENTS_WITHOUT_TOKENS: u32 = 16;

/// Limits of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLimits {
    /// Maximum number of events with data; `None` if it is not known.
    max_events: Option<u32>,
    /// Maximum size of the whole stream.
    max_bytes: usize,
}

impl StreamLimits {
    /// Returns the limits of a turn that may generate `max_tokens`, of which each event carries
    /// at least one; 0 if the number is not known.
    pub fn of_turn(max_tokens: u32) -> Self {
        let max_events =
            (max_tokens > 0).then(|| max_tokens.saturating_add(MAX_EVENTS_WITHOUT_TOKENS));
        let expected_bytes =
            max_events.map_or(0, |events| MEAN_EVENT_BYTES.saturating_mul(events as usize));
        Self {
            max_events,
            max_bytes: expected_bytes.max(MAX_STREAM_BYTES),
        }
    }

    /// Returns the limits of a service's stream that is no turn. It may go on until its deadline,
    /// and only its events are limited.
    pub fn of_event_feed() -> Self {
        Self {
            max_events: None,
            max_bytes: usize::MAX,
        }
    }
}

/// Reason why a stream is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamExcess {
    /// The replica has sent more than the request allows.
    TooLarge,
    /// The front has no memory for what it would keep.
    NoMemory,
}

impl StreamExcess {
    /// Returns the outcome of a stream that is given up.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::TooLarge => "stream_too_large",
            Self::NoMemory => "no_stream_memory",
        }
    }
}

/// What is kept of a stream until its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeptOutput {
    /// Nothing.
    Nothing,
    /// The data of its events.
    Data,
    /// Its events with their identifiers, so that the caller can resume it after any of them. Holds
    /// the events that the caller got before.
    Events(Bytes),
}

/// Received part of a stream. The memory of what is kept of it is acquired as it grows.
#[derive(Debug)]
pub struct ReceivedStream {
    limits: StreamLimits,
    splitter: EventSplitter,
    bytes: usize,
    /// Bytes since the last event with data.
    bytes_since_event: usize,
    events: u32,
    output: Vec<u8>,
    kept: KeptOutput,
    memory: MemoryGuard,
}

impl ReceivedStream {
    /// Creates the state of a stream of which nothing has come.
    pub fn new(limits: StreamLimits, kept: KeptOutput, memory: MemoryGuard) -> Self {
        Self {
            limits,
            splitter: EventSplitter::default(),
            bytes: 0,
            bytes_since_event: 0,
            events: 0,
            output: Vec::new(),
            kept,
            memory,
        }
    }

    /// Adds bytes, and returns all events completed by them as one buffer.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamExcess> {
        self.bytes = self.bytes.saturating_add(bytes.len());
        if self.bytes > self.limits.max_bytes {
            return Err(StreamExcess::TooLarge);
        }
        let complete = self.splitter.push(bytes);
        let events = match &complete {
            Some(events) => self.collect(events)?,
            None => 0,
        };
        self.bytes_since_event = match events {
            0 => self.bytes_since_event + bytes.len(),
            _ => self.splitter.remainder().len(),
        };
        if self.bytes_since_event > MAX_EVENT_BYTES {
            return Err(StreamExcess::TooLarge);
        }
        match self.acquire(self.output.capacity()) {
            true => Ok(complete),
            false => Err(StreamExcess::NoMemory),
        }
    }

    /// Counts the events with data and keeps their data; returns their number.
    fn collect(&mut self, events: &[u8]) -> Result<u32, StreamExcess> {
        // The data of events is shorter than the events.
        if matches!(self.kept, KeptOutput::Nothing) {
            self.output.clear();
        } else if !self.reserve_output(events.len()) {
            return Err(StreamExcess::NoMemory);
        }
        let count = match &self.kept {
            KeptOutput::Nothing | KeptOutput::Data => collect_data(events, &mut self.output),
            KeptOutput::Events(_) => {
                self.output.extend_from_slice(events);
                collect_data(events, &mut Vec::new())
            }
        };
        self.events = self.events.saturating_add(count);
        match self.limits.max_events {
            Some(most) if self.events > most => Err(StreamExcess::TooLarge),
            _ => Ok(count),
        }
    }

    /// Enlarges the output's buffer where `additional` bytes do not fit, after acquiring the
    /// memory.
    fn reserve_output(&mut self, additional: usize) -> bool {
        let needed = self.output.len() + additional;
        if needed <= self.output.capacity() {
            return true;
        }
        let capacity = needed.max(self.output.capacity() * 2);
        if !self.acquire(capacity) {
            return false;
        }
        self.output.reserve_exact(capacity - self.output.len());
        true
    }

    /// Acquires the memory for an output of this capacity and the incomplete event.
    fn acquire(&mut self, output_capacity: usize) -> bool {
        let output = match &self.kept {
            KeptOutput::Nothing => 0,
            KeptOutput::Data => output_capacity,
            // Twice, as their data is copied at the end.
            KeptOutput::Events(earlier) => 2 * (output_capacity + earlier.len()),
        };
        self.memory
            .try_resize(output + self.splitter.remainder().len())
    }

    /// Returns the number of events with data.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns the bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        self.splitter.remainder()
    }

    /// Takes the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.splitter.take_remainder()
    }

    /// Returns the data of all events, also of those that the caller got before. Their memory stays
    /// acquired until the stream is dropped.
    pub fn take_output(&mut self) -> Vec<u8> {
        let KeptOutput::Events(earlier) = &self.kept else {
            return std::mem::take(&mut self.output);
        };
        let mut data = Vec::new();
        collect_data(earlier, &mut data);
        collect_data(&self.output, &mut data);
        data
    }

    /// Returns all events, also those that the caller got before; `None` if they are not kept.
    pub fn kept_events(&self) -> Option<Bytes> {
        match &self.kept {
            KeptOutput::Events(earlier) => Some([earlier, &self.output[..]].concat().into()),
            KeptOutput::Nothing | KeptOutput::Data => None,
        }
    }
}
