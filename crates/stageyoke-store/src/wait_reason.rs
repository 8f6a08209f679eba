//! What a store waits for when it makes no step in the list of its group, with the
//! counts that decide, for the log.

use std::fmt;
use std::time::Duration;

use stageyoke_directory::{Member, Members, Tolerance, write_quorum};
use stageyoke_types::Text;

use crate::membership::{LocalMember, PeerHealth};

/// What a store waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Nothing: the list is settled, and all its members are there.
    Nothing,
    /// Its own disk may lack something: as many complete members, by the list of
    /// today, as every write quorum meets.
    Completeness,
    /// It holds not yet all that the members of today's list hold.
    CatchUp,
    /// The group needs no further member.
    Room,
    /// A store that wants to join: the change under way.
    Settling,
    /// Another member makes the step.
    FirstMember,
    /// So many members before, complete, that go by the change under way, that every
    /// quorum before is met.
    Fence,
    /// A write quorum of the new members that holds what the fence held.
    Holders,
    /// A member is silent: its return, or a successor.
    Successor,
    /// It is to leave: enough others that could serve without it.
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

/// The counts that a step is decided by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members of the list, and before the change under way.
    members: Living,
    before: Living,
    /// Members of the list that hold what the fence held, with this store.
    holding: usize,
    silent: Vec<SilentMember>,
}

/// Members of one list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Living {
    all: usize,
    living: usize,
    /// A write quorum; nought where there is none.
    needed: usize,
}

impl MemberCounts {
    /// By what a store knows of the others.
    pub fn new(
        members: &Members,
        oneself: &LocalMember,
        peers: &[PeerHealth],
        tolerance: &Tolerance,
    ) -> Self {
        let peer = |node: &str| peers.iter().find(|peer| peer.node.as_str() == node);
        let lives = |node: &str| {
            let peer = peer(node);
            peer.is_none_or(|peer| peer.silent_for <= oneself.replacement_timeout)
        };
        let count = |list: &[Member]| Living {
            all: list.len(),
            living: list.iter().filter(|member| lives(&member.node)).count(),
            needed: write_quorum(list, tolerance).unwrap_or_default(),
        };
        let holds = |node: &str| match peer(node) {
            Some(peer) => peer.caught_up,
            None => node == oneself.entry.node.as_str(),
        };
        let holding = members.list.iter().filter(|member| holds(&member.node));
        let silent = peers.iter().filter(|peer| !lives(&peer.node));
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
        let Living {
            all,
            living,
            needed,
        } = self.members;
        let holding = self.holding;
        write!(
            formatter,
            "members={all} living={living} needed={needed} holding={holding}"
        )?;
        let Living {
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
