//! Restricts a resumed stream to replicas of the software version that began it.
//!
//! What two versions write does not fit together, and replicas do not check it. So the version
//! that begins a stream is recorded at the stores, and a request that continues a stream may only
//! use replicas of that version. Without that knowledge it is rejected.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Interpreter, KeyValueService, RouteKind};
use stageyoke_observe::{self as observe, RequestSummary};
use stageyoke_policy::stream_versions::MAX_TTL;
use stageyoke_store::StreamOfRequest;
use stageyoke_types::{ErrorKind, Text};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::failure::Failure;
use crate::front::Front;
use crate::handler::{RequestContext, SHORT_RETRY_DELAY};
use crate::replica::Replica;
use crate::request_identity::RequestIdentity;

/// Time limit for the stores to say which version began a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// Part of a request's remaining time that the lookup may take, as a divisor.
const LOOKUP_TIME_DIVISOR: u32 = 3;
/// Time limit for a quorum of stores to record a version.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the first event of a stream waits for the record.
const MAX_FIRST_EVENT_DELAY: Duration = Duration::from_millis(50);
/// Time after a request's deadline for which its caller may continue the stream.
pub(crate) const RESUME_MARGIN: Duration = Duration::from_secs(15);
/// Number of versions of a service that are remembered after their last replica has left.
const MAX_DEPARTED_VERSIONS: usize = 16;

/// Record of the version that began a stream, on its way to the stores.
pub struct VersionRecord {
    acknowledged: JoinHandle<bool>,
}

impl VersionRecord {
    /// Waits until a quorum of stores has acknowledged the record, but only briefly: a stream
    /// without a record cannot be continued, which is better than one that starts late.
    pub async fn wait(self) {
        let outcome = tokio::time::timeout(MAX_FIRST_EVENT_DELAY, self.acknowledged).await;
        if !matches!(outcome, Ok(Ok(true))) {
            observe::metrics().unacknowledged_versions.inc();
        }
    }
}

impl<S: KeyValueService + 'static, I: Interpreter + 'static> Front<S, I> {
    /// Sets the version that must continue the request's stream. Fails if it is unknown or no
    /// replica of it may get the request; the request has not run then.
    pub(crate) async fn require_version(
        &self,
        context: &mut RequestContext,
        summary: &mut RequestSummary,
    ) -> Result<(), Failure> {
        if context.route.kind != RouteKind::Stream || !context.parameters.continues_stream() {
            return Ok(());
        }
        let Some(version) = self.version_of_resumed_stream(context).await else {
            summary.stream_version = "required=unknown".to_owned();
            observe::metrics().unknown_versions.inc();
            // Another attempt may reach a store that knows the version.
            return Err(Failure::retryable(
                ErrorKind::Unavailable,
                "stream_version_unknown",
                SHORT_RETRY_DELAY,
            ));
        };
        summary.stream_version = format!("required={version}");
        context.required_version = Some(version);
        self.shortage_failure(context).map_or(Ok(()), Err)
    }

    async fn version_of_resumed_stream(&self, context: &RequestContext) -> Option<Text> {
        let deadline = context.outbound.deadline;
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_limit = LOOKUP_TIMEOUT.min(time_left / LOOKUP_TIME_DIVISOR);
        let (recorded, only) = tokio::join!(
            self.recorded_version(context, time_limit),
            self.only_recent_version(&context.service.name, time_limit)
        );
        recorded.or(only)
    }

    /// Returns the version that is recorded of the stream, or of all streams of the request if the
    /// caller does not name one.
    async fn recorded_version(
        &self,
        context: &RequestContext,
        time_limit: Duration,
    ) -> Option<Text> {
        let stores = &self.history.stores;
        let RequestIdentity(identity) = context.identity;
        match &context.identifiers.resumed_stream {
            Some(request) => {
                let stream = StreamOfRequest { request, identity };
                stores.stream_version(stream, time_limit).await
            }
            None => stores.version_of_request(identity, time_limit).await,
        }
    }

    /// Returns the version of a service if no other one can have begun a stream that goes on. A front
    /// that has not followed the list for long enough asks the stores, which outlive it.
    async fn only_recent_version(&self, service: &Text, time_limit: Duration) -> Option<Text> {
        let version = self.registry.only_version(service)?;
        if self.registry.has_followed_list_for(MAX_TTL) {
            return Some(version);
        }
        let stores = &self.history.stores;
        let observed = stores.service_versions(service, time_limit).await?;
        let is_only = observed.iter().all(|observed| *observed == version);
        is_only.then_some(version)
    }

    /// Starts to record the version that began a stream; `None` if the stream cannot be
    /// continued or was begun earlier.
    pub(crate) fn record_version(
        &self,
        context: &RequestContext,
        replica: &Replica,
        summary: &mut RequestSummary,
    ) -> Option<VersionRecord> {
        if !context.route.resumable || context.parameters.continues_stream() {
            return None;
        }
        if replica.is_removed() {
            // Its identifier may have come back at another version before the request arrived.
            summary.stream_version = "began=uncertain".to_owned();
            return None;
        }
        let version = replica.record.software_version.clone();
        summary.stream_version = format!("began={version}");
        let deadline = context.parameters.deadline.max(context.outbound.deadline);
        let time_left = deadline.saturating_duration_since(Instant::now());
        let ttl = MAX_TTL.min(time_left + RESUME_MARGIN);
        let stores = self.history.stores.clone();
        let request = context.identifiers.turn.clone();
        let RequestIdentity(identity) = context.identity;
        let recording = async move {
            let stream = StreamOfRequest {
                request: &request,
                identity,
            };
            let recording = stores.record_stream_version(stream, &version, ttl, RECORD_TIMEOUT);
            recording.await
        };
        Some(VersionRecord {
            acknowledged: tokio::task::spawn_local(recording),
        })
    }
}

/// Versions of each service whose replicas have left the list, for as long as their streams may
/// be continued.
#[derive(Default)]
pub(crate) struct DepartedVersions {
    services: RefCell<HashMap<Text, HashMap<Text, Instant>>>,
}

impl DepartedVersions {
    /// Notes that replicas have left the list.
    pub(crate) fn record(&self, removed: &[Rc<Replica>]) {
        let now = Instant::now();
        let mut services = self.services.borrow_mut();
        services.retain(|_, versions| {
            versions.retain(|_, left_at| *left_at + MAX_TTL > now);
            !versions.is_empty()
        });
        for replica in removed {
            let record = &replica.record;
            let versions = services.entry(record.service.clone()).or_default();
            let version = &record.software_version;
            // A further version changes no answer: there are several others already.
            if versions.len() < MAX_DEPARTED_VERSIONS || versions.contains_key(version) {
                versions.insert(version.clone(), now);
            }
        }
    }

    /// Returns whether replicas of another version than this one have left the service.
    pub(crate) fn has_other(&self, service: &str, version: &str) -> bool {
        let now = Instant::now();
        let services = self.services.borrow();
        let versions = services.get(service).into_iter().flatten();
        let mut recent = versions.filter(|(_, left_at)| **left_at + MAX_TTL > now);
        recent.any(|(departed, _)| departed.as_str() != version)
    }
}
