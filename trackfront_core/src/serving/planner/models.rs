//! Plans which models to load and unload on which engines.

use std::cell::RefCell;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use super::inventory::Inventory;
use super::{EngineView, Proposal};
use crate::serving::demand::Rate;
use crate::serving::orders::Operation;
use crate::serving::request::ModelRef;

/// The demand per copy of a model, as a fraction of an engine's time, from which the model gets
/// another copy.
const EXTRA_COPY_DEMAND: f64 = 0.12;

/// The factor by which the value of a new copy must exceed that of the model it displaces, because
/// swaps have a cost.
const SWAP_FACTOR: f64 = 1.6;

/// The value of a loaded adapter, as a fraction of an engine's time. It can be reloaded, but only
/// once its engine accepts orders again.
const ADAPTER_VALUE: f64 = 0.03;

/// The value of having any copy of a model, as a fraction of an engine's time.
const PRESENCE_VALUE: f64 = 0.5;

/// The same for a model without recent demand that an engine has in its host memory or on its disk:
/// the first request reloads it in about a second.
const IDLE_PRESENCE_VALUE: f64 = 0.25;

/// The duration of an unload, in seconds, which includes waiting for requests in progress.
const UNLOAD_SECONDS: f64 = 1.0;

/// The cost of a second of loading, as a fraction of an engine's time, when an engine is selected.
const LOAD_SECOND_COST: f64 = 0.05;

/// A model that could be displaced on an engine.
#[derive(Clone, Copy, Debug)]
struct Victim {
    model: usize,
    /// The value of this copy: the resulting demand on each other copy or the value of the model's
    /// presence, plus that of the adapters lost with it.
    value: f64,
}

/// A model's bid for the next free slot; the greatest wins.
#[derive(PartialEq)]
struct Bid {
    value: f64,
    model: usize,
}

impl Eq for Bid {}

impl Ord for Bid {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.value.total_cmp(&other.value).then(self.model.cmp(&other.model))
    }
}

impl PartialOrd for Bid {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Plans the models of one service.
pub struct ModelPlanner<'a> {
    inventory: &'a Inventory<'a>,
    /// The demand for each model, as a fraction of one engine's time.
    demand: Vec<f64>,
    /// The value of having any copy of each model, as a fraction of an engine's time.
    presence: Vec<f64>,
    /// The engines that offer each model, with the current proposals applied.
    offers: Vec<Vec<usize>>,
    /// The number of engines that should offer each model.
    wanted: Vec<usize>,
    /// The engines that can still get a proposal.
    open: BTreeSet<usize>,
    /// For each engine, the models that could be displaced, least value first. Computed on demand,
    /// and dropped when a copy of one of them is added or removed.
    victims: RefCell<Vec<Option<Vec<Victim>>>>,
    /// The number of loads from the weight store that may still be proposed.
    store_loads: usize,
    proposals: Vec<Proposal>,
}

impl<'a> ModelPlanner<'a> {
    /// Creates a planner without any proposals.
    pub fn new(
        inventory: &'a Inventory<'a>,
        rates: &HashMap<ModelRef, Rate>,
        store_loads: usize,
    ) -> Self {
        let mut demand = vec![0.0; inventory.models.len()];
        let mut has_demand = vec![false; inventory.models.len()];
        for (item, rate) in rates.iter().filter(|(item, _)| item.adapter.is_none()) {
            if let Some(model) = inventory.index_of(&item.model) {
                demand[model] += rate.work_ms / 1_000.0;
                has_demand[model] = true;
            }
        }
        let presence = (0..demand.len()).map(|model| {
            match !has_demand[model] && !inventory.local_copies[model].is_empty() {
                true => IDLE_PRESENCE_VALUE,
                false => PRESENCE_VALUE + demand[model],
            }
        });
        let is_open = |index: &usize| !inventory.engines[*index].busy;
        let mut planner = ModelPlanner {
            inventory,
            presence: presence.collect(),
            offers: inventory.offers.clone(),
            wanted: Vec::new(),
            open: (0..inventory.engines.len()).filter(is_open).collect(),
            victims: RefCell::new(vec![None; inventory.engines.len()]),
            store_loads,
            proposals: Vec::new(),
            demand,
        };
        planner.wanted = planner.distribute_slots();
        planner
    }

    /// Returns the demand for a model, as a fraction of one engine's time.
    pub fn demand(&self, model: usize) -> f64 {
        self.demand[model]
    }

    /// Returns the number of engines that offer a model, with the current proposals applied.
    pub fn copies(&self, model: usize) -> usize {
        self.offers[model].len()
    }

    /// Returns the number of engines that should offer a model.
    pub fn wanted(&self, model: usize) -> usize {
        self.wanted[model]
    }

    /// Returns whether an engine can get adapter orders, which is so if it gets none for a model.
    pub fn is_open(&self, index: usize) -> bool {
        self.open.contains(&index)
    }

    /// Returns the proposals, most urgent first.
    pub fn into_proposals(self) -> Vec<Proposal> {
        self.proposals
    }

    /// Distributes the slots of all engines one by one, each to the model with the highest value: a
    /// first copy of a missing model, or another copy of a model in demand.
    fn distribute_slots(&self) -> Vec<usize> {
        let spec = self.inventory.spec;
        let engines = self.inventory.engines.len();
        let sizes = self.inventory.models.iter().map(|model| model.weight_mb);
        let slots = (spec.memory_mb / sizes.fold(1.0, f64::max)).floor() as usize * engines;
        let mut wanted = vec![0; self.presence.len()];
        let bids = self.presence.iter().enumerate();
        let mut bids: BinaryHeap<Bid> =
            bids.map(|(model, value)| Bid { value: *value, model }).collect();
        for _ in 0..slots {
            let Some(Bid { model, .. }) = bids.pop() else {
                break;
            };
            wanted[model] += 1;
            let copies = wanted[model];
            if copies < engines && self.level(model, copies) >= EXTRA_COPY_DEMAND {
                bids.push(Bid { value: self.level(model, copies + 1), model });
            }
        }
        wanted
    }

    /// Returns the demand per copy of a model if it had `copies`.
    fn level(&self, model: usize, copies: usize) -> f64 {
        self.demand[model] / copies.max(1) as f64
    }

    /// Returns the demand on an engine, as a fraction of its time.
    fn engine_level(&self, index: usize) -> f64 {
        let held = self.inventory.held[index].iter();
        held.map(|model| self.level(*model, self.copies(*model))).sum()
    }

    /// Returns the number of other engines that serve a model now. A copy that is being loaded
    /// serves no requests yet.
    fn serving_elsewhere(&self, model: usize, index: usize) -> usize {
        let name = &self.inventory.models[model].name;
        let serves = |other: &&usize| {
            let engine = &self.inventory.engines[**other];
            let is_loading = engine.loading.as_ref() == Some(name);
            **other != index && engine.models.contains_key(name) && !is_loading
        };
        self.offers[model].iter().filter(serves).count()
    }

    /// Proposes loads of models that no engine offers.
    pub fn load_missing(&mut self) {
        let is_missing = |model: &usize| self.copies(*model) == 0 && self.wanted[*model] > 0;
        let mut missing: Vec<usize> = (0..self.demand.len()).filter(is_missing).collect();
        missing.sort_by(|a, b| self.presence[*b].total_cmp(&self.presence[*a]).then(a.cmp(b)));
        for model in missing {
            self.add_copy(model, self.presence[model], "no engine holds it");
        }
    }

    /// Proposes loads of models whose demand exceeds the capacity of their copies.
    pub fn add_copies(&mut self) {
        let is_short = |model: &usize| (1..self.wanted[*model]).contains(&self.copies(*model));
        let level = |model: usize| (self.level(model, self.copies(model)), model);
        let mut short: Vec<(f64, usize)> =
            (0..self.demand.len()).filter(is_short).map(level).collect();
        short.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, model) in short {
            while self.copies(model) < self.wanted[model] {
                let value = self.level(model, self.copies(model) + 1);
                if !self.add_copy(model, value, "it is asked for more than its copies bear") {
                    break;
                }
            }
        }
    }

    /// Proposes another copy of `model`, which has the given value. Returns whether an engine was
    /// found.
    fn add_copy(&mut self, model: usize, value: f64, reason: &'static str) -> bool {
        // With the weight store's rate used up, only engines with a local copy can load the model.
        let best = match self.store_loads {
            0 => self.best_engine(self.inventory.local_copies[model].iter(), model, value),
            _ => self.best_engine(self.open.iter(), model, value),
        };
        let Some((index, victim)) = best else {
            return false;
        };
        let (operation, named, reason) = match victim {
            None => (Operation::Load, model, reason),
            Some(victim) => (Operation::Unload, victim, "it gives way to another model"),
        };
        self.open.remove(&index);
        if !self.engine(index).has_local_copy(self.name(model)) {
            self.store_loads -= 1;
        }
        if let Some(victim) = victim {
            self.offers[victim].retain(|offering| *offering != index);
            self.forget_victims(victim);
        }
        // The copy counts from now on, so that no second engine makes room for the model.
        self.offers[model].push(index);
        self.forget_victims(model);
        let item = ModelRef { model: self.name(named).clone(), adapter: None };
        let engine = self.engine(index).id.clone();
        let makes_room_for = victim.map(|_| self.name(model).clone());
        self.proposals.push(Proposal { engine, operation, item, makes_room_for, reason });
        true
    }

    /// Returns the engine among `engines` with the lowest cost of a copy of `model`, and the model
    /// that is displaced there, if any.
    fn best_engine<'i>(
        &self,
        engines: impl Iterator<Item = &'i usize>,
        model: usize,
        value: f64,
    ) -> Option<(usize, Option<usize>)> {
        let mut best: Option<(f64, usize, Option<usize>)> = None;
        for index in engines.copied().filter(|index| self.open.contains(index)) {
            if self.inventory.held[index].contains(&model) {
                continue;
            }
            let Some(victim) = self.room_for(index, model, value) else {
                continue;
            };
            let lost =
                victim.map_or(0.0, |victim| victim.value + UNLOAD_SECONDS * LOAD_SECOND_COST);
            let seconds = self.engine(index).load_seconds(self.inventory.models[model]);
            let cost = self.engine_level(index) + lost + seconds * LOAD_SECOND_COST;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, index, victim.map(|victim| victim.model)));
            }
        }
        best.map(|(_, index, victim)| (index, victim))
    }

    /// Returns whether `model` fits on an engine: immediately (`Some(None)`), after unloading a
    /// model of lower value, or not at all (`None`).
    fn room_for(&self, index: usize, model: usize, value: f64) -> Option<Option<Victim>> {
        let needed = self.inventory.models[model].weight_mb;
        let free = self.inventory.free_mb[index];
        if free >= needed {
            return Some(None);
        }
        let mut victims = self.victims.borrow_mut();
        let victims = victims[index].get_or_insert_with(|| self.victims_on(index));
        let fits =
            |victim: &&Victim| free + self.inventory.models[victim.model].weight_mb >= needed;
        let least = victims.iter().find(fits)?;
        (least.value * SWAP_FACTOR < value).then_some(Some(*least))
    }

    /// Returns the models that could be displaced on an engine, least value first.
    fn victims_on(&self, index: usize) -> Vec<Victim> {
        let victim = |model: &usize| {
            let model = *model;
            // The last copy of a model stays unless the engine has a local copy to reload it from.
            let value = match self.serving_elsewhere(model, index) {
                0 if !self.engine(index).has_local_copy(self.name(model)) => return None,
                0 => self.presence[model],
                others => self.level(model, others),
            };
            let adapters = self.inventory.adapters_only_on(index, model) as f64;
            Some(Victim { model, value: value + adapters * ADAPTER_VALUE })
        };
        let mut victims: Vec<Victim> =
            self.inventory.held[index].iter().filter_map(victim).collect();
        victims.sort_by(|a, b| a.value.total_cmp(&b.value).then(a.model.cmp(&b.model)));
        victims
    }

    /// Drops the cached victims of the engines that hold a model whose copies have changed.
    fn forget_victims(&mut self, model: usize) {
        let victims = self.victims.get_mut();
        for index in &self.inventory.holders[model] {
            victims[*index] = None;
        }
    }

    fn engine(&self, index: usize) -> &'a EngineView {
        &self.inventory.engines[index]
    }

    fn name(&self, model: usize) -> &'a crate::ids::ModelName {
        &self.inventory.models[model].name
    }
}
