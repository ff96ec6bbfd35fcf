//! The crash reports that a box sends, and their recipients.

use std::time::Duration;

use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::units::Moment;
use trackfrontd::serving::crashes::outbox::Outbox;

const CAUSE: Fingerprint = Fingerprint(7);

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(ms))
}

/// Guards against a quarantine that the other boxes don't learn of. Several servers end at once
/// under one request: the crash of the third quarantines it, which is reported to all boxes, and
/// that of the fourth follows before the report is sent. When the later report replaced the earlier
/// one, only the few boxes that count the crashes received it.
#[test]
fn what_goes_to_all_boxes_does_so_whatever_is_learned_before_it_is_told() {
    let mut outbox = Outbox::default();
    outbox.add_report(CAUSE, true, at(0));
    outbox.add_report(CAUSE, false, at(5));
    assert_eq!(outbox.take_due(at(15)), [(CAUSE, true)]);
}

#[test]
fn each_word_is_told_four_times() {
    let mut outbox = Outbox::default();
    outbox.add_report(CAUSE, false, at(0));
    let told = (0..100).map(|step| outbox.take_due(at(step * 100)).len());
    assert_eq!(told.sum::<usize>(), 4);
}

#[test]
fn an_excuse_is_not_told_once_another_box_has() {
    let mut outbox = Outbox::default();
    outbox.add_clearance(CAUSE, at(0));
    outbox.record_received(CAUSE);
    assert!(outbox.take_due(at(1_000)).is_empty());
    outbox.add_report(CAUSE, true, at(2_000));
    outbox.record_received(CAUSE);
    assert_eq!(outbox.take_due(at(2_000)).len(), 1);
}
