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
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of the newest turn in an engine's deviation.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Bounds of one turn's deviation: a single outlier shall not rule.
const SLOWNESS_RANGE: (f64, f64) = (0.25, 8.0);
/// Engines that deviate by more than this factor don't teach the service's
/// estimate.
const ORDINARY_SLOWNESS: f64 = 1.5;

/// Weight of the newest turn in the mean length of answers.
const OUTPUT_WEIGHT: f64 = 0.02;

/// What is assumed before anything is learnt: milliseconds a token, for an
/// idle engine and for each further request that runs there.
const ASSUMED_TOKEN: f64 = 2.0;
const ASSUMED_CONTENTION: f64 = 0.05;
/// Milliseconds until the first event with nothing to read, and for each token
/// of the prompt that is read.
const ASSUMED_HEAD: f64 = 10.0;
const ASSUMED_READING: f64 = 0.01;
/// Tokens that a turn generates.
const ASSUMED_OUTPUT: f64 = 150.0;
/// How many turns the assumptions weigh as much as.
const ASSUMED_WEIGHT: f64 = 4.0;
/// Where the assumptions are placed on the axes: requests that run, and tokens
/// that are read.
const ASSUMED_RUNNING: f64 = 12.0;
const ASSUMED_MISSING: f64 = 2_000.0;

/// Times of one turn that ran to its end.
#[derive(Clone, Copy, Debug)]
pub struct TurnTiming {
    /// From the offer to the first event.
    pub to_first_event: Duration,
    /// Tokens of the prompt that the engine was believed not to hold.
    pub missing_tokens: u32,
    /// From the first event to the last.
    pub generating: Duration,
    /// Tokens generated in that time.
    pub generated_tokens: u32,
    /// Other requests that ran there, on average.
    pub running: f64,
    /// Whether it had to wait for a slot, as far as is known.
    pub queued: bool,
}

impl TurnTiming {
    /// How many times as long as at an ordinary engine it took, if it generated anything.
    pub fn ratio(&self, rates: &CurrentRates) -> Option<f64> {
        let token = self.token_milliseconds()?;
        Some(token / rates.token_beside(self.running))
    }

    fn token_milliseconds(&self) -> Option<f64> {
        let tokens = f64::from(self.generated_tokens);
        (tokens > 0.0).then(|| milliseconds(self.generating) / tokens)
    }
}

/// A line fitted by least squares; older points count less.
#[derive(Clone, Copy, Debug)]
struct FadingLine {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    prior: [(f64, f64); 2],
    at: Option<Instant>,
}

impl FadingLine {
    /// A line through two assumed points.
    fn assuming(prior: [(f64, f64); 2]) -> Self {
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
        let kept = fading(passed, RATES_HALF_LIFE);
        self.at = Some(now);
        self.weight = self.weight * kept + 1.0;
        self.x = self.x * kept + x;
        self.y = self.y * kept + y;
        self.xx = self.xx * kept + x * x;
        self.xy = self.xy * kept + x * y;
    }

    /// Intercept and slope, neither below zero.
    fn fit(&self) -> (f64, f64) {
        let mut sums = *self;
        for (x, y) in self.prior {
            let weight = ASSUMED_WEIGHT / 2.0;
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
    token: FadingLine,
    head: FadingLine,
    output_tokens: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        let token = |running: f64| (running, ASSUMED_TOKEN + ASSUMED_CONTENTION * running);
        let head = |missing: f64| (missing, ASSUMED_HEAD + ASSUMED_READING * missing);
        Self {
            token: FadingLine::assuming([token(0.0), token(ASSUMED_RUNNING)]),
            head: FadingLine::assuming([head(0.0), head(ASSUMED_MISSING)]),
            output_tokens: ASSUMED_OUTPUT,
        }
    }
}

impl EngineRates {
    /// Takes a turn that ran to its end on an engine with this deviation.
    pub fn note(&mut self, timing: &TurnTiming, slowness: f64, now: Instant) {
        let tokens = f64::from(timing.generated_tokens);
        self.output_tokens += (tokens - self.output_tokens) * OUTPUT_WEIGHT;
        if slowness > ORDINARY_SLOWNESS {
            return;
        }
        if let Some(token) = timing.token_milliseconds() {
            self.token.add(timing.running, token, now);
        }
        if !timing.queued {
            let missing = f64::from(timing.missing_tokens);
            let head = milliseconds(timing.to_first_event);
            self.head.add(missing, head, now);
        }
    }

    /// The rates as they stand now.
    pub fn current(&self) -> CurrentRates {
        let (token, contention) = self.token.fit();
        let (_, reading) = self.head.fit();
        CurrentRates {
            token,
            contention,
            reading,
            output_tokens: self.output_tokens,
        }
    }
}

/// Rates of an ordinary engine of a service, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentRates {
    /// For one token on an idle engine.
    pub token: f64,
    /// What each other request that runs there adds to the time of a token.
    pub contention: f64,
    /// For reading one token of a prompt.
    pub reading: f64,
    /// Tokens that a turn generates, on average.
    pub output_tokens: f64,
}

impl fmt::Display for CurrentRates {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            token,
            contention,
            reading,
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
    pub fn token_beside(&self, running: f64) -> f64 {
        self.token + self.contention * running
    }

    /// Time of a turn of ordinary length that has nothing to read.
    pub fn turn_beside(&self, running: f64) -> f64 {
        self.output_tokens * self.token_beside(running)
    }
}

/// An engine's deviation from its service's rates: 2 means half as fast.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    logarithm: f64,
    at: Option<Instant>,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            logarithm: 0.0,
            at: None,
        }
    }
}

impl Slowness {
    /// Takes a turn that ran to its end there.
    pub fn note(&mut self, timing: &TurnTiming, rates: &CurrentRates, now: Instant) {
        let Some(ratio) = timing.ratio(rates) else {
            return;
        };
        let (least, most) = SLOWNESS_RANGE;
        let seen = ratio.clamp(least, most).log2();
        let before = self.factor(now).log2();
        self.logarithm = before + SLOWNESS_WEIGHT * (seen - before);
        self.at = Some(now);
    }

    /// The factor now.
    pub fn factor(&self, now: Instant) -> f64 {
        let passed = self.at.map_or(Duration::ZERO, |at| now - at);
        (self.logarithm * fading(passed, SLOWNESS_HALF_LIFE)).exp2()
    }
}

fn fading(passed: Duration, half_life: Duration) -> f64 {
    (-passed.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
