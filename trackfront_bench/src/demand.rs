//! A fixed demand for a tree: drawn once from a seed, the same for all that are compared.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::AccountName;
use trackfront_core::tree::{Target, Tree};
use trackfront_core::units::secs_to_duration;

/// Requests a second at a load of 1, for each engine of the tree.
const RATE_PER_ENGINE: f64 = 4.0;

/// How much the rate of a model that becomes hot grows.
const SHIFT: f64 = 10.0;

/// How long a shift lasts.
const SHIFT_SECS: f64 = 120.0;

/// How long it is between two shifts.
const SHIFT_EVERY_SECS: f64 = 60.0;

/// The share of a model's requests that go to its adapters.
const ADAPTER_SHARE: f64 = 0.6;

/// How many different documents the callers of a model ask about at a time.
const DOCUMENTS: u32 = 6;

/// The bytes of a document that several requests have in common.
const DOCUMENT_BYTES: usize = 12_000;

/// What a demand is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    /// How long it lasts.
    pub seconds: u64,
    /// How much is asked, as a multiple of the usual.
    pub load: f64,
    /// Whether models become hot.
    pub shifts: bool,
    /// The seed.
    pub seed: u64,
}

/// One request of a demand.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes, from the start.
    pub at: Duration,
    /// The model or adapter.
    pub name: String,
    /// Who calls.
    pub caller: String,
    /// The service and the priority.
    pub class: String,
    /// The body.
    pub body: Bytes,
    /// How many tokens are asked for.
    pub tokens: u64,
    /// The time within which the answer is promised to be whole.
    pub promise: Duration,
}

/// A whole demand, in order of time.
#[derive(Clone, Debug)]
pub struct DemandPlan {
    /// The requests.
    pub arrivals: Vec<Arrival>,
}

/// A model with its names and its usual share of the demand.
struct Popular<'a> {
    model: &'a str,
    weight: f64,
    own: Target<'a>,
    adapters: Vec<(&'a str, Target<'a>)>,
}

impl DemandPlan {
    /// Draws the demand for the first region's models.
    pub fn draw(tree: &Tree, day: &Day) -> DemandPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(day.seed);
        let models = popular(tree, &mut rng);
        let engines =
            tree.backends().filter(|(_, backend)| !backend.accelerators.is_empty()).count();
        let hot = if day.shifts { hot_times(&models, day, &mut rng) } else { Vec::new() };
        let all = engines as f64 * RATE_PER_ENGINE * day.load;
        let mut arrivals = Vec::new();
        for model in &models {
            draw_model(model, all * model.weight, day, &hot, &mut rng, tree, &mut arrivals);
        }
        arrivals.sort_by(|a, b| a.at.cmp(&b.at).then(a.name.cmp(&b.name)));
        DemandPlan { arrivals }
    }
}

/// Gives each model a share of the demand that falls with its rank.
fn popular<'a>(tree: &'a Tree, rng: &mut ChaCha8Rng) -> Vec<Popular<'a>> {
    let mut models: Vec<Popular<'a>> = Vec::new();
    for region in tree.regions.keys() {
        for (name, target) in tree.targets(region) {
            match target.adapter {
                None => models.push(Popular {
                    model: name,
                    weight: 0.0,
                    own: target,
                    adapters: Vec::new(),
                }),
                Some(_) => {
                    let model = models.iter_mut().find(|m| m.model == target.model_name.as_str());
                    if let Some(model) = model {
                        model.adapters.push((name, target));
                    }
                }
            }
        }
    }
    let mut ranks: Vec<usize> = (0..models.len()).collect();
    for index in (1..ranks.len()).rev() {
        ranks.swap(index, rng.random_range(0..=index));
    }
    let sum: f64 = (1..=models.len()).map(|rank| 1.0 / rank as f64).sum();
    for (model, rank) in models.iter_mut().zip(ranks) {
        model.weight = 1.0 / (rank + 1) as f64 / sum;
    }
    models
}

/// Draws which models become hot when. Those of middling share do, so that a shift matters.
fn hot_times(models: &[Popular<'_>], day: &Day, rng: &mut ChaCha8Rng) -> Vec<(String, f64, f64)> {
    let mut by_weight: Vec<&Popular<'_>> = models.iter().collect();
    by_weight.sort_by(|a, b| b.weight.total_cmp(&a.weight));
    let candidates = &by_weight[2.min(by_weight.len() - 1)..(by_weight.len() * 2 / 3).max(3)];
    let mut hot = Vec::new();
    let mut at = SHIFT_EVERY_SECS / 2.0;
    while at < day.seconds as f64 {
        let model = candidates[rng.random_range(0..candidates.len())];
        hot.push((model.model.to_string(), at, at + SHIFT_SECS));
        at += SHIFT_EVERY_SECS;
    }
    hot
}

/// Draws the requests for one model as a Poisson stream.
fn draw_model(
    model: &Popular<'_>,
    rate: f64,
    day: &Day,
    hot: &[(String, f64, f64)],
    rng: &mut ChaCha8Rng,
    tree: &Tree,
    arrivals: &mut Vec<Arrival>,
) {
    let is_hot =
        |at: f64| hot.iter().any(|(name, from, to)| name == model.model && at >= *from && at < *to);
    let most = rate * SHIFT;
    let mut at = 0.0;
    loop {
        // Thinning: draw at the highest rate and keep the share that the rate of the time is.
        at += -(1.0 - rng.random::<f64>()).ln() / most;
        if at >= day.seconds as f64 {
            return;
        }
        if !is_hot(at) && rng.random::<f64>() > 1.0 / SHIFT {
            continue;
        }
        arrivals.push(arrival(model, at, rng, tree));
    }
}

fn arrival(model: &Popular<'_>, at: f64, rng: &mut ChaCha8Rng, tree: &Tree) -> Arrival {
    let to_adapter = !model.adapters.is_empty() && rng.random::<f64>() < ADAPTER_SHARE;
    let (name, target) = match to_adapter {
        true => &model.adapters[rng.random_range(0..model.adapters.len())],
        false => &(model.model, model.own.clone()),
    };
    let policy = target.policy();
    let tokens = 8 + (-(1.0 - rng.random::<f64>()).ln() * 40.0).min(240.0) as u64;
    let document = document(model.model, rng.random_range(0..DOCUMENTS));
    let question = rng.next_u64();
    let body = format!(
        "{{\"model\":\"{name}\",\"prompt\":\"{document}{question:016x}\",\"stream\":true,\
         \"max_tokens\":{tokens}}}"
    );
    let promise = policy.first_token_ms.value + policy.token_gap_ms.value * (tokens - 1);
    Arrival {
        at: secs_to_duration(at),
        name: name.to_string(),
        caller: caller(tree, &policy.callers.value),
        class: format!("{} priority {}", target.shard.service, policy.priority.value),
        body: Bytes::from(body),
        tokens,
        promise: Duration::from_millis(promise),
    }
}

/// Returns a caller that may use what `allowed` is for.
fn caller(tree: &Tree, allowed: &[String]) -> String {
    match allowed.iter().find(|name| name.as_str() != "*") {
        Some(name) => name.clone(),
        None => tree.callers.keys().next().map_or(String::new(), AccountName::to_string),
    }
}

/// Returns a document's text, the same each time.
fn document(model: &str, number: u32) -> String {
    let line = format!("{model} document {number}: ");
    line.chars().cycle().take(DOCUMENT_BYTES).collect()
}
