//! Laboratory for running stageyoke against stand-ins of external systems: test
//! clusters on loopback sockets, demonstration, load measurements and soak runs.

pub mod caller;
pub mod cluster;
pub mod commands;
pub mod demo;
pub mod failover;
pub mod hunts;
pub mod lateness;
pub mod load;
pub mod misbehaving_clients;
pub mod process;
pub mod soak;
pub mod standins;
