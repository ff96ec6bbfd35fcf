//! The placement of items on the engines of a shard.
//!
//! A model and its adapters form a bundle, which is placed on one engine, or on several if its
//! demand is high. [`pack`] checks whether all bundles fit; [`Planner`] decides on the next
//! moves. Loaded items stay where they are, so that a shard in a steady state has no moves.

mod draft;
pub mod plan;
mod repair;
mod replicate;
mod stale;

use std::cmp::Reverse;

use thiserror::Error;

use crate::ids::{BackendId, ItemKey};
use crate::units::Mib;

pub use plan::{EngineState, Move, PlanInput, PlanMoves, Planner};

/// An item and its total memory size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizedItem {
    /// The item.
    pub item: ItemKey,
    /// The sum of the memory over all accelerators.
    pub total: Mib,
}

/// A model with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// The model, followed by its adapters.
    pub items: Vec<SizedItem>,
}

impl Bundle {
    /// Returns the memory that the bundle uses on each of `accelerators` accelerators.
    pub fn per_accelerator(&self, accelerators: usize) -> Mib {
        self.items.iter().map(|sized| sized.total.split(accelerators)).sum()
    }

    /// Returns the item of the bundle's model.
    pub fn model(&self) -> &ItemKey {
        &self.items[0].item
    }
}

/// The free memory of an engine, as input of [`pack`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// The engine.
    pub engine: BackendId,
    /// The number of accelerators that an item is split across.
    pub accelerators: usize,
    /// The free memory on each accelerator.
    pub free: Mib,
}

/// The error that the bundles do not fit.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{item} needs {wanted} on each accelerator and no engine has more than {largest} left")]
pub struct PackError {
    /// The model of the bundle that could not be placed.
    pub item: ItemKey,
    /// The memory that the bundle needs on each accelerator of the engine with the most free memory.
    pub wanted: Mib,
    /// The largest free memory per accelerator at that point.
    pub largest: Mib,
}

/// Packs `bundles` into `rooms` in order of decreasing size, each on the engine with the most free
/// memory (worst fit).
///
/// Returns the engine for each bundle, in the order of `bundles`. If worst fit fails, all bundles
/// are packed anew by best fit: each on the engine with the least free memory that suffices.
pub fn pack(rooms: &[Room], bundles: &[Bundle]) -> Result<Vec<BackendId>, PackError> {
    pack_by(rooms, bundles, FitRule::WorstFit)
        .or_else(|_| pack_by(rooms, bundles, FitRule::BestFit))
}

/// The rule for choosing among the engines that fit.
#[derive(Clone, Copy)]
enum FitRule {
    /// The engine with the most free memory.
    WorstFit,
    /// The engine with the least free memory that suffices.
    BestFit,
}

fn pack_by(rooms: &[Room], bundles: &[Bundle], rule: FitRule) -> Result<Vec<BackendId>, PackError> {
    let mut rooms = rooms.to_vec();
    let mut order: Vec<usize> = (0..bundles.len()).collect();
    order.sort_by_key(|&index| {
        (Reverse(bundles[index].per_accelerator(1)), bundles[index].model().clone())
    });
    let mut chosen = vec![None; bundles.len()];
    for index in order {
        let engine = choose_room(&mut rooms, &bundles[index], rule)?;
        chosen[index] = Some(engine);
    }
    Ok(chosen.into_iter().flatten().collect())
}

/// Chooses an engine for one bundle and reserves the memory there.
fn choose_room(rooms: &mut [Room], bundle: &Bundle, rule: FitRule) -> Result<BackendId, PackError> {
    let largest = rooms.iter().max_by_key(|room| room.free).cloned();
    let fitting =
        rooms.iter_mut().filter(|room| bundle.per_accelerator(room.accelerators) <= room.free);
    let room = match rule {
        FitRule::WorstFit => fitting.max_by_key(|room| (room.free, Reverse(room.engine.clone()))),
        FitRule::BestFit => fitting.min_by_key(|room| (room.free, room.engine.clone())),
    };
    let Some(room) = room else {
        let accelerators = largest.as_ref().map_or(1, |room| room.accelerators);
        return Err(PackError {
            item: bundle.model().clone(),
            wanted: bundle.per_accelerator(accelerators),
            largest: largest.map(|room| room.free).unwrap_or_default(),
        });
    };
    room.free = room.free - bundle.per_accelerator(room.accelerators);
    Ok(room.engine.clone())
}

#[cfg(test)]
mod tests;
