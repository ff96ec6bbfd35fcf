//! Unloads items that are no longer in the tree.

use std::collections::HashSet;

use crate::ids::{BackendId, ItemKey};
use crate::ledger::Holding;

use super::draft::Draft;

impl Draft<'_> {
    /// Unloads items that are no longer in the tree once their replacement is ready. If memory is
    /// short, another engine with some version of the item is enough.
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
            let unneeded = engine.held.iter().filter(|(item, holding)| {
                **holding == Holding::Ready
                    && !wanted.contains(item)
                    && (self.replacement_ready(&wanted, item)
                        || (self.short_of_room && self.is_ready_elsewhere(id, item)))
            });
            stale.extend(unneeded.map(|(item, _)| (id.clone(), item.clone())));
        }
        stale.sort();
        // Adapters sort after their model, so the reverse order unloads them first.
        for (id, item) in stale.into_iter().rev() {
            self.unload(&id, &item, "no longer in the tree");
        }
    }

    /// Returns whether every wanted version of the same model or adapter is ready on some engine.
    fn replacement_ready(&self, wanted: &HashSet<&ItemKey>, old: &ItemKey) -> bool {
        wanted
            .iter()
            .filter(|item| item.model == old.model && item.adapter == old.adapter)
            .all(|item| self.engines.values().any(|engine| engine.is_ready(item)))
    }

    /// Returns whether the copy on engine `id` can be dropped because another engine has the same
    /// model or adapter ready, in any version. If memory is short, one old copy is enough until
    /// the new version is ready.
    fn is_ready_elsewhere(&self, id: &BackendId, item: &ItemKey) -> bool {
        // Of several engines with a copy, the first one keeps it.
        let retained_on = self.engines.iter().find(|(_, engine)| {
            engine.usable
                && engine.held.iter().any(|(held, holding)| {
                    *holding == Holding::Ready
                        && held.model == item.model
                        && held.adapter == item.adapter
                })
        });
        retained_on.is_some_and(|(retained_on, _)| retained_on != id)
    }
}
