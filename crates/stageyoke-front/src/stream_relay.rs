//! Relays an event stream to the caller, and ends it only after the turn has been stored.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::broken_stream::ResumableAttempt;
use crate::connection_pool::Connection;
use crate::deadly_requests::{HeldPermit, RequestGuard};
use crate::dispatch::{REPLICA_ENDED, record_attempt};
use crate::engine_rates::TurnTiming;
use crate::event_stream::is_inside_event;
use crate::health::Evidence;
use crate::history::{History, Reservation, build_turn_record};
use crate::memory_budget::MemoryGuard;
use crate::received_stream::{ReceivedStream, StreamExcess};
use crate::replica::{InFlightGuard, Replica};
use crate::request::ScopedIdentifiers;
use crate::request_identity::RequestIdentity;
use crate::response_body::ChunkSender;
use crate::stream_start::{FirstEvent, StreamStart, TIME_OUT, TRUNCATED};
use crate::stream_version::VersionRecord;
use stageyoke_framing::Framing;
use stageyoke_observe::{self as observe, RequestSummary};
use stageyoke_store::message::ChainPart;

/// Outcome of a stream that ended after an event and with its connection.
const END_UNKNOWN: &str = "end_unknown";
/// Outcome of a relay that was dropped before its end.
const RELAY_FAILED: &str = "relay_failed";

/// What to store at the end of a stream.
pub struct TurnStorage {
    /// History that stores the turn.
    pub history: Rc<History>,
    /// The turn's own input; `None` if its route keeps no history.
    pub input: Option<Bytes>,
    /// Earlier turns that the turn continues, oldest first. They are held until the turn is stored,
    /// as the stores may have dropped them by then.
    pub chain: Vec<ChainPart>,
    /// Retention period of the stored turn.
    pub retention: Duration,
    /// The turn's reservation, if its program has a budget.
    pub reservation: Option<Reservation>,
    /// Tokens per event.
    pub tokens_per_event: u32,
}

/// Upstream side of a stream. Dropping it closes the connection, which stops the replica.
pub struct UpstreamStream {
    /// Connection to the replica.
    pub connection: Connection,
    /// Replica that sends the stream.
    pub replica: Rc<Replica>,
    /// Counts the request as in flight.
    pub guard: InFlightGuard,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Tokens of the prompt that the replica was not expected to have cached.
    pub uncached_tokens: u32,
    /// How the replica delimits the stream.
    pub framing: Framing,
}

impl UpstreamStream {
    /// Returns the timing of a turn that has just ended.
    fn timing(&self, first_event: &FirstEvent, generated_tokens: u32) -> TurnTiming {
        let others_in_flight = |in_flight: u32| f64::from(in_flight.saturating_sub(1));
        let at_end = self.replica.requests_in_flight();
        TurnTiming {
            time_to_first_event: first_event.at - self.sent,
            uncached_tokens: self.uncached_tokens,
            generation_time: first_event.at.elapsed(),
            generated_tokens,
            concurrent_requests: (others_in_flight(first_event.in_flight)
                + others_in_flight(at_end))
                / 2.0,
            queued: first_event.in_flight > self.replica.record.slots,
        }
    }
}

/// Relay of one stream to its caller.
pub struct StreamRelay {
    /// Identifiers under which the turn is stored.
    pub identifiers: ScopedIdentifiers,
    /// Token limit of the turn; 0 if unlimited.
    pub max_tokens: u32,
    /// Connection and replica of the stream; its body is passed separately.
    pub upstream: UpstreamStream,
    /// What to store at the end.
    pub storage: TurnStorage,
    /// Time at which the stream is aborted.
    pub deadline: Instant,
    /// Record of the version that began the stream, which the first events wait for.
    pub version_record: Option<VersionRecord>,
    /// Attempt that the caller may resume if it is broken off; `None` for other streams.
    pub attempt: Option<ResumableAttempt>,
    /// Identity of the request.
    pub identity: RequestIdentity,
    /// Limit of the replicas that may end under one request.
    pub request_guard: Rc<RequestGuard>,
    /// Permit of the run, held until the stream ends.
    pub _run_permit: Option<HeldPermit>,
    /// Log line of the request.
    pub line: RelayLine,
    /// Memory used by the request until the stream ends.
    pub _memory_guard: MemoryGuard,
}

/// Log line of a relayed request. A relay that is dropped before its end, as by a panic, logs it
/// too.
pub struct RelayLine {
    /// Summary of the request.
    pub summary: RequestSummary,
    arrived: Instant,
    is_written: bool,
}

impl RelayLine {
    /// Creates the line of a request that arrived at this time.
    pub fn new(summary: RequestSummary, arrived: Instant) -> Self {
        Self {
            summary,
            arrived,
            is_written: false,
        }
    }

    /// Logs how the stream ended.
    fn write(mut self, end: &StreamEnd) {
        self.summary.outcome = end.outcome();
        if !matches!(end, StreamEnd::Complete | StreamEnd::Unknown) {
            self.summary.status = 0;
        }
        self.record();
    }

    fn record(&mut self) {
        self.is_written = true;
        observe::record_request(&self.summary, self.arrived.elapsed());
    }
}

impl Drop for RelayLine {
    fn drop(&mut self) {
        if !self.is_written {
            self.summary.outcome = RELAY_FAILED;
            self.summary.status = 0;
            self.record();
        }
    }
}

enum StreamEnd {
    /// The replica stated the end of the stream.
    Complete,
    /// The connection to the replica ended after an event, so whether more was due is unknown.
    Unknown,
    /// The connection to the replica ended inside an event, which the caller has received as
    /// far as it came.
    InsideEvent,
    CallerDisconnected,
    Aborted(&'static str),
}

impl StreamEnd {
    /// Returns the outcome for the request's log line.
    fn outcome(&self) -> &'static str {
        match self {
            Self::Complete => "streamed",
            Self::Unknown => END_UNKNOWN,
            Self::InsideEvent => TRUNCATED,
            Self::CallerDisconnected => observe::CALLER_LEFT,
            Self::Aborted(reason) => reason,
        }
    }

    /// Returns whether the connection to the replica ended without a stated end of the stream.
    fn is_lost_connection(&self) -> bool {
        match self {
            Self::Unknown | Self::InsideEvent | Self::Aborted(TRUNCATED) => true,
            Self::Complete | Self::CallerDisconnected | Self::Aborted(_) => false,
        }
    }
}

impl StreamRelay {
    /// Relays the stream to the caller's channel `chunks` until either side ends: what was
    /// read at its `start`, and then the rest of its `body`.
    pub async fn run(mut self, start: StreamStart, mut body: Incoming, chunks: ChunkSender) {
        let StreamStart {
            mut received,
            first,
        } = start;
        let (first_events, first) = first.unzip();
        let end = self
            .forward(first_events, &mut body, &chunks, &mut received)
            .await;
        if end.is_lost_connection() {
            self.record_lost_connection(&end).await;
        }
        let end = match end {
            StreamEnd::Complete => {
                let replica = &self.upstream.replica;
                self.request_guard.record_completed(self.identity, replica);
                self.record_rates(&received, first.as_ref());
                self.store_turn(&mut received, StreamEnd::Complete).await
            }
            // Stored as far as it came: it is continued only by a caller that took it as whole.
            StreamEnd::Unknown => self.store_turn(&mut received, StreamEnd::Unknown).await,
            other => other,
        };
        drop(body);
        self.finish(&end, &received, chunks).await;
    }

    /// Records that the connection to the replica ended, and whether its process did.
    async fn record_lost_connection(&mut self, end: &StreamEnd) {
        let replica = &self.upstream.replica;
        // The end of a connection may be the regular end of a stream without framing.
        if !matches!(end, StreamEnd::Unknown) {
            replica.record(Evidence::Lost);
        }
        if replica.has_ended(Instant::now()).await {
            record_attempt(&mut self.line.summary, &replica.id, REPLICA_ENDED);
            self.request_guard
                .report_end(self.identity, replica)
                .wait()
                .await;
        }
    }

    /// Updates the engine's learned rates with a completed turn.
    fn record_rates(&self, received: &ReceivedStream, first: Option<&FirstEvent>) {
        let Some(first) = first else {
            return;
        };
        let later_events = received.events().saturating_sub(1);
        let generated = later_events.saturating_mul(self.storage.tokens_per_event);
        let timing = self.upstream.timing(first, generated);
        self.upstream.replica.record_turn(&timing);
    }

    async fn forward(
        &mut self,
        first_events: Option<Bytes>,
        body: &mut Incoming,
        chunks: &ChunkSender,
        received: &mut ReceivedStream,
    ) -> StreamEnd {
        let Some(events) = first_events else {
            return self.end_of_body(received, chunks).await;
        };
        if let Some(record) = self.version_record.take() {
            record.wait().await;
        }
        if let Some(end) = self.send_events(events, chunks).await {
            return end;
        }
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = chunks.closed() => return StreamEnd::CallerDisconnected,
                () = tokio::time::sleep_until(self.deadline) => return StreamEnd::Aborted(TIME_OUT),
            };
            let complete_events = match frame {
                None => return self.end_of_body(received, chunks).await,
                Some(Err(_)) => return StreamEnd::Aborted(TRUNCATED),
                Some(Ok(frame)) => match frame.data_ref() {
                    Some(data) => received.push(data),
                    None => Ok(None),
                },
            };
            let end = match complete_events {
                Ok(Some(events)) => self.send_events(events, chunks).await,
                Ok(None) => None,
                Err(excess) => Some(self.give_up(excess)),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Returns the end of a stream that exceeds a limit.
    fn give_up(&self, excess: StreamExcess) -> StreamEnd {
        if excess == StreamExcess::TooLarge {
            self.upstream.replica.record(Evidence::Failed);
        }
        StreamEnd::Aborted(excess.outcome())
    }

    /// Forwards complete events; returns how the stream ends if that fails.
    async fn send_events(&self, events: Bytes, chunks: &ChunkSender) -> Option<StreamEnd> {
        match tokio::time::timeout_at(self.deadline, chunks.send(events)).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(StreamEnd::CallerDisconnected),
            Err(_) => Some(StreamEnd::Aborted(TIME_OUT)),
        }
    }

    /// Judges a stream whose body has ended without an error. One that ends inside an event has
    /// been broken off, and so has one without framing that ends before its first event.
    async fn end_of_body(&self, received: &mut ReceivedStream, chunks: &ChunkSender) -> StreamEnd {
        let remainder = received.take_remainder();
        let end = match (self.upstream.framing, is_inside_event(&remainder)) {
            (Framing::Length | Framing::Chunked, false) => StreamEnd::Complete,
            (Framing::Length | Framing::Chunked, true) => return StreamEnd::Aborted(TRUNCATED),
            (Framing::Connection, true) => StreamEnd::InsideEvent,
            (Framing::Connection, false) if received.events() > 0 => StreamEnd::Unknown,
            (Framing::Connection, false) => return StreamEnd::Aborted(TRUNCATED),
        };
        if remainder.is_empty() {
            return end;
        }
        match tokio::time::timeout_at(self.deadline, chunks.send(remainder)).await {
            Ok(Ok(())) => end,
            Ok(Err(_)) => StreamEnd::CallerDisconnected,
            Err(_) => StreamEnd::Aborted(TIME_OUT),
        }
    }

    /// Stores the turn or settles its reservation before the caller sees the end. Returns `end`
    /// unless that fails.
    async fn store_turn(&mut self, received: &mut ReceivedStream, end: StreamEnd) -> StreamEnd {
        let generated = received
            .events()
            .saturating_mul(self.storage.tokens_per_event);
        let used = match self.max_tokens {
            0 => generated,
            limit => generated.min(limit),
        };
        let Some(input) = self.storage.input.take() else {
            if let Some(reservation) = &mut self.storage.reservation {
                reservation.settle(used);
            }
            return end;
        };
        // Counts from the end of the answer, which a slow caller may get as late as its deadline.
        let retention = self.storage.retention + self.time_left();
        let output = received.take_output();
        let record = build_turn_record(&self.identifiers, input, output, used, retention);
        let started = Instant::now();
        let history = &self.storage.history;
        let stored = history
            .commit(record, &self.storage.chain, self.deadline)
            .await;
        self.line.summary.store_turn_ms = started.elapsed().as_millis() as u64;
        if let Some(reservation) = &mut self.storage.reservation {
            reservation.mark_recorded();
        }
        match stored {
            Ok(()) => end,
            Err(_) => StreamEnd::Aborted("not_kept"),
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    async fn finish(self, end: &StreamEnd, received: &ReceivedStream, chunks: ChunkSender) {
        self.line.write(end);
        let upstream = self.upstream;
        match end {
            StreamEnd::Complete => upstream.replica.pool.release(upstream.connection),
            // Stops the replica before anything else is waited for.
            _ => drop(upstream.connection),
        }
        drop(upstream.guard);
        if !matches!(end, StreamEnd::Complete)
            && let (Some(attempt), Some(events)) = (&self.attempt, received.kept_events())
        {
            attempt.record_end(events).await;
        }
        match end {
            StreamEnd::Complete | StreamEnd::Unknown | StreamEnd::InsideEvent => chunks.complete(),
            StreamEnd::CallerDisconnected | StreamEnd::Aborted(_) => drop(chunks),
        }
    }
}
