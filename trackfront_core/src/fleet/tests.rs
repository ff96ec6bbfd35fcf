use super::*;

fn digest(sequence: u64, ready: &[ItemKey]) -> EngineDigest {
    EngineDigest {
        engine: "e".into(),
        incarnation: 1,
        sequence,
        age_ms: 0,
        ready: Some(ready.to_vec()),
        running: 2,
        queued: 0,
    }
}

/// Guards against requests to engines that no longer hold an item, because a delayed digest was applied.
#[test]
fn late_digest_does_not_replace_a_newer_one() {
    let item = ItemKey { model: "m".into(), adapter: None, version: "1".into() };
    let fleet = Fleet::default();
    fleet.set_engines(&[("e".into(), "h".into())]);
    assert!(fleet.apply_digest(&digest(2, std::slice::from_ref(&item)), Moment::default()));
    assert!(!fleet.apply_digest(&digest(1, &[]), Moment::default()));
    assert_eq!(fleet.ready_count(&item), 1);
    let short = EngineDigest { ready: None, ..digest(3, &[]) };
    assert!(fleet.apply_digest(&short, Moment::default()));
    assert_eq!(fleet.ready_count(&item), 1);
    fleet.set_engines(&[]);
    assert_eq!(fleet.ready_count(&item), 0);
}
