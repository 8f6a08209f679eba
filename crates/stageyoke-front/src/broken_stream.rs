//! Keeps turns whole whose streams are broken off and resumed by their callers.
//!
//! A turn is stored with all events that its caller got, over all attempts. So each attempt at a
//! turn that may be resumed is recorded at the stores: before it is sent, and again with its events
//! before the caller learns that it was broken off. A front that does not know what the caller of
//! a resumed turn has rejects it: the turn could not be stored whole.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stageyoke_directory::{Interpreter, KeyValueService};
use stageyoke_observe as observe;
use stageyoke_policy::broken_streams::MAX_STREAM_BYTES;
use stageyoke_store::GroupClient;
use stageyoke_store::extension::{AttemptReport, RecordedAttempt};
use stageyoke_store::keys::StreamKey;
use stageyoke_types::{Blob, ErrorKind, Text};
use tokio::time::Instant;

use crate::event_stream::events_until;
use crate::failure::Failure;
use crate::front::Front;
use crate::handler::{RequestContext, SHORT_RETRY_DELAY};
use crate::stream_version::RESUME_MARGIN;

/// Time limit for the stores to say what the caller has.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for a quorum of stores to record an attempt.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt at a stream that its caller may resume.
#[derive(Clone)]
pub struct ResumableAttempt {
    group: Rc<GroupClient>,
    request: u128,
    stream: u128,
    attempt: u128,
    sequence: u32,
    deadline: Instant,
    /// Events that the caller got in earlier attempts.
    pub earlier_events: Bytes,
}

impl ResumableAttempt {
    /// Records all events of the stream, so that the caller can resume it at any front.
    pub async fn record_end(&self, events: Bytes) {
        if events.len() > MAX_STREAM_BYTES || !self.record(events, true).await {
            observe::metrics().unrecorded_broken_streams.inc();
        }
    }

    async fn record(&self, events: Bytes, ended: bool) -> bool {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let ttl = time_left + RESUME_MARGIN;
        let report = AttemptReport {
            request: self.request,
            attempt: RecordedAttempt {
                stream: self.stream,
                attempt: self.attempt,
                sequence: self.sequence,
                ended,
                events: Blob(events),
            },
            ttl_milliseconds: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        };
        self.group.record_attempt(report, RECORD_TIMEOUT).await
    }
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Records the attempt at a turn that its caller may resume, with what the caller has of the
    /// turn. Fails if that is not known or not recorded; the request has not run then. Returns
    /// `None` for other requests.
    pub(crate) async fn begin_attempt(
        &self,
        context: &RequestContext,
    ) -> Result<Option<ResumableAttempt>, Failure> {
        if !context.route.stores_history {
            return Ok(None);
        }
        let last_event = context.parameters.last_event.as_ref();
        if last_event.is_none() && !context.route.resumable {
            return Ok(None);
        }
        let attempt = self.build_attempt(context, last_event).await;
        let Some(attempt) = attempt else {
            observe::metrics().unknown_broken_streams.inc();
            return Err(rejection("stream_events_unknown"));
        };
        match attempt.record(attempt.earlier_events.clone(), false).await {
            true => Ok(Some(attempt)),
            false => Err(rejection("attempt_not_recorded")),
        }
    }

    async fn build_attempt(
        &self,
        context: &RequestContext,
        last_event: Option<&Text>,
    ) -> Option<ResumableAttempt> {
        let request = context.identity;
        let program = &context.identifiers.program;
        let stores = &self.history.stores;
        // The same group for all attempts, also where the request names no program.
        let group = stores.group_of_program(program, &request.to_string())?;
        let key = StreamKey::of(&context.identifiers.turn).0;
        let mut attempt = ResumableAttempt {
            group,
            request: request.0,
            stream: key,
            attempt: key,
            sequence: 0,
            deadline: context.outbound.deadline,
            earlier_events: Bytes::new(),
        };
        let Some(last_event) = last_event else {
            return Some(attempt);
        };
        let known = attempt.group.attempts(request.0, LOOKUP_TIMEOUT).await?;
        let began_as = context.identifiers.resumed_stream.as_deref();
        let began_as = began_as.map(|request| StreamKey::of(request).0);
        let resumed = select_resumed(&known, began_as, last_event)?;
        attempt.stream = resumed.stream;
        attempt.sequence = resumed.sequence + 1;
        attempt.earlier_events = Bytes::copy_from_slice(resumed.events);
        Some(attempt)
    }
}

fn rejection(cause: &'static str) -> Failure {
    Failure::retryable(ErrorKind::Unavailable, cause, SHORT_RETRY_DELAY)
}

/// The attempt that a caller resumes, with the events that it has.
#[derive(Debug, PartialEq, Eq)]
struct Resumed<'a> {
    stream: u128,
    sequence: u32,
    events: &'a [u8],
}

/// Returns the attempt that a caller resumes after this event, and its events up to there; `None` if
/// that is not certain. The last attempt at a stream tells what its caller has. Where the caller
/// does not name the stream, each stream of the request may be meant.
fn select_resumed<'a>(
    known: &'a [RecordedAttempt],
    began_as: Option<u128>,
    last_event: &str,
) -> Option<Resumed<'a>> {
    let mut resumed: Option<Resumed<'a>> = None;
    for attempt in known {
        let is_meant = began_as.is_none_or(|stream| stream == attempt.stream);
        let is_last = known
            .iter()
            .all(|other| other.stream != attempt.stream || other.sequence <= attempt.sequence);
        if !is_meant || !is_last {
            continue;
        }
        let Some(events) = events_until(&attempt.events, last_event) else {
            match attempt.ended {
                true => continue,
                // Its caller may have got the event meanwhile.
                false => return None,
            }
        };
        if resumed.as_ref().is_some_and(|other| other.events != events) {
            return None;
        }
        resumed = Some(Resumed {
            stream: attempt.stream,
            sequence: attempt.sequence,
            events,
        });
    }
    resumed
}
