//! What is counted on each accelerator of one engine.
//!
//! Memory counts from the moment an order may take it until the engine's own report proves it
//! free. The sum is asserted at every change.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::ids::ItemKey;
use crate::order::{Action, Intent};
use crate::ports::{LoadReport, ReportedState};
use crate::units::Mib;

/// Why the ledger refuses a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// There is not enough memory.
    #[error("{wanted} is more than the {free} left on an accelerator; choose another engine")]
    NoRoom {
        /// What was wanted on each accelerator.
        wanted: Mib,
        /// What is free on the fullest accelerator.
        free: Mib,
    },
    /// The item is already counted here.
    #[error("{0} is already counted on this engine; order something else")]
    AlreadyHeld(ItemKey),
}

/// How an item is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// An order may be loading it, or it is loading.
    Arriving,
    /// It answers requests.
    Ready,
    /// An order may be unloading it, or it is going; the memory still counts.
    Going,
}

#[derive(Clone, Debug)]
struct Entry {
    per_accelerator: Mib,
    holding: Holding,
    /// Whether an unresolved order of ours stands behind the entry.
    ordered: bool,
}

/// The memory of one engine, as one owner counts it.
#[derive(Clone, Debug)]
pub struct EngineLedger {
    accelerators: Vec<Mib>,
    kv_floor: Mib,
    entries: BTreeMap<ItemKey, Entry>,
}

impl EngineLedger {
    /// Starts an empty ledger for accelerators of these sizes, each of which keeps `kv_floor`
    /// for the KV cache.
    pub fn new(accelerators: Vec<Mib>, kv_floor: Mib) -> Self {
        Self { accelerators, kv_floor, entries: BTreeMap::new() }
    }

    /// Returns what is counted on each accelerator, the KV floor included. Items are spread
    /// evenly over all accelerators of an engine, so that one figure serves for all.
    pub fn used(&self) -> Mib {
        self.kv_floor + self.entries.values().map(|entry| entry.per_accelerator).sum()
    }

    /// Returns what is free on the smallest accelerator.
    pub fn free(&self) -> Mib {
        self.smallest().saturating_sub(self.used())
    }

    /// Returns how `item` is held here.
    pub fn holding(&self, item: &ItemKey) -> Option<Holding> {
        self.entries.get(item).map(|entry| entry.holding)
    }

    /// Returns all items and how they are held, in item order.
    pub fn items(&self) -> impl Iterator<Item = (&ItemKey, Holding)> {
        self.entries.iter().map(|(item, entry)| (item, entry.holding))
    }

    /// Returns the memory counted for `item` on each accelerator.
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
        let entry = Entry { per_accelerator, holding: Holding::Arriving, ordered: true };
        self.entries.insert(item, entry);
        self.assert_within_size();
        Ok(())
    }

    /// Marks `item` as going; its memory counts until a report proves it gone.
    pub fn mark_going(&mut self, item: &ItemKey) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.holding = Holding::Going;
            entry.ordered = true;
        }
    }

    /// Counts an intent found in the table, as the former owner's or this box's own.
    ///
    /// The intent was within the size when it was written, and its memory is either in the
    /// entries already or was free then.
    pub fn count_intent(&mut self, intent: &Intent) {
        match intent.order.action {
            Action::Load => {
                let entry = Entry {
                    per_accelerator: intent.order.per_accelerator,
                    holding: Holding::Arriving,
                    ordered: true,
                };
                self.entries.entry(intent.order.item.clone()).or_insert(entry).ordered = true;
            }
            Action::Unload => self.mark_going(&intent.order.item),
        }
    }

    /// Settles the order behind `item`: the next report alone decides what is held.
    pub fn settle(&mut self, item: &ItemKey) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.ordered = false;
        }
    }

    /// Takes in the engine's own report: what it shows counts, and what it no longer shows is
    /// free unless an unresolved order stands behind it.
    pub fn observe(&mut self, report: &LoadReport) {
        self.entries.retain(|item, entry| {
            entry.ordered || report.items.iter().any(|reported| reported.item == *item)
        });
        for reported in &report.items {
            let entry = self.entries.entry(reported.item.clone()).or_insert(Entry {
                per_accelerator: reported.per_accelerator,
                holding: Holding::Arriving,
                ordered: false,
            });
            entry.per_accelerator = entry.per_accelerator.max(reported.per_accelerator);
            entry.holding = match (reported.state, entry.holding, entry.ordered) {
                // An unload that is under way is not undone by an older report.
                (ReportedState::Ready, Holding::Going, true) => Holding::Going,
                (ReportedState::Ready, ..) => Holding::Ready,
                (ReportedState::Loading, ..) => Holding::Arriving,
                (ReportedState::Unloading, ..) => Holding::Going,
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

    /// Notes that `item` answers and that the order behind it is settled, as a report would.
    pub fn report_ready(&mut self, item: &ItemKey) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.holding = Holding::Ready;
            entry.ordered = false;
        }
    }

    /// Notes that `item` is gone, for tests that carry moves out at once.
    #[cfg(test)]
    pub fn remove(&mut self, item: &ItemKey) {
        self.entries.remove(item);
    }

    /// Returns the size of the smallest accelerator.
    fn smallest(&self) -> Mib {
        self.accelerators.iter().copied().min().unwrap_or_default()
    }

    /// Asserts that nothing of ours goes over the size.
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
