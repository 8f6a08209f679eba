//! Who this node is: a new random identifier for each life without a disk; with
//! one, the identifier its votes were given under, and a count of lives.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use stageyoke_types::NodeId;

const FILE: &str = "identity.json";

/// Identifier and life of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    node: u64,
    /// How often the node has started under this identifier, from 1.
    pub life: u16,
}

impl Identity {
    /// An identity that was never used.
    pub fn fresh() -> Self {
        Self {
            node: rand::random::<u64>() >> 1,
            life: 1,
        }
    }

    /// The node's identifier.
    pub fn node(&self) -> NodeId {
        NodeId(self.node)
    }

    /// The next life of the identity kept in a folder; a fresh one if there is
    /// none, or if `usable` is false because what it voted for is lost.
    pub fn next_life(folder: &Path, usable: bool) -> io::Result<Self> {
        let path = folder.join(FILE);
        let kept: Option<Self> = std::fs::read(&path)
            .ok()
            .and_then(|content| serde_json::from_slice(&content).ok());
        let next = match kept.filter(|kept| usable && kept.life < u16::MAX) {
            Some(kept) => Self {
                life: kept.life + 1,
                ..kept
            },
            None => Self::fresh(),
        };
        let content = serde_json::to_vec(&next).map_err(io::Error::other)?;
        super::store::write_durably(&path, &content)?;
        Ok(next)
    }
}
