//! Ends of HTTP responses. A body without a length and without chunks ends with its connection,
//! so whether it is whole cannot be known. [`Framing`] tells how a replica delimits a body, and
//! [`CallerConnection`] passes such a body on without framing.

mod caller_connection;
mod framing;

pub use caller_connection::{CallerConnection, UnframedSignal};
pub use framing::{Framing, close_after};
