use super::*;

const TTL: Duration = Duration::from_secs(10);

fn at(secs: u64) -> Moment {
    Moment(Duration::from_secs(secs))
}

fn seen(holder: Option<&str>, since: u64) -> ObservedLease {
    let row = LeaseRow { holder: holder.map(NodeId::from), fence: Fence(4), ttl_ms: 10_000 };
    ObservedLease { version: 1, row, since: at(since) }
}

#[test]
fn a_paused_holder_wakes_without_the_lease() {
    let mut lease = LeaseHolder::new(TTL).state_machine();
    lease.handle(&LeaseEvent::Written { fence: Fence(5), sent_at: at(0) });
    assert_eq!(lease.state().usable(at(7)), Some(Fence(5)));
    assert_eq!(lease.state().usable(at(8)), None);
    lease.handle(&LeaseEvent::Tick(at(30)));
    assert_eq!(lease.state(), &LeaseState::Watching {});
}

#[test]
fn a_quiet_time_lies_between_two_holders() {
    let (me, terms) =
        (NodeId::from("b"), LeaseTerms { ttl: TTL, quiet_period: Duration::from_secs(3) });
    let take =
        |lease: &ObservedLease, secs| takeover_with_quiet_period(Some(lease), &me, terms, at(secs));
    assert_eq!(take(&seen(Some("a"), 0), 14), None);
    assert!(take(&seen(Some("a"), 0), 15).is_some());
    assert_eq!(take(&seen(None, 0), 2), None, "a lease that was given up is quiet as well");
    assert!(take(&seen(None, 0), 3).is_some());
    assert!(take(&seen(Some("b"), 0), 0).is_some(), "the same node takes its own back at once");
}

#[test]
fn a_takeover_waits_longer_than_the_holder_acts() {
    let me = NodeId::from("b");
    assert_eq!(takeover(Some(&seen(Some("a"), 0)), &me, TTL, at(11)), None);
    let row = takeover(Some(&seen(Some("a"), 0)), &me, TTL, at(12)).expect("the lease lapsed");
    assert_eq!(row.fence, Fence(5));
    assert!(takeover(Some(&seen(None, 0)), &me, TTL, at(0)).is_some());
}
