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
pub mod engine_pace;
pub mod exchange;
pub mod extension;
pub mod formation;
pub mod frame;
pub mod group;
pub mod groups;
pub mod healing;
pub mod journal;
pub mod keys;
pub mod limits;
pub mod load;
pub mod local_store;
pub mod membership;
pub mod message;
pub mod owners;
pub mod pace;
pub mod peer_version;
pub mod quorum;
pub mod rank_load;
pub mod recent;
pub mod record_reader;
pub mod segment;
pub mod server;
pub mod socket;
pub mod spare;
pub mod standing;
pub mod state;
pub mod store_host;
pub mod sync;
pub mod waiting;

pub use client::StoreClient;
pub use group::{ChainOutcome, Group, GroupError};
pub use groups::Groups;
pub use limits::StoreLimits;
pub use load::LoadBoard;
pub use message::{LedgerEntry, Record, Reply, Request, TurnRecord};
pub use quorum::LedgerView;
pub use recent::RecentTurns;
pub use store_host::{StoreHost, StoreSettings};
