//! A model of an engine that batches continuously: each step it prefills some
//! prompt tokens and generates one token for every running call, and takes a
//! time that depends on both. It caches the prefixes of programs in limited
//! memory and evicts the least recently used.
//!
//! The engine stand-in and the emulator run this same model.

use std::collections::BTreeMap;

use stageyoke_types::{ProgramKey, Time};

use crate::engine::AttemptId;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Time of a step with nothing to do, µs.
    pub step_us: u64,
    /// Time for each prefilled token, µs.
    pub prefill_us: u64,
    /// Time for each running call that generates a token, µs.
    pub decode_us: u64,
    /// Tokens prefilled in one step at most.
    pub prefill_chunk: u64,
    /// Calls batched at most.
    pub max_batch: usize,
    /// Tokens that fit into the cache.
    pub cache_tokens: u64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            step_us: 8_000,
            prefill_us: 100,
            decode_us: 250,
            prefill_chunk: 512,
            max_batch: 32,
            cache_tokens: 60_000,
        }
    }
}

/// A call as the engine sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// Program; names the cached prefix.
    pub program: ProgramKey,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Urgency, 0 the most urgent.
    pub priority: u8,
}

#[derive(Clone, Debug)]
struct Running {
    call: EngineCall,
    arrival: u64,
    prefilled: u64,
    generated: u64,
    admitted: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct CachedPrefix {
    tokens: u64,
    used_at: Time,
}

/// What happened in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Call.
    pub id: AttemptId,
    /// Tokens generated so far.
    pub generated: u64,
    /// Whether that was the last.
    pub finished: bool,
}

/// Cache memory that did no good.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Waste {
    /// Token-seconds held and never used again.
    pub idle_token_seconds: f64,
    /// Tokens prefilled again though they had been cached somewhere.
    pub refilled_tokens: u64,
    /// Tokens prefilled in all.
    pub prefilled_tokens: u64,
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct BatchEngine {
    speed: EngineSpeed,
    running: BTreeMap<AttemptId, Running>,
    cache: BTreeMap<ProgramKey, CachedPrefix>,
    arrivals: u64,
    waste: Waste,
}

const US_PER_MS: u64 = 1_000;
const MS_PER_SECOND: f64 = 1_000.0;

impl BatchEngine {
    /// An idle engine.
    pub fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            ..Self::default()
        }
    }

    /// Takes a call. Returns the tokens of its prompt that are cached.
    pub fn submit(&mut self, id: AttemptId, call: EngineCall, now: Time) -> u64 {
        let cached = self.cache.get_mut(&call.program).map_or(0, |prefix| {
            prefix.used_at = now;
            prefix.tokens.min(call.prompt_tokens.saturating_sub(1))
        });
        self.arrivals += 1;
        let running = Running {
            prefilled: cached,
            arrival: self.arrivals,
            generated: 0,
            admitted: false,
            call,
        };
        self.running.insert(id, running);
        cached
    }

    /// Stops a call. Returns the tokens it had generated.
    pub fn cancel(&mut self, id: AttemptId) -> Option<u64> {
        self.running.remove(&id).map(|running| running.generated)
    }

    /// Drops what is cached for a program.
    pub fn release(&mut self, program: &ProgramKey, now: Time) {
        if let Some(prefix) = self.cache.remove(program) {
            self.note_idle(&prefix, now);
        }
    }

    /// Calls under way.
    pub fn running_count(&self) -> usize {
        self.running.values().filter(|call| call.admitted).count()
    }

    /// Calls that wait for a place in the batch.
    pub fn waiting_count(&self) -> usize {
        self.running.len() - self.running_count()
    }

    /// True if there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Programs with cached tokens.
    pub fn cached_programs(&self) -> impl Iterator<Item = &ProgramKey> {
        self.cache.keys()
    }

    /// Tokens cached.
    pub fn cached_tokens(&self) -> u64 {
        self.cache.values().map(|prefix| prefix.tokens).sum()
    }

    /// Tokens that fit into the cache.
    pub fn cache_limit(&self) -> u64 {
        self.speed.cache_tokens
    }

    /// Waste so far, what is still held unused included.
    pub fn waste(&self, now: Time) -> Waste {
        let mut total = self.waste;
        for prefix in self.cache.values() {
            total.idle_token_seconds += idle_token_seconds(prefix, now);
        }
        total
    }

    /// Counts tokens that were prefilled here although another engine had them.
    pub fn note_refill(&mut self, tokens: u64) {
        self.waste.refilled_tokens += tokens;
    }

    /// Runs one step. Returns how long it takes, ms, and what it brings.
    pub fn step(&mut self, now: Time) -> (Time, Vec<Progress>) {
        self.admit();
        let mut budget = self.speed.prefill_chunk;
        let mut prefilled = 0;
        let mut progress = Vec::new();
        for id in self.by_urgency() {
            let Some(running) = self.running.get_mut(&id) else {
                continue;
            };
            let missing = running.call.prompt_tokens - running.prefilled;
            if missing > 0 {
                let part = missing.min(budget);
                running.prefilled += part;
                budget -= part;
                prefilled += part;
                continue;
            }
            running.generated += 1;
            progress.push(Progress {
                id,
                generated: running.generated,
                finished: running.generated >= running.call.output_tokens,
            });
        }
        self.waste.prefilled_tokens += prefilled;
        let micros = self.speed.step_us
            + prefilled * self.speed.prefill_us
            + progress.len() as u64 * self.speed.decode_us;
        let duration = micros.div_ceil(US_PER_MS);
        for done in progress.iter().filter(|done| done.finished) {
            self.finish(done.id, now + duration);
        }
        (duration, progress)
    }

    fn by_urgency(&self) -> Vec<AttemptId> {
        let mut order: Vec<(u8, u64, AttemptId)> = self
            .running
            .iter()
            .filter(|(_, running)| running.admitted)
            .map(|(id, running)| (running.call.priority, running.arrival, *id))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    fn admit(&mut self) {
        let mut free = self.speed.max_batch.saturating_sub(self.running_count());
        let mut waiting: Vec<(u8, u64, AttemptId)> = self
            .running
            .iter()
            .filter(|(_, running)| !running.admitted)
            .map(|(id, running)| (running.call.priority, running.arrival, *id))
            .collect();
        waiting.sort_unstable();
        for (_, _, id) in waiting {
            if free == 0 {
                return;
            }
            free -= 1;
            if let Some(running) = self.running.get_mut(&id) {
                running.admitted = true;
            }
        }
    }

    fn finish(&mut self, id: AttemptId, now: Time) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let tokens = running.call.prompt_tokens + running.generated;
        self.cache.insert(
            running.call.program,
            CachedPrefix {
                tokens,
                used_at: now,
            },
        );
        self.evict(now);
    }

    fn evict(&mut self, now: Time) {
        while self.cached_tokens() > self.speed.cache_tokens {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(_, prefix)| prefix.used_at)
                .map(|(program, _)| program.clone());
            match oldest {
                Some(program) => self.release(&program, now),
                None => return,
            }
        }
    }

    fn note_idle(&mut self, prefix: &CachedPrefix, now: Time) {
        self.waste.idle_token_seconds += idle_token_seconds(prefix, now);
    }
}

fn idle_token_seconds(prefix: &CachedPrefix, now: Time) -> f64 {
    let idle_ms = now.saturating_sub(prefix.used_at);
    prefix.tokens as f64 * idle_ms as f64 / MS_PER_SECOND
}
