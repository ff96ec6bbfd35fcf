//! What a plan of `serving::planner` costs, which a box of a serving deployment makes some times a second.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;
use trackfront_core::ids::{AdapterName, ModelName};
use trackfront_core::serving::config::{EngineSpec, ModelSpec};
use trackfront_core::serving::demand::Rate;
use trackfront_core::serving::directory::{ResidentModel, Residents};
use trackfront_core::serving::planner::{EngineView, plan};
use trackfront_core::serving::request::ModelRef;

use crate::figures::{Quantiles, Times, print};

/// Engines and models: the sizes of today's deployments, twice the largest, and the size that decides.
const SIZES: [(usize, usize); 4] = [(60, 111), (240, 444), (480, 888), (1_300, 850)];

/// How many plans are timed at each size.
const ROUNDS: usize = 20;

/// The models that an engine holds.
const PLACES: usize = 3;

/// The adapters of a model, of which an engine that holds it has all but one.
const ADAPTERS: usize = 3;

/// The loads from the weight store that may begin at once.
const STORE_LOADS: usize = 100;

/// The share of an engine's time that the busiest model is asked for, for each engine; the next ones are
/// asked for a half, a third and so on.
const BUSIEST: f64 = 0.15;

/// What the engines are asked for and what happened to them.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// Nothing is asked for: no orders are needed but for adapters.
    Quiet,
    /// Every model is asked for, few of them much.
    Busy,
    /// The same with a third of the engines lost.
    ThirdLost,
}

#[derive(Debug, Serialize)]
struct Figures {
    question: &'static str,
    engines: usize,
    models: usize,
    state: State,
    proposals: usize,
    times: Quantiles,
}

/// Times plans at growing sizes.
pub fn run() -> anyhow::Result<()> {
    for (engines, models) in SIZES {
        for state in [State::Quiet, State::Busy, State::ThirdLost] {
            print(&measure(engines, models, state));
        }
    }
    Ok(())
}

fn measure(engines: usize, models: usize, state: State) -> Figures {
    let spec = spec(models);
    let mut views: Vec<EngineView> = (0..engines).map(|number| view(number, models)).collect();
    if matches!(state, State::ThirdLost) {
        views.truncate(engines * 2 / 3);
    }
    let demand = match state {
        State::Quiet => HashMap::new(),
        State::Busy | State::ThirdLost => demand(engines, models),
    };
    let mut times = Times::default();
    let mut proposals = 0;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        proposals = plan(&spec, &views, &demand, STORE_LOADS).proposals.len();
        times.add(start.elapsed());
    }
    Figures {
        question: "serving-plan",
        engines,
        models,
        state,
        proposals,
        times: times.quantiles(),
    }
}

fn name(number: usize) -> ModelName {
    ModelName::from(format!("m{number:03}"))
}

fn adapters(count: usize) -> impl Iterator<Item = AdapterName> {
    (1..=count).map(|number| AdapterName::from(format!("a{number}")))
}

fn spec(models: usize) -> EngineSpec {
    let model = |number| {
        let spec = ModelSpec {
            name: name(number),
            weight_mb: 70_000.0,
            load_time: Duration::from_secs(9),
            disk_load_time: Duration::from_secs(2),
            memory_load_time: Duration::from_millis(800),
            adapters: adapters(ADAPTERS).collect(),
            adapter_mb: 50.0,
        };
        (name(number), spec)
    };
    EngineSpec {
        slots: 64,
        kv_tokens: 130_000,
        memory_mb: 220_000.0,
        adapter_slots: 8,
        loads_per_s: 34.0,
        models: (0..models).map(model).collect(),
    }
}

fn view(number: usize, models: usize) -> EngineView {
    let resident = |place| {
        let adapters = adapters(ADAPTERS - 1).collect();
        (name((number * PLACES + place) % models), ResidentModel { version: 1, adapters })
    };
    let held: Residents = (0..PLACES).map(resident).collect();
    let kept: BTreeSet<ModelName> = held.keys().cloned().collect();
    EngineView {
        id: format!("e{number:04}").into(),
        models: held,
        loading: None,
        leaving: None,
        pending: BTreeSet::new(),
        in_use: BTreeSet::new(),
        busy: false,
        in_memory: kept.clone(),
        on_disk: kept,
    }
}

fn demand(engines: usize, models: usize) -> HashMap<ModelRef, Rate> {
    let rate = |number: usize| {
        let level = BUSIEST * engines as f64 / (number + 1) as f64;
        let item = ModelRef { model: name(number), adapter: None };
        (item, Rate { requests: level * 10.0, work_ms: level * 1_000.0 })
    };
    (0..models).map(rate).collect()
}
