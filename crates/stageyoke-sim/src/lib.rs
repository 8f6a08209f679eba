//! Runs many nodes' state machines in one process in virtual time, over a
//! network that loses, delays, doubles and reorders, with crashes, pauses and
//! partitions, and records what callers and engines see.
//!
//! The property tests, the emulator and the scale runs all use this driver; it
//! is deterministic for a seed.

pub mod batch_engine;
pub mod checks;
pub mod cluster;
pub mod engine;
pub mod network;
pub mod plan;
pub mod record;
pub mod schedule;
pub mod workload;
