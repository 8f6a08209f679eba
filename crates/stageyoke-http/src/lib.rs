//! Short HTTP calls to one service. Connections are kept between calls, and none
//! of them is trusted any more once a call got no answer: what silenced one may
//! have silenced all.

pub mod durations;
pub mod json_file;
mod lenient_list;

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::{NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

pub use lenient_list::LenientList;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call can't be put into a request; nothing was sent.
    Malformed,
    /// The connection failed or the time ran out: it may have been done.
    NoAnswer,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "malformed",
            Self::NoAnswer => "no_answer",
        })
    }
}

impl std::error::Error for CallError {}

/// What was answered.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// A service at one address. Needs a local task set.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Ends the resting connections when a call gets no answer or is given up.
struct Doubt<'a>(&'a RefCell<Vec<Connection>>);

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().clear();
    }
}

impl HttpClient {
    /// The service at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    /// Makes a call with a JSON body, which may be empty.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<HttpResponse, CallError> {
        let calling = self.exchange(method, path, body);
        let answered = tokio::time::timeout(within, calling).await;
        answered.map_err(no_answer)?
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let kept = self.idle.borrow_mut().pop();
        if let Some(connection) = kept.filter(|connection| connection.sender.is_ready()) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(self.address).await.map_err(no_answer)?;
        stageyoke_store::socket::configure(&stream);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(no_answer)?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Connection { sender, driver })
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, CallError> {
        let mut connection = self.connect().await?;
        let doubt = Doubt(&self.idle);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(CONTENT_TYPE, "application/json")
            .header(HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(|_| CallError::Malformed)?;
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(no_answer)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(no_answer)?.to_bytes();
        std::mem::forget(doubt);
        self.idle.borrow_mut().push(connection);
        Ok(HttpResponse { status, body })
    }
}

/// Whatever went wrong, the call may have been done.
fn no_answer<E>(_: E) -> CallError {
    CallError::NoAnswer
}

/// Escapes what has a meaning in a query.
pub fn percent_encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, NON_ALPHANUMERIC)
}
