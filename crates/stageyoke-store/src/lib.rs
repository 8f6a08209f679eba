//! The store role: immutable records of finished turns and of budget reservations, each
//! stored on a write quorum of small disks.
//!
//! Stores form groups without a leader, and each program belongs to one group. A front
//! writes a record to every member of the group; the record is durable once a write quorum
//! has synced it. The replies to a reservation contain what each member knows of the
//! program, so that of two racing turns at least one sees the other. Members compare
//! digests of their records and fetch the missing ones.

pub mod broken_streams;
pub mod catch_up_monitor;
pub mod client;
pub mod cold_permits;
pub mod completeness;
pub mod directory_relay;
mod directory_transfers;
pub mod disk_clock;
pub mod engine_latency;
pub mod extension;
pub mod formation;
pub mod frame;
pub mod group_client;
pub mod group_clients;
pub mod item_writer;
pub mod journal;
pub mod journal_sync;
pub mod keys;
pub mod limits;
pub mod load;
pub mod local_store;
pub mod membership;
pub mod membership_state;
pub mod message;
pub mod peer_relay;
pub mod peer_sync;
pub mod peer_version;
pub mod quorum;
pub mod quota_owners;
pub mod rank_load;
pub mod receive_progress;
pub mod recent_turns;
pub mod record_fetch;
pub mod record_reader;
pub mod recovery_monitor;
pub mod replica_latency;
pub mod reply_memory;
pub mod restricted_requests;
pub mod restriction_watchers;
pub mod run_permits;
pub mod segment;
pub mod server;
pub mod service_versions;
pub mod socket;
pub mod spare;
pub mod state;
pub mod store_host;
pub mod store_status;
pub mod stored_record;
pub mod stream_versions;
pub mod turn_chains;
pub mod unblock;
pub mod wait_reason;

pub use client::StoreClient;
pub use group_client::{AppendOutcome, ChainOutcome, GroupClient, GroupError, ReservationOptions};
pub use group_clients::{GroupClients, StreamOfRequest};
pub use limits::StoreLimits;
pub use load::LoadTracker;
pub use message::{LedgerEntry, Record, Reply, Request, TurnRecord};
pub use quorum::{LedgerRoom, LedgerView};
pub use recent_turns::RecentTurns;
pub use store_host::{StoreHost, StoreSettings};
pub use stored_record::StoredRecord;
