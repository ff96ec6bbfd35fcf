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

/// Plans rounds and executes their moves immediately until no moves are left. Returns all moves.
fn settle(
    engines: &mut BTreeMap<BackendId, EngineState>,
    bundles: &[Bundle],
    demand: &HashMap<ItemKey, Demand>,
) -> Vec<Move> {
    let mut all = Vec::new();
    let mut planner = Planner::default();
    for _ in 0..20 {
        let now = Moment::default();
        let input = PlanInput { engines, bundles, demand, move_cost: 10.0, max_loads: 100, now };
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
                    ledger.mark_ready(&item);
                }
                Action::Unload => ledger.remove(&planned.item),
            }
        }
        all.extend(moves);
    }
    panic!("the moves do not come to an end: {all:?}");
}

fn six_bundles() -> Vec<Bundle> {
    (0..6).map(|index| bundle(&format!("m{index}"), "1", 50)).collect()
}

fn demand(model: &str, concurrency: f64) -> HashMap<ItemKey, Demand> {
    [(item(model, None, "1"), Demand { rate: concurrency, concurrency })].into()
}

#[test]
fn steady_shard_has_no_moves() {
    let mut engines = engines(3, 100);
    assert_eq!(settle(&mut engines, &six_bundles(), &HashMap::new()).len(), 12);
    assert_eq!(settle(&mut engines, &six_bundles(), &demand("m1", 5.0)), vec![]);
}

#[test]
fn engine_loss_reloads_only_lost_items() {
    let mut engines = engines(4, 100);
    let first = settle(&mut engines, &six_bundles(), &HashMap::new());
    let lost = first[0].engine.clone();
    engines.get_mut(&lost).expect("known").usable = false;
    let again = settle(&mut engines, &six_bundles(), &HashMap::new());
    let lost_items = first.iter().filter(|planned| planned.engine == lost).count();
    assert_eq!(again.len(), lost_items);
}

#[test]
fn overloaded_model_gets_replicas_until_capacity_suffices() {
    let mut engines = engines(4, 100);
    settle(&mut engines, &six_bundles(), &HashMap::new());
    let hot = demand("m1", 18.0);
    let moves = settle(&mut engines, &six_bundles(), &hot);
    assert!(!moves.is_empty() && moves.iter().all(|planned| planned.item.is_model()));
    assert_eq!(settle(&mut engines, &six_bundles(), &hot), vec![], "no move is taken back");
    assert_eq!(settle(&mut engines, &six_bundles(), &HashMap::new()), vec![], "nor after a lull");
}

#[test]
fn replica_is_evicted_for_missing_bundle() {
    let mut engines = engines(2, 70);
    let mut bundles: Vec<Bundle> = six_bundles().into_iter().take(3).collect();
    settle(&mut engines, &bundles, &HashMap::new());
    settle(&mut engines, &bundles, &demand("m0", 18.0));
    bundles.push(bundle("m9", "1", 50));
    settle(&mut engines, &bundles, &demand("m0", 1.0));
    let holders =
        engines.values().filter(|engine| engine.ledger.holding(&item("m9", None, "1")).is_some());
    assert_eq!(holders.count(), 1);
}

#[test]
fn new_version_loads_before_old_one_unloads() {
    let mut engines = engines(3, 100);
    settle(&mut engines, &six_bundles(), &HashMap::new());
    let mut bundles = six_bundles();
    bundles[0] = bundle("m0", "2", 50);
    let moves = settle(&mut engines, &bundles, &HashMap::new());
    let position = |action: Action| moves.iter().position(|planned| planned.action == action);
    assert!(position(Action::Load) < position(Action::Unload), "{moves:?}");
    assert_eq!(moves.len(), 4);
}

#[test]
fn items_of_leaving_engine_are_loaded_elsewhere() {
    let mut engines = engines(4, 100);
    let first = settle(&mut engines, &six_bundles(), &HashMap::new());
    let leaving = first[0].engine.clone();
    engines.get_mut(&leaving).expect("known").leaving = true;
    let moves = settle(&mut engines, &six_bundles(), &HashMap::new());
    assert!(moves.iter().all(|m| m.action == Action::Load && m.engine != leaving));
}
