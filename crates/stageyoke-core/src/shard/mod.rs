//! One shard on one node: the replicated log, the program table it drives, and
//! the requests of gateways that wait for a commit.

mod stored;
mod upkeep;
mod voters;

pub use stored::StoredShard;

use std::collections::{BTreeMap, BTreeSet};

use nanoserde::DeBinErr;
use stageyoke_types::{Event, NodeId, ProgramKey, RequestId, ShardId, Term, Time};

use crate::fault::Faults;
use crate::message::{ProgramReply, ProgramRequest, ReplyBody};
use crate::program::{Applied, Command, EndReason, ProgramTable};
use crate::replication::{
    Effect, Liveness, LogIndex, LogRecord, Payload, Replica, ReplicaStatus, ReplicatedLog,
    ReplicationMessage, SnapshotImage,
};

/// Entries after which the log is replaced by a snapshot.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// Entries kept behind a snapshot for followers that are a little behind.
const KEEP_ENTRIES: u64 = 64;
/// What the member list says of a replica's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It runs, or nothing is known to the contrary.
    Running,
    /// It has announced that it will stop.
    Leaving,
    /// It has stopped.
    Stopped,
}

/// What a shard asks of its node, in order (see [`Effect`]).
#[derive(Clone, Debug, PartialEq)]
pub enum ShardOutput {
    /// To another replica.
    Replicate(NodeId, ReplicationMessage),
    /// To a gateway.
    Reply(NodeId, ProgramReply),
    /// To the disk.
    Persist(LogRecord),
    /// To an engine's client.
    Applied(Applied),
    /// To the log.
    Event(Event, Term),
    /// The replica was removed; forget it.
    Removed,
}

/// A read that waits until the leader has proved that it still leads.
#[derive(Clone, Debug)]
enum Read {
    View,
    Ended { existed: bool },
    Alive,
}

#[derive(Clone, Debug)]
struct WaitingRead {
    gateway: NodeId,
    request: RequestId,
    program: ProgramKey,
    read: Read,
}

/// One replica with its program table.
pub struct ShardReplica {
    shard: ShardId,
    replica: Replica,
    table: ProgramTable,
    proposed: BTreeSet<(NodeId, RequestId)>,
    reads: BTreeMap<LogIndex, WaitingRead>,
    was_leader: bool,
    next_sweep_at: Time,
    next_expire_at: Time,
    faults: Faults,
}

impl ShardReplica {
    /// A replica of a new group.
    pub fn new(id: NodeId, shard: ShardId, voters: Vec<NodeId>, faults: Faults) -> Self {
        let replica = Replica::new(id, shard, voters, faults);
        Self::with(shard, replica, ProgramTable::new(faults), faults)
    }

    /// A replica read back from disk. Fails if the snapshot does not decode:
    /// such a replica must be caught up by its peers instead.
    pub fn recovered(
        id: NodeId,
        shard: ShardId,
        stored: StoredShard,
        faults: Faults,
    ) -> Result<Self, DeBinErr> {
        let StoredShard {
            hard,
            image,
            entries,
            remnant,
        } = stored;
        let hard = if hard.term < remnant.hard.term {
            remnant.hard
        } else {
            hard
        };
        let mut log = ReplicatedLog::starting_at(image.index, image.term, image.voters.0);
        for entry in entries {
            log.truncate_from(entry.index);
            log.push(entry);
        }
        let table = ProgramTable::decode(&image.state, faults)?;
        let mut replica = Replica::recovered(id, shard, hard, log, faults);
        replica.resume(remnant);
        Ok(Self::with(shard, replica, table, faults))
    }

    fn with(shard: ShardId, replica: Replica, table: ProgramTable, faults: Faults) -> Self {
        Self {
            shard,
            replica,
            table,
            proposed: BTreeSet::new(),
            reads: BTreeMap::new(),
            was_leader: false,
            next_sweep_at: 0,
            next_expire_at: 0,
            faults,
        }
    }

    /// The records that would bring this replica back after a restart.
    pub fn to_records(&self) -> Vec<LogRecord> {
        self.replica.to_records(self.table.encode())
    }

    /// Records proof that a voter's process is over for good.
    pub fn note_over(&mut self, node: NodeId) {
        self.replica.note_over(node);
    }

    /// Lets the members that are left go on by themselves; see
    /// [`Replica::allow_survivors`].
    pub fn allow_survivors(&mut self, output: &mut Vec<ShardOutput>) {
        let mut effects = Vec::new();
        self.replica.allow_survivors(&mut effects);
        self.carry_out(effects, output);
    }

    /// Replication state in brief.
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// The replicated log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The programs as applied here.
    pub fn table(&self) -> &ProgramTable {
        &self.table
    }

    /// True if this replica leads and has applied all that was acknowledged.
    pub fn is_ready_leader(&self) -> bool {
        self.replica.is_ready_leader()
    }

    /// Handles a message from another replica.
    pub fn replicate(
        &mut self,
        from: NodeId,
        message: ReplicationMessage,
        now: Time,
        liveness: &dyn Liveness,
        output: &mut Vec<ShardOutput>,
    ) {
        let mut effects = Vec::new();
        self.replica
            .step(from, message, now, liveness, &mut effects);
        self.carry_out(effects, output);
        self.apply_committed(output);
    }

    /// Handles a gateway's request.
    pub fn request(&mut self, request: ProgramRequest, now: Time, output: &mut Vec<ShardOutput>) {
        let (gateway, id) = request.origin();
        if !self.replica.is_ready_leader() {
            let leader = self.replica.leader().filter(|_| !self.replica.is_leader());
            reply(gateway, id, ReplyBody::NotLeader { leader }, output);
            return;
        }
        match request {
            ProgramRequest::Begin(mut begin) => {
                if let Some(status) = self.table.lookup(&begin) {
                    reply(gateway, id, ReplyBody::Status(status), output);
                } else if self.proposed.insert((gateway, id)) {
                    begin.now = now;
                    self.propose(Command::Begin(begin), now, output);
                }
            }
            ProgramRequest::Finish(mut finish) => {
                finish.now = now;
                self.propose(Command::Finish(finish), now, output);
            }
            ProgramRequest::Abandon(mut abandon) => {
                abandon.now = now;
                self.propose(Command::Abandon(abandon), now, output);
            }
            ProgramRequest::End {
                program, reason, ..
            } => self.end_program(gateway, id, program, reason, now, output),
            ProgramRequest::View { program, .. } => {
                self.read(gateway, id, program, Read::View, now, output);
            }
            ProgramRequest::CheckAlive { program, .. } => {
                self.read(gateway, id, program, Read::Alive, now, output);
            }
        }
    }

    fn end_program(
        &mut self,
        gateway: NodeId,
        request: RequestId,
        program: ProgramKey,
        reason: EndReason,
        now: Time,
        output: &mut Vec<ShardOutput>,
    ) {
        let existed = self.table.get(&program).is_some();
        if self.table.is_alive(&program) {
            let command = Command::End {
                program: program.clone(),
                reason,
                now,
            };
            self.propose(command, now, output);
        }
        self.read(
            gateway,
            request,
            program,
            Read::Ended { existed },
            now,
            output,
        );
    }

    /// Proposes an empty entry and answers the read when it is committed: then
    /// no other leader can have changed the answer before.
    fn read(
        &mut self,
        gateway: NodeId,
        request: RequestId,
        program: ProgramKey,
        read: Read,
        now: Time,
        output: &mut Vec<ShardOutput>,
    ) {
        let waiting = WaitingRead {
            gateway,
            request,
            program,
            read,
        };
        let mut effects = Vec::new();
        if let Ok(index) = self.replica.propose(Payload::Empty, now, &mut effects) {
            self.reads.insert(index, waiting);
        }
        self.carry_out(effects, output);
        self.apply_committed(output);
    }

    fn propose(&mut self, command: Command, now: Time, output: &mut Vec<ShardOutput>) {
        let mut effects = Vec::new();
        // A refusal means that leadership was lost; the gateway asks again.
        let _ = self
            .replica
            .propose(Payload::Command(command), now, &mut effects);
        self.carry_out(effects, output);
        self.apply_committed(output);
    }

    /// Lets time pass. Returns whether the shard must be called again soon.
    pub fn tick(
        &mut self,
        now: Time,
        liveness: &dyn Liveness,
        output: &mut Vec<ShardOutput>,
    ) -> bool {
        let mut effects = Vec::new();
        let busy = if self.replica.is_leader() {
            self.replica.tick_leader(now, liveness, &mut effects)
        } else {
            self.replica.tick_follower(now, liveness, &mut effects)
        };
        self.carry_out(effects, output);
        self.apply_committed(output);
        busy
    }

    fn carry_out(&mut self, effects: Vec<Effect>, output: &mut Vec<ShardOutput>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => output.push(ShardOutput::Replicate(to, message)),
                Effect::Persist(record) => output.push(ShardOutput::Persist(record)),
                Effect::Restore(image) => self.restore(&image, output),
                Effect::SnapshotNeeded(to) => {
                    let mut answer = Vec::new();
                    let state = self.table.encode();
                    self.replica.send_snapshot(to, state, &mut answer);
                    self.carry_out(answer, output);
                }
                Effect::Removed => output.push(ShardOutput::Removed),
            }
        }
        self.note_leadership(output);
    }

    /// A state that does not decode is not guessed at: the replica goes, and
    /// the leader brings it back with a fresh snapshot.
    fn restore(&mut self, image: &SnapshotImage, output: &mut Vec<ShardOutput>) {
        match ProgramTable::decode(&image.state, self.faults) {
            Ok(table) => self.table = table,
            Err(_) => output.push(ShardOutput::Removed),
        }
    }

    fn note_leadership(&mut self, output: &mut Vec<ShardOutput>) {
        let leads = self.replica.is_leader();
        if leads == self.was_leader {
            return;
        }
        self.was_leader = leads;
        self.proposed.clear();
        self.reads.clear();
        let event = if leads {
            Event::LeaderElected
        } else {
            Event::LeaderLost
        };
        output.push(ShardOutput::Event(event, self.replica.term()));
    }

    fn apply_committed(&mut self, output: &mut Vec<ShardOutput>) {
        let leads = self.replica.is_leader();
        for entry in self.replica.take_committed() {
            match entry.payload {
                Payload::Command(command) => {
                    let applied = self.table.apply(command);
                    if leads {
                        self.announce(applied, output);
                    }
                }
                Payload::Voters(voters) if leads => {
                    self.dismiss_removed(entry.index, &voters, output);
                }
                Payload::Voters(_) | Payload::Empty => {}
            }
            if let Some(read) = self.reads.remove(&entry.index) {
                self.answer_read(read, output);
            }
        }
        if self.replica.log_length() > COMPACT_AFTER_ENTRIES + KEEP_ENTRIES as usize {
            let mut effects = Vec::new();
            let state = self.table.encode();
            self.replica.compact(KEEP_ENTRIES, state, &mut effects);
            self.carry_out(effects, output);
        }
    }

    /// Tells members that a committed change left out that they can go. One
    /// that misses this learns it when it next asks for votes.
    fn dismiss_removed(&self, index: LogIndex, voters: &[NodeId], output: &mut Vec<ShardOutput>) {
        let before = self.replica.voters_through(index - 1).iter();
        for removed in before.filter(|node| !voters.contains(node)) {
            let notice = ReplicationMessage::NotMember { index };
            output.push(ShardOutput::Replicate(*removed, notice));
        }
    }

    fn announce(&mut self, applied: Vec<Applied>, output: &mut Vec<ShardOutput>) {
        for news in applied {
            match news {
                Applied::Tell {
                    gateway,
                    request,
                    status,
                } => {
                    self.proposed.remove(&(gateway, request));
                    reply(gateway, request, ReplyBody::Status(status), output);
                }
                Applied::Cancel { gateway, request } => {
                    reply(gateway, request, ReplyBody::Cancel, output);
                }
                other => output.push(ShardOutput::Applied(other)),
            }
        }
    }

    fn answer_read(&self, waiting: WaitingRead, output: &mut Vec<ShardOutput>) {
        let program = self.table.get(&waiting.program);
        let body = match waiting.read {
            Read::View => ReplyBody::View {
                view: program.map(|program| program.view()),
            },
            Read::Ended { existed } => ReplyBody::Ended { existed },
            Read::Alive => ReplyBody::Alive {
                alive: self.table.is_alive(&waiting.program),
            },
        };
        reply(waiting.gateway, waiting.request, body, output);
    }

    /// The shard.
    pub fn shard(&self) -> ShardId {
        self.shard
    }
}

fn reply(gateway: NodeId, request: RequestId, body: ReplyBody, output: &mut Vec<ShardOutput>) {
    output.push(ShardOutput::Reply(gateway, ProgramReply { request, body }));
}
