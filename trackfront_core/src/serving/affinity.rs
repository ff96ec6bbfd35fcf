//! Which engines likely keep the start of a prompt, by this node's own routing.
//!
//! A prompt is a list of parts; each prefix of it has a hash over the model and all parts up to
//! it, so that two prompts share a prefix's hash only if they share everything before. Two
//! generations of entries bound the memory: the older one is dropped when the newer one is full.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::ids::BackendId;
use crate::serving::request::{ModelRef, PromptPart};
use crate::units::Moment;

/// How many prefixes one generation holds; at about 100 bytes each this is 1 MB.
const GENERATION: usize = 10_000;

/// How long a prefix is taken to stay in an engine's memory after its last use.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// How many engines are remembered for one prefix.
const ENGINES: usize = 16;

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

/// The prefixes that engines likely keep.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    young: Generation,
    old: Generation,
}

impl PrefixIndex {
    /// Returns how many tokens of a prompt `engine` likely keeps.
    pub fn cached_tokens(&self, prefixes: &[Prefix], engine: &BackendId, now: Moment) -> u32 {
        let kept = prefixes.iter().rev().find(|prefix| self.keeps(prefix.hash, engine, now));
        kept.map_or(0, |prefix| prefix.tokens)
    }

    /// Notes that an engine reads a prompt.
    pub fn record_prefill(&mut self, prefixes: &[Prefix], engine: &BackendId, now: Moment) {
        for prefix in prefixes {
            self.note(prefix.hash, engine, now);
        }
    }

    fn keeps(&self, hash: u64, engine: &BackendId, now: Moment) -> bool {
        [&self.young, &self.old]
            .into_iter()
            .filter_map(|entries| entries.get(&hash))
            .any(|kept| kept.iter().any(|(id, at)| id == engine && now.since(*at) < KEPT_FOR))
    }

    fn note(&mut self, hash: u64, engine: &BackendId, now: Moment) {
        if !self.young.contains_key(&hash) {
            if self.young.len() >= GENERATION {
                self.old = std::mem::take(&mut self.young);
            }
            let moved = self.old.remove(&hash).unwrap_or_default();
            self.young.insert(hash, moved);
        }
        let kept = self.young.get_mut(&hash).expect("it was just put in");
        match kept.iter_mut().find(|(id, _)| id == engine) {
            Some((_, at)) => *at = now,
            None => {
                if kept.len() >= ENGINES {
                    kept.remove(0);
                }
                kept.push((engine.clone(), now));
            }
        }
    }
}
