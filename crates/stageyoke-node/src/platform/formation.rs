//! Forming a new cluster: the founders agree, once, on one list of themselves
//! through the key-value service. It is not asked again: a node in a later life
//! must not form what its group may have changed since.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stageyoke_core::membership::MemberInfo;
use stageyoke_core::node::{Founder, Input};
use stageyoke_types::{NodeId, Text};

use super::key_value::KeyValueClient;
use crate::driver::{Command, DriverHandle, StatusReport};

/// Key of the founders' list.
pub const FORMATION_KEY: &str = "stageyoke/formation";
/// How often an unformed node looks.
const PERIOD: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Serialize, Deserialize)]
struct FormationRecord {
    shards: u32,
    founders: Vec<FounderRecord>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct FounderRecord {
    node: u64,
    name: String,
    zone: String,
    region: String,
    address: String,
    has_disk: bool,
    started_at: u64,
}

impl FounderRecord {
    fn of(node: NodeId, info: &MemberInfo) -> Self {
        Self {
            node: node.0,
            name: info.name.to_string(),
            zone: info.zone.to_string(),
            region: info.region.to_string(),
            address: info.address.to_string(),
            has_disk: info.has_disk,
            started_at: info.started_at,
        }
    }

    fn founder(&self) -> Founder {
        Founder {
            node: NodeId(self.node),
            info: MemberInfo {
                name: Text::from(self.name.as_str()),
                zone: Text::from(self.zone.as_str()),
                region: Text::from(self.region.as_str()),
                address: Text::from(self.address.as_str()),
                has_disk: self.has_disk,
                started_at: self.started_at,
            },
        }
    }
}

/// Runs until the cluster is formed. A node that is not on the list joins as a
/// member and is given shards by those that are.
pub async fn run(store: KeyValueClient, driver: DriverHandle, shards: u32, founders: usize) {
    let mut interval = tokio::time::interval(PERIOD);
    loop {
        interval.tick().await;
        let Some(status) = driver.status().await else {
            return;
        };
        match store.get(FORMATION_KEY).await {
            Ok(Some(stored)) => {
                if let Ok(record) = serde_json::from_slice::<FormationRecord>(&stored.value) {
                    take_up(&driver, &status, &record);
                    return;
                }
            }
            Ok(None) if is_first(&status) && status.node.members >= founders => {
                let record = FormationRecord {
                    shards,
                    founders: running(&status),
                };
                if let Ok(value) = serde_json::to_vec(&record) {
                    // Whoever wins, the next round reads the one list.
                    let _ = store.swap(FORMATION_KEY, 0, &value).await;
                }
            }
            Ok(None) | Err(_) => {}
        }
    }
}

fn take_up(driver: &DriverHandle, status: &StatusReport, record: &FormationRecord) {
    let is_founder = record
        .founders
        .iter()
        .any(|founder| founder.node == status.node.node.0);
    if is_founder {
        let founders = record.founders.iter().map(FounderRecord::founder).collect();
        driver.send(Command::Input(Input::Form { founders }));
    }
}

fn is_first(status: &StatusReport) -> bool {
    let running = status
        .members
        .iter()
        .filter(|member| member.status == "alive");
    running.map(|member| member.node).min() == Some(status.node.node)
}

fn running(status: &StatusReport) -> Vec<FounderRecord> {
    let running = status
        .members
        .iter()
        .filter(|member| member.status == "alive");
    running
        .map(|member| FounderRecord::of(member.node, &member.info))
        .collect()
}
