//! Messages that fronts and stores exchange, in their binary encoding.

use nanoserde::{DeBin, SerBin};
use stageyoke_directory::{DirectoryMark, GroupNumber, StoreGroups};
use stageyoke_policy::quota::{AcquireRequest, GrantReceipt};
use stageyoke_policy::token_bucket::RateLimit;
use stageyoke_types::{Blob, List, Text};

use crate::frame::MAX_FRAME_BYTES;

/// Largest content of a turn that can be stored: its record must fit into a frame, with room for
/// the rest of the message.
pub const MAX_TURN_BYTES: usize = MAX_FRAME_BYTES - 1024 * 1024;
/// Largest input of such a turn, which leaves room for its output.
pub const MAX_TURN_INPUT_BYTES: usize = MAX_TURN_BYTES - 4 * 1024 * 1024;

/// An immutable record of one finished turn of a program whose history is stored.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TurnRecord {
    /// Request identifier of the turn.
    pub turn: Text,
    /// Name of the program; empty if the request named none.
    pub program: Text,
    /// Identifier of the turn that this one continues; empty for the first turn of a chain.
    pub previous: Text,
    /// Input of this turn alone, without that of earlier turns.
    pub input: Blob,
    /// Data of the response events, each terminated by a line feed.
    pub output: Blob,
    /// Number of generated tokens.
    pub used_tokens: u32,
    /// Time in seconds for which the turn and the chain before it are retained.
    pub retention_seconds: u32,
}

/// An entry of a store's journal.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Record {
    /// Reserves up to `max_tokens` of a program's budget for one turn.
    Reserve {
        /// Program whose budget is reserved.
        program: Text,
        /// Turn that holds the reservation.
        turn: Text,
        /// Upper bound on the tokens that the turn may generate.
        max_tokens: u32,
    },
    /// Settles a reservation: the turn ended after generating `used_tokens`.
    Settle {
        /// Program whose budget was reserved.
        program: Text,
        /// Turn that held the reservation.
        turn: Text,
        /// Number of tokens that the turn generated.
        used_tokens: u32,
    },
    /// Stores a finished turn and settles its reservation.
    Turn(TurnRecord),
    /// Marks the start of a segment by the disk's clock; never sent to another process.
    Clock {
        /// Total time in seconds that processes have run on this disk.
        seconds: u64,
    },
}

/// Identifies a record across stores: a digest of its kind, program and turn.
pub type RecordDigest = u64;

impl Record {
    /// Returns whether the record fits into a frame.
    pub fn fits_into_frame(&self) -> bool {
        match self {
            Self::Turn(turn) => turn.input.len() + turn.output.len() <= MAX_TURN_BYTES,
            Self::Reserve { .. } | Self::Settle { .. } | Self::Clock { .. } => true,
        }
    }

    /// Returns the digest by which stores compare their records. Records are immutable, so
    /// the kind and the identifiers determine the content.
    pub fn digest(&self) -> RecordDigest {
        let (kind, program, turn) = match self {
            Self::Reserve { program, turn, .. } => (0_u8, program.as_str(), turn.as_str()),
            Self::Settle { program, turn, .. } => (1, program.as_str(), turn.as_str()),
            Self::Turn(record) => (2, record.program.as_str(), record.turn.as_str()),
            Self::Clock { .. } => (3, "", ""),
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[kind]);
        hasher.update(program.as_bytes());
        hasher.update(&[0]);
        hasher.update(turn.as_bytes());
        let digest = hasher.finalize();
        let mut bytes = [0_u8; 8];
        bytes.copy_from_slice(&digest.as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }
}

/// One turn's entry in a program's ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LedgerEntry {
    /// Key of the turn (`TurnKey`).
    pub turn: u64,
    /// Tokens that the turn used if it is settled, otherwise its reserved maximum.
    pub amount: u32,
    /// Whether the turn has ended and its reservation is settled.
    pub settled: bool,
}

/// One turn of a chain, as sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ChainPart {
    /// Identifier of the turn.
    pub turn: Text,
    /// Identifier of the turn that this one continues; empty for the first turn of a chain.
    pub previous: Text,
    /// Input of this turn alone.
    pub input: Blob,
    /// Data of the response events, each terminated by a line feed.
    pub output: Blob,
}

impl ChainPart {
    /// Returns the size of the turn's contents in bytes.
    pub fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// A position in the journal of one store process. The journal gets a new identifier and
/// its positions count from zero again when the process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JournalPosition {
    /// Random identifier of the journal, chosen when the process starts.
    pub journal: u64,
    /// Number of the next record to read.
    pub next: u64,
}

/// A member that does not answer another member.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SilentPeer {
    /// Machine name of the silent member.
    pub node: Text,
    /// Time in milliseconds since its last answer.
    pub silent_milliseconds: u32,
}

/// An item of the key-value service, as last read by a store.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct DirectoryItem {
    /// Key of the item.
    pub key: Text,
    /// Value of the item.
    pub value: Blob,
    /// Revision of the last change to the item.
    pub revision: u64,
}

/// A change to an item of the key-value service, as observed by a store.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct DirectoryChange {
    /// Key of the changed item.
    pub key: Text,
    /// New value; `None` if the item was removed.
    pub value: Option<Blob>,
    /// Revision of the change.
    pub revision: u64,
}

/// How recent a store's copy of the directory is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct CopyFreshness {
    /// Highest revision up to which the copy contains every change.
    pub revision: u64,
    /// Time in milliseconds since the copy was known to be current.
    pub age_milliseconds: u32,
    /// Time in milliseconds during which entries that lapsed in a service outage may still
    /// reappear; zero if there are none.
    pub lapsed_entry_grace_milliseconds: u32,
}

/// Requests that one front has in flight at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadEntry {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Number of requests in flight.
    pub in_flight: u16,
}

/// The replica on which a turn runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Placement {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Upper bound on the turn's duration, in milliseconds.
    pub max_duration_milliseconds: u32,
}

/// Latency of one replica as measured by one front, relative to the baseline latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LatencyEntry {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Sum over the answers of the logarithm of latency over baseline, in hundredths.
    pub log_ratio: i32,
    /// Number of answers in the sum.
    pub answers: u16,
}

/// A replica that is slower than most replicas that fronts report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SlowReplica {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Slowdown factor relative to those replicas, in tenths.
    pub slowdown_tenths: u16,
}

/// A front's observations of replicas, sent along with its records.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadReport {
    /// Number that identifies the front, chosen when it starts.
    pub front: u32,
    /// Replicas with requests in flight; only the busiest if there are many.
    pub entries: List<LoadEntry>,
    /// Hashes of the replicas that recently failed requests of this front.
    pub suspects: List<u32>,
    /// Latencies of the answers received since the last report to this group.
    pub latencies: List<LatencyEntry>,
}

/// Number of other fronts that recently had requests fail at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Suspicion {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Number of fronts that report the replica.
    pub fronts: u16,
}

/// Combined observations of all fronts except the one that receives this report.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct OtherFrontsReport {
    /// Requests in flight per replica, summed over the fronts; only the busiest replicas if
    /// there are many.
    pub entries: List<LoadEntry>,
    /// Replicas that recently failed requests of other fronts.
    pub suspects: List<Suspicion>,
    /// Number of the group's other running turns per replica.
    pub placed_turns: List<LoadEntry>,
    /// Slow replicas, computed from the reports of all fronts.
    pub slow_replicas: List<SlowReplica>,
}

/// Asks an owner whether a tenant may make one more request.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct QuotaRequest {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Hash of the request's program; zero if it has none.
    pub program: u64,
    /// Rate limit of the tenant, in requests per second.
    pub per_second: f64,
    /// Number of requests that the tenant may make at once beyond the rate.
    pub burst: f64,
    /// Version of the configuration that defines the limit.
    pub version: u64,
    /// Whether this store stands in for owners that did not answer.
    pub standby: bool,
    /// Whether the store must decide even if it does not know the whole window, since no
    /// store knows it.
    pub forced: bool,
}

impl From<AcquireRequest> for QuotaRequest {
    fn from(request: AcquireRequest) -> Self {
        Self {
            tenant: request.tenant,
            program: request.program,
            per_second: request.limit.per_second,
            burst: request.limit.burst,
            version: request.version,
            standby: request.standby,
            forced: false,
        }
    }
}

impl QuotaRequest {
    /// Converts this request for the quota ledger; `None` if its limit is not valid.
    pub fn validated(self) -> Option<AcquireRequest> {
        let limit = RateLimit {
            per_second: self.per_second,
            burst: self.burst,
        };
        let is_valid = limit.per_second.is_finite() && limit.burst.is_finite();
        let is_valid = is_valid && limit.per_second > 0.0 && limit.burst >= 0.0;
        is_valid.then_some(AcquireRequest {
            tenant: self.tenant,
            program: self.program,
            limit,
            version: self.version,
            standby: self.standby,
        })
    }
}

/// An owner's decision on a tenant's request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct QuotaReply {
    /// Whether the store decided at all: it is an owner of the tenant's quota and knows the
    /// tenant's requests of the last window.
    pub decided: bool,
    /// Whether the request may be made.
    pub granted: bool,
    /// Time in milliseconds after which a rejected caller should retry.
    pub retry_after_milliseconds: u32,
    /// Number of fronts that report to this store.
    pub fronts: u16,
    /// Identifies the granted request for a later refund.
    pub receipt: QuotaReceipt,
}

/// Identifies where a granted request was counted, so that it can be refunded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct QuotaReceipt {
    /// Slot of the owner's window.
    pub slot: u64,
    /// Version of the limit.
    pub version: u64,
    /// Incarnation of the owner's quota ledger.
    pub incarnation: u64,
}

impl From<GrantReceipt> for QuotaReceipt {
    fn from(receipt: GrantReceipt) -> Self {
        Self {
            slot: receipt.slot,
            version: receipt.version,
            incarnation: receipt.incarnation,
        }
    }
}

impl From<QuotaReceipt> for GrantReceipt {
    fn from(receipt: QuotaReceipt) -> Self {
        Self {
            slot: receipt.slot,
            version: receipt.version,
            incarnation: receipt.incarnation,
        }
    }
}

/// A request to a store.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Request {
    /// Stores a record; answered once the record is synced to disk.
    Append {
        /// Group that the record belongs to.
        group: GroupNumber,
        /// Version of the group's member list that the front uses.
        members_version: u64,
        /// The front's observations of replicas.
        load: LoadReport,
        /// For a reservation, the replica on which the turn will run.
        placement: Option<Placement>,
        /// Record to store.
        record: Record,
    },
    /// Reads the chain that ends in a turn.
    Chain {
        /// Group of which the store is addressed as a member.
        group: GroupNumber,
        /// Version of the group's member list that the front uses.
        members_version: u64,
        /// Last turn of the chain.
        turn: Text,
    },
    /// Reads the digests of the records from a journal position on.
    Digests {
        /// Group of which the store is addressed as a member.
        group: GroupNumber,
        /// Version of the group's member list that the requesting store uses.
        members_version: u64,
        /// Machine name of the requesting store.
        node: Text,
        /// Position to read from; a position in another journal restarts from the
        /// beginning.
        from: JournalPosition,
        /// Position up to which the requesting store holds every record on its own disk.
        held: JournalPosition,
    },
    /// Reports newer store groups, as accepted by the key-value service, to a store that
    /// may not be able to reach the service.
    NewerStoreGroups(StoreGroups),
    /// Reports that a turn of the group will run on another replica than reserved.
    TurnPlaced {
        /// Key of the turn (`TurnKey`).
        turn: u64,
        /// Replica on which the turn will run.
        placement: Placement,
    },
    /// Reports that a turn of the group has ended without a record.
    TurnEnded {
        /// Key of the turn (`TurnKey`).
        turn: u64,
    },
    /// Asks whether a tenant may make a request, and counts the request if it may.
    Quota(QuotaRequest),
    /// Reports a request that another owner granted.
    QuotaGranted(QuotaRequest),
    /// Refunds a request that this store granted and that was not run.
    QuotaRefund {
        /// Hash of the tenant's name.
        tenant: u64,
        /// Identifies the granted request.
        receipt: QuotaReceipt,
    },
    /// Checks that the store answers.
    Ping,
    /// Reads the stored items of the key-value service, for a front that starts during a
    /// service outage.
    Items,
    /// Reads the directory changes after a revision.
    Changes {
        /// Revision up to which the requester knows the directory.
        after: u64,
    },
    /// Reads the routing configuration from a recent linearizable read.
    Routes,
    /// Reads the whole directory.
    Directory,
    /// Reads the addresses of all stores, for a front that only knows those in its
    /// settings.
    Stores,
    /// Reads records by their digests.
    Fetch {
        /// Digests of the records to read.
        digests: List<RecordDigest>,
    },
}

/// A store's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Reply {
    /// The record is synced to disk.
    Stored {
        /// Whether the store holds every record that it ever acknowledged.
        complete: bool,
        /// Ledger of the program; only filled for reservations.
        ledger: List<LedgerEntry>,
        /// Observations of all other fronts; only filled for reservations.
        other_fronts: OtherFrontsReport,
        /// Revision up to which the store knows the directory, and its age.
        directory: DirectoryMark,
    },
    /// Turns of a chain, newest first.
    Chain {
        /// Whether a missing turn is known not to exist here: the store is a complete
        /// member of the group, and the requester's member list is recent enough.
        complete: bool,
        /// Turns from the requested one backwards.
        parts: List<ChainPart>,
        /// First turn that the store does not hold; empty if the chain is complete.
        missing: Text,
    },
    /// One page of record digests.
    Digests {
        /// Position after the page.
        next: JournalPosition,
        /// Whether the journal continues after the page.
        more: bool,
        /// Whether a record that is not listed is known not to be held here: the store is a
        /// complete member of the group, and the requester's member list is recent enough.
        complete: bool,
        /// Version of the group's member list that the store uses.
        members_version: u64,
        /// Revision up to which the store knows the directory, and its age.
        directory: DirectoryMark,
        /// Members that do not answer the store.
        silent: List<SilentPeer>,
        /// Digests in journal order.
        digests: List<RecordDigest>,
    },
    /// Decision on a tenant's request.
    Quota(QuotaReply),
    /// The store is up, or has applied the report that it received.
    Pong,
    /// Items of the key-value service, as last read by the store.
    Items(List<DirectoryItem>),
    /// Changes to the directory.
    Changes {
        /// Whether the store knows every change after the requested revision.
        known: bool,
        /// Changes in the order of their revisions.
        changes: List<DirectoryChange>,
        /// How recent the store's copy is.
        mark: CopyFreshness,
    },
    /// The routing configuration.
    Routes {
        /// Item that holds the configuration.
        item: DirectoryItem,
        /// Time in milliseconds since the underlying read started.
        age_milliseconds: u32,
    },
    /// The whole directory.
    Directory {
        /// All items of the directory.
        items: List<DirectoryItem>,
        /// How recent the store's copy is.
        mark: CopyFreshness,
    },
    /// The store has no copy of the directory yet.
    DirectoryUnknown,
    /// Addresses of all stores that this store knows.
    Stores(List<Text>),
    /// Records read by their digests.
    Fetched {
        /// Identifier of the journal that contains the records.
        journal: u64,
        /// Records that could be read.
        records: List<Record>,
        /// Digests of requested records that have expired here.
        expired: List<RecordDigest>,
    },
    /// The request was not carried out, or the store cannot tell whether a missing turn
    /// exists: the requester's member list is too old, or the store is not a member of the
    /// group. Carries the store groups that the store uses.
    StaleMembers(StoreGroups),
    /// The request was not carried out.
    Refused(Refusal),
}

/// The reason why a store refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Refusal {
    /// The store is not a member of the group.
    NotAMember,
    /// The disk failed, or too many writes are waiting for it.
    DiskRefused,
    /// The store's memory is full until older records expire.
    MemoryFull,
}

/// Number of a reply that a store sends without a request.
pub const UNREQUESTED: u64 = 0;

/// A message with the number that matches a reply to its request.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Numbered<T> {
    /// Number chosen by the requester, unique on a connection.
    pub number: u64,
    /// The message itself.
    pub content: T,
}
