//! Stand-ins of the platform, of replicas and of clients for the cases of the second review, and
//! the real programs as processes on loopback addresses. Uses the standard library only.

pub mod client;
pub mod deployment;
pub mod encoding;
pub mod http;
pub mod platform;
pub mod record;
pub mod replica;
