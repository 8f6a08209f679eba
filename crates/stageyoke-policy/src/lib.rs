//! Policies of fronts and stores as pure state machines, without I/O, clocks or tasks.
//!
//! Callers pass the current time as the duration since the process started.

pub mod admission;
pub mod broken_streams;
pub mod cold_start;
pub mod deadly_requests;
pub mod quota;
pub mod retry_budget;
pub mod sliding_window;
pub mod stream_versions;
pub mod token_bucket;
