//! The leader's part: replication, commitment, group changes and hand-over.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_types::{List, NodeId, Term, Time};

use super::Liveness;
use super::log::{LogIndex, Payload};
use super::message::ReplicationMessage;
use super::replica::{Effect, NotLeader, Replica, Role};
use crate::fault::FaultPoint;

/// Entries sent in one message at most.
const BATCH_ENTRIES: usize = 64;
/// How long an unanswered message is waited for, in milliseconds.
const RESEND_MS: Time = 300;
/// How long a commit waits for a copy on every replica, not only on a quorum,
/// in milliseconds. As long as all keep up, any one of them alone holds
/// everything that was ever acknowledged.
const FULL_COPY_WAIT_MS: Time = 250;
/// A leader that has not seen a live majority for this long steps down, in
/// milliseconds. This only frees waiting callers sooner; a deposed leader can
/// commit nothing anyway.
const QUORUM_LOST_MS: Time = 2_500;

/// What the leader knows of one other replica.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Last position known to be equal.
    matched: LogIndex,
    /// First position not sent yet.
    next: LogIndex,
    /// Commit position last sent.
    commit_sent: LogIndex,
    /// When something was last sent.
    sent_at: Time,
    /// A snapshot is on its way.
    awaiting_snapshot: bool,
    /// Since when it has lacked an entry.
    behind_since: Option<Time>,
    /// It did not acknowledge in time, and commits do not wait for it until it
    /// has caught up.
    lagging: bool,
}

impl Progress {
    fn starting_at(next: LogIndex) -> Self {
        Self {
            matched: 0,
            next,
            commit_sent: 0,
            sent_at: 0,
            awaiting_snapshot: false,
            behind_since: None,
            // A new follower holds nothing yet.
            lagging: next > 0,
        }
    }

    /// Notes whether the follower lacks anything of a log that ends at `last`.
    fn note_position(&mut self, last: LogIndex, now: Time) {
        if self.matched >= last {
            self.behind_since = None;
            self.lagging = false;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        self.lagging |= now >= since + FULL_COPY_WAIT_MS;
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.leader = Some(self.id);
        self.campaign_at = None;
        self.role = Role::Leader {
            progress: BTreeMap::new(),
            quorum_seen_at: now,
        };
        // An entry of the new term commits everything earlier terms left.
        self.append_own(Payload::Empty, effects);
        self.replicate(now, effects);
    }

    /// Appends a payload and starts replicating it.
    pub fn propose(
        &mut self,
        payload: Payload,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> Result<LogIndex, NotLeader> {
        if !self.is_leader() {
            return Err(NotLeader {
                leader: self.leader,
            });
        }
        let index = self.append_own(payload, effects);
        self.replicate(now, effects);
        Ok(index)
    }

    /// Proposes a group that differs from the current one by one node. Returns
    /// false if it must wait: an earlier change is not committed, or nothing of
    /// this term is (either could let two disjoint majorities form).
    pub fn propose_voters(
        &mut self,
        voters: Vec<NodeId>,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let settled = self.is_ready_leader() && !self.log.has_uncommitted_voters(self.commit);
        if !settled || !differs_by_one(self.log.voters(), &voters) {
            return false;
        }
        self.propose(Payload::Voters(List(voters)), now, effects)
            .is_ok()
    }

    /// Asks a caught-up live follower to take over. Returns whether one was found.
    pub fn transfer_leadership(
        &mut self,
        liveness: &dyn Liveness,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let last = self.log.last_index();
        let successor = progress
            .iter()
            .filter(|(node, state)| state.matched == last && liveness.is_live(**node))
            .map(|(node, _)| *node)
            .next();
        let Some(successor) = successor else {
            return false;
        };
        let order = ReplicationMessage::CampaignNow {
            term: self.hard.term,
        };
        effects.push(Effect::Send(successor, order));
        true
    }

    /// Sends every follower what it lacks.
    fn replicate(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.align_progress();
        for follower in self.other_voters() {
            self.send_append(follower, now, false, effects);
        }
        self.advance_commit();
    }

    /// Keeps exactly one progress record for each other voter.
    fn align_progress(&mut self) {
        let voters = self.other_voters();
        let next = self.log.last_index();
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        progress.retain(|node, _| voters.contains(node));
        for voter in voters {
            progress
                .entry(voter)
                .or_insert_with(|| Progress::starting_at(next));
        }
    }

    fn send_append(&mut self, to: NodeId, now: Time, force: bool, effects: &mut Vec<Effect>) {
        let last = self.log.last_index();
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(state) = progress.get_mut(&to) else {
            return;
        };
        if state.awaiting_snapshot || (state.next > last && !force) {
            return;
        }
        let previous_index = state.next - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            state.awaiting_snapshot = true;
            state.sent_at = now;
            effects.push(Effect::SnapshotNeeded(to));
            return;
        };
        let entries = self.log.slice(state.next, BATCH_ENTRIES);
        state.next += entries.len() as u64;
        state.sent_at = now;
        state.commit_sent = self.commit;
        let message = ReplicationMessage::Append {
            term: self.hard.term,
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
        };
        effects.push(Effect::Send(to, message));
    }

    /// A member that campaigns while this leader is live has lost touch with
    /// it, by a restart for example; hearing from the leader ends that.
    pub(super) fn greet_lost_follower(
        &mut self,
        from: NodeId,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_leader() {
            self.align_progress();
            self.send_append(from, now, true, effects);
        }
    }

    /// Sends the program table, encoded at the applied position.
    pub fn send_snapshot(&mut self, to: NodeId, state: Vec<u8>, effects: &mut Vec<Effect>) {
        let image = self.image_of(state);
        if let Role::Leader { progress, .. } = &mut self.role
            && let Some(follower) = progress.get_mut(&to)
        {
            follower.next = image.index + 1;
        }
        let message = ReplicationMessage::Snapshot {
            term: self.hard.term,
            image,
        };
        effects.push(Effect::Send(to, message));
    }

    pub(super) fn on_append_result(
        &mut self,
        from: NodeId,
        term: Term,
        accepted: bool,
        index: LogIndex,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if term > self.hard.term {
            self.enter_term(term, effects);
            return;
        }
        let last = self.log.last_index();
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(state) = progress.get_mut(&from) else {
            return;
        };
        if term < self.hard.term {
            return;
        }
        if accepted {
            state.awaiting_snapshot = false;
            state.matched = state.matched.max(index);
            state.next = state.next.max(state.matched + 1);
            state.note_position(last, now);
            self.advance_commit();
            self.send_append(from, now, false, effects);
        } else {
            // A follower that was told that it is no member has dropped its log:
            // what it held before counts no longer, and it is sent again. Were
            // `matched` kept, it would be sent what it can't take for ever.
            state.matched = state.matched.min(index);
            state.next = index + 1;
            self.send_append(from, now, true, effects);
        }
    }

    /// Commits what a majority holds, if it is of this term: an entry of an
    /// earlier term could still be replaced, one of this term cannot.
    fn advance_commit(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let voters = self.log.voters();
        let mut matched: Vec<LogIndex> = voters
            .iter()
            .map(|voter| match progress.get(voter) {
                Some(state) => state.matched,
                None if *voter == self.id => self.log.last_index(),
                None => 0,
            })
            .collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let holders = if self.faults.is_set(FaultPoint::CommitWithoutMajority) {
            1
        } else {
            self.quorum_size()
        };
        let Some(by_quorum) = matched.get(holders - 1).copied() else {
            return;
        };
        let prompt = progress
            .iter()
            .filter(|(node, state)| !state.lagging && !self.over.contains(node));
        let by_prompt = prompt.map(|(_, state)| state.matched).min();
        let candidate = by_quorum.min(by_prompt.unwrap_or(by_quorum));
        if candidate > self.commit && self.log.term_at(candidate) == Some(self.hard.term) {
            self.commit = candidate;
        }
    }

    /// Lets time pass for a leader: repeats what was lost, tells followers the
    /// commit position, steps down without a majority. Returns whether it must
    /// be called again soon.
    pub fn tick_leader(
        &mut self,
        now: Time,
        liveness: &dyn Liveness,
        effects: &mut Vec<Effect>,
    ) -> bool {
        self.align_progress();
        if !self.quorum_is_live(now, liveness) {
            self.role = Role::Follower;
            self.leader = None;
            return true;
        }
        let (last, commit) = (self.log.last_index(), self.commit);
        let Role::Leader { progress, .. } = &mut self.role else {
            return false;
        };
        let mut due = Vec::new();
        let mut busy = false;
        for (node, state) in progress.iter_mut() {
            let behind = state.matched < last;
            let uninformed = state.commit_sent < commit;
            busy |= behind || uninformed;
            state.note_position(last, now);
            state.lagging |= !liveness.is_live(*node);
            let resend = behind && now >= state.sent_at + RESEND_MS;
            if resend {
                state.next = state.matched + 1;
                state.awaiting_snapshot = false;
            }
            if liveness.is_live(*node) && (resend || (uninformed && !behind)) {
                due.push(*node);
            }
        }
        for node in due {
            self.send_append(node, now, true, effects);
        }
        self.advance_commit();
        busy
    }

    fn quorum_is_live(&mut self, now: Time, liveness: &dyn Liveness) -> bool {
        let live: BTreeSet<NodeId> = self.live_voters(liveness).collect();
        let majority_live = self.is_majority(&live);
        let Role::Leader { quorum_seen_at, .. } = &mut self.role else {
            return true;
        };
        if majority_live {
            *quorum_seen_at = now;
        }
        now < *quorum_seen_at + QUORUM_LOST_MS
    }
}

fn differs_by_one(current: &[NodeId], proposed: &[NodeId]) -> bool {
    let current: BTreeSet<_> = current.iter().collect();
    let proposed: BTreeSet<_> = proposed.iter().collect();
    current.symmetric_difference(&proposed).count() == 1 && !proposed.is_empty()
}
