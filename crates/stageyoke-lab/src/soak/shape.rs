//! Shapes of deployments: machines, replicas, links and tolerated losses.

use std::time::Duration;

use super::deployment::{CATCH_UP, DeploymentSize};
use super::processes::{MEMORY_MB, ProcessRole};
use crate::standins::platform::replica::ReplicaCapacity;

/// Replicas of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Number of replicas.
    pub replicas: usize,
    /// Requests that a replica runs at the same time, and how long they take.
    pub capacity: ReplicaCapacity,
}

/// Memory limits in megabytes, by role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Limit of a front.
    pub front_mb: u64,
    /// Limit of a store.
    pub store_mb: u64,
}

impl MemoryLimits {
    /// Returns the limit of a process with this role.
    pub fn of(self, role: ProcessRole) -> u64 {
        match role {
            ProcessRole::Front => self.front_mb,
            ProcessRole::Store => self.store_mb,
        }
    }
}

/// Shape of a deployment. Machines and replicas are spread evenly over the zones.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentShape {
    /// Number of processes, by role.
    pub size: DeploymentSize,
    /// Number of zones.
    pub zones: usize,
    /// Model replicas.
    pub models: ServiceShape,
    /// Tool replicas.
    pub tools: ServiceShape,
    /// Number of stores that may be lost at the same time.
    pub tolerated_stores: usize,
    /// Time for a store's successor to catch up.
    pub catch_up: Duration,
    /// Memory limits.
    pub memory: MemoryLimits,
    /// Size at which a store closes a journal segment; the product's default if absent.
    pub segment_bytes: Option<u64>,
    /// Rate of each connection to a store or to the key-value service, in each direction;
    /// unlimited if absent.
    pub bytes_per_second: Option<u32>,
}

/// Segment size of small deployments, so that a full disk is noticed soon.
const SMALL_SEGMENT_BYTES: u64 = 8 * 1024;

impl Default for DeploymentShape {
    fn default() -> Self {
        Self {
            size: DeploymentSize::default(),
            zones: 1,
            models: ServiceShape {
                replicas: 3,
                capacity: ReplicaCapacity::UNLIMITED_MODEL,
            },
            tools: ServiceShape {
                replicas: 2,
                capacity: ReplicaCapacity::UNLIMITED_TOOL,
            },
            tolerated_stores: 1,
            catch_up: CATCH_UP,
            memory: MemoryLimits {
                front_mb: MEMORY_MB,
                store_mb: MEMORY_MB,
            },
            segment_bytes: Some(SMALL_SEGMENT_BYTES),
            bytes_per_second: None,
        }
    }
}

impl DeploymentShape {
    /// A deployment of four zones with many replicas of limited capacity and narrow links.
    pub fn four_zones() -> Self {
        Self {
            size: DeploymentSize {
                fronts: 73,
                stores: 11,
            },
            zones: 4,
            models: ServiceShape {
                replicas: 44,
                capacity: ReplicaCapacity::BATCHING_MODEL,
            },
            tools: ServiceShape {
                replicas: 27,
                capacity: ReplicaCapacity::BUSY_TOOL,
            },
            tolerated_stores: 2,
            catch_up: Duration::from_secs(6),
            memory: MemoryLimits {
                front_mb: 88,
                store_mb: 120,
            },
            segment_bytes: None,
            bytes_per_second: Some(3_750_000),
        }
    }

    /// A deployment of four zones small enough to run beside other tests.
    pub fn four_small_zones() -> Self {
        let four_zones = Self::four_zones();
        Self {
            size: DeploymentSize {
                fronts: 8,
                stores: 5,
            },
            models: ServiceShape {
                replicas: 8,
                ..four_zones.models
            },
            tools: ServiceShape {
                replicas: 4,
                ..four_zones.tools
            },
            ..four_zones
        }
    }

    /// Returns the total number of replicas, models first.
    pub fn replicas(&self) -> usize {
        self.models.replicas + self.tools.replicas
    }

    /// Returns the name of the zone of the machine or replica with this index.
    pub fn zone(&self, index: usize) -> String {
        zone_name(index % self.zones)
    }
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
