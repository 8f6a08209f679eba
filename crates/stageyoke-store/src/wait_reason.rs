//! Reasons why a store makes no membership step, with the member counts behind the decision,
//! for the log.

use std::fmt;
use std::time::Duration;

use stageyoke_directory::{Member, Members, Tolerance, write_quorum};
use stageyoke_types::Text;

use crate::membership::{LocalMember, PeerHealth};

/// Reason why a store makes no membership step: what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Nothing: the member list is settled and all members respond.
    Nothing,
    /// Completeness of the local disk: enough complete members of the current list to
    /// intersect every write quorum.
    Completeness,
    /// Local copies of all records that the members of the current list hold.
    CatchUp,
    /// A vacancy: the group needs no further member.
    Room,
    /// The end of the pending change, for a store that wants to join.
    Settling,
    /// The step of another member.
    FirstMember,
    /// Enough complete members of the old list that use the joint list to intersect every old
    /// quorum.
    Fence,
    /// A write quorum of the new members that holds everything that the fenced members held.
    Holders,
    /// The return of an unresponsive member, or its successor.
    Successor,
    /// Enough other live members to serve after this one has left.
    OthersToServe,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Nothing => "nothing",
            Self::Completeness => "completeness",
            Self::CatchUp => "catch_up",
            Self::Room => "room",
            Self::Settling => "settling",
            Self::FirstMember => "first_member",
            Self::Fence => "fence",
            Self::Holders => "holders",
            Self::Successor => "successor",
            Self::OthersToServe => "others_to_serve",
        })
    }
}

/// A member that does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SilentMember {
    node: Text,
    silent_for: Duration,
}

/// Member counts that a step is decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members of the current list and of the list before the pending change.
    members: LiveCounts,
    before: LiveCounts,
    /// Members of the current list that hold everything that the fenced members held,
    /// including this store.
    holding: usize,
    silent: Vec<SilentMember>,
}

/// Counts of one member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LiveCounts {
    all: usize,
    living: usize,
    /// Size of a write quorum; 0 if there is none.
    needed: usize,
}

impl MemberCounts {
    /// Counts the members by what this store knows of its peers.
    pub fn new(
        members: &Members,
        local: &LocalMember,
        peers: &[PeerHealth],
        tolerance: &Tolerance,
    ) -> Self {
        let peer = |node: &str| peers.iter().find(|peer| peer.node.as_str() == node);
        let is_live = |node: &str| {
            let peer = peer(node);
            peer.is_none_or(|peer| peer.silent_for <= local.replacement_timeout)
        };
        let count = |list: &[Member]| LiveCounts {
            all: list.len(),
            living: list.iter().filter(|member| is_live(&member.node)).count(),
            needed: write_quorum(list, tolerance).unwrap_or_default(),
        };
        let holds = |node: &str| match peer(node) {
            Some(peer) => peer.caught_up,
            None => node == local.entry.node.as_str(),
        };
        let holding = members.list.iter().filter(|member| holds(&member.node));
        let silent = peers.iter().filter(|peer| !is_live(&peer.node));
        let silent = silent.map(|peer| SilentMember {
            node: peer.node.clone(),
            silent_for: peer.silent_for,
        });
        Self {
            members: count(&members.list),
            before: count(&members.before),
            holding: holding.count(),
            silent: silent.collect(),
        }
    }
}

impl fmt::Display for MemberCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LiveCounts {
            all,
            living,
            needed,
        } = self.members;
        let holding = self.holding;
        write!(
            formatter,
            "members={all} living={living} needed={needed} holding={holding}"
        )?;
        let LiveCounts {
            all,
            living,
            needed,
        } = self.before;
        if all > 0 {
            write!(
                formatter,
                " before={all} before_living={living} before_needed={needed}"
            )?;
        }
        for SilentMember { node, silent_for } in &self.silent {
            write!(formatter, " silent={node}:{}ms", silent_for.as_millis())?;
        }
        Ok(())
    }
}
