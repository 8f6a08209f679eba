//! Decides this store's next step in the member list. Pure: the caller makes
//! the change under the condition that the list has not moved meanwhile.

use std::time::Duration;

use stageyoke_directory::{Member, MemberState, Members, Tolerance};
use stageyoke_types::Text;

/// A member that nobody hears for this long may be dropped from the list once
/// all others have caught up with one another.
pub const REMOVE_AFTER: Duration = Duration::from_secs(6);
/// A group never shrinks below this many members by itself.
const SMALLEST_GROUP: usize = 3;

/// This store, as it should stand in the list.
#[derive(Clone, Debug)]
pub struct Oneself {
    /// Machine name.
    pub node: Text,
    /// Address of the inner listener.
    pub address: Text,
    /// Zone.
    pub zone: Text,
    /// Whether the disk holds everything that it acknowledged, or, for a new
    /// store, everything that the group holds.
    pub complete: bool,
    /// Whether this life of the process has caught up with the group.
    pub caught_up: bool,
    /// Whether the operator wants this store emptied.
    pub retiring: bool,
    /// Whether half of the time for that is over.
    pub retirement_is_late: bool,
    /// Active peers that hold everything that this store holds.
    pub peers_holding_all: usize,
}

/// What this store knows of a peer.
#[derive(Clone, Debug)]
pub struct PeerHealth {
    /// Machine name.
    pub node: Text,
    /// How long it has not answered.
    pub silent_for: Duration,
    /// Whether this store holds what it held.
    pub caught_up: bool,
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Rest,
    /// Put this list in place of the current one.
    Change(Members),
    /// Mark oneself as leaving and report that the retirement is under way.
    BeginRetirement(Members),
    /// Leave the list and report that the retirement is complete.
    CompleteRetirement(Members),
}

/// Whether no record can have been kept by anybody: a group too small for a
/// write quorum has never had one, since no list shrinks below it. Every disk is
/// complete then, whatever became of it.
pub fn nothing_kept_yet(members: &Members, tolerance: &Tolerance) -> bool {
    members.write_quorum(tolerance).is_none()
}

/// The next step.
pub fn decide(
    members: &Members,
    oneself: &Oneself,
    peers: &[PeerHealth],
    tolerance: &Tolerance,
) -> Step {
    let entry = Member {
        node: oneself.node.clone(),
        address: oneself.address.clone(),
        zone: oneself.zone.clone(),
        state: MemberState::Active,
    };
    let Some(current) = members.get(&oneself.node) else {
        return join(members, entry, oneself, tolerance);
    };
    if oneself.retiring {
        return retire(members, current, oneself, tolerance);
    }
    if current.address != entry.address {
        return Step::Change(members.with(entry));
    }
    remove_dead(members, peers, tolerance)
}

fn join(members: &Members, entry: Member, oneself: &Oneself, tolerance: &Tolerance) -> Step {
    if oneself.retiring {
        return Step::Rest;
    }
    let ready = oneself.caught_up || nothing_kept_yet(members, tolerance);
    if oneself.complete && ready {
        return Step::Change(members.with(entry));
    }
    Step::Rest
}

fn retire(members: &Members, current: &Member, oneself: &Oneself, tolerance: &Tolerance) -> Step {
    if current.state == MemberState::Active {
        let leaving = Member {
            state: MemberState::Leaving,
            ..current.clone()
        };
        return Step::BeginRetirement(members.with(leaving));
    }
    let rest = members.without(&oneself.node);
    let Some(needed) = rest.write_quorum(tolerance) else {
        return Step::Rest;
    };
    // All of the rest are to hold everything; once time runs short, as many as
    // a quorum needs, since one of them may be down.
    let holders = match oneself.retirement_is_late {
        true => needed,
        false => needed.max(rest.list.len()),
    };
    if oneself.peers_holding_all >= holders {
        return Step::CompleteRetirement(rest);
    }
    Step::Rest
}

fn remove_dead(members: &Members, peers: &[PeerHealth], tolerance: &Tolerance) -> Step {
    let mut dead = peers.iter().filter(|peer| peer.silent_for > REMOVE_AFTER);
    let (Some(gone), None) = (dead.next(), dead.next()) else {
        return Step::Rest;
    };
    let rest = members.without(&gone.node);
    let large_enough = rest.list.len() >= SMALLEST_GROUP && rest.write_quorum(tolerance).is_some();
    let others_caught_up = peers
        .iter()
        .filter(|peer| peer.node != gone.node)
        .all(|peer| peer.caught_up);
    if large_enough && others_caught_up {
        return Step::Change(rest);
    }
    Step::Rest
}
