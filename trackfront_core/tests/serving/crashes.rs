//! Quarantine of requests that crash servers.

use std::time::Duration;

use trackfront_core::ids::AccountName;
use trackfront_core::serving::crashes::{
    BreakTimes, CrashReport, CrashTracker, IncarnationId, MAX_CRASHES, SuspicionChange,
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

/// Guards against a quarantine without trials because of a crash that a complete answer cleared long before.
#[test]
fn cleared_crash_does_not_make_later_simultaneous_ones_successive() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, CAUSE, 1, 1_000);
    tracker.mark_answered(CAUSE, at(2_000));
    (2..5).for_each(|incarnation| _ = crash(&mut tracker, CAUSE, incarnation, 70_000));
    assert!(tracker.is_quarantined(CAUSE));
    assert!(tracker.start_trial(CAUSE, at(72_100)));
}

/// Guards against a quarantine without trials because a busy box learns of simultaneous crashes one after the other: the
/// third was known 275 ms after the first, while all connections had broken at once.
#[test]
fn simultaneous_crashes_that_are_learned_late_get_trials() {
    let mut tracker = CrashTracker::default();
    for incarnation in 1..4 {
        tracker.connection_broke(CAUSE, IncarnationId(incarnation), at(1_000));
    }
    tracker.mark_ended(IncarnationId(1), at(1_050));
    tracker.apply_report(&report(&[1, 2]), at(1_320));
    tracker.mark_ended(IncarnationId(3), at(2_000));
    assert!(tracker.is_quarantined(CAUSE));
    assert!(tracker.start_trial(CAUSE, at(4_100)));
}

/// Guards against a quarantine without trials at boxes that had no connections to the servers: they learned of the crashes
/// from several boxes, up to 300 ms apart, as these found out that the servers had ended.
#[test]
fn simultaneous_crashes_that_several_boxes_saw_get_trials() {
    let mut counting = CrashTracker::default();
    let mut learn = |incarnation: u32, ended_ms: u64| {
        let mut other = CrashTracker::default();
        other.connection_broke(CAUSE, IncarnationId(incarnation), at(1_000));
        other.mark_ended(IncarnationId(incarnation), at(ended_ms));
        let report = other.report(CAUSE).expect("it is suspected").clone();
        counting.apply_report(&report, at(ended_ms + 20));
        let times = other.break_times(CAUSE, at(ended_ms)).expect("it is suspected");
        counting.apply_break_times(&times, at(ended_ms + 20))
    };
    assert!(!learn(1, 1_050));
    assert!(!learn(2, 1_300));
    assert!(learn(3, 3_000));
    assert!(counting.is_quarantined(CAUSE));
    assert!(!counting.start_trial(CAUSE, at(5_000)));
    assert!(counting.start_trial(CAUSE, at(5_100)));
}

/// Guards against crashes that count as simultaneous because a box learned of all of them from one report.
#[test]
fn crashes_of_unknown_times_get_no_trials() {
    let mut tracker = CrashTracker::default();
    tracker.apply_report(&report(&[1, 2, 3]), at(1_000));
    let some = BreakTimes {
        fingerprint: CAUSE,
        ages_ms: vec![(IncarnationId(1), 10), (IncarnationId(2), 10)],
    };
    assert!(!tracker.apply_break_times(&some, at(1_010)));
    assert!(!tracker.start_trial(CAUSE, at(60_000)));
}

/// Guards against a quarantine without trials at a box that learns only afterwards that the crashes happened together.
#[test]
fn trials_follow_from_what_another_box_saw() {
    let mut tracker = CrashTracker::default();
    tracker.apply_report(&report(&[1]), at(1_000));
    tracker.apply_report(&report(&[1, 2, 3]), at(1_400));
    assert!(!tracker.start_trial(CAUSE, at(3_500)));
    let seen_together = CrashReport { together: true, ..report(&[1, 2, 3]) };
    tracker.apply_report(&seen_together, at(3_600));
    assert!(tracker.start_trial(CAUSE, at(5_700)));
    tracker.apply_report(&seen_together, at(5_800));
    assert!(tracker.start_trial(CAUSE, at(7_800)));
    assert!(!tracker.start_trial(CAUSE, at(60_000)));
}

/// Guards against trials that are used up although no server got them, as while all servers restart.
#[test]
fn returned_trial_is_granted_again() {
    let mut tracker = CrashTracker::default();
    (1..4).for_each(|incarnation| _ = crash(&mut tracker, CAUSE, incarnation, 1_000));
    for ms in [4_000, 7_000, 10_000] {
        assert!(tracker.start_trial(CAUSE, at(ms)));
        tracker.return_trial(CAUSE);
    }
    assert!(tracker.start_trial(CAUSE, at(13_000)));
    assert!(tracker.start_trial(CAUSE, at(16_000)));
    assert!(!tracker.start_trial(CAUSE, at(60_000)));
}

/// Guards against a quarantine without trials after all boxes were restarted, and against trials beyond those allowed.
#[test]
fn restarted_box_grants_the_trials_that_were_not_made() {
    let together = CrashReport { together: true, ..report(&[1, 2, 3]) };
    for (made, left) in [(0, 2), (1, 1), (2, 0), (3, 0)] {
        let mut tracker = CrashTracker::default();
        tracker.load(&together, at(1_000));
        assert!(!tracker.needs_trial_count(CAUSE, at(2_000)));
        assert!(tracker.needs_trial_count(CAUSE, at(3_000)));
        tracker.set_trials_made(CAUSE, made);
        assert!(!tracker.needs_trial_count(CAUSE, at(4_000)));
        let granted = (4..60).filter(|s| tracker.start_trial(CAUSE, at(s * 1_000))).count();
        assert_eq!(granted, left, "{made} made");
    }
    let mut tracker = CrashTracker::default();
    tracker.load(&report(&[1, 2, 3]), at(1_000));
    assert!(!tracker.needs_trial_count(CAUSE, at(60_000)));
}

/// Guards against one trial more if two boxes ask for one while the trials that were made are counted.
#[test]
fn trials_are_counted_once() {
    let mut tracker = CrashTracker::default();
    tracker.load(&CrashReport { together: true, ..report(&[1, 2, 3]) }, at(1_000));
    tracker.set_trials_made(CAUSE, 1);
    assert!(tracker.start_trial(CAUSE, at(4_000)));
    tracker.set_trials_made(CAUSE, 1);
    assert!(!tracker.start_trial(CAUSE, at(60_000)));
}

#[test]
fn boxes_ask_for_trials_at_growing_intervals() {
    let mut tracker = CrashTracker::default();
    let together = CrashReport { together: true, ..report(&[1, 2, 3]) };
    tracker.load(&together, at(1_000));
    let asks = (0..120_000).filter(|ms| tracker.should_ask_for_trial(CAUSE, at(1_000 + ms)));
    let asks: Vec<_> = asks.collect();
    assert_eq!(asks[..5], [2_000, 4_000, 8_000, 16_000, 32_000]);
    assert_eq!(asks[5] - asks[4], 16_000);
    assert!(!tracker.start_trial(CAUSE, at(200_000)));
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
    assert!(known.count() <= 16_384);
    tracker.forget_old(at(20_000) + Duration::from_secs(700));
    assert!(tracker.quarantined().next().is_none());
}

/// Guards against a quarantine without a row because the row of its suspicion is taken for one.
#[test]
fn row_of_a_suspicion_is_none_of_the_quarantine() {
    let is_stored = |tracker: &CrashTracker| tracker.report(CAUSE).is_some_and(|it| it.stored);
    let suspicion = CrashReport { stored: true, ..report(&[1, 2]) };
    let mut tracker = CrashTracker::default();
    tracker.apply_report(&suspicion, at(1_000));
    assert!(is_stored(&tracker));
    crash(&mut tracker, CAUSE, 3, 2_000);
    assert!(tracker.is_quarantined(CAUSE) && !is_stored(&tracker));
    tracker.apply_report(&suspicion, at(2_100));
    tracker.set_stored(&suspicion);
    assert!(!is_stored(&tracker));
    tracker.set_stored(&report(&[1, 2, 3]));
    assert!(is_stored(&tracker));
}

/// A box that restarts is told of those first that are nearest to a quarantine.
#[test]
fn requests_with_the_most_crashes_are_handed_on_first() {
    let mut tracker = CrashTracker::default();
    for number in 0..300u32 {
        crash(&mut tracker, Fingerprint(u64::from(number)), number, 1_000 + u64::from(number));
    }
    crash(&mut tracker, Fingerprint(5), 1_005, 1_000);
    (0..3).for_each(|crash_number| _ = crash(&mut tracker, CAUSE, 2_000 + crash_number, 5_000));
    let handed_on = tracker.suspected(10);
    assert_eq!(handed_on.len(), 10);
    assert_eq!(handed_on[0].0.fingerprint, Fingerprint(5));
    assert_eq!(handed_on[1].0.fingerprint, Fingerprint(299));
    assert!(handed_on.iter().all(|(report, _)| report.fingerprint != CAUSE));
}

/// Returns the fingerprints of as many parts as the longest prompts have, of a prompt of a number.
fn longest_prompt(number: u64) -> Vec<Fingerprint> {
    (0..2_000).map(|part| Fingerprint::of_part(number * 10_000 + part)).collect()
}

/// Guards against a cause that is forgotten because each crash blames thousands of parts of sound prompts as well.
#[test]
fn cause_is_found_among_thousands_of_parts_at_each_crash() {
    let (mut tracker, cause) = (CrashTracker::default(), Fingerprint::of_part(1));
    for crash in 0..3u32 {
        let now = at(1_000 + u64::from(crash) * 500);
        let incarnation = IncarnationId(crash);
        for request in 0..5 {
            let prompt = longest_prompt(1 + u64::from(crash) * 5 + request);
            tracker.connections_broke(&prompt, incarnation, now);
        }
        tracker.connections_broke(&[cause], incarnation, now);
        tracker.mark_ended(incarnation, now + Duration::from_millis(30));
    }
    assert!(tracker.is_quarantined(cause));
}

/// Guards against answers to requests that are forgotten because of prompts with thousands of parts.
#[test]
fn answers_to_requests_outlast_those_to_many_parts() {
    let mut tracker = CrashTracker::default();
    tracker.mark_answered(CAUSE, at(1_000));
    for number in 0..100 {
        tracker.mark_all_answered(&longest_prompt(number), at(1_100 + number));
    }
    (0..5).for_each(|incarnation| _ = crash(&mut tracker, CAUSE, incarnation, 5_000));
    assert_eq!(tracker.report(CAUSE), None);
}

/// Parts that ended whole just before a crash are not blamed, however many there are.
#[test]
fn parts_of_a_sound_conversation_are_not_blamed() {
    let (mut tracker, cause) = (CrashTracker::default(), Fingerprint::of_part(1));
    let mut prompt = longest_prompt(1);
    for second in 0..30 {
        tracker.mark_all_answered(&prompt, at(second * 1_000));
    }
    prompt.push(cause);
    let changes = tracker.connections_broke(&prompt, IncarnationId(1), at(30_500));
    assert_eq!(changes, []);
    let changes = tracker.mark_ended(IncarnationId(1), at(30_530));
    assert_eq!(changes, [(cause, SuspicionChange::Suspected(1))]);
}
