use super::*;

fn count_requests(meter: &DemandMeter, from_ms: u64, to_ms: u64, interval_ms: u64) -> Moment {
    for ms in (from_ms..to_ms).step_by(interval_ms as usize) {
        meter.count_request("m", Moment(Duration::from_millis(ms)));
    }
    Moment(Duration::from_millis(to_ms))
}

/// Guards against models that are loaded late after a rise, or unloaded in a short pause.
#[test]
fn demand_follows_a_rise_within_seconds_and_a_pause_slowly() {
    let meter = DemandMeter::default();
    let now = count_requests(&meter, 0, 300_000, 500);
    let steady = meter.total(now)["m"].rate;
    assert!((steady - 2.0).abs() < 0.3, "{steady}");
    let now = count_requests(&meter, 300_000, 306_000, 50);
    let risen = meter.total(now)["m"].rate;
    assert!(risen > 10.0, "{risen}");
    let paused = meter.total(now + Duration::from_secs(10))["m"].rate;
    assert!(paused > 1.5, "{paused}");
}
