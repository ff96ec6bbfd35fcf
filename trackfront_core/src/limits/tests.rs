use super::*;

/// Sends `rate` requests a second to each box for `secs` and returns how many are taken.
fn run(rates: &[u64], limit: f64, secs: u64) -> u64 {
    let boxes: Vec<CallerLimits> = rates.iter().map(|_| CallerLimits::default()).collect();
    let limit = CallerLimit { requests_per_s: Some(limit), tokens_per_s: None };
    let caller = AccountName::from("c");
    let mut taken = 0;
    for milli in 0..secs * 1_000 {
        let now = Moment(Duration::from_millis(milli));
        for (index, rate) in rates.iter().enumerate() {
            if *rate > 0 && milli % (1_000 / rate) == 0 {
                let took = boxes[index].take(&caller, limit, 1.0, rates.len(), now);
                taken += u64::from(took.is_ok());
            }
        }
        if milli % 1_000 == 0 {
            exchange(&boxes, now);
        }
    }
    taken
}

fn exchange(boxes: &[CallerLimits], now: Moment) {
    for (index, from) in boxes.iter().enumerate() {
        let demand = from.demand(now);
        for (other, to) in boxes.iter().enumerate().filter(|(other, _)| *other != index) {
            let _ = other;
            to.heard(&NodeId::from(format!("b{index}")), &demand, now);
        }
    }
}

#[test]
fn the_limit_holds_over_all_boxes_and_is_not_wasted() {
    for rates in [&[100, 100, 100][..], &[250, 0, 0], &[200, 50, 0]] {
        let taken = run(rates, 60.0, 60);
        let allowed = 60 * 60;
        assert!(taken <= allowed * 115 / 100, "{rates:?}: {taken} of {allowed}");
        assert!(taken >= allowed * 80 / 100, "{rates:?}: {taken} of {allowed}");
    }
}
