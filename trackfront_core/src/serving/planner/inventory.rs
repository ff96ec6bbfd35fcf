//! An index of what the engines hold. Models are numbered in the order of their names, engines in
//! the order in which they are given.

use std::collections::{BTreeSet, HashMap};

use super::EngineView;
use crate::ids::{AdapterName, ModelName};
use crate::serving::config::{EngineSpec, ModelSpec};

/// The engines, and where the copies of each model are, computed once per plan.
pub struct Inventory<'a> {
    /// The capacity and the models of the engines.
    pub spec: &'a EngineSpec,
    /// The engines to plan for.
    pub engines: &'a [EngineView],
    /// The configured models, ordered by name.
    pub models: Vec<&'a ModelSpec>,
    /// For each engine, the configured models that it holds.
    pub held: Vec<Vec<usize>>,
    /// For each model, the engines that load it, or hold it and don't unload it.
    pub offers: Vec<Vec<usize>>,
    /// For each model, the engines that hold it.
    pub holders: Vec<Vec<usize>>,
    /// For each model, the engines that have its weights in host memory or on disk.
    pub local_copies: Vec<Vec<usize>>,
    /// For each engine, the free memory for models, in MB. Memory for all adapter slots is
    /// reserved, so that an adapter never waits for a model to be unloaded.
    pub free_mb: Vec<f64>,
    indices: HashMap<&'a ModelName, usize>,
    /// For each model, the engines that hold or load each of its adapters.
    adapter_offers: Vec<HashMap<&'a AdapterName, Vec<usize>>>,
}

impl<'a> Inventory<'a> {
    /// Indexes what the engines hold.
    pub fn new(spec: &'a EngineSpec, engines: &'a [EngineView]) -> Self {
        let models: Vec<&ModelSpec> = spec.models.values().collect();
        let indices = models.iter().enumerate().map(|(index, model)| (&model.name, index));
        let no_engines = vec![Vec::new(); models.len()];
        let mut inventory = Self {
            spec,
            engines,
            held: Vec::with_capacity(engines.len()),
            offers: no_engines.clone(),
            holders: no_engines.clone(),
            local_copies: no_engines,
            free_mb: Vec::with_capacity(engines.len()),
            indices: indices.collect(),
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
        let index_of = |name: &ModelName| self.indices.get(name).copied();
        let held: Vec<usize> = engine.models.keys().filter_map(index_of).collect();
        let loading = engine.loading.as_ref();
        let incoming = loading.filter(|name| !engine.models.contains_key(*name));
        let leaving = engine.leaving.as_ref().and_then(index_of);
        let incoming_index = incoming.and_then(index_of);
        for model in &held {
            self.holders[*model].push(index);
        }
        for model in
            held.iter().copied().chain(incoming_index).filter(|model| Some(*model) != leaving)
        {
            self.offers[model].push(index);
        }
        let cached: BTreeSet<usize> =
            engine.in_memory.iter().chain(&engine.on_disk).filter_map(index_of).collect();
        for model in cached {
            self.local_copies[model].push(index);
        }
        // A model that isn't configured counts as if it filled the engine.
        let size = |name: &ModelName| {
            index_of(name).map_or(self.spec.memory_mb, |model| self.models[model].weight_mb)
        };
        let weights: f64 = engine.models.keys().map(size).sum();
        let free = self.spec.memory_mb - weights - incoming.map_or(0.0, size) - adapters_mb;
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
            let Some(model) = self.indices.get(model) else {
                continue;
            };
            let offers = self.adapter_offers[*model].entry(adapter).or_default();
            if offers.last() != Some(&index) {
                offers.push(index);
            }
        }
    }

    /// Returns the index of a model; `None` if it isn't configured.
    pub fn index_of(&self, name: &ModelName) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Returns the engines that hold or load an adapter.
    pub fn adapter_offers(&self, model: usize, adapter: &AdapterName) -> &[usize] {
        self.adapter_offers[model].get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Returns how many adapters of a model only this engine holds. Unloading the model loses them.
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
