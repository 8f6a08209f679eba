//! The failure detector: probes, suspicion, refutation and dissemination.

use std::collections::BTreeMap;

use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use stageyoke_types::{ConfigVersion, List, NodeId, Text, Time};

use super::message::{MemberInfo, MemberStatus, MemberUpdate, MembershipMessage, ProbeHeader};
use super::table::{MemberChange, MemberTable, first_incarnation};

/// Changes carried by one message at most.
const UPDATES_PER_MESSAGE: usize = 6;
/// Members in one part of a list, to stay within one datagram.
const MEMBERS_PER_PART: usize = 10;
/// Helpers asked to probe a silent node.
const INDIRECT_HELPERS: usize = 3;
/// How often each change is sent, times the binary logarithm of the size.
const RETRANSMIT_FACTOR: u32 = 3;
/// How often stopped members and seeds are probed, in milliseconds.
const REJOIN_PERIOD_MS: Time = 5_000;
/// Least time between two comparisons of the whole list, in milliseconds.
const SYNC_PERIOD_MS: Time = 30_000;
/// How long a stopped member is remembered, in milliseconds.
const FORGET_AFTER_MS: Time = 24 * 3_600_000;

/// Times of the protocol, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// One probe is sent each period.
    pub probe_period_ms: Time,
    /// Time to wait for a direct answer before helpers are asked.
    pub ack_timeout_ms: Time,
    /// Time from suspicion to death, times the decimal logarithm of the size.
    pub suspicion_ms: Time,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period_ms: 1_000,
            ack_timeout_ms: 300,
            suspicion_ms: 3_000,
        }
    }
}

/// Where a membership message goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A member.
    Node(NodeId),
    /// An address that may or may not be a member's.
    Address(Text),
}

/// What the detector asks of its surroundings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipOutput {
    /// Send a datagram.
    Send(Destination, MembershipMessage),
    /// The list changed.
    Changed(MemberChange),
}

struct Probe {
    target: NodeId,
    sequence: u32,
    started_at: Time,
    helpers_asked: bool,
}

struct Helping {
    for_node: NodeId,
    for_sequence: u32,
    expires_at: Time,
}

struct Queued {
    update: MemberUpdate,
    sent: u32,
}

/// The membership state machine of one node.
pub struct Membership {
    id: NodeId,
    info: MemberInfo,
    settings: MembershipSettings,
    seeds: Vec<Text>,
    table: MemberTable,
    queue: BTreeMap<NodeId, Queued>,
    round: Vec<NodeId>,
    probe: Option<Probe>,
    helping: BTreeMap<u32, Helping>,
    next_sequence: u32,
    next_probe_at: Time,
    next_rejoin_at: Time,
    next_sync_at: Time,
    leaving: bool,
    replaced: bool,
    config: ConfigVersion,
}

impl Membership {
    /// A node that knows only itself and some seed addresses.
    pub fn new(
        id: NodeId,
        life: u16,
        info: MemberInfo,
        seeds: Vec<Text>,
        settings: MembershipSettings,
        now: Time,
    ) -> Self {
        let mut table = MemberTable::default();
        let own = MemberUpdate {
            node: id,
            incarnation: first_incarnation(life),
            status: MemberStatus::Alive,
            info: Some(info.clone()),
        };
        table.merge(&own, now);
        let mut membership = Self {
            id,
            info,
            settings,
            seeds,
            table,
            queue: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            helping: BTreeMap::new(),
            next_sequence: 0,
            next_probe_at: now,
            next_rejoin_at: now,
            next_sync_at: now,
            leaving: false,
            replaced: false,
            config: ConfigVersion(0),
        };
        membership.disseminate(own);
        membership
    }

    /// The member list.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Takes in a founding member, which may have stopped before anyone heard
    /// of it otherwise.
    pub fn learn_founder(
        &mut self,
        node: NodeId,
        info: &MemberInfo,
        now: Time,
        output: &mut Vec<MembershipOutput>,
    ) {
        let claim = MemberUpdate {
            node,
            incarnation: first_incarnation(1),
            status: MemberStatus::Alive,
            info: Some(info.clone()),
        };
        self.merge(&claim, now, output);
    }

    /// Sets the configuration version announced with every probe.
    pub fn set_config(&mut self, version: ConfigVersion) {
        self.config = version;
    }

    /// Adds addresses from the platform's machine list. The list lags, so it
    /// only suggests whom to ask and never overrules a probe.
    pub fn add_seeds(&mut self, seeds: Vec<Text>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// True if another process runs under this node's name and started later:
    /// this one must stop.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Announces that this node will stop.
    pub fn announce_leaving(&mut self, now: Time, output: &mut Vec<MembershipOutput>) {
        self.leaving = true;
        self.claim_self(MemberStatus::Leaving, now, output);
    }

    /// Announces that this node stops now, to a few members directly.
    pub fn announce_left(
        &mut self,
        now: Time,
        random: &mut ChaCha8Rng,
        output: &mut Vec<MembershipOutput>,
    ) {
        self.claim_self(MemberStatus::Left, now, output);
        for peer in self.random_running(random, INDIRECT_HELPERS * 2, self.id) {
            let header = self.header(0);
            output.push(MembershipOutput::Send(
                Destination::Node(peer),
                MembershipMessage::Ping(header),
            ));
        }
    }

    /// Asks a random member about nodes that a replica group names but that are
    /// not known here, as after a restart.
    pub fn ask_about(
        &mut self,
        nodes: &[NodeId],
        random: &mut ChaCha8Rng,
        output: &mut Vec<MembershipOutput>,
    ) {
        let unknown = nodes.iter().copied();
        let unknown: List<NodeId> = unknown
            .filter(|node| self.table.get(*node).is_none())
            .take(MEMBERS_PER_PART)
            .collect();
        if unknown.is_empty() {
            return;
        }
        for peer in self.random_running(random, 1, self.id) {
            let question = MembershipMessage::Ask {
                nodes: unknown.clone(),
            };
            output.push(MembershipOutput::Send(Destination::Node(peer), question));
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, random: &mut ChaCha8Rng, output: &mut Vec<MembershipOutput>) {
        self.advance_probe(now, random, output);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_period_ms;
            self.expire_suspects(now, output);
            self.start_probe(now, random, output);
            self.helping.retain(|_, helping| helping.expires_at > now);
            self.table
                .forget_before(now.saturating_sub(FORGET_AFTER_MS));
        }
        if now >= self.next_rejoin_at {
            self.next_rejoin_at = now + REJOIN_PERIOD_MS;
            self.probe_absent(random, output);
        }
    }

    /// Handles one datagram.
    pub fn receive(
        &mut self,
        from: NodeId,
        message: MembershipMessage,
        now: Time,
        output: &mut Vec<MembershipOutput>,
    ) {
        match message {
            MembershipMessage::Ping(header) => {
                self.absorb(from, &header, now, output);
                let reply = MembershipMessage::Ack(self.header_for(from, header.sequence));
                output.push(MembershipOutput::Send(Destination::Node(from), reply));
            }
            MembershipMessage::Ack(header) => {
                self.absorb(from, &header, now, output);
                self.on_ack(from, header.sequence, output);
            }
            MembershipMessage::PingRequest { header, target } => {
                self.absorb(from, &header, now, output);
                self.help(from, header.sequence, target, now, output);
            }
            MembershipMessage::Join { update } => {
                self.merge(&update, now, output);
                let everyone = self.table.iter().map(|(node, _)| node).collect();
                self.send_members(from, everyone, output);
            }
            MembershipMessage::SyncRequest { buckets } => {
                let differing = self.table.members_in_differing(&buckets);
                self.send_members(from, differing, output);
            }
            MembershipMessage::Ask { nodes } => self.send_members(from, nodes.0, output),
            MembershipMessage::Members(updates) => {
                for update in updates.iter() {
                    self.merge(update, now, output);
                }
            }
        }
    }

    fn advance_probe(
        &mut self,
        now: Time,
        random: &mut ChaCha8Rng,
        output: &mut Vec<MembershipOutput>,
    ) {
        let ack_timeout = self.settings.ack_timeout_ms;
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.helpers_asked || now < probe.started_at + ack_timeout {
            return;
        }
        probe.helpers_asked = true;
        let (target, sequence) = (probe.target, probe.sequence);
        for helper in self.random_running(random, INDIRECT_HELPERS, target) {
            let header = self.header(sequence);
            let request = MembershipMessage::PingRequest { header, target };
            output.push(MembershipOutput::Send(Destination::Node(helper), request));
        }
    }

    fn start_probe(
        &mut self,
        now: Time,
        random: &mut ChaCha8Rng,
        output: &mut Vec<MembershipOutput>,
    ) {
        if let Some(silent) = self.probe.take() {
            self.suspect(silent.target, now, output);
        }
        let Some(target) = self.next_target(random) else {
            return;
        };
        let sequence = self.take_sequence();
        self.probe = Some(Probe {
            target,
            sequence,
            started_at: now,
            helpers_asked: false,
        });
        let ping = MembershipMessage::Ping(self.header_for(target, sequence));
        output.push(MembershipOutput::Send(Destination::Node(target), ping));
    }

    /// The next member of a shuffled round; each is probed once a round, which
    /// bounds the time to detection.
    fn next_target(&mut self, random: &mut ChaCha8Rng) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(candidate) = self.round.pop() {
                if candidate != self.id && self.table.may_run(candidate) {
                    return Some(candidate);
                }
            }
            self.round = self.table.running().map(|(node, _)| node).collect();
            self.round.shuffle(random);
        }
        None
    }

    fn suspect(&mut self, node: NodeId, now: Time, output: &mut Vec<MembershipOutput>) {
        let Some(mut claim) = self.table.claim(node, false) else {
            return;
        };
        if claim.status.may_run() {
            claim.status = MemberStatus::Suspect;
            self.merge(&claim, now, output);
        }
    }

    fn expire_suspects(&mut self, now: Time, output: &mut Vec<MembershipOutput>) {
        let size = self.table.running_count() as f64;
        let scale = size.log10().max(1.0);
        let patience = (self.settings.suspicion_ms as f64 * scale) as Time;
        let expired: Vec<NodeId> = self
            .table
            .iter()
            .filter(|(_, member)| member.status == MemberStatus::Suspect)
            .filter(|(_, member)| now >= member.changed_at + patience)
            .map(|(node, _)| node)
            .collect();
        for node in expired {
            self.declare_dead(node, now, output);
        }
    }

    fn declare_dead(&mut self, node: NodeId, now: Time, output: &mut Vec<MembershipOutput>) {
        if let Some(mut claim) = self.table.claim(node, false) {
            claim.status = MemberStatus::Dead;
            self.merge(&claim, now, output);
        }
    }

    /// Asks one seed and one stopped member whether they run after all.
    fn probe_absent(&mut self, random: &mut ChaCha8Rng, output: &mut Vec<MembershipOutput>) {
        let own_address = self.info.address.clone();
        let known_address = |address: &Text| {
            let mut running = self.table.running();
            running.any(|(_, member)| member.info.address == *address)
        };
        let strangers: Vec<Text> = self
            .seeds
            .iter()
            .filter(|seed| **seed != own_address && !known_address(seed))
            .cloned()
            .collect();
        if let Some(seed) = strangers.choose(random)
            && let Some(update) = self.table.claim(self.id, true)
        {
            let join = MembershipMessage::Join { update };
            output.push(MembershipOutput::Send(
                Destination::Address(seed.clone()),
                join,
            ));
        }
        let stopped: Vec<NodeId> = self
            .table
            .iter()
            .filter(|(_, member)| member.status == MemberStatus::Dead)
            .map(|(node, _)| node)
            .collect();
        if let Some(node) = stopped.choose(random).copied() {
            let ping = MembershipMessage::Ping(self.header_for(node, 0));
            output.push(MembershipOutput::Send(Destination::Node(node), ping));
        }
    }

    fn absorb(
        &mut self,
        from: NodeId,
        header: &ProbeHeader,
        now: Time,
        output: &mut Vec<MembershipOutput>,
    ) {
        for update in header.updates.iter() {
            self.merge(update, now, output);
        }
        let differs = header.digest != self.table.digest();
        if differs && now >= self.next_sync_at && self.table.may_run(from) {
            self.next_sync_at = now + SYNC_PERIOD_MS;
            let buckets = self.table.bucket_digests();
            let request = MembershipMessage::SyncRequest { buckets };
            output.push(MembershipOutput::Send(Destination::Node(from), request));
        }
    }

    fn on_ack(&mut self, from: NodeId, sequence: u32, output: &mut Vec<MembershipOutput>) {
        let answered = |probe: &Probe| probe.sequence == sequence;
        if self.probe.as_ref().is_some_and(answered) {
            self.probe = None;
        }
        if let Some(helping) = self.helping.remove(&sequence) {
            let mut header = self.header(helping.for_sequence);
            header.updates.truncate(1);
            header.updates.extend(self.table.claim(from, false));
            let ack = MembershipMessage::Ack(header);
            output.push(MembershipOutput::Send(
                Destination::Node(helping.for_node),
                ack,
            ));
        }
    }

    fn help(
        &mut self,
        from: NodeId,
        for_sequence: u32,
        target: NodeId,
        now: Time,
        output: &mut Vec<MembershipOutput>,
    ) {
        let sequence = self.take_sequence();
        self.helping.insert(
            sequence,
            Helping {
                for_node: from,
                for_sequence,
                expires_at: now + self.settings.probe_period_ms,
            },
        );
        let ping = MembershipMessage::Ping(self.header_for(target, sequence));
        output.push(MembershipOutput::Send(Destination::Node(target), ping));
    }

    /// Merges a claim and passes news on. A claim against this node itself is
    /// refuted instead.
    fn merge(&mut self, update: &MemberUpdate, now: Time, output: &mut Vec<MembershipOutput>) {
        if update.node == self.id {
            self.refute(update, now, output);
            return;
        }
        let Some(change) = self.table.merge(update, now) else {
            return;
        };
        let is_new = change.before.is_none();
        let mut news = update.clone();
        if news.info.is_none() && change.after == MemberStatus::Alive {
            news.info = self
                .table
                .get(update.node)
                .map(|member| member.info.clone());
        }
        self.disseminate(news);
        output.push(MembershipOutput::Changed(change));
        if is_new {
            self.bury_earlier_lives(update.node, now, output);
        }
    }

    /// A machine that runs under a new identifier has no earlier life left.
    fn bury_earlier_lives(&mut self, node: NodeId, now: Time, output: &mut Vec<MembershipOutput>) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        let name = member.info.name.clone();
        for earlier in self.table.earlier_lives(&name) {
            if let Some(mut claim) = self.table.claim(earlier, true) {
                claim.status = MemberStatus::Replaced;
                self.merge(&claim, now, output);
            }
        }
    }

    fn refute(&mut self, update: &MemberUpdate, now: Time, output: &mut Vec<MembershipOutput>) {
        let Some(own) = self.table.get(self.id).cloned() else {
            return;
        };
        let stale = (update.incarnation, update.status) <= (own.incarnation, own.status);
        if update.status == MemberStatus::Replaced {
            self.replaced = true;
        }
        if stale && update.status >= MemberStatus::Suspect {
            // Refuted before, but whoever says this has not heard of it.
            let claim = self.table.claim(self.id, true);
            claim.into_iter().for_each(|claim| self.disseminate(claim));
        }
        if stale || self.replaced || own.status == MemberStatus::Left {
            return;
        }
        let status = if self.leaving {
            MemberStatus::Leaving
        } else {
            MemberStatus::Alive
        };
        let incarnation = update.incarnation.max(own.incarnation) + 1;
        self.claim_self_as(incarnation, status, now, output);
    }

    fn claim_self(&mut self, status: MemberStatus, now: Time, output: &mut Vec<MembershipOutput>) {
        let known = self.table.get(self.id);
        let incarnation = known.map_or(1, |member| member.incarnation + 1);
        self.claim_self_as(incarnation, status, now, output);
    }

    fn claim_self_as(
        &mut self,
        incarnation: u32,
        status: MemberStatus,
        now: Time,
        output: &mut Vec<MembershipOutput>,
    ) {
        let claim = MemberUpdate {
            node: self.id,
            incarnation,
            status,
            info: Some(self.info.clone()),
        };
        if let Some(change) = self.table.merge(&claim, now) {
            output.push(MembershipOutput::Changed(change));
        }
        self.disseminate(claim);
    }

    fn disseminate(&mut self, update: MemberUpdate) {
        self.queue.insert(update.node, Queued { update, sent: 0 });
    }

    fn header(&mut self, sequence: u32) -> ProbeHeader {
        let size = self.table.running_count() as u32;
        let limit = RETRANSMIT_FACTOR * (u32::BITS - size.leading_zeros()).max(1);
        let mut waiting: Vec<&mut Queued> = self.queue.values_mut().collect();
        waiting.sort_by_key(|queued| queued.sent);
        let mut updates = List::default();
        for queued in waiting.into_iter().take(UPDATES_PER_MESSAGE) {
            queued.sent += 1;
            updates.push(queued.update.clone());
        }
        self.queue.retain(|_, queued| queued.sent < limit);
        ProbeHeader {
            sequence,
            digest: self.table.digest(),
            config: self.config,
            updates,
        }
    }

    /// A header that also tells a suspected or dead receiver what is said of
    /// it, so that it can refute.
    fn header_for(&mut self, receiver: NodeId, sequence: u32) -> ProbeHeader {
        let mut header = self.header(sequence);
        let accusation = self
            .table
            .claim(receiver, false)
            .filter(|claim| claim.status >= MemberStatus::Suspect);
        header.updates.extend(accusation);
        header
    }

    fn send_members(&self, to: NodeId, nodes: Vec<NodeId>, output: &mut Vec<MembershipOutput>) {
        for part in nodes.chunks(MEMBERS_PER_PART) {
            let claims = part.iter().filter_map(|node| self.table.claim(*node, true));
            let message = MembershipMessage::Members(claims.collect());
            output.push(MembershipOutput::Send(Destination::Node(to), message));
        }
    }

    /// Members to ask for help, preferring zones other than the target's.
    fn random_running(&self, random: &mut ChaCha8Rng, count: usize, except: NodeId) -> Vec<NodeId> {
        let zone_of = |node: NodeId| self.table.get(node).map(|member| member.info.zone.clone());
        let target_zone = zone_of(except);
        let mut candidates: Vec<NodeId> = self
            .table
            .running()
            .map(|(node, _)| node)
            .filter(|node| *node != self.id && *node != except)
            .collect();
        candidates.shuffle(random);
        candidates.sort_by_key(|node| zone_of(*node) == target_zone);
        candidates.truncate(count);
        candidates
    }

    fn take_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1).max(1);
        self.next_sequence
    }
}
