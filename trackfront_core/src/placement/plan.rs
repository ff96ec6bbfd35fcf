//! Decides on the next moves of a shard.
//!
//! A round repairs first: whatever no engine answers for, the most asked for before the rest.
//! Then it adds replicas where an engine is asked for more than it can answer, if that earns
//! more than the moves cost. Last it unloads what left the tree. Replicas that are not needed
//! stay until their room is, since an unload that nobody needs is a move, too.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

use crate::demand::Demand;
use crate::ids::{BackendId, ItemKey};
use crate::ledger::{EngineLedger, Holding};
use crate::order::Action;
use crate::units::Mib;

use super::{Bundle, SizedItem};

/// The share of an engine's capacity above which it is asked for too much.
const HIGH: f64 = 0.85;

/// The share of an engine's capacity up to which it may be filled by a new replica.
const FILL: f64 = 0.70;

/// Where no engine has that much to spare: the share of an engine's load that another may reach
/// by taking a replica from it.
const RELIEF: f64 = 0.75;

/// The seconds over which a replica has to earn what its moves cost.
const HORIZON_SECS: f64 = 120.0;

/// The share of a model's demand from which an adapter goes along with a further replica.
const ADAPTER_SHARE: f64 = 0.02;

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// How many accelerators an item is spread over.
    pub accelerators: usize,
    /// What is counted there.
    pub ledger: EngineLedger,
    /// Whether the engine answers.
    pub usable: bool,
    /// Whether the platform will take the engine away.
    pub leaving: bool,
    /// How many requests it can have in progress at once within the policy's times; `None`
    /// until that was measured.
    pub capacity: Option<f64>,
}

/// One order that the planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: BackendId,
    /// What to do.
    pub action: Action,
    /// With what.
    pub item: ItemKey,
    /// The memory on each accelerator.
    pub per_accelerator: Mib,
    /// Why.
    pub cause: String,
}

/// Everything that a round of planning looks at.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The engines of the shard.
    pub engines: &'a BTreeMap<BackendId, EngineState>,
    /// What the tree wants.
    pub bundles: &'a [Bundle],
    /// How much each item is asked for, over all boxes.
    pub demand: &'a HashMap<ItemKey, Demand>,
    /// How many more requests a move has to meet to be worth it.
    pub move_cost: f64,
    /// How many loads may be ordered in this round.
    pub max_loads: usize,
}

/// Decides on moves. Benchmarks put baselines here.
pub trait PlanMoves: Send {
    /// Returns the next moves.
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<Move>;
}

/// The planner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner;

impl PlanMoves for Planner {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<Move> {
        plan(input)
    }
}

/// Returns the moves that bring a shard closer to its tree and its demand.
pub fn plan(input: &PlanInput<'_>) -> Vec<Move> {
    let mut draft = Draft::new(input);
    draft.repair();
    draft.replicate();
    draft.unload_stale();
    draft.moves
}

/// An engine in the draft: what it would hold after the moves so far.
struct DraftEngine {
    accelerators: usize,
    free: Mib,
    held: HashMap<ItemKey, Holding>,
    takes_loads: bool,
    usable: bool,
    capacity: Option<f64>,
    load: f64,
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
    fn keeps(&self, item: &ItemKey) -> bool {
        matches!(self.held.get(item), Some(Holding::Arriving | Holding::Ready))
    }

    fn is_ready(&self, item: &ItemKey) -> bool {
        self.held.get(item) == Some(&Holding::Ready)
    }

    /// Returns whether so much more load would stay within the share to fill.
    fn can_take(&self, load: f64) -> bool {
        self.capacity.is_none_or(|capacity| self.load + load <= capacity * FILL)
    }

    /// Returns whether so much more load would leave it clearly below an engine with `high` load.
    fn can_relieve(&self, load: f64, high: f64) -> bool {
        self.can_take(load) || self.load + load <= high * RELIEF
    }

    fn is_high(&self) -> bool {
        self.capacity.is_some_and(|capacity| self.load > capacity * HIGH)
    }
}

struct Draft<'a> {
    input: &'a PlanInput<'a>,
    engines: BTreeMap<BackendId, DraftEngine>,
    moves: Vec<Move>,
    loads: usize,
}

/// A bundle of which something is missing.
struct Missing<'a> {
    bundle: &'a Bundle,
    items: Vec<SizedItem>,
    /// The engine that has the rest of the bundle.
    home: Option<BackendId>,
    unreachable: bool,
    demand: f64,
}

impl<'a> Draft<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        let engines =
            input.engines.iter().map(|(id, state)| (id.clone(), DraftEngine::new(state))).collect();
        Self { input, engines, moves: Vec::new(), loads: 0 }
    }

    /// Loads what no engine that stays has.
    fn repair(&mut self) {
        let mut missing: Vec<Missing<'a>> =
            self.input.bundles.iter().filter_map(|bundle| self.missing(bundle)).collect();
        missing.sort_by(|a, b| {
            b.unreachable
                .cmp(&a.unreachable)
                .then(b.demand.total_cmp(&a.demand))
                .then(total(&b.items).cmp(&total(&a.items)))
        });
        for part in missing {
            if self.loads >= self.input.max_loads {
                return;
            }
            self.repair_one(&part);
        }
    }

    fn missing(&self, bundle: &'a Bundle) -> Option<Missing<'a>> {
        let home = self.home(bundle.model());
        let has = |item: &ItemKey| {
            self.engines.values().any(|engine| engine.takes_loads && engine.keeps(item))
        };
        let items: Vec<SizedItem> =
            bundle.items.iter().filter(|sized| !has(&sized.item)).cloned().collect();
        if items.is_empty() {
            return None;
        }
        let unreachable = items.iter().any(|sized| {
            !self.engines.values().any(|engine| engine.usable && engine.is_ready(&sized.item))
        });
        Some(Missing { bundle, items, home, unreachable, demand: self.demand(bundle).rate })
    }

    /// Returns the engine that has `item` and the most room for what goes with it.
    fn home(&self, item: &ItemKey) -> Option<BackendId> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && engine.keeps(item))
            .max_by_key(|(id, engine)| (engine.free, Reverse((*id).clone())))
            .map(|(id, _)| id.clone())
    }

    fn repair_one(&mut self, part: &Missing<'a>) {
        let cause = "in the tree and on no engine";
        if let Some(home) = &part.home {
            if self.fits(home, &part.items) {
                self.load(home, &part.items, cause);
                return;
            }
            if self.evict_for(home, &part.items) {
                return;
            }
        }
        let whole = &part.bundle.items;
        match self.roomiest(whole) {
            Some(engine) => self.load(&engine, whole, cause),
            None => self.make_room(whole),
        }
    }

    /// Returns the engine with the most room that fits `items`.
    fn roomiest(&self, items: &[SizedItem]) -> Option<BackendId> {
        self.engines
            .iter()
            .filter(|(id, engine)| engine.takes_loads && self.fits(id, items))
            .max_by_key(|(id, engine)| (engine.free, Reverse((*id).clone())))
            .map(|(id, _)| id.clone())
    }

    fn fits(&self, id: &BackendId, items: &[SizedItem]) -> bool {
        self.engines.get(id).is_some_and(|engine| self.need(engine, items) <= engine.free)
    }

    /// Returns the memory on each accelerator that `items` need beyond what is there.
    fn need(&self, engine: &DraftEngine, items: &[SizedItem]) -> Mib {
        items
            .iter()
            .filter(|sized| !engine.held.contains_key(&sized.item))
            .map(|sized| sized.total.split(engine.accelerators))
            .sum()
    }

    fn load(&mut self, id: &BackendId, items: &[SizedItem], cause: &str) {
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

    /// Makes room where that costs least: by giving up replicas, or else by moving a bundle.
    fn make_room(&mut self, items: &[SizedItem]) {
        let ids: Vec<BackendId> = self.engines.keys().cloned().collect();
        if ids.iter().any(|id| self.evict_for(id, items)) {
            return;
        }
        for id in &ids {
            if let Some((bundle, to)) = self.movable(id, items) {
                self.load(&to, &bundle.items, "to make room elsewhere");
                return;
            }
        }
        log::warn!("there is no room for {} now; it is tried again", items[0].item);
    }

    /// Gives up replicas on an engine until `items` would fit. Returns whether they will; they
    /// are loaded once the room is proved free.
    fn evict_for(&mut self, id: &BackendId, items: &[SizedItem]) -> bool {
        let Some(engine) = self.engines.get(id).filter(|engine| engine.takes_loads) else {
            return false;
        };
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
        if room < need {
            return false;
        }
        for bundle in given_up {
            self.unload_bundle(id, bundle, "its room is needed");
        }
        true
    }

    /// Returns what is on its way out of an engine already.
    fn going(&self, id: &BackendId) -> Mib {
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
    fn spare_bundles(&self, id: &BackendId) -> Vec<&'a Bundle> {
        let mut spare: Vec<&'a Bundle> = self
            .input
            .bundles
            .iter()
            .filter(|bundle| self.engines[id].is_ready(bundle.model()))
            .filter(|bundle| self.is_spare(id, bundle))
            .collect();
        spare.sort_by(|a, b| self.demand(a).concurrency.total_cmp(&self.demand(b).concurrency));
        spare
    }

    /// Returns whether the other engines with `bundle` can answer for it without this one.
    fn is_spare(&self, id: &BackendId, bundle: &Bundle) -> bool {
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
        let homes: Vec<&&DraftEngine> =
            others.iter().filter(|engine| engine.is_ready(bundle.model())).collect();
        let more = self.demand(bundle).concurrency / (homes.len() + 1) as f64;
        let share = more / homes.len().max(1) as f64;
        all_there && homes.iter().all(|engine| engine.can_take(share))
    }

    /// Finds a bundle on an engine that fits elsewhere and leaves enough room behind.
    fn movable(&self, id: &BackendId, items: &[SizedItem]) -> Option<(&'a Bundle, BackendId)> {
        let engine = self.engines.get(id).filter(|engine| engine.takes_loads)?;
        let lacking = self.need(engine, items).saturating_sub(engine.free);
        let mut candidates: Vec<&'a Bundle> = self
            .input
            .bundles
            .iter()
            .filter(|bundle| engine.is_ready(bundle.model()))
            .filter(|bundle| self.held_size(id, bundle) >= lacking)
            .collect();
        candidates.sort_by_key(|bundle| self.held_size(id, bundle));
        candidates.into_iter().find_map(|bundle| {
            let to = self
                .engines
                .iter()
                .filter(|(other, to)| *other != id && to.takes_loads)
                .find(|(other, to)| !to.keeps(bundle.model()) && self.fits(other, &bundle.items))
                .map(|(other, _)| other.clone())?;
            Some((bundle, to))
        })
    }

    /// Returns the memory on each accelerator that a bundle has on an engine.
    fn held_size(&self, id: &BackendId, bundle: &Bundle) -> Mib {
        let Some(state) = self.input.engines.get(id) else {
            return Mib(0);
        };
        bundle.items.iter().filter_map(|sized| state.ledger.size_of(&sized.item)).sum()
    }

    fn unload_bundle(&mut self, id: &BackendId, bundle: &Bundle, cause: &str) {
        // Adapters go before the model that they stand on.
        for sized in bundle.items.iter().rev() {
            self.unload(id, &sized.item, cause);
        }
    }

    fn unload(&mut self, id: &BackendId, item: &ItemKey, cause: &str) {
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

    /// Adds replicas where an engine is asked for more than it can answer.
    fn replicate(&mut self) {
        self.spread_load();
        let mut high: Vec<BackendId> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && engine.is_high())
            .map(|(id, _)| id.clone())
            .collect();
        high.sort_by(|a, b| self.engines[b].load.total_cmp(&self.engines[a].load));
        for id in high {
            if self.loads >= self.input.max_loads {
                return;
            }
            self.relieve(&id);
        }
    }

    /// Spreads each bundle's demand over the engines that have it.
    fn spread_load(&mut self) {
        for bundle in self.input.bundles {
            let demand = self.demand(bundle).concurrency;
            let homes = self.homes(bundle);
            for id in &homes {
                if let Some(engine) = self.engines.get_mut(id) {
                    engine.load += demand / homes.len() as f64;
                }
            }
        }
    }

    fn homes(&self, bundle: &Bundle) -> Vec<BackendId> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && engine.keeps(bundle.model()))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Puts a replica of the bundle that weighs most on an engine onto another, if that earns
    /// more than it costs.
    fn relieve(&mut self, id: &BackendId) {
        let mut bundles: Vec<&'a Bundle> = self
            .input
            .bundles
            .iter()
            .filter(|bundle| self.engines[id].is_ready(bundle.model()))
            .collect();
        bundles.sort_by(|a, b| self.share(b).total_cmp(&self.share(a)));
        for bundle in bundles.into_iter().take(3) {
            let homes = self.homes(bundle);
            let arriving = homes.iter().any(|home| !self.engines[home].is_ready(bundle.model()));
            // A replica that is on its way is waited for before another is ordered.
            if arriving {
                return;
            }
            let items = self.wanted_items(bundle);
            if self.earns(id, bundle) < self.input.move_cost * items.len() as f64 {
                continue;
            }
            let share = self.demand(bundle).concurrency / (homes.len() + 1) as f64;
            let high = self.engines[id].load;
            if let Some(to) = self.least_loaded(bundle, &items, share, high) {
                self.load(&to, &items, "asked for more than its engines can answer");
                return;
            }
            if self.evict_somewhere(bundle, &items, share, high) {
                return;
            }
        }
    }

    /// Returns how much load a bundle puts on each of its engines.
    fn share(&self, bundle: &Bundle) -> f64 {
        self.demand(bundle).concurrency / self.homes(bundle).len().max(1) as f64
    }

    /// Returns how many more requests would be met within the horizon if the engine were asked
    /// for no more than it can answer.
    fn earns(&self, id: &BackendId, bundle: &Bundle) -> f64 {
        let engine = &self.engines[id];
        let Some(capacity) = engine.capacity else {
            return 0.0;
        };
        let excess = (engine.load - capacity * FILL) / self.share(bundle).max(1e-9);
        let demand = self.demand(bundle);
        let per_home = demand.rate / self.homes(bundle).len().max(1) as f64;
        excess.clamp(0.0, 1.0) * per_home * HORIZON_SECS
    }

    /// Returns the model and those of its adapters that are asked for.
    fn wanted_items(&self, bundle: &Bundle) -> Vec<SizedItem> {
        let all = self.demand(bundle).rate;
        bundle
            .items
            .iter()
            .filter(|sized| {
                let own = self.input.demand.get(&sized.item).copied().unwrap_or_default();
                sized.item.is_model() || own.rate > all * ADAPTER_SHARE
            })
            .cloned()
            .collect()
    }

    /// Returns the engine with the least load that can take a replica.
    fn least_loaded(
        &self,
        bundle: &Bundle,
        items: &[SizedItem],
        share: f64,
        high: f64,
    ) -> Option<BackendId> {
        self.engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && !engine.held.contains_key(bundle.model()))
            .filter(|(id, engine)| engine.can_relieve(share, high) && self.fits(id, items))
            .min_by(|(_, a), (_, b)| a.load.total_cmp(&b.load))
            .map(|(id, _)| id.clone())
    }

    /// Gives up other replicas so that one of `bundle` will fit.
    fn evict_somewhere(
        &mut self,
        bundle: &Bundle,
        items: &[SizedItem],
        share: f64,
        high: f64,
    ) -> bool {
        let mut ids: Vec<BackendId> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && !engine.held.contains_key(bundle.model()))
            .filter(|(_, engine)| engine.can_relieve(share, high))
            .map(|(id, _)| id.clone())
            .collect();
        ids.sort_by(|a, b| self.engines[a].load.total_cmp(&self.engines[b].load));
        ids.iter().any(|id| self.evict_for(id, items))
    }

    /// Unloads what is no longer in the tree, once what replaces it answers.
    fn unload_stale(&mut self) {
        let wanted: HashSet<&ItemKey> = self
            .input
            .bundles
            .iter()
            .flat_map(|bundle| &bundle.items)
            .map(|sized| &sized.item)
            .collect();
        let mut stale: Vec<(BackendId, ItemKey)> = Vec::new();
        for (id, engine) in self.engines.iter().filter(|(_, engine)| engine.usable) {
            let gone = engine.held.iter().filter(|(item, holding)| {
                **holding == Holding::Ready
                    && !wanted.contains(item)
                    && self.replacement_ready(&wanted, item)
            });
            stale.extend(gone.map(|(item, _)| (id.clone(), item.clone())));
        }
        stale.sort();
        // Adapters sort behind their model and go before it.
        for (id, item) in stale.into_iter().rev() {
            self.unload(&id, &item, "no longer in the tree");
        }
    }

    /// Returns whether every wanted version of the same model or adapter answers somewhere.
    fn replacement_ready(&self, wanted: &HashSet<&ItemKey>, old: &ItemKey) -> bool {
        wanted
            .iter()
            .filter(|item| item.model == old.model && item.adapter == old.adapter)
            .all(|item| self.engines.values().any(|engine| engine.is_ready(item)))
    }

    /// Returns the demand for a model and its adapters together.
    fn demand(&self, bundle: &Bundle) -> Demand {
        let items = bundle.items.iter().filter_map(|sized| self.input.demand.get(&sized.item));
        items.fold(Demand::default(), |sum, demand| Demand {
            rate: sum.rate + demand.rate,
            concurrency: sum.concurrency + demand.concurrency,
        })
    }
}

fn total(items: &[SizedItem]) -> Mib {
    items.iter().map(|sized| sized.total).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn item(model: &str, adapter: Option<&str>, version: &str) -> ItemKey {
        ItemKey { model: model.into(), adapter: adapter.map(Into::into), version: version.into() }
    }

    fn bundle(model: &str, version: &str, total: u64) -> Bundle {
        let model_item = SizedItem { item: item(model, None, version), total: Mib(total) };
        let adapter = SizedItem { item: item(model, Some("x"), version), total: Mib(2) };
        Bundle { items: vec![model_item, adapter] }
    }

    fn engines(count: usize, size: u64) -> BTreeMap<BackendId, EngineState> {
        (0..count)
            .map(|index| {
                let state = EngineState {
                    accelerators: 2,
                    ledger: EngineLedger::new(vec![Mib(size); 2], Mib(10)),
                    usable: true,
                    leaving: false,
                    capacity: Some(10.0),
                };
                (BackendId::from(format!("e{index}")), state)
            })
            .collect()
    }

    /// Plans rounds and carries them out at once until there are no more moves.
    fn settle(
        engines: &mut BTreeMap<BackendId, EngineState>,
        bundles: &[Bundle],
        demand: &HashMap<ItemKey, Demand>,
    ) -> Vec<Move> {
        let mut all = Vec::new();
        for _ in 0..20 {
            let input = PlanInput { engines, bundles, demand, move_cost: 10.0, max_loads: 100 };
            let moves = plan(&input);
            if moves.is_empty() {
                return all;
            }
            for planned in &moves {
                let ledger = &mut engines.get_mut(&planned.engine).expect("known").ledger;
                match planned.action {
                    Action::Load => {
                        let (item, size) = (planned.item.clone(), planned.per_accelerator);
                        ledger.reserve(item.clone(), size).expect("there is room");
                        ledger.complete(&item);
                    }
                    Action::Unload => ledger.remove(&planned.item),
                }
            }
            all.extend(moves);
        }
        panic!("the moves do not come to an end: {all:?}");
    }

    fn six() -> Vec<Bundle> {
        (0..6).map(|index| bundle(&format!("m{index}"), "1", 50)).collect()
    }

    fn demand(model: &str, concurrency: f64) -> HashMap<ItemKey, Demand> {
        [(item(model, None, "1"), Demand { rate: concurrency, concurrency })].into()
    }

    #[test]
    fn a_steady_shard_has_no_moves() {
        let mut engines = engines(3, 100);
        assert_eq!(settle(&mut engines, &six(), &HashMap::new()).len(), 12);
        assert_eq!(settle(&mut engines, &six(), &demand("m1", 5.0)), vec![]);
    }

    #[test]
    fn a_lost_engine_moves_only_what_was_lost() {
        let mut engines = engines(4, 100);
        let first = settle(&mut engines, &six(), &HashMap::new());
        let lost = first[0].engine.clone();
        engines.get_mut(&lost).expect("known").usable = false;
        let again = settle(&mut engines, &six(), &HashMap::new());
        let lost_items = first.iter().filter(|planned| planned.engine == lost).count();
        assert_eq!(again.len(), lost_items);
    }

    #[test]
    fn the_hot_get_replicas_until_their_engines_can_answer() {
        let mut engines = engines(4, 100);
        settle(&mut engines, &six(), &HashMap::new());
        let hot = demand("m1", 18.0);
        let moves = settle(&mut engines, &six(), &hot);
        assert!(!moves.is_empty() && moves.iter().all(|planned| planned.item.is_model()));
        assert_eq!(settle(&mut engines, &six(), &hot), vec![], "no move is taken back");
        assert_eq!(settle(&mut engines, &six(), &HashMap::new()), vec![], "nor after a lull");
    }

    #[test]
    fn a_replica_gives_way_to_what_is_on_no_engine() {
        let mut engines = engines(2, 70);
        let mut bundles: Vec<Bundle> = six().into_iter().take(3).collect();
        settle(&mut engines, &bundles, &HashMap::new());
        settle(&mut engines, &bundles, &demand("m0", 18.0));
        bundles.push(bundle("m9", "1", 50));
        settle(&mut engines, &bundles, &demand("m0", 1.0));
        let holders = engines
            .values()
            .filter(|engine| engine.ledger.holding(&item("m9", None, "1")).is_some());
        assert_eq!(holders.count(), 1);
    }

    #[test]
    fn a_new_version_answers_before_the_old_one_goes() {
        let mut engines = engines(3, 100);
        settle(&mut engines, &six(), &HashMap::new());
        let mut bundles = six();
        bundles[0] = bundle("m0", "2", 50);
        let moves = settle(&mut engines, &bundles, &HashMap::new());
        let place = |action: Action| moves.iter().position(|planned| planned.action == action);
        assert!(place(Action::Load) < place(Action::Unload), "{moves:?}");
        assert_eq!(moves.len(), 4);
    }

    #[test]
    fn a_leaving_engine_is_emptied_by_loads_elsewhere() {
        let mut engines = engines(4, 100);
        let first = settle(&mut engines, &six(), &HashMap::new());
        let leaving = first[0].engine.clone();
        engines.get_mut(&leaving).expect("known").leaving = true;
        let moves = settle(&mut engines, &six(), &HashMap::new());
        assert!(moves.iter().all(|m| m.action == Action::Load && m.engine != leaving));
    }
}
