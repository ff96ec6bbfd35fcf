//! The order in which a starting box asks others for snapshots.

use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::units::Moment;
use trackfrontd::serving::delegates::{CapacityClass, ListedBox};
use trackfrontd::serving::messages::Digest;
use trackfrontd::serving::peer_tracker::PeerTracker;

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
