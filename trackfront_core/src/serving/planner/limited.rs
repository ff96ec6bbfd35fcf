//! Engines that take fewer requests a second than their part of what is asked for.

use std::collections::HashMap;

use crate::ids::ModelName;
use crate::serving::demand::Rate;
use crate::serving::directory::Residents;
use crate::serving::request::ModelRef;

/// An engine's models, and the limit that it named in requests a second.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitedEngine<'a> {
    /// What it holds.
    pub models: &'a Residents,
    /// The limit; `None` for an engine without one.
    pub per_s: Option<f64>,
}

/// Returns for each engine whether it takes its part of the requests for the models that it holds, each shared evenly by
/// all that hold it. A copy at one that does not is one too few, as at an engine that is about to leave.
pub fn covers_share(
    engines: &[RateLimitedEngine<'_>],
    demand: &HashMap<ModelRef, Rate>,
) -> Vec<bool> {
    let mut copies: HashMap<&ModelName, f64> = HashMap::new();
    for model in engines.iter().flat_map(|engine| engine.models.keys()) {
        *copies.entry(model).or_default() += 1.0;
    }
    let part = |model: &ModelName| {
        let asked = demand.get(&ModelRef { model: model.clone(), adapter: None });
        asked.map_or(0.0, |rate| rate.requests) / copies[model]
    };
    let takes = |engine: &RateLimitedEngine<'_>| match engine.per_s {
        None => true,
        Some(per_s) => per_s >= engine.models.keys().map(part).sum::<f64>(),
    };
    engines.iter().map(takes).collect()
}
