//! Clients of the two kinds of back end: model engines and applications.

pub mod application;
mod completion_limits;
pub mod engine;
pub mod engine_protocol;
mod event_lines;
mod http_client;
mod relayed_body;
mod replica_connection;
pub mod run_limits;
pub mod sweep;
mod whole_answer;

use http_body_util::combinators::BoxBody;
use hyper::body::Bytes;

pub use http_client::{HttpClient, RequestError, http_client};
pub use whole_answer::read_whole;

/// Any error of a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of any request or response.
pub type Body = BoxBody<Bytes, BodyError>;

/// A body that is wholly in memory.
pub fn full_body(content: impl Into<Bytes>) -> Body {
    use http_body_util::BodyExt;
    http_body_util::Full::new(content.into())
        .map_err(|never| match never {})
        .boxed()
}
