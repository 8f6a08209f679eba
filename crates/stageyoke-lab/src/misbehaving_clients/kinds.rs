//! What each kind of client sends.

use std::sync::LazyLock;
use std::time::Duration;

use hyper::body::Bytes;

use crate::soak::promises::{ExpectedRequest, Promises};
use crate::standins::platform::{
    HOST, NON_IDEMPOTENT_TOOL_PATH, STORED_TURN_PATH, TOKENS_PER_EVENT, names,
};

/// Path of readiness probes.
pub const READINESS_PATH: &str = "/-/readiness";
/// Path that no route matches.
const UNROUTED_PATH: &str = "/nowhere/write";
/// Size of the largest legal body.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Size of a body far over the limit.
const OVERSIZED_BODY_BYTES: usize = 1024 * 1024 * 1024;
/// Size of the largest legal head.
const MAX_HEAD_BYTES: usize = 16_384;
/// Part of the largest legal head that is left for its end.
const HEAD_END_BYTES: usize = 400;
const ORDINARY_DEADLINE_MS: u64 = 4000;
const LONG_DEADLINE_MS: u64 = 3_600_000;
/// Size of each piece of a body that is sent in pieces.
const PIECE_BYTES: usize = 700;
const REQUESTS_AHEAD: usize = 4000;
/// Sizes of bodies of which clients send half.
const HALF_BODY_BYTES: [usize; 4] = [MAX_BODY_BYTES, 60_000, 1500, 100];

static LARGEST_BODY: LazyLock<Bytes> = LazyLock::new(|| Bytes::from(vec![b'b'; MAX_BODY_BYTES]));

/// Path of a front that clients send to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A route whose requests may run once.
    Route,
    /// A route whose turns are stored.
    StoredTurns,
    /// A path without a route.
    NoRoute,
    /// The listener for readiness probes.
    Readiness,
}

impl Target {
    fn path(self) -> &'static str {
        match self {
            Self::Route => NON_IDEMPOTENT_TOOL_PATH,
            Self::StoredTurns => STORED_TURN_PATH,
            Self::NoRoute => UNROUTED_PATH,
            Self::Readiness => READINESS_PATH,
        }
    }
}

/// What a client does on each of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Sends a body far over the limit, as fast as it is read.
    OversizedBody,
    /// Sends chunks without end, as fast as they are read.
    EndlessChunks,
    /// Sends a largest body in chunks of one byte.
    OneByteChunks,
    /// Sends a largest body at once.
    WholeBody,
    /// Sends a largest body in small pieces.
    BodyInPieces,
    /// Sends half of a body and waits.
    HalfBody,
    /// Sends the first kilobyte of a largest body and waits.
    BodyStart,
    /// Sends a body of legal size, some bytes at a time.
    SlowBody,
    /// Sends a large head, and goes on byte by byte.
    SlowHead,
    /// Sends the start of a request line.
    RequestLineStart,
    /// Sends nothing.
    Idle,
    /// Sends a head of legal size with very many fields, and half of a body.
    ManyFields,
    /// Sends many requests, and reads no response.
    RequestsAhead,
    /// Sends requests whose identifiers are as long as a head allows.
    LongIdentifiers,
}

/// When a client reads responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// At any time.
    WhileSending,
    /// Once everything is sent.
    AfterSending,
    /// Never.
    Never,
}

/// What one connection sends, and whether it reads.
pub struct SentBytes {
    /// Bytes that are sent at once.
    pub opening: Bytes,
    /// Bytes that are sent again and again afterwards.
    pub repeated: Bytes,
    /// Number of times that they are sent.
    pub repetitions: usize,
    /// Pause before each time.
    pub pause: Duration,
    /// When responses are read.
    pub reading: Reading,
    /// Identifier of the request, if it is a single one.
    pub request_id: Option<String>,
}

fn draw_identifier() -> String {
    format!("{:016x}", rand::random::<u64>())
}

fn head(target: Target, identifier: &str, deadline_ms: u64, framing: &str) -> String {
    let path = target.path();
    let method = match target {
        Target::Readiness => "GET",
        _ => "POST",
    };
    let turn = match target {
        Target::StoredTurns => {
            let (program, budget) = (names::PROGRAM_ID, names::TOKEN_BUDGET);
            let tokens = names::TOKEN_COUNTS;
            format!(
                "{program}: p{identifier}\r\n{budget}: 1000\r\n{tokens}: 10,{TOKENS_PER_EVENT}\r\n"
            )
        }
        _ => String::new(),
    };
    let (request_id, deadline) = (names::REQUEST_ID, names::DEADLINE_MS);
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{request_id}: {identifier}\r\n\
         {deadline}: {deadline_ms}\r\n{turn}{framing}"
    )
}

fn content_length(bytes: usize) -> String {
    format!("content-length: {bytes}\r\n\r\n")
}

/// Fields that fill a head up to the largest legal size.
fn short_fields(head_bytes: usize) -> String {
    let mut fields = String::new();
    for number in 0u32.. {
        let field = format!("{number:x}:\r\n");
        if head_bytes + fields.len() + field.len() + HEAD_END_BYTES > MAX_HEAD_BYTES {
            break;
        }
        fields.push_str(&field);
    }
    fields
}

impl ClientKind {
    /// All kinds.
    pub const ALL: [Self; 14] = [
        Self::OversizedBody,
        Self::EndlessChunks,
        Self::OneByteChunks,
        Self::WholeBody,
        Self::BodyInPieces,
        Self::HalfBody,
        Self::BodyStart,
        Self::SlowBody,
        Self::SlowHead,
        Self::RequestLineStart,
        Self::Idle,
        Self::ManyFields,
        Self::RequestsAhead,
        Self::LongIdentifiers,
    ];

    /// Returns how many clients of this kind a crowd has.
    pub fn crowd_size(self) -> usize {
        match self {
            Self::OversizedBody | Self::EndlessChunks | Self::WholeBody => 150,
            Self::OneByteChunks => 60,
            Self::BodyStart => 20,
            Self::RequestsAhead => 200,
            Self::BodyInPieces | Self::LongIdentifiers => 300,
            Self::HalfBody | Self::SlowBody | Self::ManyFields => 1500,
            Self::SlowHead => 3500,
            Self::RequestLineStart | Self::Idle => 6000,
        }
    }

    /// Returns whether a client sends one whole request of legal size on each connection, so that
    /// each connection must end with a response.
    pub fn sends_whole_requests(self) -> bool {
        matches!(
            self,
            Self::WholeBody | Self::BodyInPieces | Self::LongIdentifiers
        )
    }

    /// Returns what the next connection sends, and tells `promises` what may run of it.
    pub fn next_request(self, target: Target, promises: &Promises) -> SentBytes {
        let identifier = draw_identifier();
        let sent = self.build(target, &identifier);
        let body = match self {
            Self::WholeBody | Self::BodyInPieces | Self::OneByteChunks => LARGEST_BODY.clone(),
            _ => Bytes::new(),
        };
        let expected = ExpectedRequest {
            body,
            repeatable: self == Self::RequestsAhead,
        };
        let request = sent.request_id.as_ref().unwrap_or(&identifier);
        promises.record_request(request, expected);
        sent
    }

    fn build(self, target: Target, identifier: &str) -> SentBytes {
        let ordinary = |framing: &str| head(target, identifier, ORDINARY_DEADLINE_MS, framing);
        let patient = |framing: &str| head(target, identifier, LONG_DEADLINE_MS, framing);
        let mut sent = SentBytes {
            opening: Bytes::new(),
            repeated: Bytes::new(),
            repetitions: 0,
            pause: Duration::ZERO,
            reading: match self.sends_whole_requests() {
                true => Reading::AfterSending,
                false => Reading::WhileSending,
            },
            request_id: Some(identifier.to_owned()),
        };
        let opening = match self {
            Self::OversizedBody => {
                sent.repeated = Bytes::from_static(&[b'o'; 65536]);
                sent.repetitions = OVERSIZED_BODY_BYTES / 65536;
                ordinary(&content_length(OVERSIZED_BODY_BYTES))
            }
            Self::EndlessChunks => {
                let chunk = format!("4000\r\n{}\r\n", "e".repeat(0x4000));
                sent.repeated = Bytes::from(chunk);
                sent.repetitions = OVERSIZED_BODY_BYTES / 0x4000;
                ordinary("transfer-encoding: chunked\r\n\r\n")
            }
            Self::OneByteChunks => {
                const CHUNKS: usize = 1024;
                sent.repeated = Bytes::from("1\r\nb\r\n".repeat(CHUNKS));
                sent.repetitions = MAX_BODY_BYTES / CHUNKS;
                ordinary("transfer-encoding: chunked\r\n\r\n")
            }
            Self::WholeBody => {
                sent.repeated = LARGEST_BODY.clone();
                sent.repetitions = 1;
                ordinary(&content_length(MAX_BODY_BYTES))
            }
            Self::BodyInPieces => {
                sent.repeated = LARGEST_BODY.slice(..PIECE_BYTES);
                sent.repetitions = MAX_BODY_BYTES / PIECE_BYTES;
                let rest = MAX_BODY_BYTES % PIECE_BYTES;
                ordinary(&content_length(MAX_BODY_BYTES)) + &"b".repeat(rest)
            }
            Self::HalfBody => {
                let size = HALF_BODY_BYTES[rand::random_range(0..HALF_BODY_BYTES.len())];
                patient(&content_length(size)) + &"h".repeat(size / 2)
            }
            Self::BodyStart => patient(&content_length(MAX_BODY_BYTES)) + &"s".repeat(1000),
            Self::SlowBody => {
                sent.repeated = Bytes::from_static(&[b's'; 50]);
                sent.repetitions = 1000;
                sent.pause = Duration::from_millis(500);
                patient(&content_length(60_000))
            }
            Self::SlowHead => {
                sent.repeated = Bytes::from_static(b"x");
                sent.repetitions = 1000;
                sent.pause = Duration::from_secs(1);
                let start = ordinary("x-padding: ");
                let padding = "p".repeat(MAX_HEAD_BYTES / 2 - start.len());
                start + &padding
            }
            Self::RequestLineStart => {
                sent.request_id = None;
                "GET / HT".to_owned()
            }
            Self::Idle => {
                sent.request_id = None;
                String::new()
            }
            Self::ManyFields => {
                let start = patient("");
                let fields = short_fields(start.len());
                start + &fields + &content_length(1000) + &"f".repeat(500)
            }
            Self::RequestsAhead => {
                sent.request_id = None;
                sent.reading = Reading::Never;
                sent.repeated = Bytes::from(ordinary(&content_length(0)));
                sent.repetitions = REQUESTS_AHEAD;
                String::new()
            }
            Self::LongIdentifiers => {
                let long = format!("{identifier}{}", "i".repeat(MAX_HEAD_BYTES / 3));
                sent.request_id = Some(long.clone());
                let program = match target {
                    Target::StoredTurns => String::new(),
                    _ => format!("{}: {long}\r\n", names::PROGRAM_ID),
                };
                head(target, &long, ORDINARY_DEADLINE_MS, &program) + &content_length(0)
            }
        };
        sent.opening = Bytes::from(opening);
        sent
    }
}
