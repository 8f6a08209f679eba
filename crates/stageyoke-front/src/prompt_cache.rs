//! Parts of a prompt, and a model of what an engine has cached of them.
//!
//! The model is built from the requests that this front sent. It is only a hint: an engine
//! that has cached less prefills more.

use std::collections::{BTreeMap, HashMap};

use crate::placement::hash_text;

/// Maximum number of parts of a prompt that are considered.
pub const MAX_PROMPT_PARTS: usize = 512;
/// Maximum number of parts in the model of an engine, some 120 bytes each. Parts may have few
/// tokens, or none.
pub const MAX_CACHED_PARTS: usize = 1024;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's identifier.
    pub hash: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Ordered parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts, from the prompt's start.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Parses `ID:TOKENS,ID:TOKENS`. The list ends at the first invalid part, and after
    /// [`MAX_PROMPT_PARTS`].
    pub fn parse(text: &str) -> Self {
        let part = |part: &str| {
            let (id, tokens) = part.trim().split_once(':')?;
            let tokens = tokens.parse().ok()?;
            let hash = hash_text(id);
            Some(PromptPart { hash, tokens })
        };
        Self {
            parts: text
                .split(',')
                .map_while(part)
                .take(MAX_PROMPT_PARTS)
                .collect(),
        }
    }

    /// Returns the total number of tokens.
    pub fn tokens(&self) -> u32 {
        sum_tokens(self.parts.iter())
    }
}

/// Adds up the tokens of parts; callers may state any number.
fn sum_tokens<'a>(parts: impl Iterator<Item = &'a PromptPart>) -> u32 {
    parts.fold(0, |sum, part| sum.saturating_add(part.tokens))
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

/// Model of one engine's prompt cache, with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, CachedPart>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl PromptCache {
    /// Returns the tokens of the prompt's leading parts that are cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let parts = prompt.parts.iter();
        sum_tokens(parts.take_while(|part| self.parts.contains_key(&part.hash)))
    }

    /// Returns the number of cached parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Adds a prompt to the cache, and evicts parts beyond a `capacity` in tokens or beyond
    /// [`MAX_CACHED_PARTS`].
    pub fn record_prompt(&mut self, prompt: &Prompt, capacity: u64) {
        // Reversed, so that the leading parts are used last and evicted last.
        for part in prompt.parts.iter().rev() {
            self.touch(*part);
        }
        while self.tokens > capacity || self.parts.len() > MAX_CACHED_PARTS {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(cached) = self.parts.remove(&oldest) {
                self.tokens -= u64::from(cached.tokens);
            }
        }
    }

    fn touch(&mut self, part: PromptPart) {
        self.uses += 1;
        let cached = CachedPart {
            tokens: part.tokens,
            last_use: self.uses,
        };
        if let Some(previous) = self.parts.insert(part.hash, cached) {
            self.by_use.remove(&previous.last_use);
            self.tokens -= u64::from(previous.tokens);
        }
        self.by_use.insert(self.uses, part.hash);
        self.tokens += u64::from(part.tokens);
    }
}
