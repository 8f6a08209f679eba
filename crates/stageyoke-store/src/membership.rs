//! Decides a member's next step in the list of its group. Pure: the caller makes
//! the change under the condition that the list has not moved meanwhile.
//!
//! A change is joint: from its proposal on records need a quorum of the members
//! before and of those from now on. It is settled once it is *fenced* (so many
//! complete members before go by it, and refuse whoever goes by an older list,
//! that no older quorum can be reached), and a write quorum of the new members
//! holds all that these held then (`docs/GROUPS.md` has the argument). Any
//! member may be replaced so, as soon as a successor has filled up; what can be
//! lost is borne again from then on.

use std::time::Duration;

use stageyoke_directory::{Member, Members, Tolerance, write_quorum};
use stageyoke_types::{List, Text};

use crate::message::JournalPosition;
use crate::waiting::Waiting;

/// A member that nobody hears for this long leaves the list if no successor has
/// taken its place: those that are left can be healed with fewer of them alive.
pub const REMOVE_AFTER: Duration = Duration::from_secs(6);
/// How long the list must have stood before a member too many leaves: whoever
/// was away may be so again.
pub const SURPLUS_AFTER: Duration = Duration::from_secs(10);
/// The first living member of the list makes the next step; the others after
/// this time, if it has not. Saves proposals that lose against one another.
pub const OTHERS_STEP_AFTER: Duration = Duration::from_secs(1);

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
    /// Whether the group takes one more member.
    pub room: bool,
    /// Whether a store that is no member compares with this one: it is about to take a
    /// place.
    pub successor_near: bool,
    /// Whether this store holds what the fence of the change under way held.
    pub fenced: bool,
    /// How long the current list has been in use here.
    pub list_age: Duration,
    /// A member that is silent for so long may be replaced.
    pub replace_after: Duration,
}

/// Where a store's journal ended when it was first seen to hold all that must
/// last under a version of the member list. A peer that holds the journal up to
/// there holds all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedEnd {
    members_version: u64,
    end: JournalPosition,
}

impl SharedEnd {
    /// The end that was known, if it is this list's; else the journal's end
    /// now, provided that this store is fenced.
    pub fn under(
        members: &Members,
        known: Option<Self>,
        fenced: bool,
        end: JournalPosition,
    ) -> Option<Self> {
        let members_version = members.version;
        let known = known.filter(|known| known.members_version == members_version);
        known.or_else(|| {
            fenced.then_some(Self {
                members_version,
                end,
            })
        })
    }

    /// Whether a peer that holds the journal up to there holds all of it.
    pub fn held_by(&self, held: JournalPosition) -> bool {
        held.journal == self.end.journal && held.next >= self.end.next
    }
}

/// Whether no older list can be used any more: this store holds what so many
/// members held, complete, when they went by the current list already, that every
/// quorum before is met.
pub fn fenced(members: &Members, tolerance: &Tolerance, in_step: impl Fn(&Member) -> bool) -> bool {
    members.intersects_every_quorum(tolerance, in_step)
}

/// Whether so many members have been caught up with that no kept record can
/// stand only elsewhere.
pub fn caught_up_with_group(
    members: &Members,
    tolerance: &Tolerance,
    caught_up_with: impl Fn(&str) -> bool,
) -> bool {
    members.intersects_every_quorum(tolerance, |member| caught_up_with(&member.node))
}

/// What this store knows of a peer.
#[derive(Clone, Debug)]
pub struct PeerHealth {
    /// Machine name.
    pub node: Text,
    /// How long it has not answered.
    pub silent_for: Duration,
    /// Whether this store holds what the fence held, and the peer holds all of
    /// that.
    pub caught_up: bool,
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do before this.
    Rest(Waiting),
    /// Put this list in place of the current one.
    Change(Members),
    /// Begin to leave: a retirement, if there is one, is under way.
    BeginLeaving(Members),
}

/// Whether no record can have been kept by anybody: a group too small for a
/// write quorum has never had one, since no list shrinks below it. Every disk is
/// complete then, whatever became of it.
pub fn nothing_kept_yet(members: &Members, tolerance: &Tolerance) -> bool {
    members.quorums(tolerance).is_none()
}

/// The next step.
pub fn decide(
    members: &Members,
    oneself: &Oneself,
    peers: &[PeerHealth],
    tolerance: &Tolerance,
) -> Step {
    let view = View {
        members,
        oneself,
        peers,
        tolerance,
    };
    match members.get(&oneself.entry.node) {
        None => view.join(),
        Some(current) if *current != oneself.entry => {
            Step::Change(members.with_member(oneself.entry.clone()))
        }
        Some(_) if members.is_settled() => view.begin(),
        Some(_) => view.conclude(),
    }
}

/// What a step is decided by.
struct View<'a> {
    members: &'a Members,
    oneself: &'a Oneself,
    peers: &'a [PeerHealth],
    tolerance: &'a Tolerance,
}

impl View<'_> {
    /// A store that is no member takes the place of one that is silent, or one
    /// more where there is room.
    fn join(&self) -> Step {
        let (members, oneself) = (self.members, self.oneself);
        if oneself.retiring {
            return Step::Rest(Waiting::Nothing);
        }
        if !oneself.complete {
            return Step::Rest(Waiting::Completeness);
        }
        let entry = oneself.entry.clone();
        if nothing_kept_yet(members, self.tolerance) {
            return Step::Change(members.with_member(entry));
        }
        if !oneself.caught_up {
            return Step::Rest(Waiting::CatchUp);
        }
        if let Some(silent) = self.longest_silent(&members.list, oneself.replace_after) {
            let list = members.list_replacing(&silent, entry);
            return self.change_if_it_keeps(list);
        }
        // While a change is under way a new one waits, unless it replaces somebody.
        if !members.is_settled() {
            return Step::Rest(Waiting::Settling);
        }
        if !oneself.room {
            return Step::Rest(Waiting::Room);
        }
        // One more beside a member that is lost would count it for the quorums: whoever has
        // not answered for a while is heard or replaced first.
        if self
            .longest_silent(&members.list, oneself.replace_after / 2)
            .is_some()
        {
            return Step::Rest(Waiting::Successor);
        }
        let mut list = members.list.clone();
        list.push(entry);
        self.change_if_it_keeps(list)
    }

    /// Changes to a list that has a write quorum: with many members in one zone that may
    /// be lost there is none, and a list without one counts as one that has never kept
    /// anything.
    fn change_if_it_keeps(&self, list: List<Member>) -> Step {
        match write_quorum(&list, self.tolerance) {
            Some(_) => Step::Change(self.members.start_change(list)),
            None => Step::Rest(Waiting::Room),
        }
    }

    /// What a member does while no change is under way.
    fn begin(&self) -> Step {
        let oneself = self.oneself;
        let too_many = oneself.surplus && oneself.list_age >= SURPLUS_AFTER;
        if oneself.retiring || too_many {
            return self.leave();
        }
        if !oneself.complete {
            return Step::Rest(Waiting::Completeness);
        }
        if self.all_there() {
            return Step::Rest(Waiting::Nothing);
        }
        // A removal just before a successor comes makes it begin anew.
        if oneself.successor_near {
            return Step::Rest(Waiting::Successor);
        }
        let removable = self.longest_silent(&self.members.list, REMOVE_AFTER);
        let list = removable.map(|silent| self.members.list_without(&silent));
        match list.filter(|list| self.serves(list, REMOVE_AFTER)) {
            Some(_) if !self.acts_first() => Step::Rest(Waiting::FirstMember),
            Some(list) => Step::Change(self.members.start_change(list)),
            None => Step::Rest(Waiting::Successor),
        }
    }

    fn all_there(&self) -> bool {
        let silent = self.longest_silent(&self.members.list, self.oneself.replace_after);
        silent.is_none()
    }

    /// Leaves the list, if the others can serve without it.
    fn leave(&self) -> Step {
        let list = self.members.list_without(&self.oneself.entry.node);
        match self.serves(&list, self.oneself.replace_after) {
            true => Step::BeginLeaving(self.members.start_change(list)),
            false => Step::Rest(Waiting::OthersToServe),
        }
    }

    /// Settles the change under way, or gives it up where those from now on can't
    /// serve and those before can.
    fn conclude(&self) -> Step {
        let (members, oneself) = (self.members, self.oneself);
        if !self.acts_first() {
            return Step::Rest(Waiting::FirstMember);
        }
        let Some(missing) = self.missing_to_settle() else {
            return Step::Change(members.settle_change());
        };
        let within = oneself.replace_after;
        if !self.serves(&members.list, within) && self.serves(&members.before, within) {
            return Step::Change(members.abandon_change());
        }
        Step::Rest(missing)
    }

    /// What the change under way lacks to be settled.
    fn missing_to_settle(&self) -> Option<Waiting> {
        if !self.oneself.complete {
            return Some(Waiting::Completeness);
        }
        if !self.oneself.fenced {
            return Some(Waiting::Fence);
        }
        (!self.holders_suffice()).then_some(Waiting::Holders)
    }

    /// Whether a write quorum of the new members holds all that the fence held.
    fn holders_suffice(&self) -> bool {
        let holds = |member: &&Member| match self.peer(&member.node) {
            Some(peer) => peer.caught_up,
            None => member.node == self.oneself.entry.node,
        };
        let holders = self.members.list.iter().filter(holds).count();
        let needed = self.members.write_quorum(self.tolerance);
        needed.is_some_and(|needed| needed <= holders)
    }

    /// Whether these members are enough for a write quorum, without those that
    /// are silent for longer than that.
    fn serves(&self, list: &List<Member>, silence: Duration) -> bool {
        let living = |member: &&Member| !self.silent(&member.node, silence);
        let living = list.iter().filter(living).count();
        write_quorum(list, self.tolerance).is_some_and(|needed| needed <= living)
    }

    fn longest_silent(&self, list: &List<Member>, silence: Duration) -> Option<Text> {
        let listed = |peer: &&PeerHealth| list.iter().any(|member| member.node == peer.node);
        let silent = self.peers.iter().filter(listed);
        let silent = silent.filter(|peer| peer.silent_for > silence);
        let longest = silent.max_by_key(|peer| peer.silent_for);
        longest.map(|peer| peer.node.clone())
    }

    fn silent(&self, node: &str, silence: Duration) -> bool {
        let peer = self.peer(node);
        peer.is_some_and(|peer| peer.silent_for > silence)
    }

    fn peer(&self, node: &str) -> Option<&PeerHealth> {
        self.peers.iter().find(|peer| peer.node.as_str() == node)
    }

    /// Whether this store makes the step now: it is the first of the list that is
    /// not silent, or the first has had its time.
    fn acts_first(&self) -> bool {
        let oneself = self.oneself;
        let living = |member: &&Member| !self.silent(&member.node, oneself.replace_after);
        let first = self.members.list.iter().find(living);
        first.is_none_or(|first| first.node == oneself.entry.node)
            || oneself.list_age >= OTHERS_STEP_AFTER
    }
}
