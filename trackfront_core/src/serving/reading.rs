//! How long engines take until the first event of an answer: a time for any request, and one for
//! each token of the prompt, which differs by model.
//!
//! Both come from one straight line through what was measured at all models. A model's own time for
//! a token starts at the line's and moves to its own measurements as these come in.

use std::collections::HashMap;

use crate::ids::ModelName;

/// The time to read one token before any was measured, in milliseconds: ten in a millisecond, a
/// round figure that the first measurements replace.
const FIRST_TOKEN_MS: f64 = 0.1;

/// The tokens that [`FIRST_TOKEN_MS`] counts for: about one prompt.
const FIRST_TOKENS: f64 = 1_000.0;

/// The bounds of a time for one token, in milliseconds: 2.5 to 100 tokens in a millisecond.
const TOKEN_BOUNDS_MS: (f64, f64) = (0.01, 0.4);

/// What an earlier measurement still counts when the next has come: the last 50 or so count.
const KEPT_PART: f64 = 0.98;

/// The same for one model, which is measured more seldom.
const KEPT_PART_OF_MODEL: f64 = 0.9;

/// The tokens for which the time of all models counts against a model's own measurements: a few
/// prompts.
const SHARED_TOKENS: f64 = 4_000.0;

/// How many times longer than expected a measurement counts at most: it may have waited for what
/// this node does not know of.
const MAX_SURPRISE: f64 = 3.0;

/// Measurements of all models: the sums of a straight line, the latest with the most weight.
#[derive(Clone, Copy, Debug)]
struct Line {
    count: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Default for Line {
    fn default() -> Self {
        Line {
            count: 1.0,
            tokens: FIRST_TOKENS,
            ms: FIRST_TOKENS * FIRST_TOKEN_MS,
            tokens_squared: FIRST_TOKENS * FIRST_TOKENS,
            tokens_ms: FIRST_TOKENS * FIRST_TOKENS * FIRST_TOKEN_MS,
        }
    }
}

impl Line {
    fn note(&mut self, tokens: f64, ms: f64) {
        self.count = self.count * KEPT_PART + 1.0;
        self.tokens = self.tokens * KEPT_PART + tokens;
        self.ms = self.ms * KEPT_PART + ms;
        self.tokens_squared = self.tokens_squared * KEPT_PART + tokens * tokens;
        self.tokens_ms = self.tokens_ms * KEPT_PART + tokens * ms;
    }

    /// Returns the time for any request and that for a token, in milliseconds. Prompts that are all
    /// alike say nothing of the first, which is then zero.
    fn fit(&self) -> (f64, f64) {
        // One more measurement counts for "no time for any request", so that there is one solution.
        let count = self.count + 1.0;
        let spread = count * self.tokens_squared - self.tokens * self.tokens;
        let start = (self.tokens_squared * self.ms - self.tokens * self.tokens_ms) / spread;
        if start <= 0.0 {
            return (0.0, clamped(self.tokens_ms / self.tokens_squared));
        }
        (start, clamped((count * self.tokens_ms - self.tokens * self.ms) / spread))
    }
}

fn clamped(token_ms: f64) -> f64 {
    token_ms.clamp(TOKEN_BOUNDS_MS.0, TOKEN_BOUNDS_MS.1)
}

/// Measurements of one model, the latest with the most weight.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    tokens: f64,
    ms: f64,
}

/// The measured speeds at which prompts are read.
#[derive(Debug, Default)]
pub struct ReadingSpeeds {
    line: Line,
    models: HashMap<ModelName, Sums>,
}

impl ReadingSpeeds {
    /// Notes that the first event of a request with `tokens` unread tokens took `ms`, what was read
    /// before it taken off.
    pub fn note(&mut self, model: &ModelName, tokens: u32, ms: f64) {
        let tokens = f64::from(tokens);
        let expected = self.start_ms() + tokens * self.token_ms(model);
        let ms = ms.clamp(0.0, expected * MAX_SURPRISE);
        self.line.note(tokens, ms);
        let start_ms = self.start_ms();
        let sums = self.models.entry(model.clone()).or_default();
        sums.tokens = sums.tokens * KEPT_PART_OF_MODEL + tokens;
        sums.ms = sums.ms * KEPT_PART_OF_MODEL + (ms - start_ms).max(0.0);
    }

    /// Returns the time until the first event of a request that has nothing to read, in
    /// milliseconds.
    pub fn start_ms(&self) -> f64 {
        self.line.fit().0
    }

    /// Returns the time to read one token for `model`, in milliseconds.
    pub fn token_ms(&self, model: &ModelName) -> f64 {
        let shared = self.line.fit().1;
        let own = self.models.get(model).copied().unwrap_or_default();
        clamped((SHARED_TOKENS * shared + own.ms) / (SHARED_TOKENS + own.tokens))
    }
}
