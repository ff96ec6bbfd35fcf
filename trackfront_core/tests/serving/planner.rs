use std::collections::{BTreeSet, HashMap};

use trackfront_core::serving::config::EngineSpec;
use trackfront_core::serving::demand::Rate;
use trackfront_core::serving::orders::Operation;
use trackfront_core::serving::planner::{EngineView, Proposal, plan};
use trackfront_core::serving::request::ModelRef;

use super::support::{item, residents, spec, with_adapter};

fn engine(id: &str, models: &[&str]) -> EngineView {
    EngineView {
        id: id.into(),
        models: residents(models),
        loading: None,
        leaving: None,
        pending: BTreeSet::new(),
        in_use: BTreeSet::new(),
        busy: false,
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn demand(rates: &[(&str, Option<&str>, f64)]) -> HashMap<ModelRef, Rate> {
    let rate = |(model, adapter, share): &(&str, Option<&str>, f64)| {
        (item(model, *adapter), Rate { requests: share * 10.0, work_ms: share * 1_000.0 })
    };
    rates.iter().map(rate).collect()
}

fn models_only(
    spec: &EngineSpec,
    engines: &[EngineView],
    rates: &[(&str, Option<&str>, f64)],
) -> Vec<Proposal> {
    let proposals = plan(spec, engines, &demand(rates), 99).proposals;
    proposals.into_iter().filter(|one| one.item.adapter.is_none()).collect()
}

fn names(proposals: &[Proposal]) -> Vec<(String, Operation, String)> {
    let name = |one: &Proposal| (one.engine.to_string(), one.operation, one.item.to_string());
    proposals.iter().map(name).collect()
}

#[test]
fn steady_demand_leads_to_no_orders() {
    let spec = spec(&["m", "n", "o"], 0, 0);
    let engines = [engine("x", &["m", "n"]), engine("y", &["m", "o"])];
    let rates = [("m", None, 0.4), ("n", None, 0.05), ("o", None, 0.05)];
    assert_eq!(models_only(&spec, &engines, &rates), []);
}

#[test]
fn missing_model_is_loaded_from_local_copy() {
    let spec = spec(&["m", "n"], 0, 0);
    let mut near = engine("y", &["n"]);
    near.on_disk.insert("m".into());
    let proposals = models_only(&spec, &[engine("x", &[]), near], &[]);
    assert_eq!(names(&proposals), [("y".into(), Operation::Load, "m".into())]);
}

#[test]
fn last_serving_copy_is_never_displaced() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    // Another copy of `n` is being loaded but serves no requests yet.
    let mut loader = engine("y", &["m", "o"]);
    loader.loading = Some("n".into());
    loader.busy = true;
    let full = engine("x", &["m", "n", "o"]);
    let proposals = models_only(&spec, &[full, loader], &[("p", None, 2.0)]);
    let expected = ("x".into(), Operation::Unload);
    let found: Vec<_> =
        proposals.iter().map(|one| (one.engine.to_string(), one.operation)).collect();
    assert_eq!(found, [expected]);
    assert_ne!(proposals[0].item, item("n", None));
}

#[test]
fn reserved_slot_is_not_freed_twice() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    let mut swapping = engine("x", &["m", "n", "o"]);
    swapping.leaving = Some("m".into());
    swapping.loading = Some("p".into());
    swapping.busy = true;
    let proposals = models_only(&spec, &[swapping, engine("y", &["m", "n", "o"])], &[]);
    assert_eq!(proposals, []);
}

#[test]
fn unload_names_the_model_it_makes_room_for() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    let engines = [engine("x", &["m", "n", "o"]), engine("y", &["m", "n", "o"])];
    let rates = [("m", None, 0.9), ("n", None, 0.0), ("o", None, 0.9)];
    let proposals = models_only(&spec, &engines, &rates);
    assert_eq!(proposals[0].item, item("n", None), "the model with the least demand");
    assert_eq!(proposals[0].makes_room_for, Some("p".into()));
    assert_eq!(proposals.len(), 1);
}

#[test]
fn model_in_high_demand_gets_several_copies_at_once() {
    let spec = spec(&["m", "n"], 0, 0);
    let engines = [engine("x", &["m"]), engine("y", &["n"]), engine("z", &[])];
    let proposals = models_only(&spec, &engines, &[("m", None, 1.5), ("n", None, 0.05)]);
    let loads: BTreeSet<_> = proposals.iter().map(|one| one.engine.to_string()).collect();
    assert_eq!(loads, BTreeSet::from(["y".into(), "z".into()]));
    assert!(proposals.iter().all(|one| one.item == item("m", None)));
}

#[test]
fn busy_copy_is_not_displaced_by_model_without_demand() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    let engines = [engine("x", &["m", "n", "o"]), engine("y", &["m", "n", "o"])];
    let rates = [("m", None, 3.0), ("n", None, 3.0), ("o", None, 3.0)];
    assert_eq!(models_only(&spec, &engines, &rates), []);
}

#[test]
fn busy_engines_get_no_orders() {
    let spec = spec(&["m"], 2, 2);
    let engine = EngineView { busy: true, ..engine("x", &[]) };
    assert_eq!(plan(&spec, &[engine], &demand(&[("m", None, 1.0)]), 99).proposals, []);
}

#[test]
fn adapters_are_distributed_over_copies_of_their_model() {
    let spec = spec(&["m"], 4, 2);
    let engines = [engine("x", &["m"]), engine("y", &["m"])];
    let proposals = plan(&spec, &engines, &demand(&[("m", None, 0.1)]), 99).proposals;
    let on = |id: &str| proposals.iter().filter(|one| one.engine.as_str() == id).count();
    assert_eq!((on("x"), on("y")), (2, 2));
    let distinct: BTreeSet<_> = proposals.iter().map(|one| one.item.clone()).collect();
    assert_eq!(distinct.len(), 4);
}

#[test]
fn adapter_in_demand_displaces_one_without() {
    let spec = spec(&["m"], 3, 2);
    let mut full = engine("x", &["m"]);
    full.models = with_adapter(with_adapter(full.models, "m", "a1"), "m", "a2");
    let rates = [("m", None, 0.1), ("m", Some("a1"), 0.1), ("m", Some("a3"), 0.1)];
    let proposals = plan(&spec, &[full.clone()], &demand(&rates), 99).proposals;
    let expected = [
        ("x".into(), Operation::Unload, "m/a2".into()),
        ("x".into(), Operation::Load, "m/a3".into()),
    ];
    assert_eq!(names(&proposals), expected);
    let quiet = plan(&spec, &[full], &demand(&[("m", None, 0.1)]), 99).proposals;
    assert_eq!(quiet, [], "an adapter without demand displaces nothing");
}

#[test]
fn copy_with_unique_adapters_is_displaced_last() {
    let spec = spec(&["m", "n", "o", "p"], 3, 4);
    let mut with_adapters = engine("x", &["m", "n", "o"]);
    for adapter in ["a1", "a2", "a3"] {
        with_adapters.models = with_adapter(with_adapters.models, "m", adapter);
    }
    let engines = [with_adapters, engine("y", &["m", "n", "o"])];
    let rates = [("m", None, 0.02), ("n", None, 0.06), ("o", None, 0.06)];
    let proposals = models_only(&spec, &engines, &rates);
    assert_eq!(proposals.len(), 1);
    assert_eq!((proposals[0].engine.as_str(), &proposals[0].item), ("y", &item("m", None)));
}

#[test]
fn adapter_in_use_is_not_displaced() {
    let spec = spec(&["m"], 3, 2);
    let mut full = engine("x", &["m"]);
    full.models = with_adapter(with_adapter(full.models, "m", "a1"), "m", "a2");
    full.in_use.insert(item("m", Some("a2")));
    let rates = [("m", None, 0.1), ("m", Some("a1"), 0.05), ("m", Some("a3"), 0.06)];
    let proposals = plan(&spec, &[full], &demand(&rates), 99).proposals;
    // `a2` has the least demand but is in use; the demand for `a1` is nearly that of the new
    // adapter.
    let expected = [
        ("x".into(), Operation::Unload, "m/a1".into()),
        ("x".into(), Operation::Load, "m/a3".into()),
    ];
    assert_eq!(names(&proposals), expected);
}

#[test]
fn loads_beyond_weight_store_rate_are_not_proposed() {
    let spec = spec(&["m", "n", "o"], 0, 0);
    let mut near = engine("y", &[]);
    near.on_disk.insert("n".into());
    let engines = [engine("x", &[]), near, engine("z", &[])];
    let proposals = plan(&spec, &engines, &demand(&[("m", None, 0.3)]), 1).proposals;
    let expected =
        [("x".into(), Operation::Load, "m".into()), ("y".into(), Operation::Load, "n".into())];
    assert_eq!(
        names(&proposals),
        expected,
        "the model in most demand from the store, and one from disk"
    );
}

/// Returns two full engines; `x` holds the idle model `i` and has a copy of it on its disk.
fn engines_with_an_idle_model() -> [EngineView; 2] {
    let mut with_copy = engine("x", &["m", "n", "i"]);
    with_copy.on_disk.insert("i".into());
    [with_copy, engine("y", &["m", "n", "o"])]
}

#[test]
fn last_copy_of_idle_model_is_displaced_by_overloaded_model() {
    let spec = spec(&["m", "n", "o", "i"], 0, 0);
    let rates = [("m", None, 1.8), ("n", None, 1.8), ("o", None, 1.8)];
    let proposals = models_only(&spec, &engines_with_an_idle_model(), &rates);
    assert_eq!(names(&proposals), [("x".into(), Operation::Unload, "i".into())]);
    assert_eq!(proposals[0].makes_room_for, Some("o".into()));
}

#[test]
fn last_copy_stays_if_in_demand_or_slow_to_reload() {
    let spec = spec(&["m", "n", "o", "i"], 0, 0);
    let engines = engines_with_an_idle_model();
    let with_demand = [("m", None, 0.9), ("n", None, 0.9), ("o", None, 0.9), ("i", None, 0.01)];
    assert_eq!(models_only(&spec, &engines, &with_demand), []);
    let without_copies = engines.map(|one| EngineView { on_disk: BTreeSet::new(), ..one });
    let rates = [("m", None, 1.8), ("n", None, 1.8), ("o", None, 1.8)];
    assert_eq!(models_only(&spec, &without_copies, &rates), []);
}

#[test]
fn displaced_model_is_reloaded_once_in_demand() {
    let spec = spec(&["m", "n", "o", "i"], 0, 0);
    let mut engines = engines_with_an_idle_model();
    engines[0].models = residents(&["m", "n", "o"]);
    let idle = [("m", None, 1.8), ("n", None, 1.8), ("o", None, 1.8)];
    assert_eq!(
        models_only(&spec, &engines, &idle),
        [],
        "the memory has more value for the other models"
    );
    let with_demand = [("m", None, 0.2), ("n", None, 0.2), ("o", None, 0.2), ("i", None, 0.01)];
    let proposals = models_only(&spec, &engines, &with_demand);
    assert_eq!(proposals[0].makes_room_for, Some("i".into()));
    assert_eq!(proposals[0].engine.as_str(), "x", "the engine with a local copy");
}
