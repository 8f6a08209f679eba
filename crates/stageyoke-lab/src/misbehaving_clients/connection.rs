//! One connection of a client.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use super::kinds::{Reading, SentBytes};

/// Time that a new connection is given to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size from which a response's head is given up.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Status and promise of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// Status code.
    pub status: u16,
    /// Whether it tells when to come back.
    pub has_retry_delay: bool,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// With a response.
    Answered(ReceivedResponse),
    /// Reset without a response.
    Reset,
    /// Closed without a response.
    Closed,
    /// It did not come up.
    Unconnected,
    /// It was open when the client ended.
    Open,
}

/// Connects from this source address.
pub async fn connect(source: Ipv4Addr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(IpAddr::V4(source), 0))?;
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address));
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Opens a connection, sends, and waits for the response until `until`.
pub async fn run(
    source: Ipv4Addr,
    address: SocketAddr,
    sent: &SentBytes,
    until: Instant,
) -> ConnectionEnd {
    let Ok(stream) = connect(source, address).await else {
        return ConnectionEnd::Unconnected;
    };
    let (reader, writer) = stream.into_split();
    let exchange = async {
        match sent.reading {
            Reading::WhileSending => tokio::select! {
                end = send_and_wait(writer, sent) => end,
                end = receive(reader) => end,
            },
            Reading::AfterSending => receive_after_sending(reader, writer, sent).await,
            Reading::Never => tokio::select! {
                end = send_and_wait(writer, sent) => end,
                end = wait_for_reset(reader) => end,
            },
        }
    };
    let ended = tokio::time::timeout_at(until, exchange).await;
    ended.unwrap_or(ConnectionEnd::Open)
}

async fn send(writer: &mut OwnedWriteHalf, sent: &SentBytes) -> io::Result<()> {
    writer.write_all(&sent.opening).await?;
    for _ in 0..sent.repetitions {
        if !sent.pause.is_zero() {
            tokio::time::sleep(sent.pause).await;
        }
        writer.write_all(&sent.repeated).await?;
    }
    Ok(())
}

/// Sends everything, and keeps the connection open until this is dropped.
async fn send_and_wait(mut writer: OwnedWriteHalf, sent: &SentBytes) -> ConnectionEnd {
    let _ = send(&mut writer, sent).await;
    std::future::pending().await
}

/// Reads only once everything is sent, as simple clients do, which lose the response if that fails.
async fn receive_after_sending(
    reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    sent: &SentBytes,
) -> ConnectionEnd {
    match send(&mut writer, sent).await {
        Ok(()) => receive(reader).await,
        Err(_) => ConnectionEnd::Reset,
    }
}

async fn receive(mut reader: OwnedReadHalf) -> ConnectionEnd {
    let mut received = Vec::new();
    loop {
        match reader.read_buf(&mut received).await {
            Ok(0) => return ConnectionEnd::Closed,
            Ok(_) => {}
            Err(_) => return ConnectionEnd::Reset,
        }
        if let Some(response) = parse_head(&received) {
            return ConnectionEnd::Answered(response);
        }
        if received.len() > MAX_RESPONSE_HEAD_BYTES {
            return ConnectionEnd::Closed;
        }
    }
}

/// Waits until the connection has failed, and reads nothing.
async fn wait_for_reset(reader: OwnedReadHalf) -> ConnectionEnd {
    const INTERVAL: Duration = Duration::from_millis(50);
    let stream: &TcpStream = reader.as_ref();
    loop {
        tokio::time::sleep(INTERVAL).await;
        if matches!(stream.take_error(), Ok(Some(_)) | Err(_)) {
            return ConnectionEnd::Reset;
        }
    }
}

/// Parses the head of a final response, once it is complete.
fn parse_head(received: &[u8]) -> Option<ReceivedResponse> {
    let text = String::from_utf8_lossy(received);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    if status < 200 {
        return parse_head(rest.as_bytes());
    }
    let mut lines = head.lines().skip(1);
    Some(ReceivedResponse {
        status,
        has_retry_delay: lines.any(|line| line.to_ascii_lowercase().starts_with("retry-after:")),
    })
}
