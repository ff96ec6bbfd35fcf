//! The memory accounting of one engine's accelerators.
//!
//! Memory counts as used from the moment that an order may use it until the engine's own report
//! shows that it is free. The sum is asserted at every reservation.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::ids::ItemKey;
use crate::order::{Action, Intent};
use crate::ports::{LoadReport, ReportedState};
use crate::units::Mib;

/// Why a reservation is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// There is not enough memory.
    #[error("{wanted} is more than the {free} left on an accelerator; choose another engine")]
    NoRoom {
        /// The memory requested on each accelerator.
        wanted: Mib,
        /// The free memory of the smallest accelerator.
        free: Mib,
    },
    /// The item is already held.
    #[error("{0} is already counted on this engine; order something else")]
    AlreadyHeld(ItemKey),
}

/// The state of an item in the memory of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// It is loading, or an order to load it may have arrived.
    Loading,
    /// It is ready for requests.
    Ready,
    /// It is unloading, or an order to unload it may have arrived. Its memory still counts.
    Unloading,
}

#[derive(Clone, Debug)]
struct Entry {
    per_accelerator: Mib,
    holding: Holding,
    /// Whether an order of this system for the item is unresolved.
    has_open_order: bool,
}

/// The memory of one engine, as counted by the owner of its shard.
#[derive(Clone, Debug)]
pub struct EngineLedger {
    accelerators: Vec<Mib>,
    kv_floor: Mib,
    entries: BTreeMap<ItemKey, Entry>,
}

impl EngineLedger {
    /// Creates an empty ledger for accelerators of these sizes, each of which reserves `kv_floor`
    /// for the KV cache.
    pub fn new(accelerators: Vec<Mib>, kv_floor: Mib) -> Self {
        Self { accelerators, kv_floor, entries: BTreeMap::new() }
    }

    /// Returns the used memory of each accelerator, including the KV floor. Items are spread evenly
    /// over all accelerators of an engine.
    pub fn used(&self) -> Mib {
        self.kv_floor + self.entries.values().map(|entry| entry.per_accelerator).sum()
    }

    /// Returns the free memory of the smallest accelerator.
    pub fn free(&self) -> Mib {
        self.smallest().saturating_sub(self.used())
    }

    /// Returns the state of `item`; `None` if it is not held.
    pub fn holding(&self, item: &ItemKey) -> Option<Holding> {
        self.entries.get(item).map(|entry| entry.holding)
    }

    /// Returns all items with their states, in item order.
    pub fn items(&self) -> impl Iterator<Item = (&ItemKey, Holding)> {
        self.entries.iter().map(|(item, entry)| (item, entry.holding))
    }

    /// Returns the memory of `item` on each accelerator.
    pub fn size_of(&self, item: &ItemKey) -> Option<Mib> {
        self.entries.get(item).map(|entry| entry.per_accelerator)
    }

    /// Reserves memory for an order that loads `item`.
    pub fn reserve(&mut self, item: ItemKey, per_accelerator: Mib) -> Result<(), LedgerError> {
        if self.entries.contains_key(&item) {
            return Err(LedgerError::AlreadyHeld(item));
        }
        if per_accelerator > self.free() {
            return Err(LedgerError::NoRoom { wanted: per_accelerator, free: self.free() });
        }
        let entry = Entry { per_accelerator, holding: Holding::Loading, has_open_order: true };
        self.entries.insert(item, entry);
        self.assert_within_size();
        Ok(())
    }

    /// Marks `item` as unloading. Its memory counts until a report shows that it is gone.
    pub fn mark_unloading(&mut self, item: &ItemKey) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.holding = Holding::Unloading;
            entry.has_open_order = true;
        }
    }

    /// Counts an intent from the table, written by this owner or an earlier one.
    ///
    /// The intent did not exceed the size when it was written. Its memory is either in the entries
    /// already or was free then.
    pub fn count_intent(&mut self, intent: &Intent) {
        match intent.order.action {
            Action::Load => {
                let entry = Entry {
                    per_accelerator: intent.order.per_accelerator,
                    holding: Holding::Loading,
                    has_open_order: true,
                };
                self.entries.entry(intent.order.item.clone()).or_insert(entry).has_open_order =
                    true;
            }
            Action::Unload => self.mark_unloading(&intent.order.item),
        }
    }

    /// Records that the order for `item` is resolved, so only the next report decides its state.
    pub fn settle(&mut self, item: &ItemKey) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.has_open_order = false;
        }
    }

    /// Applies the engine's own report. Items that are not in it are free, except for those with an
    /// unresolved order.
    pub fn apply_report(&mut self, report: &LoadReport) {
        self.entries.retain(|item, entry| {
            entry.has_open_order || report.items.iter().any(|reported| reported.item == *item)
        });
        for reported in &report.items {
            let entry = self.entries.entry(reported.item.clone()).or_insert(Entry {
                per_accelerator: reported.per_accelerator,
                holding: Holding::Loading,
                has_open_order: false,
            });
            entry.per_accelerator = entry.per_accelerator.max(reported.per_accelerator);
            entry.holding = match (reported.state, entry.holding, entry.has_open_order) {
                // An older report does not revert an unload.
                (ReportedState::Ready, Holding::Unloading, true) => Holding::Unloading,
                (ReportedState::Ready, ..) => Holding::Ready,
                (ReportedState::Loading, ..) => Holding::Loading,
                (ReportedState::Unloading, ..) => Holding::Unloading,
            };
        }
        if self.used() > self.smallest() {
            log::warn!(
                "an engine reports more memory in use than the tree gives it: {} of {}; correct \
                 `accelerator_mib` or the sizes in the tree; nothing more is loaded there",
                self.used(),
                self.smallest()
            );
        }
    }

    /// Marks `item` as ready and its order as resolved, as a report would.
    pub fn mark_ready(&mut self, item: &ItemKey) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.holding = Holding::Ready;
            entry.has_open_order = false;
        }
    }

    /// Removes `item`, for tests in which moves take no time.
    #[cfg(test)]
    pub fn remove(&mut self, item: &ItemKey) {
        self.entries.remove(item);
    }

    /// Returns the size of the smallest accelerator.
    fn smallest(&self) -> Mib {
        self.accelerators.iter().copied().min().unwrap_or_default()
    }

    /// Asserts that orders of this system do not exceed the size.
    fn assert_within_size(&self) {
        assert!(
            self.used() <= self.smallest(),
            "accelerator memory is never overcommitted: {} of {}",
            self.used(),
            self.smallest()
        );
    }
}

#[cfg(test)]
mod tests;
