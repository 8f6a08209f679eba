//! Connections to application replicas that carry a single request.

use std::io;
use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, Uri, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::http_client::{CONNECT_TIMEOUT, limit_informational_heads};
use super::{Body, RequestError};

/// A new connection, which the replica does not close for having been idle.
pub struct NewConnection {
    sender: SendRequest<Body>,
    replica: SocketAddr,
}

impl NewConnection {
    /// Opens a connection to a replica.
    pub async fn open(replica: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(replica);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        let handshake = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(async move {
            // Its end shows in the response.
            let _ = connection.await;
        });
        Ok(Self { sender, replica })
    }

    /// Sends the request and waits for the head of its response.
    pub async fn send(
        mut self,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, RequestError> {
        let path = request.uri().path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
        if let Ok(host) = header::HeaderValue::from_str(&self.replica.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        limit_informational_heads(request, |request| self.sender.send_request(request)).await
    }
}
