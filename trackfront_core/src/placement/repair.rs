//! Loads the items of the tree that no engine keeps.

use std::cmp::Reverse;

use crate::ids::{BackendId, ItemKey};
use crate::units::Mib;

use super::draft::Draft;
use super::plan::TO_MAKE_ROOM;
use super::{Bundle, SizedItem};

/// A bundle with missing items.
struct Missing<'a> {
    bundle: &'a Bundle,
    /// The missing items.
    items: Vec<SizedItem>,
    /// The engine that has the bundle's model, if any.
    home: Option<BackendId>,
    /// Whether one of the missing items is ready on no usable engine.
    unreachable: bool,
    /// The request rate of the whole bundle.
    demand: f64,
}

impl<'a> Draft<'a> {
    /// Loads the missing items: those that are kept by no engine that accepts loads.
    pub fn repair(&mut self) {
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

    /// Returns, of the engines that keep `item`, the one with the most free memory.
    pub fn home(&self, item: &ItemKey) -> Option<BackendId> {
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
        match self.best_fit(part.bundle) {
            Some(engine) => self.load(&engine, whole, cause),
            None => self.make_room(whole),
        }
    }

    /// Returns the engine with the least free memory that fits a bundle, preferably one with enough
    /// capacity for the bundle's demand. Best fit leaves large free blocks of memory on the
    /// other engines, for later replicas of bundles with high demand.
    fn best_fit(&self, bundle: &Bundle) -> Option<BackendId> {
        let load = self.demand(bundle).concurrency;
        self.engines
            .iter()
            .filter(|(id, engine)| engine.takes_loads && self.fits(id, &bundle.items))
            .min_by_key(|(id, engine)| (!engine.can_take(load), engine.free, (*id).clone()))
            .map(|(id, _)| id.clone())
    }

    /// Makes room at the lowest cost: by evicting replicas, or else by moving a bundle.
    fn make_room(&mut self, items: &[SizedItem]) {
        let ids: Vec<BackendId> = self.engines.keys().cloned().collect();
        if ids.iter().any(|id| self.evict_for(id, items)) {
            return;
        }
        for id in &ids {
            if let Some((bundle, to)) = self.movable(id, items) {
                self.load(&to, &bundle.items, TO_MAKE_ROOM);
                return;
            }
        }
        self.short_of_room = true;
        log::warn!("no engine has room for {} now; the next planning round retries", items[0].item);
    }

    /// Finds a bundle on an engine that fits on another one and frees enough memory for `items`.
    pub fn movable(&self, id: &BackendId, items: &[SizedItem]) -> Option<(&'a Bundle, BackendId)> {
        let engine = self.engines.get(id).filter(|engine| engine.takes_loads)?;
        let shortfall = self.need(engine, items).saturating_sub(engine.free);
        let mut candidates: Vec<&'a Bundle> = self
            .input
            .bundles
            .iter()
            .filter(|bundle| engine.is_ready(bundle.model()))
            .filter(|bundle| self.held_size(id, bundle) >= shortfall)
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
}

fn total(items: &[SizedItem]) -> Mib {
    items.iter().map(|sized| sized.total).sum()
}
