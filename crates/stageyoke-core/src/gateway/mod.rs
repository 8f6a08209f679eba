//! The gateway's decisions for each call it holds for a caller: where to ask
//! for admission, which engine to use, when to try again, and what to answer.
//!
//! The gateway that holds the caller's connection is the only one that sends
//! the call to an engine. So it can say for certain that a call did not run,
//! and the loss of a shard's leader does not cut a stream.

mod admission;
mod call;
mod engines;
mod exchange;
mod machine;
mod recording;
mod running;

pub use call::{
    AttemptOrder, AttemptResult, CallAnswer, CallSubmission, Failure, GatewayOutput, QueryAnswer,
};
pub use engines::{EngineDirectory, EnginePolicy, EngineRecord, PlacementPolicy};
pub use machine::Gateway;
