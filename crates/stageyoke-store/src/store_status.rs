//! The status page of a store.

use std::time::Duration;

use crate::catch_up_monitor::CatchUpProgress;

/// What a store tells operators about itself.
#[derive(Clone, Copy, Debug)]
pub struct StoreStatus<'a> {
    /// Machine name of the store.
    pub node: &'a str,
    /// How far the store is from holding every record of its group.
    pub progress: CatchUpProgress,
    /// Time for which it has been incomplete; zero if it is complete.
    pub incomplete_for: Duration,
    /// Records that it has stored since its start, and those that it recovered.
    pub records: u64,
    /// Version of its group's member list.
    pub members_version: u64,
}

impl StoreStatus<'_> {
    /// Formats the status as a JSON object.
    pub fn to_json(&self) -> String {
        format!(
            r#"{{"role":"store","name":{:?},"complete":{},"incomplete_seconds":{},"missing_records":{},"failed_fetches":{},"records":{},"members_version":{}}}"#,
            self.node,
            self.progress.complete,
            self.incomplete_for.as_secs(),
            self.progress.missing_records,
            self.progress.failed_fetches,
            self.records,
            self.members_version
        )
    }
}
