//! Frames between nodes: length, version, authentication, and the binary
//! encoding of [`PeerMessage`].
//!
//! Every datagram carries a keyed digest over its content, and is checked
//! before a byte of it is decoded. Connections are authenticated by the
//! transport; their frames carry a length limit and a version.

mod datagram;
mod frame;

pub use datagram::{DATAGRAM_OVERHEAD, Datagram, open_datagram, seal_datagram};
pub use frame::{FRAME_OVERHEAD, FrameDecoder, MAX_FRAME_BYTES, encode_frame};

pub use stageyoke_core::message::PeerMessage;

/// Version of the internal protocol. A peer of another version is refused.
pub const PROTOCOL_VERSION: u8 = 1;

/// Why bytes from the network were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// Fewer bytes than the smallest message.
    TooShort,
    /// A declared length beyond the limit.
    TooLong,
    /// Another version of the protocol.
    WrongVersion,
    /// The keyed digest does not match: another cluster, or tampering.
    WrongKey,
    /// The content does not decode.
    Malformed,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::TooShort => "too_short",
            Self::TooLong => "too_long",
            Self::WrongVersion => "wrong_version",
            Self::WrongKey => "wrong_key",
            Self::Malformed => "malformed",
        })
    }
}

/// The secret shared by the nodes of one cluster.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    /// Derives the key from the content of a key file.
    pub fn derive(content: &[u8]) -> Self {
        Self(blake3::derive_key("stageyoke cluster key v1", content))
    }

    /// Keyed digest of some bytes, cut to the length carried on the wire.
    pub fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let digest = blake3::keyed_hash(&self.0, content);
        let mut tag = [0_u8; TAG_BYTES];
        tag.copy_from_slice(&digest.as_bytes()[..TAG_BYTES]);
        tag
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

/// Bytes of a keyed digest on the wire.
pub const TAG_BYTES: usize = 16;
