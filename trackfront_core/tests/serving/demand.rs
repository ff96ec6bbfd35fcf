use trackfront_core::serving::demand::{DemandMeter, Rate};

use super::support::{at, item};

fn rate_after(meter: &mut DemandMeter, now: u64) -> f64 {
    meter.total(at(now)).get(&item("m", None)).map_or(0.0, |rate| rate.requests)
}

#[test]
fn rate_follows_steady_and_falling_demand() {
    let mut meter = DemandMeter::default();
    for ms in (0..10_000).step_by(50) {
        meter.count(&item("m", None), 100.0, at(ms));
    }
    let steady = rate_after(&mut meter, 10_000);
    assert!((16.0..24.0).contains(&steady), "{steady}");
    assert!(rate_after(&mut meter, 12_000) < 3.0, "past demand counts little after 2 s");
}

#[test]
fn rising_rate_is_extrapolated() {
    let mut meter = DemandMeter::default();
    let (mut now, mut real) = (0u64, 0.0);
    while now < 3_000 {
        real = 2.0 + 18.0 * now as f64 / 3_000.0;
        now += (1_000.0 / real) as u64;
        meter.count(&item("m", None), 1.0, at(now));
    }
    let measured = rate_after(&mut meter, now);
    assert!(measured > real * 0.85, "{measured} of {real}");
}

#[test]
fn peer_reports_add_up_until_they_expire() {
    let mut meter = DemandMeter::default();
    let report = |requests| vec![(item("m", None), Rate { requests, work_ms: 0.0 })];
    meter.apply_report(1, report(5.0), at(0));
    meter.apply_report(2, report(7.0), at(1_000));
    assert_eq!(rate_after(&mut meter, 1_000), 12.0);
    meter.apply_report(2, report(1.0), at(1_500));
    assert_eq!(rate_after(&mut meter, 1_500), 6.0);
    assert_eq!(rate_after(&mut meter, 2_500), 1.0, "the first peer has not reported for 2 s");
}

#[test]
fn adapter_demand_decays_slower_than_model_demand() {
    let mut meter = DemandMeter::default();
    meter.count(&item("m", None), 1.0, at(0));
    meter.count(&item("m", Some("a1")), 1.0, at(0));
    let total = meter.total(at(6_000));
    let of = |adapter| total.get(&item("m", adapter)).map_or(0.0, |rate| rate.requests);
    assert!(of(Some("a1")) > 0.04, "{total:?}");
    assert!(of(None) < of(Some("a1")));
}
