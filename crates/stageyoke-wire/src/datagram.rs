//! Single datagrams: version, sender, receiver, message, keyed digest.

use nanoserde::{DeBin, SerBin};
use stageyoke_core::message::PeerMessage;
use stageyoke_types::NodeId;

use crate::{ClusterKey, PROTOCOL_VERSION, TAG_BYTES, WireError};

const HEADER_BYTES: usize = 1 + 8;

/// Bytes that a datagram adds to its message.
pub const DATAGRAM_OVERHEAD: usize = HEADER_BYTES + TAG_BYTES;

/// A datagram that was checked and decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Sender.
    pub from: NodeId,
    /// Message.
    pub message: PeerMessage,
}

/// Encodes a message and signs it.
pub fn seal_datagram(from: NodeId, message: &PeerMessage, key: &ClusterKey) -> Vec<u8> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend_from_slice(&from.0.to_le_bytes());
    message.ser_bin(&mut bytes);
    let tag = key.tag(&bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Checks a datagram and decodes it.
pub fn open_datagram(bytes: &[u8], key: &ClusterKey) -> Result<Datagram, WireError> {
    if bytes.len() < DATAGRAM_OVERHEAD {
        return Err(WireError::TooShort);
    }
    if bytes[0] != PROTOCOL_VERSION {
        return Err(WireError::WrongVersion);
    }
    let (content, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    if key.tag(content) != tag {
        return Err(WireError::WrongKey);
    }
    let mut sender = [0_u8; 8];
    sender.copy_from_slice(&content[1..HEADER_BYTES]);
    let message =
        PeerMessage::deserialize_bin(&content[HEADER_BYTES..]).map_err(|_| WireError::Malformed)?;
    Ok(Datagram {
        from: NodeId(u64::from_le_bytes(sender)),
        message,
    })
}
