//! A process's view of its deployment: the routes in force, the replicas of every
//! service, and the store groups. The view follows a key-value service; an adapter
//! supplies the key names and value formats.

pub mod freshness;
pub mod groups;
pub mod item_parser;
pub mod key_value;
pub mod members;
pub mod mirror;
pub mod model;
pub mod outage;
pub mod regions;
pub mod relay;
pub mod tenants;
pub mod transfer;
pub mod view;

pub use freshness::{AgeLimits, DirectoryMark, Freshness};
pub use groups::{GroupNumber, StoreGroups};
pub use key_value::{
    Change, Condition, Item, KeyValueError, KeyValueService, RangePage, Transaction,
    TransactionOutcome, WatchOutcome, Write,
};
pub use members::{Member, MemberState, Members, Quorums, Tolerance, write_quorum};
pub use mirror::{CallIntervals, CompleteRead, FailedRequest, Mirror, MirrorEvent, ReadSource};
pub use model::{
    ColdStart, EngineShape, HttpLimits, ReplicaRecord, ReplicaStart, ReplicaState, Retirement,
    Route, RouteKind, RouteTable, ServiceSpec, Target,
};
pub use regions::{HomeRegions, RequestHomes};
pub use relay::{
    DirectoryRelay, DirectorySource, KnownItem, RelayFuture, RelayReply, RelayRequirements,
    RelayedChanges, RelayedItems, RelayedRoutes, RoutesFuture,
};
pub use tenants::{KeyDigest, RateLimit, Tenant, Tenants};
pub use transfer::{TransferTimeouts, wait_for_transfer};
pub use view::{Interpreter, Update, View};
