//! Decisions as pure state: without sockets, clocks or tasks. Time is given as
//! what has passed since the process started.

pub mod admission;
pub mod quota;
pub mod retry_budget;
pub mod token_bucket;
pub mod window;
