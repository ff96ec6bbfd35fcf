//! Requests that crash servers: what is counted, what excuses, what is held off.

use std::time::Duration;

use trackfront_core::ids::AccountName;
use trackfront_core::serving::crashes::{
    CrashReport, CrashTracker, IncarnationId, MAX_CRASHES, SuspicionChange,
};
use trackfront_core::serving::fingerprint::Fingerprint;

use super::support::at;

const CAUSE: Fingerprint = Fingerprint(7);

/// A request loses its connection at a run of a server that is then found to have ended.
fn crash(book: &mut CrashTracker, fingerprint: Fingerprint, run: u32, ms: u64) -> SuspicionChange {
    book.connection_broke(fingerprint, IncarnationId(run), at(ms));
    let learned = book.mark_ended(IncarnationId(run), at(ms + 30));
    learned.last().map_or(SuspicionChange::Unchanged, |(_, what)| *what)
}

fn report(crashed: &[u32]) -> CrashReport {
    let crashed = crashed.iter().copied().map(IncarnationId).collect();
    CrashReport {
        fingerprint: CAUSE,
        crashed,
        excused: Default::default(),
        stored: false,
        together: false,
    }
}

#[test]
fn a_fingerprint_is_the_same_for_the_same_method_path_account_and_body_only() {
    let account = AccountName::from("acct-1");
    let one = Fingerprint::new("POST", "/a?b=1", Some(&account), b"body");
    assert_eq!(one, Fingerprint::new("POST", "/a?b=1", Some(&account), b"body"));
    let others = [
        Fingerprint::new("GET", "/a?b=1", Some(&account), b"body"),
        Fingerprint::new("POST", "/a?b=2", Some(&account), b"body"),
        Fingerprint::new("POST", "/a?b=1", None, b"body"),
        Fingerprint::new("POST", "/a?b=1", Some(&account), b"bodz"),
        Fingerprint::new("POST", "/a?b=1acct", Some(&AccountName::from("-1")), b"body"),
    ];
    assert!(others.iter().all(|other| *other != one));
}

#[test]
fn the_third_server_that_ends_under_a_request_holds_it_off() {
    let mut book = CrashTracker::default();
    assert_eq!(crash(&mut book, CAUSE, 1, 1_000), SuspicionChange::Suspected(1));
    assert_eq!(crash(&mut book, CAUSE, 2, 2_000), SuspicionChange::Suspected(2));
    assert!(!book.is_quarantined(CAUSE));
    assert_eq!(crash(&mut book, CAUSE, 3, 3_000), SuspicionChange::Quarantined);
    assert!(book.is_quarantined(CAUSE));
}

#[test]
fn a_break_at_a_server_that_lives_on_is_no_crash() {
    let mut book = CrashTracker::default();
    for run in 0..20 {
        book.connection_broke(CAUSE, IncarnationId(run), at(1_000));
        book.mark_alive(IncarnationId(run), at(2_100));
        assert!(book.mark_ended(IncarnationId(run), at(2_200)).is_empty());
    }
    assert!(book.report(CAUSE).is_none());
}

/// The answer to another request was on its way as the server ended, and is read after the break.
#[test]
fn an_answer_that_is_read_just_after_a_break_does_not_hide_a_crash() {
    let mut book = CrashTracker::default();
    book.connection_broke(CAUSE, IncarnationId(1), at(1_000));
    book.mark_alive(IncarnationId(1), at(1_001));
    assert_eq!(
        book.mark_ended(IncarnationId(1), at(1_030)),
        [(CAUSE, SuspicionChange::Suspected(1))]
    );
}

#[test]
fn a_break_long_before_a_server_ended_is_no_crash() {
    let mut book = CrashTracker::default();
    book.connection_broke(CAUSE, IncarnationId(1), at(1_000));
    assert!(book.mark_ended(IncarnationId(1), at(12_000)).is_empty());
}

#[test]
fn a_break_that_is_noticed_after_the_end_is_a_crash() {
    let mut book = CrashTracker::default();
    book.mark_ended(IncarnationId(1), at(1_000));
    assert_eq!(
        book.connection_broke(CAUSE, IncarnationId(1), at(1_002)),
        SuspicionChange::Suspected(1)
    );
}

#[test]
fn one_run_counts_once_however_often_it_is_told() {
    let mut book = CrashTracker::default();
    for ms in [1_000, 1_100, 1_200, 1_300] {
        crash(&mut book, CAUSE, 1, ms);
        book.apply_report(&report(&[1]), at(ms + 50));
    }
    assert_eq!(book.report(CAUSE).map(CrashReport::crashes), Some(1));
}

#[test]
fn a_whole_answer_excuses_what_came_before_and_a_while_after() {
    let mut book = CrashTracker::default();
    crash(&mut book, CAUSE, 1, 1_000);
    crash(&mut book, CAUSE, 2, 1_000);
    book.mark_answered(CAUSE, at(2_000));
    for run in 3..9 {
        assert_eq!(crash(&mut book, CAUSE, run, 3_000), SuspicionChange::Unchanged);
    }
    // Long after, it counts from the beginning.
    for run in 9..11 {
        crash(&mut book, CAUSE, run, 70_000);
    }
    assert!(!book.is_quarantined(CAUSE));
    assert_eq!(crash(&mut book, CAUSE, 11, 70_000), SuspicionChange::Quarantined);
}

/// A box that has just started saw a request that many clients send lose three servers; all others answer it.
#[test]
fn a_box_that_has_answered_a_request_excuses_it_for_the_others() {
    let (mut started, mut runs_on) = (CrashTracker::default(), CrashTracker::default());
    runs_on.mark_answered(CAUSE, at(500));
    (1..4).for_each(|run| _ = crash(&mut started, CAUSE, run, 1_000));
    let told = started.report(CAUSE).expect("it was struck").clone();
    assert!(told.is_quarantined());
    runs_on.apply_report(&told, at(1_100));
    assert!(!runs_on.is_quarantined(CAUSE));
    assert!(runs_on.knows_cleared(&told));
    let answer = runs_on.report(CAUSE).expect("it was told").clone();
    assert_eq!(started.apply_report(&answer, at(1_200)), SuspicionChange::Released);
    assert!(!started.knows_cleared(&answer));
}

#[test]
fn what_is_held_off_may_crash_servers_again_only_after_ten_minutes() {
    let mut book = CrashTracker::default();
    book.apply_report(&report(&[1, 2, 3]), at(1_000));
    assert!(book.forget_old(at(600_000)).is_empty());
    assert!(book.is_quarantined(CAUSE));
    let over = book.forget_old(at(601_000));
    assert_eq!(over.len(), 1);
    assert!(!book.is_quarantined(CAUSE));
    assert_eq!(crash(&mut book, CAUSE, 4, 602_000), SuspicionChange::Suspected(1));
}

#[test]
fn an_operator_lets_it_go_and_it_counts_anew() {
    let mut book = CrashTracker::default();
    book.apply_report(&report(&[1, 2, 3]), at(1_000));
    assert_eq!(book.clear_suspicion(CAUSE, at(2_000)), SuspicionChange::Released);
    // What was known elsewhere before changes nothing.
    assert_eq!(book.apply_report(&report(&[1, 2, 3]), at(2_100)), SuspicionChange::Unchanged);
    assert!(!book.is_quarantined(CAUSE));
}

/// A hall loses power: many servers end at once, and what all clients ask for ran on each.
#[test]
fn what_is_held_off_for_crashes_that_came_together_is_tried_twice_at_most() {
    let mut book = CrashTracker::default();
    (1..9).for_each(|run| _ = crash(&mut book, CAUSE, run, 1_000 + u64::from(run)));
    assert!(book.is_quarantined(CAUSE));
    assert!(!book.start_trial(CAUSE, at(2_900)));
    assert!(book.start_trial(CAUSE, at(3_100)));
    assert!(!book.start_trial(CAUSE, at(3_200)));
    assert!(book.start_trial(CAUSE, at(5_200)));
    assert!(!book.start_trial(CAUSE, at(60_000)));
    assert!(book.is_quarantined(CAUSE));
}

#[test]
fn what_is_held_off_for_crashes_one_after_the_other_is_not_tried() {
    let mut book = CrashTracker::default();
    (1..4).for_each(|run| _ = crash(&mut book, CAUSE, run, 1_000 * u64::from(run)));
    assert!(book.is_quarantined(CAUSE));
    assert!(!book.start_trial(CAUSE, at(60_000)));
}

#[test]
fn two_servers_make_a_suspect_also_while_their_end_is_not_known() {
    let mut book = CrashTracker::default();
    book.connection_broke(CAUSE, IncarnationId(1), at(1_000));
    assert!(!book.is_suspect(CAUSE, at(1_000)));
    book.connection_broke(CAUSE, IncarnationId(2), at(1_010));
    assert!(book.is_suspect(CAUSE, at(1_010)));
    book.mark_alive(IncarnationId(1), at(2_020));
    assert!(!book.is_suspect(CAUSE, at(2_020)));
}

/// Clients make a box keep no more than so much, whatever they send; runs beyond add nothing.
#[test]
fn what_is_kept_stays_bounded() {
    let mut book = CrashTracker::default();
    for number in 0..20_000u32 {
        let fingerprint = Fingerprint(u64::from(number) + 100);
        crash(&mut book, fingerprint, number, u64::from(number));
        book.mark_answered(Fingerprint(u64::from(number)), at(u64::from(number)));
        crash(&mut book, CAUSE, number, u64::from(number));
    }
    let kept = book.report(CAUSE).expect("it is struck all the time");
    assert!(kept.crashed.len() <= 16 && kept.excused.len() <= 16);
    assert!(kept.crashes() >= MAX_CRASHES);
    let known = (0..20_000u64).filter(|number| book.report(Fingerprint(number + 100)).is_some());
    assert!(known.count() <= 4_096);
    book.forget_old(at(20_000) + Duration::from_secs(700));
    assert!(book.quarantined().next().is_none());
}
