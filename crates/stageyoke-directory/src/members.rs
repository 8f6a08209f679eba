//! The list of the store group's members. It lives in the key-value service
//! under a key of the product's own and changes one member at a time, so that
//! the quorums of neighbouring versions intersect.

use nanoserde::{DeBin, SerBin};
use stageyoke_types::{List, Text};

/// Whether a member takes new records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MemberState {
    /// Takes and keeps records.
    Active,
    /// Being emptied: serves reads, refuses records.
    Leaving,
}

/// One store.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Member {
    /// Machine name.
    pub node: Text,
    /// `IP:PORT` of its inner listener.
    pub address: Text,
    /// Zone that it is in.
    pub zone: Text,
    /// Whether it takes new records.
    pub state: MemberState,
}

/// The list, as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Members {
    /// Rises by one with each change.
    pub version: u64,
    /// All members, in the order of their joining.
    pub list: List<Member>,
}

impl Members {
    /// The member on this machine.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.list.iter().find(|member| member.node.as_str() == node)
    }

    /// The next version with `member` added or replaced.
    pub fn with(&self, member: Member) -> Self {
        let mut next = self.without(&member.node);
        match self.list.iter().position(|old| old.node == member.node) {
            Some(position) => next.list.insert(position, member),
            None => next.list.push(member),
        }
        next
    }

    /// The next version without the member on this machine.
    pub fn without(&self, node: &str) -> Self {
        let mut list = self.list.clone();
        list.retain(|member| member.node.as_str() != node);
        Self {
            version: self.version + 1,
            list,
        }
    }

    /// Copies that a record needs before it counts as kept: a majority, and
    /// more than the disks that may be lost. `None` while the group is too
    /// small for that.
    pub fn write_quorum(&self, tolerated_losses: usize) -> Option<usize> {
        write_quorum(self.list.len(), tolerated_losses)
    }

    /// Complete members that must miss a record before it is known not to be
    /// kept: every set of this size meets every write quorum of this list and
    /// of the one before it, which may have been smaller by one.
    pub fn absence_quorum(&self, tolerated_losses: usize) -> Option<usize> {
        let count = self.list.len();
        let needed = write_quorum(count, tolerated_losses)?;
        let before = write_quorum(count - 1, tolerated_losses).unwrap_or(needed);
        Some(count - needed.min(before) + 1)
    }
}

fn write_quorum(count: usize, tolerated_losses: usize) -> Option<usize> {
    let needed = (count / 2 + 1).max(tolerated_losses + 1);
    (needed <= count).then_some(needed)
}
