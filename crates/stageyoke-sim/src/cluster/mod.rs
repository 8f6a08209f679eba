//! The driver: nodes, engines and callers on one schedule.

mod callers;
mod engines;
mod faults;
mod lives;

use std::collections::{BTreeMap, BTreeSet};

use nanoserde::SerBin;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stageyoke_core::config_spread::ConfigBundle;
use stageyoke_core::coordinator::QueueSettings;
use stageyoke_core::fault::{FaultPoint, Faults};
use stageyoke_core::gateway::{
    AttemptOrder, AttemptResult, CallSubmission, EnginePolicy, EngineRecord,
};
use stageyoke_core::membership::{MemberInfo, MembershipSettings};
use stageyoke_core::message::PeerMessage;
use stageyoke_core::node::{Founder, Input, Node, NodeSettings, Output};
use stageyoke_core::program::Usage;
use stageyoke_core::shard::StoredShard;
use stageyoke_core::{hash, replication::LogRecord};
use stageyoke_types::{EngineId, Event, NodeId, ProgramKey, RequestId, ShardId, Term, Text, Time};

use crate::engine::{AttemptId, HollowEngine, answer_to, usage_of};
use crate::network::Network;
use crate::record::{Observation, OperationId, Recorded};
use crate::schedule::Schedule;

/// How often each node's clock is advanced, ms.
pub const TICK_MS: Time = 50;
/// Bytes of headers around one datagram: IPv4, UDP, and this project's frame
/// with its authentication tag.
pub const DATAGRAM_OVERHEAD: u64 = 20 + 8 + stageyoke_wire::DATAGRAM_OVERHEAD as u64;
/// Bytes of headers around one message on a connection: IPv4, TCP with
/// timestamps, and this project's frame.
pub const STREAM_OVERHEAD: u64 = 20 + 32 + stageyoke_wire::FRAME_OVERHEAD as u64;

/// Shape of a simulated cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Seed of everything random.
    pub seed: u64,
    /// Zone of each node.
    pub zones: Vec<usize>,
    /// Whether each node has a disk.
    pub disks: Vec<bool>,
    /// Shards.
    pub shard_count: u32,
    /// Engines.
    pub engines: usize,
    /// Safeguards switched off.
    pub faults: Faults,
    /// Least and most service time of an engine, ms.
    pub service_ms: (Time, Time),
    /// Events after which the run stops: messages are breeding messages.
    pub event_limit: u64,
    /// Count the encoded bytes of each message.
    pub count_bytes: bool,
}

/// One simulated machine.
pub struct Machine {
    /// The node, while it runs.
    pub node: Option<Node>,
    /// Identifier of its current life.
    pub id: NodeId,
    /// Which life of the machine this is.
    pub life: u64,
    /// Which life under its current identifier.
    pub member_life: u16,
    /// It is paused until then.
    pub paused_until: Time,
    zone: usize,
    started_at: Time,
    disk: Option<BTreeMap<ShardId, StoredShard>>,
    config: ConfigBundle,
    held: Vec<Input>,
    next_engine_poll: Time,
    /// Messages and bytes it sent, by name of message.
    pub sent: BTreeMap<&'static str, Traffic>,
}

/// A count of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes, headers included.
    pub bytes: u64,
}

enum Happening {
    Tick {
        machine: usize,
        life: u64,
    },
    Arrive {
        machine: usize,
        input: Box<Input>,
    },
    EngineArrive {
        engine: EngineId,
        machine: usize,
        order: Box<AttemptOrder>,
    },
    EngineDone {
        engine: EngineId,
        id: AttemptId,
        machine: usize,
    },
    Release {
        engine: EngineId,
        program: ProgramKey,
    },
    Action(Action),
}

/// Something a test's plan does at a moment.
#[derive(Clone, Debug)]
pub enum Action {
    /// A machine stops at once, and starts again after a while.
    Crash {
        /// Machine.
        machine: usize,
        /// Whether its disk survives, if it has one.
        keep_disk: bool,
        /// Time until it starts again, ms.
        down_ms: Time,
    },
    /// A machine starts.
    Start {
        /// Machine.
        machine: usize,
    },
    /// A machine stands still and then goes on.
    Pause {
        /// Machine.
        machine: usize,
        /// How long, ms.
        for_ms: Time,
    },
    /// A paused machine goes on.
    Resume {
        /// Machine.
        machine: usize,
    },
    /// Some machines cannot reach the others; empty heals.
    Partition {
        /// One side.
        side: BTreeSet<usize>,
    },
    /// An engine fails, losing what it runs and holds.
    EngineCrash {
        /// Engine.
        engine: usize,
        /// Time until it starts again, ms.
        down_ms: Time,
    },
    /// An engine starts again.
    EngineStart {
        /// Engine.
        engine: usize,
    },
    /// An engine announces that it leaves.
    EngineLeave {
        /// Engine.
        engine: usize,
    },
    /// A configuration is accepted and read by one node.
    Configure {
        /// The node that reads it first.
        machine: usize,
        /// Version.
        version: u64,
    },
    /// A machine stops as planned, and starts again after a while.
    Drain {
        /// Machine.
        machine: usize,
        /// Time between its stop and its next start, ms.
        down_ms: Time,
    },
    /// A draining machine looks whether it has finished, and stops if it has.
    DrainCheck {
        /// Machine.
        machine: usize,
        /// When it began to drain, ms.
        since: Time,
        /// Time between its stop and its next start, ms.
        down_ms: Time,
    },
    /// A caller acts; handled by the workload.
    Caller(u64),
}

/// The simulated cluster.
pub struct Cluster {
    /// Virtual time, ms.
    pub now: Time,
    /// Machines.
    pub machines: Vec<Machine>,
    /// Engines.
    pub engines: BTreeMap<EngineId, HollowEngine>,
    /// Network.
    pub network: Network,
    /// Everything seen.
    pub record: Vec<Recorded>,
    /// Numbered events, by number.
    pub event_counts: BTreeMap<u16, u64>,
    /// Actions whose time came and that the caller of [`Cluster::step`] handles.
    pub caller_actions: Vec<u64>,
    settings: ClusterSettings,
    schedule: Schedule<Happening>,
    random: ChaCha8Rng,
    index_of: BTreeMap<NodeId, usize>,
    operations: BTreeMap<(NodeId, RequestId), OperationId>,
    queries: BTreeMap<(NodeId, RequestId), ProgramKey>,
    next_request: u64,
    next_operation: u64,
    happened: u64,
    committed: BTreeMap<ShardId, (u64, Term)>,
    destroyed: BTreeSet<ShardId>,
}

impl Cluster {
    /// A cluster that has just been formed.
    pub fn new(settings: ClusterSettings) -> Self {
        let mut cluster = Self {
            now: 0,
            machines: Vec::new(),
            engines: (0..settings.engines)
                .map(|number| (engine_id(number), HollowEngine::default()))
                .collect(),
            network: Network::default(),
            record: Vec::new(),
            event_counts: BTreeMap::new(),
            caller_actions: Vec::new(),
            schedule: Schedule::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            index_of: BTreeMap::new(),
            operations: BTreeMap::new(),
            queries: BTreeMap::new(),
            next_request: 0,
            next_operation: 0,
            happened: 0,
            committed: BTreeMap::new(),
            destroyed: BTreeSet::new(),
            settings,
        };
        for index in 0..cluster.settings.zones.len() {
            cluster.add_machine(index);
        }
        cluster.form();
        cluster
    }

    fn add_machine(&mut self, index: usize) {
        let has_disk = self.settings.disks.get(index).copied().unwrap_or(false);
        self.machines.push(Machine {
            node: None,
            id: NodeId(0),
            life: 0,
            member_life: 0,
            paused_until: 0,
            zone: self.settings.zones[index],
            started_at: 0,
            disk: has_disk.then(BTreeMap::new),
            config: ConfigBundle::default(),
            held: Vec::new(),
            next_engine_poll: 0,
            sent: BTreeMap::new(),
        });
        self.start(index);
    }

    fn form(&mut self) {
        let founders: Vec<Founder> = (0..self.machines.len())
            .map(|index| Founder {
                node: self.machines[index].id,
                info: self.member_info(index),
            })
            .collect();
        for index in 0..self.machines.len() {
            let founders = founders.clone();
            self.input(index, Input::Form { founders });
        }
    }

    fn member_info(&self, index: usize) -> MemberInfo {
        let machine = &self.machines[index];
        MemberInfo {
            name: Text::from(machine_name(index)),
            zone: Text::from(zone_name(machine.zone)),
            region: Text::from("region"),
            address: Text::from(address_of(index)),
            has_disk: machine.disk.is_some(),
            started_at: machine.started_at,
        }
    }

    /// True if the run was stopped because messages bred messages.
    pub fn is_storm(&self) -> bool {
        self.happened >= self.settings.event_limit
    }

    /// Plans an action.
    pub fn plan(&mut self, at: Time, action: Action) {
        self.schedule.add(at, Happening::Action(action));
    }

    /// Runs until a moment, or until callers have something to do.
    pub fn step(&mut self, until: Time) -> bool {
        while self.caller_actions.is_empty() {
            if self.happened >= self.settings.event_limit {
                self.now = until;
                return false;
            }
            self.happened += 1;
            let Some((at, happening)) = self.schedule.next_until(until) else {
                self.now = until;
                return false;
            };
            self.now = at;
            self.happen(happening);
        }
        true
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { machine, life } => self.tick(machine, life),
            Happening::Arrive { machine, input } => self.input(machine, *input),
            Happening::EngineArrive {
                engine,
                machine,
                order,
            } => self.engine_arrive(engine, machine, *order),
            Happening::EngineDone {
                engine,
                id,
                machine,
            } => self.engine_done(&engine, id, machine),
            Happening::Release { engine, program } => {
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.held.remove(&program);
                }
            }
            Happening::Action(action) => self.act(action),
        }
    }

    fn tick(&mut self, machine: usize, life: u64) {
        if self.machines[machine].life != life || self.machines[machine].node.is_none() {
            return;
        }
        if self.now >= self.machines[machine].paused_until {
            self.input(machine, Input::Tick);
            if self.now >= self.machines[machine].next_engine_poll {
                self.machines[machine].next_engine_poll = self.now + ENGINE_POLL_MS;
                self.poll_engines(machine);
            }
        }
        self.schedule
            .add(self.now + TICK_MS, Happening::Tick { machine, life });
    }

    /// Gives a node an input; a paused node gets it when it goes on.
    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.node.is_none() {
            // Nothing reaches a process that is not there, paused or not.
            return;
        }
        if now < machine.paused_until {
            machine.held.push(input);
            return;
        }
        let Some(node) = &mut machine.node else {
            return;
        };
        for output in node.handle(now, input) {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                if let Some(target) = self.index_of.get(&to).copied() {
                    self.transmit(index, target, to, message);
                }
            }
            Output::SendTo { address, message } => {
                if let Some(target) = index_of_address(&address) {
                    let id = self.machines[target].id;
                    self.transmit(index, target, id, message);
                }
            }
            Output::Persist(record) => self.persist(index, record),
            Output::StartAttempt(order) => self.start_attempt(index, order),
            Output::CancelAttempt { request, attempt } => {
                let id = AttemptId {
                    gateway: self.machines[index].id,
                    request,
                    attempt,
                };
                self.cancel_attempt(index, id);
            }
            Output::Answer(request, answer) => {
                let gateway = self.machines[index].id;
                if let Some(operation) = self.operations.remove(&(gateway, request)) {
                    self.observe(Observation::Answered { operation, answer });
                    self.caller_actions.push(operation.0);
                }
            }
            Output::Query(request, answer) => {
                let gateway = self.machines[index].id;
                if let Some(program) = self.queries.remove(&(gateway, request)) {
                    self.observe(Observation::Queried { program, answer });
                }
            }
            Output::ReleaseEngine { engine, program } => {
                let delay = self.network.max_delay;
                if !self.random.random_bool(self.network.loss) {
                    self.schedule
                        .add(self.now + delay, Happening::Release { engine, program });
                }
            }
            Output::ProbeEngine(engine) => self.report_engine(index, engine),
            Output::ActivateConfig(bundle) => {
                let version = bundle.head.version;
                let machine = &mut self.machines[index];
                machine.config = bundle;
                let life = machine.life;
                self.observe(Observation::ConfigInForce {
                    node: index,
                    life,
                    version,
                });
            }
            Output::Event(event, detail) => self.note_event(index, event, &detail),
        }
    }

    fn note_event(&mut self, index: usize, event: Event, detail: &str) {
        *self.event_counts.entry(event.number()).or_default() += 1;
        if event != Event::LeaderElected {
            return;
        }
        let mut numbers = detail
            .split(['=', ' '])
            .filter_map(|word| word.parse::<u64>().ok());
        if let (Some(shard), Some(term)) = (numbers.next(), numbers.next()) {
            self.observe(Observation::LeaderElected {
                node: index,
                shard: ShardId(shard as u32),
                term: Term(term),
            });
        }
    }

    fn transmit(&mut self, from: usize, to: usize, to_id: NodeId, message: PeerMessage) {
        if self.settings.count_bytes {
            self.count(from, &message);
        }
        let sender = self.machines[from].id;
        for delay in self.network.deliveries(from, to, &mut self.random) {
            if self.machines[to].id != to_id {
                continue;
            }
            let input = Box::new(Input::Peer {
                from: sender,
                message: message.clone(),
            });
            let arrive = Happening::Arrive { machine: to, input };
            self.schedule.add(self.now + delay, arrive);
        }
    }

    fn count(&mut self, from: usize, message: &PeerMessage) {
        let payload = message.serialize_bin().len() as u64;
        let overhead = if message.is_datagram() {
            DATAGRAM_OVERHEAD
        } else {
            STREAM_OVERHEAD
        };
        let traffic = self.machines[from].sent.entry(message.name()).or_default();
        traffic.messages += 1;
        traffic.bytes += payload + overhead;
    }

    fn persist(&mut self, index: usize, record: LogRecord) {
        if let Some(disk) = &mut self.machines[index].disk {
            disk.entry(record.shard()).or_default().absorb(record);
        }
    }

    fn observe(&mut self, what: Observation) {
        self.record.push(Recorded { at: self.now, what });
    }

    /// The cluster's own random source, for plans.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Running machines that callers are sent to.
    pub fn running(&self) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        let running = machines.filter(|(_, machine)| {
            let node = machine.node.as_ref();
            node.is_some_and(|node| !node.status().draining)
        });
        running.map(|(index, _)| index).collect()
    }
}

/// Longest time a draining machine waits to be rid of its replicas, ms.
const DRAIN_HAND_OVER_MS: Time = 6_000;
/// Longest time a machine drains, ms.
const DRAIN_LIMIT_MS: Time = 20_000;
/// Seed addresses each node is given.
const SEEDS: usize = 3;
/// How long after an engine's failure a crossed answer of it arrives, ms.
const CROSSED_ANSWER_MS: Time = 40;
/// How often coordinators ask engines for their state, ms.
const ENGINE_POLL_MS: Time = 1_000;
/// The only model of the simulated engines.
pub const MODEL: &str = "model";

/// Name of an engine by number.
pub fn engine_id(number: usize) -> EngineId {
    EngineId::from(format!("engine-{number}").as_str())
}

fn machine_name(index: usize) -> String {
    format!("node-{index}")
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn address_of(index: usize) -> String {
    format!("{ADDRESS_PREFIX}{index}")
}

const ADDRESS_PREFIX: &str = "virtual:";

fn index_of_address(address: &str) -> Option<usize> {
    address.strip_prefix(ADDRESS_PREFIX)?.parse().ok()
}

impl Cluster {
    /// Every replica and its state, one a line, for reports of failures.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let Some(node) = &machine.node else {
                lines.push(format!("machine {index}: down"));
                continue;
            };
            let names = |id: &NodeId| match self.index_of.get(id) {
                Some(owner) if self.machines[*owner].id == *id => format!("{owner}"),
                Some(owner) => format!("{owner}(earlier life)"),
                None => "?".to_owned(),
            };
            for shard in node.shards() {
                let status = shard.status();
                let voters: Vec<String> = status.voters.iter().map(names).collect();
                lines.push(format!(
                    "machine {index} shard {} term {} commit {}/{} leader {:?} voters {voters:?}",
                    shard.shard(),
                    status.term,
                    status.commit,
                    shard.replica().last_index(),
                    status.leader.as_ref().map(names),
                ));
            }
            let members: Vec<String> = node
                .membership()
                .table()
                .iter()
                .map(|(id, member)| format!("{}:{:?}", names(&id), member.status))
                .collect();
            lines.push(format!("machine {index} members {members:?}"));
        }
        lines.join("\n")
    }
}
