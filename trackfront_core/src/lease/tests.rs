use super::*;

const TTL: Duration = Duration::from_secs(10);

fn at(secs: u64) -> Moment {
    Moment(Duration::from_secs(secs))
}

fn observed(holder: Option<&str>, since: u64) -> ObservedLease {
    let row = LeaseRow { holder: holder.map(NodeId::from), fence: Fence(4), ttl_ms: 10_000 };
    ObservedLease { version: 1.into(), row, since: at(since) }
}

#[test]
fn paused_holder_resumes_without_the_lease() {
    let mut lease = LeaseMachine::new(TTL).state_machine();
    lease.handle(&LeaseEvent::Written { fence: Fence(5), sent_at: at(0) });
    assert_eq!(lease.state().usable(at(7)), Some(Fence(5)));
    assert_eq!(lease.state().usable(at(8)), None);
    lease.handle(&LeaseEvent::Tick(at(30)));
    assert_eq!(lease.state(), &LeaseState::Watching {});
}

#[test]
fn takeover_waits_for_quiet_period() {
    let (me, terms) =
        (NodeId::from("b"), LeaseTerms { ttl: TTL, quiet_period: Duration::from_secs(3) });
    let take =
        |lease: &ObservedLease, secs| takeover_with_quiet_period(Some(lease), &me, terms, at(secs));
    assert_eq!(take(&observed(Some("a"), 0), 14), None);
    assert!(take(&observed(Some("a"), 0), 15).is_some());
    assert_eq!(take(&observed(None, 0), 2), None, "a released lease has a quiet period as well");
    assert!(take(&observed(None, 0), 3).is_some());
    assert!(take(&observed(Some("b"), 0), 0).is_some(), "a box takes its own lease back at once");
}

#[test]
fn takeover_waits_past_lease_expiry() {
    let me = NodeId::from("b");
    assert_eq!(takeover(Some(&observed(Some("a"), 0)), &me, TTL, at(11)), None);
    let row = takeover(Some(&observed(Some("a"), 0)), &me, TTL, at(12)).expect("the lease expired");
    assert_eq!(row.fence, Fence(5));
    assert!(takeover(Some(&observed(None, 0)), &me, TTL, at(0)).is_some());
}
