//! Rate limits of cold servers: all boxes together keep them, also during a network partition.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::cold::{ColdStart, ColdStartTolerance, ColdState, ColdTracker};

use super::support::at;

const START: ColdStart = ColdStart { per_s: 8.7, lasts: Duration::from_secs(3) };
const TOLERANCE: ColdStartTolerance = ColdStartTolerance { overage: 1.5, slack: 5.0 };

/// The most requests that may arrive at one server within one second.
fn max_per_s(start: ColdStart, tolerance: ColdStartTolerance) -> f64 {
    start.per_s * tolerance.overage + tolerance.slack
}

/// The trackers of boxes, each of which knows as many boxes as given, from the first.
fn boxes(known: &[u32]) -> Vec<ColdTracker> {
    let tracker = |(own_box, known): (usize, &u32)| {
        let mut tracker = ColdTracker::default();
        tracker.set_boxes(own_box as u32, 0..*known);
        tracker
    };
    known.iter().enumerate().map(tracker).collect()
}

/// Lets all boxes try to send to each server at random for 3 s. Returns the most arrivals at one server within any
/// second, and the mean arrivals at a server in a second.
fn flood(
    trackers: &mut [ColdTracker],
    servers: usize,
    start: ColdStart,
    tolerance: ColdStartTolerance,
    seed: u64,
) -> (usize, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let until = at(3_000);
    let mut window: Vec<VecDeque<u64>> = vec![VecDeque::new(); servers];
    let (mut largest, mut arrivals) = (0, 0);
    let ids: Vec<BackendId> = (0..servers).map(|id| format!("s{id}").as_str().into()).collect();
    for ms in (0..3_000).step_by(20) {
        for tracker in trackers.iter_mut() {
            for (server, id) in ids.iter().enumerate() {
                let now = at(ms);
                let is_admitting =
                    tracker.state(id, start, tolerance, until, now) == ColdState::Admitting;
                if rng.random_range(0..3) == 0
                    && is_admitting
                    && tracker.try_take(id, start, tolerance, now)
                {
                    window[server].push_back(ms);
                    arrivals += 1;
                }
                while window[server].front().is_some_and(|first| first + 1_000 <= ms) {
                    window[server].pop_front();
                }
                largest = largest.max(window[server].len());
            }
        }
    }
    (largest, f64::from(arrivals) / 3.0 / servers as f64)
}

#[test]
fn thousand_boxes_use_the_rate_of_cold_server_and_keep_it() {
    let mut trackers = boxes(&[1_000; 1_000]);
    let (largest, mean) = flood(&mut trackers, 20, START, TOLERANCE, 1);
    assert!(largest as f64 <= max_per_s(START, TOLERANCE), "{largest} in one second");
    assert!(mean >= START.per_s / 2.0, "the rate is used: {mean} a second");
}

#[test]
fn boxes_with_outdated_list_keep_the_bound() {
    // The last 30 of 1,000 boxes joined late; 40 boxes are partitioned and do not know them.
    let known: Vec<u32> =
        (0..1_000).map(|index| if index % 25 == 0 { 970 } else { 1_000 }).collect();
    for seed in 0..3 {
        let (largest, _) = flood(&mut boxes(&known), 20, START, TOLERANCE, seed);
        assert!(
            largest as f64 <= max_per_s(START, TOLERANCE),
            "seed {seed}: {largest} in one second"
        );
    }
}

#[test]
fn bound_holds_for_other_rates_and_for_few_boxes() {
    for (per_s, overage, slack) in
        [(1.0, 1.0, 1.0), (3.0, 1.2, 0.5), (40.0, 1.1, 0.0), (0.5, 1.5, 5.0)]
    {
        let start = ColdStart { per_s, ..START };
        let tolerance = ColdStartTolerance { overage, slack };
        for count in [1, 2, 90] {
            let (largest, _) =
                flood(&mut boxes(&vec![count; count as usize]), 5, start, tolerance, 7);
            let bound = max_per_s(start, tolerance);
            assert!(largest as f64 <= bound, "{largest} of {bound} by {count} at {per_s} a second");
        }
    }
}

#[test]
fn box_without_box_list_sends_nothing() {
    let mut tracker = ColdTracker::default();
    assert_eq!(
        tracker.state(&"s".into(), START, TOLERANCE, at(500), at(0)),
        ColdState::Blocked(at(500))
    );
    assert!(!tracker.try_take(&"s".into(), START, TOLERANCE, at(0)));
    assert_eq!(tracker.state(&"s".into(), START, TOLERANCE, at(500), at(500)), ColdState::Warm);
}
