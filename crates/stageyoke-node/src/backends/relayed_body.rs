//! Body of a replica's response on its way to the caller. A response that is not whole, or of
//! which this can't be known, ends with an error, which the server turns into an end that callers
//! don't take as complete.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::Version;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use stageyoke_framing::Framing;
use tokio::time::Sleep;

use super::BodyError;
use super::run_limits::Run;

/// Time between the last data and the reset of an HTTP/2 stream, which discards what has not been
/// written to the connection yet.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// Why a response is not passed on as complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncompleteResponse {
    /// The replica sent nothing for too long.
    Silent,
    /// The response ended with the replica's connection, and the caller's protocol can't say so.
    UnknownEnd,
}

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Silent => "the replica fell silent within its response",
            Self::UnknownEnd => "whether the replica's response is whole is unknown",
        })
    }
}

impl std::error::Error for IncompleteResponse {}

/// Body of a replica's response.
pub struct RelayedBody {
    replica: Incoming,
    framing: Framing,
    is_http2: bool,
    max_silence: Duration,
    /// The run whose end is not recorded yet; `None` if it needs not be.
    run: Option<Run>,
    /// Runs while the replica's next data is awaited.
    silence: Option<Pin<Box<Sleep>>>,
    /// Error that ends the body once the delay is over.
    failure: Option<(Pin<Box<Sleep>>, BodyError)>,
}

impl RelayedBody {
    /// Wraps the body of a response to a caller of this protocol version. It fails when the
    /// replica sends nothing for longer than `max_silence`.
    pub fn new(
        replica: Incoming,
        framing: Framing,
        caller: Version,
        run: Option<Run>,
        max_silence: Duration,
    ) -> Self {
        Self {
            replica,
            framing,
            is_http2: caller == Version::HTTP_2,
            max_silence,
            run,
            silence: None,
            failure: None,
        }
    }

    /// Records the end of the run, if this is the last frame. The end of a connection may be the
    /// end of the replica too.
    fn record_end(&mut self, frame: &Option<hyper::Result<Frame<Bytes>>>) {
        let is_lost = match frame {
            Some(Ok(_)) => return,
            Some(Err(_)) => true,
            None => self.framing == Framing::Connection,
        };
        match self.run.take() {
            Some(run) if is_lost => run.record_lost(),
            Some(run) => run.record_completed(),
            None => {}
        }
    }

    fn poll_replica(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.replica).poll_frame(context) {
            self.silence = None;
            self.record_end(&frame);
            let unknown_end = self.is_http2 && self.framing == Framing::Connection;
            return Poll::Ready(match frame {
                Some(frame) => Some(frame.map_err(Into::into)),
                None if unknown_end => Some(Err(IncompleteResponse::UnknownEnd.into())),
                None => None,
            });
        }
        let max_silence = self.max_silence;
        let silence = self
            .silence
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(max_silence)));
        ready!(silence.as_mut().poll(context));
        Poll::Ready(Some(Err(IncompleteResponse::Silent.into())))
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.failure.is_none() {
            match ready!(self.poll_replica(context)) {
                Some(Err(error)) if self.is_http2 => {
                    let delay = Box::pin(tokio::time::sleep(RESET_DELAY));
                    self.failure = Some((delay, error));
                }
                frame => return Poll::Ready(frame),
            }
        }
        if let Some((delay, _)) = &mut self.failure {
            ready!(delay.as_mut().poll(context));
        }
        Poll::Ready(self.failure.take().map(|(_, error)| Err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.replica.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.replica.size_hint()
    }
}
