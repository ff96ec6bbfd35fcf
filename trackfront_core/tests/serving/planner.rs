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
fn steady_demand_gives_no_orders() {
    let spec = spec(&["m", "n", "o"], 0, 0);
    let engines = [engine("x", &["m", "n"]), engine("y", &["m", "o"])];
    let rates = [("m", None, 0.4), ("n", None, 0.05), ("o", None, 0.05)];
    assert_eq!(models_only(&spec, &engines, &rates), []);
}

#[test]
fn a_missing_model_goes_where_it_is_at_hand() {
    let spec = spec(&["m", "n"], 0, 0);
    let mut near = engine("y", &["n"]);
    near.on_disk.insert("m".into());
    let proposals = models_only(&spec, &[engine("x", &[]), near], &[]);
    assert_eq!(names(&proposals), [("y".into(), Operation::Load, "m".into())]);
}

#[test]
fn the_last_copy_that_serves_never_gives_way() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    // Another copy of `n` is on its way in, but serves nobody yet.
    let mut coming = engine("y", &["m", "o"]);
    coming.loading = Some("n".into());
    coming.busy = true;
    let full = engine("x", &["m", "n", "o"]);
    let proposals = models_only(&spec, &[full, coming], &[("p", None, 2.0)]);
    let expected = ("x".into(), Operation::Unload);
    let found: Vec<_> =
        proposals.iter().map(|one| (one.engine.to_string(), one.operation)).collect();
    assert_eq!(found, [expected]);
    assert_ne!(proposals[0].item, item("n", None));
}

#[test]
fn a_place_that_is_promised_is_not_made_twice() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    let mut giving = engine("x", &["m", "n", "o"]);
    giving.leaving = Some("m".into());
    giving.loading = Some("p".into());
    giving.busy = true;
    let proposals = models_only(&spec, &[giving, engine("y", &["m", "n", "o"])], &[]);
    assert_eq!(proposals, []);
}

#[test]
fn what_gives_way_names_what_comes() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    let engines = [engine("x", &["m", "n", "o"]), engine("y", &["m", "n", "o"])];
    let rates = [("m", None, 0.9), ("n", None, 0.0), ("o", None, 0.9)];
    let proposals = models_only(&spec, &engines, &rates);
    assert_eq!(proposals[0].item, item("n", None), "the one that is asked for least");
    assert_eq!(proposals[0].makes_room_for, Some("p".into()));
    assert_eq!(proposals.len(), 1);
}

#[test]
fn a_model_that_is_asked_for_much_gets_copies_at_once() {
    let spec = spec(&["m", "n"], 0, 0);
    let engines = [engine("x", &["m"]), engine("y", &["n"]), engine("z", &[])];
    let proposals = models_only(&spec, &engines, &[("m", None, 1.5), ("n", None, 0.05)]);
    let loads: BTreeSet<_> = proposals.iter().map(|one| one.engine.to_string()).collect();
    assert_eq!(loads, BTreeSet::from(["y".into(), "z".into()]));
    assert!(proposals.iter().all(|one| one.item == item("m", None)));
}

#[test]
fn a_busy_copy_does_not_give_way_to_one_that_nobody_asks_for() {
    let spec = spec(&["m", "n", "o", "p"], 0, 0);
    let engines = [engine("x", &["m", "n", "o"]), engine("y", &["m", "n", "o"])];
    let rates = [("m", None, 3.0), ("n", None, 3.0), ("o", None, 3.0)];
    assert_eq!(models_only(&spec, &engines, &rates), []);
}

#[test]
fn engines_that_are_busy_get_nothing() {
    let spec = spec(&["m"], 2, 2);
    let engine = EngineView { busy: true, ..engine("x", &[]) };
    assert_eq!(plan(&spec, &[engine], &demand(&[("m", None, 1.0)]), 99).proposals, []);
}

#[test]
fn adapters_of_busy_models_are_spread_over_their_copies() {
    let spec = spec(&["m"], 4, 2);
    let engines = [engine("x", &["m"]), engine("y", &["m"])];
    let proposals = plan(&spec, &engines, &demand(&[("m", None, 0.1)]), 99).proposals;
    let on = |id: &str| proposals.iter().filter(|one| one.engine.as_str() == id).count();
    assert_eq!((on("x"), on("y")), (2, 2));
    let distinct: BTreeSet<_> = proposals.iter().map(|one| one.item.clone()).collect();
    assert_eq!(distinct.len(), 4);
}

#[test]
fn an_adapter_that_is_asked_for_displaces_one_that_is_not() {
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
    assert_eq!(quiet, [], "what nobody asks for displaces nothing");
}

#[test]
fn a_copy_whose_adapters_are_nowhere_else_gives_way_last() {
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
fn an_adapter_in_use_does_not_give_way() {
    let spec = spec(&["m"], 3, 2);
    let mut full = engine("x", &["m"]);
    full.models = with_adapter(with_adapter(full.models, "m", "a1"), "m", "a2");
    full.in_use.insert(item("m", Some("a2")));
    let rates = [("m", None, 0.1), ("m", Some("a1"), 0.05), ("m", Some("a3"), 0.06)];
    let proposals = plan(&spec, &[full], &demand(&rates), 99).proposals;
    // `a2` is asked for least but in use; `a1` is asked for nearly as much as what comes.
    let expected = [
        ("x".into(), Operation::Unload, "m/a1".into()),
        ("x".into(), Operation::Load, "m/a3".into()),
    ];
    assert_eq!(names(&proposals), expected);
}

#[test]
fn loads_that_the_weight_store_does_not_allow_are_not_proposed() {
    let spec = spec(&["m", "n", "o"], 0, 0);
    let mut near = engine("y", &[]);
    near.on_disk.insert("n".into());
    let engines = [engine("x", &[]), near, engine("z", &[])];
    let proposals = plan(&spec, &engines, &demand(&[("m", None, 0.3)]), 1).proposals;
    let expected =
        [("x".into(), Operation::Load, "m".into()), ("y".into(), Operation::Load, "n".into())];
    assert_eq!(names(&proposals), expected, "one from the store, the busiest, and one from disk");
}

/// Two engines that hold one model each beside `i`, of which x keeps a copy on its disk.
fn engines_with_an_idle_model() -> [EngineView; 2] {
    let mut keeps = engine("x", &["m", "n", "i"]);
    keeps.on_disk.insert("i".into());
    [keeps, engine("y", &["m", "n", "o"])]
}

#[test]
fn the_last_copy_of_what_nobody_asks_for_gives_way_to_what_is_overloaded() {
    let spec = spec(&["m", "n", "o", "i"], 0, 0);
    let rates = [("m", None, 1.8), ("n", None, 1.8), ("o", None, 1.8)];
    let proposals = models_only(&spec, &engines_with_an_idle_model(), &rates);
    assert_eq!(names(&proposals), [("x".into(), Operation::Unload, "i".into())]);
    assert_eq!(proposals[0].makes_room_for, Some("o".into()));
}

#[test]
fn the_last_copy_stays_if_it_is_asked_for_or_would_be_slow_to_come_back() {
    let spec = spec(&["m", "n", "o", "i"], 0, 0);
    let engines = engines_with_an_idle_model();
    let asked = [("m", None, 0.9), ("n", None, 0.9), ("o", None, 0.9), ("i", None, 0.01)];
    assert_eq!(models_only(&spec, &engines, &asked), []);
    let nowhere = engines.map(|one| EngineView { on_disk: BTreeSet::new(), ..one });
    let rates = [("m", None, 1.8), ("n", None, 1.8), ("o", None, 1.8)];
    assert_eq!(models_only(&spec, &nowhere, &rates), []);
}

#[test]
fn what_gave_way_comes_back_once_it_is_asked_for() {
    let spec = spec(&["m", "n", "o", "i"], 0, 0);
    let mut engines = engines_with_an_idle_model();
    engines[0].models = residents(&["m", "n", "o"]);
    let idle = [("m", None, 1.8), ("n", None, 1.8), ("o", None, 1.8)];
    assert_eq!(models_only(&spec, &engines, &idle), [], "the room is worth more to the others");
    let asked = [("m", None, 0.2), ("n", None, 0.2), ("o", None, 0.2), ("i", None, 0.01)];
    let proposals = models_only(&spec, &engines, &asked);
    assert_eq!(proposals[0].makes_room_for, Some("i".into()));
    assert_eq!(proposals[0].engine.as_str(), "x", "where it is at hand");
}
