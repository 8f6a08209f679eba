//! Plays a plan: an event queue in virtual time, fronts that append and ask, and
//! the checkers.

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
use stageyoke_store::quorum::{AppendTally, ChainLookup, ChainTally};
use stageyoke_store::spare::{LOST_MEMBER_TIMEOUT, replacement_timeout};
use stageyoke_types::{Blob, Text};

use super::losses::{Losses, Presence};
use super::service::{ASKS, Ask, Service};
use super::store::{LeftOut, Store};
use super::{Fault, PLAN_MILLISECONDS, Plan};

/// Fronts of a plan.
const FRONTS: usize = 3;
/// Programs of a plan.
const PROGRAMS: u32 = 6;
/// Milliseconds between two requests.
const REQUEST_PAUSE: u64 = 40;
/// How long a front waits for an append, and for a chain.
const APPEND_WITHIN: u64 = 1_300;
const CHAIN_WITHIN: u64 = 800;
/// Time after the faults in which everything comes back.
const QUIET_MILLISECONDS: u64 = 30_000;
const MEMBER_PAUSE: u64 = 500;
/// The same of a store whose list changes, or whose disk may lack something.
const HASTY_MEMBER_PAUSE: u64 = 150;
const ROUND_PAUSE: u64 = 1_000;
const FILLING_PAUSE: u64 = 100;
const FRONT_PAUSE: u64 = 400;
/// Between two looks at how all machines stand.
const WATCH_PAUSE: u64 = 100;
/// Between two questions of each kind to each group.
const PROBE_PAUSE: u64 = 250;
/// In a calm time as long as this each group serves something of each kind.
const CALM_WINDOW: u64 = 3_000;
/// Before a machine that has not left in its time is looked at again.
const WITHDRAWAL_PAUSE: u64 = 500;

/// A guard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// None is.
    None,
    /// Fronts take a record as kept one disk too early.
    QuorumOneShort,
    /// Stores serve fronts with any old member list.
    StaleListsAccepted,
    /// Stores are complete as soon as they start.
    VouchesEarly,
    /// Dead members go though the rest have not exchanged what they hold.
    RemovesWithoutExchange,
    /// A reservation's quorum may consist of incomplete stores.
    IncompleteLedgersCount,
    /// A change is settled though older lists may be in use.
    SettlesUnfenced,
    /// During a change fronts ask the new members only.
    OldMembersIgnored,
    /// No store ever proposes another list.
    NeverProposes,
    /// A group serves nothing once a member has lost its disk.
    RestsAfterWipe,
    /// Members vouch for nothing once one of them has lost its disk.
    UnsureAfterWipe,
}

/// What came of a plan.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Promises that were broken.
    pub breaches: Vec<String>,
    /// Appends, and those that were kept.
    pub asked: u64,
    /// Appends that were kept.
    pub kept: u64,
    /// Groups that served nothing of some kind at the end, or though nothing had
    /// become of any machine for long enough.
    pub rests: Vec<String>,
    /// Groups that served nothing of some kind for a time in which no more was
    /// lost than they bear.
    pub interruptions: Vec<String>,
    /// Losses of a member's disk.
    pub disks_lost: usize,
    /// How long after each of them its group bore the next one.
    pub healed: Vec<Healed>,
}

/// How long it took until a group bore the next loss of a disk.
#[derive(Clone, Copy, Debug)]
pub struct Healed {
    /// Since the loss.
    pub after_loss: u64,
    /// Since the time that the disk's store has for it began.
    pub after_return: u64,
}

/// A group that has lost a disk.
struct Wounded {
    group: GroupNumber,
    store: usize,
    struck_at: u64,
    counted_from: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Strike(usize),
    Start(usize),
    Add,
    Withdraw(usize, u64),
    Watch,
    Probe,
    FollowGroups(usize),
    Round(usize),
    FrontFollows(usize),
    Request,
    Arrive(usize, usize),
    Synced(usize, usize),
    Answer(usize, Text, Reply),
    GiveUp(usize),
}

enum Work {
    Append { record: Record, tally: AppendTally },
    Chain { turn: Text, tally: ChainTally },
}

/// A request that a front has under way.
struct Call {
    group: GroupNumber,
    members_version: u64,
    began: u64,
    work: Option<Work>,
}

/// A reservation or a turn that was kept.
struct Kept {
    at: u64,
    program: Text,
    turn: Text,
    amount: u32,
}

struct Front {
    stores: Rc<StoreGroups>,
    deaf_until: u64,
}

/// Everything that a plan is played with.
pub struct World {
    plan: Plan,
    flaw: Flaw,
    tolerance: Tolerance,
    random: RefCell<StdRng>,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    registry: Rc<StoreGroups>,
    service_down_until: u64,
    service_deaf_until: u64,
    stores: Vec<Store>,
    fronts: Vec<Front>,
    calls: Vec<Call>,
    reservations: Vec<Kept>,
    turns: Vec<Kept>,
    /// The next kept record's holders lose their disks, as many as may be.
    wipe_after_next: Option<u64>,
    /// Losses counted by time, where the plan does.
    losses: Option<Losses>,
    service: Service,
    wounded: Vec<Wounded>,
    wiped_groups: Vec<GroupNumber>,
    outcome: Outcome,
}

/// A program of this group.
fn program_of(stores: &StoreGroups, group: GroupNumber) -> Text {
    let belongs = |program: &Text| {
        let hash = stageyoke_store::keys::TurnKey::of(program).0;
        stores.group_of_hash(hash) == Some(group)
    };
    let names = (0..).map(|number| Text::from(format!("probe-{number}")));
    let mut own = names.filter(belongs);
    own.next().expect("without end")
}

/// Machines that may be lost while each group serves: not all that are tolerated
/// where there are too few for that.
fn machines_borne(stores: &StoreGroups, losses: usize) -> usize {
    let tolerance = Tolerance::of_machines(losses);
    let spare = |members: &Members| {
        let needed = members.write_quorum(&tolerance);
        needed.map_or(0, |needed| members.list.len() - needed)
    };
    let least = stores.groups.iter().map(spare).min();
    least.unwrap_or(0).min(losses)
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

/// How long a member may be silent before it is replaced.
fn silence_borne(plan: &Plan) -> Duration {
    let catch_up = plan.catch_up.map(Duration::from_millis);
    catch_up.map_or(LOST_MEMBER_TIMEOUT, replacement_timeout)
}

impl Outcome {
    /// Everything that was promised and did not hold.
    pub fn broken(&self) -> Vec<String> {
        let short = self.interruptions.iter();
        let short = short.filter(|told| !self.rests.contains(told));
        let short = short.map(|told| format!("for a time {told}"));
        let lasting = self.breaches.iter().chain(&self.rests).cloned();
        lasting.chain(short).collect()
    }
}

impl World {
    /// A plan's world at its beginning: the groups are formed.
    pub fn new(plan: &Plan, flaw: Flaw) -> Self {
        let tolerance = Tolerance::of_machines(plan.losses);
        let registered: Vec<Member> = (0..plan.stores).map(entry).collect();
        let formed = StoreGroups::default().form(&registered, &tolerance);
        let registry = Rc::new(formed.expect("enough stores"));
        let mut stores: Vec<Store> = (0..plan.stores)
            .map(|number| Store::new(entry(number), number as u64 + 1, true))
            .collect();
        for store in &mut stores {
            store.replacement_timeout = silence_borne(plan);
            store.follow(&registry, 0);
        }
        let borne = machines_borne(&registry, plan.losses);
        let losses = plan.catch_up;
        let losses = losses.map(|catch_up| Losses::new(catch_up, plan.losses, borne));
        let front = || Front {
            stores: registry.clone(),
            deaf_until: 0,
        };
        let mut world = Self {
            flaw,
            tolerance,
            random: RefCell::new(StdRng::seed_from_u64(plan.seed)),
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            service_down_until: 0,
            service_deaf_until: 0,
            stores,
            fronts: (0..FRONTS).map(|_| front()).collect(),
            registry,
            calls: Vec::new(),
            reservations: Vec::new(),
            turns: Vec::new(),
            wipe_after_next: None,
            losses,
            service: Service::default(),
            wounded: Vec::new(),
            wiped_groups: Vec::new(),
            outcome: Outcome::default(),
            plan: plan.clone(),
        };
        for (number, (at, _)) in plan.faults.iter().enumerate() {
            world.at(*at, Event::Strike(number));
        }
        for store in 0..plan.stores {
            world.begin(store);
        }
        for front in 0..FRONTS {
            world.after(10, Event::FrontFollows(front));
        }
        world.after(1, Event::Request);
        if plan.catch_up.is_some() {
            world.after(0, Event::Watch);
            world.after(PROBE_PAUSE, Event::Probe);
        }
        world
    }

    fn begin(&mut self, store: usize) {
        let first = self.draw(1, MEMBER_PAUSE);
        self.after(first, Event::FollowGroups(store));
        self.after(first, Event::Round(store));
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((time.max(self.now), self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn after(&mut self, milliseconds: u64, event: Event) {
        self.at(self.now + milliseconds, event);
    }

    fn draw(&self, from: u64, to: u64) -> u64 {
        self.random.borrow_mut().random_range(from..=to)
    }

    fn chance(&self, per_thousand: u32) -> bool {
        self.random.borrow_mut().random_range(0..1000) < per_thousand
    }

    /// Sends a message: it may be lost, late or doubled.
    fn send(&mut self, event: Event) {
        let copies = match () {
            () if self.chance(self.plan.lost) => 0,
            () if self.chance(self.plan.doubled) => 2,
            () => 1,
        };
        for _ in 0..copies {
            let delay = match self.chance(self.plan.late) {
                true => self.draw(500, 4_000),
                false => self.draw(1, 12),
            };
            self.after(delay, event.clone());
        }
    }

    /// Plays it all and judges.
    pub fn play(mut self) -> Outcome {
        let end = PLAN_MILLISECONDS + QUIET_MILLISECONDS;
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let event = self.events.remove(&number).expect("queued");
            self.handle(event);
        }
        self.judge_end();
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Strike(number) => self.strike(self.plan.faults[number].1),
            Event::Start(store) => self.start(store),
            Event::Add => self.add(),
            Event::Withdraw(store, later) => self.withdraw(store, later),
            Event::Watch => {
                self.observe();
                self.watch_wounded();
                self.after(WATCH_PAUSE, Event::Watch);
            }
            Event::Probe => {
                self.probe();
                self.judge_service();
                self.after(PROBE_PAUSE, Event::Probe);
            }
            Event::FollowGroups(store) => self.keep_place(store),
            Event::Round(store) => self.round(store),
            Event::FrontFollows(front) => {
                if self.service_down_until <= self.now && self.fronts[front].deaf_until <= self.now
                {
                    self.fronts[front].stores = self.registry.clone();
                }
                self.after(FRONT_PAUSE, Event::FrontFollows(front));
            }
            Event::Request => {
                self.request();
                let pause = self.draw(1, 2 * REQUEST_PAUSE);
                self.after(pause, Event::Request);
            }
            Event::Arrive(call, store) => self.arrive(call, store),
            Event::Synced(call, store) => self.synced(call, store),
            Event::Answer(call, node, reply) => self.answer(call, &node, reply),
            Event::GiveUp(call) => drop(self.calls[call].work.take()),
        }
    }

    // Faults.

    fn strike(&mut self, fault: Fault) {
        self.observe();
        match fault {
            Fault::Kill(store, down) => self.stop(self.pick(store), down, true),
            Fault::PowerOff(store, down) => self.stop(self.pick(store), down, false),
            Fault::PowerOffAll(down) => {
                for store in 0..self.stores.len() {
                    let later = self.draw(0, 200);
                    self.stop(store, down + later, false);
                }
            }
            Fault::Wipe(store, down) => self.wipe(self.pick(store), down),
            Fault::WipeAfterNext(down) => self.wipe_after_next = Some(down),
            Fault::Refuse(store, lasting) => {
                let store = self.pick(store);
                self.stores[store].refuses_until = self.now + lasting;
            }
            Fault::Cut(store, lasting) => {
                let store = self.pick(store);
                self.stores[store].cut_until = self.now + lasting;
            }
            Fault::Shun(store, lasting) => {
                let store = self.pick(store);
                self.stores[store].shunned_until = self.now + lasting;
            }
            Fault::Freeze(store, lasting) => {
                let store = self.pick(store);
                self.stores[store].frozen_until = self.now + lasting;
            }
            Fault::Retire(store) => {
                let store = self.pick(store);
                self.stores[store].retiring = true;
            }
            Fault::RetireAndReplace(store, given, later) => {
                let store = self.pick(store);
                self.stores[store].retiring = true;
                self.after(given, Event::Withdraw(store, later));
            }
            Fault::Add => self.add(),
            Fault::Replace(store, later) => self.replace(self.pick(store), later),
            Fault::ServiceDown(lasting) => self.service_down_until = self.now + lasting,
            Fault::ServiceDeaf(lasting) => self.service_deaf_until = self.now + lasting,
            Fault::Deaf(front, lasting) => {
                self.fronts[front % FRONTS].deaf_until = self.now + lasting;
            }
        }
        self.observe();
    }

    /// The store that a fault's number means.
    fn pick(&self, number: usize) -> usize {
        let stays = |store: &usize| {
            let store = &self.stores[*store];
            !store.gone && !store.retiring
        };
        let staying: Vec<usize> = match self.losses {
            Some(_) => (0..self.stores.len()).filter(stays).collect(),
            None => Vec::new(),
        };
        match staying.len() {
            0 => number % self.stores.len(),
            count => staying[number % count],
        }
    }

    /// Counts losses by how all machines stand now.
    fn observe(&mut self) {
        let now = self.now;
        let present =
            |store: &Store| store.acts(now) && store.cut_until <= now && store.refuses_until <= now;
        let presence = |store: &Store| Presence {
            present: present(store),
            retiring: store.retiring,
            gone: store.gone,
        };
        let service_stable = self.service_down_until <= now && self.service_deaf_until <= now;
        if let Some(losses) = &mut self.losses {
            let machines: Vec<Presence> = self.stores.iter().map(presence).collect();
            losses.observe(now, &machines, service_stable);
        }
    }

    fn stop(&mut self, store: usize, down: u64, whole: bool) {
        if !self.stores[store].running {
            return;
        }
        let surviving = match whole {
            true => usize::MAX,
            false => self.draw(0, 20) as usize,
        };
        self.stores[store].stop(surviving);
        self.after(down, Event::Start(store));
    }

    fn add(&mut self) {
        let number = self.stores.len();
        let mut store = Store::new(entry(number), number as u64 + 1, false);
        store.replacement_timeout = silence_borne(&self.plan);
        self.stores.push(store);
        self.begin(number);
        if let Some(losses) = &mut self.losses {
            losses.arrive(number);
        }
        self.observe();
    }

    fn replace(&mut self, store: usize, later: u64) {
        if self.stores[store].gone || !self.may_lose(store) {
            return;
        }
        self.note_loss(store);
        self.stores[store].stop(0);
        self.stores[store].gone = true;
        self.after(later, Event::Add);
    }

    /// The time of a machine that is to leave is over: it goes, unless more disks
    /// would be lost than may be.
    fn withdraw(&mut self, store: usize, later: u64) {
        self.observe();
        if self.stores[store].gone {
            self.after(later, Event::Add);
        } else if self.may_lose(store) {
            self.replace(store, later);
            self.observe();
        } else {
            self.after(WITHDRAWAL_PAUSE, Event::Withdraw(store, later));
        }
    }

    fn note_loss(&mut self, store: usize) {
        let now = self.now;
        let Some(losses) = &mut self.losses else {
            return;
        };
        losses.lose(store, now);
        let group = self.registry.group_of_node(&self.stores[store].entry.node);
        let Some(group) = group else {
            return;
        };
        self.outcome.disks_lost += 1;
        self.wiped_groups.push(group);
        self.wounded.push(Wounded {
            group,
            store,
            struck_at: now,
            counted_from: None,
        });
    }

    /// Disks that are lost together are as many as may be: a member whose disk
    /// is being filled up again is lost until it is complete, and one whose
    /// machine is lost until it is no member any more. Where losses count by time,
    /// that decides.
    fn may_lose(&self, store: usize) -> bool {
        if let Some(losses) = &self.losses {
            return losses.may_lose(store);
        }
        let lost = |other: &Store| {
            let member = self.registry.group_of_node(&other.entry.node).is_some();
            member && (other.gone || other.incomplete())
        };
        let others = self.stores.iter().enumerate();
        let lost_now = others.filter(|(number, other)| *number != store && lost(other));
        lost_now.count() < self.plan.losses
    }

    fn wipe(&mut self, store: usize, down: u64) {
        if self.stores[store].gone || !self.may_lose(store) {
            return;
        }
        self.note_loss(store);
        self.stop(store, down, false);
        let identity = self.draw(1_000, u64::MAX);
        self.stores[store].wipe(identity);
        // What counts as lost must show at once.
        self.stores[store].start(self.now);
        self.stores[store].running = false;
    }

    fn start(&mut self, store: usize) {
        if self.stores[store].gone {
            return;
        }
        let now = self.now;
        self.stores[store].start(now);
        if self.flaw == Flaw::VouchesEarly {
            let registry = self.registry.clone();
            self.stores[store].follow(&registry, now);
            self.stores[store].vouch_early();
        }
    }

    // Stores among themselves.

    fn reaches_service(&self, store: usize) -> bool {
        let store = &self.stores[store];
        self.service_down_until <= self.now
            && store.cut_until <= self.now
            && store.shunned_until <= self.now
    }

    /// Whether a read that it makes now is answered.
    fn reads_service(&self, store: usize) -> bool {
        self.reaches_service(store) && !self.chance(2 * self.plan.lost)
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let reached = |store: &Store| store.cut_until <= self.now && store.acts(self.now);
        reached(&self.stores[one]) && reached(&self.stores[other])
    }

    fn number_of(&self, node: &Text) -> Option<usize> {
        self.stores
            .iter()
            .position(|store| store.entry.node == *node)
    }

    fn keep_place(&mut self, store: usize) {
        let pause = match self.stores[store].in_haste() {
            true => HASTY_MEMBER_PAUSE,
            false => MEMBER_PAUSE,
        };
        let pause = self.draw(pause / 2, pause * 2);
        self.after(pause, Event::FollowGroups(store));
        if !self.stores[store].acts(self.now) || !self.reaches_service(store) {
            return;
        }
        // A look at the service may be older than the newest change.
        if self.chance(700) {
            let registry = self.registry.clone();
            self.stores[store].follow(&registry, self.now);
        }
        let living: Vec<Text> = (0..self.stores.len())
            .filter(|other| self.reaches(store, *other))
            .map(|other| self.stores[other].entry.node.clone())
            .collect();
        let tolerance = self.tolerance.clone();
        let lives = |member: &Member| living.contains(&member.node);
        self.stores[store].choose_group(self.now, &tolerance, lives);
        self.propose(store);
    }

    fn propose(&mut self, store: usize) {
        if self.flaw == Flaw::NeverProposes {
            return;
        }
        let known = self.stores[store].stores();
        if self.stores[store].group().is_none() && self.stores[store].retiring {
            self.stores[store].gone = known.version == self.registry.version;
            return;
        }
        let both = self.flaw == Flaw::RemovesWithoutExchange;
        let left_out = LeftOut {
            fence: both || self.flaw == Flaw::SettlesUnfenced,
            holders: both,
        };
        let tolerance = self.tolerance.clone();
        let now = self.now;
        let (group, step) = self.stores[store].step(now, &tolerance, left_out);
        let members = match step {
            MembershipStep::Wait(_) => return,
            MembershipStep::Change(members) | MembershipStep::StartLeaving(members) => members,
        };
        let Some(group) = group else {
            return;
        };
        if self.service_deaf_until <= self.now && self.registry.version == known.version {
            self.registry = Rc::new(known.with_group(group, members));
        }
        let registry = self.registry.clone();
        self.stores[store].follow(&registry, now);
    }

    /// One round with each peer; any part of it may be cut short.
    fn round(&mut self, store: usize) {
        let mut filling = false;
        if self.stores[store].acts(self.now) {
            for peer in self.stores[store].peers() {
                let Some(number) = self.number_of(&peer) else {
                    continue;
                };
                filling |= self.stores[store].filling(&peer) || self.stores[store].in_haste();
                self.compare(store, number, &peer);
            }
        }
        let pause = match filling {
            true => FILLING_PAUSE,
            false => ROUND_PAUSE,
        };
        let jitter = self.draw(0, pause / 4);
        self.after(pause + jitter, Event::Round(store));
    }

    fn call_succeeds(&self, one: usize, other: usize) -> bool {
        self.reaches(one, other) && !self.chance(2 * self.plan.lost)
    }

    fn compare(&mut self, store: usize, number: usize, peer: &Text) -> Option<()> {
        self.fetch_missing(store, number, peer)?;
        let (from, held) = self.stores[store].question(peer);
        if !self.call_succeeds(store, number) {
            return None;
        }
        let (group, version) = self.stores[store].asks_as()?;
        let asker = self.stores[store].entry.node.clone();
        if self.stores[number].is_behind(group, version) {
            let told = match self.reads_service(number) {
                true => self.registry.clone(),
                false => self.stores[store].stores(),
            };
            self.stores[number].follow(&told, self.now);
        }
        let answered = self.stores[number].compare(&asker, group, version, from, held, self.now)?;
        if !self.call_succeeds(store, number) {
            return None;
        }
        self.stores[store].compared(peer, &answered, self.now);
        if self.stores[store].filling(peer) {
            self.fetch_missing(store, number, peer)?;
        }
        let tolerance = self.tolerance.clone();
        self.stores[store].end_round(peer, &tolerance);
        Some(())
    }

    fn fetch_missing(&mut self, store: usize, number: usize, peer: &Text) -> Option<()> {
        let missing = self.stores[store].missing_of(peer);
        if !missing.is_empty() {
            if !self.call_succeeds(store, number) {
                return None;
            }
            let readable = || !self.chance(self.plan.lost);
            let records = self.stores[number].records(&missing, readable);
            self.stores[store].take(records, self.now);
            self.stores[store].missing_of(peer);
        }
        Some(())
    }

    // Fronts.

    fn request(&mut self) {
        let front = self.draw(0, FRONTS as u64 - 1) as usize;
        let program = Text::from(format!("program-{}", self.draw(0, u64::from(PROGRAMS) - 1)));
        let stores = self.fronts[front].stores.clone();
        let hash = stageyoke_store::keys::TurnKey::of(&program).0;
        let group = stores.group_of_hash(hash).expect("formed");
        let members = Rc::new(stores.group(group).expect("a group").clone());
        let turn = Text::from(format!("turn-{}", self.calls.len()));
        let work = match self.draw(0, 9) {
            0..=3 => self.append(&members, reservation(&program, &turn), true),
            4..=6 => self.append(&members, finished(&program, &turn), false),
            _ => self.question(&members, group),
        };
        if let Some(work) = work {
            self.call(&members, group, work);
        }
    }

    /// A front sends its call to the members; the call's number.
    fn call(&mut self, members: &Members, group: GroupNumber, work: Work) -> usize {
        let within = match work {
            Work::Append { .. } => APPEND_WITHIN,
            Work::Chain { .. } => CHAIN_WITHIN,
        };
        let number = self.calls.len();
        self.calls.push(Call {
            group,
            members_version: members.version,
            began: self.now,
            work: Some(work),
        });
        for member in listed(members) {
            if let Some(store) = self.number_of(&member.node) {
                self.send(Event::Arrive(number, store));
            }
        }
        self.after(within, Event::GiveUp(number));
        number
    }

    /// A front that hears of new groups asks each of them for everything.
    fn probe(&mut self) {
        let now = self.now;
        let hears = |front: &usize| self.fronts[*front].deaf_until <= now;
        let hearing: Vec<usize> = (0..FRONTS).filter(hears).collect();
        if hearing.is_empty() {
            return;
        }
        let front = self.draw(0, hearing.len() as u64 - 1) as usize;
        let stores = self.fronts[hearing[front]].stores.clone();
        for (group, members) in stores.numbered() {
            let members = Rc::new(members.clone());
            for ask in ASKS {
                self.probe_group(&stores, group, &members, ask);
            }
        }
    }

    fn probe_group(
        &mut self,
        stores: &StoreGroups,
        group: GroupNumber,
        members: &Rc<Members>,
        ask: Ask,
    ) {
        let program = program_of(stores, group);
        let turn = Text::from(format!("turn-{}", self.calls.len()));
        let work = match ask {
            Ask::Append => self.append(members, finished(&program, &turn), false),
            Ask::Reservation => self.append(members, reservation(&program, &turn), true),
            Ask::KeptTurn => self.question(members, group),
            Ask::UnknownTurn => self.question_for(members, turn),
        };
        let Some(work) = work else {
            return;
        };
        let call = self.call(members, group, work);
        self.service.ask(call, group, ask, self.now);
    }

    fn append(
        &mut self,
        members: &Rc<Members>,
        record: Record,
        reads_ledger: bool,
    ) -> Option<Work> {
        self.outcome.asked += 1;
        let counted = match self.flaw {
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
        let reads_ledger = reads_ledger && self.flaw != Flaw::IncompleteLedgersCount;
        let tally = AppendTally::new(&counted, &tolerance, reads_ledger).ok()?;
        Some(Work::Append { record, tally })
    }

    /// Asks for a kept turn of this group, or for one that never was.
    fn question(&mut self, members: &Rc<Members>, group: GroupNumber) -> Option<Work> {
        let stores = self.registry.clone();
        // The newest ones are those that few disks hold yet.
        let newest = self.turns.iter().rev().filter(|kept| {
            let hash = stageyoke_store::keys::TurnKey::of(&kept.program).0;
            stores.group_of_hash(hash) == Some(group)
        });
        let own: Vec<&Kept> = newest.take(12).collect();
        let turn = match own.len() {
            0 => Text::from("never"),
            count => {
                let back = self.draw(1, count as u64) as usize;
                own[back - 1].turn.clone()
            }
        };
        self.question_for(members, turn)
    }

    fn question_for(&self, members: &Rc<Members>, turn: Text) -> Option<Work> {
        let members = match self.flaw {
            Flaw::OldMembersIgnored => Rc::new(members.settle_change()),
            _ => members.clone(),
        };
        let tally = ChainTally::new(&members, &self.tolerance)?;
        Some(Work::Chain { turn, tally })
    }

    fn arrive(&mut self, call: usize, store: usize) {
        if !self.stores[store].acts(self.now) {
            let frozen_until = self.stores[store].frozen_until;
            if self.stores[store].running && frozen_until > self.now {
                self.at(frozen_until + 1, Event::Arrive(call, store));
            }
            return;
        }
        let accept_stale = self.flaw == Flaw::StaleListsAccepted;
        let (group, version) = (self.calls[call].group, self.calls[call].members_version);
        let version = match accept_stale {
            true => u64::MAX / 2,
            false => version,
        };
        if self.flaw == Flaw::RestsAfterWipe && self.wiped_groups.contains(&group) {
            return;
        }
        let node = self.stores[store].entry.node.clone();
        match &self.calls[call].work {
            Some(Work::Append { record, .. }) => {
                let record = record.clone();
                match self.stores[store].append(group, version, &record, self.now) {
                    Some(refusal) => self.send(Event::Answer(call, node, refusal)),
                    None => {
                        let delay = self.draw(1, 25);
                        self.after(delay, Event::Synced(call, store));
                    }
                }
            }
            Some(Work::Chain { turn, .. }) => {
                let mut reply = self.stores[store].chain(group, version, turn);
                let unsure = self.flaw == Flaw::UnsureAfterWipe;
                if let Reply::Chain { complete, .. } = &mut reply {
                    *complete &= !(unsure && self.wiped_groups.contains(&group));
                }
                self.send(Event::Answer(call, node, reply));
            }
            None => {}
        }
    }

    fn synced(&mut self, call: usize, store: usize) {
        if !self.stores[store].acts(self.now) {
            return;
        }
        let Some(Work::Append { record, .. }) = &self.calls[call].work else {
            return;
        };
        let record = record.clone();
        if self.stores[store].synced(&record, self.now) {
            let node = self.stores[store].entry.node.clone();
            let reply = self.stores[store].kept(self.calls[call].group, &record);
            self.send(Event::Answer(call, node, reply));
        }
    }

    fn answer(&mut self, call: usize, node: &Text, reply: Reply) {
        match self.calls[call].work.take() {
            Some(Work::Append { record, mut tally }) => {
                tally.add_reply(node, reply);
                match tally.is_stored() {
                    true => self.kept(call, &record, tally),
                    false => self.calls[call].work = Some(Work::Append { record, tally }),
                }
            }
            Some(Work::Chain { turn, mut tally }) => {
                tally.add_reply(node, reply);
                match tally.step() {
                    ChainLookup::Parts { .. } => self.service.serve(call),
                    ChainLookup::Absent => {
                        self.service.serve(call);
                        self.absent(call, &turn);
                    }
                    ChainLookup::Unknown => {
                        self.calls[call].work = Some(Work::Chain { turn, tally })
                    }
                }
            }
            None => {}
        }
    }

    // Checkers.

    fn kept(&mut self, call: usize, record: &Record, tally: AppendTally) {
        self.outcome.kept += 1;
        self.service.serve(call);
        if let Some(down) = self.wipe_after_next.take() {
            self.wipe_holders(record, down);
        }
        let ledger = tally.outcome().expect("kept");
        let at = self.now;
        match record {
            Record::Reserve {
                program,
                turn,
                max_tokens: most,
            } => {
                let began = self.calls[call].began;
                let before = |kept: &&Kept| kept.at < began && kept.program == *program;
                let due: u64 = self
                    .reservations
                    .iter()
                    .filter(before)
                    .map(|kept| u64::from(kept.amount))
                    .sum();
                let seen = ledger.total_excluding(turn);
                if seen < due {
                    let breach = format!("{at}: {turn} of {program} sees {seen} of {due} reserved");
                    self.outcome.breaches.push(breach);
                }
                self.reservations.push(Kept {
                    at,
                    program: program.clone(),
                    turn: turn.clone(),
                    amount: *most,
                });
            }
            Record::Turn(record) => self.turns.push(Kept {
                at,
                program: record.program.clone(),
                turn: record.turn.clone(),
                amount: record.used_tokens,
            }),
            _ => {}
        }
    }

    /// Disks that hold what was just kept are lost, as many as may be, and
    /// what was kept is asked for until after they are back.
    fn wipe_holders(&mut self, record: &Record, down: u64) {
        let holders: Vec<usize> = (0..self.stores.len())
            .filter(|store| self.stores[*store].on_disk(record))
            .collect();
        for store in holders {
            self.wipe(store, down);
        }
    }

    fn absent(&mut self, call: usize, turn: &Text) {
        let began = self.calls[call].began;
        let kept = self.turns.iter().find(|kept| kept.turn == *turn);
        if let Some(kept) = kept.filter(|kept| kept.at < began) {
            let breach = format!(
                "{}: {turn}, kept at {}, was told as absent by version {}",
                self.now, kept.at, self.calls[call].members_version
            );
            self.outcome.breaches.push(breach);
        }
    }

    /// In calm times each group serves something of each kind.
    fn judge_service(&mut self) {
        let answered = self.now.saturating_sub(APPEND_WITHIN);
        let begin = answered.saturating_sub(CALM_WINDOW);
        let Some(losses) = &self.losses else {
            return;
        };
        let before = |since: Option<u64>| since.is_some_and(|since| since <= begin);
        let settled = before(losses.settled_since());
        if !before(losses.calm_since()) {
            return;
        }
        let registry = self.registry.clone();
        for (group, members) in registry.numbered() {
            for ask in ASKS {
                if !self.service.rested(group, ask, begin, answered) {
                    continue;
                }
                let told = format!("group {} served no {ask:?}", group.0);
                let standing = self.standing_of(members);
                let when = format!("{begin} to {answered}: {standing}");
                tell_once(&mut self.outcome.interruptions, &told, &when);
                if settled {
                    tell_once(&mut self.outcome.rests, &told, &when);
                }
            }
        }
    }

    /// A group's list in a line: its version, and who is not there or not complete.
    fn standing_of(&self, members: &Members) -> String {
        let listed = listed(members).map(|member| {
            let store = self
                .number_of(&member.node)
                .map(|store| &self.stores[store]);
            let state = match store {
                Some(store) if store.gone => "gone",
                Some(store) if !store.acts(self.now) => "away",
                Some(store) if store.incomplete() => "incomplete",
                Some(store) if store.retiring => "retiring",
                _ => "there",
            };
            format!("{} {state}", member.node)
        });
        let listed: Vec<String> = listed.collect();
        format!("version {} [{}]", members.version, listed.join(", "))
    }

    fn watch_wounded(&mut self) {
        let Some(losses) = &self.losses else {
            return;
        };
        for wounded in &mut self.wounded {
            let counted_from = losses.counted_from(wounded.store);
            wounded.counted_from = counted_from.or(wounded.counted_from);
        }
        let wounded = std::mem::take(&mut self.wounded);
        let (healed, wounded) = wounded.into_iter().partition(|wounded| {
            let members = self.registry.group(wounded.group);
            members.is_some_and(|members| self.bears_next(members))
        });
        self.wounded = wounded;
        let healed: Vec<Wounded> = healed;
        let now = self.now;
        let healed = healed.into_iter().map(|wounded| Healed {
            after_loss: now - wounded.struck_at,
            after_return: wounded.counted_from.map_or(0, |from| now - from),
        });
        self.outcome.healed.extend(healed);
    }

    /// Whether no change of the list is under way and, whichever disk is lost next, it
    /// can still be filled up again.
    fn bears_next(&self, members: &Members) -> bool {
        let complete = |member: &&Member| {
            let store = self.number_of(&member.node);
            let store = store.map(|store| &self.stores[store]);
            store.is_some_and(|store| store.acts(self.now) && !store.incomplete())
        };
        members.is_settled() && vouches(members, &self.tolerance, 1, complete)
    }

    /// Once all faults are over a store that is to leave does, if the rest can
    /// serve without it.
    fn judge_retirements(&mut self) {
        for store in self
            .stores
            .iter()
            .filter(|store| store.retiring && !store.gone)
        {
            let members = store.group().and_then(|group| self.registry.group(group));
            let rest = members.map(|members| members.list_without(&store.entry.node));
            let may_leave = rest.is_some_and(|rest| write_quorum(&rest, &self.tolerance).is_some());
            if may_leave && store.acts(self.now) {
                let breach = format!("{} has not left", store.entry.node);
                self.outcome.breaches.push(breach);
            }
        }
    }

    /// A machine that is lost for good is no member any more, if the rest of its
    /// group could tell: enough complete members, all of them there.
    fn judge_removals(&mut self) {
        for members in self.registry.groups.iter() {
            let store = |member: &Member| self.number_of(&member.node);
            let gone =
                |member: &&Member| store(member).is_some_and(|number| self.stores[number].gone);
            let living = |member: &&Member| {
                store(member).is_some_and(|number| {
                    let store = &self.stores[number];
                    store.acts(self.now) && !store.incomplete()
                })
            };
            let needed = members.write_quorum(&self.tolerance);
            let living = listed(members).filter(living).count();
            let gone = listed(members).filter(gone).count();
            let enough = needed.is_some_and(|needed| living >= needed);
            let all_told = living + gone == listed(members).count();
            if gone > 0 && enough && all_told {
                let breach = format!("{gone} lost machines of {members:?} are still members");
                self.outcome.breaches.push(breach);
            }
        }
    }

    /// At the end each group serves, whatever has struck.
    fn judge_service_at_end(&mut self) {
        let answered = self.now.saturating_sub(APPEND_WITHIN);
        let begin = answered.saturating_sub(CALM_WINDOW);
        let registry = self.registry.clone();
        for (group, members) in registry.numbered() {
            let rested = |ask: &Ask| self.service.rested(group, *ask, begin, answered);
            let rested: Vec<Ask> = ASKS.into_iter().filter(rested).collect();
            if !rested.is_empty() {
                let standing = self.standing_of(members);
                let told = format!("group {} serves no {rested:?} at the end", group.0);
                self.outcome.rests.push(format!("{told}: {standing}"));
            }
        }
    }

    /// At the end every kept turn is on a disk of its group.
    fn judge_end(&mut self) {
        self.judge_retirements();
        self.judge_removals();
        if self.losses.is_some() {
            self.judge_service_at_end();
        }
        let mut nowhere = Vec::new();
        for kept in &self.turns {
            let record = finished(&kept.program, &kept.turn);
            let hash = stageyoke_store::keys::TurnKey::of(&kept.program).0;
            let group = self.registry.group_of_hash(hash);
            let mut members = self.stores.iter().filter(|store| {
                let own = self.registry.group_of_node(&store.entry.node);
                !store.gone && own == group
            });
            if !members.any(|store| store.on_disk(&record)) {
                nowhere.push(kept.turn.as_str());
            }
        }
        if let Some(first) = nowhere.first() {
            let count = nowhere.len();
            let breach =
                format!("{first} is on no disk of its group at the end ({count} such turns)");
            self.outcome.breaches.push(breach);
        }
    }
}

/// Everybody whom a group's list names.
fn listed(members: &Members) -> impl Iterator<Item = &Member> {
    members.all()
}

/// Whether so many members of a list are complete that even with some fewer they
/// meet every quorum, so that a lost disk is filled again.
fn vouches(
    members: &Members,
    tolerance: &Tolerance,
    fewer: usize,
    complete: impl Fn(&&Member) -> bool,
) -> bool {
    let quorum = members.write_quorum(tolerance);
    let complete = members.list.iter().filter(complete).count();
    quorum.is_some_and(|quorum| complete + quorum > members.list.len() + fewer)
}

/// Tells of one thing once.
fn tell_once(told: &mut Vec<String>, what: &str, when: &str) {
    if !told.iter().any(|told| told.starts_with(what)) {
        told.push(format!("{what}, {when}"));
    }
}

fn reservation(program: &Text, turn: &Text) -> Record {
    Record::Reserve {
        program: program.clone(),
        turn: turn.clone(),
        max_tokens: 10,
    }
}

fn finished(program: &Text, turn: &Text) -> Record {
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
