//! What a process tells of itself: structured lines on standard output, within
//! a budget and without ever blocking, and metrics in Prometheus's text format.

pub mod events;
pub mod explain;
pub mod logger;
pub mod metrics;
pub mod rate_limit;
pub mod signals;
pub mod writer;

pub use events::{RequestSummary, record_event, record_request};
pub use logger::init_logger;
pub use metrics::{Metrics, metrics};
