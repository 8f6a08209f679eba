//! Reads the rest of a rejected request's response, so that its connection can be reused.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use stageyoke_framing::Framing;
use tokio::sync::Semaphore;

use crate::attempt::ReplicaResponse;
use crate::oversized_response::{self, OVERSIZED_REJECTION};

/// Maximum number of bytes read of a rejection's body: reading more costs more than opening a new
/// connection.
pub const MAX_DRAINED_BYTES: usize = 16 * 1024;
/// Time limit for reading a rejection's body.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of rejections that are read at the same time. The read buffers of their
/// connections belong to no request.
const MAX_DRAINS: usize = 64;

/// Limit of the rejections that are read at the same time.
#[derive(Clone, Debug)]
pub struct DrainLimit(Arc<Semaphore>);

impl Default for DrainLimit {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_DRAINS)))
    }
}

/// Reads the rest of the response in the background and returns its connection to the pool. The
/// connection is closed if that takes too much, too long, or too many others are being read.
pub fn drain(reply: ReplicaResponse, limit: &DrainLimit) {
    if reply.response.body().is_end_stream() {
        return reply.replica.pool.release(reply.connection);
    }
    if Framing::of(&reply.response) == Framing::Connection {
        return;
    }
    let Ok(permit) = limit.0.clone().try_acquire_owned() else {
        return;
    };
    let ReplicaResponse {
        response,
        connection,
        replica,
        ..
    } = reply;
    tokio::task::spawn_local(async move {
        let reading = read_to_end(response.into_body());
        if let Ok(true) = tokio::time::timeout(DRAIN_TIMEOUT, reading).await {
            replica.pool.release(connection);
        }
        drop(permit);
    });
}

/// Returns whether the body has ended within the limit.
async fn read_to_end(body: Incoming) -> bool {
    let stated_length = body.size_hint().lower();
    if stated_length > MAX_DRAINED_BYTES as u64 {
        oversized_response::count(OVERSIZED_REJECTION);
        return false;
    }
    let mut body = Limited::new(body, MAX_DRAINED_BYTES);
    while let Some(frame) = body.frame().await {
        let Err(error) = frame else {
            continue;
        };
        if error.is::<LengthLimitError>() {
            oversized_response::count(OVERSIZED_REJECTION);
        }
        return false;
    }
    true
}
