//! Drives the node's state machine on a thread of its own: inputs in, outputs
//! out, records on disk before anything that depends on them is sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use stageyoke_config::Configuration;
use stageyoke_core::gateway::{AttemptOrder, CallAnswer, CallSubmission, QueryAnswer};
use stageyoke_core::membership::MemberInfo;
use stageyoke_core::node::{Input, Node, NodeStatus, Output};
use stageyoke_core::replication::LogRecord;
use stageyoke_types::{
    Attempt, ConfigVersion, EngineId, Event, NodeId, ProgramKey, RequestId, ShardId, Text,
};
use tokio::sync::{mpsc, oneshot};

use crate::backends::engine::EngineClient;
use crate::backends::sweep;
use crate::callers::sink::CallSink;
use crate::clock::Clock;
use crate::events;
use crate::metrics::Metrics;
use crate::peers::PeerNetwork;
use crate::store::Store;

/// How often the state machine is told that time passed.
pub const TICK: Duration = Duration::from_millis(25);
/// Inputs handled before what they ask for is written and sent.
const BATCH: usize = 256;

/// What is asked of the driver.
pub enum Command {
    /// An input for the state machine.
    Input(Input),
    /// A caller's call.
    Submit(Box<CallSubmission>, CallSink),
    /// A query about a program.
    Query(QueryKind, ProgramKey, oneshot::Sender<QueryAnswer>),
    /// State for operators.
    Status(oneshot::Sender<StatusReport>),
    /// Stop the driver.
    Stop,
}

/// Kinds of query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryKind {
    /// Show the program.
    View,
    /// End the program.
    End,
    /// Does it live?
    Alive,
}

/// A node's state for operators.
#[derive(Clone, Debug)]
pub struct StatusReport {
    /// The state machine's own summary.
    pub node: NodeStatus,
    /// Every known member.
    pub members: Vec<MemberReport>,
    /// Shards held here.
    pub shards: Vec<ShardReport>,
    /// Engines this node looks after.
    pub engines: Vec<EngineId>,
}

/// A member as known to one node.
#[derive(Clone, Debug)]
pub struct MemberReport {
    /// Identifier.
    pub node: NodeId,
    /// Name and place.
    pub info: MemberInfo,
    /// Status in words.
    pub status: String,
}

/// A shard's replica on one node.
#[derive(Clone, Debug)]
pub struct ShardReport {
    /// Shard.
    pub shard: ShardId,
    /// Term.
    pub term: u64,
    /// Commit position.
    pub commit: u64,
    /// Last position.
    pub last_index: u64,
    /// Leader, if known.
    pub leader: Option<NodeId>,
    /// Replica group.
    pub voters: Vec<NodeId>,
    /// Programs held.
    pub programs: usize,
}

/// A way to the driver.
#[derive(Clone)]
pub struct DriverHandle {
    commands: mpsc::UnboundedSender<Command>,
}

impl DriverHandle {
    /// A handle and the other end of its channel.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Sends a command; does nothing once the driver has stopped.
    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// Asks about a program.
    pub async fn query(&self, kind: QueryKind, program: ProgramKey) -> QueryAnswer {
        let (answer, receiver) = oneshot::channel();
        self.send(Command::Query(kind, program, answer));
        receiver.await.unwrap_or(QueryAnswer::Unavailable)
    }

    /// The node's state; none once the driver has stopped.
    pub async fn status(&self) -> Option<StatusReport> {
        let (answer, receiver) = oneshot::channel();
        self.send(Command::Status(answer));
        receiver.await.ok()
    }
}

/// The configuration in force, for the parts that serve callers.
#[derive(Clone, Default)]
pub struct ConfigCell {
    current: Arc<RwLock<Option<Arc<ActiveConfig>>>>,
}

/// A configuration in force.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Identifier of the apply that brought it.
    pub apply_id: String,
    /// Text as applied.
    pub text: String,
    /// Content.
    pub config: Configuration,
}

impl ConfigCell {
    /// The configuration in force, if there is one.
    pub fn get(&self) -> Option<Arc<ActiveConfig>> {
        self.current.read().ok()?.clone()
    }

    fn set(&self, config: Arc<ActiveConfig>) {
        if let Ok(mut current) = self.current.write() {
            *current = Some(config);
        }
    }
}

/// Drives one node.
pub struct Driver {
    parts: DriverParts,
    state: DriverState,
}

#[derive(Default)]
struct DriverState {
    calls: HashMap<RequestId, HeldCall>,
    queries: HashMap<RequestId, oneshot::Sender<QueryAnswer>>,
    attempts: HashMap<RequestId, RunningAttempt>,
    requests: u64,
}

struct HeldCall {
    sink: CallSink,
    class: u8,
    since: Instant,
}

struct RunningAttempt {
    attempt: Attempt,
    cancel: oneshot::Sender<()>,
}

/// What a new driver is made of.
pub struct DriverParts {
    /// The state machine.
    pub node: Node,
    /// Name, for logs.
    pub name: Arc<str>,
    /// Life of this node's identifier.
    pub life: u16,
    /// Clock.
    pub clock: Clock,
    /// Transport.
    pub network: PeerNetwork,
    /// Durable log, if there is a data folder.
    pub store: Option<Store>,
    /// Where to keep the configuration, if there is a data folder.
    pub config_file: Option<std::path::PathBuf>,
    /// Configuration in force.
    pub config: ConfigCell,
    /// Engines.
    pub engines: EngineClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Handle for results of what the driver starts.
    pub handle: DriverHandle,
    /// Where tasks run.
    pub runtime: tokio::runtime::Handle,
}

impl Driver {
    /// A driver ready to run.
    pub fn new(parts: DriverParts) -> Self {
        Self {
            parts,
            state: DriverState::default(),
        }
    }

    /// Runs until told to stop.
    pub fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut outputs = Vec::new();
        while let Some(command) = commands.blocking_recv() {
            let mut next = Some(command);
            for _ in 0..BATCH {
                let Some(command) = next else {
                    break;
                };
                if matches!(command, Command::Stop) {
                    self.carry_out(std::mem::take(&mut outputs));
                    return;
                }
                self.accept(command, &mut outputs);
                next = commands.try_recv().ok();
            }
            // A command taken beyond the batch is handled in the next one.
            if let Some(command) = next {
                self.accept(command, &mut outputs);
            }
            if !self.carry_out(std::mem::take(&mut outputs)) {
                return;
            }
        }
    }

    fn accept(&mut self, command: Command, outputs: &mut Vec<Output>) {
        let now = self.parts.clock.now();
        match command {
            Command::Input(input) => {
                let is_tick = matches!(input, Input::Tick);
                outputs.extend(self.parts.node.handle(now, input));
                if is_tick {
                    self.update_gauges();
                }
            }
            Command::Submit(submission, sink) => self.submit(*submission, sink, outputs),
            Command::Query(kind, program, answer) => {
                let request = self.next_request();
                self.state.queries.insert(request, answer);
                let input = match kind {
                    QueryKind::View => Input::ViewProgram { request, program },
                    QueryKind::End => Input::EndProgram { request, program },
                    QueryKind::Alive => Input::CheckAlive { request, program },
                };
                outputs.extend(self.parts.node.handle(now, input));
            }
            Command::Status(answer) => {
                let _ = answer.send(self.report());
            }
            Command::Stop => {}
        }
    }

    fn next_request(&mut self) -> RequestId {
        self.state.requests += 1;
        RequestId::from_incarnation(self.parts.life, self.state.requests)
    }

    fn submit(
        &mut self,
        mut submission: CallSubmission,
        mut sink: CallSink,
        outputs: &mut Vec<Output>,
    ) {
        let now = self.parts.clock.now();
        if self.parts.store.as_ref().is_some_and(Store::is_full) {
            sink.refuse(stageyoke_types::ErrorKind::StorageFull);
            return;
        }
        let request = self.next_request();
        submission.request = request;
        submission.deadline += now;
        sink.announce(request);
        let held = HeldCall {
            sink,
            class: submission.class,
            since: Instant::now(),
        };
        self.state.calls.insert(request, held);
        outputs.extend(
            self.parts
                .node
                .handle(now, Input::Submit(Box::new(submission))),
        );
    }

    /// Writes all records first, then does the rest in order. Returns false if
    /// the disk failed: the node must stop, since it would acknowledge what it
    /// has not kept.
    fn carry_out(&mut self, outputs: Vec<Output>) -> bool {
        if !self.persist(&outputs) {
            return false;
        }
        for output in outputs {
            self.carry_out_one(output);
        }
        true
    }

    /// Returns false if the disk failed: then nothing that follows from the
    /// records may be sent.
    fn persist(&mut self, outputs: &[Output]) -> bool {
        let Some(store) = &mut self.parts.store else {
            return true;
        };
        for output in outputs {
            if let Output::Persist(record) = output {
                store.append(record);
            }
        }
        if let Err(error) = store.sync() {
            let detail = format!("write failed: {error}");
            events::emit(Event::LogCorrupt, &self.parts.name, &detail);
            return false;
        }
        if store.wants_replacement() {
            self.replace_log();
        }
        true
    }

    fn replace_log(&mut self) {
        let records: Vec<LogRecord> = self
            .parts
            .node
            .shards()
            .flat_map(stageyoke_core::shard::ShardReplica::to_records)
            .collect();
        if let Some(store) = &mut self.parts.store
            && let Err(error) = store.replace(&records)
        {
            let detail = format!("replacement failed: {error}");
            events::emit(Event::LogCorrupt, &self.parts.name, &detail);
        }
    }

    fn carry_out_one(&mut self, output: Output) {
        match output {
            Output::Persist(_) => {}
            Output::Send { to, message } => {
                if let Some((address, life)) = self.address_of(to) {
                    self.parts.network.send(to, life, address, &message);
                }
            }
            Output::SendTo { address, message } => {
                if let Ok(address) = address.parse() {
                    self.parts.network.send_datagram(address, &message);
                }
            }
            Output::StartAttempt(order) => self.start_attempt(order),
            Output::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Output::Answer(request, answer) => self.answer(request, answer),
            Output::Query(request, answer) => {
                if let Some(waiting) = self.state.queries.remove(&request) {
                    let _ = waiting.send(answer);
                }
            }
            Output::ReleaseEngine { engine, program } => {
                let release = self.parts.engines.clone().release(engine, program);
                self.parts.runtime.spawn(release);
            }
            Output::ProbeEngine(engine) => {
                let probe = sweep::probe(
                    self.parts.handle.clone(),
                    self.parts.engines.clone(),
                    engine,
                );
                self.parts.runtime.spawn(probe);
            }
            Output::ActivateConfig(bundle) => self.activate(bundle),
            Output::Event(event, detail) => {
                let label = format!("{event:?}");
                self.parts.metrics.events.with_label_values(&[&label]).inc();
                events::emit(event, &self.parts.name, &detail);
            }
        }
    }

    /// Where a node is, and which life of it is known.
    fn address_of(&self, node: NodeId) -> Option<(SocketAddr, u16)> {
        let member = self.parts.node.membership().table().get(node)?;
        let address = member.info.address.parse().ok()?;
        Some((address, member.life()))
    }

    fn answer(&mut self, request: RequestId, answer: CallAnswer) {
        let Some(held) = self.state.calls.remove(&request) else {
            return;
        };
        let kind = match &answer {
            CallAnswer::Finished { .. } => "finished",
            CallAnswer::Failed(failure) => failure.kind.name(),
        };
        self.parts.metrics.answers.with_label_values(&[kind]).inc();
        self.parts
            .metrics
            .call_seconds
            .with_label_values(&[&held.class.to_string()])
            .observe(held.since.elapsed().as_secs_f64());
        held.sink.finish(answer);
    }

    fn start_attempt(&mut self, order: AttemptOrder) {
        let (request, attempt) = (order.request, order.attempt);
        let (cancel, cancelled) = oneshot::channel();
        self.state
            .attempts
            .insert(request, RunningAttempt { attempt, cancel });
        // A caller that has left takes no text, but a keyed call goes on.
        let held = self.state.calls.get(&request);
        let text = held.map(|held| held.sink.text()).unwrap_or_default();
        let engines = self.parts.engines.clone();
        let handle = self.parts.handle.clone();
        self.parts.runtime.spawn(async move {
            let result = engines.run(order, text, cancelled).await;
            handle.send(Command::Input(Input::AttemptEnded {
                request,
                attempt,
                result,
            }));
        });
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: Attempt) {
        let running = self.state.attempts.remove(&request);
        let Some(running) = running.filter(|running| running.attempt == attempt) else {
            return;
        };
        // If it has ended by itself, its result is on the way.
        let _ = running.cancel.send(());
    }

    fn activate(&mut self, bundle: stageyoke_core::config_spread::ConfigBundle) {
        let text = stageyoke_config::sections::join(&bundle);
        let checked = match stageyoke_config::check("configuration", &text) {
            Ok(checked) => checked,
            Err(problems) => {
                let detail = format!("version={} {problems:?}", bundle.head.version);
                events::emit(Event::ConfigRejected, &self.parts.name, &detail);
                return;
            }
        };
        let config = checked.config;
        let now = self.parts.clock.now();
        let outputs = self.parts.node.handle(now, configure_input(&config));
        self.parts.engines.configure(&config);
        let active = Arc::new(ActiveConfig {
            version: bundle.head.version,
            apply_id: bundle.head.apply_id.to_string(),
            text,
            config,
        });
        if let Some(path) = &self.parts.config_file {
            keep_config(path, &active);
        }
        let detail = format!("version={}", active.version);
        events::emit(Event::ConfigInForce, &self.parts.name, &detail);
        self.parts.config.set(active);
        self.carry_out(outputs);
    }

    fn update_gauges(&mut self) {
        let status = self.parts.node.status();
        self.parts
            .metrics
            .calls_waiting
            .set(status.unanswered as i64);
        self.parts
            .metrics
            .shards_led
            .set(status.leading.len() as i64);
        self.parts.metrics.replicas.set(status.replicas as i64);
        self.parts.metrics.members.set(status.members as i64);
        self.parts
            .metrics
            .config_version
            .set(status.config.0 as i64);
        let bytes = self.parts.store.as_ref().map_or(0, Store::bytes);
        self.parts.metrics.store_bytes.set(bytes as i64);
        let attempts = &mut self.state.attempts;
        attempts.retain(|_, running| !running.cancel.is_closed());
        let table = self.parts.node.membership().table();
        self.parts.network.retain(|node| table.may_run(node));
    }

    fn report(&self) -> StatusReport {
        let table = self.parts.node.membership().table();
        let members = table.iter().map(|(node, member)| MemberReport {
            node,
            info: member.info.clone(),
            status: format!("{:?}", member.status).to_lowercase(),
        });
        let shards = self.parts.node.shards().map(|shard| {
            let status = shard.status();
            ShardReport {
                shard: shard.shard(),
                term: status.term.0,
                commit: status.commit,
                last_index: shard.replica().last_index(),
                leader: status.leader,
                voters: status.voters,
                programs: shard.table().programs().count(),
            }
        });
        StatusReport {
            node: self.parts.node.status(),
            members: members.collect(),
            shards: shards.collect(),
            engines: self.parts.node.coordinated_engines().to_vec(),
        }
    }
}

/// The state machine's share of a configuration.
fn configure_input(config: &Configuration) -> Input {
    use stageyoke_core::coordinator::QueueSettings;
    use stageyoke_core::gateway::{EnginePolicy, EngineRecord};
    let engines = config.engines.iter().map(|engine| EngineRecord {
        id: EngineId::from(engine.name.as_str()),
        model: Text::from(engine.model.as_str()),
        zone: Text::from(engine.zone.as_str()),
        leaving: engine.leaving,
        slots: engine.slots as usize,
    });
    Input::Configure {
        engines: engines.collect(),
        policy: EnginePolicy {
            placement: config.policy.placement,
        },
        queue: QueueSettings {
            queue_limit: config.policy.queue_limit as usize,
            order: config.policy.queue,
            ageing_ms: config.policy.ageing_seconds * 1_000,
            ..QueueSettings::default()
        },
    }
}

/// A configuration as kept in the data folder.
#[derive(serde::Serialize, serde::Deserialize)]
struct KeptConfig {
    version: u64,
    apply_id: String,
    text: String,
}

fn keep_config(path: &std::path::Path, active: &ActiveConfig) {
    let kept = KeptConfig {
        version: active.version.0,
        apply_id: active.apply_id.clone(),
        text: active.text.clone(),
    };
    if let Ok(content) = serde_json::to_vec(&kept) {
        // Without it a restart during an outage asks the peers instead.
        let _ = crate::store::write_durably(path, &content);
    }
}

/// Reads the configuration kept in the data folder.
pub fn kept_config(path: &std::path::Path) -> Option<stageyoke_core::config_spread::ConfigBundle> {
    let content = std::fs::read(path).ok()?;
    let kept: KeptConfig = serde_json::from_slice(&content).ok()?;
    let version = ConfigVersion(kept.version);
    Some(stageyoke_config::sections::bundle(
        &kept.text,
        version,
        &kept.apply_id,
    ))
}

/// Tells the state machine regularly that time passes.
pub async fn tick(handle: DriverHandle) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        handle.send(Command::Input(Input::Tick));
    }
}
