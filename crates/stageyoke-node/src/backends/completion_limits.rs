//! What the stream of a completion may have, by the most tokens that the call allows.

/// Text of one token. The longest tokens of common vocabularies have half of it.
const MAX_TOKEN_BYTES: usize = 256;
/// Most bytes of a byte of text in JSON (`\u00xx`).
const ESCAPED_BYTES: usize = 6;
/// Fields of an event beside its text.
const MAX_EVENT_FIELD_BYTES: usize = 64 << 10;
/// Fields beside the text of an ordinary event, of which there may be one for each token.
const EVENT_FIELD_BYTES: usize = 1 << 10;
/// Comments that keep the connection alive, and events without text.
const IDLE_BYTES: usize = 16 << 20;
/// Text of a completion and length of one event, also where more tokens are allowed.
const MAX_BYTES: usize = 16 << 20;

/// Limits of one completion's stream.
#[derive(Clone, Copy, Debug)]
pub struct CompletionLimits {
    /// Bytes of text.
    pub text_bytes: usize,
    /// Bytes of one line.
    pub line_bytes: usize,
    /// Bytes of the whole stream.
    pub stream_bytes: usize,
}

impl CompletionLimits {
    /// Returns the limits of a completion of this many tokens.
    pub fn of(max_tokens: u32) -> Self {
        let tokens = max_tokens as usize;
        let text_bytes = tokens.saturating_mul(MAX_TOKEN_BYTES).min(MAX_BYTES);
        let encoded_bytes = text_bytes * ESCAPED_BYTES;
        let field_bytes = tokens.saturating_mul(EVENT_FIELD_BYTES);
        Self {
            text_bytes,
            line_bytes: (encoded_bytes + MAX_EVENT_FIELD_BYTES).min(MAX_BYTES),
            stream_bytes: (IDLE_BYTES + encoded_bytes).saturating_add(field_bytes),
        }
    }
}
