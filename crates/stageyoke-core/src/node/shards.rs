//! The node's replicas: formation, recovery, messages, time and moves.

use std::collections::BTreeSet;

use stageyoke_types::{Event, List, NodeId, RequestId, ShardId, Time};

use super::{Founder, Node, Output};
use crate::hash;
use crate::membership::MemberStatus;
use crate::message::{PeerMessage, ProgramReply, ProgramRequest, ReplyBody};
use crate::placement::{Candidate, Placement};
use crate::replication::{FOUNDING_INDEX, LogRecord, ReplicationMessage, SnapshotImage};
use crate::shard::{ShardOutput, ShardReplica, Standing, StoredShard};

/// Group changes a node may start at each housekeeping, to bound the traffic
/// of snapshots.
const MOVES_PER_ROUND: usize = 8;
/// How long after its start a node takes nodes it has not heard of for stopped,
/// in milliseconds.
const UNKNOWN_IS_STOPPED_MS: Time = 30_000;

impl Node {
    /// Forms the groups of a new cluster. Each founder computes the same.
    pub(super) fn form(&mut self, founders: &[Founder], now: Time, output: &mut Vec<Output>) {
        let candidates = founders.iter().map(|founder| Candidate {
            node: founder.node,
            name_digest: hash::of_text(&founder.info.name),
            zone: founder.info.zone.clone(),
            has_disk: founder.info.has_disk,
        });
        let placement = Placement::of(candidates.collect());
        let mut news = Vec::new();
        for founder in founders {
            self.membership
                .learn_founder(founder.node, &founder.info, now, &mut news);
        }
        self.carry_out_membership(news, now, output);
        for number in 0..self.settings.shard_count {
            let shard = ShardId(number);
            let voters = placement.replicas(shard);
            if voters.contains(&self.id) && !self.shards.contains_key(&shard) {
                output.push(Output::Persist(founding_record(shard, &voters)));
                let replica = ShardReplica::new(self.id, shard, voters, self.settings.faults);
                self.shards.insert(shard, replica);
                self.active.insert(shard);
            }
        }
        self.watch_peers(now);
    }

    pub(super) fn recover(
        &mut self,
        shard: ShardId,
        stored: StoredShard,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        match ShardReplica::recovered(self.id, shard, stored, self.settings.faults) {
            Ok(replica) => {
                self.shards.insert(shard, replica);
                self.active.insert(shard);
                self.note_all_over(shard);
                self.watch_peers(now);
            }
            Err(error) => output.push(Output::Event(
                Event::LogCorrupt,
                format!("shard={shard} {error}"),
            )),
        }
    }

    /// One heartbeat pair per node that shares a shard, whatever their number.
    pub(super) fn watch_peers(&mut self, now: Time) {
        let peers: BTreeSet<NodeId> = self
            .shards
            .values()
            .flat_map(|shard| shard.replica().voters().iter().copied())
            .filter(|node| *node != self.id)
            .collect();
        self.liveness.watch(&peers, now);
    }

    /// Learns of group members that were never heard of in this life.
    pub(super) fn ask_about_strangers(&mut self, now: Time, output: &mut Vec<Output>) {
        let peers: Vec<NodeId> = self.liveness.peers().collect();
        let mut news = Vec::new();
        self.membership
            .ask_about(&peers, &mut self.random, &mut news);
        self.carry_out_membership(news, now, output);
    }

    pub(super) fn receive_replication(
        &mut self,
        from: NodeId,
        shard: ShardId,
        message: ReplicationMessage,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        if !self.shards.contains_key(&shard) && !self.adopt(shard, &message) {
            return;
        }
        let liveness = self.liveness.at(now);
        let Some(replica) = self.shards.get_mut(&shard) else {
            return;
        };
        let mut news = Vec::new();
        replica.replicate(from, message, now, &liveness, &mut news);
        self.carry_out_shard(shard, news, now, output);
    }

    /// A message for a shard unknown here comes from a group that has added
    /// this node; it starts with no entries, but keeps the vote it may have
    /// given before it was last removed.
    fn adopt(&mut self, shard: ShardId, message: &ReplicationMessage) -> bool {
        let invites = matches!(
            message,
            ReplicationMessage::Append { .. }
                | ReplicationMessage::Snapshot { .. }
                | ReplicationMessage::RequestVote { .. }
        );
        if invites {
            let stored = StoredShard {
                remnant: self.dropped.remove(&shard).unwrap_or_default(),
                ..StoredShard::default()
            };
            let empty = ShardReplica::recovered(self.id, shard, stored, self.settings.faults);
            self.shards
                .extend(empty.ok().map(|replica| (shard, replica)));
            self.note_all_over(shard);
        }
        invites
    }

    pub(super) fn receive_request(
        &mut self,
        request: ProgramRequest,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        let shard = request.program().shard(self.settings.shard_count);
        let (gateway, id) = request.origin();
        let Some(replica) = self.shards.get_mut(&shard) else {
            let body = ReplyBody::NotLeader { leader: None };
            let reply = ProgramReply { request: id, body };
            self.send(gateway, PeerMessage::Reply(reply), now, output);
            return;
        };
        let mut news = Vec::new();
        replica.request(request, now, &mut news);
        self.carry_out_shard(shard, news, now, output);
    }

    pub(super) fn tick_shards(&mut self, now: Time, output: &mut Vec<Output>) {
        let silent = self.liveness.newly_silent(now);
        self.activate_followers_of(&silent);
        for shard in std::mem::take(&mut self.active) {
            let liveness = self.liveness.at(now);
            let Some(replica) = self.shards.get_mut(&shard) else {
                continue;
            };
            let mut news = Vec::new();
            let busy = replica.tick(now, &liveness, &mut news);
            self.carry_out_shard(shard, news, now, output);
            if busy {
                self.active.insert(shard);
            }
        }
    }

    /// Wakes the shards led by nodes that fell silent, and those that share a
    /// group with them and are led from here.
    pub(super) fn activate_followers_of(&mut self, silent: &[NodeId]) {
        if silent.is_empty() {
            return;
        }
        let affected = self.shards.values().filter(|shard| {
            let voters = shard.replica().voters();
            silent.iter().any(|node| voters.contains(node))
        });
        self.active.extend(affected.map(ShardReplica::shard));
    }

    /// Tells the replicas that a process is over for good.
    pub(super) fn note_over(&mut self, node: NodeId) {
        for shard in self.shards.values_mut() {
            shard.note_over(node);
        }
    }

    /// Tells a new replica of all processes that are over for good.
    fn note_all_over(&mut self, shard: ShardId) {
        let table = self.membership.table();
        let Some(replica) = self.shards.get_mut(&shard) else {
            return;
        };
        let replaced = table
            .iter()
            .filter(|(_, member)| member.status == MemberStatus::Replaced);
        for (node, _) in replaced {
            replica.note_over(node);
        }
    }

    pub(super) fn sweep_shards(&mut self, now: Time, output: &mut Vec<Output>) {
        let leading = self.led_shards();
        for shard in leading {
            let table = self.membership.table();
            let grace = now < self.started_at + UNKNOWN_IS_STOPPED_MS;
            let own = self.id;
            let runs = |node: NodeId, request: RequestId| {
                let unknown_yet = grace && node != own && table.get(node).is_none();
                table.life_may_run(node, request.incarnation()) || unknown_yet
            };
            let Some(replica) = self.shards.get_mut(&shard) else {
                continue;
            };
            let mut news = Vec::new();
            replica.sweep(now, &runs, &mut news);
            self.carry_out_shard(shard, news, now, output);
        }
    }

    fn led_shards(&self) -> Vec<ShardId> {
        let led = self.shards.values();
        let led = led.filter(|shard| shard.replica().is_leader());
        led.map(ShardReplica::shard).collect()
    }

    /// Moves groups towards where placement wants them, a few at a time.
    pub(super) fn reconcile_shards(&mut self, now: Time, output: &mut Vec<Output>) {
        if now < self.placement_settled_at {
            return;
        }
        let mut moves = 0;
        for shard in self.led_shards() {
            if moves >= MOVES_PER_ROUND {
                return;
            }
            let target = self.placement.replicas(shard);
            let Some(replica) = self.shards.get(&shard) else {
                continue;
            };
            let is_placed = same_members(replica.replica().voters(), &target);
            if target.is_empty() || is_placed {
                continue;
            }
            moves += usize::from(self.reconcile_one(shard, &target, now, output));
        }
    }

    fn reconcile_one(
        &mut self,
        shard: ShardId,
        target: &[NodeId],
        now: Time,
        output: &mut Vec<Output>,
    ) -> bool {
        let table = self.membership.table();
        let own = self.id;
        let grace = now < self.started_at + UNKNOWN_IS_STOPPED_MS;
        let standing = |node: NodeId| match table.get(node).map(|member| member.status) {
            _ if node == own => Standing::Running,
            Some(MemberStatus::Leaving) => Standing::Leaving,
            Some(MemberStatus::Dead | MemberStatus::Left | MemberStatus::Replaced) => {
                Standing::Stopped
            }
            Some(MemberStatus::Alive | MemberStatus::Suspect) => Standing::Running,
            None if grace => Standing::Running,
            None => Standing::Stopped,
        };
        let liveness = self.liveness.at(now);
        let Some(replica) = self.shards.get_mut(&shard) else {
            return false;
        };
        let mut news = Vec::new();
        let moved = replica.reconcile_voters(target, &standing, now, &liveness, &mut news);
        self.carry_out_shard(shard, news, now, output);
        if moved {
            self.watch_peers(now);
        }
        moved
    }

    pub(super) fn hand_over_leadership(&mut self, now: Time, output: &mut Vec<Output>) {
        for shard in self.led_shards() {
            let liveness = self.liveness.at(now);
            let Some(replica) = self.shards.get_mut(&shard) else {
                continue;
            };
            let mut news = Vec::new();
            replica.transfer_leadership(&liveness, &mut news);
            self.carry_out_shard(shard, news, now, output);
        }
    }

    pub(super) fn carry_out_shard(
        &mut self,
        shard: ShardId,
        news: Vec<ShardOutput>,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        for item in news {
            match item {
                ShardOutput::Replicate(to, message) => {
                    self.active.insert(shard);
                    let message = PeerMessage::Replication { shard, message };
                    self.send(to, message, now, output);
                }
                ShardOutput::Reply(to, reply) => {
                    self.send(to, PeerMessage::Reply(reply), now, output);
                }
                ShardOutput::Persist(record) => output.push(Output::Persist(record)),
                ShardOutput::Applied(applied) => output.extend(Output::of_applied(applied)),
                ShardOutput::Event(event, term) => {
                    output.push(Output::Event(event, format!("shard={shard} term={term}")));
                }
                ShardOutput::Removed => {
                    if let Some(removed) = self.shards.remove(&shard) {
                        self.dropped.insert(shard, removed.replica().remnant());
                    }
                    self.active.remove(&shard);
                    output.push(Output::Persist(LogRecord::Dropped { shard }));
                }
            }
        }
    }
}

/// The first record of a new group's shard: its members and nothing else.
fn founding_record(shard: ShardId, voters: &[NodeId]) -> LogRecord {
    let image = SnapshotImage {
        index: FOUNDING_INDEX,
        voters: List(voters.to_vec()),
        ..SnapshotImage::default()
    };
    LogRecord::Snapshot { shard, image }
}

fn same_members(left: &[NodeId], right: &[NodeId]) -> bool {
    left.len() == right.len() && left.iter().all(|node| right.contains(node))
}
