use super::*;

fn heartbeat(id: &str, state: PeerState, revision: u64) -> Heartbeat {
    Heartbeat {
        from: id.into(),
        address: "127.0.0.1:1".into(),
        hall: "h".into(),
        state,
        revision: Revision(revision),
        digests: vec![],
        claims: vec![],
        items: vec![],
    }
}

/// Guards against a late heartbeat that makes a leaving box serve again, and against a restarted box that keeps the state
/// of the one before.
#[test]
fn leaving_is_final_and_a_new_identity_is_a_new_box() {
    let now = Moment::default();
    let mut members = Members::default();
    members.apply_heartbeat(&heartbeat("a", PeerState::Leaving, 7), now);
    members.apply_heartbeat(&heartbeat("a", PeerState::Serving, 6), now);
    assert_eq!(members.live_ids(now), vec![]);
    assert_eq!(members.all().next().expect("one").1.revision, Revision(7));
    let change = members.apply_heartbeat(&heartbeat("b", PeerState::Serving, 0), now);
    assert_eq!(change, Some(MemberChange { id: "b".into(), state: PeerState::Serving }));
    assert_eq!(members.live_ids(now), vec!["b".into()]);
    assert_eq!(members.live_ids(now + LIVENESS_TIMEOUT), vec![]);
}

#[test]
fn ranks_of_all_boxes_are_distinct() {
    let ids: Vec<NodeId> = (0..5).map(|index| NodeId::from(format!("b{index}"))).collect();
    let mut ranks: Vec<usize> = ids
        .iter()
        .map(|own_id| {
            let others: Vec<NodeId> = ids.iter().filter(|id| *id != own_id).cloned().collect();
            rank("shard", own_id, &others)
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, vec![0, 1, 2, 3, 4]);
}
