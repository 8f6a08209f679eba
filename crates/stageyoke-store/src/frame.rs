//! Frames on a connection: a length and a binary message.

use std::io;
use std::rc::Rc;

use nanoserde::{DeBin, SerBin};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedReceiver;

const LENGTH_BYTES: usize = 4;
/// Longest frame accepted.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Encodes one message as a frame.
pub fn encode<T: SerBin>(message: &T) -> Vec<u8> {
    let mut bytes = vec![0_u8; LENGTH_BYTES];
    message.ser_bin(&mut bytes);
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// A message's content, encoded once for several connections.
#[derive(Clone, Debug)]
pub struct Encoded(Rc<[u8]>);

impl Encoded {
    /// Encodes the content.
    pub fn of<T: SerBin>(content: &T) -> Self {
        Self(content.serialize_bin().into())
    }

    /// The frame of this content under a number: what `encode` makes of
    /// `Numbered`.
    pub fn frame(&self, number: u64) -> Vec<u8> {
        let length = size_of::<u64>() + self.0.len();
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
        bytes.extend_from_slice(&(length as u32).to_le_bytes());
        number.ser_bin(&mut bytes);
        bytes.extend_from_slice(&self.0);
        bytes
    }
}

/// Writes what waits, all of it in one go. What holds a frame's bytes is dropped
/// once they are written.
pub async fn write_waiting<T: AsRef<[u8]>>(
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

/// Reads one frame.
pub async fn read<T: DeBin>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
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
    T::deserialize_bin(&content)
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "malformed frame"))
}
