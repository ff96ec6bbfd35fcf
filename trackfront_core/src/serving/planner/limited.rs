//! Engines whose rate limit is below their share of the demand.

use std::collections::HashMap;

use crate::ids::ModelName;
use crate::serving::demand::Rate;
use crate::serving::directory::Residents;
use crate::serving::request::ModelRef;

/// The models and the rate limit of an engine.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitedEngine<'a> {
    /// The models that it holds.
    pub models: &'a Residents,
    /// The limit in requests per second that the engine reported, if any.
    pub per_s: Option<f64>,
}

/// Returns for each engine whether its limit covers its share of the requests for the models that
/// it holds, where each model's requests are divided evenly among its engines. Copies on an engine
/// that fails this don't count, as on an engine that is about to leave.
pub fn covers_share(
    engines: &[RateLimitedEngine<'_>],
    demand: &HashMap<ModelRef, Rate>,
) -> Vec<bool> {
    let mut copies: HashMap<&ModelName, f64> = HashMap::new();
    for model in engines.iter().flat_map(|engine| engine.models.keys()) {
        *copies.entry(model).or_default() += 1.0;
    }
    let share = |model: &ModelName| {
        let demand = demand.get(&ModelRef { model: model.clone(), adapter: None });
        demand.map_or(0.0, |rate| rate.requests) / copies[model]
    };
    let covers = |engine: &RateLimitedEngine<'_>| match engine.per_s {
        None => true,
        Some(per_s) => per_s >= engine.models.keys().map(share).sum::<f64>(),
    };
    engines.iter().map(covers).collect()
}
