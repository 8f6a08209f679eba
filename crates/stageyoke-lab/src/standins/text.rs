//! The text that a stand-in engine generates. It depends on the whole prompt,
//! so a lost, mixed or doubled history shows up in the answer.

/// Least tokens of an answer.
const LEAST_TOKENS: u64 = 4;
/// Range of an answer's length beyond the least.
const TOKEN_RANGE: u64 = 12;
/// A prompt that holds this word, followed by a number, gets as many tokens.
const LENGTH_WORD: &str = "tokens:";

/// One message of a prompt.
pub struct PromptMessage<'a> {
    /// Author.
    pub role: &'a str,
    /// Text.
    pub content: &'a str,
}

/// Digest of a prompt.
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

/// Tokens of a text: its words.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// How many tokens the answer to a prompt has.
pub fn answer_length(prompt: &[PromptMessage<'_>], max_tokens: u32) -> u64 {
    let asked = prompt.last().and_then(|message| {
        let mut words = message.content.split_whitespace();
        words.find_map(|word| word.strip_prefix(LENGTH_WORD)?.parse::<u64>().ok())
    });
    let natural = LEAST_TOKENS + prompt_digest(prompt) % TOKEN_RANGE;
    asked.unwrap_or(natural).min(u64::from(max_tokens))
}

/// One token of the answer to a prompt with a given digest, with the space
/// before it.
pub fn answer_token(digest: u64, position: u64) -> String {
    let word = stageyoke_core::hash::mix(digest ^ position) & 0xffff_ffff;
    if position == 0 {
        format!("{word:08x}")
    } else {
        format!(" {word:08x}")
    }
}

/// The whole answer to a prompt.
pub fn complete_answer(prompt: &[PromptMessage<'_>], max_tokens: u32) -> String {
    let digest = prompt_digest(prompt);
    let length = answer_length(prompt, max_tokens);
    (0..length)
        .map(|position| answer_token(digest, position))
        .collect()
}
