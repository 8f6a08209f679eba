//! A body whose pieces another task sends. Pieces and a failure go through one
//! queue, so that the end is seen only after the last piece. The channel of
//! `http-body-util` (0.1.5) has its end beside the queue: where the sender is
//! dropped between the two looks of its reader, the last piece is lost and the
//! body looks complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame};
use tokio::sync::mpsc;

/// The reader has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderGone;

/// Sends pieces; the body ends when it is dropped.
pub struct PieceSender<E>(mpsc::Sender<Result<Bytes, E>>);

/// The pieces, as a body.
pub struct PieceBody<E>(mpsc::Receiver<Result<Bytes, E>>);

/// Both sides; so many pieces may wait for a slow reader.
pub fn channel<E>(waiting: usize) -> (PieceSender<E>, PieceBody<E>) {
    let (sender, receiver) = mpsc::channel(waiting);
    (PieceSender(sender), PieceBody(receiver))
}

impl<E> PieceSender<E> {
    /// Sends a piece, waiting while the reader is slow.
    pub async fn send_data(&mut self, piece: Bytes) -> Result<(), ReaderGone> {
        self.0.send(Ok(piece)).await.map_err(|_| ReaderGone)
    }

    /// Ends the body as incomplete.
    pub async fn abort(self, error: E) {
        // A reader that has gone needs no end.
        let _ = self.0.send(Err(error)).await;
    }
}

impl<E> Body for PieceBody<E> {
    type Data = Bytes;
    type Error = E;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, E>>> {
        let piece = self.0.poll_recv(context);
        piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}
