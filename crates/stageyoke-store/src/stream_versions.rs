//! Which software version began a stream: the exchange between fronts and the members of the
//! group that remembers it in memory (`stageyoke_policy::stream_versions`).
//!
//! A version is recorded once, so any member that knows it is right. A write quorum of members
//! keeps it known after as many losses as the group tolerates.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::Member;
use stageyoke_types::Text;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::extension::{ExtensionFields, StreamReport};
use crate::frame::EncodedMessage;
use crate::group_client::GroupClient;
use crate::keys::StreamKey;
use crate::message::Request;

/// Number of calls to one member: one may fail with an old connection, and the first message of
/// a new one carries no fields, as the version of the store is unknown until it replies.
const MAX_CALLS: usize = 3;

impl GroupClient {
    /// Reports to all members which version began a stream of the request with this identity.
    /// Returns true once a write quorum knows it, false if none says so in time.
    pub async fn record_stream_version(
        &self,
        report: StreamReport,
        identity: u128,
        time_limit: Duration,
    ) -> bool {
        let fields = ExtensionFields {
            stream_report: Some(report),
            stream_identity: Some(identity),
            ..ExtensionFields::default()
        };
        let recorded = |fields: ExtensionFields| fields.stream_recorded;
        self.is_acknowledged(fields, recorded, time_limit).await
    }

    /// Sends the fields to all members. Returns true once a write quorum acknowledges them, false if
    /// none does in time; `read` returns the acknowledgement in a reply's fields.
    pub(crate) async fn is_acknowledged(
        &self,
        fields: ExtensionFields,
        read: fn(ExtensionFields) -> Option<bool>,
        time_limit: Duration,
    ) -> bool {
        let members = self.members();
        let Some(quorums) = members.quorums(self.tolerance()) else {
            return false;
        };
        let mut answers = self.ask_all(fields, read, time_limit);
        let mut acknowledged_by = BTreeSet::new();
        while let Some((node, acknowledged)) = answers.recv().await {
            if acknowledged == Some(true) {
                acknowledged_by.insert(node);
            }
            if members.has_quorum(quorums, |member| acknowledged_by.contains(&member.node)) {
                return true;
            }
        }
        false
    }

    /// Returns the version that began a stream once any member says it; `None` if none does in
    /// time, or as soon as all have answered.
    pub async fn stream_version(&self, stream: StreamKey, time_limit: Duration) -> Option<Text> {
        let fields = ExtensionFields {
            stream_query: Some(stream.0),
            ..ExtensionFields::default()
        };
        let version = |fields: ExtensionFields| fields.stream_version;
        let mut answers = self.ask_all(fields, version, time_limit);
        while let Some((_, version)) = answers.recv().await {
            if let Some(version) = version.filter(|version| !version.is_empty()) {
                return Some(version);
            }
        }
        None
    }

    /// Sends the fields to all members; `read` returns the answer in a reply's fields. The calls
    /// go on if the receiver is dropped, so that the remaining members get the fields too.
    pub(crate) fn ask_all<T: 'static>(
        &self,
        fields: ExtensionFields,
        read: fn(ExtensionFields) -> Option<T>,
        time_limit: Duration,
    ) -> UnboundedReceiver<(Text, Option<T>)> {
        let deadline = Instant::now() + time_limit;
        let fields = Rc::new(fields);
        let (answers, received) = unbounded_channel();
        for Member { node, .. } in self.members().all() {
            let Some(client) = self.client(node) else {
                continue;
            };
            let (fields, answers, node) = (fields.clone(), answers.clone(), node.clone());
            tokio::task::spawn_local(async move {
                let answer = ask(&client, fields, read, deadline).await;
                let _ = answers.send((node, answer));
            });
        }
        received
    }
}

/// Sends the fields until a reply contains an answer.
pub(crate) async fn ask<T>(
    client: &StoreClient,
    fields: Rc<ExtensionFields>,
    read: fn(ExtensionFields) -> Option<T>,
    deadline: Instant,
) -> Option<T> {
    let ping = EncodedMessage::encode(&Request::Ping);
    for _ in 0..MAX_CALLS {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let call = client.call_with_fields(ping.clone(), fields.clone(), time_left);
        let reply = call.await.ok().map(|reply| reply.extension_fields);
        if let Some(answer) = reply.and_then(read) {
            return Some(answer);
        }
    }
    None
}
