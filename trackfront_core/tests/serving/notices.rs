//! What one box makes of what servers say in their answers.

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

/// A whole answer to a request that was sent at `ms`.
fn answer(ms: u64) -> NoticeSource {
    NoticeSource { sent: at(ms), is_answer: true }
}

fn names(limit: NamedLimit) -> Notice {
    Notice { limit, ..Notice::default() }
}

#[test]
fn a_limit_ends_with_an_answer_to_a_request_that_was_sent_after_it_was_named() {
    let mut book = NoticeTracker::default();
    let limited = names(NamedLimit::PerSecond(2.0));
    assert_eq!(book.apply(&server(), &limited, answer(0), at(100)), [NoticeChange::Limited(2.0)]);
    assert_eq!(book.apply(&server(), &limited, answer(50), at(110)), [], "the same is no news");
    let without = names(NamedLimit::Absent);
    assert_eq!(book.apply(&server(), &without, answer(60), at(120)), [], "it may be the older one");
    let refusal = NoticeSource { sent: at(130), is_answer: false };
    assert_eq!(book.apply(&server(), &without, refusal, at(140)), [], "refusals may name nothing");
    assert_eq!(book.limit_per_s(&server()), Some(2.0));
    assert_eq!(book.apply(&server(), &without, answer(130), at(150)), [NoticeChange::Unlimited]);
    assert_eq!(book.limit_per_s(&server()), None);
    assert_eq!(book.apply(&server(), &without, answer(160), at(170)), [], "told once");
}

/// Guards against a turn that is used although it has lapsed, has not come yet, or the server has asked for rest since.
#[test]
fn a_turn_lets_in_when_it_has_come_until_it_lapses_or_the_server_asks_for_rest() {
    let mut book = NoticeTracker::default();
    let turn = Some(Permit { from: at(1_000) });
    assert!(book.admits(&server(), None, at(0)), "without a limit no turn is needed");
    book.apply(&server(), &names(NamedLimit::PerSecond(2.0)), answer(0), at(100));
    assert!(!book.admits(&server(), None, at(1_000)));
    assert!(!book.admits(&server(), turn, at(999)), "not yet");
    assert!(book.admits(&server(), turn, at(1_000)));
    assert!(!book.admits(&server(), turn, at(1_400)), "lapsed");
    let rest = Notice { back_off: Some(Duration::from_secs(3)), ..Notice::default() };
    let refusal = NoticeSource { sent: at(1_000), is_answer: false };
    book.apply(&server(), &rest, refusal, at(1_050));
    assert!(!book.admits(&server(), turn, at(1_100)), "asked for rest meanwhile");
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing() {
    let mut book = NoticeTracker::default();
    let unreadable = names(NamedLimit::Unreadable);
    assert_eq!(book.apply(&server(), &unreadable, answer(0), at(10)), []);
    assert_eq!(book.limit_per_s(&server()), None);
    book.apply(&server(), &names(NamedLimit::PerSecond(1.0)), answer(0), at(20));
    assert_eq!(book.apply(&server(), &unreadable, answer(30), at(40)), []);
    assert_eq!(book.limit_per_s(&server()), Some(1.0));
}

#[test]
fn of_two_words_on_a_limit_the_later_holds_in_whatever_order_they_come() {
    let words = [(Some(4.0), 100), (Some(1.0), 200), (None, 300)];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut book = NoticeTracker::default();
        for (per_s, ms) in order.map(|index: usize| words[index]) {
            book.apply_limit(&server(), per_s, at(ms));
        }
        assert_eq!(book.limit_per_s(&server()), None, "{order:?}");
        book.apply_limit(&server(), Some(1.0), at(250));
        assert_eq!(
            book.limit_per_s(&server()),
            None,
            "{order:?}: what is over is not brought back"
        );
    }
}

#[test]
fn a_server_that_leaves_does_so_for_good() {
    let mut book = NoticeTracker::default();
    let leaves = Notice { leaves: true, ..Notice::default() };
    assert_eq!(book.apply(&server(), &leaves, answer(0), at(100)), [NoticeChange::Leaves]);
    assert_eq!(book.apply(&server(), &leaves, answer(0), at(200)), []);
    assert_eq!(book.apply(&server(), &Notice::default(), answer(300), at(310)), []);
    assert_eq!(book.leaving_since(&server()), Some(at(100)));
    assert_eq!(book.leaving_since(&"s@2".into()), None, "its next run does not");
    book.forget_old(|_| false, at(60_000));
    assert_eq!(book.leaving_since(&server()), Some(at(100)), "its row may have lapsed");
    book.forget_old(|_| false, at(200_000));
    assert_eq!(book.leaving_since(&server()), None);
}

#[test]
fn the_longest_time_that_a_server_asked_for_holds() {
    let mut book = NoticeTracker::default();
    let wants = |ms| Notice { back_off: Some(Duration::from_millis(ms)), ..Notice::default() };
    let learned = book.apply(&server(), &wants(3_000), answer(0), at(1_000));
    assert_eq!(learned, [NoticeChange::BacksOff(Duration::from_millis(3_000))]);
    assert_eq!(book.apply(&server(), &wants(500), answer(0), at(1_100)), []);
    assert_eq!(book.backoff_until(&server(), at(3_999)), Some(at(4_000)));
    assert_eq!(book.backoff_until(&server(), at(4_000)), None);
}
