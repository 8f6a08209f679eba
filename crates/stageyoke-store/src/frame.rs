//! Frames of a connection: a length, a binary message and its extension fields.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use crate::extension::ExtensionFields;
use crate::message::Numbered;

const LENGTH_BYTES: usize = 4;
/// Capacity reserved for extension fields, which fits those of most frames; growing the
/// buffer would double it.
const EXTENSION_FIELDS_CAPACITY: usize = 64;
/// Size from which no further frame is written in the same call.
const MAX_COMBINED_BYTES: usize = 64 * 1024;
/// Memory reserved for a frame before its content arrives.
const INITIAL_CAPACITY: usize = 64 * 1024;
/// Bytes of a frame that must arrive within the progress interval, unless fewer complete it.
const MIN_PROGRESS_BYTES: usize = 4 * 1024;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Time from the start of a frame after which it is given up: longer than any call waits.
const MAX_FRAME_TIME: Duration = Duration::from_secs(30);
/// Largest accepted frame.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Encodes a message as a frame without extension fields.
pub fn encode<T: SerBin>(message: &T) -> Vec<u8> {
    encode_with_fields(message, &ExtensionFields::default())
}

/// Encodes a message and its extension fields as a frame.
pub fn encode_with_fields<T: SerBin>(message: &T, extension_fields: &ExtensionFields) -> Vec<u8> {
    let mut bytes = vec![0_u8; LENGTH_BYTES];
    message.ser_bin(&mut bytes);
    extension_fields.encode(&mut bytes);
    write_length_prefix(&mut bytes);
    bytes
}

/// Returns whether the reader of an encoded frame accepts it.
pub fn fits(frame: &[u8]) -> bool {
    frame.len() <= LENGTH_BYTES + MAX_FRAME_BYTES
}

fn write_length_prefix(frame: &mut [u8]) {
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
}

/// An encoded message that can be sent on multiple connections.
#[derive(Clone, Debug)]
pub struct EncodedMessage(Rc<Vec<u8>>);

impl EncodedMessage {
    /// Encodes a message.
    pub fn encode<T: SerBin>(content: &T) -> Self {
        Self(Rc::new(content.serialize_bin()))
    }

    /// Encodes a message of about `size` bytes, without growing the buffer for it.
    pub fn encode_with_capacity<T: SerBin>(content: &T, size: usize) -> Self {
        let mut bytes = Vec::with_capacity(size);
        content.ser_bin(&mut bytes);
        Self(Rc::new(bytes))
    }

    /// Builds the frame of this message with a number and extension fields.
    pub fn frame(&self, number: u64, extension_fields: &ExtensionFields) -> SharedFrame {
        let mut tail = Vec::with_capacity(EXTENSION_FIELDS_CAPACITY);
        extension_fields.encode(&mut tail);
        let length = size_of::<u64>() + self.0.len() + tail.len();
        let mut head = (length as u32).to_le_bytes().to_vec();
        number.ser_bin(&mut head);
        SharedFrame {
            head,
            message: self.clone(),
            tail,
        }
    }
}

/// Frame that can be queued for a connection.
pub trait QueuedFrame {
    /// Returns the bytes of the frame in the order in which they are written.
    fn parts(&self) -> [&[u8]; 3];

    /// Returns the size of the frame.
    fn size(&self) -> usize {
        self.parts().iter().map(|part| part.len()).sum()
    }
}

impl<T: AsRef<[u8]>> QueuedFrame for T {
    fn parts(&self) -> [&[u8]; 3] {
        [self.as_ref(), &[], &[]]
    }
}

/// Frame whose message is shared with the frames for other connections.
#[derive(Clone, Debug)]
pub struct SharedFrame {
    head: Vec<u8>,
    message: EncodedMessage,
    tail: Vec<u8>,
}

impl SharedFrame {
    /// Returns a copy of the whole frame.
    pub fn to_vec(&self) -> Vec<u8> {
        self.parts().concat()
    }
}

impl QueuedFrame for SharedFrame {
    fn parts(&self) -> [&[u8]; 3] {
        [&self.head, &self.message.0, &self.tail]
    }
}

/// A received message and its extension fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Received<T> {
    /// The numbered message.
    pub message: Numbered<T>,
    /// Extension fields that follow the message.
    pub extension_fields: ExtensionFields,
}

/// Writes queued frames, several small ones in one call. Large parts are not copied. Each frame is
/// dropped once it is written.
pub async fn write_queued_frames<T: QueuedFrame>(
    mut writer: impl AsyncWrite + Unpin,
    mut frames: UnboundedReceiver<T>,
) -> io::Result<()> {
    while let Some(first) = frames.recv().await {
        let mut bytes = first.size();
        let mut queued = vec![first];
        while bytes < MAX_COMBINED_BYTES
            && let Ok(next) = frames.try_recv()
        {
            bytes += next.size();
            queued.push(next);
        }
        let mut combined = Vec::new();
        for part in queued.iter().flat_map(QueuedFrame::parts) {
            if part.len() < MAX_COMBINED_BYTES {
                combined.extend_from_slice(part);
                continue;
            }
            writer.write_all(&combined).await?;
            combined.clear();
            writer.write_all(part).await?;
        }
        writer.write_all(&combined).await?;
    }
    Ok(())
}

/// Reads one frame and ignores its extension fields.
pub async fn read<T: DeBin>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let content = read_content(stream).await?;
    T::deserialize_bin(&content).map_err(|_| malformed())
}

/// Reads one frame and its extension fields.
pub async fn read_with_fields<T: DeBin>(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<Received<T>> {
    let content = read_content(stream).await?;
    let mut offset = 0;
    let message = Numbered::de_bin(&mut offset, &content).map_err(|_| malformed())?;
    let extension_fields = ExtensionFields::decode(offset, &content).map_err(|_| malformed())?;
    Ok(Received {
        message,
        extension_fields,
    })
}

async fn read_content(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let mut prefix = [0_u8; LENGTH_BYTES];
    // A connection may be idle between two frames.
    stream.read_exact(&mut prefix[..1]).await?;
    let deadline = Instant::now() + MAX_FRAME_TIME;
    within_interval(deadline, stream.read_exact(&mut prefix[1..])).await?;
    let length = u32::from_le_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(invalid("frame too long"));
    }
    let mut content = Vec::with_capacity(length.min(INITIAL_CAPACITY));
    let mut rest = stream.take(length as u64);
    while content.len() < length {
        let target = length.min(content.len() + MIN_PROGRESS_BYTES);
        within_interval(deadline, read_up_to(&mut rest, &mut content, target)).await?;
    }
    Ok(content)
}

/// Appends to `content` until it has at least `target` bytes.
async fn read_up_to(
    stream: &mut (impl AsyncRead + Unpin),
    content: &mut Vec<u8>,
    target: usize,
) -> io::Result<()> {
    while content.len() < target {
        if stream.read_buf(content).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

/// Waits for a part of a frame, up to the progress interval and the frame's deadline.
async fn within_interval<T>(
    deadline: Instant,
    reading: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let until = deadline.min(Instant::now() + PROGRESS_INTERVAL);
    let read = tokio::time::timeout_at(until, reading).await;
    read.unwrap_or_else(|_| Err(invalid("frame incomplete for too long")))
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

fn malformed() -> io::Error {
    invalid("malformed frame")
}

/// Logs why a connection to a peer ends if the received data was invalid.
pub fn log_read_error(peer: &str, error: &io::Error) {
    if error.kind() == io::ErrorKind::InvalidData {
        let detail = format!("peer={peer} reason={error}");
        observe::record_event(Event::PeerRefused, &detail);
    }
}
