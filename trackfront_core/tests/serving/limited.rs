//! How plans treat engines with a rate limit.

use std::collections::HashMap;

use trackfront_core::serving::demand::Rate;
use trackfront_core::serving::planner::limited::{RateLimitedEngine, covers_share};
use trackfront_core::serving::request::ModelRef;

use super::support::{item, residents};

/// Guards against a plan that fully counts a copy on an engine that accepts hardly any requests,
/// which leaves the model without enough capacity.
#[test]
fn copy_counts_if_rate_limit_covers_its_share_of_demand() {
    let (busy, quiet) = (residents(&["m", "n"]), residents(&["n", "o"]));
    let rate = |requests| Rate { requests, work_ms: 0.0 };
    let demand: HashMap<ModelRef, Rate> = HashMap::from([
        (item("m", None), rate(6.0)),
        (item("n", None), rate(2.0)),
        (item("m", Some("a1")), rate(99.0)),
    ]);
    let with = |first, second| {
        let engines = [
            RateLimitedEngine { models: &busy, per_s: first },
            RateLimitedEngine { models: &quiet, per_s: second },
        ];
        covers_share(&engines, &demand)
    };
    assert_eq!(with(None, None), [true, true]);
    assert_eq!(with(Some(6.9), Some(1.0)), [false, true], "6 of m, and half of 2 of n");
    assert_eq!(with(Some(7.0), Some(0.9)), [true, false]);
    assert_eq!(
        covers_share(&[RateLimitedEngine { models: &quiet, per_s: Some(0.0) }], &HashMap::new()),
        [true]
    );
}
