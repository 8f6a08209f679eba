//! Answers without end: a replica in trouble sends bytes until its reader closes the connection.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::{Response, StatusCode, Version};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stageyoke_node::backends::{Body, BodyError};
use stageyoke_node::pieces::{self, PieceSender};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

use super::answers::{event, event_data};
use crate::soak::promises::Promises;

/// Size of one piece and the time between two: 5 MB/s.
const PIECE_BYTES: usize = 64 * 1024;
const PIECE_INTERVAL: Duration = Duration::from_millis(13);
/// Time after which a front that still reads is reported, and the stand-in stops: longer than
/// the deadline of any request.
pub const MAX_READ_TIME: Duration = Duration::from_secs(6);

/// What a replica sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessAnswer {
    /// A body in chunks.
    ChunkedBody,
    /// A body without a length or chunks.
    UnframedBody,
    /// The body of a server error.
    ServerError,
    /// The body of a rejection that says that the request was not run.
    Rejection,
    /// One event of a stream.
    Event,
    /// Events of a stream.
    Events,
    /// Comments of a stream.
    Comments,
}

/// Start of an answer that a replica sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessHead {
    /// Heads of interim responses.
    InterimHeads,
    /// One header.
    Header,
}

impl EndlessAnswer {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::ChunkedBody,
        Self::UnframedBody,
        Self::ServerError,
        Self::Rejection,
        Self::Event,
        Self::Events,
        Self::Comments,
    ];

    /// Draws a kind.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        Self::ALL[random.random_range(0..Self::ALL.len())]
    }

    fn status(self) -> StatusCode {
        match self {
            Self::ServerError => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Rejection => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        }
    }

    /// Starts an answer of this kind to a request.
    pub fn respond(self, request: &str, sending: SendingEndless) -> Response<Body> {
        let (sender, body) = pieces::channel::<BodyError>(1);
        let pieces = EndlessPieces {
            kind: self,
            request: request.to_owned(),
            sent_events: 0,
            has_started: false,
        };
        tokio::spawn(sending.send(pieces, sender));
        let mut response = Response::new(body.boxed());
        *response.status_mut() = self.status();
        if self == Self::UnframedBody {
            *response.version_mut() = Version::HTTP_10;
        }
        response
    }
}

/// The pieces of one answer.
struct EndlessPieces {
    kind: EndlessAnswer,
    request: String,
    sent_events: u32,
    has_started: bool,
}

impl EndlessPieces {
    fn next_piece(&mut self) -> Bytes {
        let is_first = !std::mem::replace(&mut self.has_started, true);
        let mut piece = String::with_capacity(PIECE_BYTES);
        if is_first && self.kind == EndlessAnswer::Event {
            piece.push_str("id: 0\ndata: ");
        }
        while piece.len() < PIECE_BYTES {
            match self.kind {
                EndlessAnswer::Events => {
                    let data = event_data(&self.request, self.sent_events);
                    piece.push_str(&event(self.sent_events, &data));
                    self.sent_events += 1;
                }
                EndlessAnswer::Comments => piece.push_str(": a comment\n\n"),
                _ => piece.push_str("0123456789abcdef"),
            }
        }
        piece.into()
    }
}

/// What an endless answer is reported to, and what it holds while it is sent.
pub struct SendingEndless {
    /// Receives a breach if the answer is read for too long.
    pub promises: std::sync::Arc<Promises>,
    /// Released when the answer is no longer sent.
    pub held: Box<dyn Send>,
}

impl SendingEndless {
    /// Sends pieces until the reader has gone, or for [`MAX_READ_TIME`].
    async fn send(self, mut pieces: EndlessPieces, mut sender: PieceSender<BodyError>) {
        let started_at = Instant::now();
        while sender.send_data(pieces.next_piece()).await.is_ok() {
            tokio::time::sleep(PIECE_INTERVAL).await;
            if started_at.elapsed() < MAX_READ_TIME {
                continue;
            }
            if self.promises.disturbances.bounds_apply() {
                let (request, kind) = (&pieces.request, pieces.kind);
                let breach = format!(
                    "{request}: an answer without end ({kind:?}) was still read after {MAX_READ_TIME:?}"
                );
                self.promises.report_breach(breach);
            }
            return sender.abort("an answer without end".into()).await;
        }
        drop(self.held);
    }
}

impl EndlessHead {
    /// Draws a kind.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        match random.random_bool(0.5) {
            true => Self::InterimHeads,
            false => Self::Header,
        }
    }

    /// Sends the head until the reader has gone, or for [`MAX_READ_TIME`].
    pub async fn send(self, writer: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
        let (start, repeated) = match self {
            Self::InterimHeads => ("", "HTTP/1.1 103 Early Hints\r\nlink: </style>\r\n\r\n"),
            Self::Header => ("HTTP/1.1 200 OK\r\nname: ", "0123456789abcdef"),
        };
        let piece = repeated.repeat(PIECE_BYTES / repeated.len());
        let started_at = Instant::now();
        writer.write_all(start.as_bytes()).await?;
        while started_at.elapsed() < MAX_READ_TIME {
            writer.write_all(piece.as_bytes()).await?;
            tokio::time::sleep(PIECE_INTERVAL).await;
        }
        Ok(())
    }
}
