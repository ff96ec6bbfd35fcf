use std::time::Duration;

use trackfront_core::serving::orders::{
    EngineReport, LoadPacer, LoadRateTerms, Operation, OrderError, check_order,
};

use super::support::{at, item, residents, spec, with_adapter};

fn report(models: &[&str]) -> EngineReport {
    EngineReport { models: residents(models), ..EngineReport::default() }
}

#[test]
fn a_load_has_to_fit_beside_everything_that_is_there_or_comes() {
    let spec = spec(&["m", "n", "o", "p"], 4, 2);
    let load = |report: &EngineReport, wanted| check_order(Operation::Load, &wanted, report, &spec);
    assert_eq!(load(&report(&["m", "n"]), item("o", None)), Ok(()));
    assert_eq!(load(&report(&["m", "n", "o"]), item("p", None)), Err(OrderError::NoRoom));
    assert_eq!(load(&report(&["m"]), item("m", None)), Err(OrderError::NoEffect));
    assert_eq!(load(&report(&["m"]), item("q", None)), Err(OrderError::NotConfigured));
    let strange = report(&["unknown"]);
    assert_eq!(load(&strange, item("m", None)), Err(OrderError::NoRoom), "its size is not known");
    let busy = EngineReport { busy: true, ..report(&[]) };
    assert_eq!(load(&busy, item("m", None)), Err(OrderError::Busy));
}

#[test]
fn adapters_need_their_model_and_a_place() {
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
    assert_eq!(load(&held, "a3"), Err(OrderError::NoEffect), "it is on its way");
    assert_eq!(load(&held, "a2"), Err(OrderError::NoSlot), "one on its way takes a place");
}

#[test]
fn only_what_is_there_is_unloaded() {
    let spec = spec(&["m"], 4, 2);
    let unload =
        |report: &EngineReport, wanted| check_order(Operation::Unload, &wanted, report, &spec);
    assert_eq!(unload(&report(&["m"]), item("m", None)), Ok(()));
    assert_eq!(unload(&report(&[]), item("m", None)), Err(OrderError::NoEffect));
    assert_eq!(unload(&report(&["m"]), item("m", Some("a1"))), Err(OrderError::NoEffect));
}

#[test]
fn loads_stay_under_the_ceiling_in_every_window() {
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
    assert!(begun[0] >= 700, "a new giver begins without allowance");
}

#[test]
fn the_overage_of_the_weight_store_is_used_and_never_exceeded() {
    let terms = LoadRateTerms { window: Duration::from_secs(5), overage: 1.1 };
    let (rate, window_ms) = (20.0, 5_000);
    let mut pacer = LoadPacer::new(terms, at(0));
    let mut began = Vec::new();
    // Idle for a while, then as many loads as the pacer allows.
    for ms in (10_000..30_000).step_by(10) {
        while pacer.may_load(rate, at(ms)) {
            pacer.record_load();
            began.push(ms);
        }
    }
    let most = began
        .iter()
        .map(|start| began.iter().filter(|ms| (*start..*start + window_ms).contains(*ms)).count());
    let most = most.max().expect("loads began");
    assert!(most <= (rate * 5.0 * 1.1 + 3.0) as usize, "{most} loads within a window");
    assert!(most > 105, "only {most} loads within a window");
}
