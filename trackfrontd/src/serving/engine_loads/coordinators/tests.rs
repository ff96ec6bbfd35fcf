//! Which box coordinates an engine while others do not answer.

use super::*;

const ENGINE: u32 = 7;

fn boxes() -> impl Iterator<Item = BoxId> {
    (1..=20).map(BoxId)
}

/// Guards against requests that each wait for a coordinator that is gone.
#[test]
fn unresponsive_coordinator_is_left_out_for_a_while() {
    let mut coordinators = Coordinators::default();
    let start = Moment::default();
    let first = coordinators.find(ENGINE, boxes(), start).expect("boxes");
    assert!(coordinators.mark_unresponsive(first.id, start));
    assert!(!coordinators.mark_unresponsive(first.id, start), "it was known already");
    assert_eq!(coordinators.cached(ENGINE, start), None);
    let standby = coordinators.find(ENGINE, boxes(), start).expect("boxes");
    assert!(standby.is_standby && standby.id != first.id);
    let later = start + UNRESPONSIVE_FOR;
    assert_eq!(coordinators.find(ENGINE, boxes(), later), Some(first));
}

/// Guards against a coordinator that is kept after another box has taken its place.
#[test]
fn cached_coordinator_expires() {
    let mut coordinators = Coordinators::default();
    let start = Moment::default();
    let first = coordinators.find(ENGINE, boxes(), start);
    assert_eq!(coordinators.cached(ENGINE, start), first);
    assert_eq!(coordinators.cached(ENGINE, start + CACHE_TIME), None);
}
