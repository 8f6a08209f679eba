//! A back end that answers with bytes that never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Requests with this in their head get a short answer on a connection that stays open.
const CALM: &str = "calm";
const CALM_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Bytes written at once at full speed.
const WRITE_BYTES: usize = 64 << 10;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What is sent without end.
#[derive(Clone, Debug)]
pub struct Flood {
    /// Sent once.
    pub head: String,
    /// Sent again and again.
    pub piece: &'static str,
    /// Pause after each piece; none for full speed.
    pub pause: Option<Duration>,
}

/// A back end on a raw socket.
pub struct FloodingServer {
    /// Its address.
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    sent_bytes: AtomicUsize,
    begun: AtomicUsize,
    closed: AtomicUsize,
}

impl FloodingServer {
    /// Starts a server.
    pub async fn start(flood: Flood) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let counts: Arc<Counts> = Arc::default();
        let shared = counts.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, flood.clone(), shared.clone()));
            }
        });
        Self { address, counts }
    }

    /// Returns how many bytes of floods were written to sockets.
    pub fn sent_bytes(&self) -> usize {
        self.counts.sent_bytes.load(Ordering::Relaxed)
    }

    /// Asserts that a flood has begun, and that the connections of all floods are closed in time.
    pub async fn assert_closed_within(&self, limit: Duration) {
        let counts = &self.counts;
        let waiting = async {
            let mut begun = counts.begun.load(Ordering::Relaxed);
            while begun == 0 || counts.closed.load(Ordering::Relaxed) < begun {
                tokio::time::sleep(POLL_INTERVAL).await;
                begun = counts.begun.load(Ordering::Relaxed);
            }
        };
        let closed = tokio::time::timeout(limit, waiting).await;
        closed.expect("the back end's connection must be closed");
    }
}

async fn serve(mut stream: TcpStream, flood: Flood, counts: Arc<Counts>) {
    let mut request = [0; 4096];
    loop {
        let length = stream.read(&mut request).await.unwrap_or_default();
        if length == 0 {
            return;
        }
        if !String::from_utf8_lossy(&request[..length]).contains(CALM) {
            break;
        }
        if stream.write_all(CALM_ANSWER).await.is_err() {
            return;
        }
    }
    counts.begun.fetch_add(1, Ordering::Relaxed);
    // Ends with an error once the other side has closed the connection.
    let _ = send_flood(&mut stream, flood, &counts).await;
    counts.closed.fetch_add(1, Ordering::Relaxed);
}

async fn send_flood(stream: &mut TcpStream, flood: Flood, counts: &Counts) -> std::io::Result<()> {
    let repetitions = match flood.pause {
        Some(_) => 1,
        None => (WRITE_BYTES / flood.piece.len()).max(1),
    };
    let piece = flood.piece.repeat(repetitions);
    stream.write_all(flood.head.as_bytes()).await?;
    loop {
        stream.write_all(piece.as_bytes()).await?;
        counts.sent_bytes.fetch_add(piece.len(), Ordering::Relaxed);
        match flood.pause {
            Some(pause) => tokio::time::sleep(pause).await,
            None => tokio::task::yield_now().await,
        }
    }
}
