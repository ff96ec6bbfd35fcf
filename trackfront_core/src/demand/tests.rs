use super::*;

fn feed(meter: &DemandMeter, from_ms: u64, to_ms: u64, every_ms: u64) -> Moment {
    for milli in (from_ms..to_ms).step_by(every_ms as usize) {
        meter.arrived("m", Moment(Duration::from_millis(milli)));
    }
    Moment(Duration::from_millis(to_ms))
}

#[test]
fn a_rise_is_seen_within_seconds_and_a_lull_is_not() {
    let meter = DemandMeter::default();
    let now = feed(&meter, 0, 300_000, 500);
    let steady = meter.total(now)["m"].rate;
    assert!((steady - 2.0).abs() < 0.3, "{steady}");
    let now = feed(&meter, 300_000, 306_000, 50);
    let risen = meter.total(now)["m"].rate;
    assert!(risen > 10.0, "{risen}");
    let lull = meter.total(now + Duration::from_secs(10))["m"].rate;
    assert!(lull > 1.5, "{lull}");
}
