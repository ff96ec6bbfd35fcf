//! Unloads what is no longer in the tree.

use std::collections::HashSet;

use crate::ids::{BackendId, ItemKey};
use crate::ledger::Holding;

use super::draft::Draft;

impl Draft<'_> {
    /// Unloads what is no longer in the tree, once what replaces it answers.
    pub fn unload_stale(&mut self) {
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
                    && (self.replacement_ready(&wanted, item)
                        || (self.short_of_room && self.answers_elsewhere(id, item)))
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

    /// Returns whether another engine answers for the same model or adapter, in any version. Where
    /// room is short, one old copy is enough until the new version is there.
    fn answers_elsewhere(&self, id: &BackendId, item: &ItemKey) -> bool {
        // Of several engines with an old copy, the first keeps it.
        let keeper = self.engines.iter().find(|(_, engine)| {
            engine.usable
                && engine.held.iter().any(|(held, holding)| {
                    *holding == Holding::Ready
                        && held.model == item.model
                        && held.adapter == item.adapter
                })
        });
        keeper.is_some_and(|(keeper, _)| keeper != id)
    }
}
