//! The driver: nodes, engines and callers on one schedule.

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

    fn start_attempt(&mut self, machine: usize, order: AttemptOrder) {
        let engine = order.engine.clone();
        let order = Box::new(order);
        let arrive = Happening::EngineArrive {
            engine,
            machine,
            order,
        };
        self.schedule.add(self.now + 1, arrive);
    }

    fn engine_arrive(&mut self, engine_id: EngineId, machine: usize, order: AttemptOrder) {
        let id = AttemptId {
            gateway: self.machines[machine].id,
            request: order.request,
            attempt: order.attempt,
        };
        let Some(engine) = self.engines.get_mut(&engine_id) else {
            return;
        };
        if engine.down {
            self.attempt_ended(machine, id, AttemptResult::NotSent);
            return;
        }
        engine.held.insert(order.program.clone());
        engine.running.insert(id, order.clone());
        self.observe(Observation::EngineRan {
            engine: engine_id.clone(),
            attempt: id,
            program: order.program.clone(),
            call: order.call,
            prompt: order.messages.0,
        });
        let (least, most) = self.settings.service_ms;
        let service = self.random.random_range(least..=most);
        let done = Happening::EngineDone {
            engine: engine_id,
            id,
            machine,
        };
        self.schedule.add(self.now + service, done);
    }

    fn engine_done(&mut self, engine: &EngineId, id: AttemptId, machine: usize) {
        let order = self
            .engines
            .get_mut(engine)
            .and_then(|engine| engine.running.remove(&id));
        let Some(order) = order else {
            return;
        };
        let result = AttemptResult::Finished {
            answer: Text::from(answer_to(&order.messages)),
            truncated: false,
            usage: usage_of(&order.messages),
        };
        let doubled = self.random.random_bool(self.network.duplicate);
        if doubled {
            self.attempt_ended(machine, id, result.clone());
        }
        self.attempt_ended(machine, id, result);
    }

    fn cancel_attempt(&mut self, machine: usize, id: AttemptId) {
        let order = self
            .engines
            .values_mut()
            .find_map(|engine| engine.running.remove(&id));
        if order.is_some() {
            let usage = Usage::default();
            self.attempt_ended(machine, id, AttemptResult::Cancelled { usage });
        }
    }

    fn attempt_ended(&mut self, machine: usize, id: AttemptId, result: AttemptResult) {
        if self.machines[machine].id != id.gateway {
            return;
        }
        let input = Box::new(Input::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            result,
        });
        let arrive = Happening::Arrive { machine, input };
        self.schedule.add(self.now + 1, arrive);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Crash {
                machine,
                keep_disk,
                down_ms,
            } => {
                self.crash(machine, keep_disk);
                self.plan(self.now + down_ms, Action::Start { machine });
            }
            Action::Start { machine } => {
                if self.machines[machine].node.is_none() {
                    self.start(machine);
                }
            }
            Action::Pause { machine, for_ms } => {
                let until = self.now + for_ms;
                self.machines[machine].paused_until = until;
                self.plan(until, Action::Resume { machine });
            }
            Action::Resume { machine } => self.resume(machine),
            Action::Partition { side } => self.network.cut_off = side,
            Action::EngineCrash { engine, down_ms } => {
                self.crash_engine(engine);
                self.plan(self.now + down_ms, Action::EngineStart { engine });
            }
            Action::EngineStart { engine } => {
                if let Some(engine) = self.engines.get_mut(&engine_id(engine)) {
                    engine.down = false;
                }
            }
            Action::EngineLeave { engine } => self.announce_leaving(engine_id(engine)),
            Action::Configure { machine, version } => self.accept_config(machine, version),
            Action::Drain { machine, down_ms } => {
                let since = self.now;
                self.input(machine, Input::Drain);
                self.act(Action::DrainCheck {
                    machine,
                    since,
                    down_ms,
                });
            }
            Action::DrainCheck {
                machine,
                since,
                down_ms,
            } => self.check_drain(machine, since, down_ms),
            Action::Caller(action) => self.caller_actions.push(action),
        }
    }

    /// Stops a draining machine once it has finished, as the daemon does.
    fn check_drain(&mut self, machine: usize, since: Time, down_ms: Time) {
        let Some(node) = &self.machines[machine].node else {
            return;
        };
        let status = node.status();
        let elapsed = self.now - since;
        let handed_over =
            status.leading.is_empty() && (status.replicas == 0 || elapsed > DRAIN_HAND_OVER_MS);
        let at_once = self.settings.faults.is_set(FaultPoint::StopAtOnce);
        if (status.held == 0 && handed_over) || elapsed > DRAIN_LIMIT_MS || at_once {
            self.input(machine, Input::Leave);
            self.crash(machine, true);
            self.plan(self.now + down_ms, Action::Start { machine });
            return;
        }
        let check = Action::DrainCheck {
            machine,
            since,
            down_ms,
        };
        self.plan(self.now + TICK_MS, check);
    }

    /// Stops a machine at once.
    pub fn crash(&mut self, index: usize, keep_disk: bool) {
        for machine in 0..self.machines.len() {
            self.note_commits(machine);
        }
        let machine = &mut self.machines[index];
        if machine.node.take().is_none() {
            return;
        }
        let id = machine.id;
        machine.held.clear();
        machine.paused_until = 0;
        if !keep_disk {
            if let Some(disk) = &mut machine.disk {
                disk.clear();
            }
            machine.config = ConfigBundle::default();
        }
        self.note_destroyed();
        let lost: Vec<(NodeId, RequestId)> = self
            .operations
            .keys()
            .copied()
            .filter(|(gateway, _)| *gateway == id)
            .collect();
        for key in lost {
            if let Some(operation) = self.operations.remove(&key) {
                self.observe(Observation::Disconnected { operation });
                self.caller_actions.push(operation.0);
            }
        }
        self.queries.retain(|(gateway, _), _| *gateway != id);
        // What the dead gateway had at engines stops when its connections do.
        for engine in self.engines.values_mut() {
            engine.running.retain(|attempt, _| attempt.gateway != id);
        }
    }

    /// Whether every replica that holds all that shard ever committed is gone.
    /// No system can answer for such a shard's history.
    pub fn is_destroyed(&self, shard: ShardId) -> bool {
        self.destroyed.contains(&shard)
    }

    /// Notes the furthest commit of each shard seen on a machine.
    fn note_commits(&mut self, index: usize) {
        let Some(node) = &self.machines[index].node else {
            return;
        };
        for replica in node.shards() {
            let commit = replica.replica().commit();
            let term = replica.replica().term_at(commit).unwrap_or_default();
            let furthest = self.committed.entry(replica.shard()).or_default();
            *furthest = (*furthest).max((commit, term));
        }
    }

    /// Notes the shards of which no replica with everything committed is left.
    fn note_destroyed(&mut self) {
        for (shard, (committed, term)) in &self.committed {
            let survives = self.machines.iter().any(|machine| {
                let in_memory = machine.node.iter().flat_map(Node::shards);
                let mut in_memory = in_memory.filter(|replica| replica.shard() == *shard);
                let on_disk = machine.disk.as_ref().and_then(|disk| disk.get(shard));
                // Entries that were never committed may reach further, but are
                // no copy.
                in_memory.any(|replica| replica.replica().holds(*committed, *term))
                    || on_disk.is_some_and(|stored| stored.holds(*committed, *term))
            });
            if !survives {
                self.destroyed.insert(*shard);
            }
        }
    }

    /// Starts a machine: with its old identifier if its disk kept it.
    pub fn start(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.life += 1;
        machine.started_at = self.now;
        let stored = machine.disk.clone().unwrap_or_default();
        let keeps_identity = machine.life > 1 && !stored.is_empty();
        machine.member_life += 1;
        if !keeps_identity {
            machine.member_life = 1;
            machine.id = NodeId(hash::mix(index as u64 * 1_000_003 + machine.life) >> 1);
        }
        let (id, life) = (machine.id, machine.life);
        let settings = self.node_settings(index);
        self.index_of.insert(id, index);
        self.machines[index].node = Some(Node::new(settings, self.now));
        self.configure_engines(index);
        for (shard, stored) in stored {
            self.input(index, Input::Recover { shard, stored });
        }
        let machine = index;
        let phase = self.random.random_range(0..TICK_MS);
        self.schedule
            .add(self.now + phase, Happening::Tick { machine, life });
    }

    fn node_settings(&mut self, index: usize) -> NodeSettings {
        let machine = &self.machines[index];
        let seeds = (0..self.settings.zones.len()).filter(|other| *other != index);
        NodeSettings {
            id: machine.id,
            life: machine.member_life,
            info: self.member_info(index),
            seeds: seeds
                .take(SEEDS)
                .map(|other| Text::from(address_of(other)))
                .collect(),
            shard_count: self.settings.shard_count,
            random_seed: self.random.random(),
            membership: MembershipSettings::default(),
            config: machine.config.clone(),
            faults: self.settings.faults,
        }
    }

    fn configure_engines(&mut self, index: usize) {
        let engines = (0..self.settings.engines).map(|number| EngineRecord {
            id: engine_id(number),
            model: Text::from(MODEL),
            zone: Text::from(zone_name(number)),
            leaving: false,
            slots: QueueSettings::default().slots,
        });
        let input = Input::Configure {
            engines: engines.collect(),
            policy: EnginePolicy::default(),
            queue: QueueSettings::default(),
        };
        self.input(index, input);
    }

    fn resume(&mut self, index: usize) {
        if self.now < self.machines[index].paused_until {
            return;
        }
        for input in std::mem::take(&mut self.machines[index].held) {
            self.input(index, input);
        }
    }

    fn crash_engine(&mut self, number: usize) {
        let id = engine_id(number);
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let running = engine.running.clone();
        for attempt in engine.crash() {
            let Some(machine) = self.index_of.get(&attempt.gateway).copied() else {
                continue;
            };
            let usage = Usage::default();
            self.attempt_ended(machine, attempt, AttemptResult::Broken { usage });
            self.send_crossed_answer(machine, attempt, running.get(&attempt));
        }
    }

    /// A broken attempt's answer may still come, cut short and late.
    fn send_crossed_answer(&mut self, machine: usize, id: AttemptId, order: Option<&AttemptOrder>) {
        let Some(order) = order else {
            return;
        };
        let whole = answer_to(&order.messages);
        let result = AttemptResult::Finished {
            answer: Text::from(&whole[..whole.len() / 2]),
            truncated: false,
            usage: usage_of(&order.messages),
        };
        let input = Box::new(Input::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            result,
        });
        let arrive = Happening::Arrive { machine, input };
        self.schedule.add(self.now + CROSSED_ANSWER_MS, arrive);
    }

    fn announce_leaving(&mut self, id: EngineId) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        if engine.leaving_since.replace(now).is_some() {
            return;
        }
        self.observe(Observation::EngineLeaving { engine: id.clone() });
    }

    /// A coordinator asks its engines for their state.
    fn poll_engines(&mut self, index: usize) {
        let Some(node) = &self.machines[index].node else {
            return;
        };
        for engine in node.coordinated_engines().to_vec() {
            self.report_engine(index, engine);
        }
    }

    /// An engine that runs reports on itself.
    fn report_engine(&mut self, index: usize, engine: EngineId) {
        let Some(state) = self.engines.get(&engine) else {
            return;
        };
        if state.down {
            return;
        }
        let leaving = state.leaving_since.is_some();
        let input = Box::new(Input::EngineReport { engine, leaving });
        let arrive = Happening::Arrive {
            machine: index,
            input,
        };
        self.schedule.add(self.now + 1, arrive);
    }

    fn accept_config(&mut self, machine: usize, version: u64) {
        use stageyoke_core::config_spread::{ConfigHead, SectionId};
        let content = format!("content of version {version}");
        let bundle = ConfigBundle {
            head: ConfigHead {
                version: stageyoke_types::ConfigVersion(version),
                apply_id: Text::from(format!("apply-{version}")),
                sections: vec![SectionId::of(&content)].into(),
            },
            contents: vec![Text::from(content)],
        };
        if self.machines[machine].node.is_some() {
            let version = bundle.head.version;
            self.observe(Observation::ConfigAccepted { version });
            self.input(machine, Input::OfferConfig(bundle));
        }
    }

    /// A caller sends a call through a machine. Returns none if it is down.
    pub fn submit(&mut self, index: usize, mut submission: CallSubmission) -> Option<OperationId> {
        self.machines[index].node.as_ref()?;
        self.next_request += 1;
        self.next_operation += 1;
        let operation = OperationId(self.next_operation);
        let life = self.machines[index].member_life;
        submission.request = RequestId::of_life(life, self.next_request);
        let gateway = self.machines[index].id;
        self.operations
            .insert((gateway, submission.request), operation);
        let text = submission
            .messages
            .last()
            .map_or(String::new(), |message| message.content.to_string());
        self.observe(Observation::Submitted {
            operation,
            attempt_of: AttemptId {
                gateway,
                request: submission.request,
                attempt: stageyoke_types::Attempt(0),
            },
            program: submission.program.clone(),
            key: submission.idempotency_key.clone(),
            repeatable: submission.repeatable,
            text,
        });
        self.input(index, Input::Submit(Box::new(submission)));
        Some(operation)
    }

    /// A caller asks for a program's end or state through a machine.
    pub fn query(&mut self, index: usize, program: ProgramKey, end: bool) {
        if self.machines[index].node.is_none() {
            return;
        }
        self.next_request += 1;
        let request = RequestId::of_life(self.machines[index].member_life, self.next_request);
        let gateway = self.machines[index].id;
        self.queries.insert((gateway, request), program.clone());
        if end {
            self.observe(Observation::EndRequested {
                program: program.clone(),
            });
            self.input(index, Input::EndProgram { request, program });
        } else {
            self.input(index, Input::ViewProgram { request, program });
        }
    }

    /// Drops from the engines what belongs to programs that have ended, as the
    /// daemons do: each held program is looked up, and released if not alive.
    pub fn sweep_engines(&mut self, alive: &dyn Fn(&ProgramKey) -> bool) {
        for engine in self.engines.values_mut() {
            engine.held.retain(|program| alive(program));
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
