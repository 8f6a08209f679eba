//! The store role: immutable records of finished turns and of budget
//! reservations, each kept on a write quorum of small disks.
//!
//! Stores stand in groups, and a program's records in one of them. There is no
//! leader. A front writes a record to every member of the group and counts it
//! as kept once a write quorum has synced it; a reservation's answers carry
//! what each member knows of the program, so that of two racing turns at least
//! one sees the other. Members compare digests and fetch what they miss.

pub mod client;
pub mod completeness;
pub mod directory_relay;
pub mod disk_clock;
pub mod engine_latency;
pub mod extension;
pub mod formation;
pub mod frame;
pub mod group_client;
pub mod group_clients;
pub mod journal;
pub mod journal_sync;
pub mod keys;
pub mod limits;
pub mod load;
pub mod local_store;
pub mod membership;
pub mod membership_state;
pub mod message;
pub mod peer_sync;
pub mod peer_version;
pub mod quorum;
pub mod quota_owners;
pub mod rank_load;
pub mod recent_turns;
pub mod record_reader;
pub mod recovery_monitor;
pub mod replica_latency;
pub mod segment;
pub mod server;
pub mod socket;
pub mod spare;
pub mod state;
pub mod store_host;
pub mod wait_reason;

pub use client::StoreClient;
pub use group_client::{ChainOutcome, GroupClient, GroupError};
pub use group_clients::GroupClients;
pub use limits::StoreLimits;
pub use load::LoadTracker;
pub use message::{LedgerEntry, Record, Reply, Request, TurnRecord};
pub use quorum::LedgerView;
pub use recent_turns::RecentTurns;
pub use store_host::{StoreHost, StoreSettings};
