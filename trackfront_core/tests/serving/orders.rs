use std::time::Duration;

use trackfront_core::serving::orders::{
    EngineReport, LoadPacer, LoadRateTerms, Operation, OrderError, check_order,
};

use super::support::{at, item, residents, spec, with_adapter};

fn report(models: &[&str]) -> EngineReport {
    EngineReport { models: residents(models), ..EngineReport::default() }
}

#[test]
fn load_must_fit_into_free_memory() {
    let spec = spec(&["m", "n", "o", "p"], 4, 2);
    let load = |report: &EngineReport, wanted| check_order(Operation::Load, &wanted, report, &spec);
    assert_eq!(load(&report(&["m", "n"]), item("o", None)), Ok(()));
    assert_eq!(load(&report(&["m", "n", "o"]), item("p", None)), Err(OrderError::NoRoom));
    assert_eq!(load(&report(&["m"]), item("m", None)), Err(OrderError::NoEffect));
    assert_eq!(load(&report(&["m"]), item("q", None)), Err(OrderError::NotConfigured));
    let unknown = report(&["unknown"]);
    assert_eq!(
        load(&unknown, item("m", None)),
        Err(OrderError::NoRoom),
        "the size of a resident model is unknown"
    );
    let busy = EngineReport { busy: true, ..report(&[]) };
    assert_eq!(load(&busy, item("m", None)), Err(OrderError::Busy));
}

#[test]
fn adapter_needs_model_and_free_slot() {
    let spec = spec(&["m"], 4, 2);
    let load = |report: &EngineReport, name| {
        check_order(Operation::Load, &item("m", Some(name)), report, &spec)
    };
    assert_eq!(load(&report(&[]), "a1"), Err(OrderError::NoModel));
    let mut held = report(&["m"]);
    held.models = with_adapter(held.models, "m", "a1");
    assert_eq!(load(&held, "a1"), Err(OrderError::NoEffect));
    assert_eq!(load(&held, "a2"), Ok(()));
    held.pending.insert(("m".into(), "a3".into()));
    assert_eq!(load(&held, "a3"), Err(OrderError::NoEffect), "it is being loaded");
    assert_eq!(load(&held, "a2"), Err(OrderError::NoSlot), "a pending adapter takes a slot");
}

#[test]
fn only_loaded_items_are_unloaded() {
    let spec = spec(&["m"], 4, 2);
    let unload =
        |report: &EngineReport, wanted| check_order(Operation::Unload, &wanted, report, &spec);
    assert_eq!(unload(&report(&["m"]), item("m", None)), Ok(()));
    assert_eq!(unload(&report(&[]), item("m", None)), Err(OrderError::NoEffect));
    assert_eq!(unload(&report(&["m"]), item("m", Some("a1"))), Err(OrderError::NoEffect));
}

#[test]
fn loads_stay_below_ceiling_in_every_window() {
    let mut pacer = LoadPacer::new(LoadRateTerms::default(), at(0));
    let mut begun = Vec::new();
    for ms in (0..60_000).step_by(10) {
        if pacer.may_load(1.4, at(ms)) {
            pacer.record_load();
            begun.push(ms);
        }
    }
    let most = begun
        .iter()
        .map(|start| begun.iter().filter(|ms| (*start..start + 5_000).contains(*ms)).count());
    let ceiling = 1.4 * 5.0 * 1.1 + 3.0;
    assert!(most.max().unwrap_or(0) as f64 <= ceiling);
    assert!(begun.len() >= 80, "the rate is used: {}", begun.len());
    assert!(begun[0] >= 700, "a new holder starts without allowance");
}

#[test]
fn overage_is_used_and_never_exceeded() {
    let terms = LoadRateTerms { window: Duration::from_secs(5), overage: 1.1 };
    let (rate, window_ms) = (20.0, 5_000);
    let mut pacer = LoadPacer::new(terms, at(0));
    let mut begun = Vec::new();
    // Idle for a while, then as many loads as the pacer allows.
    for ms in (10_000..30_000).step_by(10) {
        while pacer.may_load(rate, at(ms)) {
            pacer.record_load();
            begun.push(ms);
        }
    }
    let most = begun
        .iter()
        .map(|start| begun.iter().filter(|ms| (*start..*start + window_ms).contains(*ms)).count());
    let most = most.max().expect("loads began");
    assert!(most <= (rate * 5.0 * 1.1 + 3.0) as usize, "{most} loads within a window");
    assert!(most > 105, "only {most} loads within a window");
}
