//! HTTP client for short calls to one service, with pooled connections. A call without a
//! response closes all idle connections, because they may have failed with it.

pub mod durations;
pub mod json_file;
mod lenient_list;
mod response_limits;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::{NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use stageyoke_directory::{KeyValueError, TransferTimeouts, wait_for_transfer};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

pub use lenient_list::LenientList;
use response_limits::{BodyMemory, HeadLimit, HeadLimitedStream, MAX_HEAD_BYTES};

/// Maximum transfer time of a response, in addition to the idle timeout of the call.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Error returned when a call gets no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request could not be built; nothing was sent.
    Malformed,
    /// The connection failed or the call timed out. The service may have processed the call.
    NoAnswer,
    /// The response exceeds a limit on its bytes, and the connection was closed. The service may
    /// have processed the call.
    ResponseTooLarge,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "malformed",
            Self::NoAnswer => "no_answer",
            Self::ResponseTooLarge => "response_too_large",
        })
    }
}

impl std::error::Error for CallError {}

impl From<CallError> for KeyValueError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Malformed => Self::Refused,
            CallError::NoAnswer => Self::NoAnswer,
            CallError::ResponseTooLarge => Self::AnswerTooLarge,
        }
    }
}

/// Response to a call.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// Client of the service at one address. Must be used inside a `LocalSet`.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    received_bytes: Cell<u64>,
    body_memory: BodyMemory,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: Rc<HeadLimit>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the final head of its response.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.head_limit.start();
        let response = self.sender.send_request(request).await;
        self.head_limit.end();
        response.map_err(|error| {
            match error.is_parse_too_large() || self.head_limit.is_exceeded() {
                true => CallError::ResponseTooLarge,
                false => CallError::NoAnswer,
            }
        })
    }
}

/// Closes all idle connections if a call fails or is cancelled.
struct CloseIdleOnDrop<'a>(&'a RefCell<Vec<Connection>>);

impl Drop for CloseIdleOnDrop<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().clear();
    }
}

impl HttpClient {
    /// Creates a client of the service at `address`, whose responses have bodies of at most
    /// `max_body_bytes`. Connections are opened on demand.
    pub fn new(address: SocketAddr, max_body_bytes: usize) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            received_bytes: Cell::new(0),
            body_memory: BodyMemory::new(max_body_bytes),
        }
    }

    /// Returns the total number of response body bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Sends a request with a JSON body, which may be empty, and waits for the complete
    /// response. Fails if no data arrives for `idle_timeout`, or if the transfer exceeds its
    /// maximum time or size.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        idle_timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        // Data of other calls is no progress of this one.
        let received_bytes = Cell::new(0);
        let exchange = self.exchange(method, path, body, &received_bytes);
        let timeouts = TransferTimeouts {
            idle: idle_timeout,
            total: idle_timeout + MAX_TRANSFER_TIME,
        };
        let response = wait_for_transfer(exchange, timeouts, || received_bytes.get());
        response.await.ok_or(CallError::NoAnswer)?
    }

    async fn acquire_connection(&self) -> Result<Connection, CallError> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(connection) = idle.filter(|connection| connection.sender.is_ready()) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(self.address).await.map_err(no_answer)?;
        stageyoke_store::socket::configure(&stream);
        let head_limit = Rc::new(HeadLimit::default());
        let stream = HeadLimitedStream::new(stream, head_limit.clone());
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(no_answer)?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            head_limit,
            driver,
        })
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        received_bytes: &Cell<u64>,
    ) -> Result<HttpResponse, CallError> {
        let mut connection = self.acquire_connection().await?;
        let close_on_failure = CloseIdleOnDrop(&self.idle);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(CONTENT_TYPE, "application/json")
            .header(HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(|_| CallError::Malformed)?;
        let response = connection.send(request).await?;
        let status = response.status();
        let body = self.read_body(response.into_body(), received_bytes).await?;
        std::mem::forget(close_on_failure);
        self.idle.borrow_mut().push(connection);
        Ok(HttpResponse { status, body })
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        received_bytes: &Cell<u64>,
    ) -> Result<Bytes, CallError> {
        let mut share = self.body_memory.share();
        share.check_length(body.size_hint().lower())?;
        let mut content = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(no_answer)?.into_data() {
                let bytes = data.len() as u64;
                received_bytes.set(received_bytes.get() + bytes);
                self.received_bytes.set(self.received_bytes.get() + bytes);
                share.add(data.len())?;
                content.extend_from_slice(&data);
            }
        }
        Ok(content.freeze())
    }
}

/// Maps any connection error to `NoAnswer`, because the service may have processed the call.
fn no_answer<E>(_: E) -> CallError {
    CallError::NoAnswer
}

/// Percent-encodes text for use in a query string.
pub fn percent_encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, NON_ALPHANUMERIC)
}
