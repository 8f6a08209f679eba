//! The HTTP interface towards callers: the OpenAI chat format, programs, and
//! application routes.

pub mod answers;
pub mod chat;
pub mod chat_format;
pub mod context;
pub mod programs;
pub mod serve;
pub mod sink;
