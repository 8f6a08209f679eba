//! An application replica on a raw socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time until what was written has been passed on.
const SETTLING: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What the replica does with its connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closes it, as after a whole response and as a crashed process does.
    Close,
    /// Resets it.
    Reset,
    /// Leaves it open and says nothing more.
    Silence,
    /// Leaves it open and closes it as soon as another request arrives on it.
    CloseAtNextRequest,
}

/// A replica that sends one response again and again.
pub struct Replica {
    /// Its address.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Replica {
    /// Starts a replica.
    pub async fn start(response: &str, end: End) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let requests: Arc<AtomicUsize> = Arc::default();
        let (response, count) = (response.to_owned(), requests.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, response.clone(), end, count.clone()));
            }
        });
        Self { address, requests }
    }

    /// Returns how many requests were read.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Waits until so many requests have arrived.
    pub async fn wait_for_requests(&self, count: usize) {
        while self.requests() < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn respond(mut stream: TcpStream, response: String, end: End, requests: Arc<AtomicUsize>) {
    let mut request = [0; 4096];
    if !matches!(stream.read(&mut request).await, Ok(1..)) {
        return;
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let _ = stream.write_all(response.as_bytes()).await;
    match end {
        End::Close => {}
        End::Reset => {
            tokio::time::sleep(SETTLING).await;
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        End::Silence | End::CloseAtNextRequest => {
            // Ends with the next request, or when the node closes the connection.
            let _ = stream.read(&mut request).await;
        }
    }
}
