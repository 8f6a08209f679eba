//! How fast a service's engines read prompts and generate tokens, learnt from
//! the turns that pass. Pure: time is given.
//!
//! All engines of a service share one estimate ([`EngineRates`]); each engine's
//! deviation from it is its [`Slowness`]. Both fade, so that they follow a
//! change of the engines' software within some ten seconds.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

/// Time in which what was learnt of a service's engines counts half.
const RATES_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time in which an engine's deviation halves by itself, so that an engine that
/// was slow is tried again.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of the newest turn in an engine's deviation.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Bounds of one turn's deviation: a single outlier shall not rule.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 8.0);
/// Engines that deviate by more than this factor don't teach the service's
/// estimate.
const MAX_LEARNING_SLOWDOWN: f64 = 1.5;

/// Weight of the newest turn in the mean length of answers.
const OUTPUT_TOKENS_WEIGHT: f64 = 0.02;

/// What is assumed before anything is learnt: milliseconds a token, for an
/// idle engine and for each further request that runs there.
const PRIOR_TOKEN_MS: f64 = 2.0;
const PRIOR_CONTENTION_MS: f64 = 0.05;
/// Milliseconds until the first event with nothing to read, and for each token
/// of the prompt that is read.
const PRIOR_FIRST_EVENT_MS: f64 = 10.0;
const PRIOR_PREFILL_MS: f64 = 0.01;
/// Tokens that a turn generates.
const PRIOR_OUTPUT_TOKENS: f64 = 150.0;
/// How many turns the assumptions weigh as much as.
const PRIOR_WEIGHT: f64 = 4.0;
/// Where the assumptions are placed on the axes: requests that run, and tokens
/// that are read.
const PRIOR_CONCURRENT_REQUESTS: f64 = 12.0;
const PRIOR_UNCACHED_TOKENS: f64 = 2_000.0;

/// Times of one turn that ran to its end.
#[derive(Clone, Copy, Debug)]
pub struct TurnTiming {
    /// From the offer to the first event.
    pub time_to_first_event: Duration,
    /// Tokens of the prompt that the engine was believed not to hold.
    pub uncached_tokens: u32,
    /// From the first event to the last.
    pub generation_time: Duration,
    /// Tokens generated in that time.
    pub generated_tokens: u32,
    /// Other requests that ran there, on average.
    pub concurrent_requests: f64,
    /// Whether it had to wait for a slot, as far as is known.
    pub queued: bool,
}

impl TurnTiming {
    /// How many times as long as at an ordinary engine it took, if it generated anything.
    pub fn slowdown(&self, rates: &CurrentRates) -> Option<f64> {
        let token = self.token_milliseconds()?;
        Some(token / rates.token_time(self.concurrent_requests))
    }

    fn token_milliseconds(&self) -> Option<f64> {
        let tokens = f64::from(self.generated_tokens);
        (tokens > 0.0).then(|| milliseconds(self.generation_time) / tokens)
    }
}

/// A line fitted by least squares; older points count less.
#[derive(Clone, Copy, Debug)]
struct DecayingLinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    prior: [(f64, f64); 2],
    at: Option<Instant>,
}

impl DecayingLinearFit {
    /// A line through two assumed points.
    fn with_prior(prior: [(f64, f64); 2]) -> Self {
        Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            prior,
            at: None,
        }
    }

    fn add(&mut self, x: f64, y: f64, now: Instant) {
        let passed = self.at.map_or(Duration::ZERO, |at| now - at);
        let retained = decay(passed, RATES_HALF_LIFE);
        self.at = Some(now);
        self.weight = self.weight * retained + 1.0;
        self.x = self.x * retained + x;
        self.y = self.y * retained + y;
        self.xx = self.xx * retained + x * x;
        self.xy = self.xy * retained + x * y;
    }

    /// Intercept and slope, neither below zero.
    fn fit(&self) -> (f64, f64) {
        let mut sums = *self;
        for (x, y) in self.prior {
            let weight = PRIOR_WEIGHT / 2.0;
            sums.weight += weight;
            sums.x += weight * x;
            sums.y += weight * y;
            sums.xx += weight * x * x;
            sums.xy += weight * x * y;
        }
        let (mean_x, mean_y) = (sums.x / sums.weight, sums.y / sums.weight);
        let variance = sums.xx / sums.weight - mean_x * mean_x;
        let covariance = sums.xy / sums.weight - mean_x * mean_y;
        let slope = (covariance / variance).max(0.0);
        ((mean_y - slope * mean_x).max(0.0), slope)
    }
}

/// What is known of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct EngineRates {
    token: DecayingLinearFit,
    first_event: DecayingLinearFit,
    output_tokens: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        let token = |concurrent_requests: f64| {
            (
                concurrent_requests,
                PRIOR_TOKEN_MS + PRIOR_CONTENTION_MS * concurrent_requests,
            )
        };
        let first_event =
            |missing: f64| (missing, PRIOR_FIRST_EVENT_MS + PRIOR_PREFILL_MS * missing);
        Self {
            token: DecayingLinearFit::with_prior([token(0.0), token(PRIOR_CONCURRENT_REQUESTS)]),
            first_event: DecayingLinearFit::with_prior([
                first_event(0.0),
                first_event(PRIOR_UNCACHED_TOKENS),
            ]),
            output_tokens: PRIOR_OUTPUT_TOKENS,
        }
    }
}

impl EngineRates {
    /// Takes a turn that ran to its end on an engine with this deviation.
    pub fn record(&mut self, timing: &TurnTiming, slowdown: f64, now: Instant) {
        let tokens = f64::from(timing.generated_tokens);
        self.output_tokens += (tokens - self.output_tokens) * OUTPUT_TOKENS_WEIGHT;
        if slowdown > MAX_LEARNING_SLOWDOWN {
            return;
        }
        if let Some(token) = timing.token_milliseconds() {
            self.token.add(timing.concurrent_requests, token, now);
        }
        if !timing.queued {
            let missing = f64::from(timing.uncached_tokens);
            let first_event = milliseconds(timing.time_to_first_event);
            self.first_event.add(missing, first_event, now);
        }
    }

    /// The rates as they stand now.
    pub fn current(&self) -> CurrentRates {
        let (token_ms, contention_ms) = self.token.fit();
        let (_, prefill_ms) = self.first_event.fit();
        CurrentRates {
            token_ms,
            contention_ms,
            prefill_ms,
            output_tokens: self.output_tokens,
        }
    }
}

/// Rates of an ordinary engine of a service, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentRates {
    /// For one token on an idle engine.
    pub token_ms: f64,
    /// What each other request that runs there adds to the time of a token.
    pub contention_ms: f64,
    /// For reading one token of a prompt.
    pub prefill_ms: f64,
    /// Tokens that a turn generates, on average.
    pub output_tokens: f64,
}

impl fmt::Display for CurrentRates {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            token_ms: token,
            contention_ms: contention,
            prefill_ms: reading,
            output_tokens,
        } = self;
        write!(
            formatter,
            "token={token:.3} contention={contention:.4} reading={reading:.4} output={output_tokens:.0}"
        )
    }
}

impl CurrentRates {
    /// Time of one token where so many other requests run.
    pub fn token_time(&self, concurrent_requests: f64) -> f64 {
        self.token_ms + self.contention_ms * concurrent_requests
    }

    /// Time of a turn of ordinary length that has nothing to read.
    pub fn turn_time(&self, concurrent_requests: f64) -> f64 {
        self.output_tokens * self.token_time(concurrent_requests)
    }
}

/// An engine's deviation from its service's rates: 2 means half as fast.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    logarithm: f64,
    at: Option<Instant>,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            logarithm: 0.0,
            at: None,
        }
    }
}

impl Slowdown {
    /// Takes a turn that ran to its end there.
    pub fn record(&mut self, timing: &TurnTiming, rates: &CurrentRates, now: Instant) {
        let Some(ratio) = timing.slowdown(rates) else {
            return;
        };
        let (least, most) = SLOWDOWN_RANGE;
        let seen = ratio.clamp(least, most).log2();
        let before = self.factor(now).log2();
        self.logarithm = before + SLOWDOWN_WEIGHT * (seen - before);
        self.at = Some(now);
    }

    /// The factor now.
    pub fn factor(&self, now: Instant) -> f64 {
        let passed = self.at.map_or(Duration::ZERO, |at| now - at);
        (self.logarithm * decay(passed, SLOWDOWN_HALF_LIFE)).exp2()
    }
}

fn decay(passed: Duration, half_life: Duration) -> f64 {
    (-passed.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
