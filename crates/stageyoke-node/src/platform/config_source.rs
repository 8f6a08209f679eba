//! Reads accepted configurations from the key-value service, on the few nodes
//! that watch it, and writes new ones on behalf of an operator.
//!
//! One key holds the whole record: version, identifier of the apply, text.
//! Moving it by compare-and-swap is what accepts a configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stageyoke_core::config_spread::ConfigBundle;
use stageyoke_core::node::Input;
use stageyoke_types::{ConfigVersion, Event};

use super::key_value::{KeyValueClient, StoreError, Swap};
use crate::driver::{Command, ConfigCell, DriverHandle, StatusReport};
use crate::events;

/// Key of the accepted configuration.
pub const CONFIG_KEY: &str = "stageyoke/config";
/// How often a watching node reads the key.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Nodes of each zone that watch.
const WATCHERS_PER_ZONE: usize = 2;
/// How often a node without any configuration asks by itself.
const IMPATIENT_PERIOD: u32 = 5;

/// The accepted configuration as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version, one more than the one before.
    pub version: u64,
    /// Identifier of the apply.
    pub apply_id: String,
    /// Who applied it.
    pub operator: String,
    /// Text.
    pub text: String,
}

impl ConfigRecord {
    /// The record as the nodes spread it.
    pub fn bundle(&self) -> ConfigBundle {
        let version = ConfigVersion(self.version);
        stageyoke_config::sections::bundle(&self.text, version, &self.apply_id)
    }
}

/// The accepted record and its revision; none before the first apply.
pub async fn read(store: &KeyValueClient) -> Result<Option<(ConfigRecord, u64)>, StoreError> {
    let Some(stored) = store.get(CONFIG_KEY).await? else {
        return Ok(None);
    };
    let record = serde_json::from_slice(&stored.value).map_err(|_| StoreError::Malformed)?;
    Ok(Some((record, stored.revision)))
}

/// What became of an apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is accepted as this version.
    Accepted(u64),
    /// Another record is there.
    Lost(Option<ConfigRecord>),
}

/// Moves the record from the version that the operator planned against. A lost
/// answer is settled by reading the record: it names the apply that wrote it.
pub async fn apply(
    store: &KeyValueClient,
    planned_against: u64,
    record: ConfigRecord,
) -> Result<Applied, StoreError> {
    let current = read(store).await?;
    let (version, revision) = current
        .as_ref()
        .map_or((0, 0), |(record, revision)| (record.version, *revision));
    if let Some((accepted, _)) = &current
        && accepted.apply_id == record.apply_id
    {
        return Ok(Applied::Accepted(accepted.version));
    }
    if version != planned_against {
        return Ok(Applied::Lost(current.map(|(record, _)| record)));
    }
    let value = serde_json::to_vec(&record).map_err(|_| StoreError::Malformed)?;
    match store.swap(CONFIG_KEY, revision, &value).await {
        Ok(Swap::Done) => Ok(Applied::Accepted(record.version)),
        Ok(Swap::Conflict) | Err(StoreError::Unavailable) => settle(store, &record).await,
        Err(error) => Err(error),
    }
}

async fn settle(store: &KeyValueClient, record: &ConfigRecord) -> Result<Applied, StoreError> {
    match read(store).await? {
        Some((accepted, _)) if accepted.apply_id == record.apply_id => {
            Ok(Applied::Accepted(accepted.version))
        }
        // Nothing was written and nobody else won: the caller may try again.
        Some((accepted, _)) if accepted.version < record.version => Err(StoreError::Unavailable),
        None => Err(StoreError::Unavailable),
        Some((accepted, _)) => Ok(Applied::Lost(Some(accepted))),
    }
}

/// Watches the record while this node is one of its zone's watchers.
pub async fn watch(
    store: KeyValueClient,
    driver: DriverHandle,
    config: ConfigCell,
    name: String,
    zone: String,
) {
    let mut interval = tokio::time::interval(POLL_PERIOD);
    let mut reachable = true;
    let mut round = 0_u32;
    loop {
        interval.tick().await;
        round = round.wrapping_add(1);
        let Some(status) = driver.status().await else {
            return;
        };
        let impatient = config.get().is_none() && round.is_multiple_of(IMPATIENT_PERIOD);
        if !is_watcher(&status, &zone) && !impatient {
            continue;
        }
        match read(&store).await {
            Ok(Some((record, _))) => {
                reachable = true;
                if record.version > status.node.config.0 {
                    let offer = Input::OfferConfig(record.bundle());
                    driver.send(Command::Input(offer));
                }
            }
            Ok(None) => reachable = true,
            Err(error) if reachable => {
                reachable = false;
                events::emit(Event::StoreUnreachable, &name, &error.to_string());
            }
            Err(_) => {}
        }
    }
}

/// The first few running nodes of each zone watch.
fn is_watcher(status: &StatusReport, zone: &str) -> bool {
    let mut nodes: Vec<_> = status
        .members
        .iter()
        .filter(|member| member.info.zone.as_str() == zone && member.status == "alive")
        .map(|member| member.node)
        .collect();
    nodes.sort_unstable();
    nodes.truncate(WATCHERS_PER_ZONE);
    nodes.contains(&status.node.node)
}
