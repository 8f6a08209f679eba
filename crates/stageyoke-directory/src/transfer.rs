//! Timeouts for transfers of unknown size. A slow transfer continues as long as data
//! arrives, since a retry would transfer all data again.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

/// Timeouts of one transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferTimeouts {
    /// Interval at which progress is checked; the transfer fails if no data arrived in one.
    pub idle: Duration,
    /// Time after which the transfer fails although data arrives.
    pub total: Duration,
}

/// Waits until a transfer completes. Returns `None` after a timeout. `received_bytes`
/// returns the total number of bytes received so far.
pub async fn wait_for_transfer<T>(
    transfer: impl Future<Output = T>,
    timeouts: TransferTimeouts,
    received_bytes: impl Fn() -> u64,
) -> Option<T> {
    let mut transfer = std::pin::pin!(transfer);
    let deadline = Instant::now() + timeouts.total;
    let mut received_before = received_bytes();
    loop {
        let idle_deadline = Instant::now() + timeouts.idle;
        let wait = tokio::time::timeout_at(idle_deadline.min(deadline), &mut transfer);
        if let Ok(output) = wait.await {
            return Some(output);
        }
        let received = received_bytes();
        if received == received_before || Instant::now() >= deadline {
            return None;
        }
        received_before = received;
    }
}
