//! Adds replicas where engines are asked for more than they can answer.

use crate::ids::BackendId;

use super::draft::{Draft, FILL};
use super::plan::TO_MAKE_ROOM;
use super::{Bundle, SizedItem};

/// The share of an engine's capacity above which it is asked for too much.
const HIGH: f64 = 0.85;

/// The seconds over which a replica has to earn what its moves cost.
const HORIZON_SECS: f64 = 120.0;

/// The share of a model's demand from which an adapter goes along with a further replica.
const ADAPTER_SHARE: f64 = 0.02;

/// How many bundles are looked at in a round, those that are asked for too much the most first.
const MAX_CANDIDATES: usize = 8;

/// How room for a replica is found.
enum Room<'a> {
    /// It is there.
    Free,
    /// By giving up other replicas.
    Evict,
    /// By moving a bundle to another engine.
    Relocate(&'a Bundle, BackendId),
}

/// A replica that would earn more than it costs.
struct Choice<'a> {
    bundle: &'a Bundle,
    to: BackendId,
    items: Vec<SizedItem>,
    room: Room<'a>,
    value: f64,
}

impl<'a> Draft<'a> {
    /// Adds the replica that is worth the most. The next round sees what it has brought.
    pub fn replicate(&mut self) {
        if self.loads >= self.input.max_loads || self.has_arriving_replica() {
            return;
        }
        let Some(choice) = self.best_choice() else {
            return;
        };
        match choice.room {
            Room::Free => {
                self.load(&choice.to, &choice.items, "asked for more than its engines can answer");
            }
            Room::Evict => {
                self.evict_for(&choice.to, &choice.items);
            }
            Room::Relocate(bundle, to) => {
                log::debug!("{} makes room for {}", bundle.model(), choice.bundle.model());
                self.load(&to, &bundle.items, TO_MAKE_ROOM);
            }
        }
    }

    /// Returns whether a further replica is on its way, which is waited for.
    fn has_arriving_replica(&self) -> bool {
        self.input.bundles.iter().any(|bundle| {
            let homes = self.homes(bundle);
            homes.len() > 1 && homes.iter().any(|id| !self.engines[id].is_ready(bundle.model()))
        })
    }

    fn best_choice(&self) -> Option<Choice<'a>> {
        let mut candidates: Vec<(&'a Bundle, f64)> = self
            .input
            .bundles
            .iter()
            .map(|bundle| (bundle, self.excess(bundle)))
            .filter(|(_, excess)| *excess > 0.0)
            .collect();
        candidates.sort_by(|a, b| b.1.total_cmp(&a.1));
        candidates
            .into_iter()
            .take(MAX_CANDIDATES)
            .flat_map(|(bundle, excess)| self.choices(bundle, excess))
            .max_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// Returns by how much the engines of a bundle are asked for too much, at most what the
    /// bundle itself is asked for.
    fn excess(&self, bundle: &Bundle) -> f64 {
        let over: f64 = self
            .homes(bundle)
            .iter()
            .filter_map(|id| {
                let engine = &self.engines[id];
                let capacity = engine.capacity?;
                (engine.load > capacity * HIGH).then_some(engine.load - capacity * FILL)
            })
            .sum();
        over.min(self.demand(bundle).concurrency)
    }

    /// Returns the replicas of a bundle that would earn more than they cost.
    fn choices(&self, bundle: &'a Bundle, excess: f64) -> Vec<Choice<'a>> {
        let items = self.wanted_items(bundle);
        let demand = self.demand(bundle);
        let met_per_load = demand.rate / demand.concurrency.max(1e-9) * HORIZON_SECS;
        let targets = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && !engine.held.contains_key(bundle.model()));
        targets
            .filter_map(|(id, engine)| {
                let capacity = engine.capacity.or_else(|| self.usual_capacity())?;
                let spare = (capacity * FILL - engine.load).min(excess);
                let (room, moves) = self.find_room(id, &items)?;
                let cost = moves as f64 * self.input.move_cost;
                let value = spare * met_per_load - cost;
                let (to, items) = (id.clone(), items.clone());
                (value > 0.0).then_some(Choice { bundle, to, items, room, value })
            })
            .collect()
    }

    /// Returns the mean capacity of the engines for which it was measured.
    fn usual_capacity(&self) -> Option<f64> {
        let known: Vec<f64> = self.engines.values().filter_map(|engine| engine.capacity).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Finds room for `items` on an engine, and returns how many moves that takes in all.
    fn find_room(&self, id: &BackendId, items: &[SizedItem]) -> Option<(Room<'a>, usize)> {
        if self.fits(id, items) {
            return Some((Room::Free, items.len()));
        }
        if let Some(given_up) = self.evictable(id, items) {
            let count: usize = given_up.iter().map(|bundle| bundle.items.len()).sum();
            return Some((Room::Evict, items.len() + count));
        }
        let (bundle, to) = self.movable(id, items)?;
        Some((Room::Relocate(bundle, to), items.len() + 2 * bundle.items.len()))
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
}
