//! Observability of a process: structured log lines on standard output, rate limited and
//! written without blocking, and metrics in the Prometheus text format.

pub mod events;
pub mod explain;
pub mod logger;
pub mod metrics;
mod newest_tasks;
pub mod rate_limit;
pub mod signals;
pub mod status;
pub mod writer;

pub use events::{CALLER_LEFT, RequestSummary, record_event, record_request};
pub use logger::init_logger;
pub use metrics::{Metrics, metrics};
pub use newest_tasks::NewestTasks;
