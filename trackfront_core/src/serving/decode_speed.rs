//! The decode time for one token of an answer, by model.
//!
//! Times are divided by the expected number of tokens, not by the actual one. They are only ever
//! multiplied by such expectations, so a systematic error of the expectations cancels out.

use std::collections::HashMap;

use crate::ids::ModelName;

/// The decode time for one token before any measurement, in milliseconds: a hundred tokens a second,
/// a round figure that the first measurements replace.
const DEFAULT_TOKEN_MS: f64 = 10.0;

/// The factor on the weight of earlier answers with each new one: the mean covers the last 20 or so.
const DECAY_PER_ANSWER: f64 = 0.95;

/// Decayed sums over the answers of one model, or of all models.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedSums {
    tokens: f64,
    took_ms: f64,
}

impl DecayedSums {
    fn record(&mut self, tokens: f64, took_ms: f64) {
        self.tokens = self.tokens * DECAY_PER_ANSWER + tokens;
        self.took_ms = self.took_ms * DECAY_PER_ANSWER + took_ms;
    }

    fn token_ms(&self) -> Option<f64> {
        (self.tokens > 0.0).then(|| self.took_ms / self.tokens)
    }
}

/// The measured decode times.
#[derive(Debug, Default)]
pub struct DecodeSpeeds {
    models: HashMap<ModelName, DecayedSums>,
    all: DecayedSums,
}

impl DecodeSpeeds {
    /// Records that an answer with an expected length of `tokens` took `took_ms` after its first event. One of which no
    /// length was expected says nothing of the time for a token.
    pub fn record(&mut self, model: &ModelName, tokens: u32, took_ms: f64) {
        if tokens == 0 {
            return;
        }
        let tokens = f64::from(tokens);
        self.models.entry(model.clone()).or_default().record(tokens, took_ms);
        self.all.record(tokens, took_ms);
    }

    /// Returns the time for one token of `model`, in milliseconds, or the mean over all models if this
    /// one was not measured yet.
    pub fn token_ms(&self, model: &ModelName) -> f64 {
        let measured = self.models.get(model).and_then(DecayedSums::token_ms);
        measured.or_else(|| self.all.token_ms()).unwrap_or(DEFAULT_TOKEN_MS)
    }
}
