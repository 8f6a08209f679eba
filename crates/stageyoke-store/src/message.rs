//! Messages between fronts and stores, and among stores.

use nanoserde::{DeBin, SerBin};
use stageyoke_directory::{DirectoryMark, GroupNumber, StoreGroups};
use stageyoke_policy::quota::{AcquireRequest, GrantReceipt};
use stageyoke_policy::token_bucket::RateLimit;
use stageyoke_types::{Blob, List, Text};

/// One finished turn of a program whose history is kept. Immutable.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TurnRecord {
    /// Request identifier of the turn.
    pub turn: Text,
    /// Program; empty where the request named none.
    pub program: Text,
    /// Turn that it goes on from; empty at the start.
    pub previous: Text,
    /// The turn's own input.
    pub input: Blob,
    /// Data of its events, each followed by a line feed.
    pub output: Blob,
    /// Tokens that it generated.
    pub used_tokens: u32,
    /// How long the turn and its chain are kept, in seconds.
    pub retention_seconds: u32,
}

/// What a journal holds.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Record {
    /// A turn may generate up to `most` tokens.
    Reserve {
        /// Program whose budget is reserved.
        program: Text,
        /// Turn that reserves.
        turn: Text,
        /// Most tokens of the turn.
        max_tokens: u32,
    },
    /// A turn is over and has generated `used` tokens.
    Settle {
        /// Program whose budget was reserved.
        program: Text,
        /// Turn that reserved.
        turn: Text,
        /// Tokens that it generated.
        used_tokens: u32,
    },
    /// A finished turn; settles its reservation as well.
    Turn(TurnRecord),
    /// Start of a segment by the disk's own clock; never sent to others.
    Clock {
        /// Seconds that processes have run on this disk.
        seconds: u64,
    },
}

/// Identifies a record among stores: a digest of its kind and identifier.
pub type RecordDigest = u64;

impl Record {
    /// The digest by which stores compare what they hold. Records are
    /// immutable, so kind and identifiers suffice.
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

/// One turn's part of a program's ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LedgerEntry {
    /// The turn, by its key (`TurnKey`).
    pub turn: u64,
    /// Tokens used if settled, else the most it may generate.
    pub amount: u32,
    /// Whether the turn is over.
    pub settled: bool,
}

/// One turn of a chain, as a replica is to receive it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ChainPart {
    /// The turn.
    pub turn: Text,
    /// Turn that it goes on from; empty at the start.
    pub previous: Text,
    /// Its own input.
    pub input: Blob,
    /// Data of its events, each followed by a line feed.
    pub output: Blob,
}

/// A position in the journal of one life of a store's process. A restart counts anew:
/// what was forgotten before it is not there to be counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JournalPosition {
    /// Identifier of the journal, drawn at each start.
    pub journal: u64,
    /// Number of the next record to read.
    pub next: u64,
}

/// A member that does not answer another.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SilentPeer {
    /// Its machine.
    pub node: Text,
    /// For how long, ms.
    pub milliseconds: u32,
}

/// An item of the key-value service, as a store last saw it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct DirectoryItem {
    /// The key.
    pub key: Text,
    /// Its value.
    pub value: Blob,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change of an item, as a store saw it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct DirectoryChange {
    /// The key.
    pub key: Text,
    /// Its value; `None` if it was removed.
    pub value: Option<Blob>,
    /// Revision of the change.
    pub revision: u64,
}

/// How far a copy of the directory goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct CopyFreshness {
    /// It holds every change up to this revision.
    pub revision: u64,
    /// How long ago that was the newest state, in milliseconds.
    pub age_milliseconds: u32,
    /// How much longer entries that it misses may come back, as the key-value
    /// service was away, in milliseconds; zero where they have ended.
    pub back_within_milliseconds: u32,
}

/// Requests that one front has under way at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadEntry {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Requests under way there.
    pub in_flight: u16,
}

/// Where a turn runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Placement {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// How long it may run at most, in milliseconds.
    pub max_duration_milliseconds: u32,
}

/// How long a replica's answers took one front, against what such answers take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct LatencyEntry {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Hundredths of the logarithm of that ratio, summed over the answers.
    pub log_ratio: i32,
    /// Answers.
    pub answers: u16,
}

/// A replica that takes longer than most of those that fronts tell of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct SlowReplica {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// How many times as long, in tenths.
    pub slowdown_tenths: u16,
}

/// What a front has seen of replicas, told along with its records.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct LoadReport {
    /// Chosen by the front at its start.
    pub front: u32,
    /// Replicas with requests under way; the busiest where there are many.
    pub entries: List<LoadEntry>,
    /// Hashes of the replicas that have failed this front of late.
    pub suspects: List<u32>,
    /// Times of answers since the group was told last.
    pub latencies: List<LatencyEntry>,
}

/// How many other fronts a replica has failed of late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Suspicion {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Fronts that report it.
    pub fronts: u16,
}

/// What all other fronts have seen of replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct OtherFrontsReport {
    /// Requests under way, summed; the busiest replicas where there are many.
    pub entries: List<LoadEntry>,
    /// Replicas that failed other fronts of late.
    pub suspects: List<Suspicion>,
    /// The group's other turns that run now, by replica.
    pub placed_turns: List<LoadEntry>,
    /// Slow replicas, by what all fronts have told.
    pub slow_replicas: List<SlowReplica>,
}

/// May one more request of a tenant be made?
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub struct QuotaRequest {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Hash of the request's program; zero where it has none.
    pub program: u64,
    /// The tenant's limit, in requests a second.
    pub per_second: f64,
    /// Requests beyond that at once.
    pub burst: f64,
    /// Version of the configuration that the limit is from.
    pub version: u64,
    /// Whether the store is asked in place of others that did not answer.
    pub standby: bool,
    /// Whether it shall decide though it does not know the whole window: no store
    /// does.
    pub forced: bool,
}

impl From<AcquireRequest> for QuotaRequest {
    fn from(question: AcquireRequest) -> Self {
        Self {
            tenant: question.tenant,
            program: question.program,
            per_second: question.limit.per_second,
            burst: question.limit.burst,
            version: question.version,
            standby: question.standby,
            forced: false,
        }
    }
}

impl QuotaRequest {
    /// The question, if its limit is one.
    pub fn validated(self) -> Option<AcquireRequest> {
        let limit = RateLimit {
            per_second: self.per_second,
            burst: self.burst,
        };
        let sound = limit.per_second.is_finite() && limit.burst.is_finite();
        let sound = sound && limit.per_second > 0.0 && limit.burst >= 0.0;
        sound.then_some(AcquireRequest {
            tenant: self.tenant,
            program: self.program,
            limit,
            version: self.version,
            standby: self.standby,
        })
    }
}

/// An owner's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct QuotaReply {
    /// Whether this store has decided: it counts for the tenant, and knows its requests
    /// of the last window.
    pub decided: bool,
    /// Whether the request may be made.
    pub granted: bool,
    /// When to come back, in milliseconds.
    pub retry_after_milliseconds: u32,
    /// Fronts that this store hears from.
    pub fronts: u16,
    /// Where a granted request was counted.
    pub receipt: QuotaReceipt,
}

/// Where a granted request was counted, by which it can be given back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct QuotaReceipt {
    /// Slot of the owner's window.
    pub slot: u64,
    /// Version of the limit.
    pub version: u64,
    /// Life of the owner.
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

/// What a caller asks of a store.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Request {
    /// Keep a record; answered once it is on the disk.
    Append {
        /// The group that the record belongs to.
        group: GroupNumber,
        /// The asking front's version of that group's member list.
        members_version: u64,
        /// What the front has under way.
        load: LoadReport,
        /// For reservations: where the turn is to run.
        placement: Option<Placement>,
        /// What to keep.
        record: Record,
    },
    /// Read the chain that ends in this turn.
    Chain {
        /// The group as whose member the store is asked.
        group: GroupNumber,
        /// The asking front's version of that group's member list.
        members_version: u64,
        /// Last turn of the chain.
        turn: Text,
    },
    /// Digests of the records from a position on.
    Digests {
        /// The group as whose member the store is asked.
        group: GroupNumber,
        /// The asking store's version of that group's member list.
        members_version: u64,
        /// Machine that asks.
        node: Text,
        /// Where it goes on; a position of another journal starts anew.
        from: JournalPosition,
        /// Position up to which the asker holds everything on its own disk.
        held: JournalPosition,
    },
    /// The store groups as the key-value service took them, for a store that goes by
    /// older ones: the service may turn it away.
    NewerStoreGroups(StoreGroups),
    /// A turn of the group is to run elsewhere than was said.
    TurnPlaced {
        /// The turn, by its key (`TurnKey`).
        turn: u64,
        /// Where it runs.
        placement: Placement,
    },
    /// A turn of the group is over, and no record says so.
    TurnEnded {
        /// The turn, by its key (`TurnKey`).
        turn: u64,
    },
    /// May a request of a tenant be made? Counted if so.
    Quota(QuotaRequest),
    /// Another owner has granted it.
    QuotaGranted(QuotaRequest),
    /// A request that this store has granted was not run.
    QuotaRefund {
        /// Hash of the tenant's name.
        tenant: u64,
        /// Where it was counted.
        receipt: QuotaReceipt,
    },
    /// Whether the store is there.
    Ping,
    /// Items of the key-value service, for a front that starts while the
    /// service is down.
    Items,
    /// What has changed in the key-value service's directory after a revision.
    Changes {
        /// Up to where the asker knows it.
        after: u64,
    },
    /// The configuration, from a linearizable read of a moment ago.
    Routes,
    /// The whole directory.
    Directory,
    /// Which other stores there are, for a front that knows only those that its
    /// settings name.
    Stores,
    /// Records by their digests.
    Fetch {
        /// Which records.
        digests: List<RecordDigest>,
    },
}

/// What a store answers.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Reply {
    /// The record is on the disk.
    Stored {
        /// Whether this store holds everything it ever acknowledged.
        complete: bool,
        /// The program's ledger; filled for reservations.
        ledger: List<LedgerEntry>,
        /// What all other fronts have seen; filled for reservations.
        other_fronts: OtherFrontsReport,
        /// Up to where this store knows the key-value service's directory.
        directory: DirectoryMark,
    },
    /// Parts of a chain, newest first.
    Chain {
        /// Whether this store vouches for what it misses: it is a complete member
        /// of the group that was asked, and the asker's list is not too old.
        complete: bool,
        /// Parts from the asked turn backwards.
        parts: List<ChainPart>,
        /// First turn that this store does not hold; empty if the chain is
        /// whole.
        missing: Text,
    },
    /// A page of digests.
    Digests {
        /// Position after the page.
        next: JournalPosition,
        /// Whether the journal goes on after the page.
        more: bool,
        /// Whether this store vouches for what it misses, as for chains.
        complete: bool,
        /// The version of the group's member list that this store goes by.
        members_version: u64,
        /// Up to where this store knows the key-value service's directory.
        directory: DirectoryMark,
        /// Members that don't answer this store.
        silent: List<SilentPeer>,
        /// In journal order.
        digests: List<RecordDigest>,
    },
    /// Whether a request may be made.
    Quota(QuotaReply),
    /// The store is there, and has heard.
    Pong,
    /// Items as last seen.
    Items(List<DirectoryItem>),
    /// Changes of the directory.
    Changes {
        /// Whether all changes after the revision that was asked for are known.
        known: bool,
        /// In the order of their revisions.
        changes: List<DirectoryChange>,
        /// Up to where they go.
        mark: CopyFreshness,
    },
    /// The configuration.
    Routes {
        /// Its item.
        item: DirectoryItem,
        /// How long ago the read began that it rests on, in milliseconds.
        age_milliseconds: u32,
    },
    /// The whole directory.
    Directory {
        /// All items.
        items: List<DirectoryItem>,
        /// Up to where they go.
        mark: CopyFreshness,
    },
    /// This store does not know the directory yet.
    DirectoryUnknown,
    /// Addresses of all stores that this one knows.
    Stores(List<Text>),
    /// Records that were asked for.
    Fetched {
        /// The journal in which they stand.
        journal: u64,
        /// Those that could be read.
        records: List<Record>,
        /// Those that are past their time and held no longer.
        expired: List<RecordDigest>,
    },
    /// Nothing was done, or the store misses the turn and can't vouch for its
    /// absence: the caller's member list is too old, or the store is no member of
    /// the group. These are the groups as the store knows them.
    StaleMembers(StoreGroups),
    /// Nothing was done.
    Refused(Refusal),
}

/// Why a store refused a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Refusal {
    /// This store is not a member.
    NotAMember,
    /// The disk takes no more.
    DiskRefused,
    /// The store's memory holds no more until older records have expired.
    MemoryFull,
}

/// A message with the number that pairs it with its answer.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Numbered<T> {
    /// Chosen by the caller; unique on a connection.
    pub number: u64,
    /// The message.
    pub content: T,
}
