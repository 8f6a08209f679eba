//! Stand-in for the platform's entry: clients of each zone keep connections to fronts of
//! their zone, and new connections go to fronts that answer readiness checks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::answers::ReceivedAnswer;

/// Path of the readiness checks.
const READINESS_PATH: &str = "/-/readiness";
/// Interval of the readiness checks, and the time limit of each.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed checks after which a front gets no new connections.
const MAX_FAILED_CHECKS: u32 = 2;

/// Connection of a client to a front.
type Sender = SendRequest<Full<Bytes>>;

/// Addresses of a front.
#[derive(Clone, Copy, Debug)]
pub struct FrontAddresses {
    /// Address for requests.
    pub requests: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Index of the zone.
    pub zone: usize,
}

/// Fronts and the open connections of all clients.
#[derive(Debug)]
pub struct Entry {
    fronts: Vec<FrontAddresses>,
    state: Mutex<EntryState>,
}

#[derive(Debug, Default)]
struct EntryState {
    failed_checks: HashMap<SocketAddr, u32>,
    idle: HashMap<usize, Vec<Sender>>,
}

impl Entry {
    /// Creates an entry without connections, in which all fronts count as ready.
    pub fn new(fronts: Vec<FrontAddresses>) -> Self {
        Self {
            fronts,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks all fronts until dropped.
    pub async fn check_fronts(self: Arc<Self>) {
        loop {
            let mut checks = JoinSet::new();
            for front in self.fronts.iter().copied() {
                checks.spawn(async move {
                    let check = tokio::time::timeout(CHECK_INTERVAL, is_ready(front.readiness));
                    (front.requests, check.await.unwrap_or(false))
                });
            }
            let pause = tokio::time::sleep(CHECK_INTERVAL);
            while let Some(Ok((front, ready))) = checks.join_next().await {
                let mut state = self.state();
                let failed = state.failed_checks.entry(front).or_default();
                *failed = if ready { 0 } else { *failed + 1 };
            }
            pause.await;
        }
    }

    /// Returns a random ready front of a zone; any front of the zone if none is ready.
    fn choose_front(&self, zone: usize) -> Option<SocketAddr> {
        let in_zone = self.fronts.iter().filter(|front| front.zone == zone);
        let all: Vec<SocketAddr> = in_zone.map(|front| front.requests).collect();
        let state = self.state();
        let is_ready = |front: &SocketAddr| {
            let failed = state.failed_checks.get(front).copied().unwrap_or_default();
            failed < MAX_FAILED_CHECKS
        };
        let ready: Vec<SocketAddr> = all.iter().copied().filter(is_ready).collect();
        drop(state);
        let candidates = if ready.is_empty() { all } else { ready };
        let count = candidates.len().max(1);
        candidates.get(rand::random_range(0..count)).copied()
    }

    /// Takes a random idle connection of the zone's clients that is still open.
    fn take_idle(&self, zone: usize) -> Option<Sender> {
        let mut state = self.state();
        let idle = state.idle.get_mut(&zone)?;
        idle.retain(SendRequest::is_ready);
        let count = idle.len();
        (count > 0).then(|| idle.swap_remove(rand::random_range(0..count)))
    }

    /// Sends a request over an open connection of the zone's clients, or a new one, and
    /// appends the response's body to `received`; `None` if the response is incomplete.
    pub async fn exchange(
        &self,
        zone: usize,
        request: Request<Full<Bytes>>,
        received: &mut ReceivedAnswer,
    ) -> Option<Response<()>> {
        let mut sender = match self.take_idle(zone) {
            Some(sender) => sender,
            None => connect(self.choose_front(zone)?).await?,
        };
        let response = sender.send_request(request).await.ok()?;
        let (head, mut body) = response.into_parts();
        received.record_head(&head);
        while let Some(frame) = body.frame().await {
            if let Some(data) = frame.ok()?.data_ref() {
                received.body.extend_from_slice(data);
            }
        }
        let mut state = self.state();
        state.idle.entry(zone).or_default().push(sender);
        Some(Response::from_parts(head, ()))
    }
}

/// Opens a connection; its task ends once the sender is dropped or the front closes it.
pub(super) async fn connect(front: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(front).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn is_ready(readiness: SocketAddr) -> bool {
    let request =
        format!("GET {READINESS_PATH} HTTP/1.1\r\nhost: lab\r\nconnection: close\r\n\r\n");
    let mut response = String::new();
    let exchange = async {
        let mut stream = TcpStream::connect(readiness).await?;
        stream.write_all(request.as_bytes()).await?;
        stream.read_to_string(&mut response).await
    };
    exchange.await.is_ok() && response.starts_with("HTTP/1.1 200")
}
