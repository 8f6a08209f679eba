//! Messages on a connection: a length, a version and the encoded message.

use nanoserde::{DeBin, SerBin};
use stageyoke_core::message::PeerMessage;

use crate::{PROTOCOL_VERSION, WireError};

const LENGTH_BYTES: usize = 4;

/// Bytes that a frame adds to its message.
pub const FRAME_OVERHEAD: usize = LENGTH_BYTES + 1;
/// Longest frame accepted: a shard's snapshot with its programs' histories.
pub const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;

/// Encodes one message as a frame.
pub fn encode_frame(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = vec![0_u8; LENGTH_BYTES];
    bytes.push(PROTOCOL_VERSION);
    message.ser_bin(&mut bytes);
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Takes a connection's bytes in any pieces and gives whole messages.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    consumed: usize,
}

impl FrameDecoder {
    /// Adds bytes as they arrive.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one. After an error the connection
    /// is of no more use.
    pub fn next_message(&mut self) -> Result<Option<PeerMessage>, WireError> {
        let rest = &self.buffer[self.consumed..];
        let Some(prefix) = rest.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let mut length = [0_u8; LENGTH_BYTES];
        length.copy_from_slice(prefix);
        let length = u32::from_le_bytes(length) as usize;
        if length == 0 {
            return Err(WireError::TooShort);
        }
        if length > MAX_FRAME_BYTES {
            return Err(WireError::TooLong);
        }
        let Some(content) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        if content[0] != PROTOCOL_VERSION {
            return Err(WireError::WrongVersion);
        }
        let message =
            PeerMessage::deserialize_bin(&content[1..]).map_err(|_| WireError::Malformed)?;
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(message))
    }
}
