//! The decisions of stageyoke as pure state machines. Nothing here performs
//! I/O, reads a clock, starts a thread or draws from a global random source:
//! [`node::Node::handle`] takes the time and an input and gives outputs. The
//! daemon, the property tests, the emulator and the scale runs all drive this
//! same code.

pub mod config_spread;
pub mod coordinator;
pub mod fault;
pub mod gateway;
pub mod hash;
pub mod liveness;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
pub mod program;
pub mod replication;
pub mod shard;
pub mod survey;
