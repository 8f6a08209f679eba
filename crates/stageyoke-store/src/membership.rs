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
use crate::wait_reason::WaitReason;

/// A member that nobody hears for this long leaves the list if no successor has
/// taken its place: those that are left can be healed with fewer of them alive.
pub const SILENT_REMOVAL_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the list must have stood before a member too many leaves: whoever
/// was away may be so again.
pub const SURPLUS_LEAVE_DELAY: Duration = Duration::from_secs(10);
/// The first living member of the list makes the next step; the others after
/// this time, if it has not. Saves proposals that lose against one another.
pub const STEP_TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// This store, as it should stand in the list.
#[derive(Clone, Debug)]
pub struct LocalMember {
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
    pub has_room: bool,
    /// Whether a store that is no member compares with this one: it is about to take a
    /// place.
    pub successor_pending: bool,
    /// Whether this store holds what the fence of the change under way held.
    pub fenced: bool,
    /// How long the current list has been in use here.
    pub member_list_age: Duration,
    /// A member that is silent for so long may be replaced.
    pub replacement_timeout: Duration,
}

/// Where a store's journal ended when it was first seen to hold all that must
/// last under a version of the member list. A peer that holds the journal up to
/// there holds all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencedJournalEnd {
    members_version: u64,
    end: JournalPosition,
}

impl FencedJournalEnd {
    /// The end that was known, if it is this list's; else the journal's end
    /// now, provided that this store is fenced.
    pub fn for_members(
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
    pub fn is_covered_by(&self, held: JournalPosition) -> bool {
        held.journal == self.end.journal && held.next >= self.end.next
    }
}

/// Whether no older list can be used any more: this store holds what so many
/// members held, complete, when they went by the current list already, that every
/// quorum before is met.
pub fn is_fenced(
    members: &Members,
    tolerance: &Tolerance,
    in_step: impl Fn(&Member) -> bool,
) -> bool {
    members.intersects_every_quorum(tolerance, in_step)
}

/// Whether so many members have been caught up with that no kept record can
/// stand only elsewhere.
pub fn is_caught_up_with_group(
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
pub enum MembershipStep {
    /// Nothing to do before this.
    Wait(WaitReason),
    /// Put this list in place of the current one.
    Change(Members),
    /// Begin to leave: a retirement, if there is one, is under way.
    StartLeaving(Members),
}

/// Whether no record can have been kept by anybody: a group too small for a
/// write quorum has never had one, since no list shrinks below it. Every disk is
/// complete then, whatever became of it.
pub fn has_never_stored(members: &Members, tolerance: &Tolerance) -> bool {
    members.quorums(tolerance).is_none()
}

/// The next step.
pub fn decide(
    members: &Members,
    oneself: &LocalMember,
    peers: &[PeerHealth],
    tolerance: &Tolerance,
) -> MembershipStep {
    let view = View {
        members,
        oneself,
        peers,
        tolerance,
    };
    match members.get(&oneself.entry.node) {
        None => view.join(),
        Some(current) if *current != oneself.entry => {
            MembershipStep::Change(members.with_member(oneself.entry.clone()))
        }
        Some(_) if members.is_settled() => view.begin(),
        Some(_) => view.conclude(),
    }
}

/// What a step is decided by.
struct View<'a> {
    members: &'a Members,
    oneself: &'a LocalMember,
    peers: &'a [PeerHealth],
    tolerance: &'a Tolerance,
}

impl View<'_> {
    /// A store that is no member takes the place of one that is silent, or one
    /// more where there is room.
    fn join(&self) -> MembershipStep {
        let (members, oneself) = (self.members, self.oneself);
        if oneself.retiring {
            return MembershipStep::Wait(WaitReason::Nothing);
        }
        if !oneself.complete {
            return MembershipStep::Wait(WaitReason::Completeness);
        }
        let entry = oneself.entry.clone();
        if has_never_stored(members, self.tolerance) {
            return MembershipStep::Change(members.with_member(entry));
        }
        if !oneself.caught_up {
            return MembershipStep::Wait(WaitReason::CatchUp);
        }
        if let Some(silent) = self.longest_silent(&members.list, oneself.replacement_timeout) {
            let list = members.list_replacing(&silent, entry);
            return self.change_if_it_keeps(list);
        }
        // While a change is under way a new one waits, unless it replaces somebody.
        if !members.is_settled() {
            return MembershipStep::Wait(WaitReason::Settling);
        }
        if !oneself.has_room {
            return MembershipStep::Wait(WaitReason::Room);
        }
        // One more beside a member that is lost would count it for the quorums: whoever has
        // not answered for a while is heard or replaced first.
        if self
            .longest_silent(&members.list, oneself.replacement_timeout / 2)
            .is_some()
        {
            return MembershipStep::Wait(WaitReason::Successor);
        }
        let mut list = members.list.clone();
        list.push(entry);
        self.change_if_it_keeps(list)
    }

    /// Changes to a list that has a write quorum: with many members in one zone that may
    /// be lost there is none, and a list without one counts as one that has never kept
    /// anything.
    fn change_if_it_keeps(&self, list: List<Member>) -> MembershipStep {
        match write_quorum(&list, self.tolerance) {
            Some(_) => MembershipStep::Change(self.members.start_change(list)),
            None => MembershipStep::Wait(WaitReason::Room),
        }
    }

    /// What a member does while no change is under way.
    fn begin(&self) -> MembershipStep {
        let oneself = self.oneself;
        let too_many = oneself.surplus && oneself.member_list_age >= SURPLUS_LEAVE_DELAY;
        if oneself.retiring || too_many {
            return self.leave();
        }
        if !oneself.complete {
            return MembershipStep::Wait(WaitReason::Completeness);
        }
        if self.all_there() {
            return MembershipStep::Wait(WaitReason::Nothing);
        }
        // A removal just before a successor comes makes it begin anew.
        if oneself.successor_pending {
            return MembershipStep::Wait(WaitReason::Successor);
        }
        let removable = self.longest_silent(&self.members.list, SILENT_REMOVAL_TIMEOUT);
        let list = removable.map(|silent| self.members.list_without(&silent));
        match list.filter(|list| self.serves(list, SILENT_REMOVAL_TIMEOUT)) {
            Some(_) if !self.acts_first() => MembershipStep::Wait(WaitReason::FirstMember),
            Some(list) => MembershipStep::Change(self.members.start_change(list)),
            None => MembershipStep::Wait(WaitReason::Successor),
        }
    }

    fn all_there(&self) -> bool {
        let silent = self.longest_silent(&self.members.list, self.oneself.replacement_timeout);
        silent.is_none()
    }

    /// Leaves the list, if the others can serve without it.
    fn leave(&self) -> MembershipStep {
        let list = self.members.list_without(&self.oneself.entry.node);
        match self.serves(&list, self.oneself.replacement_timeout) {
            true => MembershipStep::StartLeaving(self.members.start_change(list)),
            false => MembershipStep::Wait(WaitReason::OthersToServe),
        }
    }

    /// Settles the change under way, or gives it up where those from now on can't
    /// serve and those before can.
    fn conclude(&self) -> MembershipStep {
        let (members, oneself) = (self.members, self.oneself);
        if !self.acts_first() {
            return MembershipStep::Wait(WaitReason::FirstMember);
        }
        let Some(missing) = self.missing_to_settle() else {
            return MembershipStep::Change(members.settle_change());
        };
        let within = oneself.replacement_timeout;
        if !self.serves(&members.list, within) && self.serves(&members.before, within) {
            return MembershipStep::Change(members.abandon_change());
        }
        MembershipStep::Wait(missing)
    }

    /// What the change under way lacks to be settled.
    fn missing_to_settle(&self) -> Option<WaitReason> {
        if !self.oneself.complete {
            return Some(WaitReason::Completeness);
        }
        if !self.oneself.fenced {
            return Some(WaitReason::Fence);
        }
        (!self.holders_suffice()).then_some(WaitReason::Holders)
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
        let living = |member: &&Member| !self.silent(&member.node, oneself.replacement_timeout);
        let first = self.members.list.iter().find(living);
        first.is_none_or(|first| first.node == oneself.entry.node)
            || oneself.member_list_age >= STEP_TAKEOVER_DELAY
    }
}
