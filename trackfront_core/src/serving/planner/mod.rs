//! Which models and adapters should be loaded and unloaded where.
//!
//! A pure function of what the engines hold and what is asked for. Every model is kept on one
//! engine at least; the room beyond that goes to the models that are asked for most, so that the
//! demand on each copy is level. Steady demand gives no orders.

mod adapters;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::{AdapterName, BackendId, ModelName};
use crate::serving::config::EngineSpec;
use crate::serving::demand::Rate;
use crate::serving::directory::Residents;
use crate::serving::orders::Operation;
use crate::serving::request::ModelRef;

/// The least share of an engine's time that each copy of a model is asked for, over which the
/// model gets one more copy.
const WORTH_A_COPY: f64 = 0.12;

/// How many times more than what gives way a new copy has to be asked for: moves cost.
const WORTH_A_SWAP: f64 = 1.6;

/// What it is worth that an adapter is there, as a share of an engine's time: it can be brought
/// back, but only once its engine takes orders again.
const WORTH_AN_ADAPTER: f64 = 0.03;

/// What it is worth that a model is there at all, as a share of an engine's time.
const WORTH_BEING_THERE: f64 = 0.5;

/// The same for a model that was not asked for lately and that an engine has in its memory or on its
/// disk: the first request brings it back in about a second.
const WORTH_BEING_THERE_IDLE: f64 = 0.25;

/// The demand under which a model is not named in a plan's summary.
const LEAST_DEMAND: f64 = 0.02;

/// How long an unload takes, in seconds: requests in progress are waited for.
const UNLOAD_SECONDS: f64 = 1.0;

/// What a second of loading counts against a share of an engine's time, when a place is chosen.
const LOAD_SECOND: f64 = 0.05;

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
    fn offers(&self, model: &ModelName) -> bool {
        let held = self.models.contains_key(model) || self.loading.as_ref() == Some(model);
        held && self.leaving.as_ref() != Some(model)
    }

    fn free_mb(&self, spec: &EngineSpec) -> f64 {
        let size = |name: &ModelName| spec.models.get(name).map_or(spec.memory_mb, |m| m.weight_mb);
        let weights: f64 = self.models.keys().map(size).sum();
        let loading = self.loading.as_ref().filter(|name| !self.models.contains_key(*name));
        // Places for adapters are kept free, so that one never has to wait for a model's going.
        let largest = spec.models.values().map(|model| model.adapter_mb).fold(0.0, f64::max);
        let adapters = largest * f64::from(spec.adapter_slots);
        spec.memory_mb - weights - loading.map_or(0.0, size) - adapters
    }

    fn adapter_count(&self) -> usize {
        let loaded: usize = self.models.values().map(|resident| resident.adapters.len()).sum();
        loaded + self.pending.len()
    }

    fn offers_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let loaded = self.models.get(model).is_some_and(|held| held.adapters.contains(adapter));
        loaded || self.pending.contains(&(model.clone(), adapter.clone()))
    }

    /// Returns whether a load of `model` takes nothing from the weight store.
    fn has_at_hand(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// How long a load would take here, in seconds.
    fn load_seconds(&self, model: &ModelName, spec: &EngineSpec) -> f64 {
        let Some(found) = spec.models.get(model) else {
            return f64::INFINITY;
        };
        if self.in_memory.contains(model) {
            return found.memory_load_time.as_secs_f64();
        }
        match self.on_disk.contains(model) {
            true => found.disk_load_time.as_secs_f64(),
            false => found.load_time.as_secs_f64(),
        }
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
pub struct ModelPlan {
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
pub struct Planned {
    /// What to order, the most urgent first.
    pub proposals: Vec<Proposal>,
    /// The models that are asked for or lack copies, the busiest first.
    pub models: Vec<ModelPlan>,
}

/// The plan under construction.
struct Plan<'a> {
    spec: &'a EngineSpec,
    engines: &'a [EngineView],
    /// The demand for each model, as a share of one engine's time.
    demand: BTreeMap<&'a ModelName, f64>,
    /// What it is worth that each model is there at all, as a share of an engine's time.
    presence: BTreeMap<&'a ModelName, f64>,
    /// The engines that offer each model.
    offers: BTreeMap<&'a ModelName, Vec<usize>>,
    /// How many engines should offer each model.
    wanted: BTreeMap<&'a ModelName, usize>,
    /// Engines that have a proposal for a model already.
    taken: BTreeSet<usize>,
    /// How many orders to adapters were proposed for each engine.
    adapters_proposed: BTreeMap<usize, usize>,
    /// The adapters that were proposed to give way.
    adapters_leaving: BTreeSet<(usize, ModelRef)>,
    /// How many more loads from the weight store may be proposed.
    store_loads: usize,
    proposals: Vec<Proposal>,
}

/// Proposes orders, the most urgent first: for each engine one for a model, or some for adapters. `engines` are those that
/// can be given orders and go on serving; `store_loads` is how many loads may begin now that take
/// from the weight store.
pub fn plan(
    spec: &EngineSpec,
    engines: &[EngineView],
    demand: &HashMap<ModelRef, Rate>,
    store_loads: usize,
) -> Planned {
    let mut plan = Plan::new(spec, engines, demand, store_loads);
    let models = plan.summary();
    plan.bring_back_missing();
    plan.add_copies();
    plan.place_adapters(demand);
    Planned { proposals: plan.proposals, models }
}

impl<'a> Plan<'a> {
    fn new(
        spec: &'a EngineSpec,
        engines: &'a [EngineView],
        demand: &HashMap<ModelRef, Rate>,
        store_loads: usize,
    ) -> Self {
        let mut by_model: BTreeMap<&ModelName, f64> =
            spec.models.keys().map(|name| (name, 0.0)).collect();
        for (item, rate) in demand.iter().filter(|(item, _)| item.adapter.is_none()) {
            if let Some(sum) = by_model.get_mut(&item.model) {
                *sum += rate.work_ms / 1_000.0;
            }
        }
        let presence = spec.models.keys().map(|name| {
            let item = ModelRef { model: name.clone(), adapter: None };
            let is_idle = !demand.contains_key(&item);
            let is_at_hand = || engines.iter().any(|engine| engine.has_at_hand(name));
            let there = match is_idle && is_at_hand() {
                true => WORTH_BEING_THERE_IDLE,
                false => WORTH_BEING_THERE + by_model[name],
            };
            (name, there)
        });
        let presence = presence.collect();
        let offering = |name: &ModelName| {
            let offers = engines.iter().enumerate().filter(|(_, engine)| engine.offers(name));
            offers.map(|(index, _)| index).collect::<Vec<_>>()
        };
        let offers = spec.models.keys().map(|name| (name, offering(name))).collect();
        let mut plan = Plan {
            spec,
            engines,
            demand: by_model,
            presence,
            offers,
            wanted: BTreeMap::new(),
            taken: BTreeSet::new(),
            adapters_proposed: BTreeMap::new(),
            adapters_leaving: BTreeSet::new(),
            store_loads,
            proposals: Vec::new(),
        };
        plan.wanted = plan.share_room();
        plan
    }

    /// Shares the room of all engines out, one place after the other to the model for which it is
    /// worth most: a first copy of what is missing, or one more of what is asked for.
    fn share_room(&self) -> BTreeMap<&'a ModelName, usize> {
        let largest = self.spec.models.values().map(|model| model.weight_mb).fold(1.0, f64::max);
        let places = (self.spec.memory_mb / largest).floor() as usize * self.engines.len();
        let mut wanted: Vec<(&ModelName, f64, usize)> =
            self.presence.iter().map(|(name, worth)| (*name, *worth, 0)).collect();
        for _ in 0..places {
            let best = wanted.iter_mut().max_by(|a, b| a.1.total_cmp(&b.1));
            let Some((name, worth, copies)) = best.filter(|(_, worth, _)| *worth > 0.0) else {
                break;
            };
            *copies += 1;
            let is_enough = *copies == self.engines.len();
            *worth = match self.level(name, *copies) {
                level if is_enough || level < WORTH_A_COPY => 0.0,
                _ => self.level(name, *copies + 1),
            };
        }
        wanted.into_iter().map(|(name, _, copies)| (name, copies)).collect()
    }

    fn summary(&self) -> Vec<ModelPlan> {
        let model = |name: &&ModelName| ModelPlan {
            model: (*name).clone(),
            demand: self.demand[*name],
            copies: self.copies(name),
            wanted: self.wanted[*name],
        };
        let mut models: Vec<_> = self.wanted.keys().map(model).collect();
        models.retain(|model| model.demand > LEAST_DEMAND || model.copies < model.wanted);
        models.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        models
    }

    fn copies(&self, model: &ModelName) -> usize {
        self.offers.get(model).map_or(0, Vec::len)
    }

    /// How many of a model's adapters no other engine holds: they would leave with the model.
    fn adapters_only_on(&self, index: usize, model: &ModelName) -> usize {
        let Some(resident) = self.engines[index].models.get(model) else {
            return 0;
        };
        let elsewhere = |adapter: &&AdapterName| {
            let others = self.engines.iter().enumerate().filter(|(other, _)| *other != index);
            others.into_iter().any(|(_, engine)| engine.offers_adapter(model, adapter))
        };
        resident.adapters.iter().filter(|adapter| !elsewhere(adapter)).count()
    }

    /// How many other engines serve a model now.
    fn serving_elsewhere(&self, model: &ModelName, index: usize) -> usize {
        let offering = self.offers.get(model).into_iter().flatten();
        let serving = offering.filter(|other| {
            let engine = &self.engines[**other];
            let comes = engine.loading.as_ref() == Some(model);
            **other != index && engine.models.contains_key(model) && !comes
        });
        serving.count()
    }

    /// The demand on each copy of a model if it had `copies`.
    fn level(&self, model: &ModelName, copies: usize) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0) / copies.max(1) as f64
    }

    /// The share of an engine's time that is asked for.
    fn engine_level(&self, index: usize) -> f64 {
        let models = self.engines[index].models.keys();
        models.map(|name| self.level(name, self.copies(name))).sum()
    }

    fn bring_back_missing(&mut self) {
        let is_missing = |name: &&ModelName| self.copies(name) == 0 && self.wanted[name] > 0;
        let mut missing: Vec<&'a ModelName> = self.spec.models.keys().filter(is_missing).collect();
        missing.sort_by(|a, b| self.presence[b].total_cmp(&self.presence[a]).then(a.cmp(b)));
        for model in missing {
            self.add_copy(model, self.presence[model], "no engine holds it");
        }
    }

    fn add_copies(&mut self) {
        let mut short: Vec<(f64, &'a ModelName)> = self
            .spec
            .models
            .keys()
            .filter(|name| (1..self.wanted[name]).contains(&self.copies(name)))
            .map(|name| (self.level(name, self.copies(name)), name))
            .collect();
        short.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
        for (_, model) in short {
            while self.copies(model) < self.wanted[model] {
                let worth = self.level(model, self.copies(model) + 1);
                if !self.add_copy(model, worth, "it is asked for more than its copies bear") {
                    break;
                }
            }
        }
    }

    /// Proposes one more copy of `model`, whose copies would then be asked for `worth`.
    fn add_copy(&mut self, model: &'a ModelName, worth: f64, reason: &'static str) -> bool {
        let mut best: Option<(f64, usize, Option<&'a ModelName>)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if engine.busy || self.taken.contains(&index) || engine.models.contains_key(model) {
                continue;
            }
            if self.store_loads == 0 && !engine.has_at_hand(model) {
                continue;
            }
            let Some(victim) = self.room_for(index, model, worth) else {
                continue;
            };
            let lost = victim.map_or(0.0, |(left, _)| left + UNLOAD_SECONDS * LOAD_SECOND);
            let seconds = engine.load_seconds(model, self.spec);
            let cost = self.engine_level(index) + lost + seconds * LOAD_SECOND;
            let victim = victim.map(|(_, name)| name);
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, index, victim));
            }
        }
        let Some((_, index, victim)) = best else {
            return false;
        };
        let (operation, name, reason) = match victim {
            None => (Operation::Load, model, reason),
            Some(victim) => (Operation::Unload, victim, "it gives way to another model"),
        };
        self.taken.insert(index);
        if !self.engines[index].has_at_hand(model) {
            self.store_loads -= 1;
        }
        match victim {
            None => self.offers.entry(model).or_default().push(index),
            Some(victim) => {
                self.offers.entry(victim).or_default().retain(|offering| *offering != index);
                // The place is taken in the plan, so that no second place is made for the model.
                self.offers.entry(model).or_default().push(index);
            }
        }
        let item = ModelRef { model: name.clone(), adapter: None };
        let engine = self.engines[index].id.clone();
        let makes_room_for = victim.map(|_| model.clone());
        self.proposals.push(Proposal { engine, operation, item, makes_room_for, reason });
        true
    }

    /// Returns whether `model` fits on an engine: at once (`Some(None)`), after a model that is
    /// worth less has left (what its other copies bear then, and the victim), or not at all.
    fn room_for(
        &self,
        index: usize,
        model: &ModelName,
        worth: f64,
    ) -> Option<Option<(f64, &'a ModelName)>> {
        let engine = &self.engines[index];
        let needed = self.spec.models.get(model)?.weight_mb;
        let free = engine.free_mb(self.spec);
        if free >= needed {
            return Some(None);
        }
        let victims = engine.models.keys().filter_map(|name| {
            let (victim, spec) = self.spec.models.get_key_value(name)?;
            // A copy on its way in serves nobody yet, so it is no reason to let another go.
            let others = self.serving_elsewhere(name, index);
            let adapters = self.adapters_only_on(index, name) as f64;
            // Until it is known to have been kept on the way out, a model that is nowhere else stays.
            let left = match others {
                0 if !engine.has_at_hand(name) => return None,
                0 => self.presence[name],
                _ => self.level(name, others),
            };
            let left = left + adapters * WORTH_AN_ADAPTER;
            let fits = free + spec.weight_mb >= needed;
            (fits && left * WORTH_A_SWAP < worth).then_some((left, victim))
        });
        let least = victims.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        least.map(Some)
    }
}
