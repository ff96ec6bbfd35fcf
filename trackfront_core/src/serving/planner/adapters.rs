//! Plans which adapters to load and unload on which engines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::inventory::Inventory;
use super::models::ModelPlanner;
use super::{EngineView, Proposal};
use crate::ids::AdapterName;
use crate::serving::demand::Rate;
use crate::serving::orders::Operation;
use crate::serving::request::ModelRef;

/// The demand per copy of an adapter, as a fraction of an engine's time, above which the adapter
/// gets another copy.
const EXTRA_ADAPTER_COPY_DEMAND: f64 = 0.08;

/// The maximum number of adapter orders for an engine in one plan; engines accept no more pending
/// ones.
const MAX_ADAPTER_ORDERS: usize = 4;

/// An adapter that should get another copy.
struct WantedAdapter<'a> {
    model: usize,
    adapter: &'a AdapterName,
    /// The requests per second for each copy if there were one more.
    demand: f64,
    copies: usize,
}

/// Plans the adapters of one service on the engines that get no order for a model.
pub struct AdapterPlanner<'a> {
    inventory: &'a Inventory<'a>,
    models: &'a ModelPlanner<'a>,
    demand: &'a HashMap<ModelRef, Rate>,
    /// The number of adapter orders that are proposed for each engine.
    proposed: BTreeMap<usize, usize>,
    /// The adapters that are proposed to be unloaded.
    leaving: BTreeSet<(usize, ModelRef)>,
    proposals: Vec<Proposal>,
}

impl<'a> AdapterPlanner<'a> {
    /// Creates a planner without any proposals.
    pub fn new(
        inventory: &'a Inventory<'a>,
        models: &'a ModelPlanner<'a>,
        demand: &'a HashMap<ModelRef, Rate>,
    ) -> Self {
        let (proposed, leaving) = (BTreeMap::new(), BTreeSet::new());
        Self { inventory, models, demand, proposed, leaving, proposals: Vec::new() }
    }

    /// Returns the proposals, most urgent first.
    pub fn into_proposals(self) -> Vec<Proposal> {
        self.proposals
    }

    /// Places each adapter on one engine that holds its model, and adapters in high demand on more:
    /// adapters with demand first, then those of models with demand. An engine accepts no orders
    /// while it loads a model, so adapters are placed ahead of need wherever a slot is free.
    pub fn place_all(&mut self) {
        let mut wanted: Vec<WantedAdapter<'a>> = Vec::new();
        for (model, spec) in self.inventory.models.iter().enumerate() {
            for adapter in &spec.adapters {
                let rate = self.demand.get(&self.item(model, adapter)).copied().unwrap_or_default();
                let copies = self.inventory.adapter_offers(model, adapter).len();
                let level = rate.work_ms / 1_000.0 / copies.max(1) as f64;
                if copies == 0 || level > EXTRA_ADAPTER_COPY_DEMAND {
                    let demand = rate.requests / (copies + 1) as f64;
                    wanted.push(WantedAdapter { model, adapter, demand, copies });
                }
            }
        }
        wanted.sort_by(|a, b| {
            let by_model = self.models.demand(b.model).total_cmp(&self.models.demand(a.model));
            let by_copies = self.models.copies(b.model).cmp(&self.models.copies(a.model));
            let by_name = (a.model, a.adapter).cmp(&(b.model, b.adapter));
            b.demand.total_cmp(&a.demand).then(by_model).then(by_copies).then(by_name)
        });
        for adapter in wanted {
            self.place(&adapter);
        }
    }

    fn place(&mut self, wanted: &WantedAdapter<'a>) {
        let WantedAdapter { model, adapter, demand, copies } = *wanted;
        let slots = self.inventory.spec.adapter_slots as usize;
        let name = &self.inventory.models[model].name;
        let offers = self.inventory.adapter_offers(model, adapter);
        let fits = |index: &usize| {
            let engine = self.engine(*index);
            let stays = engine.leaving.as_ref() != Some(name);
            let has_capacity = self.proposed(*index) < MAX_ADAPTER_ORDERS;
            stays && has_capacity && self.models.is_open(*index) && !offers.contains(index)
        };
        let open: Vec<usize> = self.inventory.holders[model].iter().copied().filter(fits).collect();
        let count = |index: &usize| self.engine(*index).adapter_count() + self.proposed(*index);
        let with_free_slot = open.iter().copied().filter(|index| count(index) < slots);
        let emptiest = with_free_slot.min_by_key(count);
        let item = self.item(model, adapter);
        let (index, reason) = match emptiest {
            Some(index) => (index, "the adapter is asked for or its model is"),
            // Only the first copy of an adapter with demand displaces another adapter.
            None if copies == 0 && demand > 0.0 => {
                let Some((index, victim)) = self.least_demanded(&open, demand) else {
                    return;
                };
                let reason = "the adapter gives way to one that is asked for";
                self.leaving.insert((index, victim.clone()));
                self.propose(index, Operation::Unload, victim, reason);
                (index, "the adapter is asked for")
            }
            None => return,
        };
        self.propose(index, Operation::Load, item, reason);
    }

    fn propose(
        &mut self,
        index: usize,
        operation: Operation,
        item: ModelRef,
        reason: &'static str,
    ) {
        *self.proposed.entry(index).or_default() += 1;
        let engine = self.engine(index).id.clone();
        self.proposals.push(Proposal { engine, operation, item, makes_room_for: None, reason });
    }

    fn proposed(&self, index: usize) -> usize {
        self.proposed.get(&index).copied().unwrap_or(0)
    }

    /// Returns the adapter with the least demand on the engines in `open`, if its demand is below
    /// `demand`. Adapters in use are skipped, since they stay loaded. A swap takes only
    /// milliseconds, so the new adapter needs no margin over the one that it displaces.
    fn least_demanded(&self, open: &[usize], demand: f64) -> Option<(usize, ModelRef)> {
        let mut least: Option<(f64, usize, ModelRef)> = None;
        let has_capacity = |index: &&usize| self.proposed(**index) + 2 <= MAX_ADAPTER_ORDERS;
        for index in open.iter().filter(has_capacity) {
            let engine = self.engine(*index);
            for (name, resident) in &engine.models {
                for adapter in &resident.adapters {
                    let item = ModelRef { model: name.clone(), adapter: Some(adapter.clone()) };
                    let is_leaving = self.leaving.contains(&(*index, item.clone()));
                    if is_leaving || engine.in_use.contains(&item) {
                        continue;
                    }
                    let model = self.inventory.index_of(name);
                    let copies = model
                        .map_or(1, |model| self.inventory.adapter_offers(model, adapter).len());
                    let rate = self.demand.get(&item).map_or(0.0, |rate| rate.requests);
                    let value = rate / copies.max(1) as f64;
                    let lower = least.as_ref().is_none_or(|(lowest, _, _)| value < *lowest);
                    if value < demand && lower {
                        least = Some((value, *index, item));
                    }
                }
            }
        }
        least.map(|(_, index, item)| (index, item))
    }

    fn item(&self, model: usize, adapter: &AdapterName) -> ModelRef {
        let model = self.inventory.models[model].name.clone();
        ModelRef { model, adapter: Some(adapter.clone()) }
    }

    fn engine(&self, index: usize) -> &'a EngineView {
        &self.inventory.engines[index]
    }
}
