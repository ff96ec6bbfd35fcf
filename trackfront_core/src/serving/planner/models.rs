//! Which models should be loaded and unloaded where.

use std::cell::RefCell;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use super::inventory::Inventory;
use super::{EngineView, Proposal};
use crate::serving::demand::Rate;
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

/// How long an unload takes, in seconds: requests in progress are waited for.
const UNLOAD_SECONDS: f64 = 1.0;

/// What a second of loading counts against a share of an engine's time, when a place is chosen.
const LOAD_SECOND: f64 = 0.05;

/// A model that could give way on an engine.
#[derive(Clone, Copy, Debug)]
struct Victim {
    model: usize,
    /// What its other copies would bear then, or what it is worth that it is there, with its adapters.
    left: f64,
}

/// A model's claim on the next place, the greatest first.
#[derive(PartialEq)]
struct Claim {
    worth: f64,
    model: usize,
}

impl Eq for Claim {}

impl Ord for Claim {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.worth.total_cmp(&other.worth).then(self.model.cmp(&other.model))
    }
}

impl PartialOrd for Claim {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Plans the models of one service.
pub struct ModelPlanner<'a> {
    inventory: &'a Inventory<'a>,
    /// The demand for each model, as a share of one engine's time.
    demand: Vec<f64>,
    /// What it is worth that each model is there at all, as a share of an engine's time.
    presence: Vec<f64>,
    /// The engines that offer each model, by what was proposed so far.
    offers: Vec<Vec<usize>>,
    /// How many engines should offer each model.
    wanted: Vec<usize>,
    /// Engines that can still get a proposal.
    open: BTreeSet<usize>,
    /// For each engine the models that could give way, the least worth first; made when it is asked for
    /// and dropped when a copy of one of them comes or goes.
    victims: RefCell<Vec<Option<Vec<Victim>>>>,
    /// How many more loads from the weight store may be proposed.
    store_loads: usize,
    proposals: Vec<Proposal>,
}

impl<'a> ModelPlanner<'a> {
    /// Makes a plan without proposals.
    pub fn new(
        inventory: &'a Inventory<'a>,
        rates: &HashMap<ModelRef, Rate>,
        store_loads: usize,
    ) -> Self {
        let mut demand = vec![0.0; inventory.models.len()];
        let mut is_asked_for = vec![false; inventory.models.len()];
        for (item, rate) in rates.iter().filter(|(item, _)| item.adapter.is_none()) {
            if let Some(model) = inventory.number(&item.model) {
                demand[model] += rate.work_ms / 1_000.0;
                is_asked_for[model] = true;
            }
        }
        let presence = (0..demand.len()).map(|model| {
            match !is_asked_for[model] && !inventory.local_copies[model].is_empty() {
                true => WORTH_BEING_THERE_IDLE,
                false => WORTH_BEING_THERE + demand[model],
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
        planner.wanted = planner.share_room();
        planner
    }

    /// Returns the demand for a model, as a share of one engine's time.
    pub fn demand(&self, model: usize) -> f64 {
        self.demand[model]
    }

    /// Returns how many engines offer a model, by what was proposed so far.
    pub fn copies(&self, model: usize) -> usize {
        self.offers[model].len()
    }

    /// Returns how many engines should offer a model.
    pub fn wanted(&self, model: usize) -> usize {
        self.wanted[model]
    }

    /// Returns whether an engine can get orders to adapters: it has none for a model.
    pub fn is_open(&self, index: usize) -> bool {
        self.open.contains(&index)
    }

    /// Returns the proposals, the most urgent first.
    pub fn into_proposals(self) -> Vec<Proposal> {
        self.proposals
    }

    /// Shares the room of all engines out, one place after the other to the model for which it is
    /// worth most: a first copy of what is missing, or one more of what is asked for.
    fn share_room(&self) -> Vec<usize> {
        let spec = self.inventory.spec;
        let engines = self.inventory.engines.len();
        let sizes = self.inventory.models.iter().map(|model| model.weight_mb);
        let places = (spec.memory_mb / sizes.fold(1.0, f64::max)).floor() as usize * engines;
        let mut wanted = vec![0; self.presence.len()];
        let claims = self.presence.iter().enumerate();
        let mut claims: BinaryHeap<Claim> =
            claims.map(|(model, worth)| Claim { worth: *worth, model }).collect();
        for _ in 0..places {
            let Some(Claim { model, .. }) = claims.pop() else {
                break;
            };
            wanted[model] += 1;
            let copies = wanted[model];
            if copies < engines && self.level(model, copies) >= WORTH_A_COPY {
                claims.push(Claim { worth: self.level(model, copies + 1), model });
            }
        }
        wanted
    }

    /// The demand on each copy of a model if it had `copies`.
    fn level(&self, model: usize, copies: usize) -> f64 {
        self.demand[model] / copies.max(1) as f64
    }

    /// The share of an engine's time that is asked for.
    fn engine_level(&self, index: usize) -> f64 {
        let held = self.inventory.held[index].iter();
        held.map(|model| self.level(*model, self.copies(*model))).sum()
    }

    /// How many other engines serve a model now. A copy on its way in serves nobody yet.
    fn serving_elsewhere(&self, model: usize, index: usize) -> usize {
        let name = &self.inventory.models[model].name;
        let serves = |other: &&usize| {
            let engine = &self.inventory.engines[**other];
            let comes = engine.loading.as_ref() == Some(name);
            **other != index && engine.models.contains_key(name) && !comes
        };
        self.offers[model].iter().filter(serves).count()
    }

    /// Proposes loads of models that no engine offers.
    pub fn bring_back_missing(&mut self) {
        let is_missing = |model: &usize| self.copies(*model) == 0 && self.wanted[*model] > 0;
        let mut missing: Vec<usize> = (0..self.demand.len()).filter(is_missing).collect();
        missing.sort_by(|a, b| self.presence[*b].total_cmp(&self.presence[*a]).then(a.cmp(b)));
        for model in missing {
            self.add_copy(model, self.presence[model], "no engine holds it");
        }
    }

    /// Proposes loads of models that are asked for more than their copies bear.
    pub fn add_copies(&mut self) {
        let is_short = |model: &usize| (1..self.wanted[*model]).contains(&self.copies(*model));
        let level = |model: usize| (self.level(model, self.copies(model)), model);
        let mut short: Vec<(f64, usize)> =
            (0..self.demand.len()).filter(is_short).map(level).collect();
        short.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
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
    fn add_copy(&mut self, model: usize, worth: f64, reason: &'static str) -> bool {
        // With the weight store's rate used up only engines that keep the weights can load it.
        let best = match self.store_loads {
            0 => self.best_engine(self.inventory.local_copies[model].iter(), model, worth),
            _ => self.best_engine(self.open.iter(), model, worth),
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
        // The place is taken in the plan, so that no second place is made for the model.
        self.offers[model].push(index);
        self.forget_victims(model);
        let item = ModelRef { model: self.name(named).clone(), adapter: None };
        let engine = self.engine(index).id.clone();
        let makes_room_for = victim.map(|_| self.name(model).clone());
        self.proposals.push(Proposal { engine, operation, item, makes_room_for, reason });
        true
    }

    /// Finds the engine among `engines` for which a copy of `model` costs least, and what gives way.
    fn best_engine<'i>(
        &self,
        engines: impl Iterator<Item = &'i usize>,
        model: usize,
        worth: f64,
    ) -> Option<(usize, Option<usize>)> {
        let mut best: Option<(f64, usize, Option<usize>)> = None;
        for index in engines.copied().filter(|index| self.open.contains(index)) {
            if self.inventory.held[index].contains(&model) {
                continue;
            }
            let Some(victim) = self.room_for(index, model, worth) else {
                continue;
            };
            let lost = victim.map_or(0.0, |victim| victim.left + UNLOAD_SECONDS * LOAD_SECOND);
            let seconds = self.engine(index).load_seconds(self.inventory.models[model]);
            let cost = self.engine_level(index) + lost + seconds * LOAD_SECOND;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, index, victim.map(|victim| victim.model)));
            }
        }
        best.map(|(_, index, victim)| (index, victim))
    }

    /// Returns whether `model` fits on an engine: at once (`Some(None)`), after a model that is
    /// worth less has left, or not at all.
    fn room_for(&self, index: usize, model: usize, worth: f64) -> Option<Option<Victim>> {
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
        (least.left * WORTH_A_SWAP < worth).then_some(Some(*least))
    }

    /// Returns the models that could give way on an engine, the least worth first.
    fn victims_on(&self, index: usize) -> Vec<Victim> {
        let victim = |model: &usize| {
            let model = *model;
            // Until it is known to have been kept on the way out, a model that is nowhere else stays.
            let left = match self.serving_elsewhere(model, index) {
                0 if !self.engine(index).has_local_copy(self.name(model)) => return None,
                0 => self.presence[model],
                others => self.level(model, others),
            };
            let adapters = self.inventory.adapters_only_on(index, model) as f64;
            Some(Victim { model, left: left + adapters * WORTH_AN_ADAPTER })
        };
        let mut victims: Vec<Victim> =
            self.inventory.held[index].iter().filter_map(victim).collect();
        victims.sort_by(|a, b| a.left.total_cmp(&b.left).then(a.model.cmp(&b.model)));
        victims
    }

    /// Drops what was made of the engines that hold a model: its copies have changed.
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
