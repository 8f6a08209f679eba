//! The parts of a prompt, and what an engine is believed to hold of them.
//!
//! The belief is built from what this front sent there. It is a hint: an
//! engine that holds less reads more, nothing else changes.

use std::collections::{BTreeMap, HashMap};

use crate::placement::hash_text;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's identifier.
    pub part: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The parts of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// From its start.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Reads `ID:TOKENS,ID:TOKENS`; parts that can't be read end the list.
    pub fn parse(text: &str) -> Self {
        let part = |part: &str| {
            let (id, tokens) = part.trim().split_once(':')?;
            let tokens = tokens.parse().ok()?;
            let part = hash_text(id);
            Some(PromptPart { part, tokens })
        };
        Self {
            parts: text.split(',').map_while(part).collect(),
        }
    }

    /// All its tokens.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

/// What one engine is believed to hold; the parts unused longest give way.
#[derive(Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, CachedPart>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl PromptCache {
    /// Tokens of the prompt's leading parts that are held.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        prompt
            .parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.part))
            .map(|part| part.tokens)
            .sum()
    }

    /// The engine reads this prompt; it holds at most `capacity` tokens.
    pub fn record_prompt(&mut self, prompt: &Prompt, capacity: u64) {
        // The last part is used last: what comes first must stay longest.
        for part in prompt.parts.iter().rev() {
            self.touch(*part);
        }
        while self.tokens > capacity {
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
        if let Some(before) = self.parts.insert(part.part, cached) {
            self.by_use.remove(&before.last_use);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_use.insert(self.uses, part.part);
        self.tokens += u64::from(part.tokens);
    }
}
