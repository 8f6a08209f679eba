//! A simulated store: the production state machines over a disk that can lose unsynced
//! writes, be wiped or reject writes.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::groups::{group_size, select_group_for_spare};
use stageyoke_directory::{GroupNumber, Member, Members, StoreGroups, Tolerance};
use stageyoke_store::completeness::Completeness;
use stageyoke_store::journal_sync::{DigestPage, JournalSync};
use stageyoke_store::keys::TurnKey;
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

/// How long after its last sync request a spare counts as about to join.
const PENDING_SPARE_MILLIS: u64 = 2_000;

/// What is on the disk and survives a restart.
#[derive(Clone, Debug)]
struct Disk {
    identity: u64,
    records: Vec<Record>,
    completeness: Completeness,
    stores: StoreGroups,
}

/// A record that has been written but not synced.
#[derive(Clone, Debug)]
struct Unsynced {
    record: Record,
    written_at: u64,
}

/// A store process and its disk.
#[derive(Debug)]
pub struct SimulatedStore {
    /// The store's entry in member lists.
    pub entry: Member,
    /// Whether the process is running.
    pub running: bool,
    /// When the process resumes after a freeze.
    pub frozen_until: u64,
    /// When other stores and the key-value service reach the store again.
    pub isolated_until: u64,
    /// When the key-value service accepts the store again.
    pub service_rejects_until: u64,
    /// When the disk accepts writes again.
    pub disk_fails_until: u64,
    /// Whether the operator is retiring the store.
    pub retiring: bool,
    /// How long a member may be silent before it is replaced.
    pub replacement_timeout: Duration,
    /// Whether the machine is gone, lost or retired.
    pub gone: bool,
    disk: Disk,
    /// Number of process starts; each numbers its journal from zero.
    starts: u64,
    unsynced: Vec<Unsynced>,
    state: StoreState,
    membership: MembershipState,
    syncs: HashMap<Text, JournalSync>,
    held_by: HashMap<Text, JournalPosition>,
    last_reply_at: HashMap<Text, u64>,
    members_since: u64,
    spare_since: Option<u64>,
    spare_last_seen_at: Option<u64>,
    fenced_end: Option<FencedJournalEnd>,
    target_group: Option<GroupNumber>,
}

/// Checks before settling a change that are disabled.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledChecks {
    /// No older member list may still be in use.
    pub fence: bool,
    /// A quorum of the new members holds all that the fenced members held.
    pub holders: bool,
}

/// A peer's answer to a request for digests.
pub struct DigestsAnswer {
    digests: List<RecordDigest>,
    next: JournalPosition,
    more: bool,
    complete: bool,
    members_version: u64,
}

impl SimulatedStore {
    /// Creates a running store with an empty disk.
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
            isolated_until: 0,
            service_rejects_until: 0,
            disk_fails_until: 0,
            retiring: false,
            replacement_timeout: LOST_MEMBER_TIMEOUT,
            gone: false,
            unsynced: Vec::new(),
            state: StoreState::new(identity),
            membership: MembershipState::new(entry.node.clone(), disk.stores.clone(), completeness),
            syncs: HashMap::new(),
            held_by: HashMap::new(),
            last_reply_at: HashMap::new(),
            members_since: 0,
            spare_since: None,
            spare_last_seen_at: None,
            fenced_end: None,
            target_group: None,
            disk,
            starts: 0,
            entry,
        }
    }

    /// Whether the process runs and is not frozen.
    pub fn is_active(&self, now: u64) -> bool {
        self.running && !self.gone && self.frozen_until <= now
    }

    /// Whether the disk may lack acknowledged records, so that it counts as lost.
    pub fn is_incomplete(&self) -> bool {
        !self.membership.is_complete()
    }

    /// The group of which the store is a member.
    pub fn group(&self) -> Option<GroupNumber> {
        self.membership.stores().group_of_node(&self.entry.node)
    }

    /// Stops the process; only the first `surviving` unsynced records stay on the disk.
    pub fn stop(&mut self, surviving: usize) {
        self.running = false;
        let unsynced = std::mem::take(&mut self.unsynced);
        let surviving = unsynced.into_iter().take(surviving);
        let records = surviving.map(|unsynced| unsynced.record);
        self.disk.records.extend(records);
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&mut self, identity: u64) {
        self.entry.disk = identity;
        self.disk = Disk {
            identity,
            records: Vec::new(),
            completeness: Completeness::Incomplete,
            stores: StoreGroups::default(),
        };
    }

    /// Starts the process from what is on the disk.
    pub fn start(&mut self, now: u64) {
        self.running = true;
        self.starts += 1;
        self.state = StoreState::new(self.disk.identity ^ self.starts.rotate_right(8));
        for record in &self.disk.records {
            if !self.state.holds(record.digest()) {
                self.state
                    .add(&record.clone().into(), RecordLocation::default(), 0);
            }
        }
        self.state.forget_entry_order();
        let node = self.entry.node.clone();
        let disk = &self.disk;
        self.membership = MembershipState::new(node, disk.stores.clone(), disk.completeness);
        self.syncs.clear();
        self.held_by.clear();
        self.last_reply_at.clear();
        self.members_since = now;
        self.spare_since = None;
        self.fenced_end = None;
        self.target_group = None;
    }

    /// Handles a front's append: returns a refusal, or writes the record, which is
    /// acknowledged once `sync` reports it on the disk.
    pub fn append(
        &mut self,
        group: GroupNumber,
        members_version: u64,
        record: &Record,
        now: u64,
    ) -> Option<Reply> {
        let refusal = self.membership.refusal(group, members_version);
        if refusal.is_none() {
            self.write(record.clone(), now);
        }
        refusal
    }

    fn write(&mut self, record: Record, now: u64) {
        let digest = record.digest();
        let is_written = |unsynced: &Unsynced| unsynced.record.digest() == digest;
        if !self.state.holds(digest) && !self.unsynced.iter().any(is_written) {
            self.unsynced.push(Unsynced {
                record,
                written_at: now,
            });
        }
    }

    /// Syncs what was written by `now`; returns whether this record is on the disk.
    pub fn sync(&mut self, record: &Record, now: u64) -> bool {
        if self.disk_fails_until > now {
            self.unsynced.clear();
            return self.state.holds(record.digest());
        }
        let (synced, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unsynced)
            .into_iter()
            .partition(|unsynced| unsynced.written_at <= now);
        self.unsynced = waiting;
        for unsynced in synced {
            self.state.add(
                &unsynced.record.clone().into(),
                RecordLocation::default(),
                0,
            );
            self.disk.records.push(unsynced.record);
        }
        self.state.holds(record.digest())
    }

    /// The reply to an append whose record is on the disk.
    pub fn append_reply(&self, group: GroupNumber, record: &Record) -> Reply {
        let ledger = match record {
            Record::Reserve { program, .. } => self.state.ledger_entries(program),
            _ => List::default(),
        };
        Reply::Stored {
            complete: self.membership.is_complete_for(group),
            ledger,
            other_fronts: Default::default(),
            directory: Default::default(),
        }
    }

    /// How many entries of the ledger in the reply to an append came after it.
    pub fn later_entries(
        &self,
        group: GroupNumber,
        members_version: u64,
        record: &Record,
    ) -> usize {
        match record {
            Record::Reserve { program, turn, .. }
                if self.membership.version_of(group) == members_version =>
            {
                self.state.later_ledger_entries(program, TurnKey::of(turn))
            }
            _ => 0,
        }
    }

    /// The reply to a request for a turn's chain.
    pub fn chain(&self, group: GroupNumber, members_version: u64, turn: &Text) -> Reply {
        let steps = self.state.chain(turn, usize::MAX);
        let parts: Vec<ChainPart> = steps
            .into_iter()
            .filter_map(|step| match step {
                ChainLink::Cached(part) => Some(part),
                ChainLink::OnDisk(_) => None,
            })
            .collect();
        let missing = parts.last().map_or(turn, |last| &last.previous).clone();
        Reply::Chain {
            complete: self.membership.is_authoritative_for(group, members_version),
            parts: List(parts),
            missing,
        }
    }

    /// Applies the groups that the service or a peer reported.
    pub fn apply_stores(&mut self, stores: &Rc<StoreGroups>, now: u64) {
        let before = self.membership.members();
        if self.membership.update_stores(stores.clone()) {
            self.disk.stores = (**stores).clone();
        }
        let completeness = self.membership.resolve_completeness();
        self.store_completeness(completeness);
        self.apply_members_change(&before, now);
    }

    fn store_completeness(&mut self, completeness: Option<Completeness>) {
        if let Some(completeness) = completeness {
            self.disk.completeness = completeness;
        }
    }

    fn apply_members_change(&mut self, before: &Members, now: u64) {
        let members = self.membership.members();
        if members == *before {
            return;
        }
        self.members_since = now;
        self.state.forget_entry_order();
        let is_member = |node: &Text| members.get(node).is_some();
        self.held_by.retain(|node, _| is_member(node));
        self.syncs.retain(|node, _| is_member(node));
        self.last_reply_at.retain(|node, _| is_member(node));
    }

    /// Selects the group that a spare backfills, by which members it reaches.
    pub fn choose_group(
        &mut self,
        now: u64,
        tolerance: &Tolerance,
        is_reachable: impl Fn(&Member) -> bool,
    ) {
        let stores = self.membership.stores();
        if !stores.is_formed() || self.group().is_some() {
            self.target_group = None;
            self.spare_since = None;
            return;
        }
        self.spare_since = self.spare_since.or(Some(now));
        self.fenced_end = None;
        let members: Vec<Member> = stores.members().cloned().collect();
        let size = group_size(tolerance, &members);
        let node = self.entry.node.clone();
        self.target_group =
            size.and_then(|size| select_group_for_spare(&stores, size, &node, is_reachable));
        let before = self.membership.members();
        self.membership.backfill_for(self.target_group);
        self.apply_members_change(&before, now);
    }

    /// Declares the disk complete without the check that it has caught up.
    pub fn declare_complete_early(&mut self) {
        let completeness = self.membership.declare_complete();
        self.store_completeness(completeness);
    }

    /// The other members of the group, as peers to sync with.
    pub fn peers(&self) -> Vec<Text> {
        let members = self.membership.members();
        let peers = members.all();
        let peers = peers.filter(|member| member.node != self.entry.node);
        peers.map(|member| member.node.clone()).collect()
    }

    /// Digests that the peer reported and the local store lacks.
    pub fn missing_from(&mut self, peer: &Text) -> Vec<RecordDigest> {
        let state = &self.state;
        let sync = self.syncs.entry(peer.clone()).or_default();
        sync.missing_digests(|digest| state.holds(digest))
    }

    /// Reads records by their digests, leaving out those for which `deliver` fails.
    pub fn records(&self, digests: &[RecordDigest], deliver: impl Fn() -> bool) -> Vec<Record> {
        let is_wanted = |record: &&Record| digests.contains(&record.digest());
        let records = self.disk.records.iter().filter(is_wanted);
        records.filter(|_| deliver()).cloned().collect()
    }

    /// Writes and syncs records fetched from a peer.
    pub fn apply_fetched(&mut self, records: Vec<Record>, now: u64) {
        for record in records {
            self.write(record.clone(), now);
            self.sync(&record, now);
        }
    }

    /// Starts a page with a peer: returns the position to request digests from, and the
    /// position up to which everything is held.
    pub fn start_page(&mut self, peer: &Text) -> (JournalPosition, JournalPosition) {
        let sync = self.syncs.entry(peer.clone()).or_default();
        sync.mark_fetched();
        (sync.position(), sync.held_position())
    }

    /// Answers a request for digests from another store of this group.
    pub fn answer_digests(
        &mut self,
        requester: &Text,
        group: GroupNumber,
        members_version: u64,
        from: JournalPosition,
        held: JournalPosition,
        now: u64,
    ) -> Option<DigestsAnswer> {
        self.held_by.insert(requester.clone(), held);
        if self.membership.members().get(requester).is_none() {
            self.spare_last_seen_at = Some(now);
        }
        let status = self.membership.peer_status(group, members_version);
        let reply = self.state.digests_reply(from, status, Default::default());
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
        Some(DigestsAnswer {
            digests,
            next,
            more,
            complete,
            members_version,
        })
    }

    /// The group and member list version under which the store queries its peers.
    pub fn group_and_version(&self) -> Option<(GroupNumber, u64)> {
        let group = self.membership.group()?;
        Some((group, self.membership.members().version))
    }

    /// Whether a peer uses a newer member list of the store's group.
    pub fn is_lagging(&self, group: GroupNumber, members_version: u64) -> bool {
        self.membership.is_lagging(group, members_version)
    }

    /// Applies a peer's digests.
    pub fn apply_digests(&mut self, peer: &Text, answer: &DigestsAnswer, now: u64) {
        self.last_reply_at.insert(peer.clone(), now);
        let state = &self.state;
        let page = DigestPage {
            digests: &answer.digests,
            next: answer.next,
            more: answer.more,
            complete: answer.complete,
            members_version: answer.members_version,
        };
        let sync = self.syncs.entry(peer.clone()).or_default();
        sync.apply_page(page, |digest| state.holds(digest));
    }

    /// Whether the store syncs at the shorter interval: it is incomplete, a spare, or in a
    /// membership change.
    pub fn needs_fast_sync(&self) -> bool {
        let members = self.membership.members();
        let is_member = members.get(&self.entry.node).is_some();
        !is_member || !self.membership.is_complete() || !members.is_settled()
    }

    /// Whether the store has yet to catch up with this peer or is incomplete.
    pub fn is_backfilling_from(&self, peer: &Text) -> bool {
        let caught_up = self.syncs.get(peer).is_some_and(JournalSync::is_caught_up);
        !self.membership.is_complete() || !caught_up
    }

    /// Ends a sync round with a peer and declares the disk complete if it has caught up.
    pub fn finish_round(&mut self, peer: &Text, tolerance: &Tolerance) {
        self.missing_from(peer);
        if let Some(sync) = self.syncs.get_mut(peer) {
            sync.mark_page_end();
        }
        let members = self.membership.members();
        let local_entry = members.get(&self.entry.node);
        let lists_current_disk = local_entry.is_none_or(|local| local.disk == self.entry.disk);
        let awaits_completeness = !self.membership.is_complete() && lists_current_disk;
        if awaits_completeness && self.is_caught_up_with_group(tolerance) {
            let completeness = self.membership.declare_complete();
            self.state.forget_entry_order();
            self.store_completeness(completeness);
        }
    }

    fn is_caught_up_with_group(&self, tolerance: &Tolerance) -> bool {
        let members = self.membership.members();
        let caught_up = |node: &str| {
            let sync = self.syncs.get(node);
            sync.is_some_and(|sync| sync.is_caught_up_at(members.version))
        };
        is_caught_up_with_group(&members, tolerance, caught_up)
    }

    fn silent_for(&self, node: &str, now: u64) -> Duration {
        let last_reply_at = self.last_reply_at.get(node).copied();
        Duration::from_millis(now - last_reply_at.unwrap_or(self.members_since).min(now))
    }

    /// The next membership step, with some checks disabled.
    pub fn next_step(
        &mut self,
        now: u64,
        tolerance: &Tolerance,
        disabled: DisabledChecks,
    ) -> (Option<GroupNumber>, MembershipStep) {
        let members = self.membership.members();
        let other_members = members.all();
        let other_members: Vec<&Member> = other_members
            .filter(|member| member.node != self.entry.node)
            .collect();
        let fenced = disabled.fence || self.is_fenced(&members, tolerance);
        let end = self.state.journal_end();
        let fenced_end = FencedJournalEnd::for_members(&members, self.fenced_end, fenced, end);
        self.fenced_end = fenced_end;
        let held_by = |node: &Text| self.held_by.get(node).copied().unwrap_or_default();
        let peers: Vec<PeerHealth> = other_members
            .iter()
            .map(|member| PeerHealth {
                node: member.node.clone(),
                silent_for: self.silent_for(&member.node, now),
                caught_up: disabled.holders
                    || fenced_end.is_some_and(|end| end.is_covered_by(held_by(&member.node))),
            })
            .collect();
        let local_member = LocalMember {
            entry: self.entry.clone(),
            complete: self.membership.is_complete(),
            caught_up: self.is_caught_up_with_group(tolerance),
            retiring: self.retiring,
            surplus: self.is_surplus(&members, now, tolerance),
            has_room: self.has_room(&members, now, tolerance),
            successor_pending: self
                .spare_last_seen_at
                .is_some_and(|at| at + PENDING_SPARE_MILLIS > now),
            fenced,
            member_list_age: Duration::from_millis(now - self.members_since),
            replacement_timeout: self.replacement_timeout,
        };
        let step = decide(&members, &local_member, &peers, tolerance);
        (self.membership.group(), step)
    }

    fn is_fenced(&self, members: &Members, tolerance: &Tolerance) -> bool {
        is_fenced(members, tolerance, |member| {
            let sync = self.syncs.get(&member.node);
            match member.node == self.entry.node {
                true => self.membership.is_complete(),
                false => sync.is_some_and(|sync| sync.is_in_sync(members.version)),
            }
        })
    }

    fn has_room(&self, members: &Members, now: u64, tolerance: &Tolerance) -> bool {
        let stores = self.membership.stores();
        let waited_millis = self.spare_since.map_or(0, |since| now - since);
        let has_waited = Duration::from_millis(waited_millis) >= LOST_MEMBER_TIMEOUT;
        let all: Vec<Member> = stores.members().cloned().collect();
        let size = group_size(tolerance, &all);
        let smaller = size.is_some_and(|size| members.list.len() < size);
        has_waited && (stores.groups.len() == 1 || smaller)
    }

    fn is_surplus(&self, members: &Members, now: u64, tolerance: &Tolerance) -> bool {
        let stores = self.membership.stores();
        let all: Vec<Member> = stores.members().cloned().collect();
        let newest = members.list.last();
        let is_newest = newest.is_some_and(|member| member.node == self.entry.node);
        let size = group_size(tolerance, &all);
        let larger = size.is_some_and(|size| members.list.len() > size);
        let other_members = members
            .list
            .iter()
            .filter(|member| member.node != self.entry.node);
        let mut silences = other_members.map(|member| self.silent_for(&member.node, now));
        let all_respond = silences.all(|silent| silent < LOST_MEMBER_TIMEOUT);
        stores.groups.len() > 1 && is_newest && larger && all_respond
    }

    /// Whether a record is on the disk.
    pub fn has_on_disk(&self, record: &Record) -> bool {
        let digest = record.digest();
        self.disk.records.iter().any(|held| held.digest() == digest)
    }

    /// The groups as last applied.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.membership.stores()
    }
}
