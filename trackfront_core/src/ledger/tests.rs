use super::*;
use crate::ids::Fence;
use crate::ports::ReportedItem;

fn item(name: &str) -> ItemKey {
    ItemKey { model: name.into(), adapter: None, version: "1".into() }
}

fn report(items: Vec<(ItemKey, ReportedState)>) -> LoadReport {
    let items = items
        .into_iter()
        .map(|(item, state)| ReportedItem { item, state, per_accelerator: Mib(40) })
        .collect();
    LoadReport {
        incarnation: 1,
        sequence: 1,
        age_ms: 0,
        accelerators: vec![Mib(100); 2],
        items,
        running: 0,
        queued: 0,
        queued_prompt_tokens: 0,
        fence: Fence(1),
        recent_orders: vec![],
    }
}

/// Guards against memory that is given to two items, because an order may still take effect.
#[test]
fn memory_counts_until_a_report_shows_that_it_is_free() {
    let mut ledger = EngineLedger::new(vec![Mib(100); 2], Mib(10));
    ledger.reserve(item("a"), Mib(40)).expect("there is room");
    ledger.apply_report(&report(vec![]));
    assert_eq!(ledger.used(), Mib(50));
    assert!(ledger.reserve(item("b"), Mib(51)).is_err());
    ledger.apply_report(&report(vec![(item("a"), ReportedState::Ready)]));
    ledger.settle(&item("a"));
    ledger.mark_unloading(&item("a"));
    ledger.apply_report(&report(vec![(item("a"), ReportedState::Ready)]));
    assert_eq!(ledger.holding(&item("a")), Some(Holding::Unloading));
    ledger.settle(&item("a"));
    ledger.apply_report(&report(vec![]));
    assert_eq!(ledger.used(), Mib(10));
}
