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

#[test]
fn leaving_is_sticky_and_a_new_identity_is_a_new_box() {
    let now = Moment::default();
    let mut members = Members::default();
    members.heard(&heartbeat("a", PeerState::Leaving, 7), now);
    members.heard(&heartbeat("a", PeerState::Serving, 6), now);
    assert_eq!(members.live_ids(now), vec![]);
    assert_eq!(members.all().next().expect("one").1.revision, Revision(7));
    let change = members.heard(&heartbeat("b", PeerState::Serving, 0), now);
    assert_eq!(change, Some(MemberChange { id: "b".into(), state: PeerState::Serving }));
    assert_eq!(members.live_ids(now), vec!["b".into()]);
    assert_eq!(members.live_ids(now + LIVE_FOR), vec![]);
}

#[test]
fn all_boxes_agree_on_the_ranks() {
    let ids: Vec<NodeId> = (0..5).map(|index| NodeId::from(format!("b{index}"))).collect();
    let mut ranks: Vec<usize> = ids
        .iter()
        .map(|me| {
            let others: Vec<NodeId> = ids.iter().filter(|id| *id != me).cloned().collect();
            rank("shard", me, &others)
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, vec![0, 1, 2, 3, 4]);
}
