//! Which nodes carry a share of work: rendezvous hashing (Thaler and
//! Ravishankar, 1998) over the member list, spread over zones. Every node
//! computes the same answer from the same list, and a change of one member
//! moves only that member's share.

use stageyoke_types::{NodeId, ShardId, Text};

use crate::hash;
use crate::membership::{MemberStatus, MemberTable};

/// Replicas of a shard.
pub const REPLICAS: usize = 3;

const SHARD_SALT: u64 = 0x7368_6172;
const ENGINE_SALT: u64 = 0x656e_6769;

/// A member as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Node.
    pub node: NodeId,
    /// Digest of its name: a node that restarts keeps its share.
    pub name_digest: u64,
    /// Zone.
    pub zone: Text,
    /// Whether it keeps its state on disk.
    pub has_disk: bool,
}

/// Members that may carry work, and the answers derived from them.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    candidates: Vec<Candidate>,
    version: Option<u64>,
}

impl Placement {
    /// Follows the member list, and tells whether anything moves. Suspected members keep their share until they
    /// are declared dead; leaving ones lose it.
    pub fn refresh(&mut self, members: &MemberTable) -> bool {
        if self.version == Some(members.version()) {
            return false;
        }
        self.version = Some(members.version());
        let eligible = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspect);
        let candidates: Vec<Candidate> = members
            .iter()
            .filter(|(_, member)| eligible(member.status))
            .map(|(node, member)| Candidate {
                node,
                name_digest: member.name_digest,
                zone: member.info.zone.clone(),
                has_disk: member.info.has_disk,
            })
            .collect();
        let changed = candidates != self.candidates;
        self.candidates = candidates;
        changed
    }

    /// A placement over a fixed list.
    pub fn of(candidates: Vec<Candidate>) -> Self {
        Self {
            candidates,
            version: None,
        }
    }

    /// The nodes that should hold a shard, the preferred leader first; in
    /// different zones as far as there are enough.
    pub fn replicas(&self, shard: ShardId) -> Vec<NodeId> {
        let ranked = self.ranked(u64::from(shard.0), SHARD_SALT);
        spread_over_zones(&ranked)
    }

    /// Nodes to ask for a shard's leader, likeliest first.
    pub fn likely_holders(&self, shard: ShardId, count: usize) -> Vec<NodeId> {
        let mut holders = self.replicas(shard);
        let ranked = self.ranked(u64::from(shard.0), SHARD_SALT);
        for candidate in ranked {
            if !holders.contains(&candidate.node) {
                holders.push(candidate.node);
            }
        }
        holders.truncate(count);
        holders
    }

    /// The node that looks after an engine: among those of the engine's zone
    /// if there are any.
    pub fn coordinator(&self, engine: &str, zone: &str) -> Option<NodeId> {
        let item = hash::mix(hash::of_text(engine) ^ ENGINE_SALT);
        let best = self.candidates.iter().max_by_key(|candidate| {
            let score = hash::mix(candidate.name_digest ^ item);
            (candidate.zone.as_str() == zone, score, candidate.node)
        });
        best.map(|candidate| candidate.node)
    }

    fn ranked(&self, item: u64, salt: u64) -> Vec<&Candidate> {
        let item = hash::mix(item ^ salt);
        let mut ranked: Vec<&Candidate> = self.candidates.iter().collect();
        ranked.sort_by_cached_key(|candidate| {
            std::cmp::Reverse((hash::mix(candidate.name_digest ^ item), candidate.node))
        });
        ranked
    }
}

/// The best ranked nodes of different zones, one of them with a disk if there
/// is any, so that the loss of every process leaves a copy.
fn spread_over_zones(ranked: &[&Candidate]) -> Vec<NodeId> {
    let mut chosen: Vec<&Candidate> = Vec::with_capacity(REPLICAS);
    let with_disk = ranked.iter().find(|candidate| candidate.has_disk);
    for candidate in ranked {
        let zone_is_new = chosen.iter().all(|other| other.zone != candidate.zone);
        let disk_fits = with_disk.is_none_or(|disk| {
            let has_one = candidate.has_disk || chosen.iter().any(|other| other.has_disk);
            has_one || (chosen.len() + 1 < REPLICAS && candidate.zone != disk.zone)
        });
        if chosen.len() < REPLICAS && zone_is_new && disk_fits {
            chosen.push(candidate);
        }
    }
    for candidate in ranked {
        let is_new = chosen.iter().all(|other| other.node != candidate.node);
        if chosen.len() < REPLICAS && is_new {
            chosen.push(candidate);
        }
    }
    chosen.iter().map(|candidate| candidate.node).collect()
}
