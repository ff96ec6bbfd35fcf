//! Notices in servers' answers, as one box tracks them.

use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::notices::{
    NamedLimit, Notice, NoticeChange, NoticeSource, NoticeTracker,
};
use trackfront_core::serving::permits::Permit;

use super::support::at;

fn server() -> BackendId {
    "s@1".into()
}

/// The source of a notice in a genuine answer to a request that was sent at `ms`.
fn answer(ms: u64) -> NoticeSource {
    NoticeSource { sent: at(ms), is_answer: true }
}

fn names(limit: NamedLimit) -> Notice {
    Notice { limit, ..Notice::default() }
}

#[test]
fn limit_ends_with_answer_to_request_sent_after_it_was_named() {
    let mut tracker = NoticeTracker::default();
    let limited = names(NamedLimit::PerSecond(2.0));
    assert_eq!(
        tracker.apply(&server(), &limited, answer(0), at(100)),
        [NoticeChange::Limited(2.0)]
    );
    assert_eq!(
        tracker.apply(&server(), &limited, answer(50), at(110)),
        [],
        "an unchanged limit is no change"
    );
    let without = names(NamedLimit::Absent);
    assert_eq!(
        tracker.apply(&server(), &without, answer(60), at(120)),
        [],
        "the answer may be older than the limit"
    );
    let refusal = NoticeSource { sent: at(130), is_answer: false };
    assert_eq!(
        tracker.apply(&server(), &without, refusal, at(140)),
        [],
        "a refusal may omit the limit"
    );
    assert_eq!(tracker.limit_per_s(&server()), Some(2.0));
    assert_eq!(tracker.apply(&server(), &without, answer(130), at(150)), [NoticeChange::Unlimited]);
    assert_eq!(tracker.limit_per_s(&server()), None);
    assert_eq!(tracker.apply(&server(), &without, answer(160), at(170)), [], "reported once");
}

/// A permit must not be used before it is valid, after it has expired, or once the server asked for a backoff.
#[test]
fn permit_admits_only_while_valid_and_without_backoff() {
    let mut tracker = NoticeTracker::default();
    let permit = Some(Permit { from: at(1_000) });
    assert!(tracker.admits(&server(), None, at(0)), "no permit is needed without a limit");
    tracker.apply(&server(), &names(NamedLimit::PerSecond(2.0)), answer(0), at(100));
    assert!(!tracker.admits(&server(), None, at(1_000)));
    assert!(!tracker.admits(&server(), permit, at(999)), "not yet");
    assert!(tracker.admits(&server(), permit, at(1_000)));
    assert!(!tracker.admits(&server(), permit, at(1_400)), "expired");
    let backoff = Notice { back_off: Some(Duration::from_secs(3)), ..Notice::default() };
    let refusal = NoticeSource { sent: at(1_000), is_answer: false };
    tracker.apply(&server(), &backoff, refusal, at(1_050));
    assert!(
        !tracker.admits(&server(), permit, at(1_100)),
        "the server asked for a backoff meanwhile"
    );
}

#[test]
fn unreadable_limit_changes_nothing() {
    let mut tracker = NoticeTracker::default();
    let unreadable = names(NamedLimit::Unreadable);
    assert_eq!(tracker.apply(&server(), &unreadable, answer(0), at(10)), []);
    assert_eq!(tracker.limit_per_s(&server()), None);
    tracker.apply(&server(), &names(NamedLimit::PerSecond(1.0)), answer(0), at(20));
    assert_eq!(tracker.apply(&server(), &unreadable, answer(30), at(40)), []);
    assert_eq!(tracker.limit_per_s(&server()), Some(1.0));
}

#[test]
fn latest_limit_statement_holds_in_any_order() {
    let statements = [(Some(4.0), 100), (Some(1.0), 200), (None, 300)];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut tracker = NoticeTracker::default();
        for (per_s, ms) in order.map(|index: usize| statements[index]) {
            tracker.apply_limit(&server(), per_s, at(ms));
        }
        assert_eq!(tracker.limit_per_s(&server()), None, "{order:?}");
        tracker.apply_limit(&server(), Some(1.0), at(250));
        assert_eq!(
            tracker.limit_per_s(&server()),
            None,
            "{order:?}: an ended limit does not return"
        );
    }
}

#[test]
fn leaving_notice_is_permanent() {
    let mut tracker = NoticeTracker::default();
    let leaves = Notice { leaves: true, ..Notice::default() };
    assert_eq!(tracker.apply(&server(), &leaves, answer(0), at(100)), [NoticeChange::Leaves]);
    assert_eq!(tracker.apply(&server(), &leaves, answer(0), at(200)), []);
    assert_eq!(tracker.apply(&server(), &Notice::default(), answer(300), at(310)), []);
    assert_eq!(tracker.leaving_since(&server()), Some(at(100)));
    assert_eq!(tracker.leaving_since(&"s@2".into()), None, "its next incarnation does not leave");
    tracker.forget_old(|_| false, at(60_000));
    assert_eq!(
        tracker.leaving_since(&server()),
        Some(at(100)),
        "its row may have expired for a while"
    );
    tracker.forget_old(|_| false, at(200_000));
    assert_eq!(tracker.leaving_since(&server()), None);
}

#[test]
fn longest_requested_backoff_holds() {
    let mut tracker = NoticeTracker::default();
    let wants = |ms| Notice { back_off: Some(Duration::from_millis(ms)), ..Notice::default() };
    let changes = tracker.apply(&server(), &wants(3_000), answer(0), at(1_000));
    assert_eq!(changes, [NoticeChange::BacksOff(Duration::from_millis(3_000))]);
    assert_eq!(tracker.apply(&server(), &wants(500), answer(0), at(1_100)), []);
    assert_eq!(tracker.backoff_until(&server(), at(3_999)), Some(at(4_000)));
    assert_eq!(tracker.backoff_until(&server(), at(4_000)), None);
}
