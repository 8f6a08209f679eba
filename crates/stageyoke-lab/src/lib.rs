//! The laboratory: stand-ins for the platform's services, a demonstration
//! cluster of real nodes on loopback sockets, load, experiments and scale runs.

pub mod caller;
pub mod cluster;
pub mod commands;
pub mod demo;
pub mod failover;
pub mod hunts;
pub mod lateness;
pub mod load;
pub mod process;
pub mod soak;
pub mod standins;
