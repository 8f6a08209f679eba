//! One connection between two nodes: a greeting that proves knowledge of the
//! cluster key, then frames in one direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use stageyoke_core::node::Input;
use stageyoke_types::NodeId;
use stageyoke_wire::{FrameDecoder, PROTOCOL_VERSION, TAG_BYTES};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::PeerContext;
use crate::driver::{Command, DriverHandle};

/// Longest time for connecting and greeting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that may wait for one peer; beyond, messages are dropped.
const QUEUE_BYTES: usize = 256 << 20;
/// Bytes gathered into one write.
const WRITE_BYTES: usize = 256 << 10;
/// Bytes read at once.
const READ_BYTES: usize = 64 << 10;
const GREETING_BYTES: usize = 1 + 8 + 8 + TAG_BYTES;

trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}
impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// An outgoing connection and the frames that wait for it.
pub struct Link {
    address: SocketAddr,
    life: u16,
    frames: mpsc::UnboundedSender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
}

impl Link {
    /// Opens a connection in the background.
    pub fn open(
        context: PeerContext,
        address: SocketAddr,
        life: u16,
        runtime: &tokio::runtime::Handle,
    ) -> Self {
        let (frames, receiver) = mpsc::unbounded_channel();
        let queued = Arc::new(AtomicUsize::new(0));
        runtime.spawn(write_frames(context, address, receiver, queued.clone()));
        Self {
            address,
            life,
            frames,
            queued,
        }
    }

    /// True if it leads to this life of the node at this address. What an
    /// earlier life left open may swallow everything.
    pub fn leads_to(&self, address: SocketAddr, life: u16) -> bool {
        self.address == address && self.life == life
    }

    /// True if the connection broke.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Queues a frame, or drops it if too much waits already.
    pub fn send(&self, frame: Vec<u8>) {
        let length = frame.len();
        if self.queued.load(Ordering::Relaxed) + length > QUEUE_BYTES {
            return;
        }
        self.queued.fetch_add(length, Ordering::Relaxed);
        let _ = self.frames.send(frame);
    }
}

async fn write_frames(
    context: PeerContext,
    address: SocketAddr,
    mut frames: mpsc::UnboundedReceiver<Vec<u8>>,
    queued: Arc<AtomicUsize>,
) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(&context, address)).await;
    let Ok(Ok(mut stream)) = connected else {
        return;
    };
    while let Some(first) = frames.recv().await {
        let mut batch = first;
        while batch.len() < WRITE_BYTES {
            let Ok(next) = frames.try_recv() else {
                break;
            };
            batch.extend_from_slice(&next);
        }
        queued.fetch_sub(batch.len(), Ordering::Relaxed);
        let written = async {
            stream.write_all(&batch).await?;
            stream.flush().await
        };
        if written.await.is_err() {
            return;
        }
    }
}

async fn connect(
    context: &PeerContext,
    address: SocketAddr,
) -> std::io::Result<Box<dyn PeerStream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut stream: Box<dyn PeerStream> = match &context.tls {
        Some(tls) => Box::new(tls.connect(stream).await?),
        None => Box::new(stream),
    };
    stream.write_all(&greeting(context)).await?;
    Ok(stream)
}

/// Version, sender, a random number, and a keyed digest over them.
fn greeting(context: &PeerContext) -> Vec<u8> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend_from_slice(&context.id.0.to_le_bytes());
    bytes.extend_from_slice(&rand::random::<u64>().to_le_bytes());
    let tag = context.key.tag(&bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Serves an incoming connection until it ends. An error is a reason to refuse
/// the peer.
pub(super) async fn serve(
    context: &PeerContext,
    stream: TcpStream,
    driver: DriverHandle,
) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let greeted = tokio::time::timeout(CONNECT_TIMEOUT, accept(context, stream)).await;
    let (mut stream, from) = greeted.map_err(|_| "greeting_timeout".to_owned())??;
    let mut decoder = FrameDecoder::default();
    let mut buffer = vec![0_u8; READ_BYTES];
    loop {
        let length = match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Ok(()),
            Ok(length) => length,
        };
        decoder.extend(&buffer[..length]);
        while let Some(message) = decoder.next_message().map_err(|error| error.to_string())? {
            context.count(message.name(), "received", 0);
            driver.send(Command::Input(Input::Peer { from, message }));
        }
    }
}

async fn accept(
    context: &PeerContext,
    stream: TcpStream,
) -> Result<(Box<dyn PeerStream>, NodeId), String> {
    let mut stream: Box<dyn PeerStream> = match &context.tls {
        Some(tls) => {
            let accepted = tls.accept(stream).await;
            Box::new(accepted.map_err(|_| "tls_handshake".to_owned())?)
        }
        None => Box::new(stream),
    };
    let mut greeting = [0_u8; GREETING_BYTES];
    let read = stream.read_exact(&mut greeting).await;
    read.map_err(|_| "greeting_cut_short".to_owned())?;
    let (content, tag) = greeting.split_at(GREETING_BYTES - TAG_BYTES);
    if content[0] != PROTOCOL_VERSION {
        return Err("wrong_version".to_owned());
    }
    if context.key.tag(content) != tag {
        return Err("wrong_key".to_owned());
    }
    let mut id = [0_u8; 8];
    id.copy_from_slice(&content[1..9]);
    Ok((stream, NodeId(u64::from_le_bytes(id))))
}
