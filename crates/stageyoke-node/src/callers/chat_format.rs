//! The OpenAI chat format, as far as it is served.

use serde::{Deserialize, Serialize};
use stageyoke_core::program::{Message, MessageRole, Usage};
use stageyoke_types::Text;

/// A chat completion request. Fields that are not listed are accepted and have
/// no effect, as ordinary client libraries send many.
#[derive(Debug, Deserialize)]
pub struct ChatRequest {
    /// Program kind.
    pub model: String,
    /// New messages.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The same, under its newer name.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Options of a stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
}

/// Options of a stream.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk tells the tokens used.
    #[serde(default)]
    pub include_usage: bool,
}

/// A message.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    /// Author.
    pub role: String,
    /// Text, whole or in parts.
    pub content: ChatContent,
}

/// Content of a message.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Text.
    Whole(String),
    /// Text in parts.
    Parts(Vec<ContentPart>),
}

/// One part of a content.
#[derive(Debug, Deserialize)]
pub struct ContentPart {
    /// Text.
    pub text: String,
}

impl ChatMessage {
    /// The message as kept in the history; none if the role is not known.
    pub fn into_message(self) -> Option<Message> {
        let role = MessageRole::from_name(&self.role)?;
        let content = match self.content {
            ChatContent::Whole(text) => text,
            ChatContent::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        };
        Some(Message {
            role,
            content: Text::from(content),
        })
    }
}

/// Tokens used.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct UsageBody {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.tokens_in,
            completion_tokens: usage.tokens_out,
            total_tokens: usage.tokens_in + usage.tokens_out,
        }
    }
}

/// A whole answer.
#[derive(Debug, Serialize)]
pub struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [WholeChoice<'a>; 1],
    usage: UsageBody,
}

#[derive(Debug, Serialize)]
struct WholeChoice<'a> {
    index: u32,
    message: AnswerMessage<'a>,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct AnswerMessage<'a> {
    role: &'static str,
    content: &'a str,
}

/// What all chunks and the whole answer of one call share.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Identifier of the answer.
    pub id: String,
    /// Seconds since 1970.
    pub created: u64,
    /// Program kind.
    pub model: String,
}

/// Why an answer ended.
pub fn finish_reason(truncated: bool) -> &'static str {
    if truncated { "length" } else { "stop" }
}

impl AnswerHead {
    /// The whole answer.
    pub fn completion<'a>(
        &'a self,
        answer: &'a str,
        truncated: bool,
        usage: Usage,
    ) -> Completion<'a> {
        Completion {
            id: &self.id,
            object: "chat.completion",
            created: self.created,
            model: &self.model,
            choices: [WholeChoice {
                index: 0,
                message: AnswerMessage {
                    role: "assistant",
                    content: answer,
                },
                finish_reason: finish_reason(truncated),
            }],
            usage: usage.into(),
        }
    }

    /// A chunk of a stream.
    pub fn chunk<'a>(
        &'a self,
        delta: DeltaBody<'a>,
        finish: Option<&'static str>,
    ) -> ChunkBody<'a> {
        ChunkBody {
            id: &self.id,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.model,
            choices: vec![ChunkChoiceBody {
                index: 0,
                delta,
                finish_reason: finish,
            }],
            usage: None,
        }
    }

    /// The chunk that tells the tokens used.
    pub fn usage_chunk(&self, usage: Usage) -> ChunkBody<'_> {
        let mut chunk = self.chunk(DeltaBody::default(), None);
        chunk.choices.clear();
        chunk.usage = Some(usage.into());
        chunk
    }
}

/// New text of a chunk.
#[derive(Debug, Default, Serialize)]
pub struct DeltaBody<'a> {
    /// Set in the first chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// Text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}

/// A chunk of a stream.
#[derive(Debug, Serialize)]
pub struct ChunkBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<ChunkChoiceBody<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Debug, Serialize)]
struct ChunkChoiceBody<'a> {
    index: u32,
    delta: DeltaBody<'a>,
    finish_reason: Option<&'static str>,
}

/// The list of what a tenant may call.
#[derive(Debug, Serialize)]
pub struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

impl ModelList {
    /// The list of some names.
    pub fn of(names: impl Iterator<Item = String>) -> Self {
        let data = names.map(|id| ModelEntry {
            id,
            object: "model",
            owned_by: "stageyoke",
        });
        Self {
            object: "list",
            data: data.collect(),
        }
    }
}
