//! JSON of an engine's HTTP protocol; see `docs/ENGINE.md`. It is the OpenAI
//! chat format with a `stageyoke` object beside it.

use serde::{Deserialize, Serialize};

/// Path of completions.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of cancellation.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of release of a program's cache.
pub const RELEASE_PATH: &str = "/v1/release";
/// Path of the load report.
pub const LOAD_PATH: &str = "/v1/load";

/// One chat message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireMessage {
    /// Author.
    pub role: String,
    /// Text.
    pub content: String,
}

/// What an engine needs to know beyond the chat format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallIdentity {
    /// Tenant and program; names the cached prefix.
    pub program: String,
    /// Position in the program.
    pub call: u32,
    /// Node, life and count of the request.
    pub request: String,
    /// Try; an engine refuses a lower one than it has seen.
    pub attempt: u32,
    /// Urgency, 0 the most urgent.
    pub priority: u8,
    /// Text that was already delivered, to go on after.
    #[serde(default)]
    pub resume_after: String,
}

/// A completion request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Model.
    pub model: String,
    /// Whole prompt.
    pub messages: Vec<WireMessage>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Always true.
    pub stream: bool,
    /// Beyond the chat format.
    pub stageyoke: CallIdentity,
}

/// New text within a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Text.
    #[serde(default)]
    pub content: Option<String>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    #[serde(default)]
    pub index: u32,
    /// New text.
    #[serde(default)]
    pub delta: Delta,
    /// Set in the last chunk: `stop` or `length`.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Tokens counted by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUsage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// One server-sent event of a completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Choices.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// Tokens so far; set in the last chunk.
    #[serde(default)]
    pub usage: Option<WireUsage>,
}

/// Names an attempt, for cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Request.
    pub request: String,
    /// Try.
    pub attempt: u32,
}

/// Names a program, for release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Tenant and program.
    pub program: String,
}

/// An engine's report on itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// It will stop, and wants no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Calls under way.
    pub running: u64,
    /// Calls that wait inside the engine.
    pub waiting: u64,
    /// Tokens cached.
    pub cached_tokens: u64,
    /// Tokens that fit.
    pub cache_limit: u64,
    /// Programs with cached tokens.
    pub programs: Vec<String>,
}

/// Separates tenant and program in the engine's protocol.
const TENANT_SEPARATOR: char = ':';

/// A program's name in the engine's protocol.
pub fn program_name(key: &stageyoke_types::ProgramKey) -> String {
    format!("{}{TENANT_SEPARATOR}{}", key.tenant, key.program)
}

/// The program of such a name.
pub fn program_key(name: &str) -> Option<stageyoke_types::ProgramKey> {
    let (tenant, program) = name.split_once(TENANT_SEPARATOR)?;
    Some(stageyoke_types::ProgramKey {
        tenant: tenant.into(),
        program: program.into(),
    })
}
