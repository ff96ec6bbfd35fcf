//! Quarantine of requests that crash servers.

use std::time::Duration;

use trackfront_core::ids::AccountName;
use trackfront_core::serving::crashes::{
    CrashReport, CrashTracker, IncarnationId, MAX_CRASHES, SuspicionChange,
};
use trackfront_core::serving::fingerprint::Fingerprint;

use super::support::at;

const CAUSE: Fingerprint = Fingerprint(7);

/// Breaks the connection of a request at an incarnation that is then found to have ended.
fn crash(
    tracker: &mut CrashTracker,
    fingerprint: Fingerprint,
    incarnation: u32,
    ms: u64,
) -> SuspicionChange {
    tracker.connection_broke(fingerprint, IncarnationId(incarnation), at(ms));
    let changes = tracker.mark_ended(IncarnationId(incarnation), at(ms + 30));
    changes.last().map_or(SuspicionChange::Unchanged, |(_, what)| *what)
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
fn fingerprint_covers_method_path_account_and_body() {
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
fn third_crash_quarantines_request() {
    let mut tracker = CrashTracker::default();
    assert_eq!(crash(&mut tracker, CAUSE, 1, 1_000), SuspicionChange::Suspected(1));
    assert_eq!(crash(&mut tracker, CAUSE, 2, 2_000), SuspicionChange::Suspected(2));
    assert!(!tracker.is_quarantined(CAUSE));
    assert_eq!(crash(&mut tracker, CAUSE, 3, 3_000), SuspicionChange::Quarantined);
    assert!(tracker.is_quarantined(CAUSE));
}

#[test]
fn broken_connection_to_live_server_is_no_crash() {
    let mut tracker = CrashTracker::default();
    for incarnation in 0..20 {
        tracker.connection_broke(CAUSE, IncarnationId(incarnation), at(1_000));
        tracker.mark_alive(IncarnationId(incarnation), at(2_100));
        assert!(tracker.mark_ended(IncarnationId(incarnation), at(2_200)).is_empty());
    }
    assert!(tracker.report(CAUSE).is_none());
}

/// The answer to another request was in transit as the server ended, and is read after the break.
#[test]
fn answer_read_just_after_break_does_not_hide_crash() {
    let mut tracker = CrashTracker::default();
    tracker.connection_broke(CAUSE, IncarnationId(1), at(1_000));
    tracker.mark_alive(IncarnationId(1), at(1_001));
    assert_eq!(
        tracker.mark_ended(IncarnationId(1), at(1_030)),
        [(CAUSE, SuspicionChange::Suspected(1))]
    );
}

#[test]
fn break_long_before_end_is_no_crash() {
    let mut tracker = CrashTracker::default();
    tracker.connection_broke(CAUSE, IncarnationId(1), at(1_000));
    assert!(tracker.mark_ended(IncarnationId(1), at(12_000)).is_empty());
}

#[test]
fn break_noticed_after_end_is_a_crash() {
    let mut tracker = CrashTracker::default();
    tracker.mark_ended(IncarnationId(1), at(1_000));
    assert_eq!(
        tracker.connection_broke(CAUSE, IncarnationId(1), at(1_002)),
        SuspicionChange::Suspected(1)
    );
}

#[test]
fn incarnation_counts_once_however_often_it_is_reported() {
    let mut tracker = CrashTracker::default();
    for ms in [1_000, 1_100, 1_200, 1_300] {
        crash(&mut tracker, CAUSE, 1, ms);
        tracker.apply_report(&report(&[1]), at(ms + 50));
    }
    assert_eq!(tracker.report(CAUSE).map(CrashReport::crashes), Some(1));
}

#[test]
fn complete_answer_clears_earlier_crashes_and_later_ones_for_a_while() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, CAUSE, 1, 1_000);
    crash(&mut tracker, CAUSE, 2, 1_000);
    tracker.mark_answered(CAUSE, at(2_000));
    for incarnation in 3..9 {
        assert_eq!(crash(&mut tracker, CAUSE, incarnation, 3_000), SuspicionChange::Unchanged);
    }
    // Once the answer has expired, crashes count from zero.
    for incarnation in 9..11 {
        crash(&mut tracker, CAUSE, incarnation, 70_000);
    }
    assert!(!tracker.is_quarantined(CAUSE));
    assert_eq!(crash(&mut tracker, CAUSE, 11, 70_000), SuspicionChange::Quarantined);
}

/// A box that has just started suspects a request that many clients send, while the other boxes have answers to it.
#[test]
fn box_that_got_an_answer_clears_request_for_others() {
    let (mut started, mut experienced) = (CrashTracker::default(), CrashTracker::default());
    experienced.mark_answered(CAUSE, at(500));
    (1..4).for_each(|incarnation| _ = crash(&mut started, CAUSE, incarnation, 1_000));
    let received = started.report(CAUSE).expect("it is suspected").clone();
    assert!(received.is_quarantined());
    experienced.apply_report(&received, at(1_100));
    assert!(!experienced.is_quarantined(CAUSE));
    assert!(experienced.knows_cleared(&received));
    let answer = experienced.report(CAUSE).expect("the report was applied").clone();
    assert_eq!(started.apply_report(&answer, at(1_200)), SuspicionChange::Released);
    assert!(!started.knows_cleared(&answer));
}

#[test]
fn quarantine_ends_after_ten_minutes() {
    let mut tracker = CrashTracker::default();
    tracker.apply_report(&report(&[1, 2, 3]), at(1_000));
    assert!(tracker.forget_old(at(600_000)).is_empty());
    assert!(tracker.is_quarantined(CAUSE));
    let released = tracker.forget_old(at(601_000));
    assert_eq!(released.len(), 1);
    assert!(!tracker.is_quarantined(CAUSE));
    assert_eq!(crash(&mut tracker, CAUSE, 4, 602_000), SuspicionChange::Suspected(1));
}

#[test]
fn operator_release_restarts_the_count() {
    let mut tracker = CrashTracker::default();
    tracker.apply_report(&report(&[1, 2, 3]), at(1_000));
    assert_eq!(tracker.clear_suspicion(CAUSE, at(2_000)), SuspicionChange::Released);
    // Another box's report of the old crashes changes nothing.
    assert_eq!(tracker.apply_report(&report(&[1, 2, 3]), at(2_100)), SuspicionChange::Unchanged);
    assert!(!tracker.is_quarantined(CAUSE));
}

/// A hall that loses power takes down many servers at once, and a request that all clients send ran on each of them.
#[test]
fn quarantine_for_simultaneous_crashes_gets_two_trials_at_most() {
    let mut tracker = CrashTracker::default();
    (1..9).for_each(|incarnation| {
        _ = crash(&mut tracker, CAUSE, incarnation, 1_000 + u64::from(incarnation))
    });
    assert!(tracker.is_quarantined(CAUSE));
    assert!(!tracker.start_trial(CAUSE, at(2_900)));
    assert!(tracker.start_trial(CAUSE, at(3_100)));
    assert!(!tracker.start_trial(CAUSE, at(3_200)));
    assert!(tracker.start_trial(CAUSE, at(5_200)));
    assert!(!tracker.start_trial(CAUSE, at(60_000)));
    assert!(tracker.is_quarantined(CAUSE));
}

#[test]
fn quarantine_for_successive_crashes_gets_no_trial() {
    let mut tracker = CrashTracker::default();
    (1..4).for_each(|incarnation| {
        _ = crash(&mut tracker, CAUSE, incarnation, 1_000 * u64::from(incarnation))
    });
    assert!(tracker.is_quarantined(CAUSE));
    assert!(!tracker.start_trial(CAUSE, at(60_000)));
}

#[test]
fn two_broken_connections_make_a_suspect() {
    let mut tracker = CrashTracker::default();
    tracker.connection_broke(CAUSE, IncarnationId(1), at(1_000));
    assert!(!tracker.is_suspect(CAUSE, at(1_000)));
    tracker.connection_broke(CAUSE, IncarnationId(2), at(1_010));
    assert!(tracker.is_suspect(CAUSE, at(1_010)));
    tracker.mark_alive(IncarnationId(1), at(2_020));
    assert!(!tracker.is_suspect(CAUSE, at(2_020)));
}

/// Whatever clients send, the memory of a box is bounded; incarnations beyond the limit add nothing.
#[test]
fn memory_stays_bounded() {
    let mut tracker = CrashTracker::default();
    for number in 0..20_000u32 {
        let fingerprint = Fingerprint(u64::from(number) + 100);
        crash(&mut tracker, fingerprint, number, u64::from(number));
        tracker.mark_answered(Fingerprint(u64::from(number)), at(u64::from(number)));
        crash(&mut tracker, CAUSE, number, u64::from(number));
    }
    let kept = tracker.report(CAUSE).expect("it keeps crashing servers");
    assert!(kept.crashed.len() <= 16 && kept.excused.len() <= 16);
    assert!(kept.crashes() >= MAX_CRASHES);
    let known = (0..20_000u64).filter(|number| tracker.report(Fingerprint(number + 100)).is_some());
    assert!(known.count() <= 4_096);
    tracker.forget_old(at(20_000) + Duration::from_secs(700));
    assert!(tracker.quarantined().next().is_none());
}
