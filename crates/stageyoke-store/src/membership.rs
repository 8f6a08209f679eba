//! Decides a member's next step in the list of its group. Pure: the caller makes
//! the change under the condition that the list has not moved meanwhile.
//!
//! Quorums of neighbouring lists intersect; those of lists further apart need
//! not. So before a list is followed by one with other members, the one before
//! it is *fenced*: so many complete members go by the current list, and refuse
//! whoever goes by an older one, that no older quorum can be reached any more;
//! and whoever proposes the next list holds all that they held then
//! (`docs/GROUPS.md` has the argument).

use std::time::Duration;

use stageyoke_directory::groups::SMALLEST_GROUP;
use stageyoke_directory::{Member, MemberState, Members, Tolerance};
use stageyoke_types::Text;

use crate::message::JournalPosition;

/// A member that nobody hears for this long may be dropped from the list once
/// all others have caught up with one another.
pub const REMOVE_AFTER: Duration = Duration::from_secs(6);
/// How long the list must have stood before a member too many leaves: whoever
/// was away may be so again.
pub const SURPLUS_AFTER: Duration = Duration::from_secs(10);
/// This store, as it should stand in the list.
#[derive(Clone, Debug)]
pub struct Oneself {
    /// Its entry as an active member.
    pub entry: Member,
    /// Whether the disk holds everything that it acknowledged, or, for a new
    /// store, everything that the group holds.
    pub complete: bool,
    /// Whether this life of the process has caught up with the group.
    pub caught_up: bool,
    /// Whether the operator wants this store emptied.
    pub retiring: bool,
    /// Whether it is a member too many, and should become a spare.
    pub surplus: bool,
    /// Whether half of the time for the retirement is over.
    pub retirement_is_late: bool,
    /// Whether the lists before the current one are fenced.
    pub fenced: bool,
    /// Active peers that hold everything that this store holds.
    pub peers_holding_all: usize,
    /// How long the current list has been in use here.
    pub list_age: Duration,
}

/// Where a store's journal ended when it was first seen to hold everything that
/// its living peers held under a member list. A peer that holds the journal up
/// to there holds what all of them held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedEnd {
    members_version: u64,
    end: JournalPosition,
}

impl SharedEnd {
    /// The end that was known, if it is this list's; else the journal's end
    /// now, provided that this store holds what its living peers held since the
    /// list came into use.
    pub fn under(
        members: &Members,
        known: Option<Self>,
        holds_living_peers: impl FnOnce() -> bool,
        end: JournalPosition,
    ) -> Option<Self> {
        let members_version = members.version;
        let known = known.filter(|known| known.members_version == members_version);
        known.or_else(|| {
            holds_living_peers().then_some(Self {
                members_version,
                end,
            })
        })
    }

    /// Whether a peer that holds the journal up to there holds all of it.
    pub fn held_by(&self, held: JournalPosition) -> bool {
        held.disk == self.end.disk && held.next >= self.end.next
    }
}

/// Whether the lists before the current one are fenced, by members that are in
/// step: this store holds what they held, complete, under the current list. For
/// a store that leaves it is enough that they know that list: what it does not
/// hold stays where it is.
pub fn fenced(members: &Members, tolerance: &Tolerance, in_step: impl Fn(&Member) -> bool) -> bool {
    let Some(needed) = members.fence_quorum(tolerance) else {
        return false;
    };
    let in_step = members.list.iter().filter(|member| in_step(member));
    in_step.count() >= needed
}

/// Whether so many members have been caught up with that no kept record can
/// stand only elsewhere.
pub fn caught_up_with_group(
    members: &Members,
    tolerance: &Tolerance,
    caught_up_with: impl Fn(&str) -> bool,
) -> bool {
    let Some(needed) = members.absence_quorum(tolerance) else {
        return false;
    };
    let caught_up = members.list.iter();
    let caught_up = caught_up.filter(|member| caught_up_with(&member.node));
    caught_up.count() >= needed
}

/// What this store knows of a peer.
#[derive(Clone, Debug)]
pub struct PeerHealth {
    /// Machine name.
    pub node: Text,
    /// How long it has not answered.
    pub silent_for: Duration,
    /// Whether this store holds what its living peers held under the current
    /// list, and the peer holds all of that.
    pub caught_up: bool,
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Rest,
    /// Put this list in place of the current one.
    Change(Members),
    /// Mark oneself as leaving: a retirement, if there is one, is under way.
    BeginLeaving(Members),
    /// Leave the list: a retirement, if there is one, is complete.
    Leave(Members),
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
    let entry = oneself.entry.clone();
    let Some(current) = members.get(&entry.node) else {
        return join(members, entry, oneself, tolerance);
    };
    let leaving = current.state == MemberState::Leaving;
    let begins = oneself.surplus && oneself.list_age >= SURPLUS_AFTER;
    if oneself.retiring || begins || (leaving && oneself.surplus) {
        return leave(members, current, oneself, peers, tolerance);
    }
    if *current != entry {
        return Step::Change(members.with(entry));
    }
    remove_dead(members, oneself, peers, tolerance)
}

fn join(members: &Members, entry: Member, oneself: &Oneself, tolerance: &Tolerance) -> Step {
    if oneself.retiring {
        return Step::Rest;
    }
    let holds_all = oneself.caught_up && oneself.fenced;
    let ready = holds_all || nothing_kept_yet(members, tolerance);
    if oneself.complete && ready {
        return Step::Change(members.with(entry));
    }
    Step::Rest
}

fn leave(
    members: &Members,
    current: &Member,
    oneself: &Oneself,
    peers: &[PeerHealth],
    tolerance: &Tolerance,
) -> Step {
    if current.state == MemberState::Active {
        let leaving = Member {
            state: MemberState::Leaving,
            ..current.clone()
        };
        let next = members.with(leaving);
        // Members that are leaving or dead take no records, and count for the quorum
        // as long as they are listed: a group of three whose dead member was still in
        // the list refused every turn for 4.3 s while a fourth left it.
        return match serves(&next, peers, tolerance) {
            true => Step::BeginLeaving(next),
            false => Step::Rest,
        };
    }
    let rest = members.without(&oneself.entry.node);
    let Some(needed) = rest.write_quorum(tolerance) else {
        return Step::Rest;
    };
    // All of the rest are to hold everything; once time runs short, as many as
    // a quorum needs, since one of them may be down.
    let holders = match oneself.retirement_is_late {
        true => needed,
        false => needed.max(rest.list.len()),
    };
    if oneself.fenced && oneself.peers_holding_all >= holders {
        return Step::Leave(rest);
    }
    Step::Rest
}

/// Whether enough members of a list take records for a write quorum: active ones that
/// are not known to be dead.
fn serves(members: &Members, peers: &[PeerHealth], tolerance: &Tolerance) -> bool {
    let dead = |member: &Member| {
        let mut peers = peers.iter();
        let peer = peers.find(|peer| peer.node == member.node);
        peer.is_some_and(|peer| peer.silent_for > REMOVE_AFTER)
    };
    let serving = members.list.iter();
    let serving = serving.filter(|member| member.state == MemberState::Active && !dead(member));
    let needed = members.write_quorum(tolerance);
    needed.is_some_and(|needed| needed <= serving.count())
}

/// Removes one dead member in two steps, if those that are left can keep records
/// and hold everything together: so many complete ones that no kept record can
/// stand on dead members only (`fenced`), however many these are. What it acknowledged to fronts that don't know of the first step
/// is held by others too before the second.
fn remove_dead(
    members: &Members,
    oneself: &Oneself,
    peers: &[PeerHealth],
    tolerance: &Tolerance,
) -> Step {
    let dead = |peer: &&PeerHealth| peer.silent_for > REMOVE_AFTER;
    let dead_count = peers.iter().filter(dead).count();
    let is_leaving = |peer: &PeerHealth| {
        let member = members.get(&peer.node);
        member.is_some_and(|member| member.state == MemberState::Leaving)
    };
    let longest_dead = peers
        .iter()
        .filter(dead)
        .max_by_key(|peer| (is_leaving(peer), peer.silent_for));
    let Some(gone) = longest_dead else {
        return Step::Rest;
    };
    let rest = members.without(&gone.node);
    let living = members.list.len() - dead_count;
    let serves = rest
        .write_quorum(tolerance)
        .is_some_and(|needed| needed <= living);
    let large_enough = rest.list.len() >= SMALLEST_GROUP;
    let mut living = peers.iter().filter(|peer| !dead(peer));
    let caught_up = living.all(|peer| peer.caught_up);
    if !(serves && large_enough && caught_up && oneself.fenced) {
        return Step::Rest;
    }
    // First nobody counts on it any more; it goes once the list that says so is
    // fenced in its turn, and no front can that does.
    match members.get(&gone.node) {
        Some(member) if member.state == MemberState::Active => {
            let leaving = Member {
                state: MemberState::Leaving,
                ..member.clone()
            };
            Step::Change(members.with(leaving))
        }
        Some(_) => Step::Change(rest),
        None => Step::Rest,
    }
}
