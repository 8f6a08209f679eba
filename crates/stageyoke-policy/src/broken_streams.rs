//! Remembers what callers may have got of streams, for those that resume them.
//!
//! Each attempt is recorded twice: before it sends anything, with the events that its caller had
//! before, and when it is broken off, with all events since the stream's beginning. What was
//! dropped or has expired is unknown.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::stream_versions::MAX_TTL;

/// Maximum size of the events of one stream. Longer streams are unknown.
pub const MAX_STREAM_BYTES: usize = 1024 * 1024;
/// Maximum number of attempts that are remembered of one request.
pub const MAX_ATTEMPTS: usize = 16;
/// Estimated memory of an attempt beside its events, in bytes.
const ATTEMPT_OVERHEAD_BYTES: usize = 250;

/// What the caller of one attempt may have got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamAttempt<E> {
    /// Hash of the identifier of the request that began the stream.
    pub stream: u128,
    /// Hash of the identifier of the attempt.
    pub attempt: u128,
    /// Number of attempts at the same stream before this one.
    pub sequence: u32,
    /// Whether the attempt has ended, so that its caller has no further events of it.
    pub ended: bool,
    /// Events since the beginning of the stream.
    pub events: E,
}

#[derive(Debug)]
struct Remembered<E> {
    attempt: StreamAttempt<E>,
    expires_at: Duration,
}

/// Attempts at streams by the identity of their requests. `now` is the time since the start of the
/// process.
#[derive(Debug)]
pub struct BrokenStreams<E> {
    max_bytes: usize,
    bytes: usize,
    requests: HashMap<u128, Vec<Remembered<E>>>,
    /// Identities and attempts in the order in which they were recorded, with their expiry. An
    /// attempt that was recorded again has a later entry too.
    order: VecDeque<(u128, u128, Duration)>,
}

impl<E: AsRef<[u8]>> BrokenStreams<E> {
    /// Creates a memory of at most this size.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            requests: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records an attempt for the time `ttl`, in place of an earlier record of it. Returns whether
    /// it is known from now on; the oldest attempts are dropped for it.
    pub fn record(
        &mut self,
        identity: u128,
        attempt: StreamAttempt<E>,
        ttl: Duration,
        now: Duration,
    ) -> bool {
        self.drop_expired(now);
        let bytes = size_of(&attempt);
        if attempt.events.as_ref().len() > MAX_STREAM_BYTES || bytes > self.max_bytes {
            return false;
        }
        let key = attempt.attempt;
        let known = self.requests.get(&identity).into_iter().flatten();
        let known_end = known
            .into_iter()
            .any(|known| known.attempt.attempt == key && known.attempt.ended);
        if known_end {
            return true;
        }
        self.remove(identity, key);
        if let Some(oldest) = self.oldest_beyond_limit(identity) {
            self.remove(identity, oldest);
        }
        while self.bytes + bytes > self.max_bytes {
            self.drop_oldest();
        }
        self.bytes += bytes;
        let expires_at = now + ttl.min(MAX_TTL);
        self.order.push_back((identity, key, expires_at));
        let remembered = Remembered {
            attempt,
            expires_at,
        };
        self.requests.entry(identity).or_default().push(remembered);
        true
    }

    /// Returns what is known of the attempts at a request's streams.
    pub fn attempts(
        &self,
        identity: u128,
        now: Duration,
    ) -> impl Iterator<Item = &StreamAttempt<E>> {
        let known = self.requests.get(&identity).into_iter().flatten();
        let known = known.filter(move |known| now < known.expires_at);
        known.map(|known| &known.attempt)
    }

    /// Returns the estimated memory in use.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn oldest_beyond_limit(&self, identity: u128) -> Option<u128> {
        let known = self.requests.get(&identity)?;
        let oldest = known.first().filter(|_| known.len() >= MAX_ATTEMPTS)?;
        Some(oldest.attempt.attempt)
    }

    /// Drops the attempts that were recorded first, as far as they have expired.
    fn drop_expired(&mut self, now: Duration) {
        while let Some((_, _, expires_at)) = self.order.front()
            && *expires_at <= now
        {
            self.drop_oldest();
        }
    }

    /// Drops the oldest record, unless its attempt was recorded again.
    fn drop_oldest(&mut self) {
        let Some((identity, attempt, expires_at)) = self.order.pop_front() else {
            return;
        };
        let known = self.requests.get(&identity).into_iter().flatten();
        let mut known = known.into_iter();
        if known.any(|known| known.attempt.attempt == attempt && known.expires_at == expires_at) {
            self.remove(identity, attempt);
        }
    }

    fn remove(&mut self, identity: u128, attempt: u128) {
        let Some(attempts) = self.requests.get_mut(&identity) else {
            return;
        };
        let removed = attempts.extract_if(.., |known| known.attempt.attempt == attempt);
        let bytes: usize = removed.map(|known| size_of(&known.attempt)).sum();
        self.bytes -= bytes;
        if attempts.is_empty() {
            self.requests.remove(&identity);
        }
    }
}

fn size_of<E: AsRef<[u8]>>(attempt: &StreamAttempt<E>) -> usize {
    attempt.events.as_ref().len() + ATTEMPT_OVERHEAD_BYTES
}
