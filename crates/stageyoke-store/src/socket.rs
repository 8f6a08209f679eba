//! Options of the TCP connections between fronts and stores.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent data may stay unacknowledged before the connection is closed.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Disables Nagle's algorithm and detects a dead peer within seconds.
pub fn configure(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}
