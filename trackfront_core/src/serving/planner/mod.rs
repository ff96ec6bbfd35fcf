//! Plans which models and adapters to load and unload on which engines.
//!
//! A plan is a pure function of the engines' state and the demand. Every model is kept on at least
//! one engine; the remaining memory goes to the models with the highest demand, so that the demand
//! per copy is balanced. Steady demand leads to no orders.
//!
//! A box with a tenth of a core computes a plan several times per second, so the state that the
//! planner reads repeatedly is indexed once per plan (see `inventory`). With demand for every
//! model, a plan for 240 engines and 444 models takes 3 ms of a full core instead of 1,150 ms, and
//! one for 1,300 engines and 850 models takes 25 ms instead of 9,000 ms. The index changes no
//! plan: 3,000 random states lead to the same plans with and without it.

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

/// The demand, as a fraction of one engine's time, below which a plan's summary omits a model.
const MIN_SUMMARY_DEMAND: f64 = 0.02;

/// The state of an engine that the planner uses.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The engine's identifier.
    pub id: BackendId,
    /// The models and adapters that are loaded.
    pub models: Residents,
    /// A model that is being loaded, or for which memory is reserved.
    pub loading: Option<ModelName>,
    /// A model that is being unloaded, or withdrawn for that.
    pub leaving: Option<ModelName>,
    /// The adapters that are being loaded.
    pub pending: BTreeSet<(ModelName, AdapterName)>,
    /// The adapters that requests in progress use. They stay loaded until these requests end.
    pub in_use: BTreeSet<ModelRef>,
    /// Whether an order is in progress or its outcome is unknown, so that no other may be given.
    pub busy: bool,
    /// The models of which its host memory has a copy.
    pub in_memory: BTreeSet<ModelName>,
    /// The models of which its disk has a copy.
    pub on_disk: BTreeSet<ModelName>,
}

impl EngineView {
    fn adapter_count(&self) -> usize {
        let loaded: usize = self.models.values().map(|resident| resident.adapters.len()).sum();
        loaded + self.pending.len()
    }

    /// Returns whether `model` can be loaded without the weight store.
    fn has_local_copy(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// Returns the duration of a load on this engine, in seconds.
    fn load_seconds(&self, model: &ModelSpec) -> f64 {
        let time = model.load_time_with(&self.in_memory, &self.on_disk);
        time.as_secs_f64()
    }
}

/// A proposed order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The engine that gets the order.
    pub engine: BackendId,
    /// The action.
    pub operation: Operation,
    /// The model or adapter to load or unload.
    pub item: ModelRef,
    /// The model to be loaded in place of the unloaded one.
    pub makes_room_for: Option<ModelName>,
    /// The reason, for logs.
    pub reason: &'static str,
}

/// The demand and the copies of one model, as a basis of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSummary {
    /// The model's name.
    pub model: ModelName,
    /// The demand, as a fraction of one engine's time.
    pub demand: f64,
    /// The number of engines that hold or load it.
    pub copies: usize,
    /// The number of engines that should hold it.
    pub wanted: usize,
}

/// The proposed orders, and the demand that they are based on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The proposed orders, most urgent first.
    pub proposals: Vec<Proposal>,
    /// The models with demand or with missing copies, highest demand first.
    pub models: Vec<ModelSummary>,
}

/// Proposes orders, most urgent first: for each engine, one for a model or several for adapters.
/// `engines` are those that accept orders and continue to serve; `store_loads` is the number of
/// loads from the weight store that may begin now.
pub fn plan(
    spec: &EngineSpec,
    engines: &[EngineView],
    demand: &HashMap<ModelRef, Rate>,
    store_loads: usize,
) -> Plan {
    let inventory = Inventory::new(spec, engines);
    let mut models = ModelPlanner::new(&inventory, demand, store_loads);
    let summary = summary(&inventory, &models);
    models.load_missing();
    models.add_copies();
    let mut adapters = AdapterPlanner::new(&inventory, &models, demand);
    adapters.place_all();
    let adapter_proposals = adapters.into_proposals();
    let mut proposals = models.into_proposals();
    proposals.extend(adapter_proposals);
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
    models.retain(|model| model.demand > MIN_SUMMARY_DEMAND || model.copies < model.wanted);
    models.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    models
}
