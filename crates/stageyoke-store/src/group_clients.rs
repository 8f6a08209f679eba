//! A front's client of all store groups. Sends each program's records to the members of the
//! program's group only.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Freshness, GroupNumber, Member, RequestHomes, StoreGroups, Tolerance};
use stageyoke_policy::cold_start::PermitDecision;
use stageyoke_policy::quota::AcquireRequest;
use stageyoke_types::Text;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use crate::client::StoreClient;
use crate::cold_permits;
use crate::extension::{PermitRequest, StreamReport};
use crate::group_client::{
    AppendOutcome, ChainOutcome, GroupClient, GroupContext, GroupError, ReservationOptions,
};
use crate::keys::{StreamKey, TurnKey};
use crate::load::LoadTracker;
use crate::message::{ChainPart, Placement, Record, Request};
use crate::quorum::{ChainLookup, LedgerView};
use crate::quota_owners::{self, OwnerDecision, QuotaGrant, QuotaOwners};
use crate::restricted_requests::RestrictedRequests;
use crate::stored_record::StoredRecord;

/// Delay before the other groups are asked for a turn that the program's own group has not
/// found yet: the turn may belong to another program. A few round trips.
const OTHER_GROUPS_DELAY: Duration = Duration::from_millis(60);

/// Time after which an unanswered hint is dropped.
const HINT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to the store groups. Follows the directory of groups.
pub struct GroupClients {
    context: GroupContext,
    stores: RefCell<Rc<StoreGroups>>,
    groups: RefCell<Vec<Rc<GroupClient>>>,
    owners: QuotaOwners,
    /// Start of the period in which records have no group because no groups are known.
    unknown_since: Cell<Option<Instant>>,
}

/// A stream and the identity of its request, which the caller shares over all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct StreamOfRequest<'a> {
    /// Identifier of the attempt that began the stream.
    pub request: &'a str,
    /// Identity of the request.
    pub identity: u128,
}

/// One group's result of a chain lookup.
struct GroupAnswer {
    is_own_group: bool,
    step: ChainLookup,
}

impl GroupClients {
    /// Creates a client without groups, for a front in this zone.
    pub fn new(zone: Text, tolerance: Tolerance) -> Self {
        Self {
            owners: QuotaOwners::with_tolerance(tolerance.clone()),
            context: GroupContext::new(zone, tolerance),
            stores: RefCell::default(),
            groups: RefCell::default(),
            unknown_since: Cell::new(None),
        }
    }

    /// Freshness of the local directory, which the stores' answers confirm.
    pub(crate) fn directory(&self) -> Option<&Rc<Freshness>> {
        self.context.directory.as_ref()
    }

    /// Lets the stores' answers confirm this directory's freshness.
    pub fn with_directory_freshness(self, directory: Rc<Freshness>) -> Self {
        let context = GroupContext {
            directory: Some(directory),
            ..self.context
        };
        Self { context, ..self }
    }

    /// Requests in flight at replicas, over all fronts.
    pub fn load(&self) -> &Rc<LoadTracker> {
        &self.context.load
    }

    /// Store groups in use.
    pub fn stores(&self) -> Rc<StoreGroups> {
        self.stores.borrow().clone()
    }

    /// Replaces the store groups unless the given ones are older.
    pub fn update_stores(&self, stores: &Rc<StoreGroups>) {
        if stores.version < self.stores().version {
            return;
        }
        let mut groups = self.groups.borrow_mut();
        for (number, members) in stores.numbered() {
            if groups.len() <= number.0 as usize {
                groups.push(Rc::new(GroupClient::new(number, self.context.clone())));
            }
            groups[number.0 as usize].update_members(members);
        }
        if !groups.is_empty() {
            self.unknown_since.set(None);
        }
        drop(groups);
        self.owners.update_stores(stores);
        *self.stores.borrow_mut() = stores.clone();
    }

    /// Requests under which replicas have ended, as stores tell them.
    pub fn restricted_requests(&self) -> &Rc<RestrictedRequests> {
        &self.context.restricted_requests
    }

    pub(crate) fn first_group(&self) -> Option<Rc<GroupClient>> {
        self.groups.borrow().first().cloned()
    }

    fn client(&self, node: &Text) -> Option<Rc<StoreClient>> {
        let groups = self.groups.borrow();
        groups.iter().find_map(|group| group.client(node))
    }

    /// Asks a tenant's quota owners to admit one more request; `None` if none of them
    /// answers.
    pub async fn request_quota(&self, question: AcquireRequest) -> Option<OwnerDecision> {
        let client = |node: &Text| self.client(node);
        self.owners.request_decision(question, client).await
    }

    /// Asks for a permit to send one request to a cold replica.
    pub async fn request_permit(&self, request: PermitRequest) -> PermitDecision {
        let owner = {
            let stores = self.stores();
            let owner = cold_permits::owner(&stores, request.replica);
            owner.and_then(|owner| self.client(&owner.node))
        };
        cold_permits::request(owner, request).await
    }

    /// Records which version began a stream. Returns true once a write quorum of the group of the
    /// request's identity knows it, false if none says so in time.
    pub async fn record_stream_version(
        &self,
        stream: StreamOfRequest<'_>,
        version: &Text,
        ttl: Duration,
        time_limit: Duration,
    ) -> bool {
        let Some(group) = self.group_of_identity(stream.identity) else {
            return false;
        };
        let report = StreamReport {
            stream: StreamKey::of(stream.request).0,
            version: version.clone(),
            ttl_milliseconds: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        };
        group
            .record_stream_version(report, stream.identity, time_limit)
            .await
    }

    /// Returns the version that began the stream of a request; `None` if no store says it in time.
    /// A front of the build before has recorded it in the group of the request's identifier.
    pub async fn stream_version(
        &self,
        stream: StreamOfRequest<'_>,
        time_limit: Duration,
    ) -> Option<Text> {
        let key = StreamKey::of(stream.request);
        let group = self.group_of_identity(stream.identity)?;
        let group_of_request = self.group_of_program("", stream.request)?;
        if Rc::ptr_eq(&group, &group_of_request) {
            return group.stream_version(key, time_limit).await;
        }
        let (version, recorded_before) = tokio::join!(
            group.stream_version(key, time_limit),
            group_of_request.stream_version(key, time_limit)
        );
        version.or(recorded_before)
    }

    /// Returns the version that began the streams of a request with this identity, if it is the
    /// same for all of them.
    pub async fn version_of_request(&self, identity: u128, time_limit: Duration) -> Option<Text> {
        let group = self.group_of_identity(identity)?;
        group.stream_version(StreamKey(identity), time_limit).await
    }

    /// Returns the versions of a service that were listed recently, as the stores of one group have
    /// observed; `None` if that is not certain.
    pub async fn service_versions(
        &self,
        service: &Text,
        time_limit: Duration,
    ) -> Option<BTreeSet<Text>> {
        let group = self.first_group()?;
        group.service_versions(service, time_limit).await
    }

    fn group_of_identity(&self, identity: u128) -> Option<Rc<GroupClient>> {
        let GroupNumber(number) = self.stores.borrow().group_of_hash(identity as u64)?;
        self.groups.borrow().get(number as usize).cloned()
    }

    /// Returns whether all stores that hold a program's turns are in regions that the request
    /// may be stored in.
    pub fn stores_within(&self, homes: RequestHomes<'_>, program: &str, turn: &str) -> bool {
        let Some(group) = self.group_of_program(program, turn) else {
            return true;
        };
        let regions = &self.context.tolerance.region_by_zone;
        let members = group.members();
        members.all().all(|member| {
            let zone = member.zone.as_str();
            homes.allow(regions.get(zone).map_or(zone, String::as_str))
        })
    }

    /// Refunds a granted request that was not run.
    pub fn refund(&self, grant: &QuotaGrant) {
        quota_owners::refund(grant, self.client(&grant.owner));
    }

    /// Applies newer store groups that came with a rejection; returns whether there were any.
    fn apply_newer_stores(&self) -> bool {
        let newer = self.context.newer_stores.borrow_mut().take();
        match newer {
            Some(newer) => {
                self.update_stores(&Rc::new(newer));
                true
            }
            None => false,
        }
    }

    /// Returns the addresses of some stores in random order, those of the front's zone first,
    /// since what crosses zones is slower and costs more. The second one is of another zone,
    /// as a fault may affect the whole zone.
    pub fn sample_addresses(&self, max_addresses: usize) -> Vec<Text> {
        let stores = self.stores();
        let mut members: Vec<&Member> = stores.members().collect();
        let is_remote = |member: &Member| !self.is_local(member);
        members.sort_by_cached_key(|member| (is_remote(member), rand::random::<u32>()));
        let nearest_remote = members.iter().position(|member| is_remote(member));
        if let Some(position) = nearest_remote.filter(|position| *position > 1) {
            members[1..=position].rotate_right(1);
        }
        let selected = members.into_iter().take(max_addresses);
        selected.map(|member| member.address.clone()).collect()
    }

    /// Returns whether a store is in the front's zone.
    pub fn is_local(&self, store: &Member) -> bool {
        store.zone == self.context.zone
    }

    /// Returns whether the store at this address is in the front's zone, or none is.
    pub fn is_nearest(&self, address: &str) -> bool {
        let stores = self.stores();
        let members = stores.members();
        let local: Vec<&Member> = members.filter(|member| self.is_local(member)).collect();
        local.is_empty()
            || local
                .iter()
                .any(|member| member.address.as_str() == address)
    }

    /// Returns the group that stores a program's records. A turn without a program is
    /// assigned by its own identifier.
    pub fn group_of_program(&self, program: &str, turn: &str) -> Option<Rc<GroupClient>> {
        let by_turn = || self.group_number_for(turn);
        let GroupNumber(number) = self.group_number(program).or_else(by_turn)?;
        self.groups.borrow().get(number as usize).cloned()
    }

    /// Number of a program's group; `None` for an empty program name.
    pub fn group_number(&self, program: &str) -> Option<GroupNumber> {
        match program.is_empty() {
            true => None,
            false => self.group_number_for(program),
        }
    }

    fn group_number_for(&self, identifier: &str) -> Option<GroupNumber> {
        let TurnKey(hash) = TurnKey::of(identifier);
        self.stores.borrow().group_of_hash(hash)
    }

    /// Returns the group of a record. Notes since when no group is known.
    pub(crate) fn require_group_of(&self, record: &Record) -> Result<Rc<GroupClient>, GroupError> {
        self.group_of_record(record).ok_or_else(|| {
            let since = self.unknown_since.get().unwrap_or_else(Instant::now);
            self.unknown_since.set(Some(since));
            GroupError::NoGroup
        })
    }

    fn group_of_record(&self, record: &Record) -> Option<Rc<GroupClient>> {
        match record {
            Record::Reserve { program, turn, .. } | Record::Settle { program, turn, .. } => {
                self.group_of_program(program, turn)
            }
            Record::Turn(record) => self.group_of_program(&record.program, &record.turn),
            Record::Clock { .. } => None,
        }
    }

    /// Time for which the program's group has reached no quorum; `None` while it does.
    pub fn failing_for(&self, program: &str, turn: &str) -> Option<Duration> {
        self.group_of_program(program, turn)?.failing_for()
    }

    /// Time for which no group at all has reached a quorum; `None` while any does.
    pub fn all_failing_for(&self) -> Option<Duration> {
        let groups = self.groups.borrow();
        if groups.is_empty() {
            return self.unknown_since.get().map(|since| since.elapsed());
        }
        let failing = groups.iter().map(|group| group.failing_for());
        let failing: Option<Vec<Duration>> = failing.collect();
        failing?.into_iter().min()
    }

    /// Groups that currently reach no quorum.
    pub fn failing_groups(&self) -> Vec<Rc<GroupClient>> {
        let groups = self.groups.borrow();
        let failing = groups.iter().filter(|group| group.failing_for().is_some());
        failing.cloned().collect()
    }

    /// Sends a record to its program's group and returns once a write quorum has it on disk.
    /// For a reservation the result is the program's ledger.
    pub async fn append(
        &self,
        record: impl Into<StoredRecord>,
        time_limit: Duration,
    ) -> Result<LedgerView, GroupError> {
        let options = ReservationOptions::default();
        self.append_with_options(record, options, time_limit).await
    }

    /// Appends a record like `append`, with what belongs to a reservation.
    pub async fn append_with_options(
        &self,
        record: impl Into<StoredRecord>,
        reservation: ReservationOptions,
        time_limit: Duration,
    ) -> Result<LedgerView, GroupError> {
        let record = record.into();
        let group = self.require_group_of(&record.record)?;
        let outcome = self.append_to_group(&group, record, reservation, time_limit);
        Ok(outcome.await?.ledger)
    }

    pub(crate) async fn append_to_group(
        &self,
        group: &GroupClient,
        record: StoredRecord,
        reservation: ReservationOptions,
        time_limit: Duration,
    ) -> Result<AppendOutcome, GroupError> {
        let outcome = group.append(record, reservation, time_limit).await;
        self.apply_newer_stores();
        outcome
    }

    /// Returns a program's ledger once a write quorum of its group has received the
    /// reservation of `turn`; `None` if none says so in time, or if the group has stored
    /// nothing for longer than `max_unstored`, so that the reservation may never be stored.
    pub async fn unsynced_ledger(
        &self,
        program: &Text,
        turn: &Text,
        max_unstored: Duration,
        time_limit: Duration,
    ) -> Option<LedgerView> {
        let group = self.group_of_program(program, turn)?;
        if group.unstored_for() > max_unstored {
            return None;
        }
        group.unsynced_ledger(program, turn, time_limit).await
    }

    /// Returns whether any turn of a program has started; `None` if no store knows.
    pub async fn has_started(&self, program: &Text, time_limit: Duration) -> Option<bool> {
        let group = self.group_of_program(program, "")?;
        group.has_started(program, time_limit).await
    }

    /// Reports to a program's group that a turn runs on another replica than its reservation
    /// said.
    pub fn report_placement(&self, program: &str, turn: &str, placement: Placement) {
        let TurnKey(key) = TurnKey::of(turn);
        let request = Request::TurnPlaced {
            turn: key,
            placement,
        };
        self.send_hint(program, turn, &request);
    }

    /// Reports to a program's group that a turn has ended.
    pub fn report_turn_end(&self, program: &str, turn: &str) {
        let TurnKey(key) = TurnKey::of(turn);
        self.send_hint(program, turn, &Request::TurnEnded { turn: key });
    }

    fn send_hint(&self, program: &str, turn: &str, request: &Request) {
        if let Some(group) = self.group_of_program(program, turn) {
            group.send_hint(request, HINT_TIMEOUT);
        }
    }

    /// Appends a record without waiting. Retries once with a newer member list.
    pub fn append_in_background(
        self: &Rc<Self>,
        record: impl Into<StoredRecord>,
        time_limit: Duration,
    ) {
        let record = record.into();
        let groups = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = groups.append(record.clone(), time_limit).await;
            if matches!(outcome, Err(GroupError::StaleMembers)) {
                let _ = groups.append(record, time_limit).await;
            }
        });
    }

    /// Gathers the chain that ends in `turn`. Asks the program's own group first, then the
    /// others: a program may continue another program's turns. `acquire` takes the memory of
    /// each part and refuses it if there is none.
    pub async fn chain(
        &self,
        program: &str,
        turn: &Text,
        time_limit: Duration,
        mut acquire: impl FnMut(usize) -> bool,
    ) -> ChainOutcome {
        let deadline = Instant::now() + time_limit;
        let mut parts: Vec<ChainPart> = Vec::new();
        let mut next = turn.clone();
        loop {
            let mut step = self.lookup_chain(program, &next, deadline).await;
            if step == ChainLookup::Unknown && self.apply_newer_stores() {
                step = self.lookup_chain(program, &next, deadline).await;
            }
            match step {
                ChainLookup::Parts { found, missing } => {
                    if !acquire(found.iter().map(ChainPart::bytes).sum()) {
                        return ChainOutcome::TooLarge;
                    }
                    parts.extend(found);
                    if missing.is_empty() {
                        return ChainOutcome::Complete(parts);
                    }
                    next = missing;
                }
                ChainLookup::Absent => return ChainOutcome::Absent(next),
                ChainLookup::Unknown => return ChainOutcome::Unknown,
            }
        }
    }

    /// Looks up one part of a chain. The turn is absent only if every group says so.
    async fn lookup_chain(&self, program: &str, turn: &Text, deadline: Instant) -> ChainLookup {
        let Some(own_group) = self.group_of_program(program, turn) else {
            return ChainLookup::Unknown;
        };
        let mut other_groups: Vec<Rc<GroupClient>> = self.groups.borrow().clone();
        other_groups.retain(|group| !Rc::ptr_eq(group, &own_group));
        let (answers, mut received) = unbounded_channel();
        spawn_lookup(own_group, true, turn, deadline, &answers);
        let mut pending = 1;
        let mut all_absent = true;
        let other_groups_at = Instant::now() + OTHER_GROUPS_DELAY;
        while pending > 0 {
            let answer = tokio::select! {
                answer = received.recv() => answer,
                () = tokio::time::sleep_until(other_groups_at), if !other_groups.is_empty() => None,
            };
            let asks_other_groups = match answer {
                Some(GroupAnswer {
                    step: found @ ChainLookup::Parts { .. },
                    ..
                }) => return found,
                Some(GroupAnswer { is_own_group, step }) => {
                    pending -= 1;
                    all_absent &= step == ChainLookup::Absent;
                    is_own_group
                }
                None => true,
            };
            if asks_other_groups {
                for group in other_groups.drain(..) {
                    pending += 1;
                    spawn_lookup(group, false, turn, deadline, &answers);
                }
            }
        }
        match all_absent {
            true => ChainLookup::Absent,
            false => ChainLookup::Unknown,
        }
    }
}

fn spawn_lookup(
    group: Rc<GroupClient>,
    is_own_group: bool,
    turn: &Text,
    deadline: Instant,
    answers: &UnboundedSender<GroupAnswer>,
) {
    let turn = turn.clone();
    let answers = answers.clone();
    tokio::task::spawn_local(async move {
        let step = group.lookup_chain(&turn, deadline).await;
        let _ = answers.send(GroupAnswer { is_own_group, step });
    });
}
