//! Text generation of the stand-in engine. The answer is a function of the whole
//! prompt, so a lost, mixed or duplicated history changes the answer.

/// Minimum length of an answer without a length directive.
const MIN_ANSWER_TOKENS: u64 = 4;
/// Number of different lengths of an answer without a length directive.
const ANSWER_LENGTH_RANGE: u64 = 12;
/// Prefix of a word such as `tokens:40` in the last message that sets the
/// answer's length.
const LENGTH_DIRECTIVE: &str = "tokens:";

/// One message of a prompt.
pub struct PromptMessage<'a> {
    /// Role of the author, such as `user`.
    pub role: &'a str,
    /// Text of the message.
    pub content: &'a str,
}

/// Hashes the roles and texts of a prompt.
pub fn prompt_digest(prompt: &[PromptMessage<'_>]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for message in prompt {
        hasher.update(&(message.role.len() as u64).to_le_bytes());
        hasher.update(message.role.as_bytes());
        hasher.update(&(message.content.len() as u64).to_le_bytes());
        hasher.update(message.content.as_bytes());
    }
    let mut prefix = [0_u8; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Counts the tokens of a text: one per word.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Returns the number of tokens in the answer to a prompt.
pub fn answer_length(prompt: &[PromptMessage<'_>], max_tokens: u32) -> u64 {
    let requested = prompt.last().and_then(|message| {
        let mut words = message.content.split_whitespace();
        words.find_map(|word| word.strip_prefix(LENGTH_DIRECTIVE)?.parse::<u64>().ok())
    });
    let default = MIN_ANSWER_TOKENS + prompt_digest(prompt) % ANSWER_LENGTH_RANGE;
    requested.unwrap_or(default).min(u64::from(max_tokens))
}

/// Returns the token at a position of the answer to the prompt with this digest,
/// including the space that separates it from the previous token.
pub fn answer_token(digest: u64, position: u64) -> String {
    let word = stageyoke_core::hash::mix(digest ^ position) & 0xffff_ffff;
    if position == 0 {
        format!("{word:08x}")
    } else {
        format!(" {word:08x}")
    }
}

/// Generates all tokens of the answer to a prompt.
pub fn complete_answer(prompt: &[PromptMessage<'_>], max_tokens: u32) -> String {
    let digest = prompt_digest(prompt);
    let length = answer_length(prompt, max_tokens);
    (0..length)
        .map(|position| answer_token(digest, position))
        .collect()
}
