//! Prediction of which engines have the start of a prompt in their prefix caches, from the requests that this box
//! sent them.
//!
//! A prompt is a list of parts. Each of its prefixes has a hash over the model and all parts up to there, so two
//! prompts share the hash of a prefix only if they share everything before. Two generations of entries bound the
//! memory: the older one is dropped when the newer one is full.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::ids::BackendId;
use crate::serving::request::{ModelRef, PromptPart};
use crate::units::Moment;

/// The most prefixes in one generation; at about 100 bytes each this is 1 MB.
const MAX_GENERATION_PREFIXES: usize = 10_000;

/// How long a prefix is assumed to stay in an engine's cache after its last use.
const PREFIX_TTL: Duration = Duration::from_secs(30);

/// The most engines that are remembered for one prefix.
const MAX_PREFIX_ENGINES: usize = 16;

/// One prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The hash over the model and the parts.
    pub hash: u64,
    /// The tokens in the parts.
    pub tokens: u32,
}

/// Returns the prefixes of a prompt, the shortest first.
pub fn prefixes(model: &ModelRef, prompt: &[PromptPart]) -> Vec<Prefix> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    let mut tokens = 0u32;
    let mut found = Vec::with_capacity(prompt.len());
    for part in prompt {
        part.id.hash(&mut hasher);
        tokens = tokens.saturating_add(part.tokens);
        found.push(Prefix { hash: hasher.finish(), tokens });
    }
    found
}

type Generation = HashMap<u64, Vec<(BackendId, Moment)>>;

/// The prefixes that engines probably have in their caches.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    newer: Generation,
    older: Generation,
}

impl PrefixIndex {
    /// Returns the number of a prompt's tokens that are probably in the cache of `engine`.
    pub fn cached_tokens(&self, prefixes: &[Prefix], engine: &BackendId, now: Moment) -> u32 {
        let cached = prefixes.iter().rev().find(|prefix| self.is_cached(prefix.hash, engine, now));
        cached.map_or(0, |prefix| prefix.tokens)
    }

    /// Records the prefill of a prompt at an engine.
    pub fn record_prefill(&mut self, prefixes: &[Prefix], engine: &BackendId, now: Moment) {
        for prefix in prefixes {
            self.insert(prefix.hash, engine, now);
        }
    }

    fn is_cached(&self, hash: u64, engine: &BackendId, now: Moment) -> bool {
        [&self.newer, &self.older].into_iter().filter_map(|entries| entries.get(&hash)).any(
            |engines| engines.iter().any(|(id, at)| id == engine && now.since(*at) < PREFIX_TTL),
        )
    }

    fn insert(&mut self, hash: u64, engine: &BackendId, now: Moment) {
        if !self.newer.contains_key(&hash) {
            if self.newer.len() >= MAX_GENERATION_PREFIXES {
                self.older = std::mem::take(&mut self.newer);
            }
            let moved = self.older.remove(&hash).unwrap_or_default();
            self.newer.insert(hash, moved);
        }
        let engines = self.newer.get_mut(&hash).expect("the entry was just inserted");
        match engines.iter_mut().find(|(id, _)| id == engine) {
            Some((_, at)) => *at = now,
            None => {
                if engines.len() >= MAX_PREFIX_ENGINES {
                    engines.remove(0);
                }
                engines.push((engine.clone(), now));
            }
        }
    }
}
