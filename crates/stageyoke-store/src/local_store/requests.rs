//! A store's answers to fronts and other stores.

use std::time::Duration;

use stageyoke_directory::GroupNumber;
use stageyoke_policy::quota::QuotaDecision;
use stageyoke_types::{List, Text};

use super::LocalStore;
use crate::directory_relay;
use crate::extension::ExtensionFields;
use crate::keys::TurnKey;
use crate::membership_state::PeerStatus;
use crate::message::{
    ChainPart, JournalPosition, OtherFrontsReport, Placement, QuotaReply, QuotaRequest, Record,
    RecordDigest, Refusal, Reply, Request, TurnRecord,
};
use crate::state::ChainLink;

/// Time for a read of the configuration on behalf of fronts: a connection that
/// owes an answer for twice as long is given up (`client`).
const TELL_ROUTES_WITHIN: Duration = Duration::from_millis(300);

/// What an answer is to bring behind it. Requests wait by the hundred while a disk does:
/// only this of their fields is held meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestedFields {
    /// The front that is told what all others have under way.
    ranks_for: Option<u32>,
    /// The front that is told how long engines take.
    paces_for: Option<u32>,
    /// Whether the program that was asked for has begun.
    begun: Option<bool>,
}

impl LocalStore {
    /// Takes the fields behind a request, and tells what its answer is to bring.
    pub fn apply_request_fields(
        &self,
        request: &Request,
        fields: ExtensionFields,
    ) -> RequestedFields {
        let tells_paces = fields.engine_latencies.is_some();
        if let Some(paces) = &fields.engine_latencies {
            self.loads.engines.add(paces);
        }
        let tells_ranks = fields.rank_loads.is_some() || fields.program.is_some();
        let front = match request {
            Request::Append { load, record, .. } => {
                if let Some(rank_loads) = fields.rank_loads {
                    self.loads.ranks.update(load.front, rank_loads);
                }
                matches!(record, Record::Reserve { .. }).then_some(load.front)
            }
            _ => fields.front,
        };
        RequestedFields {
            ranks_for: front.filter(|_| tells_ranks),
            paces_for: front.filter(|_| tells_paces),
            begun: fields.program.map(|program| self.has_begun(&program)),
        }
    }

    /// Whether any turn of a program has begun, as far as this store knows.
    fn has_begun(&self, program: &Text) -> bool {
        let entries = self.state.borrow().ledger_entries(program);
        entries.iter().any(|entry| entry.amount > 0)
    }

    /// The fields behind an answer.
    pub fn reply_fields(&self, answer: RequestedFields) -> ExtensionFields {
        let ranks = answer.ranks_for;
        let paces = answer.paces_for;
        ExtensionFields {
            rank_loads: ranks.map(|front| self.loads.ranks.report_excluding(front)),
            engine_deviations: paces.and_then(|front| self.loads.engines.deviations_for(front)),
            started: answer.begun,
            ..ExtensionFields::default()
        }
    }

    /// Answers one request.
    pub async fn handle_request(&self, request: Request) -> Reply {
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
                self.count_turn(&record, placement);
                self.append(group, members_version, front, record).await
            }
            Request::TurnPlaced { turn, placement } => {
                self.placed.borrow_mut().start(turn, placement);
                Reply::Pong
            }
            Request::TurnEnded { turn } => {
                self.placed.borrow_mut().end(turn);
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
                self.note_version(group, members_version);
                self.note_asker(group, &node);
                self.held_by_peers.borrow_mut().insert(node, held);
                self.tell_digests(group, members_version, from)
            }
            Request::Quota(question) => self.rule(question),
            Request::QuotaGranted(question) => {
                self.count_granted(question);
                Reply::Pong
            }
            Request::QuotaRefund { tenant, receipt } => {
                let now = self.started.elapsed();
                let mut quotas = self.quotas.borrow_mut();
                quotas.refund(tenant, receipt.into(), now);
                Reply::Pong
            }
            Request::NewerStoreGroups(stores) => {
                self.hear_stores(stores);
                Reply::Pong
            }
            Request::Ping => Reply::Pong,
            Request::Changes { after } => self.tell_changes(after),
            Request::Routes => self.tell_routes().await,
            Request::Directory => self.tell_directory(),
            Request::Stores => Reply::Stores(self.known_stores()),
            Request::Items => Reply::Items(self.items.borrow().clone()),
            Request::Fetch { digests } => self.fetch(&digests).await,
        }
    }

    fn tell_digests(
        &self,
        group: GroupNumber,
        members_version: u64,
        from: JournalPosition,
    ) -> Reply {
        let directory = self.directory.mark();
        let standing = self.standing_for_peer(group, members_version);
        let mut reply = self.state.borrow().digests_reply(from, standing, directory);
        if let Reply::Digests { silent, .. } = &mut reply {
            *silent = self.silent_peers();
        }
        reply
    }

    fn standing_for_peer(&self, group: GroupNumber, members_version: u64) -> PeerStatus {
        let standing = self.standing.borrow().peer_status(group, members_version);
        PeerStatus {
            complete: standing.complete && self.has_saved_stores(),
            ..standing
        }
    }

    /// Records by their digests; those that can't be read are left out, and the
    /// asker, which still misses them, asks again or elsewhere.
    async fn fetch(&self, digests: &[RecordDigest]) -> Reply {
        let (places, journal, forgotten) = {
            let state = self.state.borrow();
            let forgotten = digests.iter().filter(|digest| !state.holds(**digest));
            let forgotten = forgotten.copied().collect();
            (
                state.locations(digests),
                state.journal_end().journal,
                forgotten,
            )
        };
        let read = self.reader.records(places).await;
        Reply::Fetched {
            journal,
            records: read.into_iter().filter_map(Result::ok).collect(),
            expired: forgotten,
        }
    }

    /// The chain that ends in a turn. A turn that is held and can't be read is
    /// never told as missing: the caller must ask another store.
    async fn chain(&self, group: GroupNumber, members_version: u64, turn: &Text) -> Reply {
        let complete = {
            let standing = self.standing.borrow();
            standing.is_authoritative_for(group, members_version)
        };
        let refusal = self.standing.borrow().refusal(group, members_version);
        let steps = self.state.borrow().chain(turn);
        let Some(parts) = self.read_chain(turn, steps).await else {
            return Reply::Refused(Refusal::DiskRefused);
        };
        if parts.is_empty()
            && let Some(Reply::StaleMembers(newer)) = refusal
        {
            return Reply::StaleMembers(newer);
        }
        let missing = parts.last().map_or(turn, |last| &last.previous).clone();
        Reply::Chain {
            complete,
            parts: List(parts),
            missing,
        }
    }

    /// The parts of a chain, those from the disk in one go; `None` if one can't
    /// be read or is another turn than the one before it names.
    async fn read_chain(&self, turn: &Text, steps: Vec<ChainLink>) -> Option<Vec<ChainPart>> {
        let places = steps.iter().filter_map(|step| match step {
            ChainLink::OnDisk(place) => Some(*place),
            ChainLink::Cached(_) => None,
        });
        let places: Vec<_> = places.collect();
        let read = match places.is_empty() {
            true => Vec::new(),
            false => self.reader.records(places).await,
        };
        let mut read = read.into_iter();
        let mut parts = Vec::new();
        let mut expected = turn.clone();
        for step in steps {
            let part = match step {
                ChainLink::Cached(part) => part,
                ChainLink::OnDisk(_) => part_of(read.next()?.ok()?)?,
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
        record: Record,
    ) -> Reply {
        self.note_version(group, members_version);
        let refusal = self.standing.borrow().refusal(group, members_version);
        if let Some(refusal) = refusal {
            return refusal;
        }
        if let Some(refusal) = self.no_room_for(&record) {
            return Reply::Refused(refusal);
        }
        let reserved = match &record {
            Record::Reserve { program, turn, .. } => Some((program.clone(), TurnKey::of(turn))),
            Record::Settle { .. } | Record::Turn(_) | Record::Clock { .. } => None,
        };
        if !self.store_record(record).await {
            return Reply::Refused(Refusal::DiskRefused);
        }
        // A newer list may have come while the record waited for the disk, and a peer may
        // have been told of what is held by that list, without this record.
        if let Some(refusal) = self.standing.borrow().refusal(group, members_version) {
            return refusal;
        }
        let (ledger, others) = match reserved {
            Some((program, TurnKey(turn))) => (
                self.state.borrow().ledger_entries(&program),
                OtherFrontsReport {
                    placed_turns: self.placed.borrow_mut().counts_excluding(turn),
                    ..self.loads.report_excluding(front)
                },
            ),
            None => Default::default(),
        };
        Reply::Stored {
            complete: self.standing.borrow().is_complete_for(group),
            ledger,
            other_fronts: others,
            directory: self.directory.mark(),
        }
    }

    /// Decides on a tenant's request, for all fronts.
    fn rule(&self, question: QuotaRequest) -> Reply {
        let pressed = question.forced || question.standby;
        let Some(question) = question.validated() else {
            return Reply::Quota(QuotaReply::default());
        };
        let now = self.started.elapsed();
        let mut quotas = self.quotas.borrow_mut();
        let verdict = match pressed || quotas.has_full_window(question.tenant, now) {
            true => quotas.acquire(&question, now),
            false => QuotaDecision::Unknown,
        };
        let after = match verdict {
            QuotaDecision::Rejected(after) => after,
            QuotaDecision::Granted | QuotaDecision::Unknown => Duration::ZERO,
        };
        let receipt = match verdict {
            QuotaDecision::Granted => quotas.receipt(question.tenant, now),
            QuotaDecision::Rejected(_) | QuotaDecision::Unknown => None,
        };
        Reply::Quota(QuotaReply {
            decided: verdict != QuotaDecision::Unknown,
            granted: verdict == QuotaDecision::Granted,
            retry_after_milliseconds: u32::try_from(after.as_millis()).unwrap_or(u32::MAX),
            fronts: u16::try_from(self.loads.reporting_fronts()).unwrap_or(u16::MAX),
            receipt: receipt.unwrap_or_default().into(),
        })
    }

    fn count_granted(&self, question: QuotaRequest) {
        if let Some(question) = question.validated() {
            let now = self.started.elapsed();
            self.quotas.borrow_mut().count(&question, now);
        }
    }

    /// Counts the turn that a record begins or ends.
    fn count_turn(&self, record: &Record, placement: Option<Placement>) {
        let mut placed = self.placed.borrow_mut();
        match (record, placement) {
            (Record::Reserve { turn, .. }, Some(placement)) => {
                placed.start(TurnKey::of(turn).0, placement);
            }
            (Record::Settle { turn, .. }, _) => placed.end(TurnKey::of(turn).0),
            (Record::Turn(record), _) => placed.end(TurnKey::of(&record.turn).0),
            (Record::Reserve { .. } | Record::Clock { .. }, _) => {}
        }
    }

    /// Why this record is not taken. New turns are refused before the ends of
    /// those that have begun, so that these can still be kept.
    fn no_room_for(&self, record: &Record) -> Option<Refusal> {
        let most = match record {
            Record::Reserve { .. } => self.limits.reservation_limit_bytes(),
            Record::Settle { .. } | Record::Turn(_) => self.limits.state_bytes,
            // A store's own; no caller may send it.
            Record::Clock { .. } => return Some(Refusal::NotAMember),
        };
        self.no_room_below(most)
    }

    fn tell_changes(&self, after: u64) -> Reply {
        let source = self.source.borrow();
        let told = source
            .as_ref()
            .and_then(|source| source.relay_changes(after));
        told.map_or(Reply::DirectoryUnknown, directory_relay::changes_reply)
    }

    async fn tell_routes(&self) -> Reply {
        let source = self.source.borrow().clone();
        let Some(source) = source else {
            return Reply::DirectoryUnknown;
        };
        // A front asks the service itself where this takes longer.
        let telling = tokio::time::timeout(TELL_ROUTES_WITHIN, source.relay_routes()).await;
        let told = telling.ok().flatten();
        told.map_or(Reply::DirectoryUnknown, directory_relay::routes_reply)
    }

    /// The members of the groups, or who has registered while there are none.
    fn known_stores(&self) -> List<Text> {
        let stores = self.stores();
        if stores.is_formed() {
            let members = stores.members();
            return members.map(|member| member.address.clone()).collect();
        }
        self.registered.borrow().clone()
    }

    fn tell_directory(&self) -> Reply {
        let source = self.source.borrow();
        let told = source.as_ref().and_then(|source| source.relay_items());
        told.map_or(Reply::DirectoryUnknown, directory_relay::directory_reply)
    }
}

/// The part of a chain that a record is.
fn part_of(record: Record) -> Option<ChainPart> {
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
