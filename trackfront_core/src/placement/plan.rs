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
mod tests {
    use super::*;
    use crate::placement::SizedItem;

    fn item(model: &str, adapter: Option<&str>, version: &str) -> ItemKey {
        ItemKey { model: model.into(), adapter: adapter.map(Into::into), version: version.into() }
    }

    fn bundle(model: &str, version: &str, total: u64) -> Bundle {
        let model_item = SizedItem { item: item(model, None, version), total: Mib(total) };
        let adapter = SizedItem { item: item(model, Some("x"), version), total: Mib(2) };
        Bundle { items: vec![model_item, adapter] }
    }

    fn engines(count: usize, size: u64) -> BTreeMap<BackendId, EngineState> {
        (0..count)
            .map(|index| {
                let state = EngineState {
                    accelerators: 2,
                    ledger: EngineLedger::new(vec![Mib(size); 2], Mib(10)),
                    usable: true,
                    leaving: false,
                    capacity: Some(10.0),
                };
                (BackendId::from(format!("e{index}")), state)
            })
            .collect()
    }

    /// Plans rounds and carries them out at once until there are no more moves.
    fn settle(
        engines: &mut BTreeMap<BackendId, EngineState>,
        bundles: &[Bundle],
        demand: &HashMap<ItemKey, Demand>,
    ) -> Vec<Move> {
        let mut all = Vec::new();
        let mut planner = Planner::default();
        for _ in 0..20 {
            let now = Moment::default();
            let input =
                PlanInput { engines, bundles, demand, move_cost: 10.0, max_loads: 100, now };
            let moves = planner.plan(&input);
            if moves.is_empty() {
                return all;
            }
            for planned in &moves {
                let ledger = &mut engines.get_mut(&planned.engine).expect("known").ledger;
                match planned.action {
                    Action::Load => {
                        let (item, size) = (planned.item.clone(), planned.per_accelerator);
                        ledger.reserve(item.clone(), size).expect("there is room");
                        ledger.report_ready(&item);
                    }
                    Action::Unload => ledger.remove(&planned.item),
                }
            }
            all.extend(moves);
        }
        panic!("the moves do not come to an end: {all:?}");
    }

    fn six() -> Vec<Bundle> {
        (0..6).map(|index| bundle(&format!("m{index}"), "1", 50)).collect()
    }

    fn demand(model: &str, concurrency: f64) -> HashMap<ItemKey, Demand> {
        [(item(model, None, "1"), Demand { rate: concurrency, concurrency })].into()
    }

    #[test]
    fn a_steady_shard_has_no_moves() {
        let mut engines = engines(3, 100);
        assert_eq!(settle(&mut engines, &six(), &HashMap::new()).len(), 12);
        assert_eq!(settle(&mut engines, &six(), &demand("m1", 5.0)), vec![]);
    }

    #[test]
    fn a_lost_engine_moves_only_what_was_lost() {
        let mut engines = engines(4, 100);
        let first = settle(&mut engines, &six(), &HashMap::new());
        let lost = first[0].engine.clone();
        engines.get_mut(&lost).expect("known").usable = false;
        let again = settle(&mut engines, &six(), &HashMap::new());
        let lost_items = first.iter().filter(|planned| planned.engine == lost).count();
        assert_eq!(again.len(), lost_items);
    }

    #[test]
    fn the_hot_get_replicas_until_their_engines_can_answer() {
        let mut engines = engines(4, 100);
        settle(&mut engines, &six(), &HashMap::new());
        let hot = demand("m1", 18.0);
        let moves = settle(&mut engines, &six(), &hot);
        assert!(!moves.is_empty() && moves.iter().all(|planned| planned.item.is_model()));
        assert_eq!(settle(&mut engines, &six(), &hot), vec![], "no move is taken back");
        assert_eq!(settle(&mut engines, &six(), &HashMap::new()), vec![], "nor after a lull");
    }

    #[test]
    fn a_replica_gives_way_to_what_is_on_no_engine() {
        let mut engines = engines(2, 70);
        let mut bundles: Vec<Bundle> = six().into_iter().take(3).collect();
        settle(&mut engines, &bundles, &HashMap::new());
        settle(&mut engines, &bundles, &demand("m0", 18.0));
        bundles.push(bundle("m9", "1", 50));
        settle(&mut engines, &bundles, &demand("m0", 1.0));
        let holders = engines
            .values()
            .filter(|engine| engine.ledger.holding(&item("m9", None, "1")).is_some());
        assert_eq!(holders.count(), 1);
    }

    #[test]
    fn a_new_version_answers_before_the_old_one_goes() {
        let mut engines = engines(3, 100);
        settle(&mut engines, &six(), &HashMap::new());
        let mut bundles = six();
        bundles[0] = bundle("m0", "2", 50);
        let moves = settle(&mut engines, &bundles, &HashMap::new());
        let place = |action: Action| moves.iter().position(|planned| planned.action == action);
        assert!(place(Action::Load) < place(Action::Unload), "{moves:?}");
        assert_eq!(moves.len(), 4);
    }

    #[test]
    fn a_leaving_engine_is_emptied_by_loads_elsewhere() {
        let mut engines = engines(4, 100);
        let first = settle(&mut engines, &six(), &HashMap::new());
        let leaving = first[0].engine.clone();
        engines.get_mut(&leaving).expect("known").leaving = true;
        let moves = settle(&mut engines, &six(), &HashMap::new());
        assert!(moves.iter().all(|m| m.action == Action::Load && m.engine != leaving));
    }
}
