//! Bodies of the front's answers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::memory::Held;

/// An answer that ends before it is complete; the connection is cut so that
/// it cannot look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutShort;

impl fmt::Display for CutShort {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was cut short")
    }
}

impl std::error::Error for CutShort {}

/// A piece of a relayed stream.
pub type Piece = Result<Bytes, CutShort>;

/// The body of an answer.
pub enum FrontBody {
    /// All at once, with what it holds of the front's memory until it is written.
    Whole(Option<Bytes>, Option<Held>),
    /// As pieces come; the sender's end without an error completes it.
    Pieces(mpsc::Receiver<Piece>),
}

impl FrontBody {
    /// A body with this content.
    pub fn whole(content: impl Into<Bytes>) -> Self {
        Self::Whole(Some(content.into()), None)
    }

    /// The same body, holding memory until it is dropped.
    pub fn holding(self, held: Held) -> Self {
        match self {
            Self::Whole(content, _) => Self::Whole(content, Some(held)),
            pieces @ Self::Pieces(_) => pieces,
        }
    }
}

impl Body for FrontBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        match &mut *self {
            Self::Whole(content, _) => {
                let rest = content.take().filter(|content| !content.is_empty());
                Poll::Ready(rest.map(|content| Ok(Frame::data(content))))
            }
            Self::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(content, _) => content.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(content, _) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |content| content.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
