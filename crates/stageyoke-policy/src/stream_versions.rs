//! Remembers which software version began a stream that its caller may continue.
//!
//! A version is never guessed: a stream that was dropped, that has expired or that two versions
//! claim to have begun is unknown.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Maximum number of streams, at up to some 250 bytes each.
pub const MAX_STREAMS: usize = 40_000;
/// Maximum length of a version, in bytes. Streams of longer ones are unknown.
pub const MAX_VERSION_BYTES: usize = 64;
/// Maximum time for which a stream is remembered.
pub const MAX_TTL: Duration = Duration::from_secs(90);

/// Versions that began streams, by the digests of the streams' identifiers. `now` is the time
/// since the start of the process.
#[derive(Debug, Default)]
pub struct StreamVersions {
    streams: HashMap<u128, StreamVersion>,
    /// Digests in the order in which they were recorded.
    order: VecDeque<u128>,
}

#[derive(Debug)]
struct StreamVersion {
    /// `None` if two versions were recorded.
    version: Option<Box<str>>,
    expires_at: Duration,
}

impl StreamVersions {
    /// Records that a version began a stream, for the time `ttl`. Returns whether the version
    /// is known from now on. If another version is known, neither is.
    pub fn record(&mut self, stream: u128, version: &str, ttl: Duration, now: Duration) -> bool {
        if version.is_empty() || version.len() > MAX_VERSION_BYTES {
            return false;
        }
        let expires_at = now + ttl.min(MAX_TTL);
        self.drop_expired(now);
        if let Some(known) = self.streams.get_mut(&stream) {
            if known.expires_at <= now {
                known.version = Some(version.into());
            } else if known.version.as_deref() != Some(version) {
                known.version = None;
            }
            known.expires_at = known.expires_at.max(expires_at);
            return known.version.is_some();
        }
        if self.streams.len() >= MAX_STREAMS {
            self.drop_oldest();
        }
        let version = Some(version.into());
        let recorded = StreamVersion {
            version,
            expires_at,
        };
        self.streams.insert(stream, recorded);
        self.order.push_back(stream);
        true
    }

    /// Returns the version that began a stream; `None` if it is unknown.
    pub fn version(&self, stream: u128, now: Duration) -> Option<&str> {
        let known = self.streams.get(&stream)?;
        let version = known.version.as_deref()?;
        (now < known.expires_at).then_some(version)
    }

    /// Returns the number of streams in memory.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Drops the streams that were recorded first, as far as they have expired.
    fn drop_expired(&mut self, now: Duration) {
        while let Some(oldest) = self.order.front() {
            let known = self.streams.get(oldest);
            if known.is_some_and(|known| now < known.expires_at) {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.streams.remove(&oldest);
        }
    }
}
