//! The crash reports that a box sends, and their recipients.

use std::time::Duration;

use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::units::Moment;
use trackfrontd::serving::crashes::outbox::{Outbox, Recipients};

const REQUEST: Fingerprint = Fingerprint(7);

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(ms))
}

/// Guards against a quarantine that the other boxes don't learn of. Several servers end at once
/// under one request: the crash of the third quarantines it, which is reported to all boxes, and
/// that of the fourth follows before the report is sent. When the later report replaced the earlier
/// one, only the few boxes that count the crashes received it.
#[test]
fn report_for_all_boxes_is_not_narrowed_before_it_is_sent() {
    let mut outbox = Outbox::default();
    outbox.add_report(REQUEST, true, at(0));
    outbox.add_report(REQUEST, false, at(5));
    assert_eq!(outbox.take_due(at(15)), [(REQUEST, Recipients::All)]);
}

#[test]
fn each_report_is_sent_four_times() {
    let mut outbox = Outbox::default();
    outbox.add_report(REQUEST, false, at(0));
    let sends = (0..100).map(|step| outbox.take_due(at(step * 100)).len());
    assert_eq!(sends.sum::<usize>(), 4);
}

#[test]
fn clearance_is_dropped_once_another_box_has_sent_it() {
    let mut outbox = Outbox::default();
    outbox.add_clearance(REQUEST, Recipients::All, at(0));
    outbox.record_received(REQUEST);
    assert!(outbox.take_due(at(1_000)).is_empty());
    outbox.add_report(REQUEST, true, at(2_000));
    outbox.record_received(REQUEST);
    assert_eq!(outbox.take_due(at(2_000)).len(), 1);
}

/// Guards against a crash under a prompt of thousands of parts whose reports take a box's link: each goes to three boxes.
#[test]
fn reports_of_many_parts_are_sent_once() {
    let mut outbox = Outbox::default();
    (0..2_000).for_each(|part| outbox.add_report(Fingerprint(part), false, at(0)));
    let sends = (0..100).map(|step| outbox.take_due(at(step * 100)).len());
    assert!(sends.sum::<usize>() < 3_000);
}
