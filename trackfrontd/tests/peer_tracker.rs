//! Which boxes one that starts asks first.

use std::net::Ipv4Addr;
use std::time::Duration;

use trackfront_core::units::Moment;
use trackfrontd::serving::delegates::{CapacityClass, ListedBox};
use trackfrontd::serving::messages::Digest;
use trackfrontd::serving::peer_tracker::PeerTracker;

const OWN_HALL: u32 = 1;
const OTHER_HALL: u32 = 2;

/// Of many boxes that start again together the lowest addresses have nothing to hand out yet, and each that is asked
/// in vain costs a listing of all servers where the next one could have given a copy.
#[test]
fn boxes_that_were_heard_are_asked_first_and_those_of_the_own_hall_before_others() {
    let now = Moment(Duration::from_secs(100));
    let ip = |last| Ipv4Addr::new(10, 0, 0, last);
    let place = |last, hall| ListedBox { ip: ip(last), hall, capacity: CapacityClass::default() };
    let mut book = PeerTracker::new(place(9, OWN_HALL));
    (1..=3).for_each(|last| book.add_listed(place(last, OWN_HALL), now));
    (4..=5).for_each(|last| book.add_listed(place(last, OTHER_HALL), now));
    book.record_digest(ip(3), &Digest { hall: OWN_HALL, ..Digest::default() }, now);
    book.record_digest(ip(5), &Digest { hall: OTHER_HALL, ..Digest::default() }, now);
    let order = book.likely_up(now);
    assert_eq!(order, [ip(3), ip(1), ip(2), ip(5), ip(4)]);
}
