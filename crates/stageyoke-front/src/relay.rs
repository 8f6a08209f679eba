//! Passes a stream on, event by event, and ends it only once what must be kept
//! of it is kept.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::body::{CutShort, Piece};
use crate::engine_rates::TurnTiming;
use crate::events::{EventSplitter, collect_data};
use crate::health::Evidence;
use crate::history::{History, Reservation, turn_record};
use crate::memory::Held;
use crate::replica::{InFlight, Replica};
use crate::request::KeptIdentifiers;
use crate::upstream::Connection;
use stageyoke_observe::{self as observe, RequestStory as Story};

/// Pieces that wait for a caller who reads slowly.
pub const PIECES_AHEAD: usize = 16;

/// Outcome of a stream that the replica did not end.
const BROKE_OFF: &str = "replica_broke_off";

/// What is kept of a stream.
pub struct Keeping {
    /// Where turns are kept.
    pub history: Rc<History>,
    /// The turn's own input, if its history is kept.
    pub input: Option<Bytes>,
    /// How long it is kept.
    pub retention: Duration,
    /// The turn's reservation, if its program has a budget.
    pub reservation: Option<Reservation>,
    /// Tokens in one event.
    pub tokens_per_event: u32,
}

/// What carries a stream: closed when dropped, which stops the replica.
pub struct Carrier {
    /// Connection to the replica.
    pub connection: Connection,
    /// The replica.
    pub replica: Rc<Replica>,
    /// Counts the request as under way.
    pub guard: InFlight,
    /// When the request was sent there.
    pub sent: Instant,
    /// Tokens of the prompt that the replica was believed not to hold.
    pub missing_tokens: u32,
}

impl Carrier {
    /// Times of a turn that ended now.
    fn timing(&self, first_event: &EventMark, generated_tokens: u32) -> TurnTiming {
        let beside = |under_way: u32| f64::from(under_way.saturating_sub(1));
        let at_end = self.replica.under_way();
        TurnTiming {
            to_first_event: first_event.at - self.sent,
            missing_tokens: self.missing_tokens,
            generating: first_event.at.elapsed(),
            generated_tokens,
            running: (beside(first_event.under_way) + beside(at_end)) / 2.0,
            queued: first_event.under_way > self.replica.record.slots,
        }
    }
}

/// The moment of a stream's first event.
struct EventMark {
    at: Instant,
    /// Requests under way at the replica, this one among them.
    under_way: u32,
}

/// A stream on its way to the caller.
pub struct Relay {
    /// Identifiers under which the turn is kept.
    pub kept: KeptIdentifiers,
    /// Most tokens of the turn.
    pub most_tokens: u32,
    /// The replica's answer; its body is relayed apart.
    pub answer: Carrier,
    /// What is kept.
    pub keeping: Keeping,
    /// When the stream is cut.
    pub deadline: Instant,
    /// What is logged at the end.
    pub story: Story,
    /// When the request arrived.
    pub arrived: Instant,
    /// What the request holds of the front's memory, until the stream has ended.
    pub _held: Held,
}

enum End {
    Whole,
    CallerLeft,
    Cut(&'static str),
}

#[derive(Default)]
struct Heard {
    output: Vec<u8>,
    events: u32,
    first: Option<EventMark>,
}

impl Relay {
    /// Relays until the end; `pieces` is the caller's side.
    pub async fn run(mut self, mut body: Incoming, pieces: mpsc::Sender<Piece>) {
        let mut heard = Heard::default();
        let end = match self.pass_on(&mut body, &pieces, &mut heard).await {
            End::Whole => {
                self.learn(&heard);
                self.keep(heard).await
            }
            other => other,
        };
        self.finish(&end, &pieces).await;
    }

    /// Learns the engine's rates from a turn that ran to its end.
    fn learn(&self, heard: &Heard) {
        let Some(first) = &heard.first else {
            return;
        };
        let later_events = heard.events.saturating_sub(1);
        let generated = later_events.saturating_mul(self.keeping.tokens_per_event);
        let timing = self.answer.timing(first, generated);
        self.answer.replica.note_turn(&timing);
    }

    async fn pass_on(
        &mut self,
        body: &mut Incoming,
        pieces: &mpsc::Sender<Piece>,
        heard: &mut Heard,
    ) -> End {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = pieces.closed() => return End::CallerLeft,
                () = tokio::time::sleep_until(self.deadline) => return End::Cut("time_out"),
            };
            let whole = match frame {
                None => {
                    let rest = splitter.rest();
                    if !rest.is_empty() && pieces.send(Ok(rest)).await.is_err() {
                        return End::CallerLeft;
                    }
                    return End::Whole;
                }
                Some(Err(_)) => return End::Cut(BROKE_OFF),
                Some(Ok(frame)) => frame.data_ref().and_then(|data| splitter.push(data)),
            };
            if let Some(events) = whole {
                heard.first.get_or_insert_with(|| EventMark {
                    at: Instant::now(),
                    under_way: self.answer.replica.under_way(),
                });
                heard.events += collect_data(&events, &mut heard.output);
                let sending = tokio::time::timeout_at(self.deadline, pieces.send(Ok(events)));
                match sending.await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return End::CallerLeft,
                    Err(_) => return End::Cut("time_out"),
                }
            }
        }
    }

    /// Keeps what must be kept before the caller sees the end.
    async fn keep(&mut self, heard: Heard) -> End {
        let generated = heard.events.saturating_mul(self.keeping.tokens_per_event);
        let used = match self.most_tokens {
            0 => generated,
            most => generated.min(most),
        };
        let Some(input) = self.keeping.input.take() else {
            if let Some(reservation) = &mut self.keeping.reservation {
                reservation.settle(used);
            }
            return End::Whole;
        };
        let retention = self.keeping.retention;
        let record = turn_record(&self.kept, input, heard.output, used, retention);
        let began = Instant::now();
        let kept = self.keeping.history.commit(record, self.deadline).await;
        self.story.keeping = began.elapsed().as_millis() as u64;
        if let Some(reservation) = &mut self.keeping.reservation {
            reservation.is_recorded();
        }
        match kept {
            Ok(()) => End::Whole,
            Err(_) => End::Cut("not_kept"),
        }
    }

    async fn finish(self, end: &End, pieces: &mpsc::Sender<Piece>) {
        let mut story = self.story;
        story.outcome = match end {
            End::Whole => "streamed",
            End::CallerLeft => "caller_left",
            End::Cut(reason) => reason,
        };
        if !matches!(end, End::Whole) {
            story.status = 0;
        }
        observe::request_ended(&story, self.arrived.elapsed());
        match end {
            End::Whole => self.answer.replica.pool.give(self.answer.connection),
            End::CallerLeft => {}
            End::Cut(reason) => {
                if *reason == BROKE_OFF {
                    self.answer.replica.note(Evidence::Lost);
                }
                let _ = pieces.send(Err(CutShort)).await;
            }
        }
    }
}
