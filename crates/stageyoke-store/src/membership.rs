//! Decides a store's next step in the member list of its group. Pure: the caller writes the
//! change on condition that the list is unchanged.
//!
//! A change passes through a joint configuration, in which records need a quorum of the old
//! members and one of the new members. It is settled once
//! - the old configuration is *fenced*: so many complete old members use the joint list, and
//!   reject callers with an older one, that no older quorum can be reached, and
//! - a write quorum of the new members holds everything that the fenced members held.
//!
//! See `docs/GROUPS.md` for the argument. Any member can be replaced in this way once its
//! successor has caught up; from then on the group tolerates further losses.

use std::time::Duration;

use stageyoke_directory::{Member, Members, Tolerance, write_quorum};
use stageyoke_types::{List, Text};

use crate::message::JournalPosition;
use crate::wait_reason::WaitReason;

/// Time after which an unresponsive member without a successor is removed: a smaller list
/// needs fewer live members to recover.
pub const SILENT_REMOVAL_TIMEOUT: Duration = Duration::from_secs(6);
/// Minimum age of the member list before a surplus member leaves: a member that was away
/// recently may fail again.
pub const SURPLUS_LEAVE_DELAY: Duration = Duration::from_secs(10);
/// Delay after which the other members make a step that the first live member of the list has
/// not made. Avoids conflicting proposals.
pub const STEP_TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// State of the local store that its next step depends on.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Entry of the store as an active member.
    pub entry: Member,
    /// True if the disk holds everything that the store has acknowledged or, for a new store,
    /// everything that the group holds.
    pub complete: bool,
    /// True if this process has caught up with the group since its start.
    pub caught_up: bool,
    /// True if the operator retires this store.
    pub retiring: bool,
    /// True if the group has more members than it needs and this one should become a spare.
    pub surplus: bool,
    /// True if the group accepts another member.
    pub has_room: bool,
    /// True if a spare compares its records with this store: it is about to replace a member.
    pub successor_pending: bool,
    /// True if this store holds everything that the fenced members of the pending change
    /// held.
    pub fenced: bool,
    /// Time since this store received the current member list.
    pub member_list_age: Duration,
    /// Time after which an unresponsive member may be replaced.
    pub replacement_timeout: Duration,
}

/// End of this store's journal when it first held everything that must survive the change to
/// a member list. A peer that has read the journal up to this position holds all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencedJournalEnd {
    members_version: u64,
    end: JournalPosition,
}

impl FencedJournalEnd {
    /// Returns the known end if it belongs to this member list, otherwise the current end of
    /// the journal if this store is fenced.
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

    /// Checks whether a peer that has read the journal up to `held` holds everything that
    /// must survive.
    pub fn is_covered_by(&self, held: JournalPosition) -> bool {
        held.journal == self.end.journal && held.next >= self.end.next
    }
}

/// Checks whether older member lists are out of use: this store is in sync with enough
/// complete members of the current list to intersect every older quorum.
pub fn is_fenced(
    members: &Members,
    tolerance: &Tolerance,
    is_in_sync: impl Fn(&Member) -> bool,
) -> bool {
    members.intersects_every_quorum(tolerance, is_in_sync)
}

/// Checks whether this store has caught up with enough members to hold every durable record.
pub fn is_caught_up_with_group(
    members: &Members,
    tolerance: &Tolerance,
    is_caught_up_with: impl Fn(&str) -> bool,
) -> bool {
    members.intersects_every_quorum(tolerance, |member| is_caught_up_with(&member.node))
}

/// Liveness and progress of a peer, as this store sees it.
#[derive(Clone, Debug)]
pub struct PeerHealth {
    /// Machine name.
    pub node: Text,
    /// Time since the peer's last answer.
    pub silent_for: Duration,
    /// True if this store holds everything that the fenced members held, and the peer has all
    /// of it.
    pub caught_up: bool,
}

/// Next action of a store regarding the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipStep {
    /// No action for now, for this reason.
    Wait(WaitReason),
    /// Replace the current member list by this one.
    Change(Members),
    /// Replace the member list by one without this store. A pending retirement starts with
    /// it.
    StartLeaving(Members),
}

/// Checks whether no record can have been stored yet: a group too small for a write quorum
/// has never had one, because no list shrinks below it. Any disk is then complete, even a
/// replaced one.
pub fn has_never_stored(members: &Members, tolerance: &Tolerance) -> bool {
    members.quorums(tolerance).is_none()
}

/// Decides the next step of the local store.
pub fn decide(
    members: &Members,
    local: &LocalMember,
    peers: &[PeerHealth],
    tolerance: &Tolerance,
) -> MembershipStep {
    let input = StepInput {
        members,
        local,
        peers,
        tolerance,
    };
    match members.get(&local.entry.node) {
        None => input.join(),
        Some(current) if *current != local.entry => {
            MembershipStep::Change(members.with_member(local.entry.clone()))
        }
        Some(_) if members.is_settled() => input.start_change(),
        Some(_) => input.finish_change(),
    }
}

/// Input of a decision.
struct StepInput<'a> {
    members: &'a Members,
    local: &'a LocalMember,
    peers: &'a [PeerHealth],
    tolerance: &'a Tolerance,
}

impl StepInput<'_> {
    /// Decides for a store that is not a member: it replaces an unresponsive member, or joins
    /// if the group accepts another one.
    fn join(&self) -> MembershipStep {
        let (members, local) = (self.members, self.local);
        if local.retiring {
            return MembershipStep::Wait(WaitReason::Nothing);
        }
        if !local.complete {
            return MembershipStep::Wait(WaitReason::Completeness);
        }
        let entry = local.entry.clone();
        if has_never_stored(members, self.tolerance) {
            return MembershipStep::Change(members.with_member(entry));
        }
        if !local.caught_up {
            return MembershipStep::Wait(WaitReason::CatchUp);
        }
        if let Some(silent) = self.longest_silent(&members.list, local.replacement_timeout) {
            let list = members.list_replacing(&silent, entry);
            return self.change_if_quorum_exists(list);
        }
        // A pending change blocks additions, but not replacements.
        if !members.is_settled() {
            return MembershipStep::Wait(WaitReason::Settling);
        }
        if !local.has_room {
            return MembershipStep::Wait(WaitReason::Room);
        }
        // An additional member next to a lost one would raise the quorum sizes: the
        // unresponsive member has to answer or be replaced first.
        if self
            .longest_silent(&members.list, local.replacement_timeout / 2)
            .is_some()
        {
            return MembershipStep::Wait(WaitReason::Successor);
        }
        let mut list = members.list.clone();
        list.push(entry);
        self.change_if_quorum_exists(list)
    }

    /// Changes to a list only if it has a write quorum. Too many members in one zone that may
    /// be lost leave it without one, and such a list would count as one that has never stored
    /// a record.
    fn change_if_quorum_exists(&self, list: List<Member>) -> MembershipStep {
        match write_quorum(&list, self.tolerance) {
            Some(_) => MembershipStep::Change(self.members.start_change(list)),
            None => MembershipStep::Wait(WaitReason::Room),
        }
    }

    /// Decides for a member while no change is pending.
    fn start_change(&self) -> MembershipStep {
        let local = self.local;
        let is_surplus = local.surplus && local.member_list_age >= SURPLUS_LEAVE_DELAY;
        if local.retiring || is_surplus {
            return self.leave();
        }
        if !local.complete {
            return MembershipStep::Wait(WaitReason::Completeness);
        }
        if self.all_members_respond() {
            return MembershipStep::Wait(WaitReason::Nothing);
        }
        // A removal just before the replacement would make the successor start over.
        if local.successor_pending {
            return MembershipStep::Wait(WaitReason::Successor);
        }
        let removable = self.longest_silent(&self.members.list, SILENT_REMOVAL_TIMEOUT);
        let list = removable.map(|silent| self.members.list_without(&silent));
        match list.filter(|list| self.has_live_quorum(list, SILENT_REMOVAL_TIMEOUT)) {
            Some(_) if !self.is_first_to_act() => MembershipStep::Wait(WaitReason::FirstMember),
            Some(list) => MembershipStep::Change(self.members.start_change(list)),
            None => MembershipStep::Wait(WaitReason::Successor),
        }
    }

    fn all_members_respond(&self) -> bool {
        let silent = self.longest_silent(&self.members.list, self.local.replacement_timeout);
        silent.is_none()
    }

    /// Leaves the list if the remaining members have a live write quorum.
    fn leave(&self) -> MembershipStep {
        let list = self.members.list_without(&self.local.entry.node);
        match self.has_live_quorum(&list, self.local.replacement_timeout) {
            true => MembershipStep::StartLeaving(self.members.start_change(list)),
            false => MembershipStep::Wait(WaitReason::OthersToServe),
        }
    }

    /// Settles the pending change. Rolls it back if the new members have no live write quorum
    /// and the old ones do.
    fn finish_change(&self) -> MembershipStep {
        let (members, local) = (self.members, self.local);
        if !self.is_first_to_act() {
            return MembershipStep::Wait(WaitReason::FirstMember);
        }
        let Some(blocker) = self.settle_blocker() else {
            return MembershipStep::Change(members.settle_change());
        };
        let silence = local.replacement_timeout;
        if !self.has_live_quorum(&members.list, silence)
            && self.has_live_quorum(&members.before, silence)
        {
            return MembershipStep::Change(members.abandon_change());
        }
        MembershipStep::Wait(blocker)
    }

    /// Returns what the pending change still needs before it can be settled.
    fn settle_blocker(&self) -> Option<WaitReason> {
        if !self.local.complete {
            return Some(WaitReason::Completeness);
        }
        if !self.local.fenced {
            return Some(WaitReason::Fence);
        }
        (!self.has_holder_quorum()).then_some(WaitReason::Holders)
    }

    /// Checks whether a write quorum of the new members holds everything that the fenced
    /// members held.
    fn has_holder_quorum(&self) -> bool {
        let holds = |member: &&Member| match self.peer(&member.node) {
            Some(peer) => peer.caught_up,
            None => member.node == self.local.entry.node,
        };
        let holders = self.members.list.iter().filter(holds).count();
        let needed = self.members.write_quorum(self.tolerance);
        needed.is_some_and(|needed| needed <= holders)
    }

    /// Checks whether the members that have answered within `silence` form a write quorum of
    /// the list.
    fn has_live_quorum(&self, list: &List<Member>, silence: Duration) -> bool {
        let live = |member: &&Member| !self.is_silent(&member.node, silence);
        let live = list.iter().filter(live).count();
        write_quorum(list, self.tolerance).is_some_and(|needed| needed <= live)
    }

    fn longest_silent(&self, list: &List<Member>, silence: Duration) -> Option<Text> {
        let listed = |peer: &&PeerHealth| list.iter().any(|member| member.node == peer.node);
        let silent = self.peers.iter().filter(listed);
        let silent = silent.filter(|peer| peer.silent_for > silence);
        let longest = silent.max_by_key(|peer| peer.silent_for);
        longest.map(|peer| peer.node.clone())
    }

    fn is_silent(&self, node: &str, silence: Duration) -> bool {
        let peer = self.peer(node);
        peer.is_some_and(|peer| peer.silent_for > silence)
    }

    fn peer(&self, node: &str) -> Option<&PeerHealth> {
        self.peers.iter().find(|peer| peer.node.as_str() == node)
    }

    /// Checks whether this store makes the step: it is the first live member of the list, or
    /// the takeover delay has passed.
    fn is_first_to_act(&self) -> bool {
        let local = self.local;
        let live = |member: &&Member| !self.is_silent(&member.node, local.replacement_timeout);
        let first = self.members.list.iter().find(live);
        first.is_none_or(|first| first.node == local.entry.node)
            || local.member_list_age >= STEP_TAKEOVER_DELAY
    }
}
