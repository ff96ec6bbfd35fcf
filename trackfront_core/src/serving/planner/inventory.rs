//! What the engines hold, by number: models in the order of their names, engines as they are given.

use std::collections::{BTreeSet, HashMap};

use super::EngineView;
use crate::ids::{AdapterName, ModelName};
use crate::serving::config::{EngineSpec, ModelSpec};

/// The engines and what each model has where, counted once for a whole plan.
pub struct Inventory<'a> {
    /// The engines' figures.
    pub spec: &'a EngineSpec,
    /// The engines.
    pub engines: &'a [EngineView],
    /// The models, in the order of their names.
    pub models: Vec<&'a ModelSpec>,
    /// For each engine the configured models that it holds.
    pub held: Vec<Vec<usize>>,
    /// For each model the engines that hold it and do not let it go, or load it.
    pub offers: Vec<Vec<usize>>,
    /// For each model the engines that hold it.
    pub holders: Vec<Vec<usize>>,
    /// For each model the engines that keep its weights in memory or on disk.
    pub local_copies: Vec<Vec<usize>>,
    /// For each engine the memory that is free for models, in MB. Places for adapters are kept free, so
    /// that one never has to wait for a model's going.
    pub free_mb: Vec<f64>,
    numbers: HashMap<&'a ModelName, usize>,
    /// For each model the engines that hold or get each of its adapters.
    adapter_offers: Vec<HashMap<&'a AdapterName, Vec<usize>>>,
}

impl<'a> Inventory<'a> {
    /// Counts what the engines hold.
    pub fn new(spec: &'a EngineSpec, engines: &'a [EngineView]) -> Self {
        let models: Vec<&ModelSpec> = spec.models.values().collect();
        let numbers = models.iter().enumerate().map(|(number, model)| (&model.name, number));
        let nowhere = vec![Vec::new(); models.len()];
        let mut inventory = Self {
            spec,
            engines,
            held: Vec::with_capacity(engines.len()),
            offers: nowhere.clone(),
            holders: nowhere.clone(),
            local_copies: nowhere,
            free_mb: Vec::with_capacity(engines.len()),
            numbers: numbers.collect(),
            adapter_offers: vec![HashMap::new(); models.len()],
            models,
        };
        let largest = spec.models.values().map(|model| model.adapter_mb).fold(0.0, f64::max);
        let adapters_mb = largest * f64::from(spec.adapter_slots);
        for (index, engine) in engines.iter().enumerate() {
            inventory.add(index, engine, adapters_mb);
        }
        inventory
    }

    fn add(&mut self, index: usize, engine: &'a EngineView, adapters_mb: f64) {
        let numbered = |name: &ModelName| self.numbers.get(name).copied();
        let held: Vec<usize> = engine.models.keys().filter_map(numbered).collect();
        let loading = engine.loading.as_ref();
        let comes = loading.filter(|name| !engine.models.contains_key(*name));
        let leaving = engine.leaving.as_ref().and_then(numbered);
        let coming = comes.and_then(numbered);
        for model in &held {
            self.holders[*model].push(index);
        }
        for model in held.iter().copied().chain(coming).filter(|model| Some(*model) != leaving) {
            self.offers[model].push(index);
        }
        let kept: BTreeSet<usize> =
            engine.in_memory.iter().chain(&engine.on_disk).filter_map(numbered).collect();
        for model in kept {
            self.local_copies[model].push(index);
        }
        // What is not configured counts as if it filled the engine.
        let size = |name: &ModelName| {
            numbered(name).map_or(self.spec.memory_mb, |model| self.models[model].weight_mb)
        };
        let weights: f64 = engine.models.keys().map(size).sum();
        let free = self.spec.memory_mb - weights - comes.map_or(0.0, size) - adapters_mb;
        self.free_mb.push(free);
        self.held.push(held);
        self.add_adapters(index, engine);
    }

    fn add_adapters(&mut self, index: usize, engine: &'a EngineView) {
        let loaded = engine.models.iter().flat_map(|(model, resident)| {
            resident.adapters.iter().map(move |adapter| (model, adapter))
        });
        let pending = engine.pending.iter().map(|(model, adapter)| (model, adapter));
        for (model, adapter) in loaded.chain(pending) {
            let Some(model) = self.numbers.get(model) else {
                continue;
            };
            let offers = self.adapter_offers[*model].entry(adapter).or_default();
            if offers.last() != Some(&index) {
                offers.push(index);
            }
        }
    }

    /// Returns the number of a model; `None` for one that is not configured.
    pub fn number(&self, name: &ModelName) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the engines that hold an adapter or get it.
    pub fn adapter_offers(&self, model: usize, adapter: &AdapterName) -> &[usize] {
        self.adapter_offers[model].get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Returns how many adapters of a model no engine but this one holds: they would leave with it.
    pub fn adapters_only_on(&self, index: usize, model: usize) -> usize {
        let Some(resident) = self.engines[index].models.get(&self.models[model].name) else {
            return 0;
        };
        let elsewhere = |adapter: &&AdapterName| {
            self.adapter_offers(model, adapter).iter().any(|other| *other != index)
        };
        resident.adapters.iter().filter(|adapter| !elsewhere(adapter)).count()
    }
}
