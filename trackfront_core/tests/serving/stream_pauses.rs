//! Pauses of long streams beside prompts, under three ways to choose among the engines of a shortlist.
//!
//! An engine here reads all prompts that it has, in their order, then makes a step in which each of its streams gets an
//! event, and so on.

use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::choice::Candidate;
use trackfront_core::serving::coordinated_choice::{
    EngineLimits, RequestNeeds, choose_coordinated,
};
use trackfront_core::serving::coordinated_load::EngineLoad;
use trackfront_core::serving::directory::ServerEntry;

use super::choice::case;
use super::support::{entry, info, item};

const ENGINES: usize = 6;
const GAP_TARGET_MS: u64 = 400;
const SLOTS: u32 = 64;
const STEP_MS: u64 = 25;
const STREAM_MS: u64 = 3_000;
const SHORTEST_PROMPT_MS: u64 = 20;
const LONGEST_PROMPT_MS: u64 = 350;

/// The share of the engines' time that all prompts take.
const READING_SHARE: f64 = 0.5;

/// One of so many prompts begins a long stream; the others have an answer of one event.
const PROMPTS_PER_STREAM: u64 = 4;

const RUN_MS: u64 = 120_000;

/// One run has only some hundred streams.
const RUNS: u64 = 6;

/// The usual speed of a model that was not measured yet.
const TOKENS_PER_MS: u64 = 10;

/// The way to choose among the engines of a shortlist.
#[derive(Clone, Copy, Debug)]
enum Policy {
    Random,
    LeastPrefill,
    BoundPauses,
}

#[derive(Clone, Copy)]
struct Prompt {
    prefill_ms: u64,
    begins_stream: bool,
}

struct Stream {
    events: u64,
    last_event: u64,
    is_late: bool,
}

#[derive(Default)]
struct Engine {
    waiting: Vec<Prompt>,
    reading: Vec<Prompt>,
    streams: Vec<Stream>,
    /// The rest of the present read or step.
    busy_ms: u64,
}

impl Engine {
    /// Runs for a millisecond; returns the streams that ended.
    fn tick(&mut self, now: u64) -> Vec<Stream> {
        self.busy_ms = self.busy_ms.saturating_sub(1);
        if self.busy_ms > 0 {
            return Vec::new();
        }
        let has_read = !self.reading.is_empty();
        let ended = if has_read { self.end_read(now) } else { self.end_step(now) };
        if self.waiting.is_empty() || has_read && !self.streams.is_empty() {
            self.busy_ms = if self.streams.is_empty() { 0 } else { STEP_MS };
        } else {
            self.reading = std::mem::take(&mut self.waiting);
            self.busy_ms = prefill_ms(&self.reading);
        }
        ended
    }

    fn end_read(&mut self, now: u64) -> Vec<Stream> {
        let begun = self.reading.drain(..).filter(|prompt| prompt.begins_stream);
        self.streams.extend(begun.map(|_| Stream { events: 0, last_event: now, is_late: false }));
        Vec::new()
    }

    fn end_step(&mut self, now: u64) -> Vec<Stream> {
        for stream in &mut self.streams {
            stream.is_late |= now - stream.last_event > GAP_TARGET_MS;
            stream.last_event = now;
            stream.events += 1;
        }
        self.streams.extract_if(.., |stream| stream.events == STREAM_MS / STEP_MS).collect()
    }

    fn load(&self) -> EngineLoad {
        let rest_ms = if self.reading.is_empty() { 0 } else { self.busy_ms };
        let prefill_ms = (rest_ms + prefill_ms(&self.waiting)) as u32;
        let requests = self.waiting.len() + self.reading.len() + self.streams.len();
        EngineLoad {
            requests: requests as u32,
            prefill_ms,
            prefill_ahead_ms: prefill_ms,
            paced_streams: self.streams.len() as u32,
            min_gap_ms: if self.streams.is_empty() { 0 } else { GAP_TARGET_MS as u32 },
            slowness: 1.0,
            counted_ms: 60_000,
            ..EngineLoad::default()
        }
    }
}

fn prefill_ms(prompts: &[Prompt]) -> u64 {
    prompts.iter().map(|prompt| prompt.prefill_ms).sum()
}

fn choose(
    policy: Policy,
    prompt: Prompt,
    mut candidates: Vec<Candidate>,
    engines: &HashMap<BackendId, Engine>,
) -> BackendId {
    let load = |candidate: &Candidate| engines[&candidate.choice.server.entry.id].load();
    let chosen = match policy {
        Policy::Random => candidates.remove(0).choice,
        Policy::LeastPrefill => {
            let least = candidates.into_iter().min_by_key(|one| load(one).prefill_ahead_ms);
            least.expect("a candidate").choice
        }
        Policy::BoundPauses => {
            let gap_target = Duration::from_millis(GAP_TARGET_MS);
            let needs = RequestNeeds {
                decode_ms: if prompt.begins_stream { STREAM_MS as f64 } else { 0.0 },
                tokens: 0,
                event_gap_target: prompt.begins_stream.then_some(gap_target),
                bound_pauses: true,
                rank: 0,
            };
            let loads: Vec<_> = candidates.iter().map(|one| Some(load(one))).collect();
            let limits = EngineLimits { slots: SLOTS, kv_tokens: 0 };
            choose_coordinated(candidates, &loads, &needs, limits).choice
        }
    };
    chosen.server.entry.id.clone()
}

/// Returns the streams that ended in one run.
fn run(policy: Policy, seed: u64) -> Vec<Stream> {
    let ids = (0..ENGINES).map(|number| format!("s{number}"));
    let entries: Vec<_> =
        ids.map(|id| ServerEntry { slots: SLOTS, ..entry(&id, &["m"]) }).collect();
    let mut engines: HashMap<BackendId, Engine> =
        entries.iter().map(|entry| (entry.id.clone(), Engine::default())).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mean_prompt_ms = (SHORTEST_PROMPT_MS + LONGEST_PROMPT_MS) as f64 / 2.0;
    let prompts_per_ms = ENGINES as f64 * READING_SHARE / mean_prompt_ms;
    let mut ended = Vec::new();
    for now in 0..RUN_MS {
        if rng.random_bool(prompts_per_ms) {
            let prefill_ms = rng.random_range(SHORTEST_PROMPT_MS..=LONGEST_PROMPT_MS);
            let begins_stream = rng.random_range(0..PROMPTS_PER_STREAM) == 0;
            let prompt = Prompt { prefill_ms, begins_stream };
            let request = info(Some(item("m", None)), (prefill_ms * TOKENS_PER_MS) as u32);
            let listed = case(entries.clone(), request).shortlist(&mut rng).expect("engines");
            let chosen = choose(policy, prompt, listed, &engines);
            engines.get_mut(&chosen).expect("an engine").waiting.push(prompt);
        }
        ended.extend(engines.values_mut().flat_map(|engine| engine.tick(now)));
    }
    ended
}

/// Returns the share of streams that had a pause over their target.
fn late_share(policy: Policy) -> f64 {
    let ended: Vec<Stream> = (1..=RUNS).flat_map(|seed| run(policy, seed)).collect();
    let late = ended.iter().filter(|stream| stream.is_late).count();
    late as f64 / ended.len() as f64
}

#[test]
fn long_streams_keep_their_pace_beside_prompts() {
    let random = late_share(Policy::Random);
    let least_prefill = late_share(Policy::LeastPrefill);
    let bounded = late_share(Policy::BoundPauses);
    let shares = format!("late: random {random}, least prefill {least_prefill}, bounded {bounded}");
    assert!(bounded < 0.1, "{shares}");
    assert!(bounded < least_prefill && least_prefill < random, "{shares}");
}
