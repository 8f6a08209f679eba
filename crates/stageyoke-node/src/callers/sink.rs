//! Where a call's text and final answer go: to the task that holds the
//! caller's connection.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use stageyoke_core::gateway::{CallAnswer, Failure};
use stageyoke_types::{ErrorKind, RequestId};
use tokio::sync::{mpsc, oneshot};

/// Pieces of text that may wait for a slow reader.
const WAITING_PIECES: usize = 64;

/// The driver's side of a held call.
pub struct CallSink {
    text: TextSink,
    announce: Option<oneshot::Sender<RequestId>>,
    answer: oneshot::Sender<CallAnswer>,
}

/// The caller's side.
pub struct CallSource {
    /// Text as it comes.
    pub text: mpsc::Receiver<String>,
    /// The gateway's name for the call, once it has one.
    pub request: oneshot::Receiver<RequestId>,
    /// The final answer.
    pub answer: oneshot::Receiver<CallAnswer>,
}

/// Both sides for a new call. A reader that leaves pieces unread for longer
/// than `stall` counts as gone.
pub fn channel(stall: Duration) -> (CallSink, CallSource) {
    let (pieces, text) = mpsc::channel(WAITING_PIECES);
    let (announce, request) = oneshot::channel();
    let (answer, answered) = oneshot::channel();
    let sink = CallSink {
        text: TextSink {
            pieces: Some(pieces),
            delivered: Arc::default(),
            stall,
        },
        announce: Some(announce),
        answer,
    };
    let source = CallSource {
        text,
        request,
        answer: answered,
    };
    (sink, source)
}

impl CallSink {
    /// A further way for text, for one attempt.
    pub fn text(&self) -> TextSink {
        self.text.clone()
    }

    /// Tells the caller's side the gateway's name for the call.
    pub fn announce(&mut self, request: RequestId) {
        if let Some(announce) = self.announce.take() {
            let _ = announce.send(request);
        }
    }

    /// Gives the final answer.
    pub fn finish(self, answer: CallAnswer) {
        let _ = self.answer.send(answer);
    }

    /// Gives a refusal of work that was not run.
    pub fn refuse(self, kind: ErrorKind) {
        self.finish(CallAnswer::Failed(Failure::not_run(kind, "")));
    }
}

/// Takes the text of a call's attempts, one after another.
#[derive(Clone, Default)]
pub struct TextSink {
    pieces: Option<mpsc::Sender<String>>,
    delivered: Arc<Mutex<String>>,
    stall: Duration,
}

impl TextSink {
    /// All text so far.
    pub fn delivered(&self) -> String {
        match self.delivered.lock() {
            Ok(delivered) => delivered.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Adds text, waiting while the reader is slow. Text for a reader that has
    /// gone is still kept, for the record.
    pub async fn push(&mut self, text: &str) {
        if let Ok(mut delivered) = self.delivered.lock() {
            delivered.push_str(text);
        }
        let Some(pieces) = &self.pieces else {
            return;
        };
        let sent = tokio::time::timeout(self.stall, pieces.send(text.to_owned())).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.pieces = None;
        }
    }
}
