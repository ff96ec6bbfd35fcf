//! Decides on the next moves of a shard.
//!
//! A round repairs first: whatever no engine answers for, the most asked for before the rest.
//! Then it adds a replica where engines are asked for more than they can answer, if that earns
//! more than the moves cost. Last it unloads what left the tree. Replicas that are not needed
//! stay until their room is, since an unload that nobody needs is a move, too.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::demand::Demand;
use crate::ids::{BackendId, ItemKey};
use crate::ledger::EngineLedger;
use crate::order::Action;
use crate::units::{Mib, Moment};

use super::Bundle;
use super::draft::Draft;

/// The cause of a load that lets a bundle go from where its room is needed.
pub const TO_MAKE_ROOM: &str = "to make room elsewhere";

/// How long a bundle that was moved to make room is kept where it went.
const KEEP_REPLICA: Duration = Duration::from_secs(120);

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// How many accelerators an item is spread over.
    pub accelerators: usize,
    /// What is counted there.
    pub ledger: EngineLedger,
    /// Whether the engine answers.
    pub usable: bool,
    /// Whether the platform will take the engine away.
    pub leaving: bool,
    /// How many requests it can have in progress at once within the policy's times; `None`
    /// until that was measured.
    pub capacity: Option<f64>,
}

/// One order that the planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: BackendId,
    /// What to do.
    pub action: Action,
    /// With what.
    pub item: ItemKey,
    /// The memory on each accelerator.
    pub per_accelerator: Mib,
    /// Why.
    pub cause: String,
}

/// Everything that a round of planning looks at.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The engines of the shard.
    pub engines: &'a BTreeMap<BackendId, EngineState>,
    /// What the tree wants.
    pub bundles: &'a [Bundle],
    /// How much each item is asked for, over all boxes.
    pub demand: &'a HashMap<ItemKey, Demand>,
    /// How many more requests a move has to meet to be worth it.
    pub move_cost: f64,
    /// How many loads may be ordered in this round.
    pub max_loads: usize,
    /// The present moment.
    pub now: Moment,
}

/// Decides on moves. Benchmarks put baselines here.
pub trait PlanMoves: Send {
    /// Returns the next moves.
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<Move>;
}

/// The planner. It remembers what it has moved to make room, so that the move is not taken back
/// for another's sake before it was of use.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    recent: Vec<RecentLoad>,
}

/// A load that was planned lately to make room elsewhere.
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
        self.recent.retain(|load| input.now.since(load.at) < KEEP_REPLICA);
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
