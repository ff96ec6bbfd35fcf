//! What a shard would look like after the moves so far.

use std::collections::{BTreeMap, HashMap};

use crate::demand::Demand;
use crate::ids::{BackendId, ItemKey};
use crate::ledger::Holding;
use crate::order::Action;
use crate::units::Mib;

use super::plan::{EngineState, Move, PlanInput, RecentLoad};
use super::{Bundle, SizedItem};

/// The share of an engine's capacity up to which it may be filled.
pub const FILL: f64 = 0.70;

/// How often the demand is spread anew until the engines' loads are level.
const LEVEL_ROUNDS: usize = 4;

/// An engine in the draft: what it would hold after the moves so far.
pub struct DraftEngine {
    pub accelerators: usize,
    pub free: Mib,
    pub held: HashMap<ItemKey, Holding>,
    pub takes_loads: bool,
    pub usable: bool,
    pub capacity: Option<f64>,
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

    /// Returns whether the engine has `item` and keeps it.
    pub fn keeps(&self, item: &ItemKey) -> bool {
        matches!(self.held.get(item), Some(Holding::Arriving | Holding::Ready))
    }

    pub fn is_ready(&self, item: &ItemKey) -> bool {
        self.held.get(item) == Some(&Holding::Ready)
    }

    /// Returns how much more load the engine may be filled with.
    fn spare(&self) -> f64 {
        self.capacity.map_or(f64::INFINITY, |capacity| (capacity * FILL - self.load).max(0.0))
    }

    /// Returns whether so much more load would stay within the share to fill.
    pub fn can_take(&self, load: f64) -> bool {
        self.capacity.is_none_or(|capacity| self.load + load <= capacity * FILL)
    }
}

/// How a bundle's demand is spread over its engines.
struct Spread {
    model: ItemKey,
    demand: f64,
    homes: Vec<(BackendId, f64)>,
}

impl Spread {
    fn even(bundle: &Bundle, demand: f64, homes: Vec<BackendId>) -> Self {
        let each = demand / homes.len().max(1) as f64;
        let homes = homes.into_iter().map(|id| (id, each)).collect();
        Self { model: bundle.model().clone(), demand, homes }
    }
}

/// The shard as it would be after the moves so far.
pub struct Draft<'a> {
    pub input: &'a PlanInput<'a>,
    recent: &'a [RecentLoad],
    /// Whether something found no room in this round.
    pub short_of_room: bool,
    /// The part of each model's demand that each of its engines gets.
    shares: HashMap<ItemKey, HashMap<BackendId, f64>>,
    pub engines: BTreeMap<BackendId, DraftEngine>,
    moves: Vec<Move>,
    pub loads: usize,
}

impl<'a> Draft<'a> {
    /// Starts from the shard as it is.
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

    /// Spreads each bundle's demand over the engines that have it so that their loads are level,
    /// as the routers do.
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
        for _ in 0..LEVEL_ROUNDS {
            for spread in spreads.iter_mut().filter(|spread| spread.homes.len() > 1) {
                self.level(spread.demand, &mut spread.homes);
            }
        }
        self.shares = spreads
            .into_iter()
            .map(|spread| (spread.model, spread.homes.into_iter().collect()))
            .collect();
    }

    /// Spreads one bundle's demand anew over its engines.
    fn level(&mut self, demand: f64, homes: &mut [(BackendId, f64)]) {
        for (id, share) in homes.iter() {
            self.add_load(id, -share);
        }
        homes.sort_by(|(a, _), (b, _)| self.engines[a].load.total_cmp(&self.engines[b].load));
        // Fill the least loaded up to the next, then both up to the one after, and so on.
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

    /// Returns the engines that keep a bundle's model.
    pub fn homes(&self, bundle: &Bundle) -> Vec<BackendId> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && engine.keeps(bundle.model()))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns whether `items` fit on an engine now.
    pub fn fits(&self, id: &BackendId, items: &[SizedItem]) -> bool {
        self.engines.get(id).is_some_and(|engine| self.need(engine, items) <= engine.free)
    }

    /// Returns the memory on each accelerator that `items` need beyond what is there.
    pub fn need(&self, engine: &DraftEngine, items: &[SizedItem]) -> Mib {
        items
            .iter()
            .filter(|sized| !engine.held.contains_key(&sized.item))
            .map(|sized| sized.total.split(engine.accelerators))
            .sum()
    }

    /// Adds the loads of what an engine lacks of `items`.
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
            engine.held.insert(sized.item.clone(), Holding::Arriving);
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

    /// Gives up replicas on an engine so that `items` will fit. Returns whether they will; they
    /// are loaded once the room is proved free.
    pub fn evict_for(&mut self, id: &BackendId, items: &[SizedItem]) -> bool {
        let Some(given_up) = self.evictable(id, items) else {
            return false;
        };
        for bundle in given_up {
            self.unload_bundle(id, bundle, "its room is needed");
        }
        true
    }

    /// Returns the replicas on an engine without which `items` would fit, if there are such.
    pub fn evictable(&self, id: &BackendId, items: &[SizedItem]) -> Option<Vec<&'a Bundle>> {
        let engine = self.engines.get(id).filter(|engine| engine.takes_loads)?;
        let need = self.need(engine, items);
        let mut room = engine.free + self.going(id);
        let mut given_up = Vec::new();
        for bundle in self.spare_bundles(id) {
            if room >= need {
                break;
            }
            room = room + self.held_size(id, bundle);
            given_up.push(bundle);
        }
        (room >= need).then_some(given_up)
    }

    /// Returns what is on its way out of an engine already.
    pub fn going(&self, id: &BackendId) -> Mib {
        let (Some(engine), Some(state)) = (self.engines.get(id), self.input.engines.get(id)) else {
            return Mib(0);
        };
        engine
            .held
            .iter()
            .filter(|(_, holding)| **holding == Holding::Going)
            .filter_map(|(item, _)| state.ledger.size_of(item))
            .sum()
    }

    /// Returns the bundles on an engine that others can answer for alone, the least asked for
    /// first.
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

    /// Returns whether a bundle was loaded there only lately.
    fn is_recent(&self, id: &BackendId, bundle: &Bundle) -> bool {
        self.recent.iter().any(|load| load.engine == *id && load.item == *bundle.model())
    }

    /// Returns whether the other engines with `bundle` can answer for it without this one.
    pub fn is_spare(&self, id: &BackendId, bundle: &Bundle) -> bool {
        let others: Vec<&DraftEngine> = self
            .engines
            .iter()
            .filter(|(other, engine)| *other != id && engine.takes_loads)
            .map(|(_, engine)| engine)
            .collect();
        let all_there = bundle
            .items
            .iter()
            .filter(|sized| self.engines[id].held.contains_key(&sized.item))
            .all(|sized| others.iter().any(|engine| engine.is_ready(&sized.item)));
        let spare: f64 = others
            .iter()
            .filter(|engine| engine.is_ready(bundle.model()))
            .map(|engine| engine.spare())
            .sum();
        all_there && spare >= self.share(id, bundle)
    }

    /// Returns the part of a bundle's demand that an engine gets.
    fn share(&self, id: &BackendId, bundle: &Bundle) -> f64 {
        let homes = self.shares.get(bundle.model());
        homes.and_then(|homes| homes.get(id)).copied().unwrap_or(0.0)
    }

    /// Returns the memory on each accelerator that a bundle has on an engine.
    pub fn held_size(&self, id: &BackendId, bundle: &Bundle) -> Mib {
        let Some(state) = self.input.engines.get(id) else {
            return Mib(0);
        };
        bundle.items.iter().filter_map(|sized| state.ledger.size_of(&sized.item)).sum()
    }

    /// Adds the unloads of a bundle.
    pub fn unload_bundle(&mut self, id: &BackendId, bundle: &Bundle, cause: &str) {
        // Adapters go before the model that they stand on.
        for sized in bundle.items.iter().rev() {
            self.unload(id, &sized.item, cause);
        }
    }

    /// Adds the unload of an item that answers.
    pub fn unload(&mut self, id: &BackendId, item: &ItemKey, cause: &str) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if !engine.is_ready(item) {
            return;
        }
        engine.held.insert(item.clone(), Holding::Going);
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
