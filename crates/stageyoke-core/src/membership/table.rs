//! The member list and its merge rule.

use std::collections::BTreeMap;

use stageyoke_types::{List, NodeId, Time};

use super::message::{MemberInfo, MemberStatus, MemberUpdate};
use crate::hash;

/// Incarnations carry the node's life in their upper half.
const LIFE_SHIFT: u32 = 16;
/// Buckets the list is compared by.
const SYNC_BUCKETS: usize = 32;

/// One member as known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What does not change.
    pub info: MemberInfo,
    /// Latest incarnation heard of.
    pub incarnation: u32,
    /// Status in that incarnation.
    pub status: MemberStatus,
    /// When the status was last changed, on this node's clock.
    pub changed_at: Time,
    /// Digest of the name, which placement asks for at every change.
    pub name_digest: u64,
}

impl Member {
    /// The member's current life: how often it has started with the same disk.
    pub fn life(&self) -> u16 {
        (self.incarnation >> LIFE_SHIFT) as u16
    }
}

/// The first incarnation of a life. It wins over every claim about an earlier
/// life.
pub(super) fn first_incarnation(life: u16) -> u32 {
    (u32::from(life) << LIFE_SHIFT) + 1
}

/// A status that differs from what was known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Member.
    pub node: NodeId,
    /// Status before; none if it was not known.
    pub before: Option<MemberStatus>,
    /// Status now.
    pub after: MemberStatus,
}

/// All members, the dead ones included until they are forgotten.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    version: u64,
}

impl MemberTable {
    /// Grows with every change; lets others cache what they derive.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One member.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// Every member, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members.iter().map(|(node, member)| (*node, member))
    }

    /// Members that may run.
    pub fn running(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.iter().filter(|(_, member)| member.status.may_run())
    }

    /// Number of members that may run.
    pub fn running_count(&self) -> usize {
        self.running().count()
    }

    /// True if the given life of a member may run.
    pub fn life_may_run(&self, node: NodeId, life: u16) -> bool {
        self.get(node)
            .is_some_and(|member| member.status.may_run() && member.life() == life)
    }

    /// True unless the member is known to have stopped.
    pub fn may_run(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|member| member.status.may_run())
    }

    /// Merges a claim. A claim wins by a higher incarnation or, within one
    /// incarnation, by a status of higher precedence; so every order of the
    /// same claims gives the same list.
    pub fn merge(&mut self, update: &MemberUpdate, now: Time) -> Option<MemberChange> {
        let known = self.members.get(&update.node);
        let before = known.map(|member| member.status);
        let is_newer = known.is_none_or(|member| {
            let rank = (update.incarnation, update.status);
            member.status != MemberStatus::Replaced
                && (update.status == MemberStatus::Replaced
                    || rank > (member.incarnation, member.status))
        });
        if !is_newer {
            return None;
        }
        let info = known
            .map(|member| member.info.clone())
            .or(update.info.clone())?;
        let name_digest = match known {
            Some(member) => member.name_digest,
            None => hash::of_text(&info.name),
        };
        self.members.insert(
            update.node,
            Member {
                name_digest,
                info,
                incarnation: update.incarnation,
                status: update.status,
                changed_at: now,
            },
        );
        self.version += 1;
        Some(MemberChange {
            node: update.node,
            before,
            after: update.status,
        })
    }

    /// Forgets members that stopped before `horizon`.
    pub fn forget_before(&mut self, horizon: Time) {
        let count = self.members.len();
        self.members
            .retain(|_, member| member.status.may_run() || member.changed_at >= horizon);
        if self.members.len() != count {
            self.version += 1;
        }
    }

    /// All lives of a machine but the latest, under other identifiers.
    pub fn earlier_lives(&self, name: &str) -> Vec<NodeId> {
        let mut lives: Vec<(Time, NodeId)> = self
            .iter()
            .filter(|(_, member)| member.info.name.as_str() == name)
            .filter(|(_, member)| member.status != MemberStatus::Replaced)
            .map(|(node, member)| (member.info.started_at, node))
            .collect();
        lives.sort_unstable();
        lives.pop();
        lives.into_iter().map(|(_, node)| node).collect()
    }

    /// The claim that expresses what is known here.
    pub fn claim(&self, node: NodeId, with_info: bool) -> Option<MemberUpdate> {
        let member = self.get(node)?;
        Some(MemberUpdate {
            node,
            incarnation: member.incarnation,
            status: member.status,
            info: with_info.then(|| member.info.clone()),
        })
    }

    /// Digest of each bucket. Suspicion is left out: it is short-lived.
    pub fn bucket_digests(&self) -> List<u32> {
        let mut digests = vec![0_u32; SYNC_BUCKETS];
        for (node, member) in self.iter().filter(|(_, member)| member.status.may_run()) {
            let leaving = u64::from(member.status == MemberStatus::Leaving);
            let claim = hash::mix(node.0 ^ hash::mix(u64::from(member.incarnation) * 2 + leaving));
            digests[bucket_of(node)] ^= claim as u32;
        }
        List(digests)
    }

    /// Digest of the whole list.
    pub fn digest(&self) -> u32 {
        let buckets = self.bucket_digests();
        let combined = buckets.iter().fold(0_u64, |digest, bucket| {
            hash::mix(digest ^ u64::from(*bucket))
        });
        combined as u32
    }

    /// Members of the buckets whose digest differs from a peer's.
    pub fn members_in_differing(&self, theirs: &[u32]) -> Vec<NodeId> {
        let ours = self.bucket_digests();
        self.iter()
            .map(|(node, _)| node)
            .filter(|node| {
                let bucket = bucket_of(*node);
                theirs.get(bucket) != ours.get(bucket)
            })
            .collect()
    }
}

fn bucket_of(node: NodeId) -> usize {
    (hash::mix(node.0) % SYNC_BUCKETS as u64) as usize
}
