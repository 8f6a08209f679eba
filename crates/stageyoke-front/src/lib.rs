//! The front role: terminates callers' connections, routes requests, places each on a
//! replica, relays plain responses and event streams, and stores the history and token
//! budgets of programs through the store groups.

pub mod admission;
pub mod attempt;
pub mod authentication;
pub mod baseline_latency;
mod body_buffer;
pub mod bootstrap;
mod broken_stream;
pub mod caller_connections;
mod caller_stream;
mod connection_drain;
pub mod connection_pool;
pub mod deadly_requests;
mod dispatch;
pub mod engine_rates;
pub mod evacuation_log;
pub mod event_stream;
pub mod failure;
pub mod front;
pub mod handler;
pub mod health;
pub mod history;
pub mod idle_limit;
mod incoming_body;
mod log_limiter;
pub mod memory_budget;
mod oversized_response;
mod pending_request;
pub mod placement;
mod plain_response;
pub mod prompt_cache;
pub mod protocol_names;
pub mod quota;
pub mod received_stream;
pub mod replica;
mod replica_log;
pub mod replica_registry;
mod replica_stream;
pub mod request;
pub mod request_identity;
pub mod response_body;
mod response_writing;
pub mod restrictions;
mod routing;
pub mod server;
pub mod service_pool;
pub mod shutdown;
pub mod stream_relay;
mod stream_start;
pub mod stream_version;
pub mod tenant_warnings;
pub mod traffic_split;
pub mod turn_preparation;

pub use front::{FrontListeners, FrontSettings, run};
pub use protocol_names::{ProtocolNames, UrgencyScale};
