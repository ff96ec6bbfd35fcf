//! Whether a box is cut off from all servers, or some servers have ended.

use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::reach::{Path, ReachChange, ReachTracker};
use trackfront_core::units::Moment;

fn server(number: usize) -> BackendId {
    BackendId::from(format!("server-{number}"))
}

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(60_000 + ms)
}

/// Guards against a box that takes itself for cut off because servers have ended.
#[test]
fn ended_servers_are_no_cut() {
    let mut tracker = ReachTracker::default();
    for number in 0..80 {
        assert_eq!(tracker.record_failed(&server(number), at(number as u64)), None);
    }
    assert_eq!(tracker.cut_off_since(), None);
    assert!(tracker.unconfirmed(at(100)).is_some(), "other boxes are asked");
}

/// Guards against a box that takes itself for cut off because one link is lost.
#[test]
fn single_server_that_others_reach_is_no_cut() {
    let mut tracker = ReachTracker::default();
    tracker.record_failed(&server(1), at(0));
    assert_eq!(tracker.record_relayed(&server(1), at(5)), None);
    assert_eq!(tracker.cut_off_since(), None);
    // But the server is reached through another box for a while.
    assert_eq!(tracker.path(&server(1), at(1_900)), Path::Relayed);
    assert_eq!(tracker.path(&server(1), at(2_100)), Path::Direct);
    assert_eq!(tracker.path(&server(2), at(100)), Path::Direct);
}

/// Guards against a verdict from failures on both sides of a connection that opened.
#[test]
fn connection_that_opened_in_between_is_no_cut() {
    let mut tracker = ReachTracker::default();
    tracker.record_failed(&server(1), at(0));
    tracker.record_opened(&server(3), at(10));
    tracker.record_failed(&server(2), at(20));
    assert_eq!(tracker.record_relayed(&server(2), at(25)), None);
    assert_eq!(tracker.cut_off_since(), None);
}

/// Guards against failures that lie far apart.
#[test]
fn old_failures_do_not_count() {
    let mut tracker = ReachTracker::default();
    tracker.record_failed(&server(1), at(0));
    tracker.record_failed(&server(2), at(5_000));
    assert_eq!(tracker.record_relayed(&server(2), at(5_005)), None);
    assert_eq!(tracker.cut_off_since(), None);
}

/// Guards against requests on connections from before a cut while no box that reaches the servers is found.
#[test]
fn connections_from_before_several_failures_are_not_trusted() {
    let mut tracker = ReachTracker::default();
    tracker.record_failed(&server(1), at(0));
    assert_eq!(tracker.failing_since(), None);
    tracker.record_failed(&server(2), at(100));
    assert_eq!(tracker.failing_since(), Some(at(0)));
    tracker.record_opened(&server(3), at(200));
    assert_eq!(tracker.failing_since(), None);
    assert_eq!(tracker.time_since_reached(at(2_200)), Some(Duration::from_secs(2)));
}

#[test]
fn servers_that_fail_here_and_answer_elsewhere_are_a_cut_until_one_opens() {
    let mut tracker = ReachTracker::default();
    tracker.record_failed(&server(1), at(0));
    tracker.record_relayed(&server(1), at(5));
    let change = tracker.record_failed(&server(2), at(300));
    assert_eq!(change, Some(ReachChange::CutOff { failed_servers: 2, since: at(0) }));
    assert_eq!(tracker.cut_off_since(), Some(at(0)));
    assert_eq!(tracker.path(&server(3), at(30_000)), Path::Relayed);
    let change = tracker.record_opened(&server(9), at(12_000));
    assert_eq!(change, Some(ReachChange::Restored { after: Duration::from_secs(12) }));
    assert_eq!(tracker.path(&server(1), at(12_000)), Path::Direct);
}
