//! The planner of a shard's next moves.
//!
//! A round first repairs: it loads the items that are missing, those with the highest demand
//! first. Then it adds a replica where engines are overloaded, if the benefit exceeds the cost of
//! the moves. Last, it unloads items that are no longer in the tree. Unneeded replicas stay until
//! their memory is needed, since an unload is a move, too.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::demand::Demand;
use crate::ids::{BackendId, ItemKey};
use crate::ledger::EngineLedger;
use crate::order::Action;
use crate::units::{Mib, Moment};

use super::Bundle;
use super::draft::Draft;

/// The cause of a load that copies a bundle elsewhere, so that it can be unloaded from the engine
/// where its memory is needed.
pub const TO_MAKE_ROOM: &str = "to make room elsewhere";

/// How long a bundle that was moved to make room stays on its new engine.
const MIN_REPLICA_AGE: Duration = Duration::from_secs(120);

/// The planner's view of an engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The number of accelerators that an item is split across.
    pub accelerators: usize,
    /// The items and the memory that are accounted to the engine.
    pub ledger: EngineLedger,
    /// Whether the engine responds.
    pub usable: bool,
    /// Whether the platform is going to remove the engine.
    pub leaving: bool,
    /// How many concurrent requests the engine can serve within the policy's time limits; `None`
    /// until measured.
    pub capacity: Option<f64>,
}

/// A load or unload that the planner wants ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: BackendId,
    /// The action.
    pub action: Action,
    /// The item to load or unload.
    pub item: ItemKey,
    /// The memory on each accelerator.
    pub per_accelerator: Mib,
    /// The reason, as text.
    pub cause: String,
}

/// The input of one planning round.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The engines of the shard.
    pub engines: &'a BTreeMap<BackendId, EngineState>,
    /// The bundles that the tree contains.
    pub bundles: &'a [Bundle],
    /// The demand for each item, summed over all boxes.
    pub demand: &'a HashMap<ItemKey, Demand>,
    /// How many additional requests a move must serve to be worth its cost.
    pub move_cost: f64,
    /// The maximum number of loads in this round.
    pub max_loads: usize,
    /// The current time.
    pub now: Moment,
}

/// Decides on moves. Benchmarks implement this trait for their baselines.
pub trait PlanMoves: Send {
    /// Returns the next moves.
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<Move>;
}

/// The planner. It remembers the loads that it planned to make room, so that such a load is not
/// undone for the sake of another bundle before it was of use.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    recent: Vec<RecentLoad>,
}

/// A recently planned load whose purpose was to make room elsewhere.
#[derive(Clone, Debug)]
pub struct RecentLoad {
    /// The engine.
    pub engine: BackendId,
    /// The item.
    pub item: ItemKey,
    /// When it was planned.
    pub at: Moment,
}

impl PlanMoves for Planner {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<Move> {
        self.recent.retain(|load| input.now.since(load.at) < MIN_REPLICA_AGE);
        let mut draft = Draft::new(input, &self.recent);
        draft.repair();
        draft.replicate();
        draft.unload_stale();
        let moves = draft.into_moves();
        let loads = moves
            .iter()
            .filter(|planned| planned.action == Action::Load && planned.cause == TO_MAKE_ROOM);
        self.recent.extend(loads.map(|planned| RecentLoad {
            engine: planned.engine.clone(),
            item: planned.item.clone(),
            at: input.now,
        }));
        moves
    }
}

#[cfg(test)]
mod tests;
