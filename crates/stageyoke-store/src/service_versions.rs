//! Which software versions of each service were listed recently, as a store has observed.
//!
//! Fronts ask for it before they continue a stream whose beginning nobody knows: that is safe only
//! while one version could have begun it. Stores outlive fronts, and what they save outlives the
//! processes of all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use stageyoke_policy::stream_versions::MAX_TTL;
use stageyoke_types::{List, Text};
use tokio::time::Instant;

use crate::extension::ExtensionFields;
use crate::group_client::GroupClient;

/// Time by which a restart may set a disk's clock back, in seconds.
const MAX_CLOCK_SETBACK_SECONDS: u64 = 10;
/// Time in seconds for which a version is remembered after it was listed.
const MEMORY_SECONDS: u64 = MAX_TTL.as_secs() + MAX_CLOCK_SETBACK_SECONDS;
/// Maximum number of versions of a service that are remembered after they have left.
const MAX_DEPARTED_VERSIONS: usize = 16;

/// A version of a service.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
struct ObservedVersion {
    service: Text,
    version: Text,
    /// Whether a replica of it was listed when the list was last seen.
    listed: bool,
    /// Reading of the disk's clock when it was last listed.
    last_listed: u64,
}

/// Versions that a store has observed, by the clock of its disk in seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServiceVersions {
    versions: List<ObservedVersion>,
    /// Start of the observation; `None` if nothing was listed before it.
    since: Option<u64>,
}

impl ServiceVersions {
    /// Starts an observation. Nothing is known of the time before, unless the system has started
    /// for the first time.
    pub fn start(first_start: bool, now: u64) -> Self {
        Self {
            versions: List::default(),
            since: (!first_start).then_some(now),
        }
    }

    /// Continues a saved observation. What was listed then may have been listed until now.
    pub fn resume(mut self, now: u64) -> Self {
        for observed in self
            .versions
            .0
            .iter_mut()
            .filter(|observed| observed.listed)
        {
            observed.last_listed = now;
        }
        self
    }

    /// Applies the versions of all listed replicas. Returns whether they have changed.
    pub fn observe(&mut self, listed: &BTreeSet<(Text, Text)>, now: u64) -> bool {
        let mut changed = false;
        let mut known: BTreeSet<(Text, Text)> = BTreeSet::new();
        for observed in &mut self.versions.0 {
            let key = (observed.service.clone(), observed.version.clone());
            let is_listed = listed.contains(&key);
            changed |= is_listed != observed.listed;
            if is_listed || observed.listed {
                observed.last_listed = now;
            }
            observed.listed = is_listed;
            known.insert(key);
        }
        for (service, version) in listed.difference(&known) {
            changed = true;
            self.versions.0.push(ObservedVersion {
                service: service.clone(),
                version: version.clone(),
                listed: true,
                last_listed: now,
            });
        }
        self.forget_departed(now);
        changed
    }

    fn forget_departed(&mut self, now: u64) {
        let List(versions) = &mut self.versions;
        versions.retain(|observed| observed.listed || observed.last_listed + MEMORY_SECONDS > now);
        let mut departed: BTreeMap<Text, usize> = BTreeMap::new();
        // A further version changes no answer: there are several others already.
        versions.retain(|observed| {
            if observed.listed {
                return true;
            }
            let count = departed.entry(observed.service.clone()).or_default();
            *count += 1;
            *count <= MAX_DEPARTED_VERSIONS
        });
    }

    /// Returns all versions of a service that were listed recently; none if that is not certain.
    pub fn of_service(&self, service: &str, now: u64) -> Vec<Text> {
        let is_long_enough = |since| since + MEMORY_SECONDS <= now;
        if !self.since.is_none_or(is_long_enough) {
            return Vec::new();
        }
        let versions = self.versions.0.iter();
        let recent = versions.filter(|observed| {
            let is_recent = observed.last_listed + MEMORY_SECONDS > now;
            observed.service.as_str() == service && (observed.listed || is_recent)
        });
        recent.map(|observed| observed.version.clone()).collect()
    }
}

impl GroupClient {
    /// Returns the versions of a service that were listed recently, as far as a write quorum of
    /// stores has observed, each of which may be late; `None` if none answers in time, or no store
    /// has observed for long enough.
    pub async fn service_versions(
        &self,
        service: &Text,
        time_limit: Duration,
    ) -> Option<BTreeSet<Text>> {
        let members = self.members();
        let quorums = members.quorums(self.tolerance())?;
        let fields = ExtensionFields {
            service_query: Some(service.clone()),
            ..ExtensionFields::default()
        };
        let deadline = Instant::now() + time_limit;
        let observed = |fields: ExtensionFields| fields.service_versions;
        let mut answers = self.ask_all(fields, observed, time_limit);
        let mut answered = BTreeSet::new();
        let mut versions = BTreeSet::new();
        while let Ok(Some((node, observed))) =
            tokio::time::timeout_at(deadline, answers.recv()).await
        {
            let Some(List(observed)) = observed else {
                continue;
            };
            answered.insert(node);
            versions.extend(observed);
            if members.has_quorum(quorums, |member| answered.contains(&member.node)) {
                return (!versions.is_empty()).then_some(versions);
            }
        }
        None
    }
}
