//! Adds replicas where engines are overloaded.

use crate::ids::BackendId;

use super::draft::{Draft, TARGET_FRACTION};
use super::plan::TO_MAKE_ROOM;
use super::{Bundle, SizedItem};

/// The fraction of an engine's capacity above which it counts as overloaded.
const OVERLOAD_FRACTION: f64 = 0.85;

/// The time in which a replica must serve enough requests to be worth the cost of its moves.
const PAYBACK_SECS: f64 = 120.0;

/// The fraction of a bundle's request rate above which an adapter is loaded with a new replica.
const MIN_ADAPTER_FRACTION: f64 = 0.02;

/// The maximum number of bundles considered in a round, those with the most excess load first.
const MAX_CANDIDATES: usize = 8;

/// The way in which a replica gets its memory.
enum RoomSource<'a> {
    /// The memory is free.
    Free,
    /// Other replicas are evicted.
    Evict,
    /// A bundle is moved to another engine.
    Relocate(&'a Bundle, BackendId),
}

/// A replica whose benefit exceeds its cost.
struct ReplicaCandidate<'a> {
    bundle: &'a Bundle,
    to: BackendId,
    items: Vec<SizedItem>,
    room: RoomSource<'a>,
    /// The additional requests served within [`PAYBACK_SECS`], less the cost of the moves.
    value: f64,
}

impl<'a> Draft<'a> {
    /// Adds the most valuable replica. The next round evaluates its effect.
    pub fn replicate(&mut self) {
        if self.loads >= self.input.max_loads || self.has_arriving_replica() {
            return;
        }
        let Some(choice) = self.best_candidate() else {
            return;
        };
        match choice.room {
            RoomSource::Free => {
                self.load(&choice.to, &choice.items, "asked for more than its engines can answer");
            }
            RoomSource::Evict => {
                self.evict_for(&choice.to, &choice.items);
            }
            RoomSource::Relocate(bundle, to) => {
                log::debug!("{} makes room for {}", bundle.model(), choice.bundle.model());
                self.load(&to, &bundle.items, TO_MAKE_ROOM);
            }
        }
    }

    /// Returns whether another replica is still being loaded. No further one is added meanwhile.
    fn has_arriving_replica(&self) -> bool {
        self.input.bundles.iter().any(|bundle| {
            let homes = self.homes(bundle);
            homes.len() > 1 && homes.iter().any(|id| !self.engines[id].is_ready(bundle.model()))
        })
    }

    fn best_candidate(&self) -> Option<ReplicaCandidate<'a>> {
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
            .flat_map(|(bundle, excess)| self.replica_candidates(bundle, excess))
            .max_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// Returns the excess load of a bundle's overloaded engines, at most the bundle's own demand.
    fn excess(&self, bundle: &Bundle) -> f64 {
        let over: f64 = self
            .homes(bundle)
            .iter()
            .filter_map(|id| {
                let engine = &self.engines[id];
                let capacity = engine.capacity?;
                (engine.load > capacity * OVERLOAD_FRACTION)
                    .then_some(engine.load - capacity * TARGET_FRACTION)
            })
            .sum();
        over.min(self.demand(bundle).concurrency)
    }

    /// Returns the replicas of a bundle whose benefit exceeds their cost.
    fn replica_candidates(&self, bundle: &'a Bundle, excess: f64) -> Vec<ReplicaCandidate<'a>> {
        let items = self.wanted_items(bundle);
        let demand = self.demand(bundle);
        let served_per_slot = demand.rate / demand.concurrency.max(1e-9) * PAYBACK_SECS;
        let targets = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.takes_loads && !engine.held.contains_key(bundle.model()));
        targets
            .filter_map(|(id, engine)| {
                let capacity = engine.capacity.or_else(|| self.mean_capacity())?;
                let spare = (capacity * TARGET_FRACTION - engine.load).min(excess);
                let (room, moves) = self.find_room(id, &items)?;
                let cost = moves as f64 * self.input.move_cost;
                let value = spare * served_per_slot - cost;
                let (to, items) = (id.clone(), items.clone());
                (value > 0.0).then_some(ReplicaCandidate { bundle, to, items, room, value })
            })
            .collect()
    }

    /// Returns the mean of the engines' measured capacities.
    fn mean_capacity(&self) -> Option<f64> {
        let known: Vec<f64> = self.engines.values().filter_map(|engine| engine.capacity).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Finds room for `items` on an engine. Returns its source and the total number of moves, which
    /// includes the loads of `items`.
    fn find_room(&self, id: &BackendId, items: &[SizedItem]) -> Option<(RoomSource<'a>, usize)> {
        if self.fits(id, items) {
            return Some((RoomSource::Free, items.len()));
        }
        if let Some(evicted) = self.evictable(id, items) {
            let count: usize = evicted.iter().map(|bundle| bundle.items.len()).sum();
            return Some((RoomSource::Evict, items.len() + count));
        }
        let (bundle, to) = self.movable(id, items)?;
        Some((RoomSource::Relocate(bundle, to), items.len() + 2 * bundle.items.len()))
    }

    /// Returns the model and those of its adapters that have enough demand.
    fn wanted_items(&self, bundle: &Bundle) -> Vec<SizedItem> {
        let bundle_rate = self.demand(bundle).rate;
        bundle
            .items
            .iter()
            .filter(|sized| {
                let own = self.input.demand.get(&sized.item).copied().unwrap_or_default();
                sized.item.is_model() || own.rate > bundle_rate * MIN_ADAPTER_FRACTION
            })
            .cloned()
            .collect()
    }
}
