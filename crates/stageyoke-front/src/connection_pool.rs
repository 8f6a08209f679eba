//! Pool of connections to one replica, with one request at a time on each.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::replica_stream::{HeadAllowance, READ_BUFFER_BYTES, ReplicaStream};

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Margin before the end of the announced keep-alive timeout in which a connection is not
/// reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Keep-alive timeout for replicas that announce none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Connection to a replica.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_allowance: Rc<HeadAllowance>,
    driver: JoinHandle<()>,
    idle_since: Instant,
    keep_alive: Duration,
    /// Whether a response on it has echoed no identifier. A late copy of such a response can't be
    /// told from the response to a later request.
    had_unidentified_response: bool,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: &str) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stageyoke_store::socket::configure(&stream);
        stageyoke_observe::metrics().connections_opened.inc();
        let head_allowance: Rc<HeadAllowance> = Rc::default();
        let stream = ReplicaStream::new(stream, head_allowance.clone());
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            head_allowance,
            driver,
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            had_unidentified_response: false,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub async fn try_send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_allowance.renew();
        let response = self.sender.try_send_request(request).await?;
        self.head_allowance.suspend();
        Ok(response)
    }

    /// Returns whether the replica has sent too many bytes before a response.
    pub fn exceeded_head_allowance(&self) -> bool {
        self.head_allowance.is_exceeded()
    }

    /// Notes that a response has echoed no identifier.
    pub fn note_unidentified_response(&mut self) {
        self.had_unidentified_response = true;
    }

    fn is_reusable(&self) -> bool {
        let max_idle = self.keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        self.sender.is_ready() && self.idle_time() < max_idle
    }

    /// Returns the time since the last response.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Applies the keep-alive timeout announced in a response.
    pub fn apply_keep_alive(&mut self, response: &Response<Incoming>) {
        let announced = response
            .headers()
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.split(',').find_map(timeout_seconds));
        if let Some(seconds) = announced {
            self.keep_alive = Duration::from_secs(seconds);
        }
    }
}

fn timeout_seconds(parameter: &str) -> Option<u64> {
    parameter
        .trim()
        .strip_prefix("timeout=")?
        .trim()
        .parse()
        .ok()
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket immediately, so that the replica stops its work.
        self.driver.abort();
    }
}

/// What an idle connection must meet to carry a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReuseRequirements {
    /// Maximum idle time; `None` if unlimited.
    pub max_idle: Option<Duration>,
    /// Whether all earlier responses must have echoed the identifiers of their requests.
    pub only_identified_responses: bool,
}

impl ReuseRequirements {
    fn allow(&self, connection: &Connection) -> bool {
        let idle_too_long = self
            .max_idle
            .is_some_and(|limit| connection.idle_time() > limit);
        let is_ambiguous = self.only_identified_responses && connection.had_unidentified_response;
        !idle_too_long && !is_ambiguous
    }
}

/// Idle connections of one replica, used last in, first out.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<Vec<Connection>>,
}

impl ConnectionPool {
    /// Takes the newest reusable connection that meets the requirements.
    pub fn acquire(&self, requirements: ReuseRequirements) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(Connection::is_reusable);
        let newest = idle
            .iter()
            .rposition(|connection| requirements.allow(connection))?;
        Some(idle.remove(newest))
    }

    /// Returns whether a reusable connection is idle.
    pub fn has_idle(&self) -> bool {
        self.idle.borrow().iter().any(Connection::is_reusable)
    }

    /// Returns a connection to the pool, unless it is closed.
    pub fn release(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().push(connection);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
