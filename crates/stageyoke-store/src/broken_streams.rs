//! What callers may have got of streams that they resume: the exchange between fronts and the members
//! of the group that remembers it in memory (`stageyoke_policy::broken_streams`).
//!
//! The attempts at one request may have got different events, so a reader hears a write quorum: it
//! shares a member with the quorum of every attempt that was recorded before.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::extension::{AttemptReport, ExtensionFields, RecordedAttempt};
use crate::group_client::GroupClient;

impl GroupClient {
    /// Reports an attempt at a stream. Returns true once a write quorum knows it, false if none
    /// says so in time.
    pub async fn record_attempt(&self, report: AttemptReport, time_limit: Duration) -> bool {
        let fields = ExtensionFields {
            attempt_report: Some(report),
            ..ExtensionFields::default()
        };
        let recorded = |fields: ExtensionFields| fields.attempt_recorded;
        self.is_acknowledged(fields, recorded, time_limit).await
    }

    /// Returns what a write quorum knows of the attempts at a request's streams; `None` if none
    /// answers in time.
    pub async fn attempts(
        &self,
        request: u128,
        time_limit: Duration,
    ) -> Option<Vec<RecordedAttempt>> {
        let members = self.members();
        let quorums = members.quorums(self.tolerance())?;
        let fields = ExtensionFields {
            attempts_query: Some(request),
            ..ExtensionFields::default()
        };
        let known = |fields: ExtensionFields| fields.attempts;
        let mut answers = self.ask_all(fields, known, time_limit);
        let mut answered = BTreeSet::new();
        let mut attempts: Vec<RecordedAttempt> = Vec::new();
        while let Some((node, known)) = answers.recv().await {
            let Some(known) = known else {
                continue;
            };
            answered.insert(node);
            for attempt in known.0 {
                add_attempt(&mut attempts, attempt);
            }
            if members.has_quorum(quorums, |member| answered.contains(&member.node)) {
                return Some(attempts);
            }
        }
        None
    }
}

/// Adds what one member knows of an attempt. Some members may not have heard of its end.
fn add_attempt(attempts: &mut Vec<RecordedAttempt>, attempt: RecordedAttempt) {
    let known = attempts.iter_mut();
    let mut same = known.filter(|known| known.attempt == attempt.attempt);
    match same.next() {
        Some(known) if attempt.ended && !known.ended => *known = attempt,
        Some(_) => {}
        None => attempts.push(attempt),
    }
}
