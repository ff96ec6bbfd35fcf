//! The draft of a shard: its state after the moves planned so far.

use std::collections::{BTreeMap, HashMap};

use crate::demand::Demand;
use crate::ids::{BackendId, ItemKey};
use crate::ledger::Holding;
use crate::order::Action;
use crate::units::Mib;

use super::plan::{EngineState, Move, PlanInput, RecentLoad};
use super::{Bundle, SizedItem};

/// The fraction of an engine's capacity up to which it may be loaded.
pub const TARGET_FRACTION: f64 = 0.70;

/// The number of passes that balance the demand over the engines.
const BALANCE_PASSES: usize = 4;

/// An engine in the draft, in its state after the moves planned so far.
pub struct DraftEngine {
    /// The number of accelerators that an item is split across.
    pub accelerators: usize,
    /// The free memory on each accelerator.
    pub free: Mib,
    pub held: HashMap<ItemKey, Holding>,
    /// Whether new items may be loaded: the engine responds and is not leaving.
    pub takes_loads: bool,
    pub usable: bool,
    pub capacity: Option<f64>,
    /// The concurrent requests that the engine is expected to get.
    pub load: f64,
}

impl DraftEngine {
    fn new(state: &EngineState) -> Self {
        Self {
            accelerators: state.accelerators,
            free: state.ledger.free(),
            held: state.ledger.items().map(|(item, holding)| (item.clone(), holding)).collect(),
            takes_loads: state.usable && !state.leaving,
            usable: state.usable,
            capacity: state.capacity,
            load: 0.0,
        }
    }

    /// Returns whether the engine has `item`, or is loading it, and does not unload it.
    pub fn keeps(&self, item: &ItemKey) -> bool {
        matches!(self.held.get(item), Some(Holding::Loading | Holding::Ready))
    }

    pub fn is_ready(&self, item: &ItemKey) -> bool {
        self.held.get(item) == Some(&Holding::Ready)
    }

    /// Returns how much more load the engine may get.
    fn spare(&self) -> f64 {
        self.capacity
            .map_or(f64::INFINITY, |capacity| (capacity * TARGET_FRACTION - self.load).max(0.0))
    }

    /// Returns whether `load` more would stay within [`TARGET_FRACTION`] of the capacity.
    pub fn can_take(&self, load: f64) -> bool {
        self.capacity.is_none_or(|capacity| self.load + load <= capacity * TARGET_FRACTION)
    }
}

/// The distribution of a bundle's demand over its engines.
struct Spread {
    model: ItemKey,
    demand: f64,
    /// The engines that keep the bundle's model, each with its part of the demand.
    homes: Vec<(BackendId, f64)>,
}

impl Spread {
    fn even(bundle: &Bundle, demand: f64, homes: Vec<BackendId>) -> Self {
        let each = demand / homes.len().max(1) as f64;
        let homes = homes.into_iter().map(|id| (id, each)).collect();
        Self { model: bundle.model().clone(), demand, homes }
    }
}

/// The state of the shard after the moves planned so far.
pub struct Draft<'a> {
    pub input: &'a PlanInput<'a>,
    recent: &'a [RecentLoad],
    /// Whether no room was found for some item in this round.
    pub short_of_room: bool,
    /// The part of each model's demand that each of its engines gets, in concurrent requests.
    shares: HashMap<ItemKey, HashMap<BackendId, f64>>,
    pub engines: BTreeMap<BackendId, DraftEngine>,
    moves: Vec<Move>,
    /// The number of loads among the moves.
    pub loads: usize,
}

impl<'a> Draft<'a> {
    /// Creates a draft from the shard's current state.
    pub fn new(input: &'a PlanInput<'a>, recent: &'a [RecentLoad]) -> Self {
        let engines =
            input.engines.iter().map(|(id, state)| (id.clone(), DraftEngine::new(state))).collect();
        let mut draft = Self {
            input,
            recent,
            short_of_room: false,
            shares: HashMap::new(),
            engines,
            moves: Vec::new(),
            loads: 0,
        };
        draft.spread_load();
        draft
    }

    /// Returns the moves.
    pub fn into_moves(self) -> Vec<Move> {
        self.moves
    }

    /// Balances each bundle's demand over the engines that keep it, as the routers do.
    fn spread_load(&mut self) {
        let mut spreads: Vec<Spread> = self
            .input
            .bundles
            .iter()
            .map(|bundle| Spread::even(bundle, self.demand(bundle).concurrency, self.homes(bundle)))
            .filter(|spread| spread.demand > 0.0 && !spread.homes.is_empty())
            .collect();
        for (id, share) in spreads.iter().flat_map(|spread| &spread.homes) {
            self.add_load(id, *share);
        }
        for _ in 0..BALANCE_PASSES {
            for spread in spreads.iter_mut().filter(|spread| spread.homes.len() > 1) {
                self.rebalance(spread.demand, &mut spread.homes);
            }
        }
        self.shares = spreads
            .into_iter()
            .map(|spread| (spread.model, spread.homes.into_iter().collect()))
            .collect();
    }

    /// Rebalances one bundle's demand over its engines.
    fn rebalance(&mut self, demand: f64, homes: &mut [(BackendId, f64)]) {
        for (id, share) in homes.iter() {
            self.add_load(id, -share);
        }
        homes.sort_by(|(a, _), (b, _)| self.engines[a].load.total_cmp(&self.engines[b].load));
        // Raise the least loaded engine to the level of the next, then both to the level of the one
        // after, and so on, until the demand is used up.
        let mut filled = 0.0;
        let mut count = 0;
        let mut level = 0.0;
        for (index, (id, _)) in homes.iter().enumerate() {
            let load = self.engines[id].load;
            if filled + (load - level) * count as f64 > demand {
                break;
            }
            filled += (load - level) * count as f64;
            level = load;
            count = index + 1;
        }
        level += (demand - filled) / count as f64;
        for (id, share) in homes.iter_mut() {
            *share = (level - self.engines[id].load).max(0.0);
        }
        for (id, share) in homes.iter() {
            self.add_load(id, *share);
        }
    }

    fn add_load(&mut self, id: &BackendId, load: f64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.load += load;
        }
    }

    /// Returns the engines that accept loads and keep a bundle's model.
    pub fn homes(&self, bundle: &Bundle) -> Vec<BackendId> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && engine.keeps(bundle.model()))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns whether `items` fit into an engine's free memory.
    pub fn fits(&self, id: &BackendId, items: &[SizedItem]) -> bool {
        self.engines.get(id).is_some_and(|engine| self.need(engine, items) <= engine.free)
    }

    /// Returns the memory that `items` need on each accelerator, without the items that the engine
    /// already holds.
    pub fn need(&self, engine: &DraftEngine, items: &[SizedItem]) -> Mib {
        items
            .iter()
            .filter(|sized| !engine.held.contains_key(&sized.item))
            .map(|sized| sized.total.split(engine.accelerators))
            .sum()
    }

    /// Plans the loads of those of `items` that an engine does not hold yet.
    pub fn load(&mut self, id: &BackendId, items: &[SizedItem], cause: &str) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        for sized in items {
            if engine.held.contains_key(&sized.item) {
                continue;
            }
            let per_accelerator = sized.total.split(engine.accelerators);
            engine.free = engine.free - per_accelerator;
            engine.held.insert(sized.item.clone(), Holding::Loading);
            self.loads += 1;
            self.moves.push(Move {
                engine: id.clone(),
                action: Action::Load,
                item: sized.item.clone(),
                per_accelerator,
                cause: cause.to_string(),
            });
        }
    }

    /// Evicts replicas from an engine so that `items` will fit. Returns whether they will; a later
    /// round loads them once the memory is confirmed to be free.
    pub fn evict_for(&mut self, id: &BackendId, items: &[SizedItem]) -> bool {
        let Some(evicted) = self.evictable(id, items) else {
            return false;
        };
        for bundle in evicted {
            self.unload_bundle(id, bundle, "its room is needed");
        }
        true
    }

    /// Returns the replicas whose eviction from an engine lets `items` fit, if there are any.
    pub fn evictable(&self, id: &BackendId, items: &[SizedItem]) -> Option<Vec<&'a Bundle>> {
        let engine = self.engines.get(id).filter(|engine| engine.takes_loads)?;
        let need = self.need(engine, items);
        let mut room = engine.free + self.unloading_size(id);
        let mut evicted = Vec::new();
        for bundle in self.spare_bundles(id) {
            if room >= need {
                break;
            }
            room = room + self.held_size(id, bundle);
            evicted.push(bundle);
        }
        (room >= need).then_some(evicted)
    }

    /// Returns the memory on each accelerator of the items that an engine is unloading already.
    pub fn unloading_size(&self, id: &BackendId) -> Mib {
        let (Some(engine), Some(state)) = (self.engines.get(id), self.input.engines.get(id)) else {
            return Mib(0);
        };
        engine
            .held
            .iter()
            .filter(|(_, holding)| **holding == Holding::Unloading)
            .filter_map(|(item, _)| state.ledger.size_of(item))
            .sum()
    }

    /// Returns the bundles on an engine that the other engines can serve without it, those with the
    /// lowest demand first.
    pub fn spare_bundles(&self, id: &BackendId) -> Vec<&'a Bundle> {
        let mut spare: Vec<&'a Bundle> = self
            .input
            .bundles
            .iter()
            .filter(|bundle| self.engines[id].is_ready(bundle.model()))
            .filter(|bundle| !self.is_recent(id, bundle) && self.is_spare(id, bundle))
            .collect();
        spare.sort_by(|a, b| self.demand(a).concurrency.total_cmp(&self.demand(b).concurrency));
        spare
    }

    /// Returns whether a bundle was recently loaded on an engine to make room elsewhere.
    fn is_recent(&self, id: &BackendId, bundle: &Bundle) -> bool {
        self.recent.iter().any(|load| load.engine == *id && load.item == *bundle.model())
    }

    /// Returns whether the other engines can serve `bundle` without this one.
    pub fn is_spare(&self, id: &BackendId, bundle: &Bundle) -> bool {
        let others: Vec<&DraftEngine> = self
            .engines
            .iter()
            .filter(|(other, engine)| *other != id && engine.takes_loads)
            .map(|(_, engine)| engine)
            .collect();
        let all_ready_elsewhere = bundle
            .items
            .iter()
            .filter(|sized| self.engines[id].held.contains_key(&sized.item))
            .all(|sized| others.iter().any(|engine| engine.is_ready(&sized.item)));
        let spare: f64 = others
            .iter()
            .filter(|engine| engine.is_ready(bundle.model()))
            .map(|engine| engine.spare())
            .sum();
        all_ready_elsewhere && spare >= self.share(id, bundle)
    }

    /// Returns the part of a bundle's demand that an engine gets.
    fn share(&self, id: &BackendId, bundle: &Bundle) -> f64 {
        let homes = self.shares.get(bundle.model());
        homes.and_then(|homes| homes.get(id)).copied().unwrap_or(0.0)
    }

    /// Returns the memory on each accelerator that a bundle uses on an engine.
    pub fn held_size(&self, id: &BackendId, bundle: &Bundle) -> Mib {
        let Some(state) = self.input.engines.get(id) else {
            return Mib(0);
        };
        bundle.items.iter().filter_map(|sized| state.ledger.size_of(&sized.item)).sum()
    }

    /// Plans the unloads of a bundle.
    pub fn unload_bundle(&mut self, id: &BackendId, bundle: &Bundle, cause: &str) {
        // Adapters are unloaded before the model that they extend.
        for sized in bundle.items.iter().rev() {
            self.unload(id, &sized.item, cause);
        }
    }

    /// Plans the unload of an item if it is ready.
    pub fn unload(&mut self, id: &BackendId, item: &ItemKey, cause: &str) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if !engine.is_ready(item) {
            return;
        }
        engine.held.insert(item.clone(), Holding::Unloading);
        let size = self.input.engines.get(id).and_then(|state| state.ledger.size_of(item));
        self.moves.push(Move {
            engine: id.clone(),
            action: Action::Unload,
            item: item.clone(),
            per_accelerator: size.unwrap_or_default(),
            cause: cause.to_string(),
        });
    }

    /// Returns the demand for a model and its adapters together.
    pub fn demand(&self, bundle: &Bundle) -> Demand {
        let items = bundle.items.iter().filter_map(|sized| self.input.demand.get(&sized.item));
        items.fold(Demand::default(), |sum, demand| Demand {
            rate: sum.rate + demand.rate,
            concurrency: sum.concurrency + demand.concurrency,
        })
    }
}
