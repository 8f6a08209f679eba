//! One store of a plan: the product's state machines over a disk that can be
//! torn, lost or refuse.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::groups::{group_size, select_group_for_spare};
use stageyoke_directory::{GroupNumber, Member, Members, StoreGroups, Tolerance};
use stageyoke_store::completeness::Completeness;
use stageyoke_store::journal_sync::{DigestPage, JournalSync};
use stageyoke_store::membership::{
    FencedJournalEnd, LocalMember, MembershipStep, PeerHealth, decide, is_caught_up_with_group,
    is_fenced,
};
use stageyoke_store::membership_state::MembershipState;
use stageyoke_store::message::{ChainPart, JournalPosition, Record, RecordDigest, Reply};
use stageyoke_store::segment::RecordLocation;
use stageyoke_store::spare::LOST_MEMBER_TIMEOUT;
use stageyoke_store::state::{ChainLink, StoreState};
use stageyoke_types::{List, Text};

/// A store that compared so lately, and is no member, is about to be one, ms.
const SPARE_NEAR: u64 = 2_000;

/// What is on the disk, and outlives the process.
#[derive(Clone, Debug)]
struct Disk {
    identity: u64,
    records: Vec<Record>,
    completeness: Completeness,
    stores: StoreGroups,
}

/// A record that is not synced yet.
#[derive(Clone, Debug)]
struct Unsynced {
    record: Record,
    at: u64,
}

/// One store.
#[derive(Debug)]
pub struct Store {
    /// Its entry in member lists.
    pub entry: Member,
    /// Whether the process runs.
    pub running: bool,
    /// Until when it does nothing.
    pub frozen_until: u64,
    /// Until when other stores and the service don't reach it.
    pub cut_until: u64,
    /// Until when the key-value service turns it away.
    pub shunned_until: u64,
    /// Until when its disk refuses.
    pub refuses_until: u64,
    /// Whether the operator wants it emptied.
    pub retiring: bool,
    /// How long a member may be silent before it is replaced.
    pub replacement_timeout: Duration,
    /// Whether the retirement is complete: the machine is gone.
    pub gone: bool,
    disk: Disk,
    /// Starts of the process: each counts its journal anew.
    lives: u64,
    unsynced: Vec<Unsynced>,
    state: StoreState,
    standing: MembershipState,
    exchanges: HashMap<Text, JournalSync>,
    held_by: HashMap<Text, JournalPosition>,
    heard_at: HashMap<Text, u64>,
    members_since: u64,
    spare_since: Option<u64>,
    spare_heard_at: Option<u64>,
    shared_end: Option<FencedJournalEnd>,
    target: Option<GroupNumber>,
}

/// Guards of a settled list that are left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeftOut {
    /// That no older list can be used any more.
    pub fence: bool,
    /// That a quorum of the new members holds what the fence held.
    pub holders: bool,
}

/// What the peers' side of an exchange answers.
pub struct Answered {
    digests: List<RecordDigest>,
    next: JournalPosition,
    more: bool,
    complete: bool,
    members_version: u64,
}

impl Store {
    /// A store with an empty disk.
    pub fn new(entry: Member, identity: u64, first_start: bool) -> Self {
        let completeness = match first_start {
            true => Completeness::SinceFormation,
            false => Completeness::Incomplete,
        };
        let disk = Disk {
            identity,
            records: Vec::new(),
            completeness,
            stores: StoreGroups::default(),
        };
        Self {
            running: true,
            frozen_until: 0,
            cut_until: 0,
            shunned_until: 0,
            refuses_until: 0,
            retiring: false,
            replacement_timeout: LOST_MEMBER_TIMEOUT,
            gone: false,
            unsynced: Vec::new(),
            state: StoreState::new(identity),
            standing: MembershipState::new(entry.node.clone(), disk.stores.clone(), completeness),
            exchanges: HashMap::new(),
            held_by: HashMap::new(),
            heard_at: HashMap::new(),
            members_since: 0,
            spare_since: None,
            spare_heard_at: None,
            shared_end: None,
            target: None,
            disk,
            lives: 0,
            entry,
        }
    }

    /// Whether it takes part in anything now.
    pub fn acts(&self, now: u64) -> bool {
        self.running && !self.gone && self.frozen_until <= now
    }

    /// Whether its disk may lack what it acknowledged: it counts as lost.
    pub fn incomplete(&self) -> bool {
        !self.standing.is_complete()
    }

    /// The group that it is a member of.
    pub fn group(&self) -> Option<GroupNumber> {
        self.standing.stores().group_of_node(&self.entry.node)
    }

    /// The process ends; of what was not synced so many records are there.
    pub fn stop(&mut self, surviving: usize) {
        self.running = false;
        let unsynced = std::mem::take(&mut self.unsynced);
        let surviving = unsynced.into_iter().take(surviving);
        let records = surviving.map(|unsynced| unsynced.record);
        self.disk.records.extend(records);
    }

    /// The disk is lost.
    pub fn wipe(&mut self, identity: u64) {
        self.entry.disk = identity;
        self.disk = Disk {
            identity,
            records: Vec::new(),
            completeness: Completeness::Incomplete,
            stores: StoreGroups::default(),
        };
    }

    /// The process starts on what its disk holds.
    pub fn start(&mut self, now: u64) {
        self.running = true;
        self.lives += 1;
        self.state = StoreState::new(self.disk.identity ^ self.lives.rotate_right(8));
        for record in &self.disk.records {
            if !self.state.holds(record.digest()) {
                self.state.add(record, RecordLocation::default(), 0);
            }
        }
        let node = self.entry.node.clone();
        let disk = &self.disk;
        self.standing = MembershipState::new(node, disk.stores.clone(), disk.completeness);
        self.exchanges.clear();
        self.held_by.clear();
        self.heard_at.clear();
        self.members_since = now;
        self.spare_since = None;
        self.shared_end = None;
        self.target = None;
    }

    /// A front's append arrives. A refusal is answered at once; else it is
    /// answered by `synced`.
    pub fn append(
        &mut self,
        group: GroupNumber,
        members_version: u64,
        record: &Record,
        now: u64,
    ) -> Option<Reply> {
        let refusal = self.standing.refusal(group, members_version);
        if refusal.is_none() {
            self.write(record.clone(), now);
        }
        refusal
    }

    fn write(&mut self, record: Record, now: u64) {
        let digest = record.digest();
        let waits = |unsynced: &Unsynced| unsynced.record.digest() == digest;
        if !self.state.holds(digest) && !self.unsynced.iter().any(waits) {
            self.unsynced.push(Unsynced { record, at: now });
        }
    }

    /// The disk syncs what was written by then; true if this record is on it.
    pub fn synced(&mut self, record: &Record, now: u64) -> bool {
        if self.refuses_until > now {
            self.unsynced.clear();
            return self.state.holds(record.digest());
        }
        let (synced, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unsynced)
            .into_iter()
            .partition(|unsynced| unsynced.at <= now);
        self.unsynced = waiting;
        for unsynced in synced {
            self.state
                .add(&unsynced.record, RecordLocation::default(), 0);
            self.disk.records.push(unsynced.record);
        }
        self.state.holds(record.digest())
    }

    /// The answer to an append that is on the disk.
    pub fn kept(&self, group: GroupNumber, record: &Record) -> Reply {
        let ledger = match record {
            Record::Reserve { program, .. } => self.state.ledger_entries(program),
            _ => List::default(),
        };
        Reply::Stored {
            complete: self.standing.is_complete_for(group),
            ledger,
            other_fronts: Default::default(),
            directory: Default::default(),
        }
    }

    /// The answer to a question for a chain: the record itself, from the disk.
    pub fn chain(&self, group: GroupNumber, members_version: u64, turn: &Text) -> Reply {
        let steps = self.state.chain(turn);
        let parts: Vec<ChainPart> = steps
            .into_iter()
            .filter_map(|step| match step {
                ChainLink::Cached(part) => Some(part),
                ChainLink::OnDisk(_) => None,
            })
            .collect();
        let missing = parts.last().map_or(turn, |last| &last.previous).clone();
        Reply::Chain {
            complete: self.standing.is_authoritative_for(group, members_version),
            parts: List(parts),
            missing,
        }
    }

    /// The service told of these groups.
    pub fn follow(&mut self, stores: &Rc<StoreGroups>, now: u64) {
        let before = self.standing.members();
        if self.standing.update_stores(stores.clone()) {
            self.disk.stores = (**stores).clone();
        }
        let mark = self.standing.resolve_completeness();
        self.mark(mark);
        self.follow_members(&before, now);
    }

    fn mark(&mut self, mark: Option<Completeness>) {
        if let Some(mark) = mark {
            self.disk.completeness = mark;
        }
    }

    fn follow_members(&mut self, before: &Members, now: u64) {
        let members = self.standing.members();
        if members == *before {
            return;
        }
        self.members_since = now;
        let member = |node: &Text| members.get(node).is_some();
        self.held_by.retain(|node, _| member(node));
        self.exchanges.retain(|node, _| member(node));
        self.heard_at.retain(|node, _| member(node));
    }

    /// A spare looks for a group, by which members it reaches.
    pub fn choose_group(
        &mut self,
        now: u64,
        tolerance: &Tolerance,
        lives: impl Fn(&Member) -> bool,
    ) {
        let stores = self.standing.stores();
        if !stores.is_formed() || self.group().is_some() {
            self.target = None;
            self.spare_since = None;
            return;
        }
        self.spare_since = self.spare_since.or(Some(now));
        self.shared_end = None;
        let members: Vec<Member> = stores.members().cloned().collect();
        let size = group_size(tolerance, &members);
        let node = self.entry.node.clone();
        self.target = size.and_then(|size| select_group_for_spare(&stores, size, &node, lives));
        let before = self.standing.members();
        self.standing.backfill_for(self.target);
        self.follow_members(&before, now);
    }

    /// Declares the disk complete where a guard is missing.
    pub fn vouch_early(&mut self) {
        let mark = self.standing.declare_complete();
        self.mark(mark);
    }

    /// Peers to compare with.
    pub fn peers(&self) -> Vec<Text> {
        let members = self.standing.members();
        let others = members.all();
        let others = others.filter(|member| member.node != self.entry.node);
        others.map(|member| member.node.clone()).collect()
    }

    /// Digests that this peer was seen to hold and are missing here.
    pub fn missing_of(&mut self, peer: &Text) -> Vec<RecordDigest> {
        let state = &self.state;
        let exchange = self.exchanges.entry(peer.clone()).or_default();
        exchange.missing_digests(|digest| state.holds(digest))
    }

    /// Records by their digests; `deliver` says which can be read.
    pub fn records(&self, digests: &[RecordDigest], deliver: impl Fn() -> bool) -> Vec<Record> {
        let wanted = |record: &&Record| digests.contains(&record.digest());
        let records = self.disk.records.iter().filter(wanted);
        records.filter(|_| deliver()).cloned().collect()
    }

    /// Takes records from a peer, and syncs them.
    pub fn take(&mut self, records: Vec<Record>, now: u64) {
        for record in records {
            self.write(record.clone(), now);
            self.synced(&record, now);
        }
    }

    /// Before a comparison with a peer: where it goes on, and up to where all is
    /// held.
    pub fn question(&mut self, peer: &Text) -> (JournalPosition, JournalPosition) {
        let exchange = self.exchanges.entry(peer.clone()).or_default();
        exchange.mark_fetched();
        (exchange.position(), exchange.held_position())
    }

    /// Answers a comparison that another store asks as this group's.
    pub fn compare(
        &mut self,
        asker: &Text,
        group: GroupNumber,
        members_version: u64,
        from: JournalPosition,
        held: JournalPosition,
        now: u64,
    ) -> Option<Answered> {
        self.held_by.insert(asker.clone(), held);
        if self.standing.members().get(asker).is_none() {
            self.spare_heard_at = Some(now);
        }
        let standing = self.standing.peer_status(group, members_version);
        let reply = self.state.digests_reply(from, standing, Default::default());
        let Reply::Digests {
            next,
            more,
            complete,
            members_version,
            digests,
            ..
        } = reply
        else {
            return None;
        };
        Some(Answered {
            digests,
            next,
            more,
            complete,
            members_version,
        })
    }

    /// The group as whose member others are asked, by this version of its list.
    pub fn asks_as(&self) -> Option<(GroupNumber, u64)> {
        let group = self.standing.group()?;
        Some((group, self.standing.members().version))
    }

    /// Whether another goes by a newer list of its group.
    pub fn is_behind(&self, group: GroupNumber, members_version: u64) -> bool {
        self.standing.is_lagging(group, members_version)
    }

    /// Takes a peer's digests.
    pub fn compared(&mut self, peer: &Text, answered: &Answered, now: u64) {
        self.heard_at.insert(peer.clone(), now);
        let state = &self.state;
        let page = DigestPage {
            digests: &answered.digests,
            next: answered.next,
            more: answered.more,
            complete: answered.complete,
            members_version: answered.members_version,
        };
        let exchange = self.exchanges.entry(peer.clone()).or_default();
        exchange.apply_page(page, |digest| state.holds(digest));
    }

    /// Whether it compares again at once: it is incomplete, no member, or its list changes.
    pub fn in_haste(&self) -> bool {
        let members = self.standing.members();
        let is_member = members.get(&self.entry.node).is_some();
        !is_member || !self.standing.is_complete() || !members.is_settled()
    }

    /// Whether it fetches at once what it lacks of this peer.
    pub fn filling(&self, peer: &Text) -> bool {
        let caught_up = self
            .exchanges
            .get(peer)
            .is_some_and(JournalSync::is_caught_up);
        !self.standing.is_complete() || !caught_up
    }

    /// The end of a round with a peer.
    pub fn end_round(&mut self, peer: &Text, tolerance: &Tolerance) {
        self.missing_of(peer);
        if let Some(exchange) = self.exchanges.get_mut(peer) {
            exchange.mark_page_end();
        }
        let listed = self.standing.members();
        let listed = listed.get(&self.entry.node);
        let names_disk = listed.is_none_or(|own| own.disk == self.entry.disk);
        let waits = !self.standing.is_complete() && names_disk;
        if waits && self.is_caught_up_with_group(tolerance) {
            let mark = self.standing.declare_complete();
            self.mark(mark);
        }
    }

    fn is_caught_up_with_group(&self, tolerance: &Tolerance) -> bool {
        let members = self.standing.members();
        let caught_up = |node: &str| {
            let exchange = self.exchanges.get(node);
            exchange.is_some_and(|exchange| exchange.is_caught_up_at(members.version))
        };
        is_caught_up_with_group(&members, tolerance, caught_up)
    }

    fn silent_for(&self, node: &str, now: u64) -> Duration {
        let heard_at = self.heard_at.get(node).copied();
        Duration::from_millis(now - heard_at.unwrap_or(self.members_since).min(now))
    }

    /// The next step in the member list; guards may be left out.
    pub fn step(
        &mut self,
        now: u64,
        tolerance: &Tolerance,
        left_out: LeftOut,
    ) -> (Option<GroupNumber>, MembershipStep) {
        let members = self.standing.members();
        let others = members.all();
        let others: Vec<&Member> = others
            .filter(|member| member.node != self.entry.node)
            .collect();
        let fenced = left_out.fence || self.fenced(&members, tolerance);
        let end = self.state.journal_end();
        let shared_end = FencedJournalEnd::for_members(&members, self.shared_end, fenced, end);
        self.shared_end = shared_end;
        let held_by = |node: &Text| self.held_by.get(node).copied().unwrap_or_default();
        let peers: Vec<PeerHealth> = others
            .iter()
            .map(|member| PeerHealth {
                node: member.node.clone(),
                silent_for: self.silent_for(&member.node, now),
                caught_up: left_out.holders
                    || shared_end.is_some_and(|end| end.is_covered_by(held_by(&member.node))),
            })
            .collect();
        let oneself = LocalMember {
            entry: self.entry.clone(),
            complete: self.standing.is_complete(),
            caught_up: self.is_caught_up_with_group(tolerance),
            retiring: self.retiring,
            surplus: self.surplus(&members, now, tolerance),
            has_room: self.room(&members, now, tolerance),
            successor_pending: self.spare_heard_at.is_some_and(|at| at + SPARE_NEAR > now),
            fenced,
            member_list_age: Duration::from_millis(now - self.members_since),
            replacement_timeout: self.replacement_timeout,
        };
        let step = decide(&members, &oneself, &peers, tolerance);
        (self.standing.group(), step)
    }

    fn fenced(&self, members: &Members, tolerance: &Tolerance) -> bool {
        is_fenced(members, tolerance, |member| {
            let exchange = self.exchanges.get(&member.node);
            match member.node == self.entry.node {
                true => self.standing.is_complete(),
                false => exchange.is_some_and(|exchange| exchange.is_in_sync(members.version)),
            }
        })
    }

    fn room(&self, members: &Members, now: u64, tolerance: &Tolerance) -> bool {
        let stores = self.standing.stores();
        let asked_for = self.spare_since.map_or(0, |since| now - since);
        let has_asked = Duration::from_millis(asked_for) >= LOST_MEMBER_TIMEOUT;
        let all: Vec<Member> = stores.members().cloned().collect();
        let size = group_size(tolerance, &all);
        let smaller = size.is_some_and(|size| members.list.len() < size);
        has_asked && (stores.groups.len() == 1 || smaller)
    }

    fn surplus(&self, members: &Members, now: u64, tolerance: &Tolerance) -> bool {
        let stores = self.standing.stores();
        let all: Vec<Member> = stores.members().cloned().collect();
        let newest = members.list.last();
        let is_newest = newest.is_some_and(|member| member.node == self.entry.node);
        let size = group_size(tolerance, &all);
        let larger = size.is_some_and(|size| members.list.len() > size);
        let others = members
            .list
            .iter()
            .filter(|member| member.node != self.entry.node);
        let mut silent = others.map(|member| self.silent_for(&member.node, now));
        let all_there = silent.all(|silent| silent < LOST_MEMBER_TIMEOUT);
        stores.groups.len() > 1 && is_newest && larger && all_there
    }

    /// Whether a record is on its disk.
    pub fn on_disk(&self, record: &Record) -> bool {
        let digest = record.digest();
        self.disk.records.iter().any(|held| held.digest() == digest)
    }

    /// The groups as it knows them.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.standing.stores()
    }
}
