//! Which adapters should be loaded and unloaded where.

use std::collections::HashMap;

use super::{EngineView, Plan, Proposal};
use crate::ids::{AdapterName, ModelName};
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
    model: &'a ModelName,
    adapter: &'a AdapterName,
    /// Requests a second for each copy that it would have then.
    asked: f64,
    copies: usize,
}

impl<'a> Plan<'a> {
    /// Places each adapter on one engine that holds its model, busy ones on more; those that are
    /// asked for first, then those of models that are. An engine that loads a model takes no orders
    /// meanwhile, so adapters are placed ahead of need wherever a place is free.
    pub(super) fn place_adapters(&mut self, demand: &HashMap<ModelRef, Rate>) {
        let mut short: Vec<ShortAdapter<'a>> = Vec::new();
        for (name, model) in &self.spec.models {
            for adapter in &model.adapters {
                let item = ModelRef { model: name.clone(), adapter: Some(adapter.clone()) };
                let asked = demand.get(&item).copied().unwrap_or_default();
                let copies = self.engines.iter().filter(|e| e.offers_adapter(name, adapter));
                let copies = copies.count();
                let level = asked.work_ms / 1_000.0 / copies.max(1) as f64;
                if copies == 0 || level > WORTH_AN_ADAPTER_COPY {
                    let (asked, model) = (asked.requests / (copies + 1) as f64, name);
                    short.push(ShortAdapter { model, adapter, asked, copies });
                }
            }
        }
        short.sort_by(|a, b| {
            let by_model = self.demand[b.model].total_cmp(&self.demand[a.model]);
            let by_copies = self.copies(b.model).cmp(&self.copies(a.model));
            let by_name = (a.model, a.adapter).cmp(&(b.model, b.adapter));
            b.asked.total_cmp(&a.asked).then(by_model).then(by_copies).then(by_name)
        });
        for one in short {
            self.place_adapter(one.model, one.adapter, one.asked, one.copies, demand);
        }
    }

    fn place_adapter(
        &mut self,
        model: &'a ModelName,
        adapter: &'a AdapterName,
        asked: f64,
        copies: usize,
        demand: &HashMap<ModelRef, Rate>,
    ) {
        let slots = self.spec.adapter_slots as usize;
        let fits = |index: &usize| {
            let engine = &self.engines[*index];
            let there = engine.models.contains_key(model) && engine.leaving.as_ref() != Some(model);
            let proposed = self.proposed(*index);
            let free = !engine.busy && !self.taken.contains(index) && proposed < ADAPTERS_AT_ONCE;
            there && free && !engine.offers_adapter(model, adapter)
        };
        let open: Vec<usize> = (0..self.engines.len()).filter(fits).collect();
        let count = |index: &usize| self.engines[*index].adapter_count() + self.proposed(*index);
        let roomy = open.iter().copied().filter(|index| count(index) < slots);
        let roomiest = roomy.min_by_key(count);
        let item = |model: &ModelName, adapter: &AdapterName| ModelRef {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        let (index, item, reason) = match roomiest {
            Some(index) => {
                let reason = "the adapter is asked for or its model is";
                (index, item(model, adapter), reason)
            }
            // Only what is asked for displaces another adapter, and only its first copy does.
            None if copies == 0 && asked > 0.0 => {
                let Some((index, victim)) = self.least_adapter(&open, asked, demand) else {
                    return;
                };
                let reason = "the adapter gives way to one that is asked for";
                self.adapters_leaving.insert((index, victim.clone()));
                self.propose_adapter(index, Operation::Unload, victim, reason);
                (index, item(model, adapter), "the adapter is asked for")
            }
            None => return,
        };
        self.propose_adapter(index, Operation::Load, item, reason);
    }

    fn propose_adapter(
        &mut self,
        index: usize,
        operation: Operation,
        item: ModelRef,
        reason: &'static str,
    ) {
        *self.adapters_proposed.entry(index).or_default() += 1;
        let engine = self.engines[index].id.clone();
        self.proposals.push(Proposal { engine, operation, item, makes_room_for: None, reason });
    }

    fn proposed(&self, index: usize) -> usize {
        self.adapters_proposed.get(&index).copied().unwrap_or(0)
    }

    /// Finds the adapter that is asked for least on the engines in `open`, if it is asked for less
    /// than `asked`. One that is in use would keep its place. A swap takes some milliseconds, so it
    /// need not be worth more than what gives way.
    fn least_adapter(
        &self,
        open: &[usize],
        asked: f64,
        demand: &HashMap<ModelRef, Rate>,
    ) -> Option<(usize, ModelRef)> {
        let mut least: Option<(f64, usize, ModelRef)> = None;
        let has_time = |index: &&usize| self.proposed(**index) + 2 <= ADAPTERS_AT_ONCE;
        for index in open.iter().filter(has_time) {
            for (model, resident) in &self.engines[*index].models {
                for adapter in &resident.adapters {
                    let item = ModelRef { model: model.clone(), adapter: Some(adapter.clone()) };
                    let is_leaving = self.adapters_leaving.contains(&(*index, item.clone()));
                    if is_leaving || self.engines[*index].in_use.contains(&item) {
                        continue;
                    }
                    let offering = |e: &&EngineView| e.offers_adapter(model, adapter);
                    let copies = self.engines.iter().filter(offering).count();
                    let rate = demand.get(&item).map_or(0.0, |rate| rate.requests);
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
}
