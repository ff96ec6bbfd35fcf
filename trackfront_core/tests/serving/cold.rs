//! Many boxes before cold servers: together they send no more than these bear, whoever is cut off.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::cold::{ColdStart, ColdStartTolerance, ColdState, ColdTracker};

use super::support::at;

const START: ColdStart = ColdStart { per_s: 8.7, lasts: Duration::from_secs(3) };
const TERMS: ColdStartTolerance = ColdStartTolerance { overage: 1.5, slack: 5.0 };

/// What may arrive at one server within one second.
fn most(start: ColdStart, terms: ColdStartTolerance) -> f64 {
    start.per_s * terms.overage + terms.slack
}

/// Boxes that each know the first so many of all.
fn boxes(knows: &[u32]) -> Vec<ColdTracker> {
    let book = |(me, knows): (usize, &u32)| {
        let mut book = ColdTracker::default();
        book.set_boxes(me as u32, 0..*knows);
        book
    };
    knows.iter().enumerate().map(book).collect()
}

/// Asks all boxes again and again for each server. Returns the most arrivals at one server within one second, and
/// the mean over the servers in a second.
fn flood(
    books: &mut [ColdTracker],
    servers: usize,
    start: ColdStart,
    terms: ColdStartTolerance,
    seed: u64,
) -> (usize, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let until = at(3_000);
    let mut window: Vec<VecDeque<u64>> = vec![VecDeque::new(); servers];
    let (mut largest, mut arrivals) = (0, 0);
    let ids: Vec<BackendId> = (0..servers).map(|id| format!("s{id}").as_str().into()).collect();
    for ms in (0..3_000).step_by(20) {
        for book in books.iter_mut() {
            for (server, id) in ids.iter().enumerate() {
                let now = at(ms);
                let may = book.state(id, start, terms, until, now) == ColdState::Admitting;
                if rng.random_range(0..3) == 0 && may && book.take(id, start, terms, now) {
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
fn a_thousand_boxes_send_a_cold_server_what_it_bears() {
    let mut books = boxes(&[1_000; 1_000]);
    let (largest, mean) = flood(&mut books, 20, START, TERMS, 1);
    assert!(largest as f64 <= most(START, TERMS), "{largest} in one second");
    assert!(mean >= START.per_s / 2.0, "what it bears is used: {mean} a second");
}

#[test]
fn boxes_with_an_earlier_list_do_not_pass_the_bound() {
    // The last 30 of 1,000 came later; 40 boxes are cut off and do not know them.
    let knows: Vec<u32> = (0..1_000).map(|one| if one % 25 == 0 { 970 } else { 1_000 }).collect();
    for seed in 0..3 {
        let (largest, _) = flood(&mut boxes(&knows), 20, START, TERMS, seed);
        assert!(largest as f64 <= most(START, TERMS), "seed {seed}: {largest} in one second");
    }
}

#[test]
fn the_bound_holds_for_other_rates_and_for_few_boxes() {
    for (per_s, overage, slack) in
        [(1.0, 1.0, 1.0), (3.0, 1.2, 0.5), (40.0, 1.1, 0.0), (0.5, 1.5, 5.0)]
    {
        let start = ColdStart { per_s, ..START };
        let terms = ColdStartTolerance { overage, slack };
        for count in [1, 2, 90] {
            let (largest, _) = flood(&mut boxes(&vec![count; count as usize]), 5, start, terms, 7);
            let bound = most(start, terms);
            assert!(largest as f64 <= bound, "{largest} of {bound} by {count} at {per_s} a second");
        }
    }
}

#[test]
fn a_box_that_does_not_know_the_others_sends_nothing() {
    let mut book = ColdTracker::default();
    assert_eq!(book.state(&"s".into(), START, TERMS, at(500), at(0)), ColdState::Blocked(at(500)));
    assert!(!book.take(&"s".into(), START, TERMS, at(0)));
    assert_eq!(book.state(&"s".into(), START, TERMS, at(500), at(500)), ColdState::Warm);
}
