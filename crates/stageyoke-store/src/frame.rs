//! Frames on a connection: a length, a binary message, and the fields behind it.

use std::io;
use std::rc::Rc;

use nanoserde::{DeBin, SerBin};
use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::extension::ExtensionFields;
use crate::message::Numbered;

const LENGTH_BYTES: usize = 4;
/// Room for the fields that most frames carry: a frame that outgrew its memory would take
/// twice as much.
const FIELDS_ROOM: usize = 64;
/// Longest frame accepted.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Encodes one message as a frame.
pub fn encode<T: SerBin>(message: &T) -> Vec<u8> {
    encode_with_fields(message, &ExtensionFields::default())
}

/// Encodes one message as a frame, with fields behind it.
pub fn encode_with_fields<T: SerBin>(message: &T, extensions: &ExtensionFields) -> Vec<u8> {
    let mut bytes = vec![0_u8; LENGTH_BYTES];
    message.ser_bin(&mut bytes);
    extensions.encode(&mut bytes);
    note_length(&mut bytes);
    bytes
}

fn note_length(frame: &mut [u8]) {
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
}

/// A message's content, encoded once for several connections.
#[derive(Clone, Debug)]
pub struct EncodedMessage(Rc<[u8]>);

impl EncodedMessage {
    /// Encodes the content.
    pub fn encode<T: SerBin>(content: &T) -> Self {
        Self(content.serialize_bin().into())
    }

    /// The frame of this content under a number, with fields behind it.
    pub fn frame(&self, number: u64, extensions: &ExtensionFields) -> Vec<u8> {
        let message = LENGTH_BYTES + size_of::<u64>() + self.0.len();
        let mut bytes = Vec::with_capacity(message + FIELDS_ROOM);
        bytes.extend_from_slice(&[0; LENGTH_BYTES]);
        number.ser_bin(&mut bytes);
        bytes.extend_from_slice(&self.0);
        extensions.encode(&mut bytes);
        note_length(&mut bytes);
        bytes
    }
}

/// A message with the fields behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct Received<T> {
    /// The message.
    pub message: Numbered<T>,
    /// What travelled behind it.
    pub extension_fields: ExtensionFields,
}

/// Writes what waits, all of it in one go. What holds a frame's bytes is dropped
/// once they are written.
pub async fn write_queued_frames<T: AsRef<[u8]>>(
    mut writer: impl AsyncWrite + Unpin,
    mut outbox: UnboundedReceiver<T>,
) -> io::Result<()> {
    while let Some(first) = outbox.recv().await {
        let mut waiting = vec![first];
        while let Ok(more) = outbox.try_recv() {
            waiting.push(more);
        }
        match waiting.as_slice() {
            [only] => writer.write_all(only.as_ref()).await?,
            several => {
                let frames: Vec<&[u8]> = several.iter().map(AsRef::as_ref).collect();
                writer.write_all(&frames.concat()).await?;
            }
        }
    }
    Ok(())
}

/// Reads one frame, and leaves what stands behind its message.
pub async fn read<T: DeBin>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let content = read_content(stream).await?;
    T::deserialize_bin(&content).map_err(|_| malformed())
}

/// Reads one frame with the fields behind its message.
pub async fn read_with_fields<T: DeBin>(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<Received<T>> {
    let content = read_content(stream).await?;
    let mut offset = 0;
    let message = Numbered::de_bin(&mut offset, &content).map_err(|_| malformed())?;
    let extensions = ExtensionFields::decode(offset, &content).map_err(|_| malformed())?;
    Ok(Received {
        message,
        extension_fields: extensions,
    })
}

async fn read_content(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let mut prefix = [0_u8; LENGTH_BYTES];
    stream.read_exact(&mut prefix).await?;
    let length = u32::from_le_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut content = Vec::new();
    stream.take(length as u64).read_to_end(&mut content).await?;
    if content.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(content)
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "malformed frame")
}

/// Says why a connection with a peer ends, if what came from it could not be read.
pub fn log_read_error(peer: &str, error: &io::Error) {
    if error.kind() == io::ErrorKind::InvalidData {
        let detail = format!("peer={peer} reason={error}");
        observe::record_event(Event::PeerRefused, &detail);
    }
}
