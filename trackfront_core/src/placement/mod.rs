//! Which items go on which engine of a shard.
//!
//! A model and its adapters form a bundle that is placed on one engine, or on several where it
//! is asked for a lot. [`pack`] tells whether all bundles fit; [`Planner`] decides on
//! the next moves. What is held stays where it is, so that a steady shard has no moves.

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

/// An item and the memory that it takes in all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizedItem {
    /// The item.
    pub item: ItemKey,
    /// The memory over all accelerators together.
    pub total: Mib,
}

/// A model with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// The model first, then its adapters.
    pub items: Vec<SizedItem>,
}

impl Bundle {
    /// Returns the memory that the bundle takes on each of `accelerators` accelerators.
    pub fn per_accelerator(&self, accelerators: usize) -> Mib {
        self.items.iter().map(|sized| sized.total.split(accelerators)).sum()
    }

    /// Returns the model's own item.
    pub fn model(&self) -> &ItemKey {
        &self.items[0].item
    }
}

/// The free room of an engine, for packing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// The engine.
    pub engine: BackendId,
    /// How many accelerators an item is spread over.
    pub accelerators: usize,
    /// What is free on each accelerator.
    pub free: Mib,
}

/// The bundles do not fit.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{item} needs {wanted} on each accelerator and no engine has more than {largest} left")]
pub struct PackError {
    /// The model of the bundle that found no place.
    pub item: ItemKey,
    /// What it needs on each accelerator of the roomiest engine.
    pub wanted: Mib,
    /// The largest free room at that point.
    pub largest: Mib,
}

/// Packs `bundles` into `rooms`, the largest first, each on the engine with the most room.
///
/// Returns the engine for each bundle, in the order given. Where spreading does not fit, the
/// tightest engine that fits is tried for all.
pub fn pack(rooms: &[Room], bundles: &[Bundle]) -> Result<Vec<BackendId>, PackError> {
    pack_by(rooms, bundles, Choice::MostRoom).or_else(|_| pack_by(rooms, bundles, Choice::Tightest))
}

/// Which of the engines that fit is taken.
#[derive(Clone, Copy)]
enum Choice {
    MostRoom,
    Tightest,
}

fn pack_by(
    rooms: &[Room],
    bundles: &[Bundle],
    choice: Choice,
) -> Result<Vec<BackendId>, PackError> {
    let mut rooms = rooms.to_vec();
    let mut order: Vec<usize> = (0..bundles.len()).collect();
    order.sort_by_key(|&index| {
        (Reverse(bundles[index].per_accelerator(1)), bundles[index].model().clone())
    });
    let mut chosen = vec![None; bundles.len()];
    for index in order {
        let engine = choose_room(&mut rooms, &bundles[index], choice)?;
        chosen[index] = Some(engine);
    }
    Ok(chosen.into_iter().flatten().collect())
}

/// Takes the room for one bundle.
fn choose_room(
    rooms: &mut [Room],
    bundle: &Bundle,
    choice: Choice,
) -> Result<BackendId, PackError> {
    let largest = rooms.iter().max_by_key(|room| room.free).cloned();
    let fitting =
        rooms.iter_mut().filter(|room| bundle.per_accelerator(room.accelerators) <= room.free);
    let room = match choice {
        Choice::MostRoom => fitting.max_by_key(|room| (room.free, Reverse(room.engine.clone()))),
        Choice::Tightest => fitting.min_by_key(|room| (room.free, room.engine.clone())),
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
