//! What a process tells of itself: structured lines on standard output, within
//! a budget and without ever blocking, and metrics in Prometheus's text format.

pub mod budget;
pub mod events;
pub mod explain;
pub mod lines;
pub mod metrics;
pub mod signals;
pub mod writer;

pub use events::{RequestStory, event, request_ended};
pub use lines::start_log;
pub use metrics::{Metrics, metrics};
