//! The measured lengths of answers, to estimate those of new requests.

use std::collections::HashMap;

use parking_lot::Mutex;
use trackfront_core::estimate::Mean;

/// The assumed number of tokens in an answer before any was measured.
const DEFAULT_TOKENS: f64 = 64.0;

/// The mean lengths of answers in tokens, by the name in requests.
#[derive(Default)]
pub struct OutputMeans {
    means: Mutex<HashMap<String, Mean>>,
}

impl OutputMeans {
    /// Returns the expected number of tokens in an answer, at most `max_tokens` of the request.
    pub fn expect(&self, name: &str, max_tokens: Option<u64>) -> f64 {
        let mean = self.means.lock().get(name).and_then(Mean::get).unwrap_or(DEFAULT_TOKENS);
        max_tokens.map_or(mean, |max| {
            if mean == DEFAULT_TOKENS { max as f64 } else { mean.min(max as f64) }
        })
    }

    /// Records the length of a complete answer.
    pub fn add(&self, name: &str, tokens: u64) {
        let mut means = self.means.lock();
        match means.get_mut(name) {
            Some(mean) => mean.add(tokens as f64),
            None => {
                let mut mean = Mean::default();
                mean.add(tokens as f64);
                means.insert(name.to_string(), mean);
            }
        }
    }
}
