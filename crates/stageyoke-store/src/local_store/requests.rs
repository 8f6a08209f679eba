//! Handling of requests from fronts and other stores.

use std::time::Duration;

use stageyoke_directory::GroupNumber;
use stageyoke_policy::broken_streams::StreamAttempt;
use stageyoke_policy::quota::QuotaDecision;
use stageyoke_types::{Blob, List, Text};

use super::LocalStore;
use crate::cold_permits;
use crate::directory_relay;
use crate::extension::{
    AttemptReport, ExtensionFields, KnownItem, LedgerQuery, Permit, PermitRequest, RecordedAttempt,
    Restrictions, StreamReport,
};
use crate::keys::TurnKey;
use crate::membership_state::PeerStatus;
use crate::message::{
    ChainPart, JournalPosition, LedgerEntry, OtherFrontsReport, Placement, QuotaReply,
    QuotaRequest, Record, RecordDigest, Refusal, Reply, Request, TurnRecord,
};
use crate::record_fetch::MAX_REPLY_RECORD_BYTES;
use crate::state::ChainLink;
use crate::stored_record::{StoredRecord, UNKNOWN_RETENTION};

/// Time limit for reading the routing configuration on behalf of a front: half the time
/// after which `client` closes a connection with outstanding replies.
const ROUTES_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Write delay below which a disk is not reported as slow.
const MIN_REPORTED_WRITE_DELAY: Duration = Duration::from_millis(100);

/// The reply to a request, and the fields behind it that belong to its content.
#[derive(Debug)]
pub struct HandledRequest {
    /// The reply.
    pub reply: Reply,
    /// Retentions of the ledgers of the records in the reply.
    pub ledger_retentions: Option<List<u32>>,
    /// How many of the last entries of the ledger in the reply came after the reservation.
    pub later_ledger_entries: Option<u32>,
    /// Newest turn that is missing of the chain of the turn that was stored.
    pub missing_of_chain: Option<u64>,
}

impl From<Reply> for HandledRequest {
    fn from(reply: Reply) -> Self {
        Self {
            reply,
            ledger_retentions: None,
            later_ledger_entries: None,
            missing_of_chain: None,
        }
    }
}

/// The extension fields that a reply must carry. Requests queue up while the disk is slow,
/// so only these values of a request's fields are held until the reply.
#[derive(Clone, Debug, Default)]
pub struct RequestedFields {
    /// Front that receives the rank loads of all other fronts.
    rank_loads_for: Option<u32>,
    /// Front that receives the engine deviations.
    engine_deviations_for: Option<u32>,
    /// Whether the queried program has started.
    started: Option<bool>,
    /// Directory item that the requester has.
    known_item: Option<KnownItem>,
    /// Program whose ledger is queried.
    ledger_query: Option<LedgerQuery>,
    /// Whether the request is a ping, whose reply reports a slow disk.
    reports_write_delay: bool,
    /// Decision on a request to a cold replica.
    permit: Option<Permit>,
    /// Whether the version that began a stream is known from now on.
    stream_recorded: Option<bool>,
    /// Version that began the queried stream; empty if it is not known.
    stream_version: Option<Text>,
    /// Whether an attempt at a stream is known from now on.
    attempt_recorded: Option<bool>,
    /// Request whose attempts are queried.
    attempts_query: Option<u128>,
    /// Versions of the queried service that were listed recently.
    service_versions: Option<List<Text>>,
    /// Decision on a permit to run a request.
    run_permit: Option<u8>,
    /// Restricted requests that the requester does not know yet.
    restrictions: Option<Restrictions>,
}

impl RequestedFields {
    /// Removes the item that the requester has from a reply, since it may be large.
    pub fn omit_known_item(&self, mut reply: Reply) -> Reply {
        let Some(known) = &self.known_item else {
            return reply;
        };
        let is_known = |key: &Text, revision| *key == known.key && revision == known.revision;
        match &mut reply {
            Reply::Routes { item, .. } if is_known(&item.key, item.revision) => {
                item.value = Blob::default();
            }
            Reply::Changes { changes, .. } => {
                let List(changes) = changes;
                changes.retain(|change| !is_known(&change.key, change.revision));
            }
            _ => {}
        }
        reply
    }
}

impl LocalStore {
    /// Applies the extension fields of a request and returns what its reply must carry.
    pub fn apply_request_fields(
        &self,
        request: &Request,
        fields: ExtensionFields,
    ) -> RequestedFields {
        let wants_deviations = fields.engine_latencies.is_some();
        if let Some(latencies) = &fields.engine_latencies {
            self.loads.engines.add(latencies);
        }
        let wants_rank_loads = fields.rank_loads.is_some() || fields.program.is_some();
        let front = match request {
            Request::Append { load, record, .. } => {
                if let Some(rank_loads) = fields.rank_loads {
                    self.loads.ranks.update(load.front, rank_loads);
                }
                matches!(record, Record::Reserve { .. }).then_some(load.front)
            }
            _ => fields.front,
        };
        let run_report = fields.run_report;
        let known_restrictions = fields.known_restrictions;
        let restrictions = run_report
            .map(|report| self.record_run(report))
            .or_else(|| known_restrictions.map(|known| self.restrictions_since(known)));
        RequestedFields {
            run_permit: fields
                .permit_query
                .map(|query| self.decide_run(query) as u8),
            restrictions,
            rank_loads_for: front.filter(|_| wants_rank_loads),
            engine_deviations_for: front.filter(|_| wants_deviations),
            known_item: fields.known_item,
            ledger_query: fields.ledger_query,
            reports_write_delay: matches!(request, Request::Ping),
            permit: fields
                .permit_request
                .and_then(|request| self.decide_permit(request)),
            stream_recorded: fields
                .stream_report
                .map(|report| self.record_stream_version(&report, fields.stream_identity)),
            stream_version: fields
                .stream_query
                .map(|stream| self.stream_version(stream)),
            attempt_recorded: fields
                .attempt_report
                .map(|report| self.record_attempt(report)),
            attempts_query: fields.attempts_query,
            service_versions: fields
                .service_query
                .map(|service| List(self.service_versions_of(&service))),
            started: fields.program.map(|program| self.has_started(&program)),
        }
    }

    /// Decides on a request to a cold replica; `None` unless this store owns its permits.
    fn decide_permit(&self, request: PermitRequest) -> Option<Permit> {
        let stores = self.stores();
        let owner = cold_permits::owner(&stores, request.replica)?;
        if owner.node != self.node {
            return None;
        }
        let now = self.started_at.elapsed();
        let mut permits = self.permits.borrow_mut();
        let decision = permits.acquire(request.replica, request.permits, now);
        Some(Permit::new(decision))
    }

    /// Records the version that began a stream, also by the identity of its request, which a caller
    /// shares over all its attempts.
    fn record_stream_version(&self, report: &StreamReport, identity: Option<u128>) -> bool {
        let ttl = Duration::from_millis(report.ttl_milliseconds.into());
        let now = self.started_at.elapsed();
        let mut versions = self.stream_versions.borrow_mut();
        if let Some(identity) = identity {
            versions.record(identity, &report.version, ttl, now);
        }
        versions.record(report.stream, &report.version, ttl, now)
    }

    /// Returns the version that began a stream; empty if it is not known.
    fn stream_version(&self, stream: u128) -> Text {
        let now = self.started_at.elapsed();
        let versions = self.stream_versions.borrow();
        versions
            .version(stream, now)
            .map(Text::from)
            .unwrap_or_default()
    }

    fn record_attempt(&self, report: AttemptReport) -> bool {
        let recorded = report.attempt;
        let attempt = StreamAttempt {
            stream: recorded.stream,
            attempt: recorded.attempt,
            sequence: recorded.sequence,
            ended: recorded.ended,
            // A slice of the frame would keep the whole frame in memory.
            events: recorded.events.detached().0,
        };
        let ttl = Duration::from_millis(report.ttl_milliseconds.into());
        let now = self.started_at.elapsed();
        let mut streams = self.broken_streams.borrow_mut();
        streams.record(report.request, attempt, ttl, now)
    }

    /// Returns the attempts at a request's streams that this store knows.
    fn attempts_at(&self, request: u128) -> List<RecordedAttempt> {
        let streams = self.broken_streams.borrow();
        let attempts = streams.attempts(request, self.started_at.elapsed());
        let recorded = attempts.map(|attempt| RecordedAttempt {
            stream: attempt.stream,
            attempt: attempt.attempt,
            sequence: attempt.sequence,
            ended: attempt.ended,
            events: Blob(attempt.events.clone()),
        });
        recorded.collect()
    }

    /// Returns whether any turn of a program has started, as far as this store knows.
    fn has_started(&self, program: &Text) -> bool {
        let entries = self.state.borrow().ledger_entries(program);
        entries.iter().any(|entry| entry.amount > 0)
    }

    /// Returns a program's ledger including reservations that are being written; `None` if
    /// this store is no complete member of the group.
    fn unsynced_ledger(&self, query: &LedgerQuery) -> Option<List<LedgerEntry>> {
        let membership = self.membership.borrow();
        let is_member = membership
            .refusal(query.group, query.members_version)
            .is_none();
        if !is_member || !membership.is_complete_for(query.group) {
            return None;
        }
        let List(mut entries) = self.state.borrow().ledger_entries(&query.program);
        let pending_writes = self.pending_writes.borrow();
        let records = pending_writes
            .values()
            .map(|pending| &pending.record.record);
        entries.extend(records.filter_map(|record| match record {
            Record::Reserve {
                program,
                turn,
                max_tokens,
            } if *program == query.program => Some(LedgerEntry {
                turn: TurnKey::of(turn).0,
                amount: *max_tokens,
                settled: false,
            }),
            _ => None,
        }));
        Some(List(entries))
    }

    /// Builds the extension fields of a reply.
    pub fn reply_fields(&self, requested: RequestedFields) -> ExtensionFields {
        let rank_loads_for = requested.rank_loads_for;
        let deviations_for = requested.engine_deviations_for;
        ExtensionFields {
            rank_loads: rank_loads_for.map(|front| self.loads.ranks.report_excluding(front)),
            engine_deviations: deviations_for
                .and_then(|front| self.loads.engines.deviations_for(front)),
            started: requested.started,
            permit: requested.permit,
            stream_recorded: requested.stream_recorded,
            stream_version: requested.stream_version,
            attempt_recorded: requested.attempt_recorded,
            attempts: requested
                .attempts_query
                .map(|request| self.attempts_at(request)),
            service_versions: requested.service_versions,
            run_permit: requested.run_permit,
            restrictions: requested.restrictions,
            write_delay_milliseconds: requested
                .reports_write_delay
                .then(|| self.write_delay())
                .filter(|delay| *delay >= MIN_REPORTED_WRITE_DELAY)
                .map(|delay| u32::try_from(delay.as_millis()).unwrap_or(u32::MAX)),
            unsynced_ledger: requested
                .ledger_query
                .and_then(|query| self.unsynced_ledger(&query)),
            ..ExtensionFields::default()
        }
    }

    /// Handles one request without fields.
    pub async fn handle_request(&self, request: Request) -> Reply {
        self.handle_extended_request(request, None).await.reply
    }

    /// Handles one request. An append carries the retention of its program's ledger in seconds,
    /// unless its sender doesn't tell it.
    pub async fn handle_extended_request(
        &self,
        request: Request,
        ledger_retention: Option<u32>,
    ) -> HandledRequest {
        if let Request::Fetch { digests } = request {
            return self.fetch(&digests).await;
        }
        let reservation = match &request {
            Request::Append {
                group,
                members_version,
                record: Record::Reserve { program, turn, .. },
                ..
            } => Some((*group, *members_version, program.clone(), TurnKey::of(turn))),
            _ => None,
        };
        let stored_turn = match &request {
            Request::Append {
                group,
                record: Record::Turn(turn),
                ..
            } => Some((*group, TurnKey::of(&turn.turn))),
            _ => None,
        };
        let reply = self.handle_plain_request(request, ledger_retention).await;
        let is_stored = matches!(reply, Reply::Stored { .. });
        let later_entries =
            reservation
                .filter(|_| is_stored)
                .map(|(group, members_version, program, turn)| {
                    // A requester with a newer list may count on members that this store does not
                    // know, and that have received the reservations in another order.
                    let membership = self.membership.borrow();
                    let later = match membership.version_of(group) == members_version {
                        true => self.state.borrow().later_ledger_entries(&program, turn),
                        false => 0,
                    };
                    u32::try_from(later).unwrap_or(u32::MAX)
                });
        let missing_of_chain = stored_turn
            .filter(|_| is_stored)
            .and_then(|(group, turn)| self.missing_of_chain(group, turn));
        HandledRequest {
            reply,
            ledger_retentions: None,
            later_ledger_entries: later_entries,
            missing_of_chain,
        }
    }

    /// Returns the newest turn that is missing of the chain of a stored turn. A store that is being
    /// filled still gets what it misses from its peers.
    fn missing_of_chain(&self, group: GroupNumber, turn: TurnKey) -> Option<u64> {
        if !self.membership.borrow().is_complete_for(group) {
            return None;
        }
        let TurnKey(missing) = self.state.borrow().missing_of_chain(turn)?;
        Some(missing)
    }

    async fn handle_plain_request(&self, request: Request, ledger_retention: Option<u32>) -> Reply {
        match request {
            Request::Append {
                group,
                members_version,
                load,
                placement,
                record,
            } => {
                let front = load.front;
                self.loads.update(load);
                self.update_running_turns(&record, placement);
                let record = StoredRecord::new(record, ledger_retention);
                self.append(group, members_version, front, record).await
            }
            Request::TurnPlaced { turn, placement } => {
                self.placed_turns.borrow_mut().start(turn, placement);
                Reply::Pong
            }
            Request::TurnEnded { turn } => {
                self.placed_turns.borrow_mut().end(turn);
                Reply::Pong
            }
            Request::Chain {
                group,
                members_version,
                turn,
            } => self.chain(group, members_version, &turn).await,
            Request::Digests {
                group,
                members_version,
                node,
                from,
                held,
            } => {
                self.check_requester_version(group, members_version);
                self.record_requester(group, &node);
                self.positions_held_by_peers.borrow_mut().insert(node, held);
                self.read_digests(group, members_version, from)
            }
            Request::Quota(request) => self.decide_quota(request),
            Request::QuotaGranted(request) => {
                self.count_granted(request);
                Reply::Pong
            }
            Request::QuotaRefund { tenant, receipt } => {
                let now = self.started_at.elapsed();
                let mut quotas = self.quotas.borrow_mut();
                quotas.refund(tenant, receipt.into(), now);
                Reply::Pong
            }
            Request::NewerStoreGroups(stores) => {
                self.receive_stores(stores);
                Reply::Pong
            }
            Request::Ping => Reply::Pong,
            Request::Changes { after } => self.relay_changes(after),
            Request::Routes => self.relay_routes().await,
            Request::Directory => self.relay_directory(),
            Request::Stores => Reply::Stores(self.known_stores()),
            Request::Items => Reply::Items(self.directory_items.borrow().clone()),
            Request::Fetch { digests } => self.fetch(&digests).await.reply,
        }
    }

    fn read_digests(
        &self,
        group: GroupNumber,
        members_version: u64,
        from: JournalPosition,
    ) -> Reply {
        let directory = self.directory.mark();
        let status = self.peer_status(group, members_version);
        let mut reply = self.state.borrow().digests_reply(from, status, directory);
        if let Reply::Digests { silent, .. } = &mut reply {
            *silent = self.silent_peers();
        }
        reply
    }

    fn peer_status(&self, group: GroupNumber, members_version: u64) -> PeerStatus {
        let status = self.membership.borrow().peer_status(group, members_version);
        PeerStatus {
            complete: status.complete && self.has_saved_stores(),
            ..status
        }
    }

    /// Reads records by their digests, as many as fit into one reply and at least one.
    /// Unreadable ones are left out; the requester still misses them and asks again or elsewhere.
    async fn fetch(&self, digests: &[RecordDigest]) -> HandledRequest {
        let (locations, journal, expired) = {
            let state = self.state.borrow();
            let expired = digests.iter().filter(|digest| !state.holds(**digest));
            let expired = expired.copied().collect();
            (
                state.locations(digests),
                state.journal_end().journal,
                expired,
            )
        };
        let records = self
            .reader
            .records_within(locations, MAX_REPLY_RECORD_BYTES)
            .await;
        let retentions = records.iter().map(|record| {
            let retention = record.fields().ledger_retention_seconds;
            retention.unwrap_or(UNKNOWN_RETENTION)
        });
        HandledRequest {
            ledger_retentions: Some(retentions.collect()),
            later_ledger_entries: None,
            missing_of_chain: None,
            reply: Reply::Fetched {
                journal,
                records: records.into_iter().map(|record| record.record).collect(),
                expired,
            },
        }
    }

    /// Returns the size in bytes of the records in the reply to a request.
    pub fn reply_record_bytes(&self, request: &Request) -> usize {
        let state = self.state.borrow();
        match request {
            Request::Chain { turn, .. } => {
                let links = state.chain(turn, MAX_REPLY_RECORD_BYTES);
                links.iter().map(ChainLink::bytes).sum()
            }
            Request::Fetch { digests } => {
                let locations = state.locations(digests);
                let bytes = locations.iter().map(|location| location.length as usize);
                let largest = bytes.clone().max().unwrap_or(0);
                bytes
                    .sum::<usize>()
                    .min(MAX_REPLY_RECORD_BYTES.max(largest))
            }
            _ => 0,
        }
    }

    /// Reads the chain that ends in a turn, as much of it as fits into one reply and at least
    /// one turn; the requester asks for the rest. A turn that is stored but unreadable is
    /// never reported as missing, so that the requester asks another store.
    async fn chain(&self, group: GroupNumber, members_version: u64, turn: &Text) -> Reply {
        let complete = {
            let membership = self.membership.borrow();
            membership.is_authoritative_for(group, members_version)
        };
        let refusal = self.membership.borrow().refusal(group, members_version);
        let links = self.state.borrow().chain(turn, MAX_REPLY_RECORD_BYTES);
        let Some(parts) = self.read_chain(turn, links).await else {
            return Reply::Refused(Refusal::DiskRefused);
        };
        if parts.is_empty()
            && let Some(Reply::StaleMembers(stores)) = refusal
        {
            return Reply::StaleMembers(stores);
        }
        let missing = parts.last().map_or(turn, |last| &last.previous).clone();
        Reply::Chain {
            complete,
            parts: List(parts),
            missing,
        }
    }

    /// Returns the turns of a chain, reading those on disk in one call; `None` if one is
    /// unreadable or is not the turn that its successor names.
    async fn read_chain(&self, turn: &Text, links: Vec<ChainLink>) -> Option<Vec<ChainPart>> {
        let locations = links.iter().filter_map(|link| match link {
            ChainLink::OnDisk(location) => Some(*location),
            ChainLink::Cached(_) => None,
        });
        let locations: Vec<_> = locations.collect();
        let results = match locations.is_empty() {
            true => Vec::new(),
            false => self.reader.records(locations).await,
        };
        let mut results = results.into_iter();
        let mut parts = Vec::new();
        let mut expected = turn.clone();
        for link in links {
            let part = match link {
                ChainLink::Cached(part) => part,
                ChainLink::OnDisk(_) => chain_part(results.next()?.ok()?.record)?,
            };
            if part.turn != expected {
                return None;
            }
            expected = part.previous.clone();
            parts.push(part);
        }
        Some(parts)
    }

    async fn append(
        &self,
        group: GroupNumber,
        members_version: u64,
        front: u32,
        stored: StoredRecord,
    ) -> Reply {
        let record = &stored.record;
        self.check_requester_version(group, members_version);
        let refusal = self.membership.borrow().refusal(group, members_version);
        if let Some(refusal) = refusal {
            return refusal;
        }
        if let Some(refusal) = self.refusal_for(record) {
            return Reply::Refused(refusal);
        }
        let reservation = match record {
            Record::Reserve { program, turn, .. } => Some((program.clone(), TurnKey::of(turn))),
            Record::Settle { .. } | Record::Turn(_) | Record::Clock { .. } => None,
        };
        let turn = match record {
            Record::Turn(turn) => Some((TurnKey::of(&turn.turn), turn.retention_seconds)),
            Record::Reserve { .. } | Record::Settle { .. } | Record::Clock { .. } => None,
        };
        if !self.holds_copied_turn(record) && !self.store_record(stored).await {
            return Reply::Refused(Refusal::DiskRefused);
        }
        if let Some((turn, retention_seconds)) = turn {
            let now = self.clock.seconds();
            let mut state = self.state.borrow_mut();
            state.retain_chain(turn, retention_seconds, now);
        }
        // A newer member list may have arrived while the record waited for the disk, and a
        // peer may have fetched digests under that list without this record.
        if let Some(refusal) = self.membership.borrow().refusal(group, members_version) {
            return refusal;
        }
        let (ledger, other_fronts) = match reservation {
            Some((program, TurnKey(turn))) => (
                self.state.borrow().ledger_entries(&program),
                OtherFrontsReport {
                    placed_turns: self.placed_turns.borrow_mut().counts_excluding(turn),
                    ..self.loads.report_excluding(front)
                },
            ),
            None => Default::default(),
        };
        Reply::Stored {
            complete: self.membership.borrow().is_complete_for(group),
            ledger,
            other_fronts,
            directory: self.directory.mark(),
        }
    }

    /// Returns whether a record is the copy of a turn that is stored. A copy belongs to no program,
    /// so it holds nothing that the turn's own record lacks.
    fn holds_copied_turn(&self, record: &Record) -> bool {
        match record {
            Record::Turn(turn) => {
                turn.program.is_empty() && self.state.borrow().has_turn(&turn.turn)
            }
            Record::Reserve { .. } | Record::Settle { .. } | Record::Clock { .. } => false,
        }
    }

    /// Decides on a tenant's request on behalf of all fronts.
    fn decide_quota(&self, request: QuotaRequest) -> Reply {
        let forced = request.forced || request.standby;
        let Some(request) = request.validated() else {
            return Reply::Quota(QuotaReply::default());
        };
        let now = self.started_at.elapsed();
        let mut quotas = self.quotas.borrow_mut();
        let decision = match forced || quotas.has_full_window(request.tenant, now) {
            true => quotas.acquire(&request, now),
            false => QuotaDecision::Unknown,
        };
        let retry_after = match decision {
            QuotaDecision::Rejected(retry_after) => retry_after,
            QuotaDecision::Granted | QuotaDecision::Unknown => Duration::ZERO,
        };
        let receipt = match decision {
            QuotaDecision::Granted => quotas.receipt(request.tenant, now),
            QuotaDecision::Rejected(_) | QuotaDecision::Unknown => None,
        };
        Reply::Quota(QuotaReply {
            decided: decision != QuotaDecision::Unknown,
            granted: decision == QuotaDecision::Granted,
            retry_after_milliseconds: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            fronts: u16::try_from(self.loads.reporting_fronts()).unwrap_or(u16::MAX),
            receipt: receipt.unwrap_or_default().into(),
        })
    }

    fn count_granted(&self, request: QuotaRequest) {
        if let Some(request) = request.validated() {
            let now = self.started_at.elapsed();
            self.quotas.borrow_mut().count(&request, now);
        }
    }

    /// Updates the running turns from a record that starts or ends a turn.
    fn update_running_turns(&self, record: &Record, placement: Option<Placement>) {
        let mut placed_turns = self.placed_turns.borrow_mut();
        match (record, placement) {
            (Record::Reserve { turn, .. }, Some(placement)) => {
                placed_turns.start(TurnKey::of(turn).0, placement);
            }
            (Record::Settle { turn, .. }, _) => placed_turns.end(TurnKey::of(turn).0),
            (Record::Turn(record), _) => placed_turns.end(TurnKey::of(&record.turn).0),
            (Record::Reserve { .. } | Record::Clock { .. }, _) => {}
        }
    }

    /// Returns why this record cannot be stored. New turns are refused at a lower limit
    /// than the results of running ones, so that these can still be stored.
    fn refusal_for(&self, record: &Record) -> Option<Refusal> {
        let limit_bytes = match record {
            Record::Reserve { .. } => self.limits.reservation_limit_bytes(),
            Record::Settle { .. } | Record::Turn(_) => self.limits.state_bytes,
            // Clock records are internal and not accepted from a requester.
            Record::Clock { .. } => return Some(Refusal::NotAMember),
        };
        self.refusal_at(limit_bytes)
    }

    fn relay_changes(&self, after: u64) -> Reply {
        let source = self.directory_source.borrow();
        let relayed = source
            .as_ref()
            .and_then(|source| source.relay_changes(after));
        relayed.map_or(Reply::DirectoryUnknown, directory_relay::changes_reply)
    }

    async fn relay_routes(&self) -> Reply {
        let source = self.directory_source.borrow().clone();
        let Some(source) = source else {
            return Reply::DirectoryUnknown;
        };
        // If this takes longer, the front reads from the key-value service itself.
        let reading = tokio::time::timeout(ROUTES_READ_TIMEOUT, source.relay_routes()).await;
        let relayed = reading.ok().flatten();
        relayed.map_or(Reply::DirectoryUnknown, directory_relay::routes_reply)
    }

    /// Returns the addresses of all members, or of the registered stores before the groups
    /// are formed.
    fn known_stores(&self) -> List<Text> {
        let stores = self.stores();
        if stores.is_formed() {
            let members = stores.members();
            return members.map(|member| member.address.clone()).collect();
        }
        self.registered_addresses.borrow().clone()
    }

    fn relay_directory(&self) -> Reply {
        let source = self.directory_source.borrow();
        let relayed = source.as_ref().and_then(|source| source.relay_items());
        relayed.map_or(Reply::DirectoryUnknown, directory_relay::directory_reply)
    }
}

/// Extracts the chain part from a turn record.
fn chain_part(record: Record) -> Option<ChainPart> {
    match record {
        Record::Turn(TurnRecord {
            turn,
            previous,
            input,
            output,
            ..
        }) => Some(ChainPart {
            turn,
            previous,
            input,
            output,
        }),
        Record::Reserve { .. } | Record::Settle { .. } | Record::Clock { .. } => None,
    }
}
