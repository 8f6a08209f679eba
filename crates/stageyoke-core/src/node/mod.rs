//! One node: every role in one state machine.
//!
//! The parts are independent; this module passes messages and time to each and
//! turns what they ask for into the node's outputs. A message to the node
//! itself never leaves it.

mod coordination;
mod last_resort;
mod shards;
mod types;

pub use types::{Founder, Input, NodeSettings, NodeStatus, Output};

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stageyoke_types::{EngineId, Event, NodeId, ShardId, Time};

use crate::config_spread::{ConfigOutput, ConfigSpread};
use crate::coordinator::{EngineQueue, QueueSettings};
use crate::gateway::{Gateway, GatewayOutput};
use crate::liveness::PeerLiveness;
use crate::membership::{
    Destination, MemberChange, MemberStatus, Membership, MembershipMessage, MembershipOutput,
};
use crate::message::PeerMessage;
use crate::placement::Placement;
use crate::replication::Remnant;
use crate::shard::ShardReplica;
use crate::survey::Survey;

/// A gap between two ticks after which this node takes itself to have been
/// paused, in milliseconds.
const PAUSE_MS: Time = 1_000;
/// Peers told at once of a new configuration.
const CONFIG_NEIGHBOURS: usize = 3;
/// Messages a node may send itself for one input; far above any real chain.
const LOCAL_MESSAGE_LIMIT: usize = 100_000;

/// One node's state machine.
pub struct Node {
    id: NodeId,
    settings: NodeSettings,
    random: ChaCha8Rng,
    membership: Membership,
    liveness: PeerLiveness,
    placement: Placement,
    shards: BTreeMap<ShardId, ShardReplica>,
    /// Shards with something to do at the next tick. An idle shard is not in
    /// it and costs nothing.
    active: BTreeSet<ShardId>,
    /// What is kept of shards that this node no longer holds.
    dropped: BTreeMap<ShardId, Remnant>,
    gateway: Gateway,
    queues: BTreeMap<EngineId, EngineQueue>,
    queue_settings: QueueSettings,
    coordinated: Vec<EngineId>,
    assignment_is_old: bool,
    config: ConfigSpread,
    survey: Survey,
    local: VecDeque<PeerMessage>,
    started_at: Time,
    last_tick: Time,
    next_housekeeping_at: Time,
    placement_settled_at: Time,
    draining: bool,
}

impl Node {
    /// A node that knows only its settings and what its disk kept.
    pub fn new(settings: NodeSettings, now: Time) -> Self {
        let id = settings.id;
        let membership = Membership::new(
            id,
            settings.life,
            settings.info.clone(),
            settings.seeds.clone(),
            settings.membership,
            now,
        );
        let mut node = Self {
            id,
            random: ChaCha8Rng::seed_from_u64(settings.random_seed),
            membership,
            liveness: PeerLiveness::default(),
            placement: Placement::default(),
            shards: BTreeMap::new(),
            active: BTreeSet::new(),
            dropped: BTreeMap::new(),
            gateway: Gateway::new(id, settings.life, settings.shard_count, settings.faults),
            queues: BTreeMap::new(),
            coordinated: Vec::new(),
            assignment_is_old: true,
            queue_settings: QueueSettings::default(),
            config: ConfigSpread::new(settings.config.clone(), settings.faults),
            survey: Survey::default(),
            local: VecDeque::new(),
            started_at: now,
            last_tick: now,
            next_housekeeping_at: now,
            placement_settled_at: now,
            draining: false,
            settings,
        };
        node.membership.set_config(node.config.version());
        node.placement.refresh(node.membership.table());
        node
    }

    /// Handles one input at a moment and gives what must be done, in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut output = Vec::new();
        self.dispatch(now, input, &mut output);
        for _ in 0..LOCAL_MESSAGE_LIMIT {
            let Some(message) = self.local.pop_front() else {
                break;
            };
            self.receive(self.id, message, now, &mut output);
        }
        output
    }

    fn dispatch(&mut self, now: Time, input: Input, output: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, output),
            Input::Peer { from, message } => {
                self.liveness.heard(from, now);
                self.receive(from, message, now, output);
            }
            Input::Form { founders } => self.form(&founders, now, output),
            Input::Recover { shard, stored } => self.recover(shard, stored, now, output),
            Input::Configure {
                engines,
                policy,
                queue,
            } => {
                self.gateway.engines.configure(engines, policy);
                self.queue_settings = queue;
                self.configure_queues();
                self.assignment_is_old = true;
            }
            Input::OfferConfig(bundle) => {
                let neighbours = self.config_neighbours();
                let mut news = Vec::new();
                self.config.offer(bundle, &neighbours, &mut news);
                self.carry_out_config(news, now, output);
            }
            Input::MachineList(addresses) => self.membership.add_seeds(addresses),
            Input::EngineReport { engine, leaving } => {
                self.engine_report(&engine, leaving, now, output);
            }
            Input::Drain => self.drain(now, output),
            Input::Leave => {
                let mut news = Vec::new();
                self.membership
                    .announce_left(now, &mut self.random, &mut news);
                self.carry_out_membership(news, now, output);
            }
            gateway_input => self.gateway_input(gateway_input, now, output),
        }
    }

    fn gateway_input(&mut self, input: Input, now: Time, output: &mut Vec<Output>) {
        let placement = &self.placement;
        let mut news = Vec::new();
        match input {
            Input::Submit(submission) => {
                self.gateway.submit(*submission, placement, now, &mut news);
            }
            Input::AttemptEnded {
                request,
                attempt,
                result,
            } => {
                self.gateway
                    .attempt_ended(request, attempt, result, placement, now, &mut news);
            }
            Input::CallerGone { request } => {
                self.gateway.caller_gone(request, placement, now, &mut news);
            }
            Input::EndProgram { request, program } => {
                self.gateway
                    .end_program(request, program, placement, now, &mut news);
            }
            Input::ViewProgram { request, program } => {
                self.gateway
                    .view_program(request, program, placement, now, &mut news);
            }
            Input::CheckAlive { request, program } => {
                self.gateway
                    .check_alive(request, program, placement, now, &mut news);
            }
            _ => {}
        }
        self.carry_out_gateway(news, now, output);
    }

    fn receive(&mut self, from: NodeId, message: PeerMessage, now: Time, output: &mut Vec<Output>) {
        match message {
            PeerMessage::Heartbeat => {}
            PeerMessage::Membership(message) => {
                self.hear_config_version(from, &message, now, output);
                let mut news = Vec::new();
                self.membership.receive(from, message, now, &mut news);
                self.carry_out_membership(news, now, output);
            }
            PeerMessage::Replication { shard, message } => {
                self.receive_replication(from, shard, message, now, output);
            }
            PeerMessage::Request(request) => self.receive_request(request, now, output),
            PeerMessage::Reply(reply) => {
                let mut news = Vec::new();
                self.gateway
                    .reply(from, reply, &self.placement, now, &mut news);
                self.carry_out_gateway(news, now, output);
            }
            PeerMessage::Survey(message) => self.receive_survey(from, message, now, output),
            PeerMessage::Slot(message) => self.receive_slot(message, now, output),
            PeerMessage::Config(message) => {
                let neighbours = self.config_neighbours();
                let mut news = Vec::new();
                self.config
                    .receive(from, message, now, &neighbours, &mut news);
                self.carry_out_config(news, now, output);
            }
        }
    }

    fn tick(&mut self, now: Time, output: &mut Vec<Output>) {
        if now > self.last_tick + PAUSE_MS {
            self.liveness.forgive(now);
        }
        self.last_tick = now;
        let mut membership_news = Vec::new();
        self.membership
            .tick(now, &mut self.random, &mut membership_news);
        self.carry_out_membership(membership_news, now, output);
        self.tick_shards(now, output);
        let mut gateway_news = Vec::new();
        self.gateway.tick(&self.placement, now, &mut gateway_news);
        self.carry_out_gateway(gateway_news, now, output);
        if now >= self.next_housekeeping_at {
            self.next_housekeeping_at = now + HOUSEKEEPING_PERIOD_MS;
            self.housekeeping(now, output);
        }
        for peer in self.liveness.due(now) {
            self.send(peer, PeerMessage::Heartbeat, now, output);
        }
    }

    fn housekeeping(&mut self, now: Time, output: &mut Vec<Output>) {
        self.assign_engines();
        self.watch_peers(now);
        self.ask_about_strangers(now, output);
        self.sweep_shards(now, output);
        self.reconcile_shards(now, output);
        self.tick_queues(now, output);
        self.survey_stuck_shards(now, output);
        if self.draining {
            self.hand_over_leadership(now, output);
        }
    }

    fn drain(&mut self, now: Time, output: &mut Vec<Output>) {
        if self.draining {
            return;
        }
        self.draining = true;
        output.push(Output::Event(Event::NodeDraining, String::new()));
        let mut news = Vec::new();
        self.membership.announce_leaving(now, &mut news);
        self.carry_out_membership(news, now, output);
        self.hand_over_leadership(now, output);
    }

    fn hear_config_version(
        &mut self,
        from: NodeId,
        message: &MembershipMessage,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        let header = match message {
            MembershipMessage::Ping(header)
            | MembershipMessage::Ack(header)
            | MembershipMessage::PingRequest { header, .. } => header,
            _ => return,
        };
        let mut news = Vec::new();
        self.config.heard_of(header.config, from, now, &mut news);
        self.carry_out_config(news, now, output);
    }

    fn config_neighbours(&mut self) -> Vec<NodeId> {
        use rand::seq::IteratorRandom;
        let others = self.membership.table().running().map(|(node, _)| node);
        let others = others.filter(|node| *node != self.id);
        others.choose_multiple(&mut self.random, CONFIG_NEIGHBOURS)
    }

    fn carry_out_config(&mut self, news: Vec<ConfigOutput>, now: Time, output: &mut Vec<Output>) {
        for item in news {
            match item {
                ConfigOutput::Send(to, message) => {
                    self.send(to, PeerMessage::Config(message), now, output);
                }
                ConfigOutput::Activate(bundle) => {
                    self.membership.set_config(bundle.head.version);
                    output.push(Output::ActivateConfig(bundle));
                }
            }
        }
    }

    fn carry_out_membership(
        &mut self,
        news: Vec<MembershipOutput>,
        now: Time,
        output: &mut Vec<Output>,
    ) {
        for item in news {
            match item {
                MembershipOutput::Send(Destination::Node(to), message) => {
                    self.send(to, PeerMessage::Membership(message), now, output);
                }
                MembershipOutput::Send(Destination::Address(address), message) => {
                    output.push(Output::SendTo {
                        address,
                        message: PeerMessage::Membership(message),
                    });
                }
                MembershipOutput::Changed(change) => self.on_member_change(&change, output),
            }
        }
        if self.placement.refresh(self.membership.table()) {
            self.placement_settled_at = now + PLACEMENT_SETTLE_MS;
            self.assignment_is_old = true;
        }
    }

    fn on_member_change(&mut self, change: &MemberChange, output: &mut Vec<Output>) {
        let event = match change.after {
            MemberStatus::Alive if change.before.is_none() => Event::MemberJoined,
            MemberStatus::Suspect => Event::MemberSuspected,
            MemberStatus::Dead => Event::MemberDead,
            MemberStatus::Left | MemberStatus::Replaced => Event::MemberLeft,
            MemberStatus::Alive | MemberStatus::Leaving => return,
        };
        output.push(Output::Event(event, format!("node={}", change.node)));
        if change.after == MemberStatus::Replaced {
            self.note_over(change.node);
        }
        if !change.after.may_run() {
            self.liveness.stopped(change.node);
            self.activate_followers_of(&[change.node]);
        }
    }

    fn carry_out_gateway(&mut self, news: Vec<GatewayOutput>, now: Time, output: &mut Vec<Output>) {
        for item in news {
            match item {
                GatewayOutput::Request(to, request) => {
                    self.send(to, PeerMessage::Request(request), now, output);
                }
                GatewayOutput::Slot(engine, message) => {
                    self.send_slot(&engine, message, now, output);
                }
                GatewayOutput::StartAttempt(order) => output.push(Output::StartAttempt(order)),
                GatewayOutput::CancelAttempt { request, attempt } => {
                    output.push(Output::CancelAttempt { request, attempt });
                }
                GatewayOutput::Answer(request, answer) => {
                    output.push(Output::Answer(request, answer));
                }
                GatewayOutput::Query(request, answer) => {
                    output.push(Output::Query(request, answer));
                }
                GatewayOutput::Event(event) => output.push(Output::Event(event, String::new())),
            }
        }
    }

    fn send(&mut self, to: NodeId, message: PeerMessage, now: Time, output: &mut Vec<Output>) {
        if to == self.id {
            self.local.push_back(message);
            return;
        }
        self.liveness.sent(to, now);
        output.push(Output::Send { to, message });
    }

    /// Member list.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Calls held for callers.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// This node's replicas.
    pub fn shards(&self) -> impl Iterator<Item = &ShardReplica> {
        self.shards.values()
    }

    /// The node's identifier.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// State in brief, for operators and for the decision to stop.
    pub fn status(&self) -> NodeStatus {
        let leading = self
            .shards
            .values()
            .filter(|shard| shard.replica().is_leader())
            .map(ShardReplica::shard)
            .collect();
        NodeStatus {
            node: self.id,
            config: self.config.version(),
            leading,
            replicas: self.shards.len(),
            unanswered: self.gateway.unanswered(),
            held: self.gateway.held(),
            members: self.membership.table().running_count(),
            draining: self.draining,
        }
    }

    /// Engines this node looks after.
    pub fn coordinated_engines(&self) -> &[EngineId] {
        &self.coordinated
    }

    /// Works out the engines to look after. It takes every engine and every
    /// member, so it is done only when one of the two changes.
    fn assign_engines(&mut self) {
        if !std::mem::take(&mut self.assignment_is_old) {
            return;
        }
        let own = Some(self.id);
        let records = self.gateway.engines.records();
        let mine =
            records.filter(|record| self.placement.coordinator(&record.id.0, &record.zone) == own);
        self.coordinated = mine.map(|record| record.id.clone()).collect();
    }
}

/// How often slow duties are looked at, in milliseconds.
const HOUSEKEEPING_PERIOD_MS: Time = 250;
/// How long the member list must stay as it is before shards move, in milliseconds.
const PLACEMENT_SETTLE_MS: Time = 3_000;
