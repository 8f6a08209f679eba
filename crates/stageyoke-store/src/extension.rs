//! Extension fields after a message, and protocol versions.
//!
//! Messages of version 1 never change, so that builds of different versions can run side by
//! side during an upgrade. Readers of version 1 ignore the bytes after a message, so newer
//! content goes there as fields with a tag and a length. Readers skip fields with unknown
//! tags.
//!
//! Both ends of a connection send their version with their first message. Other fields are
//! only sent to a peer whose version supports them.

use nanoserde::{DeBin, DeBinErr, SerBin};
use stageyoke_directory::GroupNumber;
use stageyoke_policy::deadly_requests::Standing;
use stageyoke_types::{Blob, List, Text};

use crate::message::{LatencyEntry, LedgerEntry};

/// Version of a peer that sends none.
pub const FIRST_VERSION: u16 = 1;
/// Version of this build, which supports extension fields.
pub const VERSION: u16 = 2;

/// Describes the build in the startup event.
pub fn describe_build() -> String {
    format!("build={} speaks={VERSION}", env!("CARGO_PKG_VERSION"))
}

/// Field tags; a tag must never be reused for other content.
const VERSION_TAG: u8 = 1;
const RANK_LOADS_TAG: u8 = 2;
const PROGRAM_TAG: u8 = 3;
const STARTED_TAG: u8 = 4;
const FRONT_TAG: u8 = 5;
const ENGINE_LATENCIES_TAG: u8 = 6;
const ENGINE_DEVIATIONS_TAG: u8 = 7;
const KNOWN_ITEM_TAG: u8 = 8;
const LEDGER_QUERY_TAG: u8 = 9;
const UNSYNCED_LEDGER_TAG: u8 = 10;
const WRITE_DELAY_TAG: u8 = 11;
const PERMIT_REQUEST_TAG: u8 = 12;
const PERMIT_TAG: u8 = 13;
const STREAM_REPORT_TAG: u8 = 14;
const STREAM_RECORDED_TAG: u8 = 15;
const STREAM_QUERY_TAG: u8 = 16;
const STREAM_VERSION_TAG: u8 = 17;
const RUN_REPORT_TAG: u8 = 18;
const PERMIT_QUERY_TAG: u8 = 19;
const RUN_PERMIT_TAG: u8 = 20;
const KNOWN_RESTRICTIONS_TAG: u8 = 21;
const RESTRICTIONS_TAG: u8 = 22;
const LEDGER_RETENTION_TAG: u8 = 23;
const LEDGER_RETENTIONS_TAG: u8 = 24;
const LATER_ENTRIES_TAG: u8 = 25;
const MISSING_OF_CHAIN_TAG: u8 = 26;
const ATTEMPT_REPORT_TAG: u8 = 27;
const ATTEMPT_RECORDED_TAG: u8 = 28;
const ATTEMPTS_QUERY_TAG: u8 = 29;
const ATTEMPTS_TAG: u8 = 30;
const STREAM_IDENTITY_TAG: u8 = 31;
const SERVICE_QUERY_TAG: u8 = 32;
const SERVICE_VERSIONS_TAG: u8 = 33;

/// An encoded field.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
struct EncodedField {
    tag: u8,
    content: Blob,
}

/// Turns of one rank in flight at a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RankLoad {
    /// Hash of the service's name.
    pub service: u32,
    /// Rank of the turns; 0 is the most urgent.
    pub rank: u8,
    /// Number of turns in flight.
    pub in_flight: u16,
}

/// Deviation of an engine's latency from the median of all engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Deviation {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Logarithm of the engine's latency over the median, in hundredths.
    pub log_ratio: i16,
}

/// The revision of a directory item that a front has.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct KnownItem {
    /// Key of the item.
    pub key: Text,
    /// Revision of its last change.
    pub revision: u64,
}

/// A query for a program's ledger including reservations that are not on disk yet.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LedgerQuery {
    /// Group that stores the program's records.
    pub group: GroupNumber,
    /// Version of the member list by which the replies are counted.
    pub members_version: u64,
    /// The program.
    pub program: Text,
}

/// A request for a permit to send one request to a cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PermitRequest {
    /// Hash of the replica's incarnation.
    pub replica: u64,
    /// Number of permits that one store may grant in a window.
    pub permits: u32,
}

/// A store's decision on such a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Permit {
    /// Whether the request may be sent.
    pub granted: bool,
    /// Time in milliseconds for which no further request may be sent.
    pub retry_after_milliseconds: u32,
}

/// A report of the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct StreamReport {
    /// Hash of the identifier of the request that began the stream.
    pub stream: u128,
    /// Software version of the replica that answered the request.
    pub version: Text,
    /// Time in milliseconds for which the stream may be continued.
    pub ttl_milliseconds: u32,
}

/// What the caller of one attempt at a stream may have got of it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RecordedAttempt {
    /// Hash of the identifier of the request that began the stream.
    pub stream: u128,
    /// Hash of the identifier of the attempt.
    pub attempt: u128,
    /// Number of attempts at the same stream before this one.
    pub sequence: u32,
    /// Whether the attempt has ended, so that its caller has no further events of it.
    pub ended: bool,
    /// Events since the beginning of the stream.
    pub events: Blob,
}

/// A report of an attempt at a stream that its caller may resume.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AttemptReport {
    /// Identity of the request.
    pub request: u128,
    /// What its caller may have got.
    pub attempt: RecordedAttempt,
    /// Time in milliseconds for which the stream may be continued.
    pub ttl_milliseconds: u32,
}

/// Stands for the request in the report of a replica that ended without one.
pub const NO_REQUEST: u128 = 0;

/// A report of how a run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RunReport {
    /// Identity of the request, or `NO_REQUEST`.
    pub request: u128,
    /// Hash of the replica's incarnation.
    pub replica: u64,
    /// Whether the request ran to its end. Otherwise the replica's process ended under it.
    pub completed: bool,
}

/// A query for a permit to run a request under which replicas have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PermitQuery {
    /// Identity of the request.
    pub request: u128,
    /// Hash of the replica's incarnation.
    pub replica: u64,
    /// Random number of the run.
    pub run: u64,
    /// Time in milliseconds for which the permit is held; 0 releases it.
    pub ttl_milliseconds: u32,
}

/// The number of replicas that have ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Restriction {
    /// Identity of the request.
    pub request: u128,
    /// Ends that count against the request; too few lift the restriction.
    pub ends: u8,
}

impl Restriction {
    /// Returns whether the request may be sent.
    pub fn standing(self) -> Standing {
        Standing::of(usize::from(self.ends))
    }

    /// Returns whether the request needs a permit or is blocked.
    pub fn is_restricted(self) -> bool {
        self.standing() != Standing::Free
    }

    /// Returns whether the request is blocked.
    pub fn is_blocked(self) -> bool {
        self.standing() == Standing::Blocked
    }
}

/// Requests whose runs are restricted.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Restrictions {
    /// Version of the store's list after this message.
    pub version: u64,
    /// Whether these are all, and not only those that changed.
    pub complete: bool,
    /// The requests.
    pub requests: List<Restriction>,
}

/// The extension fields of one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExtensionFields {
    /// Version of the sender; sent with the first message of a connection.
    pub version: Option<u16>,
    /// After an append: turns that the sending front has in flight. After the replies to
    /// reservations and to program queries: turns that all other fronts have in flight.
    pub rank_loads: Option<List<RankLoad>>,
    /// After a ping: the program whose start is queried.
    pub program: Option<Text>,
    /// After the reply to such a ping: whether any turn of the program has started.
    pub started: Option<bool>,
    /// After a ping: identifier of the sending front, as in its load reports.
    pub front: Option<u32>,
    /// After an append: engine latencies measured since the last report to this group.
    pub engine_latencies: Option<List<LatencyEntry>>,
    /// After a reply: deviations of engines, computed from the reports of all fronts.
    pub engine_deviations: Option<List<Deviation>>,
    /// After a request for directory changes or the routing configuration: an item that the
    /// requester has. The reply omits the change or the value if its revision is the same.
    pub known_item: Option<KnownItem>,
    /// After a ping: a program whose ledger is queried.
    pub ledger_query: Option<LedgerQuery>,
    /// After the reply to such a ping: the program's ledger, if the store is a complete
    /// member of the group. Includes reservations that it has received but not synced.
    pub unsynced_ledger: Option<List<LedgerEntry>>,
    /// After the reply to a ping: for how long the oldest unfinished write has waited for the
    /// disk, in milliseconds, if that is long.
    pub write_delay_milliseconds: Option<u32>,
    /// After a ping: a request to a cold replica that needs a permit.
    pub permit_request: Option<PermitRequest>,
    /// After the reply to such a ping: the decision, if the store owns the replica's permits.
    pub permit: Option<Permit>,
    /// After a ping: the version that began a stream.
    pub stream_report: Option<StreamReport>,
    /// After the reply to such a ping: whether the store knows the version from now on.
    pub stream_recorded: Option<bool>,
    /// After a ping: hash of the identifier of a stream whose version is queried.
    pub stream_query: Option<u128>,
    /// After the reply to such a ping: the version; empty if the store does not know it.
    pub stream_version: Option<Text>,
    /// After a ping: how a run ended.
    pub run_report: Option<RunReport>,
    /// After a ping: a query for a permit to run a request.
    pub permit_query: Option<PermitQuery>,
    /// After the reply to such a ping: the decision, as `RunPermit` is numbered.
    pub run_permit: Option<u8>,
    /// After a ping: version of the restrictions that the sender has. The store sends it all
    /// later changes on this connection.
    pub known_restrictions: Option<u64>,
    /// After the reply to such a ping: all restricted requests, none if the version is the same.
    /// After the reply to a run report, and after a reply without a request: the one concerned.
    pub restrictions: Option<Restrictions>,
    /// After an append, and after a reservation or settlement on disk: time in seconds for which
    /// the program's ledger is retained after the record.
    pub ledger_retention_seconds: Option<u32>,
    /// After a reply with records: that time of each record in order; 0 if it is not known.
    pub ledger_retentions: Option<List<u32>>,
    /// After the reply to a reservation: how many of the last entries of the ledger in it the
    /// store has received after the reservation.
    pub later_ledger_entries: Option<u32>,
    /// After the reply to an append of a turn: key of the newest turn of its chain that the store
    /// does not hold although it is a complete member of the group.
    pub missing_of_chain: Option<u64>,
    /// After a ping: what the caller of an attempt at a stream may have got.
    pub attempt_report: Option<AttemptReport>,
    /// After the reply to such a ping: whether the store knows it from now on.
    pub attempt_recorded: Option<bool>,
    /// After a ping: identity of a request whose attempts are queried.
    pub attempts_query: Option<u128>,
    /// After the reply to such a ping: the attempts that the store knows.
    pub attempts: Option<List<RecordedAttempt>>,
    /// After the version that began a stream: identity of the request, under which it is known too.
    pub stream_identity: Option<u128>,
    /// After a ping: a service whose recent versions are queried.
    pub service_query: Option<Text>,
    /// After the reply to such a ping: the versions that were listed recently, none if the store has
    /// not observed the service for long enough.
    pub service_versions: Option<List<Text>>,
}

impl ExtensionFields {
    /// Returns the fields for the first message of a connection.
    pub fn greeting() -> Self {
        Self {
            version: Some(VERSION),
            ..Self::default()
        }
    }

    /// Returns the fields that are sent before the peer's version is known: its first messages
    /// must not lose them, and a reader of version 1 ignores them.
    pub fn for_unknown_peer(&self) -> Self {
        Self {
            ledger_retention_seconds: self.ledger_retention_seconds,
            ..Self::default()
        }
    }

    /// Appends the encoded fields that are set.
    pub fn encode(&self, output: &mut Vec<u8>) {
        encode_field(VERSION_TAG, self.version.as_ref(), output);
        encode_field(RANK_LOADS_TAG, self.rank_loads.as_ref(), output);
        encode_field(PROGRAM_TAG, self.program.as_ref(), output);
        encode_field(STARTED_TAG, self.started.as_ref(), output);
        encode_field(FRONT_TAG, self.front.as_ref(), output);
        encode_field(ENGINE_LATENCIES_TAG, self.engine_latencies.as_ref(), output);
        encode_field(
            ENGINE_DEVIATIONS_TAG,
            self.engine_deviations.as_ref(),
            output,
        );
        encode_field(KNOWN_ITEM_TAG, self.known_item.as_ref(), output);
        encode_field(LEDGER_QUERY_TAG, self.ledger_query.as_ref(), output);
        encode_field(UNSYNCED_LEDGER_TAG, self.unsynced_ledger.as_ref(), output);
        encode_field(
            WRITE_DELAY_TAG,
            self.write_delay_milliseconds.as_ref(),
            output,
        );
        encode_field(PERMIT_REQUEST_TAG, self.permit_request.as_ref(), output);
        encode_field(PERMIT_TAG, self.permit.as_ref(), output);
        encode_field(STREAM_REPORT_TAG, self.stream_report.as_ref(), output);
        encode_field(STREAM_RECORDED_TAG, self.stream_recorded.as_ref(), output);
        encode_field(STREAM_QUERY_TAG, self.stream_query.as_ref(), output);
        encode_field(STREAM_VERSION_TAG, self.stream_version.as_ref(), output);
        encode_field(RUN_REPORT_TAG, self.run_report.as_ref(), output);
        encode_field(PERMIT_QUERY_TAG, self.permit_query.as_ref(), output);
        encode_field(RUN_PERMIT_TAG, self.run_permit.as_ref(), output);
        let known = self.known_restrictions.as_ref();
        encode_field(KNOWN_RESTRICTIONS_TAG, known, output);
        encode_field(RESTRICTIONS_TAG, self.restrictions.as_ref(), output);
        let retention = self.ledger_retention_seconds.as_ref();
        encode_field(LEDGER_RETENTION_TAG, retention, output);
        let retentions = self.ledger_retentions.as_ref();
        encode_field(LEDGER_RETENTIONS_TAG, retentions, output);
        let later = self.later_ledger_entries.as_ref();
        encode_field(LATER_ENTRIES_TAG, later, output);
        let missing = self.missing_of_chain.as_ref();
        encode_field(MISSING_OF_CHAIN_TAG, missing, output);
        let report = self.attempt_report.as_ref();
        encode_field(ATTEMPT_REPORT_TAG, report, output);
        let recorded = self.attempt_recorded.as_ref();
        encode_field(ATTEMPT_RECORDED_TAG, recorded, output);
        let query = self.attempts_query.as_ref();
        encode_field(ATTEMPTS_QUERY_TAG, query, output);
        encode_field(ATTEMPTS_TAG, self.attempts.as_ref(), output);
        let identity = self.stream_identity.as_ref();
        encode_field(STREAM_IDENTITY_TAG, identity, output);
        encode_field(SERVICE_QUERY_TAG, self.service_query.as_ref(), output);
        let versions = self.service_versions.as_ref();
        encode_field(SERVICE_VERSIONS_TAG, versions, output);
    }

    /// Decodes all fields up to the end of the frame, skipping those with unknown tags.
    pub fn decode(mut offset: usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let mut fields = Self::default();
        while offset < bytes.len() {
            let field = EncodedField::de_bin(&mut offset, bytes)?;
            let content = &field.content;
            match field.tag {
                VERSION_TAG => fields.version = Some(DeBin::deserialize_bin(content)?),
                RANK_LOADS_TAG => fields.rank_loads = Some(DeBin::deserialize_bin(content)?),
                PROGRAM_TAG => fields.program = Some(DeBin::deserialize_bin(content)?),
                STARTED_TAG => fields.started = Some(DeBin::deserialize_bin(content)?),
                FRONT_TAG => fields.front = Some(DeBin::deserialize_bin(content)?),
                ENGINE_LATENCIES_TAG => {
                    fields.engine_latencies = Some(DeBin::deserialize_bin(content)?);
                }
                ENGINE_DEVIATIONS_TAG => {
                    fields.engine_deviations = Some(DeBin::deserialize_bin(content)?)
                }
                KNOWN_ITEM_TAG => fields.known_item = Some(DeBin::deserialize_bin(content)?),
                LEDGER_QUERY_TAG => fields.ledger_query = Some(DeBin::deserialize_bin(content)?),
                WRITE_DELAY_TAG => {
                    fields.write_delay_milliseconds = Some(DeBin::deserialize_bin(content)?);
                }
                PERMIT_REQUEST_TAG => {
                    fields.permit_request = Some(DeBin::deserialize_bin(content)?);
                }
                PERMIT_TAG => fields.permit = Some(DeBin::deserialize_bin(content)?),
                STREAM_REPORT_TAG => fields.stream_report = Some(DeBin::deserialize_bin(content)?),
                STREAM_RECORDED_TAG => {
                    fields.stream_recorded = Some(DeBin::deserialize_bin(content)?);
                }
                STREAM_QUERY_TAG => fields.stream_query = Some(DeBin::deserialize_bin(content)?),
                STREAM_VERSION_TAG => {
                    fields.stream_version = Some(DeBin::deserialize_bin(content)?);
                }
                RUN_REPORT_TAG => fields.run_report = Some(DeBin::deserialize_bin(content)?),
                PERMIT_QUERY_TAG => fields.permit_query = Some(DeBin::deserialize_bin(content)?),
                RUN_PERMIT_TAG => fields.run_permit = Some(DeBin::deserialize_bin(content)?),
                KNOWN_RESTRICTIONS_TAG => {
                    fields.known_restrictions = Some(DeBin::deserialize_bin(content)?);
                }
                RESTRICTIONS_TAG => fields.restrictions = Some(DeBin::deserialize_bin(content)?),
                LEDGER_RETENTION_TAG => {
                    fields.ledger_retention_seconds = Some(DeBin::deserialize_bin(content)?);
                }
                LEDGER_RETENTIONS_TAG => {
                    fields.ledger_retentions = Some(DeBin::deserialize_bin(content)?);
                }
                LATER_ENTRIES_TAG => {
                    fields.later_ledger_entries = Some(DeBin::deserialize_bin(content)?);
                }
                MISSING_OF_CHAIN_TAG => {
                    fields.missing_of_chain = Some(DeBin::deserialize_bin(content)?);
                }
                ATTEMPT_REPORT_TAG => {
                    fields.attempt_report = Some(DeBin::deserialize_bin(content)?);
                }
                ATTEMPT_RECORDED_TAG => {
                    fields.attempt_recorded = Some(DeBin::deserialize_bin(content)?);
                }
                ATTEMPTS_QUERY_TAG => {
                    fields.attempts_query = Some(DeBin::deserialize_bin(content)?);
                }
                ATTEMPTS_TAG => {
                    fields.attempts = Some(DeBin::deserialize_bin(content)?);
                }
                STREAM_IDENTITY_TAG => {
                    fields.stream_identity = Some(DeBin::deserialize_bin(content)?);
                }
                SERVICE_QUERY_TAG => fields.service_query = Some(DeBin::deserialize_bin(content)?),
                SERVICE_VERSIONS_TAG => {
                    fields.service_versions = Some(DeBin::deserialize_bin(content)?);
                }
                UNSYNCED_LEDGER_TAG => {
                    fields.unsynced_ledger = Some(DeBin::deserialize_bin(content)?);
                }
                _ => {}
            }
        }
        Ok(fields)
    }
}

fn encode_field<T: SerBin>(tag: u8, value: Option<&T>, output: &mut Vec<u8>) {
    let Some(value) = value else {
        return;
    };
    let content = Blob::from(value.serialize_bin());
    EncodedField { tag, content }.ser_bin(output);
}
