//! Runs a fault plan in a discrete-event simulation: stores, a key-value service, fronts
//! that append and query, and checks of the results.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use stageyoke_directory::{
    GroupNumber, Member, MemberState, Members, StoreGroups, Tolerance, write_quorum,
};
use stageyoke_store::membership::MembershipStep;
use stageyoke_store::message::{Record, Reply, TurnRecord};
use stageyoke_store::quorum::{AppendTally, ChainLookup, ChainTally, LedgerView};
use stageyoke_store::spare::{LOST_MEMBER_TIMEOUT, replacement_timeout};
use stageyoke_types::{Blob, Text};

use super::availability::{Availability, PROBE_KINDS, ProbeKind};
use super::loss_tracker::{LossTracker, MachineStatus};
use super::simulated_store::{DisabledChecks, SimulatedStore};
use super::{FAULT_PHASE_MILLIS, Fault, Plan};

const FRONT_COUNT: usize = 3;
const PROGRAM_COUNT: u32 = 6;
/// Mean time between two requests of the fronts.
const REQUEST_INTERVAL_MILLIS: u64 = 40;
const APPEND_TIMEOUT_MILLIS: u64 = 1_300;
const CHAIN_TIMEOUT_MILLIS: u64 = 800;
/// Time after the fault phase in which everything recovers.
const RECOVERY_PHASE_MILLIS: u64 = 30_000;
const MEMBER_STEP_INTERVAL_MILLIS: u64 = 500;
/// Used by stores that are incomplete, spare or in a membership change.
const FAST_MEMBER_STEP_INTERVAL_MILLIS: u64 = 150;
const SYNC_INTERVAL_MILLIS: u64 = 1_000;
const BACKFILL_INTERVAL_MILLIS: u64 = 100;
const FRONT_REFRESH_INTERVAL_MILLIS: u64 = 400;
const OBSERVE_INTERVAL_MILLIS: u64 = 100;
const PROBE_INTERVAL_MILLIS: u64 = 250;
/// Without excess losses, each group must serve a probe of each kind in this time.
const AVAILABILITY_WINDOW_MILLIS: u64 = 3_000;
/// Delay before retrying to remove a retired machine whose loss isn't tolerated yet.
const WITHDRAWAL_RETRY_MILLIS: u64 = 500;

/// A bug seeded into the simulation, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// No bug.
    None,
    /// Fronts take a record as stored with one disk less than the quorum.
    QuorumOneShort,
    /// Stores serve fronts that use an outdated member list.
    StaleMembersAccepted,
    /// Stores declare their disks complete as soon as they start.
    DeclaresCompleteEarly,
    /// Dead members are removed before the remaining ones have synced.
    RemovesWithoutSync,
    /// Ledgers of incomplete stores count for a reservation's quorum.
    IncompleteLedgersCounted,
    /// A change is settled while older member lists may be in use.
    SettlesUnfenced,
    /// During a change fronts query the new members only.
    OldMembersIgnored,
    /// No store proposes a membership change.
    NeverProposes,
    /// A group serves nothing after a member has lost its disk.
    UnavailableAfterWipe,
    /// Members never report a turn as absent after one of them has lost its disk.
    NeverAbsentAfterWipe,
}

/// The results of a simulation run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Violations of consistency or of membership guarantees.
    pub violations: Vec<String>,
    /// Number of appends sent.
    pub appends_sent: u64,
    /// Number of appends stored on a quorum.
    pub appends_stored: u64,
    /// Groups that served no probe of some kind at the end, or long after the last change
    /// of any machine.
    pub outages: Vec<String>,
    /// Groups that served no probe of some kind for a window in which losses stayed
    /// within the tolerance.
    pub interruptions: Vec<String>,
    /// Number of lost disks of members.
    pub disks_lost: usize,
    /// Time after each lost disk until its group tolerated the next loss.
    pub recoveries: Vec<Recovery>,
}

/// How long it took until a group tolerated the next loss of a disk, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Recovery {
    /// Time since the loss.
    pub millis_since_loss: u64,
    /// Time since the store's catch-up time started.
    pub millis_since_return: u64,
}

/// A lost disk whose group does not tolerate the next loss yet.
struct PendingRecovery {
    group: GroupNumber,
    store: usize,
    lost_at: u64,
    recovering_since: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    InjectFault(usize),
    StartStore(usize),
    AddStore,
    Withdraw(usize, u64),
    Observe,
    Probe,
    StepMembership(usize),
    SyncWithPeers(usize),
    RefreshFront(usize),
    SendRequest,
    DeliverRequest(usize, usize),
    SyncDisk(usize, usize),
    DeliverReply(usize, Text, Reply, usize),
    CallTimeout(usize),
}

enum PendingCall {
    Append { record: Record, tally: AppendTally },
    Chain { turn: Text, tally: ChainTally },
}

/// A front's request to a group; `pending` is `None` once it is answered or timed out.
struct Call {
    group: GroupNumber,
    members_version: u64,
    started_at: u64,
    pending: Option<PendingCall>,
}

/// A reservation or a turn that a quorum stored.
struct StoredRecord {
    stored_at: u64,
    program: Text,
    turn: Text,
    amount: u32,
    /// The ledger by which a reservation was decided.
    ledger: LedgerView,
}

struct Front {
    stores: Rc<StoreGroups>,
    stale_until: u64,
}

/// The state of a simulation run.
pub struct Simulation {
    plan: Plan,
    flaw: Flaw,
    tolerance: Tolerance,
    random: RefCell<StdRng>,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    directory: Rc<StoreGroups>,
    service_down_until: u64,
    service_read_only_until: u64,
    stores: Vec<SimulatedStore>,
    fronts: Vec<Front>,
    calls: Vec<Call>,
    reservations: Vec<StoredRecord>,
    turns: Vec<StoredRecord>,
    /// If set, the holders of the next stored record lose their disks and are down for
    /// this time.
    wipe_next_holders: Option<u64>,
    /// Set if the plan has a catch-up time.
    loss_tracker: Option<LossTracker>,
    availability: Availability,
    pending_recoveries: Vec<PendingRecovery>,
    wiped_groups: Vec<GroupNumber>,
    outcome: Outcome,
}

/// Returns a program whose records belong to this group.
fn program_in_group(stores: &StoreGroups, group: GroupNumber) -> Text {
    let is_in_group = |program: &Text| {
        let hash = stageyoke_store::keys::TurnKey::of(program).0;
        stores.group_of_hash(hash) == Some(group)
    };
    let names = (0..).map(|number| Text::from(format!("probe-{number}")));
    let mut in_group = names.filter(is_in_group);
    in_group.next().expect("endless names")
}

/// Number of machines that may be lost while each group still serves; less than the
/// tolerance if there are too few stores.
fn tolerated_machine_losses(stores: &StoreGroups, tolerated_losses: usize) -> usize {
    let tolerance = Tolerance::of_machines(tolerated_losses);
    let spare = |members: &Members| {
        let needed = members.write_quorum(&tolerance);
        needed.map_or(0, |needed| members.list.len() - needed)
    };
    let smallest = stores.groups.iter().map(spare).min();
    smallest.unwrap_or(0).min(tolerated_losses)
}

fn entry(number: usize) -> Member {
    Member {
        node: Text::from(format!("store-{number}")),
        address: Text::from(format!("10.0.0.{number}:7000")),
        zone: Text::from(format!("zone-{}", number % 3)),
        state: MemberState::Active,
        disk: 0,
    }
}

fn member_silence_limit(plan: &Plan) -> Duration {
    let catch_up_millis = plan.catch_up_millis.map(Duration::from_millis);
    catch_up_millis.map_or(LOST_MEMBER_TIMEOUT, replacement_timeout)
}

impl Outcome {
    /// All findings of a run; empty if it passed.
    pub fn failures(&self) -> Vec<String> {
        let temporary = self.interruptions.iter();
        let temporary = temporary.filter(|outage| !self.outages.contains(outage));
        let temporary = temporary.map(|outage| format!("temporarily {outage}"));
        let permanent = self.violations.iter().chain(&self.outages).cloned();
        permanent.chain(temporary).collect()
    }
}

impl Simulation {
    /// Sets up a plan's stores with their groups formed, and schedules its faults.
    pub fn new(plan: &Plan, flaw: Flaw) -> Self {
        let tolerance = Tolerance::of_machines(plan.tolerated_losses);
        let registered: Vec<Member> = (0..plan.stores).map(entry).collect();
        let formed = StoreGroups::default().form(&registered, &tolerance);
        let directory = Rc::new(formed.expect("enough stores"));
        let mut stores: Vec<SimulatedStore> = (0..plan.stores)
            .map(|number| SimulatedStore::new(entry(number), number as u64 + 1, true))
            .collect();
        for store in &mut stores {
            store.replacement_timeout = member_silence_limit(plan);
            store.apply_stores(&directory, 0);
        }
        let max_machines = tolerated_machine_losses(&directory, plan.tolerated_losses);
        let loss_tracker = plan.catch_up_millis;
        let loss_tracker = loss_tracker.map(|catch_up_millis| {
            LossTracker::new(catch_up_millis, plan.tolerated_losses, max_machines)
        });
        let front = || Front {
            stores: directory.clone(),
            stale_until: 0,
        };
        let mut simulation = Self {
            flaw,
            tolerance,
            random: RefCell::new(StdRng::seed_from_u64(plan.seed)),
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            service_down_until: 0,
            service_read_only_until: 0,
            stores,
            fronts: (0..FRONT_COUNT).map(|_| front()).collect(),
            directory,
            calls: Vec::new(),
            reservations: Vec::new(),
            turns: Vec::new(),
            wipe_next_holders: None,
            loss_tracker,
            availability: Availability::default(),
            pending_recoveries: Vec::new(),
            wiped_groups: Vec::new(),
            outcome: Outcome::default(),
            plan: plan.clone(),
        };
        for (number, (at, _)) in plan.faults.iter().enumerate() {
            simulation.schedule_at(*at, Event::InjectFault(number));
        }
        for store in 0..plan.stores {
            simulation.schedule_store(store);
        }
        for front in 0..FRONT_COUNT {
            simulation.schedule_after(10, Event::RefreshFront(front));
        }
        simulation.schedule_after(1, Event::SendRequest);
        if plan.catch_up_millis.is_some() {
            simulation.schedule_after(0, Event::Observe);
            simulation.schedule_after(PROBE_INTERVAL_MILLIS, Event::Probe);
        }
        simulation
    }

    fn schedule_store(&mut self, store: usize) {
        let first = self.draw(1, MEMBER_STEP_INTERVAL_MILLIS);
        self.schedule_after(first, Event::StepMembership(store));
        self.schedule_after(first, Event::SyncWithPeers(store));
    }

    fn schedule_at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((time.max(self.now), self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_after(&mut self, milliseconds: u64, event: Event) {
        self.schedule_at(self.now + milliseconds, event);
    }

    fn draw(&self, from: u64, to: u64) -> u64 {
        self.random.borrow_mut().random_range(from..=to)
    }

    fn chance(&self, per_mille: u32) -> bool {
        self.random.borrow_mut().random_range(0..1000) < per_mille
    }

    /// Sends a message, which may be lost, delayed or duplicated.
    fn send(&mut self, event: Event) {
        let copies = match () {
            () if self.chance(self.plan.lost_per_mille) => 0,
            () if self.chance(self.plan.duplicated_per_mille) => 2,
            () => 1,
        };
        for _ in 0..copies {
            let delay = match self.chance(self.plan.delayed_per_mille) {
                true => self.draw(500, 4_000),
                false => self.draw(1, 12),
            };
            self.schedule_after(delay, event.clone());
        }
    }

    /// Runs the plan to its end and returns the results.
    pub fn run(mut self) -> Outcome {
        let end = FAULT_PHASE_MILLIS + RECOVERY_PHASE_MILLIS;
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let event = self.events.remove(&number).expect("a queued event");
            self.handle_event(event);
        }
        self.check_end_state();
        self.outcome
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::InjectFault(number) => self.inject_fault(self.plan.faults[number].1),
            Event::StartStore(store) => self.start_store(store),
            Event::AddStore => self.add_store(),
            Event::Withdraw(store, delay) => self.withdraw(store, delay),
            Event::Observe => {
                self.observe();
                self.update_recoveries();
                self.schedule_after(OBSERVE_INTERVAL_MILLIS, Event::Observe);
            }
            Event::Probe => {
                self.probe_groups();
                self.check_availability();
                self.schedule_after(PROBE_INTERVAL_MILLIS, Event::Probe);
            }
            Event::StepMembership(store) => self.step_membership(store),
            Event::SyncWithPeers(store) => self.sync_with_peers(store),
            Event::RefreshFront(front) => {
                if self.service_down_until <= self.now && self.fronts[front].stale_until <= self.now
                {
                    self.fronts[front].stores = self.directory.clone();
                }
                self.schedule_after(FRONT_REFRESH_INTERVAL_MILLIS, Event::RefreshFront(front));
            }
            Event::SendRequest => {
                self.send_random_request();
                let pause = self.draw(1, 2 * REQUEST_INTERVAL_MILLIS);
                self.schedule_after(pause, Event::SendRequest);
            }
            Event::DeliverRequest(call, store) => self.deliver_request(call, store),
            Event::SyncDisk(call, store) => self.sync_disk(call, store),
            Event::DeliverReply(call, node, reply, later) => {
                self.apply_reply(call, &node, reply, later)
            }
            Event::CallTimeout(call) => drop(self.calls[call].pending.take()),
        }
    }

    // Faults.

    fn inject_fault(&mut self, fault: Fault) {
        self.observe();
        match fault {
            Fault::Kill(store, downtime) => self.stop_store(self.pick_store(store), downtime, true),
            Fault::PowerOff(store, downtime) => {
                self.stop_store(self.pick_store(store), downtime, false)
            }
            Fault::PowerOffAll(downtime) => {
                for store in 0..self.stores.len() {
                    let extra = self.draw(0, 200);
                    self.stop_store(store, downtime + extra, false);
                }
            }
            Fault::Wipe(store, downtime) => self.wipe_store(self.pick_store(store), downtime),
            Fault::WipeNextHolders(downtime) => self.wipe_next_holders = Some(downtime),
            Fault::FailDisk(store, duration) => {
                let store = self.pick_store(store);
                self.stores[store].disk_fails_until = self.now + duration;
            }
            Fault::Isolate(store, duration) => {
                let store = self.pick_store(store);
                self.stores[store].isolated_until = self.now + duration;
            }
            Fault::RejectByService(store, duration) => {
                let store = self.pick_store(store);
                self.stores[store].service_rejects_until = self.now + duration;
            }
            Fault::Freeze(store, duration) => {
                let store = self.pick_store(store);
                self.stores[store].frozen_until = self.now + duration;
            }
            Fault::Retire(store) => {
                let store = self.pick_store(store);
                self.stores[store].retiring = true;
            }
            Fault::RetireAndReplace(store, notice, delay) => {
                let store = self.pick_store(store);
                self.stores[store].retiring = true;
                self.schedule_after(notice, Event::Withdraw(store, delay));
            }
            Fault::Add => self.add_store(),
            Fault::Replace(store, delay) => self.replace_machine(self.pick_store(store), delay),
            Fault::ServiceDown(duration) => self.service_down_until = self.now + duration,
            Fault::ServiceReadOnly(duration) => self.service_read_only_until = self.now + duration,
            Fault::StaleFront(front, duration) => {
                self.fronts[front % FRONT_COUNT].stale_until = self.now + duration;
            }
        }
        self.observe();
    }

    /// Maps the store number of a fault to a store.
    fn pick_store(&self, number: usize) -> usize {
        let can_pick = |store: &usize| {
            let store = &self.stores[*store];
            !store.gone && !store.retiring
        };
        let candidates: Vec<usize> = match self.loss_tracker {
            Some(_) => (0..self.stores.len()).filter(can_pick).collect(),
            None => Vec::new(),
        };
        match candidates.len() {
            0 => number % self.stores.len(),
            count => candidates[number % count],
        }
    }

    /// Updates the loss tracker with the current status of all machines.
    fn observe(&mut self) {
        let now = self.now;
        let is_available = |store: &SimulatedStore| {
            store.is_active(now) && store.isolated_until <= now && store.disk_fails_until <= now
        };
        let status_of = |store: &SimulatedStore| MachineStatus {
            available: is_available(store),
            retiring: store.retiring,
            gone: store.gone,
        };
        let service_stable = self.service_down_until <= now && self.service_read_only_until <= now;
        if let Some(loss_tracker) = &mut self.loss_tracker {
            let machines: Vec<MachineStatus> = self.stores.iter().map(status_of).collect();
            loss_tracker.observe(now, &machines, service_stable);
        }
    }

    fn stop_store(&mut self, store: usize, downtime: u64, keeps_unsynced: bool) {
        if !self.stores[store].running {
            return;
        }
        let surviving = match keeps_unsynced {
            true => usize::MAX,
            false => self.draw(0, 20) as usize,
        };
        self.stores[store].stop(surviving);
        self.schedule_after(downtime, Event::StartStore(store));
    }

    fn add_store(&mut self) {
        let number = self.stores.len();
        let mut store = SimulatedStore::new(entry(number), number as u64 + 1, false);
        store.replacement_timeout = member_silence_limit(&self.plan);
        self.stores.push(store);
        self.schedule_store(number);
        if let Some(loss_tracker) = &mut self.loss_tracker {
            loss_tracker.add_machine(number);
        }
        self.observe();
    }

    fn replace_machine(&mut self, store: usize, delay: u64) {
        if self.stores[store].gone || !self.may_lose_disk(store) {
            return;
        }
        self.record_loss(store);
        self.stores[store].stop(0);
        self.stores[store].gone = true;
        self.schedule_after(delay, Event::AddStore);
    }

    /// Removes a retired machine whose time is over, or retries later if the loss of its
    /// disk would exceed the tolerance.
    fn withdraw(&mut self, store: usize, delay: u64) {
        self.observe();
        if self.stores[store].gone {
            self.schedule_after(delay, Event::AddStore);
        } else if self.may_lose_disk(store) {
            self.replace_machine(store, delay);
            self.observe();
        } else {
            self.schedule_after(WITHDRAWAL_RETRY_MILLIS, Event::Withdraw(store, delay));
        }
    }

    fn record_loss(&mut self, store: usize) {
        let now = self.now;
        let Some(loss_tracker) = &mut self.loss_tracker else {
            return;
        };
        loss_tracker.record_disk_loss(store, now);
        let group = self.directory.group_of_node(&self.stores[store].entry.node);
        let Some(group) = group else {
            return;
        };
        self.outcome.disks_lost += 1;
        self.wiped_groups.push(group);
        self.pending_recoveries.push(PendingRecovery {
            group,
            store,
            lost_at: now,
            recovering_since: None,
        });
    }

    /// Whether losing this store's disk stays within the tolerance. Without a loss
    /// tracker, an incomplete member counts as lost until it is complete, and one whose
    /// machine is gone until it is removed.
    fn may_lose_disk(&self, store: usize) -> bool {
        if let Some(loss_tracker) = &self.loss_tracker {
            return loss_tracker.may_lose_disk(store);
        }
        let is_lost = |other: &SimulatedStore| {
            let is_member = self.directory.group_of_node(&other.entry.node).is_some();
            is_member && (other.gone || other.is_incomplete())
        };
        let other_stores = self.stores.iter().enumerate();
        let lost_now = other_stores.filter(|(number, other)| *number != store && is_lost(other));
        lost_now.count() < self.plan.tolerated_losses
    }

    fn wipe_store(&mut self, store: usize, downtime: u64) {
        if self.stores[store].gone || !self.may_lose_disk(store) {
            return;
        }
        self.record_loss(store);
        self.stop_store(store, downtime, false);
        let identity = self.draw(1_000, u64::MAX);
        self.stores[store].wipe(identity);
        // Loads the empty disk so that the store counts as incomplete at once.
        self.stores[store].start(self.now);
        self.stores[store].running = false;
    }

    fn start_store(&mut self, store: usize) {
        if self.stores[store].gone {
            return;
        }
        let now = self.now;
        self.stores[store].start(now);
        if self.flaw == Flaw::DeclaresCompleteEarly {
            let directory = self.directory.clone();
            self.stores[store].apply_stores(&directory, now);
            self.stores[store].declare_complete_early();
        }
    }

    // Stores and their peers.

    fn reaches_service(&self, store: usize) -> bool {
        let store = &self.stores[store];
        self.service_down_until <= self.now
            && store.isolated_until <= self.now
            && store.service_rejects_until <= self.now
    }

    /// Whether a read from the key-value service succeeds now.
    fn reads_service(&self, store: usize) -> bool {
        self.reaches_service(store) && !self.chance(2 * self.plan.lost_per_mille)
    }

    fn reaches(&self, store: usize, peer: usize) -> bool {
        let is_reachable =
            |store: &SimulatedStore| store.isolated_until <= self.now && store.is_active(self.now);
        is_reachable(&self.stores[store]) && is_reachable(&self.stores[peer])
    }

    fn store_index(&self, node: &Text) -> Option<usize> {
        self.stores
            .iter()
            .position(|store| store.entry.node == *node)
    }

    fn step_membership(&mut self, store: usize) {
        let pause = match self.stores[store].needs_fast_sync() {
            true => FAST_MEMBER_STEP_INTERVAL_MILLIS,
            false => MEMBER_STEP_INTERVAL_MILLIS,
        };
        let pause = self.draw(pause / 2, pause * 2);
        self.schedule_after(pause, Event::StepMembership(store));
        if !self.stores[store].is_active(self.now) || !self.reaches_service(store) {
            return;
        }
        // Some reads miss the newest change.
        if self.chance(700) {
            let directory = self.directory.clone();
            self.stores[store].apply_stores(&directory, self.now);
        }
        let reachable: Vec<Text> = (0..self.stores.len())
            .filter(|other| self.reaches(store, *other))
            .map(|other| self.stores[other].entry.node.clone())
            .collect();
        let tolerance = self.tolerance.clone();
        let is_reachable = |member: &Member| reachable.contains(&member.node);
        self.stores[store].choose_group(self.now, &tolerance, is_reachable);
        self.propose_step(store);
    }

    fn propose_step(&mut self, store: usize) {
        if self.flaw == Flaw::NeverProposes {
            return;
        }
        let known = self.stores[store].stores();
        if self.stores[store].group().is_none() && self.stores[store].retiring {
            self.stores[store].gone = known.version == self.directory.version;
            return;
        }
        let all_disabled = self.flaw == Flaw::RemovesWithoutSync;
        let disabled = DisabledChecks {
            fence: all_disabled || self.flaw == Flaw::SettlesUnfenced,
            holders: all_disabled,
        };
        let tolerance = self.tolerance.clone();
        let now = self.now;
        let (group, step) = self.stores[store].next_step(now, &tolerance, disabled);
        let members = match step {
            MembershipStep::Wait(_) => return,
            MembershipStep::Change(members) | MembershipStep::StartLeaving(members) => members,
        };
        let Some(group) = group else {
            return;
        };
        if self.service_read_only_until <= self.now && self.directory.version == known.version {
            self.directory = Rc::new(known.with_group(group, members));
        }
        let directory = self.directory.clone();
        self.stores[store].apply_stores(&directory, now);
    }

    /// Syncs one page with each peer; each call may fail.
    fn sync_with_peers(&mut self, store: usize) {
        let mut has_backfill = false;
        if self.stores[store].is_active(self.now) {
            for peer in self.stores[store].peers() {
                let Some(peer_index) = self.store_index(&peer) else {
                    continue;
                };
                has_backfill |= self.stores[store].is_backfilling_from(&peer)
                    || self.stores[store].needs_fast_sync();
                self.sync_with_peer(store, peer_index, &peer);
            }
        }
        let pause = match has_backfill {
            true => BACKFILL_INTERVAL_MILLIS,
            false => SYNC_INTERVAL_MILLIS,
        };
        let jitter = self.draw(0, pause / 4);
        self.schedule_after(pause + jitter, Event::SyncWithPeers(store));
    }

    fn call_succeeds(&self, store: usize, peer: usize) -> bool {
        self.reaches(store, peer) && !self.chance(2 * self.plan.lost_per_mille)
    }

    fn sync_with_peer(&mut self, store: usize, peer_index: usize, peer: &Text) -> Option<()> {
        self.fetch_missing(store, peer_index, peer)?;
        let (from, held) = self.stores[store].start_page(peer);
        if !self.call_succeeds(store, peer_index) {
            return None;
        }
        let (group, version) = self.stores[store].group_and_version()?;
        let requester = self.stores[store].entry.node.clone();
        if self.stores[peer_index].is_lagging(group, version) {
            let newer = match self.reads_service(peer_index) {
                true => self.directory.clone(),
                false => self.stores[store].stores(),
            };
            self.stores[peer_index].apply_stores(&newer, self.now);
        }
        let answer = self.stores[peer_index]
            .answer_digests(&requester, group, version, from, held, self.now)?;
        if !self.call_succeeds(store, peer_index) {
            return None;
        }
        self.stores[store].apply_digests(peer, &answer, self.now);
        if self.stores[store].is_backfilling_from(peer) {
            self.fetch_missing(store, peer_index, peer)?;
        }
        let tolerance = self.tolerance.clone();
        self.stores[store].finish_round(peer, &tolerance);
        Some(())
    }

    fn fetch_missing(&mut self, store: usize, peer_index: usize, peer: &Text) -> Option<()> {
        let missing = self.stores[store].missing_from(peer);
        if !missing.is_empty() {
            if !self.call_succeeds(store, peer_index) {
                return None;
            }
            let readable = || !self.chance(self.plan.lost_per_mille);
            let records = self.stores[peer_index].records(&missing, readable);
            self.stores[store].apply_fetched(records, self.now);
            self.stores[store].missing_from(peer);
        }
        Some(())
    }

    // Fronts.

    fn send_random_request(&mut self) {
        let front = self.draw(0, FRONT_COUNT as u64 - 1) as usize;
        let program = Text::from(format!(
            "program-{}",
            self.draw(0, u64::from(PROGRAM_COUNT) - 1)
        ));
        let stores = self.fronts[front].stores.clone();
        let hash = stageyoke_store::keys::TurnKey::of(&program).0;
        let group = stores.group_of_hash(hash).expect("formed");
        let members = Rc::new(stores.group(group).expect("a group").clone());
        let turn = Text::from(format!("turn-{}", self.calls.len()));
        let pending = match self.draw(0, 9) {
            0..=3 => self.start_append(&members, reserve_record(&program, &turn), true),
            4..=6 => self.start_append(&members, turn_record(&program, &turn), false),
            _ => self.start_recent_lookup(&members, group),
        };
        if let Some(pending) = pending {
            self.send_call(&members, group, pending);
        }
    }

    /// Sends a call to all members and returns its number.
    fn send_call(&mut self, members: &Members, group: GroupNumber, pending: PendingCall) -> usize {
        let timeout_millis = match pending {
            PendingCall::Append { .. } => APPEND_TIMEOUT_MILLIS,
            PendingCall::Chain { .. } => CHAIN_TIMEOUT_MILLIS,
        };
        let number = self.calls.len();
        self.calls.push(Call {
            group,
            members_version: members.version,
            started_at: self.now,
            pending: Some(pending),
        });
        for member in all_members(members) {
            if let Some(store) = self.store_index(&member.node) {
                self.send(Event::DeliverRequest(number, store));
            }
        }
        self.schedule_after(timeout_millis, Event::CallTimeout(number));
        number
    }

    /// Lets a front with current member lists send probes of all kinds to each group.
    fn probe_groups(&mut self) {
        let now = self.now;
        let is_current = |front: &usize| self.fronts[*front].stale_until <= now;
        let current: Vec<usize> = (0..FRONT_COUNT).filter(is_current).collect();
        if current.is_empty() {
            return;
        }
        let front = self.draw(0, current.len() as u64 - 1) as usize;
        let stores = self.fronts[current[front]].stores.clone();
        for (group, members) in stores.numbered() {
            let members = Rc::new(members.clone());
            for kind in PROBE_KINDS {
                self.probe_group(&stores, group, &members, kind);
            }
        }
    }

    fn probe_group(
        &mut self,
        stores: &StoreGroups,
        group: GroupNumber,
        members: &Rc<Members>,
        kind: ProbeKind,
    ) {
        let program = program_in_group(stores, group);
        let turn = Text::from(format!("turn-{}", self.calls.len()));
        let pending = match kind {
            ProbeKind::Append => self.start_append(members, turn_record(&program, &turn), false),
            ProbeKind::Reservation => {
                self.start_append(members, reserve_record(&program, &turn), true)
            }
            ProbeKind::StoredTurn => self.start_recent_lookup(members, group),
            ProbeKind::UnknownTurn => self.start_lookup(members, turn),
        };
        let Some(pending) = pending else {
            return;
        };
        let call = self.send_call(members, group, pending);
        self.availability.record_probe(call, group, kind, self.now);
    }

    fn start_append(
        &mut self,
        members: &Rc<Members>,
        record: Record,
        reads_ledger: bool,
    ) -> Option<PendingCall> {
        self.outcome.appends_sent += 1;
        let counted_members = match self.flaw {
            Flaw::QuorumOneShort => {
                let mut fewer = Members::clone(members);
                fewer
                    .list
                    .truncate(members.list.len().saturating_sub(2).max(1));
                fewer.before.clear();
                Rc::new(fewer)
            }
            Flaw::OldMembersIgnored => Rc::new(members.settle_change()),
            _ => members.clone(),
        };
        let tolerance = match self.flaw {
            Flaw::QuorumOneShort => Tolerance::of_machines(0),
            _ => self.tolerance.clone(),
        };
        let reads_ledger = reads_ledger && self.flaw != Flaw::IncompleteLedgersCounted;
        let tally = AppendTally::new(&counted_members, &tolerance, reads_ledger).ok()?;
        Some(PendingCall::Append { record, tally })
    }

    /// Looks up one of the group's newest stored turns, or an unknown one if it has none.
    fn start_recent_lookup(
        &mut self,
        members: &Rc<Members>,
        group: GroupNumber,
    ) -> Option<PendingCall> {
        let stores = self.directory.clone();
        // The newest turns are on the fewest disks.
        let newest = self.turns.iter().rev().filter(|stored| {
            let hash = stageyoke_store::keys::TurnKey::of(&stored.program).0;
            stores.group_of_hash(hash) == Some(group)
        });
        let recent: Vec<&StoredRecord> = newest.take(12).collect();
        let turn = match recent.len() {
            0 => Text::from("never"),
            count => {
                let back = self.draw(1, count as u64) as usize;
                recent[back - 1].turn.clone()
            }
        };
        self.start_lookup(members, turn)
    }

    fn start_lookup(&self, members: &Rc<Members>, turn: Text) -> Option<PendingCall> {
        let members = match self.flaw {
            Flaw::OldMembersIgnored => Rc::new(members.settle_change()),
            _ => members.clone(),
        };
        let tally = ChainTally::new(&members, &self.tolerance)?;
        Some(PendingCall::Chain { turn, tally })
    }

    fn deliver_request(&mut self, call: usize, store: usize) {
        if !self.stores[store].is_active(self.now) {
            let frozen_until = self.stores[store].frozen_until;
            if self.stores[store].running && frozen_until > self.now {
                self.schedule_at(frozen_until + 1, Event::DeliverRequest(call, store));
            }
            return;
        }
        let accepts_any_version = self.flaw == Flaw::StaleMembersAccepted;
        let (group, version) = (self.calls[call].group, self.calls[call].members_version);
        let version = match accepts_any_version {
            true => u64::MAX / 2,
            false => version,
        };
        if self.flaw == Flaw::UnavailableAfterWipe && self.wiped_groups.contains(&group) {
            return;
        }
        let node = self.stores[store].entry.node.clone();
        match &self.calls[call].pending {
            Some(PendingCall::Append { record, .. }) => {
                let record = record.clone();
                match self.stores[store].append(group, version, &record, self.now) {
                    Some(refusal) => self.send(Event::DeliverReply(call, node, refusal, 0)),
                    None => {
                        let delay = self.draw(1, 25);
                        self.schedule_after(delay, Event::SyncDisk(call, store));
                    }
                }
            }
            Some(PendingCall::Chain { turn, .. }) => {
                let mut reply = self.stores[store].chain(group, version, turn);
                let never_absent = self.flaw == Flaw::NeverAbsentAfterWipe;
                if let Reply::Chain { complete, .. } = &mut reply {
                    *complete &= !(never_absent && self.wiped_groups.contains(&group));
                }
                self.send(Event::DeliverReply(call, node, reply, 0));
            }
            None => {}
        }
    }

    fn sync_disk(&mut self, call: usize, store: usize) {
        if !self.stores[store].is_active(self.now) {
            return;
        }
        let Some(PendingCall::Append { record, .. }) = &self.calls[call].pending else {
            return;
        };
        let record = record.clone();
        if self.stores[store].sync(&record, self.now) {
            let node = self.stores[store].entry.node.clone();
            let reply = self.stores[store].append_reply(self.calls[call].group, &record);
            let version = self.calls[call].members_version;
            let later = self.stores[store].later_entries(self.calls[call].group, version, &record);
            self.send(Event::DeliverReply(call, node, reply, later));
        }
    }

    fn apply_reply(&mut self, call: usize, node: &Text, reply: Reply, later: usize) {
        match self.calls[call].pending.take() {
            Some(PendingCall::Append { record, mut tally }) => {
                tally.add_ordered_reply(node, reply, later);
                match tally.is_stored() {
                    true => self.record_stored(call, &record, tally),
                    false => self.calls[call].pending = Some(PendingCall::Append { record, tally }),
                }
            }
            Some(PendingCall::Chain { turn, mut tally }) => {
                tally.add_reply(node, reply);
                match tally.step() {
                    ChainLookup::Parts { .. } => self.availability.mark_served(call),
                    ChainLookup::Absent => {
                        self.availability.mark_served(call);
                        self.check_absent(call, &turn);
                    }
                    ChainLookup::Unknown => {
                        self.calls[call].pending = Some(PendingCall::Chain { turn, tally })
                    }
                }
            }
            None => {}
        }
    }

    // Checks.

    /// Records a stored append. A reservation must see all that were stored before it, and of any
    /// two at least one must see the other.
    fn record_stored(&mut self, call: usize, record: &Record, tally: AppendTally) {
        self.outcome.appends_stored += 1;
        self.availability.mark_served(call);
        if let Some(downtime) = self.wipe_next_holders.take() {
            self.wipe_holders(record, downtime);
        }
        let ledger = tally.outcome().expect("stored");
        let stored_at = self.now;
        match record {
            Record::Reserve {
                program,
                turn,
                max_tokens: amount,
            } => {
                let started_at = self.calls[call].started_at;
                let is_earlier = |stored: &&StoredRecord| {
                    stored.stored_at < started_at && stored.program == *program
                };
                let expected: u64 = self
                    .reservations
                    .iter()
                    .filter(is_earlier)
                    .map(|stored| u64::from(stored.amount))
                    .sum();
                let seen = ledger.total_excluding(turn);
                if seen < expected {
                    let violation = format!(
                        "{stored_at}: {turn} of {program} sees {seen} of {expected} reserved"
                    );
                    self.outcome.violations.push(violation);
                }
                let unseen = self.reservations.iter().find(|stored| {
                    stored.program == *program
                        && !stored.ledger.contains(turn)
                        && !ledger.contains(&stored.turn)
                });
                if let Some(stored) = unseen {
                    let other = &stored.turn;
                    let violation =
                        format!("{stored_at}: neither {turn} nor {other} sees the other");
                    self.outcome.violations.push(violation);
                }
                self.reservations.push(StoredRecord {
                    stored_at,
                    program: program.clone(),
                    turn: turn.clone(),
                    amount: *amount,
                    ledger,
                });
            }
            Record::Turn(record) => self.turns.push(StoredRecord {
                stored_at,
                program: record.program.clone(),
                turn: record.turn.clone(),
                amount: record.used_tokens,
                ledger,
            }),
            _ => {}
        }
    }

    /// Wipes the disks that hold a record, as far as the tolerance allows.
    fn wipe_holders(&mut self, record: &Record, downtime: u64) {
        let holders: Vec<usize> = (0..self.stores.len())
            .filter(|store| self.stores[*store].has_on_disk(record))
            .collect();
        for store in holders {
            self.wipe_store(store, downtime);
        }
    }

    /// Checks that a turn reported absent was not stored before its lookup started.
    fn check_absent(&mut self, call: usize, turn: &Text) {
        let started_at = self.calls[call].started_at;
        let stored = self.turns.iter().find(|stored| stored.turn == *turn);
        if let Some(stored) = stored.filter(|stored| stored.stored_at < started_at) {
            let violation = format!(
                "{}: {turn}, stored at {}, was reported absent by version {}",
                self.now, stored.stored_at, self.calls[call].members_version
            );
            self.outcome.violations.push(violation);
        }
    }

    /// Checks that each group served a probe of each kind in the last window, unless more
    /// was lost than tolerated.
    fn check_availability(&mut self) {
        let window_end = self.now.saturating_sub(APPEND_TIMEOUT_MILLIS);
        let window_start = window_end.saturating_sub(AVAILABILITY_WINDOW_MILLIS);
        let Some(loss_tracker) = &self.loss_tracker else {
            return;
        };
        let holds_for_window =
            |since: Option<u64>| since.is_some_and(|since| since <= window_start);
        let undisturbed = holds_for_window(loss_tracker.undisturbed_since());
        if !holds_for_window(loss_tracker.within_tolerance_since()) {
            return;
        }
        let directory = self.directory.clone();
        for (group, members) in directory.numbered() {
            for kind in PROBE_KINDS {
                if !self
                    .availability
                    .is_unavailable(group, kind, window_start, window_end)
                {
                    continue;
                }
                let outage = format!("group {} served no {kind:?}", group.0);
                let members_state = self.describe_members(members);
                let when = format!("{window_start} to {window_end}: {members_state}");
                report_once(&mut self.outcome.interruptions, &outage, &when);
                if undisturbed {
                    report_once(&mut self.outcome.outages, &outage, &when);
                }
            }
        }
    }

    /// Describes a member list: its version and the state of each member.
    fn describe_members(&self, members: &Members) -> String {
        let states = all_members(members).map(|member| {
            let store = self
                .store_index(&member.node)
                .map(|store| &self.stores[store]);
            let state = match store {
                Some(store) if store.gone => "gone",
                Some(store) if !store.is_active(self.now) => "unavailable",
                Some(store) if store.is_incomplete() => "incomplete",
                Some(store) if store.retiring => "retiring",
                _ => "available",
            };
            format!("{} {state}", member.node)
        });
        let states: Vec<String> = states.collect();
        format!("version {} [{}]", members.version, states.join(", "))
    }

    fn update_recoveries(&mut self) {
        let Some(loss_tracker) = &self.loss_tracker else {
            return;
        };
        for recovery in &mut self.pending_recoveries {
            let recovering_since = loss_tracker.recovering_since(recovery.store);
            recovery.recovering_since = recovering_since.or(recovery.recovering_since);
        }
        let pending = std::mem::take(&mut self.pending_recoveries);
        let (recovered, pending) = pending.into_iter().partition(|recovery| {
            let members = self.directory.group(recovery.group);
            members.is_some_and(|members| self.tolerates_next_loss(members))
        });
        self.pending_recoveries = pending;
        let recovered: Vec<PendingRecovery> = recovered;
        let now = self.now;
        let recoveries = recovered.into_iter().map(|recovery| Recovery {
            millis_since_loss: now - recovery.lost_at,
            millis_since_return: recovery.recovering_since.map_or(0, |from| now - from),
        });
        self.outcome.recoveries.extend(recoveries);
    }

    /// Whether no membership change is in progress and any one disk could be lost and
    /// filled again.
    fn tolerates_next_loss(&self, members: &Members) -> bool {
        let complete = |member: &&Member| {
            let store = self.store_index(&member.node);
            let store = store.map(|store| &self.stores[store]);
            store.is_some_and(|store| store.is_active(self.now) && !store.is_incomplete())
        };
        members.is_settled() && complete_members_suffice(members, &self.tolerance, 1, complete)
    }

    /// Checks that each retiring store has left by the end, if the rest of its group has a
    /// write quorum without it.
    fn check_retirements(&mut self) {
        for store in self
            .stores
            .iter()
            .filter(|store| store.retiring && !store.gone)
        {
            let members = store.group().and_then(|group| self.directory.group(group));
            let remaining = members.map(|members| members.list_without(&store.entry.node));
            let can_leave = remaining
                .is_some_and(|remaining| write_quorum(&remaining, &self.tolerance).is_some());
            if can_leave && store.is_active(self.now) {
                let violation = format!("{} has not left", store.entry.node);
                self.outcome.violations.push(violation);
            }
        }
    }

    /// Checks that machines that are gone have been removed by the end, where all other
    /// members are available, complete and a write quorum.
    fn check_removals(&mut self) {
        for members in self.directory.groups.iter() {
            let store = |member: &Member| self.store_index(&member.node);
            let is_gone =
                |member: &&Member| store(member).is_some_and(|number| self.stores[number].gone);
            let is_serving = |member: &&Member| {
                store(member).is_some_and(|number| {
                    let store = &self.stores[number];
                    store.is_active(self.now) && !store.is_incomplete()
                })
            };
            let needed = members.write_quorum(&self.tolerance);
            let serving = all_members(members).filter(is_serving).count();
            let gone = all_members(members).filter(is_gone).count();
            let has_quorum = needed.is_some_and(|needed| serving >= needed);
            let none_pending = serving + gone == all_members(members).count();
            if gone > 0 && has_quorum && none_pending {
                let violation = format!("{gone} lost machines of {members:?} are still members");
                self.outcome.violations.push(violation);
            }
        }
    }

    /// Checks that each group serves at the end, whatever faults were injected.
    fn check_availability_at_end(&mut self) {
        let window_end = self.now.saturating_sub(APPEND_TIMEOUT_MILLIS);
        let window_start = window_end.saturating_sub(AVAILABILITY_WINDOW_MILLIS);
        let directory = self.directory.clone();
        for (group, members) in directory.numbered() {
            let is_unserved = |kind: &ProbeKind| {
                self.availability
                    .is_unavailable(group, *kind, window_start, window_end)
            };
            let unserved: Vec<ProbeKind> = PROBE_KINDS.into_iter().filter(is_unserved).collect();
            if !unserved.is_empty() {
                let members_state = self.describe_members(members);
                let outage = format!("group {} serves no {unserved:?} at the end", group.0);
                self.outcome
                    .outages
                    .push(format!("{outage}: {members_state}"));
            }
        }
    }

    /// Runs the checks at the end, among them that every stored turn is on a disk of its
    /// group.
    fn check_end_state(&mut self) {
        self.check_retirements();
        self.check_removals();
        if self.loss_tracker.is_some() {
            self.check_availability_at_end();
        }
        let mut missing = Vec::new();
        for stored in &self.turns {
            let record = turn_record(&stored.program, &stored.turn);
            let hash = stageyoke_store::keys::TurnKey::of(&stored.program).0;
            let group = self.directory.group_of_hash(hash);
            let mut members = self.stores.iter().filter(|store| {
                let own_group = self.directory.group_of_node(&store.entry.node);
                !store.gone && own_group == group
            });
            if !members.any(|store| store.has_on_disk(&record)) {
                missing.push(stored.turn.as_str());
            }
        }
        if let Some(first) = missing.first() {
            let count = missing.len();
            let violation =
                format!("{first} is on no disk of its group at the end ({count} such turns)");
            self.outcome.violations.push(violation);
        }
    }
}

/// All members of a group, including the old ones during a change.
fn all_members(members: &Members) -> impl Iterator<Item = &Member> {
    members.all()
}

/// Whether the complete members, less `lost` of them, intersect every write quorum, so
/// that a lost disk can be filled again.
fn complete_members_suffice(
    members: &Members,
    tolerance: &Tolerance,
    lost: usize,
    complete: impl Fn(&&Member) -> bool,
) -> bool {
    let quorum = members.write_quorum(tolerance);
    let complete = members.list.iter().filter(complete).count();
    quorum.is_some_and(|quorum| complete + quorum > members.list.len() + lost)
}

/// Adds a finding unless it was already reported for an earlier time.
fn report_once(reports: &mut Vec<String>, finding: &str, when: &str) {
    if !reports.iter().any(|report| report.starts_with(finding)) {
        reports.push(format!("{finding}, {when}"));
    }
}

fn reserve_record(program: &Text, turn: &Text) -> Record {
    Record::Reserve {
        program: program.clone(),
        turn: turn.clone(),
        max_tokens: 10,
    }
}

fn turn_record(program: &Text, turn: &Text) -> Record {
    Record::Turn(TurnRecord {
        turn: turn.clone(),
        program: program.clone(),
        previous: Text::default(),
        input: Blob::from(b"in".to_vec()),
        output: Blob::from(b"out".to_vec()),
        used_tokens: 0,
        retention_seconds: 60,
    })
}
