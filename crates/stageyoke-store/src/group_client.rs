//! A front's client of one store group: appends records to a write quorum, merges the
//! members' ledgers and looks up turn chains.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Freshness, GroupNumber, Member, Members, StoreGroups, Tolerance};
use stageyoke_types::{List, Text};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use crate::client::{CallError, ExtendedReply, StoreClient};
use crate::extension::{ExtensionFields, LedgerQuery};
use crate::frame::EncodedMessage;
use crate::keys::TurnKey;
use crate::load::LoadTracker;
use crate::message::{ChainPart, Placement, Record, Reply, Request};
use crate::quorum::{AppendTally, ChainLookup, ChainTally, LedgerRoom, LedgerView, UnsyncedTally};
use crate::restricted_requests::RestrictedRequests;
use crate::stored_record::StoredRecord;

/// Time to wait for a member's answer before the next member is asked as well.
/// Expected size of a message beside the contents of a turn.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// Number of members that are asked whether a program has started.
const MAX_START_LOOKUPS: usize = 2;

/// Delay before a failed call is retried on a new connection.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Delay of a member's writes from which its disk counts as stalled, in milliseconds: a
/// reservation would not be stored in time.
const MAX_WRITE_DELAY_MS: u32 = 1300;

/// Reason why a group did not serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupError {
    /// The member list is unknown or too small for the tolerance.
    NoGroup,
    /// Too few members answered in time.
    NoQuorum,
    /// The member list in use is outdated. The newer one came with the rejection and applies
    /// to the next attempt.
    StaleMembers,
    /// The members' disks accept no records.
    DiskRefused,
    /// Members have no memory left for new turns.
    MemoryFull,
    /// The record is larger than a message may be. Sending it would end the connections.
    RecordTooLarge,
    /// Members lack earlier turns of a turn's chain that the requester lacks too.
    IncompleteChain,
}

impl fmt::Display for GroupError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoGroup => "no_group",
            Self::NoQuorum => "no_quorum",
            Self::StaleMembers => "stale_members",
            Self::DiskRefused => "disk_refused",
            Self::MemoryFull => "memory_full",
            Self::RecordTooLarge => "record_too_large",
            Self::IncompleteChain => "incomplete_chain",
        })
    }
}

impl std::error::Error for GroupError {}

/// Result of a chain lookup.
#[derive(Clone, Debug)]
pub enum ChainOutcome {
    /// The whole chain, newest turn first.
    Complete(Vec<ChainPart>),
    /// No stored turn has this identifier.
    Absent(Text),
    /// The requester has no memory for the chain.
    TooLarge,
    /// Too few members answered for a conclusive result.
    Unknown,
}

/// What an append of a reservation has beyond its record.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReservationOptions {
    /// Replica on which the turn is placed.
    pub placement: Option<Placement>,
    /// Room that the ledger must leave; `None` if any ledger will do.
    pub room: Option<LedgerRoom>,
}

/// Result of an append.
#[derive(Clone, Debug, Default)]
pub struct AppendOutcome {
    /// The program's ledger after a reservation; empty after other records.
    pub ledger: LedgerView,
    /// After a turn: the turns of its chain that members lack, of each member the newest. Empty once
    /// a write quorum holds the whole chain.
    pub missing_of_chain: BTreeSet<TurnKey>,
}

/// State shared by a front's clients of all groups.
#[derive(Clone)]
pub struct GroupContext {
    /// Zone of the front.
    pub zone: Text,
    /// Losses that the deployment tolerates at the same time.
    pub tolerance: Tolerance,
    /// Requests in flight at replicas, over all fronts.
    pub load: Rc<LoadTracker>,
    /// Freshness of the local directory; members' answers confirm it.
    pub directory: Option<Rc<Freshness>>,
    /// Newest store groups that came with a rejection.
    pub newer_stores: Rc<RefCell<Option<StoreGroups>>>,
    /// Requests under which replicas have ended, as stores tell them.
    pub restricted_requests: Rc<RestrictedRequests>,
}

impl GroupContext {
    /// Creates the context for a front in this zone.
    pub fn new(zone: Text, tolerance: Tolerance) -> Self {
        Self {
            zone,
            tolerance,
            load: Rc::new(LoadTracker::new(rand::random())),
            directory: None,
            newer_stores: Rc::default(),
            restricted_requests: Rc::default(),
        }
    }
}

/// Connections to all members of one group. Follows the group's member list.
pub struct GroupClient {
    number: GroupNumber,
    context: GroupContext,
    failing_since: Cell<Option<Instant>>,
    /// When the oldest append was sent since which none has been stored.
    unstored_since: Cell<Option<Instant>>,
    members: RefCell<Rc<Members>>,
    clients: RefCell<HashMap<Text, Rc<StoreClient>>>,
}

impl GroupClient {
    /// Creates a client without members; `update_members` adds them.
    pub fn new(number: GroupNumber, context: GroupContext) -> Self {
        Self {
            number,
            context,
            failing_since: Cell::new(None),
            unstored_since: Cell::new(None),
            members: RefCell::default(),
            clients: RefCell::default(),
        }
    }

    /// Losses that the group tolerates.
    pub(crate) fn tolerance(&self) -> &Tolerance {
        &self.context.tolerance
    }

    pub(crate) fn restricted_requests(&self) -> &Rc<RestrictedRequests> {
        &self.context.restricted_requests
    }

    pub(crate) fn front(&self) -> u32 {
        self.context.load.front()
    }

    pub(crate) fn is_local(&self, member: &Member) -> bool {
        member.zone == self.context.zone
    }

    /// Index of this group among the store groups.
    pub fn number(&self) -> GroupNumber {
        self.number
    }

    /// Member list in use.
    pub fn members(&self) -> Rc<Members> {
        self.members.borrow().clone()
    }

    /// Replaces the member list unless the given one is older. Connections of unchanged
    /// members stay open.
    pub fn update_members(&self, members: &Members) {
        let current = self.members();
        if members.version < current.version || *members == *current {
            return;
        }
        let mut clients = self.clients.borrow_mut();
        clients.retain(|node, client| {
            members
                .get(node)
                .is_some_and(|member| member.address.as_str() == client.address())
        });
        for member in members.all() {
            clients.entry(member.node.clone()).or_insert_with(|| {
                let restricted = self.context.restricted_requests.clone();
                Rc::new(StoreClient::with_restricted_requests(
                    &member.address,
                    restricted,
                ))
            });
        }
        *self.members.borrow_mut() = Rc::new(members.clone());
    }

    /// Connection to a member.
    pub fn client(&self, node: &Text) -> Option<Rc<StoreClient>> {
        self.clients.borrow().get(node).cloned()
    }

    /// Time for which the group has reached no quorum; `None` while it does.
    pub fn failing_for(&self) -> Option<Duration> {
        self.failing_since.get().map(|since| since.elapsed())
    }

    fn record_availability(&self, available: bool) {
        match available {
            true => self.failing_since.set(None),
            false if self.failing_since.get().is_none() => {
                self.failing_since.set(Some(Instant::now()));
            }
            false => {}
        }
    }

    /// Returns for how long appends have been sent without any being stored.
    pub fn unstored_for(&self) -> Duration {
        let since = self.unstored_since.get();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns a program's ledger once a write quorum has received the reservation of `turn`,
    /// which need not be on disk yet; `None` if no quorum says so in time.
    pub async fn unsynced_ledger(
        &self,
        program: &Text,
        turn: &Text,
        time_limit: Duration,
    ) -> Option<LedgerView> {
        let members = self.members();
        let mut tally = UnsyncedTally::new(&members, &self.context.tolerance, turn)?;
        let fields = Rc::new(ExtensionFields {
            ledger_query: Some(LedgerQuery {
                group: self.number,
                members_version: members.version,
                program: program.clone(),
            }),
            ..ExtensionFields::default()
        });
        let (answers, mut received) = unbounded_channel();
        for member in members.all() {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let (fields, answers, node) = (fields.clone(), answers.clone(), member.node.clone());
            tokio::task::spawn_local(async move {
                let ping = EncodedMessage::encode(&Request::Ping);
                if let Ok(answer) = client.call_with_fields(ping, fields, time_limit).await {
                    let _ = answers.send((node, answer.extension_fields.unsynced_ledger));
                }
            });
        }
        drop(answers);
        while let Some((node, ledger)) = received.recv().await {
            let Some(List(entries)) = ledger else {
                continue;
            };
            tally.add_ledger(&node, entries);
            if let Some(ledger) = tally.ledger() {
                return Some(ledger);
            }
        }
        None
    }

    /// Pings all members; marks the group as available once a write quorum has answered whose
    /// disks accept writes.
    pub async fn probe(&self, time_limit: Duration) {
        let members = self.members();
        let Some(quorums) = members.quorums(&self.context.tolerance) else {
            return;
        };
        let (answers, mut received) = unbounded_channel();
        for member in members.all() {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let answers = answers.clone();
            let node = member.node.clone();
            tokio::task::spawn_local(async move {
                let ping = EncodedMessage::encode(&Request::Ping);
                let answer = client.call_with_fields(ping, Rc::default(), time_limit);
                let delay = answer
                    .await
                    .map(|answer| answer.extension_fields.write_delay_milliseconds);
                if let Ok(delay) = delay
                    && delay.is_none_or(|delay| delay < MAX_WRITE_DELAY_MS)
                {
                    let _ = answers.send(node);
                }
            });
        }
        drop(answers);
        let mut reachable = BTreeSet::new();
        while let Some(node) = received.recv().await {
            reachable.insert(node);
            if members.has_quorum(quorums, |member| reachable.contains(&member.node)) {
                self.record_availability(true);
                return;
            }
        }
    }

    /// Sends a record to every member and returns once a write quorum has it on disk. For a
    /// reservation the quorum counts only complete members, and the result is their merged
    /// ledger; with a room to be left, that of a quorum which leaves it, if one does. For a turn the
    /// result tells what those members lack of its chain.
    pub async fn append(
        &self,
        record: StoredRecord,
        reservation: ReservationOptions,
        time_limit: Duration,
    ) -> Result<AppendOutcome, GroupError> {
        if !record.record.fits_into_frame() {
            return Err(GroupError::RecordTooLarge);
        }
        if self.unstored_since.get().is_none() {
            self.unstored_since.set(Some(Instant::now()));
        }
        let outcome = self
            .append_to_members(record, reservation, time_limit)
            .await;
        if outcome.is_ok() {
            self.unstored_since.set(None);
        }
        self.record_availability(outcome.is_ok());
        outcome
    }

    async fn append_to_members(
        &self,
        stored: StoredRecord,
        reservation: ReservationOptions,
        time_limit: Duration,
    ) -> Result<AppendOutcome, GroupError> {
        let members = self.members();
        let reserved_turn = match &stored.record {
            Record::Reserve { turn, .. } => Some(turn.clone()),
            Record::Settle { .. } | Record::Turn(_) | Record::Clock { .. } => None,
        };
        let reads_ledger = reserved_turn.is_some();
        let condition = reserved_turn.clone().zip(reservation.room);
        let mut tally = AppendTally::new(&members, &self.context.tolerance, reads_ledger)?;
        let sent_at = Instant::now();
        let (answers, mut received) = unbounded_channel();
        let content_bytes = match &stored.record {
            Record::Turn(turn) => turn.input.len() + turn.output.len(),
            Record::Reserve { .. } | Record::Settle { .. } | Record::Clock { .. } => 0,
        };
        let request = Request::Append {
            group: self.number,
            members_version: members.version,
            load: self.context.load.report(self.number),
            placement: reservation.placement,
            record: stored.record.clone(),
        };
        let message_bytes = content_bytes + MESSAGE_OVERHEAD_BYTES;
        let request = EncodedMessage::encode_with_capacity(&request, message_bytes);
        let extensions = Rc::new(ExtensionFields {
            rank_loads: self.context.load.ranks.report(),
            engine_latencies: self.context.load.engines.take_unreported(self.number),
            ..stored.fields()
        });
        for member in members.all() {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let request = request.clone();
            let answers = answers.clone();
            let node = member.node.clone();
            // Not cancelled with the caller: the remaining members should store the record
            // too.
            let extensions = extensions.clone();
            tokio::task::spawn_local(async move {
                let call = call_with_retry(&client, request, extensions, time_limit);
                let _ = answers.send((node, call.await));
            });
        }
        drop(answers);
        let mut missing_of_chain = BTreeSet::new();
        let mut incomplete_on = BTreeSet::new();
        let mut wait_until = None;
        while let Some(answer) = receive_until(&mut received, wait_until).await {
            let (node, Ok(mut answer)) = answer else {
                continue;
            };
            self.apply_answer(&mut answer, reads_ledger, sent_at);
            let later_entries = answer.extension_fields.later_ledger_entries;
            let later_entries = later_entries.unwrap_or(0) as usize;
            if let Some(missing) = answer.extension_fields.missing_of_chain {
                missing_of_chain.insert(TurnKey(missing));
                incomplete_on.insert(node.clone());
            }
            tally.add_ordered_reply(&node, answer.reply, later_entries);
            if let Some(newer) = tally.take_newer_stores() {
                self.apply_newer_stores(newer);
            }
            if !tally.is_stored() {
                continue;
            }
            self.unstored_since.set(None);
            self.record_availability(true);
            if !incomplete_on.is_empty() && !tally.is_stored_without(&incomplete_on) {
                wait_until = wait_until.or(Some(Instant::now() + HEDGE_DELAY));
                continue;
            }
            missing_of_chain.clear();
            let Some((turn, room)) = &condition else {
                break;
            };
            if let Some(ledger) = tally.fitting_ledger(turn, *room) {
                return Ok(AppendOutcome {
                    ledger,
                    missing_of_chain,
                });
            }
            if !tally.may_still_fit(turn, *room) {
                break;
            }
            wait_until = wait_until.or(Some(Instant::now() + room.rejection_delay));
        }
        let ledger = tally.outcome_for(reserved_turn.as_deref().unwrap_or_default())?;
        Ok(AppendOutcome {
            ledger,
            missing_of_chain,
        })
    }

    /// Applies the reports that an answer carries.
    fn apply_answer(&self, answer: &mut ExtendedReply, reads_ledger: bool, sent_at: Instant) {
        self.apply_extensions(&answer.extension_fields);
        let Reply::Stored {
            other_fronts,
            directory,
            ..
        } = &mut answer.reply
        else {
            return;
        };
        if let Some(freshness) = &self.context.directory {
            freshness.apply_peer_mark(*directory, sent_at);
        }
        if reads_ledger {
            self.context
                .load
                .apply_report(self.number, std::mem::take(other_fronts));
        }
    }

    fn apply_extensions(&self, extensions: &ExtensionFields) {
        if let Some(rank_loads) = &extensions.rank_loads {
            self.context.load.ranks.apply_report(rank_loads);
        }
        if let Some(deviations) = &extensions.engine_deviations {
            self.context.load.engines.apply_report(deviations);
        }
    }

    /// Returns whether any turn of a program has started; `None` if no member knows. Asks
    /// several members, the nearest first, since one may have missed the latest records.
    pub async fn has_started(&self, program: &Text, time_limit: Duration) -> Option<bool> {
        let members = self.members();
        let mut order: Vec<&Member> = members.all().collect();
        order
            .sort_by_cached_key(|member| (member.zone != self.context.zone, rand::random::<u32>()));
        let extensions = Rc::new(ExtensionFields {
            program: Some(program.clone()),
            front: Some(self.context.load.front()),
            ..ExtensionFields::default()
        });
        let (answers, mut received) = unbounded_channel();
        for member in order.into_iter().take(MAX_START_LOOKUPS) {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let (extensions, answers) = (extensions.clone(), answers.clone());
            tokio::task::spawn_local(async move {
                let ping = EncodedMessage::encode(&Request::Ping);
                let call = client.call_with_fields(ping, extensions, time_limit).await;
                let _ = answers.send(call.ok().map(|answer| answer.extension_fields));
            });
        }
        drop(answers);
        let mut started = None;
        while let Some(answer) = received.recv().await {
            let answer = answer.unwrap_or_default();
            self.apply_extensions(&answer);
            if answer.started == Some(true) {
                return answer.started;
            }
            started = started.or(answer.started);
        }
        started
    }

    /// Sends a request to all members without waiting for answers.
    pub fn send_hint(&self, request: &Request, time_limit: Duration) {
        let request = EncodedMessage::encode(request);
        for member in self.members().all() {
            let Some(client) = self.client(&member.node) else {
                continue;
            };
            let request = request.clone();
            tokio::task::spawn_local(async move {
                // A lost hint is harmless: what it would correct expires.
                let _ = client.call_encoded(request, time_limit).await;
            });
        }
    }

    /// Applies this group's member list from newer store groups, and passes them to the other
    /// groups.
    fn apply_newer_stores(&self, newer: StoreGroups) {
        if let Some(members) = newer.group(self.number) {
            self.update_members(members);
        }
        let mut known = self.context.newer_stores.borrow_mut();
        if known
            .as_ref()
            .is_none_or(|known| known.version < newer.version)
        {
            *known = Some(newer);
        }
    }

    /// Looks up a turn and its predecessors, in members of the local zone first.
    pub async fn lookup_chain(&self, turn: &Text, deadline: Instant) -> ChainLookup {
        let members = self.members();
        let Some(mut tally) = ChainTally::new(&members, &self.context.tolerance) else {
            return ChainLookup::Unknown;
        };
        let (answers, mut received) = unbounded_channel();
        let mut order: Vec<&Member> = members.all().collect();
        order.sort_by_key(|member| member.zone != self.context.zone);
        let mut candidates = order.into_iter();
        let mut requested = 0;
        let mut answered = 0;
        loop {
            if requested == answered
                && let Some(member) = candidates.next()
            {
                requested += 1;
                self.request_chain(member, members.version, turn, deadline, &answers);
            }
            if requested == answered {
                return ChainLookup::Unknown;
            }
            let hedge_at = (Instant::now() + HEDGE_DELAY).min(deadline);
            let answer = tokio::select! {
                answer = received.recv() => answer,
                () = tokio::time::sleep_until(hedge_at) => {
                    if Instant::now() >= deadline {
                        return ChainLookup::Unknown;
                    }
                    if let Some(member) = candidates.next() {
                        requested += 1;
                        self.request_chain(member, members.version, turn, deadline, &answers);
                    }
                    continue;
                }
            };
            answered += 1;
            if let Some((node, Some(reply))) = answer {
                tally.add_reply(&node, reply);
            }
            if let Some(newer) = tally.take_newer_stores() {
                self.apply_newer_stores(newer);
            }
            let step = tally.step();
            if step != ChainLookup::Unknown {
                return step;
            }
        }
    }

    /// Sends the version by which the answers are counted: the member list may have been
    /// replaced since the lookup started.
    fn request_chain(
        &self,
        member: &Member,
        members_version: u64,
        turn: &Text,
        deadline: Instant,
        answers: &UnboundedSender<(Text, Option<Reply>)>,
    ) {
        let Some(client) = self.client(&member.node) else {
            let _ = answers.send((member.node.clone(), None));
            return;
        };
        let request = Request::Chain {
            group: self.number,
            members_version,
            turn: turn.clone(),
        };
        let answers = answers.clone();
        let node = member.node.clone();
        tokio::task::spawn_local(async move {
            let time_limit = deadline.saturating_duration_since(Instant::now());
            let _ = answers.send((node, client.call(request, time_limit).await.ok()));
        });
    }
}

/// Receives the next answer, if one comes in time.
async fn receive_until<T>(
    received: &mut UnboundedReceiver<T>,
    until: Option<Instant>,
) -> Option<T> {
    match until {
        Some(until) => tokio::time::timeout_at(until, received.recv())
            .await
            .unwrap_or(None),
        None => received.recv().await,
    }
}

/// Retries a call after a connection failure. Members identify records by their digests, so a
/// duplicate is harmless.
async fn call_with_retry(
    client: &StoreClient,
    request: EncodedMessage,
    extensions: Rc<ExtensionFields>,
    time_limit: Duration,
) -> Result<ExtendedReply, CallError> {
    let deadline = Instant::now() + time_limit;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let call = client.call_with_fields(request.clone(), extensions.clone(), remaining);
        let error = match call.await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if Instant::now() + RETRY_DELAY >= deadline {
            return Err(error);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
