//! The daemon: sockets, timers and files around the state machine of
//! [`stageyoke_core::node::Node`]. No decision is made here that the core
//! could make.

pub mod backends;
pub mod callers;
pub mod clock;
pub mod driver;
pub mod events;
pub mod identity;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod pieces;
pub mod platform;
pub mod server;
pub mod settings;
pub mod store;

pub use server::{Listeners, RunningNode, start, start_on};
pub use settings::Settings;
