//! Answers that are read as a whole.

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};

/// Reads a body to its end; `None` if the connection is lost, or if the body has more bytes than
/// the limit, which closes the connection.
pub async fn read_whole(body: Incoming, max_bytes: usize) -> Option<Bytes> {
    let collected = Limited::new(body, max_bytes).collect().await;
    Some(collected.ok()?.to_bytes())
}
