//! Which adapters should be loaded and unloaded where.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::inventory::Inventory;
use super::models::ModelPlanner;
use super::{EngineView, Proposal};
use crate::ids::AdapterName;
use crate::serving::demand::Rate;
use crate::serving::orders::Operation;
use crate::serving::request::ModelRef;

/// The share of an engine's time that each copy of an adapter is asked for, over which the
/// adapter gets one more copy.
const WORTH_AN_ADAPTER_COPY: f64 = 0.08;

/// How many adapters an engine is ordered to load at once; engines take no more on their way.
const ADAPTERS_AT_ONCE: usize = 4;

/// An adapter that should have one more copy.
struct ShortAdapter<'a> {
    model: usize,
    adapter: &'a AdapterName,
    /// Requests a second for each copy that it would have then.
    asked: f64,
    copies: usize,
}

/// Plans the adapters of one service, where the models' plan leaves an engine free.
pub struct AdapterPlanner<'a> {
    inventory: &'a Inventory<'a>,
    models: &'a ModelPlanner<'a>,
    demand: &'a HashMap<ModelRef, Rate>,
    /// How many orders to adapters were proposed for each engine.
    proposed: BTreeMap<usize, usize>,
    /// The adapters that were proposed to give way.
    leaving: BTreeSet<(usize, ModelRef)>,
    proposals: Vec<Proposal>,
}

impl<'a> AdapterPlanner<'a> {
    /// Makes a plan without proposals.
    pub fn new(
        inventory: &'a Inventory<'a>,
        models: &'a ModelPlanner<'a>,
        demand: &'a HashMap<ModelRef, Rate>,
    ) -> Self {
        let (proposed, leaving) = (BTreeMap::new(), BTreeSet::new());
        Self { inventory, models, demand, proposed, leaving, proposals: Vec::new() }
    }

    /// Returns the proposals, the most urgent first.
    pub fn into_proposals(self) -> Vec<Proposal> {
        self.proposals
    }

    /// Places each adapter on one engine that holds its model, busy ones on more; those that are
    /// asked for first, then those of models that are. An engine that loads a model takes no orders
    /// meanwhile, so adapters are placed ahead of need wherever a place is free.
    pub fn place_all(&mut self) {
        let mut short: Vec<ShortAdapter<'a>> = Vec::new();
        for (model, spec) in self.inventory.models.iter().enumerate() {
            for adapter in &spec.adapters {
                let asked =
                    self.demand.get(&self.item(model, adapter)).copied().unwrap_or_default();
                let copies = self.inventory.adapter_offers(model, adapter).len();
                let level = asked.work_ms / 1_000.0 / copies.max(1) as f64;
                if copies == 0 || level > WORTH_AN_ADAPTER_COPY {
                    let asked = asked.requests / (copies + 1) as f64;
                    short.push(ShortAdapter { model, adapter, asked, copies });
                }
            }
        }
        short.sort_by(|a, b| {
            let by_model = self.models.demand(b.model).total_cmp(&self.models.demand(a.model));
            let by_copies = self.models.copies(b.model).cmp(&self.models.copies(a.model));
            let by_name = (a.model, a.adapter).cmp(&(b.model, b.adapter));
            b.asked.total_cmp(&a.asked).then(by_model).then(by_copies).then(by_name)
        });
        for one in short {
            self.place(&one);
        }
    }

    fn place(&mut self, short: &ShortAdapter<'a>) {
        let ShortAdapter { model, adapter, asked, copies } = *short;
        let slots = self.inventory.spec.adapter_slots as usize;
        let name = &self.inventory.models[model].name;
        let offers = self.inventory.adapter_offers(model, adapter);
        let fits = |index: &usize| {
            let engine = self.engine(*index);
            let stays = engine.leaving.as_ref() != Some(name);
            let has_time = self.proposed(*index) < ADAPTERS_AT_ONCE;
            stays && has_time && self.models.is_open(*index) && !offers.contains(index)
        };
        let open: Vec<usize> = self.inventory.holders[model].iter().copied().filter(fits).collect();
        let count = |index: &usize| self.engine(*index).adapter_count() + self.proposed(*index);
        let roomy = open.iter().copied().filter(|index| count(index) < slots);
        let roomiest = roomy.min_by_key(count);
        let item = self.item(model, adapter);
        let (index, reason) = match roomiest {
            Some(index) => (index, "the adapter is asked for or its model is"),
            // Only what is asked for displaces another adapter, and only its first copy does.
            None if copies == 0 && asked > 0.0 => {
                let Some((index, victim)) = self.least_asked_for(&open, asked) else {
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

    /// Finds the adapter that is asked for least on the engines in `open`, if it is asked for less
    /// than `asked`. One that is in use would keep its place. A swap takes some milliseconds, so it
    /// need not be worth more than what gives way.
    fn least_asked_for(&self, open: &[usize], asked: f64) -> Option<(usize, ModelRef)> {
        let mut least: Option<(f64, usize, ModelRef)> = None;
        let has_time = |index: &&usize| self.proposed(**index) + 2 <= ADAPTERS_AT_ONCE;
        for index in open.iter().filter(has_time) {
            let engine = self.engine(*index);
            for (name, resident) in &engine.models {
                for adapter in &resident.adapters {
                    let item = ModelRef { model: name.clone(), adapter: Some(adapter.clone()) };
                    let is_leaving = self.leaving.contains(&(*index, item.clone()));
                    if is_leaving || engine.in_use.contains(&item) {
                        continue;
                    }
                    let model = self.inventory.number(name);
                    let copies = model
                        .map_or(1, |model| self.inventory.adapter_offers(model, adapter).len());
                    let rate = self.demand.get(&item).map_or(0.0, |rate| rate.requests);
                    let worth = rate / copies.max(1) as f64;
                    let lower = least.as_ref().is_none_or(|(lowest, _, _)| worth < *lowest);
                    if worth < asked && lower {
                        least = Some((worth, *index, item));
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
