//! Bringing back shards whose majority is over for good.

use std::collections::{BTreeMap, BTreeSet};

use stageyoke_types::{NodeId, ShardId, Time};

use super::{Node, Output};
use crate::membership::MemberStatus;
use crate::message::PeerMessage;
use crate::shard::ShardReplica;
use crate::survey::{Holding, StuckShard, SurveyMessage};

impl Node {
    /// Asks everyone who may run about the shards that are stuck here.
    pub(super) fn survey_stuck_shards(&mut self, now: Time, output: &mut Vec<Output>) {
        let stuck = self.stuck_shards();
        if stuck.is_empty() {
            return;
        }
        let table = self.membership.table();
        let respondents: BTreeSet<NodeId> = table
            .iter()
            .filter(|(node, member)| *node != self.id && member.status != MemberStatus::Replaced)
            .map(|(node, _)| node)
            .collect();
        let digest = table.digest();
        let question = self.survey.start(stuck, respondents.clone(), digest, now);
        if let Some(question) = question {
            for node in respondents {
                let message = PeerMessage::Survey(question.clone());
                self.send(node, message, now, output);
            }
        }
        let settled = self.survey.conclude();
        self.revive(settled, now, output);
    }

    fn stuck_shards(&self) -> BTreeMap<ShardId, StuckShard> {
        let table = self.membership.table();
        self.shards
            .values()
            .filter(|shard| {
                let replica = shard.replica();
                let led = replica.leader().is_some_and(|leader| table.may_run(leader));
                !led && replica.lost_its_majority()
            })
            .map(|shard| {
                let stuck = StuckShard {
                    own: holding_of(shard),
                    voters: shard.replica().voters().to_vec(),
                    holder: self.id,
                    is_member: shard.replica().is_member(),
                };
                (shard.shard(), stuck)
            })
            .collect()
    }

    pub(super) fn receive_survey(
        &mut self,
        from: NodeId,
        message: SurveyMessage,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        match message {
            SurveyMessage::Ask { round, shards } => {
                let held = shards.iter().filter_map(|shard| self.shards.get(shard));
                let answer = SurveyMessage::Answer {
                    round,
                    digest: self.membership.table().digest(),
                    holdings: held.map(holding_of).collect(),
                };
                self.send(from, PeerMessage::Survey(answer), now, output);
            }
            SurveyMessage::Answer {
                round,
                digest,
                holdings,
            } => {
                let settled = self.survey.answer(from, round, digest, &holdings);
                self.revive(settled, now, output);
            }
        }
    }

    fn revive(&mut self, settled: Vec<ShardId>, now: Time, output: &mut Vec<Output>) {
        for shard in settled {
            let mut news = Vec::new();
            if let Some(replica) = self.shards.get_mut(&shard) {
                replica.allow_survivors(&mut news);
                self.active.insert(shard);
            }
            self.carry_out_shard(shard, news, now, output);
        }
    }
}

fn holding_of(shard: &ShardReplica) -> Holding {
    let replica = shard.replica();
    Holding {
        shard: shard.shard(),
        last_term: replica.last_term(),
        last_index: replica.last_index(),
    }
}
