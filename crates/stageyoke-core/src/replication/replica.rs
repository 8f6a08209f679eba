//! One replica of one shard's log: state shared by all roles, and the
//! follower's part of the protocol.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_types::{List, NodeId, ShardId, Term, Time};

use super::Liveness;
use super::election::SURVIVORS_LEAP;
use super::leader::Progress;
use super::log::{Entry, LogIndex, Payload, ReplicatedLog};
use super::message::{HardState, LogRecord, Remnant, ReplicationMessage, SnapshotImage};
use crate::fault::{FaultPoint, Faults};

/// A proposal reached a replica that does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<NodeId>,
}

/// What the replica asks of its surroundings, in order. A `Persist` must be on
/// disk (where there is one) before any later effect is carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another replica of this shard.
    Send(NodeId, ReplicationMessage),
    /// Write a record.
    Persist(LogRecord),
    /// A follower needs a snapshot: answer with [`Replica::send_snapshot`].
    SnapshotNeeded(NodeId),
    /// Replace the program table with this state.
    Restore(SnapshotImage),
    /// This replica was removed from the group.
    Removed,
}

/// Role and the state that only that role has.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Follower,
    Candidate {
        trial: bool,
        transfer: bool,
        votes: BTreeSet<NodeId>,
    },
    Leader {
        progress: BTreeMap<NodeId, Progress>,
        quorum_seen_at: Time,
    },
}

/// Position of a new group's first snapshot.
pub const FOUNDING_INDEX: LogIndex = 1;

/// A summary for operators and checkers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Latest term.
    pub term: Term,
    /// Leader of that term, if known.
    pub leader: Option<NodeId>,
    /// True if this replica leads.
    pub is_leader: bool,
    /// Replica group.
    pub voters: Vec<NodeId>,
    /// Commit position.
    pub commit: LogIndex,
}

/// One replica's state machine. It performs no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) id: NodeId,
    pub(super) shard: ShardId,
    pub(super) hard: HardState,
    pub(super) log: ReplicatedLog,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    pub(super) leader: Option<NodeId>,
    pub(super) role: Role,
    pub(super) campaign_at: Option<Time>,
    /// Voters whose process is proved to be over for good: they will never
    /// vote or acknowledge again.
    pub(super) over: BTreeSet<NodeId>,
    survivors_allowed: bool,
    /// Position that this node held before it was last removed; it does not
    /// vote for a candidate behind it.
    vote_floor: (Term, LogIndex),
    pub(super) faults: Faults,
}

impl Replica {
    /// A replica of a new group. All members start alike, from a snapshot that
    /// holds nothing but the group, at the first position. A node that is added
    /// later starts before that position, and so is sent a snapshot, which
    /// tells it the group.
    pub fn new(id: NodeId, shard: ShardId, voters: Vec<NodeId>, faults: Faults) -> Self {
        let log = ReplicatedLog::starting_at(FOUNDING_INDEX, Term(0), voters);
        Self::recovered(id, shard, HardState::default(), log, faults)
    }

    /// A replica as read back from disk.
    pub fn recovered(
        id: NodeId,
        shard: ShardId,
        hard: HardState,
        log: ReplicatedLog,
        faults: Faults,
    ) -> Self {
        let base = log.base_index();
        Self {
            id,
            shard,
            hard,
            log,
            commit: base,
            applied: base,
            leader: None,
            role: Role::Follower,
            campaign_at: None,
            over: BTreeSet::new(),
            survivors_allowed: false,
            vote_floor: (Term(0), 0),
            faults,
        }
    }

    /// Current state in brief.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            term: self.hard.term,
            leader: self.leader,
            is_leader: self.is_leader(),
            voters: self.log.voters().to_vec(),
            commit: self.commit,
        }
    }

    /// True if this replica leads in its term (it may have been deposed
    /// without knowing; only a commit proves the opposite).
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// True once a leader has committed an entry of its own term, and so has
    /// applied every entry that an earlier leader may have acknowledged.
    pub fn is_ready_leader(&self) -> bool {
        self.is_leader()
            && self.log.term_at(self.commit) == Some(self.hard.term)
            && self.applied == self.commit
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// What must be kept of this replica when it is removed.
    pub fn remnant(&self) -> Remnant {
        let own = (self.log.last_term(), self.log.last_index());
        let (last_term, last_index) = own.max(self.vote_floor);
        Remnant {
            hard: self.hard,
            last_term,
            last_index,
        }
    }

    /// Takes up what was kept when this node was last removed from the group.
    pub fn resume(&mut self, remnant: Remnant) {
        self.vote_floor = (remnant.last_term, remnant.last_index);
    }

    /// Records proof that a voter's process is over for good.
    pub fn note_over(&mut self, node: NodeId) {
        self.over.insert(node);
    }

    /// Members of the group that are not over for good.
    pub fn survivors(&self) -> usize {
        let voters = self.log.voters().iter();
        voters.filter(|voter| !self.over.contains(voter)).count()
    }

    /// True if so many members are over for good that no majority can form,
    /// and this replica is one of those left; or, where no member is left at
    /// all, has at least been caught up to become one.
    pub fn lost_its_majority(&self) -> bool {
        let voters = self.log.voters();
        let survivors = self.survivors();
        let may_go_on = voters.contains(&self.id) || survivors == 0;
        !voters.is_empty() && may_go_on && survivors < voters.len() / 2 + 1
    }

    /// True if this replica belongs to the group as it knows it.
    pub fn is_member(&self) -> bool {
        self.log.voters().contains(&self.id)
    }

    /// Lets the members that are left form a quorum among themselves. Only
    /// after a [`crate::survey::Survey`] has shown that the group did not go
    /// on elsewhere: else this replica may be one that the group replaced.
    pub fn allow_survivors(&mut self, effects: &mut Vec<Effect>) {
        self.campaign_at = None;
        if self.is_member() {
            self.survivors_allowed = true;
        } else {
            self.hard.term = Term(self.hard.term.0 + SURVIVORS_LEAP);
            self.persist_hard_state(effects);
            self.append_own(Payload::Voters(List(vec![self.id])), effects);
        }
    }

    pub(super) fn relies_on_survivors(&self) -> bool {
        self.survivors_allowed && self.lost_its_majority()
    }

    /// Votes or copies that make a quorum.
    pub(super) fn quorum_size(&self) -> usize {
        if self.relies_on_survivors() {
            self.survivors() / 2 + 1
        } else {
            self.log.voters().len() / 2 + 1
        }
    }

    /// Latest term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Replica group.
    pub fn voters(&self) -> &[NodeId] {
        self.log.voters()
    }

    /// Replica group in force at a position that is still held.
    pub fn voters_through(&self, index: LogIndex) -> &[NodeId] {
        self.log.voters_through(index)
    }

    /// Voters whose nodes are live, this one among them, in the group's order.
    pub(super) fn live_voters(&self, liveness: &dyn Liveness) -> impl Iterator<Item = NodeId> {
        let voters = self.log.voters().iter().copied();
        voters.filter(|voter| *voter == self.id || liveness.is_live(*voter))
    }

    /// Term of the entry at a position, if it is still held.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Whether this replica has the entry of a term at a position, in its log
    /// or within its snapshot.
    pub fn holds(&self, index: LogIndex, term: Term) -> bool {
        self.log.base_index() > index || self.log.term_at(index) == Some(term)
    }

    /// Entries held since the last snapshot.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// Position up to which entries were handed out by [`Replica::take_committed`].
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Term of the last entry, committed or not.
    pub fn last_term(&self) -> Term {
        self.log.last_term()
    }

    /// Last position of the log, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Commit position.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Hands out entries that became committed since the last call.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let count = self.commit.saturating_sub(self.applied) as usize;
        let entries = self.log.slice(self.applied + 1, count);
        self.applied = self.commit;
        entries.0
    }

    /// The records that would bring this replica back after a restart, given
    /// the program table at the applied position.
    pub fn to_records(&self, state: Vec<u8>) -> Vec<LogRecord> {
        let mut effects = Vec::new();
        self.persist_hard_state(&mut effects);
        effects.push(Effect::Persist(LogRecord::Snapshot {
            shard: self.shard,
            image: self.image_of(state),
        }));
        let tail = self.log.slice(self.applied + 1, usize::MAX);
        self.persist_entries(tail, &mut effects);
        let records = effects.into_iter().filter_map(|effect| match effect {
            Effect::Persist(record) => Some(record),
            _ => None,
        });
        records.collect()
    }

    /// Records that `state` covers everything applied so far, keeping the last
    /// `keep` entries for followers that are only a little behind.
    pub fn compact(&mut self, keep: u64, state: Vec<u8>, effects: &mut Vec<Effect>) {
        let image = self.image_of(state);
        let keep_from = self.applied.saturating_sub(keep);
        self.log.compact_through(keep_from);
        effects.push(Effect::Persist(LogRecord::Snapshot {
            shard: self.shard,
            image,
        }));
        let first = self.applied + 1;
        let tail = self.log.slice(first, usize::MAX);
        self.persist_entries(tail, effects);
    }

    /// The state at the applied position as a snapshot.
    pub(super) fn image_of(&self, state: Vec<u8>) -> SnapshotImage {
        SnapshotImage {
            index: self.applied,
            term: self.log.term_at(self.applied).unwrap_or_default(),
            voters: List(self.log.voters_through(self.applied).to_vec()),
            state: List(state),
        }
    }

    /// Handles one message from another replica of the shard.
    pub fn step(
        &mut self,
        from: NodeId,
        message: ReplicationMessage,
        now: Time,
        liveness: &dyn Liveness,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            ReplicationMessage::RequestVote {
                term,
                last_index,
                last_term,
                trial,
                transfer,
            } => {
                if self.leader == Some(from) {
                    // It would not ask if it still led. Its node lives, so
                    // nothing else would ever end the belief in it.
                    self.leader = None;
                }
                let objection = self.objects_to_election(from, transfer, liveness);
                let own = (self.log.last_term(), self.log.last_index());
                let up_to_date = (last_term, last_index) >= own.max(self.vote_floor);
                if self.refuses_non_member(from, last_index, effects) {
                    return;
                }
                self.on_request_vote(from, term, trial, up_to_date && !objection, effects);
                self.greet_lost_follower(from, now, effects);
            }
            ReplicationMessage::Vote {
                term,
                granted,
                trial,
            } => self.on_vote(from, term, granted, trial, now, effects),
            ReplicationMessage::Append {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
            } => {
                if self.accept_leader(from, term, effects) {
                    let previous = (previous_index, previous_term);
                    self.on_append(from, previous, entries, commit, effects);
                }
            }
            ReplicationMessage::AppendResult {
                term,
                accepted,
                index,
            } => self.on_append_result(from, term, accepted, index, now, effects),
            ReplicationMessage::Snapshot { term, image } => {
                if self.accept_leader(from, term, effects) {
                    self.on_snapshot(from, image, effects);
                }
            }
            ReplicationMessage::CampaignNow { term } => {
                if term == self.hard.term && !self.is_leader() {
                    self.start_election(true, now, effects);
                }
            }
            ReplicationMessage::NotMember { index } => {
                // A log that reaches beyond that commit may hold this node's
                // return to the group, acknowledged and counted by a leader.
                if index > self.log.last_index() && !self.is_leader() {
                    effects.push(Effect::Persist(LogRecord::Dropped { shard: self.shard }));
                    effects.push(Effect::Removed);
                }
            }
        }
    }

    /// Accepts `from` as leader of `term` unless that term is over.
    fn accept_leader(&mut self, from: NodeId, term: Term, effects: &mut Vec<Effect>) -> bool {
        if term < self.hard.term {
            let refusal = self.append_result(false, self.log.last_index());
            effects.push(Effect::Send(from, refusal));
            return false;
        }
        if term > self.hard.term {
            self.enter_term(term, effects);
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.campaign_at = None;
        self.survivors_allowed = false;
        true
    }

    fn on_append(
        &mut self,
        from: NodeId,
        previous: (LogIndex, Term),
        entries: List<Entry>,
        commit: LogIndex,
        effects: &mut Vec<Effect>,
    ) {
        let (previous_index, previous_term) = previous;
        if previous_index < self.log.base_index() {
            // Everything through the base is committed, hence equal.
            let reply = self.append_result(true, self.log.base_index());
            effects.push(Effect::Send(from, reply));
            return;
        }
        if self.log.term_at(previous_index) != Some(previous_term) {
            let retry_from = previous_index.saturating_sub(1).min(self.log.last_index());
            let reply = self.append_result(false, retry_from.max(self.commit));
            effects.push(Effect::Send(from, reply));
            return;
        }
        let last_equal = previous_index + entries.len() as u64;
        self.append_missing(entries, effects);
        self.commit = self.commit.max(commit.min(last_equal));
        let reply = self.append_result(true, last_equal);
        effects.push(Effect::Send(from, reply));
    }

    /// Appends the entries that the log lacks. An entry that conflicts voids
    /// its successors; one that is already there is never cut, so a delayed
    /// message cannot remove what a later one brought.
    fn append_missing(&mut self, entries: List<Entry>, effects: &mut Vec<Effect>) {
        let missing: Vec<Entry> = entries
            .into_iter()
            .skip_while(|entry| self.log.term_at(entry.index) == Some(entry.term))
            .collect();
        let Some(first) = missing.first() else {
            return;
        };
        self.log.truncate_from(first.index);
        for entry in &missing {
            self.log.push(entry.clone());
        }
        self.persist_entries(List(missing), effects);
    }

    fn on_snapshot(&mut self, from: NodeId, image: SnapshotImage, effects: &mut Vec<Effect>) {
        if image.index <= self.commit {
            let reply = self.append_result(true, self.commit);
            effects.push(Effect::Send(from, reply));
            return;
        }
        self.log = ReplicatedLog::starting_at(image.index, image.term, image.voters.0.clone());
        self.commit = image.index;
        self.applied = image.index;
        let reply = self.append_result(true, image.index);
        effects.push(Effect::Persist(LogRecord::Snapshot {
            shard: self.shard,
            image: image.clone(),
        }));
        effects.push(Effect::Restore(image));
        effects.push(Effect::Send(from, reply));
    }

    pub(super) fn append_result(&self, accepted: bool, index: LogIndex) -> ReplicationMessage {
        ReplicationMessage::AppendResult {
            term: self.hard.term,
            accepted,
            index,
        }
    }

    pub(super) fn persist_entries(&self, entries: List<Entry>, effects: &mut Vec<Effect>) {
        if entries.is_empty() {
            return;
        }
        effects.push(Effect::Persist(LogRecord::Append {
            shard: self.shard,
            entries,
        }));
    }

    pub(super) fn persist_hard_state(&self, effects: &mut Vec<Effect>) {
        if self.faults.is_set(FaultPoint::ForgetVote) {
            return;
        }
        effects.push(Effect::Persist(LogRecord::HardState {
            shard: self.shard,
            state: self.hard,
        }));
    }

    /// Moves to a later term as a follower with no vote given.
    pub(super) fn enter_term(&mut self, term: Term, effects: &mut Vec<Effect>) {
        self.hard = HardState {
            term,
            voted_for: None,
        };
        self.role = Role::Follower;
        self.leader = None;
        self.campaign_at = None;
        self.persist_hard_state(effects);
    }

    /// Appends an entry of the current term; for the leader.
    pub(super) fn append_own(&mut self, payload: Payload, effects: &mut Vec<Effect>) -> LogIndex {
        let entry = Entry {
            term: self.hard.term,
            index: self.log.last_index() + 1,
            payload,
        };
        self.log.push(entry.clone());
        let index = entry.index;
        self.persist_entries(List(vec![entry]), effects);
        index
    }
}
