//! Waits for the start of a stream. Its head is held until its first event has arrived and the
//! turn's reservation is known to be stored, since a caller that has no head yet can still get a
//! whole answer.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use stageyoke_directory::{Interpreter, KeyValueService};
use stageyoke_framing::Framing;
use stageyoke_observe::RequestSummary;
use stageyoke_types::ErrorKind;
use tokio::time::Instant;

use crate::dispatch::{ANSWERED, DispatchedResponse, REPLICA_ENDED, deadline_exceeded};
use crate::event_stream::is_inside_event;
use crate::failure::Failure;
use crate::front::Front;
use crate::handler::RequestContext;
use crate::health::Evidence;
use crate::history::Reservation;
use crate::memory_budget::MemoryGuard;
use crate::received_stream::{KeptOutput, ReceivedStream, StreamExcess, StreamLimits};
use crate::replica::Replica;

/// Outcome of a stream that the replica did not complete.
pub(crate) const TRUNCATED: &str = "replica_broke_off";
/// Outcome of a stream, or of an attempt, whose time is over.
pub(crate) const TIME_OUT: &str = "time_out";
/// Outcome of an attempt whose replica may be of another version than the one that is recorded.
const VERSION_UNCERTAIN: &str = "version_uncertain";

/// State at a stream's first event.
pub struct FirstEvent {
    /// Time of its arrival.
    pub at: Instant,
    /// Requests in flight at the replica, including this one.
    pub in_flight: u32,
}

/// Part of a stream that was read before its head is forwarded.
pub struct StreamStart {
    /// What was received of the stream.
    pub received: ReceivedStream,
    /// First events; `None` if the stream has ended regularly without any.
    pub first: Option<(Bytes, FirstEvent)>,
}

/// Reason why a stream has not started.
pub(crate) enum StartFailure {
    /// The response cannot be used, but another replica's might be.
    Unusable(UnusableStream),
    /// No replica's response can be used.
    Final {
        /// Outcome of the attempt.
        outcome: &'static str,
        /// Failure of the request.
        failure: Failure,
    },
}

/// Stream that is not forwarded because of its replica.
pub(crate) struct UnusableStream {
    cause: &'static str,
    evidence: Option<Evidence>,
}

impl UnusableStream {
    /// Records what the stream says about its replica, and returns the outcome of the attempt.
    pub(crate) async fn record(self, replica: &Replica) -> &'static str {
        if let Some(evidence) = self.evidence {
            replica.record(evidence);
        }
        let is_lost = self.evidence == Some(Evidence::Lost);
        match is_lost && replica.has_ended(Instant::now()).await {
            true => REPLICA_ENDED,
            false => self.cause,
        }
    }
}

impl StartFailure {
    fn broken_off() -> Self {
        Self::Unusable(UnusableStream {
            cause: TRUNCATED,
            evidence: Some(Evidence::Lost),
        })
    }

    fn given_up(excess: StreamExcess) -> Self {
        let outcome = excess.outcome();
        match excess {
            StreamExcess::TooLarge => Self::Unusable(UnusableStream {
                cause: outcome,
                evidence: Some(Evidence::Failed),
            }),
            // Another replica's stream would find no memory either.
            StreamExcess::NoMemory => Self::Final {
                outcome,
                failure: Failure::permanent(ErrorKind::OutcomeUnknown, outcome),
            },
        }
    }

    fn deadline_exceeded() -> Self {
        Self::Final {
            outcome: TIME_OUT,
            failure: deadline_exceeded(),
        }
    }
}

impl StreamStart {
    /// Creates the start of a request's stream of which nothing was read.
    pub(crate) fn new(context: &RequestContext, memory: MemoryGuard) -> Self {
        // Only engines' events are tokens.
        let limits = match context.service.engine {
            Some(_) => StreamLimits::of_turn(context.parameters.max_tokens),
            None => StreamLimits::of_event_feed(),
        };
        let kept = match (&context.attempt, context.route.stores_history) {
            (Some(attempt), _) => KeptOutput::Events(attempt.earlier_events.clone()),
            (None, true) => KeptOutput::Data,
            (None, false) => KeptOutput::Nothing,
        };
        Self {
            received: ReceivedStream::new(limits, kept, memory),
            first: None,
        }
    }

    /// Reads a stream up to its first complete event or its regular end.
    async fn read(
        &mut self,
        body: &mut Incoming,
        framing: Framing,
        replica: &Replica,
    ) -> Result<(), StartFailure> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| StartFailure::broken_off())?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let complete_events = self.received.push(data);
            if let Some(events) = complete_events.map_err(StartFailure::given_up)? {
                let first = FirstEvent {
                    at: Instant::now(),
                    in_flight: replica.requests_in_flight(),
                };
                self.first = Some((events, first));
                return Ok(());
            }
        }
        match framing == Framing::Connection || is_inside_event(self.received.remainder()) {
            true => Err(StartFailure::broken_off()),
            false => Ok(()),
        }
    }
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Waits until a response may be forwarded. Plain ones may be at once.
    pub(crate) async fn start_response(
        &self,
        context: &mut RequestContext,
        response: DispatchedResponse,
        summary: &mut RequestSummary,
        reservation: &mut Option<Reservation>,
    ) -> Result<DispatchedResponse, StartFailure> {
        let DispatchedResponse::Stream(mut reply, uncached_tokens, mut start) = response else {
            return Ok(response);
        };
        self.begin_version(context, &reply.replica, summary)?;
        let deadline = context.outbound.deadline;
        let framing = Framing::of(&reply.response);
        let reading = start.read(reply.response.body_mut(), framing, &reply.replica);
        tokio::time::timeout_at(deadline, reading)
            .await
            .map_err(|_| StartFailure::deadline_exceeded())??;
        check_reservation(reservation, deadline, &reply.replica, summary).await?;
        Ok(DispatchedResponse::Stream(reply, uncached_tokens, start))
    }

    /// Starts to record the version that begins the stream. Once that is under way, further
    /// attempts use this version only, as the caller would continue the stream with it.
    fn begin_version(
        &self,
        context: &mut RequestContext,
        replica: &Replica,
        summary: &mut RequestSummary,
    ) -> Result<(), StartFailure> {
        if context.version_record.is_some() {
            return match replica.is_removed() {
                true => Err(StartFailure::Unusable(UnusableStream {
                    cause: VERSION_UNCERTAIN,
                    evidence: None,
                })),
                false => Ok(()),
            };
        }
        context.version_record = self.record_version(context, replica, summary);
        if context.version_record.is_some() {
            context.required_version = Some(replica.record.software_version.clone());
        }
        Ok(())
    }
}

/// Waits until the turn's reservation is stored, since no output may be forwarded before that.
async fn check_reservation(
    reservation: &mut Option<Reservation>,
    deadline: Instant,
    replica: &Replica,
    summary: &mut RequestSummary,
) -> Result<(), StartFailure> {
    let pending = reservation
        .as_mut()
        .and_then(Reservation::take_pending_check);
    let Some(check) = pending else {
        return Ok(());
    };
    match tokio::time::timeout_at(deadline, check.wait(summary)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(cause)) => {
            replica.record(Evidence::Sound);
            // The replica has begun the turn, so no status may promise that it did not run.
            Err(StartFailure::Final {
                outcome: ANSWERED,
                failure: Failure::permanent(ErrorKind::OutcomeUnknown, cause),
            })
        }
        Err(_) => Err(StartFailure::deadline_exceeded()),
    }
}
