use std::time::Duration;

use trackfront_core::serving::key_freshness::{KeyFreshness, RevocationTerms};

use super::support::at;

const TERMS: RevocationTerms = RevocationTerms { bound: Duration::from_millis(5_000) };

#[test]
fn keys_are_unusable_before_first_confirmation() {
    let mut freshness = KeyFreshness::default();
    assert!(!freshness.is_usable(TERMS, at(0)));
    freshness.set_in_force(7.into());
    assert!(!freshness.is_usable(TERMS, at(0)));
}

#[test]
fn answer_counts_from_time_of_query() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7.into());
    freshness.confirm_newest(7.into(), at(1_000));
    assert_eq!(freshness.age(at(1_500)), Some(Duration::from_millis(500)));
    assert!(freshness.is_usable(TERMS, at(5_500)));
    assert!(!freshness.is_usable(TERMS, at(5_600)), "a margin is reserved");
    // An older answer that arrives later has no effect.
    freshness.confirm_newest(7.into(), at(500));
    assert_eq!(freshness.age(at(1_500)), Some(Duration::from_millis(500)));
}

#[test]
fn newer_row_counts_once_in_force() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7.into());
    freshness.confirm_newest(7.into(), at(1_000));
    freshness.confirm_newest(9.into(), at(4_000));
    assert_eq!(freshness.age(at(4_000)), Some(Duration::from_millis(3_000)));
    freshness.set_in_force(8.into());
    assert_eq!(freshness.age(at(4_000)), Some(Duration::from_millis(3_000)), "8 is not 9");
    freshness.set_in_force(9.into());
    assert_eq!(freshness.age(at(4_000)), Some(Duration::ZERO));
}

#[test]
fn older_row_confirms_newer_one_in_force() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(9.into());
    freshness.confirm_newest(7.into(), at(2_000));
    assert_eq!(freshness.age(at(2_500)), Some(Duration::from_millis(500)));
}

#[test]
fn consecutive_revocations_leave_no_gap() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(1.into());
    freshness.confirm_newest(1.into(), at(0));
    freshness.confirm_newest(2.into(), at(3_000));
    freshness.confirm_newest(3.into(), at(3_500));
    freshness.set_in_force(2.into());
    // An answer about row 3 says nothing about row 2, which may have been replaced since.
    assert!(!freshness.is_usable(TERMS, at(4_700)));
    freshness.set_in_force(3.into());
    assert!(freshness.is_usable(TERMS, at(4_700)));
}

#[test]
fn peer_answer_counts_from_query_minus_reported_age() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7.into());
    // Queried at 6 s, with a reported age of 1.5 s: the answer refers to 4.5 s, whenever it is
    // read.
    freshness.apply_peer_answer(7.into(), Duration::from_millis(1_500), at(6_000));
    assert_eq!(freshness.age(at(6_100)), Some(Duration::from_millis(1_600)));
    assert!(!freshness.is_usable(TERMS, at(9_200)), "the process was paused in between");
    freshness.apply_peer_answer(7.into(), Duration::from_millis(8_000), at(6_000));
    assert_eq!(freshness.age(at(6_100)), Some(Duration::from_millis(1_600)));
}

#[test]
fn new_box_accepts_answers_from_before_its_start() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7.into());
    freshness.apply_peer_answer(7.into(), Duration::from_millis(900), at(20));
    assert_eq!(freshness.age(at(30)), Some(Duration::from_millis(910)));
    assert!(freshness.is_usable(TERMS, at(30)));
    freshness.apply_peer_answer(7.into(), Duration::from_millis(400), at(40));
    assert_eq!(freshness.age(at(40)), Some(Duration::from_millis(400)), "the newer answer counts");
    freshness.apply_peer_answer(7.into(), Duration::from_secs(4_000_000), at(50));
    assert_eq!(freshness.age(at(50)), Some(Duration::from_millis(410)));
}
