//! Which models and adapters should be loaded and unloaded where.
//!
//! A pure function of what the engines hold and what is asked for. Every model is kept on one
//! engine at least; the room beyond that goes to the models that are asked for most, so that the
//! demand on each copy is level. Steady demand gives no orders.
//!
//! A plan is made several times a second by a box that has a tenth of a core, so what is looked at again
//! and again is counted once, by number (`inventory`). With every model asked for, a plan for 240 engines
//! and 444 models takes 3 ms of a whole core instead of 1,150, one for 1,300 and 850 25 ms instead of
//! 9,000, and it is the same plan (3,000 random states, beside a planner that looked at all each time).

mod adapters;
mod inventory;
pub mod limited;
mod models;

use std::collections::{BTreeSet, HashMap};

use self::adapters::AdapterPlanner;
use self::inventory::Inventory;
use self::models::ModelPlanner;
use crate::ids::{AdapterName, BackendId, ModelName};
use crate::serving::config::{EngineSpec, ModelSpec};
use crate::serving::demand::Rate;
use crate::serving::directory::Residents;
use crate::serving::orders::Operation;
use crate::serving::request::ModelRef;

/// The demand under which a model is not named in a plan's summary.
const LEAST_DEMAND: f64 = 0.02;

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub id: BackendId,
    /// What it holds.
    pub models: Residents,
    /// A model that is on its way in, or has its place promised.
    pub loading: Option<ModelName>,
    /// A model that is on its way out, or withdrawn to be so.
    pub leaving: Option<ModelName>,
    /// Adapters on their way.
    pub pending: BTreeSet<(ModelName, AdapterName)>,
    /// Adapters that requests in progress use: they keep their places until these have ended.
    pub in_use: BTreeSet<ModelRef>,
    /// Whether an order is under way or undecided, so that no other is given.
    pub busy: bool,
    /// Models that its host memory keeps.
    pub in_memory: BTreeSet<ModelName>,
    /// Models that its disk keeps.
    pub on_disk: BTreeSet<ModelName>,
}

impl EngineView {
    fn adapter_count(&self) -> usize {
        let loaded: usize = self.models.values().map(|resident| resident.adapters.len()).sum();
        loaded + self.pending.len()
    }

    /// Returns whether a load of `model` takes nothing from the weight store.
    fn has_local_copy(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// How long a load would take here, in seconds.
    fn load_seconds(&self, model: &ModelSpec) -> f64 {
        let time = model.load_time_with(&self.in_memory, &self.on_disk);
        time.as_secs_f64()
    }
}

/// Something to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The engine.
    pub engine: BackendId,
    /// What to do.
    pub operation: Operation,
    /// With what.
    pub item: ModelRef,
    /// The model that is to come in its place.
    pub makes_room_for: Option<ModelName>,
    /// Why, for the logs.
    pub reason: &'static str,
}

/// What a plan was made from, for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSummary {
    /// The model.
    pub model: ModelName,
    /// What is asked for, as a share of one engine's time.
    pub demand: f64,
    /// How many engines hold it or will.
    pub copies: usize,
    /// How many should.
    pub wanted: usize,
}

/// A plan and what it was made from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// What to order, the most urgent first.
    pub proposals: Vec<Proposal>,
    /// The models that are asked for or lack copies, the busiest first.
    pub models: Vec<ModelSummary>,
}

/// Proposes orders, the most urgent first: for each engine one for a model, or some for adapters.
/// `engines` are those that can be given orders and go on serving; `store_loads` is how many loads may
/// begin now that take from the weight store.
pub fn plan(
    spec: &EngineSpec,
    engines: &[EngineView],
    demand: &HashMap<ModelRef, Rate>,
    store_loads: usize,
) -> Plan {
    let inventory = Inventory::new(spec, engines);
    let mut models = ModelPlanner::new(&inventory, demand, store_loads);
    let summary = summary(&inventory, &models);
    models.bring_back_missing();
    models.add_copies();
    let mut adapters = AdapterPlanner::new(&inventory, &models, demand);
    adapters.place_all();
    let of_adapters = adapters.into_proposals();
    let mut proposals = models.into_proposals();
    proposals.extend(of_adapters);
    Plan { proposals, models: summary }
}

fn summary(inventory: &Inventory<'_>, planner: &ModelPlanner<'_>) -> Vec<ModelSummary> {
    let model = |model: usize| ModelSummary {
        model: inventory.models[model].name.clone(),
        demand: planner.demand(model),
        copies: planner.copies(model),
        wanted: planner.wanted(model),
    };
    let mut models: Vec<_> = (0..inventory.models.len()).map(model).collect();
    models.retain(|model| model.demand > LEAST_DEMAND || model.copies < model.wanted);
    models.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    models
}
