//! The order in which a starting box asks others for snapshots, and which box reads for the others.

use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;
use trackfrontd::serving::delegates::{CapacityClass, ListedBox};
use trackfrontd::serving::messages::Digest;
use trackfrontd::serving::peer_tracker::{ConfigHolders, PeerTracker};

const OWN_HALL: u32 = 1;
const OTHER_HALL: u32 = 2;

/// Guards against asking boxes that have no snapshot yet: when many restart together, asking in
/// order of address hits such boxes first, and each failed request costs a listing of all servers.
#[test]
fn boxes_that_sent_digests_come_first_and_own_hall_before_others() {
    let now = Moment(Duration::from_secs(100));
    let ip = |last| Ipv4Addr::new(10, 0, 0, last);
    let listed = |last, hall| ListedBox { ip: ip(last), hall, capacity: CapacityClass::default() };
    let mut tracker = PeerTracker::new(listed(9, OWN_HALL));
    (1..=3).for_each(|last| tracker.add_listed(listed(last, OWN_HALL), now));
    (4..=5).for_each(|last| tracker.add_listed(listed(last, OTHER_HALL), now));
    tracker.record_digest(ip(3), &Digest { hall: OWN_HALL, ..Digest::default() }, now);
    tracker.record_digest(ip(5), &Digest { hall: OTHER_HALL, ..Digest::default() }, now);
    let order = tracker.likely_up(now);
    assert_eq!(order, [ip(3), ip(1), ip(2), ip(5), ip(4)]);
}

/// Guards against boxes that have all just started and wait for each other: those that the others ask first read for all.
#[test]
fn boxes_that_are_asked_first_read_while_no_box_knows_which_are_up() {
    let now = Moment(Duration::from_secs(100));
    let ip = |last| Ipv4Addr::new(10, 0, 0, last);
    let capacity = |last| match last {
        3 => CapacityClass::new(64.0, 100_000.0, 1_000_000.0),
        _ => CapacityClass::default(),
    };
    let listed = |last| ListedBox { ip: ip(last), hall: OWN_HALL, capacity: capacity(last) };
    let readers = (1..=9).filter(|me| {
        let mut tracker = PeerTracker::new(listed(*me));
        (1..=9).for_each(|last| tracker.add_listed(listed(last), now));
        let asked = tracker.likely_up(now);
        let first: Vec<_> = [3, 1, 2].into_iter().filter(|other| other != me).map(ip).collect();
        assert_eq!(asked[..2], first[..2]);
        tracker.is_listed_first()
    });
    assert_eq!(readers.collect::<Vec<_>>(), [1, 3]);
}

/// Guards against a configuration that only its hall's feed reader is asked for: any box that has it in force, as its
/// digests say, hands it out, for as long as it is alive and has not denied it.
#[test]
fn boxes_with_a_newer_configuration_in_force_are_asked_for_it() {
    let now = Moment(Duration::from_secs(100));
    let ip = |last| Ipv4Addr::new(10, 0, 0, last);
    let listed = |last, hall| ListedBox { ip: ip(last), hall, capacity: CapacityClass::default() };
    let row = StoreVersion::from_bits;
    let mut tracker = PeerTracker::new(listed(9, OWN_HALL));
    let digest =
        |hall, config_row| Digest { hall, config_row: row(config_row), ..Digest::default() };
    tracker.record_digest(ip(1), &digest(OWN_HALL, 7), now);
    tracker.record_digest(ip(2), &digest(OWN_HALL, 5), now);
    tracker.record_digest(ip(3), &digest(OTHER_HALL, 8), now);
    let holders = tracker.config_holders(row(5), now);
    assert_eq!(holders, ConfigHolders { in_hall: vec![ip(1)], elsewhere: vec![ip(3)] });
    tracker.deny_config(ip(1), tracker.config_row_of(ip(1)));
    tracker.record_digest(ip(1), &digest(OWN_HALL, 7), now);
    assert!(tracker.config_holders(row(5), now).in_hall.is_empty());
    tracker.record_digest(ip(1), &digest(OWN_HALL, 8), now);
    assert_eq!(tracker.config_holders(row(5), now).in_hall, [ip(1)]);
    assert_eq!(tracker.config_holders(row(8), now), ConfigHolders::default());
    let later = now + Duration::from_secs(2);
    assert_eq!(tracker.config_holders(row(5), later), ConfigHolders::default());
}

/// Guards against a box that is never asked again for a row that it got while it answered that it had nothing newer.
#[test]
fn denial_is_of_the_row_that_was_offered_when_the_box_was_asked() {
    let now = Moment(Duration::from_secs(100));
    let ip = |last| Ipv4Addr::new(10, 0, 0, last);
    let listed = ListedBox { ip: ip(9), hall: OWN_HALL, capacity: CapacityClass::default() };
    let row = StoreVersion::from_bits;
    let mut tracker = PeerTracker::new(listed);
    let digest =
        |config_row| Digest { hall: OWN_HALL, config_row: row(config_row), ..Digest::default() };
    tracker.record_digest(ip(1), &digest(5), now);
    let offered = tracker.config_row_of(ip(1));
    tracker.record_digest(ip(1), &digest(7), now);
    tracker.deny_config(ip(1), offered);
    assert_eq!(tracker.config_holders(row(5), now).in_hall, [ip(1)]);
}
