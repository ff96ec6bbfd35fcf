use std::time::Duration;

use trackfront_core::serving::key_freshness::{KeyFreshness, RevocationTerms};

use super::support::at;

const TERMS: RevocationTerms = RevocationTerms { bound: Duration::from_millis(5_000) };

#[test]
fn nothing_is_usable_before_anything_showed_it() {
    let mut freshness = KeyFreshness::default();
    assert!(!freshness.is_usable(TERMS, at(0)));
    freshness.set_in_force(7);
    assert!(!freshness.is_usable(TERMS, at(0)));
}

#[test]
fn an_answer_counts_from_the_moment_of_its_question() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7);
    freshness.confirm_newest(7, at(1_000));
    assert_eq!(freshness.age(at(1_500)), Some(Duration::from_millis(500)));
    assert!(freshness.is_usable(TERMS, at(5_500)));
    assert!(!freshness.is_usable(TERMS, at(5_600)), "a margin is kept back");
    // An older answer that comes later takes nothing back.
    freshness.confirm_newest(7, at(500));
    assert_eq!(freshness.age(at(1_500)), Some(Duration::from_millis(500)));
}

#[test]
fn word_of_a_newer_row_counts_once_that_is_in_force() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7);
    freshness.confirm_newest(7, at(1_000));
    freshness.confirm_newest(9, at(4_000));
    assert_eq!(freshness.age(at(4_000)), Some(Duration::from_millis(3_000)));
    freshness.set_in_force(8);
    assert_eq!(freshness.age(at(4_000)), Some(Duration::from_millis(3_000)), "8 is not 9");
    freshness.set_in_force(9);
    assert_eq!(freshness.age(at(4_000)), Some(Duration::ZERO));
}

#[test]
fn word_of_an_older_row_confirms_what_was_written_after_it() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(9);
    freshness.confirm_newest(7, at(2_000));
    assert_eq!(freshness.age(at(2_500)), Some(Duration::from_millis(500)));
}

#[test]
fn two_removals_in_a_row_leave_no_gap() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(1);
    freshness.confirm_newest(1, at(0));
    freshness.confirm_newest(2, at(3_000));
    freshness.confirm_newest(3, at(3_500));
    freshness.set_in_force(2);
    // What was told of row 3 says nothing of row 2: it may have been replaced since.
    assert!(!freshness.is_usable(TERMS, at(4_700)));
    freshness.set_in_force(3);
    assert!(freshness.is_usable(TERMS, at(4_700)));
}

#[test]
fn word_of_another_box_counts_from_the_question_and_grows_by_what_that_box_tells() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7);
    // Asked at 6 s, and the other box was 1.5 s old: whenever the answer is read, it is of 4.5 s.
    freshness.apply_peer_answer(7, Duration::from_millis(1_500), at(6_000));
    assert_eq!(freshness.age(at(6_100)), Some(Duration::from_millis(1_600)));
    assert!(!freshness.is_usable(TERMS, at(9_200)), "the process stood still meanwhile");
    freshness.apply_peer_answer(7, Duration::from_millis(8_000), at(6_000));
    assert_eq!(freshness.age(at(6_100)), Some(Duration::from_millis(1_600)));
}

#[test]
fn a_box_that_has_just_started_takes_word_of_before_its_start() {
    let mut freshness = KeyFreshness::default();
    freshness.set_in_force(7);
    freshness.apply_peer_answer(7, Duration::from_millis(900), at(20));
    assert_eq!(freshness.age(at(30)), Some(Duration::from_millis(910)));
    assert!(freshness.is_usable(TERMS, at(30)));
    freshness.apply_peer_answer(7, Duration::from_millis(400), at(40));
    assert_eq!(freshness.age(at(40)), Some(Duration::from_millis(400)), "the younger word counts");
    freshness.apply_peer_answer(7, Duration::from_secs(4_000_000), at(50));
    assert_eq!(freshness.age(at(50)), Some(Duration::from_millis(410)));
}
