//! The order tracker's view of an engine that restarted under the same key.

use std::collections::BTreeSet;
use std::time::Duration;

use trackfront_core::serving::directory::{
    Directory, KnownServer, ResidentModel, Residents, ServerChange, ServerEntry, ServerState,
};
use trackfront_core::serving::orders::{EngineReport, LoadPacer, LoadRateTerms};
use trackfront_core::units::Moment;
use trackfrontd::serving::order_tracker::{EngineOrders, OrderTracker, view};

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(ms))
}

fn models(names: &[&str]) -> Residents {
    let held =
        |name: &&str| ((*name).into(), ResidentModel { version: 1, adapters: BTreeSet::new() });
    names.iter().map(held).collect()
}

/// An incarnation that started at the given second and holds no models.
fn incarnation(started: u64) -> KnownServer {
    let entry = ServerEntry {
        id: format!("x@{started}").into(),
        key: "x".into(),
        started: Some(started),
        service: "text".into(),
        address: "127.0.0.1:1".into(),
        hall: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        models: Residents::new(),
        sequence: 0,
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
        software: "v1".into(),
    };
    let mut directory = Directory::new(Duration::from_secs(1));
    let id = entry.id.clone();
    directory.apply(vec![ServerChange::Set { version: 1.into(), entry }], 1.into(), at(1_000));
    directory.get(&id).expect("known").as_ref().clone()
}

fn reported(started: Option<u64>, sequence: u64) -> EngineOrders {
    let report =
        EngineReport { sequence, models: models(&["m"]), started, ..EngineReport::default() };
    EngineOrders { report: Some((report, at(500))), ..EngineOrders::default() }
}

#[test]
fn report_of_an_earlier_incarnation_is_ignored_despite_its_higher_sequence() {
    let seen = |orders: &EngineOrders| view(&incarnation(200), orders, at(2_000)).models;
    assert_eq!(
        seen(&reported(Some(100), 7)),
        models(&[]),
        "the report is of the earlier incarnation"
    );
    assert_eq!(seen(&reported(Some(200), 7)), models(&["m"]), "the row is older than the report");
    assert_eq!(seen(&reported(None, 7)), models(&["m"]), "without start times the report counts");
}

#[test]
fn unanswered_order_blocks_the_next_incarnation_until_it_expires() {
    let terms = LoadRateTerms { window: Duration::from_secs(5), overage: 1.1 };
    let mut tracker = OrderTracker::new(LoadPacer::new(terms, at(0)));
    let (first, second) = (incarnation(100).entry, incarnation(200).entry);
    assert!(!tracker.may_receive_stale_order(&second, at(1_000)));
    tracker.record_unanswered(&first, at(1_000));
    assert!(
        !tracker.may_receive_stale_order(&first, at(1_100)),
        "its order count protects that incarnation"
    );
    assert!(tracker.may_receive_stale_order(&second, at(15_900)));
    assert!(!tracker.may_receive_stale_order(&second, at(16_000)));
}
