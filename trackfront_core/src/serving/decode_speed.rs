//! How long engines take to make a token of an answer, for each model.
//!
//! The figure is time over the tokens that requests were expected to have, not those that they had:
//! it is used with such expectations only, so what these are off by on the mean is in it.

use std::collections::HashMap;

use crate::ids::ModelName;

/// The time for one token before any was measured at any model, in milliseconds: a hundred tokens a
/// second, a round figure that the first measurements replace.
const FIRST_TOKEN_MS: f64 = 10.0;

/// What an earlier answer still counts when the next has come: the mean is over the last 20 or so.
const KEPT_PART: f64 = 0.95;

/// Answers of one model, or of all, the latest with the most weight.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    tokens: f64,
    took_ms: f64,
}

impl Sums {
    fn record(&mut self, tokens: f64, took_ms: f64) {
        self.tokens = self.tokens * KEPT_PART + tokens;
        self.took_ms = self.took_ms * KEPT_PART + took_ms;
    }

    fn token_ms(&self) -> Option<f64> {
        (self.tokens > 0.0).then(|| self.took_ms / self.tokens)
    }
}

/// The measured speeds at which answers are made.
#[derive(Debug, Default)]
pub struct DecodeSpeeds {
    models: HashMap<ModelName, Sums>,
    all: Sums,
}

impl DecodeSpeeds {
    /// Notes that an answer that was expected to have `tokens` took `took_ms` after its first event.
    pub fn record(&mut self, model: &ModelName, tokens: u32, took_ms: f64) {
        let tokens = f64::from(tokens);
        self.models.entry(model.clone()).or_default().record(tokens, took_ms);
        self.all.record(tokens, took_ms);
    }

    /// Returns the time for one token of `model`, in milliseconds; for a model that was not measured
    /// yet the mean of those that were.
    pub fn token_ms(&self, model: &ModelName) -> f64 {
        let measured = self.models.get(model).and_then(Sums::token_ms);
        measured.or_else(|| self.all.token_ms()).unwrap_or(FIRST_TOKEN_MS)
    }
}
