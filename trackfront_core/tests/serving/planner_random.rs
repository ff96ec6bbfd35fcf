//! Checks the invariants of plans on random states of engines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use trackfront_core::ids::{AdapterName, ModelName};
use trackfront_core::serving::config::EngineSpec;
use trackfront_core::serving::demand::Rate;
use trackfront_core::serving::directory::{ResidentModel, Residents};
use trackfront_core::serving::orders::Operation;
use trackfront_core::serving::planner::{EngineView, Proposal, plan};
use trackfront_core::serving::request::ModelRef;

use super::support::{item, spec};

const CASES: u64 = 2_000;

/// The maximum number of adapter orders for an engine in one plan.
const MAX_ADAPTER_ORDERS: usize = 4;

struct Scenario {
    spec: EngineSpec,
    engines: Vec<EngineView>,
    demand: HashMap<ModelRef, Rate>,
    store_loads: usize,
}

fn below(rng: &mut ChaCha8Rng, end: usize) -> usize {
    (rng.next_u64() % end as u64) as usize
}

fn chance(rng: &mut ChaCha8Rng, percent: usize) -> bool {
    below(rng, 100) < percent
}

fn name(number: usize) -> String {
    format!("m{number:02}")
}

fn some_models(rng: &mut ChaCha8Rng, models: usize, percent: usize) -> BTreeSet<ModelName> {
    let picked = (0..models).filter(|_| chance(rng, percent));
    picked.map(|number| ModelName::from(name(number))).collect()
}

fn engine(rng: &mut ChaCha8Rng, number: usize, models: usize, adapters: usize) -> EngineView {
    let mut held = Residents::new();
    for _ in 0..below(rng, 4) {
        let model = ModelName::from(name(below(rng, models)));
        let loaded = (1..=adapters).filter(|_| chance(rng, 30));
        let adapters = loaded.map(|adapter| AdapterName::from(format!("a{adapter}"))).collect();
        held.insert(model, ResidentModel { version: 1, adapters });
    }
    let busy = chance(rng, 20);
    let one = |rng: &mut ChaCha8Rng| {
        let model = ModelName::from(name(below(rng, models)));
        (busy && chance(rng, 50)).then_some(model)
    };
    EngineView {
        id: format!("e{number:02}").into(),
        models: held,
        loading: one(rng),
        leaving: one(rng),
        pending: BTreeSet::new(),
        in_use: BTreeSet::new(),
        busy,
        in_memory: some_models(rng, models, 15),
        on_disk: some_models(rng, models, 15),
    }
}

fn scenario(seed: u64) -> Scenario {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let (models, adapters) = (2 + below(rng, 40), below(rng, 4));
    let names: Vec<String> = (0..models).map(name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let engines = (0..1 + below(rng, 16)).map(|number| engine(rng, number, models, adapters));
    let engines = engines.collect();
    let mut demand = HashMap::new();
    for model in &names {
        let level = below(rng, 1_000) as f64 / 400.0;
        let rate = Rate { requests: level * 10.0, work_ms: level * 1_000.0 };
        if chance(rng, 60) {
            demand.insert(item(model, None), rate);
            demand.insert(item(model, Some("a1")), rate);
        }
    }
    let store_loads = below(rng, 6);
    Scenario { spec: spec(&names, adapters, 4), engines, demand, store_loads }
}

/// The proposals of one engine.
type ByEngine<'a> = BTreeMap<&'a str, Vec<&'a Proposal>>;

fn check(scenario: &Scenario, proposals: &[Proposal]) {
    let view = |id: &str| scenario.engines.iter().find(|one| one.id.as_str() == id).expect("known");
    let mut by_engine = ByEngine::new();
    for proposal in proposals {
        by_engine.entry(proposal.engine.as_str()).or_default().push(proposal);
    }
    let mut from_store = 0;
    for (id, orders) in &by_engine {
        let engine = view(id);
        assert!(!engine.busy, "{id} is busy");
        let of_models = orders.iter().filter(|one| one.item.adapter.is_none()).count();
        match of_models {
            0 => assert!(orders.len() <= MAX_ADAPTER_ORDERS, "{id} gets {}", orders.len()),
            _ => assert_eq!(orders.len(), 1, "{id} gets one order for a model and no other"),
        }
        for order in orders.iter().filter(|one| one.item.adapter.is_none()) {
            let loaded = order.makes_room_for.as_ref().unwrap_or(&order.item.model);
            let has_local_copy =
                engine.in_memory.contains(loaded) || engine.on_disk.contains(loaded);
            from_store += usize::from(!has_local_copy);
            let is_loaded = engine.models.contains_key(&order.item.model);
            assert_eq!(is_loaded, order.operation == Operation::Unload, "{order:?}");
            if order.operation == Operation::Load {
                assert!(engine.models.len() < 3, "{id} has no room for {loaded}");
            }
        }
    }
    assert!(from_store <= scenario.store_loads, "{from_store} loads from the weight store");
}

/// Checks that an unloaded model is served by another engine, or that an engine that unloads it
/// keeps a local copy.
fn check_last_copies(scenario: &Scenario, proposals: &[Proposal]) {
    let mut unloaded: BTreeMap<&ModelName, Vec<&EngineView>> = BTreeMap::new();
    for proposal in proposals.iter().filter(|one| one.item.adapter.is_none()) {
        if proposal.operation == Operation::Unload {
            let engine = scenario.engines.iter().find(|one| one.id == proposal.engine);
            unloaded.entry(&proposal.item.model).or_default().push(engine.expect("known"));
        }
    }
    for (model, from) in unloaded {
        let serves = |engine: &EngineView| {
            let is_loading = engine.loading.as_ref() == Some(model);
            let is_leaving = engine.leaving.as_ref() == Some(model)
                || from.iter().any(|other| other.id == engine.id);
            engine.models.contains_key(model) && !is_loading && !is_leaving
        };
        let keeps = |engine: &&EngineView| {
            engine.in_memory.contains(model) || engine.on_disk.contains(model)
        };
        let remains = from.iter().any(keeps) || scenario.engines.iter().any(serves);
        assert!(remains, "{model} has no copy left");
    }
}

#[test]
fn plans_respect_memory_load_rate_and_last_copies() {
    let mut orders = 0;
    for seed in 0..CASES {
        let scenario = scenario(seed);
        let planned =
            plan(&scenario.spec, &scenario.engines, &scenario.demand, scenario.store_loads);
        check(&scenario, &planned.proposals);
        check_last_copies(&scenario, &planned.proposals);
        let again = plan(&scenario.spec, &scenario.engines, &scenario.demand, scenario.store_loads);
        assert_eq!(planned, again, "a plan depends on its inputs alone");
        orders += planned.proposals.len();
    }
    assert!(orders > 10_000, "too few orders were checked: {orders}");
}
