//! Lifts the block of a request at the operator's command.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::StoreClient;
use crate::extension::{ExtensionFields, RunReport};
use crate::stream_versions::ask;

/// Time limit for a store to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Clears a request at the store with this address, which tells all fronts that watch it. Returns
/// whether the store answered. Must be called in a `LocalSet`.
pub async fn clear_request(address: &str, request: u128) -> bool {
    let client = StoreClient::new(address);
    let fields = Rc::new(ExtensionFields {
        run_report: Some(RunReport {
            request,
            replica: 0,
            completed: true,
        }),
        ..ExtensionFields::default()
    });
    let read = |fields: ExtensionFields| fields.restrictions;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    ask(&client, fields, read, deadline).await.is_some()
}
