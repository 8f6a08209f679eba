//! Elections: a trial round that disturbs nobody, then a real one.

use std::collections::BTreeSet;

use stageyoke_types::{NodeId, Term, Time};

use super::Liveness;
use super::log::LogIndex;
use super::message::ReplicationMessage;
use super::replica::{Effect, Replica, Role};
use crate::fault::FaultPoint;

/// Delay between campaigns of replicas of different rank, in milliseconds, so
/// that they do not split the vote.
const RANK_DELAY_MS: Time = 150;
/// Terms left out by survivors of a lost majority.
pub(super) const SURVIVORS_LEAP: u64 = 1 << 20;
/// How long a candidate waits for votes before it tries again, in milliseconds.
const ELECTION_TIMEOUT_MS: Time = 600;

impl Replica {
    /// Lets time pass for a replica that does not lead: campaigns when the
    /// leader's node is not live. Returns whether it must be called again soon.
    pub fn tick_follower(
        &mut self,
        now: Time,
        liveness: &dyn Liveness,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if self.is_leader() || !self.log.voters().contains(&self.id) {
            self.campaign_at = None;
            return false;
        }
        let leader_is_live = self
            .leader
            .is_some_and(|leader| leader == self.id || liveness.is_live(leader));
        if leader_is_live {
            self.campaign_at = None;
            return false;
        }
        match self.campaign_at {
            None => self.campaign_at = Some(now + self.rank_among_live(liveness) * RANK_DELAY_MS),
            Some(at) if now >= at => self.start_election(false, now, effects),
            Some(_) => {}
        }
        true
    }

    /// This replica's place among the voters whose nodes are live; the order
    /// is rotated by the term so that a replica that cannot win yields.
    fn rank_among_live(&self, liveness: &dyn Liveness) -> Time {
        let position = self
            .live_voters(liveness)
            .position(|voter| voter == self.id);
        position.unwrap_or_default() as Time
    }

    /// Starts a trial round, or the real one at once if the leader asked.
    pub(super) fn start_election(&mut self, transfer: bool, now: Time, effects: &mut Vec<Effect>) {
        if !self.log.voters().contains(&self.id) {
            return;
        }
        let rank = self.log.voters().iter().position(|voter| *voter == self.id);
        let rank_delay = rank.unwrap_or_default() as Time * RANK_DELAY_MS;
        self.campaign(!transfer, transfer, effects);
        self.campaign_at = Some(now + ELECTION_TIMEOUT_MS + rank_delay);
        self.check_votes(now, effects);
    }

    fn campaign(&mut self, trial: bool, transfer: bool, effects: &mut Vec<Effect>) {
        let next_term = self.next_term();
        if !trial {
            let campaign_at = self.campaign_at;
            self.hard.term = next_term;
            self.hard.voted_for = Some(self.id);
            self.campaign_at = campaign_at;
            self.persist_hard_state(effects);
        }
        self.leader = None;
        self.role = Role::Candidate {
            trial,
            transfer,
            votes: BTreeSet::from([self.id]),
        };
        let request = ReplicationMessage::RequestVote {
            term: next_term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            trial,
            transfer,
        };
        for voter in self.other_voters() {
            effects.push(Effect::Send(voter, request.clone()));
        }
    }

    /// The term that a campaign would open. Survivors of a lost majority leap
    /// over any term that the others may have opened without them.
    fn next_term(&self) -> Term {
        let leap = if self.relies_on_survivors() {
            SURVIVORS_LEAP
        } else {
            1
        };
        Term(self.hard.term.0 + leap)
    }

    pub(super) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.log.voters().iter().copied();
        voters.filter(|voter| *voter != self.id).collect()
    }

    /// A voter that hears from a live leader objects to an election, so that a
    /// replica that was merely cut off cannot depose a working leader.
    pub(super) fn objects_to_election(
        &self,
        candidate: NodeId,
        transfer: bool,
        liveness: &dyn Liveness,
    ) -> bool {
        if transfer {
            return false;
        }
        self.leader.is_some_and(|leader| {
            leader != candidate && (leader == self.id || liveness.is_live(leader))
        })
    }

    pub(super) fn on_request_vote(
        &mut self,
        from: NodeId,
        term: Term,
        trial: bool,
        acceptable: bool,
        effects: &mut Vec<Effect>,
    ) {
        if term < self.hard.term || !acceptable {
            self.answer_vote(from, self.hard.term, false, trial, effects);
            return;
        }
        if trial {
            let granted = term > self.hard.term;
            self.answer_vote(from, term, granted, true, effects);
            return;
        }
        if term > self.hard.term {
            self.enter_term(term, effects);
        }
        let free = self.hard.voted_for.is_none_or(|vote| vote == from);
        let granted = free || self.faults.is_set(FaultPoint::VoteTwice);
        if granted && self.hard.voted_for != Some(from) {
            self.hard.voted_for = Some(from);
            // The vote is on disk before it is sent, so it is never given twice.
            self.persist_hard_state(effects);
        }
        self.answer_vote(from, term, granted, false, effects);
    }

    /// Tells a candidate that it was removed: it is outside the committed group
    /// and behind it. One that is outside but not behind may know of a later
    /// group, and gets its vote like any other.
    pub(super) fn refuses_non_member(
        &mut self,
        from: NodeId,
        last_index: LogIndex,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let committed = self.log.voters_through(self.commit);
        let is_member = committed.contains(&from) || self.log.voters().contains(&from);
        if is_member || committed.is_empty() || last_index >= self.commit {
            return false;
        }
        let notice = ReplicationMessage::NotMember { index: self.commit };
        effects.push(Effect::Send(from, notice));
        true
    }

    fn answer_vote(
        &self,
        to: NodeId,
        term: Term,
        granted: bool,
        trial: bool,
        effects: &mut Vec<Effect>,
    ) {
        let vote = ReplicationMessage::Vote {
            term,
            granted,
            trial,
        };
        effects.push(Effect::Send(to, vote));
    }

    pub(super) fn on_vote(
        &mut self,
        from: NodeId,
        term: Term,
        granted: bool,
        trial: bool,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if !granted {
            if term > self.hard.term {
                self.enter_term(term, effects);
            }
            return;
        }
        let expected_term = if trial {
            self.next_term()
        } else {
            self.hard.term
        };
        let Role::Candidate {
            trial: own_trial,
            votes,
            ..
        } = &mut self.role
        else {
            return;
        };
        if *own_trial == trial && term == expected_term {
            votes.insert(from);
            self.check_votes(now, effects);
        }
    }

    fn check_votes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Role::Candidate {
            trial,
            transfer,
            votes,
        } = &self.role
        else {
            return;
        };
        let (trial, transfer) = (*trial, *transfer);
        if !self.is_majority(votes) {
            return;
        }
        if trial {
            self.campaign(false, transfer, effects);
            self.check_votes(now, effects);
        } else {
            self.become_leader(now, effects);
        }
    }

    pub(super) fn is_majority(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let voters = self.log.voters();
        let count = voters.iter().filter(|voter| nodes.contains(voter)).count();
        count >= self.quorum_size()
    }
}
