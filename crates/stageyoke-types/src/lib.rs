//! Types shared by all crates: identifiers, error kinds, numbered log events, hashes, and
//! collection types that are safe to decode from untrusted bytes.

pub mod bounded;
pub mod error;
pub mod event;
pub mod hash;
pub mod identifiers;
mod text_position;

pub use bounded::{Blob, List, Text};
pub use error::{ErrorKind, RetryAdvice, RunState};
pub use event::Event;
pub use identifiers::{
    Attempt, CallNumber, ConfigVersion, EngineId, IdempotencyKey, NodeId, ProgramId, ProgramKey,
    RequestId, ShardId, TenantId, Term, Time,
};
pub use text_position::text_offset;
