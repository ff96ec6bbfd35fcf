//! How long answers are, as measured, for estimates before an answer is there.

use std::collections::HashMap;

use parking_lot::Mutex;
use trackfront_core::estimate::Mean;

/// The tokens that an answer is expected to have before any was measured.
const FIRST_GUESS: f64 = 64.0;

/// The mean length of answers by the name that callers use.
#[derive(Default)]
pub struct OutputMeans {
    means: Mutex<HashMap<String, Mean>>,
}

impl OutputMeans {
    /// Returns how many tokens an answer should have, at most `asked` if the caller said so.
    pub fn expect(&self, name: &str, asked: Option<u64>) -> f64 {
        let mean = self.means.lock().get(name).and_then(Mean::get).unwrap_or(FIRST_GUESS);
        asked.map_or(
            mean,
            |asked| if mean == FIRST_GUESS { asked as f64 } else { mean.min(asked as f64) },
        )
    }

    /// Adds the length of a whole answer.
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
