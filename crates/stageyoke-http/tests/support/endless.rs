//! Service that sends bytes without end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes of one write, and the time between two. Together they limit what a client without a
/// limit receives until its timeout.
const WRITE_BYTES: usize = 32 * 1024;
const WRITE_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes that a service sends first, and those that it repeats without end.
#[derive(Clone, Copy, Debug)]
pub struct Endless {
    pub start: &'static str,
    pub repeated: &'static str,
}

pub const CHUNKED: Endless = Endless {
    start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "10\r\n0123456789abcdef\r\n",
};

async fn serve_connection(mut stream: TcpStream, endless: Endless, open: Rc<Cell<usize>>) {
    let mut request = [0; 1024];
    let Ok(1..) = stream.read(&mut request).await else {
        return;
    };
    open.set(open.get() + 1);
    let repeated = endless
        .repeated
        .repeat(WRITE_BYTES / endless.repeated.len());
    let mut sent = stream.write_all(endless.start.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(repeated.as_bytes()).await;
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
    open.set(open.get() - 1);
}

/// Starts a service that answers each request without end; returns its address and the number
/// of the connections on which it is sending.
pub async fn start_endless_service(endless: Endless) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let open = Rc::new(Cell::new(0));
    let counted = open.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve_connection(stream, endless, counted.clone()));
        }
    });
    (address, open)
}
